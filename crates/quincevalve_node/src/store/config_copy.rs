//! Fetches a configuration from other entry VMs when this VM can't read it from the store.

use std::{net::SocketAddr, time::Duration};

use quincevalve_forwarding::{
    chunks::{Assembly, Chunk, split_into_chunks},
    config::ForwardingConfig,
};
use quincevalve_names::TimePoint;

use crate::node::Node;

/// Time from the first report of a newer configuration to the first request to other VMs. A store that answers has
/// delivered the configuration by then.
const PEER_REQUEST_DELAY: Duration = Duration::from_millis(400);
/// Interval between two requests: several round trips.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// State of fetching a newer configuration that other VMs have.
#[derive(Debug, Default)]
pub(crate) struct ConfigCopy {
    missing_since: Option<TimePoint>,
    requested_at: Option<TimePoint>,
    assembly: Assembly,
}

/// Returns whether to request the configuration from other VMs now, and records the request.
///
/// If the store rejects some VMs while keys are removed, these VMs learn of a newer configuration that they can't read.
/// They would have to reject all callers with keys until the store accepts them again: 40 % of all callers for 4 s.
/// The other VMs have the configuration and send it.
pub(crate) fn should_request(node: &Node, now: TimePoint) -> bool {
    let known = node.config().map_or(0, |it| it.version);
    let mut copy = node.config_copy.borrow_mut();
    if node.reported_config_version.get() <= known {
        copy.missing_since = None;
        return false;
    }
    let since = *copy.missing_since.get_or_insert(now);
    let is_due = copy.requested_at.is_none_or(|it| now.since(it) >= REQUEST_INTERVAL);
    if now.since(since) < PEER_REQUEST_DELAY || !is_due {
        return false;
    }
    copy.requested_at = Some(now);
    true
}

/// Returns the chunks of the configuration if it is newer than `version`, else nothing.
pub(crate) fn chunks_newer_than(node: &Node, version: u64) -> Vec<Chunk> {
    let Some(config) = node.config().filter(|it| it.version > version) else { return Vec::new() };
    match encode(&config) {
        Ok(value) => split_into_chunks(config.version, &value),
        Err(error) => {
            log::error!(error:% = error; "config-not-encoded");
            Vec::new()
        }
    }
}

/// Receives a chunk of another VM's configuration. The last missing chunk applies the configuration.
pub(crate) fn receive_chunk(node: &Node, chunk: Chunk, from: SocketAddr) {
    if node.config().is_some_and(|it| it.version >= chunk.version) {
        return;
    }
    let Some(value) = node.config_copy.borrow_mut().assembly.add(chunk) else { return };
    match decode(&value) {
        Ok(config) => {
            log::info!(peer:% = from, version = config.version; "config-from-peer");
            node.apply_config(config);
        }
        Err(error) => log::error!(peer:% = from, error:% = error; "config-copy-unreadable"),
    }
}

/// Encodes a configuration, followed by the settings of run copies if there are any.
fn encode(config: &ForwardingConfig) -> bincode::Result<Vec<u8>> {
    let mut value = bincode::serialize(config)?;
    if !config.run_copies.is_empty() {
        bincode::serialize_into(&mut value, &config.run_copies)?;
    }
    Ok(value)
}

fn decode(value: &[u8]) -> bincode::Result<ForwardingConfig> {
    let mut config: ForwardingConfig = bincode::deserialize(value)?;
    // Decoding from a reader would report the end of the configuration, but allocates whatever length the bytes state.
    let length = bincode::serialized_size(&config)? as usize;
    if let Some(rest) = value.get(length..).filter(|it| !it.is_empty()) {
        config.run_copies = bincode::deserialize(rest)?;
    }
    Ok(config)
}

#[cfg(test)]
mod tests;
