//! Counts the exits under the requests for which this VM is an arbiter.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::TimePoint;
use serde::{Deserialize, Serialize};

use super::{arbiters, completed::COMPLETION_TTL};
use crate::request_digest::RequestDigest;

/// Number of exits under a request that make it a suspect. Two happen to a request by chance whenever many servers
/// crash, and each further one costs another server.
const MIN_EXITS: usize = 3;
/// Number of exits after which two requests that ran on the same servers are both suspects. An innocent request runs on
/// each of so many exiting servers by chance only where nearly all servers run it, and then it completes on others.
const MIN_EXITS_WITH_COMPETITOR: usize = 5;
/// Exits that are closer to each other than this belong to one event.
const SAME_EVENT_WINDOW: Duration = Duration::from_millis(300);
/// Time for VMs to report a completion of the same request: three transmissions of the inquiry and their latency.
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(220);
/// The same where servers exited together. When a rack loses power, callers may just have begun to send a popular
/// request of which no run has completed yet; a run that starts now completes in most cases within this time. Copies of
/// a poison request that arrive at once have all been sent before anything can be known about them.
pub(super) const MAX_INQUIRY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that the second arbiter waits for the verdict of the first; the third waits twice as long.
const ARBITER_DELAY: Duration = Duration::from_millis(250);
/// How long an exit counts against a request.
const EXIT_TTL: Duration = Duration::from_secs(3_600);
/// Maximum number of servers that a message about a suspect names: as many as some tens of simultaneous copies crash.
const MAX_REPORTED_SERVERS: usize = 24;
/// Up to this number of VMs all arbiters inquire at once. With few servers, popular requests often run on those that
/// exit under another request, and the arbiters of both have to receive each other's inquiries.
const MAX_VMS_OF_SMALL_SYSTEM: usize = 16;
/// Maximum number of cases; the oldest is dropped first. Covers all requests that ran on a hundred servers that exit
/// within the hour, as far as this VM is their arbiter, in half a megabyte.
const MAX_CASES: usize = 4_096;

/// The progress of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CaseState {
    Open,
    /// Enough exits were counted to suspect the request.
    Suspected {
        since: TimePoint,
    },
    /// An inquiry was sent to all VMs.
    Inquired {
        sent_at: TimePoint,
    },
    /// This VM is connected to few others and doesn't send the request to servers until it can ask most of them.
    BlockedLocally,
    /// The request completed at some VM.
    Cleared {
        at: TimePoint,
    },
}

/// A server that exited under a request.
#[derive(Clone, Copy, Debug)]
struct Exit {
    server: u64,
    /// When it was first reported.
    at: TimePoint,
    /// Whether this VM observed it itself.
    is_own: bool,
}

/// The exits under one request and what follows from them.
#[derive(Clone, Debug)]
struct Case {
    /// One entry for each server, oldest first.
    exits: Vec<Exit>,
    state: CaseState,
}

impl Default for Case {
    fn default() -> Self {
        Self { exits: Vec::new(), state: CaseState::Open }
    }
}

impl Case {
    fn is_suspected(&self) -> bool {
        matches!(
            self.state,
            CaseState::Suspected { .. } | CaseState::Inquired { .. } | CaseState::BlockedLocally
        )
    }

    /// Returns whether the exits that this VM observed itself suffice.
    fn has_enough_own_exits(&self) -> bool {
        self.exits.iter().filter(|it| it.is_own).count() >= MIN_EXITS
    }

    fn servers(&self) -> ExitedServers {
        ExitedServers(self.exits.iter().map(|it| it.server).take(MAX_REPORTED_SERVERS).collect())
    }

    fn inquiry_timeout(&self) -> Duration {
        match self.exits() {
            ExitPattern::Together => MAX_INQUIRY_TIMEOUT,
            ExitPattern::Separate => INQUIRY_TIMEOUT,
        }
    }

    /// Returns how the counted exits are distributed over time.
    fn exits(&self) -> ExitPattern {
        let mut events = 0;
        let mut newest: Option<TimePoint> = None;
        for Exit { at, .. } in &self.exits {
            if newest.is_none_or(|it| at.since(it) >= SAME_EVENT_WINDOW) {
                events += 1;
                newest = Some(*at);
            }
        }
        if events < MIN_EXITS { ExitPattern::Together } else { ExitPattern::Separate }
    }
}

