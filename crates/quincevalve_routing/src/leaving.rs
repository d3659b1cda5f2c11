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
///
/// Failure: a notice names no incarnation, and comes before any was known. Symptom: the first row of the
/// list, stale as it is, has a "higher" one than none. The first incarnation that is heard of a leaving
/// server is therefore taken for the one that leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Leaving {
    incarnation: Option<Incarnation>,
    evidence: Option<LeavingEvidence>,
}

impl Leaving {
    pub(crate) fn is_leaving(self) -> bool {
        self.evidence.is_some()
    }

    /// Takes evidence; `None` stands for whichever incarnation there is now.
    pub(crate) fn saw_leaving(
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

    pub(crate) fn saw_live(&mut self, incarnation: Incarnation) {
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
    enum Heard {
        Notice,
        Leaving(u64),
        Live(u64),
    }

    fn heard() -> impl Strategy<Value = Heard> {
        prop_oneof![
            Just(Heard::Notice),
            (1..4_u64).prop_map(Heard::Leaving),
            (1..4_u64).prop_map(Heard::Live),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            rng_seed: proptest::test_runner::RngSeed::Fixed(5),
            failure_persistence: None,
            ..ProptestConfig::default()
        })]

        // The caller sees requests fail on a server that was announced to go. A notice came, then the
        // lagging list still called the same incarnation live. Nothing but a higher incarnation than any
        // heard before may make the server take work again.
        #[test]
        fn only_a_higher_incarnation_revives(events in prop::collection::vec(heard(), 1..40)) {
            let mut leaving = Leaving::default();
            let mut highest = None;
            for event in events {
                let before = leaving.is_leaving();
                match event {
                    Heard::Notice => leaving.saw_leaving(None, LeavingEvidence::Notice),
                    Heard::Leaving(it) => {
                        leaving.saw_leaving(Some(Incarnation(it)), LeavingEvidence::VmList);
                        highest = highest.max(Some(it));
                    }
                    Heard::Live(it) => {
                        leaving.saw_live(Incarnation(it));
                        let revived = before && !leaving.is_leaving();
                        prop_assert!(!revived || highest.is_some_and(|highest| it > highest));
                        highest = highest.max(Some(it));
                    }
                }
            }
        }
    }

    #[test]
    fn a_stale_first_row_of_the_list_does_not_revive() {
        let mut leaving = Leaving::default();
        leaving.saw_leaving(None, LeavingEvidence::Notice);
        leaving.saw_live(Incarnation(1));
        assert!(leaving.is_leaving());
        leaving.saw_live(Incarnation(2));
        assert!(!leaving.is_leaving());
    }
}
