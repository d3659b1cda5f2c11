//! Picks a server with free capacity for a request, immediately or after a wait.

use std::{rc::Rc, time::Duration};

use quincevalve_forwarding::{
    config::{Engine, RetrySafety},
    load::Work,
    placement::{Placement, PlacementError, PlacementRequest},
    rollout::{scope::VersionScope, table::VersionChoice},
    servers::ServerStart,
};
use quincevalve_names::{BackendServerName, Scaled, ServerVersion, ServiceName};
use tokio::time::{Instant, sleep};

use crate::{
    clock,
    node::{Node, remaining},
    quarantine::{self, barred_versions},
    request::{
        copies::RunCopy,
        identify::IdentifiedRequest,
        refusal::{OTHER_VM_RETRY_AFTER, Refusal, Refused},
        stream_versions::version_gone_refusal,
        waiting::{TICK, WaitResult, engine, first_answer_deadline},
    },
    rollouts::{self, AttemptTracker},
};

/// Fraction of its latency objective for which a request outside a queue waits at most. If the request is refused in the
/// end, the wait has cost the caller that time.
const MAX_WAIT_FRACTION: f64 = 0.125;
/// Interval between two attempts to place a request outside a queue. Many requests and tokens complete in that time.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(12);
/// Minimum and maximum time after which a refused caller should retry.
pub(super) const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_500));
/// Fraction of the latency objective that the predicted latency may use. The rest allows for the prediction's error.
const MAX_PREDICTED_FRACTION: f64 = 0.85;

/// Accounts for a request's work at a server until it is dropped.
pub(crate) struct WorkGuard {
    node: Rc<Node>,
    server: BackendServerName,
    start: ServerStart,
    work: Work,
    prefill_pending: bool,
    /// Set if the attempt is compared with attempts at another version.
    tracker: Option<AttemptTracker>,
    /// The copy of the run that was ordered with the request.
    copy: Option<RunCopy>,
}

impl WorkGuard {
    pub(crate) fn new(node: &Rc<Node>, place: &Placement) -> Self {
        let now = clock::now();
        node.servers.borrow_mut().add_request(&place.server, place.start, place.work, now);
        node.record_sent(place);
        let (server, start, work) = (place.server.clone(), place.start, place.work);
        Self {
            node: node.clone(),
            server,
            start,
            work,
            prefill_pending: true,
            tracker: None,
            copy: None,
        }
    }

    /// Keeps the copy that is ordered with the request.
    pub(crate) fn set_copy(&mut self, copy: Option<RunCopy>) {
        self.copy = copy;
    }

    /// Takes the copy that was ordered with the request, if any.
    pub(crate) fn take_copy(&mut self) -> Option<RunCopy> {
        self.copy.take()
    }

    /// Starts to track the attempt if it is compared with attempts at another version.
    pub(crate) fn start_tracking(&mut self, req: &IdentifiedRequest, place: &Placement) {
        self.tracker = AttemptTracker::start(&self.node, req, place);
    }

    /// Records that the first part of the server's answer arrived.
    pub(crate) fn record_first_part(&self) {
        self.tracker.iter().for_each(AttemptTracker::record_first_part);
    }

    /// Records whether the server succeeded.
    pub(crate) fn record_outcome(&self, succeeded: bool) {
        self.tracker.iter().for_each(|it| it.record_outcome(succeeded));
    }

    /// Records the mean time between two events of the server's stream, in milliseconds.
    pub(crate) fn record_pace(&self, between_ms: f64) {
        self.tracker.iter().for_each(|it| it.record_pace(between_ms));
    }

    /// Records that the server has processed the prompt.
    pub(crate) fn complete_prefill(&mut self) {
        if std::mem::take(&mut self.prefill_pending)
            && let Some(server) = self.node.servers.borrow_mut().get_mut(&self.server, self.start)
        {
            server.load.complete_prefill(self.work);
        }
        self.node.waiting.wake();
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.complete_prefill();
        if let Some(server) = self.node.servers.borrow_mut().get_mut(&self.server, self.start) {
            server.load.remove_request(self.work);
        }
        self.node.waiting.wake();
    }
}

/// Returns the milliseconds since the server's entry was removed from the store's list, or -1 if it is listed.
pub(crate) fn unlisted_ms(place: &Placement) -> i64 {
    place.unlisted_for.map_or(-1, |it| it.as_millis() as i64)
}

/// A server that has capacity for a request, with the request's work accounted for.
pub(super) struct FoundServer {
    pub(super) place: Placement,
    pub(super) guard: WorkGuard,
    /// How long the request waited in a queue.
    pub(super) waited: Duration,
}

impl FoundServer {
    fn new(node: &Rc<Node>, place: Placement, waited: Duration) -> Self {
        node.servers.borrow_mut().spend_allowance(&place.server, place.start, clock::now());
        let guard = WorkGuard::new(node, &place);
        Self { place, guard, waited }
    }
}

