//! Copies the store's state from another VM of the data centre to a starting VM.
//!
//! After a power loss hundreds of VMs start together. If each read the whole store, the store's link would carry the
//! whole list once for each VM, and every caller would be rejected until then. So a starting VM reads only the entries
//! of its own data centre and requests the rest from one of the strongest VMs.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use bincode::{DefaultOptions, Options};
use quincevalve_forwarding::{
    chunk_fetch::{
        ChunkFetch, ChunkRequest, FetchStep, ServeSlots, WINDOW, fetch_timeout, source_order,
    },
    chunks::{Chunk, split_into_chunks},
    peer_table::{VmDescriptor, startup_rank, startup_sources},
    store_pacing::StoreReadRole,
};
use quincevalve_names::TimePoint;
use rand::seq::SliceRandom;
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    clock,
    node::Node,
    peers::request_state,
    ports::PlatformStore,
    store::{
        sync::confirm_freshness,
        view::{
            StoreState, apply_state, current_state, parse_descriptors, peer_key_prefix,
            record_previous_lease,
        },
    },
};

/// Base time without a chunk from other VMs after which a starting VM reads the store itself. The other VMs may be
/// starting too; those among them that read the store need less time than this.
const BASE_FETCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum interval at which the progress of a fetch is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of sources besides the strongest VMs of the data centre.
const MAX_OTHER_SOURCES: usize = 12;
/// Minimum interval between two answers to first requests of one VM. A requester retries before the answer can have
/// arrived, and duplicate answers would delay those to other VMs.
const MIN_ANSWER_INTERVAL: Duration = Duration::from_millis(120);
/// Minimum interval between two encodings of the state for first requests.
const ENCODE_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which an encoded state is kept for VMs that are fetching its chunks.
const ENCODED_TTL: Duration = Duration::from_secs(2);

/// This VM's fetch of the state while it starts, and the copies that it serves to other VMs.
#[derive(Debug, Default)]
pub(crate) struct StateCopy {
    fetch: Option<ChunkFetch>,
    encoded: VecDeque<EncodedState>,
    serve_slots: ServeSlots,
    /// When first requests were answered, by sender.
    answered_at: HashMap<String, TimePoint>,
}

/// Answer to a request of a starting VM.
#[derive(Debug)]
pub(crate) enum StateAnswer {
    /// Chunks, each with the age of the freshness confirmation of the state.
    Chunks(Vec<(Duration, Chunk)>),
    /// The VM should request the state from another source.
    Redirect {
        /// Whether this VM has the state, but is serving other VMs at present.
        serves_others: bool,
    },
}

/// This VM's view of the store at one moment, encoded for other VMs.
#[derive(Debug)]
struct EncodedState {
    encoded_at: TimePoint,
    /// The time of the freshness confirmation that held when the state was encoded.
    confirmed_at: TimePoint,
    chunks: Vec<Chunk>,
}

/// Fetches the store's state from another VM. Returns without the state if there is no source or no source answers in
/// time; this VM then has to read the store itself.
pub(crate) async fn fetch_state<S>(node: &Node, store: &S, socket: &UdpSocket)
where
    S: PlatformStore,
{
    let items = match store.system_items(&peer_key_prefix(&node.settings.data_centre)).await {
        Ok(items) => items,
        Err(error) => {
            log::debug!(error:% = error; "centre-not-read");
            return;
        }
    };
    record_previous_lease(node, &items);
    let descriptors = parse_descriptors(&items);
    let strongest = startup_sources(node.peers.borrow().table.me(), &descriptors);
    if strongest.is_empty() {
        return;
    }
    let timeout = fetch_timeout(
        BASE_FETCH_TIMEOUT,
        startup_rank(node.peers.borrow().table.me(), &descriptors),
    );
    let sources = source_order(&strongest, &other_sources(node, &descriptors, &strongest));
    node.state_copy.borrow_mut().fetch = Some(ChunkFetch::new(sources, timeout, clock::now()));
    while let Some(step) = next_step(node) {
        match step {
            FetchStep::Send { source, request } => request_state(node, socket, source, request),
            FetchStep::Wait(wait) => sleep(wait.min(POLL_INTERVAL)).await,
            FetchStep::GiveUp => break,
        }
    }
    node.state_copy.borrow_mut().fetch = None;
}

/// Returns the next step of the fetch; `None` once the state is there.
fn next_step(node: &Node) -> Option<FetchStep> {
    let is_known = node.store_view.borrow().reached().is_some();
    let mut copy = node.state_copy.borrow_mut();
    copy.fetch.as_mut().filter(|_| !is_known).map(|it| it.next(clock::now()))
}

/// Returns randomly chosen VMs of the data centre besides the strongest.
fn other_sources(
    node: &Node,
    descriptors: &[VmDescriptor],
    strongest: &[SocketAddr],
) -> Vec<SocketAddr> {
    let me = node.peers.borrow().table.me().address;
    let other_addresses = descriptors.iter().map(|it| it.address);
    let mut other_addresses: Vec<_> =
        other_addresses.filter(|it| *it != me && !strongest.contains(it)).collect();
    other_addresses.shuffle(&mut *node.rng.borrow_mut());
    other_addresses.truncate(MAX_OTHER_SOURCES);
    other_addresses
}

