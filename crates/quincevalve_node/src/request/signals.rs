//! What servers say of themselves in answers, as this VM takes it.

use http::{HeaderMap, StatusCode};
use quincevalve_forwarding::{placement::Placement, server_signals::RequestRate};

use crate::{node::Node, request::exchange::about};

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
    about(node, place, |server, _| {
        if server.signalled(&decoded.signals) && node.may_write_line() {
            log::info!(
                server = place.server.as_str(), start = place.start.0,
                per_second = server.limit().map_or(-1.0, RequestRate::per_second);
                "server-limit"
            );
        }
    });
}
