//! Applies the signals that servers send in response headers.

use http::{HeaderMap, StatusCode};
use quincevalve_forwarding::{placement::Placement, signal_outbox::SignalSource};

use crate::{clock, node::Node, signal_reports::publish_signals};

/// Applies the signals in a response's headers to the server that sent the response.
pub(super) fn apply_signals(
    node: &Node,
    place: &Placement,
    status: StatusCode,
    headers: &HeaderMap,
) {
    // The response comes from another server at the same address.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let decoded = (node.headers.signals)(headers);
    for signal in decoded.unreadable {
        if node.may_log() {
            log::warn!(
                server = place.server.as_str(), name:% = signal.name, value = signal.value;
                "signal-unreadable"
            );
        }
    }
    let signals = decoded.signals;
    let now = clock::now();
    let mut servers = node.servers.borrow_mut();
    let (name, start) = (&place.server, place.start);
    if let Some(rest) = signals.rest.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)
        && let Some(server) = servers.get_mut(name, start)
    {
        server.extend_rest(rest, now);
        if node.may_log() {
            let rest_ms = rest.as_millis() as u64;
            log::info!(server = place.server.as_str(), start = place.start.0, rest_ms; "server-rests");
        }
    }
    let Some(update) = servers.apply_signals(name, start, &signals, now) else { return };
    let key = (name.clone(), start);
    publish_signals(node, key, &servers, update, SignalSource::Server);
}
