//! Retries of requests on another server, within the retry budget of their service.

use quincevalve_forwarding::retry_budget::RetryBudget;
use quincevalve_names::{ServiceName, TimePoint};

use crate::{
    clock,
    node::Node,
    request::{identify::IdentifiedRequest, trace::log_request},
};

/// Calls `f` with the retry budget of a service.
fn with_budget<R>(node: &Node, service: &ServiceName, f: impl FnOnce(&mut RetryBudget) -> R) -> R {
    let mut budgets = node.retries.borrow_mut();
    f(budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(node.started_at)))
}

/// Counts the first attempt of a request.
pub(super) fn record_request(node: &Node, service: &ServiceName) {
    with_budget(node, service, |it| it.record_request(clock::now()));
}

/// A retry that was paid from the budget of its service.
#[derive(Clone, Copy, Debug)]
#[must_use]
pub(super) struct PaidRetry {
    spent_at: TimePoint,
}

impl PaidRetry {
    /// Records that the retry is sent after its request has waited for a server.
    pub(super) fn record_sent(self, node: &Node, service: &ServiceName) {
        with_budget(node, service, |it| it.postpone(self.spent_at, clock::now()));
    }
}

/// Spends one retry of the request's service; returns `None` if none is available.
pub(super) fn try_spend(node: &Node, req: &IdentifiedRequest) -> Option<PaidRetry> {
    let (now, limits) = (clock::now(), &node.settings.retries);
    let vms = node.vm_count_within(limits.window);
    let (usage, is_paid) = with_budget(node, &req.service, |it| {
        (it.usage(limits, vms, now), it.try_spend(limits, vms, now))
    });
    let since_start_ms = now.since(node.started_at).as_millis() as u64;
    let allowed = format!("{:.2}", usage.allowed);
    let service = req.service.as_str();
    node.metrics.count_retry(service, if is_paid { "paid" } else { "refused" });
    if is_paid {
        log_request!(
            node, req, service = service, vms = vms, spent = usage.spent, allowed = allowed,
            since_start_ms = since_start_ms;
            "retry-paid"
        );
    } else {
        log_request!(
            node, req, service = service, vms = vms, spent = usage.spent, allowed = allowed,
            since_start_ms = since_start_ms;
            "retry-refused"
        );
    }
    is_paid.then_some(PaidRetry { spent_at: now })
}

/// Returns whether a retry remains for a service.
pub(super) fn has_remaining(node: &Node, service: &ServiceName) -> bool {
    let limits = &node.settings.retries;
    let vms = node.vm_count_within(limits.window);
    with_budget(node, service, |it| it.has_remaining(limits, vms, clock::now()))
}
