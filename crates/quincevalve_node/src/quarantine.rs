//! Quarantine of requests that make servers exit.
//!
//! [`quincevalve_forwarding::poison`] makes the decisions. [`admit`] is called each time before a request is sent to a
//! server: for the first attempt, a retry after a failure, a stream that resumes at another server, and a migration.

mod commands;
mod entries;

use std::time::Duration;

use quincevalve_forwarding::poison::SendDecision;

pub use self::entries::{lift_quarantine, list_quarantined};
pub(crate) use self::{
    commands::{QuarantineStore, run_quarantine_task},
    entries::{QUARANTINE_KEY_PREFIX, digest_of, parse_entry},
};
use crate::{
    clock,
    node::Node,
    request::{identify::IdentifiedRequest, trace::log_request},
};

/// Retry delay for a caller whose trial wasn't granted by the store.
const UNGRANTED_TRIAL_DELAY: Duration = Duration::from_secs(1);

/// Admits a request to servers, or returns for how long it is quarantined, as far as this VM knows.
pub(crate) async fn admit(node: &Node, req: &IdentifiedRequest) -> Result<(), Duration> {
    let decision = send_decision(node, req);
    let retry_after = match decision {
        SendDecision::Allowed => return Ok(()),
        SendDecision::Quarantined(retry_after) => retry_after,
        SendDecision::TrialDue => {
            node.poison.borrow_mut().record_trial_request(req.digest(), clock::now());
            if node.quarantine.begin_trial(req.digest()).await {
                log::info!(id = req.id, digest:% = req.digest(); "trial-begun");
                return Ok(());
            }
            UNGRANTED_TRIAL_DELAY
        }
    };
    log_request!(
        node, req, digest = req.digest(), hold_ms = retry_after.as_millis() as u64;
        "withheld"
    );
    Err(retry_after)
}

/// Returns whether a request is quarantined at present.
pub(crate) fn is_quarantined(node: &Node, req: &IdentifiedRequest) -> bool {
    send_decision(node, req) != SendDecision::Allowed
}

fn send_decision(node: &Node, req: &IdentifiedRequest) -> SendDecision {
    let poison = node.poison.borrow();
    if !poison.has_quarantined() {
        return SendDecision::Allowed;
    }
    let now = clock::now();
    poison.send_decision(req.digest(), now, node.wall_clock.borrow().estimate_ms(now))
}

/// Records that a request completed, which shows that it doesn't make servers exit, and lifts its quarantine.
pub(crate) fn record_completion(node: &Node, req: &IdentifiedRequest) {
    let Some(digest) = req.digest_if_cheap() else { return };
    if node.poison.borrow_mut().record_completion(digest, clock::now()) {
        node.quarantine.lift(digest);
    }
}
