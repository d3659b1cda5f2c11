//! Route: chooses the backend server of an attempt.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use quincevalve_names::BackendServerName;
use quincevalve_routing::{NoServer, RoutingRequest, ServerIndex, Urgency};

use crate::{
    attempt::{Attempt, Cause, Failed},
    pipe::Filter,
    shared::Shared,
};

pub(crate) struct Route {
    pub(crate) shared: Arc<Shared>,
}

/// An attempt with the server chosen for it.
pub(crate) struct Routed {
    pub(crate) attempt: Attempt,
    pub(crate) server: ServerIndex,
    pub(crate) name: BackendServerName,
    pub(crate) address: SocketAddr,
}

impl Filter<Attempt> for Route {
    type Out = Routed;
    type Error = Failed;

    async fn apply(&self, attempt: Attempt) -> Result<Routed, Failed> {
        let chosen = match attempt.resume_on {
            Some(server) => Ok(server),
            None => self.choose_or_wait(&attempt).await,
        };
        let Ok(server) = chosen else { return Err(Failed::not_run(attempt, Cause::NoServer)) };
        let name = self.shared.router().name(server).clone();
        match attempt.request.view.address(&name) {
            Some(address) => Ok(Routed { attempt, server, name, address }),
            None => Err(Failed::not_run(attempt, Cause::NoServer)),
        }
    }
}

/// Interval at which waiting bulk work checks again for a server.
const BULK_RETRY_INTERVAL: Duration = Duration::from_millis(100);

impl Route {
    /// Chooses a server. Waits while every server is too busy for bulk work, up to half of the promised time.
    async fn choose_or_wait(&self, attempt: &Attempt) -> Result<ServerIndex, NoServer> {
        let request = &attempt.request;
        let timer = &self.shared.timer;
        loop {
            let chosen = self.choose(attempt, request.urgency());
            if chosen != Err(NoServer::Busy) {
                return chosen;
            }
            // After half of the promised time, bulk work takes any available server.
            let waited = timer.now() - request.arrived;
            if waited >= request.promise.limit() / 2 {
                return self.choose(attempt, Urgency::Interactive);
            }
            timer.after(BULK_RETRY_INTERVAL).await;
        }
    }

    fn choose(&self, attempt: &Attempt, urgency: Urgency) -> Result<ServerIndex, NoServer> {
        let request = &attempt.request;
        let target = request.target();
        let routing_request = |tried| RoutingRequest {
            now: self.shared.timer.now(),
            pool: &target,
            data_centre: &self.shared.settings.data_centre,
            prefix: request.prefix(),
            prompt_tokens: request.prompt_tokens() + attempt.relay.next().0,
            urgency,
            tried,
        };
        let mut router = self.shared.router();
        // If every server was tried, a tried one that is still available is better than none.
        let choice = match router.choose(&routing_request(&attempt.tried)) {
            Err(NoServer::Unavailable) => router.choose(&routing_request(&[])),
            other => other,
        };
        choice.map(|it| it.server)
    }
}
