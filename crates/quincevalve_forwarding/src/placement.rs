//! Picks the backend server for a request, or rejects the request.

use std::time::Duration;

use quincevalve_names::{
    BackendServerName, DataCentreName, ServerVersion, ServiceName, TimePoint, rendezvous_score,
    seconds,
};
use rand::{Rng, RngExt};

use crate::{
    config::Engine,
    load::{MAX_KV_FRACTION, PREFILL_PER_MS, STEP_MS_PER_REQUEST, Work, WorkSum, is_urgent},
    rollout::scope::VersionScope,
    servers::{Restraint, Server, ServerStart, ServerTable},
    signal_outbox::ServerKey,
};

/// The prompt of a request to a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Number of prompt tokens.
    pub input: u32,
    /// Maximum number of generated tokens.
    pub max_output: u32,
    /// Number of generated tokens that the caller expects.
    pub expected_output: Option<u32>,
    /// Key of the last prompt segment shared with other requests, and the number of tokens up to its end.
    pub shared: Option<(u64, u32)>,
}

impl Prompt {
    /// Returns the estimated number of generated tokens.
    fn output_tokens(&self) -> u32 {
        self.expected_output.unwrap_or(self.max_output / 2).min(self.max_output)
    }

    /// Returns the work to expect on average, given that only the server with affinity usually has the shared prefix
    /// cached.
    pub fn expected_work(&self) -> Work {
        let cached = self
            .shared
            .map_or(0, |(_, tokens)| (f64::from(tokens) * TYPICAL_CACHED_FRACTION) as u32);
        let output = self.output_tokens();
        Work {
            prefill: self.input.saturating_sub(cached),
            memory: self.input + output,
            output,
            urgency: 0,
        }
    }
}

/// A request that needs a server.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The requested service.
    pub service: &'a ServiceName,
    /// The prompt, if the service's servers are model engines, and the engine's capacity.
    pub prompt: Option<(Prompt, Engine)>,
    /// Urgency class; 0 is the most urgent.
    pub urgency: u8,
    /// Maximum time until the first answer.
    pub latency_budget: Duration,
    /// The data centre of this entry VM.
    pub data_centre: &'a DataCentreName,
    /// Servers that have already received the request.
    pub tried: &'a [BackendServerName],
    /// The servers that may receive the request, where their versions differ.
    pub scope: Option<&'a VersionScope>,
    /// The only version that may process the request, if its stream began there.
    pub version: Option<&'a ServerVersion>,
    /// Versions that may not process the request.
    pub barred: &'a [ServerVersion],
}

impl PlacementRequest<'_> {
    fn admits(&self, name: &BackendServerName, server: &Server) -> bool {
        self.scope.is_none_or(|it| it.admits(name, &server.entry))
            && self.version.is_none_or(|it| server.entry.version == *it)
            && !self.barred.contains(&server.entry.version)
    }
}

/// The server picked for a request, and the estimates behind the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The server.
    pub server: BackendServerName,
    /// The start of the server for which it was picked.
    pub start: ServerStart,
    /// The server's software version.
    pub version: ServerVersion,
    /// The work that the request adds to the server.
    pub work: Work,
    /// The server's position in the affinity order of the prompt's shared prefix, 0 first; `None` if it is not in it.
    pub affinity: Option<usize>,
    /// Predicted time until the first answer.
    pub predicted: Duration,
    /// Predicted time until the first answer of a server without latency history; `None` while the server is slow
    /// after its start.
    pub baseline: Option<Duration>,
    /// The server's work before this request, as far as known.
    pub known_load: WorkSum,
    /// Age of the peers' reports in `known_load`.
    pub peer_report_age: Duration,
    /// Time for which the server's entry has been missing; `None` while it is listed.
    pub unlisted_for: Option<Duration>,
}

impl Placement {
    /// Returns the name and start of the server.
    pub fn server_key(&self) -> ServerKey {
        (self.server.clone(), self.start)
    }
}

/// The reason why no server can take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementError {
    /// No live server of the service is known.
    NoServer,
    /// All servers are too busy.
    Busy {
        /// Earliest predicted time until the first answer.
        predicted: Duration,
    },
    /// All eligible servers state request limits, and this VM has used up its allowance at each of them.
    Limited {
        /// Average time until this VM may send the next request to one of them.
        wait: Duration,
    },
    /// All eligible servers have asked this VM to rest.
    Resting {
        /// Time until the first rest period ends.
        wait: Duration,
    },
}

