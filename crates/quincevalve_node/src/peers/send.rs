//! Sends datagrams to other VMs, several times a second.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bincode::Options;
use indexmap::IndexMap;
use quincevalve_forwarding::{
    change_log::ChangeBatch,
    chunk_fetch::ChunkRequest,
    config::ForwardingConfig,
    peer_table::Role,
    signal_outbox::ServerKey,
    stream_versions::{
        REPLICAS,
        messages::{StreamMessage, StreamRecord},
    },
    sums::{MAX_SERVERS_TO_COLLECTOR, MAX_SERVERS_TO_MEMBER, PartialSum},
};
use quincevalve_names::TimePoint;
use tokio::{net::UdpSocket, time::sleep};

use super::{
    Peers,
    datagram::{Content, Datagram, Echo, ReportedContact, Scope, StoreReport, encoding},
};
use crate::{
    clock, node::Node, ports::StoreRevision, quarantine::log_observations, rollouts,
    signal_reports::signal_reports_of, store::view::MAX_BATCH_BYTES,
};

/// Interval between two digests, called a period. Loads and spending reach all VMs within three digests.
pub(super) const DIGEST_INTERVAL: Duration = Duration::from_millis(60);

const PERIODS_PER_SECOND: f64 = 1_000.0 / DIGEST_INTERVAL.as_millis() as f64;

/// Periods between two attempts to contact a silent preferred collector.
const COLLECTOR_PROBE_PERIODS: u32 = 32;

/// Maximum number of periods between two digests of a member whose partial sum doesn't change. Two such digests may be
/// lost before other VMs consider the member gone, and each reports when the store answered.
const MAX_UNCHANGED_PERIODS: u32 = CONTACT_PERIODS;
/// Fraction of the spending at the last change at or below which spending counts as decayed.
const DECAYED_FRACTION: f64 = 0.1;
/// Periods after which the peers' sums are applied again although no new ones were received: some may have expired.
const SUMS_REFRESH_PERIODS: u32 = 4;

/// Periods between two reports of when the store answered: an eighth of the shortest outage in which entries expire.
const CONTACT_PERIODS: u32 = 4;

/// Maximum number of servers whose signals one datagram reports. With names of 40 bytes, the datagram stays below half
/// of the largest.
const MAX_REPORTS_PER_DATAGRAM: usize = 400;

/// Maximum number of records of streams in one datagram, which is then a quarter of the largest.
const MAX_RECORDS_PER_DATAGRAM: usize = 600;

/// Key of the ranking of VMs by which the limits that servers state are divided.
const LIMIT_RANK_KEY: u64 = 0;

/// Periods between two reports of usage, which is needed at a resolution of 1 s.
const USAGE_PERIODS: u32 = 12;

/// Sends digests, signals, usage and messages about poison requests to peers for as long as the process runs.
pub(crate) async fn send_digests(node: Rc<Node>, socket: Rc<UdpSocket>) {
    for period in 0_u32.. {
        let now = clock::now();
        node.wall_clock.borrow_mut().record(String::new(), clock::wall_ms(), now);
        for expired in node.peers.borrow_mut().table.remove_expired(now) {
            log::info!(peer = expired; "peer-forgotten");
            node.wall_clock.borrow_mut().forget(&expired);
        }
        node.connections.remove_expired();
        node.peer_connections.remove_expired();
        if node.peers.borrow_mut().take_has_new_sums()
            || period.is_multiple_of(SUMS_REFRESH_PERIODS)
        {
            apply_peer_sums(&node, now);
        }
        send_load_digests(&node, &socket, period, now);
        send_poison_messages(&node, &socket, now);
        replicate_due_records(&node, now);
        send_signals(&node, &socket, now);
        if period % COLLECTOR_PROBE_PERIODS == 0 {
            probe_preferred_collector(&node, &socket, now);
        }
        if period % USAGE_PERIODS == 0 {
            node.observe_versions(now);
            send_usage(&node, &socket);
            log_suppressed_lines(&node);
        }
        sleep(DIGEST_INTERVAL).await;
    }
}

/// Logs how many log lines were suppressed since the last call.
fn log_suppressed_lines(node: &Node) {
    let lines = node.log_budget.borrow_mut().take_suppressed();
    if lines > 0 {
        log::info!(lines; "lines-left-out");
        node.metrics.count_suppressed_lines(lines);
    }
}

