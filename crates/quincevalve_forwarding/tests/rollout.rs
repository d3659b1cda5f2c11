//! Roll-outs: what a version may get before it is known, what is found of it, and how one goes on.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use quincevalve_forwarding::{
    load::Work,
    rollout::{
        evidence::{EvidenceRecorder, LogSum, RouteKey, Sample, VersionRole},
        exposure::Exposure,
        partial_sum::RolloutPartialSums,
        promotion::Promotion,
        record::{OrderId, Phase, RollbackCause, RolloutOrder, RolloutRecord},
        scope::VersionScope,
        steps::{PromotionProgress, StepInput, canary_ends_ms, next_record},
        table::{DetectedBy, RefreshContext, RolloutTable, TrackedAttempt, VersionChoice},
        verdict::{Judgement, Verdict, judge},
    },
    servers::{ServerEntry, ServerTable, start_hash},
    shared_limit::{SharedLimit, VmRank},
};
use quincevalve_names::{ServiceName, TimePoint};
use support::{START, entry, ms, server};

const LIMIT: SharedLimit = SharedLimit { ratio: 0.1, slack: 50.0 };
const ROUTE: RouteKey = RouteKey(7);
const OTHER_ROUTE: RouteKey = RouteKey(8);
/// True time when an order is first seen, in milliseconds.
const ORDERED_MS: i64 = 1_000_000;

fn service() -> ServiceName {
    "engines".into()
}

fn order(id: u64, to: &str, seconds: u64) -> RolloutOrder {
    RolloutOrder { id: OrderId(id), to: to.into(), duration: Duration::from_secs(seconds) }
}

// With 295 VMs that each may send a part of a request, none sends any, or all do.
#[test]
fn fractions_over_many_vms_add_up_to_the_limit() {
    let limit = SharedLimit { ratio: 0.01, slack: 0.0 };
    let sent = |requests: u64| -> usize {
        let of_vm = |rank: usize| {
            let mut exposure = Exposure::new(true);
            (0..requests).for_each(|_| exposure.record_request());
            let seat = VmRank { rank, vm_count: 295 };
            usize::from(exposure.may_send(&limit, seat, 1.0))
        };
        (0..295).map(of_vm).sum()
    };
    // 0.9 of a hundredth of 295 times 12 requests.
    assert!((30..=33).contains(&sent(12)), "{}", sent(12));
    assert_eq!(sent(0), 0);
}

#[test]
fn a_vm_that_started_after_the_order_has_no_part_of_the_slack() {
    let seat = VmRank { rank: 0, vm_count: 2 };
    let mut late = Exposure::new(false);
    assert!(!late.may_send(&LIMIT, seat, 1.0));
    assert!(Exposure::new(true).may_send(&LIMIT, seat, 1.0));
    (0..12).for_each(|_| late.record_request());
    assert!(late.may_send(&LIMIT, seat, 1.0));
    assert_eq!(late.record_sent(), 1);
    assert!(!late.may_send(&LIMIT, seat, 1.0));
    assert_eq!(late.sent_total(), 1);
}

#[test]
fn the_mean_and_the_spread_of_ratios() {
    let mut sum = LogSum::default();
    for ratio in [1.0, std::f64::consts::E, 1.0, std::f64::consts::E] {
        sum.add(ratio);
    }
    assert!((sum.mean() - 0.5).abs() < 1e-9 && (sum.variance() - 1.0 / 3.0).abs() < 1e-9);
    assert_eq!(sum.minus(sum), LogSum::default());
    // One answer that takes for ever counts as ten times as long as expected does.
    let mut endless = LogSum::default();
    endless.add(1e9);
    assert!((endless.mean() - 2.5).abs() < 1e-9);
}

/// Evidence of `answers` of both versions; of the new one spread over servers.
#[derive(Clone, Copy)]
struct Answers {
    old: (u32, u32),
    new: (u32, u32),
    servers: u64,
    slow: f64,
}

