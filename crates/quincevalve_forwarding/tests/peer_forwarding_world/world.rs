//! Simulation of many VMs with their real decision cores, some of which reach no server, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet},
    fmt,
    ops::Range,
};

use quincevalve_forwarding::{
    peer_forwarding::{PeerFailure, PeerForwarding, PeerIntake, TakenRequest},
    peer_table::VmDescriptor,
    servers::{ServerEntry, ServerStart, ServerTable},
};
use quincevalve_names::{BackendServerName, ServiceName, TimePoint};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Mean requests per second that arrive at a VM, and in a fleet of more VMs than [`MAX_BUSY_VMS`].
const REQUESTS_PER_SECOND: (f64, f64) = (6.0, 2.0);
const MAX_BUSY_VMS: usize = 64;
/// CPU quota of a VM in thousandths of a core.
const CPU: u32 = 120;
/// Milliseconds until an attempt to connect fails if it gets no response.
const CONNECT_TIMEOUT: u64 = 400;
/// Milliseconds until an attempt to connect fails if it is refused, and until a peer answers.
const ROUND_TRIP: u64 = 2;
/// Milliseconds for which a server processes a request.
const SERVICE_TIME: u64 = 200;
/// Milliseconds that a caller waits.
const CALLER_TIMEOUT: u64 = 2_500;
/// Interval in milliseconds at which VMs probe servers.
const PROBE_INTERVAL: u64 = 500;
/// Milliseconds after the beginning of the partition from which on its callers must be served.
const DETECTION_TIME: u64 = 3_000;
/// Number of servers that a VM tries for a request before it asks peers, unless it knows that it is cut off.
const MAX_SERVERS_TRIED: u32 = 3;
/// Number of peers that a request is offered to.
const MAX_PEERS: u32 = 8;
/// The start of all servers.
const START: ServerStart = ServerStart(1);
/// The partition, in milliseconds.
const PARTITION: Range<u64> = 2_000..12_000;
/// Duration of the simulation in milliseconds.
const LENGTH: u64 = 16_000;

/// Which VMs reach no server during the partition.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CutOff {
    OneVm,
    HalfOfACentre,
    OneCentre,
    HalfOfAllVms,
    AllVms,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) vms: usize,
    pub(crate) centres: usize,
    pub(crate) servers: usize,
    pub(crate) cut_off: CutOff,
    /// Whether attempts to connect get no response, instead of being refused.
    pub(crate) hangs: bool,
}

/// Result of a play. Counts cover the part of the partition in which callers must be served.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) cut_off_requests: usize,
    pub(crate) cut_off_served: usize,
    pub(crate) other_requests: usize,
    pub(crate) other_served: usize,
    /// Requests that arrived at each VM from its own callers.
    pub(crate) own: Vec<usize>,
    /// Requests that each VM took from peers.
    pub(crate) taken: Vec<usize>,
    /// Requests offered to peers.
    pub(crate) offers: usize,
    /// Requests that more than one VM sent to a server.
    pub(crate) ran_twice: usize,
    /// Requests that arrived later than a second after the partition and were forwarded.
    pub(crate) forwarded_after: usize,
    /// Maximum number of connections that one server got from VMs in the second after the partition.
    pub(crate) busiest_server_after: usize,
}

impl Outcome {
    pub(crate) fn served_cut_off(&self) -> f64 {
        self.cut_off_served as f64 / self.cut_off_requests.max(1) as f64
    }

    pub(crate) fn served_others(&self) -> f64 {
        self.other_served as f64 / self.other_requests.max(1) as f64
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let most = self.taken.iter().max().copied().unwrap_or_default();
        write!(
            f,
            "served {:.3} of {} (others {:.3} of {}), {:.2} offers a request, busiest peer took {most}, \
             busiest server after {}",
            self.served_cut_off(),
            self.cut_off_requests,
            self.served_others(),
            self.other_requests,
            self.offers as f64 / self.cut_off_requests.max(1) as f64,
            self.busiest_server_after
        )
    }
}

