//! Usage reports: one for each window, with the same content whichever VM sends it.

use std::{cell::Cell, time::Duration};

use indexmap::IndexMap;
use quincevalve_forwarding::{
    demand::MeasuredDemand,
    duty::{SentReports, UsageWindows},
    usage::UsageSnapshot,
};
use quincevalve_names::{ClientAccountName, ServiceName, TimePoint, hash_parts, seconds};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{
    POLL_INTERVAL, call_as_holder,
    term::{claim_to_expect, held_claim},
};
use crate::{
    clock,
    node::Node,
    ports::{CloudApi, Commit, PlatformStore, StoreError, StoreRevision},
};

/// Store key of the newest usage report, which is written before the report is sent.
const REPORT_KEY: &str = "duty/usage";
/// Store key of the counts of windows that aren't reported yet.
const COUNTS_KEY: &str = "duty/counts";
/// Minimum interval between two writes of the counts. If all VMs are killed, the requests counted since are lost.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum average rate of these writes in bytes per second; a large system writes less often.
const MAX_WRITE_BYTES_PER_SECOND: f64 = 20_000.0;
/// Milliseconds from the end of a usage window to its report if some peers are unreachable. Reports are due ten seconds
/// after a window's end, and most network partitions heal within this time.
const MAX_REPORT_DELAY_MS: i64 = 8_000;
/// Milliseconds after a window's end from which a peer's digest contains all requests that began in the window: their
/// first events take some milliseconds to reach the peer.
const COMPLETE_DIGEST_DELAY_MS: i64 = 300;
/// Maximum fraction of a window's counts that may be missing from its report, less than half of the twentieth by which
/// reports may be off.
const MAX_MISSING_FRACTION: f64 = 0.02;

/// A usage report that was sent or is to be sent.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Report {
    window: u64,
    /// Fencing number of the term that wrote it; 0 if that isn't known.
    number: u64,
    counts: IndexMap<ClientAccountName, u64>,
    /// Demand by service in busy servers, as measured by the holder, for the next holder's planning.
    busy: IndexMap<ServiceName, f64>,
}

impl Report {
    /// Returns a hash of the counts, the same for the same counts in any order.
    fn digest(&self) -> u64 {
        let mut counts: Vec<_> = self.counts.iter().collect();
        counts.sort_unstable();
        let texts: Vec<_> = counts.iter().map(|(account, it)| format!("{account}:{it}")).collect();
        hash_parts(texts.iter().map(String::as_bytes))
    }
}

/// Reports the usage of each window with the same counts, also across changes of the holder.
///
/// A report is written to the store before it is sent, and a new holder first sends the stored report unchanged.
/// Otherwise, if a holder failed between sending a report and recording it, the next holder would report the window
/// again with other counts. Windows whose reports the store may have lost are not reported: the term says up to when.
///
/// `is_inherited` is set once the previous holder's report is read.
pub(super) async fn report_usage<S, C>(node: &Node, store: &S, cloud: &C, is_inherited: &Cell<bool>)
where
    S: PlatformStore,
    C: CloudApi,
{
    if !node.settings.duties.usage {
        return std::future::pending().await;
    }
    let mut known: Option<(StoreRevision, Option<Report>)> = None;
    let mut counts = StoredCounts::default();
    loop {
        let Some((revision, last)) = &known else {
            match read_last_report(node, store).await {
                Ok(found) => {
                    let sent = sent_reports(node, found.1.as_ref());
                    if let Some(report) = &found.1 {
                        inherit_demand(node, report);
                    }
                    if !is_inherited.replace(true) {
                        log_inherited(node, found.1.as_ref(), &sent);
                    }
                    let is_sent = match &found.1 {
                        Some(report) if sent.may_repeat_stored() => {
                            send_report(node, store, cloud, report).await
                        }
                        _ => true,
                    };
                    if is_sent {
                        known = Some(found);
                    } else {
                        sleep(POLL_INTERVAL).await;
                    }
                }
                Err(error) => {
                    log::debug!(error:% = error; "last-report-unknown");
                    sleep(POLL_INTERVAL).await;
                }
            }
            continue;
        };
        let has_counts = counts.revision.is_some() || counts.restore_from_store(node, store).await;
        sleep(POLL_INTERVAL).await;
        if !has_counts {
            continue;
        }
        counts
            .write_if_due(node, store, last.as_ref().map_or(0, |it| it.window.saturating_add(1)))
            .await;
        let Some(window) = due_window(node, last.as_ref()) else { continue };
        let Some(claim) = claim_to_expect(node) else { continue };
        let number = node.duty.borrow().held_number().unwrap_or_default().0;
        let counts = node.usage.borrow().total(window);
        let report = Report { window, number, counts, busy: measured_demand(node) };
        match write_report(store, claim, *revision, &report).await {
            Ok(revision) => {
                log_skipped(node, last.as_ref(), window);
                let is_sent = send_report(node, store, cloud, &report).await;
                known = is_sent.then_some((revision, Some(report)));
            }
            Err(error) => {
                // The write may have taken effect, so the stored report is read again.
                log::debug!(window, error:% = error; "report-not-written");
                known = None;
            }
        }
    }
}

