//! Quotas and retry budgets that hold over all entry VMs.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use quincevalve_forwarding::{
    line_budget::LineBudget,
    quota::{QuotaLimits, QuotaRequest, QuotaTable, cost},
    retry_budget::{RetryBudget, RetryLimits},
    sums::{PartialSum, PartialSums, Spending},
};
use quincevalve_names::ClientAccountName;
use rand::{RngExt, SeedableRng};
use support::{config, ms, quota};

/// The draw that lets in whatever may be let in.
const DRAW: f64 = 0.0;

/// No span over which quotas are counted: the bucket is a plain one.
const PLAIN: QuotaLimits = QuotaLimits { window: Duration::ZERO, overage: 0.0, slack: 0.0 };

/// What a request of that cost asks.
fn of(cost: f64) -> QuotaRequest {
    QuotaRequest { cost, urgency: 1 }
}

fn desk() -> ClientAccountName {
    "desk".into()
}

#[test]
fn a_request_costs_its_prompt_and_the_most_that_it_may_generate() {
    assert!((cost(&quota(1.0, 1.0), Some((1_460, 80))) - 1_540.0).abs() < 1e-9);
    assert!((cost(&quota(1.0, 1.0), None) - 200.0).abs() < 1e-9);
}

#[test]
fn what_was_refused_later_is_given_back() {
    let mut table = QuotaTable::new(PLAIN, ms(0));
    let limit = quota(0.001, 100.0);
    assert!(table.try_spend(&desk(), &limit, of(51.0), DRAW, ms(0)).is_ok());
    assert!(table.try_spend(&desk(), &limit, of(51.0), DRAW, ms(1)).is_err());
    table.refund(&desk(), 51.0, ms(1));
    assert!(table.try_spend(&desk(), &limit, of(10.0), DRAW, ms(2)).is_ok());
}

// An account gets a burst more at each restart of a VM: each start begins with a whole bucket. It begins with a
// part of one, and the rate fills it.
#[test]
fn a_vm_that_starts_has_only_a_part_of_the_burst() {
    let limit = quota(100.0, 100.0);
    let let_in = |start: u64, now: u64| {
        let mut table = QuotaTable::new(PLAIN, ms(start));
        (0..1_000)
            .filter(|_| table.try_spend(&desk(), &limit, of(1.0), DRAW, ms(now)).is_ok())
            .count()
    };
    assert!((45..=51).contains(&let_in(0, 0)), "{}", let_in(0, 0));
    assert!((95..=101).contains(&let_in(0, 2_000)), "{}", let_in(0, 2_000));
}

// An account gets more than its part on both sides of a partition: what the others let in falls to nothing, and the bucket is
// filled beyond the part of the burst that stands for the VMs that are heard.
#[test]
fn what_others_no_longer_spend_fills_a_part_of_the_bucket_only() {
    let config = config(1, Vec::new());
    let limit = quota(1_000.0, 1_000.0);
    let mut table = QuotaTable::new(PLAIN, ms(0));
    table.set_peer_spending(&[(desk(), 900.0)].into_iter().collect(), 0.5, &config, ms(0));
    table.set_peer_spending(&[(desk(), 900.0)].into_iter().collect(), 0.5, &config, ms(5_000));
    table.set_peer_spending(&Spending::new(), 0.5, &config, ms(20_000));
    let let_in =
        (0..5_000).filter(|_| table.try_spend(&desk(), &limit, of(1.0), DRAW, ms(20_000)).is_ok());
    let let_in = let_in.count();
    assert!(let_in <= 501, "{let_in}");
}

// A wave of an account that keeps to its quota is refused by the hundred, though most of what operators tolerate is left: the
// ramp lay over what is tolerated, too, and let requests in by chance from half of it on.
#[test]
fn what_is_tolerated_is_not_let_in_by_chance() {
    let limits = QuotaLimits { window: Duration::from_secs(8), overage: 0.1, slack: 100_000.0 };
    let limit = quota(1_000.0, 1_000.0);
    let mut table = QuotaTable::new(limits, ms(0));
    let mut take = || table.try_spend(&desk(), &limit, of(100.0), 0.99, ms(0)).is_ok();
    // A VM begins with half of 500 units of the burst and 50,450 that are tolerated.
    let let_in = (0..1_000).filter(|_| take()).count();
    assert!((250..=255).contains(&let_in), "{let_in}");
}

