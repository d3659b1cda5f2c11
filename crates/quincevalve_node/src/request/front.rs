//! Callers' connections.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use quincevalve_forwarding::quota::QuotaRequest;
use rand::RngExt;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::spawn_local,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    clock,
    node::{InFlight, Node, Phase},
    request::{
        body::AnswerBody,
        dispatch::dispatch,
        identify::{Identified, identify, text},
        refusal::{Refusal, Refused},
        trace::note,
    },
};

/// Pause after a failure to accept, which is a lack of descriptors: connections end in that time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Idle time of callers' connections before a configuration says it.
const FIRST_IDLE_TIME: Duration = Duration::from_secs(15);
/// Added to the idle time: a caller that sends just at its end must not meet the close.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);
/// The largest head before a configuration says it, in bytes.
const FIRST_HEAD_BYTES: usize = 16 << 10;
/// The smallest buffer that the HTTP library takes, in bytes.
const LEAST_BUFFER: usize = 8 << 10;
/// Waits for a configuration that is new enough before a caller is told to come back.
const STALE_RETRY: Duration = Duration::from_millis(700);
/// A VM that has just started knows what others know within this time, also where all start together. A caller that comes
/// back then is still on time.
const STARTING_RETRY: Duration = Duration::from_millis(150);
/// A VM that knows nothing for so long after its start is not about to: the store and the others are away.
const STARTING_TIME: Duration = Duration::from_millis(500);
/// A VM that hears less than this part of the others is cut off, rather than they.
const ALONE_PART: f64 = 0.5;
/// A caller that is refused by a VM that stops reaches another one at once.
const STOPPING_RETRY: Duration = Duration::from_millis(20);
/// How long the body of a request without a route is read, so that the refusal isn't lost in a reset.
const UNKNOWN_BODY_TIME: Duration = Duration::from_secs(2);

/// Whether callers' idle connections are to be closed.
pub(crate) type Closing = watch::Receiver<bool>;

/// Takes callers' connections for as long as the process lives.
pub(crate) async fn serve_callers(node: Rc<Node>, listener: TcpListener, closing: Closing) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_caller(node.clone(), stream, closing.clone()));
            }
            Err(error) => {
                log::warn!(error:% = error; "accept-failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(node: Rc<Node>, stream: TcpStream, mut closing: Closing) {
    // A connection without it still works, only slower.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "nodelay-failed");
    }
    let limits = node.config().map(|it| it.limits);
    let idle_time = limits.map_or(FIRST_IDLE_TIME, |it| it.idle_timeout) + IDLE_MARGIN;
    let head_bytes = limits.map_or(FIRST_HEAD_BYTES, |it| it.head_bytes).max(LEAST_BUFFER);
    let service = service_fn(|req| handle(node.clone(), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_time)
        .max_buf_size(head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = closing.wait_for(|it| *it) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "caller-connection-ended");
    }
}

