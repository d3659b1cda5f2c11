//! A caller's request to go on with a stream that broke off.

use http::HeaderMap;
use quincevalve_forwarding::config::RetrySafety;

use crate::{ports::HeaderNames, request::identify::header_text};

/// What a caller states about the stream that its request takes up again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Resumption {
    /// Id of the attempt that brought the stream's first event, if the caller names it.
    pub(crate) attempt: Option<String>,
    /// Id of the last event that the caller got; empty if it names none.
    pub(crate) after: String,
}

impl Resumption {
    /// Reads the statement from a request's headers; `None` if the request begins a new stream.
    pub(crate) fn of(
        names: &HeaderNames,
        headers: &HeaderMap,
        retry_safety: RetrySafety,
    ) -> Option<Self> {
        let is_stated = [&names.resumes, &names.last_event_id];
        if !retry_safety.is_stream() || !is_stated.iter().any(|it| headers.contains_key(*it)) {
            return None;
        }
        let attempt = header_text(headers, &names.resumes).map(str::trim);
        let after = header_text(headers, &names.last_event_id).unwrap_or_default().to_owned();
        Some(Self { attempt: attempt.filter(|it| !it.is_empty()).map(str::to_owned), after })
    }
}
