//! Settle: counts and logs the end of a request, exactly once.

use quincevalve_inventory::Promise;
use quincevalve_names::TimePoint;

use crate::{answer::End, reader::is_complete, request::Identified, shared::Shared};

/// Records how a request ended, in the answer table, the error budget, the metrics and the log.
pub(crate) fn settle(
    shared: &Shared,
    request: &Identified,
    end: &End,
    first_token_at: Option<TimePoint>,
    attempts: u32,
) {
    let now = shared.timer.now();
    shared.answers.record_ended(request.id);
    if matches!(end, End::Moved) {
        // The VM that took over the request counts its end.
        return;
    }
    let kept_promise = is_complete(end) && is_promise_kept(request, now, first_token_at);
    shared.burn.count(now, &request.account, &request.class, request.id, kept_promise);
    let outcome = match end {
        End::Whole => "whole",
        End::Refused(it) => it.outcome.as_str(),
        End::Moved => "moved",
    };
    shared.metrics.count(&format!("requests.{outcome}"), 1);
    shared.metrics.time("request", now - request.arrived);
    log::debug!(
        "request={} account={} class={} outcome={outcome} attempts={attempts} ms={}",
        request.id,
        request.account,
        request.class,
        (now - request.arrived).as_millis(),
    );
}

/// Returns whether the promised time was met.
fn is_promise_kept(
    request: &Identified,
    now: TimePoint,
    first_token_at: Option<TimePoint>,
) -> bool {
    let promise_deadline = request.promise_deadline();
    match request.promise {
        Promise::FirstTokenMs(_) => first_token_at.unwrap_or(now) <= promise_deadline,
        Promise::CompleteMs(_) => now <= promise_deadline,
    }
}
