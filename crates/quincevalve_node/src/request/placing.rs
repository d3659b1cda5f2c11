//! Where a request goes: a server with room, now or after a short wait.

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
        exchange::about,
        identify::Identified,
        refusal::{Refusal, Refused},
    },
    rollouts::{self, AttemptTracker},
};

/// A request that finds all servers too busy waits at most this part of its objective for room: a wait
/// that ends with a refusal has cost the caller that much of its time.
const WAIT_PART: f64 = 0.125;
/// Pause between two looks for room; requests end and tokens flow many times in it.
const WAIT_STEP: Duration = Duration::from_millis(12);
/// The shortest and the longest time after which a refused caller should come back.
pub(super) const RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_500));
/// An answer may come at this part of the objective by the prediction; the rest is for its error.
const OBJECTIVE_PART: f64 = 0.85;

/// A server's work for a request, counted until it is dropped.
pub(crate) struct WorkGuard {
    node: Rc<Node>,
    server: BackendServerName,
    start: ServerStart,
    work: Work,
    reading: bool,
    /// Set where the answer is compared with those of another version.
    watched: Option<AttemptTracker>,
}

impl WorkGuard {
    pub(crate) fn new(node: &Rc<Node>, place: &Placement) -> Self {
        about(node, place, |it, now| it.load.add_request(place.work, now));
        node.record_sent(place);
        let (server, start, work) = (place.server.clone(), place.start, place.work);
        Self { node: node.clone(), server, start, work, reading: true, watched: None }
    }

    /// Compares how the request is answered with answers of another version, if there is one.
    pub(crate) fn watch(&mut self, req: &Identified, place: &Placement) {
        self.watched = AttemptTracker::start(&self.node, req, place);
    }

    /// Notes the first part of the server's answer.
    pub(crate) fn first_part(&self) {
        self.watched.iter().for_each(AttemptTracker::record_first_part);
    }

    /// Notes whether the server succeeded.
    pub(crate) fn judged(&self, succeeded: bool) {
        self.watched.iter().for_each(|it| it.record_outcome(succeeded));
    }

    /// Notes the mean time between two events of the server's stream.
    pub(crate) fn pace(&self, between_ms: f64) {
        self.watched.iter().for_each(|it| it.record_pace(between_ms));
    }

    /// Notes that the prompt has been read.
    pub(crate) fn prefilled(&mut self) {
        if std::mem::take(&mut self.reading)
            && let Some(server) = self.node.servers.borrow_mut().get_mut(&self.server, self.start)
        {
            server.load.complete_prefill(self.work);
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.prefilled();
        if let Some(server) = self.node.servers.borrow_mut().get_mut(&self.server, self.start) {
            server.load.remove_request(self.work);
        }
    }
}

/// Milliseconds since the entry of the server went missing; -1 where it is listed.
pub(crate) fn unlisted_ms(place: &Placement) -> i64 {
    place.unlisted_for.map_or(-1, |it| it.as_millis() as i64)
}

/// A server for the request, now or after a short wait.
pub(super) async fn find_place(
    node: &Node,
    req: &Identified,
    had: &[BackendServerName],
) -> Result<Placement, Refused> {
    let waits_until = req.arrived + req.route.objective.mul_f64(WAIT_PART);
    let choice = if had.is_empty() {
        rollouts::choose_versions(node, req)
    } else {
        rollouts::choice_for_retry(node, &req.service)
    };
    loop {
        let since = req.arrived.elapsed();
        let objective = req.route.objective.mul_f64(OBJECTIVE_PART);
        let within = objective.saturating_sub(since).max(objective / 4);
        let ask = ask(node, req, had, within);
        let lacking = match place(node, &ask, &choice) {
            Ok(place) => return Ok(place),
            Err(lacking) => lacking,
        };
        let next_look = match lacking {
            PlacementError::Resting { wait } => wait,
            _ => WAIT_STEP,
        };
        if Instant::now() + next_look >= waits_until {
            return Err(no_place(&ask, lacking));
        }
        sleep(next_look).await;
    }
}

/// A server for a stream that goes on, if there is one at this moment.
pub(crate) fn place_again(
    node: &Node,
    req: &Identified,
    had: &[BackendServerName],
) -> Option<Placement> {
    let choice = rollouts::choice_for_retry(node, &req.service);
    place(node, &ask(node, req, had, req.route.objective), &choice).ok()
}

fn ask<'a>(
    node: &'a Node,
    req: &'a Identified,
    had: &'a [BackendServerName],
    within: Duration,
) -> PlacementRequest<'a> {
    let engine = req.config.services.get(&req.service).and_then(|it| it.engine);
    PlacementRequest {
        service: &req.service,
        prompt: req.prompt.zip(engine),
        urgency: req.urgency,
        latency_budget: within,
        data_centre: &node.settings.data_centre,
        tried: had,
        scope: None,
    }
}

/// The best server among those that a request may go to.
fn place(
    node: &Node,
    ask: &PlacementRequest<'_>,
    choice: &VersionChoice,
) -> Result<Placement, PlacementError> {
    let now = clock::now();
    let mut servers = node.servers.borrow_mut();
    let mut rng = node.rng.borrow_mut();
    let mut place_in = |scope: Option<&VersionScope>| {
        servers.place(&PlacementRequest { scope, ..*ask }, &mut *rng, now)
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

fn no_place(ask: &PlacementRequest<'_>, lacking: PlacementError) -> Refused {
    match lacking {
        PlacementError::NoServer => {
            Refused { refusal: Refusal::NoServer, retry_after: Some(RETRY_AFTER.1) }
        }
        PlacementError::Limited { wait } => held_back(Refusal::Limited, wait),
        PlacementError::Resting { wait } => held_back(Refusal::Resting, wait),
        PlacementError::Busy { predicted } => {
            let excess = predicted.saturating_sub(ask.latency_budget);
            let after = excess.clamp(RETRY_AFTER.0, RETRY_AFTER.1);
            Refused { refusal: Refusal::Busy, retry_after: Some(after) }
        }
    }
}

/// Refuses for what servers said of themselves. Another VM may have more room at them, so that the longest time is short.
fn held_back(refusal: Refusal, wait: Duration) -> Refused {
    Refused { refusal, retry_after: Some(wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1)) }
}
