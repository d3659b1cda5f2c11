//! Reports of servers' signals between VMs.

use quincevalve_forwarding::{
    server_signals::{ReportedSignals, RequestRate, SignalUpdate},
    servers::{ServerStart, ServerTable},
    signal_outbox::{ServerKey, SignalSource},
};
use quincevalve_names::BackendServerName;

use crate::{clock, node::Node};

/// The signals of one start of a server.
pub(crate) type SignalReport = (BackendServerName, ServerStart, ReportedSignals);

/// Logs an update of a server's signals and queues it for other VMs. Does nothing if the update is empty.
pub(crate) fn publish_signals(
    node: &Node,
    key: ServerKey,
    servers: &ServerTable,
    update: SignalUpdate,
    from: SignalSource,
) {
    let Some(server) = servers.get(&key.0).filter(|_| !update.is_empty()) else { return };
    let (name, start) = (key.0.as_str(), key.1.0);
    if update.limit && node.may_log() {
        let per_second = server.limit().map_or(-1.0, RequestRate::per_second);
        log::info!(server = name, start, per_second, from:? = from; "server-limit");
    }
    if update.brittle && node.may_log() {
        let rejections = server.brittle().map_or(-1, i64::from);
        log::info!(server = name, start, rejections, from:? = from; "server-brittle");
    }
    if update.leaving {
        log::info!(server = name, start, from:? = from; "server-leaving");
        node.changed.notify_waiters();
    }
    node.signal_outbox.borrow_mut().push(key, from);
}

/// Applies signals that other VMs report.
pub(crate) fn apply_signal_reports(node: &Node, reports: Vec<SignalReport>, from: SignalSource) {
    let now = clock::now();
    let mut servers = node.servers.borrow_mut();
    for (name, start, reported) in reports {
        let Some(update) = servers.apply_report(&name, start, &reported, now) else { continue };
        publish_signals(node, (name, start), &servers, update, from);
    }
}

/// Returns the current signals of these servers, for other VMs.
pub(crate) fn signal_reports_of(node: &Node, keys: Vec<ServerKey>) -> Vec<SignalReport> {
    let now = clock::now();
    let servers = node.servers.borrow();
    let report = |(name, start): ServerKey| {
        let server = servers.get(&name).filter(|it| it.entry.start == start)?;
        let reported = server.signals_to_report(now)?;
        Some((name, start, reported))
    };
    keys.into_iter().filter_map(report).collect()
}
