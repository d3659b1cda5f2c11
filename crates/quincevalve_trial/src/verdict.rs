//! Verdict on a run: compares what callers received with what the stand-ins observed.

use std::{collections::HashMap, time::Duration};

use quincevalve_names::{Outcome, RequestId};
use quincevalve_standins::answers;
use serde::Serialize;

use crate::{
    caller::{CallResult, Received},
    fault::Fault,
    options::Options,
    testbed::{Backend, Testbed},
    workload::Payload,
};

/// Counts of a run. The order of the fields is their order in the JSON output.
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

/// Prints a progress message on stderr.
pub(crate) fn print_progress(text: &str) {
    eprintln!("trial: {text}");
}

/// Executions observed by the stand-ins, summed over all backend servers.
pub(crate) struct Observations {
    executions: HashMap<String, u32>,
    started: HashMap<RequestId, u32>,
    recomputed: u64,
}

impl Observations {
    pub(crate) fn collect(testbed: &Testbed) -> Self {
        let mut observations =
            Self { executions: HashMap::new(), started: HashMap::new(), recomputed: 0 };
        for vm in &testbed.backends {
            match &vm.backend {
                Backend::Engine(engine) => {
                    let counters = engine.counters();
                    observations.recomputed += counters.recomputed_tokens;
                    for (id, count) in counters.started {
                        *observations.started.entry(id).or_default() += count;
                    }
                }
                Backend::Service(service) => {
                    for (mark, count) in service.counters().executions {
                        *observations.executions.entry(mark).or_default() += count;
                    }
                }
            }
        }
        observations
    }

    /// Returns how often the backend servers executed a request.
    fn execution_count(&self, received: &Received) -> u32 {
        match received.planned.payload {
            Payload::Service { .. } => {
                let mark = received.planned.number.to_string();
                self.executions.get(&mark).copied().unwrap_or(0)
            }
            Payload::Model { .. } => {
                received.id.and_then(|it| self.started.get(&it)).copied().unwrap_or(0)
            }
        }
    }
}

impl Verdict {
    pub(crate) fn from_run(options: &Options, testbed: &Testbed, received: &[Received]) -> Self {
        let observations = Observations::collect(testbed);
        let crashes_entry = options.faults.iter().any(|it| it.crashes_entry());
        let mut verdict = Self { sent: u64::from(options.requests), ..Self::default() };
        for it in received {
            verdict.count_request(it, observations.execution_count(it), crashes_entry);
        }
        verdict.lost += verdict.sent - received.len() as u64;
        verdict.accepted = verdict.sent - verdict.refused;
        verdict.tokens_recomputed = observations.recomputed;
        let firsts = received.iter().filter_map(|it| it.first_token).collect();
        verdict.first_token_p95_ms = percentile(firsts, 0.95).as_secs_f64() * 1_000.0;
        verdict.cost = cost(testbed);
        verdict
    }

    fn count_request(&mut self, received: &Received, runs: u32, crashes_entry: bool) {
        let is_billed = matches!(received.planned.class, "booking" | "billed-report" | "record");
        if is_billed && runs > 1 {
            self.ran_twice += 1;
        }
        match &received.result {
            CallResult::Whole(text) if *text == expected_answer(&received.planned.payload) => {
                self.complete += 1;
            }
            CallResult::Whole(_) => self.wrong += 1,
            CallResult::Refused { outcome: Outcome::NotRun, .. } => {
                self.refused += 1;
                if runs > 0 {
                    self.untruthful += 1;
                }
            }
            CallResult::Refused { outcome: Outcome::MayHaveRun, .. } => self.may_have_run += 1,
            // An entry VM that crashes loses its state, so the answer may not be resumable. The caller sees the
            // connection close, which truthfully means that the request may have run.
            CallResult::CutOff | CallResult::Nothing if crashes_entry => self.may_have_run += 1,
            CallResult::CutOff => self.cut_off += 1,
            CallResult::Nothing => self.lost += 1,
        }
    }

    /// Returns whether the run kept all guarantees that hold under the injected faults.
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

/// Returns the complete correct answer.
fn expected_answer(payload: &Payload) -> String {
    match payload {
        Payload::Model { prompt, max_tokens, .. } => {
            answers::full_answer(&format!("user: {prompt}\n"), *max_tokens)
        }
        Payload::Service { body, .. } => answers::service_answer("/calls", body.as_bytes()),
    }
}

/// Returns the `fraction` quantile of `values` by the nearest-rank method, or zero without values.
pub(crate) fn percentile(mut values: Vec<Duration>, fraction: f64) -> Duration {
    values.sort_unstable();
    let position = (values.len() as f64 * fraction).ceil() as usize;
    values.get(position.saturating_sub(1)).copied().unwrap_or_default()
}

/// Returns the cost of the backend servers for the time that they ran, in the operators' currency.
fn cost(testbed: &Testbed) -> f64 {
    let now = std::time::Instant::now();
    let costs = testbed.backends.iter().map(|it| {
        let ran = it.ended_at.unwrap_or(now) - testbed.started;
        it.price_milli as f64 / 1_000.0 * ran.as_secs_f64() / 3_600.0
    });
    costs.sum()
}
