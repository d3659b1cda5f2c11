//! What entry VMs tell each other: datagrams, several times a second.
//!
//! Datagrams can't go silent as connections do, cost no connection to each peer, and nothing that is lost
//! has to be sent again: each one carries running totals.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use indexmap::IndexMap;
use quincevalve_forwarding::{load::WorkSum, usage::Counts};
use quincevalve_names::{ClientAccountName, ServiceName, TimePoint, hash_text};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::sleep};

use crate::{clock, node::Node};

/// Time between two tellings with few peers: quotas and loads are then known within a quarter second.
const PERIOD: Duration = Duration::from_millis(250);
/// Added for each peer, so that a VM takes at most a hundred datagrams a second whatever their number.
const PERIOD_PER_PEER: Duration = Duration::from_millis(10);
/// A peer that is neither listed in the store nor heard for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// The largest datagram that is taken, in bytes.
const MAX_DATAGRAM: usize = 32 << 10;

/// Another entry VM.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    listed: bool,
    heard: TimePoint,
    arrivals: IndexMap<ServiceName, f64>,
}

/// The other entry VMs that are known.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerBook {
    peers: IndexMap<String, Peer>,
    /// Whether some VM holds the duties, as far as the store has told.
    has_holder: bool,
}

impl PeerBook {
    pub(crate) fn count(&self) -> usize {
        self.peers.len()
    }

    /// Takes a peer's entry in the store.
    pub(crate) fn listed(&mut self, name: &str, address: SocketAddr, now: TimePoint) {
        let peer = self.peers.entry(name.to_owned()).or_insert_with(|| {
            log::info!(peer = name, address:% = address; "peer-found");
            Peer { address, listed: true, heard: now, arrivals: IndexMap::new() }
        });
        peer.address = address;
        peer.listed = true;
    }

    /// Notes that a peer's entry was removed.
    pub(crate) fn unlisted(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.listed = false;
        }
    }

    /// Takes the whole list.
    pub(crate) fn replace_all(&mut self, listed: &[(String, SocketAddr)], now: TimePoint) {
        self.peers.values_mut().for_each(|it| it.listed = false);
        for (name, address) in listed {
            self.listed(name, *address, now);
        }
    }

    fn forget(&mut self, now: TimePoint) {
        self.peers.retain(|name, it| {
            let kept = it.listed || now.since(it.heard) < FORGET_AFTER;
            if !kept {
                log::info!(peer = name.as_str(); "peer-forgotten");
            }
            kept
        });
    }

    /// Notes whether some VM holds the duties.
    pub(crate) fn holder_seen(&mut self, seen: bool) {
        self.has_holder = seen;
    }

    pub(crate) fn has_holder(&self) -> bool {
        self.has_holder
    }

    /// Whether every peer was heard within this time.
    pub(crate) fn all_heard_within(&self, time: Duration, now: TimePoint) -> bool {
        self.peers.values().all(|it| now.since(it.heard) < time)
    }

    /// What peers took on in all, by service.
    pub(crate) fn arrivals(&self, service: &ServiceName) -> f64 {
        self.peers.values().filter_map(|it| it.arrivals.get(service)).sum()
    }
}

/// One telling.
#[derive(Debug, Serialize, Deserialize)]
struct Telling {
    name: String,
    incarnation: u64,
    wall_ms: i64,
    /// Work at servers, by the hash of their names.
    work: Vec<(u64, WorkSum)>,
    spent: IndexMap<ClientAccountName, f64>,
    usage: Counts,
    arrivals: IndexMap<ServiceName, f64>,
}

fn telling(node: &Node) -> Telling {
    let work = node.own_work().into_iter().map(|(name, it)| (hash_text(name.as_str()), it));
    let quota = node.quota.borrow();
    Telling {
        name: node.settings.name.as_str().to_owned(),
        incarnation: node.incarnation,
        wall_ms: clock::wall_ms(),
        work: work.collect(),
        spent: quota.spent().map(|(account, it)| (account.clone(), it)).collect(),
        usage: node.usage.borrow().own().clone(),
        arrivals: node.arrivals.borrow().iter().map(|(name, it)| (name.clone(), *it)).collect(),
    }
}

/// Tells all peers, for as long as the process lives.
pub(crate) async fn tell_peers(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        let now = clock::now();
        node.wall.borrow_mut().heard(String::new(), clock::wall_ms(), now);
        node.peers.borrow_mut().forget(now);
        node.backends.sweep();
        let addresses: Vec<_> = node.peers.borrow().peers.values().map(|it| it.address).collect();
        match bincode::serialize(&telling(&node)) {
            Ok(bytes) => {
                for address in &addresses {
                    // A datagram that can't be sent is like one that is lost.
                    if let Err(error) = socket.try_send_to(&bytes, *address) {
                        log::debug!(peer:% = address, error:% = error; "tell-failed");
                    }
                }
            }
            Err(error) => log::error!(error:% = error; "telling-not-encoded"),
        }
        sleep(PERIOD + PERIOD_PER_PEER * addresses.len() as u32).await;
    }
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
        match bincode::deserialize::<Telling>(&buf[..length]) {
            Ok(telling) => hear(&node, &telling, from),
            Err(error) => log::warn!(from:% = from, error:% = error; "telling-unreadable"),
        }
    }
}

fn hear(node: &Node, telling: &Telling, from: SocketAddr) {
    let now = clock::now();
    {
        let mut peers = node.peers.borrow_mut();
        if !peers.peers.contains_key(&telling.name) {
            peers.listed(&telling.name, from, now);
        }
        if let Some(peer) = peers.peers.get_mut(&telling.name) {
            peer.heard = now;
            peer.arrivals.clone_from(&telling.arrivals);
        }
    }
    node.wall.borrow_mut().heard(telling.name.clone(), telling.wall_ms, now);
    node.usage.borrow_mut().heard(&telling.name, telling.incarnation, &telling.usage);
    if let Some(config) = node.config() {
        let mut quota = node.quota.borrow_mut();
        quota.heard(&telling.name, telling.incarnation, &telling.spent, &config, now);
    }
    hear_work(node, telling, now);
}

fn hear_work(node: &Node, telling: &Telling, now: TimePoint) {
    for (name, server) in node.servers.borrow_mut().all_mut() {
        let hash = hash_text(name.as_str());
        let told = telling.work.iter().find(|it| it.0 == hash);
        let work = told.map_or(WorkSum::default(), |it| it.1);
        server.load.heard(&telling.name, work, now);
    }
}
