//! Requests whose prompts hold parts, of which some crash every server that begins an answer on them.

use quincevalve_forwarding::{
    poison::Suspect, prompt_parts::PartDigest, request_digest::RequestDigest,
};
use rand::RngExt;

use crate::{
    scenario::TimeSpan,
    world::{Content, Kind, STEP, World},
};

/// Milliseconds in which VMs must know of a part after the fifth crash.
pub(crate) const CONTACT_MS: u64 = 3_000;
/// Milliseconds without a rejection after which the next one counts as another.
const PAUSE_MS: u64 = 2_000;
/// Number of crashes after which a part must be known.
const CRASHES_UNTIL_KNOWN: usize = 5;
/// The part that all prompts of the route begin with.
const SYSTEM_PROMPT: PartDigest = PartDigest(1);
/// The first of the parts that many sound requests share, and their number.
const POPULAR: (u64, usize) = (100, 30);
/// The first of the parts that crash servers.
const CRASHING: u64 = 10_000;
/// Added to a crashing part: an innocent one that comes with it.
const COMPANION: u64 = 1_000;
/// The first of the parts that a few requests of one session share, and how many do.
const SESSIONS: (u64, u64) = (1 << 32, 4);

/// Where the crashing part stands among the parts that requests share.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Position {
    Second,
    Middle,
    NextToLast,
}

/// A part that crashes servers.
#[derive(Clone, Debug)]
pub(crate) struct CrashingPart {
    /// Requests with it per second, over all VMs.
    pub(crate) rate: f64,
    /// When they come.
    pub(crate) span: TimeSpan,
    /// The version whose servers it crashes; `None` for all.
    pub(crate) version: Option<usize>,
}

/// Requests with parts.
#[derive(Clone, Debug)]
pub(crate) struct PartTraffic {
    pub(crate) crashing: Vec<CrashingPart>,
    /// Whether all crashing parts are in the same requests.
    pub(crate) in_one_request: bool,
    /// Whether an innocent part comes with each crashing one, and when sound requests hold it.
    pub(crate) companion: Option<TimeSpan>,
    /// Number of parts that a prompt shares with others.
    pub(crate) prompt_len: usize,
    pub(crate) position: Position,
    /// Sound requests of the same route per second, over all VMs.
    pub(crate) sound_rate: f64,
    /// Duration of a sound answer in milliseconds, minimum and maximum.
    pub(crate) run_time: (u64, u64),
}

impl PartTraffic {
    /// Returns a part that comes `rate` times a second, beside sound requests in proportion to the servers.
    pub(crate) fn new(servers: usize, rate: f64) -> Self {
        Self {
            crashing: vec![CrashingPart { rate, span: 3_000..40_000, version: None }],
            in_one_request: false,
            companion: None,
            prompt_len: 4,
            position: Position::Middle,
            sound_rate: servers as f64 * 2.0,
            run_time: (200, 3_000),
        }
    }
}

/// What came of requests with parts. Times are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PartOutcome {
    /// When servers crashed, and under which part.
    pub(crate) crashes: Vec<(u64, PartDigest)>,
    /// Crashing requests that reached servers, each with its time, its part and whether its VM was connected.
    pub(crate) attempts: Vec<(u64, PartDigest, bool)>,
    pub(crate) first_rejected: Option<u64>,
    /// Crashing requests that completed at servers of another version.
    pub(crate) completed_elsewhere: usize,
    /// First attempts of sound requests, and those that did not begin.
    pub(crate) sound_sent: Vec<u64>,
    pub(crate) sound_unbegun: Vec<u64>,
    /// When sound requests were rejected, and for what.
    pub(crate) sound_rejected: Vec<(u64, Suspect)>,
    pub(crate) sound_completed: usize,
}

impl PartOutcome {
    /// Returns the times of the crashes under a part.
    fn crashes_of(&self, part: PartDigest) -> Vec<u64> {
        self.crashes.iter().filter(|(_, it)| *it == part).map(|(at, _)| *at).collect()
    }

    /// Returns the largest number of requests with one part that connected VMs sent later than the contact time after its
    /// fifth crash.
    pub(crate) fn late_attempts(&self) -> usize {
        let late = self.attempts.iter().filter(|(at, part, is_connected)| {
            let fifth = self.crashes_of(*part).get(CRASHES_UNTIL_KNOWN - 1).copied();
            *is_connected && fifth.is_some_and(|it| *at > it + CONTACT_MS)
        });
        let late: Vec<PartDigest> = late.map(|(_, part, _)| *part).collect();
        late.iter().map(|it| late.iter().filter(|other| *other == it).count()).max().unwrap_or(0)
    }

