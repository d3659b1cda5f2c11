//! What entry VMs tell each other: datagrams, several times a second.
//!
//! Datagrams can't go silent as connections do, cost no connection to each peer, and nothing that is lost
//! has to be sent again: each one carries running totals.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use bincode::{DefaultOptions, Options};
use quincevalve_forwarding::{
    change_log::Excerpt,
    parts::Part,
    peer_book::{PeerBook, Role, VmCard},
    servers::start_hash,
    store_contact::Contact,
    sums::{Demand, Share, Sums},
    usage::Counts,
};
use quincevalve_names::{ServiceName, TimePoint};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    clock, config_copy,
    node::Node,
    ports::StoreRevision,
    store_sync::{heard_of_store, prove},
    store_view::{Passed, take_excerpt},
};

/// Time between two tellings. Loads and quotas are known everywhere after three of them at most. Against 120 ms,
/// one request in a hundred more was on time with 85 VMs, for a third more processor time.
const PERIOD: Duration = Duration::from_millis(60);
/// Periods between two questions to a collector that was silent.
const BETTER_PERIODS: u32 = 32;
/// Periods between two tellings of when the store answered: an eighth of the gap that counts as an outage.
const CONTACT_PERIODS: u32 = 4;
/// Periods between two tellings of usage, which is needed by the second.
const USAGE_PERIODS: u32 = 12;
/// Bytes of changes of the store in one datagram at most: a hundred servers that leave together. With the
/// shares of a hundred servers beside them a datagram stays below half of the largest.
const PASSED_BYTES: usize = 20 << 10;
/// The largest datagram that is taken, in bytes.
const MAX_DATAGRAM: usize = 60 << 10;

/// Whose share a telling carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Scope {
    /// The teller's own, for its collector.
    Own,
    /// The teller's and its members', for other collectors.
    Members,
    /// Everybody's but the receiver's, for a member.
    Rest,
}

/// What the teller knows of the store.
#[derive(Debug, Serialize, Deserialize)]
struct Relayed {
    /// How long ago the teller sent the question whose answer proves that this is the newest.
    age: Duration,
    /// The newest version of the configuration that the teller knows of.
    version: u64,
    after: u64,
    upto: u64,
    changes: Vec<(u64, Passed)>,
}

/// The newest datagram that the teller has of the receiver.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Echo {
    /// The start of the receiver that sent that: another start had another clock.
    incarnation: u64,
    /// The receiver's clock when it sent that.
    sent: TimePoint,
    /// How long the teller has had it.
    held: Duration,
}

/// When the store answered the teller or one that it hears.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct ToldContact {
    /// How long ago the newest answer was asked for.
    age: Duration,
    /// For how long before it the store had answered without a gap.
    steady: Duration,
}

#[derive(Debug, Serialize, Deserialize)]
enum Content {
    Share {
        scope: Scope,
        share: Box<Share>,
        relayed: Option<Relayed>,
        store: Option<ToldContact>,
    },
    Usage {
        counts: Counts,
    },
    /// The teller lacks a configuration above this version.
    ConfigWanted {
        above: u64,
    },
    /// A part of the teller's configuration.
    ConfigPart(Part),
}

/// One datagram.
#[derive(Debug, Serialize, Deserialize)]
struct Telling {
    from: VmCard,
    incarnation: u64,
    /// The teller's time of day.
    wall_ms: i64,
    /// True time as the teller reckons it.
    true_ms: Option<i64>,
    /// The teller's clock.
    sent: TimePoint,
    echo: Option<Echo>,
    /// The revision of the store that the teller has reached.
    seen: Option<u64>,
    content: Content,
}

impl Telling {
    /// One start of one VM: totals of another start are no continuation of these.
    fn teller(&self) -> String {
        format!("{}#{}", self.from.name, self.incarnation)
    }
}

/// The newest datagram of a VM.
#[derive(Clone, Copy, Debug)]
struct Newest {
    incarnation: u64,
    /// Its clock when it sent it.
    sent: TimePoint,
    /// Our clock when it came.
    at: TimePoint,
    /// The revision of the store that it had reached.
    seen: Option<u64>,
}

/// What the other entry VMs told.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(crate) book: PeerBook,
    /// The VM that holds the duties, as the store has it.
    holder: Option<String>,
    members: Sums,
    collectors: Sums,
    rest: Sums,
    /// Members' addresses, by teller.
    member_addresses: HashMap<String, SocketAddr>,
    /// The work that all other VMs take on, as told last.
    others_demand: Demand,
    /// The part of the entry VMs that was heard, this one included.
    reachable_part: f64,
    /// The newest datagram of each VM, by name.
    newest: HashMap<String, Newest>,
}