/// Units that one VM lets in each 10 ms, of an account that asks `asked` times its rate for so long.
fn let_in_each_step(limits: QuotaLimits, asked: f64, seconds: usize) -> Vec<f64> {
    let limit = quota(1_000.0, 2_000.0);
    let mut table = QuotaTable::new(limits, ms(0));
    let take = |step: usize| {
        let taken = table.try_spend(&desk(), &limit, of(asked * 10.0), DRAW, ms(step as u64 * 10));
        if taken.is_ok() { asked * 10.0 } else { 0.0 }
    };
    (0..seconds * 100).map(take).collect()
}

// A third of an account's requests is refused all day, though no window of eight seconds holds more than its
// rate and its burst allow: the burst was given out once. Now it is spread over the window.
#[test]
fn the_burst_is_given_out_in_each_window() {
    let window = QuotaLimits { window: Duration::from_secs(8), ..PLAIN };
    let spread: f64 = let_in_each_step(window, 1.1, 60).iter().sum();
    assert!(spread >= 0.999 * 1_100.0 * 60.0, "{spread}");
    for asked in [1.2, 2.0, 6.0] {
        let let_in = let_in_each_step(window, asked, 60);
        let most = let_in.windows(800).map(|it| it.iter().sum::<f64>()).fold(0.0, f64::max);
        assert!(most <= 1_000.0 * 8.0 + 2_000.0, "{asked}: {most}");
        let plain: f64 = let_in_each_step(PLAIN, asked, 60).iter().sum();
        let spread: f64 = let_in.iter().sum();
        assert!(spread >= 1.08 * plain, "{asked}: {spread} {plain}");
    }
}

// Accounts that keep to their quota over each window are refused in waves of their callers. What the operators tolerate
// beyond a window covers the wave, and no window holds more than they tolerate.
#[test]
fn a_wave_within_what_is_tolerated_is_let_in() {
    let limits = QuotaLimits { window: Duration::from_secs(8), overage: 0.1, slack: 1_000.0 };
    // Half of the time 0.6 of the rate, half of the time 1.6: on the whole a tenth above it.
    let wave = |limits: QuotaLimits| {
        let limit = quota(1_000.0, 1_000.0);
        let mut table = QuotaTable::new(limits, ms(0));
        let taken = (0..4_000_u64).filter(|step| {
            let cost = if step / 400 % 2 == 0 { 6.0 } else { 16.0 };
            let draw = (step * 7 % 10) as f64 / 10.0;
            table.try_spend(&desk(), &limit, of(cost), draw, ms(step * 10)).is_ok()
        });
        taken.count()
    };
    let strict = QuotaLimits { overage: 0.0, slack: 0.0, ..limits };
    assert!(wave(limits) > wave(strict) + 150, "{} {}", wave(limits), wave(strict));
    for asked in [1.2, 2.0, 6.0] {
        let let_in = let_in_each_step(limits, asked, 60);
        let most = let_in.windows(800).map(|it| it.iter().sum::<f64>()).fold(0.0, f64::max);
        assert!(most <= 10_000.0 + 0.5 * (0.1 * 10_000.0 + 1_000.0), "{asked}: {most}");
    }
}

// An account rests until its bucket is full, and then asks six times its rate. Half of what is tolerated is left for what
// isn't heard in time.
#[test]
fn half_of_the_tolerance_is_kept() {
    let limits = QuotaLimits { window: Duration::from_secs(8), overage: 0.1, slack: 1_000.0 };
    let limit = quota(1_000.0, 2_000.0);
    let mut table = QuotaTable::new(limits, ms(0));
    let taken = (0..800_u64).filter(|step| {
        table.try_spend(&desk(), &limit, of(60.0), DRAW, ms(60_000 + step * 10)).is_ok()
    });
    let let_in = 60.0 * taken.count() as f64;
    let most = 10_000.0 + 0.5 * (0.1 * 10_000.0 + 1_000.0);
    assert!(let_in <= most + 60.0, "{let_in}");
    assert!(let_in >= most - 200.0, "{let_in}");
}

// A VM is out of touch with half of the others, and lets an account in as if it were alone. It uses the part of
// the burst and of the rate that stands for those it hears.
#[test]
fn a_cut_off_vm_uses_its_part() {
    let mut table = QuotaTable::new(PLAIN, ms(0));
    let limit = quota(100.0, 100.0);
    table.set_peer_spending(&Spending::new(), 0.5, &config(1, Vec::new()), ms(0));
    let mut taken = 0;
    for step in 0..1_000 {
        taken +=
            usize::from(table.try_spend(&desk(), &limit, of(1.0), DRAW, ms(step * 10)).is_ok());
    }
    assert!((500..=551).contains(&taken), "{taken}");
}

