//! What a VM that starts gets from others of its data centre instead of the store.
//!
//! Load: hundreds of VMs lose power together and start together. Each would read everything, and the store's link carries
//! the whole list once for each VM; until that is done every caller is refused. So a VM reads the entries of its own data
//! centre only, and asks one of the strongest for the rest.

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
    peers::ask_for_state,
    ports::PlatformStore,
    store::{
        sync::prove,
        view::{Whole, cards, note_left_lease, peer_keys, take_whole, whole},
    },
};

/// A VM to which nothing came from others for so long reads the store itself: the others start too, and those that read it
/// take less time.
const PATIENCE: Duration = Duration::from_millis(600);
/// The longest pause between two looks whether something came.
const LOOK: Duration = Duration::from_millis(20);
/// VMs that are asked beside the strongest of the data centre.
const OTHER_SOURCES: usize = 12;
/// A VM that asks anew is answered once in this time: it asks again before it can have had the answer, and answers that are
/// sent twice keep those of other VMs waiting.
const ANSWER_AGAIN: Duration = Duration::from_millis(120);
/// What is given to those that ask anew is encoded once in this time.
const ENCODE_AGAIN: Duration = Duration::from_millis(200);
/// For so long its parts are kept for those that have begun to ask for them.
const KEEP_ENCODED: Duration = Duration::from_secs(2);

/// What comes from others while this VM starts, and what this one gives to others.
#[derive(Debug, Default)]
pub(crate) struct StateCopy {
    fetch: Option<ChunkFetch>,
    given: VecDeque<Given>,
    served: ServeSlots,
    answered: HashMap<String, TimePoint>,
}

/// What this VM answers to one that starts.
#[derive(Debug)]
pub(crate) enum StateAnswer {
    /// Parts, each with the age of the proof that it is of the newest.
    Parts(Vec<(Duration, Chunk)>),
    /// Another should be asked.
    SendOn {
        /// Whether this VM knows all, and only serves others at present.
        serves_others: bool,
    },
}

/// What this VM knew of the store at some moment, for others.
#[derive(Debug)]
struct Given {
    encoded_at: TimePoint,
    /// Since when it is proved to be the newest.
    proved: TimePoint,
    parts: Vec<Chunk>,
}

/// Gets what is known of the store from another VM. Where nobody can be asked or answers in time, this VM has to read the
/// store itself.
pub(crate) async fn fetch_state<S>(node: &Node, store: &S, socket: &UdpSocket)
where
    S: PlatformStore,
{
    let own = match store.own_items(&peer_keys(&node.settings.data_centre)).await {
        Ok(own) => own,
        Err(error) => {
            log::debug!(error:% = error; "centre-not-read");
            return;
        }
    };
    note_left_lease(node, &own);
    let cards = cards(&own);
    let first = startup_sources(node.peers.borrow().book.me(), &cards);
    if first.is_empty() {
        return;
    }
    let patience = fetch_timeout(PATIENCE, startup_rank(node.peers.borrow().book.me(), &cards));
    let sources = source_order(&first, &others(node, &cards, &first));
    node.state_copy.borrow_mut().fetch = Some(ChunkFetch::new(sources, patience, clock::now()));
    while let Some(step) = next_step(node) {
        match step {
            FetchStep::Send { source, request } => ask_for_state(node, socket, source, request),
            FetchStep::Wait(wait) => sleep(wait.min(LOOK)).await,
            FetchStep::GiveUp => break,
        }
    }
    node.state_copy.borrow_mut().fetch = None;
}

/// What to do next to get it; `None` once it is there.
fn next_step(node: &Node) -> Option<FetchStep> {
    let is_known = node.store_view.borrow().reached().is_some();
    let mut copy = node.state_copy.borrow_mut();
    copy.fetch.as_mut().filter(|_| !is_known).map(|it| it.next(clock::now()))
}

/// Some VMs of the data centre beside the strongest.
fn others(node: &Node, cards: &[VmDescriptor], first: &[SocketAddr]) -> Vec<SocketAddr> {
    let me = node.peers.borrow().book.me().address;
    let others = cards.iter().map(|it| it.address);
    let mut others: Vec<_> = others.filter(|it| *it != me && !first.contains(it)).collect();
    others.shuffle(&mut *node.rng.borrow_mut());
    others.truncate(OTHER_SOURCES);
    others
}

