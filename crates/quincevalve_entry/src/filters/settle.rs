//! Settle: the end of a request, counted and written down once.

use quincevalve_inventory::Promise;
use quincevalve_names::TimePoint;

use crate::{answer::End, reader::is_complete, request::Identified, shared::Shared};

/// Notes how a request ended.
pub(crate) fn settle(
    shared: &Shared,
    request: &Identified,
    end: &End,
    first_token_at: Option<TimePoint>,
    attempts: u32,
) {
    let now = shared.timer.now();
    shared.answers.ended(request.id);
    if matches!(end, End::Moved) {
        // The VM that has the request now counts its end.
        return;
    }
    let good = is_complete(end) && kept_promise(request, now, first_token_at);
    shared.burn.count(now, &request.account, &request.class, request.id, good);
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

fn kept_promise(request: &Identified, now: TimePoint, first_token_at: Option<TimePoint>) -> bool {
    let promised_by = request.promised_by();
    match request.promise {
        Promise::FirstTokenMs(_) => first_token_at.unwrap_or(now) <= promised_by,
        Promise::CompleteMs(_) => now <= promised_by,
    }
}
