//! Simulates the control cores of many nodes in virtual time, with network delay, message loss and a store.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use quincevalve_distribution::{Distribution, DistributionAction, DistributionSettings, Source};
use quincevalve_membership::{
    Load, Member, MemberState, Membership, MembershipAction, MembershipSettings, Message,
};
use quincevalve_names::{EntryVmName, Incarnation, Revision, TimePoint, mix};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Configuration and injected faults of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSetup {
    pub(crate) nodes: u32,
    pub(crate) data_centres: u32,
    pub(crate) loss: f64,
    /// Size of one configuration in bytes.
    pub(crate) content: usize,
    /// Whether the store becomes unavailable after a single relay has read a change.
    pub(crate) outage: bool,
}

/// Resources used by one node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    pub(crate) busy: Duration,
}

struct Node {
    membership: Membership,
    distribution: Distribution,
    alive: bool,
    usage: Usage,
    in_force_at: Option<TimePoint>,
}

enum Event {
    Round(usize),
    /// A probe arrives; its sender waits for the answer.
    Probe {
        from: usize,
        to: usize,
        name: Option<EntryVmName>,
        bytes: Vec<u8>,
    },
    Answer {
        to: usize,
        bytes: Vec<u8>,
    },
    ProbeFailed {
        node: usize,
        name: EntryVmName,
    },
    ProbeVia {
        node: usize,
        via: usize,
        target: usize,
        name: EntryVmName,
    },
    HelperAnswer {
        node: usize,
        name: EntryVmName,
        reached: bool,
    },
    Announce {
        from: usize,
        to: usize,
        revision: Revision,
    },
    Fetch {
        from: usize,
        to: usize,
    },
    Fetched {
        from: usize,
        to: usize,
        revision: Revision,
    },
    FetchFailed {
        node: usize,
        from: usize,
    },
    StoreRead(usize, Revision),
}

/// A fleet of simulated nodes with its event queue.
pub(crate) struct Fleet {
    setup: FleetSetup,
    nodes: Vec<Node>,
    by_address: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(TimePoint, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    now: TimePoint,
    rng: Pcg64Mcg,
    content: Arc<str>,
    newest: Revision,
}

const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Transport overhead of one message in bytes: TLS record, frame, TCP and IP headers.
const TRANSPORT_OVERHEAD: u64 = 120;
const STORE_CALL: Duration = Duration::from_millis(8);
/// Size of an announcement or a fetch request in bytes.
const CONTROL_MESSAGE_SIZE: u64 = 24;

impl Fleet {
    /// Builds a fleet whose nodes initially know only a few seed nodes.
    pub(crate) fn new(setup: FleetSetup, seed: u64) -> Self {
        let members: Vec<_> = (0..setup.nodes).map(|it| member(it, setup.data_centres)).collect();
        let by_address = members.iter().enumerate().map(|(at, it)| (it.control, at)).collect();
        let places: Vec<_> =
            members.iter().map(|it| (it.control, it.data_centre.clone())).collect();
        let nodes = members.into_iter().enumerate().map(|(at, member)| {
            let seed = mix(seed, at as u64);
            let (near, far): (Vec<_>, Vec<_>) =
                places.iter().partition(|it| it.1 == member.data_centre);
            let addresses = |it: Vec<&(SocketAddr, _)>| it.into_iter().map(|it| it.0).collect();
            let (near, far): (Vec<_>, Vec<_>) = (addresses(near), addresses(far));
            let mut membership = Membership::new(member, MembershipSettings::default(), seed);
            membership.seed(&near, &far);
            Node {
                membership,
                distribution: Distribution::new(DistributionSettings::default(), seed),
                alive: true,
                usage: Usage::default(),
                in_force_at: None,
            }
        });
        let mut fleet = Self {
            setup,
            nodes: nodes.collect(),
            by_address,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            now: TimePoint::ZERO,
            rng: Pcg64Mcg::seed_from_u64(seed),
            content: "x".repeat(setup.content).into(),
            newest: Revision(0),
        };
        for node in 0..fleet.nodes.len() {
            let offset = Duration::from_millis(fleet.rng.random_range(0..1_000));
            fleet.push(offset, Event::Round(node));
        }
        fleet
    }

