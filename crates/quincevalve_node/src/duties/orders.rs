//! Orders of backend servers from the cloud.

use std::{cell::Cell, time::Duration};

use indexmap::IndexMap;
use quincevalve_forwarding::{
    fleet_size::{
        FleetPlanner, Order, OrderOutcome, ServerCounts, ServerKind, counts_toward_fleet,
        expected_demand,
    },
    servers::Server,
};
use quincevalve_names::{DataCentreName, ServiceName};
use tokio::time::{Instant, sleep};

use super::call_as_holder;
use crate::{
    clock,
    node::Node,
    ports::{CloudApi, CloudError, PlatformStore, ServerOrder},
};

/// Interval between two plans of the fleet.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Number of server kinds, which are ordered one after the other.
const SERVER_KINDS: usize = 2;
/// Maximum time for which a new holder delays its orders until the previous holder's measured demand is read.
///
/// It covers three calls to a slow store and is short against the five seconds that a server takes to start.
const MAX_INHERIT_WAIT: Duration = Duration::from_millis(800);
/// Interval at which a new holder checks whether the previous holder's state has been read.
const INHERIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay between a change and the next plan, so that changes in quick succession are planned for together.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(50);

/// Plans the fleet of every scaled service and orders servers while this VM holds the duties.
pub(super) async fn order_servers<S, C>(
    node: &Node,
    store: &S,
    cloud: &C,
    is_inherited: &Cell<bool>,
) where
    S: PlatformStore,
    C: CloudApi,
{
    if !node.settings.duties.scaling {
        return std::future::pending().await;
    }
    let mut planners: IndexMap<ServiceName, FleetPlanner> = IndexMap::new();
    await_inherited_demand(node, is_inherited).await;
    loop {
        let Some(config) = node.config() else {
            sleep(PLAN_INTERVAL).await;
            continue;
        };
        let quota_demand = expected_demand(&config);
        for (name, service) in &config.services {
            let Some(scaling) = &service.scaling else { continue };
            let now = clock::now();
            // An order names the total count, so an order from an incomplete list would release servers.
            if node.servers.borrow().may_be_incomplete(now) {
                continue;
            }
            // During a promotion the old servers leave while as many new ones serve, so for some seconds the number of
            // present servers says nothing about capacity.
            if node.rollouts.borrow().is_promoting(name) {
                continue;
            }
            let planner =
                planners.entry(name.clone()).or_insert_with(|| FleetPlanner::new(node.started_at));
            if let Some(measured) = node.measured_demand.borrow().get(name) {
                planner.set_demand(measured.clone());
            }
            let present = count_present(node, name, scaling.prices.keys());
            let reachable_fraction = node.peers.borrow().reachable_fraction();
            let busy = planner.observe(
                node.total_demand(name),
                reachable_fraction,
                quota_demand,
                &present,
                now,
            );
            for _ in 0..SERVER_KINDS {
                for order in planner.due_orders(scaling, busy, &present, clock::now()) {
                    let sent =
                        send_order(node, store, cloud, name, &order, busy, scaling.max).await;
                    let Some(outcome) = sent else { break };
                    planner.record_order(&order, outcome, clock::now());
                }
            }
        }
        // A reclaim notice triggers a plan at once, because a replacement takes seconds to start.
        tokio::select! {
            () = sleep(PLAN_INTERVAL) => {}
            () = node.changed.notified() => sleep(CHANGE_BATCH_DELAY).await,
        }
    }
}

/// Waits, for at most [`MAX_INHERIT_WAIT`], until the previous holder's measured demand is read.
///
/// If all VMs are killed and the first new holder orders without that demand, it plans by the demand that quotas allow:
/// it orders three times the servers that are needed and keeps them during a burst.
async fn await_inherited_demand(node: &Node, is_inherited: &Cell<bool>) {
    if !node.settings.duties.usage {
        return;
    }
    let until = Instant::now() + MAX_INHERIT_WAIT;
    while !is_inherited.get() && Instant::now() < until {
        sleep(INHERIT_POLL_INTERVAL).await;
    }
}

