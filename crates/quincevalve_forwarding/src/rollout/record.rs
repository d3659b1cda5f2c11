//! Orders of operators, and the stored record of a roll-out.

use std::time::Duration;

use quincevalve_names::ServerVersion;
use serde::{Deserialize, Serialize};

/// Identifies an order by the revision of the store at which it was written. A later order has a higher id.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct OrderId(pub u64);

/// The operators' order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The order's id.
    pub id: OrderId,
    /// The version to roll out.
    pub to: ServerVersion,
    /// Time from the order to the deadline.
    pub duration: Duration,
}

/// The phase of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The new version gets a bounded share of the requests.
    Canary,
    /// The new version was judged good and its share rises, while old servers finish their requests.
    Promoting,
    /// The new version has taken over, and old servers may stop.
    Completed,
    /// The new version gets no requests any more.
    RolledBack(RollbackCause),
}

impl Phase {
    /// Returns whether no other phase follows.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack(_))
    }
}

/// Why a roll-out was rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RollbackCause {
    /// The new version failed more often than the old one.
    Failures,
    /// The new version was slower than the old one.
    Slowness,
    /// There was too little evidence for a verdict.
    Undecided,
    /// The new version had no servers, or too few to carry the load, in time.
    TooFewServers,
    /// The order was removed.
    Cancelled,
    /// The order's duration is zero.
    NoTime,
}

impl RollbackCause {
    /// Returns the cause's name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::Slowness => "slowness",
            Self::Undecided => "undecided",
            Self::TooFewServers => "too-few-servers",
            Self::Cancelled => "cancelled",
            Self::NoTime => "no-time",
        }
    }
}

/// The state of a service's newest roll-out, as stored in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The order's id.
    pub order: OrderId,
    /// The version to roll out.
    pub to: ServerVersion,
    /// The current phase.
    pub phase: Phase,
    /// When the holder of the duties first processed the order, in milliseconds of wall-clock time.
    pub ordered_ms: i64,
    /// Time from `ordered_ms` to the deadline.
    pub duration: Duration,
    /// Versions that were ordered before and not completed. They get no requests.
    pub barred: Vec<ServerVersion>,
}

impl RolloutRecord {
    /// Returns when the roll-out has to be completed or rolled back, in milliseconds of wall-clock time.
    pub fn deadline_ms(&self) -> i64 {
        let millis = i64::try_from(self.duration.as_millis()).unwrap_or(i64::MAX);
        self.ordered_ms.saturating_add(millis)
    }

    /// Returns the record of a new order that supersedes this one. The version of this record is barred unless it was
    /// completed or is ordered again.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use quincevalve_forwarding::rollout::record::{OrderId, RolloutOrder, RolloutRecord};
    /// let order = |id, to: &str| RolloutOrder {
    ///     id: OrderId(id),
    ///     to: to.into(),
    ///     duration: Duration::from_secs(60),
    /// };
    /// let first = RolloutRecord::first(&order(1, "v2"), 0);
    /// let next = first.superseded_by(&order(2, "v3"), 5_000);
    /// assert_eq!(next.barred, ["v2".into()]);
    /// assert_eq!(next.deadline_ms(), 65_000);
    /// ```
    pub fn superseded_by(&self, order: &RolloutOrder, now_ms: i64) -> Self {
        let mut barred = self.barred.clone();
        if self.phase != Phase::Completed && !barred.contains(&self.to) {
            barred.push(self.to.clone());
        }
        barred.retain(|it| *it != order.to);
        let excess = barred.len().saturating_sub(MAX_BARRED_VERSIONS);
        barred.drain(..excess);
        Self { barred, ..Self::first(order, now_ms) }
    }

    /// Returns the record of a service's first order.
    pub fn first(order: &RolloutOrder, now_ms: i64) -> Self {
        Self {
            order: order.id,
            to: order.to.clone(),
            phase: Phase::Canary,
            ordered_ms: now_ms,
            duration: order.duration,
            barred: Vec::new(),
        }
    }
}

/// Maximum number of barred versions in a record. Servers of older versions have long stopped.
const MAX_BARRED_VERSIONS: usize = 8;
