//! Finds latency promises that nobody can keep.
//!
//! A promise of zero would refuse every request of the class.
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
