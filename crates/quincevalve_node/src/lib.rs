//! The forwarding path as one process on an entry VM: HTTP in, HTTP out, and what it has to know for that.
//!
//! The process runs on one thread: an entry VM has a fraction of a core, and state that many requests
//! share needs no locks then. Decisions live in `quincevalve_forwarding`; what the platform calls things
//! stays behind the traits in [`ports`].

mod clock;
mod duties;
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
#[cfg(test)]
mod test_node;

pub use crate::{
    quarantine::{lift_quarantine, quarantined},
    start::{Listeners, StartError, run},
};
