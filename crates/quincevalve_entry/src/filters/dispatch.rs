//! Dispatch: sends the attempt to its server and waits for the head of the response.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use quincevalve_inventory::Execution;
use quincevalve_names::{BackendServerName, Incarnation};
use quincevalve_ports::{
    CallError, Reach,
    engine::{EngineError, Generate, INCARNATION_HEADER, RAN_HEADER, STATE_HEADER, STATE_LEAVING},
};
use quincevalve_recovery::{Call, Work};
use quincevalve_routing::{LeavingEvidence, ServerIndex};

use crate::{
    attempt::{Attempt, Cause, Failed},
    filters::Routed,
    pipe::Filter,
    request::Identified,
    shared::Shared,
};

pub(crate) struct Dispatch {
    pub(crate) shared: Arc<Shared>,
}

/// An attempt that a server has accepted.
pub(crate) struct Dispatched {
    pub(crate) attempt: Attempt,
    pub(crate) response: Response<Incoming>,
    pub(crate) in_flight: InFlight,
}

/// The router's record of a request in flight on a server, removed on drop.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    pub(crate) server: ServerIndex,
    pub(crate) name: BackendServerName,
    pub(crate) address: SocketAddr,
    prompt_tokens: u32,
    prompt_done: bool,
}

impl InFlight {
    fn new(shared: &Arc<Shared>, routed: &Routed) -> Self {
        let request = &routed.attempt.request;
        let prompt_tokens = request.prompt_tokens();
        let now = shared.timer.now();
        shared.router().record_sent(now, routed.server, request.prefix(), prompt_tokens);
        Self {
            shared: Arc::clone(shared),
            server: routed.server,
            name: routed.name.clone(),
            address: routed.address,
            prompt_tokens,
            prompt_done: false,
        }
    }

    /// Records that the server has finished the prefill of the prompt.
    pub(crate) fn record_prompt_done(&mut self) {
        if !self.prompt_done {
            self.prompt_done = true;
            self.shared.router().record_prefill_finished(self.server, self.prompt_tokens);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.record_prompt_done();
        self.shared.router().record_finished(self.server);
    }
}

impl Filter<Routed> for Dispatch {
    type Out = Dispatched;
    type Error = Failed;

