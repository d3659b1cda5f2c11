//! What operators order, and how far it has come.

use std::time::Duration;

use quincevalve_names::ServerVersion;
use serde::{Deserialize, Serialize};

/// Tells orders apart: the revision of the store at which one was written. A later order has a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct OrderId(pub u64);

/// The operators' order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Which order it is.
    pub id: OrderId,
    /// The version that the traffic goes to.
    pub to: ServerVersion,
    /// The time for it.
    pub duration: Duration,
}

/// How far a roll-out has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The new version gets a bounded share.
    Canary,
    /// It was found good and gets more and more; old servers finish what they run.
    Promoting,
    /// The old servers have stopped.
    Completed,
    /// The new version gets nothing any more.
    RolledBack(RollbackCause),
}

impl Phase {
    /// Whether nothing follows it.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack(_))
    }
}

/// Why a roll-out was taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RollbackCause {
    /// More of its answers were failures than of the old version's.
    Failures,
    /// Its answers came later.
    Slowness,
    /// Too little was seen of it to tell.
    Undecided,
    /// No server of it, or too few to carry the load, came in time.
    TooFewServers,
    /// The order was removed.
    Cancelled,
    /// The order leaves no time.
    NoTime,
}

impl RollbackCause {
    /// Its name in logs.
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

/// The state of a service's newest roll-out, as it stands in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The order.
    pub order: OrderId,
    /// The version that it names.
    pub to: ServerVersion,
    /// How far it has come.
    pub phase: Phase,
    /// When it was first seen, in milliseconds of true time.
    pub ordered_ms: i64,
    /// The time for it.
    pub duration: Duration,
    /// Versions that were ordered before and not completed: they get nothing.
    pub barred: Vec<ServerVersion>,
}

impl RolloutRecord {
    /// When it has to be completed or rolled back, in milliseconds of true time.
    pub fn deadline_ms(&self) -> i64 {
        self.ordered_ms + self.duration.as_millis() as i64
    }

    /// The record of a new order that follows this one: its version is barred unless it was completed or is ordered
    /// again.
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
        let excess = barred.len().saturating_sub(MOST_BARRED);
        barred.drain(..excess);
        Self { barred, ..Self::first(order, now_ms) }
    }

    /// The record of a service's first order.
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

/// Versions that are remembered as not completed; servers of older ones have long gone.
const MOST_BARRED: usize = 8;
