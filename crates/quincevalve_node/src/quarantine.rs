//! Quarantine of requests, and of parts of prompts, that make servers exit.
//!
//! [`quincevalve_forwarding::poison`] makes the decisions. [`admit`] is called each time before a request is sent to a
//! server: for the first attempt, a retry after a failure, a stream that resumes at another server, and a migration.
//! [`check`] refuses a request that no server may get before it waits for one.

mod commands;
mod entries;

use std::time::Duration;

use quincevalve_forwarding::{
    placement::Placement,
    poison::{Observation, SendDecision, Suspect},
    stream_versions::VersionTag,
};
use quincevalve_names::ServerVersion;

pub use self::entries::{Quarantined, lift_quarantine, list_quarantined};
pub(crate) use self::{
    commands::{QuarantineStore, run_quarantine_task},
    entries::{QUARANTINE_KEY_PREFIX, QuarantinedItems, key_of, parse_entry, suspect_of},
};
use crate::{
    clock,
    node::Node,
    request::{
        identify::IdentifiedRequest,
        refusal::{Refusal, Refused},
        trace::log_request,
    },
};

/// Retry delay for a caller whose trial wasn't granted by the store.
const UNGRANTED_TRIAL_DELAY: Duration = Duration::from_secs(1);
/// Retry delay for a caller whose request holds several quarantined parts that are due for a trial: one that holds only
/// one of them shows more.
const AMBIGUOUS_TRIAL_DELAY: Duration = Duration::from_secs(30);

/// Why a request is kept from servers of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Hold {
    suspect: Suspect,
    remaining: Duration,
}

/// What the quarantines that this VM knows allow for a request at servers of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decision {
    Allowed,
    Withheld(Hold),
    TrialDue(Suspect),
}

/// Admits a request to the server that was picked for it, or returns for how long it is quarantined, as far as this VM
/// knows.
pub(crate) async fn admit(
    node: &Node,
    req: &IdentifiedRequest,
    place: &Placement,
) -> Result<(), Duration> {
    let hold = match decision(node, req, &place.version) {
        Decision::Allowed => return Ok(()),
        Decision::Withheld(hold) => hold,
        Decision::TrialDue(suspect) => {
            node.poison.borrow_mut().record_trial_request(suspect, clock::now());
            if node.quarantine.begin_trial(suspect).await {
                log::info!(id = req.id, digest:% = req.digest(), suspect:% = suspect; "trial-begun");
                return Ok(());
            }
            Hold { suspect, remaining: UNGRANTED_TRIAL_DELAY }
        }
    };
    log_withheld(node, req, hold);
    Err(hold.remaining)
}

/// Refuses a request that is quarantined at all versions of its service, unless a trial is due at one of them.
pub(crate) fn check(node: &Node, req: &IdentifiedRequest) -> Result<(), Refused> {
    if !has_quarantined(node) {
        return Ok(());
    }
    let mut shortest: Option<Hold> = None;
    for version in versions(node, req) {
        let Decision::Withheld(hold) = decision(node, req, &version) else { return Ok(()) };
        if shortest.is_none_or(|it| hold.remaining < it.remaining) {
            shortest = Some(hold);
        }
    }
    let Some(hold) = shortest else { return Ok(()) };
    log_withheld(node, req, hold);
    Err(Refused { refusal: Refusal::Quarantined, retry_after: Some(hold.remaining) })
}

/// Returns whether a request is quarantined at present at servers of a version.
pub(crate) fn is_quarantined(
    node: &Node,
    req: &IdentifiedRequest,
    version: &ServerVersion,
) -> bool {
    decision(node, req, version) != Decision::Allowed
}

/// Returns the versions whose servers a request is kept from while servers of other versions may get it.
pub(crate) fn barred_versions(node: &Node, req: &IdentifiedRequest) -> Vec<ServerVersion> {
    if !node.poison.borrow().has_quarantined_parts() {
        return Vec::new();
    }
    let versions = versions(node, req);
    let (barred, admitted): (Vec<_>, Vec<_>) =
        versions.into_iter().partition(|it| is_quarantined(node, req, it));
    if admitted.is_empty() { Vec::new() } else { barred }
}

fn has_quarantined(node: &Node) -> bool {
    let poison = node.poison.borrow();
    poison.has_quarantined() || poison.has_quarantined_parts()
}

