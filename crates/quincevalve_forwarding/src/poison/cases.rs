//! The cases for which this VM is an arbiter.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use quincevalve_names::TimePoint;

use super::{
    Suspect,
    arbiters::VmRanking,
    case::{
        Case, CaseState, Exit, ExitPattern, ExitedServers, MIN_EXITS, MIN_EXITS_WITH_COMPETITOR,
        is_enough,
    },
    evidence::PartFindings,
};
use crate::{prompt_parts::PartDigest, stream_versions::VersionTag};

/// Time that the second arbiter waits for the verdict of the first; the third waits twice as long.
const ARBITER_DELAY: Duration = Duration::from_millis(250);
/// Up to this number of VMs all arbiters inquire at once. With few servers, popular requests often run on those that
/// exit under another request, and the arbiters of both have to receive each other's inquiries.
const MAX_VMS_OF_SMALL_SYSTEM: usize = 16;
/// Maximum number of cases of requests, and of cases of parts. Covers all requests that ran on a hundred servers that exit
/// within the hour, as far as this VM is their arbiter, in half a megabyte, and most parts of their prompts.
const MAX_CASES: usize = 4_096;

/// Time for which inquiries are kept.
const INQUIRY_TTL: Duration = Duration::from_secs(5);
/// Maximum number of inquiries kept.
const MAX_INQUIRIES: usize = 64;

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
    /// Ask all VMs whether it completed.
    Inquire { suspect: Suspect, servers: ExitedServers },
    /// Don't send it to servers from this VM until other VMs can be asked.
    BlockLocally(Suspect),
    /// Quarantine it at all VMs.
    Quarantine {
        suspect: Suspect,
        servers: ExitedServers,
        exits: ExitPattern,
        findings: PartFindings,
        /// Other parts that were in requests at each of the servers.
        companions: Vec<PartDigest>,
    },
}

/// An inquiry of this VM or another arbiter.
#[derive(Debug)]
struct Inquiry {
    suspect: Suspect,
    servers: ExitedServers,
    at: TimePoint,
}

/// The suspects for which this VM is an arbiter.
#[derive(Debug, Default)]
pub(super) struct Cases {
    cases: IndexMap<Suspect, Case>,
    /// The newest inquiries, which parts have to be compared with: the exits under a part may be counted after an inquiry
    /// about another suspect at the same servers.
    inquiries: VecDeque<Inquiry>,
}

impl Cases {
    /// Counts an exit that this VM or another one reports.
    pub(super) fn count(&mut self, suspect: Suspect, exit: Exit) {
        if self.cases.len() >= MAX_CASES && !self.cases.contains_key(&suspect) {
            self.make_room(suspect.kind());
        }
        self.cases.entry(suspect).or_default().count(suspect, exit);
    }

    /// Drops a case if there are too many of its kind: the oldest request, or the oldest part with one exit, so that
    /// parts that recur are kept.
    fn make_room(&mut self, kind: &str) {
        let of_kind = || self.cases.iter().enumerate().filter(|(_, (it, _))| it.kind() == kind);
        if of_kind().count() < MAX_CASES {
            return;
        }
        let is_weak = |suspect: &Suspect, case: &Case| {
            matches!(suspect, Suspect::Request(_)) || case.exits.len() <= 1
        };
        let weakest = of_kind().find(|(_, (suspect, case))| is_weak(suspect, case));
        let dropped = weakest.or_else(|| of_kind().next()).map(|(at, _)| at);
        if let Some(at) = dropped {
            self.cases.shift_remove_index(at);
        }
    }

    /// Clears a request that completed at some VM.
    pub(super) fn mark_cleared(&mut self, suspect: Suspect, now: TimePoint) {
        if let Some(case) = self.cases.get_mut(&suspect) {
            *case = Case { state: CaseState::Cleared { at: now }, ..Case::default() };
        }
    }

