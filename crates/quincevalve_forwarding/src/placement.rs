//! Which server gets a request, and whether it gets one at all.

use std::time::Duration;

use quincevalve_names::{
    BackendServerName, DataCentreName, ServerVersion, ServiceName, TimePoint, rendezvous_score,
};
use rand::{Rng, RngExt};

use crate::{
    config::Engine,
    load::{PREFILL_PER_MS, STEP_MS_PER_REQUEST, Work, WorkSum, is_urgent},
    rollout::scope::VersionScope,
    servers::{Restraint, Server, ServerStart, ServerTable},
};

/// What a request asks of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Prompt tokens.
    pub input: u32,
    /// Tokens generated at most.
    pub max_output: u32,
    /// Tokens that will be generated, as the caller guesses.
    pub expected_output: Option<u32>,
    /// The last part of the prompt that other requests share, and the tokens up to its end.
    pub shared: Option<(u64, u32)>,
}

impl Prompt {
    /// Tokens that will be generated, as far as can be told.
    fn output_tokens(&self) -> u32 {
        self.expected_output.unwrap_or(self.max_output / 2).min(self.max_output)
    }

    /// The work that it usually is: its shared part is in memory at the server that it has affinity to, and elsewhere it isn't.
    pub fn expected_work(&self) -> Work {
        let kept = self.shared.map_or(0, |(_, tokens)| (f64::from(tokens) * USUALLY_KEPT) as u32);
        let output = self.output_tokens();
        Work {
            prefill: self.input.saturating_sub(kept),
            memory: self.input + output,
            output,
            urgency: 0,
        }
    }
}

/// A request that needs a server.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service that it goes to.
    pub service: &'a ServiceName,
    /// What it asks, if the service's servers are model engines.
    pub prompt: Option<(Prompt, Engine)>,
    /// Urgency, 0 first.
    pub urgency: u8,
    /// The time in which the first answer should come.
    pub latency_budget: Duration,
    /// Where this entry VM stands.
    pub data_centre: &'a DataCentreName,
    /// Servers that have had the request.
    pub tried: &'a [BackendServerName],
    /// The servers that it may go to, where their versions differ.
    pub scope: Option<&'a VersionScope>,
}

impl PlacementRequest<'_> {
    fn admits(&self, name: &BackendServerName, server: &Server) -> bool {
        self.scope.is_none_or(|it| it.admits(name, &server.entry))
    }
}

/// A server for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The server.
    pub server: BackendServerName,
    /// Its start for which it was picked.
    pub start: ServerStart,
    /// Its version.
    pub version: ServerVersion,
    /// The work that it takes on.
    pub work: Work,
    /// Its place in the order of servers that keep the prompt's shared part, 0 first; `None` if it isn't in it.
    pub affinity: Option<usize>,
    /// When the first answer is expected, from now.
    pub predicted: Duration,
    /// The same of a server without a record; `None` while it is slow after its start.
    pub baseline: Option<Duration>,
    /// The work that the server had, as far as known.
    pub known_load: WorkSum,
    /// How long ago others told their part of it.
    pub peer_report_age: Duration,
    /// For how long the server's entry has been missing; `None` while it is listed.
    pub unlisted_for: Option<Duration>,
}

/// Why there is no server for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementError {
    /// No server of the service is known to live.
    NoServer,
    /// All are too busy; the nearest could answer so long from now.
    Busy {
        /// The predicted first answer.
        predicted: Duration,
    },
    /// All that could take it name limits, and have had what this VM may send them.
    Limited {
        /// Until this VM may send one of them the next request, on average.
        wait: Duration,
    },
    /// All that could take it want rest from this VM.
    Resting {
        /// Until the first of them has had it.
        wait: Duration,
    },
}

