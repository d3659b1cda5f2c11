//! The HTTP server that the stand-ins share.

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

const MAX_BODY: usize = 8 << 20;

/// The body of a stand-in's answer.
pub(crate) enum StandinBody {
    /// All at once.
    Full(Full<Bytes>),
    /// As it is made.
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

/// Reads a whole body.
pub(crate) async fn read(body: Incoming) -> Result<Bytes, Answer> {
    let collected = Limited::new(body, MAX_BODY).collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|_| plain(StatusCode::BAD_REQUEST, "body"))
}

/// Reads a whole JSON body.
pub(crate) async fn read_json<T>(body: Incoming) -> Result<T, Answer>
where
    T: DeserializeOwned,
{
    let bytes = read(body).await?;
    serde_json::from_slice(&bytes).map_err(|it| plain(StatusCode::BAD_REQUEST, it.to_string()))
}

/// The value of a query parameter.
pub(crate) fn query<'a>(uri: &'a http::Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    pairs.filter_map(|it| it.split_once('=')).find(|it| it.0 == name).map(|it| it.1)
}

/// A numeric query parameter, 0 if absent.
pub(crate) fn query_number(uri: &http::Uri, name: &str) -> u64 {
    query(uri, name).and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// Serves each connection in a task of its own until the runtime ends.
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
            // A caller that goes away in the middle is no fault of the stand-in.
            let _ = connection.await;
        });
    }
}
