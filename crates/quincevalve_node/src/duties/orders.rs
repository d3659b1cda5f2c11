//! Orders for backend servers.

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

use super::acting;
use crate::{
    clock,
    node::Node,
    ports::{CloudApi, CloudError, ServerOrder},
};

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

pub(super) async fn order_servers<C>(node: &Node, cloud: &C, recalled: &Cell<bool>)
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
        let promised = expected_demand(&config);
        for (name, service) in &config.services {
            let Some(scaling) = &service.scaling else { continue };
            let now = clock::now();
            // An order names a number in all: by an incomplete list it would give servers back.
            if node.servers.borrow().may_be_incomplete(now) {
                continue;
            }
            // The old servers go, and the new ones are as many: what is there says nothing for some seconds.
            if node.rollouts.borrow().is_promoting(name) {
                continue;
            }
            let planner =
                planners.entry(name.clone()).or_insert_with(|| FleetPlanner::new(node.began));
            if let Some(measured) = node.measured.borrow().get(name) {
                planner.set_demand(measured.clone());
            }
            let present = present(node, name, scaling.prices.keys());
            let part = node.peers.borrow().reachable_fraction();
            let busy = planner.observe(node.demand_of(name), part, promised, &present, now);
            for _ in 0..KINDS {
                for order in planner.due_orders(scaling, busy, &present, clock::now()) {
                    let sent = send_order(node, cloud, name, &order, busy, scaling.max).await;
                    let Some(outcome) = sent else { break };
                    planner.record_order(&order, outcome, clock::now());
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

fn present<'a>(
    node: &Node,
    service: &ServiceName,
    centres: impl Iterator<Item = &'a DataCentreName>,
) -> IndexMap<DataCentreName, ServerCounts> {
    let mut present: IndexMap<_, _> =
        centres.map(|it| (it.clone(), ServerCounts::default())).collect();
    let servers = node.servers.borrow();
    let usable = servers.usable(service, clock::now());
    for (_, server) in usable.filter(|(_, it)| planned(node, service, it) == Planned::Counted) {
        let centre = present.entry(server.entry.data_centre.clone()).or_default();
        if server.entry.reclaimable {
            centre.reclaimable += 1;
        } else {
            centre.on_demand += 1;
        }
    }
    present
}

/// What the plan makes of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planned {
    Counted,
    /// It is of a version that doesn't carry the traffic.
    OtherVersion,
    /// It names a limit that leaves it little to do.
    Limited,
}

fn planned(node: &Node, service: &ServiceName, server: &Server) -> Planned {
    if !node.rollouts.borrow().carries_load(service, &server.entry.version) {
        return Planned::OtherVersion;
    }
    if counts_toward_fleet(server.limit(), node.busy_each(service)) {
        Planned::Counted
    } else {
        Planned::Limited
    }
}

/// The number that an order names: what the plan wants, and what is there beside it.
///
/// Failure: an order names all servers of a kind, and the plan knows the old version's only. Symptom: while both versions
/// serve, an order for one more server gives back those of the new version. Servers with a limit count as far as the service
/// may have so many in a data centre, for an order beyond that is refused.
fn count_ordered(node: &Node, service: &ServiceName, order: &Order, most: u32) -> u32 {
    let servers = node.servers.borrow();
    let is_reclaimable = order.kind == ServerKind::Reclaimable;
    let (mut other_version, mut limited, mut other_kind) = (0, 0, 0);
    let there = servers.usable(service, clock::now());
    for (_, server) in there.filter(|(_, it)| it.entry.data_centre == order.data_centre) {
        let planned = planned(node, service, server);
        if server.entry.reclaimable != is_reclaimable {
            other_kind += 1;
        } else if planned == Planned::OtherVersion {
            other_version += 1;
        } else if planned == Planned::Limited {
            limited += 1;
        }
    }
    let room = most.saturating_sub(other_kind + order.count);
    order.count + other_version + limited.min(room)
}

/// Sends an order; `None` where this VM may no longer act.
async fn send_order<C>(
    node: &Node,
    cloud: &C,
    service: &ServiceName,
    order: &Order,
    busy: f64,
    most: u32,
) -> Option<OrderOutcome>
where
    C: CloudApi,
{
    let holder = acting(node)?;
    let wanted = ServerOrder {
        service: service.clone(),
        data_centre: order.data_centre.clone(),
        count: count_ordered(node, service, order, most),
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
        count = wanted.count, busy, number = holder.number.0, outcome:? = outcome;
        "servers-ordered"
    );
    if let Err(error @ CloudError::Call { .. }) = result {
        log::warn!(error:% = error; "order-unanswered");
    }
    Some(outcome)
}

#[cfg(test)]
mod tests;
