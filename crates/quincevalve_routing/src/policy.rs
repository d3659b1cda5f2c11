//! Policies: how one candidate is weighed against another.

use std::time::Duration;

use crate::{Ask, server::Server};

/// A candidate as a policy sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    server: &'a Server,
    cached: bool,
    routers: u32,
}

impl<'a> Candidate<'a> {
    pub(crate) const fn new(server: &'a Server, cached: bool, routers: u32) -> Self {
        Self { server, cached, routers }
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
        let ahead = self.server.outstanding_prompt.max(self.server.report.queued_tokens);
        let prefill = f64::from(own + ahead) / f64::from(spec.prefill_tokens_per_s);
        let waiting = (self.server.load(self.routers) - f64::from(spec.slots) + 1.0).max(0.0);
        let turn = spec.token_time.as_secs_f64() * TURN_TOKENS / f64::from(spec.slots);
        Duration::from_secs_f64(prefill + turn * waiting)
    }

    /// The share of the server's slots that are taken, above 1 where work waits.
    pub fn fill(&self) -> f64 {
        self.server.fill(self.routers)
    }

    /// Whether the cloud may take the server back.
    pub fn is_reclaimable(&self) -> bool {
        self.server.spec.reclaimable
    }
}

/// Tokens that a running answer is assumed to have left when its slot is waited for.
const TURN_TOKENS: f64 = 64.0;

/// A way to weigh candidates: the lowest cost wins.
pub trait Policy {
    /// The cost of sending `ask` to `candidate`; comparable within one decision only.
    fn cost(&self, ask: &Ask<'_>, candidate: &Candidate<'_>) -> f64;

    /// Whether the whole pool is looked at, and not just a few candidates.
    const SCANS_ALL: bool;
}

/// The lowest predicted time to the first token among a few candidates.
#[derive(Clone, Copy, Debug, Default)]
pub struct PredictedFirstToken;

impl Policy for PredictedFirstToken {
    const SCANS_ALL: bool = false;

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

    fn cost(&self, _ask: &Ask<'_>, candidate: &Candidate<'_>) -> f64 {
        f64::from(candidate.outstanding())
    }
}