/// Milliseconds to a first token of an idle engine beyond reading the prompt.
const FIRST_TOKEN_MS: f64 = 40.0;
/// Milliseconds of work of a plain service's request before any was measured.
const CALL_MS: f64 = 30.0;
/// Milliseconds that another data centre costs: the way there and the price of the bytes.
const OTHER_DATA_CENTRE_MS: f64 = 3.0;
/// The part of an engine's memory that running requests may take; the rest keeps shared prompts.
const MEMORY_PART: f64 = 0.85;
/// The part of an engine's slots that are used; the rest is for what other VMs just sent.
const SLOT_PART: f64 = 0.88;
/// Milliseconds that a server is put back for if all its slots are taken; fades with the third power, so that
/// half-filled servers are as good as idle ones. VMs that don't yet know of each other's newest requests
/// would fill the last slots together, and the late ones wait for an answer to end.
const SLOTS_MS: f64 = 400.0;
/// Milliseconds that a server is put back for if all its answers fail lately.
const FAILING_MS: f64 = 800.0;
/// Milliseconds that it costs to read a thousand tokens again that another server keeps: beside the time, which is part of
/// the prediction, it takes prefill from others and memory from other prompts.
const READ_AGAIN_MS: f64 = 100.0;
/// The part of shared prompts that is found in memory.
const USUALLY_KEPT: f64 = 0.7;
/// The part of its time that an engine may read prompts, by urgency. Tokens of running requests are made between chunks of
/// prompts: beyond it long answers don't end before their deadlines, and their memory and slots are lost to others.
const READING_PART: [f64; 3] = [0.95, 0.8, 0.7];
/// The part up to which a large prompt is taken whatever its size.
const IDLE_READING_PART: f64 = 0.1;
/// Milliseconds that a server is put back for if it reads prompts all the time.
const READING_MS: f64 = 250.0;
/// Milliseconds that another data centre costs a call of a plain service: a cut between data centres takes
/// all calls that are on their way across it, and a call has no prompt that another server keeps.
const CALL_ACROSS_MS: f64 = 25.0;
/// Servers that are taken to keep a shared part: one, and one that it spills over to.
const AFFINITY_SERVERS: usize = 2;
/// Servers beside those that a request looks at; few, so that VMs with the same view differ.
const RANDOM_CANDIDATES: usize = 3;
/// Random part of a prediction, so that many VMs with the same view don't all pick the same server.
const JITTER: f64 = 0.1;

impl ServerTable {
    /// Picks the server with the earliest predicted first answer.
    ///
    /// Load: many entry VMs, stale views of each other's work, prompts that share long beginnings. The
    /// server that comes first in rendezvous order for the shared part is taken to hold it, so each shared
    /// part is read on few servers, and hot ones spill to the next by their queue alone.
    pub fn place<R>(
        &self,
        ask: &PlacementRequest<'_>,
        rng: &mut R,
        now: TimePoint,
    ) -> Result<Placement, PlacementError>
    where
        R: Rng,
    {
        let usable = self.usable(ask.service, now).filter(|(name, it)| ask.admits(name, it));
        let (usable, held_back): (Vec<_>, Vec<_>) =
            usable.partition(|(_, it)| self.restraint(it, now).is_none());
        if usable.is_empty() && !held_back.is_empty() {
            let restraints = held_back.iter().filter_map(|(_, it)| self.restraint(it, now));
            return Err(self.held_back(restraints));
        }
        let some = candidates(ask, &usable, rng);
        if let Ok(placement) = best_of(ask, &usable, &some, rng, now) {
            return Ok(placement);
        }
        // None of a few has room: look at all before the caller is refused.
        let all: Vec<_> = (0..usable.len()).collect();
        best_of(ask, &usable, &all, rng, now)
    }
}

impl ServerTable {
    /// Why there is no server where each of them is under a restraint.
    fn held_back(&self, restraints: impl Iterator<Item = Restraint>) -> PlacementError {
        let (mut limits, mut rest) = (Vec::new(), Duration::MAX);
        for restraint in restraints {
            match restraint {
                Restraint::Limited { limit } => limits.push(limit),
                Restraint::Resting { remaining } => rest = rest.min(remaining),
            }
        }
        if limits.is_empty() {
            PlacementError::Resting { wait: rest }
        } else {
            PlacementError::Limited { wait: self.expected_allowance_wait(&limits) }
        }
    }
}

