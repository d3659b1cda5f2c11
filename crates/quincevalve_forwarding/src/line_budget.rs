//! How many log lines of requests are written under load.

use quincevalve_names::TimePoint;

/// Lines a second that are written whatever they tell: several times what a calm VM writes.
const LINES_PER_SECOND: f64 = 200.0;
/// Lines of refusals a second. A storm of them tells the same thousands of times; the counters have them all.
const REFUSALS_PER_SECOND: f64 = 300.0;
/// Seconds of lines that may be written at once after a calm time.
const BURST_SECONDS: f64 = 2.0;

/// A token bucket for log lines. Lines that it refuses wait with their request, and are written after all if
/// the request fails or is late; the others are counted.
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
    per_second: f64,
    level: f64,
    at: TimePoint,
    left_out: u64,
}

impl Default for LineBudget {
    fn default() -> Self {
        Self::new(LINES_PER_SECOND)
    }
}

impl LineBudget {
    fn new(per_second: f64) -> Self {
        let level = per_second * BURST_SECONDS;
        Self { per_second, level, at: TimePoint::ZERO, left_out: 0 }
    }

    /// A budget for the lines of refusals.
    ///
    /// Failure: callers come back at once and often, and each refusal is a line. Symptom: a VM writes more than it
    /// serves, and its reader loses lines of other requests. What is left out is counted.
    pub fn for_refusals() -> Self {
        Self::new(REFUSALS_PER_SECOND)
    }

    /// Whether a line may be written now.
    pub fn take(&mut self, now: TimePoint) -> bool {
        let grown = self.per_second * now.since(self.at).as_secs_f64();
        self.level = (self.level + grown).min(self.per_second * BURST_SECONDS);
        self.at = self.at.max(now);
        let may = self.level >= 1.0;
        if may {
            self.level -= 1.0;
        }
        may
    }

    /// Notes lines that are not written.
    pub fn leave_out(&mut self, lines: u64) {
        self.left_out += lines;
    }

    /// The lines that were left out since the last call.
    pub fn take_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
