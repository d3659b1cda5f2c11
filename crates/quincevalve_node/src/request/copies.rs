//! Copies of runs at other engines, and the records by which they are ordered.

use std::{net::SocketAddr, rc::Rc};

use http::{HeaderName, HeaderValue};
use quincevalve_forwarding::{
    config::{CopyingEngine, Engine},
    load::{Work, recompute_time, step_ms},
    placement::Placement,
    servers::{Server, ServerStart, ServerTable, start_hash},
};
use quincevalve_names::{BackendServerName, ServiceName, TimePoint, seconds};
use quincevalve_recovery::{
    CopyCandidate, EngineCondition, EngineId, RiskTable, RunAtRisk, choose_copy_target, is_copy_due,
};

use crate::{
    clock,
    node::Node,
    quarantine,
    request::{identify::IdentifiedRequest, trace::log_request},
};

/// The copy of a run at another engine. Its memory counts as this VM's work there until it is dropped.
#[derive(Debug)]
pub(crate) struct RunCopy {
    memory: CopyMemory,
    address: HeaderValue,
    ticket: HeaderValue,
}

impl RunCopy {
    /// Returns the header that orders the copy.
    pub(crate) fn order_header(&self, node: &Node) -> (HeaderName, HeaderValue) {
        (node.headers.copy_to.clone(), self.address.clone())
    }

    /// Returns the header value with which the request continues from the copy.
    pub(crate) fn ticket(&self) -> HeaderValue {
        self.ticket.clone()
    }

    /// Returns the placement of the request at the copy's engine, or `None` if the engine has restarted, left or may get
    /// no requests. The request must be counted with [`RunCopy::spend_allowance`] before it is sent.
    pub(crate) fn placement(&self, node: &Node, source: &Placement) -> Option<Placement> {
        let now = clock::now();
        let servers = node.servers.borrow();
        let (name, start) = (&self.memory.server, self.memory.start);
        let server = servers.get(name).filter(|it| it.entry.start == start)?;
        if server.entry.version != source.version {
            return None;
        }
        if !servers.is_eligible(server, now) || servers.expected_stop(name, start).is_some() {
            return None;
        }
        Some(Placement {
            server: name.clone(),
            start,
            version: server.entry.version.clone(),
            work: Work { prefill: 0, ..source.work },
            affinity: None,
            known_load: server.load.total_work(now),
            peer_report_age: server.load.peer_report_age(now),
            unlisted_for: server.unlisted_for(now),
            ..source.clone()
        })
    }

    /// Returns whether the copy is at the server of a placement.
    pub(crate) fn is_at(&self, place: &Placement) -> bool {
        self.memory.server == place.server && self.memory.start == place.start
    }

    /// Takes one request from this VM's share of the rate limit of the copy's engine. Returns `false` if it is used up.
    pub(crate) fn spend_allowance(&self, node: &Node) -> bool {
        let (name, start) = (&self.memory.server, self.memory.start);
        node.servers.borrow_mut().spend_allowance(name, start, clock::now())
    }

    /// Returns whether the copy's engine currently gets no requests from this VM, because it rests or this VM's share of
    /// its rate limit is used up.
    pub(crate) fn is_restrained(&self, node: &Node) -> bool {
        let servers = node.servers.borrow();
        let server = servers.get(&self.memory.server);
        server.is_some_and(|it| servers.restraint(it, None, clock::now()).is_some())
    }

    /// Logs and counts that a copy that was needed could not be used.
    pub(crate) fn record_lost(&self, node: &Node, req: &IdentifiedRequest, cause: &str) {
        log_request!(
            node, req, server = self.memory.server.as_str(), cause = cause;
            "copy-lost"
        );
        node.metrics.count_copy(req.service.as_str(), "failed");
    }
}

/// Why a run can't continue from its copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CopyObstacle {
    /// The stream has been silent for longer than engines keep copies.
    Expired,
    /// The copy's engine was removed, restarted or leaves.
    TargetGone,
    /// The copy's engine rests, or this VM's share of its rate limit is used up.
    Limited,
}

