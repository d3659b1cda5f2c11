//! How many requests of each account began to run, by window of true time.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use quincevalve_names::ClientAccountName;
use serde::{Deserialize, Serialize};

/// The number of a window: windows of one length follow each other since 1970.
pub type Window = u64;

/// Counts of one source, by window and account.
pub type Counts = BTreeMap<Window, IndexMap<ClientAccountName, u64>>;

/// Windows kept after they have ended: enough to report late and to survive a change of holder.
const KEPT: u64 = 4;

/// The counts of all sources, as one holder of the duties keeps them for the next.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// The VM and its start that counted, and what it counted.
    sources: Vec<(String, u64, Counts)>,
}

/// This entry VM's own counts and, by incarnation, those that its peers told last.
///
/// Failure: an entry VM is killed with counts that it has not reported. Symptom: the window's report is
/// short. Counts are told to peers as running totals several times a second, and a peer's last totals are
/// kept after it has gone.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    own: Counts,
    peers: IndexMap<(String, u64), Counts>,
    /// True time at each peer when it sent its newest digest, in milliseconds.
    told: IndexMap<String, i64>,
}

impl Usage {
    /// Notes a request that began to run.
    pub fn began(&mut self, window: Window, account: &ClientAccountName) {
        *self.own.entry(window).or_default().entry(account.clone()).or_default() += 1;
        self.forget_before(window.saturating_sub(KEPT));
    }

    /// This VM's own counts, for its peers.
    pub fn own(&self) -> &Counts {
        &self.own
    }

    /// Takes a peer's running totals; lower ones come from reordered messages and change nothing.
    pub fn heard(&mut self, peer: &str, incarnation: u64, counts: &Counts, sent_ms: i64) {
        let told = self.told.entry(peer.to_owned()).or_insert(sent_ms);
        *told = sent_ms.max(*told);
        merge(self.peers.entry((peer.to_owned(), incarnation)).or_default(), counts);
    }

    /// The part of a window's counts that may still be told, where each of these peers and this VM has an equal
    /// share. The window began at `begin_ms` of true time; a peer has told all of it that sent a digest at
    /// `since_ms` or later.
    ///
    /// Failure: a digest waits at a busy VM. Symptom: it is heard after a window's end and taken for whole,
    /// though it was sent before. The time of sending counts.
    ///
    /// Failure: one of many VMs is gone for good, and its entry still stands. Symptom: reports wait for it, and are
    /// lost when the holder goes too. Who waits knows how little is lacking.
    pub fn missing_part<'a>(
        &self,
        peers: impl Iterator<Item = &'a str>,
        begin_ms: i64,
        since_ms: i64,
    ) -> f64 {
        let length = (since_ms - begin_ms).max(1) as f64;
        let mut sources = 1.0;
        let mut missing = 0.0;
        for peer in peers {
            let told = self.told.get(peer).copied().unwrap_or(begin_ms);
            sources += 1.0;
            missing += (since_ms - told.max(begin_ms)).max(0) as f64 / length;
        }
        missing / sources
    }

    /// What is known of windows from `since` on, for a successor. `me` is this VM and its start.
    ///
    /// Failure: all VMs are killed at the same moment, with windows that have ended and are not reported. Symptom:
    /// their reports say that nothing began. What one holder knew outlives all VMs in the store.
    pub fn keep(&self, me: (&str, u64), since: Window) -> Kept {
        let newer = |counts: &Counts| -> Counts {
            counts.range(since..).map(|(window, it)| (*window, it.clone())).collect()
        };
        let own = std::iter::once((me.0.to_owned(), me.1, newer(&self.own)));
        let peers = self.peers.iter();
        let peers = peers.map(|((name, start), it)| (name.clone(), *start, newer(it)));
        Kept { sources: own.chain(peers).filter(|(.., counts)| !counts.is_empty()).collect() }
    }

    /// Takes what a holder before kept. Each source's totals only grow, so what is known of it already stays.
    pub fn recall(&mut self, kept: Kept, me: (&str, u64)) {
        for (name, start, counts) in kept.sources {
            if (name.as_str(), start) != me {
                merge(self.peers.entry((name, start)).or_default(), &counts);
            }
        }
    }

    /// The sum of a window over all sources.
    pub fn total(&self, window: Window) -> IndexMap<ClientAccountName, u64> {
        let mut sum = IndexMap::new();
        let sources = std::iter::once(&self.own).chain(self.peers.values());
        for (account, count) in sources.filter_map(|it| it.get(&window)).flatten() {
            *sum.entry(account.clone()).or_default() += count;
        }
        sum
    }

    fn forget_before(&mut self, window: Window) {
        for counts in std::iter::once(&mut self.own).chain(self.peers.values_mut()) {
            *counts = counts.split_off(&window);
        }
        self.peers.retain(|_, counts| !counts.is_empty());
    }
}

/// Takes running totals of a source; lower ones than known change nothing.
fn merge(known: &mut Counts, counts: &Counts) {
    for (window, accounts) in counts {
        let known = known.entry(*window).or_default();
        for (account, count) in accounts {
            let total = known.entry(account.clone()).or_default();
            *total = (*total).max(*count);
        }
    }
}
