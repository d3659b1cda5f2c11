//! The first step: what a request is, by its head alone.

use std::{cell::OnceCell, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, header};
use quincevalve_forwarding::{
    config::{ForwardingConfig, RetrySafety, Route},
    placement::Prompt,
    request_digest::RequestDigest,
};
use quincevalve_names::{ClientAccountName, ServiceName, hash_text};
use tokio::time::Instant;

use crate::{
    node::Node,
    ports::HeaderNames,
    request::{refusal::Refusal, trace::Trace},
};

/// The largest body, in bytes, that is hashed for each request: about 50 microseconds of a core. Larger ones are hashed
/// where a server exited under the request or some request is quarantined.
const CHEAP_BODY: usize = 64 << 10;

/// A request whose head has been read and understood.
#[derive(Debug)]
pub(crate) struct Identified {
    pub(crate) id: String,
    pub(crate) body: Bytes,
    digest: OnceCell<RequestDigest>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// The headers that go on to a server.
    pub(crate) headers: HeaderMap,
    pub(crate) config: Rc<ForwardingConfig>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) account: Option<ClientAccountName>,
    pub(crate) urgency: u8,
    pub(crate) prompt: Option<Prompt>,
    pub(crate) arrived: Instant,
    /// When the caller stops waiting, or the route's timeout ends, whichever comes first.
    pub(crate) deadline: Instant,
    pub(crate) trace: Trace,
}

impl Identified {
    pub(crate) fn repeat(&self) -> RetrySafety {
        self.route.retry_safety
    }

    /// What it asks for, by whom.
    pub(crate) fn digest(&self) -> RequestDigest {
        let path = || self.uri.path_and_query().map_or("", |it| it.as_str());
        *self.digest.get_or_init(|| RequestDigest::of(self.account.as_ref(), path(), &self.body))
    }

    /// The same, unless its body is so large that hashing it costs more than there is to gain.
    pub(crate) fn cheap_digest(&self) -> Option<RequestDigest> {
        (self.body.len() <= CHEAP_BODY).then(|| self.digest())
    }

    /// The prompt's tokens and the most that may be generated.
    pub(crate) fn token_counts(&self) -> Option<(u32, u32)> {
        self.prompt.map(|it| (it.input, it.max_output))
    }
}

/// Finds route, account and prompt of a request.
pub(crate) fn identify<B>(
    node: &Node,
    req: &Request<B>,
    arrived: Instant,
) -> Result<Identified, Refusal> {
    let names = &node.headers;
    let config =
        node.config().filter(|_| node.was_confirmed_fresh()).ok_or(Refusal::StaleConfig)?;
    let host = text(req.headers(), &header::HOST).ok_or(Refusal::Malformed)?;
    let route = config.route(without_port(host), req.uri().path());
    let route = route.ok_or_else(|| unknown(node, Refusal::NoRoute))?.clone();
    let account = account_of(node, &config, &route, req.headers())?;
    let id = text(req.headers(), &names.attempt_id).ok_or(Refusal::Malformed)?.to_owned();
    let target = route.target(hash_text(&id)).ok_or(Refusal::NoServer)?;
    let service = target.service.clone();
    let waits = number(req.headers(), &names.deadline_ms).map(Duration::from_millis);
    let limit = waits.map_or(route.timeout, |it| it.min(route.timeout));
    let urgency = account.as_ref().and_then(|it| config.accounts.get(it)?.urgency);
    Ok(Identified {
        body: Bytes::new(),
        digest: OnceCell::new(),
        method: req.method().clone(),
        uri: req.uri().clone(),
        headers: forwarded(names, req.headers()),
        prompt: prompt(names, req.headers()),
        urgency: urgency.unwrap_or(route.urgency),
        arrived,
        deadline: arrived + limit,
        id,
        config,
        route,
        service,
        account,
        trace: Trace::default(),
    })
}

/// A refusal for what isn't known here, unless it may have been added unseen.
///
/// Failure: a VM is cut off from the store while a route or a key is added. Symptom: a caller is told for
/// good that it doesn't exist. Without a new enough proof the caller is told to come back instead.
fn unknown(node: &Node, refusal: Refusal) -> Refusal {
    if node.absence_is_confirmed() { refusal } else { Refusal::StaleConfig }
}

fn account_of(
    node: &Node,
    config: &ForwardingConfig,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<ClientAccountName>, Refusal> {
    if route.anonymous || !config.has_accounts() {
        return Ok(None);
    }
    let key = text(headers, &node.headers.key);
    let account = key.and_then(|it| config.account_of_key(it));
    let account = account.ok_or_else(|| unknown(node, Refusal::UnknownKey))?;
    if !node.may_accept_keys() {
        return Err(Refusal::StaleConfig);
    }
    Ok(Some(account.clone()))
}

fn prompt(names: &HeaderNames, headers: &HeaderMap) -> Option<Prompt> {
    let counts = text(headers, &names.token_counts)?;
    let (input, output) = counts.split_once(',')?;
    let parts = text(headers, &names.prompt_parts).unwrap_or_default();
    Some(Prompt {
        input: input.trim().parse().ok()?,
        max_output: output.trim().parse().ok()?,
        expected_output: number(headers, &names.length_hint).map(|it| it as u32),
        shared: last_shared_part(parts),
    })
}

/// The last part but one: the last belongs to the request itself.
fn last_shared_part(parts: &str) -> Option<(u64, u32)> {
    let parts: Vec<_> = parts.split(',').filter_map(|it| it.trim().split_once(':')).collect();
    let (_, shared) = parts.split_last()?;
    let (id, _) = shared.last()?;
    let tokens = shared.iter().filter_map(|(_, tokens)| tokens.parse::<u32>().ok()).sum();
    Some((hash_text(id), tokens))
}

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Whether a header concerns one connection only, by its own name.
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name) || name == "keep-alive" || name == "proxy-connection"
}

/// The headers that go on to a server.
///
/// Failure: a caller sets headers that only the system may set, or lists the system's own headers as
/// belonging to its connection. Symptom: a request runs for another account, or without its id. Internal
/// headers and the key are removed, and `Connection` can't name a header that servers rely on.
fn forwarded(names: &HeaderNames, headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .map(str::trim)
        .collect();
    let is_relied_on = |name: &HeaderName| {
        [&names.attempt_id, &names.token_counts, &names.prompt_parts].contains(&name)
            || name.as_str().starts_with("x-")
            || *name == header::HOST
            || *name == names.last_event_id
    };
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_listed = listed.iter().any(|it| name.as_str().eq_ignore_ascii_case(it));
        let dropped = is_hop_by_hop(name)
            || (is_listed && !is_relied_on(name))
            || names.internal.contains(name)
            || [&names.key, &names.account, &names.expected_server].contains(&name)
            || [header::CONTENT_LENGTH, header::EXPECT].contains(name);
        if !dropped {
            kept.append(name, value.clone());
        }
    }
    kept
}

/// A header's value as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|it: &HeaderValue| it.to_str().ok())
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}

fn without_port(host: &str) -> &str {
    host.split_once(':').map_or(host, |(name, _)| name)
}
