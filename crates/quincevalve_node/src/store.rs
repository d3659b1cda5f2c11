//! Follows the platform's key-value store.
//!
//! [`sync`] reads changes from the store; [`view`] applies them and logs them for relaying to other VMs. [`state_copy`]
//! and [`config_copy`] fetch state and configurations from other VMs instead. [`version_history`] keeps the versions that
//! services had recently.

pub(crate) mod config_copy;
pub(crate) mod state_copy;
pub(crate) mod sync;
pub(crate) mod version_history;
pub(crate) mod view;
