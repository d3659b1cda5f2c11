//! Simulates VMs with their real [`PoisonGuard`], servers, a network and a store in virtual time.

use std::{collections::BTreeMap, fmt};

use quincevalve_forwarding::{
    poison::{ExitPattern, PoisonGuard, PoisonMessage, QuarantineEntry, SendDecision},
    request_digest::RequestDigest,
};
use quincevalve_names::TimePoint;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Milliseconds of a simulation step.
const STEP: u64 = 10;
/// Milliseconds between two ticks of a VM.
const TICK_INTERVAL: u64 = 60;
/// Milliseconds until a server that exited has restarted.
const RESTART_TIME: u64 = 3_000;
/// Milliseconds until a VM whose process was killed has restarted.
const VM_RESTART_TIME: u64 = 1_500;
/// Milliseconds that a change of the store takes to reach a VM, minimum and maximum.
const STORE_DELAY: (u64, u64) = (20, 400);
/// Latency of a datagram in milliseconds, minimum and maximum.
const DATAGRAM_DELAY: (u64, u64) = (1, 8);
/// Milliseconds until a server that runs a poison request exits, minimum and maximum.
const CRASH_TIME: (u64, u64) = (60, 250);
/// Duration of any other run in milliseconds, minimum and maximum.
const RUN_TIME: (u64, u64) = (200, 2_000);
/// Milliseconds after which a caller whose answer was interrupted retries, once.
const CALLER_RETRY: u64 = 100;
/// Bytes of a datagram about a request, including the description of its sender.
const DATAGRAM_BYTES: u64 = 130;
/// Wall-clock time at the start, in Unix milliseconds.
const START_MS: i64 = 1_700_000_000_000;

/// A span of time, in milliseconds.
pub(crate) type TimeSpan = std::ops::Range<u64>;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) vms: usize,
    pub(crate) servers: usize,
    /// Whether VMs reject quarantined requests.
    pub(crate) guarded: bool,
    /// Fraction of datagrams that are lost.
    pub(crate) loss: f64,
    /// Duration of the simulation in milliseconds.
    pub(crate) duration_ms: u64,
    /// Times in milliseconds at which the poison request arrives, each with the number of copies.
    pub(crate) poison: Vec<(u64, usize)>,
    /// Burst of exits: a third of all servers at its start, and then most of the others one by one.
    pub(crate) burst: Option<TimeSpan>,
    /// Number of different requests that many callers send.
    pub(crate) popular: usize,
    /// Rate per second of each of them.
    pub(crate) popular_rate: f64,
    /// Time in milliseconds from which they are sent.
    pub(crate) popular_from: u64,
    /// Rate per second of requests that only one caller sends.
    pub(crate) single_rate: f64,
    /// Number of VMs that are partitioned from other VMs and the store, and when.
    pub(crate) partitioned: Option<(usize, TimeSpan)>,
    /// Time at which all VMs are killed; they lose their state.
    pub(crate) all_killed_at: Option<u64>,
    /// Time at which the first arbiter of the poison request is killed.
    pub(crate) arbiter_killed_at: Option<u64>,
    /// When the store can't be written.
    pub(crate) store_outage: Option<TimeSpan>,
    /// Time from which servers can run the poison request.
    pub(crate) fixed_at: Option<u64>,
}

impl Scenario {
    pub(crate) fn new(vms: usize, servers: usize) -> Self {
        Self {
            vms,
            servers,
            guarded: true,
            loss: 0.01,
            duration_ms: 45_000,
            poison: Vec::new(),
            burst: None,
            popular: 0,
            popular_rate: 0.0,
            popular_from: 0,
            single_rate: 0.0,
            partitioned: None,
            all_killed_at: None,
            arbiter_killed_at: None,
            store_outage: None,
            fixed_at: None,
        }
    }
}

