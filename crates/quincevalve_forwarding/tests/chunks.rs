//! Splitting and assembly of values that are larger than a datagram.

use proptest::prelude::*;
use quincevalve_forwarding::chunks::{Assembly, Chunk, split_into_chunks};

fn value(bytes: usize, seed: u8) -> Vec<u8> {
    (0..bytes).map(|it| (it as u8).wrapping_mul(31) ^ seed).collect()
}

// A chunk is lost, and chunks of an older version arrive late. Chunks of different versions must not form one value.
#[test]
fn does_not_combine_chunks_of_two_versions() {
    let (old, new) = (value(60_000, 1), value(70_000, 2));
    let (old_chunks, new_chunks) = (split_into_chunks(4, &old), split_into_chunks(5, &new));
    let mut assembly = Assembly::default();
    assert_eq!(assembly.add(old_chunks[0].clone()), None);
    assert_eq!(assembly.add(new_chunks[0].clone()), None);
    assert_eq!(assembly.add(old_chunks[1].clone()), None);
    assert_eq!(assembly.add(old_chunks[2].clone()), None);
    assert_eq!(assembly.add(new_chunks[1].clone()), None);
    assert_eq!(assembly.add(new_chunks[2].clone()), Some(new));
}

#[test]
fn rejects_chunks_with_an_invalid_index_or_count() {
    let mut assembly = Assembly::default();
    assert_eq!(assembly.add(Chunk { version: 1, index: 3, count: 2, bytes: vec![0] }), None);
    assert_eq!(assembly.add(Chunk { version: 1, index: 0, count: u32::MAX, bytes: vec![0] }), None);
    assert_eq!(
        assembly.add(Chunk { version: 1, index: 0, count: 1, bytes: vec![9] }),
        Some(vec![9])
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        cases: 64,
        ..ProptestConfig::default()
    })]

    // Chunks arrive in any order, duplicated and with gaps until they are sent again: the value is complete or absent.
    #[test]
    fn assembles_the_exact_value_or_none(
        bytes in 1_usize..120_000,
        order in prop::collection::vec((0_usize..8, any::<bool>()), 0..40),
    ) {
        let value = value(bytes, 3);
        let chunks = split_into_chunks(9, &value);
        let mut assembly = Assembly::default();
        let sent = order.iter().filter(|(_, lost)| !lost).map(|(index, _)| index % chunks.len());
        for index in sent.chain(0..chunks.len()) {
            if let Some(whole) = assembly.add(chunks[index].clone()) {
                prop_assert_eq!(&whole, &value);
                return Ok(());
            }
        }
        prop_assert!(false, "the value was never complete");
    }
}
