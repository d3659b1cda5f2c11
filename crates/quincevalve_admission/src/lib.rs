//! Admission control: decides whether a request runs now, waits in a fair queue, or is refused early.

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

mod admission;
mod fair_queue;
mod server_share;
mod shares;
mod start_rate;
mod waiting;

pub use crate::{
    admission::{
        AccountIndex, AccountLimits, Admission, AdmissionSettings, Arrival, Decision,
        RefusalReason, Ticket, Urgency, request_cost,
    },
    server_share::ServerShare,
    shares::{Demand, own_share},
    waiting::{
        Candidate, WaitRefusal, WaitRefusalCause, WaitingQueue, WaitingRequest, WaitingSettings,
    },
};
