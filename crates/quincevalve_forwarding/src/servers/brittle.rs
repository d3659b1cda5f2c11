//! Servers that fail if they have to reject many requests, and the share of their room that this VM may use.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::{BackendServerName, ServiceName, TimePoint, seconds};

use super::{Server, ServerStart, ServerTable};
use crate::{config::Engine, load::Work};

/// How long a server that reports that it is full gets no requests. About one of its requests completes in that time.
const FULL_SERVER_PAUSE: Duration = Duration::from_millis(150);
/// Maximum pause of a brittle server that reports that it is full.
const MAX_BRITTLE_PAUSE: Duration = Duration::from_secs(30);
/// Fraction of the rejections that a brittle server withstands which all VMs together may cause.
const USED_REJECTIONS: f64 = 0.5;
/// Minimum weight of a request in the moving averages of the memory that requests of a service take.
const MIN_MEMORY_WEIGHT: f64 = 0.02;
/// Standard deviations by which the memory of the requests at a brittle engine may exceed its expectation.
const MEMORY_DEVIATIONS: f64 = 2.0;

/// What is known of the rejections that a server withstands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Robustness {
    /// No server of its service has answered this VM or another one that reported it.
    Unknown,
    /// It withstands any number.
    Sound,
    /// It fails if it rejects more than this number of requests in a second.
    Brittle(u32),
}

/// The last statement of a service's servers on the rejections that they withstand.
#[derive(Clone, Copy, Debug)]
struct Statement {
    /// `None` if the servers aren't brittle.
    rejections: Option<u32>,
    /// When the servers began to state that.
    since: TimePoint,
    /// When a server last stated it.
    stated_at: TimePoint,
}

/// What the servers of each service have in common.
///
/// The servers of a service are brittle together. If each start of a server counted as sound until its first answer, all
/// VMs would send their waiting requests to the empty server at once, and it would fail again.
#[derive(Clone, Debug, Default)]
pub(super) struct BrittleServices {
    statements: IndexMap<ServiceName, Statement>,
    memory: IndexMap<ServiceName, RequestMemory>,
}

impl BrittleServices {
    /// Records a server's statement, made at `at`. `before` is what the same start of the server stated before.
    pub(super) fn record(
        &mut self,
        service: &ServiceName,
        before: Option<u32>,
        rejections: Option<u32>,
        at: TimePoint,
    ) {
        let new = Statement { rejections, since: at, stated_at: at };
        let known = self.statements.entry(service.clone()).or_insert(new);
        if at < known.stated_at {
            return;
        }
        match (known.rejections, rejections) {
            (Some(_), None) if before.is_none() => {}
            (Some(_), Some(_)) | (None, None) => {
                *known = Statement { since: known.since, ..new };
            }
            (Some(_), None) | (None, Some(_)) => *known = new,
        }
    }

    /// Returns how many requests of a service an engine holds in its memory, with a margin for large ones. Until this VM
    /// has sent one, any number: a VM that has no share would never send one.
    fn requests_in_memory(&self, service: &ServiceName, engine: Engine) -> u64 {
        let capacity = engine.kv_tokens as f64;
        let Some(RequestMemory { mean, variance, .. }) = self.memory.get(service) else {
            return u64::MAX;
        };
        // The largest n with n × mean + deviations × √(n × variance) ≤ capacity.
        let margin = MEMORY_DEVIATIONS * variance.sqrt();
        let root = ((margin * margin + 4.0 * mean * capacity).sqrt() - margin) / (2.0 * mean);
        (root * root) as u64
    }
}

/// Moving averages of the memory that a request of a service takes, in tokens.
#[derive(Clone, Copy, Debug)]
struct RequestMemory {
    mean: f64,
    variance: f64,
    /// Weight of the next request.
    weight: f64,
}

impl RequestMemory {
    /// Until more requests are known, the deviation is assumed to be as large as the first request.
    fn new(tokens: f64) -> Self {
        Self { mean: tokens, variance: tokens * tokens, weight: 0.5 }
    }

    fn record(&mut self, tokens: f64) {
        let difference = tokens - self.mean;
        self.mean += self.weight * difference;
        self.variance += self.weight * (difference * difference - self.variance);
        self.weight = (self.weight / (1.0 + self.weight)).max(MIN_MEMORY_WEIGHT);
    }
}

