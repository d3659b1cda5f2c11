//! Reports classes with a promised latency of zero.
//!
//! Every request of such a class would be refused.
//!
//! Example: `class.desk.promise: a promise of 0 ms refuses every request`.

use super::Findings;
use crate::Inventory;

pub(super) fn check(inventory: &Inventory, findings: &mut Findings<'_>) {
    for (name, class) in &inventory.class {
        if class.promise.limit().is_zero() {
            let problem = "a promise of 0 ms refuses every request".to_owned();
            findings.push(format!("class.{name}.promise"), problem);
        }
    }
}
