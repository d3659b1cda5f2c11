//! Reports backend servers that share an address, and addresses that can't be connected to.
//!
//! With two names for one address, its capacity would be counted twice, and draining one name would leave the other in
//! use.
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