const FINE: Answers = Answers { old: (2_000, 0), new: (200, 0), servers: 5, slow: 1.0 };

fn judged(answers: Answers) -> Judgement {
    let mut witness = EvidenceRecorder::default();
    note(&mut witness, ROUTE, answers);
    judge(&witness.observations(ms(0)), false, answers.servers as usize)
}

fn note(witness: &mut EvidenceRecorder, route: RouteKey, answers: Answers) {
    let times = [0.7, 1.0, 1.3];
    let mut answer = |at: u32, of: (u32, u32), side, slow: f64| {
        // Failures are spread evenly over all answers.
        let fails = of.1 > 0 && (at * of.1) % of.0 < of.1;
        let sample = if fails { Sample::Failed } else { Sample::Succeeded };
        witness.add_sample(route, side, sample, ms(0));
        witness.add_sample(route, side, Sample::First(times[at as usize % 3] * slow), ms(0));
    };
    (0..answers.old.0).for_each(|at| answer(at, answers.old, VersionRole::Old, 1.0));
    for at in 0..answers.new.0 {
        let side = VersionRole::New(u64::from(at) % answers.servers);
        answer(at, answers.new, side, answers.slow);
    }
}

fn is_found(answers: Answers, verdict: Verdict) {
    let judgement = judged(answers);
    assert_eq!(judgement.verdict, verdict, "{judgement:?}");
}

crate::cases! { is_found:
    a_version_without_failures_is_good => FINE, Verdict::Good;
    a_few_answers_say_nothing => Answers { new: (20, 0), ..FINE }, Verdict::Undecided;
    a_version_that_fails_is_bad => Answers { new: (200, 30), ..FINE }, Verdict::Fails;
    what_fails_as_often_as_before_is_not_bad => Answers { old: (2_000, 280), new: (1_000, 140), ..FINE }, Verdict::Good;
    a_version_that_takes_twice_as_long_is_slow => Answers { slow: 2.0, ..FINE }, Verdict::IsSlow;
    a_version_that_takes_a_little_longer_is_not => Answers { slow: 1.1, ..FINE }, Verdict::Good;
    without_the_old_version_nothing_is_told => Answers { old: (0, 0), new: (100, 30), ..FINE }, Verdict::Undecided;
}

// One server of six fails half of its requests; the version is rolled back for it.
#[test]
fn one_bad_server_is_not_a_bad_version() {
    let mut witness = EvidenceRecorder::default();
    note(&mut witness, ROUTE, Answers { servers: 5, ..FINE });
    for at in 0..40 {
        let sample = if at % 2 == 0 { Sample::Failed } else { Sample::Succeeded };
        witness.add_sample(ROUTE, VersionRole::New(99), sample, ms(0));
    }
    let judgement = judge(&witness.observations(ms(0)), false, 6);
    assert_eq!(judgement.verdict, Verdict::Good, "{judgement:?}");
    assert_eq!(judgement.outliers, 1);
}

// Two servers of six take six times as long; of many answers their part makes a route slow beyond doubt, and a good
// version is rolled back.
#[test]
fn a_few_slow_servers_are_not_a_slow_route() {
    let mut witness = EvidenceRecorder::default();
    note(&mut witness, ROUTE, Answers { new: (1_000, 0), servers: 4, ..FINE });
    for at in 0..500_u32 {
        let sample = Sample::First([4.2, 6.0, 7.8][at as usize % 3]);
        witness.add_sample(ROUTE, VersionRole::New(98 + u64::from(at) % 2), sample, ms(0));
    }
    let judgement = judge(&witness.observations(ms(0)), false, 6);
    assert_eq!(judgement.verdict, Verdict::Good, "{judgement:?}");
    assert_eq!(judgement.outliers, 2);
}

