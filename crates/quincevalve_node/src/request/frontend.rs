//! Serves callers' connections and the platform's readiness checks.

use std::{
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use quincevalve_forwarding::quota::QuotaRequest;
use quincevalve_names::Outcome;
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::Instant,
};

use crate::{
    clock,
    node::{InFlight, Node, Phase},
    peers::quota::{self, Charge, QuotaRejection},
    request::{
        body::{AnswerAborted, AnswerBody},
        caller_connections::CallerConnection,
        caller_stream::{CallerStream, CallerTimeouts, run_within},
        contained::refuse_on_panic,
        dispatch::dispatch,
        http_server::{
            CloseSignal, DEFAULT_IDLE_TIMEOUT, MAX_CHECK_CONNECTIONS, accept_connections,
            accept_few_connections, connection_settings, serve_connection, set_nodelay,
        },
        identify::{IdentifiedRequest, header_text, identify},
        refusal::{OTHER_VM_RETRY_AFTER, Refusal, Refused},
        request_body::RequestBody,
        trace::log_request,
    },
};

/// Added to the configured timeouts, so that a caller that sends a request or the end of a head just before the timeout
/// doesn't find the connection closed.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
/// Maximum size, in bytes, of a request's head until a configuration is known.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// Minimum buffer size, in bytes, that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Retry time sent to a caller when this VM's configuration is stale because all VMs lost contact with the store.
const STALE_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Retry time sent to a caller by a VM that has just started. Within this time the VM gets its state from its peers,
/// even if all VMs start together, and the caller's retry can still meet its deadline.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Time after its start in which a VM is expected to get its state. If it takes longer, the store and the peers are
/// unreachable.
const STARTUP_WINDOW: Duration = Duration::from_millis(500);
/// Fraction of the peers that must be reachable; below it, this VM itself is considered isolated rather than its peers.
const MIN_REACHABLE_FRACTION: f64 = 0.5;
/// Maximum time for which a request that could not be identified waits for the end of its body.
const UNIDENTIFIED_BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves callers' connections until the process exits.
pub(crate) async fn serve_callers(node: Rc<Node>, listener: Rc<TcpListener>, closing: CloseSignal) {
    accept_connections(&listener, |it| serve_caller(node.clone(), it, closing.clone())).await;
}

async fn serve_caller(node: Rc<Node>, stream: TcpStream, closing: CloseSignal) {
    let Some(open) = node.callers.open() else {
        node.metrics.count_closed_caller("rejected");
        if node.may_log_refusal() {
            log::warn!(open = node.callers.count(); "caller-rejected");
        }
        return;
    };
    let limits = node.config().map(|it| it.limits);
    let idle_timeout =
        limits.map_or(DEFAULT_IDLE_TIMEOUT, |it| it.idle_timeout).saturating_add(TIMEOUT_MARGIN);
    let head_timeout =
        limits.map_or(DEFAULT_IDLE_TIMEOUT, |it| it.head_timeout).saturating_add(TIMEOUT_MARGIN);
    let timeouts = CallerTimeouts { head: head_timeout, unread: idle_timeout };
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |it| it.head_bytes).max(MIN_BUFFER_BYTES);
    let mut settings = connection_settings(idle_timeout);
    settings.max_buf_size(head_bytes);
    set_nodelay(&stream);
    let connection = open.connection.clone();
    let stream = CallerStream { stream, connection: connection.clone() };
    let handle = |req| handle(node.clone(), connection.clone(), req);
    let served = serve_connection(stream, &settings, closing, handle);
    match run_within(served, &connection, timeouts).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::info!(error:? = error; "caller-connection-ended"),
        Err(closed) => {
            node.metrics.count_closed_caller(closed.name());
            if node.may_log_refusal() {
                log::info!(why = closed.name(), open = node.callers.count(); "caller-closed");
            }
        }
    }
}

/// An answer to a caller. Its connection waits for the next request once this is dropped.
struct CallerAnswer {
    body: AnswerBody,
    connection: Rc<CallerConnection>,
}

impl Drop for CallerAnswer {
    fn drop(&mut self) {
        self.connection.end_answer();
    }
}

