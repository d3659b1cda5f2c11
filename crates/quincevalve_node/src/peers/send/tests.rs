use bincode::Options;
use quincevalve_forwarding::{load::WorkSum, peer_table::VmDescriptor};
use quincevalve_names::hash_text;

use super::*;
use crate::{peers::datagram::MAX_DATAGRAM, test_node::any_address};

const SERVERS: u64 = 3_000;
const MEMBERS: u16 = 160;

fn card(at: u16, cpu: u32) -> VmDescriptor {
    VmDescriptor {
        name: format!("vm-{at}"),
        address: ([10, 1, (at / 200) as u8, (at % 200) as u8], 7600).into(),
        data_centre: "a".into(),
        cpu,
    }
}

fn peers() -> Peers {
    Peers::new(card(0, 500), 25_000_000)
}

fn work(requests: u32) -> WorkSum {
    WorkSum { requests, prefill: 9_000, urgent_prefill: 900, memory: 50_000, recent_prefill: 9_000 }
}

fn sum(servers: impl Iterator<Item = u64>) -> PartialSum {
    let works = servers.map(|it| (hash_text(&it.to_string()), work(1))).collect();
    PartialSum { vms: 1, server_work: works, ..PartialSum::default() }
}

/// The periods of twenty in which a member tells what it does.
fn told(mut share_at: impl FnMut(u32) -> PartialSum) -> Vec<u32> {
    let mut peers = peers();
    let mut is_told =
        |turn: &u32| own_digest(&mut peers, share_at(*turn), any_address(), *turn).is_some();
    (0..20).filter(|turn| is_told(turn)).collect()
}

// Hundreds of members without work keep their collector busy with datagrams that say nothing.
#[test]
fn a_member_without_news_tells_each_fourth_period() {
    assert_eq!(told(|_| sum(0..2)), [0, 4, 8, 12, 16]);
}

// A VM sends a request, and the others hear of it a fifth of a second late: they send theirs to the same server.
#[test]
fn a_member_with_news_tells_at_once() {
    let with_request_at_six = |turn| if turn < 6 { sum(0..2) } else { sum(0..3) };
    assert_eq!(told(with_request_at_six), [0, 4, 6, 8, 12, 16]);
}

// A VM lets a request in and tells nothing for some periods: the account's rate counts on at its height, and callers are
// refused for it.
#[test]
fn what_accounts_spend_is_told_until_it_has_faded() {
    let spending = |turn: u32| {
        let rate = 40_000.0 * (-f64::from(turn) * 0.06 / 0.25).exp();
        PartialSum { spending: [("desk".into(), rate)].into_iter().collect(), ..sum(0..2) }
    };
    assert_eq!(told(spending), [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 12, 16]);
}

// No datagram holds the work at thousands of servers: members hear of no load at all.
#[test]
fn digests_of_thousands_of_busy_servers_fit_their_datagrams() {
    let mut peers = peers();
    for at in 1..=MEMBERS {
        let member = card(at, 120);
        let own = sum((0..SERVERS).filter(|it| it % u64::from(MEMBERS) == u64::from(at - 1)));
        peers.members.insert(&member.name, own, TimePoint::ZERO);
        peers.member_addresses.insert(member.name.clone(), member.address);
    }
    let others = [any_address()];
    let digests =
        collector_digests(&peers, PartialSum::default(), &others, None, 0, TimePoint::ZERO);
    assert_eq!(digests.len(), usize::from(MEMBERS) + others.len());
    for (_, scope, sum) in digests {
        let bytes = encoding().serialized_size(&sum).expect("it fits");
        assert!(bytes as usize + MAX_BATCH_BYTES <= MAX_DATAGRAM, "{scope:?}: {bytes} bytes");
        assert!(!sum.server_work.is_empty());
    }
}
