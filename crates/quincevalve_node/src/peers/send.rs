//! What this VM tells others, several times a second.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bincode::Options;
use quincevalve_forwarding::{
    change_log::ChangeBatch,
    chunk_fetch::ChunkRequest,
    config::ForwardingConfig,
    peer_table::Role,
    signal_outbox::ServerKey,
    sums::{MAX_SERVERS_TO_COLLECTOR, MAX_SERVERS_TO_MEMBER, PartialSum},
};
use quincevalve_names::TimePoint;
use tokio::{net::UdpSocket, time::sleep};

use super::{
    Peers,
    datagram::{Content, Datagram, Echo, Relayed, Scope, ToldContact, encoding},
};
use crate::{
    clock, node::Node, ports::StoreRevision, rollouts, server_news::news_of,
    store::view::PASSED_BYTES,
};

/// Time between two digests. Loads and quotas are known everywhere after three of them at most.
pub(super) const PERIOD: Duration = Duration::from_millis(60);

const PERIODS_PER_SECOND: f64 = 1_000.0 / PERIOD.as_millis() as f64;

/// Periods between two questions to a collector that was silent.
const BETTER_PERIODS: u32 = 32;

/// Periods between two digests of a VM that has taken on and ended nothing meanwhile: two of them may be lost before others
/// take it for gone, and each tells when the store answered.
const QUIET_PERIODS: u32 = CONTACT_PERIODS;
/// The part of what accounts spent at the last news below which it has faded.
const FADED_PART: f64 = 0.1;
/// Periods after which what others told is taken over though nothing new was heard: it may be too old to count.
const STALE_PERIODS: u32 = 4;

/// Periods between two digests of when the store answered: an eighth of the gap that counts as an outage.
const CONTACT_PERIODS: u32 = 4;

/// Servers of which one datagram has news at most: with names of forty bytes it stays below half of the largest.
const NEWS_IN_DATAGRAM: usize = 400;

/// The key of the order of VMs by which limits that servers name are divided.
const LIMITS_KEY: u64 = 0;

/// Periods between two digests of usage, which is needed by the second.
const USAGE_PERIODS: u32 = 12;

/// Tells peers, for as long as the process lives.
pub(crate) async fn send_digests(node: Rc<Node>, socket: Rc<UdpSocket>) {
    for turn in 0_u32.. {
        let now = clock::now();
        node.wall_clock.borrow_mut().record(String::new(), clock::wall_ms(), now);
        for gone in node.peers.borrow_mut().book.remove_expired(now) {
            log::info!(peer = gone; "peer-forgotten");
            node.wall_clock.borrow_mut().forget(&gone);
        }
        node.backends.sweep();
        if node.peers.borrow_mut().take_news() || turn.is_multiple_of(STALE_PERIODS) {
            take_over_sums(&node, now);
        }
        send_loads(&node, &socket, turn, now);
        send_poison(&node, &socket, now);
        send_signals(&node, &socket, now);
        if turn % BETTER_PERIODS == 0 {
            ask_better_collector(&node, &socket, now);
        }
        if turn % USAGE_PERIODS == 0 {
            send_usage(&node, &socket);
            log_left_out(&node);
        }
        sleep(PERIOD).await;
    }
}

/// Says how many lines of requests were not written since the last time.
fn log_left_out(node: &Node) {
    let lines = node.log_budget.borrow_mut().take_suppressed();
    if lines > 0 {
        log::info!(lines; "lines-left-out");
        node.metrics.count_suppressed_lines(lines);
    }
}

/// Makes what others told the load that placements see.
fn take_over_sums(node: &Node, now: TimePoint) {
    let others = node.peers.borrow().others(now);
    let reachable_part = (f64::from(others.vms + 1) / node.vm_count() as f64).min(1.0);
    {
        let mut peers = node.peers.borrow_mut();
        peers.others_demand.clone_from(&others.demand);
        peers.reachable_part = reachable_part;
    }
    if let Some(config) = node.config() {
        let mut quota = node.quota.borrow_mut();
        quota.set_peer_spending(&others.spending, reachable_part, &config, now);
    }
    let seat = node.peers.borrow().book.rank(LIMITS_KEY);
    let true_ms = node.wall_clock.borrow().estimate_ms(now).unwrap_or_else(clock::wall_ms);
    node.servers.borrow_mut().set_rank(seat, true_ms, now);
    measure_demand(node, now);
    if !node.rollouts.borrow().is_idle() {
        node.rollouts.borrow_mut().set_peer_sums(&others.rollouts);
        rollouts::refresh(node);
    }
    node.servers.borrow_mut().set_peer_work(&others.server_work, now);
}

/// Measures the work that all VMs take on, whoever holds the duties: the next holder plans by it at once.
fn measure_demand(node: &Node, now: TimePoint) {
    let Some(config) = node.config() else { return };
    let part = node.peers.borrow().reachable_part();
    let mut measured = node.measured_demand.borrow_mut();
    for (name, _) in config.services.iter().filter(|(_, it)| it.scaling.is_some()) {
        measured.entry(name.clone()).or_default().observe(node.total_demand(name), part, now);
    }
}

