//! The model engines' interface: messages and client.

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
/// Response header: `leaving` once the engine takes no new work.
pub const STATE_HEADER: &str = "engine-state";
/// Response header of a refusal: `no` where the engine knows that nothing ran.
pub const RAN_HEADER: &str = "engine-ran";
/// The value of [`STATE_HEADER`] on a leaving engine.
pub const STATE_LEAVING: &str = "leaving";
/// The kind of the event that confirms the end of an answer.
pub const END_EVENT: &str = "end";

/// An order to generate, or to go on generating.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Generate {
    /// The request; the engine keeps its state under this id for resuming.
    pub request_id: RequestId,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// A hash of the prompt's shared prefix.
    pub prefix: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// Higher goes first.
    pub priority: u8,
    /// The first token wanted; the engine computes from there, or resumes.
    pub from: Sequence,
    /// Where the KV cache can be fetched, if it was exported.
    pub import: Option<KvHandle>,
}

/// A KV cache that an engine exported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KvHandle {
    /// The engine that exported it.
    pub source: SocketAddr,
    /// The request whose state it is.
    pub request_id: RequestId,
    /// Tokens, of prompt and answer, that it covers.
    pub tokens: u32,
}

/// One generated token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenEvent<'a> {
    /// The request; an event of another request is foreign.
    pub id: RequestId,
    /// The position in the answer.
    pub seq: Sequence,
    /// The token's text.
    #[serde(borrow)]
    pub text: std::borrow::Cow<'a, str>,
}

/// The engine's confirmation that an answer is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndEvent {
    /// The request.
    pub id: RequestId,
    /// Tokens of the whole answer, those of earlier servers included.
    pub tokens: u32,
}

/// An engine's report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineLoad {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// Requests running.
    pub running: u32,
    /// Prompt tokens waiting.
    pub queued_tokens: u32,
    /// Whether the engine takes no new work.
    pub leaving: bool,
}

/// A change in an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// The event's number; a gap in the numbers is a lost event.
    pub number: u64,
    /// The prefix.
    pub prefix: u64,
    /// Whether the engine holds it now.
    pub holds: bool,
}

/// What an engine works on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompts and tokens.
    #[default]
    Both,
    /// Prompts only.
    Prompt,
    /// Tokens only.
    Generation,
}

/// Desired state of an engine. Sending it twice changes nothing more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    /// The sender's fencing number.
    pub fencing: FencingNumber,
    /// The model and version to hold.
    pub model: ModelName,
    /// The version.
    pub version: String,
    /// Adapters to hold.
    pub adapters: Vec<String>,
    /// The role.
    pub role: Role,
}

/// What an engine holds now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineState {
    /// The order in force.
    pub order: Option<EngineOrder>,
}

/// A call to an engine that failed.
#[derive(Debug, Snafu)]
pub enum EngineError {
    /// The call failed.
    #[snafu(display("engine: {source}"))]
    Call {
        /// Why.
        source: CallError,
    },
    /// The order can't be written.
    #[snafu(display("engine: order: {source}"))]
    Encode {
        /// Why.
        source: serde_json::Error,
    },
}

/// A client of model engines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Makes a client.
    pub const fn new(http: HttpClient) -> Self {
        Self { http }
    }

    /// The HTTP client below.
    pub const fn http(&self) -> &HttpClient {
        &self.http
    }

    /// Sends an order to generate; the answer is a stream of events.
    pub async fn generate(
        &self,
        address: SocketAddr,
        order: &Generate,
    ) -> Result<Response<Incoming>, EngineError> {
        let body = serde_json::to_vec(order).context(EncodeSnafu)?;
        let req = http_client::form(Method::POST, address, "/v1/generate", Bytes::from(body))
            .context(CallSnafu)?;
        self.http.send(address, req).await.context(CallSnafu)
    }

    /// Cancels a request's generation. Cancelling twice is the same as once.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        id: RequestId,
        limit: Duration,
    ) -> Result<(), EngineError> {
        let path = format!("/v1/cancel/{id}");
        self.http.call(Method::POST, address, &path, None::<&()>, limit).await.context(CallSnafu)
    }

    /// Asks the engine to make a request's KV cache ready for another engine to fetch.
    pub async fn export(
        &self,
        address: SocketAddr,
        id: RequestId,
        limit: Duration,
    ) -> Result<KvHandle, EngineError> {
        let path = format!("/v1/kv/{id}/export");
        self.http.call(Method::POST, address, &path, None::<&()>, limit).await.context(CallSnafu)
    }

    /// Reads the load report.
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

    /// Reads cache events after a number.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
        limit: Duration,
    ) -> Result<Vec<CacheEvent>, EngineError> {
        let path = format!("/v1/cache-events?after={after}");
        self.http.call(Method::GET, address, &path, None::<&()>, limit).await.context(CallSnafu)
    }

    /// Sends desired state.
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

    /// Reads back what the engine holds.
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