    /// Returns the share of sound requests that began at the first attempt from twice the contact time after the fifth
    /// crash on, or after the last one if there were fewer.
    pub(crate) fn sound_share(&self) -> f64 {
        let known = self.crashes.get(CRASHES_UNTIL_KNOWN - 1).or(self.crashes.last());
        let from = known.map_or(0, |(at, _)| at + 2 * CONTACT_MS);
        let count = |times: &[u64]| times.iter().filter(|it| **it >= from).count();
        let sent = count(&self.sound_sent);
        1.0 - count(&self.sound_unbegun) as f64 / sent.max(1) as f64
    }

    /// Returns the longest time in milliseconds for which sound requests were rejected for one part, without the pauses in
    /// which none came.
    pub(crate) fn sound_rejected_for(&self) -> u64 {
        let rejected_for = |suspect: Suspect| {
            let times = self.sound_rejected.iter().filter(|(_, it)| *it == suspect);
            let times: Vec<u64> = times.map(|(at, _)| *at).collect();
            let gaps = times.windows(2).map(|it| it[1] - it[0]);
            gaps.filter(|it| *it < PAUSE_MS).sum::<u64>()
        };
        self.sound_rejected.iter().map(|(_, it)| rejected_for(*it)).max().unwrap_or(0)
    }
}

/// Returns the first part of a request that crashes servers.
pub(crate) fn crashing_part(content: &Content) -> PartDigest {
    let is_crashing = |it: &&PartDigest| (CRASHING..CRASHING + COMPANION).contains(&it.0);
    content.parts.iter().find(is_crashing).copied().unwrap_or_default()
}

impl World {
    /// Adds the requests with parts that arrive in this step.
    pub(crate) fn add_requests_with_parts(&mut self) {
        let Some(traffic) = self.scenario.parts.clone() else { return };
        for (index, crashing) in traffic.crashing.iter().enumerate() {
            if !crashing.span.contains(&self.now) {
                continue;
            }
            for _ in 0..self.arrivals(crashing.rate) {
                let bad = if traffic.in_one_request {
                    (0..traffic.crashing.len()).collect()
                } else {
                    vec![index]
                };
                let content = self.content_with(&traffic, &bad);
                let kind = Kind::Crashing { may_retry: true, version: crashing.version };
                self.send_request(content, kind);
            }
            if traffic.in_one_request {
                break;
            }
        }
        for _ in 0..self.arrivals(traffic.sound_rate) {
            let mut content = self.content_with(&traffic, &[]);
            let with_companion =
                traffic.companion.as_ref().is_some_and(|it| it.contains(&self.now));
            if with_companion && self.rng.random::<f64>() < 0.02 {
                content.parts.push(PartDigest(CRASHING + COMPANION));
            }
            self.send_request(content, Kind::Sound { may_retry: true });
        }
    }

    /// Returns how many of the requests with this rate per second arrive in this step.
    fn arrivals(&mut self, rate: f64) -> usize {
        let mean = rate * STEP as f64 / 1_000.0;
        mean as usize + usize::from(self.rng.random::<f64>() < mean.fract())
    }

    /// Returns a request with these crashing parts, by their indexes, and parts that sound requests hold.
    fn content_with(&mut self, traffic: &PartTraffic, crashing: &[usize]) -> Content {
        self.next_single += 1;
        let mut parts = vec![SYSTEM_PROMPT];
        while parts.len() + 1 < traffic.prompt_len {
            // Some of the popular parts are far more popular than others.
            let rank = (self.rng.random::<f64>().powi(2) * POPULAR.1 as f64) as u64;
            let part = PartDigest(POPULAR.0 + rank);
            if !parts.contains(&part) || parts.len() > POPULAR.1 {
                parts.push(part);
            }
        }
        parts.push(PartDigest(SESSIONS.0 + self.next_single / SESSIONS.1));
        for (at, index) in crashing.iter().enumerate() {
            let place = match traffic.position {
                Position::Second => 1,
                Position::Middle => parts.len() / 2,
                Position::NextToLast => parts.len() - 1,
            };
            let part = PartDigest(CRASHING + *index as u64);
            parts[(place.max(1) + at).min(traffic.prompt_len - 1)] = part;
            if traffic.companion.is_some() {
                parts.push(PartDigest(part.0 + COMPANION));
            }
        }
        Content { digest: RequestDigest(self.next_single), parts }
    }
}
