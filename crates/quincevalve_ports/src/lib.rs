//! Clients of the external systems that quincevalve depends on.
//!
//! Each external system has a typed HTTP client here, together with the message types that the client shares with the
//! test double of the system. The decision cores don't depend on this crate.

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

pub mod cloud;
mod connector;
pub mod engine;
mod event_stream;
mod http_client;
pub mod store;

pub use crate::{
    connector::reset_when_dropped,
    event_stream::{Event, EventBuffer, MAX_EVENT_BYTES, OversizedEvent},
    http_client::{CallError, HttpClient, Reach},
};