/// The results of a simulation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// Number of servers that exited under the poison request.
    pub(crate) crashed: usize,
    /// Time of the third of these exits, in milliseconds.
    pub(crate) third_exit: Option<u64>,
    /// Attempts of the poison request, each with its time and whether its VM was connected.
    pub(crate) attempts: Vec<(u64, bool)>,
    /// Time at which the poison request was first rejected.
    pub(crate) first_rejected: Option<u64>,
    /// Number of answers to the poison request from fixed servers.
    pub(crate) fixed_answers: usize,
    /// Number of other requests that were rejected.
    pub(crate) innocents_rejected: usize,
    /// Time of the first of these rejections, in milliseconds.
    first_innocent_rejection: Option<u64>,
    /// Milliseconds from the first to the last of these rejections.
    pub(crate) rejected_for: u64,
    pub(crate) innocents_served: usize,
    pub(crate) innocents_interrupted: usize,
    pub(crate) bytes_sent: u64,
    pub(crate) store_calls: usize,
}

impl Outcome {
    /// Returns the number of attempts by connected VMs later than `late_after` milliseconds after the third exit.
    pub(crate) fn late_attempts(&self, late_after: u64) -> usize {
        let Some(third) = self.third_exit else { return 0 };
        let is_late = |(at, is_connected): &&(u64, bool)| *is_connected && *at > third + late_after;
        self.attempts.iter().filter(is_late).count()
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known =
            self.first_rejected.zip(self.third_exit).map(|(at, third)| at.saturating_sub(third));
        write!(
            f,
            "servers crashed {:3}  attempts 3 s after the third {:3}  first rejected {:>5} ms after it  \
             others: {} rejected, {} served, {} interrupted  sent {} kB  store calls {}",
            self.crashed,
            self.late_attempts(3_000),
            known.map_or("-".to_owned(), |it| it.to_string()),
            self.innocents_rejected,
            self.innocents_served,
            self.innocents_interrupted,
            self.bytes_sent / 1_000,
            self.store_calls,
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Poison,
    Other { may_retry: bool },
}

#[derive(Debug)]
struct Run {
    vm: usize,
    vm_start: u32,
    server: usize,
    digest: RequestDigest,
    kind: Kind,
    ends: u64,
}

#[derive(Debug)]
struct Vm {
    name: String,
    guard: PoisonGuard,
    starts: u32,
    /// Time until which its process is down.
    down_until: u64,
    /// Number of changes of the store that it has applied; `usize::MAX` before it reads the whole store.
    applied_changes: usize,
    /// Time at which the next change arrives.
    next_change_at: u64,
    /// Quarantines that have to be written to the store.
    unwritten: Vec<(RequestDigest, ExitPattern)>,
}

#[derive(Debug, Default)]
struct Server {
    start: u64,
    down_until: u64,
}

#[derive(Debug)]
struct Datagram {
    due: u64,
    from: usize,
    to: usize,
    message: PoisonMessage,
}

/// A change of the store: its time, the request, and the new entry unless it was removed.
type StoreChange = (u64, RequestDigest, Option<QuarantineEntry>);

/// The poison request.
pub(crate) const POISON: RequestDigest = RequestDigest(0x00de_ad00);

pub(crate) struct World {
    scenario: Scenario,
    rng: Pcg64Mcg,
    now: u64,
    vms: Vec<Vm>,
    servers: Vec<Server>,
    runs: Vec<Run>,
    datagrams: Vec<Datagram>,
    store: BTreeMap<RequestDigest, QuarantineEntry>,
    changes: Vec<StoreChange>,
    /// Times of callers' retries.
    retries: Vec<(u64, RequestDigest)>,
    next_single: u64,
    outcome: Outcome,
}

fn at(millis: u64) -> TimePoint {
    // A VM's clock isn't near its origin either.
    TimePoint::from_millis(1_000_000 + millis)
}

/// Runs a simulation.
pub(crate) fn simulate(scenario: Scenario, seed: u64) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let vm = |at| {
        let name = format!("vm-{at}");
        let guard = PoisonGuard::new(&name);
        Vm {
            name,
            guard,
            starts: 0,
            down_until: 0,
            applied_changes: 0,
            next_change_at: 0,
            unwritten: Vec::new(),
        }
    };
    let vms = (0..scenario.vms).map(vm).collect();
    let servers =
        (0..scenario.servers).map(|_| Server { start: rng.random(), down_until: 0 }).collect();
    let mut world = World {
        scenario,
        rng,
        now: 0,
        vms,
        servers,
        runs: Vec::new(),
        datagrams: Vec::new(),
        store: BTreeMap::new(),
        changes: Vec::new(),
        retries: Vec::new(),
        next_single: 1 << 40,
        outcome: Outcome::default(),
    };
    while world.now < world.scenario.duration_ms {
        world.step();
        world.now += STEP;
    }
    world.outcome
}

impl World {
    fn step(&mut self) {
        self.kill_vms();
        self.deliver();
        self.crash_servers();
        self.end_runs();
        self.add_arrivals();
        self.tick_vms();
    }

