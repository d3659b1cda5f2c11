//! Serves HTTP connections of callers and of peers until the process exits.

use std::{collections::VecDeque, convert::Infallible, future::Future, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use hyper::{
    body::Incoming,
    server::conn::http1::{self, Builder},
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{AbortHandle, spawn_local},
    time::sleep,
};

use crate::request::body::AnswerAborted;

/// Pause after a failed `accept`. It fails for lack of file descriptors, and connections close in that time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Idle timeout of connections where no other is configured.
pub(crate) const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of open connections for readiness checks, and for metrics.
pub(crate) const MAX_CHECK_CONNECTIONS: usize = 16;

/// Signals whether idle connections should be closed.
pub(crate) type CloseSignal = watch::Receiver<bool>;

/// Accepts connections and serves each in a task of its own.
pub(crate) async fn accept_connections<F>(listener: &TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    accept_each(listener, |stream| drop(spawn_local(serve(stream)))).await;
}

/// Like [`accept_connections`], with at most `max` connections: the oldest one is closed for a new one. For checks and
/// metrics, whose clients ask again.
pub(crate) async fn accept_few_connections<F>(
    listener: &TcpListener,
    max: usize,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let mut open = VecDeque::<AbortHandle>::new();
    accept_each(listener, |stream| {
        open.retain(|it| !it.is_finished());
        if open.len() >= max
            && let Some(oldest) = open.pop_front()
        {
            oldest.abort();
        }
        open.push_back(spawn_local(serve(stream)).abort_handle());
    })
    .await;
}

async fn accept_each(listener: &TcpListener, mut start: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => start(stream),
            Err(error) => {
                log::warn!(error:% = error; "accept-failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Sends small parts of answers without delay.
pub(crate) fn set_nodelay(stream: &TcpStream) {
    // The connection works without it too, only with higher latency.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "nodelay-failed");
    }
}

/// Returns the settings of a connection that is closed after it was idle for `idle_timeout`.
pub(crate) fn connection_settings(idle_timeout: Duration) -> Builder {
    let mut settings = http1::Builder::new();
    settings.timer(TokioTimer::new()).header_read_timeout(idle_timeout);
    settings
}

/// Answers the requests on a connection until it closes, or until it is idle after the close signal.
pub(crate) async fn serve_connection<S, F, B>(
    stream: S,
    settings: &Builder,
    mut closing: CloseSignal,
    handle: impl Fn(Request<Incoming>) -> F,
) -> Result<(), hyper::Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
    F: Future<Output = Result<Response<B>, Infallible>>,
    B: Body<Data = Bytes, Error = AnswerAborted> + 'static,
{
    let connection = settings.serve_connection(TokioIo::new(stream), service_fn(handle));
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => ended,
        _ = closing.wait_for(|it| *it) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    }
}