/// Applies the sums that peers reported: to quotas, limits, measured demand, roll-outs and the load that placements
/// use.
fn apply_peer_sums(node: &Node, now: TimePoint) {
    let peer_sum = node.peers.borrow().peer_sum(now);
    let reachable = f64::from(peer_sum.vms) + 1.0;
    let reachable_fraction = (reachable / node.vm_count() as f64).min(1.0);
    {
        let mut peers = node.peers.borrow_mut();
        peers.peer_demand.clone_from(&peer_sum.demand);
        peers.reachable_fraction = reachable_fraction;
    }
    if let Some(config) = node.config() {
        let mut quota = node.quota.borrow_mut();
        quota.set_peer_spending(&peer_sum.spending, reachable_fraction, &config, now);
    }
    update_rank(node, now);
    measure_demand(node, now);
    if !node.rollouts.borrow().is_idle() {
        node.rollouts.borrow_mut().set_peer_sums(&peer_sum.rollouts);
        rollouts::refresh(node);
    }
    node.servers.borrow_mut().set_peer_work(&peer_sum.server_work, now);
    node.waiting.wake();
}

/// Divides limits and the room of brittle servers among the VMs that are known now.
pub(crate) fn update_rank(node: &Node, now: TimePoint) {
    let rank = node.peers.borrow().table.rank(LIMIT_RANK_KEY);
    let estimated_ms = node.wall_clock.borrow().estimate_ms(now).unwrap_or_else(clock::wall_ms);
    node.servers.borrow_mut().set_rank(rank, estimated_ms, now);
}

/// Measures the demand at all VMs. Every VM does so, so that the next holder of the duties can plan at once.
fn measure_demand(node: &Node, now: TimePoint) {
    let Some(config) = node.config() else { return };
    let fraction = node.peers.borrow().reachable_fraction();
    let mut measured = node.measured_demand.borrow_mut();
    for (name, _) in config.services.iter().filter(|(_, it)| it.scaling.is_some()) {
        measured.entry(name.clone()).or_default().observe(node.total_demand(name), fraction, now);
    }
}