    async fn apply(&self, routed: Routed) -> Result<Dispatched, Failed> {
        let in_flight = InFlight::new(&self.shared, &routed);
        let Routed { attempt, address, .. } = routed;
        attempt.answer.set_server(&in_flight.name);
        let request = Arc::clone(&attempt.request);
        let timeout = self.response_timeout(&request);
        let response = self.send(address, &request, &attempt);
        let result = self.shared.timer.timeout(timeout, response).await;
        match result {
            Some(Ok(response)) if response.status().is_success() => {
                Ok(Dispatched { attempt, response, in_flight })
            }
            Some(Ok(response)) => self.handle_error_response(attempt, response, in_flight),
            Some(Err(error)) => Err(self.handle_call_error(attempt, &in_flight, &error)),
            None => Err(self.handle_timeout(attempt, &in_flight).await),
        }
    }
}

impl Dispatch {
    /// Returns the timeout for the head of the response: engines send it when they accept a request, services when they
    /// have finished the work.
    fn response_timeout(&self, request: &Identified) -> Duration {
        match &request.work {
            Work::Generate(_) => self.shared.settings.pacing.head(),
            Work::Call(call) => {
                let service_entry = request.view.inventory.service.get(&call.service);
                service_entry.map_or(MAX_SERVICE_WAIT, |it| Duration::from_millis(it.progress_ms))
            }
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: &Identified,
        attempt: &Attempt,
    ) -> Result<Response<Incoming>, CallError> {
        match &request.work {
            Work::Generate(it) => {
                let generate = Generate {
                    request_id: request.id,
                    model: it.model.clone(),
                    prompt: it.prompt.clone(),
                    prefix: it.prefix,
                    prompt_tokens: it.prompt_tokens,
                    max_tokens: it.max_tokens,
                    priority: u8::from(request.promise.is_interactive()),
                    from: attempt.relay.next(),
                    import: attempt.import.clone(),
                };
                let result = self.shared.engines.generate(address, &generate).await;
                result.map_err(|error| match error {
                    EngineError::Call { source } => source,
                    EngineError::Encode { source } => CallError::Decode { address, source },
                })
            }
            Work::Call(call) => {
                let req =
                    call_request(address, call).map_err(|source| CallError::Form { source })?;
                let http = self.shared.engines.http();
                // A call on a pooled connection that has silently failed may or may not have run. Work that must not
                // be repeated gets a new connection, which costs less than an unknown outcome.
                match request.execution {
                    Execution::NonIdempotent => http.send_fresh(address, req).await,
                    Execution::Idempotent => http.send(address, req).await,
                }
            }
        }
    }

    /// Handles a response with an error status.
    fn handle_error_response(
        &self,
        attempt: Attempt,
        response: Response<Incoming>,
        in_flight: InFlight,
    ) -> Result<Dispatched, Failed> {
        let headers = response.headers();
        let leaving = header_is(headers, STATE_HEADER, STATE_LEAVING);
        if leaving {
            let incarnation = incarnation_of(headers);
            let mut router = self.shared.router();
            router.mark_leaving(in_flight.server, incarnation, LeavingEvidence::OwnAnswer);
        }
        if header_is(headers, RAN_HEADER, "no") {
            let failed =
                Failed::not_run(attempt.with_tried_server(in_flight.server), Cause::Refused);
            return Err(if leaving { failed.exempt_from_budget() } else { failed });
        }
        // A plain service's response, including errors, is passed on to the caller.
        let is_call = matches!(attempt.request.work, Work::Call(_));
        if is_call && response.status() != StatusCode::SERVICE_UNAVAILABLE {
            return Ok(Dispatched { attempt, response, in_flight });
        }
        Err(Failed::may_have_run(attempt.with_tried_server(in_flight.server), Cause::Status))
    }

    /// Handles a call that failed without a response.
    fn handle_call_error(
        &self,
        attempt: Attempt,
        in_flight: &InFlight,
        error: &CallError,
    ) -> Failed {
        log::debug!("{} {}: {error}", attempt.request.id, in_flight.name);
        let reclaim_announced = self.shared.departures.gone_at(in_flight.name.as_str()).is_some();
        self.shared.router().record_failure(self.shared.timer.now(), in_flight.server);
        let attempt = attempt.with_tried_server(in_flight.server);
        let failed = match error.reach() {
            Reach::NotSent => Failed::not_run(attempt, Cause::Transport),
            Reach::MayHaveArrived => Failed::may_have_run(attempt, Cause::Transport),
        };
        if reclaim_announced { failed.exempt_from_budget() } else { failed }
    }

    /// Handles a timeout without any response. A pooled connection may have been dropped by the network, so the
    /// server is probed on a new one and is excluded only if the probe fails too.
    async fn handle_timeout(&self, attempt: Attempt, in_flight: &InFlight) -> Failed {
        let timeout = self.shared.settings.pacing.probe();
        let http = self.shared.engines.http();
        http.mark_unresponsive(in_flight.address);
        if http.probe(in_flight.address, "/v1/load", timeout).await {
            return resend_to_same_server(attempt, in_flight);
        }
        self.shared.router().record_failure(self.shared.timer.now(), in_flight.server);
        Failed::may_have_run(attempt.with_tried_server(in_flight.server), Cause::Silent)
    }
}

/// Sends the request again to a server that responds while the old connection doesn't. An engine identifies a run by
/// the request's id, so the new request joins the existing run, if there is one.
fn resend_to_same_server(mut attempt: Attempt, in_flight: &InFlight) -> Failed {
    if matches!(attempt.request.work, Work::Call(_)) || attempt.resumes > MAX_RESENDS {
        return Failed::may_have_run(attempt, Cause::Silent);
    }
    attempt.resumes += 1;
    attempt.resume_on = Some(in_flight.server);
    Failed::may_have_run(attempt, Cause::Silent).exempt_from_budget().resumable()
}

/// Response timeout for a service that is no longer in the inventory.
const MAX_SERVICE_WAIT: Duration = Duration::from_secs(5);
/// A request is not sent to the same server again once its run was resumed more often than this.
const MAX_RESENDS: u32 = 2;

fn header_is(headers: &HeaderMap, name: &str, value: &str) -> bool {
    headers.get(name).is_some_and(|it| it.as_bytes() == value.as_bytes())
}

fn incarnation_of(headers: &HeaderMap) -> Option<Incarnation> {
    let text = headers.get(INCARNATION_HEADER).and_then(|it| it.to_str().ok());
    text.and_then(|it| it.parse().ok()).map(Incarnation)
}

fn call_request(
    address: SocketAddr,
    call: &Call,
) -> Result<Request<Full<bytes::Bytes>>, http::Error> {
    let method = Method::from_bytes(call.method.as_bytes())?;
    let mut builder =
        Request::builder().method(method).uri(format!("http://{address}{}", call.path));
    for (name, value) in &call.headers {
        builder = builder.header(name.as_str(), value.as_slice());
    }
    builder.body(Full::new(call.body.clone()))
}
