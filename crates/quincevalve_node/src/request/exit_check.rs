//! Checks whether a server has exited or only a connection to it has closed.

use std::rc::Rc;

use quincevalve_forwarding::{
    placement::Placement,
    poison::{ExitEvidence, RunStage},
    servers::{Robustness, start_hash},
    stream_versions::VersionTag,
};
use tokio::task::spawn_local;

use crate::{
    clock,
    node::Node,
    request::{connection_pool::ProbeResult, identify::IdentifiedRequest, trace::listed},
};

/// Checks in the background whether a server has exited after its connection closed before the answer was complete, and
/// records the exit under the request's digest and the parts of its prompt.
pub(crate) fn record_if_exited(
    node: &Rc<Node>,
    req: &IdentifiedRequest,
    place: &Placement,
    stage: RunStage,
) {
    let (node, place) = (node.clone(), place.clone());
    let (id, digest) = (req.id.clone(), req.digest());
    let parts = req.parts().to_vec();
    let version = VersionTag::of(&req.service, &place.version);
    spawn_local(async move {
        if !has_exited(&node, &place).await {
            return;
        }
        log::warn!(
            id, server = place.server.as_str(), start = place.start.0, digest:% = digest,
            parts = listed(&parts), stage:% = stage;
            "server-exited"
        );
        log_if_brittle(&node, &place);
        let server = start_hash(&place.server, place.start);
        let exit = ExitEvidence { server, version, stage, request: digest, beside: Vec::new() };
        let mut poison = node.poison.borrow_mut();
        poison.record_server_exit(digest, server, clock::now());
        poison.record_part_exits(&parts, &exit, clock::now());
    });
}

/// Logs that a server exited that had said that it is brittle, with what this VM had there.
fn log_if_brittle(node: &Node, place: &Placement) {
    let servers = node.servers.borrow();
    let server = servers.get(&place.server).filter(|it| it.entry.start == place.start);
    let Some(server) = server else { return };
    let Robustness::Brittle(rejections) = servers.robustness(server) else { return };
    let own = server.load.own_work(clock::now()).requests;
    let (share, vms) = (servers.room_share(server, None), servers.rank().vm_count);
    log::warn!(
        server = place.server.as_str(), start = place.start.0, rejections, own, share, vms;
        "brittle-server-exited"
    );
}

/// Returns whether the server has exited unexpectedly.
///
/// A connection also closes when a link is reset, an answer is corrupted or a server is reclaimed. A server has crashed
/// only if it was not leaving and its port refuses connections. A server that is unreachable altogether may be
/// partitioned from this VM.
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
    match node.connections.probe(place.server_key(), address).await {
        ProbeResult::Listening | ProbeResult::Unknown => false,
        ProbeResult::ConnectionRefused => true,
    }
}
