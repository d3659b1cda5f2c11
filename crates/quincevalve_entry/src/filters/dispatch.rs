//! Dispatch: send the attempt to its server.

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

/// An attempt that a server has taken.
pub(crate) struct Dispatched {
    pub(crate) attempt: Attempt,
    pub(crate) response: Response<Incoming>,
    pub(crate) sent: Sent,
}

/// The note in the router that a request is on a server; dropping it takes the note back.
pub(crate) struct Sent {
    shared: Arc<Shared>,
    pub(crate) server: ServerIndex,
    pub(crate) name: BackendServerName,
    pub(crate) address: SocketAddr,
    prompt_tokens: u32,
    prompt_done: bool,
}

impl Sent {
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

    /// Notes that the prompt passed the prefill.
    pub(crate) fn prompt_done(&mut self) {
        if !self.prompt_done {
            self.prompt_done = true;
            self.shared.router().record_prefill_finished(self.server, self.prompt_tokens);
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        self.prompt_done();
        self.shared.router().record_finished(self.server);
    }
}

impl Filter<Routed> for Dispatch {
    type Out = Dispatched;
    type Error = Failed;

    async fn apply(&self, routed: Routed) -> Result<Dispatched, Failed> {
        let sent = Sent::new(&self.shared, &routed);
        let Routed { attempt, address, .. } = routed;
        attempt.answer.set_server(&sent.name);
        let request = Arc::clone(&attempt.request);
        let progress = self.answer_limit(&request);
        let send = self.send(address, &request, &attempt);
        let answer = self.shared.timer.timeout(progress, send).await;
        match answer {
            Some(Ok(response)) if response.status().is_success() => {
                Ok(Dispatched { attempt, response, sent })
            }
            Some(Ok(response)) => self.refused(attempt, response, sent),
            Some(Err(error)) => Err(self.not_reached(attempt, &sent, &error)),
            None => Err(self.silent(attempt, &sent).await),
        }
    }
}

impl Dispatch {
    /// How long to wait for the head of an answer: engines send it when they take an order, services
    /// when they have done the work.
    fn answer_limit(&self, request: &Identified) -> Duration {
        match &request.work {
            Work::Generate(_) => self.shared.settings.pacing.head(),
            Work::Call(call) => {
                let facts = request.view.inventory.service.get(&call.service);
                facts.map_or(MAX_SERVICE_WAIT, |it| Duration::from_millis(it.progress_ms))
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
                let order = Generate {
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
                let sent = self.shared.engines.generate(address, &order).await;
                sent.map_err(|error| match error {
                    EngineError::Call { source } => source,
                    EngineError::Encode { source } => CallError::Decode { address, source },
                })
            }
            Work::Call(call) => {
                let req =
                    call_request(address, call).map_err(|source| CallError::Form { source })?;
                let http = self.shared.engines.http();
                // A pooled connection can be silent, and then it stays unknown whether the call ran. For
                // work that may not be repeated a new connection is cheaper than that.
                match request.execution {
                    Execution::NonIdempotent => http.send_fresh(address, req).await,
                    Execution::Idempotent => http.send(address, req).await,
                }
            }
        }
    }

    /// The server answered, with an error status.
    fn refused(
        &self,
        attempt: Attempt,
        response: Response<Incoming>,
        sent: Sent,
    ) -> Result<Dispatched, Failed> {
        let headers = response.headers();
        let leaving = header_is(headers, STATE_HEADER, STATE_LEAVING);
        if leaving {
            let incarnation = incarnation_of(headers);
            let mut router = self.shared.router();
            router.mark_leaving(sent.server, incarnation, LeavingEvidence::OwnAnswer);
        }
        if header_is(headers, RAN_HEADER, "no") {
            let failed = Failed::not_run(attempt.tried(sent.server), Cause::Refused);
            return Err(if leaving { failed.announced() } else { failed });
        }
        // A plain service's own answer, errors included, is the caller's to read.
        let is_call = matches!(attempt.request.work, Work::Call(_));
        if is_call && response.status() != StatusCode::SERVICE_UNAVAILABLE {
            return Ok(Dispatched { attempt, response, sent });
        }
        Err(Failed::may_have_run(attempt.tried(sent.server), Cause::Status))
    }

    fn not_reached(&self, attempt: Attempt, sent: &Sent, error: &CallError) -> Failed {
        log::debug!("{} {}: {error}", attempt.request.id, sent.name);
        let announced = self.shared.departures.gone_at(sent.name.as_str()).is_some();
        self.shared.router().record_failure(self.shared.timer.now(), sent.server);
        let attempt = attempt.tried(sent.server);
        let failed = match error.reach() {
            Reach::NotSent => Failed::not_run(attempt, Cause::Transport),
            Reach::MayHaveArrived => Failed::may_have_run(attempt, Cause::Transport),
        };
        if announced { failed.announced() } else { failed }
    }

    /// No answer at all. A pooled connection may have been forgotten on the way: the server is asked on
    /// a new one, and is passed over only if that is silent too.
    async fn silent(&self, attempt: Attempt, sent: &Sent) -> Failed {
        let limit = self.shared.settings.pacing.probe();
        let http = self.shared.engines.http();
        http.mark_unresponsive(sent.address);
        if http.probe(sent.address, "/v1/load", limit).await {
            return ask_again(attempt, sent);
        }
        self.shared.router().record_failure(self.shared.timer.now(), sent.server);
        Failed::may_have_run(attempt.tried(sent.server), Cause::Silent)
    }
}

/// The server is well and the connection was not. An engine knows an order by the request's id, so
/// sending it again on a new connection joins the same run, if there is one.
fn ask_again(mut attempt: Attempt, sent: &Sent) -> Failed {
    if matches!(attempt.request.work, Work::Call(_)) || attempt.resumes > MAX_ASKS {
        return Failed::may_have_run(attempt, Cause::Silent);
    }
    attempt.resumes += 1;
    attempt.resume_on = Some(sent.server);
    Failed::may_have_run(attempt, Cause::Silent).announced().resumable()
}

/// The longest wait for a service that the inventory no longer has.
const MAX_SERVICE_WAIT: Duration = Duration::from_secs(5);
const MAX_ASKS: u32 = 2;

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