    fn random(&mut self, (from, to): (u64, u64)) -> u64 {
        self.rng.random_range(from..to)
    }

    fn is_partitioned(&self, vm: usize) -> bool {
        let partitioned = self.scenario.partitioned.as_ref();
        partitioned.is_some_and(|(count, span)| vm < *count && span.contains(&self.now))
    }

    /// Returns whether a VM has been up and connected for the last three seconds.
    fn is_connected(&self, vm: usize) -> bool {
        let was_partitioned = self.scenario.partitioned.as_ref().is_some_and(|(count, span)| {
            vm < *count && self.now >= span.start && self.now < span.end + 3_000
        });
        let was_down = self.vms[vm].down_until + 3_000 > self.now && self.vms[vm].down_until > 0;
        !was_partitioned && !was_down
    }

    fn is_up(&self, vm: usize) -> bool {
        self.vms[vm].down_until <= self.now
    }

    fn kill_vms(&mut self) {
        let is_now = |it: Option<u64>| it.is_some_and(|it| it / STEP == self.now / STEP);
        let mut killed = Vec::new();
        if is_now(self.scenario.all_killed_at) {
            killed.extend(0..self.vms.len());
        }
        if is_now(self.scenario.arbiter_killed_at) {
            let names: Vec<&str> = self.vms.iter().map(|it| it.name.as_str()).collect();
            let first = quincevalve_forwarding::poison::arbiters(POISON, &names)[0].to_owned();
            killed.extend(self.vms.iter().position(|it| it.name == first));
        }
        for vm in killed {
            let vm = &mut self.vms[vm];
            vm.guard = PoisonGuard::new(&vm.name);
            vm.starts += 1;
            vm.down_until = self.now + VM_RESTART_TIME;
            vm.unwritten.clear();
            // It reads the whole store before it serves.
            vm.applied_changes = usize::MAX;
        }
    }

    fn deliver(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.datagrams).into_iter().partition(|it| it.due <= self.now);
        self.datagrams = later;
        for it in due {
            if self.is_up(it.to) && !self.is_partitioned(it.to) {
                let from = self.vms[it.from].name.clone();
                self.vms[it.to].guard.receive(&from, it.message, at(self.now));
            }
        }
        for vm in 0..self.vms.len() {
            if self.is_up(vm) && !self.is_partitioned(vm) {
                self.read_store(vm);
            }
        }
    }

    fn read_store(&mut self, vm: usize) {
        if self.vms[vm].applied_changes == usize::MAX {
            self.vms[vm].applied_changes = self.changes.len();
            let entries: Vec<_> = self.store.iter().map(|(digest, it)| (*digest, *it)).collect();
            self.vms[vm].guard.replace_all(entries, at(self.now));
            return;
        }
        while let Some((changed, digest, entry)) =
            self.changes.get(self.vms[vm].applied_changes).copied()
        {
            let known_at = self.vms[vm].next_change_at.max(changed);
            if self.vms[vm].next_change_at < changed {
                let delay = self.random(STORE_DELAY);
                self.vms[vm].next_change_at = changed + delay;
                continue;
            }
            if known_at > self.now {
                return;
            }
            let guard = &mut self.vms[vm].guard;
            match entry {
                Some(entry) => guard.apply_entry(digest, entry),
                None => guard.remove_entry(digest, at(self.now)),
            }
            self.vms[vm].applied_changes += 1;
        }
    }

