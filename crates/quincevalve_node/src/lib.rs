//! The forwarding process of an entry VM: it receives callers' HTTP requests and forwards them to backend servers.
//!
//! The process runs on one thread, because an entry VM has a fraction of a core and shared state then needs no locks.
//! Decisions are made in `quincevalve_forwarding`; the traits in [`ports`] hide the platform's API.

// Values from outside must not end a task. An exception gives its reason at the place.
#![warn(
    clippy::disallowed_methods,
    clippy::expect_used,
    clippy::get_unwrap,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::string_slice,
    clippy::todo,
    clippy::unimplemented,
    clippy::unreachable
)]

mod clock;
mod duties;
#[cfg(test)]
mod hostile_tests;
mod metrics;
mod node;
mod peers;
pub mod ports;
mod quarantine;
mod request;
mod rollouts;
pub mod settings;
mod signal_reports;
mod start;
mod store;
mod stream_directory;
mod supervision;
mod tasks;
#[cfg(test)]
mod test_node;

pub use crate::{
    clock::ClockError,
    quarantine::{Quarantined, lift_quarantine, list_quarantined},
    start::{Listeners, StartError, run},
};
