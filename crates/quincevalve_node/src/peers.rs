//! Communication between entry VMs: datagrams, several times a second.
//!
//! Datagrams need no connection to each peer and can't stall as connections do. A lost datagram isn't sent again, since
//! each one carries running totals.

mod datagram;
pub(crate) mod quota;
pub(crate) mod receive;
mod send;

use std::{collections::HashMap, net::SocketAddr};

use quincevalve_forwarding::{
    digest_pace::DigestPace,
    peer_table::{PeerTable, Role, VmDescriptor},
    sums::{Demand, PartialSum, PartialSums},
};
use quincevalve_names::{ServiceName, TimePoint};

#[cfg(test)]
pub(crate) use self::datagram::Datagram;
pub(crate) use self::{
    datagram::encoding,
    receive::receive_datagrams,
    send::{replicate_records, request_state, send_digests, send_stream_message, update_rank},
};

/// Header data of the newest datagram from a VM.
#[derive(Clone, Copy, Debug)]
struct LastDatagram {
    incarnation: u64,
    /// The VM's clock when it sent the datagram.
    sent: TimePoint,
    /// This VM's clock when it received the datagram.
    received_at: TimePoint,
    /// The store revision that the VM had reached.
    revision: Option<u64>,
    /// The earliest time, by this VM's clock, at which the VM can have sent the datagram.
    earliest_sent: Option<TimePoint>,
}

/// State received from the other entry VMs.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(crate) table: PeerTable,
    /// The name of the VM that holds the duties, according to the store.
    holder: Option<String>,
    /// Partial sums of this collector's members.
    members: PartialSums,
    /// Partial sums of the other collectors.
    collectors: PartialSums,
    /// The sum over all other VMs, from this member's collector.
    rest: PartialSums,
    /// Addresses of members, by sender.
    member_addresses: HashMap<String, SocketAddr>,
    /// Demand by service that all other VMs reported, in busy servers.
    peer_demand: Demand,
    /// Fraction of the entry VMs that reported lately, this one included.
    reachable_fraction: f64,
    /// The newest datagram of each VM, by name.
    last_datagrams: HashMap<String, LastDatagram>,
    /// Controls how often members get digests.
    pace: DigestPace,
    /// Whether a partial sum was received since the sums were applied.
    has_new_sums: bool,
    /// The partial sum that this VM sent to its collector last.
    last_own_report: Option<PartialSum>,
    /// Spending of all accounts at this VM when its partial sum changed last, in units per second.
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

    /// Returns whether a partial sum was received since the last call.
    fn take_has_new_sums(&mut self) -> bool {
        std::mem::take(&mut self.has_new_sums)
    }

    /// Returns whether this VM's partial sum differs from the one that its collector has.
    fn has_own_change(&self, own: &PartialSum) -> bool {
        self.last_own_report.as_ref().is_none_or(|it| own.has_changed_since(it))
    }

    /// Sets the VM that holds the duties.
    pub(crate) fn set_holder(&mut self, holder: Option<String>) {
        self.holder = holder;
    }

    pub(crate) fn holder(&self) -> Option<&str> {
        self.holder.as_deref()
    }

    pub(crate) fn has_holder(&self) -> bool {
        self.holder.is_some()
    }

    /// Returns whether other VMs have chosen this one as their collector.
    pub(crate) fn has_members(&self, now: TimePoint) -> bool {
        self.members.has_fresh(now)
    }

    /// Returns the demand for a service that the other VMs reported, in busy servers.
    pub(crate) fn peer_demand(&self, service: &ServiceName) -> f64 {
        self.peer_demand.get(service).copied().unwrap_or_default()
    }

    /// Returns the fraction of the entry VMs that reported lately, this one included.
    pub(crate) fn reachable_fraction(&self) -> f64 {
        self.reachable_fraction
    }

    /// Returns a time at which no other listed VM had reached a later revision of the store than `reached`; `None` if one
    /// has, or the revision of one is unknown.
    ///
    /// While the store answers nobody, no VM confirms its view, but none can learn of a change either.
    pub(crate) fn none_ahead_at(&self, reached: u64) -> Option<TimePoint> {
        let me = &self.table.me().name;
        let others = self.table.listed_descriptors().filter(|it| it.name != *me);
        let earliest_sent = others.map(|it| {
            let last = self.last_datagrams.get(&it.name)?;
            last.earliest_sent.filter(|_| last.revision.is_some_and(|it| it <= reached))
        });
        earliest_sent.collect::<Option<Vec<_>>>()?.into_iter().min()
    }

    /// Returns the sum over all other VMs that reported. A member receives it from its collector; a collector adds up
    /// its members and the other collectors.
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

    /// Returns whether a VM is the collector that this one has chosen.
    fn is_collector(&self, name: &str, now: TimePoint) -> bool {
        let role = self.table.role(self.has_members(now), now);
        matches!(role, Role::Member { collector, .. } if collector == name)
    }
}
