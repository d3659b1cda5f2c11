//! Servers that send signals about themselves to 8, 64 and 295 VMs with real decision cores.
//!
//! `cargo test -p quincevalve_forwarding --test signals_world -- --nocapture` prints the figures of a few seeds,
//! with `--ignored` those of fifty.

mod world;

use std::ops::Range;

use world::{ALL, Outcome, Plan, Safeguards, play};

/// Seeds of the short run.
const FEW: Range<u64> = 0..3;
/// Seeds of the long run.
const FIFTY: Range<u64> = 0..50;
/// VMs and servers.
const SIZES: [(usize, usize); 3] = [(8, 12), (64, 24), (295, 60)];

fn print(name: &str, plan: &Plan, seed: u64, outcome: &Outcome) {
    println!("{name} {:3} VMs seed {seed:2}: {outcome}", plan.vms);
}

fn check(name: &str, seeds: &Range<u64>, plan: impl Fn(Plan) -> Plan) {
    for (vms, servers) in SIZES {
        let plan = plan(Plan::new(vms, servers));
        for seed in seeds.clone() {
            let outcome = play(&plan, seed);
            print(name, &plan, seed, &outcome);
            let at = format!("{name}, {vms} VMs, seed {seed}");
            assert_eq!(outcome.broken, 0, "{at}: limits broken");
            assert_eq!(outcome.to_leaving, 0, "{at}: sent to servers that leave");
            assert_eq!(outcome.rests_broken, 0, "{at}: rests broken");
        }
    }
}

/// Each situation under its name, for a few seeds and for fifty.
macro_rules! situations {
    ($($name:ident: $plan:expr;)+) => {
        $(
            mod $name {
                use super::*;

                #[test]
                fn few_seeds() {
                    check(stringify!($name), &FEW, $plan);
                }

                #[test]
                #[ignore = "the long run, by hand"]
                fn fifty_seeds() {
                    check(stringify!($name), &FIFTY, $plan);
                }
            }
        )+
    };
}

/// Another limit each second, and none for the last seconds.
fn changing() -> Vec<(u64, Option<f64>)> {
    let each = (3..18).map(|at| (at * 1_000, Some([1.2, 6.0, 2.4, 20.0, 0.4][at as usize % 5])));
    each.chain([(18_000, None)]).collect()
}

situations! {
    one_limited_server: |plan| plan;
    all_servers_limited: |plan| Plan { limited: plan.servers, limits: vec![(3_000, Some(2.1))], ..plan };
    a_limit_of_nothing: |plan| Plan { limits: vec![(3_000, Some(0.0))], ..plan };
    a_large_limit: |plan| Plan { limits: vec![(3_000, Some(40.0))], limited: plan.servers, ..plan };
    limits_that_change: |plan| Plan { limits: changing(), limited: plan.servers / 2, ..plan };
    a_limit_that_falls_tenfold: |plan| {
        Plan { limits: vec![(3_000, Some(20.0)), (12_000, Some(2.0))], limited: plan.servers / 2, ..plan }
    };
    lost_datagrams: |plan| Plan { loss: 0.3, ..plan };
    vms_cut_off: |plan| Plan { cut: Some((plan.vms / 3, 5_000..12_000)), ..plan };
    vms_frozen: |plan| Plan { frozen: Some((plan.vms / 4, 8_000..10_000)), ..plan };
    vms_killed: |plan| Plan { killed: Some((plan.vms / 2, 9_000)), ..plan };
    all_vms_killed: |plan| Plan { killed: Some((plan.vms, 9_000)), ..plan };
    servers_leave: |plan| Plan { leaving: Some((plan.servers / 3, 4_000)), ..plan };
    all_servers_leave: |plan| Plan { leaving: Some((plan.servers, 12_000)), ..plan };
    servers_leave_while_vms_are_cut_off: |plan| {
        Plan { leaving: Some((2, 4_000)), cut: Some((plan.vms / 3, 3_500..12_000)), ..plan }
    };
    servers_want_rest: |plan| Plan { resting: Some((plan.servers / 3, 6_000..12_000, 3_000)), ..plan };
    all_servers_want_rest: |plan| Plan { resting: Some((plan.servers, 6_000..9_000, 3_000)), ..plan };
    short_rests: |plan| Plan { resting: Some((2, 6_000..12_000, 200)), ..plan };
    a_long_rest: |plan| Plan { resting: Some((2, 6_000..7_000, 60_000)), ..plan };
    rest_while_vms_are_killed: |plan| {
        Plan { resting: Some((2, 6_000..12_000, 3_000)), killed: Some((plan.vms / 2, 8_000)), ..plan }
    };
    rest_while_vms_are_frozen: |plan| {
        Plan { resting: Some((2, 6_000..12_000, 3_000)), frozen: Some((plan.vms / 4, 7_000..8_000)), ..plan }
    };
    all_three_at_once: |plan| Plan {
        limited: 3,
        limits: changing(),
        leaving: Some((1, 9_000)),
        resting: Some((2, 5_000..14_000, 1_500)),
        ..plan
    };
    vms_added: |plan| Plan { added: Some((plan.vms / 4, 10_000)), ..plan };
}

// Without its share of the limit each VM sends a limited server what it would send anyway.
#[test]
fn a_limit_is_exceeded_without_shares() {
    for (vms, servers) in SIZES {
        let safeguards = Safeguards { parts: false, ..ALL };
        let plan = Plan { limited: servers, safeguards, ..Plan::new(vms, servers) };
        let outcome = play(&plan, 0);
        print("without parts", &plan, 0, &outcome);
        assert!(outcome.broken > 0);
    }
}

// VMs that each keep to a limit as if they were alone together send a multiple of it.
#[test]
fn a_limit_is_exceeded_without_ranks() {
    for (vms, servers) in SIZES {
        let safeguards = Safeguards { seats: false, ..ALL };
        let plan = Plan { limited: servers, safeguards, ..Plan::new(vms, servers) };
        let outcome = play(&plan, 0);
        print("without seats", &plan, 0, &outcome);
        assert!(outcome.broken > 0);
    }
}

// Without reports, VMs learn of a limit one after the other.
#[test]
fn a_limit_is_known_late_without_reports() {
    let (vms, servers) = SIZES[2];
    let told = play(&Plan::new(vms, servers), 0);
    let safeguards = Safeguards { told: false, ..ALL };
    let untold = play(&Plan { safeguards, ..Plan::new(vms, servers) }, 0);
    println!("told: {told}\nuntold: {untold}");
    assert!(told.known_after.is_some_and(|it| it <= 1_000), "{told}");
    assert!(untold.known_after.is_none_or(|it| it > 2_000), "{untold}");
}

// Without signals, servers that leave get requests until the list contains their announcement.
#[test]
fn leaving_servers_get_requests_when_signals_are_ignored() {
    for (vms, servers) in SIZES {
        let safeguards = Safeguards { leaving: false, ..ALL };
        let plan = Plan { safeguards, leaving: Some((2, 4_000)), ..Plan::new(vms, servers) };
        assert!(play(&plan, 0).to_leaving > 0);
    }
}

// Without rest periods, servers that reject requests get the next ones at once.
#[test]
fn resting_servers_get_requests_when_rest_is_ignored() {
    for (vms, servers) in SIZES {
        let safeguards = Safeguards { rest: false, ..ALL };
        let resting = Some((servers, 6_000..12_000, 3_000));
        let plan = Plan { safeguards, resting, ..Plan::new(vms, servers) };
        assert!(play(&plan, 0).rests_broken > 0);
    }
}