    fn push(&mut self, delay: Duration, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + delay, self.next)));
        self.events.insert(self.next, event);
    }

    /// Advances virtual time and handles all events that become due.
    pub(crate) fn run(&mut self, length: Duration) {
        let until = self.now + length;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.now = until;
    }

    /// Resets the usage counters.
    pub(crate) fn reset_usage(&mut self) {
        for node in &mut self.nodes {
            node.usage = Usage::default();
        }
    }

    /// Returns the mean and the maximum usage over all live nodes.
    pub(crate) fn usage(&self) -> (Usage, Usage) {
        let mut sum = Usage::default();
        let mut most = Usage::default();
        let live: Vec<_> = self.nodes.iter().filter(|it| it.alive).map(|it| it.usage).collect();
        for usage in &live {
            sum.messages += usage.messages;
            sum.bytes += usage.bytes;
            sum.busy += usage.busy;
            most.messages = most.messages.max(usage.messages);
            most.bytes = most.bytes.max(usage.bytes);
            most.busy = most.busy.max(usage.busy);
        }
        let count = live.len().max(1) as u64;
        let mean = Usage {
            messages: sum.messages / count,
            bytes: sum.bytes / count,
            busy: sum.busy / count as u32,
        };
        (mean, most)
    }

    /// Accepts a configuration change now; returns the time until it is in force on every live node.
    pub(crate) fn change(&mut self) -> Option<Duration> {
        let began = self.now;
        self.newest = self.newest.next();
        let newest = self.newest;
        for node in &mut self.nodes {
            node.in_force_at = None;
        }
        let relays = self.relays();
        let readers = if self.setup.outage { &relays[..1] } else { &relays[..] };
        for relay in readers.iter().copied() {
            // A relay first gets the answer of its watch, then reads the content.
            self.push(STORE_CALL * 2, Event::StoreRead(relay, newest));
        }
        for _ in 0..CHANGE_TIMEOUT_S * 20 {
            self.run(Duration::from_millis(50));
            let live = self.nodes.iter().filter(|it| it.alive);
            let times: Option<Vec<_>> = live.map(|it| it.in_force_at).collect();
            if let Some(times) = times {
                return times.into_iter().max().map(|it| it - began);
            }
        }
        None
    }

    /// Stops a fraction of the nodes at the same time.
    pub(crate) fn kill(&mut self, share: f64) {
        let count = (self.nodes.len() as f64 * share).round() as usize;
        for node in self.nodes.iter_mut().take(count) {
            node.alive = false;
        }
    }

    /// Returns the fraction of live nodes that count as many members taking work as their data centre has live nodes.
    pub(crate) fn agreement(&self) -> f64 {
        let right = |node: &&Node| {
            let own = &node.membership.own().data_centre;
            let believed = node.membership.members().filter(|it| it.takes_work()).count();
            let there = self.nodes.iter().filter(|it| it.alive);
            believed == there.filter(|it| it.membership.own().data_centre == *own).count()
        };
        let live: Vec<_> = self.nodes.iter().filter(|it| it.alive).collect();
        live.iter().filter(|it| right(it)).count() as f64 / live.len().max(1) as f64
    }

    /// Returns the relays: two nodes in each data centre that read the store.
    fn relays(&self) -> Vec<usize> {
        let mut relays = Vec::new();
        for data_centre in 0..self.setup.data_centres as usize {
            let step = self.setup.data_centres as usize;
            let members = (data_centre..self.nodes.len()).step_by(step);
            relays.extend(members.filter(|it| self.nodes[*it].alive).take(2));
        }
        relays
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let spread = self.rng.random_range(0.5..1.5);
        let count = self.setup.data_centres as usize;
        let base = if from % count == to % count {
            300.0
        } else if (from % count) % REGIONS == (to % count) % REGIONS {
            800.0
        } else {
            20_000.0
        };
        Duration::from_micros((base * spread) as u64)
    }

    fn is_lost(&mut self) -> bool {
        self.setup.loss > 0.0 && self.rng.random_bool(self.setup.loss)
    }

    fn record_sent(&mut self, node: usize, bytes: u64) {
        let usage = &mut self.nodes[node].usage;
        usage.messages += 1;
        usage.bytes += bytes + TRANSPORT_OVERHEAD;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Round(node) => self.round(node),
            Event::Probe { from, to, name, bytes } => self.probed(from, to, name, &bytes),
            Event::Answer { to, bytes } => self.answered(to, &bytes),
            Event::ProbeFailed { node, name } => {
                let actions = self.nodes[node].membership.probe_failed(&name);
                if actions.is_empty() {
                    let now = self.now;
                    self.nodes[node].membership.suspect(now, &name);
                }
                self.act(node, actions);
            }
            Event::ProbeVia { node, via, target, name } => {
                let reached = self.nodes[via].alive && self.nodes[target].alive && !self.is_lost();
                self.record_sent(via, CONTROL_MESSAGE_SIZE);
                self.push(ANSWER_TIMEOUT, Event::HelperAnswer { node, name, reached });
            }
            Event::HelperAnswer { node, name, reached } => {
                if !reached {
                    let now = self.now;
                    self.nodes[node].membership.suspect(now, &name);
                }
            }
            Event::Announce { from, to, revision } => self.receive_announcement(to, from, revision),
            Event::Fetch { from, to } => self.fetch(from, to),
            Event::Fetched { from, to, revision } => {
                let source = Source::Peer(self.address(from));
                self.receive(to, source, revision);
            }
            Event::FetchFailed { node, from } => {
                let peer = self.address(from);
                self.nodes[node].distribution.fetch_failed(peer);
            }
            Event::StoreRead(node, revision) => self.receive(node, Source::Store, revision),
        }
    }

    fn address(&self, node: usize) -> SocketAddr {
        self.nodes[node].membership.own().control
    }

    fn round(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        let began = Instant::now();
        let now = self.now;
        let revision = self.nodes[node].distribution.revision();
        let demand = (now.as_micros() / 5_000_000) as u32 + node as u32;
        self.nodes[node].membership.set_load(demand, revision);
        let actions = self.nodes[node].membership.tick(now);
        self.nodes[node].usage.busy += began.elapsed();
        self.act(node, actions);
        self.push(Duration::from_secs(1), Event::Round(node));
    }

    fn act(&mut self, node: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Probe { name, to, message } => {
                    let began = Instant::now();
                    let bytes = bincode::serialize(&message).unwrap_or_default();
                    self.nodes[node].usage.busy += began.elapsed();
                    self.record_sent(node, bytes.len() as u64);
                    let Some(to) = self.by_address.get(&to).copied() else { continue };
                    let delay = self.delay(node, to);
                    self.push(delay, Event::Probe { from: node, to, name, bytes });
                }
                MembershipAction::ProbeVia { via, name, target } => {
                    self.record_sent(node, CONTROL_MESSAGE_SIZE);
                    let Some(via) = self.by_address.get(&via).copied() else { continue };
                    let Some(target) = self.by_address.get(&target).copied() else { continue };
                    let delay = self.delay(node, via);
                    self.push(delay, Event::ProbeVia { node, via, target, name });
                }
            }
        }
    }

    fn probed(&mut self, from: usize, to: usize, name: Option<EntryVmName>, bytes: &[u8]) {
        if !self.nodes[to].alive || self.is_lost() {
            if let Some(name) = name {
                self.push(ANSWER_TIMEOUT, Event::ProbeFailed { node: from, name });
            }
            return;
        }
        let began = Instant::now();
        let now = self.now;
        let Ok(message) = bincode::deserialize::<Message>(bytes) else { return };
        let answer = self.nodes[to].membership.answer(now, &message);
        let answer = bincode::serialize(&answer).unwrap_or_default();
        self.nodes[to].usage.busy += began.elapsed();
        self.record_sent(to, answer.len() as u64);
        let delay = self.delay(to, from);
        self.push(delay, Event::Answer { to: from, bytes: answer });
        self.receive_revisions(to, &message);
    }

    fn answered(&mut self, to: usize, bytes: &[u8]) {
        if !self.nodes[to].alive {
            return;
        }
        let began = Instant::now();
        let now = self.now;
        let Ok(message) = bincode::deserialize::<Message>(bytes) else { return };
        self.nodes[to].membership.receive(now, &message);
        self.nodes[to].usage.busy += began.elapsed();
        self.receive_revisions(to, &message);
    }

    fn receive_revisions(&mut self, node: usize, message: &Message) {
        let sender = std::iter::once((message.sender.control, message.sender.load.revision));
        let others = message.updates.iter().map(|it| (it.control, it.load.revision));
        let summaries = message
            .summaries
            .iter()
            .filter_map(|it| Some((it.contacts.first()?.control, it.revision)));
        let newest = sender.chain(others).chain(summaries).max_by_key(|it| it.1);
        let Some((peer, revision)) = newest else { return };
        if let Some(peer) = self.by_address.get(&peer).copied() {
            self.receive_announcement(node, peer, revision);
        }
    }

    fn receive_announcement(&mut self, node: usize, peer: usize, revision: Revision) {
        if !self.nodes[node].alive {
            return;
        }
        let (now, address) = (self.now, self.address(peer));
        let actions = self.nodes[node].distribution.handle_announcement(now, address, revision);
        self.distribute(node, actions);
    }

    fn receive(&mut self, node: usize, source: Source, revision: Revision) {
        if !self.nodes[node].alive {
            return;
        }
        let now = self.now;
        let own = self.address(node);
        let members = self.nodes[node].membership.members().filter(|it| it.takes_work());
        let peers: Vec<_> = members.map(|it| it.control).filter(|it| *it != own).collect();
        let content = Arc::clone(&self.content);
        let began = Instant::now();
        let distribution = &mut self.nodes[node].distribution;
        let actions = distribution.receive(now, source, revision, content, &peers);
        self.nodes[node].usage.busy += began.elapsed();
        self.distribute(node, actions);
    }

    fn distribute(&mut self, node: usize, actions: Vec<DistributionAction>) {
        for action in actions {
            match action {
                DistributionAction::Apply { .. } => {
                    let now = self.now;
                    self.nodes[node].in_force_at.get_or_insert(now);
                }
                DistributionAction::Announce { to, revision } => {
                    for peer in to {
                        self.record_sent(node, CONTROL_MESSAGE_SIZE);
                        let Some(to) = self.by_address.get(&peer).copied() else { continue };
                        if !self.is_lost() {
                            let delay = self.delay(node, to);
                            self.push(delay, Event::Announce { from: node, to, revision });
                        }
                    }
                }
                DistributionAction::Fetch(peer) => {
                    self.record_sent(node, CONTROL_MESSAGE_SIZE);
                    let Some(to) = self.by_address.get(&peer).copied() else { continue };
                    let delay = self.delay(node, to);
                    self.push(delay, Event::Fetch { from: node, to });
                }
            }
        }
    }

    fn fetch(&mut self, from: usize, to: usize) {
        if !self.nodes[to].alive || self.is_lost() {
            return self.push(ANSWER_TIMEOUT, Event::FetchFailed { node: from, from: to });
        }
        let revision = self.nodes[to].distribution.revision();
        self.record_sent(to, self.setup.content as u64);
        let delay = self.delay(to, from);
        self.push(delay, Event::Fetched { from: to, to: from, revision });
    }
}

/// Timeout in seconds after which a change that isn't in force counts as failed.
const CHANGE_TIMEOUT_S: u64 = 120;
const REGIONS: usize = 3;

fn member(number: u32, data_centres: u32) -> Member {
    let octets = [10, (number % data_centres) as u8, (number >> 8) as u8, number as u8];
    Member {
        name: format!("entry-dc{:02}-{number:03}", number % data_centres).as_str().into(),
        data_centre: format!("data-centre-{:02}", number % data_centres).as_str().into(),
        control: SocketAddr::from((octets, 7_000)),
        entry: SocketAddr::from((octets, 7_001)),
        incarnation: Incarnation(1_790_000_000_000),
        state: MemberState::Alive,
        load: Load::default(),
    }
}
