//! Ports: how the system reaches what lies outside it.
//!
//! Each outside system has a typed client over HTTP here, and the message types that the client and its
//! small stand-in share. The decision cores never see this crate.

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
