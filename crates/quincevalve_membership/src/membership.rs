//! The membership core of one node: `(now, event) -> actions`.

use std::{net::SocketAddr, time::Duration};

use indexmap::IndexMap;
use quincevalve_names::{
    DataCentreName, EntryVmName, Incarnation, Revision, TimePoint, rendezvous_score,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxBuildHasher;

use crate::{
    member::{Load, Member, MemberState},
    message::Message,
    summary::{Contact, Summary},
    update_queue::UpdateQueue,
};

/// Settings of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Interval between two rounds of probes.
    pub probe_interval: Duration,
    /// Number of peers of the own data centre that are probed in a round.
    pub probes: usize,
    /// Maximum number of updates in one message, without reminders.
    pub max_updates: usize,
    /// Time that a suspect has to refute the suspicion before it is considered dead.
    pub suspicion_timeout: Duration,
    /// Time for which dead members are remembered, so that old updates can't make them alive again.
    pub dead_retention: Duration,
    /// Number of members of a data centre that exchange summaries with other data centres.
    pub delegates: usize,
    /// Maximum number of contacts in a summary.
    pub contacts: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probes: 2,
            max_updates: 8,
            suspicion_timeout: Duration::from_secs(3),
            dead_retention: Duration::from_secs(120),
            delegates: 2,
            contacts: 4,
        }
    }
}

/// An output of the membership core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a probe. Its answer is passed to [`Membership::receive`], a failure to [`Membership::probe_failed`].
    Probe {
        /// The name of the peer, if known.
        name: Option<EntryVmName>,
        /// The address of the peer.
        to: SocketAddr,
        /// The message to send.
        message: Message,
    },
    /// Ask `via` to probe `target`, since this node's probe failed.
    ProbeVia {
        /// The address of the helper.
        via: SocketAddr,
        /// The name of the unresponsive member.
        name: EntryVmName,
        /// The address of the unresponsive member.
        target: SocketAddr,
    },
}

#[derive(Clone, Debug)]
struct MemberEntry {
    member: Member,
    /// Start of the current state; while suspected, also the last message from the member itself.
    since: TimePoint,
}

/// The membership core of one node.
///
/// # Examples
///
/// ```
/// use quincevalve_membership::{Load, Member, MemberState, Membership, MembershipSettings};
/// use quincevalve_names::{Incarnation, TimePoint};
///
/// let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
/// let member = |name: &str, port| Member {
///     name: name.into(),
///     data_centre: "erding".into(),
///     control: address(port),
///     entry: address(port + 1),
///     incarnation: Incarnation(1),
///     state: MemberState::Alive,
///     load: Load::default(),
/// };
/// let mut one = Membership::new(member("one", 100), MembershipSettings::default(), 1);
/// let mut two = Membership::new(member("two", 200), MembershipSettings::default(), 2);
/// let answer = two.answer(TimePoint::ZERO, &one.hello());
/// one.receive(TimePoint::ZERO, &answer);
/// assert_eq!(one.members().count(), 2);
/// assert_eq!(two.members().count(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    own: Member,
    others: IndexMap<EntryVmName, MemberEntry, FxBuildHasher>,
    summaries: IndexMap<DataCentreName, Summary, FxBuildHasher>,
    near_seeds: Vec<SocketAddr>,
    far_seeds: Vec<SocketAddr>,
    update_queue: UpdateQueue,
    probe_order: Vec<EntryVmName>,
    /// Index of the member that was included last as a reminder.
    last_reminder: usize,
    /// Position in the rotation of the summary that the next message starts with.
    summary_cursor: usize,
    rng: Pcg64Mcg,
}

