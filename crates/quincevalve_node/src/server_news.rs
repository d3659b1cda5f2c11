//! What servers say of themselves, on its way between VMs.

use quincevalve_forwarding::{
    server_signals::{ReportedSignals, RequestRate, SignalUpdate},
    servers::{Server, ServerStart},
    signal_outbox::{ServerKey, SignalSource},
};
use quincevalve_names::BackendServerName;

use crate::{clock, node::Node};

/// What one start of a server said of itself.
pub(crate) type ServerNews = (BackendServerName, ServerStart, ReportedSignals);

/// Notes what a server said that wasn't known here, and has other VMs told.
pub(crate) fn note_news(
    node: &Node,
    key: ServerKey,
    server: &Server,
    news: SignalUpdate,
    from: SignalSource,
) {
    if news.is_empty() {
        return;
    }
    let (name, start) = (key.0.as_str(), key.1.0);
    if news.limit && node.may_log() {
        let per_second = server.limit().map_or(-1.0, RequestRate::per_second);
        log::info!(server = name, start, per_second, from:? = from; "server-limit");
    }
    if news.leaving {
        log::info!(server = name, start, from:? = from; "server-leaving");
        node.changed.notify_waiters();
    }
    node.signal_outbox.borrow_mut().push(key, from);
}

/// Takes what servers said to other VMs.
pub(crate) fn take_news(node: &Node, news: Vec<ServerNews>, from: SignalSource) {
    let now = clock::now();
    let mut servers = node.servers.borrow_mut();
    for (name, start, told) in news {
        let Some(server) = servers.get_mut(&name, start) else { continue };
        let news = server.apply_report(&told, now);
        note_news(node, (name, start), server, news, from);
    }
}

/// What is known of servers now, to tell others.
pub(crate) fn news_of(node: &Node, keys: Vec<ServerKey>) -> Vec<ServerNews> {
    let now = clock::now();
    let servers = node.servers.borrow();
    let news = |(name, start): ServerKey| {
        let server = servers.get(&name).filter(|it| it.entry.start == start)?;
        let told = server.signals_to_report(now)?;
        Some((name, start, told))
    };
    keys.into_iter().filter_map(news).collect()
}
