//! What one entry VM does for all: usage reports and orders for servers.

use std::{cell::Cell, rc::Rc, time::Duration};

use indexmap::IndexMap;
use quincevalve_forwarding::{
    demand::MeasuredDemand,
    duty::Term,
    fleet_size::{FleetPlanner, Order, OrderOutcome, Present, ServerKind, expected_busy},
    usage::Kept,
};
use quincevalve_names::{ClientAccountName, DataCentreName, ServiceName, TimePoint};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use crate::{
    clock,
    node::Node,
    ports::{
        ActingHolder, CloudApi, CloudError, Commit, LeaseId, PlatformStore, ServerOrder,
        StoreError, StoreRevision,
    },
    store_view::HOLDER_KEY,
};

/// The key that counts the holders; it has no lease.
const TERM_KEY: &str = "duty/term";
/// The key with the newest usage report, written before the report is sent.
const REPORT_KEY: &str = "duty/usage";
/// The key with the counts of windows that are not reported yet.
const COUNTS_KEY: &str = "duty/counts";
/// Time between two writings of it: what began in the last second before all VMs are killed is lost.
const KEEP_PERIOD: Duration = Duration::from_secs(1);
/// Bytes a second that the writing may take; a large system writes less often.
const KEEP_BYTES_PER_SECOND: f64 = 20_000.0;
/// Renewals in the life of a lease.
const RENEWALS: u32 = 4;
/// Pause between two looks of a VM that doesn't hold the duties.
const LOOK: Duration = Duration::from_millis(400);
/// Milliseconds over which VMs spread their attempts to take the duties over.
const SPREAD_MS: u64 = 300;
/// From the end of a usage window to its report, where all peers were heard: what began at the window's
/// end has been told by then.
const REPORT_AFTER_MS: i64 = 1_000;
/// The same where some peers are out of reach: reports are due ten seconds after a window's end, and most
/// cuts heal within this time.
const REPORT_ANYWAY_MS: i64 = 8_000;
/// A telling that a peer sent this long after a window's end holds all that began in it: first events are on
/// their way to the peer for some milliseconds.
const TOLD_AFTER_MS: i64 = 300;
/// The part of a window's counts that may be missing from its report: less than half of the twentieth by which
/// reports may be off.
const MAY_BE_MISSING: f64 = 0.02;
/// Time between two plans of the fleet.
const PLAN_PERIOD: Duration = Duration::from_secs(1);
/// Kinds of servers, which are ordered one after the other.
const KINDS: usize = 2;
/// The longest time for which a new holder waits with orders for what the last one measured: three calls of a slow store,
/// little against the five seconds that a server takes to start.
const INHERIT_TIME: Duration = Duration::from_millis(800);
/// Pause between two looks whether it is known.
const INHERIT_LOOK: Duration = Duration::from_millis(20);
/// Pause after a change, so that changes that come together are planned for together.
const CHANGES_TOGETHER: Duration = Duration::from_millis(50);

/// A usage report as it was or will be sent.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Report {
    window: u64,
    counts: IndexMap<ClientAccountName, u64>,
    /// Busy servers by service as its holder measured them, for its successor.
    busy: IndexMap<ServiceName, f64>,
}

/// Holds the duties whenever no other VM does, and does them.
pub(crate) async fn hold_duties<S, C>(
    node: Rc<Node>,
    store: S,
    cloud: C,
    mut stopped: watch::Receiver<bool>,
) where
    S: PlatformStore,
    C: CloudApi,
{
    loop {
        let wait = node.rng.borrow_mut().random_range(0..SPREAD_MS);
        sleep(LOOK + Duration::from_millis(wait)).await;
        let can_try = node.is_ready() && !node.peers.borrow().has_holder();
        if !can_try {
            continue;
        }
        match take_over(&node, &store).await {
            Ok(lease) => {
                tokio::select! {
                    () = act(&node, &store, &cloud, lease) => {}
                    _ = stopped.wait_for(|it| *it) => {}
                }
                node.duty.borrow_mut().lost();
                log::info!("duty-lost");
                if *stopped.borrow() {
                    // The lease runs out by itself where this fails; with it another VM need not wait.
                    if let Err(error) = store.revoke(lease).await {
                        log::debug!(error:% = error; "duty-not-released");
                    }
                    return;
                }
            }
            Err(error) => log::debug!(error:% = error; "duty-not-taken"),
        }
    }
}