fn best_of<R>(
    ask: &PlacementRequest<'_>,
    usable: &[(&BackendServerName, &Server)],
    candidates: &[usize],
    rng: &mut R,
    now: TimePoint,
) -> Result<Placement, PlacementError>
where
    R: Rng,
{
    let reachable = usable.iter().any(|(_, it)| !it.load.is_paused(now));
    let preferred = affinity_servers(ask, usable);
    let mut best: Option<(f64, Placement)> = None;
    let mut nearest: Option<Duration> = None;
    for at in candidates {
        let (name, server) = usable[*at];
        if ask.tried.contains(name) || (reachable && server.load.is_paused(now)) {
            continue;
        }
        let affinity = preferred.iter().position(|it| it == at);
        let rank = affinity.unwrap_or(preferred.len());
        let Prediction { ms: predicted_ms, expected_ms, work, room, reading, slots } =
            predict(ask, server, rank, now);
        let predicted = Duration::from_secs_f64(predicted_ms / 1_000.0);
        nearest = Some(nearest.map_or(predicted, |it| it.min(predicted)));
        if !room || predicted > ask.latency_budget {
            continue;
        }
        let mut cost = predicted_ms * (1.0 + JITTER * rng.random::<f64>());
        cost += FAILING_MS * server.load.failure_rate();
        cost += READING_MS * reading * reading;
        cost += SLOTS_MS * slots.powi(3);
        cost += READ_AGAIN_MS * read_again(ask, rank) / 1_000.0;
        if server.entry.data_centre != *ask.data_centre {
            cost += if ask.prompt.is_some() { OTHER_DATA_CENTRE_MS } else { CALL_ACROSS_MS };
        }
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            let seen = server.load.total_work(now);
            let told_age = server.load.peer_report_age(now);
            let unlisted_for = server.unlisted_for(now);
            let expected = Duration::from_secs_f64(expected_ms / 1_000.0);
            let place = Placement {
                server: name.clone(),
                start: server.entry.start,
                version: server.entry.version.clone(),
                work,
                affinity,
                predicted,
                baseline: (!server.entry.is_cold).then_some(expected),
                known_load: seen,
                peer_report_age: told_age,
                unlisted_for,
            };
            best = Some((cost, place));
        }
    }
    match (best, nearest) {
        (Some((_, placement)), _) => Ok(placement),
        (None, Some(predicted)) => Err(PlacementError::Busy { predicted }),
        (None, None) => Err(PlacementError::NoServer),
    }
}

/// The servers that are looked at for a request.
///
/// Failure: many VMs hear of a server with little work at the same time, and until they hear of each other's
/// newest requests all of them send theirs there. Symptom: one server gets several times what it was
/// told to run, and first tokens are late while others idle. Each request therefore looks at a few
/// servers of its own choice, beside those that keep its prompt's shared part.
fn candidates<R>(
    ask: &PlacementRequest<'_>,
    usable: &[(&BackendServerName, &Server)],
    rng: &mut R,
) -> Vec<usize>
where
    R: Rng,
{
    if ask.prompt.is_none() || usable.len() <= RANDOM_CANDIDATES {
        return (0..usable.len()).collect();
    }
    let mut chosen = affinity_servers(ask, usable);
    for _ in 0..RANDOM_CANDIDATES {
        let at = rng.random_range(0..usable.len());
        if !chosen.contains(&at) {
            chosen.push(at);
        }
    }
    chosen
}

