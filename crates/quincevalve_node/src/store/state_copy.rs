//! What a VM that starts gets from others of its data centre instead of the store.
//!
//! Load: hundreds of VMs lose power together and start together. Each would read everything, and the store's link carries
//! the whole list once for each VM; until that is done every caller is refused. So a VM reads the entries of its own data
//! centre only, and asks one of the strongest for the rest.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use bincode::{DefaultOptions, Options};
use quincevalve_forwarding::{
    parts::{Assembly, Part, split},
    peer_book::vms_to_ask_at_start,
    store_pacing::ReadingPart,
};
use quincevalve_names::TimePoint;
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep},
};

use crate::{
    node::Node,
    peers::ask_for_state,
    ports::PlatformStore,
    store::{
        sync::prove,
        view::{Whole, cards, note_left_lease, peer_keys, take_whole, whole},
    },
};

/// A VM that got nothing from others for so long reads the store itself: the others start too, and read in less time.
const PATIENCE: Duration = Duration::from_millis(600);
/// Time between two questions. An answer of fifty kilobytes takes 20 ms on the slowest link.
const ASK_AGAIN: Duration = Duration::from_millis(40);
/// Questions to one VM before the next one is asked.
const QUESTIONS_EACH: u32 = 4;
/// A VM is answered once in this time: it asks again before it can have had the answer, and answers that are sent twice
/// keep those of other VMs waiting.
const ANSWER_AGAIN: Duration = Duration::from_millis(120);

/// What comes from others while this VM starts, and who asked this one.
#[derive(Debug, Default)]
pub(crate) struct StateCopy {
    wanted: bool,
    /// The VM whose answer is being put together: parts of two answers make no whole.
    teller: Option<SocketAddr>,
    assembly: Assembly,
    answered: HashMap<String, TimePoint>,
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
    let to_ask = vms_to_ask_at_start(node.peers.borrow().book.me(), &cards(&own));
    if to_ask.is_empty() {
        return;
    }
    node.state_copy.borrow_mut().wanted = true;
    let until = Instant::now() + PATIENCE;
    let in_turn =
        to_ask.iter().cycle().flat_map(|it| std::iter::repeat_n(it, QUESTIONS_EACH as usize));
    for address in in_turn {
        ask_for_state(node, socket, *address);
        sleep(ASK_AGAIN).await;
        if node.store_view.borrow().reached().is_some() || Instant::now() >= until {
            break;
        }
    }
    node.state_copy.borrow_mut().wanted = false;
}

/// What this VM knows of the store, in parts, for a start of another VM, and the age of the proof that it is the newest.
/// Nothing where this VM has no new proof itself.
pub(crate) fn parts_for(node: &Node, teller: &str, now: TimePoint) -> Vec<(Duration, Part)> {
    let longest = ReadingPart::StandBy.longest_told_age(node.settings.bounds.change_in_force);
    let Some(age) = node.freshness.get().age(now).filter(|it| *it <= longest) else {
        return Vec::new();
    };
    // What is known here must be all that the proof is for.
    if node.config().is_none_or(|it| it.version < node.told_version.get()) {
        return Vec::new();
    }
    if !node.state_copy.borrow_mut().may_answer(teller, now) {
        return Vec::new();
    }
    let Some(whole) = whole(node) else { return Vec::new() };
    match encoding().serialize(&whole) {
        // Each answer is a version of its own: what is known changes between two.
        Ok(value) => split(now.as_micros(), &value).into_iter().map(|it| (age, it)).collect(),
        Err(error) => {
            log::error!(error:% = error; "state-not-encoded");
            Vec::new()
        }
    }
}

/// Takes a part of what another VM knows; with the last one this VM knows it too, as the newest of `proved`.
pub(crate) fn take_part(node: &Node, part: Part, proved: Option<TimePoint>, from: SocketAddr) {
    let value = {
        let mut copy = node.state_copy.borrow_mut();
        if !copy.wanted {
            return;
        }
        if copy.teller.replace(from) != Some(from) {
            copy.assembly = Assembly::default();
        }
        copy.assembly.take(part)
    };
    let Some(value) = value else { return };
    let whole: Whole = match encoding().deserialize(&value) {
        Ok(whole) => whole,
        Err(error) => return log::error!(peer:% = from, error:% = error; "state-copy-unreadable"),
    };
    node.state_copy.borrow_mut().wanted = false;
    let (revision, servers) = (whole.at, whole.servers.len());
    if take_whole(node, whole) {
        log::info!(peer:% = from, revision, servers; "state-from-peer");
    }
    if let Some(proved) = proved {
        prove(node, proved);
    }
}

impl StateCopy {
    fn may_answer(&mut self, teller: &str, now: TimePoint) -> bool {
        self.answered.retain(|_, at| now.since(*at) < ANSWER_AGAIN);
        if self.answered.contains_key(teller) {
            return false;
        }
        self.answered.insert(teller.to_owned(), now);
        true
    }
}

fn encoding() -> impl Options {
    DefaultOptions::new()
}

#[cfg(test)]
mod tests;
