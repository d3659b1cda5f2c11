//! Tests that a caller receives every token of its own answer once, in order.

use proptest::prelude::*;
use quincevalve_names::{HomeTag, RequestId, Sequence};
use quincevalve_recovery::{Relay, RelayStep};

/// A token of a stream with duplicates, reordering and tokens of another request.
#[derive(Clone, Debug)]
enum Arrival {
    Own(u32),
    Foreign(u32),
}

fn text(seq: u32) -> String {
    format!("t{seq} ")
}

/// Generates a stream in which each token arrives at least once, some twice or up to 10 positions late, mixed with
/// tokens of another request.
fn stream() -> impl Strategy<Value = (u32, Vec<Arrival>)> {
    (1..60_u32).prop_flat_map(|tokens| {
        let delays = prop::collection::vec((0..8_u32, 0..4_u8), tokens as usize);
        delays.prop_map(move |delays| {
            let mut keyed = Vec::new();
            for (seq, (delay, kind)) in (0..tokens).zip(delays) {
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

/// The reference implementation: all tokens of the own request, sorted and deduplicated.
fn sort_and_dedup(arrivals: &[Arrival]) -> String {
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
    fn forwards_the_same_text_as_sorting_and_deduplicating((tokens, arrivals) in stream()) {
        let id = RequestId::new(HomeTag(1), 1);
        let foreign = RequestId::new(HomeTag(1), 2);
        let mut relay = Relay::new(id, Sequence(0));
        let mut forwarded = String::new();
        for arrival in &arrivals {
            let (id, seq, text) = match arrival {
                Arrival::Own(seq) => (id, *seq, text(*seq)),
                Arrival::Foreign(seq) => (foreign, *seq, "foreign ".to_owned()),
            };
            prop_assert!(!relay.is_complete());
            if relay.token(id, Sequence(seq), &text) == Ok(RelayStep::Pass) {
                forwarded += &text;
                while let Some(held) = relay.next_held() {
                    forwarded += &held;
                }
            }
        }
        prop_assert_eq!(relay.end(id, tokens), Ok(()));
        prop_assert!(relay.is_complete());
        prop_assert_eq!(forwarded, sort_and_dedup(&arrivals));
    }

    // Guards against truncated answers that count as complete: after a server fails, another one may confirm an end
    // that lies before tokens that the caller already has.
    #[test]
    fn rejects_an_end_before_forwarded_tokens(tokens in 1..40_u32, confirmed in 0..40_u32) {
        prop_assume!(confirmed < tokens);
        let id = RequestId::new(HomeTag(1), 1);
        let mut relay = Relay::new(id, Sequence(0));
        for seq in 0..tokens {
            prop_assert_eq!(relay.token(id, Sequence(seq), "t"), Ok(RelayStep::Pass));
        }
        prop_assert!(relay.end(id, confirmed).is_err());
        prop_assert!(!relay.is_complete());
    }
}
