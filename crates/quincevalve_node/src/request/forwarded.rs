//! The header with which a VM forwards a request to a peer, and the one with which the peer refuses it.

use http::{HeaderMap, HeaderName, HeaderValue};

use crate::request::refusal::Refusal;

/// Header of a request that a VM forwards to a peer.
const FORWARDED: HeaderName = HeaderName::from_static("quincevalve-forwarded");
/// Header of a peer's own answer to a forwarded request, with the name of the refusal.
const REFUSED: HeaderName = HeaderName::from_static("quincevalve-refused");

/// More servers than any route allows. A larger number would overflow with those that follow.
const MAX_RUNS: u32 = 1_000;

/// What a VM states about a request that it forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Forwarded {
    /// Version of the configuration by which the VM accepted the request.
    pub(crate) config_version: u64,
    /// Number of servers that may have run the request.
    pub(crate) runs: u32,
    /// Whether the VM has counted the request in its retry budget and its demand.
    pub(crate) is_counted: bool,
}

impl Forwarded {
    /// Adds the header.
    pub(crate) fn write(self, headers: &mut HeaderMap) {
        let text = format!("{},{},{}", self.config_version, self.runs, u8::from(self.is_counted));
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(FORWARDED, value);
        }
    }

    /// Removes the header and decodes it; `None` if it is missing or malformed.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(FORWARDED)?;
        let mut fields = value.to_str().ok()?.split(',');
        let forwarded = Self {
            config_version: fields.next()?.parse().ok()?,
            runs: fields.next()?.parse::<u32>().ok()?.min(MAX_RUNS),
            is_counted: fields.next()? == "1",
        };
        fields.next().is_none().then_some(forwarded)
    }
}

/// Marks an answer as a peer's own refusal.
pub(crate) fn mark_refused(headers: &mut HeaderMap, refusal: Refusal) {
    headers.insert(REFUSED, HeaderValue::from_static(refusal.name()));
}

/// Returns the refusal if an answer is a peer's own. An unknown refusal of a newer peer counts as a server's failure.
pub(crate) fn peer_refusal(headers: &HeaderMap) -> Option<Refusal> {
    let name = headers.get(REFUSED)?.to_str().unwrap_or_default();
    Some(Refusal::from_name(name).unwrap_or(Refusal::ServerFailed))
}

#[cfg(test)]
mod tests;
