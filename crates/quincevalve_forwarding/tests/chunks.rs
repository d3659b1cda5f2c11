//! Values that are larger than a datagram.

use proptest::prelude::*;
use quincevalve_forwarding::chunks::{Assembly, Chunk, split_into_chunks};

fn value(bytes: usize, seed: u8) -> Vec<u8> {
    (0..bytes).map(|it| (it as u8).wrapping_mul(31) ^ seed).collect()
}

// A part is lost, and parts of an older version come late. Nothing is put together that was not one value.
#[test]
fn parts_of_two_versions_are_never_joined() {
    let (old, new) = (value(60_000, 1), value(70_000, 2));
    let (old_parts, new_parts) = (split_into_chunks(4, &old), split_into_chunks(5, &new));
    let mut assembly = Assembly::default();
    assert_eq!(assembly.add(old_parts[0].clone()), None);
    assert_eq!(assembly.add(new_parts[0].clone()), None);
    assert_eq!(assembly.add(old_parts[1].clone()), None);
    assert_eq!(assembly.add(old_parts[2].clone()), None);
    assert_eq!(assembly.add(new_parts[1].clone()), None);
    assert_eq!(assembly.add(new_parts[2].clone()), Some(new));
}

#[test]
fn parts_that_claim_too_much_are_left_out() {
    let mut assembly = Assembly::default();
    assert_eq!(assembly.add(Chunk { version: 1, at: 3, of: 2, bytes: vec![0] }), None);
    assert_eq!(assembly.add(Chunk { version: 1, at: 0, of: u32::MAX, bytes: vec![0] }), None);
    assert_eq!(assembly.add(Chunk { version: 1, at: 0, of: 1, bytes: vec![9] }), Some(vec![9]));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        cases: 64,
        ..ProptestConfig::default()
    })]

    // Parts come in any order, doubled and with gaps until they are sent again: the value is whole or not there.
    #[test]
    fn a_value_comes_whole_or_not_at_all(
        bytes in 1_usize..120_000,
        order in prop::collection::vec((0_usize..8, any::<bool>()), 0..40),
    ) {
        let value = value(bytes, 3);
        let parts = split_into_chunks(9, &value);
        let mut assembly = Assembly::default();
        let sent = order.iter().filter(|(_, lost)| !lost).map(|(at, _)| at % parts.len());
        for at in sent.chain(0..parts.len()) {
            if let Some(whole) = assembly.add(parts[at].clone()) {
                prop_assert_eq!(&whole, &value);
                return Ok(());
            }
        }
        prop_assert!(false, "it was never whole");
    }
}
