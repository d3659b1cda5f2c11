//! Tests which server is picked for a request, and when a request is rejected.

mod support;

use std::collections::HashMap;

use quincevalve_forwarding::{
    load::{Work, WorkSum},
    placement::{Placement, PlacementError},
    servers::ServerTable,
};
use quincevalve_names::{BackendServerName, TimePoint};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use support::{START, TestRequest, entry, millis, ms, prompt, server, table};

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(1)
}

fn place(table: &ServerTable, request: &TestRequest) -> Result<Placement, PlacementError> {
    table.place(&request.as_request(), &mut rng(), ms(0))
}

fn load(table: &mut ServerTable, at: usize, prefill: u32, count: u32) {
    let server = table.get_mut(&server(at), START).expect("a server of the table");
    for _ in 0..count {
        server.load.add_request(Work { prefill, memory: prefill, output: 100, urgency: 1 }, ms(0));
    }
}

#[test]
fn returns_no_server_when_the_table_is_empty() {
    assert_eq!(
        place(&ServerTable::default(), &TestRequest::default()),
        Err(PlacementError::NoServer)
    );
}

#[test]
fn does_not_pick_a_server_that_already_received_the_request() {
    let request = TestRequest { tried: vec![server(0)], ..TestRequest::default() };
    assert_eq!(place(&table(1), &request), Err(PlacementError::NoServer));
    assert_eq!(place(&table(2), &request).unwrap().server, server(1));
}

#[test]
fn picks_the_server_with_the_shorter_queue() {
    let mut table = table(2);
    load(&mut table, 0, 10_000, 3);
    assert_eq!(place(&table, &TestRequest::default()).unwrap().server, server(1));
}

// Guards against accepting a request that is answered late because of a prefill queue. If no server can answer in time,
// the request is rejected at once, with the earliest predicted time.
#[test]
fn rejects_a_request_that_cannot_be_answered_in_time() {
    let mut table = table(1);
    load(&mut table, 0, 12_000, 5);
    let request = TestRequest { latency_budget: millis(300), ..TestRequest::default() };
    let Err(PlacementError::Busy { predicted }) = place(&table, &request) else {
        panic!("a placement")
    };
    assert!(predicted > millis(500), "{predicted:?}");
}

#[test]
fn includes_work_reported_by_peers() {
    let mut table = table(2);
    let peer_work =
        WorkSum { requests: 9, prefill: 60_000, recent_prefill: 60_000, ..WorkSum::default() };
    table.get_mut(&server(0), START).unwrap().load.set_peer_work(peer_work, ms(0));
    assert_eq!(place(&table, &TestRequest::default()).unwrap().server, server(1));
}

#[test]
fn urgent_prompts_queue_behind_urgent_ones_only() {
    let mut table = table(1);
    load(&mut table, 0, 9_000, 6);
    let urgent = TestRequest { urgency: 0, latency_budget: millis(400), ..TestRequest::default() };
    let other = TestRequest { urgency: 1, latency_budget: millis(400), ..TestRequest::default() };
    assert!(place(&table, &urgent).is_ok());
    assert!(matches!(place(&table, &other), Err(PlacementError::Busy { .. })));
}

// Guards against long answers that miss their deadlines although their first tokens came in time. An engine that is
// busy with prefill generates tokens only between prefill chunks, so the sustained prompt rate is limited even if the
// queue is empty.
#[test]
fn rejects_prompts_when_prefill_leaves_no_time_for_tokens() {
    let mut table = table(1);
    let server = table.get_mut(&server(0), START).unwrap();
    for _ in 0..10 {
        let work = Work { prefill: 9_500, memory: 9_500, output: 100, urgency: 1 };
        server.load.add_request(work, ms(0));
        server.load.complete_prefill(work);
    }
    assert!(matches!(place(&table, &TestRequest::default()), Err(PlacementError::Busy { .. })));
    let later = ms(1_000);
    let placed = table.place(&TestRequest::default().as_request(), &mut rng(), later);
    assert!(placed.is_ok());
}

