//! Keeps requests under which servers exit from servers.
//!
//! The decisions are [`quincevalve_forwarding::poison`]'s. Every sending to a server asks [`admit`] first: the first one of
//! an attempt, the next one after a failure, a stream that goes on elsewhere, and a run that is moved.

mod entries;
mod orders;

use std::time::Duration;

use quincevalve_forwarding::poison::SendDecision;

pub use self::entries::{lift_quarantine, quarantined};
pub(crate) use self::{
    entries::{QUARANTINE_KEYS, digest_of, listed},
    orders::{QuarantineStore, keep_quarantine},
};
use crate::{
    clock,
    node::Node,
    request::{identify::IdentifiedRequest, trace::log_request},
};

/// How long a caller whose trial the store didn't answer is told to stay away.
const UNANSWERED_HOLD: Duration = Duration::from_secs(1);

/// Lets a request go to a server, or says for how long it is kept from all, as far as known.
pub(crate) async fn admit(node: &Node, req: &IdentifiedRequest) -> Result<(), Duration> {
    let standing = standing(node, req);
    let hold = match standing {
        SendDecision::Allowed => return Ok(()),
        SendDecision::Quarantined(hold) => hold,
        SendDecision::TrialDue => {
            node.poison.borrow_mut().record_trial_request(req.digest(), clock::now());
            if node.quarantine.begin_trial(req.digest()).await {
                log::info!(id = req.id, digest:% = req.digest(); "trial-begun");
                return Ok(());
            }
            UNANSWERED_HOLD
        }
    };
    log_request!(node, req, digest = req.digest(), hold_ms = hold.as_millis() as u64; "withheld");
    Err(hold)
}

/// Whether a request is kept from servers at present.
pub(crate) fn is_quarantined(node: &Node, req: &IdentifiedRequest) -> bool {
    standing(node, req) != SendDecision::Allowed
}

fn standing(node: &Node, req: &IdentifiedRequest) -> SendDecision {
    let poison = node.poison.borrow();
    if !poison.has_quarantined() {
        return SendDecision::Allowed;
    }
    let now = clock::now();
    poison.send_decision(req.digest(), now, node.wall.borrow().estimate_ms(now))
}

/// Notes that a request ended well: it is not what ends servers.
pub(crate) fn note_completed(node: &Node, req: &IdentifiedRequest) {
    let Some(digest) = req.digest_if_cheap() else { return };
    if node.poison.borrow_mut().record_completion(digest, clock::now()) {
        node.quarantine.lift(digest);
    }
}