fn own_share(node: &Node) -> PartialSum {
    let now = clock::now();
    let demand = node.demand.borrow();
    let demand = demand.iter().map(|(service, it)| (service.clone(), it.busy(now)));
    let spending = node.quota.borrow().spending(now).collect();
    PartialSum {
        vms: 1,
        server_work: node.servers.borrow().own_work(now),
        spending,
        demand: demand.collect(),
        rollouts: node.rollouts.borrow_mut().partial_sums(&node.servers.borrow(), now),
    }
}

/// A digest for the VM at an address.
type Outgoing = (SocketAddr, Scope, PartialSum);

fn send_loads(node: &Node, socket: &UdpSocket, turn: u32, now: TimePoint) {
    let own = own_share(node);
    let config = node.config();
    let mut peers = node.peers.borrow_mut();
    let members = peers.members.fresh_senders(now).count();
    // Members that are told by turns hear of the store each time: their turns may never be those of the others.
    let by_turns = peers.pace.periods_between_digests(members, PERIODS_PER_SECOND) > 1;
    let sent = match peers.book.role(members > 0, now) {
        Role::Member { address, .. } => {
            own_digest(&mut peers, own, address, turn).into_iter().collect()
        }
        Role::Collector { others } => {
            collector_digests(&peers, own, &others, config.as_deref(), turn, now)
        }
    };
    drop(peers);
    let contact = told_contact(node, now);
    let relays_store = node.relays_store();
    for (address, scope, share) in sent {
        let with_contact =
            turn.is_multiple_of(CONTACT_PERIODS) || (by_turns && scope == Scope::Rest);
        let store = contact.filter(|_| with_contact);
        let is_told_store = relays_store && scope != Scope::Own;
        let relayed = if is_told_store { relayed(node, address, now) } else { None };
        let share = Box::new(share);
        let bytes = send(node, socket, address, Content::Share { scope, share, relayed, store });
        let mut peers = node.peers.borrow_mut();
        if scope == Scope::Rest {
            peers.pace.record_sent_bytes(bytes);
        }
        peers.book.record_datagram_sent(address, now);
    }
}

/// What a member tells its collector in this period: nothing while there is no news, but for every few periods.
///
/// What an account spends is a rate that fades. Who stops telling it while it is high has it counted on at its full height.
fn own_digest(
    peers: &mut Peers,
    own: PartialSum,
    address: SocketAddr,
    turn: u32,
) -> Option<Outgoing> {
    let spent: f64 = own.spending.values().sum();
    let is_news = peers.has_own_news(&own);
    if is_news {
        peers.spent_at_news = spent;
    }
    let has_faded = spent <= FADED_PART * peers.spent_at_news;
    if !is_news && has_faded && !turn.is_multiple_of(QUIET_PERIODS) {
        return None;
    }
    peers.own_told = Some(own.clone());
    Some((address, Scope::Own, own))
}

/// What a collector tells its members and the other collectors in this period.
fn collector_digests(
    peers: &Peers,
    own: PartialSum,
    others: &[SocketAddr],
    config: Option<&ForwardingConfig>,
    turn: u32,
    now: TimePoint,
) -> Vec<Outgoing> {
    let mut share = own;
    peers.members.add_to(&mut share, None, now);
    let mut all = share.clone();
    peers.collectors.add_to(&mut all, None, now);
    share.keep_busiest_servers(MAX_SERVERS_TO_COLLECTOR);
    all.keep_busiest_servers(MAX_SERVERS_TO_MEMBER);
    if let Some(config) = config {
        all.drop_low_spending(config);
    }
    let members: Vec<_> = peers.members.fresh_senders(now).collect();
    let is_due = |at| peers.pace.is_due(at, turn, members.len(), PERIODS_PER_SECOND);
    let due = members.iter().enumerate().filter(|(at, _)| is_due(*at));
    let to_members = due.filter_map(|(_, member)| {
        let address = peers.member_addresses.get(*member)?;
        let told = peers.members.get(member, now)?;
        Some((*address, Scope::Rest, all.without(told)))
    });
    let to_collectors = others.iter().map(|it| (*it, Scope::Members, share.clone()));
    to_members.chain(to_collectors).collect()
}

/// Asks the best collector of the data centre again, if it was silent. The share is empty: the VM's own is
/// counted where it is told now.
fn ask_better_collector(node: &Node, socket: &UdpSocket, now: TimePoint) {
    let better = node.peers.borrow().book.preferred_collector(now);
    let Some(address) = better else { return };
    let share = Box::<PartialSum>::default();
    let content = Content::Share { scope: Scope::Own, share, relayed: None, store: None };
    send(node, socket, address, content);
}

fn told_contact(node: &Node, now: TimePoint) -> Option<ToldContact> {
    let contact = node.store_contact.get().newest_span()?;
    let age = now.since(contact.newest);
    Some(ToldContact { age, steady: contact.newest.since(contact.since) })
}

