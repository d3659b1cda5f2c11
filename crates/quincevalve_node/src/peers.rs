//! What entry VMs tell each other: datagrams, several times a second.
//!
//! Datagrams can't go silent as connections do, cost no connection to each peer, and nothing that is lost
//! has to be sent again: each one carries running totals.

mod datagram;
mod receive;
mod send;

use std::{collections::HashMap, net::SocketAddr};

use quincevalve_forwarding::{
    digest_pace::DigestPace,
    peer_table::{PeerTable, Role, VmDescriptor},
    sums::{Demand, PartialSum, PartialSums},
};
use quincevalve_names::{ServiceName, TimePoint};

pub(crate) use self::{
    datagram::encoding,
    receive::receive_datagrams,
    send::{request_state, send_digests},
};

/// The newest datagram of a VM.
#[derive(Clone, Copy, Debug)]
struct LastDatagram {
    incarnation: u64,
    /// Its clock when it sent it.
    sent: TimePoint,
    /// Our clock when it came.
    received_at: TimePoint,
    /// The revision of the store that it had reached.
    revision: Option<u64>,
}

/// What the other entry VMs told.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(crate) table: PeerTable,
    /// The VM that holds the duties, as the store has it.
    holder: Option<String>,
    members: PartialSums,
    collectors: PartialSums,
    rest: PartialSums,
    /// Members' addresses, by sender.
    member_addresses: HashMap<String, SocketAddr>,
    /// The work that all other VMs take on, as told last.
    peer_demand: Demand,
    /// The part of the entry VMs that was heard, this one included.
    reachable_fraction: f64,
    /// The newest datagram of each VM, by name.
    last_datagrams: HashMap<String, LastDatagram>,
    /// How often members are told.
    pace: DigestPace,
    /// Whether a share was heard that wasn't taken over yet.
    has_new_sums: bool,
    /// What this VM told its collector last.
    last_own_report: Option<PartialSum>,
    /// Units a second that accounts spent here when there was news last.
    spending_at_last_change: f64,
}

impl Peers {
    pub(crate) fn new(me: VmDescriptor, link: u64) -> Self {
        Self {
            pace: DigestPace::new(link, me.cpu),
            table: PeerTable::new(me),
            holder: None,
            members: PartialSums::default(),
            collectors: PartialSums::default(),
            rest: PartialSums::default(),
            member_addresses: HashMap::new(),
            peer_demand: Demand::new(),
            reachable_fraction: 1.0,
            last_datagrams: HashMap::new(),
            has_new_sums: false,
            last_own_report: None,
            spending_at_last_change: 0.0,
        }
    }

    /// Whether anything was heard since this was asked last.
    fn take_has_new_sums(&mut self) -> bool {
        std::mem::take(&mut self.has_new_sums)
    }

    /// Whether `own`, what this VM does, differs from what its collector was told.
    fn has_own_change(&self, own: &PartialSum) -> bool {
        self.last_own_report.as_ref().is_none_or(|it| own.has_changed_since(it))
    }

    /// Notes which VM holds the duties.
    pub(crate) fn set_holder(&mut self, holder: Option<String>) {
        self.holder = holder;
    }

    pub(crate) fn holder(&self) -> Option<&str> {
        self.holder.as_deref()
    }

    pub(crate) fn has_holder(&self) -> bool {
        self.holder.is_some()
    }

    /// Whether other VMs have chosen this one as their collector.
    pub(crate) fn has_members(&self, now: TimePoint) -> bool {
        self.members.has_fresh(now)
    }

    /// The work that other VMs take on for a service, in busy servers.
    pub(crate) fn peer_demand(&self, service: &ServiceName) -> f64 {
        self.peer_demand.get(service).copied().unwrap_or_default()
    }

    /// The part of the entry VMs that was heard lately, this one included.
    pub(crate) fn reachable_fraction(&self) -> f64 {
        self.reachable_fraction
    }

    /// What all other VMs do, as far as told. A member hears all of it from its collector; a collector adds
    /// up its members and the other collectors.
    fn peer_sum(&self, now: TimePoint) -> PartialSum {
        let mut sum = PartialSum::default();
        match self.table.role(self.has_members(now), now) {
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
        let role = self.table.role(self.has_members(now), now);
        matches!(role, Role::Member { collector, .. } if collector == name)
    }
}