// The first server that gets requests is a bad one of a good version. It is all that is known, and the version is rolled
// back, though it has others.
#[test]
fn the_first_server_alone_is_no_version() {
    let only = Answers { new: (40, 20), servers: 1, ..FINE };
    let mut witness = EvidenceRecorder::default();
    note(&mut witness, ROUTE, only);
    let seen = witness.observations(ms(0));
    assert_eq!(judge(&seen, false, 6).verdict, Verdict::Undecided);
    assert_eq!(judge(&seen, false, 1).verdict, Verdict::Fails);
}

// The same for a first server that is slow.
#[test]
fn the_first_slow_server_alone_is_no_version() {
    let only = Answers { new: (40, 0), servers: 1, slow: 6.0, ..FINE };
    let mut witness = EvidenceRecorder::default();
    note(&mut witness, ROUTE, only);
    let seen = witness.observations(ms(0));
    assert_eq!(judge(&seen, false, 6).verdict, Verdict::Undecided);
    assert_eq!(judge(&seen, false, 1).verdict, Verdict::IsSlow);
}

// Two of twelve servers are slow, and nearly all that is known of the version comes from them.
#[test]
fn a_few_servers_are_no_version() {
    let mut witness = EvidenceRecorder::default();
    note(&mut witness, ROUTE, Answers { new: (0, 0), ..FINE });
    for (server, answers, slow) in [(1, 14, 6.0), (2, 1, 1.0), (3, 1, 6.0)] {
        for _ in 0..answers {
            witness.add_sample(ROUTE, VersionRole::New(server), Sample::First(slow), ms(0));
        }
    }
    let judgement = judge(&witness.observations(ms(0)), false, 12);
    assert_eq!(judgement.verdict, Verdict::Undecided, "{judgement:?}");
}

// A version fails on one route of ten only, and the others speak for it.
#[test]
fn one_bad_route_is_a_bad_version() {
    let mut witness = EvidenceRecorder::default();
    note(&mut witness, ROUTE, Answers { new: (900, 0), ..FINE });
    note(&mut witness, OTHER_ROUTE, Answers { new: (100, 15), ..FINE });
    assert_eq!(judge(&witness.observations(ms(0)), false, 5).verdict, Verdict::Fails);
    let mut witness = EvidenceRecorder::default();
    note(&mut witness, ROUTE, Answers { new: (900, 0), ..FINE });
    note(&mut witness, OTHER_ROUTE, Answers { new: (100, 4), ..FINE });
    assert_eq!(judge(&witness.observations(ms(0)), false, 5).verdict, Verdict::Undecided);
}

// A version is good for a long time, and turns bad: what was seen at first must not hide it.
#[test]
fn what_turns_bad_late_is_found() {
    let mut witness = EvidenceRecorder::default();
    note(&mut witness, ROUTE, Answers { new: (3_000, 0), ..FINE });
    for at in 0..60_u64 {
        let sample = if at % 3 == 0 { Sample::Failed } else { Sample::Succeeded };
        witness.add_sample(ROUTE, VersionRole::New(at % 5), sample, ms(20_000));
        witness.add_sample(ROUTE, VersionRole::Old, Sample::Succeeded, ms(20_000));
        witness.add_sample(ROUTE, VersionRole::Old, Sample::Succeeded, ms(20_000));
    }
    assert_eq!(judge(&witness.observations(ms(20_100)), false, 5).verdict, Verdict::Fails);
}

/// A roll-out of 60 s whose new version has as many servers as the old one.
fn situation<'a>(
    order: Option<&'a RolloutOrder>,
    record: Option<&'a RolloutRecord>,
    after_ms: i64,
) -> StepInput<'a> {
    StepInput {
        now_ms: ORDERED_MS + after_ms,
        order,
        record,
        verdict: Verdict::Good,
        has_engines: true,
        new_servers: 10,
        needed_servers: 8,
        has_old_servers: true,
        vms: PromotionProgress { vms: 8, reachable: 8, switched: 8, old_in_flight: 0 },
    }
}

fn phase(at: &StepInput<'_>) -> Option<Phase> {
    next_record(at).map(|it| it.phase)
}