struct Vm {
    descriptor: VmDescriptor,
    servers: ServerTable,
    forwarding: PeerForwarding,
    intake: PeerIntake,
    is_cut_off: bool,
}

/// A request on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    id: usize,
    vm: usize,
    arrived: u64,
    servers_tried: u32,
    peers_asked: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival {
        vm: usize,
    },
    /// An attempt of a request's VM to connect to a server ends.
    Connected {
        req: Request,
        server: usize,
    },
    /// A request arrives at a peer.
    AtPeer {
        req: Request,
        peer: usize,
    },
    /// The peer's attempt to connect to a server ends.
    PeerConnected {
        req: Request,
        peer: usize,
        server: usize,
    },
    /// A peer doesn't take a request.
    NotTaken {
        req: Request,
        peer: usize,
        failure: u8,
    },
    /// A server has processed a request; `peer` sent it, or its own VM.
    Served {
        req: Request,
        peer: Option<usize>,
    },
    Probe {
        vm: usize,
    },
    ProbeEnded {
        vm: usize,
        server: usize,
    },
}

fn failure_of(code: u8) -> PeerFailure {
    if code == 0 { PeerFailure::CutOff } else { PeerFailure::Full }
}

pub(crate) struct World {
    plan: Plan,
    now: u64,
    vms: Vec<Vm>,
    names: Vec<BackendServerName>,
    service: ServiceName,
    queue: BinaryHeap<Reverse<(u64, usize, Event)>>,
    queued: usize,
    rng: Pcg64Mcg,
    sent: HashSet<usize>,
    /// Requests that VMs process for peers.
    taken: HashMap<usize, TakenRequest>,
    next_id: usize,
    connections_after: Vec<usize>,
    outcome: Outcome,
}

