use bincode::Options;
use quincevalve_forwarding::{load::WorkSum, peer_table::VmDescriptor};
use quincevalve_names::hash_text;

use super::*;
use crate::{peers::datagram::MAX_DATAGRAM, test_node::any_address};

const SERVERS: u64 = 3_000;
const MEMBERS: u16 = 160;

fn descriptor(at: u16, cpu: u32) -> VmDescriptor {
    VmDescriptor {
        name: format!("vm-{at}"),
        address: ([10, 1, (at / 200) as u8, (at % 200) as u8], 7600).into(),
        data_centre: "a".into(),
        cpu,
    }
}

fn peers() -> Peers {
    Peers::new(descriptor(0, 500), 25_000_000)
}

fn work(requests: u32) -> WorkSum {
    WorkSum { requests, prefill: 9_000, urgent_prefill: 900, memory: 50_000, recent_prefill: 9_000 }
}

fn partial_sum(servers: impl Iterator<Item = u64>) -> PartialSum {
    let server_work = servers.map(|it| (hash_text(&it.to_string()), work(1))).collect();
    PartialSum { vms: 1, server_work, ..PartialSum::default() }
}

/// Returns the periods, of twenty, in which a member sends its partial sum.
fn reporting_periods(mut sum_at: impl FnMut(u32) -> PartialSum) -> Vec<u32> {
    let mut peers = peers();
    let mut is_sent =
        |period: &u32| own_digest(&mut peers, sum_at(*period), any_address(), *period).is_some();
    (0..20).filter(|period| is_sent(period)).collect()
}

// Hundreds of idle members would keep their collector busy with digests that contain no change.
#[test]
fn a_member_without_changes_reports_each_fourth_period() {
    assert_eq!(reporting_periods(|_| partial_sum(0..2)), [0, 4, 8, 12, 16]);
}

// If other VMs learned of a request to a server a fifth of a second late, they would send theirs to the same server.
#[test]
fn a_member_with_a_change_reports_at_once() {
    let with_request_at_six =
        |period| if period < 6 { partial_sum(0..2) } else { partial_sum(0..3) };
    assert_eq!(reporting_periods(with_request_at_six), [0, 4, 6, 8, 12, 16]);
}

// If a VM admitted a request and then reported nothing for some periods, other VMs would keep counting the account's
// spending at its peak and reject callers for it.
#[test]
fn a_member_reports_spending_until_it_has_decayed() {
    let spending = |period: u32| {
        let rate = 40_000.0 * (-f64::from(period) * 0.06 / 0.25).exp();
        PartialSum { spending: [("desk".into(), rate)].into_iter().collect(), ..partial_sum(0..2) }
    };
    assert_eq!(reporting_periods(spending), [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 12, 16]);
}

// The work at thousands of servers doesn't fit in a datagram; without a limit members would learn of no load at all.
#[test]
fn digests_of_thousands_of_busy_servers_fit_their_datagrams() {
    let mut peers = peers();
    for at in 1..=MEMBERS {
        let member = descriptor(at, 120);
        let own =
            partial_sum((0..SERVERS).filter(|it| it % u64::from(MEMBERS) == u64::from(at - 1)));
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
