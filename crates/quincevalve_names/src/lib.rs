//! Names, numbers and times that every part of quincevalve shares.
//!
//! The crate has no I/O. It exists so that a request id, a revision or a fencing number is one type
//! everywhere, and cannot be mixed up with another number.

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
