//! Forwarding of requests to peers that may send them to servers, when this VM may not or can't reach any.

use std::{cell::Cell, rc::Rc, time::Duration};

use indexmap::IndexMap;
use quincevalve_names::{DataCentreName, ServiceName, TimePoint};
use rand::{Rng, RngExt};

use crate::peer_table::VmDescriptor;

/// How long a peer or a data centre that can't help is left out.
const EXCLUSION_TIME: Duration = Duration::from_secs(2);
/// How long a peer that has taken its maximum of other VMs' requests, or used up its share of limits, is left out.
const FULL_EXCLUSION_TIME: Duration = Duration::from_millis(200);
/// Number of peers of a data centre in a row that reach no server of a service either, from which on the data centre is
/// left out.
const MAX_FAILED_PEERS_OF_CENTRE: u32 = 3;
/// Number of peers in a row that reach no server of a service either, from which on its servers count as down.
const MAX_FAILED_PEERS: u32 = 8;
/// How long nothing is forwarded to a service whose servers count as down.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Requests of other VMs that a VM processes at once, per core of its CPU quota.
const MAX_TAKEN_PER_CORE: usize = 500;
/// Minimum of that number.
const MIN_TAKEN: usize = 8;

/// Why a peer didn't take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFailure {
    /// It reaches no server of the service either.
    CutOff,
    /// It has taken its maximum of other VMs' requests, or used up its share of the servers' limits.
    Full,
    /// It doesn't answer, stops, or has an older configuration.
    Unavailable,
}

/// Peers that don't take a service's requests, and whether any does.
#[derive(Clone, Debug, Default)]
struct ServicePeers {
    /// Peers that are left out, by name, and until when.
    excluded: IndexMap<String, TimePoint>,
    /// Peers in a row that reach no server either, by data centre.
    failed_in_centre: IndexMap<DataCentreName, u32>,
    /// Data centres that are left out, and until when.
    excluded_centres: IndexMap<DataCentreName, TimePoint>,
    /// Peers in a row that reach no server either.
    failed_in_a_row: u32,
    /// Until when the service's servers count as down.
    down_until: TimePoint,
}

/// Picks the peers that get requests of this VM.
///
/// A VM forwards a request only if it can't reach the request's servers itself or has used up its share of their limits, and
/// a request that a peer took isn't
/// forwarded again. So there are no loops, and one failure of all servers costs few messages: peers that reach no
/// server either say so at once and are left out for some time.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::{
///     peer_forwarding::{PeerFailure, PeerForwarding},
///     peer_table::VmDescriptor,
/// };
/// use quincevalve_names::TimePoint;
/// use rand::SeedableRng;
/// let peer = |at: u8, centre: &str| VmDescriptor {
///     name: format!("vm-{at}"),
///     address: ([10, 0, 0, at], 7600).into(),
///     data_centre: centre.into(),
///     cpu: 250,
/// };
/// let peers = [peer(1, "north"), peer(2, "south")];
/// let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
/// let (service, now) = ("engines".into(), TimePoint::from_millis(1));
/// let mut forwarding = PeerForwarding::default();
/// let first = forwarding.pick(&service, &"north".into(), peers.iter(), &mut rng, now);
/// assert_eq!(first.map(|it| it.name.as_str()), Some("vm-1"));
/// forwarding.record_failure(&service, &peers[0], PeerFailure::CutOff, now);
/// let second = forwarding.pick(&service, &"north".into(), peers.iter(), &mut rng, now);
/// assert_eq!(second.map(|it| it.name.as_str()), Some("vm-2"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PeerForwarding {
    services: IndexMap<ServiceName, ServicePeers>,
    /// Requests of this VM at peers, by peer.
    forwarded: IndexMap<String, u32>,
}