const fn rolled_back(cause: RollbackCause) -> Phase {
    Phase::RolledBack(cause)
}

#[test]
fn an_order_begins_as_a_canary_and_is_promoted_near_its_end() {
    let order = order(5, "v2", 60);
    let first = next_record(&situation(Some(&order), None, 0)).expect("a record");
    assert_eq!(
        (first.phase, first.order, first.deadline_ms()),
        (Phase::Canary, OrderId(5), ORDERED_MS + 60_000)
    );
    let at = |after, verdict| {
        phase(&StepInput { verdict, ..situation(Some(&order), Some(&first), after) })
    };
    assert_eq!(at(30_000, Verdict::Good), None);
    assert_eq!(at(54_000, Verdict::Good), Some(Phase::Promoting));
    assert_eq!(at(54_000, Verdict::Undecided), None);
    assert_eq!(at(57_500, Verdict::Undecided), Some(rolled_back(RollbackCause::Undecided)));
    assert_eq!(at(100, Verdict::Fails), Some(rolled_back(RollbackCause::Failures)));
    assert_eq!(at(100, Verdict::IsSlow), Some(rolled_back(RollbackCause::Slowness)));
}

#[test]
fn the_canary_ends_when_the_promotion_may_begin() {
    let record = RolloutRecord::first(&order(5, "v2", 60), ORDERED_MS);
    let before = Promotion::of(record.duration, true).lead_time();
    assert_eq!(canary_ends_ms(&record, true), ORDERED_MS + 60_000 - before.as_millis() as i64);
}

fn begins(new_servers: usize, has_old_servers: bool, seconds: u64, expected: Phase) {
    let order = order(5, "v2", seconds);
    let at = StepInput { new_servers, has_old_servers, ..situation(Some(&order), None, 0) };
    assert_eq!(phase(&at), Some(expected));
}

crate::cases! { begins:
    with_servers_of_both_versions => 1, true, 60, Phase::Canary;
    with_none_of_either => 0, false, 60, Phase::Canary;
    with_none_of_the_new_version => 0, true, 60, Phase::Canary;
    with_nothing_to_move => 1, false, 60, Phase::Completed;
    with_nothing_to_move_and_no_time => 1, false, 0, Phase::Completed;
    without_time => 1, true, 0, rolled_back(RollbackCause::NoTime);
}

#[test]
fn too_few_servers_are_not_given_the_traffic() {
    let order = order(5, "v2", 60);
    let record = RolloutRecord::first(&order, ORDERED_MS);
    let few = |after| StepInput { new_servers: 7, ..situation(Some(&order), Some(&record), after) };
    assert_eq!(phase(&few(54_000)), None);
    assert_eq!(phase(&few(57_500)), Some(rolled_back(RollbackCause::TooFewServers)));
    let none = |after| StepInput { new_servers: 0, needed_servers: 0, ..few(after) };
    assert_eq!(phase(&none(54_000)), None);
}

fn promoting(order: &RolloutOrder) -> RolloutRecord {
    RolloutRecord { phase: Phase::Promoting, ..RolloutRecord::first(order, ORDERED_MS) }
}

fn is_completed(vms: PromotionProgress, after_ms: i64, expected: bool) {
    let order = order(5, "v2", 60);
    let record = promoting(&order);
    let at = StepInput { vms, ..situation(Some(&order), Some(&record), after_ms) };
    assert_eq!(phase(&at), expected.then_some(Phase::Completed));
}

const DONE: PromotionProgress =
    PromotionProgress { vms: 8, reachable: 8, switched: 8, old_in_flight: 0 };

