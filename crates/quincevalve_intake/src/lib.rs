//! What a process takes in from clients that it doesn't control: bounded numbers of connections, and bodies that are bounded
//! in size, memory and time.

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

mod body_room;
mod incoming;
mod listener;

pub use crate::{
    body_room::{BodyRoom, HeldBody, NoRoom},
    incoming::{BodyError, BodyLimits, DISCARD_LIMITS, discard_body, read_body},
    listener::{BoundedListener, OpenConnection},
};
