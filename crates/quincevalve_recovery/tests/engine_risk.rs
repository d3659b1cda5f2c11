//! Guards against copies that are ordered on stale or foreign evidence, that nobody needs, or that go where they are lost
//! with the source.

use std::time::Duration;

use quincevalve_names::{DataCentreName, TimePoint};
use quincevalve_recovery::{
    CopyCandidate, EngineCondition, EngineId, RiskTable, RunAtRisk, choose_copy_target, is_copy_due,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const FAILING: EngineId = EngineId(1);
const OTHER: EngineId = EngineId(2);
const CALM: EngineCondition =
    EngineCondition { is_cold: false, is_paused: false, slot_utilization: 0.5 };

fn at(seconds: u64) -> TimePoint {
    TimePoint::from_millis(seconds * 1_000)
}

fn loss(table: &RiskTable, engine: EngineId, condition: EngineCondition, now: TimePoint) -> f64 {
    table.loss_probability(engine, condition, Duration::from_secs(2), now)
}

/// Returns a table of 40 streams at two engines for 10 s, in which one engine then interrupted three streams.
fn interrupted() -> RiskTable {
    let mut table = RiskTable::default();
    for _ in 0..20 {
        table.record_start(FAILING, at(0));
        table.record_start(OTHER, at(0));
    }
    for _ in 0..3 {
        table.record_end(FAILING, at(10));
        table.record_interruption(FAILING, at(10));
    }
    table
}

#[test]
fn an_engine_that_interrupts_streams_is_riskier_than_the_others() {
    let table = interrupted();
    let soon = |it| table.loss_probability(it, CALM, Duration::from_millis(100), at(10));
    assert!(soon(FAILING) > 1.5 * soon(OTHER), "{} {}", soon(FAILING), soon(OTHER));
    assert!(table.is_suspect(FAILING, at(10)) && !table.is_suspect(OTHER, at(10)));
}

#[test]
fn nothing_is_at_risk_without_interruptions() {
    let mut table = RiskTable::default();
    table.record_start(OTHER, at(0));
    let strained = EngineCondition { is_cold: true, ..CALM };
    assert!(loss(&table, OTHER, strained, at(5)) < f64::EPSILON);
}

#[test]
fn risk_passes_with_time() {
    let table = interrupted();
    assert!(loss(&table, FAILING, CALM, at(25)) < 0.01);
    assert!(!table.is_suspect(FAILING, at(25)));
}

// While no stream runs, neither interruptions nor stream-seconds arrive, and their ratio alone would never change.
#[test]
fn risk_passes_while_no_stream_runs() {
    let mut table = RiskTable::default();
    table.record_start(FAILING, at(0));
    table.record_end(FAILING, at(1));
    table.record_interruption(FAILING, at(1));
    assert!(loss(&table, FAILING, CALM, at(1)) > 0.1);
    assert!(loss(&table, FAILING, CALM, at(30)) < 0.01);
}

macro_rules! strained {
    ($($name:ident: $condition:expr;)*) => {
        $(#[test]
        fn $name() {
            let table = interrupted();
            let calm = 1.0 - loss(&table, OTHER, CALM, at(10));
            let strained = 1.0 - loss(&table, OTHER, $condition, at(10));
            assert!((strained - calm * calm).abs() < 1e-9);
        })*
    };
}

strained! {
    a_cold_engine_has_twice_the_rate: EngineCondition { is_cold: true, ..CALM };
    a_paused_engine_has_twice_the_rate: EngineCondition { is_paused: true, ..CALM };
    a_nearly_full_engine_has_twice_the_rate: EngineCondition { slot_utilization: 0.9, ..CALM };
}

// Engines come and go under new names and starts for as long as the process runs.
#[test]
fn forgets_engines_that_are_gone() {
    let mut table = RiskTable::default();
    for second in 0..2_000 {
        let engine = EngineId(second);
        table.record_start(engine, at(second));
        table.record_interruption(engine, at(second));
        table.record_end(engine, at(second));
    }
    assert!(table.engine_count() <= 30, "{}", table.engine_count());
}

#[test]
fn keeps_engines_with_streams() {
    let mut table = RiskTable::default();
    table.record_start(FAILING, at(0));
    table.record_start(OTHER, at(100));
    table.record_end(OTHER, at(101));
    table.record_start(OTHER, at(200));
    assert_eq!(table.engine_count(), 2);
}

const RUN: RunAtRisk = RunAtRisk {
    is_resumable: false,
    recompute: Duration::from_millis(600),
    longest_pause: Some(Duration::from_millis(500)),
    duration: Duration::from_secs(3),
    transfer: Duration::from_millis(30),
    loss_probability: 0.1,
};

macro_rules! copied {
    ($($name:ident: $run:expr => $expected:literal;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(is_copy_due(&$run), $expected);
        })*
    };
}

