use quincevalve_forwarding::{
    fleet_size::{Order, ServerKind},
    load::Work,
    server_signals::{RequestRate, ServerSignals},
    servers::{ServerEntry, ServerStart},
};
use quincevalve_names::DataCentreName;

use super::{FleetPlanner, count_ordered, count_present, expected_demand};
use crate::{
    clock,
    node::Node,
    test_node::{any_address, node, run},
};

const START: ServerStart = ServerStart(1);

/// Returns a VM that knows three servers of a service; the first signals a limit of `limit` requests a second.
fn node_with_servers(limit: f64) -> Node {
    let node = node("vm-1");
    for name in ["s-1", "s-2", "s-3"] {
        let entry = ServerEntry {
            start: START,
            service: "engines".into(),
            address: any_address(),
            data_centre: "a".into(),
            version: "v1".into(),
            slots: 8,
            is_cold: false,
            draining: false,
            reclaimable: true,
            leaves_in: None,
        };
        node.servers.borrow_mut().apply_entry(&name.into(), entry, clock::now());
    }
    let signals = ServerSignals { limit: RequestRate::new(limit), ..ServerSignals::default() };
    node.servers.borrow_mut().apply_signals(&"s-1".into(), START, &signals, clock::now());
    node.record_demand(&"engines".into(), Work { prefill: 10_000, ..Work::default() }, true);
    node
}

fn order(count: u32) -> Order {
    Order { data_centre: "a".into(), kind: ServerKind::Reclaimable, count }
}

fn ordered_count(node: &Node) -> u32 {
    let centre: DataCentreName = "a".into();
    count_present(node, &"engines".into(), [&centre].into_iter())[&centre].reclaimable
}

// Guards against a plan that counts a server whose signalled limit leaves it almost idle as a whole server: too few
// servers would be ordered, and callers would be rejected.
#[test]
fn replaces_a_limited_server_without_releasing_it() {
    run(|| {
        let node = node_with_servers(0.5);
        assert_eq!(ordered_count(&node), 2);
        assert_eq!(count_ordered(&node, &"engines".into(), &order(3), 6), 4);
        // At most the service's maximum in a data centre.
        assert_eq!(count_ordered(&node, &"engines".into(), &order(3), 3), 3);
    });
}

#[test]
fn counts_a_server_whose_limit_exceeds_its_load() {
    run(|| {
        let node = node_with_servers(100.0);
        assert_eq!(ordered_count(&node), 3);
        assert_eq!(count_ordered(&node, &"engines".into(), &order(3), 6), 3);
    });
}

/// Plans all services once, as the holder of the duties does.
pub(crate) fn plan_once(node: &Node) {
    let Some(config) = node.config() else { return };
    for (name, service) in &config.services {
        let Some(scaling) = &service.scaling else { continue };
        let mut planner = FleetPlanner::new(node.started_at);
        if let Some(measured) = node.measured_demand.borrow().get(name) {
            planner.set_demand(measured.clone());
        }
        let present = count_present(node, name, scaling.prices.keys());
        let (rate, quota_demand) = (node.total_demand(name), expected_demand(&config));
        let reachable = node.peers.borrow().reachable_fraction();
        let busy = planner.observe(rate, reachable, quota_demand, &present, clock::now());
        let _ = planner.due_orders(scaling, busy, &present, clock::now());
    }
}
