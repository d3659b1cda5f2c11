//! Serves requests that peers forward because they can't reach the requests' servers.

use std::{convert::Infallible, rc::Rc};

use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::{Instant, sleep},
};

use crate::{
    node::{InFlight, Node, Phase},
    request::{
        body::AnswerBody,
        dispatch::dispatch,
        forwarded::{Forwarded, mark_refused},
        frontend::{ACCEPT_PAUSE, CloseSignal, DEFAULT_IDLE_TIMEOUT, read_body},
        identify::identify_forwarded,
        refusal::{OTHER_VM_RETRY_AFTER, Refusal, Refused},
        trace::log_request,
    },
};

/// Accepts connections of peers until the process exits.
pub(crate) async fn serve_peers(node: Rc<Node>, listener: TcpListener, closing: CloseSignal) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_peer(node.clone(), stream, closing.clone()));
            }
            Err(error) => {
                log::warn!(error:% = error; "accept-failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_peer(node: Rc<Node>, stream: TcpStream, mut closing: CloseSignal) {
    // The connection works without TCP_NODELAY too, only with higher latency.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "nodelay-failed");
    }
    let service = service_fn(|req| handle(node.clone(), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
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
        log::debug!(error:% = error; "peer-connection-ended");
    }
}

async fn handle(
    node: Rc<Node>,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let _in_flight = InFlight::new(&node);
    let mut answer = match serve(&node, req).await {
        Ok(answer) => answer,
        Err(Refused { refusal, retry_after }) => {
            let mut answer = refusal.answer(retry_after);
            mark_refused(answer.headers_mut(), refusal);
            answer
        }
    };
    if node.phase.get() != Phase::Serving {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

/// Processes a request that a peer has accepted: the peer has checked its key and charged its account's quota.
async fn serve(node: &Rc<Node>, req: Request<Incoming>) -> Result<Response<AnswerBody>, Refused> {
    let arrived = Instant::now();
    let (mut head, body) = req.into_parts();
    let forwarded = Forwarded::take(&mut head.headers).ok_or(Refusal::Malformed)?;
    // A peer with a newer configuration must not have its requests processed by an older one.
    if node.config().is_none_or(|it| it.version < forwarded.config_version) {
        return Err(Refused {
            refusal: Refusal::StaleConfig,
            retry_after: Some(OTHER_VM_RETRY_AFTER),
        });
    }
    let taken = node.peer_intake.try_take().ok_or(Refusal::PeerFull)?;
    let req = Request::from_parts(head, body);
    let mut identified = identify_forwarded(node, &req, arrived, forwarded, taken)?;
    let body_limit = identified.config.limits.body_bytes;
    identified.body = read_body(req, body_limit, identified.deadline).await?;
    if !node.can_finish(&identified.route) {
        return Err(Refused {
            refusal: Refusal::Stopping,
            retry_after: Some(OTHER_VM_RETRY_AFTER),
        });
    }
    let identified = Rc::new(identified);
    log_request!(node, identified, route = &identified.route.name; "taken-from-peer");
    dispatch(node, identified).await
}
