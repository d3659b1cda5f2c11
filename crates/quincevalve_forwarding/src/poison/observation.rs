//! What one VM saw of suspects, for its log.

use super::Suspect;
use crate::request_digest::RequestDigest;

/// What happened to a suspect, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// This VM reported an exit to the arbiters.
    Reported {
        /// The suspect.
        suspect: Suspect,
        /// The request that ran.
        request: RequestDigest,
        /// The VMs to which it was reported.
        arbiters: Vec<String>,
    },
    /// This VM, an arbiter, asks all VMs whether it completed.
    Inquired {
        /// The suspect.
        suspect: Suspect,
        /// Number of servers that exited under it.
        exits: usize,
    },
    /// It completed at a VM, so that it is no suspect.
    Cleared {
        /// The suspect.
        suspect: Suspect,
        /// The VM that said so.
        by: String,
    },
    /// A VM reported its quarantine.
    Heard {
        /// The suspect.
        suspect: Suspect,
        /// The VM that decided.
        from: String,
    },
}
