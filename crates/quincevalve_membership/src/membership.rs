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
    news::News,
    summary::{Contact, Summary},
};

/// Settings of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time between two rounds of probes.
    pub period: Duration,
    /// Peers of the own data centre probed in a round.
    pub probes: usize,
    /// Pieces of news in one message.
    pub news: usize,
    /// How long a suspect may refute before it counts as dead.
    pub suspicion: Duration,
    /// How long the dead are remembered, so that old news can't bring them back.
    pub burial: Duration,
    /// Members that speak for their data centre with others.
    pub delegates: usize,
    /// Contacts in a summary.
    pub contacts: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            probes: 2,
            news: 8,
            suspicion: Duration::from_secs(3),
            burial: Duration::from_secs(120),
            delegates: 2,
            contacts: 4,
        }
    }
}

/// What the node does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a probe; the answer goes to [`Membership::receive`], a failure to
    /// [`Membership::probe_failed`].
    Probe {
        /// The peer, if its name is known.
        name: Option<EntryVmName>,
        /// Its address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Ask `via` to probe `target`, since the own probe failed.
    ProbeVia {
        /// Who is asked.
        via: SocketAddr,
        /// The silent member.
        name: EntryVmName,
        /// Its address.
        target: SocketAddr,
    },
}

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    since: TimePoint,
}

/// The core.
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
    others: IndexMap<EntryVmName, Known, FxBuildHasher>,
    summaries: IndexMap<DataCentreName, Summary, FxBuildHasher>,
    near_seeds: Vec<SocketAddr>,
    far_seeds: Vec<SocketAddr>,
    news: News,
    order: Vec<EntryVmName>,
    /// The member that was named last as a reminder.
    reminded: usize,
    /// The summary that the next message begins with.
    summary_turn: usize,
    rng: Pcg64Mcg,
}

