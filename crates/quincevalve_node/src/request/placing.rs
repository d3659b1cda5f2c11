//! Where a request goes: a server with room, now or after a short wait.

use std::{rc::Rc, time::Duration};

use quincevalve_forwarding::{
    load::Work,
    placement::{Ask, NoPlace, Placement},
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
}

impl WorkGuard {
    pub(crate) fn new(node: &Rc<Node>, place: &Placement) -> Self {
        about(node, place, |it, now| it.load.begin(place.work, now));
        let (server, start, work) = (place.server.clone(), place.start, place.work);
        Self { node: node.clone(), server, start, work, reading: true }
    }

    /// Notes that the prompt has been read.
    pub(crate) fn prefilled(&mut self) {
        if std::mem::take(&mut self.reading)
            && let Some(server) = self.node.servers.borrow_mut().get_mut(&self.server, self.start)
        {
            server.load.prefilled(self.work);
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.prefilled();
        if let Some(server) = self.node.servers.borrow_mut().get_mut(&self.server, self.start) {
            server.load.end(self.work);
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
    let engine = req.config.services.get(&req.service).and_then(|it| it.engine);
    loop {
        let since = req.arrived.elapsed();
        let objective = req.route.objective.mul_f64(OBJECTIVE_PART);
        let ask = Ask {
            service: &req.service,
            prompt: req.prompt.zip(engine),
            urgency: req.urgency,
            within: objective.saturating_sub(since).max(objective / 4),
            data_centre: &node.settings.data_centre,
            had,
        };
        let placed = {
            let mut rng = node.rng.borrow_mut();
            node.servers.borrow().place(&ask, &mut *rng, clock::now())
        };
        let lacking = match placed {
            Ok(place) => return Ok(place),
            Err(lacking) => lacking,
        };
        if Instant::now() + WAIT_STEP >= waits_until {
            return Err(no_place(&ask, lacking));
        }
        sleep(WAIT_STEP).await;
    }
}

/// A server for a stream that goes on, if there is one at this moment.
pub(crate) fn place_again(
    node: &Node,
    req: &Identified,
    had: &[BackendServerName],
) -> Option<Placement> {
    let engine = req.config.services.get(&req.service).and_then(|it| it.engine);
    let ask = Ask {
        service: &req.service,
        prompt: req.prompt.zip(engine),
        urgency: req.urgency,
        within: req.route.objective,
        data_centre: &node.settings.data_centre,
        had,
    };
    let mut rng = node.rng.borrow_mut();
    node.servers.borrow().place(&ask, &mut *rng, clock::now()).ok()
}

fn no_place(ask: &Ask<'_>, lacking: NoPlace) -> Refused {
    match lacking {
        NoPlace::NoServer => {
            Refused { refusal: Refusal::NoServer, retry_after: Some(RETRY_AFTER.1) }
        }
        NoPlace::Busy { predicted } => {
            let excess = predicted.saturating_sub(ask.within);
            let after = excess.clamp(RETRY_AFTER.0, RETRY_AFTER.1);
            Refused { refusal: Refusal::Busy, retry_after: Some(after) }
        }
    }
}