/// Returns the versions of the listed servers of a request's service.
fn versions(node: &Node, req: &IdentifiedRequest) -> Vec<ServerVersion> {
    let servers = node.servers.borrow();
    let mut versions: Vec<ServerVersion> = Vec::new();
    for (_, server) in servers.usable(&req.service, clock::now()) {
        if !versions.contains(&server.entry.version) {
            versions.push(server.entry.version.clone());
        }
    }
    versions
}

fn decision(node: &Node, req: &IdentifiedRequest, version: &ServerVersion) -> Decision {
    let poison = node.poison.borrow();
    let now = clock::now();
    let wall_clock_ms = node.wall_clock.borrow().estimate_ms(now);
    let mut decision = Decision::Allowed;
    if poison.has_quarantined() {
        let digest = req.digest();
        let own = poison.send_decision(digest, now, wall_clock_ms);
        decision = combined(decision, digest.into(), own);
    }
    if poison.has_quarantined_parts() {
        let version = VersionTag::of(&req.service, version);
        for part in req.parts() {
            let own = poison.part_decision(*part, version, now, wall_clock_ms);
            decision = combined(decision, (*part).into(), own);
        }
    }
    decision
}

/// Adds what is decided about one more suspect. A trial says nothing of one suspect among several.
fn combined(known: Decision, suspect: Suspect, own: SendDecision) -> Decision {
    let hold = match own {
        SendDecision::Allowed => return known,
        SendDecision::TrialDue if known == Decision::Allowed => return Decision::TrialDue(suspect),
        SendDecision::TrialDue => Hold { suspect, remaining: AMBIGUOUS_TRIAL_DELAY },
        SendDecision::Quarantined(remaining) => Hold { suspect, remaining },
    };
    match known {
        Decision::Withheld(known) if known.remaining >= hold.remaining => Decision::Withheld(known),
        _ => Decision::Withheld(hold),
    }
}

fn log_withheld(node: &Node, req: &IdentifiedRequest, hold: Hold) {
    log_request!(
        node, req, digest = req.digest(), suspect = hold.suspect,
        hold_ms = hold.remaining.as_millis() as u64;
        "withheld"
    );
}

/// Records that a request completed, which shows that neither it nor the parts of its prompt make servers of that
/// version exit, and lifts their quarantines.
pub(crate) fn record_completion(node: &Node, req: &IdentifiedRequest, place: &Placement) {
    let now = clock::now();
    let version = VersionTag::of(&req.service, &place.version);
    let sound = node.poison.borrow_mut().record_part_completions(req.parts(), version, now);
    for part in sound {
        node.quarantine.lift(part.into(), version);
    }
    let Some(digest) = req.digest_if_cheap() else { return };
    if node.poison.borrow_mut().record_completion(digest, now) {
        node.quarantine.lift(digest.into(), version);
    }
}

/// Keeps the quarantines that this VM knows and that the store has lost, since it returned from an older copy, and writes
/// them again. Servers would exit under the same requests as often as before they were quarantined.
pub(crate) fn restore_lost_entries(node: &Node, found: &mut QuarantinedItems) {
    let poison = node.poison.borrow();
    for (digest, entry) in poison.stored_entries() {
        if !found.requests.iter().any(|(it, _)| *it == digest) {
            found.requests.push((digest, entry));
            node.quarantine.restore(digest.into(), Quarantined::Request(entry));
        }
    }
    for (part, entry) in poison.stored_part_entries() {
        if !found.parts.iter().any(|(it, _)| *it == part) {
            found.parts.push((part, entry.clone()));
            node.quarantine.restore(part.into(), Quarantined::Part(entry));
        }
    }
}

/// Logs what happened to suspects since the last call.
pub(crate) fn log_observations(node: &Node) {
    for observation in node.poison.borrow_mut().take_observations() {
        match observation {
            Observation::Reported { suspect, request, arbiters } => {
                let to = arbiters.join(",");
                log::info!(suspect:% = suspect, digest:% = request, to; "exit-reported");
            }
            Observation::Inquired { suspect, exits } => {
                log::info!(suspect:% = suspect, exits; "suspect-inquired");
            }
            Observation::Cleared { suspect, by } => {
                log::info!(suspect:% = suspect, by; "suspect-cleared");
            }
            Observation::Heard { suspect, from } => {
                log::info!(suspect:% = suspect, from; "quarantine-heard");
            }
        }
    }
}