impl Peers {
    pub(crate) fn new(me: VmCard) -> Self {
        Self {
            book: PeerBook::new(me),
            holder: None,
            members: Sums::default(),
            collectors: Sums::default(),
            rest: Sums::default(),
            member_addresses: HashMap::new(),
            others_demand: Demand::new(),
            reachable_part: 1.0,
            newest: HashMap::new(),
        }
    }

    /// Notes which VM holds the duties.
    pub(crate) fn holder_seen(&mut self, holder: Option<String>) {
        self.holder = holder;
    }

    pub(crate) fn has_holder(&self) -> bool {
        self.holder.is_some()
    }

    /// Whether other VMs have chosen this one as their collector.
    pub(crate) fn has_members(&self, now: TimePoint) -> bool {
        self.members.is_fresh(now)
    }

    /// The work that other VMs take on for a service, in busy servers.
    pub(crate) fn others_demand(&self, service: &ServiceName) -> f64 {
        self.others_demand.get(service).copied().unwrap_or_default()
    }

    /// The part of the entry VMs that was heard lately, this one included.
    pub(crate) fn reachable_part(&self) -> f64 {
        self.reachable_part
    }

    /// What all other VMs do, as far as told. A member hears all of it from its collector; a collector adds
    /// up its members and the other collectors.
    fn others(&self, now: TimePoint) -> Share {
        let mut sum = Share::default();
        match self.book.role(self.has_members(now), now) {
            Role::Member { .. } => self.rest.add_to(&mut sum, None, now),
            Role::Collector { .. } => {
                self.members.add_to(&mut sum, None, now);
                self.collectors.add_to(&mut sum, None, now);
            }
        }
        sum
    }

    /// Whether a VM is the collector that this one has chosen.
    fn is_collector(&self, name: &str, now: TimePoint) -> bool {
        let role = self.book.role(self.has_members(now), now);
        matches!(role, Role::Member { collector, .. } if collector == name)
    }
}

/// Tells peers, for as long as the process lives.
pub(crate) async fn tell_peers(node: Rc<Node>, socket: Rc<UdpSocket>) {
    for turn in 0_u32.. {
        let now = clock::now();
        node.wall.borrow_mut().heard(String::new(), clock::wall_ms(), now);
        for gone in node.peers.borrow_mut().book.forget(now) {
            log::info!(peer = gone; "peer-forgotten");
            node.wall.borrow_mut().forget(&gone);
        }
        node.backends.sweep();
        take_over_sums(&node, now);
        tell_shares(&node, &socket, turn % CONTACT_PERIODS == 0, now);
        if turn % BETTER_PERIODS == 0 {
            ask_better_collector(&node, &socket, now);
        }
        if turn % USAGE_PERIODS == 0 {
            tell_usage(&node, &socket);
            tell_left_out(&node);
        }
        sleep(PERIOD).await;
    }
}

/// Says how many lines of requests were not written since the last time.
fn tell_left_out(node: &Node) {
    let lines = node.lines.borrow_mut().take_left_out();
    if lines > 0 {
        log::info!(lines; "lines-left-out");
        node.metrics.left_out(lines);
    }
}

/// Makes what others told the load that placements see.
fn take_over_sums(node: &Node, now: TimePoint) {
    let others = node.peers.borrow().others(now);
    let reachable_part = (f64::from(others.vms + 1) / node.vms() as f64).min(1.0);
    {
        let mut peers = node.peers.borrow_mut();
        peers.others_demand.clone_from(&others.demand);
        peers.reachable_part = reachable_part;
    }
    if let Some(config) = node.config() {
        let mut quota = node.quota.borrow_mut();
        quota.set_others(&others.spending, reachable_part, &config, now);
    }
    measure_demand(node, now);
    for (name, server) in node.servers.borrow_mut().all_mut() {
        let work =
            others.works.get(&start_hash(name, server.entry.start)).copied().unwrap_or_default();
        server.load.set_others(work, now);
    }
}

/// Measures the work that all VMs take on, whoever holds the duties: the next holder plans by it at once.
fn measure_demand(node: &Node, now: TimePoint) {
    let Some(config) = node.config() else { return };
    let part = node.peers.borrow().reachable_part();
    let mut measured = node.measured.borrow_mut();
    for (name, _) in config.services.iter().filter(|(_, it)| it.scaling.is_some()) {
        measured.entry(name.clone()).or_default().observe(node.demand_of(name), part, now);
    }
}

fn own_share(node: &Node) -> Share {
    let now = clock::now();
    let demand = node.demand.borrow();
    let demand = demand.iter().map(|(service, it)| (service.clone(), it.per_second(now)));
    let spending = node.quota.borrow().spending(now).collect();
    Share {
        vms: 1,
        works: node.own_work().into_iter().collect(),
        spending,
        demand: demand.collect(),
    }
}

