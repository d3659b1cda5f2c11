//! HTTP client of the administration API.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use quincevalve_ports::{CallError, HttpClient, Reach};
use serde_json::Value;
use snafu::{ResultExt, Snafu};

/// Maximum time to connect to the control process.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time to send the request and receive the whole response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// A call without a complete, valid response.
#[derive(Debug, Snafu)]
pub(crate) enum ClientError {
    #[snafu(display("{source}"))]
    Call { source: CallError },
    #[snafu(display("{server}: no complete response; run `change ID` to query the outcome"))]
    IncompleteResponse { server: SocketAddr },
    #[snafu(display("{server}: invalid JSON: {source}"))]
    InvalidJson { server: SocketAddr, source: serde_json::Error },
}

impl ClientError {
    /// Returns whether the request was certainly not sent, so that it had no effect.
    pub(crate) fn is_not_sent(&self) -> bool {
        matches!(self, Self::Call { source } if source.reach() == Reach::NotSent)
    }
}

/// A response of the administration API.
pub(crate) struct ApiResponse {
    pub(crate) status: StatusCode,
    /// Configuration revision from the `ETag` header.
    pub(crate) etag: Option<u64>,
    pub(crate) body: Value,
}

/// A client of the administration API of one control process.
pub(crate) struct Client {
    pub(crate) address: SocketAddr,
    /// Bearer token that authorizes the operator.
    pub(crate) key: String,
}

impl Client {
    /// Sends one request on a connection of its own and reads the whole response.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: String,
    ) -> Result<ApiResponse, ClientError> {
        let server = self.address;
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{server}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));
        for (name, value) in headers {
            builder = builder.header(*name, value);
        }
        let req = builder.body(Full::new(Bytes::from(body)));
        let req = req.map_err(|source| CallError::Form { source }).context(CallSnafu)?;
        let http = HttpClient::new(None, CONNECT_TIMEOUT);
        let exchange = async {
            let response = http.send_fresh(server, req).await.context(CallSnafu)?;
            let (parts, body) = response.into_parts();
            let body =
                body.collect().await.map_err(|_| ClientError::IncompleteResponse { server })?;
            let body = serde_json::from_slice(&body.to_bytes());
            let etag = parts.headers.get(header::ETAG).and_then(|it| it.to_str().ok());
            let etag = etag.and_then(|it| it.trim_matches('"').parse().ok());
            let body = body.context(InvalidJsonSnafu { server })?;
            Ok(ApiResponse { status: parts.status, etag, body })
        };
        let result = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await;
        result.unwrap_or(Err(ClientError::IncompleteResponse { server }))
    }
}
