//! Configurations from other entry VMs, for a VM that can't read the store.

use std::{net::SocketAddr, time::Duration};

use quincevalve_forwarding::{
    chunks::{Assembly, Chunk, split_into_chunks},
    config::ForwardingConfig,
};
use quincevalve_names::TimePoint;

use crate::node::Node;

/// From the first word of a newer configuration to asking others for it: a store that answers has given it by then.
const STORE_TIME: Duration = Duration::from_millis(400);
/// Time between two questions: several times the way there and back.
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// What is known of a newer configuration that others have.
#[derive(Debug, Default)]
pub(crate) struct ConfigCopy {
    lacking_since: Option<TimePoint>,
    asked: Option<TimePoint>,
    assembly: Assembly,
}

/// Whether to ask for the configuration at this moment.
///
/// Failure: the store turns some VMs away while keys are taken away. Symptom: they are told that there is a newer
/// configuration, can't read it, and must refuse everybody with a key until the store takes them back: four in ten
/// of all callers for four seconds. Others have it, and pass it on.
pub(crate) fn is_wanted(node: &Node, now: TimePoint) -> bool {
    let known = node.config().map_or(0, |it| it.version);
    let mut copy = node.config_copy.borrow_mut();
    if node.reported_config_version.get() <= known {
        copy.lacking_since = None;
        return false;
    }
    let since = *copy.lacking_since.get_or_insert(now);
    let is_due = copy.asked.is_none_or(|it| now.since(it) >= ASK_AGAIN);
    if now.since(since) < STORE_TIME || !is_due {
        return false;
    }
    copy.asked = Some(now);
    true
}

/// The parts of the configuration for a VM that has none above version `above`.
pub(crate) fn parts_above(node: &Node, above: u64) -> Vec<Chunk> {
    let Some(config) = node.config().filter(|it| it.version > above) else { return Vec::new() };
    match bincode::serialize(&*config) {
        Ok(value) => split_into_chunks(config.version, &value),
        Err(error) => {
            log::error!(error:% = error; "config-not-encoded");
            Vec::new()
        }
    }
}

/// Takes a part of a configuration that another VM has.
pub(crate) fn take_part(node: &Node, part: Chunk, from: SocketAddr) {
    if node.config().is_some_and(|it| it.version >= part.version) {
        return;
    }
    let Some(value) = node.config_copy.borrow_mut().assembly.add(part) else { return };
    match bincode::deserialize::<ForwardingConfig>(&value) {
        Ok(config) => {
            log::info!(peer:% = from, version = config.version; "config-from-peer");
            node.apply_config(config);
        }
        Err(error) => log::error!(peer:% = from, error:% = error; "config-copy-unreadable"),
    }
}

#[cfg(test)]
mod tests;
