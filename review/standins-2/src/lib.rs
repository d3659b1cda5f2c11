//! Stand-ins for the platform, workers and clients, and control of the product's processes, for the cases in `review/`.
//!
//! All of them use blocking I/O and a thread for each connection.

pub mod client;
pub mod cloud;
pub mod http;
pub mod nodes;
pub mod record;
pub mod store;
pub mod worker;

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time of day in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

/// Returns whether the case runs with its disruption: `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// What a script reports with its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

impl Verdict {
    pub fn code(self) -> i32 {
        match self {
            Self::Held => 0,
            Self::Broken => 1,
            Self::CouldNotRun => 2,
        }
    }
}
