//! Route: which backend server gets this attempt?

use std::{net::SocketAddr, sync::Arc};

use quincevalve_names::BackendServerName;
use quincevalve_routing::{Ask, ServerIndex};

use crate::{
    attempt::{Attempt, Cause, Failed},
    pipe::Filter,
    shared::Shared,
};

pub(crate) struct Route {
    pub(crate) shared: Arc<Shared>,
}

/// An attempt with its server.
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
            Some(server) => Some(server),
            None => self.choose(&attempt),
        };
        let Some(server) = chosen else { return Err(Failed::not_run(attempt, Cause::NoServer)) };
        let name = self.shared.router().name(server).clone();
        match attempt.request.view.address(&name) {
            Some(address) => Ok(Routed { attempt, server, name, address }),
            None => Err(Failed::not_run(attempt, Cause::NoServer)),
        }
    }
}

impl Route {
    fn choose(&self, attempt: &Attempt) -> Option<ServerIndex> {
        let request = &attempt.request;
        let target = request.target();
        let ask = |tried| Ask {
            now: self.shared.timer.now(),
            pool: &target,
            data_centre: &self.shared.settings.data_centre,
            prefix: request.prefix(),
            prompt_tokens: request.prompt_tokens() + attempt.relay.next().0,
            urgency: request.urgency(),
            tried,
        };
        let mut router = self.shared.router();
        // Where every server was tried, a tried one that isn't shunned is better than none.
        let choice = router.choose(&ask(&attempt.tried)).or_else(|_| router.choose(&ask(&[])));
        choice.ok().map(|it| it.server)
    }
}
