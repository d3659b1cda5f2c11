//! Compares the incrementally maintained ranking of peers with one that is computed from scratch.

mod support;

use std::{cmp::Reverse, net::SocketAddr};

use proptest::prelude::*;
use quincevalve_forwarding::peer_table::{PeerTable, Role, VmDescriptor};
use quincevalve_names::{hash_text, rendezvous_score};
use support::ms;

const CENTRES: [&str; 3] = ["a", "b", "c"];

fn descriptor(at: usize, cpu: u32) -> VmDescriptor {
    VmDescriptor {
        name: format!("vm-{at}"),
        address: ([10, 0, 0, at as u8], 7600).into(),
        data_centre: CENTRES[at % 3].into(),
        cpu: 100 + cpu,
    }
}

#[derive(Clone, Debug)]
enum Event {
    Listed(usize, u32),
    Unlisted(usize),
    Received(usize),
    RemoveExpired,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1_usize..60, 0_u32..4).prop_map(|(at, cpu)| Event::Listed(at, cpu)),
        2 => (1_usize..60).prop_map(Event::Unlisted),
        1 => (1_usize..60).prop_map(Event::Received),
        1 => Just(Event::RemoveExpired),
    ]
}

/// A VM in the model of the test.
#[derive(Clone, Debug)]
struct Known {
    descriptor: VmDescriptor,
    listed: bool,
    received_at: Option<u64>,
}

fn collector(me: &VmDescriptor, known: &[Known]) -> String {
    let here = known.iter().map(|it| &it.descriptor).chain([me]);
    let here = here.filter(|it| it.data_centre == me.data_centre);
    let first = here.min_by_key(|it| (Reverse(it.cpu), hash_text(&it.name)));
    first.expect("at least itself").name.clone()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        cases: 200,
        ..ProptestConfig::default()
    })]

    // After VMs are added, removed or changed, a stale ranking would make VMs report to a VM that is no longer the
    // collector, or divide a limit by VMs that no longer exist.
    #[test]
    fn roles_and_ranks_match_the_known_vms(events in prop::collection::vec(event(), 1..120)) {
        let me = descriptor(0, 1);
        let mut table = PeerTable::new(me.clone());
        let mut known: Vec<Known> = Vec::new();
        for (step, event) in events.into_iter().enumerate() {
            let now = step as u64 * 900;
            match event {
                Event::Listed(at, cpu) => {
                    let descriptor = descriptor(at, cpu);
                    table.apply_entry(descriptor.clone());
                    match known.iter_mut().find(|it| it.descriptor.name == descriptor.name) {
                        Some(it) => (it.descriptor, it.listed) = (descriptor, true),
                        None => known.push(Known { descriptor, listed: true, received_at: None }),
                    }
                }
                Event::Unlisted(at) => {
                    table.mark_unlisted(&descriptor(at, 0).name);
                    known.iter_mut().filter(|it| it.descriptor.name == descriptor(at, 0).name).for_each(|it| it.listed = false);
                }
                Event::Received(at) => {
                    table.record_received(&descriptor(at, 0), ms(now));
                    match known.iter_mut().find(|it| it.descriptor.name == descriptor(at, 0).name) {
                        Some(it) => it.received_at = Some(now),
                        None => known.push(Known { descriptor: descriptor(at, 0), listed: true, received_at: Some(now) }),
                    }
                }
                Event::RemoveExpired => {
                    table.remove_expired(ms(now));
                    known.retain(|it| it.listed || it.received_at.is_some_and(|at| now - at <= 10_000));
                }
            }
            prop_assert_eq!(table.vm_count(), known.len() + 1);
            let best = collector(&me, &known);
            let role = table.role(false, ms(now));
            match role {
                Role::Member { collector, .. } => prop_assert_eq!(collector, best),
                Role::Collector { .. } if known.len() >= 16 => prop_assert_eq!(best, me.name.clone()),
                Role::Collector { others } => prop_assert_eq!(others.len(), known.len()),
            }
            for it in &known {
                let address: SocketAddr = it.descriptor.address;
                prop_assert_eq!(table.name_of(address), Some(it.descriptor.name.as_str()));
            }
            let score = |it: &VmDescriptor| rendezvous_score(7, hash_text(&it.name));
            let listed = known.iter().filter(|it| it.listed);
            let before = listed.clone().filter(|it| score(&it.descriptor) > score(&me)).count();
            let rank = table.rank(7);
            prop_assert_eq!((rank.rank, rank.vm_count), (before, listed.count() + 1));
        }
    }
}