async fn take_over<S>(node: &Node, store: &S) -> Result<LeaseId, StoreError>
where
    S: PlatformStore,
{
    let me = node.settings.name.as_str();
    let ttl = node.settings.duties.lease;
    let item = store.get(TERM_KEY).await?;
    let revision = item.as_ref().map_or(StoreRevision::ABSENT, |it| it.revision);
    let before: Term =
        item.and_then(|it| serde_json::from_slice(&it.value).ok()).unwrap_or_default();
    let term = before.next(me);
    let asked = clock::now();
    let lease = store.grant(ttl).await?;
    let value = serde_json::to_vec(&term)
        .map_err(|error| StoreError::Unreadable { what: error.to_string() })?;
    let commit = Commit {
        expected: vec![
            (HOLDER_KEY.to_owned(), StoreRevision::ABSENT),
            (TERM_KEY.to_owned(), revision),
        ],
        puts: vec![
            (HOLDER_KEY.to_owned(), me.as_bytes().to_vec(), Some(lease)),
            (TERM_KEY.to_owned(), value, None),
        ],
    };
    store.commit(&commit).await?;
    node.duty.borrow_mut().took(me, &before, &term, ttl, asked);
    node.peers.borrow_mut().holder_seen(Some(me.to_owned()));
    log::info!(number = term.number.0, before = before.holder; "duty-taken");
    Ok(lease)
}

/// Does the duties until the lease is lost or the process ends.
async fn act<S, C>(node: &Rc<Node>, store: &S, cloud: &C, lease: LeaseId)
where
    S: PlatformStore,
    C: CloudApi,
{
    let renewal = renew(node, store, lease);
    let recalled = Cell::new(false);
    let reports = report_usage(node, store, cloud, &recalled);
    let orders = order_servers(node, cloud, &recalled);
    tokio::select! {
        () = renewal => {}
        () = reports => {}
        () = orders => {}
    }
}

async fn renew<S>(node: &Node, store: &S, lease: LeaseId)
where
    S: PlatformStore,
{
    let period = node.settings.duties.lease / RENEWALS;
    loop {
        sleep(period).await;
        let asked = clock::now();
        match store.renew(lease).await {
            Ok(()) => node.duty.borrow_mut().renewed(asked),
            Err(StoreError::LeaseEnded) => return,
            Err(error) => log::debug!(error:% = error; "duty-not-renewed"),
        }
        if !node.duty.borrow().is_held(clock::now()) {
            return;
        }
    }
}

fn acting(node: &Node) -> Option<ActingHolder> {
    let number = node.duty.borrow().may_act(clock::now())?;
    Some(ActingHolder { name: node.settings.name.as_str().to_owned(), number })
}

/// Reports each window once.
///
/// Failure: a holder dies between a report and the note that it was sent. Symptom: its successor reports
/// the window again with other counts. The report is written to the store first, and a successor sends
/// what stands there, word for word, before it goes on.
///
/// `recalled` is set once it is known what the last holder left.
async fn report_usage<S, C>(node: &Node, store: &S, cloud: &C, recalled: &Cell<bool>)
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
        match bincode::deserialize::<Kept>(&item.value) {
            Ok(kept) => node.usage.borrow_mut().recall(kept, me(node)),
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
        let kept = node.usage.borrow().keep(me(node), since);
        let value = match bincode::serialize(&kept) {
            Ok(value) => value,
            Err(error) => return log::error!(error:% = error; "counts-not-encoded"),
        };
        let pause = Duration::from_secs_f64(value.len() as f64 / KEEP_BYTES_PER_SECOND);
        self.next = now + pause.max(KEEP_PERIOD);
        let expected = vec![(COUNTS_KEY.to_owned(), revision)];
        let puts = vec![(COUNTS_KEY.to_owned(), value, None)];
        self.revision = match store.commit(&Commit { expected, puts }).await {
            Ok(revision) => Some(revision),
            Err(error) => {
                // Whether it was written is unknown: read it back.
                log::debug!(error:% = error; "counts-not-kept");
                None
            }
        };
    }
}

