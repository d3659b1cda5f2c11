//! Whether a server has exited, or only a connection to it ended.

use std::rc::Rc;

use quincevalve_forwarding::{placement::Placement, servers::start_hash};
use tokio::task::spawn_local;

use crate::{
    clock,
    node::Node,
    request::{backends::Reach, identify::Identified},
};

/// Finds out in the background why a server's connection ended before the answer did.
pub(crate) fn connection_broke(node: &Rc<Node>, req: &Identified, place: &Placement) {
    let (node, place) = (node.clone(), place.clone());
    let (id, digest) = (req.id.clone(), req.digest());
    spawn_local(async move {
        if !has_exited(&node, &place).await {
            return;
        }
        log::warn!(
            id, server = place.server.as_str(), start = place.start.0, digest:% = digest;
            "server-exited"
        );
        let server = start_hash(&place.server, place.start);
        node.poison.borrow_mut().record_server_exit(digest, server, clock::now());
    });
}

/// Whether the server has exited without having been expected to.
///
/// A connection also ends where a link is reset, an answer is spoiled or a server is taken back. Only a server that was
/// not about to go and whose port refuses connections has crashed; one that can't be reached at all may be cut off.
async fn has_exited(node: &Node, place: &Placement) -> bool {
    let address = {
        let servers = node.servers.borrow();
        let Some(server) = servers.get(&place.server) else { return false };
        if server.entry.start != place.start {
            return server.entry.start > place.start;
        }
        if server.is_departing() {
            return false;
        }
        server.entry.address
    };
    match node.backends.reach(place, address).await {
        Reach::Listens | Reach::Unknown => false,
        Reach::NobodyListens => true,
    }
}