impl PeerForwarding {
    /// Picks a peer for a request of a service, or none if no peer can help.
    ///
    /// Peers of this VM's own data centre come first while at least half of them can help. Otherwise the few that can
    /// would get the work of all others, and any peer is picked; those of data centres that are left out come last. Of
    /// two random peers, the one with less of this VM's work in relation to its CPU quota is picked.
    pub fn pick<'a, R>(
        &mut self,
        service: &ServiceName,
        own_centre: &DataCentreName,
        peers: impl Iterator<Item = &'a VmDescriptor>,
        rng: &mut R,
        now: TimePoint,
    ) -> Option<&'a VmDescriptor>
    where
        R: Rng,
    {
        let state = self.services.entry(service.clone()).or_default();
        if now < state.down_until {
            return None;
        }
        state.excluded.retain(|_, until| now < *until);
        state.excluded_centres.retain(|_, until| now < *until);
        let mut own_count = 0;
        let (mut own, mut others, mut last) = (Vec::new(), Vec::new(), Vec::new());
        for peer in peers {
            let is_own = peer.data_centre == *own_centre;
            own_count += usize::from(is_own);
            if state.excluded.contains_key(&peer.name) {
                continue;
            }
            if state.excluded_centres.contains_key(&peer.data_centre) {
                last.push(peer);
                continue;
            }
            others.push(peer);
            if is_own {
                own.push(peer);
            }
        }
        let candidates = if !own.is_empty() && own.len() * 2 >= own_count {
            own
        } else if others.is_empty() {
            last
        } else {
            others
        };
        if candidates.is_empty() {
            return None;
        }
        let mut draw = || candidates.get(rng.random_range(0..candidates.len())).copied();
        let (first, second) = (draw()?, draw()?);
        Some(if self.load(first) <= self.load(second) { first } else { second })
    }

    /// Returns this VM's requests at a peer per core of its CPU quota.
    fn load(&self, peer: &VmDescriptor) -> f64 {
        let requests = self.forwarded.get(&peer.name).copied().unwrap_or_default();
        f64::from(requests) / f64::from(peer.cpu.max(1))
    }

    /// Records that a request is sent to a peer.
    pub fn record_sent(&mut self, peer: &str) {
        *self.forwarded.entry(peer.to_owned()).or_default() += 1;
    }

    /// Records that a request sent to a peer ended.
    pub fn record_ended(&mut self, peer: &str) {
        if let Some(requests) = self.forwarded.get_mut(peer) {
            *requests = requests.saturating_sub(1);
            if *requests == 0 {
                self.forwarded.swap_remove(peer);
            }
        }
    }

    /// Records that a peer took a request of a service.
    pub fn record_taken(&mut self, service: &ServiceName, peer: &VmDescriptor) {
        if let Some(state) = self.services.get_mut(service) {
            state.failed_in_a_row = 0;
            state.failed_in_centre.swap_remove(&peer.data_centre);
        }
    }

    /// Records that a peer didn't take a request of a service.
    pub fn record_failure(
        &mut self,
        service: &ServiceName,
        peer: &VmDescriptor,
        failure: PeerFailure,
        now: TimePoint,
    ) {
        let state = self.services.entry(service.clone()).or_default();
        let time = match failure {
            PeerFailure::CutOff | PeerFailure::Unavailable => EXCLUSION_TIME,
            PeerFailure::Full => FULL_EXCLUSION_TIME,
        };
        state.excluded.insert(peer.name.clone(), now + time);
        if failure == PeerFailure::CutOff {
            let failed = state.failed_in_centre.entry(peer.data_centre.clone()).or_default();
            *failed += 1;
            if *failed >= MAX_FAILED_PEERS_OF_CENTRE {
                *failed = 0;
                state.excluded_centres.insert(peer.data_centre.clone(), now + time);
            }
            state.failed_in_a_row += 1;
            if state.failed_in_a_row >= MAX_FAILED_PEERS {
                state.failed_in_a_row = 0;
                state.down_until = now + DOWN_TIME;
            }
        }
    }
}

/// Bounds the requests that a VM processes for peers.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::peer_forwarding::PeerIntake;
/// // With a 50th of a core, a VM processes ten requests of peers at once.
/// let intake = PeerIntake::new(20);
/// let mut taken: Vec<_> = (0..12).filter_map(|_| intake.try_take()).collect();
/// assert_eq!(taken.len(), 10);
/// taken.pop();
/// assert!(intake.try_take().is_some());
/// ```
#[derive(Clone, Debug)]
pub struct PeerIntake {
    limit: usize,
    taken: Rc<Cell<usize>>,
}

impl PeerIntake {
    /// Creates the intake of a VM with a CPU quota of `cpu` thousandths of a core.
    pub fn new(cpu: u32) -> Self {
        let limit = (cpu as usize * MAX_TAKEN_PER_CORE / 1_000).max(MIN_TAKEN);
        Self { limit, taken: Rc::default() }
    }

    /// Takes a request of a peer, unless the VM processes its maximum of them already.
    pub fn try_take(&self) -> Option<TakenRequest> {
        let taken = self.taken.get();
        if taken >= self.limit {
            return None;
        }
        self.taken.set(taken + 1);
        Some(TakenRequest(self.taken.clone()))
    }

    /// Returns the number of requests that the VM processes for peers.
    pub fn count(&self) -> usize {
        self.taken.get()
    }
}

/// A request that counts as processed for a peer until this is dropped.
#[derive(Debug)]
pub struct TakenRequest(Rc<Cell<usize>>);

impl Drop for TakenRequest {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
