//! The HTTP client that all ports share.

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

const IDLE_LIMIT: Duration = Duration::from_secs(20);
const MAX_ANSWER_BYTES: usize = 2 << 20;

/// How far a failed call can have got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// No byte of it can have reached the other end.
    NotSent,
    /// It may have arrived.
    MayHaveArrived,
}

/// A call that failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The request can't be formed.
    #[snafu(display("request: {source}"))]
    Form {
        /// Why.
        source: http::Error,
    },
    /// The transport failed.
    #[snafu(display("{address}: {source}"))]
    Transport {
        /// The other end.
        address: SocketAddr,
        /// Why.
        source: hyper_util::client::legacy::Error,
    },
    /// The answer broke off or is too large.
    #[snafu(display("{address}: answer broke off"))]
    Answer {
        /// The other end.
        address: SocketAddr,
    },
    /// The answer isn't what the port expects.
    #[snafu(display("{address}: unreadable answer: {source}"))]
    Decode {
        /// The other end.
        address: SocketAddr,
        /// Why.
        source: serde_json::Error,
    },
    /// The other end answered with an error status.
    #[snafu(display("{address}: status {status}"))]
    Status {
        /// The other end.
        address: SocketAddr,
        /// The status.
        status: StatusCode,
        /// The body.
        body: Bytes,
    },
    /// No answer within the limit.
    #[snafu(display("{address}: no answer within {limit:?}"))]
    TimedOut {
        /// The other end.
        address: SocketAddr,
        /// The limit.
        limit: Duration,
    },
}

impl CallError {
    /// How far the call can have got.
    pub fn reach(&self) -> Reach {
        match self {
            Self::Form { .. } => Reach::NotSent,
            Self::Transport { source, .. } if source.is_connect() => Reach::NotSent,
            _ => Reach::MayHaveArrived,
        }
    }
}

/// A pooled client, bound to the VM's own address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pooled: Client<Connector, Full<Bytes>>,
    fresh: Client<Connector, Full<Bytes>>,
    silent: Arc<Mutex<HashMap<SocketAddr, Instant>>>,
}

impl HttpClient {
    /// Makes a client whose connections leave from `local`.
    pub fn new(local: Option<IpAddr>, connect_limit: Duration) -> Self {
        Self {
            pooled: build(local, connect_limit, usize::MAX),
            fresh: build(local, connect_limit, 0),
            silent: Arc::default(),
        }
    }

    /// Notes that a pooled connection to `address` gave no answer.
    ///
    /// Failure: something on the way lost track of all open connections at once. Symptom: each request
    /// waits its limit on one of them before it learns that. Until every connection that was idle then
    /// has timed out, requests to the address take new ones; so one request waits, and the others don't.
    pub fn mark_unresponsive(&self, address: SocketAddr) {
        self.lock_silent().insert(address, Instant::now());
    }

    fn is_silent(&self, address: SocketAddr) -> bool {
        let mut silent = self.lock_silent();
        silent.retain(|_, since| since.elapsed() <= IDLE_LIMIT);
        silent.contains_key(&address)
    }

    fn lock_silent(&self) -> MutexGuard<'_, HashMap<SocketAddr, Instant>> {
        self.silent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request on a pooled connection, or on a new one where pooled ones may be silent.
    pub async fn send(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        let client = if self.is_silent(address) { &self.fresh } else { &self.pooled };
        client.request(req).await.context(TransportSnafu { address })
    }

    /// Sends a request on a new connection.
    ///
    /// Failure: something between the two ends forgot a pooled connection, and requests on it get no
    /// answer, while the other end is well. Symptom: every request that the pool gives that connection
    /// stalls. A probe on a new connection tells that apart from a dead server.
    pub async fn send_fresh(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.fresh.request(req).await.context(TransportSnafu { address })
    }

    /// Calls with a JSON body, or none, and reads a JSON answer within `limit`.
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
        let bytes = match body {
            Some(body) => serde_json::to_vec(body).context(DecodeSnafu { address })?,
            None => Vec::new(),
        };
        let answer = self.call_bytes(method, address, path, bytes.into(), limit).await?;
        let answer: &[u8] = if answer.is_empty() { b"null" } else { &answer };
        serde_json::from_slice(answer).context(DecodeSnafu { address })
    }

    /// Calls with bytes and reads the whole answer within `limit`.
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

    /// Calls with headers and bytes, and reads the whole answer within `limit`.
    pub async fn call_with(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, CallError> {
        let mut req = form(method, address, path, body)?;
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

    /// Probes a server on a new connection: `true` if it answers at all within `limit`.
    pub async fn probe(&self, address: SocketAddr, path: &str, limit: Duration) -> bool {
        let Ok(req) = form(Method::GET, address, path, Bytes::new()) else { return false };
        let outcome = tokio::time::timeout(limit, self.send_fresh(address, req)).await;
        matches!(outcome, Ok(Ok(_)))
    }
}

/// Forms a request to an address.
pub(crate) fn form(
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

async fn collect(address: SocketAddr, response: Response<Incoming>) -> Result<Bytes, CallError> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|_| CallError::Answer { address })?.to_bytes();
    if status.is_success() { Ok(body) } else { Err(CallError::Status { address, status, body }) }
}

fn build(
    local: Option<IpAddr>,
    connect_limit: Duration,
    idle: usize,
) -> Client<Connector, Full<Bytes>> {
    let connector = Connector::new(local, connect_limit);
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_LIMIT)
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(idle)
        .build(connector)
}