#[test]
fn rejects_requests_when_the_engine_has_no_free_slots() {
    let mut table = table(1);
    load(&mut table, 0, 1, 122);
    assert!(matches!(place(&table, &TestRequest::default()), Err(PlacementError::Busy { .. })));
}

#[test]
fn rejects_requests_when_the_engine_has_no_free_memory() {
    let mut table = table(1);
    let server = table.get_mut(&server(0), START).unwrap();
    let work = Work { prefill: 0, memory: 340_000, output: 100, urgency: 1 };
    server.load.add_request(work, ms(0));
    server.load.add_request(work, ms(0));
    assert!(matches!(place(&table, &TestRequest::default()), Err(PlacementError::Busy { .. })));
}

/// Places requests with `prefixes` different shared prefixes on 12 idle servers, and returns the servers used for each
/// prefix.
fn servers_by_prefix(prefixes: u64) -> HashMap<u64, Vec<BackendServerName>> {
    let table = table(12);
    let mut rng = rng();
    let mut by_prefix: HashMap<u64, Vec<BackendServerName>> = HashMap::new();
    for index in 0..prefixes * 20 {
        let prefix = index % prefixes;
        let prompt = Some(prompt(12_000, Some((prefix, 5_400))));
        let request = TestRequest { prompt, ..TestRequest::default() };
        let placed = table.place(&request.as_request(), &mut rng, ms(0)).expect("idle servers");
        let servers = by_prefix.entry(prefix).or_default();
        if !servers.contains(&placed.server) {
            servers.push(placed.server);
        }
    }
    by_prefix
}

#[test]
fn a_shared_prefix_stays_on_one_idle_server_and_prefixes_are_spread() {
    let by_prefix = servers_by_prefix(100);
    assert!(by_prefix.values().all(|it| it.len() == 1), "{by_prefix:?}");
    let mut used: Vec<_> = by_prefix.values().flatten().collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 12);
}

// Guards against callers that wait for the overloaded server that has the shared prefix cached while most servers idle.
// When its queue exceeds a few hundred milliseconds, the prefix is recomputed elsewhere.
#[test]
fn a_hot_prefix_overflows_to_another_server() {
    let mut table = table(12);
    let prompt = Some(prompt(12_000, Some((7, 5_400))));
    let request = TestRequest { prompt, ..TestRequest::default() };
    let first = place(&table, &request).unwrap().server;
    let at = (0..12).find(|it| server(*it) == first).unwrap();
    load(&mut table, at, 7_000, 7);
    assert_ne!(place(&table, &request).unwrap().server, first);
}

#[test]
fn does_not_pick_a_paused_server_while_another_is_available() {
    let mut table = table(2);
    table.get_mut(&server(0), START).unwrap().load.record_unreachable(TimePoint::ZERO);
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let placed = table.place(&TestRequest::default().as_request(), &mut rng, ms(0)).unwrap();
        assert_eq!(placed.server, server(1));
    }
}

#[test]
fn picks_a_paused_server_when_there_is_no_other() {
    let mut table = table(1);
    table.get_mut(&server(0), START).unwrap().load.record_unreachable(TimePoint::ZERO);
    assert!(place(&table, &TestRequest::default()).is_ok());
}

// Guards against pausing a healthy data centre for 1.5 s because one of its servers crashed and was tried twice, or two
// servers failed long after each other.
#[test]
fn does_not_pause_a_data_centre_for_one_unreachable_server() {
    let mut table = table(16);
    for at in [0, 100] {
        assert_eq!(table.mark_unreachable(&server(1), START, ms(at)), [(server(1), START)]);
    }
    assert_eq!(table.mark_unreachable(&server(5), START, ms(1_601)), [(server(5), START)]);
    assert_eq!(
        table.mark_unreachable(&server(9), START, ms(3_101)).len(),
        4,
        "in time after the last"
    );
}

