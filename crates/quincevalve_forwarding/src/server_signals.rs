//! What a server says of itself in its answers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Requests a second.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::server_signals::RequestRate;
/// assert_eq!(RequestRate::new(1.2).map(RequestRate::per_second), Some(1.2));
/// assert_eq!(RequestRate::new(-1.0), None);
/// assert_eq!(RequestRate::new(f64::NAN), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(f64);

/// Requests a second beyond which a rate isn't one of a server.
const MAX_PER_SECOND: f64 = 1e6;

impl RequestRate {
    /// A rate, unless it is negative, not a number or beyond what any server takes.
    pub fn new(per_second: f64) -> Option<Self> {
        (0.0..=MAX_PER_SECOND).contains(&per_second).then_some(Self(per_second))
    }

    /// Requests a second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

/// What a server says of itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSignals {
    /// What it takes from all entry VMs together, where it names a limit.
    pub limit: Option<RequestRate>,
    /// Whether it leaves.
    pub leaving: bool,
    /// For how long it wants nothing from the VM that it turns away, where it says so.
    pub rest: Option<Duration>,
}

/// What a server said of itself to another VM.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ToldSignals {
    /// What it takes from all entry VMs together, where it names a limit.
    pub limit: Option<RequestRate>,
    /// How long ago it said so.
    pub age: Duration,
    /// Whether it leaves.
    pub leaving: bool,
}

/// What of a server's signals wasn't known before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalNews {
    /// It names another limit, or none any more.
    pub limit: bool,
    /// It leaves.
    pub leaving: bool,
}

impl SignalNews {
    /// Whether all of it was known.
    pub const fn is_none(self) -> bool {
        !self.limit && !self.leaving
    }
}
