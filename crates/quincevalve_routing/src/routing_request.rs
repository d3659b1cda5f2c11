//! Input of a routing decision.

use quincevalve_names::{DataCentreName, TimePoint};

use crate::{PoolKey, ServerIndex};

/// Latency class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Urgency {
    /// A caller waits for the first token, so its latency matters.
    Interactive,
    /// Only the completion time matters.
    Bulk,
}

/// Input of one routing decision. All fields are borrowed or `Copy`, so building it allocates nothing.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    /// Current time.
    pub now: TimePoint,
    /// Pool of servers that can process the request.
    pub pool: &'a PoolKey,
    /// Data centre of the entry VM that routes the request.
    pub data_centre: &'a DataCentreName,
    /// Hash of the prompt's prefix. Requests with equal hashes can share cached state.
    pub prefix: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Latency class of the request.
    pub urgency: Urgency,
    /// Servers that the request has already been sent to.
    pub tried: &'a [ServerIndex],
}
