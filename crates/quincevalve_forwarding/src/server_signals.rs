//! Signals about itself that a server sends in its answers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Requests per second.
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

/// Maximum plausible rate of a server, in requests per second.
const MAX_PER_SECOND: f64 = 1e6;

impl RequestRate {
    /// Creates a rate. Returns `None` if it is negative, not a number or beyond what any server can process.
    pub fn new(per_second: f64) -> Option<Self> {
        (0.0..=MAX_PER_SECOND).contains(&per_second).then_some(Self(per_second))
    }

    /// Returns the requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

/// Signals in one answer of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSignals {
    /// Rate limit over all entry VMs, if the server states one.
    pub limit: Option<RequestRate>,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Rest period during which the VM whose request was rejected must not send to the server, if it asks for one.
    pub rest: Option<Duration>,
    /// Maximum number of requests that a brittle server can reject in a second without failing; `None` if it isn't
    /// brittle.
    pub brittle: Option<u32>,
}

/// A server's signals as another VM reports them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedSignals {
    /// Rate limit over all entry VMs, if the server states one.
    pub limit: Option<RequestRate>,
    /// Time since the server stated the limit.
    pub age: Duration,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Maximum number of requests that a brittle server can reject in a second, stated with the limit.
    pub brittle: Option<u32>,
}

/// Which of a server's signals differ from what was known before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalUpdate {
    /// The server states a different limit, or no longer any.
    pub limit: bool,
    /// The server is now leaving.
    pub leaving: bool,
    /// The server has become brittle, or no longer is.
    pub brittle: bool,
}

impl SignalUpdate {
    /// Returns whether nothing changed.
    pub const fn is_empty(self) -> bool {
        !self.limit && !self.leaving && !self.brittle
    }
}
