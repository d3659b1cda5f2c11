//! Which servers a VM can connect to, and when it counts as cut off from a service.

use std::time::Duration;

use quincevalve_forwarding::servers::{ServerEntry, ServerStart, ServerTable};
use quincevalve_names::{BackendServerName, ServiceName, TimePoint};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const START: ServerStart = ServerStart(1);
const CENTRES: [&str; 2] = ["a", "b"];

fn name(centre: &str, at: usize) -> BackendServerName {
    format!("{centre}-{at}").as_str().into()
}

fn entry(centre: &str, service: &str, at: usize) -> ServerEntry {
    ServerEntry {
        start: START,
        service: service.into(),
        address: ([10, 0, 0, at as u8], 80).into(),
        data_centre: centre.into(),
        version: "v1".into(),
        slots: 8,
        is_cold: false,
        draining: false,
        reclaimable: false,
        leaves_in: None,
    }
}

/// Three engines in each of two data centres, and a call service in the second.
fn table() -> ServerTable {
    let mut table = ServerTable::default();
    for centre in CENTRES {
        for at in 0..3 {
            table.apply_entry(&name(centre, at), entry(centre, "engines", at), TimePoint::ZERO);
        }
    }
    table.apply_entry(&name("b", 9), entry("b", "calls", 9), TimePoint::ZERO);
    table
}

fn fail(table: &mut ServerTable, servers: &[(&str, usize)], now: TimePoint) {
    for (centre, at) in servers {
        table.mark_unreachable(&name(centre, *at), START, now);
    }
}

fn engines() -> ServiceName {
    "engines".into()
}

/// Guards against requests that go to peers because a single data centre can't be reached.
#[test]
fn a_vm_is_not_cut_off_while_another_data_centre_is_reachable() {
    let (mut table, now) = (table(), TimePoint::from_millis(10_000));
    fail(&mut table, &[("a", 0), ("a", 1)], now);
    assert!(!table.is_cut_off_from(&engines(), now));
    assert_eq!(table.unreachable_count(), 3, "the whole data centre counts as unreachable");
}

/// Guards against callers that wait for one connection per server until a VM notices that it reaches none.
#[test]
fn two_failures_in_each_data_centre_show_that_a_vm_is_cut_off() {
    let (mut table, now) = (table(), TimePoint::from_millis(10_000));
    fail(&mut table, &[("a", 0), ("a", 1), ("b", 0), ("b", 1)], now);
    assert!(table.is_cut_off_from(&engines(), now));
    let later = now + Duration::from_secs(60);
    assert!(table.is_cut_off_from(&engines(), later), "without a connection it stays cut off");
}

/// Guards against requests that go to peers although half of each data centre's servers are reachable.
#[test]
fn a_connection_between_failures_shows_that_the_data_centre_is_reachable() {
    let (mut table, now) = (table(), TimePoint::from_millis(10_000));
    for centre in CENTRES {
        fail(&mut table, &[(centre, 0)], now);
        table.record_connected(&name(centre, 2), START, now + Duration::from_millis(10));
        fail(&mut table, &[(centre, 1)], now + Duration::from_millis(20));
    }
    assert!(!table.is_cut_off_from(&engines(), now + Duration::from_millis(20)));
    assert_eq!(table.unreachable_count(), 4);
}

/// Guards against a VM that stays cut off, or that sends all requests to the one server that it reached again first.
#[test]
fn one_connection_ends_the_cut_and_all_pauses() {
    let (mut table, now) = (table(), TimePoint::from_millis(10_000));
    for round in 0..6 {
        let now = now + Duration::from_millis(round);
        fail(&mut table, &[("a", 0), ("a", 1), ("b", 0), ("b", 1)], now);
    }
    let later = now + Duration::from_millis(100);
    table.record_connected(&name("b", 1), START, later);
    assert!(!table.is_cut_off_from(&engines(), later));
    assert_eq!(table.unreachable_count(), 0);
    assert!(table.all().all(|(_, it)| !it.load.is_paused(later)));
}

/// Guards against a crashed server whose pause ends because another server accepts connections.
#[test]
fn a_connection_to_another_server_keeps_the_pause_of_one_that_fails() {
    let (mut table, now) = (table(), TimePoint::from_millis(10_000));
    fail(&mut table, &[("a", 0)], now);
    table.record_connected(&name("a", 1), START, now);
    assert_eq!(table.unreachable_count(), 1);
    assert!(table.get(&name("a", 0)).is_some_and(|it| it.load.is_paused(now)));
}

/// Guards against requests that go to peers although no server of the service exists anywhere.
#[test]
fn a_service_without_servers_is_not_cut_off() {
    let (mut table, now) = (table(), TimePoint::from_millis(10_000));
    fail(&mut table, &[("a", 0), ("a", 1), ("b", 0), ("b", 1)], now);
    assert!(!table.is_cut_off_from(&"other".into(), now));
}

/// Guards against a restarted server that counts as unreachable because its earlier start was.
#[test]
fn a_new_start_of_a_server_counts_as_reachable() {
    let (mut table, now) = (table(), TimePoint::from_millis(10_000));
    fail(&mut table, &[("a", 0), ("a", 1), ("b", 0), ("b", 1)], now);
    let restarted = ServerEntry { start: ServerStart(2), ..entry("a", "engines", 0) };
    table.apply_entry(&name("a", 0), restarted, now);
    assert!(!table.is_cut_off_from(&engines(), now));
}

/// Guards against probes while nothing fails, and against a VM that learns only from its callers' requests that it is
/// cut off, or that it no longer is.
#[test]
fn servers_are_probed_while_several_fail_and_while_cut_off() {
    let (mut table, now) = (table(), TimePoint::from_millis(10_000));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    assert!(table.servers_to_probe(&mut rng, now).is_empty());
    fail(&mut table, &[("a", 0)], now);
    assert!(table.servers_to_probe(&mut rng, now).is_empty(), "one server may have crashed");
    fail(&mut table, &[("a", 1)], now);
    let targets = table.servers_to_probe(&mut rng, now);
    assert!(!targets.is_empty());
    assert!(targets.iter().all(|it| it.server.0.as_str().starts_with('b')), "{targets:?}");
    fail(&mut table, &[("b", 0), ("b", 1)], now);
    assert!(!table.servers_to_probe(&mut rng, now).is_empty(), "to notice the end of the cut");
    table.record_connected(&name("a", 2), START, now);
    assert!(table.servers_to_probe(&mut rng, now).is_empty());
}

/// Guards against a system of hundreds of servers in which each VM that is cut off probes all of them.
#[test]
fn the_number_of_probes_is_bounded() {
    let now = TimePoint::from_millis(10_000);
    let mut table = ServerTable::default();
    for centre in 0..12 {
        let centre = format!("c{centre}");
        for at in 0..80 {
            table.apply_entry(&name(&centre, at), entry(&centre, "engines", at), now);
        }
        fail(&mut table, &[(&centre, 0), (&centre, 1)], now);
    }
    assert!(table.is_cut_off_from(&engines(), now));
    let targets = table.servers_to_probe(&mut Pcg64Mcg::seed_from_u64(1), now);
    assert!((1..=8).contains(&targets.len()), "{} probes", targets.len());
}
