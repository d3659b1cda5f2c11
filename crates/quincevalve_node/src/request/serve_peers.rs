//! Serves requests that peers forward because they can't reach the requests' servers.

use std::{convert::Infallible, rc::Rc};

use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use tokio::{
    net::{TcpListener, TcpStream},
    time::Instant,
};

use crate::{
    node::{InFlight, Node, Phase},
    request::{
        body::AnswerBody,
        contained::refuse_on_panic,
        dispatch::dispatch,
        forwarded::{Forwarded, mark_refused},
        http_server::{
            CloseSignal, DEFAULT_IDLE_TIMEOUT, accept_connections, connection_settings,
            serve_connection, set_nodelay,
        },
        identify::{header_text, identify_forwarded},
        refusal::{OTHER_VM_RETRY_AFTER, Refusal, Refused},
        request_body::RequestBody,
        trace::log_request,
    },
};

/// Serves connections of peers until the process exits.
pub(crate) async fn serve_peers(node: Rc<Node>, listener: Rc<TcpListener>, closing: CloseSignal) {
    accept_connections(&listener, |it| serve_peer(node.clone(), it, closing.clone())).await;
}

async fn serve_peer(node: Rc<Node>, stream: TcpStream, closing: CloseSignal) {
    let Some(_open) = node.peer_callers.open() else {
        if node.may_log_refusal() {
            log::warn!("peer-rejected");
        }
        return;
    };
    set_nodelay(&stream);
    let settings = connection_settings(DEFAULT_IDLE_TIMEOUT);
    let handle = |req| handle(node.clone(), req);
    if let Err(error) = serve_connection(stream, &settings, closing, handle).await {
        log::debug!(error:% = error; "peer-connection-ended");
    }
}

async fn handle(
    node: Rc<Node>,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let _in_flight = InFlight::new(&node);
    let id = header_text(req.headers(), &node.headers.attempt_id).unwrap_or_default().to_owned();
    let mut answer = match refuse_on_panic(&id, serve(&node, req)).await {
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
    let (mut head, incoming) = req.into_parts();
    let forwarded = Forwarded::take(&mut head.headers).ok_or(Refusal::Malformed)?;
    // A peer with a newer configuration must not have its requests processed by an older one.
    if node.config().is_none_or(|it| it.version < forwarded.config_version) {
        return Err(Refused {
            refusal: Refusal::StaleConfig,
            retry_after: Some(OTHER_VM_RETRY_AFTER),
        });
    }
    let taken = node.peer_intake.try_take().ok_or(Refusal::PeerFull)?;
    let req = Request::from_parts(head, ());
    let mut identified = identify_forwarded(node, &req, arrived, forwarded, taken)?;
    let body_limit = identified.config.limits.body_bytes;
    let mut body = RequestBody::new(incoming);
    identified.body = body.read(node, None, body_limit, identified.deadline).await?;
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
