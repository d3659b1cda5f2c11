//! Error responses for requests that get no answer, or only an incomplete one.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use quincevalve_names::{Outcome, RequestId};
use serde::Serialize;

use crate::body::EntryBody;

/// Response header that states whether a refused request may have run.
pub(crate) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("quincevalve-outcome");
/// Response header with the request's id.
pub(crate) const REQUEST_HEADER: HeaderName = HeaderName::from_static("quincevalve-request");

/// The reason why a request gets no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// A field of the request is missing or invalid.
    BadRequest {
        /// Name of the field.
        param: &'static str,
        /// Description of the problem and of the allowed values.
        message: String,
    },
    /// The API key is missing or unknown.
    Unauthorized,
    /// The path doesn't exist.
    NoSuchPath,
    /// The inventory doesn't contain the model.
    NoSuchModel,
    /// The inventory doesn't contain the service.
    NoSuchService,
    /// The request is unknown, or its answer is no longer retained.
    NoSuchRequest,
    /// The path and headers exceed the size limit.
    HeadTooLarge,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The memory for bodies is in use.
    OutOfMemory,
    /// No part of the body arrived within the timeout.
    SlowBody,
    /// The connection failed before the body was complete.
    BrokenBody,
    /// The VM's connection limit is reached.
    TooManyConnections,
    /// The account's limit of concurrent requests is reached.
    AccountLimit,
    /// The admission queue is full.
    QueueFull,
    /// The time promised by the class can't be met.
    TooLate,
    /// No server is available for the request.
    NoServer,
    /// This VM is being stopped or reclaimed.
    Leaving,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// The claim of a non-idempotent request can't be decided now.
    ClaimUnavailable,
    /// A request with this idempotency key ran or may have run, and its answer is lost.
    AlreadyClaimed,
    /// All attempts failed.
    BackendFailed,
}

impl RefusalKind {
    const fn status(&self) -> StatusCode {
        match self {
            Self::BadRequest { .. } | Self::BrokenBody => StatusCode::BAD_REQUEST,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NoSuchPath | Self::NoSuchModel | Self::NoSuchService | Self::NoSuchRequest => {
                StatusCode::NOT_FOUND
            }
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::AccountLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::AlreadyClaimed => StatusCode::CONFLICT,
            Self::BackendFailed => StatusCode::BAD_GATEWAY,
            Self::TooManyConnections
            | Self::OutOfMemory
            | Self::QueueFull
            | Self::TooLate
            | Self::NoServer
            | Self::Leaving
            | Self::ClaimUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the `code` of the error body, a stable identifier for client programs.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::BadRequest { .. } => "bad_request",
            Self::Unauthorized => "invalid_api_key",
            Self::NoSuchPath => "no_such_path",
            Self::NoSuchModel => "model_not_found",
            Self::NoSuchService => "service_not_found",
            Self::NoSuchRequest => "request_not_found",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::OutOfMemory => "out_of_memory",
            Self::SlowBody => "body_too_slow",
            Self::BrokenBody => "body_broken_off",
            Self::TooManyConnections => "too_many_connections",
            Self::AccountLimit => "account_limit",
            Self::QueueFull => "queue_full",
            Self::TooLate => "promise_cannot_be_kept",
            Self::NoServer => "no_server",
            Self::Leaving => "leaving",
            Self::KeyReused => "idempotency_key_reused",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::AlreadyClaimed => "already_claimed",
            Self::BackendFailed => "backend_failed",
        }
    }

    fn error_type(&self) -> &'static str {
        match self.status() {
            StatusCode::UNAUTHORIZED => "authentication_error",
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        }
    }

    const fn param(&self) -> Option<&'static str> {
        match self {
            Self::BadRequest { param, .. } => Some(param),
            Self::NoSuchModel => Some("model"),
            _ => None,
        }
    }
}

impl fmt::Display for RefusalKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::BadRequest { message, .. } => message,
            Self::Unauthorized => "no API key, or an unknown one: send `Authorization: Bearer KEY`",
            Self::NoSuchPath => "no such path",
            Self::NoSuchModel => "no such model; GET /v1/models lists them",
            Self::NoSuchService => "no such service",
            Self::NoSuchRequest => "no such request, or its answer is no longer kept",
            Self::HeadTooLarge => "the head is larger than this VM takes",
            Self::BodyTooLarge => "the body is larger than this VM takes",
            Self::OutOfMemory => "the memory for bodies is in use",
            Self::SlowBody => "the body stopped arriving",
            Self::BrokenBody => "the body broke off",
            Self::TooManyConnections => "too many connections are open",
            Self::AccountLimit => "the account has as many requests in flight as it may",
            Self::QueueFull => "too many requests wait",
            Self::TooLate => "the promised time can't be kept now",
            Self::NoServer => "no server can take the request now",
            Self::Leaving => "this VM is leaving; connect again",
            Self::KeyReused => "the idempotency key was used for another request",
            Self::ClaimUnavailable => "the claim can't be settled now",
            Self::AlreadyClaimed => "a request with this idempotency key ran or may have run",
            Self::BackendFailed => "every attempt failed",
        };
        f.write_str(text)
    }
}

/// An error response, which states whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub kind: RefusalKind,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Delay before a retry, if one may succeed.
    pub retry_after: Option<Duration>,
    /// The request's id, if one was assigned.
    pub request: Option<RequestId>,
}

impl From<RefusalKind> for Refusal {
    fn from(kind: RefusalKind) -> Self {
        Self { kind, outcome: Outcome::NotRun, retry_after: None, request: None }
    }
}

impl Refusal {
    pub(crate) fn new(kind: RefusalKind, outcome: Outcome) -> Self {
        Self { outcome, ..Self::from(kind) }
    }

    pub(crate) fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    pub(crate) fn with_request(self, request: RequestId) -> Self {
        Self { request: Some(request), ..self }
    }

    /// Returns the error body in the format of the OpenAI API.
    pub(crate) fn to_json(&self) -> Bytes {
        let error = ErrorBody {
            error: ErrorFields {
                message: self.kind.to_string(),
                r#type: self.kind.error_type(),
                param: self.kind.param(),
                code: self.kind.code(),
                outcome: self.outcome,
            },
        };
        // Encoding these types can't fail. The status and the outcome header don't depend on the body.
        serde_json::to_vec(&error).unwrap_or_default().into()
    }

    pub(crate) fn into_response(self) -> Response<EntryBody> {
        let mut response = Response::new(EntryBody::full(self.to_json()));
        *response.status_mut() = self.kind.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(self.outcome.as_str()));
        if let Some(delay) = self.retry_after {
            let seconds = delay.as_secs_f64().ceil().max(1.0) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Some(id) = self.request {
            insert_request_id(headers, id);
        }
        response
    }
}

pub(crate) fn insert_request_id(headers: &mut http::HeaderMap, id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(REQUEST_HEADER, value);
    }
}

#[derive(Serialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Serialize)]
struct ErrorFields {
    message: String,
    r#type: &'static str,
    param: Option<&'static str>,
    code: &'static str,
    outcome: Outcome,
}
