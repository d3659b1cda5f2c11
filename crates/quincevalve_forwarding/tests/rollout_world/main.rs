//! Simulated roll-outs of good and bad versions over many VMs in virtual time, with other faults at the same time.
//!
//! `cargo test --release -p quincevalve_forwarding --test rollout_world table -- --ignored --nocapture` prints the
//! results of all combinations; `ROLLOUT_VMS`, `ROLLOUT_SECONDS` and `ROLLOUT_SEEDS` set other sizes.

mod plan;
mod world;

use plan::{Disturbance, FaultOnset, Plan, VersionFault, engines, plain};
use world::{Counts, Outcome, World, verdict_name};

/// Maximum milliseconds from the fiftieth bad answer to the last request that is sent to a bad version.
const MAX_ROLLBACK_MS: u64 = 5_000;
/// Minimum fraction of good versions that are completed in time, for short orders and for orders of 30 s or more.
const MIN_COMPLETED: [f64; 2] = [0.95, 0.99];

const ONSETS: [FaultOnset; 4] =
    [FaultOnset::Immediate, FaultOnset::Late, FaultOnset::UnderLoad, FaultOnset::OneRoute];

const DISTURBANCES: [Disturbance; 13] = [
    Disturbance::None,
    Disturbance::GreyServers,
    Disturbance::SlowServers,
    Disturbance::FaultyAnswers,
    Disturbance::Crashes,
    Disturbance::Flapping,
    Disturbance::Partitioned,
    Disturbance::Restarts,
    Disturbance::HolderPartitioned,
    Disturbance::HolderKilled(6_000),
    Disturbance::AllKilled(7_000),
    Disturbance::StoreUnreachable(5_000, 9_500),
    Disturbance::StoreAnswersLost,
];

/// Returns the numbers of an environment variable, separated by commas, or else the default ones.
fn numbers_from_env<const N: usize>(variable: &str, defaults: [usize; N]) -> Vec<usize> {
    let text = std::env::var(variable).unwrap_or_default();
    let numbers: Vec<usize> = text.split(',').filter_map(|it| it.parse().ok()).collect();
    if numbers.is_empty() { defaults.to_vec() } else { numbers }
}

/// Results over several seeds.
#[derive(Default)]
struct Row {
    runs: usize,
    completed: usize,
    completed_in_time: usize,
    /// Runs in which a bad version got more requests than the limit.
    over_limit: usize,
    /// Runs in which a bad version got requests too long after its fiftieth bad answer.
    late: usize,
    /// Maximum number of requests that a bad version got, as a fraction of the limit.
    max_exposure: f64,
    /// Answers that were truncated as the old servers stopped.
    truncated: u64,
    verdicts: Counts,
}

impl Row {
    fn add(&mut self, plan: &Plan, outcome: &Outcome) {
        self.runs += 1;
        self.completed += usize::from(outcome.is_completed());
        self.completed_in_time += usize::from(outcome.is_completed() && outcome.in_time());
        let allowed = plan.share * outcome.requests as f64 + plan.slack;
        if plan.version_fault.is_some() {
            self.max_exposure = self.max_exposure.max(outcome.exposed as f64 / allowed);
            self.over_limit += usize::from(outcome.exposed as f64 > allowed);
        }
        let is_late =
            outcome.fiftieth_at.is_some_and(|it| outcome.last_sent > it + MAX_ROLLBACK_MS);
        self.late += usize::from(is_late);
        self.truncated += outcome.truncated;
        *self.verdicts.entry(verdict_name(outcome)).or_default() += 1;
    }

    fn print(&self, name: &str) {
        eprintln!(
            "{name:55} completed {:3}/{:3}, in time {:3}  over {:2}  late {:2}  max exposure {:.2}  truncated {:3}  {:?}",
            self.completed,
            self.runs,
            self.completed_in_time,
            self.over_limit,
            self.late,
            self.max_exposure,
            self.truncated,
            self.verdicts
        );
    }
}

fn simulate(plan: &Plan, seeds: u64) -> Row {
    let mut row = Row::default();
    for seed in 0..seeds {
        row.add(plan, &World::new(plan.clone(), seed).simulate());
    }
    row
}

