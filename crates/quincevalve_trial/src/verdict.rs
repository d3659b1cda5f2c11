//! The count of a run, from what callers received and what the stand-ins saw.

use std::{collections::HashMap, time::Duration};

use quincevalve_names::{Outcome, RequestId};
use quincevalve_standins::answers;
use serde::Serialize;

use crate::{
    caller::{Ending, Received},
    fault::Fault,
    options::Options,
    workload::Ask,
    world::{Backend, World},
};

/// The result, in the order of the JSON line.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Verdict {
    pub(crate) sent: u64,
    pub(crate) accepted: u64,
    pub(crate) complete: u64,
    pub(crate) refused: u64,
    pub(crate) may_have_run: u64,
    pub(crate) lost: u64,
    pub(crate) wrong: u64,
    pub(crate) ran_twice: u64,
    pub(crate) untruthful: u64,
    pub(crate) tokens_recomputed: u64,
    pub(crate) cut_off: u64,
    pub(crate) first_token_p95_ms: f64,
    pub(crate) cost: f64,
}

/// Prints what happens while the trial runs.
pub(crate) fn progress(text: &str) {
    eprintln!("trial: {text}");
}

/// What the stand-ins saw, over all of them.
pub(crate) struct Seen {
    executions: HashMap<String, u32>,
    started: HashMap<RequestId, u32>,
    recomputed: u64,
}

impl Seen {
    pub(crate) fn of(world: &World) -> Self {
        let mut seen = Self { executions: HashMap::new(), started: HashMap::new(), recomputed: 0 };
        for vm in &world.backends {
            match &vm.backend {
                Backend::Engine(engine) => {
                    let ledger = engine.counters();
                    seen.recomputed += ledger.recomputed_tokens;
                    for (id, count) in ledger.started {
                        *seen.started.entry(id).or_default() += count;
                    }
                }
                Backend::Service(service) => {
                    for (mark, count) in service.counters().executions {
                        *seen.executions.entry(mark).or_default() += count;
                    }
                }
            }
        }
        seen
    }

    /// How often a request was run, as the backends saw it.
    fn runs(&self, received: &Received) -> u32 {
        match received.question.ask {
            Ask::Service { .. } => {
                let mark = received.question.number.to_string();
                self.executions.get(&mark).copied().unwrap_or(0)
            }
            Ask::Model { .. } => {
                received.id.and_then(|it| self.started.get(&it)).copied().unwrap_or(0)
            }
        }
    }
}

impl Verdict {
    pub(crate) fn count(options: &Options, world: &World, received: &[Received]) -> Self {
        let seen = Seen::of(world);
        let crashes_entry = options.faults.iter().any(|it| it.crashes_entry());
        let mut verdict = Self { sent: u64::from(options.requests), ..Self::default() };
        for it in received {
            verdict.count_one(it, seen.runs(it), crashes_entry);
        }
        verdict.lost += verdict.sent - received.len() as u64;
        verdict.accepted = verdict.sent - verdict.refused;
        verdict.tokens_recomputed = seen.recomputed;
        let firsts = received.iter().filter_map(|it| it.first_token).collect();
        verdict.first_token_p95_ms = percentile(firsts, 0.95).as_secs_f64() * 1_000.0;
        verdict.cost = cost(world);
        verdict
    }

    fn count_one(&mut self, received: &Received, runs: u32, crashes_entry: bool) {
        let is_billed = matches!(received.question.class, "booking" | "billed-report" | "record");
        if is_billed && runs > 1 {
            self.ran_twice += 1;
        }
        match &received.ending {
            Ending::Whole(text) if *text == expected(&received.question.ask) => self.complete += 1,
            Ending::Whole(_) => self.wrong += 1,
            Ending::Refused { outcome: Outcome::NotRun, .. } => {
                self.refused += 1;
                if runs > 0 {
                    self.untruthful += 1;
                }
            }
            Ending::Refused { outcome: Outcome::MayHaveRun, .. } => self.may_have_run += 1,
            // Without notice an entry VM takes what it knew with it; the caller sees the connection
            // end, which is the truth: the request may have run.
            Ending::CutOff | Ending::Nothing if crashes_entry => self.may_have_run += 1,
            Ending::CutOff => self.cut_off += 1,
            Ending::Nothing => self.lost += 1,
        }
    }

    /// Whether the run kept what is promised under its faults.
    pub(crate) fn is_clean(&self, faults: &[Fault]) -> bool {
        let unannounced = faults.iter().any(|it| it.is_unannounced());
        (unannounced || self.may_have_run == 0)
            && self.lost == 0
            && self.wrong == 0
            && self.ran_twice == 0
            && self.untruthful == 0
            && self.cut_off == 0
    }
}

/// The whole right answer.
fn expected(ask: &Ask) -> String {
    match ask {
        Ask::Model { prompt, max_tokens, .. } => {
            answers::full_answer(&format!("user: {prompt}\n"), *max_tokens)
        }
        Ask::Service { body, .. } => answers::service_answer("/calls", body.as_bytes()),
    }
}

/// The value that a share of all values doesn't exceed.
pub(crate) fn percentile(mut values: Vec<Duration>, share: f64) -> Duration {
    values.sort_unstable();
    let position = (values.len() as f64 * share).ceil() as usize;
    values.get(position.saturating_sub(1)).copied().unwrap_or_default()
}

/// What the backend servers cost while they ran, in the operators' currency.
fn cost(world: &World) -> f64 {
    let now = std::time::Instant::now();
    let costs = world.backends.iter().map(|it| {
        let ran = it.ended.unwrap_or(now) - world.started;
        it.price_milli as f64 / 1_000.0 * ran.as_secs_f64() / 3_600.0
    });
    costs.sum()
}