    fn crash_servers(&mut self) {
        let Some(burst) = self.scenario.burst.clone() else { return };
        if burst.start / STEP == self.now / STEP {
            for server in 0..self.servers.len() / 3 {
                self.exit(server);
            }
        }
        if burst.contains(&self.now) {
            // Four in five of the others exit once during the burst.
            let chance = 0.8 * STEP as f64 / (burst.end - burst.start) as f64;
            for server in 0..self.servers.len() {
                if self.rng.random::<f64>() < chance {
                    self.exit(server);
                }
            }
        }
    }

    /// Makes a server exit. All its runs are interrupted, and their VMs observe the exit.
    fn exit(&mut self, server: usize) {
        if self.servers[server].down_until > self.now {
            return;
        }
        let start = self.servers[server].start;
        self.servers[server] =
            Server { start: self.rng.random(), down_until: self.now + RESTART_TIME };
        let (interrupted, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.runs).into_iter().partition(|it| it.server == server);
        self.runs = kept;
        for run in interrupted {
            let vm = &mut self.vms[run.vm];
            if vm.down_until <= self.now && vm.starts == run.vm_start {
                vm.guard.record_server_exit(run.digest, start, at(self.now));
            }
            if let Kind::Other { may_retry } = run.kind {
                self.outcome.innocents_interrupted += 1;
                if may_retry {
                    self.retries.push((self.now + CALLER_RETRY, run.digest));
                }
            }
        }
    }

