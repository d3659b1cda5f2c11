//! Checks on a whole inventory. Each check has its own file and is listed in [`Check::ALL`].

pub mod account_keys;
pub mod addresses;
pub mod capacity;
pub mod class_promises;
pub mod names;
pub mod prices;
pub mod references;

use std::fmt;

use crate::Inventory;

/// A check. A new check needs a file, a variant, and an entry in [`Check::ALL`], [`Check::name`] and `Check::run`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// See [`account_keys`].
    AccountKeys,
    /// See [`addresses`].
    Addresses,
    /// See [`capacity`].
    Capacity,
    /// See [`class_promises`].
    ClassPromises,
    /// See [`names`].
    Names,
    /// See [`prices`].
    Prices,
    /// See [`references`].
    References,
}

impl Check {
    /// All checks, in the order in which their findings are reported.
    pub const ALL: [Self; 7] = [
        Self::Names,
        Self::References,
        Self::AccountKeys,
        Self::ClassPromises,
        Self::Addresses,
        Self::Capacity,
        Self::Prices,
    ];

    /// Returns the check's name as shown in its findings.
    pub const fn name(self) -> &'static str {
        match self {
            Self::AccountKeys => "account-keys",
            Self::Addresses => "addresses",
            Self::Capacity => "capacity",
            Self::ClassPromises => "class-promises",
            Self::Names => "names",
            Self::Prices => "prices",
            Self::References => "references",
        }
    }

    fn run(self, inventory: &Inventory, findings: &mut Findings<'_>) {
        match self {
            Self::AccountKeys => account_keys::check(inventory, findings),
            Self::Addresses => addresses::check(inventory, findings),
            Self::Capacity => capacity::check(inventory, findings),
            Self::ClassPromises => class_promises::check(inventory, findings),
            Self::Names => names::check(inventory, findings),
            Self::Prices => prices::check(inventory, findings),
            Self::References => references::check(inventory, findings),
        }
    }
}

/// An error in an inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The check that reported the error.
    pub check: Check,
    /// The invalid field, as a dotted path.
    pub field: String,
    /// A description of the error and of the allowed values.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} [{}]", self.field, self.problem, self.check.name())
    }
}

/// Collects the findings of one check.
struct Findings<'all> {
    check: Check,
    all: &'all mut Vec<Finding>,
}

impl Findings<'_> {
    fn push(&mut self, field: String, problem: String) {
        self.all.push(Finding { check: self.check, field, problem });
    }
}

/// Runs every check and returns all findings.
///
/// ```
/// let empty = quincevalve_inventory::Inventory::default();
/// assert!(quincevalve_inventory::checks::run_all(&empty).is_empty());
/// ```
pub fn run_all(inventory: &Inventory) -> Vec<Finding> {
    let mut all = Vec::new();
    for check in Check::ALL {
        check.run(inventory, &mut Findings { check, all: &mut all });
    }
    all
}
