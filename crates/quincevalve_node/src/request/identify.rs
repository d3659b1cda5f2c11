//! Identifies a request from its head: its route, account, service and prompt.

use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, header};
use quincevalve_forwarding::{
    config::{ForwardingConfig, RetrySafety, Route},
    peer_forwarding::TakenRequest,
    placement::Prompt,
    prompt_parts::{PartDigest, shared_parts},
    request_digest::RequestDigest,
};
use quincevalve_names::{ClientAccountName, ServerVersion, ServiceName, hash_text};
use tokio::time::Instant;

use crate::{
    node::Node,
    ports::HeaderNames,
    request::{
        forwarded::Forwarded, held_body::HeldBody, refusal::Refusal, resumption::Resumption,
        trace::Trace,
    },
};

/// Maximum size, in bytes, of a body that is hashed for every request. Hashing that much takes about 50 microseconds of
/// CPU time. Larger bodies are hashed only if a server exits while it processes the request, or if any request is
/// quarantined.
const MAX_CHEAP_BODY: usize = 64 << 10;

/// A request whose route, account and prompt are known.
#[derive(Debug)]
pub(crate) struct IdentifiedRequest {
    pub(crate) id: String,
    pub(crate) body: HeldBody,
    digest: OnceCell<RequestDigest>,
    parts: OnceCell<Vec<PartDigest>>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// The headers that are forwarded to a server.
    pub(crate) headers: HeaderMap,
    pub(crate) config: Rc<ForwardingConfig>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) account: Option<ClientAccountName>,
    pub(crate) urgency: u8,
    pub(crate) prompt: Option<Prompt>,
    /// The parts of the prompt as the caller lists them.
    prompt_parts: Option<String>,
    pub(crate) arrived: Instant,
    /// The end of the caller's wait or of the route's timeout, whichever comes first.
    pub(crate) deadline: Instant,
    /// The end of the caller's wait, in which it may take a stream up.
    pub(crate) caller_waits_until: Instant,
    pub(crate) trace: Trace,
    /// Whether the request was sent to a server, so that it may have run.
    pub(crate) was_sent: Cell<bool>,
    /// What the peer states that forwarded the request; `None` if it came from its caller.
    pub(crate) forwarded: Option<Forwarded>,
    /// The stream that the request takes up again; `None` if it begins a new one.
    pub(crate) resumption: Option<Resumption>,
    /// The version that began the stream, once it is known.
    pub(crate) stream_version: OnceCell<ServerVersion>,
    /// Counts the request as processed for a peer.
    _taken: Option<TakenRequest>,
}

impl IdentifiedRequest {
    /// Adds the body, which arrives after the head.
    pub(crate) fn with_body(self, body: HeldBody) -> Self {
        Self { body, ..self }
    }

    pub(crate) fn retry_safety(&self) -> RetrySafety {
        self.route.retry_safety
    }

    /// Returns the digest of the account, the path with its query, and the body.
    pub(crate) fn digest(&self) -> RequestDigest {
        let path = || self.uri.path_and_query().map_or("", |it| it.as_str());
        *self
            .digest
            .get_or_init(|| RequestDigest::of(self.account.as_ref(), path(), self.body.pieces()))
    }

    /// Returns the digest, or `None` if hashing the body would cost more than the digest is worth.
    pub(crate) fn digest_if_cheap(&self) -> Option<RequestDigest> {
        (self.body.len() <= MAX_CHEAP_BODY).then(|| self.digest())
    }

    /// Returns the parts of its prompt that other requests may share.
    pub(crate) fn parts(&self) -> &[PartDigest] {
        self.parts.get_or_init(|| {
            let listed = self.prompt_parts.as_deref().unwrap_or_default();
            shared_parts(&self.service, listed)
        })
    }

    /// Returns the number of prompt tokens and the maximum number of generated tokens.
    pub(crate) fn token_counts(&self) -> Option<(u32, u32)> {
        self.prompt.map(|it| (it.input, it.max_output))
    }
}

/// Finds the route, account, service and prompt of a request.
pub(crate) fn identify<B>(
    node: &Node,
    req: &Request<B>,
    arrived: Instant,
) -> Result<IdentifiedRequest, Refusal> {
    let (config, route) = find_route(node, req)?;
    let account = find_account(node, &config, &route, req.headers())?;
    identify_of_account(node, req, arrived, config, route, account)
}

/// Identifies a request that a peer forwards, for the account that the peer has found.
pub(crate) fn identify_forwarded<B>(
    node: &Node,
    req: &Request<B>,
    arrived: Instant,
    forwarded: Forwarded,
    taken: TakenRequest,
) -> Result<IdentifiedRequest, Refusal> {
    let (config, route) = find_route(node, req)?;
    let account = header_text(req.headers(), &node.headers.account).map(ClientAccountName::from);
    // The account may have been removed by a newer configuration than the peer's.
    if account.as_ref().is_some_and(|it| !config.accounts.contains_key(it)) {
        return Err(Refusal::StaleConfig);
    }
    let identified = identify_of_account(node, req, arrived, config, route, account)?;
    Ok(IdentifiedRequest { forwarded: Some(forwarded), _taken: Some(taken), ..identified })
}