fn tell_shares(node: &Node, socket: &UdpSocket, with_contact: bool, now: TimePoint) {
    let own = own_share(node);
    let peers = node.peers.borrow();
    let members: Vec<_> = peers.members.fresh_tellers(now).cloned().collect();
    let role = peers.book.role(!members.is_empty(), now);
    let mut sent = Vec::new();
    match role {
        Role::Member { address, .. } => {
            sent.push((address, Scope::Own, own));
        }
        Role::Collector { others } => {
            let mut share = own;
            peers.members.add_to(&mut share, None, now);
            let mut all = share.clone();
            peers.collectors.add_to(&mut all, None, now);
            for member in &members {
                let Some(address) = peers.member_addresses.get(member) else { continue };
                let Some(told) = peers.members.told(member, now) else { continue };
                sent.push((*address, Scope::Rest, all.without(told)));
            }
            sent.extend(others.into_iter().map(|it| (it, Scope::Members, share.clone())));
        }
    }
    drop(peers);
    let store = if with_contact { told_contact(node, now) } else { None };
    for (address, scope, share) in sent {
        let relayed = if scope == Scope::Own { None } else { relayed(node, address, now) };
        let share = Box::new(share);
        send(node, socket, address, Content::Share { scope, share, relayed, store });
        node.peers.borrow_mut().book.asked(address, now);
    }
}

/// Asks the best collector of the data centre again, if it was silent. The share is empty: the VM's own is
/// counted where it is told now.
fn ask_better_collector(node: &Node, socket: &UdpSocket, now: TimePoint) {
    let better = node.peers.borrow().book.better_collector(now);
    let Some(address) = better else { return };
    let share = Box::<Share>::default();
    let content = Content::Share { scope: Scope::Own, share, relayed: None, store: None };
    send(node, socket, address, content);
}

fn told_contact(node: &Node, now: TimePoint) -> Option<ToldContact> {
    let contact = node.store_contact.get().contact()?;
    let age = now.since(contact.newest);
    Some(ToldContact { age, steady: contact.newest.since(contact.since) })
}

/// What a VM that reads the store passes on to another.
fn relayed(node: &Node, to: SocketAddr, now: TimePoint) -> Option<Relayed> {
    if !node.reads_for_others() {
        return None;
    }
    let age = node.freshness.get().age(now)?;
    let version = node.config()?.version.max(node.told_version.get());
    let seen = {
        let peers = node.peers.borrow();
        let name = peers.book.name_of(to)?;
        peers.newest.get(name)?.seen?
    };
    let excerpt = node.store_view.borrow().since(StoreRevision(seen), PASSED_BYTES)?;
    let Excerpt { after, upto, changes } = excerpt;
    Some(Relayed { age, version, after, upto, changes })
}

/// The latest moment at which a datagram with this echo can't have been sent yet, by this VM's clock: when this VM sent
/// what it echoes, and as long after that as the teller had it. `None` if an earlier start of this VM sent that.
fn sent_after(node: &Node, echo: Option<Echo>) -> Option<TimePoint> {
    let echo = echo.filter(|it| it.incarnation == node.incarnation)?;
    Some(echo.sent + echo.held)
}

/// Takes it that the store answered another VM; however long the datagram was on its way, that isn't taken for newer
/// than it is.
fn take_contact(node: &Node, told: ToldContact, echo: Option<Echo>) {
    let newest = sent_after(node, echo).and_then(|it| earlier(it, told.age));
    let Some(newest) = newest else { return };
    let since = earlier(newest, told.steady).unwrap_or(TimePoint::ZERO);
    if newest <= clock::now() {
        heard_of_store(node, Contact { since, newest });
    }
}

fn earlier(at: TimePoint, by: Duration) -> Option<TimePoint> {
    at.as_micros().checked_sub(by.as_micros() as u64).map(TimePoint)
}

/// Takes what another VM knows of the store.
///
/// The proof counts from when this VM sent the datagram that the other echoes, less the age of the other's
/// own proof: however long the answer was on its way, it can't be taken for newer than it is.
fn take_relayed(node: &Node, relayed: Relayed, echo: Option<Echo>) {
    let Relayed { age, version, after, upto, changes } = relayed;
    let is_contiguous = take_excerpt(node, Excerpt { after, upto, changes });
    node.told_version.set(node.told_version.get().max(version));
    let reached = node.store_view.borrow().reached();
    let knows = node.config().is_some_and(|it| it.version >= version)
        && reached.is_some_and(|it| it.0 >= upto);
    if !is_contiguous || !knows {
        return;
    }
    if let Some(proved) = sent_after(node, echo).and_then(|it| earlier(it, age)) {
        prove(node, proved);
    }
}