impl Body for CallerAnswer {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

async fn handle(
    node: Rc<Node>,
    connection: Rc<CallerConnection>,
    req: Request<Incoming>,
) -> Result<Response<CallerAnswer>, Infallible> {
    let _in_flight = InFlight::new(&node);
    let arrived = Instant::now();
    let id = header_text(req.headers(), &node.headers.attempt_id).unwrap_or_default().to_owned();
    let (head, incoming) = req.into_parts();
    let mut body = RequestBody::new(incoming);
    connection.begin_request(!body.is_complete());
    let req = Request::from_parts(head, ());
    let served = serve(&node, &connection, req, &mut body, arrived);
    let mut answer = match refuse_on_panic(&id, served).await {
        Ok(answer) => answer,
        Err(refused) => {
            log_refusal(&node, &id, arrived, refused);
            refused.refusal.answer(refused.retry_after)
        }
    };
    // Makes the caller send its next request to another VM. The platform routes no new ones here.
    let must_leave = node.phase.get() != Phase::Serving || node.is_losing_freshness();
    if must_leave || connection.closes_after_answer() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    let is_discarding = !body.is_complete();
    if is_discarding {
        let connection = connection.clone();
        spawn_local(async move {
            body.discard_rest().await;
            connection.end_request();
        });
    }
    connection.begin_answer(answer.body().buffered_bytes(), is_discarding);
    Ok(answer.map(|body| CallerAnswer { body, connection }))
}

/// Logs and counts an answer. Ends the request's trace unless the answer is a stream, whose trace ends with the stream.
fn record_answer(node: &Node, req: &IdentifiedRequest, status: StatusCode) {
    let took = req.arrived.elapsed();
    log_request!(
        node, req,
        route = &req.route.name, status = status.as_u16(), took_ms = took.as_millis() as u64,
        version = req.config.version;
        "answered"
    );
    if req.retry_safety().is_stream() && status.is_success() {
        return;
    }
    node.metrics.observe_first_answer(&req.route.name, took);
    node.metrics.count_request(&req.route.name, status.as_str());
    let was_bad = took > req.route.objective || !status.is_success();
    req.trace.end(node, &req.id, was_bad);
}

fn log_refusal(node: &Node, id: &str, arrived: Instant, refused: Refused) {
    if !node.may_log_refusal() {
        return;
    }
    let took_ms = arrived.elapsed().as_millis() as u64;
    let cause = refused.refusal.name();
    let outcome = refused.refusal.outcome();
    let version = node.config().map_or(0, |it| it.version);
    let age_ms = node.freshness.get().age(clock::now()).map_or(0, |it| it.as_millis() as u64);
    log::warn!(id, cause, outcome:? = outcome, took_ms, version, age_ms; "refused");
}

async fn serve(
    node: &Rc<Node>,
    connection: &CallerConnection,
    req: Request<()>,
    body: &mut RequestBody,
    arrived: Instant,
) -> Result<Response<AnswerBody>, Refused> {
    let limits = node.config().map(|it| it.limits);
    let body_limit = limits.map_or(0, |it| it.body_bytes);
    let identified = match identify(node, &req, arrived) {
        Ok(identified) => {
            let read = body.read(node, Some(connection), body_limit, identified.deadline).await;
            if let Err(refused) = &read {
                let route = &identified.route.name;
                node.metrics.count_request(route, refused.refusal.name());
            }
            read.map(|body| identified.with_body(body))
        }
        Err(refusal) => {
            // Callers that send without reading see the refusal only once the body was received.
            if !body.is_announced_beyond(body_limit) {
                body.discard(body_limit, arrived + UNIDENTIFIED_BODY_TIMEOUT).await;
            }
            let retry_after =
                (refusal == Refusal::StaleConfig).then(|| stale_config_retry_after(node));
            Err(Refused { refusal, retry_after })
        }
    };
    connection.end_body();
    let identified = identified?;
    if !node.can_finish(&identified.route) {
        return Err(Refused {
            refusal: Refusal::Stopping,
            retry_after: Some(OTHER_VM_RETRY_AFTER),
        });
    }
    let charge = charge_quota(node, &identified).await.inspect_err(|refused| {
        node.metrics.count_request(&identified.route.name, refused.refusal.name());
    })?;
    let identified = Rc::new(identified);
    let charge = ChargeGuard { node: node.clone(), req: identified.clone(), charge };
    let answer = dispatch(node, identified.clone()).await;
    match &answer {
        Ok(answer) => record_answer(node, &identified, answer.status()),
        Err(refused) => {
            identified.trace.end(node, &identified.id, true);
            node.metrics.count_request(&identified.route.name, refused.refusal.name());
        }
    }
    let has_not_run = answer.as_ref().is_err_and(|it| it.refusal.outcome() == Outcome::NotRun);
    charge.settle(has_not_run);
    answer
}

/// The charge of a request to its account's quota. If its caller disconnects before the request was sent to a server, the
/// charge is refunded: a request may wait for seconds, and an account would pay for requests that never run.
struct ChargeGuard {
    node: Rc<Node>,
    req: Rc<IdentifiedRequest>,
    charge: Option<Charge>,
}

impl ChargeGuard {
    /// Keeps the charge, or refunds it if the request has not run.
    fn settle(mut self, has_not_run: bool) {
        let charge = self.charge.take();
        if has_not_run {
            self.refund(charge);
        }
    }

