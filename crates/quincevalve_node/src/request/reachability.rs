//! Checks which servers this VM can connect to, without waiting for requests to find out.

use std::{rc::Rc, time::Duration};

use indexmap::IndexMap;
use quincevalve_forwarding::servers::reachability::ProbeTarget;
use quincevalve_names::{ServiceName, TimePoint};
use tokio::{task::spawn_local, time::sleep};

use crate::{clock, node::Node, request::connection_pool::ProbeResult};

/// Interval between two rounds of probes. A connection attempt that gets no response fails within it.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Probes servers while some can't be reached, and logs which services are cut off, for as long as the process runs.
pub(crate) async fn watch_reachability(node: Rc<Node>) {
    let mut cut_off: IndexMap<ServiceName, TimePoint> = IndexMap::new();
    loop {
        sleep(PROBE_INTERVAL).await;
        let now = clock::now();
        log_changes(&node, &mut cut_off, now);
        let targets = node.servers.borrow().servers_to_probe(&mut *node.rng.borrow_mut(), now);
        for target in targets {
            spawn_local(probe(node.clone(), target));
        }
    }
}

async fn probe(node: Rc<Node>, target: ProbeTarget) {
    let ProbeTarget { server, address } = target;
    let (name, start) = server.clone();
    let result = node.connections.probe(server, address).await;
    let now = clock::now();
    let mut servers = node.servers.borrow_mut();
    match result {
        ProbeResult::Listening => servers.record_connected(&name, start, now),
        ProbeResult::ConnectionRefused | ProbeResult::Unknown => {
            let unreachable = servers.mark_unreachable(&name, start, now);
            node.connections.drop_all_idle(unreachable);
        }
    }
}

/// Logs the services that are cut off since the last call, and those that no longer are.
fn log_changes(node: &Node, known: &mut IndexMap<ServiceName, TimePoint>, now: TimePoint) {
    let cut_off = node.servers.borrow().cut_off_services(now);
    known.retain(|service, since| {
        let remains = cut_off.contains(service);
        if !remains {
            let after_ms = now.since(*since).as_millis() as u64;
            log::info!(service = service.as_str(), after_ms; "servers-reachable");
        }
        remains
    });
    for service in cut_off {
        if !known.contains_key(&service) {
            log::warn!(service = service.as_str(); "servers-unreachable");
            known.insert(service, now);
        }
    }
}