fn version_fault(onset: FaultOnset, failure_rate: f64, slowdown: f64) -> VersionFault {
    VersionFault { onset, failure_rate, slowdown }
}

/// Asserts that good versions are completed in time, and that no answer is truncated.
fn assert_completed(plan: Plan, seeds: u64) {
    let row = simulate(&plan, seeds);
    row.print("good");
    let wanted = MIN_COMPLETED[usize::from(plan.duration >= 30_000)];
    assert!(row.completed_in_time as f64 >= wanted * row.runs as f64, "{:?}", row.verdicts);
    assert_eq!(row.truncated, 0, "answers were truncated");
}

/// Asserts that bad versions are not completed, and get no more requests than the limit.
fn assert_rolled_back(plan: Plan, seeds: u64) {
    let row = simulate(&plan, seeds);
    row.print("bad");
    assert_eq!(
        (row.over_limit, row.late),
        (0, 0),
        "at most {:.2} times the limit",
        row.max_exposure
    );
    assert_eq!(row.completed, 0, "{:?}", row.verdicts);
}

macro_rules! simulations {
    ($($name:ident => $check:ident($plan:expr, $seeds:literal);)+) => {
        $(#[test] fn $name() { $check($plan, $seeds); })+
    };
}

simulations! {
    completes_with_engines => assert_completed(engines(64, 12_000), 2);
    completes_with_a_plain_service => assert_completed(plain(64, 60_000), 1);
    completes_with_a_few_engines => assert_completed(engines(8, 30_000), 3);
    completes_when_a_quarter_of_the_vms_is_partitioned =>
        assert_completed(Plan { disturbance: Disturbance::Partitioned, ..engines(8, 30_000) }, 3);
    completes_when_some_servers_of_any_version_are_slow =>
        assert_completed(Plan { disturbance: Disturbance::SlowServers, ..engines(8, 30_000) }, 20);
    completes_when_the_holder_is_killed =>
        assert_completed(Plan { disturbance: Disturbance::HolderKilled(6_000), ..engines(8, 30_000) }, 3);
    completes_when_the_store_is_unreachable_for_a_time =>
        assert_completed(Plan { disturbance: Disturbance::StoreUnreachable(5_000, 9_500), ..engines(8, 30_000) }, 3);
    completes_when_all_vms_are_killed =>
        assert_completed(Plan { disturbance: Disturbance::AllKilled(7_000), ..engines(8, 30_000) }, 3);
    rolls_back_when_few_answers_fail => assert_rolled_back(Plan { version_fault: Some(version_fault(FaultOnset::Immediate, 0.15, 1.0)), ..engines(64, 12_000) }, 1);
    rolls_back_when_many_answers_fail => assert_rolled_back(Plan { version_fault: Some(version_fault(FaultOnset::Immediate, 0.45, 1.0)), ..engines(8, 12_000) }, 3);
    rolls_back_when_answers_are_slow => assert_rolled_back(Plan { version_fault: Some(version_fault(FaultOnset::Immediate, 0.0, 4.0)), ..engines(8, 12_000) }, 3);
    rolls_back_when_answers_fail_late => assert_rolled_back(Plan { version_fault: Some(version_fault(FaultOnset::Late, 0.15, 1.0)), ..engines(8, 30_000) }, 3);
    rolls_back_when_answers_are_slow_late => assert_rolled_back(Plan { version_fault: Some(version_fault(FaultOnset::Late, 0.0, 8.0)), ..engines(8, 30_000) }, 3);
    rolls_back_when_answers_fail_under_load => assert_rolled_back(Plan { version_fault: Some(version_fault(FaultOnset::UnderLoad, 0.45, 1.0)), ..engines(8, 30_000) }, 3);
    rolls_back_when_answers_fail_on_one_route => assert_rolled_back(Plan { version_fault: Some(version_fault(FaultOnset::OneRoute, 0.15, 1.0)), ..engines(8, 30_000) }, 3);
    rolls_back_when_answers_of_a_plain_service_fail => assert_rolled_back(Plan { version_fault: Some(version_fault(FaultOnset::Immediate, 0.15, 1.0)), ..plain(64, 12_000) }, 2);
    rolls_back_when_all_vms_are_killed => assert_rolled_back(
        Plan { version_fault: Some(version_fault(FaultOnset::Immediate, 0.45, 1.0)), disturbance: Disturbance::AllKilled(7_000), ..engines(8, 12_000) }, 3);
    rolls_back_when_the_store_is_unreachable => assert_rolled_back(
        Plan { version_fault: Some(version_fault(FaultOnset::Immediate, 0.45, 1.0)), disturbance: Disturbance::StoreUnreachable(4_000, 11_000), ..engines(8, 12_000) }, 3);
    rolls_back_when_vms_restart_repeatedly => assert_rolled_back(
        Plan { version_fault: Some(version_fault(FaultOnset::Immediate, 0.45, 1.0)), disturbance: Disturbance::Restarts, ..engines(8, 12_000) }, 3);
    rolls_back_with_a_small_share => assert_rolled_back(
        Plan { version_fault: Some(version_fault(FaultOnset::Immediate, 0.45, 1.0)), share: 0.01, slack: 0.0, ..engines(64, 12_000) }, 1);
}

// If a version turns bad near the deadline of a short order, it could take over the traffic before it is found bad.
#[test]
fn versions_that_turn_bad_late_in_a_short_order() {
    assert_rolled_back(
        Plan {
            version_fault: Some(version_fault(FaultOnset::Late, 0.0, 4.0)),
            ..engines(64, 12_000)
        },
        2,
    );
}

// If a VM finds the new version bad while the holder completes the roll-out, and sends to the old servers again, its
// answers are truncated when they stop.
#[test]
fn truncates_no_answers_when_a_version_turns_bad_at_the_end() {
    let plan = Plan {
        version_fault: Some(version_fault(FaultOnset::Late, 0.0, 4.0)),
        ..engines(8, 12_000)
    };
    assert_eq!(World::new(plan, 25).simulate().truncated, 0);
}

// In a short order few requests may be sent to the new version of a plain service, too few to judge a good version.
#[test]
fn plain_services_in_a_short_order() {
    assert_completed(plain(64, 12_000), 20);
}

#[test]
#[ignore = "takes minutes, started by hand"]
fn table() {
    let seeds = numbers_from_env("ROLLOUT_SEEDS", [50])[0] as u64;
    let kinds = [(0.05, 1.0), (0.15, 1.0), (0.45, 1.0), (0.0, 2.0), (0.0, 4.0), (0.0, 8.0)];
    for vms in numbers_from_env("ROLLOUT_VMS", [8, 64, 295]) {
        for seconds in numbers_from_env("ROLLOUT_SECONDS", [12, 30]) {
            let millis = seconds as u64 * 1_000;
            for (kind, plan) in [("engines", engines(vms, millis)), ("plain", plain(vms, millis))] {
                let head = format!("{kind} {vms} VMs {seconds} s");
                for disturbance in DISTURBANCES {
                    let good = Plan { disturbance, ..plan.clone() };
                    simulate(&good, seeds).print(&format!("{head} good {disturbance:?}"));
                }
                for onset in ONSETS {
                    for (fails, slow) in kinds {
                        let plan = Plan {
                            version_fault: Some(version_fault(onset, fails, slow)),
                            ..plan.clone()
                        };
                        simulate(&plan, seeds)
                            .print(&format!("{head} {onset:?} fails {fails} slow {slow}"));
                    }
                }
                let naive = Plan { guarded: false, ..plan.clone() };
                simulate(&naive, seeds).print(&format!("{head} naive, good"));
                let naive = Plan {
                    version_fault: Some(version_fault(FaultOnset::Immediate, 0.05, 1.0)),
                    ..naive
                };
                simulate(&naive, seeds).print(&format!("{head} naive, Immediate fails 0.05"));
                let naive = Plan {
                    version_fault: Some(version_fault(FaultOnset::Immediate, 0.0, 4.0)),
                    ..naive
                };
                simulate(&naive, seeds).print(&format!("{head} naive, Immediate slow 4"));
            }
        }
    }
}