/// Returns the answer to a starting VM's request for state: chunks, or a redirect if this VM has no recent freshness
/// confirmation or its link is needed for other requesters.
pub(crate) fn answer_request(
    node: &Node,
    sender: &str,
    request: &ChunkRequest,
    now: TimePoint,
) -> StateAnswer {
    let mut copy = node.state_copy.borrow_mut();
    copy.encoded.retain(|it| now.since(it.encoded_at) < ENCODED_TTL);
    if request.version.is_none() && !is_confirmed_newest(node, now) {
        return StateAnswer::Redirect { serves_others: false };
    }
    if !copy.serve_slots.admit(sender, node.settings.link, now) {
        return StateAnswer::Redirect { serves_others: true };
    }
    let Some(version) = request.version else {
        return StateAnswer::Chunks(copy.first_chunks(node, sender, now));
    };
    let Some(encoded) = copy.encoded.iter().find(|it| it.version() == Some(version)) else {
        return StateAnswer::Redirect { serves_others: false };
    };
    let chunks = encoded.chunks(|at| request.chunks.contains(&at), now);
    if encoded.includes_last_chunk(&request.chunks) {
        copy.serve_slots.release(sender);
    }
    StateAnswer::Chunks(chunks)
}

/// Returns whether this VM has a recent freshness confirmation for everything that it knows.
fn is_confirmed_newest(node: &Node, now: TimePoint) -> bool {
    let max_age = StoreReadRole::Standby.max_confirmation_age(node.settings.bounds.change_in_force);
    let is_confirmed = node.freshness.get().age(now).is_some_and(|it| it <= max_age);
    // The confirmation doesn't cover a newer configuration that this VM lacks.
    is_confirmed && node.config().is_some_and(|it| it.version >= node.reported_config_version.get())
}

/// Encodes this VM's view of the store; `None` without a freshness confirmation or a complete view.
fn encode(node: &Node, now: TimePoint) -> Option<EncodedState> {
    let age = node.freshness.get().age(now)?;
    match encoding().serialize(&current_state(node)?) {
        // Each encoding has its own version, since the view changes between two of them.
        Ok(value) => Some(EncodedState {
            encoded_at: now,
            confirmed_at: now.saturating_sub(age),
            chunks: split_into_chunks(now.as_micros(), &value),
        }),
        Err(error) => {
            log::error!(error:% = error; "state-not-encoded");
            None
        }
    }
}

impl EncodedState {
    /// Returns whether these are the last chunks, so that the requester then has the whole state.
    fn includes_last_chunk(&self, wanted: &[u32]) -> bool {
        wanted.len() < WINDOW || wanted.last().map(|it| *it as usize + 1) == Some(self.chunks.len())
    }

    fn version(&self) -> Option<u64> {
        self.chunks.first().map(|it| it.version)
    }

    /// Returns the wanted chunks, each with the age of the freshness confirmation.
    fn chunks(&self, is_wanted: impl Fn(u32) -> bool, now: TimePoint) -> Vec<(Duration, Chunk)> {
        let wanted = self.chunks.iter().filter(|it| is_wanted(it.index));
        wanted.map(|it| (now.since(self.confirmed_at), it.clone())).collect()
    }
}

/// Receives a chunk of another VM's state and returns the request for the next chunks. The last missing chunk applies
/// the state, with `confirmed_at` as its freshness confirmation.
pub(crate) fn receive_chunk(
    node: &Node,
    chunk: Chunk,
    confirmed_at: Option<TimePoint>,
    from: SocketAddr,
) -> Option<ChunkRequest> {
    let now = clock::now();
    let value = {
        let mut copy = node.state_copy.borrow_mut();
        let fetch = copy.fetch.as_mut()?;
        let Some(value) = fetch.receive(from, chunk, now) else {
            return match fetch.next(now) {
                FetchStep::Send { request, .. } => Some(request),
                FetchStep::Wait(_) | FetchStep::GiveUp => None,
            };
        };
        copy.fetch = None;
        value
    };
    let state: StoreState = match encoding().deserialize(&value) {
        Ok(state) => state,
        Err(error) => {
            log::error!(peer:% = from, error:% = error; "state-copy-unreadable");
            return None;
        }
    };
    let (revision, servers) = (state.at, state.servers.len());
    if apply_state(node, state) {
        log::info!(peer:% = from, revision, servers; "state-from-peer");
    }
    if let Some(confirmed_at) = confirmed_at {
        confirm_freshness(node, confirmed_at);
    }
    None
}

/// Handles a redirect: the VM at `from` doesn't serve the state to this VM.
pub(crate) fn handle_redirect(node: &Node, from: SocketAddr, serves_others: bool) {
    if let Some(fetch) = node.state_copy.borrow_mut().fetch.as_mut() {
        fetch.redirected(from, serves_others, clock::now());
    }
}

impl StateCopy {
    /// Returns the first chunks of this VM's current view, or none if the sender was answered within
    /// [`MIN_ANSWER_INTERVAL`].
    fn first_chunks(
        &mut self,
        node: &Node,
        sender: &str,
        now: TimePoint,
    ) -> Vec<(Duration, Chunk)> {
        if !self.may_answer(sender, now) {
            return Vec::new();
        }
        let is_old = |it: &EncodedState| now.since(it.encoded_at) >= ENCODE_INTERVAL;
        if self.encoded.back().is_none_or(is_old) {
            self.encoded.extend(encode(node, now));
        }
        let newest = self.encoded.back();
        newest.map_or_else(Vec::new, |it| it.chunks(|at| (at as usize) < WINDOW, now))
    }

    /// Returns whether the sender's first request may be answered now, and records the answer.
    fn may_answer(&mut self, sender: &str, now: TimePoint) -> bool {
        self.answered_at.retain(|_, at| now.since(*at) < MIN_ANSWER_INTERVAL);
        if self.answered_at.contains_key(sender) {
            return false;
        }
        self.answered_at.insert(sender.to_owned(), now);
        true
    }
}

fn encoding() -> impl Options {
    DefaultOptions::new()
}

#[cfg(test)]
mod tests;