pub(crate) fn simulate(plan: Plan, seed: u64) -> Outcome {
    let mut world = World::new(plan, seed);
    while let Some(Reverse((at, _, event))) = world.queue.pop() {
        if at >= LENGTH {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    world.outcome.busiest_server_after =
        world.connections_after.iter().max().copied().unwrap_or_default();
    world.outcome
}

impl World {
    fn new(plan: Plan, seed: u64) -> Self {
        let names: Vec<BackendServerName> =
            (0..plan.servers).map(|at| format!("server-{at}").as_str().into()).collect();
        let mut servers = ServerTable::default();
        for (at, name) in names.iter().enumerate() {
            servers.apply_entry(name, entry(plan, at), TimePoint::ZERO);
        }
        let centre_size = plan.vms.div_ceil(plan.centres);
        let vms = (0..plan.vms).map(|at| {
            let centre = at / centre_size;
            let is_cut_off = match plan.cut_off {
                CutOff::OneVm => at == 0,
                CutOff::HalfOfACentre => centre == 0 && at % 2 == 0,
                CutOff::OneCentre => centre == 0,
                CutOff::HalfOfAllVms => at % 2 == 0,
                CutOff::AllVms => true,
            };
            let descriptor = VmDescriptor {
                name: format!("vm-{at}"),
                address: ([10, 0, (at / 256) as u8, (at % 256) as u8], 7_600).into(),
                data_centre: format!("centre-{centre}").as_str().into(),
                cpu: CPU,
            };
            Vm {
                descriptor,
                servers: servers.clone(),
                forwarding: PeerForwarding::default(),
                intake: PeerIntake::new(CPU),
                is_cut_off,
            }
        });
        let mut world = Self {
            vms: vms.collect(),
            names,
            service: "engines".into(),
            now: 0,
            queue: BinaryHeap::new(),
            queued: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            sent: HashSet::new(),
            taken: HashMap::new(),
            next_id: 0,
            connections_after: vec![0; plan.servers],
            outcome: Outcome {
                own: vec![0; plan.vms],
                taken: vec![0; plan.vms],
                ..Outcome::default()
            },
            plan,
        };
        for vm in 0..plan.vms {
            let first = world.pause();
            world.push(first, Event::Arrival { vm });
            let probe = world.rng.random_range(0..PROBE_INTERVAL);
            world.push(probe, Event::Probe { vm });
        }
        world
    }

    fn pause(&mut self) -> u64 {
        let (busy, idle) = REQUESTS_PER_SECOND;
        let mean = 1_000.0 / if self.plan.vms <= MAX_BUSY_VMS { busy } else { idle };
        (-(1.0 - self.rng.random::<f64>()).ln() * mean) as u64 + 1
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.queued += 1;
        self.queue.push(Reverse((self.now + delay, self.queued, event)));
    }

    fn time(&self) -> TimePoint {
        TimePoint::from_millis(self.now)
    }

    fn is_cut_off(&self, vm: usize) -> bool {
        PARTITION.contains(&self.now) && self.vms[vm].is_cut_off
    }

    fn is_counted(req: &Request) -> bool {
        (PARTITION.start + DETECTION_TIME..PARTITION.end - CALLER_TIMEOUT).contains(&req.arrived)
    }

    /// Returns the time that an attempt to connect takes.
    fn connect_time(&self, vm: usize) -> u64 {
        if self.is_cut_off(vm) && self.plan.hangs { CONNECT_TIMEOUT } else { ROUND_TRIP }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { vm } => {
                let pause = self.pause();
                self.push(pause, Event::Arrival { vm });
                let id = self.next_id;
                self.next_id += 1;
                let req = Request { id, vm, arrived: self.now, servers_tried: 0, peers_asked: 0 };
                if Self::is_counted(&req) {
                    self.outcome.own[vm] += 1;
                    if self.vms[vm].is_cut_off {
                        self.outcome.cut_off_requests += 1;
                    } else {
                        self.outcome.other_requests += 1;
                    }
                }
                self.step(req);
            }
            Event::Connected { req, server } => {
                if self.record_connect(req.vm, server) {
                    self.send(req, None);
                } else {
                    self.step(Request { servers_tried: req.servers_tried + 1, ..req });
                }
            }
            Event::AtPeer { req, peer } => self.arrive_at_peer(req, peer),
            Event::PeerConnected { req, peer, server } => {
                if self.record_connect(peer, server) {
                    self.outcome.taken[peer] += usize::from(Self::is_counted(&req));
                    self.send(req, Some(peer));
                } else {
                    self.taken.remove(&req.id);
                    self.push(ROUND_TRIP / 2, Event::NotTaken { req, peer, failure: 0 });
                }
            }
            Event::NotTaken { req, peer, failure } => {
                let (now, peer) = (self.time(), self.vms[peer].descriptor.clone());
                let forwarding = &mut self.vms[req.vm].forwarding;
                forwarding.record_ended(&peer.name);
                forwarding.record_failure(&self.service, &peer, failure_of(failure), now);
                self.ask_peer(req);
            }
            Event::Served { req, peer } => self.finish(req, peer),
            Event::Probe { vm } => {
                self.push(PROBE_INTERVAL, Event::Probe { vm });
                let now = self.time();
                let targets = self.vms[vm].servers.servers_to_probe(&mut self.rng, now);
                let delay = self.connect_time(vm);
                for target in targets {
                    let server = self.names.iter().position(|it| *it == target.server.0);
                    let server = server.expect("a known server");
                    self.push(delay, Event::ProbeEnded { vm, server });
                }
            }
            Event::ProbeEnded { vm, server } => {
                self.record_connect(vm, server);
            }
        }
    }

    /// Records the result of an attempt to connect, and returns whether it succeeded.
    fn record_connect(&mut self, vm: usize, server: usize) -> bool {
        let (now, name) = (self.time(), self.names[server].clone());
        if self.is_cut_off(vm) {
            self.vms[vm].servers.mark_unreachable(&name, START, now);
            return false;
        }
        if (PARTITION.end..PARTITION.end + 1_000).contains(&self.now) {
            self.connections_after[server] += 1;
        }
        self.vms[vm].servers.record_connected(&name, START, now);
        true
    }

    fn knows_cut(&self, vm: usize) -> bool {
        self.vms[vm].servers.is_cut_off_from(&self.service, self.time())
    }

    fn step(&mut self, req: Request) {
        if self.knows_cut(req.vm) || req.servers_tried >= MAX_SERVERS_TRIED {
            self.ask_peer(req);
        } else {
            let server = self.rng.random_range(0..self.names.len());
            self.push(self.connect_time(req.vm), Event::Connected { req, server });
        }
    }

    fn ask_peer(&mut self, req: Request) {
        if req.peers_asked >= MAX_PEERS || self.now >= req.arrived + CALLER_TIMEOUT {
            return;
        }
        let now = self.time();
        let (before, rest) = self.vms.split_at_mut(req.vm);
        let Some((me, after)) = rest.split_first_mut() else { return };
        let peers = before.iter().chain(after.iter()).map(|it| &it.descriptor);
        let centre = &me.descriptor.data_centre;
        let picked = me.forwarding.pick(&self.service, centre, peers, &mut self.rng, now);
        let Some(name) = picked.map(|it| it.name.clone()) else { return };
        me.forwarding.record_sent(&name);
        let peer = name["vm-".len()..].parse().expect("the number of a VM");
        self.outcome.offers += usize::from(Self::is_counted(&req));
        if req.arrived > PARTITION.end + 1_000 {
            self.outcome.forwarded_after += 1;
        }
        let req = Request { peers_asked: req.peers_asked + 1, ..req };
        self.push(ROUND_TRIP / 2, Event::AtPeer { req, peer });
    }

    fn arrive_at_peer(&mut self, req: Request, peer: usize) {
        if self.knows_cut(peer) {
            return self.push(ROUND_TRIP / 2, Event::NotTaken { req, peer, failure: 0 });
        }
        let Some(taken) = self.vms[peer].intake.try_take() else {
            return self.push(ROUND_TRIP / 2, Event::NotTaken { req, peer, failure: 1 });
        };
        self.taken.insert(req.id, taken);
        let server = self.rng.random_range(0..self.names.len());
        self.push(self.connect_time(peer), Event::PeerConnected { req, peer, server });
    }

    fn send(&mut self, req: Request, peer: Option<usize>) {
        if !self.sent.insert(req.id) {
            self.outcome.ran_twice += 1;
        }
        self.push(SERVICE_TIME, Event::Served { req, peer });
    }

    fn finish(&mut self, req: Request, peer: Option<usize>) {
        if let Some(peer) = peer {
            self.taken.remove(&req.id);
            let peer = self.vms[peer].descriptor.clone();
            let forwarding = &mut self.vms[req.vm].forwarding;
            forwarding.record_ended(&peer.name);
            forwarding.record_taken(&self.service, &peer);
        }
        if !Self::is_counted(&req) || self.now > req.arrived + CALLER_TIMEOUT {
            return;
        }
        if self.vms[req.vm].is_cut_off {
            self.outcome.cut_off_served += 1;
        } else {
            self.outcome.other_served += 1;
        }
    }
}

fn entry(plan: Plan, at: usize) -> ServerEntry {
    ServerEntry {
        start: START,
        service: "engines".into(),
        address: ([10, 1, (at / 256) as u8, (at % 256) as u8], 80).into(),
        data_centre: format!("centre-{}", at % plan.centres).as_str().into(),
        version: "v1".into(),
        slots: 64,
        is_cold: false,
        draining: false,
        reclaimable: false,
        leaves_in: None,
    }
}