crate::cases! { is_completed:
    once_no_vm_has_work_at_the_old_version => DONE, 57_000, true;
    not_while_a_stream_runs_there => PromotionProgress { old_in_flight: 1, ..DONE }, 57_000, false;
    not_while_a_vm_still_sends_there => PromotionProgress { switched: 7, ..DONE }, 57_000, false;
    not_while_a_vm_is_not_heard => PromotionProgress { reachable: 7, switched: 7, ..DONE }, 59_900, false;
    long_after_the_deadline_without_the_few_that_are_not_heard => PromotionProgress { reachable: 7, switched: 7, ..DONE }, 70_000, true;
    never_without_many => PromotionProgress { reachable: 6, switched: 6, ..DONE }, 90_000, false;
    never_while_a_stream_runs_that_is_known => PromotionProgress { reachable: 7, switched: 7, old_in_flight: 1, ..DONE }, 90_000, false;
}

#[test]
fn a_version_that_turns_bad_while_it_takes_over_is_rolled_back() {
    let order = order(5, "v2", 60);
    let record = promoting(&order);
    for (verdict, cause) in
        [(Verdict::Fails, RollbackCause::Failures), (Verdict::IsSlow, RollbackCause::Slowness)]
    {
        let at = StepInput { verdict, ..situation(Some(&order), Some(&record), 57_000) };
        assert_eq!(phase(&at), Some(rolled_back(cause)));
    }
}

#[test]
fn what_has_ended_stays() {
    let order = order(5, "v2", 60);
    for phase in [Phase::Completed, Phase::RolledBack(RollbackCause::Failures)] {
        let record = RolloutRecord { phase, ..RolloutRecord::first(&order, ORDERED_MS) };
        for verdict in [Verdict::Good, Verdict::Fails, Verdict::Undecided] {
            let at = StepInput { verdict, ..situation(Some(&order), Some(&record), 59_000) };
            assert_eq!(next_record(&at), None);
            assert_eq!(next_record(&StepInput { order: None, ..at }), None);
        }
    }
}

#[test]
fn an_order_that_is_removed_is_taken_back() {
    let order = order(5, "v2", 60);
    let record = RolloutRecord::first(&order, ORDERED_MS);
    let at = situation(None, Some(&record), 1_000);
    assert_eq!(phase(&at), Some(rolled_back(RollbackCause::Cancelled)));
    assert_eq!(next_record(&situation(None, None, 0)), None);
}

// Operators whose first write was not answered write the order again: it must not begin anew, with another share.
#[test]
fn the_same_order_again_is_the_same_roll_out() {
    let (first, again) = (order(5, "v2", 60), order(9, "v2", 60));
    let record = promoting(&first);
    let next = next_record(&situation(Some(&again), Some(&record), 20_000)).expect("a record");
    assert_eq!(
        (next.order, next.phase, next.ordered_ms),
        (OrderId(9), Phase::Promoting, ORDERED_MS)
    );
    let over = RolloutRecord { phase: Phase::RolledBack(RollbackCause::Failures), ..record };
    let next = next_record(&situation(Some(&again), Some(&over), 20_000)).expect("a record");
    assert_eq!((next.phase, next.ordered_ms), (Phase::Canary, ORDERED_MS + 20_000));
    assert!(next.barred.is_empty());
}

#[test]
fn another_order_bars_the_version_that_was_not_completed() {
    let (first, other) = (order(5, "v2", 60), order(9, "v3", 60));
    let record = RolloutRecord::first(&first, ORDERED_MS);
    let next = next_record(&situation(Some(&other), Some(&record), 20_000)).expect("a record");
    assert_eq!((next.to.as_str(), next.barred.as_slice()), ("v3", &["v2".into()][..]));
    let done = RolloutRecord { phase: Phase::Completed, ..record };
    let next = next_record(&situation(Some(&other), Some(&done), 20_000)).expect("a record");
    assert!(next.barred.is_empty());
}

/// A table of four servers of each version.
fn versions() -> ServerTable {
    let mut table = ServerTable::default();
    for at in 0..8 {
        let version = if at < 4 { "v1" } else { "v2" };
        table.apply_entry(
            &server(at),
            ServerEntry { version: version.into(), ..entry("a") },
            ms(0),
        );
    }
    table
}