/// Returns this VM's own partial sum.
fn own_partial_sum(node: &Node) -> PartialSum {
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

/// The address of a VM, with the scope and the sum of its digest.
type Outgoing = (SocketAddr, Scope, PartialSum);

/// Sends this period's digests to the collector, or to members and other collectors.
fn send_load_digests(node: &Node, socket: &UdpSocket, period: u32, now: TimePoint) {
    let own = own_partial_sum(node);
    let config = node.config();
    let mut peers = node.peers.borrow_mut();
    let members = peers.members.fresh_senders(now).count();
    // Members that don't get a digest in each period get the store contact with each digest: the periods in which they
    // are due may never be multiples of `CONTACT_PERIODS`.
    let is_staggered = peers.pace.periods_between_digests(members, PERIODS_PER_SECOND) > 1;
    let sent = match peers.table.role(members > 0, now) {
        Role::Member { address, .. } => {
            own_digest(&mut peers, own, address, period).into_iter().collect()
        }
        Role::Collector { others } => {
            collector_digests(&peers, own, &others, config.as_deref(), period, now)
        }
    };
    drop(peers);
    let contact = contact_to_report(node, now);
    let relays_store = node.relays_store();
    for (address, scope, sum) in sent {
        let with_contact =
            period.is_multiple_of(CONTACT_PERIODS) || (is_staggered && scope == Scope::Rest);
        let store_contact = contact.filter(|_| with_contact);
        let reports_store = relays_store && scope != Scope::Own;
        let store_report = if reports_store { store_report_for(node, address, now) } else { None };
        let sum = Box::new(sum);
        let bytes = send(
            node,
            socket,
            address,
            Content::Digest { scope, sum, store_report, store_contact },
        );
        let mut peers = node.peers.borrow_mut();
        if scope == Scope::Rest {
            peers.pace.record_sent_bytes(bytes);
        }
        peers.table.record_datagram_sent(address, now);
    }
}

/// Returns the digest of a member to its collector in this period. While nothing changes, there is one only every
/// `MAX_UNCHANGED_PERIODS` periods.
///
/// The spending of an account is a decaying rate. If a member stopped reporting it while it is high, the other VMs
/// would keep counting the high value.
fn own_digest(
    peers: &mut Peers,
    own: PartialSum,
    address: SocketAddr,
    period: u32,
) -> Option<Outgoing> {
    let spent: f64 = own.spending.values().sum();
    let has_changed = peers.has_own_change(&own);
    if has_changed {
        peers.spending_at_last_change = spent;
    }
    let has_decayed = spent <= DECAYED_FRACTION * peers.spending_at_last_change;
    if !has_changed && has_decayed && !period.is_multiple_of(MAX_UNCHANGED_PERIODS) {
        return None;
    }
    peers.last_own_report = Some(own.clone());
    Some((address, Scope::Own, own))
}

/// Returns the digests of a collector to its members and the other collectors in this period.
fn collector_digests(
    peers: &Peers,
    own: PartialSum,
    others: &[SocketAddr],
    config: Option<&ForwardingConfig>,
    period: u32,
    now: TimePoint,
) -> Vec<Outgoing> {
    let mut sum = own;
    peers.members.add_to(&mut sum, None, now);
    let mut all = sum.clone();
    peers.collectors.add_to(&mut all, None, now);
    sum.keep_busiest_servers(MAX_SERVERS_TO_COLLECTOR);
    all.keep_busiest_servers(MAX_SERVERS_TO_MEMBER);
    if let Some(config) = config {
        all.drop_low_spending(config);
    }
    let members: Vec<_> = peers.members.fresh_senders(now).collect();
    let is_due = |at| peers.pace.is_due(at, period, members.len(), PERIODS_PER_SECOND);
    let due = members.iter().enumerate().filter(|(at, _)| is_due(*at));
    let to_members = due.filter_map(|(_, member)| {
        let address = peers.member_addresses.get(*member)?;
        let reported = peers.members.get(member, now)?;
        Some((*address, Scope::Rest, all.without(reported)))
    });
    let to_collectors = others.iter().map(|it| (*it, Scope::Members, sum.clone()));
    to_members.chain(to_collectors).collect()
}

/// Sends an empty digest to the preferred collector of the data centre if it was silent. The digest is empty because
/// this VM's partial sum is already counted by its current collector.
fn probe_preferred_collector(node: &Node, socket: &UdpSocket, now: TimePoint) {
    let better = node.peers.borrow().table.preferred_collector(now);
    let Some(address) = better else { return };
    let sum = Box::<PartialSum>::default();
    let content =
        Content::Digest { scope: Scope::Own, sum, store_report: None, store_contact: None };
    send(node, socket, address, content);
}

/// Returns the newest span in which the store answered, for a digest.
fn contact_to_report(node: &Node, now: TimePoint) -> Option<ReportedContact> {
    let contact = node.store_contact.get().newest_span()?;
    let age = now.since(contact.newest);
    let uninterrupted = contact.newest.since(contact.since);
    let reported_window = node.usage.borrow().reported_upto();
    Some(ReportedContact { age, uninterrupted, reported_window })
}

/// Returns the changes of the store that the VM at `to` lacks; `None` without a freshness confirmation of this VM or a
/// known revision of the other, and if this VM's log doesn't reach back to that revision.
fn store_report_for(node: &Node, to: SocketAddr, now: TimePoint) -> Option<StoreReport> {
    let age = node.freshness.get().age(now)?;
    let version = node.config()?.version.max(node.reported_config_version.get());
    let revision = {
        let peers = node.peers.borrow();
        let name = peers.table.name_of(to)?;
        peers.last_datagrams.get(name)?.revision?
    };
    let batch = node.store_view.borrow().changes_since(StoreRevision(revision), MAX_BATCH_BYTES)?;
    let ChangeBatch { after, upto, changes } = batch;
    Some(StoreReport { age, version, after, upto, changes })
}

/// Sends this VM's usage to the holder of the duties, in a small system to all VMs, so that a successor has it at once.
fn send_usage(node: &Node, socket: &UdpSocket) {
    let addresses = {
        let peers = node.peers.borrow();
        let holder = peers.holder.as_deref().filter(|it| *it != peers.table.me().name);
        match peers.table.role(true, clock::now()) {
            Role::Collector { others } if peers.table.is_small() => others,
            _ => holder
                .and_then(|it| peers.table.descriptor(it))
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

/// Sends the messages that are due about requests under which servers exit, and writes new quarantine entries.
fn send_poison_messages(node: &Node, socket: &UdpSocket, now: TimePoint) {
    log_observations(node);
    if !node.poison.borrow().is_due(now) {
        return;
    }
    let messages = {
        let peers = node.peers.borrow();
        let names: Vec<&str> =
            peers.table.listed_descriptors().map(|it| it.name.as_str()).collect();
        node.poison.borrow_mut().tick(&names, peers.reachable_fraction(), now)
    };
    for (name, message) in messages {
        let address = node.peers.borrow().table.descriptor(&name).map(|it| it.address);
        // A VM that was removed from the table meanwhile learns of the quarantine from the store when it returns.
        let Some(address) = address else { continue };
        send(node, socket, address, Content::Poison(message));
    }
    let withdrawn = node.poison.borrow_mut().take_withdrawn();
    for part in withdrawn {
        node.quarantine.withdraw(part);
    }
    let unwritten = node.poison.borrow_mut().take_unwritten();
    for verdict in unwritten {
        node.quarantine.write(verdict);
    }
}

/// Sends the signals of servers that are due to be reported to other VMs.
fn send_signals(node: &Node, socket: &UdpSocket, now: TimePoint) {
    let (for_collectors, for_members) = {
        let mut outbox = node.signal_outbox.borrow_mut();
        (outbox.take_for_collectors(), outbox.take_for_members())
    };
    if for_collectors.is_empty() && for_members.is_empty() {
        return;
    }
    let (role, members): (_, Vec<_>) = {
        let peers = node.peers.borrow();
        let members = peers.members.fresh_senders(now);
        let members = members.filter_map(|it| peers.member_addresses.get(it).copied()).collect();
        (peers.table.role(peers.has_members(now), now), members)
    };
    let (scope, collectors) = match role {
        Role::Member { address, .. } => (Scope::Own, vec![address]),
        Role::Collector { others } => (Scope::Members, others),
    };
    send_signal_reports(node, socket, scope, for_collectors, &collectors);
    send_signal_reports(node, socket, Scope::Rest, for_members, &members);
}

/// Sends the current signals of these servers to the given addresses.
fn send_signal_reports(
    node: &Node,
    socket: &UdpSocket,
    scope: Scope,
    keys: Vec<ServerKey>,
    to: &[SocketAddr],
) {
    if to.is_empty() {
        return;
    }
    let reports = signal_reports_of(node, keys);
    for servers in reports.chunks(MAX_REPORTS_PER_DATAGRAM) {
        for address in to {
            send(node, socket, *address, Content::Signals { scope, servers: servers.to_vec() });
        }
    }
}

/// Tells other VMs of this VM's streams whose versions they may need to know.
fn replicate_due_records(node: &Node, now: TimePoint) {
    let records = node.streams.versions.borrow_mut().take_due_records(now);
    replicate_records(node, &records);
}

/// Tells the VMs that keep the records of these streams.
pub(crate) fn replicate_records(node: &Node, records: &[StreamRecord]) {
    let Some(socket) = node.streams.socket().filter(|_| !records.is_empty()) else { return };
    let mut by_keeper: IndexMap<SocketAddr, Vec<StreamRecord>> = IndexMap::new();
    for record in records {
        let peers = node.peers.borrow();
        for replica in peers.table.replica_holders(record.key.0, REPLICAS) {
            by_keeper.entry(replica.address).or_default().push(*record);
        }
    }
    for (address, records) in by_keeper {
        for records in records.chunks(MAX_RECORDS_PER_DATAGRAM) {
            let message = StreamMessage::Began(records.to_vec());
            send(node, socket, address, Content::Streams(message));
        }
    }
}

/// Sends a message about streams to the VM of this name.
pub(crate) fn send_stream_message(node: &Node, vm: &str, message: StreamMessage) {
    let address = node.peers.borrow().table.descriptor(vm).map(|it| it.address);
    // To a VM that was removed meanwhile, a message is treated like a lost one.
    if let (Some(address), Some(socket)) = (address, node.streams.socket()) {
        send(node, socket, address, Content::Streams(message));
    }
}

/// Requests chunks of a VM's copy of the store's state.
pub(crate) fn request_state(
    node: &Node,
    socket: &UdpSocket,
    address: SocketAddr,
    request: ChunkRequest,
) {
    send(node, socket, address, Content::StateRequest(request));
}

/// Sends a datagram and returns its length in bytes; 0 if it can't be encoded.
pub(super) fn send(
    node: &Node,
    socket: &UdpSocket,
    address: SocketAddr,
    content: Content,
) -> usize {
    let now = clock::now();
    let echo = {
        let peers = node.peers.borrow();
        let last = peers.table.name_of(address).and_then(|it| peers.last_datagrams.get(it));
        last.map(|it| Echo {
            incarnation: it.incarnation,
            sent: it.sent,
            delay: now.since(it.received_at),
        })
    };
    let datagram = Datagram {
        sent: now,
        echo,
        revision: node.store_view.borrow().reached().map(|it| it.0),
        from: node.peers.borrow().table.me().clone(),
        incarnation: node.incarnation,
        wall_ms: clock::wall_ms(),
        estimated_ms: node.wall_clock.borrow().estimate_ms(now),
        content,
    };
    match encoding().serialize(&datagram) {
        // A datagram that can't be sent is treated like a lost one.
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
