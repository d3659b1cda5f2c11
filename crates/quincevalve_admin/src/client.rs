//! Calls of the administration API.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use quincevalve_ports::{CallError, HttpClient, Reach};
use serde_json::Value;
use snafu::{ResultExt, Snafu};

const CONNECT: Duration = Duration::from_secs(2);
const ANSWER: Duration = Duration::from_secs(15);

/// A call that got no answer.
#[derive(Debug, Snafu)]
pub(crate) enum ClientError {
    #[snafu(display("{source}"))]
    Call { source: CallError },
    #[snafu(display("{server}: no whole answer; ask `change ID` what became of it"))]
    NoAnswer { server: SocketAddr },
    #[snafu(display("{server}: not JSON: {source}"))]
    Unreadable { server: SocketAddr, source: serde_json::Error },
}

impl ClientError {
    /// Whether the call can't have arrived.
    pub(crate) fn is_not_sent(&self) -> bool {
        matches!(self, Self::Call { source } if source.reach() == Reach::NotSent)
    }
}

/// An answer.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) etag: Option<u64>,
    pub(crate) body: Value,
}

/// A client of one control process.
pub(crate) struct Client {
    pub(crate) server: SocketAddr,
    pub(crate) key: String,
}

impl Client {
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: String,
    ) -> Result<Answer, ClientError> {
        let server = self.server;
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{server}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));
        for (name, value) in headers {
            builder = builder.header(*name, value);
        }
        let req = builder.body(Full::new(Bytes::from(body)));
        let req = req.map_err(|source| CallError::Form { source }).context(CallSnafu)?;
        let http = HttpClient::new(None, CONNECT);
        let exchange = async {
            let response = http.send_fresh(server, req).await.context(CallSnafu)?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|_| ClientError::NoAnswer { server })?;
            let body = serde_json::from_slice(&body.to_bytes());
            let etag = parts.headers.get(header::ETAG).and_then(|it| it.to_str().ok());
            let etag = etag.and_then(|it| it.trim_matches('"').parse().ok());
            let body = body.context(UnreadableSnafu { server })?;
            Ok(Answer { status: parts.status, etag, body })
        };
        let answered = tokio::time::timeout(ANSWER, exchange).await;
        answered.unwrap_or(Err(ClientError::NoAnswer { server }))
    }
}
