//! Reports machine classes that have no price in a data centre where servers use them.
//!
//! The planner compares predicted costs. A missing price would count as zero, and every purchase would use that class.
//!
//! Example: `vm_class.spot.price_milli.erding: no price, but backend server a uses it there`.

use super::Findings;
use crate::Inventory;

pub(super) fn check(inventory: &Inventory, findings: &mut Findings<'_>) {
    for (name, server) in &inventory.backend_server {
        let Some(class) = inventory.vm_class.get(&server.vm_class) else { continue };
        if class.price_milli.get(&server.data_centre).is_none_or(|it| *it == 0) {
            let field = format!("vm_class.{}.price_milli.{}", server.vm_class, server.data_centre);
            findings.push(field, format!("no price, but backend server `{name}` uses it there"));
        }
    }
}
