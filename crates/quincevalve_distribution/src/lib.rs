//! Configuration in force everywhere within seconds, never reverting.
//!
//! A few relays in each data centre watch the platform's store; everybody else gets revisions from peers.
//! News of a revision spreads by gossip, its content is fetched from whoever has it.

mod distribution;

pub use crate::distribution::{
    Distribution, DistributionAction, DistributionSettings, Peer, Source,
};
