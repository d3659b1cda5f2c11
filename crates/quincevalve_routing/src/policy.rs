//! Policies: how one candidate is weighed against another.

use std::time::Duration;

use crate::{Ask, server::Server};

/// A candidate as a policy sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    server: &'a Server,
    cached: bool,
}

impl<'a> Candidate<'a> {
    pub(crate) const fn new(server: &'a Server, cached: bool) -> Self {
        Self { server, cached }
    }

    /// This router's own requests on the server.
    pub fn outstanding(&self) -> u32 {
        self.server.outstanding
    }

    /// Requests on the server by its own last report.
    pub fn reported(&self) -> u32 {
        self.server.report.running
    }

    /// Whether the prompt's prefix is believed to be in the server's cache.
    pub const fn is_cached(&self) -> bool {
        self.cached
    }

    /// The predicted time to the first token.
    ///
    /// Prompt tokens ahead and the own ones pass the prefill first; where every slot is taken, the
    /// request waits in addition for its turn.
    pub fn predicted_first_token(&self, ask: &Ask<'_>) -> Duration {
        let spec = &self.server.spec;
        let own = if self.cached { ask.prompt_tokens / 8 } else { ask.prompt_tokens };
        let prefill = (f64::from(own) + self.server.queue()) / f64::from(spec.prefill_tokens_per_s);
        let slots = f64::from(spec.slots);
        let turn = spec.token_time.as_secs_f64() * TURN_TOKENS / slots;
        Duration::from_secs_f64(prefill + turn * expected_excess(self.server.load(), slots))
    }

    /// The share of the server's slots that are taken, above 1 where work waits.
    pub fn fill(&self) -> f64 {
        self.server.fill()
    }

    /// Whether the cloud may take the server back.
    pub fn is_reclaimable(&self) -> bool {
        self.server.spec.reclaimable
    }
}

/// The expected number of requests above the slots, where the load is only known roughly: near the
/// limit some moments are above it though the mean is below.
fn expected_excess(load: f64, slots: f64) -> f64 {
    let spread = load.sqrt().max(1.0) / 2.0;
    let over = (load + 1.0 - slots) / spread;
    // A smooth maximum of zero and `over`.
    spread * f64::midpoint(over, (over * over + 1.0).sqrt())
}

/// Tokens that a running answer is assumed to have left when its slot is waited for.
const TURN_TOKENS: f64 = 64.0;

/// A way to weigh candidates: the lowest cost wins.
pub trait Policy {
    /// The cost of sending `ask` to `candidate`; comparable within one decision only.
    fn cost(&self, ask: &Ask<'_>, candidate: &Candidate<'_>) -> f64;

    /// Whether the whole pool is looked at, and not just a few candidates.
    const SCANS_ALL: bool;

    /// Whether bulk work waits while servers are full.
    const HOLDS_BULK: bool;
}

/// The lowest predicted time to the first token among a few candidates.
#[derive(Clone, Copy, Debug, Default)]
pub struct PredictedFirstToken;

impl Policy for PredictedFirstToken {
    const SCANS_ALL: bool = false;
    const HOLDS_BULK: bool = true;

    fn cost(&self, ask: &Ask<'_>, candidate: &Candidate<'_>) -> f64 {
        let predicted = candidate.predicted_first_token(ask).as_secs_f64();
        // Long work is the costliest to lose, so among near equals it prefers a server that stays.
        let risk = match ask.urgency {
            crate::Urgency::Bulk if candidate.is_reclaimable() => BULK_RISK_SECONDS,
            _ => 0.0,
        };
        predicted + risk + candidate.fill() * FILL_SECONDS
    }
}

/// Seconds of waiting that a bulk request accepts to be on a server that isn't reclaimable.
const BULK_RISK_SECONDS: f64 = 0.020;

/// Seconds that a full server costs beyond its queue: batching slows every answer on it.
const FILL_SECONDS: f64 = 0.010;

/// The naive policy: the fewest own requests outstanding, over the whole pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastOutstanding;

impl Policy for LeastOutstanding {
    const SCANS_ALL: bool = true;
    const HOLDS_BULK: bool = false;

    fn cost(&self, _ask: &Ask<'_>, candidate: &Candidate<'_>) -> f64 {
        f64::from(candidate.outstanding())
    }
}
