//! What the router is asked.

use quincevalve_names::{DataCentreName, TimePoint};

use crate::{PoolKey, ServerIndex};

/// How a class of work trades time against cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Urgency {
    /// A caller waits for the first token.
    Interactive,
    /// Only the end matters.
    Bulk,
}

/// One routing question. It borrows everything: asking allocates nothing.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The present.
    pub now: TimePoint,
    /// What is asked for.
    pub pool: &'a PoolKey,
    /// Where the asking entry VM stands.
    pub data_centre: &'a DataCentreName,
    /// A hash of the prompt's prefix: requests with equal hashes share cached state.
    pub prefix: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// How urgent it is.
    pub urgency: Urgency,
    /// Servers that this request has tried already.
    pub tried: &'a [ServerIndex],
}