/// Picks a server for the request, immediately or after a wait.
///
/// A request for which no server has capacity waits in its service's queue. Where there is no queue, no server, or all
/// servers are limited or resting, it tries again for a fraction of its objective.
pub(super) async fn find_server(
    node: &Rc<Node>,
    req: &Rc<IdentifiedRequest>,
    tried: &[BackendServerName],
) -> Result<FoundServer, Refused> {
    let wait_end = req.arrived + req.route.objective.scaled(MAX_WAIT_FRACTION);
    let mut choice = if tried.is_empty() {
        rollouts::choose_versions(node, req)
    } else {
        rollouts::choice_for_retry(node, &req.service)
    };
    loop {
        let engine = node.waiting.assumed_engine(req);
        let version = required_version(node, req);
        let budget = latency_budget(req);
        let barred = barred_versions(node, req);
        let wanted = WantedVersions { only: version.as_ref(), barred: &barred };
        let request = placement_request(node, req, tried, budget, engine, wanted);
        let may_start = node.waiting.may_start_at_once(req);
        let mut error = match pick_for(node, req, &request, &choice) {
            Ok(place) if may_start => {
                node.waiting.record_immediate_start(req, clock::now());
                return Ok(FoundServer::new(node, place, Duration::ZERO));
            }
            Ok(place) => PlacementError::Busy { predicted: place.predicted },
            Err(error) => error,
        };
        if let PlacementError::Busy { predicted } = error
            && node.waiting.is_enabled(req)
        {
            let since = Instant::now();
            let now = clock::now();
            let result = node.waiting.wait(req, tried, &choice, predicted, &node.rng, now).await;
            node.metrics.observe_wait(req.service.as_str(), since.elapsed());
            error = match result {
                WaitResult::Placed(found) => {
                    return Ok(FoundServer { waited: since.elapsed(), ..*found });
                }
                WaitResult::Refused(refused) => return Err(refused),
                WaitResult::Unplaceable(error) => error,
            };
            // The versions may have changed during the wait.
            choice = rollouts::choice_for_retry(node, &req.service);
        }
        if error == PlacementError::NoServer && req.stream_version.get().is_some() {
            return Err(version_gone_refusal());
        }
        let retry_delay = match error {
            PlacementError::Resting { wait } => wait,
            _ => PLACEMENT_INTERVAL,
        };
        if Instant::now() + retry_delay >= wait_end {
            return Err(placement_refusal(&request, error));
        }
        sleep(retry_delay).await;
    }
}

/// Returns the maximum time until the first answer that a server is picked for.
fn latency_budget(req: &IdentifiedRequest) -> Duration {
    let objective = req.route.objective.scaled(MAX_PREDICTED_FRACTION);
    objective.saturating_sub(req.arrived.elapsed()).max(objective / 4)
}

/// Returns the latency budget of a request that can only miss its objective.
///
/// Slots, memory and prompts in process limit what an engine gets, so a prompt takes any engine that answers before the
/// deadline. Calls without a prompt are limited by their budget alone, and get that of a new request.
fn late_latency_budget(req: &IdentifiedRequest) -> Duration {
    if req.prompt.is_some() {
        remaining(first_answer_deadline(req))
    } else {
        req.route.objective.scaled(MAX_PREDICTED_FRACTION)
    }
}

/// Places waiting requests as capacity becomes free, for as long as the process runs.
pub(crate) async fn place_waiting_requests(node: Rc<Node>) {
    loop {
        if node.waiting.is_empty() {
            node.waiting.woken().await;
        } else {
            tokio::select! {
                () = node.waiting.woken() => {}
                () = node.changed.notified() => {}
                () = sleep(TICK) => {}
            }
        }
        let retry_choice = |service: &ServiceName| rollouts::choice_for_retry(&node, service);
        let refusal = |req: &IdentifiedRequest| {
            if !node.can_finish(&req.route) {
                let retry_after = Some(OTHER_VM_RETRY_AFTER);
                return Some(Refused { refusal: Refusal::Stopping, retry_after });
            }
            quarantine::check(&node, req).err()
        };
        let vms = node.vm_count();
        node.waiting.run_pass(
            clock::now(),
            &node.rng,
            vms,
            retry_choice,
            refusal,
            |it, attempt| {
                let budget = if attempt.is_late {
                    late_latency_budget(&it.req)
                } else {
                    latency_budget(&it.req)
                };
                let (excluded, engine) = (&attempt.excluded, attempt.engine);
                let version = required_version(&node, &it.req);
                let barred = barred_versions(&node, &it.req);
                let wanted = WantedVersions { only: version.as_ref(), barred: &barred };
                let request = placement_request(&node, &it.req, excluded, budget, engine, wanted);
                let place = pick_for(&node, &it.req, &request, &it.choice)?;
                Ok(FoundServer::new(&node, place, Duration::ZERO))
            },
        );
    }
}

