//! Names, identifiers, counters and points in time that all crates of quincevalve share.
//!
//! The crate performs no I/O. Its newtypes keep a request id, a revision or a fencing number from being confused with
//! other numbers.

mod mix;
mod numbers;
mod outcome;
mod request_id;
mod text_names;
mod time_point;

pub use crate::{
    mix::{hash_parts, hash_text, mix, rendezvous_score},
    numbers::{FencingNumber, Incarnation, Revision, Sequence, TokenCount},
    outcome::Outcome,
    request_id::{HomeTag, InvalidRequestId, RequestId},
    text_names::{
        BackendServerName, ClassName, ClientAccountName, DataCentreName, EntryVmName,
        IdempotencyKey, ModelName, RegionName, ServerVersion, ServiceName,
    },
    time_point::TimePoint,
};
