//! The HTTP client that all clients of this crate share.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::Client,
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

use crate::connector::Connector;

/// Time after which an idle pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 2 << 20;

/// Whether a failed call may have reached the other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// No byte of the call can have reached the other end.
    NotSent,
    /// The call may have reached the other end.
    MayHaveArrived,
}

/// The error for a failed call.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The request can't be built.
    #[snafu(display("request: {source}"))]
    Form {
        /// The cause.
        source: http::Error,
    },
    /// The transport failed.
    #[snafu(display("{address}: {source}"))]
    Transport {
        /// The address of the other end.
        address: SocketAddr,
        /// The cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The response body was truncated or is too large.
    #[snafu(display(
        "{address}: response body truncated or larger than {MAX_RESPONSE_BYTES} bytes"
    ))]
    Answer {
        /// The address of the other end.
        address: SocketAddr,
    },
    /// The response can't be parsed as the expected type.
    #[snafu(display("{address}: invalid response: {source}"))]
    Decode {
        /// The address of the other end.
        address: SocketAddr,
        /// The cause.
        source: serde_json::Error,
    },
    /// The response has an error status.
    #[snafu(display("{address}: status {status}"))]
    Status {
        /// The address of the other end.
        address: SocketAddr,
        /// The status.
        status: StatusCode,
        /// The response body.
        body: Bytes,
    },
    /// There was no response within the time limit.
    #[snafu(display("{address}: no answer within {limit:?}"))]
    TimedOut {
        /// The address of the other end.
        address: SocketAddr,
        /// The time limit.
        limit: Duration,
    },
}

impl CallError {
    /// Returns whether the call may have reached the other end.
    pub fn reach(&self) -> Reach {
        match self {
            Self::Form { .. } => Reach::NotSent,
            Self::Transport { source, .. } if source.is_connect() => Reach::NotSent,
            _ => Reach::MayHaveArrived,
        }
    }
}

/// An HTTP client with a connection pool, whose connections are bound to the VM's own address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pooled: Client<Connector, Full<Bytes>>,
    unpooled: Client<Connector, Full<Bytes>>,
    unresponsive: Arc<Mutex<HashMap<SocketAddr, Instant>>>,
}

impl HttpClient {
    /// Creates a client whose connections are opened from `local` within `connect_limit`.
    pub fn new(local: Option<IpAddr>, connect_limit: Duration) -> Self {
        Self {
            pooled: build_client(local, connect_limit, usize::MAX),
            unpooled: build_client(local, connect_limit, 0),
            unresponsive: Arc::default(),
        }
    }

    /// Records that a pooled connection to `address` was unresponsive.
    ///
    /// If a network device loses the state of all open connections at once, each request on such a connection waits
    /// for its full timeout. Requests to the address therefore use new connections until all connections that were
    /// idle at this time have reached their idle timeout, so that only one request has to wait.
    pub fn mark_unresponsive(&self, address: SocketAddr) {
        self.lock_unresponsive().insert(address, Instant::now());
    }

    fn is_unresponsive(&self, address: SocketAddr) -> bool {
        let mut unresponsive = self.lock_unresponsive();
        unresponsive.retain(|_, since| since.elapsed() <= POOL_IDLE_TIMEOUT);
        unresponsive.contains_key(&address)
    }

    fn lock_unresponsive(&self) -> MutexGuard<'_, HashMap<SocketAddr, Instant>> {
        self.unresponsive.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request on a pooled connection, or on a new connection if pooled ones may be unresponsive.
    pub async fn send(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        let client = if self.is_unresponsive(address) { &self.unpooled } else { &self.pooled };
        client.request(req).await.context(TransportSnafu { address })
    }

    /// Sends a request on a new connection.
    ///
    /// If a network device loses the state of a pooled connection, every request on that connection stalls although
    /// the server works. A probe on a new connection distinguishes this case from a failed server.
    pub async fn send_fresh(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.unpooled.request(req).await.context(TransportSnafu { address })
    }