/// Tells usage to the holder of the duties; in a small system to everyone, so that a successor
/// knows them at once.
fn tell_usage(node: &Node, socket: &UdpSocket) {
    let addresses = {
        let peers = node.peers.borrow();
        let holder = peers.holder.as_deref().filter(|it| *it != peers.book.me().name);
        match peers.book.role(true, clock::now()) {
            Role::Collector { others } if peers.book.is_small() => others,
            _ => {
                holder.and_then(|it| peers.book.card(it)).map(|it| it.address).into_iter().collect()
            }
        }
    };
    for address in addresses {
        let counts = node.usage.borrow().own().clone();
        send(node, socket, address, Content::Usage { counts });
    }
}

fn send(node: &Node, socket: &UdpSocket, address: SocketAddr, content: Content) {
    let now = clock::now();
    let echo = {
        let peers = node.peers.borrow();
        let newest = peers.book.name_of(address).and_then(|it| peers.newest.get(it));
        newest.map(|it| Echo { incarnation: it.incarnation, sent: it.sent, held: now.since(it.at) })
    };
    let telling = Telling {
        sent: now,
        echo,
        seen: node.store_view.borrow().reached().map(|it| it.0),
        from: node.peers.borrow().book.me().clone(),
        incarnation: node.incarnation,
        wall_ms: clock::wall_ms(),
        true_ms: node.wall.borrow().true_ms(now),
        content,
    };
    match encoding().serialize(&telling) {
        // A datagram that can't be sent is like one that is lost.
        Ok(bytes) => {
            if let Err(error) = socket.try_send_to(&bytes, address) {
                log::debug!(peer:% = address, error:% = error; "tell-failed");
            }
        }
        Err(error) => log::error!(error:% = error; "telling-not-encoded"),
    }
}

/// How datagrams are encoded: numbers take as many bytes as they need.
///
/// Load: a collector tells each of its members the work at all servers, sixteen times a second. With numbers of fixed
/// length and twenty members it sent 2.1 MB a second, and a VM of an eighth of a core had no time left for requests.
fn encoding() -> impl Options {
    DefaultOptions::new().with_limit(MAX_DATAGRAM as u64)
}

/// Hears peers, for as long as the process lives.
pub(crate) async fn hear_peers(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:% = error; "hear-failed");
                sleep(PERIOD).await;
                continue;
            }
        };
        match encoding().deserialize::<Telling>(&buf[..length]) {
            Ok(telling) => hear(&node, &socket, telling),
            Err(error) => log::warn!(from:% = from, error:% = error; "telling-unreadable"),
        }
    }
}

fn hear(node: &Node, socket: &UdpSocket, telling: Telling) {
    let now = clock::now();
    let teller = telling.teller();
    let name = telling.from.name.clone();
    {
        let mut peers = node.peers.borrow_mut();
        peers.book.heard(&telling.from, now);
        let newest = Newest {
            incarnation: telling.incarnation,
            sent: telling.sent,
            at: now,
            seen: telling.seen,
        };
        peers.newest.insert(name.clone(), newest);
    }
    node.wall.borrow_mut().heard(name.clone(), telling.wall_ms, now);
    match telling.content {
        Content::Share { scope, share, relayed, store } => {
            // What is relayed may say that servers are gone, and the contact whether that may be a lapse.
            if let Some(told) = store {
                take_contact(node, told, telling.echo);
            }
            if let Some(relayed) = relayed {
                take_relayed(node, relayed, telling.echo);
                if config_copy::is_wanted(node, now) {
                    let above = node.config().map_or(0, |it| it.version);
                    send(node, socket, telling.from.address, Content::ConfigWanted { above });
                }
            }
            // Two collectors would tell the same twice.
            if scope == Scope::Rest && !node.peers.borrow().is_collector(&name, now) {
                return;
            }
            {
                let mut peers = node.peers.borrow_mut();
                if scope == Scope::Own {
                    peers.member_addresses.insert(teller.clone(), telling.from.address);
                }
                let sums = match scope {
                    Scope::Own => &mut peers.members,
                    Scope::Members => &mut peers.collectors,
                    Scope::Rest => &mut peers.rest,
                };
                sums.take(&teller, *share, now);
            }
            if scope == Scope::Rest
                && let Some(true_ms) = telling.true_ms
            {
                node.wall.borrow_mut().trust(true_ms, now);
            }
        }
        Content::ConfigWanted { above } => {
            for part in config_copy::parts_above(node, above) {
                send(node, socket, telling.from.address, Content::ConfigPart(part));
            }
        }
        Content::ConfigPart(part) => config_copy::take_part(node, part, telling.from.address),
        Content::Usage { counts } => {
            let sent_ms = telling.true_ms.unwrap_or(telling.wall_ms);
            node.usage.borrow_mut().heard(&name, telling.incarnation, &counts, sent_ms);
        }
    }
}
