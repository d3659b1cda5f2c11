//! What a VM does about a version that was found bad, here or elsewhere.

use std::time::Duration;

use quincevalve_names::TimePoint;

use crate::rollout::record::RollbackCause;

/// For how long a VM that has told that it sends nothing to the old version keeps to that: the holder hears what was found,
/// and takes the roll-out back.
const HOLDER_HEARS: Duration = Duration::from_secs(1);

/// Only another order takes it back.
#[derive(Clone, Copy, Debug, Default)]
pub(super) enum HaltState {
    #[default]
    NotFoundBad,
    /// It is told why, since then.
    Reporting(RollbackCause, TimePoint),
    /// And the version gets nothing.
    Halted(RollbackCause),
}

impl HaltState {
    /// Failure: the holder has heard from all VMs that they send nothing to the old servers, and one sends there again as
    /// it finds the new version bad. Symptom: the old servers stop at the word, and answers are cut.
    pub(super) fn begin(cause: RollbackCause, has_told_following: bool, now: TimePoint) -> Self {
        if has_told_following { Self::Reporting(cause, now) } else { Self::Halted(cause) }
    }

    pub(super) fn at(self, now: TimePoint) -> Self {
        match self {
            Self::Reporting(cause, since) if now.since(since) >= HOLDER_HEARS => {
                Self::Halted(cause)
            }
            Self::NotFoundBad | Self::Reporting(..) | Self::Halted(_) => self,
        }
    }

    pub(super) fn cause(self) -> Option<RollbackCause> {
        match self {
            Self::NotFoundBad => None,
            Self::Reporting(cause, _) | Self::Halted(cause) => Some(cause),
        }
    }

    pub(super) fn is_halted(self) -> bool {
        matches!(self, Self::Halted(_))
    }
}
