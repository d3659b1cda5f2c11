//! Finds backend servers that share an address, and addresses that can't be called.
//!
//! Two names at one address would count its capacity twice and drain only half of it.
//!
//! Example: `backend_server.b.address: 10.0.0.7:80 is also the address of a`.

use super::Findings;
use crate::Inventory;

pub(super) fn check(inventory: &Inventory, findings: &mut Findings<'_>) {
    let mut seen = std::collections::HashMap::new();
    for (name, server) in &inventory.backend_server {
        let field = format!("backend_server.{name}.address");
        if server.address.port() == 0 || server.address.ip().is_unspecified() {
            let problem =
                format!("{} can't be called: give the IP number and port", server.address);
            findings.push(field, problem);
            continue;
        }
        if let Some(other) = seen.insert(server.address, name) {
            let problem = format!("{} is also the address of `{other}`", server.address);
            findings.push(field, problem);
        }
    }
}
