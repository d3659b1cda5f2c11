//! Everything that another entry VM needs to go on with a request.

use bytes::Bytes;
use quincevalve_inventory::Execution;
use quincevalve_names::{
    BackendServerName, ClassName, ClientAccountName, IdempotencyKey, ModelName, RequestId,
    ServiceName,
};
use serde::{Deserialize, Serialize};

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// An answer of a language model.
    Generate(Generation),
    /// A call of a plain service.
    Call(Call),
}

/// A question to a language model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Generation {
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
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The service.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: String,
    /// The path and query below the service.
    pub path: String,
    /// The headers that are passed on.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Bytes,
}

/// The form in which the caller wants the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerForm {
    /// A stream of chat chunks.
    ChatStream,
    /// One chat answer.
    ChatWhole,
    /// A stream of text chunks.
    TextStream,
    /// One text answer.
    TextWhole,
    /// A service's bytes.
    Bytes,
}

/// How far a request has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// No byte of it has gone to a backend server.
    Waiting,
    /// It was sent to a backend server and may be running there.
    Dispatched {
        /// The server that has it.
        server: BackendServerName,
    },
    /// The answer is whole.
    Complete,
    /// It ended without a whole answer; it may have run.
    MayHaveRun,
}

/// The record of one accepted request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerRecord {
    /// The request.
    pub id: RequestId,
    /// Whose it is.
    pub account: ClientAccountName,
    /// Its class.
    pub class: ClassName,
    /// The caller's key, if any.
    pub key: Option<IdempotencyKey>,
    /// Whether it may be repeated.
    pub execution: Execution,
    /// What it asks for.
    pub work: Work,
    /// The form of the answer.
    pub form: AnswerForm,
    /// How far it has come.
    pub state: RecordState,
    /// The answer's tokens so far.
    pub tokens: Vec<String>,
    /// The status of a service's answer, 0 until it is known.
    pub status: u16,
    /// The headers of a service's answer.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The bytes of a service's whole answer.
    pub bytes: Bytes,
    /// Milliseconds since it arrived.
    pub age_ms: u64,
}

impl AnswerRecord {
    /// Whether another entry VM may send the request to a backend server.
    ///
    /// A non-idempotent call that was sent may have run; sending it again could run it twice. A model
    /// engine keeps a generation under the request's id, so going on there isn't a second run.
    pub fn may_go_on(&self) -> bool {
        match (&self.state, &self.work) {
            (RecordState::Waiting, _) | (RecordState::Dispatched { .. }, Work::Generate(_)) => true,
            (RecordState::Dispatched { .. }, Work::Call(_)) => {
                self.execution == Execution::Idempotent
            }
            (RecordState::Complete | RecordState::MayHaveRun, _) => false,
        }
    }
}