/// The servers that come first in order for a prompt's shared part, best first. A server that starts again keeps none of
/// its prompts and takes another place in the order.
fn affinity_servers(
    ask: &PlacementRequest<'_>,
    usable: &[(&BackendServerName, &Server)],
) -> Vec<usize> {
    let Some((part, _)) = ask.prompt.and_then(|(prompt, _)| prompt.shared) else {
        return Vec::new();
    };
    let mut first: [Option<(u64, usize)>; AFFINITY_SERVERS] = [None; AFFINITY_SERVERS];
    for (at, (_, server)) in usable.iter().enumerate() {
        let mut candidate = Some((rendezvous_score(part, server.hash), at));
        for place in &mut first {
            if candidate > *place {
                std::mem::swap(place, &mut candidate);
            }
        }
    }
    first.into_iter().flatten().map(|(_, at)| at).collect()
}

/// Tokens that a server would read although another keeps them, as they weigh. The second in order is where a
/// hot part spills over, and often keeps it too.
fn read_again(ask: &PlacementRequest<'_>, rank: usize) -> f64 {
    let shared = ask.prompt.and_then(|(prompt, _)| prompt.shared);
    let weight = if rank == 0 {
        0.0
    } else if rank < AFFINITY_SERVERS {
        0.6
    } else {
        1.0
    };
    shared.map_or(0.0, |(_, tokens)| f64::from(tokens) * weight)
}

/// What is expected of a request at a server.
struct Prediction {
    /// Milliseconds to the first answer.
    ms: f64,
    /// The same of a server without a record.
    expected_ms: f64,
    work: Work,
    /// Whether there is room for it at all.
    room: bool,
    /// The part of its time that the server reads prompts already.
    reading: f64,
    /// The part of its slots that are taken.
    slots: f64,
}

fn predict(ask: &PlacementRequest<'_>, server: &Server, rank: usize, now: TimePoint) -> Prediction {
    let load = server.load.total_work(now);
    let Some((prompt, engine)) = ask.prompt else {
        let slots = f64::from(server.entry.slots.max(1));
        let each = server.load.mean_answer_ms().max(CALL_MS);
        // Work beyond the slots waits for one of them to come free.
        let queued = (f64::from(load.requests) + 1.0 - slots).max(0.0);
        let spread = f64::from(load.requests) / slots;
        let work = Work { urgency: ask.urgency, ..Work::default() };
        let waits = 1.0 + 0.3 * spread + queued / slots;
        let (ms, expected_ms) = (each * waits, CALL_MS * waits);
        return Prediction { ms, expected_ms, work, room: true, reading: 0.0, slots: 0.0 };
    };
    let is_cold = ask.scope.is_some_and(VersionScope::is_cold);
    let kept = prompt.shared.map_or(0, |(_, tokens)| match rank {
        0 if !is_cold => (f64::from(tokens) * server.load.cache_warmth(now)) as u32,
        _ => 0,
    });
    let prefill = prompt.input.saturating_sub(kept);
    let output = prompt.output_tokens();
    let memory = prompt.input + output;
    let work = Work { prefill, memory, output, urgency: ask.urgency };
    let ahead = if is_urgent(ask.urgency) { load.urgent_prefill } else { load.prefill };
    let read_ms = (ahead as f64 + f64::from(prefill)) / PREFILL_PER_MS;
    let step = STEP_MS_PER_REQUEST * f64::from(load.requests);
    let expected_ms = FIRST_TOKEN_MS + read_ms + step;
    let ms = expected_ms * server.load.slowness();
    let memory_left = engine.kv_tokens as f64 * MEMORY_PART - load.memory as f64;
    let slots = f64::from(load.requests) / f64::from(engine.slots.max(1));
    let reading = server.load.prefill_utilization(&load);
    let own_part = f64::from(prefill) / PREFILL_PER_MS / 1_000.0;
    let most = READING_PART[usize::from(ask.urgency).min(READING_PART.len() - 1)];
    let room = slots < SLOT_PART
        && (f64::from(memory) <= memory_left || load.requests == 0)
        && (reading + own_part <= most || reading <= IDLE_READING_PART);
    Prediction { ms, expected_ms, work, room, reading, slots }
}