/// Counts the servers of a service that the plan relies on, by data centre and kind.
fn count_present<'a>(
    node: &Node,
    service: &ServiceName,
    centres: impl Iterator<Item = &'a DataCentreName>,
) -> IndexMap<DataCentreName, ServerCounts> {
    let mut present: IndexMap<_, _> =
        centres.map(|it| (it.clone(), ServerCounts::default())).collect();
    let servers = node.servers.borrow();
    let usable = servers.usable(service, clock::now());
    for (_, server) in usable.filter(|(_, it)| plan_role(node, service, it) == PlanRole::Counted) {
        let centre = present.entry(server.entry.data_centre.clone()).or_default();
        if server.entry.reclaimable {
            centre.reclaimable += 1;
        } else {
            centre.on_demand += 1;
        }
    }
    present
}

/// How the fleet plan counts a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlanRole {
    Counted,
    /// Its version doesn't carry the service's load.
    OtherVersion,
    /// It signals a request limit too low to count as a whole server.
    Limited,
}

fn plan_role(node: &Node, service: &ServiceName, server: &Server) -> PlanRole {
    if !node.rollouts.borrow().carries_load(service, &server.entry.version) {
        return PlanRole::OtherVersion;
    }
    if counts_toward_fleet(server.limit(), node.busy_seconds_per_request(service)) {
        PlanRole::Counted
    } else {
        PlanRole::Limited
    }
}

/// Returns the count that an order names: the planned servers plus those that the plan doesn't count.
///
/// An order names all servers of a kind, but the plan counts only the version that carries the load. If the other
/// version's servers weren't added, an order for one more server during a roll-out would release them. Limited servers
/// are added only up to the service's maximum in a data centre, because the cloud rejects an order beyond it.
fn count_ordered(node: &Node, service: &ServiceName, order: &Order, max_servers: u32) -> u32 {
    let servers = node.servers.borrow();
    let is_reclaimable = order.kind == ServerKind::Reclaimable;
    let (mut other_version, mut limited, mut other_kind) = (0, 0, 0);
    let usable = servers.usable(service, clock::now());
    for (_, server) in usable.filter(|(_, it)| it.entry.data_centre == order.data_centre) {
        let plan_role = plan_role(node, service, server);
        if server.entry.reclaimable != is_reclaimable {
            other_kind += 1;
        } else if plan_role == PlanRole::OtherVersion {
            other_version += 1;
        } else if plan_role == PlanRole::Limited {
            limited += 1;
        }
    }
    let headroom = max_servers.saturating_sub(other_kind + order.count);
    order.count + other_version + limited.min(headroom)
}

/// Sends an order; returns `None` if this VM may not act.
async fn send_order<S, C>(
    node: &Node,
    store: &S,
    cloud: &C,
    service: &ServiceName,
    order: &Order,
    busy: f64,
    max_servers: u32,
) -> Option<OrderOutcome>
where
    S: PlatformStore,
    C: CloudApi,
{
    let wanted = ServerOrder {
        service: service.clone(),
        data_centre: order.data_centre.clone(),
        count: count_ordered(node, service, order, max_servers),
        reclaimable: order.kind == ServerKind::Reclaimable,
    };
    let mut number = 0;
    let result = call_as_holder(node, store, async |holder| {
        number = holder.fencing_number.0;
        cloud.order(holder, &wanted).await
    });
    let result = result.await?;
    let outcome = match &result {
        Ok(()) => OrderOutcome::Taken,
        Err(CloudError::NoneAvailable) => OrderOutcome::NoneAvailable,
        Err(CloudError::Call { .. } | CloudError::TermOver) => OrderOutcome::Unknown,
    };
    log::info!(
        service = service.as_str(), centre = order.data_centre.as_str(), kind:? = order.kind,
        count = wanted.count, busy, number, outcome:? = outcome;
        "servers-ordered"
    );
    if let (Err(error), OrderOutcome::Unknown) = (&result, outcome) {
        log::warn!(error:% = error; "order-unanswered");
    }
    Some(outcome)
}

#[cfg(test)]
pub(crate) mod tests;
