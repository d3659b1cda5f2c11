//! A limit on the time without progress.

use std::time::Duration;

use quincevalve_names::TimePoint;

use crate::{Alarm, Timer};

/// Barks when nothing has moved for its limit.
///
/// Progress only notes the time, and the alarm is set anew when it fires early. A stream of thousands of
/// tokens so costs a few alarms and not one for each token.
#[derive(Debug)]
pub struct Watchdog {
    timer: Timer,
    limit: Duration,
    progress_at: TimePoint,
    alarm: Alarm,
}

impl Watchdog {
    pub(crate) fn new(timer: Timer, limit: Duration) -> Self {
        let progress_at = timer.now();
        let alarm = timer.after(limit);
        Self { timer, limit, progress_at, alarm }
    }

    /// Notes progress.
    pub fn record_progress(&mut self) {
        self.progress_at = self.timer.now();
    }

    /// Notes progress, and that from now on another limit holds.
    pub fn record_progress_with_limit(&mut self, limit: Duration) {
        self.record_progress();
        if limit < self.limit {
            self.alarm = self.timer.after(limit);
        }
        self.limit = limit;
    }

    /// Waits until nothing has moved for the limit.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()?.block_on(async {
    /// let timer = quincevalve_timer::Timer::start();
    /// let mut watchdog = timer.watchdog(Duration::from_secs(1));
    /// timer.after(Duration::from_millis(600)).await;
    /// watchdog.record_progress();
    /// watchdog.expired().await;
    /// assert_eq!(timer.now().as_micros(), 1_600_000);
    /// # });
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn expired(&mut self) {
        loop {
            (&mut self.alarm).await;
            let still = self.timer.now() - self.progress_at;
            if still >= self.limit {
                return;
            }
            self.alarm = self.timer.after(self.limit.saturating_sub(still));
        }
    }
}
