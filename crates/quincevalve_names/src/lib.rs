//! Names, identifiers, counters and points in time that all crates of quincevalve share.
//!
//! The crate performs no I/O. Its newtypes keep a request id, a revision or a fencing number from being confused with
//! other numbers.

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

mod durations;
mod mix;
mod numbers;
mod outcome;
mod request_id;
mod text_names;
mod time_point;

pub use crate::{
    durations::{Scaled, seconds},
    mix::{hash_parts, hash_parts_and_pieces, hash_text, mix, rendezvous_score},
    numbers::{FencingNumber, Incarnation, Revision, Sequence, TokenCount},
    outcome::Outcome,
    request_id::{HomeTag, InvalidRequestId, RequestId},
    text_names::{
        BackendServerName, ClassName, ClientAccountName, DataCentreName, EntryVmName,
        IdempotencyKey, ModelName, RegionName, ServerVersion, ServiceName,
    },
    time_point::TimePoint,
};
