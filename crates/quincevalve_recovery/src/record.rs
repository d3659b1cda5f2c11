//! The state that another entry VM needs to continue a request.

use bytes::Bytes;
use quincevalve_inventory::Execution;
use quincevalve_names::{
    BackendServerName, ClassName, ClientAccountName, IdempotencyKey, ModelName, RequestId,
    ServiceName,
};
use serde::{Deserialize, Serialize};

/// The work that a request asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// Text generation by a language model.
    Generate(Generation),
    /// A call of a plain service.
    Call(Call),
}

/// A request to a language model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Generation {
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// A hash of the prompt's shared prefix.
    pub prefix: u64,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The service.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: String,
    /// The path and query, relative to the service.
    pub path: String,
    /// The headers that are forwarded.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Bytes,
}

/// The form in which the caller wants the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerForm {
    /// A stream of chat chunks.
    ChatStream,
    /// A single chat answer.
    ChatWhole,
    /// A stream of text chunks.
    TextStream,
    /// A single text answer.
    TextWhole,
    /// The bytes of a service's response.
    Bytes,
}

/// The progress of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// No byte of the request was sent to a backend server.
    Waiting,
    /// The request was sent to a backend server and may be running there.
    Dispatched {
        /// The server that the request was sent to.
        server: BackendServerName,
    },
    /// The answer is complete.
    Complete,
    /// The request ended without a complete answer and may have run.
    MayHaveRun,
}

/// The record of one accepted request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerRecord {
    /// The id of the request.
    pub id: RequestId,
    /// The account of the caller.
    pub account: ClientAccountName,
    /// The request's class.
    pub class: ClassName,
    /// The caller's idempotency key, if any.
    pub key: Option<IdempotencyKey>,
    /// Whether the request is idempotent.
    pub execution: Execution,
    /// The requested work.
    pub work: Work,
    /// The form of the answer.
    pub form: AnswerForm,
    /// The progress of the request.
    pub state: RecordState,
    /// The tokens of the answer so far.
    pub tokens: Vec<String>,
    /// The HTTP status of a service's answer; 0 until it is known.
    pub status: u16,
    /// The headers of a service's answer.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body of a service's complete answer.
    pub bytes: Bytes,
    /// Time since the request arrived, in milliseconds.
    pub age_ms: u64,
}

impl AnswerRecord {
    /// Returns whether another entry VM may send the request to a backend server.
    ///
    /// A non-idempotent call that was sent may have run; a retry could run it twice. A model engine keeps a generation
    /// under the request's id, so continuing it there isn't a second run.
    pub fn may_resume(&self) -> bool {
        match (&self.state, &self.work) {
            (RecordState::Waiting, _) | (RecordState::Dispatched { .. }, Work::Generate(_)) => true,
            (RecordState::Dispatched { .. }, Work::Call(_)) => {
                self.execution == Execution::Idempotent
            }
            (RecordState::Complete | RecordState::MayHaveRun, _) => false,
        }
    }
}
