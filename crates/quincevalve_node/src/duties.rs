//! What one entry VM does for all: usage reports and orders for servers.

use std::{rc::Rc, time::Duration};

use indexmap::IndexMap;
use quincevalve_forwarding::{
    duty::Term,
    fleet_size::{Demand, Market, Order, Present, plan},
};
use quincevalve_names::{ClientAccountName, DataCentreName, ServiceName, TimePoint};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    clock,
    node::Node,
    ports::{
        ActingHolder, CloudApi, CloudError, Commit, LeaseId, PlatformStore, ServerOrder,
        StoreError, StoreRevision,
    },
    store_sync::HOLDER_KEY,
};

/// The key that counts the holders; it has no lease.
const TERM_KEY: &str = "duty/term";
/// The key with the newest usage report, written before the report is sent.
const REPORT_KEY: &str = "duty/usage";
/// Renewals in the life of a lease.
const RENEWALS: u32 = 4;
/// Pause between two looks of a VM that doesn't hold the duties.
const LOOK: Duration = Duration::from_millis(400);
/// Milliseconds over which VMs spread their attempts to take the duties over.
const SPREAD_MS: u64 = 300;
/// From the end of a usage window to its report: peers have told their last counts by then, twice over.
const REPORT_AFTER_MS: i64 = 2_500;
/// Time between two plans of the fleet.
const PLAN_PERIOD: Duration = Duration::from_secs(1);
/// Pause after an order that was refused.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);
/// Time after which an order is sent again although nothing changed: one may have been lost.
const REPEAT_ORDER: Duration = Duration::from_secs(15);
/// Least time for which fewer servers must be enough before fewer are ordered: longer than the pause
/// between two waves of callers, so that a fleet doesn't shrink into the next one.
const SHRINK_AFTER: Duration = Duration::from_secs(20);
/// Weight of the newest second in the running mean of the demand.
const DEMAND_NEW: f64 = 0.25;

/// A usage report as it was or will be sent.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Report {
    window: u64,
    counts: IndexMap<ClientAccountName, u64>,
}

