//! Roll-outs over many VMs in virtual time: good and bad versions, beside other troubles.
//!
//! `cargo test --release -p quincevalve_forwarding --test rollout_world table -- --ignored --nocapture` prints what comes
//! of each; `ROLLOUT_VMS`, `ROLLOUT_SECONDS` and `ROLLOUT_SEEDS` name other sizes.

mod plan;
mod world;

use plan::{Badness, Plan, Trouble, Way, engines, plain};
use world::{Counts, Outcome, World, verdict_name};

/// Milliseconds from the fiftieth bad answer to the last request that is sent to a bad version.
const ROLLBACK: u64 = 5_000;
/// The part of good versions that are completed within a short order's time, and within a long one's.
const COMPLETED: [f64; 2] = [0.95, 0.99];

const WAYS: [Way; 4] = [Way::AtOnce, Way::Later, Way::UnderLoad, Way::OneRoute];

const TROUBLES: [Trouble; 13] = [
    Trouble::None,
    Trouble::GreyServers,
    Trouble::SlowServers,
    Trouble::SpoiledAnswers,
    Trouble::Crashes,
    Trouble::Flapping,
    Trouble::CutOff,
    Trouble::Restarts,
    Trouble::HolderCut,
    Trouble::HolderKilled(6_000),
    Trouble::AllKilled(7_000),
    Trouble::StoreAway(5_000, 9_500),
    Trouble::AnswersLost,
];

/// The numbers that a variable names, separated by commas, else the usual ones.
fn named<const N: usize>(variable: &str, usual: [usize; N]) -> Vec<usize> {
    let text = std::env::var(variable).unwrap_or_default();
    let named: Vec<usize> = text.split(',').filter_map(|it| it.parse().ok()).collect();
    if named.is_empty() { usual.to_vec() } else { named }
}

/// What came of some seeds.
#[derive(Default)]
struct Row {
    played: usize,
    completed: usize,
    completed_in_time: usize,
    /// Plays in which a bad version got more requests than it may.
    over: usize,
    /// Plays in which one got requests too long after its fiftieth bad answer.
    late: usize,
    /// The most that one got, as a part of what it may.
    most: f64,
    /// Answers that were cut as the old servers stopped.
    broken: u64,
    verdicts: Counts,
}

impl Row {
    fn add(&mut self, plan: &Plan, outcome: &Outcome) {
        self.played += 1;
        self.completed += usize::from(outcome.is_completed());
        self.completed_in_time += usize::from(outcome.is_completed() && outcome.in_time());
        let allowed = plan.share * outcome.requests as f64 + plan.slack;
        if plan.badness.is_some() {
            self.most = self.most.max(outcome.exposed as f64 / allowed);
            self.over += usize::from(outcome.exposed as f64 > allowed);
        }
        let is_late = outcome.fiftieth_at.is_some_and(|it| outcome.last_sent > it + ROLLBACK);
        self.late += usize::from(is_late);
        self.broken += outcome.broken;
        *self.verdicts.entry(verdict_name(outcome)).or_default() += 1;
    }

    fn tell(&self, name: &str) {
        eprintln!(
            "{name:55} completed {:3}/{:3}, in time {:3}  over {:2}  late {:2}  most {:.2}  broken {:3}  {:?}",
            self.completed,
            self.played,
            self.completed_in_time,
            self.over,
            self.late,
            self.most,
            self.broken,
            self.verdicts
        );
    }
}

fn play(plan: &Plan, seeds: u64) -> Row {
    let mut row = Row::default();
    for seed in 0..seeds {
        row.add(plan, &World::new(plan.clone(), seed).play());
    }
    row
}

fn bad(way: Way, fails: f64, slow: f64) -> Badness {
    Badness { way, fails, slow }
}

/// Good versions are completed in time, and no answer is cut.
fn is_completed(plan: Plan, seeds: u64) {
    let row = play(&plan, seeds);
    row.tell("good");
    let wanted = COMPLETED[usize::from(plan.duration >= 30_000)];
    assert!(row.completed_in_time as f64 >= wanted * row.played as f64, "{:?}", row.verdicts);
    assert_eq!(row.broken, 0, "answers were cut");
}

/// Bad versions are not completed, and get no more than they may.
fn is_rolled_back(plan: Plan, seeds: u64) {
    let row = play(&plan, seeds);
    row.tell("bad");
    assert_eq!((row.over, row.late), (0, 0), "at most {:.2} of what it may get", row.most);
    assert_eq!(row.completed, 0, "{:?}", row.verdicts);
}