impl Membership {
    /// Creates the core of a node that knows only itself.
    pub fn new(own: Member, settings: MembershipSettings, seed: u64) -> Self {
        Self {
            settings,
            own,
            others: IndexMap::default(),
            summaries: IndexMap::default(),
            near_seeds: Vec::new(),
            far_seeds: Vec::new(),
            update_queue: UpdateQueue::default(),
            probe_order: Vec::new(),
            last_reminder: 0,
            summary_cursor: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Sets the addresses from the platform's list: `near` in the own data centre, `far` in others.
    ///
    /// The list lags behind the actual members, so its addresses are only used as targets of probes.
    pub fn seed(&mut self, near: &[SocketAddr], far: &[SocketAddr]) {
        self.near_seeds = near.to_vec();
        self.far_seeds = far.to_vec();
    }

    /// Returns this node's own description.
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// Returns all known members of the data centre including dead ones, starting with this node.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.others.values().map(|it| &it.member))
    }

    /// Returns the known summaries of data centres.
    pub fn summaries(&self) -> impl Iterator<Item = &Summary> {
        self.summaries.values()
    }

    /// Sets the own load, which is sent with the next messages.
    pub fn set_load(&mut self, demand: u32, revision: Revision) {
        let load = &mut self.own.load;
        if load.demand == demand && load.revision == revision {
            return;
        }
        *load = Load { demand, revision, version: load.version + 1 };
    }

    /// Marks this node as leaving, since it is being stopped or reclaimed.
    pub fn leave(&mut self) {
        self.own.state = self.own.state.max(MemberState::Leaving);
    }

    /// Returns the message with which a node introduces itself.
    pub fn hello(&self) -> Message {
        Message { sender: self.own.clone(), updates: Vec::new(), summaries: Vec::new() }
    }

    /// Runs one round: expires suspects and dead members, and returns the probes to send.
    pub fn tick(&mut self, now: TimePoint) -> Vec<MembershipAction> {
        self.expire_members(now);
        let mut actions = Vec::new();
        for _ in 0..self.settings.probes {
            if let Some(name) = self.next_target() {
                actions.extend(self.probe(&name));
            }
        }
        actions.extend(self.probe_unknown());
        if self.is_delegate() {
            self.refresh_own_summary(now);
            actions.extend(self.probe_other_data_centre());
        }
        actions
    }

    /// Declares suspects dead whose timeout has passed, and removes members that were dead for long enough.
    fn expire_members(&mut self, now: TimePoint) {
        let MembershipSettings { suspicion_timeout, dead_retention, .. } = self.settings;
        let mut dead = Vec::new();
        for known in self.others.values_mut() {
            if known.member.state == MemberState::Suspect && now - known.since >= suspicion_timeout
            {
                known.member.state = MemberState::Dead;
                known.since = now;
                dead.push(known.member.name.clone());
            }
        }
        for name in &dead {
            self.update_queue.push(name);
        }
        self.others.retain(|_, it| {
            it.member.state != MemberState::Dead || now - it.since < dead_retention
        });
    }

    /// Returns the next member to probe.
    ///
    /// Members are probed in a shuffled order, each once before any is probed again, which bounds the time until an
    /// unresponsive member is detected.
    fn next_target(&mut self) -> Option<EntryVmName> {
        loop {
            if self.probe_order.is_empty() {
                let reachable = self.others.values().filter(|it| it.member.is_reachable());
                self.probe_order = reachable.map(|it| it.member.name.clone()).collect();
                self.shuffle_probe_order();
                if self.probe_order.is_empty() {
                    return None;
                }
            }
            let name = self.probe_order.pop()?;
            if self.others.get(&name).is_some_and(|it| it.member.is_reachable()) {
                return Some(name);
            }
        }
    }

    fn shuffle_probe_order(&mut self) {
        for at in (1..self.probe_order.len()).rev() {
            let other = self.rng.random_range(0..=at);
            self.probe_order.swap(at, other);
        }
    }

    fn probe(&mut self, name: &EntryVmName) -> Option<MembershipAction> {
        let target = self.others.get(name)?.member.clone();
        let to = target.control;
        let mut message = self.message();
        // A suspect can refute the suspicion only if it receives it.
        if target.state == MemberState::Suspect && !message.updates.contains(&target) {
            message.updates.push(target);
        }
        Some(MembershipAction::Probe { name: Some(name.clone()), to, message })
    }

    /// Probes one listed address of the data centre at which no member is known.
    ///
    /// Nodes that start at the same time may each find only a few others and form disjoint groups, each of which would
    /// plan and serve as if it were the whole data centre. Therefore one such address is probed in each round, as long
    /// as there is any.
    fn probe_unknown(&mut self) -> Option<MembershipAction> {
        let known = |it: &SocketAddr| {
            *it == self.own.control || self.others.values().any(|other| other.member.control == *it)
        };
        let unknown: Vec<_> = self.near_seeds.iter().copied().filter(|it| !known(it)).collect();
        let to = pick(&mut self.rng, &unknown)?;
        Some(MembershipAction::Probe { name: None, to, message: self.message() })
    }

    fn message(&mut self) -> Message {
        let mut names = self.update_queue.take(self.settings.max_updates, self.others.len() + 1);
        self.add_reminders(&mut names);
        let updates = names.iter().filter_map(|it| self.others.get(it)).map(|it| it.member.clone());
        let updates = updates.collect();
        let summaries = self.select_summaries();
        Message { sender: self.own.clone(), updates, summaries }
    }

    /// Adds members without queued updates, in rotation.
    ///
    /// An update is sent a limited number of times and may not reach every node. A node that misses it would never
    /// learn of a new member, or of a member's death. Reminders eventually reach every node, at a cost per message that
    /// doesn't grow with the fleet.
    fn add_reminders(&mut self, names: &mut Vec<EntryVmName>) {
        let count = self.others.len();
        for _ in 0..MAX_REMINDERS.min(count) {
            self.last_reminder = (self.last_reminder + 1) % count;
            if let Some((name, _)) = self.others.get_index(self.last_reminder)
                && !names.contains(name)
            {
                names.push(name.clone());
            }
        }
    }

    /// Returns a few of the known summaries, in rotation.
    fn select_summaries(&mut self) -> Vec<Summary> {
        let count = self.summaries.len();
        let chosen = MAX_SUMMARIES.min(count);
        let first = self.summary_cursor;
        self.summary_cursor = self.summary_cursor.wrapping_add(chosen);
        (0..chosen)
            .filter_map(|it| self.summaries.get_index((first + it) % count))
            .map(|it| it.1.clone())
            .collect()
    }

    /// Returns whether this node exchanges summaries on behalf of its data centre. The first `delegates` members in
    /// rendezvous order do so.
    pub fn is_delegate(&self) -> bool {
        if !self.own.takes_work() {
            return false;
        }
        let score = |it: &Member| rendezvous_score(DELEGATE_KEY, it.hash());
        let own = score(&self.own);
        let others = self.others.values().map(|it| &it.member).filter(|it| it.takes_work());
        others.filter(|it| score(it) > own).count() < self.settings.delegates
    }

    fn refresh_own_summary(&mut self, now: TimePoint) {
        let alive: Vec<_> = self.members().filter(|it| it.takes_work()).collect();
        let contacts = alive.iter().take(self.settings.contacts).map(|it| Contact {
            name: it.name.clone(),
            control: it.control,
            entry: it.entry,
        });
        let summary = Summary {
            data_centre: self.own.data_centre.clone(),
            made_at: now.as_micros() / 1_000,
            members: alive.len() as u32,
            demand: alive.iter().map(|it| it.load.demand).sum(),
            revision: alive.iter().map(|it| it.load.revision).max().unwrap_or_default(),
            contacts: contacts.collect(),
        };
        self.summaries.insert(summary.data_centre.clone(), summary);
    }

    fn probe_other_data_centre(&mut self) -> Option<MembershipAction> {
        let own = &self.own.data_centre;
        let others: Vec<_> =
            self.summaries.values().filter(|it| it.data_centre != *own).cloned().collect();
        if others.is_empty() || self.rng.random_range(0..SEED_PROBE_PERIOD) == 0 {
            let to = pick(&mut self.rng, &self.far_seeds)?;
            return Some(MembershipAction::Probe { name: None, to, message: self.message() });
        }
        let summary = &others[self.rng.random_range(0..others.len())];
        if summary.contacts.is_empty() {
            return None;
        }
        let to = summary.contacts[self.rng.random_range(0..summary.contacts.len())].control;
        Some(MembershipAction::Probe { name: None, to, message: self.message() })
    }

    /// Processes a probe and returns the answer.
    pub fn answer(&mut self, now: TimePoint, message: &Message) -> Message {
        self.receive(now, message);
        let mut answer = self.message();
        if message.sender.data_centre == self.own.data_centre {
            // A new node receives all members at once, so that it can probe them and be used immediately.
            let is_new = message.updates.is_empty() && message.summaries.is_empty();
            if is_new {
                answer.updates = self.others.values().map(|it| it.member.clone()).collect();
            }
        } else {
            answer.updates.clear();
        }
        answer
    }

    /// Processes the updates and summaries of a message.
    pub fn receive(&mut self, now: TimePoint, message: &Message) {
        if message.sender.data_centre == self.own.data_centre {
            self.apply_update(now, &message.sender, true);
            for update in &message.updates {
                self.apply_update(now, update, false);
            }
        }
        for summary in &message.summaries {
            self.apply_summary(summary);
        }
    }

    fn apply_summary(&mut self, summary: &Summary) {
        let known = self.summaries.get(&summary.data_centre);
        if known.is_none_or(|it| it.made_at < summary.made_at) {
            self.summaries.insert(summary.data_centre.clone(), summary.clone());
        }
    }

    fn apply_update(&mut self, now: TimePoint, update: &Member, is_from_member_itself: bool) {
        if update.name == self.own.name {
            self.refute(update);
            return;
        }
        if update.data_centre != self.own.data_centre {
            return;
        }
        self.declare_former_members_dead(now, update);
        let Some(known) = self.others.get_mut(&update.name) else {
            // Adding an unknown dead member would only make all nodes remember it again.
            if update.state != MemberState::Dead {
                self.others.insert(
                    update.name.clone(),
                    MemberEntry { member: update.clone(), since: now },
                );
                self.update_queue.push(&update.name);
            }
            return;
        };
        let newer_load = update.load.version > known.member.load.version;
        if update.overrides(&known.member) {
            let load = if newer_load { update.load } else { known.member.load };
            known.member = Member { load, ..update.clone() };
            known.since = now;
            self.update_queue.push(&update.name);
        } else if newer_load && update.incarnation == known.member.incarnation {
            known.member.load = update.load;
            self.update_queue.push(&update.name);
        }
        if is_from_member_itself {
            self.extend_suspicion(now, &update.name);
        }
    }

    /// Restarts the suspicion timeout of a member that has sent a message itself.
    ///
    /// The suspicion itself is refuted only by a higher incarnation of the member.
    fn extend_suspicion(&mut self, now: TimePoint, name: &EntryVmName) {
        if let Some(known) = self.others.get_mut(name)
            && known.member.state == MemberState::Suspect
        {
            known.since = now;
        }
    }

    /// Declares earlier members at the same address dead.
    ///
    /// If a VM is replaced by a new one at the same address, probes of the former member reach the new VM and would
    /// keep the former member alive forever.
    fn declare_former_members_dead(&mut self, now: TimePoint, update: &Member) {
        let former_names: Vec<_> = self
            .others
            .values()
            .filter(|it| {
                it.member.control == update.control
                    && it.member.name != update.name
                    && it.member.incarnation < update.incarnation
                    && it.member.state != MemberState::Dead
            })
            .map(|it| it.member.name.clone())
            .collect();
        for name in former_names {
            if let Some(known) = self.others.get_mut(&name) {
                known.member.state = MemberState::Dead;
                known.since = now;
            }
            self.update_queue.push(&name);
        }
    }

    /// Refutes an update that gives this node a worse state than its own, by increasing the incarnation.
    fn refute(&mut self, update: &Member) {
        let is_worse = update.incarnation >= self.own.incarnation && update.state > self.own.state;
        if is_worse {
            self.own.incarnation = update.incarnation.next();
        }
    }

    /// Processes a failed probe: another member is asked to probe the target before it is suspected.
    pub fn probe_failed(&mut self, name: &EntryVmName) -> Vec<MembershipAction> {
        let Some(target) = self.others.get(name).map(|it| it.member.control) else {
            return Vec::new();
        };
        let helpers: Vec<_> = self
            .others
            .values()
            .filter(|it| it.member.takes_work() && it.member.name != *name)
            .map(|it| it.member.control)
            .collect();
        if helpers.is_empty() {
            return Vec::new();
        }
        let via = helpers[self.rng.random_range(0..helpers.len())];
        vec![MembershipAction::ProbeVia { via, name: name.clone(), target }]
    }

    /// Marks a member as suspect after direct and indirect probes have failed.
    pub fn suspect(&mut self, now: TimePoint, name: &EntryVmName) {
        let Some(known) = self.others.get_mut(name) else { return };
        let state = match known.member.state {
            MemberState::Alive => MemberState::Suspect,
            // A leaving member that doesn't answer has left.
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        };
        known.member.state = state;
        known.since = now;
        self.update_queue.push(name);
    }

    /// Returns this node's current incarnation.
    pub const fn incarnation(&self) -> Incarnation {
        self.own.incarnation
    }
}

fn pick(rng: &mut Pcg64Mcg, addresses: &[SocketAddr]) -> Option<SocketAddr> {
    let at = rng.random_range(0..addresses.len().max(1));
    addresses.get(at).copied()
}

/// A delegate probes a listed address of another data centre, instead of a contact from a summary, in one of this many
/// rounds on average. This reconnects groups that no longer know of each other after a partition.
const SEED_PROBE_PERIOD: u32 = 10;

/// Maximum number of reminders in a message.
const MAX_REMINDERS: usize = 3;
/// Maximum number of summaries in a message.
const MAX_SUMMARIES: usize = 3;

/// Rendezvous key that orders the candidates for delegates: "delegate" in ASCII.
const DELEGATE_KEY: u64 = 0x6465_6c65_6761_7465;
