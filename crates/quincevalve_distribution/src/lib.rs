//! Distribution of the configuration to all nodes within seconds, without ever reverting to an older revision.
//!
//! A few relays in each data centre watch the platform's store; all other nodes get revisions from peers.
//! Announcements of a revision spread by gossip; its content is fetched from a peer that has it.

mod distribution;

pub use crate::distribution::{
    Distribution, DistributionAction, DistributionSettings, Peer, Source,
};
