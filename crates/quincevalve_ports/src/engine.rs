//! Messages and client of the model engines' API.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Response};
use hyper::body::Incoming;
use quincevalve_names::{FencingNumber, Incarnation, ModelName, RequestId, Sequence};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::http_client::{self, CallError, HttpClient};

/// Response header: the engine's incarnation.
pub const INCARNATION_HEADER: &str = "engine-incarnation";
/// Response header: `leaving` once the engine accepts no new requests.
pub const STATE_HEADER: &str = "engine-state";
/// Response header of a refusal: `no` if the engine guarantees that the request did not run.
pub const RAN_HEADER: &str = "engine-ran";
/// The value of [`STATE_HEADER`] on a leaving engine.
pub const STATE_LEAVING: &str = "leaving";
/// The type of the event that confirms the end of an answer.
pub const END_EVENT: &str = "end";

/// A request to generate an answer, or to resume its generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Generate {
    /// The request's id, under which the engine stores its state for resumption.
    pub request_id: RequestId,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// A hash of the prompt's shared prefix.
    pub prefix: u64,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The priority; requests with a higher value run first.
    pub priority: u8,
    /// The position of the first token to return. The engine generates from there, or resumes.
    pub from: Sequence,
    /// The exported KV cache to fetch, if there is one.
    pub import: Option<KvHandle>,
}

/// A KV cache that an engine exported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KvHandle {
    /// The engine that exported it.
    pub source: SocketAddr,
    /// The request whose state the cache holds.
    pub request_id: RequestId,
    /// Number of tokens, of prompt and answer, that the cache covers.
    pub tokens: u32,
}

/// One generated token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenEvent<'a> {
    /// The request's id. An event with the id of another request does not belong to the stream.
    pub id: RequestId,
    /// The position in the answer.
    pub seq: Sequence,
    /// The token's text.
    #[serde(borrow)]
    pub text: std::borrow::Cow<'a, str>,
}

/// The engine's confirmation that an answer is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndEvent {
    /// The request.
    pub id: RequestId,
    /// Number of tokens of the complete answer, including those from earlier servers.
    pub tokens: u32,
}

/// An engine's report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineLoad {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued prompt tokens.
    pub queued_tokens: u32,
    /// Whether the engine no longer accepts new requests.
    pub leaving: bool,
}

/// A change in an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// The event's number. A gap in the numbers means that an event was lost.
    pub number: u64,
    /// The prefix.
    pub prefix: u64,
    /// Whether the engine now has the prefix in its cache.
    pub holds: bool,
}

/// The kind of work that an engine performs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Processes prompts and generates tokens.
    #[default]
    Both,
    /// Processes prompts only.
    Prompt,
    /// Generates tokens only.
    Generation,
}

/// The desired state of an engine. Sending it is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    /// The sender's fencing number.
    pub fencing: FencingNumber,
    /// The model to load.
    pub model: ModelName,
    /// The version of the model to load.
    pub version: String,
    /// The adapters to load.
    pub adapters: Vec<String>,
    /// The role to assume.
    pub role: Role,
}

/// The current state of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineState {
    /// The order that the engine currently follows.
    pub order: Option<EngineOrder>,
}

/// The error for a failed call to an engine.
#[derive(Debug, Snafu)]
pub enum EngineError {
    /// The call failed.
    #[snafu(display("engine: {source}"))]
    Call {
        /// The cause.
        source: CallError,
    },
    /// The request body can't be serialized.
    #[snafu(display("engine: order: {source}"))]
    Encode {
        /// The cause.
        source: serde_json::Error,
    },
}

/// A client of model engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Creates a client.
    pub const fn new(http: HttpClient) -> Self {
        Self { http }
    }

    /// Returns the underlying HTTP client.
    pub const fn http(&self) -> &HttpClient {
        &self.http
    }

    /// Sends a request to generate. The response is a stream of events.
    pub async fn generate(
        &self,
        address: SocketAddr,
        order: &Generate,
    ) -> Result<Response<Incoming>, EngineError> {
        let body = serde_json::to_vec(order).context(EncodeSnafu)?;
        let req =
            http_client::build_request(Method::POST, address, "/v1/generate", Bytes::from(body))
                .context(CallSnafu)?;
        self.http.send(address, req).await.context(CallSnafu)
    }

    /// Cancels the generation of an answer. Cancelling is idempotent.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        id: RequestId,
        limit: Duration,
    ) -> Result<(), EngineError> {
        let path = format!("/v1/cancel/{id}");
        self.http.call(Method::POST, address, &path, None::<&()>, limit).await.context(CallSnafu)
    }

    /// Makes the engine export a request's KV cache, so that another engine can fetch it.
    pub async fn export(
        &self,
        address: SocketAddr,
        id: RequestId,
        limit: Duration,
    ) -> Result<KvHandle, EngineError> {
        let path = format!("/v1/kv/{id}/export");
        self.http.call(Method::POST, address, &path, None::<&()>, limit).await.context(CallSnafu)
    }

    /// Reads the engine's load report.
    pub async fn load(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<EngineLoad, EngineError> {
        self.http
            .call(Method::GET, address, "/v1/load", None::<&()>, limit)
            .await
            .context(CallSnafu)
    }

    /// Reads the cache events with a number above `after`.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
        limit: Duration,
    ) -> Result<Vec<CacheEvent>, EngineError> {
        let path = format!("/v1/cache-events?after={after}");
        self.http.call(Method::GET, address, &path, None::<&()>, limit).await.context(CallSnafu)
    }

    /// Sends the desired state and returns the current one.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        limit: Duration,
    ) -> Result<EngineState, EngineError> {
        self.http
            .call(Method::PUT, address, "/v1/state", Some(order), limit)
            .await
            .context(CallSnafu)
    }

    /// Reads the current state of the engine.
    pub async fn state(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<EngineState, EngineError> {
        self.http
            .call(Method::GET, address, "/v1/state", None::<&()>, limit)
            .await
            .context(CallSnafu)
    }
}
