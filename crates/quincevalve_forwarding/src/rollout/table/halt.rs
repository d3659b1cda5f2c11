//! State of a VM after a version was found bad by this VM or another.

use std::time::Duration;

use quincevalve_names::TimePoint;

use crate::rollout::record::RollbackCause;

/// Time for which a VM that has reported its switch to the new version keeps sending there, while the holder of the
/// duties receives the finding and rolls back.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Whether the new version was found bad. Only another order resets it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) enum HaltState {
    #[default]
    NotDetected,
    /// The cause has been reported to other VMs since this time, and the new version still gets requests.
    Reporting(RollbackCause, TimePoint),
    /// The new version gets no requests.
    Halted(RollbackCause),
}

impl HaltState {
    /// Returns the state after the version was found bad.
    ///
    /// If all VMs have reported that they no longer send to the old servers, the holder may complete the roll-out and
    /// the old servers stop. A VM that sent there again at once would have its answers truncated.
    pub(super) fn after_detection(
        cause: RollbackCause,
        has_reported_switched: bool,
        now: TimePoint,
    ) -> Self {
        if has_reported_switched { Self::Reporting(cause, now) } else { Self::Halted(cause) }
    }

    pub(super) fn advance(self, now: TimePoint) -> Self {
        match self {
            Self::Reporting(cause, since) if now.since(since) >= REPORT_PERIOD => {
                Self::Halted(cause)
            }
            Self::NotDetected | Self::Reporting(..) | Self::Halted(_) => self,
        }
    }

    pub(super) fn cause(self) -> Option<RollbackCause> {
        match self {
            Self::NotDetected => None,
            Self::Reporting(cause, _) | Self::Halted(cause) => Some(cause),
        }
    }

    pub(super) fn is_halted(self) -> bool {
        matches!(self, Self::Halted(_))
    }
}
