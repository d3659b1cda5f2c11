//! Cost at the latency target: the smallest fleet at which each request class meets its target.

use std::time::Duration;

use quincevalve_names::TimePoint;
use quincevalve_routing::{LeastOutstanding, Policy, PredictedFirstToken};

use super::routing::speed;
use crate::{
    arena::{self, Run, Setup},
    stats::percentile,
    table::{Table, two},
    workload::{self, Mix, Prefixes, Question},
};

const LENGTH: Duration = Duration::from_secs(120);
/// Warm-up time. Earlier requests meet cold caches and are excluded from the result.
const WARM_UP: TimePoint = TimePoint::from_millis(30_000);
/// Fraction of requests of each class that must meet the latency target.
const REQUIRED_FRACTION: f64 = 0.95;

struct Scale {
    name: &'static str,
    rate: f64,
    routers: u32,
    max_servers: u32,
}

/// Today's deployments, and one data centre's share of the target.
const SCALES: [Scale; 2] = [
    Scale { name: "today", rate: 22.0, routers: 8, max_servers: 40 },
    Scale { name: "target, one data centre", rate: 140.0, routers: 33, max_servers: 200 },
];

pub(crate) fn run(seed: u64) -> Vec<Table> {
    let title = "Smallest fleet that keeps each promise for 95 in 100 (one price for each server)";
    let columns = [
        "user",
        "scale",
        "prefixes",
        "requests/s",
        "ours",
        "naive",
        "ours/naive",
        "prefill tokens ours/naive",
    ];
    let mut table = Table::new("cost_at_target", title, &columns);
    for mix in &workload::MIXES {
        for scale in &SCALES {
            for prefixes in [Prefixes::Many, Prefixes::Few] {
                table.push(compare(mix, scale, prefixes, seed));
            }
        }
    }
    vec![table]
}

fn compare(mix: &Mix, scale: &Scale, prefixes: Prefixes, seed: u64) -> Vec<String> {
    let questions = workload::draw(mix, prefixes, scale.rate, LENGTH, seed);
    let ours = find_smallest_fleet(mix, scale, &questions, PredictedFirstToken, true, seed);
    let naive = find_smallest_fleet(mix, scale, &questions, LeastOutstanding, false, seed);
    let cell =
        |it: &Option<(u32, u64)>| it.map_or_else(|| "none".to_owned(), |it| it.0.to_string());
    let ratio = |of: fn((u32, u64)) -> f64| match (ours, naive) {
        (Some(ours), Some(naive)) => two(of(ours) / of(naive)),
        _ => "-".to_owned(),
    };
    vec![
        mix.name.to_owned(),
        scale.name.to_owned(),
        prefixes.name().to_owned(),
        two(scale.rate),
        cell(&ours),
        cell(&naive),
        ratio(|it| f64::from(it.0)),
        ratio(|it| it.1 as f64),
    ]
}

/// Finds the smallest sufficient fleet by bisection; also returns the prompt tokens that it computed.
fn find_smallest_fleet<P>(
    mix: &Mix,
    scale: &Scale,
    questions: &[Question],
    policy: P,
    priorities: bool,
    seed: u64,
) -> Option<(u32, u64)>
where
    P: Policy + Clone,
{
    let try_fleet = |servers: u32| {
        let setup = Setup {
            servers,
            routers: scale.routers,
            speed: speed(),
            priorities,
            report_lag: Some(Duration::from_secs(1)),
            wave: None,
        };
        let run = arena::run(setup, mix, questions, policy.clone(), seed);
        meets_latency_targets(mix, questions, &run).then_some(run.prefilled)
    };
    let mut low = 0;
    let mut high = scale.max_servers;
    let mut found = try_fleet(high)?;
    while high - low > 1 {
        let middle = u32::midpoint(low, high);
        if middle == 0 {
            break;
        }
        match try_fleet(middle) {
            Some(prefilled) => {
                high = middle;
                found = prefilled;
            }
            None => low = middle,
        }
    }
    Some((high, found))
}

fn meets_latency_targets(mix: &Mix, questions: &[Question], run: &Run) -> bool {
    mix.kinds.iter().enumerate().all(|(at, kind)| {
        let measured = run.outcomes.iter().zip(questions).filter(|it| it.1.at >= WARM_UP);
        let of_kind = measured.map(|it| it.0).filter(|it| it.kind == at);
        let mut times: Vec<_> = of_kind
            .map(|it| if kind.interactive { it.first } else { it.end })
            .map(|it| it.unwrap_or(Duration::MAX))
            .collect();
        percentile(&mut times, REQUIRED_FRACTION) <= kind.latency_target
    })
}