/// Time to the first token of an idle engine in addition to prefill, in milliseconds.
const FIRST_TOKEN_OVERHEAD_MS: f64 = 40.0;
/// Assumed duration of a plain service's request before any was measured, in milliseconds.
const DEFAULT_CALL_MS: f64 = 30.0;
/// Cost of sending a request to another data centre, in milliseconds: the network latency and the price of the traffic.
const CROSS_CENTRE_PENALTY_MS: f64 = 3.0;
/// Maximum fraction of an engine's slots to use; the rest is reserved for requests that other VMs have just sent.
const MAX_SLOT_FRACTION: f64 = 0.88;
/// Cost of a server whose slots are all taken, in milliseconds. It scales with the third power of the slot
/// utilization, so that half-filled servers rank nearly as high as idle ones. Without it, VMs that don't yet know of
/// each other's newest requests would fill the last slots together, and the late requests would wait for an answer
/// to end.
const SLOT_PENALTY_MS: f64 = 400.0;
/// Cost of a server whose recent answers all failed, in milliseconds; scales with the failure rate.
const FAILURE_PENALTY_MS: f64 = 800.0;
/// Cost of recomputing a thousand prompt tokens that another server has cached, in milliseconds. It comes on top of the
/// predicted prefill time, since recomputation takes prefill capacity from other requests and cache space from other
/// prompts.
const RECOMPUTE_PENALTY_MS: f64 = 100.0;
/// Fraction of shared prompt tokens that is typically found in the KV cache.
const TYPICAL_CACHED_FRACTION: f64 = 0.7;
/// Maximum fraction of its time that an engine may spend on prefill, by urgency. Running requests generate tokens
/// between prefill chunks: with more prefill, long answers miss their deadlines, and the memory and slots that they
/// occupied are wasted.
const MAX_PREFILL_UTILIZATION: [f64; 3] = [0.95, 0.8, LEAST_URGENT_PREFILL_UTILIZATION];
/// The same for requests of any lower urgency.
const LEAST_URGENT_PREFILL_UTILIZATION: f64 = 0.7;
/// Prefill utilization up to which a server accepts a prompt of any size.
const IDLE_PREFILL_UTILIZATION: f64 = 0.1;
/// Cost of a server that is always busy with prefill, in milliseconds; scales with the square of the utilization.
const PREFILL_PENALTY_MS: f64 = 250.0;
/// Cost of sending a plain service's call to another data centre, in milliseconds. A network partition between data
/// centres fails all calls in flight across it, and a call gains nothing from another server's prompt cache.
const CROSS_CENTRE_CALL_PENALTY_MS: f64 = 25.0;
/// Number of servers with affinity to a shared prefix: a primary one and one for overflow.
const AFFINITY_SERVERS: usize = 2;
/// Number of random candidates in addition to the affinity servers; small, so that VMs with the same view pick
/// different servers.
const RANDOM_CANDIDATES: usize = 3;
/// Maximum random increase of a prediction, as a fraction, so that VMs with the same view don't all pick the same
/// server.
const JITTER: f64 = 0.1;

impl ServerTable {
    /// Picks the server with the lowest cost: the earliest predicted first answer plus penalties.
    ///
    /// The load consists of requests from many entry VMs with stale views of each other's work, and of prompts that
    /// share long prefixes. The first server in rendezvous order for a shared prefix is assumed to have it cached.
    /// Each shared prefix is therefore computed on few servers, and a hot one overflows to the next server only when
    /// the first one's queue grows.
    pub fn place<R>(
        &self,
        request: &PlacementRequest<'_>,
        rng: &mut R,
        now: TimePoint,
    ) -> Result<Placement, PlacementError>
    where
        R: Rng,
    {
        let usable =
            self.usable(request.service, now).filter(|(name, it)| request.admits(name, it));
        let engine = request.prompt.map(|(_, engine)| engine);
        let (mut usable, restrained): (Vec<_>, Vec<_>) =
            usable.partition(|(_, it)| self.restraint(it, engine, now).is_none());
        if usable.is_empty() && self.may_probe(restrained.iter().map(|(_, it)| *it), now) {
            usable.clone_from(&restrained);
        }
        if usable.is_empty() && !restrained.is_empty() {
            let restraints =
                restrained.iter().filter_map(|(_, it)| self.restraint(it, engine, now));
            let error = self.restraint_error(restraints);
            return Err(error.unwrap_or(PlacementError::Busy { predicted: request.latency_budget }));
        }
        let sampled = candidates(request, &usable, rng);
        if let Ok(placement) = best_candidate(request, &usable, &sampled, rng, now) {
            return Ok(placement);
        }
        // None of the sampled servers has capacity: consider all before rejecting the request.
        let all: Vec<_> = (0..usable.len()).collect();
        best_candidate(request, &usable, &all, rng, now)
    }
}