/// Logs what this holder knows of the reports that earlier ones sent.
fn log_inherited(node: &Node, stored: Option<&Report>, sent: &SentReports) {
    let duty = node.duty.borrow();
    log::info!(
        number = duty.held_number().unwrap_or_default().0,
        era = duty.era(),
        stored = stored.map_or(0, |it| it.window),
        stored_by = stored.map_or(0, |it| it.number),
        digest = stored.map_or(0, Report::digest),
        heard = sent.heard_upto,
        lost = sent.lost_upto;
        "usage-inherited"
    );
}

/// Logs windows between the stored report and the next one that this holder doesn't report.
fn log_skipped(node: &Node, last: Option<&Report>, next: u64) {
    let Some(first) = last.map(|it| it.window.saturating_add(1)).filter(|it| *it < next) else {
        return;
    };
    let lost = sent_reports(node, last).lost_upto;
    log::warn!(first, last = next - 1, lost; "usage-windows-skipped");
    node.metrics.count_skipped_windows(next - first);
}

/// The counts kept in the store for the next holder.
#[derive(Default)]
struct StoredCounts {
    /// Revision of the stored counts; `None` while unknown.
    revision: Option<StoreRevision>,
    /// Earliest time of the next write.
    next_write: TimePoint,
}

impl StoredCounts {
    /// Restores the counts that the previous holder stored; returns `false` if the store can't be read.
    async fn restore_from_store<S>(&mut self, node: &Node, store: &S) -> bool
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
            Ok(snapshot) => node.usage.borrow_mut().restore(snapshot, identity(node)),
            // The next write replaces the unreadable counts.
            Err(error) => log::warn!(error:% = error; "counts-unreadable"),
        }
        true
    }

    /// Writes the counts of the windows from `since` on, if the next write is due.
    async fn write_if_due<S>(&mut self, node: &Node, store: &S, since: u64)
    where
        S: PlatformStore,
    {
        let now = clock::now();
        let Some(revision) = self.revision.filter(|_| now >= self.next_write) else { return };
        let Some(claim) = held_claim(node) else { return };
        let snapshot = node.usage.borrow().snapshot(identity(node), since);
        let value = match bincode::serialize(&snapshot) {
            Ok(value) => value,
            Err(error) => return log::error!(error:% = error; "counts-not-encoded"),
        };
        let pause = seconds(value.len() as f64 / MAX_WRITE_BYTES_PER_SECOND);
        self.next_write = now + pause.max(MIN_WRITE_INTERVAL);
        let expected = vec![claim, (COUNTS_KEY.to_owned(), revision)];
        let puts = vec![(COUNTS_KEY.to_owned(), value, None)];
        self.revision = match store.commit(&Commit { expected, puts, ..Commit::default() }).await {
            Ok(revision) => Some(revision),
            Err(error) => {
                // The write may have taken effect, so the stored counts are read again.
                log::debug!(error:% = error; "counts-not-kept");
                None
            }
        };
    }
}

/// Returns the name and the incarnation of this VM.
fn identity(node: &Node) -> (&str, u64) {
    (node.settings.name.as_str(), node.incarnation)
}

/// Returns the demand by service that this VM measured, in busy servers.
fn measured_demand(node: &Node) -> IndexMap<ServiceName, f64> {
    let demands = node.measured_demand.borrow();
    demands.iter().filter_map(|(name, it)| Some((name.clone(), it.measured()?))).collect()
}

/// Takes the previous holder's measured demand for services without a measurement of this VM.
fn inherit_demand(node: &Node, report: &Report) {
    let mut measured = node.measured_demand.borrow_mut();
    for (service, busy) in &report.busy {
        let known = measured.entry(service.clone()).or_default();
        if known.measured().is_none() {
            *known = MeasuredDemand::from_report(*busy);
        }
    }
}

