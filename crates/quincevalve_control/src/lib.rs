//! Control process of an entry VM: membership, distribution of the configuration, orders to engines and the
//! administration API.
//!
//! Membership and distribution are actors that each wrap a core without I/O. None of the process's tasks is on the
//! request path: while the control process is unreachable, the entry process continues with the last state that it
//! received.

mod admin;
mod change;
mod clock;
mod config_actor;
mod document;
mod gossip_actor;
mod local_service;
mod peer_service;
mod plan_task;
mod settings;
mod shared;
mod start;

pub use crate::{
    admin::{AdminRole, Team},
    change::{ChangeId, ChangeOutcome, Difference, HistoryEntry},
    settings::{ControlPacing, ControlSettings, PlanPacing},
    start::{ControlError, ControlProcess},
};