impl CopyObstacle {
    /// Returns how log lines name the obstacle.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Expired => "expired",
            Self::TargetGone => "target-gone",
            Self::Limited => "limited",
        }
    }
}

/// The memory that a copy takes at its engine.
struct CopyMemory {
    node: Rc<Node>,
    server: BackendServerName,
    start: ServerStart,
    tokens: u32,
}

impl std::fmt::Debug for CopyMemory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CopyMemory").field("server", &self.server).finish_non_exhaustive()
    }
}

impl CopyMemory {
    fn new(node: &Rc<Node>, server: BackendServerName, start: ServerStart, tokens: u32) -> Self {
        if let Some(it) = node.servers.borrow_mut().get_mut(&server, start) {
            it.load.add_copy(tokens);
        }
        Self { node: node.clone(), server, start, tokens }
    }
}

impl Drop for CopyMemory {
    fn drop(&mut self) {
        if let Some(it) = self.node.servers.borrow_mut().get_mut(&self.server, self.start) {
            it.load.remove_copy(self.tokens);
        }
    }
}

/// Decides whether a request that is about to be sent to `place` is copied while it runs, and where to.
///
/// Runs of engines whose end was announced are migrated instead.
pub(crate) fn order_copy(
    node: &Rc<Node>,
    req: &IdentifiedRequest,
    place: &Placement,
    tried: &[BackendServerName],
) -> Option<RunCopy> {
    let copying = *req.config.run_copies.engines.get(&req.service)?;
    let engine = req.config.services.get(&req.service).and_then(|it| it.engine)?;
    if !req.retry_safety().is_stream() || quarantine::is_quarantined(node, req, &place.version) {
        return None;
    }
    let now = clock::now();
    let risks = node.engine_risks.borrow();
    let risk = risks.get(&req.service)?;
    let run = run_at_risk(node, req, place, risk, engine, copying, now)?;
    if !is_copy_due(&run) {
        return None;
    }
    let (server, start, address) = copy_target(node, req, place, tried, risk, engine, now)?;
    log_request!(
        node, req,
        server = place.server.as_str(), target = server.as_str(),
        risk = format_args!("{:.2}", run.loss_probability);
        "copy-ordered"
    );
    node.metrics.count_copy(req.service.as_str(), "ordered");
    Some(RunCopy {
        address: HeaderValue::from_str(&address.to_string()).ok()?,
        ticket: HeaderValue::from_str(&format!("{address}/{}", req.id)).ok()?,
        memory: CopyMemory::new(node, server, start, place.work.memory),
    })
}

/// Returns the risk of a run at its engine, or `None` if the engine's end was announced.
fn run_at_risk(
    node: &Node,
    req: &IdentifiedRequest,
    place: &Placement,
    risk: &RiskTable,
    engine: Engine,
    copying: CopyingEngine,
    now: TimePoint,
) -> Option<RunAtRisk> {
    let prompt = req.prompt?;
    let longest_pause = req.config.run_copies.longest_pauses.get(&req.route.name);
    let servers = node.servers.borrow();
    let server = servers.get(&place.server).filter(|it| it.entry.start == place.start)?;
    if servers.expected_stop(&place.server, place.start).is_some() {
        return None;
    }
    let load = server.load.total_work(now);
    let condition = EngineCondition {
        is_cold: server.entry.is_cold,
        is_paused: server.load.is_paused(now),
        slot_utilization: f64::from(load.requests) / f64::from(engine.slots.max(1)),
    };
    let generation_ms = f64::from(place.work.output) * step_ms(load.requests);
    let duration = place.predicted + seconds(generation_ms / 1_000.0);
    Some(RunAtRisk {
        is_resumable: req.retry_safety().is_retryable(),
        recompute: recompute_time(prompt.input),
        longest_pause: longest_pause.copied(),
        duration,
        transfer: copying.transfer_time(prompt.input),
        loss_probability: risk.loss_probability(engine_id(place), condition, duration, now),
    })
}

