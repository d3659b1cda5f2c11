//! Counts the exits under the requests that this VM is an arbiter of.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::TimePoint;
use serde::{Deserialize, Serialize};

use super::{arbiters, completed::REMEMBERED as CLEARED_TIME};
use crate::request_digest::RequestDigest;

/// Exits under a request that make it the likely cause. Two happen to a request by chance whenever many servers crash,
/// and with each one more another server is lost to it.
const EXITS: usize = 3;
/// Exits under two requests that were on the same servers, after which both are likely causes: an innocent one is on each
/// of so many by chance only where nearly all servers run it, and then it ends well on others.
const EXITS_BESIDE_RIVAL: usize = 5;
/// Exits so close to each other belong to one event.
const SAME_EVENT: Duration = Duration::from_millis(300);
/// Time for VMs to say that the same request ended well there: three askings and their way.
const INQUIRY: Duration = Duration::from_millis(220);
/// The same where servers exited together. Callers may just have begun to ask for something popular when a rack lost
/// power, and no run of it has ended yet; one that is sent now ends well in most cases within this time. Copies of a
/// poison request that come at once have all been sent before anything can be known of them.
pub(super) const LONGEST_INQUIRY: Duration = Duration::from_millis(1_500);
/// The second arbiter waits this long for the verdict of the first, the third twice as long.
const TURN: Duration = Duration::from_millis(250);
/// How long an exit is held against a request.
const REMEMBERED: Duration = Duration::from_secs(3_600);
/// Servers that are told with a suspicion: what some tens of copies end that come at once.
const SERVERS_TOLD: usize = 24;
/// Up to so many VMs each arbiter asks at once. With few servers popular requests are often on those that exit under
/// another, and the arbiters of both have to hear of each other.
const FEW_VMS: usize = 16;
/// Requests that are counted, the oldest forgotten first: all that ran on a hundred servers that exit within the hour,
/// as far as this VM is their arbiter, in half a megabyte.
const MOST: usize = 4_096;

/// Where a case stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Open,
    /// Enough exits were counted.
    Accused {
        since: TimePoint,
    },
    /// All VMs were asked.
    Inquired {
        asked: TimePoint,
    },
    /// It is kept from servers by this VM, which hears few others, until it can ask most of them.
    HeldHere,
    /// It ended well somewhere.
    Cleared {
        at: TimePoint,
    },
}

/// A server that exited under a request.
#[derive(Clone, Copy, Debug)]
struct Exit {
    server: u64,
    /// When it was first told.
    at: TimePoint,
    /// Whether this VM saw it itself.
    is_own: bool,
}

#[derive(Clone, Debug)]
struct Case {
    /// Each server once, oldest first.
    exits: Vec<Exit>,
    stage: Stage,
}

impl Default for Case {
    fn default() -> Self {
        Self { exits: Vec::new(), stage: Stage::Open }
    }
}

impl Case {
    fn is_accused(&self) -> bool {
        matches!(self.stage, Stage::Accused { .. } | Stage::Inquired { .. } | Stage::HeldHere)
    }

    /// Whether what this VM saw itself suffices.
    fn is_own(&self) -> bool {
        self.exits.iter().filter(|it| it.is_own).count() >= EXITS
    }

    fn servers(&self) -> Servers {
        Servers(self.exits.iter().map(|it| it.server).take(SERVERS_TOLD).collect())
    }

    fn inquiry(&self) -> Duration {
        match self.exits() {
            Exits::Together => LONGEST_INQUIRY,
            Exits::Separate => INQUIRY,
        }
    }

    /// How the exits that were counted lie in time.
    fn exits(&self) -> Exits {
        let mut events = 0;
        let mut newest: Option<TimePoint> = None;
        for Exit { at, .. } in &self.exits {
            if newest.is_none_or(|it| at.since(it) >= SAME_EVENT) {
                events += 1;
                newest = Some(*at);
            }
        }
        if events < EXITS { Exits::Together } else { Exits::Separate }
    }
}

/// How the exits under a request lie in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exits {
    /// Some belong to one event: copies of the request ran at the same time, or a rack lost power.
    Together,
    /// Each came by itself.
    Separate,
}

/// The first servers that exited under a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Servers(Vec<u64>);

impl Servers {
    fn has(&self, server: u64) -> bool {
        self.0.contains(&server)
    }
}

/// How many of the other VMs are heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Hears {
    /// Half of them or fewer.
    Few,
    /// Fewer than nine in ten, which is more than are restarted at any time.
    Most,
    NearlyAll,
}

impl Hears {
    /// Of all VMs, this one included, that part is heard.
    pub(super) fn of(part: f64) -> Self {
        match part {
            ..=0.5 => Self::Few,
            ..0.9 => Self::Most,
            _ => Self::NearlyAll,
        }
    }
}

/// What has to be done about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Ask all VMs whether it ended well.
    Inquire { digest: RequestDigest, servers: Servers },
    /// Keep it from servers here, until others can be asked.
    HoldHere(RequestDigest),
    /// Keep it from servers.
    Quarantine { digest: RequestDigest, servers: Servers, exits: Exits },
}

/// The requests that this VM is an arbiter of.
#[derive(Debug, Default)]
pub(super) struct Cases {
    cases: IndexMap<RequestDigest, Case>,
}

impl Cases {
    /// Counts an exit that another VM saw; each server counts once, whoever told of it.
    pub(super) fn report(&mut self, digest: RequestDigest, server: u64, now: TimePoint) {
        self.count(digest, Exit { server, at: now, is_own: false }, now);
    }

