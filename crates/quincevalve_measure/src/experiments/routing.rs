//! Routing: what one decision costs, and whether many routers herd.

use std::time::{Duration, Instant};

use quincevalve_names::{TimePoint, mix};
use quincevalve_routing::{
    LeastOutstanding, LoadReport, Policy, PredictedFirstToken, Router, RoutingRequest, ServerIndex,
    ServerSpec, Target, Urgency,
};
use quincevalve_standins::EngineSpeed;
use stats_alloc::Region;

use crate::{
    ALLOCATOR,
    arena::{self, Setup},
    stats::{millis, percentile},
    table::{Table, two},
    workload::{self, FLUGHAFENSHUTTLE, Prefixes},
};

pub(crate) fn run(seed: u64) -> Vec<Table> {
    vec![decisions(seed), herd(seed)]
}

const DATA_CENTRES: u32 = 11;
const DECISIONS: u32 = 100_000;

/// The cost of one decision as the fleet grows.
fn decisions(seed: u64) -> Table {
    let title = "One routing decision, 11 data centres, 50% of slots taken";
    let columns = ["servers", "policy", "median ns", "p99 ns", "allocations a decision"];
    let mut table = Table::new("routing_decision", title, &columns).with_plot(0, 2, 1);
    for servers in [10, 100, 910, 1_000] {
        let ours = decide(servers, PredictedFirstToken, seed);
        table.push(row(servers, "ours", ours));
        let naive = decide(servers, LeastOutstanding, seed);
        table.push(row(servers, "naive", naive));
    }
    table
}

fn row(servers: u32, policy: &str, cost: (f64, f64, f64)) -> Vec<String> {
    let (median, p99, allocations) = cost;
    vec![servers.to_string(), policy.to_owned(), two(median), two(p99), two(allocations)]
}

fn decide<P>(servers: u32, policy: P, seed: u64) -> (f64, f64, f64)
where
    P: Policy,
{
    const BATCH: u32 = 50;
    let pool = Target::Model("model".into());
    let mut router = Router::new(policy, seed);
    for server in 0..servers {
        router.upsert(ServerSpec {
            name: format!("server-{server}").as_str().into(),
            data_centre: format!("dc-{}", server % DATA_CENTRES.min(servers)).as_str().into(),
            target: pool.clone(),
            slots: 16,
            prefill_tokens_per_s: 8_000,
            token_time: Duration::from_millis(30),
            reclaimable: server % 2 == 0,
            drained: false,
        });
        let report = LoadReport { at: TimePoint(1), running: 8, queued_tokens: server % 900 };
        router.update_load(ServerIndex(server), report);
    }
    let data_centre = "dc-0".into();
    let mut times = Vec::new();
    let mut allocations = 0;
    for batch in 0..DECISIONS / BATCH {
        let region = Region::new(ALLOCATOR);
        let began = Instant::now();
        for at in 0..BATCH {
            let prefix = mix(seed, u64::from(batch * BATCH + at) % 5_000);
            let ask = RoutingRequest {
                now: TimePoint(2),
                pool: &pool,
                data_centre: &data_centre,
                prefix,
                prompt_tokens: 1_500,
                urgency: Urgency::Interactive,
                tried: &[],
            };
            std::hint::black_box(router.choose(&ask).ok());
        }
        times.push(began.elapsed() / BATCH);
        allocations += region.change().allocations;
    }
    let median = percentile(&mut times, 0.5).as_nanos() as f64;
    let p99 = percentile(&mut times, 0.99).as_nanos() as f64;
    (median, p99, allocations as f64 / f64::from(DECISIONS))
}

/// Thirty routers that decide on the same stale reports.
fn herd(seed: u64) -> Table {
    let title = "30 routers, 60 servers, reports 2 s old: waits and imbalance";
    let columns = ["policy", "first p50 ms", "first p95 ms", "largest load over mean"];
    let mut table = Table::new("routing_herd", title, &columns);
    let speed = speed();
    let questions =
        workload::draw(&FLUGHAFENSHUTTLE, Prefixes::Many, 130.0, Duration::from_secs(60), seed);
    let setup = Setup {
        servers: 60,
        routers: 30,
        speed,
        priorities: true,
        report_lag: Some(Duration::from_secs(2)),
        wave: None,
    };
    let ours = arena::run(setup, &FLUGHAFENSHUTTLE, &questions, PredictedFirstToken, seed);
    table.push(waits("ours", &ours));
    let least = arena::run(setup, &FLUGHAFENSHUTTLE, &questions, LeastOutstanding, seed);
    table.push(waits("naive: least own outstanding", &least));
    let reported = arena::run(setup, &FLUGHAFENSHUTTLE, &questions, LeastReported, seed);
    table.push(waits("naive: least reported", &reported));
    table
}

fn waits(policy: &str, run: &arena::Run) -> Vec<String> {
    let mut firsts: Vec<_> = run.outcomes.iter().filter_map(|it| it.first).collect();
    let median = percentile(&mut firsts, 0.5);
    let p95 = percentile(&mut firsts, 0.95);
    vec![policy.to_owned(), millis(median), millis(p95), two(run.imbalance)]
}

/// Naive: whoever reported the least load gets everything until the next report.
#[derive(Clone, Copy, Debug)]
struct LeastReported;

impl Policy for LeastReported {
    const SCANS_ALL: bool = true;
    const DEFERS_BULK: bool = false;

    fn cost(
        &self,
        _ask: &RoutingRequest<'_>,
        candidate: &quincevalve_routing::Candidate<'_>,
    ) -> f64 {
        f64::from(candidate.reported_running())
    }
}

/// An engine at the target's size: 840,000 tokens a second over 910 workers at up to 48 ms between two
/// tokens are 37 to 44 answers at once on each.
pub(super) const fn speed() -> EngineSpeed {
    EngineSpeed {
        slots: 40,
        prefill_tokens_per_s: 8_000,
        token_time: Duration::from_millis(40),
        cache_tokens: 120_000,
    }
}