impl ServerTable {
    /// Returns the error for a service whose servers are all under a restraint; `None` if requests of this VM occupy some
    /// of them.
    fn restraint_error(
        &self,
        restraints: impl Iterator<Item = Restraint>,
    ) -> Option<PlacementError> {
        let (mut limits, mut rest) = (Vec::new(), Duration::MAX);
        for restraint in restraints {
            match restraint {
                Restraint::Limited { limit } => limits.push(limit),
                Restraint::Resting { remaining } => rest = rest.min(remaining),
                Restraint::Occupied => return None,
            }
        }
        Some(if limits.is_empty() {
            PlacementError::Resting { wait: rest }
        } else {
            PlacementError::Limited { wait: self.expected_allowance_wait(&limits) }
        })
    }
}

/// Returns the candidate with the lowest cost among those that can meet the latency budget.
fn best_candidate<R>(
    request: &PlacementRequest<'_>,
    usable: &[(&BackendServerName, &Server)],
    candidates: &[usize],
    rng: &mut R,
    now: TimePoint,
) -> Result<Placement, PlacementError>
where
    R: Rng,
{
    let reachable = usable.iter().any(|(_, it)| !it.load.is_paused(now));
    let preferred = affinity_servers(request, usable);
    let mut best: Option<(f64, Placement)> = None;
    let mut min_predicted: Option<Duration> = None;
    for at in candidates {
        let Some((name, server)) = usable.get(*at).copied() else { continue };
        if request.tried.contains(name) || (reachable && server.load.is_paused(now)) {
            continue;
        }
        let affinity = preferred.iter().position(|it| it == at);
        let affinity_rank = affinity.unwrap_or(preferred.len());
        let Prediction {
            ms: predicted_ms,
            baseline_ms,
            work,
            fits,
            prefill_utilization,
            slot_utilization,
        } = predict(request, server, affinity_rank, now);
        let predicted = seconds(predicted_ms / 1_000.0);
        min_predicted = Some(min_predicted.map_or(predicted, |it| it.min(predicted)));
        if !fits || predicted > request.latency_budget {
            continue;
        }
        let mut cost = predicted_ms * (1.0 + JITTER * rng.random::<f64>());
        cost += FAILURE_PENALTY_MS * server.load.failure_rate();
        cost += PREFILL_PENALTY_MS * prefill_utilization * prefill_utilization;
        cost += SLOT_PENALTY_MS * slot_utilization.powi(3);
        cost += RECOMPUTE_PENALTY_MS * recomputed_tokens(request, affinity_rank) / 1_000.0;
        if server.entry.data_centre != *request.data_centre {
            cost += if request.prompt.is_some() {
                CROSS_CENTRE_PENALTY_MS
            } else {
                CROSS_CENTRE_CALL_PENALTY_MS
            };
        }
        if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
            let known_load = server.load.total_work(now);
            let peer_report_age = server.load.peer_report_age(now);
            let unlisted_for = server.unlisted_for(now);
            let baseline = seconds(baseline_ms / 1_000.0);
            let placement = Placement {
                server: name.clone(),
                start: server.entry.start,
                version: server.entry.version.clone(),
                work,
                affinity,
                predicted,
                baseline: (!server.entry.is_cold).then_some(baseline),
                known_load,
                peer_report_age,
                unlisted_for,
            };
            best = Some((cost, placement));
        }
    }
    match (best, min_predicted) {
        (Some((_, placement)), _) => Ok(placement),
        (None, Some(predicted)) => Err(PlacementError::Busy { predicted }),
        (None, None) => Err(PlacementError::NoServer),
    }
}

/// Returns the indices of the servers to consider for a request: those with affinity to its shared prefix and a few
/// random ones.
///
/// If every VM considered all servers, all of them would send their requests to the same lightly loaded server until
/// they learned of each other's newest requests. That server would receive several times its share, and first tokens
/// would be late while other servers idle.
fn candidates<R>(
    request: &PlacementRequest<'_>,
    usable: &[(&BackendServerName, &Server)],
    rng: &mut R,
) -> Vec<usize>
where
    R: Rng,
{
    if request.prompt.is_none() || usable.len() <= RANDOM_CANDIDATES {
        return (0..usable.len()).collect();
    }
    let mut chosen = affinity_servers(request, usable);
    for _ in 0..RANDOM_CANDIDATES {
        let at = rng.random_range(0..usable.len());
        if !chosen.contains(&at) {
            chosen.push(at);
        }
    }
    chosen
}