impl ServerTable {
    /// Returns what is known of the rejections that a server withstands: its own statement, or that of other servers of
    /// its service if they became brittle after it.
    pub fn robustness(&self, server: &Server) -> Robustness {
        if let Some(rejections) = server.brittle {
            return Robustness::Brittle(rejections);
        }
        let Some(known) = self.brittle_services.statements.get(&server.entry.service) else {
            return Robustness::Unknown;
        };
        match known.rejections {
            Some(rejections) if server.signals_stated_at.is_none_or(|it| it < known.since) => {
                Robustness::Brittle(rejections)
            }
            _ => Robustness::Sound,
        }
    }

    /// Returns this VM's share of the requests for which a server has room. The shares of all VMs that know the same VMs
    /// add up to it.
    pub fn room_share(&self, server: &Server, engine: Option<Engine>) -> u64 {
        let slots = u64::from(server.entry.slots.max(1));
        let service = &server.entry.service;
        let in_memory = engine.map(|it| self.brittle_services.requests_in_memory(service, it));
        let room = in_memory.map_or(slots, |it| it.max(1).min(slots));
        self.rank.share_of(room, server.hash)
    }

    /// Returns whether this VM's requests take up its share of a server that may be brittle, or whether the server
    /// recently rejected one.
    pub(super) fn is_occupied(
        &self,
        server: &Server,
        engine: Option<Engine>,
        now: TimePoint,
    ) -> bool {
        let share = match self.robustness(server) {
            Robustness::Sound => return false,
            Robustness::Unknown => self.room_share(server, None),
            Robustness::Brittle(_) if server.load.is_paused(now) => return true,
            Robustness::Brittle(_) => self.room_share(server, engine),
        };
        u64::from(server.load.own_requests()) >= share
    }

    /// Returns whether this VM's requests take up its shares of all servers of a brittle service. Other VMs may have some
    /// left.
    pub fn has_used_shares(
        &self,
        service: &ServiceName,
        engine: Option<Engine>,
        now: TimePoint,
    ) -> bool {
        let known = self.brittle_services.statements.get(service);
        known.is_some_and(|it| it.rejections.is_some())
            && self.usable(service, now).all(|(_, it)| self.is_occupied(it, engine, now))
    }

    /// Returns whether a request may go to one of these servers, of which this VM has no share, to find out whether they
    /// are brittle.
    pub(crate) fn may_probe<'a>(
        &self,
        mut servers: impl Iterator<Item = &'a Server>,
        now: TimePoint,
    ) -> bool {
        servers.all(|it| {
            self.robustness(it) == Robustness::Unknown
                && it.load.own_requests() == 0
                && !it.is_resting(now)
        })
    }

    /// Returns how long a server that rejected a request for lack of capacity gets no requests from this VM.
    ///
    /// A brittle server may lack memory while it has free slots. As many VMs as share its slots may come back to it, and
    /// together they cause at most half of the rejections that it withstands.
    pub fn pause_after_rejection(&self, name: &BackendServerName, start: ServerStart) -> Duration {
        let server = self.get(name).filter(|it| it.entry.start == start);
        let brittle = server.map(|it| (self.robustness(it), it.entry.slots));
        let Some((Robustness::Brittle(rejections), slots)) = brittle else {
            return FULL_SERVER_PAUSE;
        };
        let senders = self.rank.vm_count.min(slots as usize) as f64;
        let wait = senders / (USED_REJECTIONS * f64::from(rejections.max(1)));
        seconds(wait).max(FULL_SERVER_PAUSE).min(MAX_BRITTLE_PAUSE)
    }

    /// Adds the work of a request that this VM sends to a server, if that start of it is known.
    pub fn add_request(
        &mut self,
        name: &BackendServerName,
        start: ServerStart,
        work: Work,
        now: TimePoint,
    ) {
        let Some(server) = self.servers.get_mut(name).filter(|it| it.entry.start == start) else {
            return;
        };
        server.load.add_request(work, now);
        if work.memory > 0 {
            let tokens = f64::from(work.memory);
            let service = server.entry.service.clone();
            let memory = self.brittle_services.memory.entry(service);
            memory.and_modify(|it| it.record(tokens)).or_insert(RequestMemory::new(tokens));
        }
    }
}