    /// Counts an exit that this VM saw itself.
    pub(super) fn report_own(&mut self, digest: RequestDigest, server: u64, now: TimePoint) {
        self.count(digest, Exit { server, at: now, is_own: true }, now);
    }

    fn count(&mut self, digest: RequestDigest, exit: Exit, now: TimePoint) {
        if self.cases.len() >= MOST && !self.cases.contains_key(&digest) {
            self.cases.shift_remove_index(0);
        }
        let case = self.cases.entry(digest).or_default();
        if matches!(case.stage, Stage::Cleared { at } if now.since(at) > CLEARED_TIME) {
            *case = Case::default();
        }
        if matches!(case.stage, Stage::Cleared { .. }) {
            return;
        }
        case.exits.retain(|it| now.since(it.at) <= REMEMBERED);
        if let Some(known) = case.exits.iter_mut().find(|it| it.server == exit.server) {
            known.is_own |= exit.is_own;
            return;
        }
        case.exits.push(exit);
        if case.stage == Stage::Open && case.exits.len() >= EXITS {
            case.stage = Stage::Accused { since: now };
        }
    }

    /// Takes it that the request ended well somewhere.
    pub(super) fn cleared(&mut self, digest: RequestDigest, now: TimePoint) {
        if let Some(case) = self.cases.get_mut(&digest) {
            *case = Case { stage: Stage::Cleared { at: now }, ..Case::default() };
        }
    }

    /// Takes it that another request is suspected for these servers.
    ///
    /// Failure: a popular request happens to be on each of the first three servers that a poison request ends. Symptom:
    /// both are quarantined. The evidence against both is the same; the next exit, which is under one of them, accuses that.
    ///
    /// Failure: two poison requests share a prompt, and are placed on the same servers. Symptom: neither is ever accused.
    /// After some more exits no rival counts.
    pub(super) fn has_rival(&mut self, rival: RequestDigest, servers: &Servers) {
        let accused = self.cases.iter_mut().filter(|(it, case)| **it != rival && case.is_accused());
        for (_, case) in accused {
            let may_wait = case.exits.len() < EXITS_BESIDE_RIVAL;
            if may_wait && case.exits.iter().all(|it| servers.has(it.server)) {
                case.stage = Stage::Open;
            }
        }
    }

    /// Takes it that a request which is quarantined ended these servers: no other is to blame for them.
    pub(super) fn explained(&mut self, servers: &Servers) {
        for case in self.cases.values_mut() {
            case.exits.retain(|it| !servers.has(it.server));
            if case.is_accused() && case.exits.len() < EXITS {
                case.stage = Stage::Open;
            }
        }
    }

    /// Ends a case: its request is quarantined, or no longer.
    pub(super) fn forget(&mut self, digest: RequestDigest) {
        self.cases.shift_remove(&digest);
    }

    /// Whether enough speaks against a request to decide about it.
    pub(super) fn is_accused(&self, digest: RequestDigest) -> bool {
        self.cases.get(&digest).is_some_and(Case::is_accused)
    }

    /// Whether a decision may be due.
    pub(super) fn is_due(&self) -> bool {
        self.cases.values().any(Case::is_accused)
    }

    /// The steps that are due. Which arbiter `me` is, of all VMs' `names`, says when it has its turn.
    ///
    /// Failure: an arbiter is cut off with a few other VMs, and none of those has seen a popular request end well.
    /// Symptom: it takes their silence for everybody's, and quarantines an innocent. One that doesn't hear most of the
    /// others leaves decisions to arbiters that do, or to when it hears them again. Requests under which it saw enough
    /// servers exit itself, of which nobody else may know, it keeps from servers until then, without digest anybody. One
    /// that misses some waits for one exit more.
    pub(super) fn tick(
        &mut self,
        names: &[&str],
        me: &str,
        hears: Hears,
        now: TimePoint,
    ) -> Vec<Step> {
        let is_small = names.len() <= FEW_VMS;
        let mut steps = Vec::new();
        for (digest, case) in &mut self.cases {
            match case.stage {
                Stage::Accused { .. } | Stage::Inquired { .. }
                    if hears == Hears::Few && case.is_own() =>
                {
                    case.stage = Stage::HeldHere;
                    steps.push(Step::HoldHere(*digest));
                }
                Stage::Accused { .. } | Stage::Inquired { .. } if hears == Hears::Few => {}
                Stage::HeldHere if hears != Hears::Few => {
                    case.stage = Stage::Accused { since: now };
                }
                Stage::Accused { .. } if hears == Hears::Most && case.exits.len() <= EXITS => {
                    case.stage = Stage::Open;
                }
                Stage::Accused { since }
                    if is_small || now.since(since) >= turn(*digest, names, me) =>
                {
                    case.stage = Stage::Inquired { asked: now };
                    steps.push(Step::Inquire { digest: *digest, servers: case.servers() });
                }
                Stage::Inquired { asked } => {
                    let left_to_others =
                        if is_small { turn(*digest, names, me) } else { Duration::ZERO };
                    if now.since(asked) < case.inquiry() + left_to_others {
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
                self.forget(*digest);
            }
        }
        steps
    }
}

/// How long this arbiter leaves the decision to those before it. One that the others don't choose, since they know other
/// VMs, decides last.
fn turn(digest: RequestDigest, names: &[&str], me: &str) -> Duration {
    let chosen = arbiters(digest, names);
    let rank = chosen.iter().position(|it| *it == me).unwrap_or(chosen.len());
    TURN * rank as u32
}