fn find_route<B>(
    node: &Node,
    req: &Request<B>,
) -> Result<(Rc<ForwardingConfig>, Arc<Route>), Refusal> {
    let config =
        node.config().filter(|_| node.was_confirmed_fresh()).ok_or(Refusal::StaleConfig)?;
    let host = header_text(req.headers(), &header::HOST).ok_or(Refusal::Malformed)?;
    let route = config.route(strip_port(host), req.uri().path());
    let route = route.ok_or_else(|| unknown_refusal(node, Refusal::NoRoute))?.clone();
    Ok((config, route))
}

fn identify_of_account<B>(
    node: &Node,
    req: &Request<B>,
    arrived: Instant,
    config: Rc<ForwardingConfig>,
    route: Arc<Route>,
    account: Option<ClientAccountName>,
) -> Result<IdentifiedRequest, Refusal> {
    let names = &node.headers;
    let id = header_text(req.headers(), &names.attempt_id).ok_or(Refusal::Malformed)?.to_owned();
    let resumption = Resumption::of(names, req.headers(), route.retry_safety);
    // A stream goes on at the service that its first attempt was sent to.
    let first_attempt = resumption.as_ref().and_then(|it| it.attempt.as_deref()).unwrap_or(&id);
    let target = route.target(hash_text(first_attempt)).ok_or(Refusal::NoServer)?;
    let service = target.service.clone();
    let caller_timeout =
        header_number(req.headers(), &names.deadline_ms).map(Duration::from_millis);
    let timeout = caller_timeout.map_or(route.timeout, |it| it.min(route.timeout));
    let urgency = account.as_ref().and_then(|it| config.accounts.get(it)?.urgency);
    Ok(IdentifiedRequest {
        body: HeldBody::default(),
        digest: OnceCell::new(),
        parts: OnceCell::new(),
        method: req.method().clone(),
        uri: req.uri().clone(),
        headers: forwarded_headers(names, req.headers()),
        prompt: prompt(names, req.headers()),
        prompt_parts: header_text(req.headers(), &names.prompt_parts).map(str::to_owned),
        resumption,
        stream_version: OnceCell::new(),
        urgency: urgency.unwrap_or(route.urgency),
        arrived,
        deadline: arrived + timeout,
        caller_waits_until: arrived + caller_timeout.unwrap_or(route.timeout),
        id,
        config,
        route,
        service,
        account,
        trace: Trace::default(),
        was_sent: Cell::new(false),
        forwarded: None,
        _taken: None,
    })
}

/// Returns the refusal for a route or key that this VM doesn't know, or [`Refusal::StaleConfig`] if it may have been
/// added without this VM's knowledge.
///
/// If a route or key is added while this VM is partitioned from the store, a final refusal would wrongly state that it
/// doesn't exist. Without a recent freshness confirmation the caller is asked to retry instead.
fn unknown_refusal(node: &Node, refusal: Refusal) -> Refusal {
    if node.absence_is_confirmed() { refusal } else { Refusal::StaleConfig }
}

/// Finds the account of the request's key. Routes for anonymous callers need none.
fn find_account(
    node: &Node,
    config: &ForwardingConfig,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<ClientAccountName>, Refusal> {
    if route.anonymous || !config.has_accounts() {
        return Ok(None);
    }
    let key = header_text(headers, &node.headers.key);
    let account = key.and_then(|it| config.account_of_key(it));
    let account = account.ok_or_else(|| unknown_refusal(node, Refusal::UnknownKey))?;
    if !node.may_accept_keys() {
        return Err(Refusal::StaleConfig);
    }
    Ok(Some(account.clone()))
}

fn prompt(names: &HeaderNames, headers: &HeaderMap) -> Option<Prompt> {
    let counts = header_text(headers, &names.token_counts)?;
    let (input, output) = counts.split_once(',')?;
    let segments = header_text(headers, &names.prompt_parts).unwrap_or_default();
    Some(Prompt {
        input: input.trim().parse().ok()?,
        max_output: output.trim().parse().ok()?,
        expected_output: header_number(headers, &names.length_hint).map(|it| it as u32),
        shared: last_shared_segment(segments),
    })
}

/// Returns the hash of the last shared segment's id, and the number of tokens up to its end. The last segment in the
/// header belongs to the request alone.
fn last_shared_segment(segments: &str) -> Option<(u64, u32)> {
    let segments: Vec<_> = segments.split(',').filter_map(|it| it.trim().split_once(':')).collect();
    let (_, shared) = segments.split_last()?;
    let (id, _) = shared.last()?;
    let tokens = shared.iter().filter_map(|(_, tokens)| tokens.parse::<u32>().ok());
    let tokens = tokens.fold(0, u32::saturating_add);
    Some((hash_text(id), tokens))
}

/// Hop-by-hop headers, which apply to a single connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns whether a header is hop-by-hop by its name, regardless of the `Connection` header.
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name) || name == "keep-alive" || name == "proxy-connection"
}

/// Returns the headers that are forwarded to a server.
///
/// If callers could set headers that are reserved for the system, or list the system's headers in `Connection`, a
/// request could run for another account or without its id. So internal headers and the key are removed, and
/// `Connection` can't remove a header that servers rely on.
fn forwarded_headers(names: &HeaderNames, headers: &HeaderMap) -> HeaderMap {
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
            || [&names.last_event_id, &names.resumes].contains(&name)
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

/// Returns a header's value as text, or `None` if it is missing or not visible ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|it: &HeaderValue| it.to_str().ok())
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.trim().parse().ok()
}

fn strip_port(host: &str) -> &str {
    host.split_once(':').map_or(host, |(name, _)| name)
}
