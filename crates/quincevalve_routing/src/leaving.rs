//! Evidence that a backend server leaves, and why it is sticky.

use quincevalve_names::Incarnation;

/// Where the evidence came from. Any one is enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeavingEvidence {
    /// The cloud's notice of a reclaim.
    Notice,
    /// The platform's list of VMs.
    VmList,
    /// The server's own answer.
    OwnAnswer,
}

/// Whether a server leaves, by incarnation.
///
/// Failure: the VM list lags, so after a notice it shows the server as live for seconds more. Symptom:
/// without memory the server would be revived and get work that dies with it. Leaving is therefore
/// remembered per incarnation, and only a higher incarnation (the VM was replaced) clears it; a stale
/// list carries the old incarnation and can't.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Leaving {
    incarnation: Incarnation,
    evidence: Option<LeavingEvidence>,
}

impl Leaving {
    pub(crate) fn is_leaving(self) -> bool {
        self.evidence.is_some()
    }

    pub(crate) fn saw_leaving(&mut self, incarnation: Incarnation, evidence: LeavingEvidence) {
        if incarnation < self.incarnation {
            return;
        }
        self.incarnation = incarnation;
        self.evidence.get_or_insert(evidence);
    }

    pub(crate) fn saw_live(&mut self, incarnation: Incarnation) {
        if incarnation > self.incarnation {
            *self = Self { incarnation, evidence: None };
        }
    }

    pub(crate) fn incarnation(self) -> Incarnation {
        self.incarnation
    }
}