// Guards against callers that wait for connections to a partitioned data centre while its servers are tried one by one.
// After two unreachable servers, the data centre's other servers are paused too.
#[test]
fn pauses_all_servers_of_an_unreachable_data_centre() {
    let mut table = table(16);
    assert_eq!(table.mark_unreachable(&server(1), START, ms(0)), [(server(1), START)]);
    let centre = [1, 5, 9, 13].map(|it| (server(it), START));
    assert_eq!(table.mark_unreachable(&server(5), START, ms(100)), centre);
    let placed = |seed| {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        table.place(&TestRequest::default().as_request(), &mut rng, ms(200)).map(|it| it.server)
    };
    for seed in 0..50 {
        let name = placed(seed).unwrap();
        let at = (0..16).find(|it| server(*it) == name).unwrap();
        assert_ne!(at % 4, 1, "{name} is in the unreachable data centre");
    }
    assert!(!table.get(&server(9)).unwrap().load.is_paused(ms(1_700)));
}

#[test]
fn pauses_grow_with_consecutive_failures_and_expire() {
    let mut table = table(1);
    let load = &mut table.get_mut(&server(0), START).unwrap().load;
    load.record_unreachable(ms(0));
    assert!(load.is_paused(ms(399)) && !load.is_paused(ms(400)));
    load.record_unreachable(ms(1_000));
    assert!(load.is_paused(ms(1_799)) && !load.is_paused(ms(1_800)));
    load.record_answer(millis(10), millis(10));
    load.record_unreachable(ms(5_000));
    assert!(!load.is_paused(ms(5_400)));
}

#[test]
fn prefers_a_server_without_recent_failures() {
    let mut table = table(2);
    for _ in 0..10 {
        table.get_mut(&server(0), START).unwrap().load.record_failure();
    }
    assert_eq!(place(&table, &TestRequest::default()).unwrap().server, server(1));
}

#[test]
fn prefers_a_server_that_is_not_slow() {
    let mut table = table(2);
    for _ in 0..20 {
        table.get_mut(&server(0), START).unwrap().load.record_answer(millis(800), millis(100));
    }
    assert_eq!(place(&table, &TestRequest::default()).unwrap().server, server(1));
}

// Calls of a plain service in flight between data centres fail when the network is partitioned, so they stay in their
// own data centre while its server has capacity.
#[test]
fn calls_stay_in_their_data_centre_while_it_has_capacity() {
    let mut table = ServerTable::default();
    for (at, centre) in ["a", "b"].iter().enumerate() {
        let small = quincevalve_forwarding::servers::ServerEntry { slots: 6, ..entry(centre) };
        table.apply_entry(&server(at), small, ms(0));
    }
    let call = TestRequest { prompt: None, ..TestRequest::default() };
    assert_eq!(place(&table, &call).unwrap().server, server(0));
    load(&mut table, 0, 0, 12);
    assert_eq!(place(&table, &call).unwrap().server, server(1));
}

// Guards against first tokens that come four times later than predicted from servers that have just started, because
// they were assumed to have cached the prompts with affinity to them. The estimated cache fill grows with the time in
// use.
#[test]
fn assumes_no_cached_prompts_on_a_server_that_just_started() {
    let mut table = table(1);
    let request =
        TestRequest { prompt: Some(prompt(17_000, Some((7, 13_000)))), ..TestRequest::default() };
    let predicted = |table: &ServerTable, at| {
        let placement = table.place(&request.as_request(), &mut rng(), at).expect("a free server");
        (placement.predicted.as_millis(), placement.work.prefill)
    };
    let (cold_ms, cold) = predicted(&table, ms(0));
    assert_eq!(cold, 17_000);
    assert!(cold_ms > 170, "{cold_ms}");
    let load = &mut table.get_mut(&server(0), START).unwrap().load;
    load.set_peer_work(WorkSum { requests: 1, ..WorkSum::default() }, ms(0));
    load.set_peer_work(WorkSum::default(), ms(100));
    let (_, warming) = predicted(&table, ms(2_000));
    assert!((9_000..12_000).contains(&warming), "{warming}");
    let (warm_ms, warm) = predicted(&table, ms(20_000));
    assert!((4_000..4_100).contains(&warm), "{warm}");
    assert!(warm_ms < 90, "{warm_ms}");
}
