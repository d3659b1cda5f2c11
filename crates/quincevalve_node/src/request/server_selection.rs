//! Picks a server with free capacity for a request, immediately or after a short wait.

use std::{rc::Rc, time::Duration};

use quincevalve_forwarding::{
    load::Work,
    placement::{Placement, PlacementError, PlacementRequest},
    rollout::{scope::VersionScope, table::VersionChoice},
    servers::ServerStart,
};
use quincevalve_names::BackendServerName;
use tokio::time::{Instant, sleep};

use crate::{
    clock,
    node::Node,
    request::{
        copies::RunCopy,
        exchange::update_server,
        identify::IdentifiedRequest,
        refusal::{Refusal, Refused},
    },
    rollouts::{self, AttemptTracker},
};

/// Fraction of its latency objective for which a request waits at most when all servers are too busy. If the request is
/// refused in the end, the wait has cost the caller that time.
const MAX_WAIT_FRACTION: f64 = 0.125;
/// Interval between two attempts to place a waiting request. Many requests and tokens complete in that time.
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
        update_server(node, place, |it, now| it.load.add_request(place.work, now));
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
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.complete_prefill();
        if let Some(server) = self.node.servers.borrow_mut().get_mut(&self.server, self.start) {
            server.load.remove_request(self.work);
        }
    }
}

/// Returns the milliseconds since the server's entry was removed from the store's list, or -1 if it is listed.
pub(crate) fn unlisted_ms(place: &Placement) -> i64 {
    place.unlisted_for.map_or(-1, |it| it.as_millis() as i64)
}

/// Picks a server for the request, immediately or after a short wait.
pub(super) async fn find_server(
    node: &Node,
    req: &IdentifiedRequest,
    tried: &[BackendServerName],
) -> Result<Placement, Refused> {
    let wait_end = req.arrived + req.route.objective.mul_f64(MAX_WAIT_FRACTION);
    let choice = if tried.is_empty() {
        rollouts::choose_versions(node, req)
    } else {
        rollouts::choice_for_retry(node, &req.service)
    };
    loop {
        let elapsed = req.arrived.elapsed();
        let objective = req.route.objective.mul_f64(MAX_PREDICTED_FRACTION);
        let latency_budget = objective.saturating_sub(elapsed).max(objective / 4);
        let request = placement_request(node, req, tried, latency_budget);
        let error = match place(node, &request, &choice) {
            Ok(place) => return Ok(place),
            Err(error) => error,
        };
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

/// Picks a server that can continue a stream, if one is available immediately.
pub(crate) fn find_server_now(
    node: &Node,
    req: &IdentifiedRequest,
    tried: &[BackendServerName],
) -> Option<Placement> {
    let choice = rollouts::choice_for_retry(node, &req.service);
    place(node, &placement_request(node, req, tried, req.route.objective), &choice).ok()
}

fn placement_request<'a>(
    node: &'a Node,
    req: &'a IdentifiedRequest,
    tried: &'a [BackendServerName],
    latency_budget: Duration,
) -> PlacementRequest<'a> {
    let engine = req.config.services.get(&req.service).and_then(|it| it.engine);
    PlacementRequest {
        service: &req.service,
        prompt: req.prompt.zip(engine),
        urgency: req.urgency,
        latency_budget,
        data_centre: &node.settings.data_centre,
        tried,
        scope: None,
    }
}

/// Picks the best server among those whose versions the request may be sent to.
fn place(
    node: &Node,
    request: &PlacementRequest<'_>,
    choice: &VersionChoice,
) -> Result<Placement, PlacementError> {
    let now = clock::now();
    let mut servers = node.servers.borrow_mut();
    let mut rng = node.rng.borrow_mut();
    let mut place_in = |scope: Option<&VersionScope>| {
        servers.place(&PlacementRequest { scope, ..*request }, &mut *rng, now)
    };
    let place = match choice {
        VersionChoice::Any => place_in(None),
        VersionChoice::One(scope) => place_in(Some(scope)),
        VersionChoice::WithFallback(first, second) => {
            place_in(Some(first)).or_else(|_| place_in(Some(second)))
        }
    }?;
    servers.spend_allowance(&place.server, place.start, now);
    Ok(place)
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
            let after = excess.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
            Refused { refusal: Refusal::Busy, retry_after: Some(after) }
        }
    }
}

/// Refuses a request because of the limits or rests that servers signalled. Another VM may have capacity left at these
/// servers, so the maximum retry time is short.
fn signalled_refusal(refusal: Refusal, wait: Duration) -> Refused {
    Refused { refusal, retry_after: Some(wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)) }
}