macro_rules! plays {
    ($($name:ident => $check:ident($plan:expr, $seeds:literal);)+) => {
        $(#[test] fn $name() { $check($plan, $seeds); })+
    };
}

plays! {
    engines_are_moved => is_completed(engines(64, 12_000), 2);
    a_plain_service_is_moved => is_completed(plain(64, 60_000), 1);
    a_few_engines_are_moved => is_completed(engines(8, 30_000), 3);
    vms_that_are_cut_off_delay_nothing_else =>
        is_completed(Plan { trouble: Trouble::CutOff, ..engines(8, 30_000) }, 3);
    servers_that_are_slow_whatever_their_version =>
        is_completed(Plan { trouble: Trouble::SlowServers, ..engines(8, 30_000) }, 20);
    another_holder_goes_on =>
        is_completed(Plan { trouble: Trouble::HolderKilled(6_000), ..engines(8, 30_000) }, 3);
    the_store_is_away_meanwhile =>
        is_completed(Plan { trouble: Trouble::StoreAway(5_000, 9_500), ..engines(8, 30_000) }, 3);
    all_vms_are_killed_meanwhile =>
        is_completed(Plan { trouble: Trouble::AllKilled(7_000), ..engines(8, 30_000) }, 3);
    a_few_failures => is_rolled_back(Plan { badness: Some(bad(Way::AtOnce, 0.15, 1.0)), ..engines(64, 12_000) }, 1);
    many_failures => is_rolled_back(Plan { badness: Some(bad(Way::AtOnce, 0.45, 1.0)), ..engines(8, 12_000) }, 3);
    slow_answers => is_rolled_back(Plan { badness: Some(bad(Way::AtOnce, 0.0, 4.0)), ..engines(8, 12_000) }, 3);
    failures_that_come_later => is_rolled_back(Plan { badness: Some(bad(Way::Later, 0.15, 1.0)), ..engines(8, 30_000) }, 3);
    slow_answers_that_come_later => is_rolled_back(Plan { badness: Some(bad(Way::Later, 0.0, 8.0)), ..engines(8, 30_000) }, 3);
    failures_under_load => is_rolled_back(Plan { badness: Some(bad(Way::UnderLoad, 0.45, 1.0)), ..engines(8, 30_000) }, 3);
    failures_on_one_route => is_rolled_back(Plan { badness: Some(bad(Way::OneRoute, 0.15, 1.0)), ..engines(8, 30_000) }, 3);
    failures_of_a_plain_service => is_rolled_back(Plan { badness: Some(bad(Way::AtOnce, 0.15, 1.0)), ..plain(64, 12_000) }, 2);
    failures_while_all_vms_are_killed => is_rolled_back(
        Plan { badness: Some(bad(Way::AtOnce, 0.45, 1.0)), trouble: Trouble::AllKilled(7_000), ..engines(8, 12_000) }, 3);
    failures_while_the_store_is_away => is_rolled_back(
        Plan { badness: Some(bad(Way::AtOnce, 0.45, 1.0)), trouble: Trouble::StoreAway(4_000, 11_000), ..engines(8, 12_000) }, 3);
    failures_while_vms_are_restarted => is_rolled_back(
        Plan { badness: Some(bad(Way::AtOnce, 0.45, 1.0)), trouble: Trouble::Restarts, ..engines(8, 12_000) }, 3);
    a_small_share => is_rolled_back(
        Plan { badness: Some(bad(Way::AtOnce, 0.45, 1.0)), share: 0.01, slack: 0.0, ..engines(64, 12_000) }, 1);
}

// A version turns bad when the time of a short order is nearly over: it gets the traffic before it can be told.
#[test]
fn versions_that_turn_bad_late_in_a_short_order() {
    is_rolled_back(Plan { badness: Some(bad(Way::Later, 0.0, 4.0)), ..engines(64, 12_000) }, 2);
}

// A VM finds the new version bad as the holder completes the roll-out: old servers stop with its answers.
#[test]
fn what_turns_bad_at_the_end_cuts_no_answers() {
    let plan = Plan { badness: Some(bad(Way::Later, 0.0, 4.0)), ..engines(8, 12_000) };
    assert_eq!(World::new(plan, 25).play().broken, 0);
}

// Few requests may go to the new version of a plain service in a short order: a good one can't be told from a bad one.
#[test]
fn plain_services_in_a_short_order() {
    is_completed(plain(64, 12_000), 20);
}

#[test]
#[ignore = "minutes; by hand"]
fn table() {
    let seeds = named("ROLLOUT_SEEDS", [50])[0] as u64;
    let kinds = [(0.05, 1.0), (0.15, 1.0), (0.45, 1.0), (0.0, 2.0), (0.0, 4.0), (0.0, 8.0)];
    for vms in named("ROLLOUT_VMS", [8, 64, 295]) {
        for seconds in named("ROLLOUT_SECONDS", [12, 30]) {
            let millis = seconds as u64 * 1_000;
            for (kind, plan) in [("engines", engines(vms, millis)), ("plain", plain(vms, millis))] {
                let head = format!("{kind} {vms} VMs {seconds} s");
                for trouble in TROUBLES {
                    let good = Plan { trouble, ..plan.clone() };
                    play(&good, seeds).tell(&format!("{head} good {trouble:?}"));
                }
                for way in WAYS {
                    for (fails, slow) in kinds {
                        let plan = Plan { badness: Some(bad(way, fails, slow)), ..plan.clone() };
                        play(&plan, seeds)
                            .tell(&format!("{head} {way:?} fails {fails} slow {slow}"));
                    }
                }
                let naive = Plan { guarded: false, ..plan.clone() };
                play(&naive, seeds).tell(&format!("{head} naive, good"));
                let naive = Plan { badness: Some(bad(Way::AtOnce, 0.05, 1.0)), ..naive };
                play(&naive, seeds).tell(&format!("{head} naive, AtOnce fails 0.05"));
                let naive = Plan { badness: Some(bad(Way::AtOnce, 0.0, 4.0)), ..naive };
                play(&naive, seeds).tell(&format!("{head} naive, AtOnce slow 4"));
            }
        }
    }
}
