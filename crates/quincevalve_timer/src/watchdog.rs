//! A timeout on the absence of progress.

use std::time::Duration;

use quincevalve_names::TimePoint;

use crate::{Alarm, Timer};

/// Expires when no progress has been recorded for a limit.
///
/// Recording progress only stores the time; an alarm that fires too early is set again. A stream of thousands of tokens
/// therefore needs a few alarms and not one for each token.
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

    /// Records progress at the current time.
    pub fn record_progress(&mut self) {
        self.progress_at = self.timer.now();
    }

    /// Records progress and changes the limit.
    pub fn record_progress_with_limit(&mut self, limit: Duration) {
        self.record_progress();
        if limit < self.limit {
            self.alarm = self.timer.after(limit);
        }
        self.limit = limit;
    }

    /// Waits until no progress has been recorded for the limit.
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
            let elapsed = self.timer.now() - self.progress_at;
            if elapsed >= self.limit {
                return;
            }
            self.alarm = self.timer.after(self.limit.saturating_sub(elapsed));
        }
    }
}
