//! The subscriber's end of a periodic subscription.

use quincevalve_names::TimePoint;
use tokio::sync::mpsc;

/// A periodic subscription. Dropping it unsubscribes.
#[derive(Debug)]
pub struct Subscription {
    pub(crate) ticks: mpsc::Receiver<TimePoint>,
}

impl Subscription {
    /// Waits for the next tick. Returns `None` once the service has ended.
    ///
    /// Ticks that a slow subscriber missed are merged into one: a subscriber that lags must act on the current time
    /// and not process a backlog of old ticks.
    pub async fn tick(&mut self) -> Option<TimePoint> {
        self.ticks.recv().await
    }
}