copied! {
    copies_a_non_resumable_stream_at_one_in_ten: RUN => true;
    spares_a_non_resumable_stream_below: RunAtRisk { loss_probability: 0.09, ..RUN } => false;
    copies_a_resumable_stream_that_would_pause_for_too_long_at_one_in_four:
        RunAtRisk { is_resumable: true, loss_probability: 0.25, ..RUN } => true;
    spares_a_resumable_stream_below:
        RunAtRisk { is_resumable: true, loss_probability: 0.24, ..RUN } => false;
    spares_a_resumable_stream_that_continues_within_its_promised_pause:
        RunAtRisk { is_resumable: true, loss_probability: 0.9, recompute: Duration::from_millis(500), ..RUN }
            => false;
    spares_a_resumable_stream_without_a_promised_pause:
        RunAtRisk { is_resumable: true, loss_probability: 0.9, longest_pause: None, ..RUN } => false;
    spares_a_stream_that_ends_before_its_copy_arrives:
        RunAtRisk { transfer: Duration::from_secs(2), ..RUN } => false;
}

/// Returns how often each candidate in data centres `centres` is chosen, in 300 draws. The source is in `b` and the VM in
/// `a`.
fn chosen(candidates: &[(&str, f64, bool)]) -> Vec<usize> {
    let centres: Vec<DataCentreName> = candidates.iter().map(|it| it.0.into()).collect();
    let candidates: Vec<_> = candidates
        .iter()
        .zip(&centres)
        .map(|((_, memory_fraction, is_suspect), data_centre)| CopyCandidate {
            data_centre,
            memory_fraction: *memory_fraction,
            is_suspect: *is_suspect,
        })
        .collect();
    let mut counts = vec![0; candidates.len()];
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    for _ in 0..300 {
        if let Some(at) = choose_copy_target(&candidates, &"b".into(), &"a".into(), &mut rng) {
            counts[at] += 1;
        }
    }
    counts
}

#[test]
fn prefers_the_own_data_centre_then_another_than_the_sources() {
    assert_eq!(chosen(&[("b", 0.0, false), ("c", 0.1, false), ("a", 0.6, false)]), [0, 0, 300]);
    assert_eq!(chosen(&[("b", 0.0, false), ("c", 0.6, false)]), [0, 300]);
    assert_eq!(chosen(&[("b", 0.6, false)]), [300]);
}

#[test]
fn leaves_memory_for_running_requests() {
    assert_eq!(chosen(&[("a", 0.71, false), ("c", 0.7, false)]), [0, 300]);
    assert_eq!(chosen(&[("a", 0.71, false)]), [0]);
}

#[test]
fn avoids_engines_that_interrupted_streams() {
    assert_eq!(chosen(&[("a", 0.0, true), ("b", 0.5, false)]), [0, 300]);
    assert_eq!(chosen(&[("a", 0.0, true)]), [300]);
}

// VMs with the same view must not all fill the same engine.
#[test]
fn draws_among_equal_engines() {
    let candidates: Vec<_> = (0..10).map(|at| ("a", 0.1 + 0.01 * f64::from(at), false)).collect();
    let counts = chosen(&candidates);
    assert!(counts.iter().filter(|it| **it > 0).count() >= 6, "{counts:?}");
    assert!(counts[0] > counts[5], "{counts:?}");
}
