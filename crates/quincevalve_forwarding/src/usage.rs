//! How many requests of each account began to run, by window of true time.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use quincevalve_names::ClientAccountName;

/// The number of a window: windows of one length follow each other since 1970.
pub type Window = u64;

/// Counts of one source, by window and account.
pub type Counts = BTreeMap<Window, IndexMap<ClientAccountName, u64>>;

/// Windows kept after they have ended: enough to report late and to survive a change of holder.
const KEPT: u64 = 4;

/// This entry VM's own counts and, by incarnation, those that its peers told last.
///
/// Failure: an entry VM is killed with counts that it has not reported. Symptom: the window's report is
/// short. Counts are told to peers as running totals several times a second, and a peer's last totals are
/// kept after it has gone.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    own: Counts,
    peers: IndexMap<(String, u64), Counts>,
    /// True time at each peer when it sent its newest telling, in milliseconds.
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
        let known = self.peers.entry((peer.to_owned(), incarnation)).or_default();
        for (window, accounts) in counts {
            let known = known.entry(*window).or_default();
            for (account, count) in accounts {
                let total = known.entry(account.clone()).or_default();
                *total = (*total).max(*count);
            }
        }
    }

    /// The part of a window's counts that may still be told, where each of these peers and this VM has an equal
    /// share. The window began at `begin_ms` of true time; a peer has told all of it that sent a telling at
    /// `since_ms` or later.
    ///
    /// Failure: a telling waits at a busy VM. Symptom: it is heard after a window's end and taken for whole,
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