/// Reads the newest report and its revision.
///
/// A report that can't be read is replaced by the next one. Which windows were reported is unknown then, and one that is
/// reported twice is worse than one that is missing.
async fn read_last_report<S>(
    node: &Node,
    store: &S,
) -> Result<(StoreRevision, Option<Report>), StoreError>
where
    S: PlatformStore,
{
    let Some(item) = store.get(REPORT_KEY).await? else { return Ok((StoreRevision::ABSENT, None)) };
    match serde_json::from_slice(&item.value) {
        Ok(report) => Ok((item.revision, Some(report))),
        Err(error) => {
            log::error!(key = REPORT_KEY, error:% = error; "report-unreadable");
            let is_assumed = assume_reported(node);
            let what = || StoreError::Unreadable { what: REPORT_KEY.to_owned() };
            is_assumed.then_some((item.revision, None)).ok_or_else(what)
        }
    }
}

async fn write_report<S>(
    store: &S,
    claim: (String, StoreRevision),
    expected: StoreRevision,
    report: &Report,
) -> Result<StoreRevision, StoreError>
where
    S: PlatformStore,
{
    let value = serde_json::to_vec(report)
        .map_err(|error| StoreError::Unreadable { what: error.to_string() })?;
    let expected = vec![claim, (REPORT_KEY.to_owned(), expected)];
    let puts = vec![(REPORT_KEY.to_owned(), value, None)];
    store.commit(&Commit { expected, puts, ..Commit::default() }).await
}

fn usage_windows(node: &Node) -> UsageWindows {
    UsageWindows::new(node.settings.duties.usage_window)
}

/// Returns what this holder knows of the reports that were sent.
fn sent_reports(node: &Node, stored: Option<&Report>) -> SentReports {
    SentReports {
        stored: stored.map(|it| it.window),
        lost_upto: usage_windows(node).newest_reportable(node.duty.borrow().lost_terms_until_ms()),
        heard_upto: node.usage.borrow().reported_upto(),
    }
}

/// Assumes that all windows that have ended were reported; returns `false` if their numbers aren't known.
fn assume_reported(node: &Node) -> bool {
    let Some(now_ms) = node.wall_clock.borrow().estimate_ms(clock::now()) else { return false };
    let upto = usage_windows(node).newest_reportable(now_ms);
    log::warn!(upto; "usage-assumed-reported");
    node.usage.borrow_mut().record_reported(upto);
    true
}

/// Returns the next window to report, if it is due.
///
/// The report waits for the counts of every known peer for as long as the deadline allows. Otherwise, if a data centre
/// is cut off from the holder for some seconds at a window's end, the report would lack all requests that began there.
fn due_window(node: &Node, last: Option<&Report>) -> Option<u64> {
    let now = clock::now();
    let now_ms = node.wall_clock.borrow().estimate_ms(now)?;
    let windows = usage_windows(node);
    let next = sent_reports(node, last).next(windows.newest_reportable(now_ms))?;
    let since_end_ms = now_ms - windows.end_ms(next);
    let begin = windows.begin_ms(next);
    let complete_since = windows.end_ms(next) + COMPLETE_DIGEST_DELAY_MS;
    let peers = node.peers.borrow();
    let missing = node.usage.borrow().missing_fraction(
        peers.table.expected_reporters(now),
        begin,
        complete_since,
    );
    let complete = missing <= MAX_MISSING_FRACTION;
    (complete || since_end_ms >= MAX_REPORT_DELAY_MS).then_some(next)
}

/// Sends a report; returns `false` if this VM may not act.
async fn send_report<S, C>(node: &Node, store: &S, cloud: &C, report: &Report) -> bool
where
    S: PlatformStore,
    C: CloudApi,
{
    let window = report.window;
    let result = call_as_holder(node, store, async |holder| {
        node.usage.borrow_mut().record_reported(window);
        cloud.report_usage(holder, window, &report.counts).await?;
        Ok(holder.fencing_number.0)
    });
    match result.await {
        Some(Ok(number)) => {
            let requests: u64 = report.counts.values().sum();
            let (written_by, digest) = (report.number, report.digest());
            log::info!(window, requests, number, written_by, digest; "usage-reported");
        }
        Some(Err(error)) => log::warn!(window, error:% = error; "usage-not-reported"),
        None => return false,
    }
    true
}

#[cfg(test)]
pub(crate) mod tests;