    /// Clears a part at the version at which a request with it completed at some VM.
    pub(super) fn mark_version_cleared(
        &mut self,
        suspect: Suspect,
        version: VersionTag,
        now: TimePoint,
    ) {
        if let Some(case) = self.cases.get_mut(&suspect) {
            case.clear_version(suspect, version, now);
        }
    }

    /// Applies an inquiry about another suspect of the exits of `servers`.
    ///
    /// A popular request that happens to run on each of the first three servers that a poison request crashes would be
    /// quarantined with it. The evidence against both is the same, so a suspect whose exits are all explained by the
    /// other one goes back to open: the next exit is under only one of them and makes that one the suspect.
    ///
    /// Two poison requests that share a prompt are placed on the same servers, and by this rule alone neither would
    /// ever stay a suspect. From [`MIN_EXITS_WITH_COMPETITOR`] exits on, competing requests are ignored. A part is in
    /// requests of many kinds, so that it also goes back to open while the competitor explains more than it does.
    pub(super) fn apply_competing_inquiry(
        &mut self,
        competitor: Suspect,
        servers: &ExitedServers,
        now: TimePoint,
    ) {
        self.inquiries.retain(|it| now.since(it.at) <= INQUIRY_TTL && it.suspect != competitor);
        if self.inquiries.len() >= MAX_INQUIRIES {
            self.inquiries.pop_front();
        }
        let inquiry = Inquiry { suspect: competitor, servers: servers.clone(), at: now };
        self.inquiries.push_back(inquiry);
        let suspects =
            self.cases.iter_mut().filter(|(it, case)| **it != competitor && case.is_suspected());
        for (suspect, case) in suspects {
            let is_explained = match suspect {
                Suspect::Request(_) => {
                    case.exits.len() < MIN_EXITS_WITH_COMPETITOR
                        && case.exits.iter().all(|it| servers.contains(it.server))
                }
                Suspect::Part(_) => explains(*suspect, case, servers),
            };
            if is_explained {
                case.state = CaseState::Open;
            }
        }
    }

    /// Attributes the exits of servers that a quarantined suspect crashed: they no longer count against others.
    pub(super) fn attribute_exits(&mut self, to: Suspect, servers: &ExitedServers) {
        for (suspect, case) in &mut self.cases {
            match suspect {
                Suspect::Request(_) => {
                    case.exits.retain(|it| !servers.contains(it.server));
                    if case.is_suspected() && case.exits.len() < MIN_EXITS {
                        case.state = CaseState::Open;
                    }
                }
                Suspect::Part(_) => case.attribute(*suspect, to, servers),
            }
        }
    }

    /// Counts exits again that were attributed to a suspect whose quarantine was lifted.
    pub(super) fn withdraw_attribution(&mut self, from: Suspect) {
        self.cases.values_mut().for_each(|it| it.withdraw_attribution(from));
    }

    /// Removes the case of a suspect whose quarantine began or was lifted.
    pub(super) fn remove(&mut self, suspect: Suspect) {
        self.cases.shift_remove(&suspect);
    }

    /// Returns whether it is a suspect.
    pub(super) fn is_suspected(&self, suspect: Suspect) -> bool {
        self.cases.get(&suspect).is_some_and(Case::is_suspected)
    }

    /// Returns whether any case may require an action.
    pub(super) fn is_due(&self) -> bool {
        self.cases.values().any(Case::is_suspected)
    }

