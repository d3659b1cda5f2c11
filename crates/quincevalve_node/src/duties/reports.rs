//! Usage reports: one for each window, the same whoever sends it.

use std::{cell::Cell, time::Duration};

use indexmap::IndexMap;
use quincevalve_forwarding::{demand::MeasuredDemand, usage::UsageSnapshot};
use quincevalve_names::{ClientAccountName, ServiceName, TimePoint};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{LOOK, acting};
use crate::{
    clock,
    node::Node,
    ports::{ActingHolder, CloudApi, Commit, PlatformStore, StoreError, StoreRevision},
};

/// The key with the newest usage report, written before the report is sent.
const REPORT_KEY: &str = "duty/usage";
/// The key with the counts of windows that are not reported yet.
const COUNTS_KEY: &str = "duty/counts";
/// Time between two writings of it: what began in the last second before all VMs are killed is lost.
const KEEP_PERIOD: Duration = Duration::from_secs(1);
/// Bytes a second that the writing may take; a large system writes less often.
const KEEP_BYTES_PER_SECOND: f64 = 20_000.0;
/// From the end of a usage window to its report, where all peers were heard: what began at the window's
/// end has been told by then.
const REPORT_AFTER_MS: i64 = 1_000;
/// The same where some peers are out of reach: reports are due ten seconds after a window's end, and most
/// cuts heal within this time.
const REPORT_ANYWAY_MS: i64 = 8_000;
/// A digest that a peer sent this long after a window's end holds all that began in it: first events are on
/// their way to the peer for some milliseconds.
const TOLD_AFTER_MS: i64 = 300;
/// The part of a window's counts that may be missing from its report: less than half of the twentieth by which
/// reports may be off.
const MAY_BE_MISSING: f64 = 0.02;

/// A usage report as it was or will be sent.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Report {
    window: u64,
    counts: IndexMap<ClientAccountName, u64>,
    /// Busy servers by service as its holder measured them, for its successor.
    busy: IndexMap<ServiceName, f64>,
}

/// Reports each window once.
///
/// Failure: a holder dies between a report and the note that it was sent. Symptom: its successor reports
/// the window again with other counts. The report is written to the store first, and a successor sends
/// what stands there, word for word, before it goes on.
///
/// `recalled` is set once it is known what the last holder left.
pub(super) async fn report_usage<S, C>(node: &Node, store: &S, cloud: &C, recalled: &Cell<bool>)
where
    S: PlatformStore,
    C: CloudApi,
{
    if !node.settings.duties.usage {
        return std::future::pending().await;
    }
    let mut known: Option<(StoreRevision, Option<Report>)> = None;
    let mut counts = KeptCounts::default();
    loop {
        if known.is_some() {
            sleep(LOOK).await;
        }
        if counts.revision.is_none() && !counts.recall(node, store).await {
            sleep(LOOK).await;
            continue;
        }
        let Some((revision, last)) = &known else {
            match last_report(store).await {
                Ok(found) => {
                    if let Some(report) = &found.1 {
                        inherit(node, report);
                    }
                    recalled.set(true);
                    if let (Some(report), Some(holder)) = (&found.1, acting(node)) {
                        send_report(cloud, &holder, report).await;
                    }
                    known = Some(found);
                }
                Err(error) => {
                    log::debug!(error:% = error; "last-report-unknown");
                    sleep(LOOK).await;
                }
            }
            continue;
        };
        counts.keep(node, store, last.as_ref().map_or(0, |it| it.window + 1)).await;
        let Some(window) = due_window(node, last.as_ref()) else { continue };
        if acting(node).is_none() {
            continue;
        }
        let busy = measured(node);
        let report = Report { window, counts: node.usage.borrow().total(window), busy };
        match write_report(store, *revision, &report).await {
            Ok(revision) => {
                if let Some(holder) = acting(node) {
                    send_report(cloud, &holder, &report).await;
                }
                known = Some((revision, Some(report)));
            }
            Err(error) => {
                // Whether it was written is unknown: read it back.
                log::debug!(window, error:% = error; "report-not-written");
                known = None;
            }
        }
    }
}

/// The counts in the store, for a successor.
#[derive(Default)]
struct KeptCounts {
    /// The revision of what stands there; `None` where that isn't known.
    revision: Option<StoreRevision>,
    /// Not before this time.
    next: TimePoint,
}

impl KeptCounts {
    /// Takes what the last holder kept; `false` if the store could not tell.
    async fn recall<S>(&mut self, node: &Node, store: &S) -> bool
    where
        S: PlatformStore,
    {
        let item = match store.get(COUNTS_KEY).await {
            Ok(item) => item,
            Err(error) => {
                log::debug!(error:% = error; "counts-unknown");
                return false;
            }
        };
        self.revision = Some(item.as_ref().map_or(StoreRevision::ABSENT, |it| it.revision));
        let Some(item) = item else { return true };
        match bincode::deserialize::<UsageSnapshot>(&item.value) {
            Ok(kept) => node.usage.borrow_mut().restore(kept, me(node)),
            // The next writing replaces it.
            Err(error) => log::warn!(error:% = error; "counts-unreadable"),
        }
        true
    }

