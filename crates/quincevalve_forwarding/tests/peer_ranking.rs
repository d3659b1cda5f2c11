//! What a VM knows of the others, kept as they come and go, against reckoning it anew.

mod support;

use std::{cmp::Reverse, net::SocketAddr};

use proptest::prelude::*;
use quincevalve_forwarding::peer_table::{PeerTable, Role, VmDescriptor};
use quincevalve_names::{hash_text, rendezvous_score};
use support::ms;

const CENTRES: [&str; 3] = ["a", "b", "c"];

fn card(at: usize, cpu: u32) -> VmDescriptor {
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
    Heard(usize),
    Forget,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1_usize..60, 0_u32..4).prop_map(|(at, cpu)| Event::Listed(at, cpu)),
        2 => (1_usize..60).prop_map(Event::Unlisted),
        1 => (1_usize..60).prop_map(Event::Heard),
        1 => Just(Event::Forget),
    ]
}

/// A VM as the test remembers it.
#[derive(Clone, Debug)]
struct Known {
    card: VmDescriptor,
    listed: bool,
    heard: Option<u64>,
}

fn collector(me: &VmDescriptor, known: &[Known]) -> String {
    let here = known.iter().map(|it| &it.card).chain([me]);
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

    // A VM comes, goes or changes, and the others tell one that is no collector any more, or divide a bound by VMs that are
    // gone.
    #[test]
    fn roles_and_seats_follow_the_vms(events in prop::collection::vec(event(), 1..120)) {
        let me = card(0, 1);
        let mut book = PeerTable::new(me.clone());
        let mut known: Vec<Known> = Vec::new();
        for (step, event) in events.into_iter().enumerate() {
            let now = step as u64 * 900;
            match event {
                Event::Listed(at, cpu) => {
                    let card = card(at, cpu);
                    book.apply_entry(card.clone());
                    match known.iter_mut().find(|it| it.card.name == card.name) {
                        Some(it) => (it.card, it.listed) = (card, true),
                        None => known.push(Known { card, listed: true, heard: None }),
                    }
                }
                Event::Unlisted(at) => {
                    book.mark_unlisted(&card(at, 0).name);
                    known.iter_mut().filter(|it| it.card.name == card(at, 0).name).for_each(|it| it.listed = false);
                }
                Event::Heard(at) => {
                    book.record_received(&card(at, 0), ms(now));
                    match known.iter_mut().find(|it| it.card.name == card(at, 0).name) {
                        Some(it) => it.heard = Some(now),
                        None => known.push(Known { card: card(at, 0), listed: true, heard: Some(now) }),
                    }
                }
                Event::Forget => {
                    book.remove_expired(ms(now));
                    known.retain(|it| it.listed || it.heard.is_some_and(|at| now - at <= 10_000));
                }
            }
            prop_assert_eq!(book.vm_count(), known.len() + 1);
            let best = collector(&me, &known);
            let role = book.role(false, ms(now));
            match role {
                Role::Member { collector, .. } => prop_assert_eq!(collector, best),
                Role::Collector { .. } if known.len() >= 16 => prop_assert_eq!(best, me.name.clone()),
                Role::Collector { others } => prop_assert_eq!(others.len(), known.len()),
            }
            for it in &known {
                let address: SocketAddr = it.card.address;
                prop_assert_eq!(book.name_of(address), Some(it.card.name.as_str()));
            }
            let score = |it: &VmDescriptor| rendezvous_score(7, hash_text(&it.name));
            let listed = known.iter().filter(|it| it.listed);
            let before = listed.clone().filter(|it| score(&it.card) > score(&me)).count();
            let seat = book.rank(7);
            prop_assert_eq!((seat.rank, seat.of), (before, listed.count() + 1));
        }
    }
}