/// Waits until it is known what the last holder measured, for a while.
///
/// Failure: all VMs are killed, and the first that takes the duties over orders before it has read what was measured.
/// Symptom: it plans by what quotas promise, three times the servers that are needed, and in a wave keeps them.
async fn await_recall(node: &Node, recalled: &Cell<bool>) {
    if !node.settings.duties.usage {
        return;
    }
    let until = Instant::now() + INHERIT_TIME;
    while !recalled.get() && Instant::now() < until {
        sleep(INHERIT_LOOK).await;
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
            *known = MeasuredDemand::told(*busy);
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
    store.commit(&Commit { expected, puts: vec![(REPORT_KEY.to_owned(), value, None)] }).await
}

/// The next window to report, if its time has come.
///
/// Failure: a data centre is cut off from the holder for some seconds at a window's end. Symptom: the report
/// lacks all that began there. The report waits for what every known peer has to tell, as long as it can.
fn due_window(node: &Node, last: Option<&Report>) -> Option<u64> {
    let now = clock::now();
    let now_ms = node.wall.borrow().true_ms(now)?;
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
    let missing = node.usage.borrow().missing_part(peers.book.awaited(now), begin, told_since);
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

async fn order_servers<C>(node: &Node, cloud: &C, recalled: &Cell<bool>)
where
    C: CloudApi,
{
    if !node.settings.duties.scaling {
        return std::future::pending().await;
    }
    let mut planners: IndexMap<ServiceName, FleetPlanner> = IndexMap::new();
    await_recall(node, recalled).await;
    loop {
        let Some(config) = node.config() else {
            sleep(PLAN_PERIOD).await;
            continue;
        };
        let promised = expected_busy(&config);
        for (name, service) in &config.services {
            let Some(scaling) = &service.scaling else { continue };
            let now = clock::now();
            // An order names a number in all: by an incomplete list it would give servers back.
            if node.servers.borrow().may_lack_entries(now) {
                continue;
            }
            let planner = planners.entry(name.clone()).or_insert_with(|| FleetPlanner::new(now));
            if let Some(measured) = node.measured.borrow().get(name) {
                planner.go_on_from(measured.clone());
            }
            let present = present(node, name, scaling.prices.keys());
            let part = node.peers.borrow().reachable_part();
            let busy = planner.observe(node.demand_of(name), part, promised, &present, now);
            for _ in 0..KINDS {
                for order in planner.due(scaling, busy, &present, clock::now()) {
                    let sent = send_order(node, cloud, name, &order, busy).await;
                    let Some(outcome) = sent else { break };
                    planner.sent(&order, outcome, clock::now());
                }
            }
        }
        // A notice of a reclaim is answered at once: a server takes seconds to start.
        tokio::select! {
            () = sleep(PLAN_PERIOD) => {}
            () = node.changed.notified() => sleep(CHANGES_TOGETHER).await,
        }
    }
}

fn present<'a>(
    node: &Node,
    service: &ServiceName,
    centres: impl Iterator<Item = &'a DataCentreName>,
) -> IndexMap<DataCentreName, Present> {
    let mut present: IndexMap<_, _> = centres.map(|it| (it.clone(), Present::default())).collect();
    for (_, server) in node.servers.borrow().usable(service, clock::now()) {
        let centre = present.entry(server.entry.data_centre.clone()).or_default();
        if server.entry.reclaimable {
            centre.reclaimable += 1;
        } else {
            centre.on_demand += 1;
        }
    }
    present
}

/// Sends an order; `None` where this VM may no longer act.
async fn send_order<C>(
    node: &Node,
    cloud: &C,
    service: &ServiceName,
    order: &Order,
    busy: f64,
) -> Option<OrderOutcome>
where
    C: CloudApi,
{
    let holder = acting(node)?;
    let wanted = ServerOrder {
        service: service.clone(),
        data_centre: order.data_centre.clone(),
        count: order.count,
        reclaimable: order.kind == ServerKind::Reclaimable,
    };
    let result = cloud.order(&holder, &wanted).await;
    let outcome = match &result {
        Ok(()) => OrderOutcome::Taken,
        Err(CloudError::NoneAvailable) => OrderOutcome::NoneAvailable,
        Err(CloudError::Call { .. }) => OrderOutcome::Unknown,
    };
    log::info!(
        service = service.as_str(), centre = order.data_centre.as_str(), kind:? = order.kind,
        count = order.count, busy, number = holder.number.0, outcome:? = outcome;
        "servers-ordered"
    );
    if let Err(error @ CloudError::Call { .. }) = result {
        log::warn!(error:% = error; "order-unanswered");
    }
    Some(outcome)
}