#[test]
fn who_is_over_its_quota_is_told_when_there_is_room() {
    let mut table = QuotaTable::new(PLAIN, ms(0));
    let limit = quota(100.0, 10.0);
    table.try_spend(&desk(), &limit, of(53.0), DRAW, ms(0)).unwrap();
    let over = table.try_spend(&desk(), &limit, of(1.0), DRAW, ms(0)).unwrap_err();
    assert!((400..=600).contains(&over.retry_after.as_millis()), "{over:?}");
    let later = ms(over.retry_after.as_millis() as u64 + 20);
    assert!(table.try_spend(&desk(), &limit, of(1.0), DRAW, later).is_ok());
}

// An account gets many times its quota: several VMs each let it in as if they were alone. What others spend
// leaves the bucket here.
#[test]
fn what_others_spend_counts_here() {
    let mut table = QuotaTable::new(PLAIN, ms(0));
    let limit = quota(1_000.0, 1_000.0);
    let config = config(1, Vec::new());
    assert!(table.try_spend(&desk(), &limit, of(1.0), DRAW, ms(2_000)).is_ok());
    table.set_peer_spending(&[(desk(), 3_000.0)].into_iter().collect(), 1.0, &config, ms(2_000));
    assert!(table.try_spend(&desk(), &limit, of(1.0), DRAW, ms(3_000)).is_err());
    table.set_peer_spending(&[(desk(), 0.0)].into_iter().collect(), 1.0, &config, ms(3_000));
    assert!(table.try_spend(&desk(), &limit, of(1.0), DRAW, ms(5_500)).is_ok());
}

/// What forty VMs let in that hear of each other 400 ms late, of callers who ask for six times the quota.
fn let_in_by_many(seconds: u64) -> f64 {
    const VMS: usize = 40;
    const LATE_STEPS: usize = 40;
    let limit = quota(40_000.0, 40_000.0);
    let account = quincevalve_forwarding::config::Account {
        keys: Vec::new(),
        urgency: None,
        quota: Some(limit),
    };
    let config = quincevalve_forwarding::config::ForwardingConfig::new(
        1,
        Vec::new(),
        indexmap::IndexMap::new(),
        indexmap::IndexMap::from([(desk(), account)]),
        support::limits(),
    );
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(3);
    let mut tables = vec![QuotaTable::new(PLAIN, ms(0)); VMS];
    let mut told_at: Vec<Vec<f64>> = Vec::new();
    let mut total = 0.0;
    for step in 0..seconds as usize * 100 {
        let now = ms(step as u64 * 10);
        for table in &mut tables {
            // 60 units each 10 ms and VM are 240,000 a second.
            if table.try_spend(&desk(), &limit, of(60.0), rng.random(), now).is_ok() {
                total += 60.0;
            }
        }
        let spending = |it: &QuotaTable| it.spending(now).map(|(_, it)| it).sum();
        told_at.push(tables.iter().map(spending).collect());
        if step < LATE_STEPS {
            continue;
        }
        let heard = &told_at[step - LATE_STEPS];
        let all: f64 = heard.iter().sum();
        for (at, table) in tables.iter_mut().enumerate() {
            let others = [(desk(), all - heard[at])].into_iter().collect();
            table.set_peer_spending(&others, 1.0, &config, now);
        }
    }
    total
}

// An account gets half more than its quota over many VMs: each time the bucket fills, all of them let it in
// until they hear of each other. Over eight seconds the sum stays within a tenth and half a second of rate.
#[test]
fn many_vms_that_hear_late_stay_near_the_quota() {
    let total = let_in_by_many(8);
    let allowed = (40_000.0 * 8.0 + 40_000.0) * 1.1 + 20_000.0;
    assert!(total <= allowed, "{total} of {allowed}");
    assert!(total >= 200_000.0, "{total} is far below the quota");
}

/// Requests of one kind, of an account that asks several times its quota for some seconds.
#[derive(Clone, Copy)]
struct Kind {
    cost: f64,
    urgency: u8,
    per_second: f64,
}

const BRIEF: Kind = Kind { cost: 12_800.0, urgency: 1, per_second: 115.0 };
const CHAT: Kind = Kind { cost: 1_400.0, urgency: 0, per_second: 130.0 };
const TAG: Kind = Kind { cost: 2_400.0, urgency: 2, per_second: 205.0 };
const CALL: Kind = Kind { cost: 200.0, urgency: 2, per_second: 210.0 };

