//! Guards against answers that are lost when many engines interrupt streams, and against copies where none is needed.
//!
//! A simulation in virtual time: 60 engines in four data centres, one or more entry VMs with estimates of their own, and
//! the streams of three kinds of requests. For 5 s of a minute, half of the engines interrupt 5 in 100 of their streams a
//! second, and lose the runs. Copies are compared with the same play without them.

use std::time::Duration;

use quincevalve_names::{DataCentreName, TimePoint};
use quincevalve_recovery::{
    ContinueFrom, CopyCandidate, EngineCondition, EngineId, HandOverAnswer, RecoveryAction,
    RecoveryConditions, RecoveryEvent, RiskTable, RunAtRisk, RunRecovery, choose_copy_target,
    is_copy_due,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ENGINES: usize = 60;
const SLOTS: u32 = 32;
const KV_TOKENS: f64 = 633_588.0;
const TICK_MS: u64 = 10;
const MINUTE_MS: u64 = 60_000;
/// The time of the failures.
const FAILING_MS: std::ops::Range<u64> = 20_000..25_000;
const STREAMS_PER_SECOND: f64 = 700.0;
/// Time between two tokens of a stream.
const TOKEN_MS: f64 = 6.0;

/// A kind of requests: its share, prompt and output tokens, and whether its streams are resumable.
struct Kind {
    share: f64,
    prompt: u32,
    output: u32,
    is_resumable: bool,
}

const GUIDE: Kind = Kind { share: 0.6, prompt: 11_992, output: 385, is_resumable: false };
const CHAT: Kind = Kind { share: 0.3, prompt: 826, output: 150, is_resumable: true };
const TAG: Kind = Kind { share: 0.1, prompt: 2_368, output: 27, is_resumable: false };

struct Stream {
    vm: usize,
    engine: usize,
    kind: &'static Kind,
    ends_ms: u64,
    copy: Option<usize>,
    recovery: RunRecovery,
}

#[derive(Debug, Default, PartialEq)]
struct Outcome {
    started: usize,
    copies: usize,
    /// Interruptions of non-resumable streams.
    interrupted: usize,
    lost: usize,
}

impl Outcome {
    fn copy_share(&self) -> f64 {
        self.copies as f64 / self.started as f64
    }
}

#[derive(Clone, Copy)]
struct Play {
    vms: usize,
    has_failures: bool,
    may_copy: bool,
    seed: u64,
}

fn at(ms: u64) -> TimePoint {
    TimePoint::from_millis(ms)
}

fn id(engine: usize) -> EngineId {
    EngineId(engine as u64)
}

fn expected_time(kind: &Kind) -> Duration {
    // The prompt's processing and the first token's overhead come before the tokens.
    let prefill_ms = f64::from(kind.prompt) / 95.0 + 40.0;
    Duration::from_secs_f64((prefill_ms + f64::from(kind.output) * TOKEN_MS) / 1_000.0)
}

fn play(play: Play) -> Outcome {
    // The events of the play come from a generator of their own, so that they are the same with and without copies.
    let mut events = Pcg64Mcg::seed_from_u64(play.seed);
    let mut choices = Pcg64Mcg::seed_from_u64(play.seed + 1_000);
    let centres: Vec<DataCentreName> = ["a", "b", "c", "d"].map(Into::into).to_vec();
    let mut risks = vec![RiskTable::default(); play.vms];
    let mut memory = vec![0.0; ENGINES];
    let mut running = vec![0_u32; ENGINES];
    let mut streams: Vec<Stream> = Vec::new();
    let mut result = Outcome::default();
    for now_ms in (0..MINUTE_MS).step_by(TICK_MS as usize) {
        let now = at(now_ms);
        let tick_s = TICK_MS as f64 / 1_000.0;
        let is_failing = play.has_failures && FAILING_MS.contains(&now_ms);
        let mut kept = Vec::with_capacity(streams.len());
        for mut stream in std::mem::take(&mut streams) {
            let draw = events.random::<f64>();
            let tokens = f64::from(stream.kind.prompt + stream.kind.output);
            let is_broken = is_failing && stream.engine < ENGINES / 2 && draw < 0.05 * tick_s;
            let has_ended = now_ms >= stream.ends_ms;
            if !is_broken && !has_ended {
                kept.push(stream);
                continue;
            }
            memory[stream.engine] -= tokens;
            running[stream.engine] -= 1;
            let risk = &mut risks[stream.vm];
            if is_broken {
                risk.record_interruption(id(stream.engine), now);
            }
            risk.record_end(id(stream.engine), now);
            let copy = stream.copy.take();
            if let Some(copy) = copy {
                memory[copy] -= tokens;
            }
            if has_ended || stream.kind.is_resumable {
                continue;
            }
            result.interrupted += 1;
            let conditions = RecoveryConditions {
                can_ask_source: true,
                copy_held: copy.is_some(),
                may_restart: false,
                obstacle: None,
                time_left: Duration::from_secs(10),
            };
            assert_eq!(
                stream.recovery.handle(RecoveryEvent::Broke, &conditions),
                RecoveryAction::AskSource
            );
            let answered = RecoveryEvent::HandOver(HandOverAnswer::NoRun);
            match (stream.recovery.handle(answered, &conditions), copy) {
                (RecoveryAction::Continue(ContinueFrom::Copy), Some(copy)) => {
                    stream.recovery.record_continuation();
                    stream.engine = copy;
                    memory[copy] += tokens;
                    running[copy] += 1;
                    risks[stream.vm].record_start(id(copy), now);
                    kept.push(stream);
                }
                _ => result.lost += 1,
            }
        }
        streams = kept;
        let mut due = STREAMS_PER_SECOND * tick_s;
        while due > 0.0 {
            due -= 1.0;
            let stream = start(
                play,
                now_ms,
                &centres,
                &mut risks,
                &memory,
                &running,
                [&mut events, &mut choices],
            );
            let tokens = f64::from(stream.kind.prompt + stream.kind.output);
            memory[stream.engine] += tokens;
            running[stream.engine] += 1;
            if let Some(copy) = stream.copy {
                memory[copy] += tokens;
                result.copies += 1;
            }
            result.started += 1;
            streams.push(stream);
        }
    }
    result
}

fn start(
    play: Play,
    now_ms: u64,
    centres: &[DataCentreName],
    risks: &mut [RiskTable],
    memory: &[f64],
    running: &[u32],
    [events, choices]: [&mut Pcg64Mcg; 2],
) -> Stream {
    let now = at(now_ms);
    let draw = events.random::<f64>();
    let kind = if draw < GUIDE.share {
        &GUIDE
    } else if draw < GUIDE.share + CHAT.share {
        &CHAT
    } else {
        &TAG
    };
    let vm = events.random_range(0..play.vms);
    // The less used of two engines.
    let (left, right) = (events.random_range(0..ENGINES), events.random_range(0..ENGINES));
    let engine = if running[left] <= running[right] { left } else { right };
    let time = expected_time(kind);
    // Answers are 0.7 to 1.3 times as long as expected.
    let actual = time.mul_f64(events.random_range(0.7..1.3));
    let risk = &mut risks[vm];
    let condition = EngineCondition {
        slot_utilization: f64::from(running[engine]) / f64::from(SLOTS),
        ..EngineCondition::default()
    };
    let run = RunAtRisk {
        is_resumable: kind.is_resumable,
        recompute: Duration::from_secs_f64(f64::from(kind.prompt) / 68_200.0),
        longest_pause: Some(Duration::from_millis(500)),
        duration: time,
        transfer: Duration::from_millis(25),
        loss_probability: risk.loss_probability(id(engine), condition, time, now),
    };
    let copy = (play.may_copy && is_copy_due(&run)).then(|| {
        let tokens = f64::from(kind.prompt + kind.output);
        let others: Vec<_> = (0..ENGINES).filter(|it| *it != engine).collect();
        let candidates: Vec<_> = others
            .iter()
            .map(|it| CopyCandidate {
                data_centre: &centres[it % centres.len()],
                memory_fraction: (memory[*it] + tokens) / KV_TOKENS,
                is_suspect: risk.is_suspect(id(*it), now),
            })
            .collect();
        let centre = |engine: usize| &centres[engine % centres.len()];
        let at = choose_copy_target(&candidates, centre(engine), &centres[vm % 4], choices);
        at.map(|it| others[it])
    });
    risk.record_start(id(engine), now);
    Stream {
        vm,
        engine,
        kind,
        ends_ms: now_ms + actual.as_millis() as u64,
        copy: copy.flatten(),
        recovery: RunRecovery::default(),
    }
}

/// Returns the results with and without copies, summed over some seeds.
fn compare(vms: usize, has_failures: bool) -> (Outcome, Outcome) {
    let mut sums = (Outcome::default(), Outcome::default());
    for seed in 0..3 {
        for (may_copy, sum) in [(true, &mut sums.0), (false, &mut sums.1)] {
            let result = play(Play { vms, has_failures, may_copy, seed });
            sum.started += result.started;
            sum.copies += result.copies;
            sum.interrupted += result.interrupted;
            sum.lost += result.lost;
        }
    }
    println!("{vms} VMs, failures {has_failures}: {:?} without copies: {:?}", sums.0, sums.1);
    sums
}

#[test]
fn copies_save_two_thirds_of_the_lost_answers() {
    let (with_copies, without) = compare(1, true);
    assert!(without.lost > 100, "{without:?}");
    assert!(with_copies.lost * 3 <= without.lost, "{with_copies:?} {without:?}");
    assert!(with_copies.copy_share() <= 0.2, "{with_copies:?}");
}

#[test]
fn hardly_any_stream_is_copied_without_failures() {
    let (with_copies, _) = compare(1, false);
    assert!(with_copies.copy_share() <= 0.01, "{with_copies:?}");
}