    /// Returns the steps that are due. The position of `me` among the arbiters of a suspect says how long it waits for the
    /// arbiters before it.
    ///
    /// An arbiter that is partitioned together with a few other VMs, none of which completed a popular request, would
    /// take their silence for that of all VMs and quarantine an innocent request. An arbiter that is connected to a
    /// minority therefore leaves decisions about requests to arbiters that aren't, or postpones them until it is
    /// connected again. Until then it blocks requests locally, without notifying any VM, if it observed enough exits
    /// itself, since no other VM may know of these. An arbiter that lacks some VMs waits for one more exit.
    ///
    /// About parts it decides all the same: no two requests with a part are alike, so that VMs which are all cut off from
    /// each other would each have to lose servers. VMs at which the part completed ignore the decision and lift it.
    pub(super) fn tick(
        &mut self,
        vms: &VmRanking<'_>,
        me: &str,
        connectivity: Connectivity,
        now: TimePoint,
    ) -> Vec<Step> {
        let is_small = vms.len() <= MAX_VMS_OF_SMALL_SYSTEM;
        let mut steps = Vec::new();
        let inquiries = &self.inquiries;
        for (suspect, case) in &mut self.cases {
            let others =
                || inquiries.iter().filter(|it| it.suspect != *suspect).map(|it| &it.servers);
            if matches!(suspect, Suspect::Part(_))
                && case.is_suspected()
                && others().any(|it| explains(*suspect, case, it))
            {
                case.state = CaseState::Open;
            }
            let is_isolated =
                connectivity == Connectivity::Minority && matches!(suspect, Suspect::Request(_));
            let arbiter_delay = || ARBITER_DELAY * vms.rank(*suspect, me) as u32;
            match case.state {
                CaseState::Suspected { .. } | CaseState::Inquired { .. }
                    if is_isolated && case.has_enough_own_exits() =>
                {
                    case.state = CaseState::BlockedLocally;
                    steps.push(Step::BlockLocally(*suspect));
                }
                CaseState::Suspected { .. } | CaseState::Inquired { .. } if is_isolated => {}
                CaseState::BlockedLocally if connectivity != Connectivity::Minority => {
                    case.state = CaseState::Suspected { since: now };
                }
                CaseState::Suspected { .. }
                    if connectivity == Connectivity::Majority
                        && case.unexplained().count() <= MIN_EXITS =>
                {
                    case.state = CaseState::Open;
                }
                CaseState::Suspected { since }
                    if is_small || now.since(since) >= arbiter_delay() =>
                {
                    case.state = CaseState::Inquired { sent_at: now };
                    steps.push(Step::Inquire { suspect: *suspect, servers: case.servers() });
                }
                CaseState::Inquired { sent_at } => {
                    let delay = if is_small { arbiter_delay() } else { Duration::ZERO };
                    if now.since(sent_at) < case.inquiry_timeout(*suspect) + delay {
                        continue;
                    }
                    let companions = case.companions();
                    let is_contested =
                        !companions.is_empty() || others().any(|it| is_shared(*suspect, case, it));
                    let exits =
                        if is_contested { ExitPattern::Contested } else { case.timing(*suspect) };
                    steps.push(Step::Quarantine {
                        suspect: *suspect,
                        servers: case.servers(),
                        exits,
                        findings: findings(case),
                        companions,
                    });
                }
                _ => {}
            }
        }
        for step in &steps {
            if let Step::Quarantine { suspect, .. } = step {
                self.remove(*suspect);
            }
        }
        steps
    }
}

/// Returns whether another suspect of the exits of `servers` explains enough of the exits under a part.
fn explains(part: Suspect, case: &Case, servers: &ExitedServers) -> bool {
    let count = case.unexplained().count();
    let left = case.unexplained().filter(|it| !servers.contains(it.server));
    let is_outweighed = servers.len() > count;
    (count < MIN_EXITS_WITH_COMPETITOR || is_outweighed) && !is_enough(part, left)
}

/// Returns whether another suspect of the exits of `servers` explains all exits under a part.
fn is_shared(suspect: Suspect, case: &Case, servers: &ExitedServers) -> bool {
    let is_explained = case.unexplained().all(|it| servers.contains(it.server));
    matches!(suspect, Suspect::Part(_)) && is_explained
}

/// Returns at which versions servers exited, and at which requests with the part completed.
fn findings(case: &Case) -> PartFindings {
    let mut crashed: Vec<VersionTag> = Vec::new();
    for exit in case.unexplained() {
        if !crashed.contains(&exit.version) {
            crashed.push(exit.version);
        }
    }
    let sound = case.cleared_versions.iter().map(|(version, _)| *version).collect();
    PartFindings { crashed, sound }
}
