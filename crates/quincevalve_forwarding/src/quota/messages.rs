//! Messages between a VM and the quota owner of an account.

use quincevalve_names::ClientAccountName;
use serde::{Deserialize, Serialize};

use super::OverQuota;

/// A message between a VM and a quota owner. `seq` numbers the queries of one start of the querying VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Queries whether a request fits the quota of its account.
    Query {
        /// Number of the query.
        seq: u64,
        /// Account of the request.
        account: ClientAccountName,
        /// Units that the request costs.
        cost: f64,
        /// Urgency of the request; 0 is the most urgent.
        urgency: u8,
    },
    /// Answers a query.
    Answer {
        /// Number of the query.
        seq: u64,
        /// The owner's decision.
        decision: Decision,
    },
    /// Returns the units of a request that was granted and has not run.
    Refund {
        /// Number of the query that was granted.
        seq: u64,
        /// Account of the request.
        account: ClientAccountName,
        /// Units that were granted.
        cost: f64,
    },
}

/// An owner's decision on a query.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// The request is admitted, and its cost is charged at the owner.
    Granted,
    /// The request is rejected.
    Refused(OverQuota),
    /// The owner has just started, or doesn't know the account's quota; the querying VM decides.
    Undecided,
}