async fn handle(
    node: Rc<Node>,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let _in_flight = InFlight::new(&node);
    let arrived = Instant::now();
    let id = text(req.headers(), &node.headers.attempt_id).unwrap_or_default().to_owned();
    let mut answer = match serve(&node, req, arrived).await {
        Ok(answer) => answer,
        Err(refused) => {
            log_refusal(&node, &id, arrived, refused);
            refused.refusal.answer(refused.retry_after)
        }
    };
    // Its caller's next request goes to another VM; the platform sends no new ones here.
    if node.phase.get() != Phase::Serving || node.is_losing_freshness() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

/// Ends the trace of a request that was answered as a whole; a stream's goes on.
fn note_answer(node: &Node, req: &Identified, status: StatusCode) {
    let took = req.arrived.elapsed();
    note!(
        node, req,
        route = &req.route.name, status = status.as_u16(), took_ms = took.as_millis() as u64,
        version = req.config.version;
        "answered"
    );
    if req.repeat().is_stream() && status.is_success() {
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
    req: Request<Incoming>,
    arrived: Instant,
) -> Result<Response<AnswerBody>, Refused> {
    let identified = identify(node, &req, arrived);
    let body_limit = node.config().map_or(0, |it| it.limits.body_bytes);
    let until = identified.as_ref().map_or(arrived + UNKNOWN_BODY_TIME, |it| it.deadline);
    // Also for a request that is refused: an answer before the end of the body is followed by a reset,
    // which can overtake it.
    let body = read_body(req, body_limit, until).await;
    let mut identified = identified.map_err(|refusal| match refusal {
        Refusal::StaleConfig => Refused { refusal, retry_after: Some(stale_retry(node)) },
        _ => refusal.into(),
    })?;
    let body = body?;
    identified.body = body;
    if !node.can_finish(&identified.route) {
        return Err(Refused { refusal: Refusal::Stopping, retry_after: Some(STOPPING_RETRY) });
    }
    let cost = take_quota(node, &identified).inspect_err(|refused| {
        node.metrics.count_request(&identified.route.name, refused.refusal.name());
    })?;
    let identified = Rc::new(identified);
    let answer = dispatch(node, identified.clone()).await;
    match &answer {
        Ok(answer) => note_answer(node, &identified, answer.status()),
        Err(refused) => {
            identified.trace.end(node, &identified.id, true);
            node.metrics.count_request(&identified.route.name, refused.refusal.name());
        }
    }
    if let Err(refused) = &answer
        && refused.refusal.outcome() == quincevalve_names::Outcome::NotRun
        && let Some(account) = &identified.account
    {
        node.quota.borrow_mut().refund(account, cost, clock::now());
    }
    answer
}

/// When a caller that is refused for want of a proof should come back. A VM that hears few others is cut off by
/// itself, and others serve; else the store is away from all.
fn stale_retry(node: &Node) -> Duration {
    if !node.was_confirmed_fresh() && clock::now().since(node.started_at) < STARTING_TIME {
        return STARTING_RETRY;
    }
    let is_alone = node.peers.borrow().reachable_fraction() < ALONE_PART;
    if is_alone { STOPPING_RETRY } else { STALE_RETRY }
}

async fn read_body(req: Request<Incoming>, limit: usize, until: Instant) -> Result<Bytes, Refused> {
    let body = req.into_body();
    if body.size_hint().lower() > limit as u64 {
        return Err(Refusal::TooLarge.into());
    }
    match timeout_at(until, Limited::new(body, limit).collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Refusal::TooLarge.into())
        }
        Ok(Err(error)) => {
            log::info!(error:% = error; "body-broke-off");
            Err(Refusal::Malformed.into())
        }
        Err(_) => Err(Refusal::LateNotRun.into()),
    }
}

/// Takes the request's cost out of its account's quota and returns it.
fn take_quota(node: &Node, req: &Identified) -> Result<f64, Refused> {
    let Some(account) = &req.account else { return Ok(0.0) };
    let quota = req.config.accounts.get(account).and_then(|it| it.quota);
    let Some(quota) = quota else { return Ok(0.0) };
    let cost = quincevalve_forwarding::quota::cost(&quota, req.token_counts());
    let draw = node.rng.borrow_mut().random::<f64>();
    let ask = QuotaRequest { cost, urgency: req.urgency };
    let taken = node.quota.borrow_mut().try_spend(account, &quota, ask, draw, clock::now());
    taken.map(|()| cost).map_err(|over| {
        if node.may_log_refusal() {
            let part = node.peers.borrow().reachable_fraction();
            log::info!(
                id = req.id, account = account.as_str(), cost, level = over.level,
                others = over.peer_spending, per_second = quota.per_second, burst = quota.burst, part,
                version = req.config.version;
                "over-quota"
            );
        }
        Refused { refusal: Refusal::OverQuota, retry_after: Some(over.retry_after) }
    })
}

/// Answers the platform's question whether callers should be sent here.
pub(crate) async fn serve_ready(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let node = node.clone();
        spawn_local(async move {
            let service = service_fn(|_req| {
                let ready = node.is_ready();
                async move { Ok::<_, Infallible>(readiness(ready)) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "ready-connection-ended");
            }
        });
    }
}

fn readiness(ready: bool) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(Bytes::new()));
    if !ready {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    answer
}