    fn end_runs(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.runs).into_iter().partition(|it| it.ends <= self.now);
        self.runs = later;
        let is_fixed = self.scenario.fixed_at.is_some_and(|it| it <= self.now);
        for run in due {
            if run.kind == Kind::Poison && !is_fixed {
                self.outcome.crashed += 1;
                if self.outcome.crashed == 3 {
                    self.outcome.third_exit = Some(self.now);
                }
                self.runs.push(Run { ends: u64::MAX, ..run });
                let server = self.runs[self.runs.len() - 1].server;
                self.exit(server);
                continue;
            }
            if run.kind == Kind::Poison {
                self.outcome.fixed_answers += 1;
            } else {
                self.outcome.innocents_served += 1;
            }
            let vm = &mut self.vms[run.vm];
            if vm.starts != run.vm_start {
                continue;
            }
            if vm.guard.record_completion(run.digest, at(self.now)) && !self.is_partitioned(run.vm)
            {
                self.outcome.store_calls += 2;
                self.store.remove(&run.digest);
                self.changes.push((self.now, run.digest, None));
            }
        }
    }

    fn add_arrivals(&mut self) {
        let poison: usize = self
            .scenario
            .poison
            .iter()
            .filter(|(at, _)| at / STEP == self.now / STEP)
            .map(|(_, copies)| copies)
            .sum();
        for _ in 0..poison {
            self.send_request(POISON, Kind::Poison);
        }
        let popular = if self.now < self.scenario.popular_from { 0 } else { self.scenario.popular };
        for popular in 0..popular {
            if self.rng.random::<f64>() < self.scenario.popular_rate * STEP as f64 / 1_000.0 {
                self.send_request(
                    RequestDigest(popular as u64 + 1),
                    Kind::Other { may_retry: true },
                );
            }
        }
        let singles = self.scenario.single_rate * STEP as f64 / 1_000.0;
        let singles = singles as usize + usize::from(self.rng.random::<f64>() < singles.fract());
        for _ in 0..singles {
            self.next_single += 1;
            self.send_request(RequestDigest(self.next_single), Kind::Other { may_retry: true });
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.retries).into_iter().partition(|(at, _)| *at <= self.now);
        self.retries = later;
        for (_, digest) in due {
            self.send_request(digest, Kind::Other { may_retry: false });
        }
    }

    /// Sends a request to some VM that is up.
    fn send_request(&mut self, digest: RequestDigest, kind: Kind) {
        let up: Vec<usize> = (0..self.vms.len()).filter(|it| self.is_up(*it)).collect();
        if up.is_empty() {
            return;
        }
        let vm = up[self.rng.random_range(0..up.len())];
        if self.scenario.guarded && !self.is_admitted(vm, digest) {
            if kind == Kind::Poison {
                self.outcome.first_rejected.get_or_insert(self.now);
            } else {
                self.outcome.innocents_rejected += 1;
                let since = *self.outcome.first_innocent_rejection.get_or_insert(self.now);
                self.outcome.rejected_for = self.now - since;
            }
            return;
        }
        let live = |it: &usize| self.servers[*it].down_until <= self.now;
        let live: Vec<usize> = (0..self.servers.len()).filter(live).collect();
        if live.is_empty() {
            return;
        }
        let server = live[self.rng.random_range(0..live.len())];
        let takes = self.random(if kind == Kind::Poison { CRASH_TIME } else { RUN_TIME });
        if kind == Kind::Poison {
            self.outcome.attempts.push((self.now, self.is_connected(vm)));
        }
        let vm_start = self.vms[vm].starts;
        let ends = self.now + takes;
        self.runs.push(Run { vm, vm_start, server, digest, kind, ends });
    }

    fn wall_clock_ms(&self) -> i64 {
        START_MS + self.now.cast_signed()
    }

    fn is_store_unreachable(&self) -> bool {
        self.scenario.store_outage.as_ref().is_some_and(|it| it.contains(&self.now))
    }

    fn is_admitted(&mut self, vm: usize, digest: RequestDigest) -> bool {
        let now = at(self.now);
        match self.vms[vm].guard.send_decision(digest, now, Some(self.wall_clock_ms())) {
            SendDecision::Allowed => true,
            SendDecision::Quarantined(_) => false,
            SendDecision::TrialDue => {
                self.vms[vm].guard.record_trial_request(digest, now);
                if self.is_partitioned(vm) || self.is_store_unreachable() {
                    return false;
                }
                self.outcome.store_calls += 2;
                let next =
                    self.store.get(&digest).and_then(|it| it.next_trial(self.wall_clock_ms()));
                let Some(next) = next else { return false };
                self.write(digest, next);
                true
            }
        }
    }

    fn write(&mut self, digest: RequestDigest, entry: QuarantineEntry) {
        self.store.insert(digest, entry);
        self.changes.push((self.now, digest, Some(entry)));
    }

    fn tick_vms(&mut self) {
        for vm in 0..self.vms.len() {
            let has_tick = (self.now / STEP + vm as u64).is_multiple_of(TICK_INTERVAL / STEP);
            if !has_tick || !self.is_up(vm) {
                continue;
            }
            if self.vms[vm].guard.is_due(at(self.now)) {
                self.send_messages(vm);
            }
            self.write_quarantines(vm);
        }
    }

    fn send_messages(&mut self, vm: usize) {
        let names: Vec<String> = self.vms.iter().map(|it| it.name.clone()).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let connected = (0..self.vms.len()).filter(|it| {
            *it == vm || (self.is_up(*it) && !self.is_partitioned(*it) && !self.is_partitioned(vm))
        });
        let connected_fraction = connected.count() as f64 / self.vms.len() as f64;
        let messages = self.vms[vm].guard.tick(&names, connected_fraction, at(self.now));
        for (name, message) in messages {
            self.outcome.bytes_sent += DATAGRAM_BYTES;
            if self.is_partitioned(vm) || self.rng.random::<f64>() < self.scenario.loss {
                continue;
            }
            let to = name.strip_prefix("vm-").and_then(|it| it.parse().ok()).expect("a VM");
            let due = self.now + self.random(DATAGRAM_DELAY);
            self.datagrams.push(Datagram { due, from: vm, to, message });
        }
    }

    fn write_quarantines(&mut self, vm: usize) {
        let unwritten = self.vms[vm].guard.take_unwritten();
        self.vms[vm].unwritten.extend(unwritten);
        if self.is_partitioned(vm) || self.is_store_unreachable() {
            return;
        }
        for (digest, exits) in std::mem::take(&mut self.vms[vm].unwritten) {
            self.outcome.store_calls += 1;
            if !self.store.contains_key(&digest) {
                self.write(digest, QuarantineEntry::first(exits, self.wall_clock_ms()));
            }
        }
    }
}
