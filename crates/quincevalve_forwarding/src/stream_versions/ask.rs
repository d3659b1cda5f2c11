//! Asks the keepers of a stream's record for its version.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::TimePoint;

use super::{VersionTag, messages::KeeperAnswer};
use crate::peer_table::{KeeperCounts, PeerTable, VmDescriptor};

/// Time after which an ask ends without an answer: several round trips between data centres.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Delays after which keepers that haven't answered are asked, again if they were before.
const ASK_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(25), Duration::from_millis(75)];
/// The VMs that are asked at first: at least those that VMs tell ([`TOLD`](super::TOLD)), whichever VM told them.
const ASKED: KeeperCounts = KeeperCounts { own_centre: 2, anywhere: 4 };
/// The VMs that may be asked, if some of the first don't answer.
const ASKED_AT_MOST: KeeperCounts = KeeperCounts { own_centre: 2, anywhere: 8 };
/// Number of further keepers that are asked with each repeat, in case the first ones are dead.
const KEEPERS_PER_REPEAT: usize = 2;

/// What to do next about an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AskStep {
    /// Ask these VMs, and wait for answers until the given time.
    Ask(Vec<String>, TimePoint),
    /// Wait for answers until the given time.
    Wait(TimePoint),
    /// The stream began at this version.
    Version(VersionTag),
    /// All VMs that should know the stream answered that they don't.
    Unknown,
    /// Some VMs that should know the stream don't answer.
    Unanswered,
}

/// The ask for the version of one stream.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::stream_versions::{
///     AskStep, VersionAsk, VersionTag, messages::KeeperAnswer,
/// };
/// use quincevalve_names::TimePoint;
/// let now = TimePoint::from_millis(1_000);
/// let mut ask = VersionAsk::new(vec!["vm-1".to_owned(), "vm-2".to_owned()], 2, now);
/// assert!(matches!(ask.step(now), AskStep::Ask(vms, _) if vms.len() == 2));
/// ask.receive("vm-1", KeeperAnswer::Unknown);
/// assert!(matches!(ask.step(now), AskStep::Wait(_)));
/// ask.receive("vm-2", KeeperAnswer::Recorded(VersionTag(7)));
/// assert_eq!(ask.step(now), AskStep::Version(VersionTag(7)));
/// ```
#[derive(Clone, Debug)]
pub struct VersionAsk {
    since: TimePoint,
    /// The VMs that were or may be asked, in order, and whether they answered that they don't know the stream.
    keepers: IndexMap<String, bool>,
    /// Number of keepers that have been asked.
    asked: usize,
    repeats: usize,
    /// The version, and the VM that knew it.
    version: Option<(VersionTag, String)>,
}

impl VersionAsk {
    /// Creates an ask of the VMs that keep the record with a key.
    pub fn of_keepers(table: &PeerTable, key: u64, now: TimePoint) -> Self {
        let first = table.record_keepers(key, ASKED);
        let more = table.record_keepers(key, ASKED_AT_MOST);
        let more = more.into_iter().filter(|it| !first.contains(it));
        let keepers = first.iter().copied().chain(more).map(|it: &VmDescriptor| it.name.clone());
        Self::new(keepers.collect(), first.len(), now)
    }

    /// Creates an ask of the first `first` of these keepers, and of more if some of them don't answer.
    pub fn new(keepers: Vec<String>, first: usize, now: TimePoint) -> Self {
        let keepers: IndexMap<_, _> = keepers.into_iter().map(|it| (it, false)).collect();
        let asked = first.min(keepers.len());
        Self { since: now, keepers, asked, repeats: 0, version: None }
    }

    /// Applies a VM's answer. Answers of VMs that weren't asked are ignored.
    pub fn receive(&mut self, from: &str, answer: KeeperAnswer) {
        let Some((at, _, has_answered)) = self.keepers.get_full_mut(from) else { return };
        if at >= self.asked {
            return;
        }
        match answer {
            KeeperAnswer::Recorded(tag) | KeeperAnswer::Sole(tag) => {
                self.version.get_or_insert_with(|| (tag, from.to_owned()));
            }
            KeeperAnswer::Unknown => *has_answered = true,
        }
    }

    /// Returns the VM that knew the version.
    pub fn known_by(&self) -> Option<&str> {
        self.version.as_ref().map(|(_, name)| name.as_str())
    }

    /// Returns how many VMs were asked, and how many of them haven't answered.
    pub fn counts(&self) -> (usize, usize) {
        let silent = self.keepers.values().take(self.asked).filter(|it| !**it).count();
        (self.asked, silent)
    }

    /// Returns what to do at `now`.
    pub fn step(&mut self, now: TimePoint) -> AskStep {
        if let Some((tag, _)) = self.version {
            return AskStep::Version(tag);
        }
        let is_answered = self.keepers.values().take(self.asked).all(|it| *it);
        if is_answered {
            return AskStep::Unknown;
        }
        if now.since(self.since) >= ASK_TIMEOUT {
            return AskStep::Unanswered;
        }
        let is_due =
            |at: usize| ASK_DELAYS.get(at).is_some_and(|delay| now.since(self.since) >= *delay);
        if !is_due(self.repeats) {
            return AskStep::Wait(self.next_step());
        }
        if self.repeats > 0 {
            self.asked = (self.asked + KEEPERS_PER_REPEAT).min(self.keepers.len());
        }
        self.repeats += 1;
        let asked = self.keepers.iter().take(self.asked).filter(|(_, is_unknown)| !**is_unknown);
        AskStep::Ask(asked.map(|(name, _)| name.clone()).collect(), self.next_step())
    }

    fn next_step(&self) -> TimePoint {
        self.since + ASK_DELAYS.get(self.repeats).copied().unwrap_or(ASK_TIMEOUT)
    }
}
