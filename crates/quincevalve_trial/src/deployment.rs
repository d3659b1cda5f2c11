//! The two deployments that ship with the trial.

use quincevalve_inventory::{Format, Inventory, ReadError, read_inventory};

/// A user of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum User {
    /// Flughafenshuttle Oberland eG.
    Flughafenshuttle,
    /// Macrae & Lindsay Vehicle Checks.
    Macrae,
}

impl User {
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        [Self::Flughafenshuttle, Self::Macrae].into_iter().find(|it| it.name() == name)
    }

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Flughafenshuttle => "flughafenshuttle",
            Self::Macrae => "macrae",
        }
    }

    /// The shipped inventory.
    pub(crate) fn inventory(self) -> Result<Inventory, ReadError> {
        let text = match self {
            Self::Flughafenshuttle => include_str!("../resources/flughafenshuttle.toml"),
            Self::Macrae => include_str!("../resources/macrae.toml"),
        };
        read_inventory(&format!("{}.toml", self.name()), text, Format::Toml)
    }
}

/// The API key of an account in the shipped inventories.
pub(crate) fn api_key(account: &str) -> String {
    format!("key-{account}")
}