const AROUND: RefreshContext = RefreshContext {
    wall_clock_ms: Some(ORDERED_MS),
    has_engines: true,
    vm_rank: VmRank { rank: 0, vm_count: 1 },
    is_connected: true,
};

/// A book that was refreshed after an order for `v2`.
fn ordered(table: &ServerTable, around: &RefreshContext) -> RolloutTable {
    let mut book = RolloutTable::new(LIMIT);
    assert!(book.apply_order(&service(), order(5, "v2", 60), true, ms(0)));
    book.refresh(&service(), table, around, ms(10));
    book
}

/// How many of a thousand requests may go to the new version first.
fn canaries(book: &mut RolloutTable, now: TimePoint) -> usize {
    let mut sent = 0;
    for at in 0..1_000 {
        let draw = f64::from(at % 10) / 10.0;
        if let VersionChoice::WithFallback(first, _) = book.choose(&service(), ROUTE, draw, now) {
            assert!(first.is_cold());
            book.record_sent(&service(), &"v2".into());
            sent += 1;
        }
    }
    sent
}

#[test]
fn the_new_version_gets_its_share_and_no_more() {
    let table = versions();
    let mut book = ordered(&table, &AROUND);
    let sent = canaries(&mut book, ms(20));
    // A third of 0.9 times 150 at the beginning.
    assert!((35..=50).contains(&sent), "{sent}");
    assert_eq!(book.progress(&service()).expect("a roll-out").sent_to_new, sent as u64);
}

#[test]
fn a_vm_that_is_out_of_touch_sends_nothing_to_the_new_version() {
    let table = versions();
    let mut book = ordered(&table, &RefreshContext { is_connected: false, ..AROUND });
    assert_eq!(canaries(&mut book, ms(20)), 0);
}

#[test]
fn without_an_order_all_versions_are_alike() {
    let mut book = RolloutTable::new(LIMIT);
    assert!(book.is_idle());
    assert_eq!(book.choose(&service(), ROUTE, 0.0, ms(0)), VersionChoice::Any);
    assert_eq!(book.choice_for_retry(&service()), VersionChoice::Any);
    assert!(book.admits(&service(), &"v2".into()) && book.carries_load(&service(), &"v2".into()));
    assert!(book.partial_sums(&versions(), ms(0)).is_empty());
}

/// Answers of the new version at four servers, a part of them failures, and good ones of the old.
fn answer(book: &mut RolloutTable, failing: bool, now: TimePoint) {
    for at in 0..200_u64 {
        for (version, fails) in [("v2", failing && at % 3 == 0), ("v1", false)] {
            let run = TrackedAttempt {
                service: &service(),
                route: ROUTE,
                version: &version.into(),
                server: at % 4,
                expected: Some(Duration::from_millis(50)),
            };
            let ticket = book.start_tracking(run, now).expect("both versions are compared");
            book.add_first_part(ticket, now + Duration::from_millis(50));
            let sample = if fails { Sample::Failed } else { Sample::Succeeded };
            book.add_sample(ticket, sample, now);
            book.stop_tracking(ticket);
        }
    }
}

#[test]
fn a_bad_version_gets_nothing_more_and_others_are_told() {
    let table = versions();
    let mut book = ordered(&table, &AROUND);
    answer(&mut book, true, ms(100));
    let halt = book.refresh(&service(), &table, &AROUND, ms(110)).expect("it was found bad");
    assert!(matches!(halt.detected_by, DetectedBy::Here(_)));
    assert_eq!(canaries(&mut book, ms(120)), 0);
    assert!(!book.admits(&service(), &"v2".into()) && book.admits(&service(), &"v1".into()));
    assert_eq!(book.verdict(&service()), Verdict::Fails);

    let shares = book.partial_sums(&table, ms(120));
    let mut other = ordered(&table, &AROUND);
    other.set_peer_sums(&shares);
    let halt = other.refresh(&service(), &table, &AROUND, ms(130)).expect("it was told");
    assert_eq!(halt.version.as_str(), "v2");
    // What was told once holds, also when it is told no more.
    other.set_peer_sums(&RolloutPartialSums::default());
    other.refresh(&service(), &table, &AROUND, ms(140));
    assert_eq!(canaries(&mut other, ms(150)), 0);
}

