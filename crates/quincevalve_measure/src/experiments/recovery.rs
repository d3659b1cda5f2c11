//! Recovery: tokens recomputed when a reclaim wave takes 46% of the servers.

use std::time::Duration;

use quincevalve_names::TimePoint;
use quincevalve_routing::PredictedFirstToken;

use super::routing::speed;
use crate::{
    arena::{self, Run, Setup, Wave},
    stats::{millis, percentile},
    table::{Table, two},
    workload::{self, Mix, Prefixes},
};

const LENGTH: Duration = Duration::from_secs(120);
const WAVE_AT: TimePoint = TimePoint::from_millis(60_000);
const SHARE: f64 = 0.46;

struct Scale {
    name: &'static str,
    servers: u32,
    routers: u32,
    rate: f64,
}

const SCALES: [Scale; 2] = [
    Scale { name: "today", servers: 24, routers: 8, rate: 14.0 },
    Scale { name: "target, one data centre", servers: 160, routers: 33, rate: 90.0 },
];

/// Notice periods in seconds; no notice stands for a crash of the same number of servers.
const NOTICES: [(&str, u64); 4] = [("30 s", 30), ("10 s", 10), ("2 s", 2), ("none", 0)];

pub(crate) fn run(seed: u64) -> Vec<Table> {
    let title = "Tokens computed again in a wave that takes 46% of the servers";
    let columns = [
        "user",
        "scale",
        "notice",
        "answers moved",
        "ours",
        "naive",
        "ours/naive",
        "ours end p95 ms",
        "naive end p95 ms",
    ];
    let mut table = Table::new("recovery_wave", title, &columns);
    for mix in &workload::MIXES {
        for scale in &SCALES {
            for (name, seconds) in NOTICES {
                table.push(compare(mix, scale, name, Duration::from_secs(seconds), seed));
            }
        }
    }
    vec![table]
}

fn compare(mix: &Mix, scale: &Scale, name: &str, notice: Duration, seed: u64) -> Vec<String> {
    let questions = workload::draw(mix, Prefixes::Many, scale.rate, LENGTH, seed);
    let with = |compares_continuations: bool| {
        let setup = Setup {
            servers: scale.servers,
            routers: scale.routers,
            speed: speed(),
            priorities: true,
            report_lag: Some(Duration::from_secs(1)),
            wave: Some(Wave { at: WAVE_AT, share: SHARE, notice, compares_continuations }),
        };
        arena::run(setup, mix, &questions, PredictedFirstToken, seed)
    };
    let ours = with(true);
    let naive = with(false);
    let ratio = if naive.recomputed == 0 {
        "-".to_owned()
    } else {
        two(ours.recomputed as f64 / naive.recomputed as f64)
    };
    vec![
        mix.name.to_owned(),
        scale.name.to_owned(),
        name.to_owned(),
        ours.moved.to_string(),
        ours.recomputed.to_string(),
        naive.recomputed.to_string(),
        ratio,
        end_p95(&ours),
        end_p95(&naive),
    ]
}

fn end_p95(run: &Run) -> String {
    let mut ends: Vec<_> = run.outcomes.iter().map(|it| it.end.unwrap_or(Duration::MAX)).collect();
    let p95 = percentile(&mut ends, 0.95);
    if p95 == Duration::MAX { "lost".to_owned() } else { millis(p95) }
}