/// Returns the indices of the first servers in rendezvous order for a prompt's shared prefix, best first. A restarted
/// server has lost its cached prompts and gets another position in the order.
fn affinity_servers(
    request: &PlacementRequest<'_>,
    usable: &[(&BackendServerName, &Server)],
) -> Vec<usize> {
    let Some((shared_key, _)) = request.prompt.and_then(|(prompt, _)| prompt.shared) else {
        return Vec::new();
    };
    let mut top: [Option<(u64, usize)>; AFFINITY_SERVERS] = [None; AFFINITY_SERVERS];
    for (at, (_, server)) in usable.iter().enumerate() {
        let mut candidate = Some((rendezvous_score(shared_key, server.hash), at));
        for entry in &mut top {
            if candidate > *entry {
                std::mem::swap(entry, &mut candidate);
            }
        }
    }
    top.into_iter().flatten().map(|(_, at)| at).collect()
}

/// Returns the weighted number of tokens that a server would compute although another has them cached. The second
/// server in affinity order receives the overflow of hot prefixes, and often has them cached too.
fn recomputed_tokens(request: &PlacementRequest<'_>, affinity_rank: usize) -> f64 {
    let shared = request.prompt.and_then(|(prompt, _)| prompt.shared);
    let weight = if affinity_rank == 0 {
        0.0
    } else if affinity_rank < AFFINITY_SERVERS {
        0.6
    } else {
        1.0
    };
    shared.map_or(0.0, |(_, tokens)| f64::from(tokens) * weight)
}

/// Estimates for a request at a server.
struct Prediction {
    /// Milliseconds until the first answer.
    ms: f64,
    /// Milliseconds until the first answer of a server without latency history.
    baseline_ms: f64,
    work: Work,
    /// Whether the server has capacity for the request.
    fits: bool,
    /// Fraction of the server's time that is already spent on prefill.
    prefill_utilization: f64,
    /// Fraction of the server's slots that are taken.
    slot_utilization: f64,
}

/// Predicts the latency of a request at a server, and whether it fits.
fn predict(
    request: &PlacementRequest<'_>,
    server: &Server,
    affinity_rank: usize,
    now: TimePoint,
) -> Prediction {
    let load = server.load.total_work(now);
    let Some((prompt, engine)) = request.prompt else {
        let slots = f64::from(server.entry.slots.max(1));
        let call_ms = server.load.mean_answer_ms().max(DEFAULT_CALL_MS);
        // Requests beyond the slots wait until one is free.
        let queued = (f64::from(load.requests) + 1.0 - slots).max(0.0);
        let occupancy = f64::from(load.requests) / slots;
        let work = Work { urgency: request.urgency, ..Work::default() };
        let queue_factor = 1.0 + 0.3 * occupancy + queued / slots;
        let (ms, baseline_ms) = (call_ms * queue_factor, DEFAULT_CALL_MS * queue_factor);
        return Prediction {
            ms,
            baseline_ms,
            work,
            fits: true,
            prefill_utilization: 0.0,
            slot_utilization: 0.0,
        };
    };
    let is_cold = request.scope.is_some_and(VersionScope::is_cold);
    let cached = prompt.shared.map_or(0, |(_, tokens)| match affinity_rank {
        0 if !is_cold => (f64::from(tokens) * server.load.cache_warmth(now)) as u32,
        _ => 0,
    });
    let prefill = prompt.input.saturating_sub(cached);
    let output = prompt.output_tokens();
    let memory = prompt.input + output;
    let work = Work { prefill, memory, output, urgency: request.urgency };
    let queued_prefill =
        if is_urgent(request.urgency) { load.urgent_prefill } else { load.prefill };
    let prefill_ms = (queued_prefill as f64 + f64::from(prefill)) / PREFILL_PER_MS;
    let step_ms = STEP_MS_PER_REQUEST * f64::from(load.requests);
    let baseline_ms = FIRST_TOKEN_OVERHEAD_MS + prefill_ms + step_ms;
    let ms = baseline_ms * server.load.slowness();
    let memory_left = engine.kv_tokens as f64 * MAX_KV_FRACTION - load.memory as f64;
    let slot_utilization = f64::from(load.requests) / f64::from(engine.slots.max(1));
    let prefill_utilization = server.load.prefill_utilization(&load);
    let own_utilization = f64::from(prefill) / PREFILL_PER_MS / 1_000.0;
    let max_utilization = MAX_PREFILL_UTILIZATION.get(usize::from(request.urgency));
    let max_utilization = *max_utilization.unwrap_or(&LEAST_URGENT_PREFILL_UTILIZATION);
    let fits = slot_utilization < MAX_SLOT_FRACTION
        && (f64::from(memory) <= memory_left || load.requests == 0)
        && (prefill_utilization + own_utilization <= max_utilization
            || prefill_utilization <= IDLE_PREFILL_UTILIZATION);
    Prediction { ms, baseline_ms, work, fits, prefill_utilization, slot_utilization }
}