/// Holds the duties whenever no other VM does, and does them.
pub(crate) async fn hold_duties<S, C>(node: Rc<Node>, store: S, cloud: C)
where
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
                act(&node, &store, &cloud, lease).await;
                node.duty.borrow_mut().lost();
                log::info!("duty-lost");
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
    node.peers.borrow_mut().holder_seen(true);
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
    let reports = report_usage(node, store, cloud);
    let orders = order_servers(node, cloud);
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
async fn report_usage<S, C>(node: &Node, store: &S, cloud: &C)
where
    S: PlatformStore,
    C: CloudApi,
{
    if !node.settings.duties.usage {
        return std::future::pending().await;
    }
    let mut known: Option<(StoreRevision, Option<Report>)> = None;
    loop {
        sleep(LOOK).await;
        let Some((revision, last)) = &known else {
            match last_report(store).await {
                Ok(found) => {
                    if let (Some(report), Some(holder)) = (&found.1, acting(node)) {
                        send_report(cloud, &holder, report).await;
                    }
                    known = Some(found);
                }
                Err(error) => log::debug!(error:% = error; "last-report-unknown"),
            }
            continue;
        };
        let Some(window) = due_window(node, last.as_ref()) else { continue };
        if acting(node).is_none() {
            continue;
        }
        let report = Report { window, counts: node.usage.borrow().total(window) };
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
fn due_window(node: &Node, last: Option<&Report>) -> Option<u64> {
    let now_ms = node.wall.borrow().true_ms(clock::now())?;
    let length = node.settings.duties.usage_window.as_millis().max(1) as i64;
    let ended = ((now_ms - REPORT_AFTER_MS) / length) as u64;
    let newest = ended.checked_sub(1)?;
    // Without a report so far the present window is the first that can be whole.
    let next = last.map_or(newest, |it| it.window + 1);
    (next <= newest).then_some(next.max(newest.saturating_sub(2)))
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

/// What was ordered last for a subject.
#[derive(Clone, Copy, Debug)]
struct Ordered {
    count: u32,
    at: TimePoint,
    refused: bool,
}

type OrderKey = (ServiceName, DataCentreName, bool);

#[derive(Default)]
struct Orders {
    market: Market,
    ordered: IndexMap<OrderKey, Ordered>,
    demand: IndexMap<ServiceName, f64>,
    totals: IndexMap<ServiceName, (TimePoint, f64)>,
    enough_since: IndexMap<OrderKey, TimePoint>,
}

async fn order_servers<C>(node: &Node, cloud: &C)
where
    C: CloudApi,
{
    if !node.settings.duties.scaling {
        return std::future::pending().await;
    }
    let mut orders = Orders::default();
    loop {
        sleep(PLAN_PERIOD).await;
        let Some(config) = node.config() else { continue };
        for (name, service) in &config.services {
            let Some(scaling) = &service.scaling else { continue };
            let demand = orders.measure(node, name);
            let present = present(node, name, scaling.prices.keys());
            for (centre, order) in plan(scaling, demand, &present, &orders.market) {
                orders.send(node, cloud, name, &centre, order).await;
            }
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

impl Orders {
    /// The demand of a service, from what all VMs took on since the last look.
    fn measure(&mut self, node: &Node, service: &ServiceName) -> Demand {
        let now = clock::now();
        let own = node.arrivals.borrow().get(service).copied().unwrap_or_default();
        let total = own + node.peers.borrow().arrivals(service);
        let before = self.totals.insert(service.clone(), (now, total));
        let demand = self.demand.entry(service.clone()).or_default();
        if let Some((at, before)) = before {
            let rate = (total - before).max(0.0) / now.since(at).as_secs_f64().max(0.1);
            *demand += DEMAND_NEW * (rate - *demand);
        }
        Demand { busy: *demand }
    }

    async fn send<C>(
        &mut self,
        node: &Node,
        cloud: &C,
        service: &ServiceName,
        centre: &DataCentreName,
        order: Order,
    ) where
        C: CloudApi,
    {
        for (reclaimable, count) in [(true, order.reclaimable), (false, order.on_demand)] {
            let key = (service.clone(), centre.clone(), reclaimable);
            if !self.is_due(&key, count) {
                continue;
            }
            let Some(holder) = acting(node) else { return };
            let wanted = ServerOrder {
                service: service.clone(),
                data_centre: centre.clone(),
                count,
                reclaimable,
            };
            let result = cloud.order(&holder, &wanted).await;
            self.note(key, count, &result);
        }
    }

    /// Whether an order says something new, and fewer servers have been enough for long enough.
    fn is_due(&mut self, key: &OrderKey, count: u32) -> bool {
        let now = clock::now();
        let Some(last) = self.ordered.get(key) else { return true };
        if last.refused {
            return now.since(last.at) >= REFUSED_PAUSE;
        }
        if count < last.count && key.2 {
            let since = *self.enough_since.entry(key.clone()).or_insert(now);
            return now.since(since) >= SHRINK_AFTER;
        }
        self.enough_since.swap_remove(key);
        count != last.count || now.since(last.at) >= REPEAT_ORDER
    }

    fn note(&mut self, key: OrderKey, count: u32, result: &Result<(), CloudError>) {
        let now = clock::now();
        let (service, centre, reclaimable) = &key;
        match result {
            Ok(()) => {
                log::info!(service = service.as_str(), centre = centre.as_str(), reclaimable, count; "servers-ordered");
                if *reclaimable {
                    self.market.taken(centre);
                }
            }
            Err(error) => {
                log::warn!(service = service.as_str(), centre = centre.as_str(), reclaimable, count, error:% = error; "order-failed");
                if *reclaimable && matches!(error, CloudError::NoneAvailable) {
                    self.market.refused(centre, now);
                }
            }
        }
        self.ordered.insert(key, Ordered { count, at: now, refused: result.is_err() });
    }
}
