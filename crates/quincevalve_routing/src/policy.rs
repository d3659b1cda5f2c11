//! Routing policies, which assign a cost to each candidate server.

use std::time::Duration;

use quincevalve_names::seconds;

use crate::{RoutingRequest, server::Server};

/// Server that a policy evaluates for one request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    server: &'a Server,
    cached: bool,
}

impl<'a> Candidate<'a> {
    pub(crate) const fn new(server: &'a Server, cached: bool) -> Self {
        Self { server, cached }
    }

    /// Returns the number of this router's outstanding requests on the server.
    pub fn outstanding(&self) -> u32 {
        self.server.outstanding
    }

    /// Returns the number of running requests from the server's last load report.
    pub fn reported_running(&self) -> u32 {
        self.server.report.running
    }

    /// Returns whether the prompt's prefix is probably in the server's cache.
    pub const fn is_cached(&self) -> bool {
        self.cached
    }

    /// Predicts the time to first token.
    ///
    /// The queued prompt tokens and the request's own pass the prefill first. If all slots are in use, the
    /// request also waits for a slot.
    pub fn predicted_first_token(&self, request: &RoutingRequest<'_>) -> Duration {
        let spec = &self.server.spec;
        let uncached_tokens =
            if self.cached { request.prompt_tokens / 8 } else { request.prompt_tokens };
        let prefill = (f64::from(uncached_tokens) + self.server.estimated_queued_tokens())
            / f64::from(spec.prefill_tokens_per_s);
        let slots = f64::from(spec.slots);
        let slot_wait = spec.token_time.as_secs_f64() * REMAINING_OUTPUT_TOKENS / slots;
        seconds(prefill + slot_wait * expected_excess(self.server.estimated_requests(), slots))
    }

    /// Returns the estimated fraction of the server's slots in use; above 1 if requests wait.
    pub fn utilization(&self) -> f64 {
        self.server.utilization()
    }

    /// Returns whether the cloud may reclaim the server.
    pub fn is_reclaimable(&self) -> bool {
        self.server.spec.reclaimable
    }
}

/// Returns the expected number of requests in excess of the slots.
///
/// The load is only an estimate: near the limit it exceeds the slots some of the time even if its mean doesn't.
fn expected_excess(load: f64, slots: f64) -> f64 {
    let spread = load.sqrt().max(1.0) / 2.0;
    let excess_in_spreads = (load + 1.0 - slots) / spread;
    // Smooth approximation of max(0, `excess_in_spreads`).
    spread * f64::midpoint(excess_in_spreads, (excess_in_spreads * excess_in_spreads + 1.0).sqrt())
}

/// Assumed number of remaining output tokens of a running response while another request waits for its slot.
const REMAINING_OUTPUT_TOKENS: f64 = 64.0;

/// Assigns costs to candidates; the router chooses the lowest cost.
pub trait Policy {
    /// Returns the cost of sending the request to `candidate`, comparable only within one decision.
    fn cost(&self, request: &RoutingRequest<'_>, candidate: &Candidate<'_>) -> f64;

    /// Whether the policy evaluates the whole pool instead of a few candidates.
    const SCANS_ALL: bool;

    /// Whether bulk requests wait while servers are highly utilized.
    const DEFERS_BULK: bool;
}

/// Chooses the lowest predicted time to first token among a few candidates.
#[derive(Clone, Copy, Debug, Default)]
pub struct PredictedFirstToken;

impl Policy for PredictedFirstToken {
    const SCANS_ALL: bool = false;
    const DEFERS_BULK: bool = true;

    fn cost(&self, request: &RoutingRequest<'_>, candidate: &Candidate<'_>) -> f64 {
        let predicted = candidate.predicted_first_token(request).as_secs_f64();
        // Losing long-running work costs the most, so bulk requests prefer servers that can't be reclaimed
        // if the predicted times are similar.
        let reclaim_risk = match request.urgency {
            crate::Urgency::Bulk if candidate.is_reclaimable() => RECLAIM_RISK_SECONDS,
            _ => 0.0,
        };
        predicted + reclaim_risk + candidate.utilization() * UTILIZATION_COST_SECONDS
    }
}

/// Additional wait, in seconds, that a bulk request accepts to avoid a reclaimable server.
const RECLAIM_RISK_SECONDS: f64 = 0.020;

/// Cost of full utilization in seconds, in addition to the queue: batching slows down every response on the server.
const UTILIZATION_COST_SECONDS: f64 = 0.010;

/// Baseline policy: chooses the fewest outstanding requests of this router over the whole pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastOutstanding;

impl Policy for LeastOutstanding {
    const SCANS_ALL: bool = true;
    const DEFERS_BULK: bool = false;

    fn cost(&self, _request: &RoutingRequest<'_>, candidate: &Candidate<'_>) -> f64 {
        f64::from(candidate.outstanding())
    }
}