    /// Sends a request with a JSON body, or an empty one, and returns the JSON response, within `limit`.
    pub async fn call<B, A>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&B>,
        limit: Duration,
    ) -> Result<A, CallError>
    where
        B: Serialize + Sync,
        A: DeserializeOwned,
    {
        self.call_for_headers(method, address, path, body, limit).await.map(|(answer, _)| answer)
    }

    /// Like [`Self::call`], but also returns the headers of the response.
    pub async fn call_for_headers<B, A>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&B>,
        limit: Duration,
    ) -> Result<(A, HeaderMap), CallError>
    where
        B: Serialize + Sync,
        A: DeserializeOwned,
    {
        let (answer, headers) = self.call_for_bytes(method, address, path, body, limit).await?;
        let answer: &[u8] = if answer.is_empty() { b"null" } else { &answer };
        let answer = serde_json::from_slice(answer).context(DecodeSnafu { address })?;
        Ok((answer, headers))
    }

    /// Like [`Self::call_for_headers`], but returns the response's body as it is.
    pub async fn call_for_bytes<B>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&B>,
        limit: Duration,
    ) -> Result<(Bytes, HeaderMap), CallError>
    where
        B: Serialize + Sync,
    {
        let bytes = match body {
            Some(body) => serde_json::to_vec(body).context(DecodeSnafu { address })?,
            None => Vec::new(),
        };
        self.exchange(method, address, path, HeaderMap::new(), bytes.into(), limit).await
    }

    /// Sends a request with a body and returns the whole response body, within `limit`.
    pub async fn call_bytes(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, CallError> {
        self.call_with(method, address, path, HeaderMap::new(), body, limit).await
    }

    /// Sends a request with headers and a body and returns the whole response body, within `limit`.
    pub async fn call_with(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, CallError> {
        let exchange = self.exchange(method, address, path, headers, body, limit);
        exchange.await.map(|(answer, _)| answer)
    }

    async fn exchange(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        limit: Duration,
    ) -> Result<(Bytes, HeaderMap), CallError> {
        let response = self.call_for_response(method, address, path, headers, body, limit).await?;
        let (head, body) = response.into_parts();
        if head.status.is_success() {
            Ok((body, head.headers))
        } else {
            Err(CallError::Status { address, status: head.status, body })
        }
    }

    /// Sends a request with headers and a body and returns the whole response, whatever its status, within `limit`.
    pub async fn call_for_response(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        limit: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let mut req = build_request(method, address, path, body)?;
        req.headers_mut().extend(headers);
        let exchange = async {
            let response = self.send(address, req).await?;
            collect(address, response).await
        };
        let outcome = tokio::time::timeout(limit, exchange).await;
        outcome.unwrap_or_else(|_| {
            self.mark_unresponsive(address);
            Err(CallError::TimedOut { address, limit })
        })
    }

    /// Probes a server on a new connection. Returns `true` if the server sends any response within `limit`.
    pub async fn probe(&self, address: SocketAddr, path: &str, limit: Duration) -> bool {
        let Ok(req) = build_request(Method::GET, address, path, Bytes::new()) else { return false };
        let outcome = tokio::time::timeout(limit, self.send_fresh(address, req)).await;
        matches!(outcome, Ok(Ok(_)))
    }
}

/// Builds a request to an address.
pub(crate) fn build_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, CallError> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .context(FormSnafu)
}

async fn collect(
    address: SocketAddr,
    response: Response<Incoming>,
) -> Result<Response<Bytes>, CallError> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|_| CallError::Answer { address })?.to_bytes();
    Ok(Response::from_parts(head, body))
}

fn build_client(
    local: Option<IpAddr>,
    connect_limit: Duration,
    max_idle: usize,
) -> Client<Connector, Full<Bytes>> {
    let connector = Connector::new(local, connect_limit);
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(max_idle)
        .build(connector)
}
