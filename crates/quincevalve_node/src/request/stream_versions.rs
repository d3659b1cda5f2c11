//! Keeps requests at the version that began their stream.

use std::time::Duration;

use quincevalve_forwarding::{
    config::RetrySafety,
    placement::Placement,
    stream_versions::{
        KnownVersion, QueryStep, StreamKey, VersionQuery, VersionTag, messages::StreamMessage,
    },
};
use quincevalve_names::hash_text;
use tokio::time::{Instant, timeout};

use crate::{
    clock,
    node::Node,
    peers::{replicate_records, send_stream_message},
    request::{
        identify::IdentifiedRequest,
        refusal::{OTHER_VM_RETRY_AFTER, Refusal, Refused},
        resumption::Resumption,
        trace::log_request,
    },
};

/// Retry time of a caller whose stream's version has no server at present: one may be starting.
const VERSION_GONE_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// Added to the time for which a caller may take its stream up, for its last attempt's way to a VM.
const RECORD_MARGIN: Duration = Duration::from_secs(1);

/// Restricts a request that takes up a stream to the version that began it, or refuses the request.
pub(crate) async fn restrict_to_version(
    node: &Node,
    req: &IdentifiedRequest,
) -> Result<(), Refused> {
    let Some(resumption) = &req.resumption else { return Ok(()) };
    let resumes = resumption.attempt.as_deref().unwrap_or_default();
    log_request!(node, req, resumes = resumes, after = &resumption.after; "stream-taken-up");
    let key = key_of(req, resumption);
    let known = {
        let versions = node.streams.versions.borrow();
        versions.version_of(key, &req.service, node.view_confirmed_at(), clock::now())
    };
    let found = match known {
        KnownVersion::Recorded(tag) => Ok(Found { tag, by: "record", peer: String::new() }),
        KnownVersion::Sole(tag) => Ok(Found { tag, by: "sole", peer: String::new() }),
        KnownVersion::Unknown => query(node, req, key).await,
    };
    let (result, outcome) = match found {
        Ok(Found { tag, by, peer }) => {
            let versions = node.streams.versions.borrow();
            match versions.version_with_tag(&req.service, tag) {
                Some(version) => {
                    log_request!(node, req, version = version, by = by, peer = peer; "stream-version");
                    // The cell is empty: a request takes up one stream, once.
                    let _ = req.stream_version.set(version.clone());
                    (by, Ok(()))
                }
                None => ("gone", Err(Refused { refusal: Refusal::VersionGone, retry_after: None })),
            }
        }
        Err(retry_after) => {
            ("unknown", Err(Refused { refusal: Refusal::StreamUnknown, retry_after }))
        }
    };
    node.metrics.count_resumption(req.service.as_str(), result);
    outcome
}

/// The version that began a stream, and who knew it.
struct Found {
    tag: VersionTag,
    by: &'static str,
    /// The VM that was queried; empty if this VM knew it.
    peer: String,
}

/// Returns the refusal of a request whose stream began at a version without a server.
pub(crate) fn version_gone_refusal() -> Refused {
    Refused { refusal: Refusal::VersionGone, retry_after: Some(VERSION_GONE_RETRY_AFTER) }
}

/// Records that the first event of a request's stream is about to go to its caller, and replicates it if other VMs may
/// need to know.
pub(crate) fn record_first_event(node: &Node, req: &IdentifiedRequest, place: &Placement) {
    // A request that takes a stream up is at its version already.
    let _ = req.stream_version.set(place.version.clone());
    if req.retry_safety() != RetrySafety::ResumableStream {
        return;
    }
    let now = clock::now();
    let tag = VersionTag::of(&req.service, &place.version);
    let waits = req.caller_waits_until.saturating_duration_since(Instant::now());
    let replicated = node.streams.versions.borrow_mut().record_begun(
        own_key(req),
        &req.service,
        tag,
        waits + RECORD_MARGIN,
        now,
    );
    replicate_records(node, replicated.as_slice());
}

/// Records that a request's stream went to its caller whole.
pub(crate) fn record_whole(node: &Node, req: &IdentifiedRequest) {
    node.streams.versions.borrow_mut().record_completed(own_key(req));
}

/// Returns the key under which a request's stream may be taken up.
fn own_key(req: &IdentifiedRequest) -> StreamKey {
    let named = req.resumption.as_ref().and_then(|it| key_of(req, it));
    named.unwrap_or_else(|| StreamKey::of(&req.id, &req.route.name, req.account.as_ref()))
}

fn key_of(req: &IdentifiedRequest, resumption: &Resumption) -> Option<StreamKey> {
    let attempt = resumption.attempt.as_deref()?;
    Some(StreamKey::of(attempt, &req.route.name, req.account.as_ref()))
}

/// Queries the VMs that should know the version of a stream. If none does, returns when its caller should try again: another
/// VM may reach those that didn't answer here.
async fn query(
    node: &Node,
    req: &IdentifiedRequest,
    key: Option<StreamKey>,
) -> Result<Found, Option<Duration>> {
    let placed_by = key.map_or_else(|| hash_text(req.service.as_str()), |it| it.0);
    let query = {
        let peers = node.peers.borrow();
        VersionQuery::to_replicas(&peers.table, placed_by, clock::now())
    };
    let query = node.streams.begin_query(query);
    loop {
        let now = clock::now();
        let until = match query.pending.step(now) {
            QueryStep::Send(vms, until) => {
                for vm in &vms {
                    let service = req.service.clone();
                    send_stream_message(
                        node,
                        vm,
                        StreamMessage::Query { seq: query.seq, key, service },
                    );
                }
                until
            }
            QueryStep::Wait(until) => until,
            QueryStep::Version(tag) => {
                let peer = query.pending.known_by().unwrap_or_default();
                return Ok(Found { tag, by: "peer", peer });
            }
            QueryStep::Unknown | QueryStep::Unanswered => {
                let (queried, silent) = query.pending.counts();
                log_request!(node, req, asked = queried, silent = silent; "stream-version-unknown");
                return Err((silent > 0).then_some(OTHER_VM_RETRY_AFTER));
            }
        };
        // Whether an answer came or the time is over, the next step says what to do.
        let _ = timeout(until.since(now).max(MIN_STEP), query.pending.answered()).await;
    }
}

/// Minimum wait between two steps of a query; the runtime's timer ticks in milliseconds.
const MIN_STEP: Duration = Duration::from_millis(1);
