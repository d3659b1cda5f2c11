//! Counts of the requests of each account that began to run, by window of wall-clock time.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use quincevalve_names::ClientAccountName;
use serde::{Deserialize, Serialize};

/// Number of a window: windows have the same length and are numbered from 1970.
pub type Window = u64;

/// Counts of one source, by window and account.
pub type Counts = BTreeMap<Window, IndexMap<ClientAccountName, u64>>;

/// Number of windows retained after their end: enough for late reports and for a change of the duty holder.
const RETAINED_WINDOWS: u64 = 4;

/// The counts of all sources, as one holder of the duties stores them for the next.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageSnapshot {
    /// Name and incarnation of each VM, with its counts.
    sources: Vec<(String, u64, Counts)>,
}

/// This entry VM's own counts and the newest counts that its peers reported, by incarnation.
///
/// If an entry VM is killed, counts that only it knows would be missing from the window's report. Each VM therefore
/// sends its running totals to its peers several times a second, and these retain a peer's last totals after it is
/// gone.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    own: Counts,
    peers: IndexMap<(String, u64), Counts>,
    /// Wall-clock time in milliseconds at which each peer sent its newest digest.
    newest_sent_ms: IndexMap<String, i64>,
    /// The newest window of which any VM may have sent the report; 0 while none is known.
    reported_upto: Window,
}

impl Usage {
    /// Counts a request that began to run.
    pub fn record_start(&mut self, window: Window, account: &ClientAccountName) {
        *self.own.entry(window).or_default().entry(account.clone()).or_default() += 1;
        self.drop_windows_before(window.saturating_sub(RETAINED_WINDOWS));
    }

    /// Records that the report of a window may have been sent, by this VM or by another.
    ///
    /// The store may lose the report that its holder wrote before it sent it. If only the store were asked, the next
    /// holder would report the window again, with other counts.
    pub fn record_reported(&mut self, window: Window) {
        self.reported_upto = self.reported_upto.max(window);
    }

    /// Returns the newest window of which any VM may have sent the report; 0 while none is known.
    pub fn reported_upto(&self) -> Window {
        self.reported_upto
    }

    /// Returns this VM's own counts, for its peers.
    pub fn own(&self) -> &Counts {
        &self.own
    }

    /// Merges a peer's running totals. Lower totals come from reordered messages and change nothing.
    pub fn merge_peer_totals(
        &mut self,
        peer: &str,
        incarnation: u64,
        counts: &Counts,
        sent_ms: i64,
    ) {
        let newest_sent_ms = self.newest_sent_ms.entry(peer.to_owned()).or_insert(sent_ms);
        *newest_sent_ms = sent_ms.max(*newest_sent_ms);
        merge(self.peers.entry((peer.to_owned(), incarnation)).or_default(), counts);
    }

    /// Returns the fraction of a window's counts that may not have been reported yet, assuming that this VM and each of
    /// `peers` have an equal share of them. The window began at wall-clock time `begin_ms`; a peer that sent a digest
    /// at `since_ms` or later has reported all of its counts.
    ///
    /// The time of sending counts, not the time of receipt: a digest that waits at a busy VM may be received after the
    /// window's end although it was sent before, and is incomplete.
    ///
    /// When one of many VMs fails for good while its entry still exists, reports that wait for it would be lost if the
    /// holder fails too. The returned fraction lets the holder decide that too little is missing to wait for.
    pub fn missing_fraction<'a>(
        &self,
        peers: impl Iterator<Item = &'a str>,
        begin_ms: i64,
        since_ms: i64,
    ) -> f64 {
        let length = (since_ms - begin_ms).max(1) as f64;
        let mut sources = 1.0;
        let mut missing = 0.0;
        for peer in peers {
            let sent_ms = self.newest_sent_ms.get(peer).copied().unwrap_or(begin_ms);
            sources += 1.0;
            missing += (since_ms - sent_ms.max(begin_ms)).max(0) as f64 / length;
        }
        missing / sources
    }

    /// Returns all known counts of windows from `since` on, to be stored for a successor. `me` is the name and
    /// incarnation of this VM.
    ///
    /// If all VMs are killed at the same time after windows have ended but before they are reported, the reports would
    /// state that no request began. The snapshot in the store survives the loss of all VMs.
    pub fn snapshot(&self, me: (&str, u64), since: Window) -> UsageSnapshot {
        let from_since = |counts: &Counts| -> Counts {
            counts.range(since..).map(|(window, it)| (*window, it.clone())).collect()
        };
        let own = std::iter::once((me.0.to_owned(), me.1, from_since(&self.own)));
        let peers = self.peers.iter();
        let peers =
            peers.map(|((name, incarnation), it)| (name.clone(), *incarnation, from_since(it)));
        UsageSnapshot {
            sources: own.chain(peers).filter(|(.., counts)| !counts.is_empty()).collect(),
        }
    }

    /// Merges the snapshot of a previous holder. Each source's totals only grow, so higher totals that are already
    /// known remain.
    pub fn restore(&mut self, snapshot: UsageSnapshot, me: (&str, u64)) {
        for (name, incarnation, counts) in snapshot.sources {
            if (name.as_str(), incarnation) != me {
                merge(self.peers.entry((name, incarnation)).or_default(), &counts);
            }
        }
    }

    /// Returns the counts of a window, summed over all sources.
    pub fn total(&self, window: Window) -> IndexMap<ClientAccountName, u64> {
        let mut sum = IndexMap::new();
        let sources = std::iter::once(&self.own).chain(self.peers.values());
        for (account, count) in sources.filter_map(|it| it.get(&window)).flatten() {
            let total = sum.entry(account.clone()).or_insert(0_u64);
            *total = total.saturating_add(*count);
        }
        sum
    }

    fn drop_windows_before(&mut self, window: Window) {
        for counts in std::iter::once(&mut self.own).chain(self.peers.values_mut()) {
            *counts = counts.split_off(&window);
        }
        self.peers.retain(|_, counts| !counts.is_empty());
    }
}

/// Merges the running totals of a source. Totals lower than the known ones change nothing.
fn merge(known: &mut Counts, counts: &Counts) {
    for (window, accounts) in counts {
        let known = known.entry(*window).or_default();
        for (account, count) in accounts {
            let total = known.entry(account.clone()).or_default();
            *total = (*total).max(*count);
        }
    }
}
