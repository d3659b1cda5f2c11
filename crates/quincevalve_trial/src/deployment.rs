//! The two example deployments that are built into the trial.

use quincevalve_inventory::{Format, Inventory, ReadError, read_inventory};

/// An organization whose deployment the trial runs.
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

    /// Parses the built-in inventory.
    pub(crate) fn inventory(self) -> Result<Inventory, ReadError> {
        let text = match self {
            Self::Flughafenshuttle => include_str!("../resources/flughafenshuttle.toml"),
            Self::Macrae => include_str!("../resources/macrae.toml"),
        };
        read_inventory(&format!("{}.toml", self.name()), text, Format::Toml)
    }
}

/// Returns the API key of an account in the built-in inventories.
pub(crate) fn api_key(account: &str) -> String {
    format!("key-{account}")
}
