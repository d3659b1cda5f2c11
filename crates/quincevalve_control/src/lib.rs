//! The control process of one entry VM: membership, the configuration's way to everybody, the
//! administration API.
//!
//! Each part is an actor around a core without I/O. None of them is on the request path: an entry
//! process goes on with what it heard last while its control process is away.

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
    change::{ChangeAnswer, ChangeId, Difference, HistoryRow},
    settings::{ControlPacing, ControlSettings, PlanPacing},
    start::{ControlError, ControlProcess},
};
