//! What servers say of themselves in answers, as this VM takes it.

use http::{HeaderMap, StatusCode};
use quincevalve_forwarding::{placement::Placement, signal_outbox::Source};

use crate::{clock, node::Node, server_news::note_news};

/// Takes what an answer's headers say of the server that gave it.
pub(super) fn take_signals(
    node: &Node,
    place: &Placement,
    status: StatusCode,
    headers: &HeaderMap,
) {
    // Another server answered at the address.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let decoded = (node.headers.signals)(headers);
    for signal in decoded.unreadable {
        if node.may_write_line() {
            log::warn!(
                server = place.server.as_str(), name:% = signal.name, value = signal.value;
                "signal-unreadable"
            );
        }
    }
    let signals = decoded.signals;
    if let Some(rest) = signals.rest.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)
        && node.may_write_line()
    {
        log::info!(server = place.server.as_str(), rest_ms = rest.as_millis() as u64; "server-rests");
    }
    let mut servers = node.servers.borrow_mut();
    let Some(server) = servers.get_mut(&place.server, place.start) else { return };
    let news = server.signalled(&signals, clock::now());
    note_news(node, (place.server.clone(), place.start), server, news, Source::Server);
}
