//! Each caller gets every token of their own answer once, in order.

use proptest::prelude::*;
use quincevalve_names::{HomeTag, RequestId, Sequence};
use quincevalve_recovery::{Relay, RelayStep};

/// One event of a troubled stream.
#[derive(Clone, Debug)]
enum Arrival {
    Own(u32),
    Foreign(u32),
}

fn text(seq: u32) -> String {
    format!("t{seq} ")
}

/// A stream of `tokens` in which each comes at least once, some doubled, displaced a little, with
/// foreign ones between.
fn stream() -> impl Strategy<Value = (u32, Vec<Arrival>)> {
    (1..60_u32).prop_flat_map(|tokens| {
        let displaced = prop::collection::vec((0..8_u32, 0..4_u8), tokens as usize);
        displaced.prop_map(move |displaced| {
            let mut keyed = Vec::new();
            for (seq, (delay, kind)) in (0..tokens).zip(displaced) {
                keyed.push((seq + delay, Arrival::Own(seq)));
                match kind {
                    0 => keyed.push((seq + delay + 3, Arrival::Own(seq))),
                    1 => keyed.push((seq, Arrival::Foreign(seq))),
                    _ => {}
                }
            }
            keyed.sort_by_key(|it| it.0);
            (tokens, keyed.into_iter().map(|it| it.1).collect())
        })
    })
}

/// The naive version: everything of the own id, sorted, each position once.
fn naive(arrivals: &[Arrival]) -> String {
    let mut own: Vec<_> = arrivals
        .iter()
        .filter_map(|it| match it {
            Arrival::Own(seq) => Some(*seq),
            Arrival::Foreign(_) => None,
        })
        .collect();
    own.sort_unstable();
    own.dedup();
    own.into_iter().map(text).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn it_passes_what_sorting_would((tokens, arrivals) in stream()) {
        let id = RequestId::new(HomeTag(1), 1);
        let foreign = RequestId::new(HomeTag(1), 2);
        let mut relay = Relay::new(id, Sequence(0));
        let mut passed = String::new();
        for arrival in &arrivals {
            let (id, seq, text) = match arrival {
                Arrival::Own(seq) => (id, *seq, text(*seq)),
                Arrival::Foreign(seq) => (foreign, *seq, "somebody else's ".to_owned()),
            };
            prop_assert!(!relay.is_whole());
            if relay.token(id, Sequence(seq), &text) == Ok(RelayStep::Pass) {
                passed += &text;
                while let Some(held) = relay.next_held() {
                    passed += &held;
                }
            }
        }
        prop_assert_eq!(relay.end(id, tokens), Ok(()));
        prop_assert!(relay.is_whole());
        prop_assert_eq!(passed, naive(&arrivals));
    }

    // The caller sees an answer that ends too early. A server was lost and another confirmed an end that
    // lies before tokens the caller has; that must never pass for a whole answer.
    #[test]
    fn a_wrong_end_is_never_whole(tokens in 1..40_u32, short in 0..40_u32) {
        prop_assume!(short < tokens);
        let id = RequestId::new(HomeTag(1), 1);
        let mut relay = Relay::new(id, Sequence(0));
        for seq in 0..tokens {
            prop_assert_eq!(relay.token(id, Sequence(seq), "t"), Ok(RelayStep::Pass));
        }
        prop_assert!(relay.end(id, short).is_err());
        prop_assert!(!relay.is_whole());
    }
}
