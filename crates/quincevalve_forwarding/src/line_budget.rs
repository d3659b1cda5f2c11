//! Rate limit for the log lines of requests.

use quincevalve_names::TimePoint;

/// Maximum number of request log lines per second: several times what a VM writes under low load.
const LINES_PER_SECOND: f64 = 200.0;
/// Maximum number of log lines per second for rejected requests. A burst of rejections repeats the same line thousands
/// of times; the metrics count all of them.
const REJECTIONS_PER_SECOND: f64 = 300.0;
/// Burst size of the token bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

/// A token bucket for log lines. Lines that it rejects are held with their request and written if the request fails or
/// is late; otherwise they are suppressed and counted.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::line_budget::LineBudget;
/// use quincevalve_names::TimePoint;
/// let mut budget = LineBudget::default();
/// let written = (0..1_000).filter(|_| budget.take(TimePoint::ZERO)).count();
/// assert_eq!(written, 400);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LineBudget {
    lines_per_second: f64,
    tokens: f64,
    refilled_at: TimePoint,
    suppressed: u64,
}

impl Default for LineBudget {
    fn default() -> Self {
        Self::new(LINES_PER_SECOND)
    }
}

impl LineBudget {
    fn new(lines_per_second: f64) -> Self {
        let tokens = lines_per_second * BURST_SECONDS;
        Self { lines_per_second, tokens, refilled_at: TimePoint::ZERO, suppressed: 0 }
    }

    /// Creates the budget for the lines of rejected requests.
    ///
    /// Callers that retry at once and often would make a VM spend more on log lines than on requests, and the log's
    /// reader would lose lines of other requests. Suppressed lines are counted.
    pub fn for_refusals() -> Self {
        Self::new(REJECTIONS_PER_SECOND)
    }

    /// Takes a token for one line, and returns whether there was one: the line may be written now.
    pub fn take(&mut self, now: TimePoint) -> bool {
        let refill = self.lines_per_second * now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + refill).min(self.lines_per_second * BURST_SECONDS);
        self.refilled_at = self.refilled_at.max(now);
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }

    /// Counts suppressed lines.
    pub fn record_suppressed(&mut self, lines: u64) {
        self.suppressed += lines;
    }

    /// Returns the number of lines suppressed since the last call.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.suppressed)
    }
}