#[test]
fn a_later_record_is_not_replaced_by_an_earlier_one() {
    let table = versions();
    let mut book = ordered(&table, &AROUND);
    let canary = RolloutRecord::first(&order(5, "v2", 60), ORDERED_MS);
    let back =
        RolloutRecord { phase: Phase::RolledBack(RollbackCause::Failures), ..canary.clone() };
    assert!(book.apply_record(&service(), back, ms(20)));
    assert!(!book.apply_record(&service(), canary, ms(30)));
    assert!(!book.admits(&service(), &"v2".into()));
    assert!(!book.apply_order(&service(), order(4, "v1", 60), true, ms(40)));
}

fn goes_to(choice: &VersionChoice, version: &str, at: usize) -> bool {
    let entry = ServerEntry { version: version.into(), ..entry("a") };
    match choice {
        VersionChoice::Any => true,
        VersionChoice::One(scope) => scope.admits(&server(at), &entry),
        VersionChoice::WithFallback(..) => panic!("two scopes"),
    }
}

#[test]
fn a_promoted_version_gets_all_and_old_servers_are_expected_to_stop() {
    let table = versions();
    let mut book = ordered(&table, &AROUND);
    let canary = RolloutRecord::first(&order(5, "v2", 60), ORDERED_MS);
    book.apply_record(&service(), canary, ms(50));
    let record = promoting(&order(5, "v2", 60));
    book.apply_record(&service(), record.clone(), ms(100));
    book.refresh(&service(), &table, &AROUND, ms(110));
    assert!(book.is_promoting(&service()) && !book.has_switched(&service(), ms(200)));
    assert!(matches!(
        book.choose(&service(), ROUTE, 0.99, ms(110)),
        VersionChoice::WithFallback(..)
    ));
    let late = ms(3_000);
    assert!(book.has_switched(&service(), late));
    let choice = book.choose(&service(), ROUTE, 0.99, late);
    assert!(goes_to(&choice, "v2", 4) && !goes_to(&choice, "v1", 0));
    assert!(book.expected_stop(&service(), &"v1".into()).is_some_and(|it| it > late));
    assert_eq!(book.expected_stop(&service(), &"v2".into()), None);
    assert!(
        book.carries_load(&service(), &"v2".into()) && !book.carries_load(&service(), &"v1".into())
    );

    let done = RolloutRecord { phase: Phase::Completed, ..record };
    book.apply_record(&service(), done, ms(4_000));
    book.refresh(&service(), &table, &AROUND, ms(4_010));
    assert!(!goes_to(&book.choice_for_retry(&service()), "v1", 0));
    book.refresh(&service(), &table, &AROUND, ms(20_000));
    assert!(goes_to(&book.choice_for_retry(&service()), "v1", 0));
    assert!(book.partial_sums(&table, ms(4_010)).is_empty());
}

