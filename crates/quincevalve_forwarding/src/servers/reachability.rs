//! Which servers this VM can connect to.

use std::{net::SocketAddr, time::Duration};

use indexmap::{IndexMap, IndexSet};
use quincevalve_names::{BackendServerName, DataCentreName, ServiceName, TimePoint};
use rand::{Rng, seq::SliceRandom};

use super::{Server, ServerStart, ServerTable};
use crate::signal_outbox::ServerKey;

/// Number of different unreachable servers of a data centre from which on the whole data centre counts as unreachable.
const MIN_UNREACHABLE_SERVERS: usize = 2;
/// Window in which these servers have to be found unreachable.
const UNREACHABLE_WINDOW: Duration = Duration::from_millis(1_500);
/// How long an unreachable data centre gets no requests before it is tried again.
const CENTRE_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);
/// Maximum number of servers of one data centre to probe at once.
const MAX_PROBES_PER_CENTRE: usize = 2;
/// Maximum number of servers to probe at once.
const MAX_PROBES: usize = 8;

/// Servers to which the last attempt of this VM to connect failed.
///
/// An answer on an open connection doesn't make a server reachable: open connections may work while new ones are
/// refused.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreachableServers {
    servers: IndexMap<BackendServerName, ServerStart>,
    /// Servers to which connections failed recently, by data centre.
    recent: IndexMap<DataCentreName, Vec<(TimePoint, BackendServerName)>>,
    /// When a connection to a server was last established, by data centre.
    connected_at: IndexMap<DataCentreName, TimePoint>,
    /// Servers to which connections failed since one was last established to any server.
    failed_in_a_row: IndexSet<BackendServerName>,
}

impl UnreachableServers {
    fn contains(&self, name: &BackendServerName, start: ServerStart) -> bool {
        self.servers.get(name) == Some(&start)
    }
}

/// A server to which this VM should attempt to connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The start of the server.
    pub server: ServerKey,
    /// Its address.
    pub address: SocketAddr,
}

impl ServerTable {
    /// Records that a connection to a server failed, and returns the servers that now count as unreachable: the server
    /// alone, or all servers of its data centre.
    ///
    /// After two different servers, the whole data centre is paused. Otherwise, when a data centre is cut off, one
    /// caller per server would wait for a connection in vain.
    pub fn mark_unreachable(
        &mut self,
        name: &BackendServerName,
        start: ServerStart,
        now: TimePoint,
    ) -> Vec<ServerKey> {
        let Some(server) = self.get_mut(name, start) else { return Vec::new() };
        server.load.record_unreachable(now);
        let centre = server.entry.data_centre.clone();
        self.unreachable.servers.insert(name.clone(), start);
        self.unreachable.failed_in_a_row.insert(name.clone());
        let recent = self.unreachable.recent.entry(centre.clone()).or_default();
        recent.retain(|(at, it)| now.since(*at) <= UNREACHABLE_WINDOW && it != name);
        recent.push((now, name.clone()));
        if recent.len() < MIN_UNREACHABLE_SERVERS {
            return vec![(name.clone(), start)];
        }
        // If another server of the data centre accepted a connection since, only some of them are unreachable.
        let first_failure = recent.first().map_or(now, |(at, _)| *at);
        let connected_at = self.unreachable.connected_at.get(&centre);
        let is_centre_unreachable = connected_at.is_none_or(|it| *it < first_failure);
        let mut affected = Vec::new();
        for (name, server) in &mut self.servers {
            if server.entry.data_centre == centre {
                server.load.pause(CENTRE_RETRY_INTERVAL, now);
                if is_centre_unreachable {
                    self.unreachable.servers.insert(name.clone(), server.entry.start);
                }
                affected.push((name.clone(), server.entry.start));
            }
        }
        affected
    }

    /// Records that a connection to a server was established.
    ///
    /// If no server of a service was reachable before, all servers are tried again: the cause was on this VM's side.
    pub fn record_connected(
        &mut self,
        name: &BackendServerName,
        start: ServerStart,
        now: TimePoint,
    ) {
        self.unreachable.failed_in_a_row.clear();
        if let Some(server) = self.servers.get(name) {
            self.unreachable.connected_at.insert(server.entry.data_centre.clone(), now);
        }
        if !self.unreachable.contains(name, start) {
            return;
        }
        let service = self.get(name).map(|it| it.entry.service.clone());
        if !service.is_some_and(|it| self.is_cut_off_from(&it, now)) {
            self.unreachable.servers.swap_remove(name);
            return;
        }
        for name in std::mem::take(&mut self.unreachable.servers).into_keys() {
            if let Some(server) = self.servers.get_mut(&name) {
                server.load.resume(now);
            }
        }
        self.unreachable.recent.clear();
    }

    /// Returns whether this VM can connect to none of a service's servers. `false` if there are none.
    pub fn is_cut_off_from(&self, service: &ServiceName, now: TimePoint) -> bool {
        if self.unreachable.servers.is_empty() {
            return false;
        }
        let mut usable = self.usable(service, now).peekable();
        usable.peek().is_some()
            && usable.all(|(name, it)| self.unreachable.contains(name, it.entry.start))
    }

    /// Returns the services to none of whose servers this VM can connect.
    pub fn cut_off_services(&self, now: TimePoint) -> IndexSet<ServiceName> {
        let names = self.unreachable.servers.keys();
        let services = names.filter_map(|it| self.get(it)).map(|it| &it.entry.service);
        let services: IndexSet<_> = services.cloned().collect();
        services.into_iter().filter(|it| self.is_cut_off_from(it, now)).collect()
    }

    /// Returns the number of servers to which this VM can't connect.
    pub fn unreachable_count(&self) -> usize {
        let servers = &self.unreachable.servers;
        servers
            .iter()
            .filter(|(name, it)| self.get(name).is_some_and(|at| at.entry.start == **it))
            .count()
    }

    /// Returns the servers to which this VM should attempt to connect, without waiting for requests to find out.
    ///
    /// After connections to two different servers failed in a row, a few servers of each data centre show whether the
    /// failure is on this VM's side. While a service is cut off, a few of its servers show when that ends.
    pub fn servers_to_probe<R>(&self, rng: &mut R, now: TimePoint) -> Vec<ProbeTarget>
    where
        R: Rng,
    {
        let cut_off = self.cut_off_services(now);
        let suspects = self.unreachable.failed_in_a_row.len() >= MIN_UNREACHABLE_SERVERS;
        if cut_off.is_empty() && !suspects {
            return Vec::new();
        }
        let is_due = |(name, it): &(&BackendServerName, &Server)| {
            let is_unreachable = self.unreachable.contains(name, it.entry.start);
            self.is_usable(it, now)
                && if is_unreachable { cut_off.contains(&it.entry.service) } else { suspects }
        };
        let mut by_centre: IndexMap<&DataCentreName, Vec<ProbeTarget>> = IndexMap::new();
        for (name, server) in self.servers.iter().filter(is_due) {
            let target = ProbeTarget {
                server: (name.clone(), server.entry.start),
                address: server.entry.address,
            };
            by_centre.entry(&server.entry.data_centre).or_default().push(target);
        }
        let mut targets = Vec::new();
        for mut of_centre in by_centre.into_values() {
            targets.extend_from_slice(of_centre.partial_shuffle(rng, MAX_PROBES_PER_CENTRE).0);
        }
        targets.partial_shuffle(rng, MAX_PROBES).0.to_vec()
    }
}