/// Distribution over time of the exits under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitPattern {
    /// Some belong to one event: copies of the request ran at the same time, or a rack lost power.
    Together,
    /// Each exit is a separate event.
    Separate,
}

/// The first servers that exited under a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExitedServers(Vec<u64>);

impl ExitedServers {
    fn contains(&self, server: u64) -> bool {
        self.0.contains(&server)
    }
}

/// How many of the VMs this VM is connected to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Connectivity {
    /// Half of them or fewer.
    Minority,
    /// Less than 90%: more VMs are missing than restart at any one time.
    Majority,
    /// At least 90%.
    NearlyAll,
}

impl Connectivity {
    /// Classifies the fraction of all VMs, this one included, that this VM is connected to.
    pub(super) fn from_fraction(fraction: f64) -> Self {
        match fraction {
            ..=0.5 => Self::Minority,
            ..0.9 => Self::Majority,
            _ => Self::NearlyAll,
        }
    }
}

/// An action that a case requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Ask all VMs whether the request completed.
    Inquire { digest: RequestDigest, servers: ExitedServers },
    /// Don't send it to servers from this VM until other VMs can be asked.
    BlockLocally(RequestDigest),
    /// Quarantine it at all VMs.
    Quarantine { digest: RequestDigest, servers: ExitedServers, exits: ExitPattern },
}

/// The requests for which this VM is an arbiter.
#[derive(Debug, Default)]
pub(super) struct Cases {
    cases: IndexMap<RequestDigest, Case>,
}

impl Cases {
    /// Counts an exit that another VM reports. Each server counts once, however many VMs report it.
    pub(super) fn record_reported_exit(
        &mut self,
        digest: RequestDigest,
        server: u64,
        now: TimePoint,
    ) {
        self.count(digest, Exit { server, at: now, is_own: false }, now);
    }

    /// Counts an exit that this VM observed itself.
    pub(super) fn record_own_exit(&mut self, digest: RequestDigest, server: u64, now: TimePoint) {
        self.count(digest, Exit { server, at: now, is_own: true }, now);
    }

    fn count(&mut self, digest: RequestDigest, exit: Exit, now: TimePoint) {
        if self.cases.len() >= MAX_CASES && !self.cases.contains_key(&digest) {
            self.cases.shift_remove_index(0);
        }
        let case = self.cases.entry(digest).or_default();
        if matches!(case.state, CaseState::Cleared { at } if now.since(at) > COMPLETION_TTL) {
            *case = Case::default();
        }
        if matches!(case.state, CaseState::Cleared { .. }) {
            return;
        }
        case.exits.retain(|it| now.since(it.at) <= EXIT_TTL);
        if let Some(known) = case.exits.iter_mut().find(|it| it.server == exit.server) {
            known.is_own |= exit.is_own;
            return;
        }
        case.exits.push(exit);
        if case.state == CaseState::Open && case.exits.len() >= MIN_EXITS {
            case.state = CaseState::Suspected { since: now };
        }
    }

    /// Clears a request that completed at some VM.
    pub(super) fn mark_cleared(&mut self, digest: RequestDigest, now: TimePoint) {
        if let Some(case) = self.cases.get_mut(&digest) {
            *case = Case { state: CaseState::Cleared { at: now }, ..Case::default() };
        }
    }

    /// Applies an inquiry about another request that is suspected of the exits of `servers`.
    ///
    /// A popular request that happens to run on each of the first three servers that a poison request crashes would be
    /// quarantined with it. The evidence against both is the same, so a suspect whose exits are all explained by the
    /// other request goes back to open: the next exit is under only one of them and makes that one the suspect.
    ///
    /// Two poison requests that share a prompt are placed on the same servers, and by this rule alone neither would
    /// ever stay a suspect. From [`MIN_EXITS_WITH_COMPETITOR`] exits on, competing requests are ignored.
    pub(super) fn apply_competing_inquiry(
        &mut self,
        competitor: RequestDigest,
        servers: &ExitedServers,
    ) {
        let suspects =
            self.cases.iter_mut().filter(|(it, case)| **it != competitor && case.is_suspected());
        for (_, case) in suspects {
            let may_reopen = case.exits.len() < MIN_EXITS_WITH_COMPETITOR;
            if may_reopen && case.exits.iter().all(|it| servers.contains(it.server)) {
                case.state = CaseState::Open;
            }
        }
    }