// A VM has told that it sends nothing to the old servers, finds the new version bad, and sends there again while the holder
// writes that they may stop.
#[test]
fn what_a_vm_has_told_of_the_old_servers_holds_until_the_holder_hears_better() {
    let table = versions();
    let mut book = ordered(&table, &AROUND);
    let canary = RolloutRecord::first(&order(5, "v2", 60), ORDERED_MS);
    book.apply_record(&service(), canary, ms(50));
    book.apply_record(&service(), promoting(&order(5, "v2", 60)), ms(100));
    book.refresh(&service(), &table, &AROUND, ms(110));
    let told = |book: &mut RolloutTable, at| book.partial_sums(&table, ms(at))[&service()].clone();
    assert_eq!(told(&mut book, 3_000).switched, 1);
    answer(&mut book, true, ms(3_000));
    book.refresh(&service(), &table, &AROUND, ms(3_010)).expect("it was found bad");
    assert!(told(&mut book, 3_020).halted.is_some());
    assert_eq!(book.verdict(&service()), Verdict::Fails);
    assert!(book.refresh(&service(), &table, &AROUND, ms(3_500)).is_none(), "it is said once");
    assert!(!goes_to(&book.choose(&service(), ROUTE, 0.99, ms(3_500)), "v1", 0));

    assert!(book.refresh(&service(), &table, &AROUND, ms(4_020)).is_none());
    assert!(goes_to(&book.choose(&service(), ROUTE, 0.99, ms(4_020)), "v1", 0));
    assert_eq!(told(&mut book, 4_020).switched, 0);
}

// A VM whose process is started in a promotion must not send a share to the old servers again.
#[test]
fn a_vm_that_starts_in_a_promotion_is_where_the_others_are() {
    let table = versions();
    let mut book = RolloutTable::new(LIMIT);
    let record = promoting(&order(5, "v2", 60));
    let orders = vec![(service(), order(5, "v2", 60))];
    book.replace_all(orders, vec![(service(), record)], false, ms(50_000));
    book.refresh(&service(), &table, &AROUND, ms(50_010));
    assert!(book.has_switched(&service(), ms(50_010)));
}

#[test]
fn runs_at_the_old_version_are_told() {
    let mut table = versions();
    let mut book = ordered(&table, &AROUND);
    book.apply_record(&service(), promoting(&order(5, "v2", 60)), ms(100));
    book.refresh(&service(), &table, &AROUND, ms(110));
    for at in [0, 4] {
        table
            .get_mut(&server(at), START)
            .expect("a server")
            .load
            .add_request(Work::default(), ms(120));
    }
    let shares = book.partial_sums(&table, ms(120));
    assert_eq!(shares[&service()].old_in_flight, 1);
}

#[test]
fn scopes_admit_by_version() {
    let new = ServerEntry { version: "v2".into(), ..entry("a") };
    let hash = start_hash(&server(4), START);
    let scopes = [
        (VersionScope::Except(vec!["v2".into()]), false),
        (VersionScope::Except(vec!["v1".into()]), true),
        (VersionScope::Only("v2".into()), true),
        (VersionScope::Only("v1".into()), false),
        (VersionScope::Canaries("v2".into(), vec![hash]), true),
        (VersionScope::Canaries("v2".into(), vec![hash + 1]), false),
        (VersionScope::Canaries("v1".into(), vec![hash]), false),
    ];
    for (scope, expected) in scopes {
        assert_eq!(scope.admits(&server(4), &new), expected, "{scope:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(16),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // A version gets more than it may, since VMs with few and with many requests round alike. Whatever their requests are,
    // all of them together stay below the limit.
    #[test]
    fn the_sum_over_vms_stays_below_the_limit(
        vms in 1_usize..300,
        asked in prop::collection::vec(0_u64..60, 300),
        ratio in 0.0_f64..0.3,
        slack in 0.0_f64..200.0,
    ) {
        let limit = SharedLimit { ratio, slack };
        let requests: u64 = asked.iter().take(vms).sum();
        let mut all = 0;
        for (rank, asked) in asked.iter().take(vms).enumerate() {
            let mut exposure = Exposure::new(true);
            let seat = VmRank { rank, vm_count: vms };
            for _ in 0..*asked {
                exposure.record_request();
                if exposure.may_send(&limit, seat, 1.0) {
                    all += 1;
                    exposure.record_sent();
                }
            }
        }
        // One request may be sent where a part of one is allowed.
        let allowed = ratio * requests as f64 + slack;
        prop_assert!(f64::from(all) <= allowed + 1.0, "{} of {}", all, allowed);
    }
}
