//! Evidence that a backend server is leaving, remembered per incarnation.

use quincevalve_names::Incarnation;

/// Source of the evidence that a server is leaving. Each one suffices on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeavingEvidence {
    /// Reclaim notice from the cloud.
    Notice,
    /// The platform's VM list.
    VmList,
    /// Response of the server itself.
    OwnAnswer,
}

/// Tracks whether a server is leaving, by incarnation.
///
/// The VM list lags and shows a server as live for seconds after its reclaim notice. If that cleared the
/// state, the server would get new requests and lose them when it stops. Leaving is therefore remembered per
/// incarnation, and only a higher incarnation (the VM was replaced) clears it; a stale list carries the old
/// incarnation and can't.
///
/// A notice names no incarnation and may arrive before any is known. Any incarnation in a stale VM list would
/// then compare as higher than none and clear the state. The first incarnation received for a leaving server
/// is therefore treated as the one that is leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Leaving {
    incarnation: Option<Incarnation>,
    evidence: Option<LeavingEvidence>,
}

impl Leaving {
    pub(crate) fn is_leaving(self) -> bool {
        self.evidence.is_some()
    }

    /// Records evidence that the server is leaving. `None` means the current incarnation.
    pub(crate) fn record_leaving(
        &mut self,
        incarnation: Option<Incarnation>,
        evidence: LeavingEvidence,
    ) {
        if incarnation.is_some() && incarnation < self.incarnation {
            return;
        }
        self.incarnation = incarnation.or(self.incarnation);
        self.evidence.get_or_insert(evidence);
    }

    /// Records that an incarnation is live; clears the leaving state only if the incarnation is higher than known.
    pub(crate) fn record_live(&mut self, incarnation: Incarnation) {
        match self.incarnation {
            None => self.incarnation = Some(incarnation),
            Some(known) if incarnation > known => {
                *self = Self { incarnation: Some(incarnation), evidence: None };
            }
            Some(_) => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    #[derive(Clone, Copy, Debug)]
    enum Report {
        Notice,
        Leaving(u64),
        Live(u64),
    }

    fn report() -> impl Strategy<Value = Report> {
        prop_oneof![
            Just(Report::Notice),
            (1..4_u64).prop_map(Report::Leaving),
            (1..4_u64).prop_map(Report::Live),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            rng_seed: proptest::test_runner::RngSeed::Fixed(5),
            failure_persistence: None,
            ..ProptestConfig::default()
        })]

        // Requests fail on a leaving server if the lagging VM list, which still shows the same incarnation as
        // live after a reclaim notice, clears the leaving state. Only an incarnation higher than any received
        // before may clear it.
        #[test]
        fn only_a_higher_incarnation_clears_leaving(events in prop::collection::vec(report(), 1..40)) {
            let mut leaving = Leaving::default();
            let mut highest = None;
            for event in events {
                let before = leaving.is_leaving();
                match event {
                    Report::Notice => leaving.record_leaving(None, LeavingEvidence::Notice),
                    Report::Leaving(it) => {
                        leaving.record_leaving(Some(Incarnation(it)), LeavingEvidence::VmList);
                        highest = highest.max(Some(it));
                    }
                    Report::Live(it) => {
                        leaving.record_live(Incarnation(it));
                        let cleared = before && !leaving.is_leaving();
                        prop_assert!(!cleared || highest.is_some_and(|highest| it > highest));
                        highest = highest.max(Some(it));
                    }
                }
            }
        }
    }

    #[test]
    fn first_incarnation_after_a_notice_does_not_clear_leaving() {
        let mut leaving = Leaving::default();
        leaving.record_leaving(None, LeavingEvidence::Notice);
        leaving.record_live(Incarnation(1));
        assert!(leaving.is_leaving());
        leaving.record_live(Incarnation(2));
        assert!(!leaving.is_leaving());
    }
}
