//! Decides which usage windows a holder reports.

use std::time::Duration;

use crate::usage::Window;

/// Milliseconds from the end of a window to its report, enough for peers to report requests that began at its end.
const REPORT_DELAY_MS: i64 = 1_000;
/// Number of windows before the newest one that a holder still reports.
const MAX_BACKLOG: Window = 2;

/// Usage windows of one length, numbered from 1970 on. Times are wall-clock times in milliseconds.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_forwarding::duty::UsageWindows;
///
/// let windows = UsageWindows::new(Duration::from_secs(5));
/// assert_eq!(windows.newest_reportable(15_999), 1);
/// assert_eq!(windows.newest_reportable(16_000), 2);
/// assert_eq!(windows.begin_ms(2), 10_000);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageWindows {
    length_ms: i64,
}

impl UsageWindows {
    /// Creates windows of a length of whole milliseconds, at least one.
    pub fn new(length: Duration) -> Self {
        Self { length_ms: i64::try_from(length.as_millis()).unwrap_or(i64::MAX).max(1) }
    }

    /// Returns the newest window of which the report may be sent.
    pub fn newest_reportable(&self, wall_ms: i64) -> Window {
        let ended = wall_ms.saturating_sub(REPORT_DELAY_MS) / self.length_ms - 1;
        Window::try_from(ended).unwrap_or_default()
    }

    /// Returns when a window begins.
    pub const fn begin_ms(&self, window: Window) -> i64 {
        window.cast_signed().saturating_mul(self.length_ms)
    }

    /// Returns when a window ends.
    pub const fn end_ms(&self, window: Window) -> i64 {
        self.begin_ms(window).saturating_add(self.length_ms)
    }
}

/// What a holder knows of the reports that were sent before its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentReports {
    /// The window of the stored report, if there is one.
    pub stored: Option<Window>,
    /// The newest window of which a report may have been sent that the store has lost; 0 if there is none.
    pub lost_upto: Window,
    /// The newest window of which this VM has heard that its report may have been sent; 0 if there is none.
    pub heard_upto: Window,
}

impl SentReports {
    /// Returns the next window to report, if it isn't later than `newest`. If nothing was reported yet, that is `newest`.
    pub fn next(&self, newest: Window) -> Option<Window> {
        let next = self.stored.map_or(newest, |it| it.saturating_add(1));
        let next = next.max(newest.saturating_sub(MAX_BACKLOG));
        let next = next.max(self.lost_upto.max(self.heard_upto).saturating_add(1));
        (next <= newest).then_some(next)
    }

    /// Returns whether the stored report may be sent again.
    ///
    /// A holder whose term was lost may have written it after the store returned, and another one may have sent the
    /// window with other counts.
    pub fn may_repeat_stored(&self) -> bool {
        self.stored.is_some_and(|it| it > self.lost_upto)
    }
}