/// The part of each kind that forty VMs let in, who hear of each other 200 ms late, and the most units in eight seconds.
fn let_in_by_kind(kinds: &[Kind], seconds: usize) -> (Vec<f64>, f64) {
    const VMS: usize = 40;
    const LATE_STEPS: usize = 20;
    let limits = QuotaLimits { window: Duration::from_secs(8), overage: 0.1, slack: 140_000.0 };
    let limit = quota(1_090_000.0, 1_090_000.0);
    let mut config = config(1, Vec::new());
    let account = config.accounts.get_mut(&desk()).expect("an account");
    account.quota = Some(limit);
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(7);
    let mut tables = vec![QuotaTable::new(limits, ms(0)); VMS];
    let mut told_at: Vec<Vec<f64>> = Vec::new();
    let mut asked = vec![0.0; kinds.len()];
    let mut taken = vec![0.0; kinds.len()];
    let mut units = Vec::new();
    // The buckets fill before the load comes.
    let begin = 6_000;
    for step in 0..seconds * 100 {
        let now = ms(begin + step as u64 * 10);
        let mut of_step = 0.0;
        for (at, kind) in kinds.iter().enumerate() {
            let mut left = kind.per_second / 100.0;
            while left > 0.0 {
                if rng.random::<f64>() < left {
                    asked[at] += 1.0;
                    let ask = QuotaRequest { cost: kind.cost, urgency: kind.urgency };
                    let vm = rng.random_range(0..VMS);
                    if tables[vm].try_spend(&desk(), &limit, ask, rng.random(), now).is_ok() {
                        taken[at] += 1.0;
                        of_step += kind.cost;
                    }
                }
                left -= 1.0;
            }
        }
        units.push(of_step);
        let spending = |it: &QuotaTable| it.spending(now).map(|(_, it)| it).sum();
        told_at.push(tables.iter().map(spending).collect());
        let Some(heard) = step.checked_sub(LATE_STEPS).map(|it| &told_at[it]) else { continue };
        let all: f64 = heard.iter().sum();
        for (at, table) in tables.iter_mut().enumerate() {
            let others = [(desk(), all - heard[at])].into_iter().collect();
            table.set_peer_spending(&others, 1.0, &config, now);
        }
    }
    let most = units.windows(800).map(|it| it.iter().sum::<f64>()).fold(0.0, f64::max);
    (taken.iter().zip(&asked).map(|(taken, asked)| taken / asked).collect(), most)
}

// An account asks twice its quota in tokens. Its bookings, which cost two hundred tokens each, are refused as often as its
// long briefs, though all of them together are a fiftieth of what it asks.
#[test]
fn what_costs_little_is_let_in_while_long_prompts_are_held_back() {
    let (parts, most) = let_in_by_kind(&[BRIEF, CHAT, TAG, CALL], 12);
    let [brief, chat, tag, call] = parts[..] else { panic!("four kinds") };
    assert!(call >= 0.9 && chat >= 0.7, "calls {call:.2}, chats {chat:.2}");
    assert!(brief >= 0.25 && tag >= 0.25, "briefs {brief:.2}, tags {tag:.2}");
    let allowed = (1_090_000.0 * 8.0 + 1_090_000.0) * 1.1 + 140_000.0;
    assert!(most <= allowed, "{most} of {allowed}");
}

// Small requests take what they are let in beyond an empty bucket from the larger ones: alone they get the quota and no more.
#[test]
fn small_requests_alone_get_no_more_than_the_quota() {
    let many = Kind { per_second: 20_000.0, ..CALL };
    let (parts, most) = let_in_by_kind(&[many], 12);
    let allowed = (1_090_000.0 * 8.0 + 1_090_000.0) * 1.1 + 140_000.0;
    assert!(most <= allowed, "{most} of {allowed}, {parts:?}");
    assert!(most >= 0.8 * 1_090_000.0 * 8.0, "{most} is far below the quota");
}

// An account is locked out for seconds: its quota was lowered, and what it had spent under the old one counted
// as debt under the new.
#[test]
fn a_lowered_quota_starts_without_debt() {
    let mut table = QuotaTable::new(PLAIN, ms(0));
    table.try_spend(&desk(), &quota(1_000.0, 1_000.0), of(5_000.0), DRAW, ms(0)).unwrap();
    assert!(table.try_spend(&desk(), &quota(100.0, 100.0), of(10.0), DRAW, ms(100)).is_ok());
}