    /// Writes what is known of windows from `since` on, if it is time.
    async fn keep<S>(&mut self, node: &Node, store: &S, since: u64)
    where
        S: PlatformStore,
    {
        let now = clock::now();
        let Some(revision) = self.revision.filter(|_| now >= self.next) else { return };
        if acting(node).is_none() {
            return;
        }
        let kept = node.usage.borrow().snapshot(me(node), since);
        let value = match bincode::serialize(&kept) {
            Ok(value) => value,
            Err(error) => return log::error!(error:% = error; "counts-not-encoded"),
        };
        let pause = Duration::from_secs_f64(value.len() as f64 / KEEP_BYTES_PER_SECOND);
        self.next = now + pause.max(KEEP_PERIOD);
        let expected = vec![(COUNTS_KEY.to_owned(), revision)];
        let puts = vec![(COUNTS_KEY.to_owned(), value, None)];
        self.revision = match store.commit(&Commit { expected, puts, ..Commit::default() }).await {
            Ok(revision) => Some(revision),
            Err(error) => {
                // Whether it was written is unknown: read it back.
                log::debug!(error:% = error; "counts-not-kept");
                None
            }
        };
    }
}

/// This VM and its start.
fn me(node: &Node) -> (&str, u64) {
    (node.settings.name.as_str(), node.incarnation)
}

/// The demand that was measured here, in busy servers.
fn measured(node: &Node) -> IndexMap<ServiceName, f64> {
    let demands = node.measured.borrow();
    demands.iter().filter_map(|(name, it)| Some((name.clone(), it.measured()?))).collect()
}

/// Takes over the demand that the last holder measured, unless enough was measured here.
fn inherit(node: &Node, report: &Report) {
    let mut measured = node.measured.borrow_mut();
    for (service, busy) in &report.busy {
        let known = measured.entry(service.clone()).or_default();
        if known.measured().is_none() {
            *known = MeasuredDemand::from_report(*busy);
        }
    }
}

async fn last_report<S>(store: &S) -> Result<(StoreRevision, Option<Report>), StoreError>
where
    S: PlatformStore,
{
    let Some(item) = store.get(REPORT_KEY).await? else { return Ok((StoreRevision::ABSENT, None)) };
    let report = serde_json::from_slice(&item.value)
        .map_err(|error| StoreError::Unreadable { what: error.to_string() })?;
    Ok((item.revision, Some(report)))
}

async fn write_report<S>(
    store: &S,
    expected: StoreRevision,
    report: &Report,
) -> Result<StoreRevision, StoreError>
where
    S: PlatformStore,
{
    let value = serde_json::to_vec(report)
        .map_err(|error| StoreError::Unreadable { what: error.to_string() })?;
    let expected = vec![(REPORT_KEY.to_owned(), expected)];
    let puts = vec![(REPORT_KEY.to_owned(), value, None)];
    store.commit(&Commit { expected, puts, ..Commit::default() }).await
}

/// The next window to report, if its time has come.
///
/// Failure: a data centre is cut off from the holder for some seconds at a window's end. Symptom: the report
/// lacks all that began there. The report waits for what every known peer has to tell, as long as it can.
fn due_window(node: &Node, last: Option<&Report>) -> Option<u64> {
    let now = clock::now();
    let now_ms = node.wall.borrow().estimate_ms(now)?;
    let length = node.settings.duties.usage_window.as_millis().max(1) as i64;
    let newest = ((now_ms - REPORT_AFTER_MS) / length - 1) as u64;
    // Without a report so far the newest window that has ended is the first.
    let next = last.map_or(newest, |it| it.window + 1).max(newest.saturating_sub(2));
    if next > newest {
        return None;
    }
    let since_end_ms = now_ms - (next.cast_signed() + 1) * length;
    let begin = next.cast_signed() * length;
    let told_since = begin + length + TOLD_AFTER_MS;
    let peers = node.peers.borrow();
    let missing = node.usage.borrow().missing_fraction(
        peers.table.expected_reporters(now),
        begin,
        told_since,
    );
    let complete = missing <= MAY_BE_MISSING;
    (complete || since_end_ms >= REPORT_ANYWAY_MS).then_some(next)
}

async fn send_report<C>(cloud: &C, holder: &ActingHolder, report: &Report)
where
    C: CloudApi,
{
    match cloud.report_usage(holder, report.window, &report.counts).await {
        Ok(()) => {
            let requests: u64 = report.counts.values().sum();
            log::info!(window = report.window, requests, number = holder.number.0; "usage-reported");
        }
        Err(error) => log::warn!(window = report.window, error:% = error; "usage-not-reported"),
    }
}