/// What a VM that starts gets of what this one knows of the store. Nothing where this VM has no new proof itself, and where
/// its link is needed for others.
pub(crate) fn answer_for(
    node: &Node,
    sender: &str,
    wanted: &ChunkRequest,
    now: TimePoint,
) -> StateAnswer {
    let mut copy = node.state_copy.borrow_mut();
    copy.given.retain(|it| now.since(it.encoded_at) < KEEP_ENCODED);
    if wanted.version.is_none() && !is_newest(node, now) {
        return StateAnswer::SendOn { serves_others: false };
    }
    if !copy.served.admit(sender, node.settings.link, now) {
        return StateAnswer::SendOn { serves_others: true };
    }
    let Some(version) = wanted.version else {
        return StateAnswer::Parts(copy.first_parts(node, sender, now));
    };
    let Some(given) = copy.given.iter().find(|it| it.version() == Some(version)) else {
        return StateAnswer::SendOn { serves_others: false };
    };
    let parts = given.parts(|at| wanted.chunks.contains(&at), now);
    if given.is_end(&wanted.chunks) {
        copy.served.release(sender);
    }
    StateAnswer::Parts(parts)
}

/// Whether this VM has a new proof that what it knows is the newest.
fn is_newest(node: &Node, now: TimePoint) -> bool {
    let longest = StoreReadRole::Standby.max_confirmation_age(node.settings.bounds.change_in_force);
    let is_proved = node.freshness.get().age(now).is_some_and(|it| it <= longest);
    // What is known here must be all that the proof is for.
    is_proved && node.config().is_some_and(|it| it.version >= node.told_version.get())
}

fn encode(node: &Node, now: TimePoint) -> Option<Given> {
    let age = node.freshness.get().age(now)?;
    match encoding().serialize(&whole(node)?) {
        // What is encoded at another moment is a version of its own: what is known changes.
        Ok(value) => Some(Given {
            encoded_at: now,
            proved: now.earlier_by(age),
            parts: split_into_chunks(now.as_micros(), &value),
        }),
        Err(error) => {
            log::error!(error:% = error; "state-not-encoded");
            None
        }
    }
}

impl Given {
    /// Whether these are the last parts, so that whoever asks for them has all others.
    fn is_end(&self, wanted: &[u32]) -> bool {
        wanted.len() < WINDOW || wanted.last().map(|it| *it as usize + 1) == Some(self.parts.len())
    }

    fn version(&self) -> Option<u64> {
        self.parts.first().map(|it| it.version)
    }

    /// The parts at these places, and the age of the proof.
    fn parts(&self, is_wanted: impl Fn(u32) -> bool, now: TimePoint) -> Vec<(Duration, Chunk)> {
        let wanted = self.parts.iter().filter(|it| is_wanted(it.index));
        wanted.map(|it| (now.since(self.proved), it.clone())).collect()
    }
}

/// Takes a part of what another VM knows, and returns the parts to ask for next. With the last one this VM knows it too, as
/// the newest of `proved`.
pub(crate) fn take_part(
    node: &Node,
    part: Chunk,
    proved: Option<TimePoint>,
    from: SocketAddr,
) -> Option<ChunkRequest> {
    let now = clock::now();
    let value = {
        let mut copy = node.state_copy.borrow_mut();
        let fetch = copy.fetch.as_mut()?;
        let Some(value) = fetch.receive(from, part, now) else {
            return match fetch.next(now) {
                FetchStep::Send { request, .. } => Some(request),
                FetchStep::Wait(_) | FetchStep::GiveUp => None,
            };
        };
        copy.fetch = None;
        value
    };
    let whole: Whole = match encoding().deserialize(&value) {
        Ok(whole) => whole,
        Err(error) => {
            log::error!(peer:% = from, error:% = error; "state-copy-unreadable");
            return None;
        }
    };
    let (revision, servers) = (whole.at, whole.servers.len());
    if take_whole(node, whole) {
        log::info!(peer:% = from, revision, servers; "state-from-peer");
    }
    if let Some(proved) = proved {
        prove(node, proved);
    }
    None
}

/// Takes it that a VM sends this one on to another.
pub(crate) fn sent_on(node: &Node, from: SocketAddr, serves_others: bool) {
    if let Some(fetch) = node.state_copy.borrow_mut().fetch.as_mut() {
        fetch.redirected(from, serves_others, clock::now());
    }
}

impl StateCopy {
    /// The first parts of the newest that this VM knows.
    fn first_parts(&mut self, node: &Node, sender: &str, now: TimePoint) -> Vec<(Duration, Chunk)> {
        if !self.may_answer(sender, now) {
            return Vec::new();
        }
        let is_old = |it: &Given| now.since(it.encoded_at) >= ENCODE_AGAIN;
        if self.given.back().is_none_or(is_old) {
            self.given.extend(encode(node, now));
        }
        let newest = self.given.back();
        newest.map_or_else(Vec::new, |it| it.parts(|at| (at as usize) < WINDOW, now))
    }

    fn may_answer(&mut self, sender: &str, now: TimePoint) -> bool {
        self.answered.retain(|_, at| now.since(*at) < ANSWER_AGAIN);
        if self.answered.contains_key(sender) {
            return false;
        }
        self.answered.insert(sender.to_owned(), now);
        true
    }
}

fn encoding() -> impl Options {
    DefaultOptions::new()
}

#[cfg(test)]
mod tests;