/// Two VMs that tell each other every 150 ms, or don't, with callers who ask for far more than the quota.
fn let_in(hear_each_other: bool, seconds: u64) -> f64 {
    let limit = quota(1_000.0, 1_000.0);
    let config = config(1, Vec::new());
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(3);
    let mut tables = [QuotaTable::new(PLAIN, ms(0)), QuotaTable::new(PLAIN, ms(0))];
    let mut sums = [PartialSums::default(), PartialSums::default()];
    let mut total = 0.0;
    if !hear_each_other {
        for table in &mut tables {
            table.set_peer_spending(&Spending::new(), 0.5, &config, ms(0));
        }
    }
    for step in 0..seconds * 100 {
        let now = ms(step * 10);
        for table in &mut tables {
            if table.try_spend(&desk(), &limit, of(50.0), rng.random(), now).is_ok() {
                total += 50.0;
            }
        }
        if hear_each_other && step % 15 == 0 {
            for at in 0..2 {
                let spending = tables[1 - at].spending(now).collect();
                sums[at].insert(
                    "other",
                    PartialSum { vms: 1, spending, ..PartialSum::default() },
                    now,
                );
                let mut others = PartialSum::default();
                sums[at].add_to(&mut others, None, now);
                tables[at].set_peer_spending(&others.spending, 1.0, &config, now);
            }
        }
    }
    total
}

#[test]
fn the_sum_over_vms_stays_near_the_quota() {
    let total = let_in(true, 20);
    assert!((19_000.0..24_000.0).contains(&total), "{total}");
}

#[test]
fn vms_that_do_not_hear_each_other_use_their_part() {
    // Each side of a cut has its own burst, once.
    let total = let_in(false, 20);
    assert!((19_000.0..23_000.0).contains(&total), "{total}");
}

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, slack: 40.0, window: Duration::from_secs(10) };

#[test]
fn an_empty_budget_refuses() {
    let mut window = RetryBudget::default();
    let none = RetryLimits { slack: 0.0, ..LIMITS };
    assert!(!window.try_spend(&none, 1, ms(0)));
}

// Requests that fail are given up though there is budget: only the slack was used, and each VM's part of it is small.
// Requests earn repeats, too, for as long as the window lasts.
#[test]
fn requests_earn_repeats() {
    let mut window = RetryBudget::default();
    let none = RetryLimits { slack: 0.0, ..LIMITS };
    for _ in 0..20 {
        window.record_request(ms(0));
    }
    // 0.7 of a fifth of twenty.
    assert_eq!((0..20).filter(|_| window.try_spend(&none, 1, ms(1_000))).count(), 2);
    assert!(!window.try_spend(&none, 1, ms(10_001)));
}

#[test]
fn repeats_of_long_ago_do_not_count() {
    let mut window = RetryBudget::default();
    while window.try_spend(&LIMITS, 1, ms(0)) {}
    assert!(!window.try_spend(&LIMITS, 1, ms(9_000)));
    assert!(window.try_spend(&LIMITS, 1, ms(10_001)));
}

// A VM writes more lines than it serves requests: callers that are refused come back at once. Lines of refusals
// are bounded by themselves, and what is left out is counted.
#[test]
fn lines_of_refusals_are_bounded() {
    let mut budget = LineBudget::for_refusals();
    let written = (0..50_000_u64).filter(|step| budget.take(ms(step / 10))).count();
    assert!((1_900..=2_200).contains(&written), "{written} lines in five seconds");
    budget.record_suppressed(50_000 - written as u64);
    assert_eq!(budget.take_suppressed(), 50_000 - written as u64);
    assert_eq!(budget.take_suppressed(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // A service that fails gets more load from its own failures, and stays down. Whatever the mix of requests
    // and failures on any number of VMs, no window holds more repeats than the budget of them all.
    #[test]
    fn repeats_over_all_vms_stay_within_the_budget(
        vms in 1..12_usize,
        steps in prop::collection::vec((0..12_usize, any::<bool>(), 0..400_u64), 1..600),
    ) {
        let mut windows = vec![RetryBudget::default(); vms];
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        let mut now = 0;
        for (vm, is_request, pause) in steps {
            now += pause;
            let window = &mut windows[vm % vms];
            if is_request {
                window.record_request(ms(now));
                requests.push(now);
            } else if window.try_spend(&LIMITS, vms, ms(now)) {
                repeats.push(now);
            }
            let within = |times: &[u64]| times.iter().filter(|it| now - **it <= 10_000).count();
            let allowed = LIMITS.slack + LIMITS.ratio * within(&requests) as f64;
            prop_assert!(within(&repeats) as f64 <= allowed);
        }
    }
}