    fn refund(&self, charge: Option<Charge>) {
        if let (Some(account), Some(charge)) = (&self.req.account, charge) {
            quota::refund(&self.node, account, charge);
        }
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        let charge = self.charge.take();
        if !self.req.was_sent.get() {
            self.refund(charge);
        }
    }
}

/// Returns when a caller should retry that is refused because this VM's configuration is stale. If few peers are
/// reachable, this VM alone is isolated and other VMs can serve the request; otherwise the store is unreachable for
/// all.
fn stale_config_retry_after(node: &Node) -> Duration {
    if !node.was_confirmed_fresh() && clock::now().since(node.started_at) < STARTUP_WINDOW {
        return STARTUP_RETRY_AFTER;
    }
    let is_isolated = node.peers.borrow().reachable_fraction() < MIN_REACHABLE_FRACTION;
    if is_isolated { OTHER_VM_RETRY_AFTER } else { STALE_CONFIG_RETRY_AFTER }
}

/// Charges the request's cost to its account's quota; returns `None` if the account has no quota.
async fn charge_quota(node: &Node, req: &IdentifiedRequest) -> Result<Option<Charge>, Refused> {
    let Some(account) = &req.account else { return Ok(None) };
    let quota = req.config.accounts.get(account).and_then(|it| it.quota);
    let Some(quota) = quota else { return Ok(None) };
    let cost = quincevalve_forwarding::quota::cost(&quota, req.token_counts());
    let request = QuotaRequest { cost, urgency: req.urgency };
    let charge = quota::charge(node, account, &quota, request).await;
    charge.map(Some).map_err(|QuotaRejection { over, owner }| {
        if node.may_log_refusal() {
            let reachable_fraction = node.peers.borrow().reachable_fraction();
            log::info!(
                id = req.id, account = account.as_str(), cost, level = over.level,
                others = over.peer_spending, per_second = quota.per_second, burst = quota.burst,
                part = reachable_fraction, version = req.config.version, owner = owner.as_str();
                "over-quota"
            );
        }
        Refused { refusal: Refusal::OverQuota, retry_after: Some(over.retry_after) }
    })
}

/// Serves the platform's readiness checks, which decide whether callers are routed to this VM.
pub(crate) async fn serve_ready(node: Rc<Node>, listener: Rc<TcpListener>) {
    let serve = |stream| {
        let node = node.clone();
        async move {
            let service = service_fn(|_req| {
                let answer = readiness_response(node.is_ready(), node.ended_tasks.describe());
                async move { Ok::<_, Infallible>(answer) }
            });
            let settings = connection_settings(DEFAULT_IDLE_TIMEOUT);
            let connection = settings.serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "ready-connection-ended");
            }
        }
    };
    accept_few_connections(&listener, MAX_CHECK_CONNECTIONS, serve).await;
}

/// Builds the answer of the readiness check; its body lists the tasks that ended.
fn readiness_response(ready: bool, ended_tasks: String) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(ended_tasks));
    if !ready {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    answer
}