/// Picks a server of `version`, or of the version that the request's stream needs, that can continue the stream, if one
/// is available immediately.
pub(crate) fn find_server_now(
    node: &Node,
    req: &IdentifiedRequest,
    tried: &[BackendServerName],
    version: Option<&ServerVersion>,
) -> Option<Placement> {
    let choice = match version {
        Some(version) if !node.rollouts.borrow().admits(&req.service, version) => return None,
        Some(_) => VersionChoice::Any,
        None => rollouts::choice_for_retry(node, &req.service),
    };
    let version = version.cloned().or_else(|| required_version(node, req));
    let budget = req.route.objective;
    let barred = barred_versions(node, req);
    let wanted = WantedVersions { only: version.as_ref(), barred: &barred };
    let request = placement_request(node, req, tried, budget, engine(req), wanted);
    let place = pick_for(node, req, &request, &choice).ok()?;
    node.servers.borrow_mut().spend_allowance(&place.server, place.start, clock::now());
    Some(place)
}

/// Returns the only version that may process a request: the one that began its stream, or the only one at which streams
/// may begin at present.
fn required_version(node: &Node, req: &IdentifiedRequest) -> Option<ServerVersion> {
    if let Some(version) = req.stream_version.get() {
        return Some(version.clone());
    }
    if req.retry_safety() != RetrySafety::ResumableStream {
        return None;
    }
    node.streams.versions.borrow().starting_version(&req.service, clock::now()).cloned()
}

/// The versions that may process a request.
#[derive(Clone, Copy)]
struct WantedVersions<'a> {
    /// The only one, if its stream began there.
    only: Option<&'a ServerVersion>,
    /// Those whose servers exit under a part of its prompt.
    barred: &'a [ServerVersion],
}

fn placement_request<'a>(
    node: &'a Node,
    req: &'a IdentifiedRequest,
    tried: &'a [BackendServerName],
    latency_budget: Duration,
    engine: Option<Engine>,
    versions: WantedVersions<'a>,
) -> PlacementRequest<'a> {
    PlacementRequest {
        service: &req.service,
        prompt: req.prompt.zip(engine),
        urgency: req.urgency,
        latency_budget,
        data_centre: &node.settings.data_centre,
        tried,
        scope: None,
        version: versions.only,
        barred: versions.barred,
    }
}

/// Picks the best server among those whose versions the request may be sent to.
///
/// A request whose stream began at a version goes to that version, whatever the roll-out's share of new requests is.
fn pick_for(
    node: &Node,
    req: &IdentifiedRequest,
    request: &PlacementRequest<'_>,
    choice: &VersionChoice,
) -> Result<Placement, PlacementError> {
    match req.stream_version.get() {
        Some(it) if !node.rollouts.borrow().admits(&req.service, it) => {
            Err(PlacementError::NoServer)
        }
        Some(_) => pick(node, request, &VersionChoice::Any),
        None => pick(node, request, choice),
    }
}

/// Picks the best server among those of the chosen versions.
fn pick(
    node: &Node,
    request: &PlacementRequest<'_>,
    choice: &VersionChoice,
) -> Result<Placement, PlacementError> {
    let now = clock::now();
    let servers = node.servers.borrow();
    let mut rng = node.rng.borrow_mut();
    let mut place_in = |scope: Option<&VersionScope>| {
        servers.place(&PlacementRequest { scope, ..*request }, &mut *rng, now)
    };
    match choice {
        VersionChoice::Any => place_in(None),
        VersionChoice::One(scope) => place_in(Some(scope)),
        VersionChoice::WithFallback(first, second) => {
            let error = match place_in(Some(first)) {
                Ok(place) => return Ok(place),
                Err(error) => error,
            };
            // If servers of the first scope are only busy, the request may wait for them.
            place_in(Some(second)).map_err(|fallback| match error {
                PlacementError::Busy { .. } => error,
                _ => fallback,
            })
        }
    }
}

/// Converts a failed placement into a refusal of the request.
fn placement_refusal(request: &PlacementRequest<'_>, error: PlacementError) -> Refused {
    match error {
        PlacementError::NoServer => {
            Refused { refusal: Refusal::NoServer, retry_after: Some(RETRY_AFTER_RANGE.1) }
        }
        PlacementError::Limited { wait } => signalled_refusal(Refusal::Limited, wait),
        PlacementError::Resting { wait } => signalled_refusal(Refusal::Resting, wait),
        PlacementError::Busy { predicted } => {
            let excess = predicted.saturating_sub(request.latency_budget);
            let after = excess.max(RETRY_AFTER_RANGE.0).min(RETRY_AFTER_RANGE.1);
            Refused { refusal: Refusal::Busy, retry_after: Some(after) }
        }
    }
}

/// Refuses a request because of the limits or rests that servers signalled. Another VM may have capacity left at these
/// servers, so the maximum retry time is short.
fn signalled_refusal(refusal: Refusal, wait: Duration) -> Refused {
    Refused { refusal, retry_after: Some(wait.max(RETRY_AFTER_RANGE.0).min(RETRY_AFTER_RANGE.1)) }
}

#[cfg(test)]
mod tests;
