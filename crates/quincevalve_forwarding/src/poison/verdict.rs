//! Quarantines that one VM decided.

use quincevalve_names::TimePoint;

use super::{
    Suspect,
    case::{ExitPattern, ExitedServers},
    evidence::PartFindings,
};
use crate::prompt_parts::PartDigest;

/// A quarantine that this VM decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// What is quarantined.
    pub suspect: Suspect,
    /// How the exits are distributed.
    pub exits: ExitPattern,
    /// The versions at which a part crashed and completed; empty for requests.
    pub findings: PartFindings,
    /// The servers that exited.
    pub servers: ExitedServers,
}

/// A quarantine of a part that this VM decided although another suspect may be the cause.
#[derive(Debug)]
pub(super) struct UncertainVerdict {
    pub(super) part: PartDigest,
    /// The servers that exited.
    pub(super) servers: ExitedServers,
    /// Other parts that were in requests at each of them.
    pub(super) companions: Vec<PartDigest>,
    pub(super) at: TimePoint,
}