impl Membership {
    /// Makes the core of a node that knows only itself.
    pub fn new(own: Member, settings: MembershipSettings, seed: u64) -> Self {
        Self {
            settings,
            own,
            others: IndexMap::default(),
            summaries: IndexMap::default(),
            near_seeds: Vec::new(),
            far_seeds: Vec::new(),
            news: News::default(),
            order: Vec::new(),
            reminded: 0,
            summary_turn: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Takes addresses from the platform's list: of the own data centre, and of others. The list lags,
    /// so they are only places to ask.
    pub fn seed(&mut self, near: &[SocketAddr], far: &[SocketAddr]) {
        self.near_seeds = near.to_vec();
        self.far_seeds = far.to_vec();
    }

    /// This node as it sees itself.
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// Everybody known in the data centre, this node first; the dead among them.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.others.values().map(|it| &it.member))
    }

    /// What is known of other data centres.
    pub fn summaries(&self) -> impl Iterator<Item = &Summary> {
        self.summaries.values()
    }

    /// Notes the own load; it travels with the next messages.
    pub fn set_load(&mut self, demand: u32, revision: Revision) {
        let load = &mut self.own.load;
        if load.demand == demand && load.revision == revision {
            return;
        }
        *load = Load { demand, revision, version: load.version + 1 };
    }

    /// Notes that this node is being stopped or taken back.
    pub fn leave(&mut self) {
        self.own.state = self.own.state.max(MemberState::Leaving);
    }

    /// The message that a node introduces itself with.
    pub fn hello(&self) -> Message {
        Message { sender: self.own.clone(), updates: Vec::new(), summaries: Vec::new() }
    }

    /// One round: probes, and the passing of time for suspects and the dead.
    pub fn tick(&mut self, now: TimePoint) -> Vec<MembershipAction> {
        self.age(now);
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

    fn age(&mut self, now: TimePoint) {
        let MembershipSettings { suspicion, burial, .. } = self.settings;
        let mut dead = Vec::new();
        for known in self.others.values_mut() {
            if known.member.state == MemberState::Suspect && now - known.since >= suspicion {
                known.member.state = MemberState::Dead;
                known.since = now;
                dead.push(known.member.name.clone());
            }
        }
        for name in &dead {
            self.news.add(name);
        }
        self.others.retain(|_, it| it.member.state != MemberState::Dead || now - it.since < burial);
    }

    /// Targets come in a shuffled order, each once before any comes again, so that the time until a
    /// silent member is noticed is bounded.
    fn next_target(&mut self) -> Option<EntryVmName> {
        loop {
            if self.order.is_empty() {
                let reachable = self.others.values().filter(|it| it.member.is_reachable());
                self.order = reachable.map(|it| it.member.name.clone()).collect();
                self.shuffle_order();
                if self.order.is_empty() {
                    return None;
                }
            }
            let name = self.order.pop()?;
            if self.others.get(&name).is_some_and(|it| it.member.is_reachable()) {
                return Some(name);
            }
        }
    }

    fn shuffle_order(&mut self) {
        for at in (1..self.order.len()).rev() {
            let other = self.rng.random_range(0..=at);
            self.order.swap(at, other);
        }
    }

    fn probe(&mut self, name: &EntryVmName) -> Option<MembershipAction> {
        let target = self.others.get(name)?.member.clone();
        let to = target.control;
        let mut message = self.message();
        // A suspect must hear of the suspicion, or it can't refute it.
        if target.state == MemberState::Suspect && !message.updates.contains(&target) {
            message.updates.push(target);
        }
        Some(MembershipAction::Probe { name: Some(name.clone()), to, message })
    }

    /// Asks one listed place of the data centre where no known member is.
    ///
    /// Failure: nodes that start together find a few others each, and form islands whose members know
    /// only each other. Symptom: each island plans and serves as if it were the whole data centre. As
    /// long as the list shows a place that nobody known has, somebody is asked there in each round.
    fn probe_unknown(&mut self) -> Option<MembershipAction> {
        let known = |it: &SocketAddr| {
            *it == self.own.control || self.others.values().any(|other| other.member.control == *it)
        };
        let unknown: Vec<_> = self.near_seeds.iter().copied().filter(|it| !known(it)).collect();
        let to = pick(&mut self.rng, &unknown)?;
        Some(MembershipAction::Probe { name: None, to, message: self.message() })
    }

    fn message(&mut self) -> Message {
        let mut names = self.news.take(self.settings.news, self.others.len() + 1);
        self.add_reminders(&mut names);
        let updates = names.iter().filter_map(|it| self.others.get(it)).map(|it| it.member.clone());
        let updates = updates.collect();
        let summaries = self.some_summaries();
        Message { sender: self.own.clone(), updates, summaries }
    }

    /// Adds members that are no news, in turn.
    ///
    /// Failure: news is passed on a bounded number of times, and by bad luck doesn't reach somebody.
    /// Symptom: that node never learns of a member, or never of its end. Reminders reach everybody in
    /// the end, whatever was missed, at a cost that doesn't grow with the fleet.
    fn add_reminders(&mut self, names: &mut Vec<EntryVmName>) {
        let count = self.others.len();
        for _ in 0..REMINDERS.min(count) {
            self.reminded = (self.reminded + 1) % count;
            if let Some((name, _)) = self.others.get_index(self.reminded)
                && !names.contains(name)
            {
                names.push(name.clone());
            }
        }
    }

    /// The own summary and a few others, in turn.
    fn some_summaries(&mut self) -> Vec<Summary> {
        let count = self.summaries.len();
        let chosen = SUMMARIES.min(count);
        let first = self.summary_turn;
        self.summary_turn = self.summary_turn.wrapping_add(chosen);
        (0..chosen)
            .filter_map(|it| self.summaries.get_index((first + it) % count))
            .map(|it| it.1.clone())
            .collect()
    }

    /// Whether this node speaks for its data centre: the first few in rendezvous order do.
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
        if others.is_empty() || self.rng.random_range(0..SEED_TURN) == 0 {
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

    /// Takes a probe and returns the answer.
    pub fn answer(&mut self, now: TimePoint, message: &Message) -> Message {
        self.receive(now, message);
        let mut answer = self.message();
        if message.sender.data_centre == self.own.data_centre {
            // A newcomer learns everybody at once; so it can be probed and relied on right away.
            let is_new = message.updates.is_empty() && message.summaries.is_empty();
            if is_new {
                answer.updates = self.others.values().map(|it| it.member.clone()).collect();
            }
        } else {
            answer.updates.clear();
        }
        answer
    }

    /// Takes a message's news.
    pub fn receive(&mut self, now: TimePoint, message: &Message) {
        if message.sender.data_centre == self.own.data_centre {
            self.take_update(now, &message.sender, true);
            for update in &message.updates {
                self.take_update(now, update, false);
            }
        }
        for summary in &message.summaries {
            self.take_summary(summary);
        }
    }

    fn take_summary(&mut self, summary: &Summary) {
        let known = self.summaries.get(&summary.data_centre);
        if known.is_none_or(|it| it.made_at < summary.made_at) {
            self.summaries.insert(summary.data_centre.clone(), summary.clone());
        }
    }

    fn take_update(&mut self, now: TimePoint, update: &Member, is_first_hand: bool) {
        if update.name == self.own.name {
            self.refute(update);
            return;
        }
        if update.data_centre != self.own.data_centre {
            return;
        }
        self.bury_former(now, update);
        let Some(known) = self.others.get_mut(&update.name) else {
            // News of an unknown dead member would only make everybody remember it again.
            if update.state != MemberState::Dead {
                self.others
                    .insert(update.name.clone(), Known { member: update.clone(), since: now });
                self.news.add(&update.name);
            }
            return;
        };
        let newer_load = update.load.version > known.member.load.version;
        if update.overrides(&known.member) {
            let load = if newer_load { update.load } else { known.member.load };
            known.member = Member { load, ..update.clone() };
            known.since = now;
            self.news.add(&update.name);
        } else if newer_load && update.incarnation == known.member.incarnation {
            known.member.load = update.load;
            self.news.add(&update.name);
        }
        if is_first_hand {
            self.hear(now, &update.name);
        }
    }

    /// A member that speaks is not silent, whatever others suspect; the suspicion itself is refuted by
    /// the member's own higher incarnation.
    fn hear(&mut self, now: TimePoint, name: &EntryVmName) {
        if let Some(known) = self.others.get_mut(name)
            && known.member.state == MemberState::Suspect
        {
            known.since = now;
        }
    }

    /// Failure: a VM is replaced under the same address, and its former name is still listed. Symptom:
    /// probes to the former name reach the new VM and keep the former one alive forever.
    fn bury_former(&mut self, now: TimePoint, update: &Member) {
        let formers: Vec<_> = self
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
        for name in formers {
            if let Some(known) = self.others.get_mut(&name) {
                known.member.state = MemberState::Dead;
                known.since = now;
            }
            self.news.add(&name);
        }
    }

    /// Others believe something worse of this node than is true: a higher incarnation corrects them.
    fn refute(&mut self, update: &Member) {
        let is_worse = update.incarnation >= self.own.incarnation && update.state > self.own.state;
        if is_worse {
            self.own.incarnation = update.incarnation.next();
        }
    }

    /// Notes that a probe got no answer: others are asked to try before anybody is suspected.
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

    /// Notes that nobody reached a member.
    pub fn suspect(&mut self, now: TimePoint, name: &EntryVmName) {
        let Some(known) = self.others.get_mut(name) else { return };
        let state = match known.member.state {
            MemberState::Alive => MemberState::Suspect,
            // A leaving member that is silent has left.
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        };
        known.member.state = state;
        known.since = now;
        self.news.add(name);
    }

    /// The incarnation that this node has now.
    pub const fn incarnation(&self) -> Incarnation {
        self.own.incarnation
    }
}

fn pick(rng: &mut Pcg64Mcg, addresses: &[SocketAddr]) -> Option<SocketAddr> {
    let at = rng.random_range(0..addresses.len().max(1));
    addresses.get(at).copied()
}

/// One round in so many a delegate asks a listed place of another data centre and not one that a summary
/// names, so that two halves that have lost sight of each other find together again.
const SEED_TURN: u32 = 10;

/// Members in a message that are no news.
const REMINDERS: usize = 3;
/// Summaries in a message.
const SUMMARIES: usize = 3;

const DELEGATE_KEY: u64 = 0x6465_6c65_6761_7465;