    /// Discards the exits of servers that a quarantined request crashed: they no longer count against other requests.
    pub(super) fn discard_attributed_exits(&mut self, servers: &ExitedServers) {
        for case in self.cases.values_mut() {
            case.exits.retain(|it| !servers.contains(it.server));
            if case.is_suspected() && case.exits.len() < MIN_EXITS {
                case.state = CaseState::Open;
            }
        }
    }

    /// Removes the case of a request whose quarantine began or was lifted.
    pub(super) fn remove(&mut self, digest: RequestDigest) {
        self.cases.shift_remove(&digest);
    }

    /// Returns whether a request is a suspect.
    pub(super) fn is_suspected(&self, digest: RequestDigest) -> bool {
        self.cases.get(&digest).is_some_and(Case::is_suspected)
    }

    /// Returns whether any case may require an action.
    pub(super) fn is_due(&self) -> bool {
        self.cases.values().any(Case::is_suspected)
    }

    /// Returns the steps that are due. The position of `me` among the arbiters of a request, chosen from `names`, says
    /// how long it waits for the arbiters before it.
    ///
    /// An arbiter that is partitioned together with a few other VMs, none of which completed a popular request, would
    /// take their silence for that of all VMs and quarantine an innocent request. An arbiter that is connected to a
    /// minority therefore leaves decisions to arbiters that aren't, or postpones them until it is connected again.
    /// Until then it blocks requests locally, without notifying any VM, if it observed enough exits itself, since no
    /// other VM may know of these. An arbiter that lacks some VMs waits for one more exit.
    pub(super) fn tick(
        &mut self,
        names: &[&str],
        me: &str,
        connectivity: Connectivity,
        now: TimePoint,
    ) -> Vec<Step> {
        let is_small = names.len() <= MAX_VMS_OF_SMALL_SYSTEM;
        let mut steps = Vec::new();
        for (digest, case) in &mut self.cases {
            match case.state {
                CaseState::Suspected { .. } | CaseState::Inquired { .. }
                    if connectivity == Connectivity::Minority && case.has_enough_own_exits() =>
                {
                    case.state = CaseState::BlockedLocally;
                    steps.push(Step::BlockLocally(*digest));
                }
                CaseState::Suspected { .. } | CaseState::Inquired { .. }
                    if connectivity == Connectivity::Minority => {}
                CaseState::BlockedLocally if connectivity != Connectivity::Minority => {
                    case.state = CaseState::Suspected { since: now };
                }
                CaseState::Suspected { .. }
                    if connectivity == Connectivity::Majority && case.exits.len() <= MIN_EXITS =>
                {
                    case.state = CaseState::Open;
                }
                CaseState::Suspected { since }
                    if is_small || now.since(since) >= arbiter_delay(*digest, names, me) =>
                {
                    case.state = CaseState::Inquired { sent_at: now };
                    steps.push(Step::Inquire { digest: *digest, servers: case.servers() });
                }
                CaseState::Inquired { sent_at } => {
                    let delay =
                        if is_small { arbiter_delay(*digest, names, me) } else { Duration::ZERO };
                    if now.since(sent_at) < case.inquiry_timeout() + delay {
                        continue;
                    }
                    let (servers, exits) = (case.servers(), case.exits());
                    steps.push(Step::Quarantine { digest: *digest, servers, exits });
                }
                _ => {}
            }
        }
        for step in &steps {
            if let Step::Quarantine { digest, .. } = step {
                self.remove(*digest);
            }
        }
        steps
    }
}

/// Returns how long this arbiter leaves the decision to the arbiters before it. A VM that isn't an arbiter by its own
/// list of VMs, but is by that of others, decides last.
fn arbiter_delay(digest: RequestDigest, names: &[&str], me: &str) -> Duration {
    let chosen = arbiters(digest, names);
    let rank = chosen.iter().position(|it| *it == me).unwrap_or(chosen.len());
    ARBITER_DELAY * rank as u32
}
