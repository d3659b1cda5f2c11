//! Placement: time an entry VM takes to select a server, by number of servers.

use std::time::{Duration, Instant};

use quincevalve_forwarding::{
    config::Engine,
    load::WorkSum,
    placement::{PlacementRequest, Prompt},
    servers::{ServerEntry, ServerStart, ServerTable},
};
use quincevalve_names::{BackendServerName, TimePoint};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::table::{Table, two};

const ROUNDS: u32 = 20_000;
const CENTRES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Number of shared prompt prefixes.
const PARTS: u64 = 1_400;

pub(crate) fn run(seed: u64) -> Vec<Table> {
    let title =
        "One placement among servers that have work, and taking over what others told of them";
    let columns = ["servers", "us a placement", "us a digest"];
    let mut table = Table::new("placement", title, &columns);
    for servers in [50, 204, 455, 910] {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut known = with_work(servers, &mut rng);
        let placing = micros(|| place(&known, &mut rng));
        let digest = micros(|| take_over(&mut known));
        table.push(vec![servers.to_string(), two(placing), two(digest)]);
    }
    vec![table]
}

/// Returns the time of one call in microseconds.
fn micros(mut call: impl FnMut()) -> f64 {
    let began = Instant::now();
    (0..ROUNDS).for_each(|_| call());
    began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn now() -> TimePoint {
    TimePoint::from_millis(1_000)
}

fn with_work(count: usize, rng: &mut Pcg64Mcg) -> ServerTable {
    let mut servers = ServerTable::default();
    for at in 0..count {
        let name: BackendServerName = format!("i-{at:010}").as_str().into();
        let entry = ServerEntry {
            start: ServerStart(1),
            service: "model".into(),
            address: ([10, 1, (at / 200) as u8, (at % 200) as u8], 80).into(),
            data_centre: CENTRES[at % CENTRES.len()].into(),
            version: "v1".into(),
            slots: 16,
            is_cold: false,
            draining: false,
            reclaimable: true,
            leaves_in: None,
        };
        servers.apply_entry(&name, entry, TimePoint::ZERO);
    }
    for (_, server) in servers.all_mut() {
        let requests = rng.random_range(0..12);
        let work = WorkSum { requests, recent_prefill: 30_000, ..WorkSum::default() };
        server.load.set_peer_work(work, now());
    }
    servers
}

fn place(servers: &ServerTable, rng: &mut Pcg64Mcg) {
    let shared = Some((rng.random_range(0..PARTS), 5_000));
    let prompt = Prompt { input: 9_000, max_output: 400, expected_output: None, shared };
    let engine = Engine { slots: 16, kv_tokens: 545_000, supports_migration: true };
    let ask = PlacementRequest {
        service: &"model".into(),
        prompt: Some((prompt, engine)),
        urgency: 1,
        latency_budget: Duration::from_millis(680),
        data_centre: &"a".into(),
        tried: &[],
        scope: None,
        version: None,
        barred: &[],
    };
    std::hint::black_box(servers.place(&ask, rng, now()).is_ok());
}

fn take_over(servers: &mut ServerTable) {
    for (_, server) in servers.all_mut() {
        server.load.set_peer_work(WorkSum::default(), now());
    }
}