/// Picks the engine that holds the copy.
fn copy_target(
    node: &Node,
    req: &IdentifiedRequest,
    place: &Placement,
    tried: &[BackendServerName],
    risk: &RiskTable,
    engine: Engine,
    now: TimePoint,
) -> Option<(BackendServerName, ServerStart, SocketAddr)> {
    let servers = node.servers.borrow();
    let rollouts = node.rollouts.borrow();
    let source = &servers.get(&place.server)?.entry.data_centre;
    let is_free = |name: &BackendServerName, start| {
        *name != place.server
            && !tried.contains(name)
            && servers.expected_stop(name, start).is_none()
    };
    let usable: Vec<_> = servers
        .usable(&req.service, now)
        .filter(|(name, it)| {
            is_free(name, it.entry.start) && servers.restraint(it, Some(engine), now).is_none()
        })
        .filter(|(_, it)| it.entry.version == place.version)
        .filter(|(_, it)| rollouts.admits(&req.service, &it.entry.version))
        .collect();
    let copy_tokens = u64::from(place.work.memory);
    let candidates: Vec<_> = usable
        .iter()
        .map(|(name, it)| CopyCandidate {
            data_centre: &it.entry.data_centre,
            memory_fraction: (it.load.total_work(now).memory + copy_tokens) as f64
                / engine.kv_tokens.max(1) as f64,
            is_suspect: it.load.is_paused(now)
                || risk.is_suspect(EngineId(start_hash(name, it.entry.start)), now),
        })
        .collect();
    let mut rng = node.rng.borrow_mut();
    let at = choose_copy_target(&candidates, source, &node.settings.data_centre, &mut *rng)?;
    let (name, server) = usable.get(at)?;
    Some(((*name).clone(), server.entry.start, server.entry.address))
}

fn engine_id(place: &Placement) -> EngineId {
    EngineId(start_hash(&place.server, place.start))
}

/// Records that an engine that is still in service interrupted a stream, unless its end was expected.
pub(crate) fn record_interruption(node: &Node, req: &IdentifiedRequest, place: &Placement) {
    if !req.config.run_copies.engines.contains_key(&req.service) || !req.retry_safety().is_stream()
    {
        return;
    }
    if is_stopping(&node.servers.borrow(), place) {
        return;
    }
    let mut risks = node.engine_risks.borrow_mut();
    let risk = risks.entry(req.service.clone()).or_default();
    risk.record_interruption(engine_id(place), clock::now());
}

fn is_stopping(servers: &ServerTable, place: &Placement) -> bool {
    let server = servers.get(&place.server).filter(|it| it.entry.start == place.start);
    server.is_none_or(Server::is_departing)
}

/// Counts a stream at an engine, for the estimate of its risk, until it is dropped.
pub(crate) struct StreamAtEngine {
    node: Rc<Node>,
    service: ServiceName,
    engine: EngineId,
}

impl StreamAtEngine {
    /// Starts to count a stream if the service's engines copy runs.
    pub(crate) fn start(
        node: &Rc<Node>,
        req: &IdentifiedRequest,
        place: &Placement,
    ) -> Option<Self> {
        req.config.run_copies.engines.get(&req.service)?;
        let engine = engine_id(place);
        let mut risks = node.engine_risks.borrow_mut();
        risks.entry(req.service.clone()).or_default().record_start(engine, clock::now());
        Some(Self { node: node.clone(), service: req.service.clone(), engine })
    }
}

impl Drop for StreamAtEngine {
    fn drop(&mut self) {
        if let Some(risk) = self.node.engine_risks.borrow_mut().get_mut(&self.service) {
            risk.record_end(self.engine, clock::now());
        }
    }
}

#[cfg(test)]
mod tests;