/// What a VM that knows the store passes on to another.
fn relayed(node: &Node, to: SocketAddr, now: TimePoint) -> Option<Relayed> {
    let age = node.freshness.get().age(now)?;
    let version = node.config()?.version.max(node.reported_config_version.get());
    let seen = {
        let peers = node.peers.borrow();
        let name = peers.book.name_of(to)?;
        peers.newest.get(name)?.seen?
    };
    let excerpt = node.store_view.borrow().since(StoreRevision(seen), PASSED_BYTES)?;
    let ChangeBatch { after, upto, changes } = excerpt;
    Some(Relayed { age, version, after, upto, changes })
}

/// Tells usage to the holder of the duties; in a small system to everyone, so that a successor
/// knows them at once.
fn send_usage(node: &Node, socket: &UdpSocket) {
    let addresses = {
        let peers = node.peers.borrow();
        let holder = peers.holder.as_deref().filter(|it| *it != peers.book.me().name);
        match peers.book.role(true, clock::now()) {
            Role::Collector { others } if peers.book.is_small() => others,
            _ => holder
                .and_then(|it| peers.book.descriptor(it))
                .map(|it| it.address)
                .into_iter()
                .collect(),
        }
    };
    for address in addresses {
        let counts = node.usage.borrow().own().clone();
        send(node, socket, address, Content::Usage { counts });
    }
}

/// Tells what there is to tell of requests under which servers exit.
fn send_poison(node: &Node, socket: &UdpSocket, now: TimePoint) {
    if !node.poison.borrow().is_due(now) {
        return;
    }
    let messages = {
        let peers = node.peers.borrow();
        let names: Vec<&str> = peers.book.listed_descriptors().map(|it| it.name.as_str()).collect();
        node.poison.borrow_mut().tick(&names, peers.reachable_part(), now)
    };
    for (name, message) in messages {
        let address = node.peers.borrow().book.descriptor(&name).map(|it| it.address);
        // A VM that was forgotten meanwhile hears of it from the store when it is back.
        let Some(address) = address else { continue };
        send(node, socket, address, Content::Poison(message));
    }
    for (digest, exits) in node.poison.borrow_mut().take_unwritten() {
        node.quarantine.write(digest, exits);
    }
}

/// Tells what servers said of themselves and others don't know yet.
fn send_signals(node: &Node, socket: &UdpSocket, now: TimePoint) {
    let (wide, near) = {
        let mut outbox = node.signal_outbox.borrow_mut();
        (outbox.take_for_collectors(), outbox.take_for_members())
    };
    if wide.is_empty() && near.is_empty() {
        return;
    }
    let (role, members): (_, Vec<_>) = {
        let peers = node.peers.borrow();
        let members = peers.members.fresh_senders(now);
        let members = members.filter_map(|it| peers.member_addresses.get(it).copied()).collect();
        (peers.book.role(peers.has_members(now), now), members)
    };
    let (scope, collectors) = match role {
        Role::Member { address, .. } => (Scope::Own, vec![address]),
        Role::Collector { others } => (Scope::Members, others),
    };
    send_news(node, socket, scope, wide, &collectors);
    send_news(node, socket, Scope::Rest, near, &members);
}

fn send_news(
    node: &Node,
    socket: &UdpSocket,
    scope: Scope,
    keys: Vec<ServerKey>,
    to: &[SocketAddr],
) {
    if to.is_empty() {
        return;
    }
    let news = news_of(node, keys);
    for servers in news.chunks(NEWS_IN_DATAGRAM) {
        for address in to {
            send(node, socket, *address, Content::Signals { scope, servers: servers.to_vec() });
        }
    }
}

/// Asks a VM for parts of what it knows of the store.
pub(crate) fn ask_for_state(
    node: &Node,
    socket: &UdpSocket,
    address: SocketAddr,
    wanted: ChunkRequest,
) {
    send(node, socket, address, Content::StateWanted(wanted));
}

/// Sends a datagram and returns its length.
pub(super) fn send(
    node: &Node,
    socket: &UdpSocket,
    address: SocketAddr,
    content: Content,
) -> usize {
    let now = clock::now();
    let echo = {
        let peers = node.peers.borrow();
        let newest = peers.book.name_of(address).and_then(|it| peers.newest.get(it));
        newest.map(|it| Echo { incarnation: it.incarnation, sent: it.sent, held: now.since(it.at) })
    };
    let datagram = Datagram {
        sent: now,
        echo,
        seen: node.store_view.borrow().reached().map(|it| it.0),
        from: node.peers.borrow().book.me().clone(),
        incarnation: node.incarnation,
        wall_ms: clock::wall_ms(),
        true_ms: node.wall_clock.borrow().estimate_ms(now),
        content,
    };
    match encoding().serialize(&datagram) {
        // A datagram that can't be sent is like one that is lost.
        Ok(bytes) => {
            if let Err(error) = socket.try_send_to(&bytes, address) {
                log::debug!(peer:% = address, error:% = error; "send-failed");
            }
            bytes.len()
        }
        Err(error) => {
            log::error!(error:% = error; "datagram-not-encoded");
            0
        }
    }
}

#[cfg(test)]
mod tests;
