//! HTTP server and helpers that the stand-ins share.

use std::{
    convert::Infallible,
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::TcpListener, sync::mpsc};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 8 << 20;

/// The response body of a stand-in.
pub(crate) enum StandinBody {
    /// A body that is sent at once.
    Full(Full<Bytes>),
    /// A body whose chunks are sent as they are produced.
    Stream(mpsc::UnboundedReceiver<Bytes>),
}

impl Body for StandinBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Full(full) => Pin::new(full).poll_frame(cx),
            Self::Stream(rx) => rx.poll_recv(cx).map(|it| it.map(|bytes| Ok(Frame::data(bytes)))),
        }
    }
}

pub(crate) type Answer = Response<StandinBody>;

pub(crate) fn plain(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(StandinBody::Full(Full::new(body.into())));
    *response.status_mut() = status;
    response
}

pub(crate) fn json<T>(value: &T) -> Answer
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(body) => plain(StatusCode::OK, body),
        Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Reads a complete body; a failure or a body over the maximum size yields a response with status 400.
pub(crate) async fn read(body: Incoming) -> Result<Bytes, Answer> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|_| plain(StatusCode::BAD_REQUEST, "body"))
}

/// Reads a complete body and parses it as JSON.
pub(crate) async fn read_json<T>(body: Incoming) -> Result<T, Answer>
where
    T: DeserializeOwned,
{
    let bytes = read(body).await?;
    serde_json::from_slice(&bytes).map_err(|it| plain(StatusCode::BAD_REQUEST, it.to_string()))
}

/// Returns the value of a query parameter.
pub(crate) fn query<'a>(uri: &'a http::Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    pairs.filter_map(|it| it.split_once('=')).find(|it| it.0 == name).map(|it| it.1)
}

/// Returns the value of a numeric query parameter, or 0 if it is missing or invalid.
pub(crate) fn query_number(uri: &http::Uri, name: &str) -> u64 {
    query(uri, name).and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// Serves each connection in a task of its own until the runtime shuts down.
pub(crate) async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = hyper::service::service_fn(move |req| {
            let answer = handler(req);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // Ignores errors of connections that the caller closes during an exchange.
            let _ = connection.await;
        });
    }
}
