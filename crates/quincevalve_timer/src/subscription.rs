//! What a subscriber holds.

use quincevalve_names::TimePoint;
use tokio::sync::mpsc;

/// A periodic subscription; dropping it ends it.
#[derive(Debug)]
pub struct Subscription {
    pub(crate) ticks: mpsc::Receiver<TimePoint>,
}

impl Subscription {
    /// Waits for the next tick. `None` once the service has ended.
    ///
    /// Ticks that a slow subscriber missed are merged into one: a part that fell behind must act on
    /// the present, not work off a backlog of the past.
    pub async fn tick(&mut self) -> Option<TimePoint> {
        self.ticks.recv().await
    }
}
