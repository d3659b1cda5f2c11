//! Simulates VMs with their real [`PoisonGuard`], servers, a network and a store in virtual time.

use std::collections::BTreeMap;

use quincevalve_forwarding::{
    poison::{
        ExitEvidence, PartEntry, PoisonGuard, PoisonMessage, QuarantineEntry, RunStage,
        SendDecision, Suspect, Verdict,
    },
    prompt_parts::PartDigest,
    request_digest::RequestDigest,
    stream_versions::VersionTag,
};
use quincevalve_names::TimePoint;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    parts::crashing_part,
    scenario::{Outcome, Scenario},
};

/// Milliseconds of a simulation step.
pub(crate) const STEP: u64 = 10;
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
/// Milliseconds until a server begins the answer to a request with parts, minimum and maximum.
const WAIT_TIME: (u64, u64) = (30, 160);
/// Milliseconds after which a caller whose answer was interrupted retries, once.
const CALLER_RETRY: u64 = 100;
/// Bytes of a datagram about a request, including the description of its sender.
const DATAGRAM_BYTES: u64 = 130;
/// Wall-clock time at the start, in Unix milliseconds.
const START_MS: i64 = 1_700_000_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Poison,
    Other {
        may_retry: bool,
    },
    /// A request with parts of which one crashes servers of a version, or of all.
    Crashing {
        may_retry: bool,
        version: Option<usize>,
    },
    /// A request with parts that crash no server.
    Sound {
        may_retry: bool,
    },
}

/// What a request is, whichever VM it reaches.
#[derive(Clone, Debug)]
pub(crate) struct Content {
    pub(crate) digest: RequestDigest,
    pub(crate) parts: Vec<PartDigest>,
}

impl Content {
    fn without_parts(digest: RequestDigest) -> Self {
        Self { digest, parts: Vec::new() }
    }
}

#[derive(Debug)]
struct Run {
    vm: usize,
    vm_start: u32,
    server: usize,
    content: Content,
    kind: Kind,
    /// When the server begins the answer.
    begins: u64,
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
    unwritten: Vec<Verdict>,
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

/// Returns the request as which a part is counted for comparison.
fn as_request(part: PartDigest) -> RequestDigest {
    RequestDigest(part.0)
}

/// An entry of the store.
#[derive(Clone, Debug)]
enum Entry {
    Request(QuarantineEntry),
    Part(PartEntry),
}

impl Entry {
    fn first(verdict: &Verdict, wall_clock_ms: i64) -> Self {
        match verdict.suspect {
            Suspect::Request(_) => {
                Self::Request(QuarantineEntry::first(verdict.exits, wall_clock_ms))
            }
            Suspect::Part(_) => Self::Part(PartEntry::first(verdict, wall_clock_ms)),
        }
    }

    fn next_trial(&self, wall_clock_ms: i64) -> Option<Self> {
        match self {
            Self::Request(it) => it.next_trial(wall_clock_ms).map(Self::Request),
            Self::Part(it) => it.next_trial(wall_clock_ms).map(Self::Part),
        }
    }
}

/// A change of the store: its time, what it is about, and the new entry unless it was removed.
type StoreChange = (u64, Suspect, Option<Entry>);

/// The poison request.
pub(crate) const POISON: RequestDigest = RequestDigest(0x00de_ad00);

pub(crate) struct World {
    pub(crate) scenario: Scenario,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: u64,
    vms: Vec<Vm>,
    servers: Vec<Server>,
    runs: Vec<Run>,
    datagrams: Vec<Datagram>,
    store: BTreeMap<Suspect, Entry>,
    changes: Vec<StoreChange>,
    /// Times of callers' retries.
    retries: Vec<(u64, Content, Kind)>,
    pub(crate) next_single: u64,
    pub(crate) outcome: Outcome,
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
        self.add_requests_with_parts();
        self.tick_vms();
    }

    fn random(&mut self, (from, to): (u64, u64)) -> u64 {
        self.rng.random_range(from..to)
    }

    /// Returns whether two VMs are partitioned from each other but not from the store.
    fn are_split(&self, left: usize, right: usize) -> bool {
        let split = self.scenario.split.as_ref().filter(|(_, span)| span.contains(&self.now));
        split.is_some_and(|(groups, _)| left % groups != right % groups)
    }

    /// Returns whether datagrams between two VMs arrive.
    fn are_connected(&self, left: usize, right: usize) -> bool {
        let is_partitioned = self.is_partitioned(left) || self.is_partitioned(right);
        !is_partitioned && !self.are_split(left, right)
    }

    fn is_frozen(&self, vm: usize) -> bool {
        let frozen = self.scenario.frozen.as_ref();
        frozen.is_some_and(|(count, span)| vm < *count && span.contains(&self.now))
    }

    fn version(&self, server: usize) -> VersionTag {
        VersionTag((server % self.scenario.versions) as u64 + 1)
    }

    fn is_partitioned(&self, vm: usize) -> bool {
        let partitioned = self.scenario.partitioned.as_ref();
        partitioned.is_some_and(|(count, span)| vm < *count && span.contains(&self.now))
    }

    /// Returns whether a VM has been up and connected to the store for the last three seconds.
    fn is_connected(&self, vm: usize) -> bool {
        let was_frozen = self.scenario.frozen.as_ref().is_some_and(|(count, span)| {
            vm < *count && self.now >= span.start && self.now < span.end + 3_000
        });
        if was_frozen {
            return false;
        }
        let was_partitioned = self.scenario.partitioned.as_ref().is_some_and(|(count, span)| {
            vm < *count && self.now >= span.start && self.now < span.end + 3_000
        });
        let was_down = self.vms[vm].down_until + 3_000 > self.now && self.vms[vm].down_until > 0;
        !was_partitioned && !was_down
    }

    fn is_up(&self, vm: usize) -> bool {
        self.vms[vm].down_until <= self.now && !self.is_frozen(vm)
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
            if self.is_frozen(it.to) {
                self.datagrams.push(it);
                continue;
            }
            let arrives = !self.is_partitioned(it.to) && !self.are_split(it.from, it.to);
            if self.is_up(it.to) && arrives {
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
            let (mut requests, mut parts) = (Vec::new(), Vec::new());
            for (suspect, entry) in &self.store {
                match (suspect, entry) {
                    (Suspect::Request(it), Entry::Request(entry)) => requests.push((*it, *entry)),
                    (Suspect::Part(it), Entry::Part(entry)) => parts.push((*it, entry.clone())),
                    _ => {}
                }
            }
            self.vms[vm].guard.replace_all(requests, parts, at(self.now));
            return;
        }
        while let Some((changed, suspect, entry)) =
            self.changes.get(self.vms[vm].applied_changes).cloned()
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
            let now = at(self.now);
            let guard = &mut self.vms[vm].guard;
            match (suspect, entry) {
                (Suspect::Request(it), Some(Entry::Request(entry))) => guard.apply_entry(it, entry),
                (Suspect::Part(it), Some(Entry::Part(entry))) => {
                    guard.apply_part_entry(it, entry, now);
                }
                (suspect, _) => guard.remove_entry(suspect, at(self.now)),
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
        let version = self.version(server);
        for run in interrupted {
            let stage = self.stage(&run);
            let vm = &mut self.vms[run.vm];
            if vm.down_until <= self.now && vm.starts == run.vm_start {
                let Content { digest, parts } = &run.content;
                vm.guard.record_server_exit(*digest, start, at(self.now));
                let (server, request, beside) = (start, *digest, Vec::new());
                let exit = ExitEvidence { server, version, stage, request, beside };
                if self.scenario.parts_as_requests {
                    for part in parts {
                        vm.guard.record_server_exit(as_request(*part), server, at(self.now));
                    }
                } else {
                    vm.guard.record_part_exits(parts, &exit, at(self.now));
                }
            }
            let retried = match run.kind {
                Kind::Poison => continue,
                Kind::Other { may_retry } => {
                    self.outcome.innocents_interrupted += 1;
                    may_retry.then_some(Kind::Other { may_retry: false })
                }
                Kind::Sound { may_retry } => {
                    if may_retry && stage == RunStage::Waiting {
                        self.outcome.parts.sound_unbegun.push(self.now);
                    }
                    may_retry.then_some(Kind::Sound { may_retry: false })
                }
                Kind::Crashing { may_retry, version } => {
                    may_retry.then_some(Kind::Crashing { may_retry: false, version })
                }
            };
            if let Some(kind) = retried {
                self.retries.push((self.now + CALLER_RETRY, run.content, kind));
            }
        }
    }

    /// Returns how far the answer of a run is that its server's exit interrupts.
    fn stage(&self, run: &Run) -> RunStage {
        match self.now.checked_sub(run.begins) {
            Some(since) => RunStage::of_answer(Some(std::time::Duration::from_millis(since))),
            None => RunStage::Waiting,
        }
    }

    fn end_runs(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.runs).into_iter().partition(|it| it.ends <= self.now);
        self.runs = later;
        let is_fixed = self.scenario.fixed_at.is_some_and(|it| it <= self.now);
        for run in due {
            let crashes = match run.kind {
                Kind::Poison => !is_fixed,
                Kind::Crashing { version, .. } => {
                    version.is_none_or(|it| it == run.server % self.scenario.versions)
                }
                Kind::Other { .. } | Kind::Sound { .. } => false,
            };
            if crashes {
                self.record_crash(&run);
                self.runs.push(Run { ends: u64::MAX, ..run });
                let server = self.runs[self.runs.len() - 1].server;
                self.exit(server);
                continue;
            }
            match run.kind {
                Kind::Poison => self.outcome.fixed_answers += 1,
                Kind::Other { .. } => self.outcome.innocents_served += 1,
                Kind::Sound { .. } => self.outcome.parts.sound_completed += 1,
                Kind::Crashing { .. } => self.outcome.parts.completed_elsewhere += 1,
            }
            let vm = &mut self.vms[run.vm];
            if vm.starts != run.vm_start {
                continue;
            }
            let Content { digest, parts } = &run.content;
            let is_lifted = vm.guard.record_completion(*digest, at(self.now));
            if self.scenario.parts_as_requests {
                for part in parts {
                    if vm.guard.record_completion(as_request(*part), at(self.now)) {
                        self.outcome.store_calls += 2;
                        self.store.remove(&as_request(*part).into());
                        self.changes.push((self.now, as_request(*part).into(), None));
                    }
                }
                continue;
            }
            let version = VersionTag((run.server % self.scenario.versions) as u64 + 1);
            let sound = vm.guard.record_part_completions(parts, version, at(self.now));
            if self.is_partitioned(run.vm) || self.is_store_unreachable() {
                continue;
            }
            for part in sound {
                self.lift_part(part.into(), version);
            }
            if is_lifted {
                self.outcome.store_calls += 2;
                self.store.remove(&(*digest).into());
                self.changes.push((self.now, (*digest).into(), None));
            }
        }
    }

    fn record_crash(&mut self, run: &Run) {
        if run.kind != Kind::Poison {
            self.outcome.parts.crashes.push((self.now, crashing_part(&run.content)));
            return;
        }
        self.outcome.crashed += 1;
        if self.outcome.crashed == 3 {
            self.outcome.third_exit = Some(self.now);
        }
    }

    /// Lifts the quarantine of a part at a version, or everywhere if servers of no other version exit under it.
    fn lift_part(&mut self, suspect: Suspect, version: VersionTag) {
        self.outcome.store_calls += 2;
        let Some(Entry::Part(entry)) = self.store.get_mut(&suspect) else { return };
        if entry.findings.add_sound(version) {
            let entry = Entry::Part(entry.clone());
            self.changes.push((self.now, suspect, Some(entry)));
        } else {
            self.store.remove(&suspect);
            self.changes.push((self.now, suspect, None));
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
            self.send_request(Content::without_parts(POISON), Kind::Poison);
        }
        let popular = if self.now < self.scenario.popular_from { 0 } else { self.scenario.popular };
        for popular in 0..popular {
            if self.rng.random::<f64>() < self.scenario.popular_rate * STEP as f64 / 1_000.0 {
                let digest = RequestDigest(popular as u64 + 1);
                self.send_request(Content::without_parts(digest), Kind::Other { may_retry: true });
            }
        }
        let singles = self.scenario.single_rate * STEP as f64 / 1_000.0;
        let singles = singles as usize + usize::from(self.rng.random::<f64>() < singles.fract());
        for _ in 0..singles {
            self.next_single += 1;
            let digest = RequestDigest(self.next_single);
            self.send_request(Content::without_parts(digest), Kind::Other { may_retry: true });
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.retries).into_iter().partition(|(at, ..)| *at <= self.now);
        self.retries = later;
        for (_, content, kind) in due {
            self.send_request(content, kind);
        }
    }

    /// Sends a request to some VM that is up.
    pub(crate) fn send_request(&mut self, content: Content, kind: Kind) {
        let up: Vec<usize> = (0..self.vms.len()).filter(|it| self.is_up(*it)).collect();
        if up.is_empty() {
            return;
        }
        let vm = up[self.rng.random_range(0..up.len())];
        let servers = self.servers_for(vm, &content, kind);
        let is_alive = |it: &usize| self.servers[*it].down_until <= self.now;
        let Some(servers) = servers else {
            self.record_rejection(kind);
            return;
        };
        let live: Vec<usize> = servers.into_iter().filter(is_alive).collect();
        if live.is_empty() {
            if kind == (Kind::Sound { may_retry: true }) {
                self.outcome.parts.sound_sent.push(self.now);
                self.outcome.parts.sound_unbegun.push(self.now);
            }
            return;
        }
        let server = live[self.rng.random_range(0..live.len())];
        let begins = self.now + if content.parts.is_empty() { 0 } else { self.random(WAIT_TIME) };
        let crashes = matches!(kind, Kind::Poison | Kind::Crashing { .. });
        let takes = self.random(if crashes { CRASH_TIME } else { self.run_time() });
        match kind {
            Kind::Poison => self.outcome.attempts.push((self.now, self.is_connected(vm))),
            Kind::Crashing { version, .. } => {
                if version.is_none_or(|it| it == server % self.scenario.versions) {
                    let is_connected = self.is_connected(vm);
                    let part = crashing_part(&content);
                    self.outcome.parts.attempts.push((self.now, part, is_connected));
                }
            }
            Kind::Other { .. } => {}
            Kind::Sound { may_retry } => {
                self.outcome.parts.sound_sent.extend(may_retry.then_some(self.now));
            }
        }
        let vm_start = self.vms[vm].starts;
        let ends = begins + takes;
        self.runs.push(Run { vm, vm_start, server, content, kind, begins, ends });
    }

    fn run_time(&self) -> (u64, u64) {
        self.scenario.parts.as_ref().map_or(RUN_TIME, |it| it.run_time)
    }

    /// Returns the servers that may get a request, or `None` if it is quarantined.
    fn servers_for(&mut self, vm: usize, content: &Content, kind: Kind) -> Option<Vec<usize>> {
        let all: Vec<usize> = (0..self.servers.len()).collect();
        if !self.scenario.guarded {
            return Some(all);
        }
        if !matches!(kind, Kind::Crashing { .. } | Kind::Sound { .. }) {
            return self.is_admitted(vm, content.digest.into()).then_some(all);
        }
        let decision = |world: &Self, version| world.part_decision(vm, content, version);
        let versions = (1..=self.scenario.versions as u64).map(VersionTag);
        let admitted: Vec<_> =
            versions.filter(|it| decision(self, *it).1 == SendDecision::Allowed).collect();
        if admitted.is_empty() {
            let (suspect, due) = decision(self, VersionTag(1));
            let is_trial = due == SendDecision::TrialDue && self.is_admitted(vm, suspect);
            if !is_trial && matches!(kind, Kind::Sound { .. }) {
                self.outcome.parts.sound_rejected.push((self.now, suspect));
            }
            return is_trial.then_some(all);
        }
        Some(all.into_iter().filter(|it| admitted.contains(&self.version(*it))).collect())
    }

    /// Returns the decision about a request with parts at a version, and what it is about.
    fn part_decision(
        &self,
        vm: usize,
        content: &Content,
        version: VersionTag,
    ) -> (Suspect, SendDecision) {
        let (now, wall_clock_ms) = (at(self.now), Some(self.wall_clock_ms()));
        let guard = &self.vms[vm].guard;
        let own = guard.send_decision(content.digest, now, wall_clock_ms);
        let as_requests = self.scenario.parts_as_requests;
        let parts = content.parts.iter().map(|it| {
            if as_requests {
                let request = as_request(*it);
                return (request.into(), guard.send_decision(request, now, wall_clock_ms));
            }
            (Suspect::Part(*it), guard.part_decision(*it, version, now, wall_clock_ms))
        });
        let barring: Vec<_> = parts
            .chain([(content.digest.into(), own)])
            .filter(|(_, it)| *it != SendDecision::Allowed)
            .collect();
        match barring.as_slice() {
            [] => (content.digest.into(), SendDecision::Allowed),
            [one] => *one,
            [(suspect, _), ..] => {
                (*suspect, SendDecision::Quarantined(std::time::Duration::from_secs(1)))
            }
        }
    }

    fn record_rejection(&mut self, kind: Kind) {
        match kind {
            Kind::Poison => {
                self.outcome.first_rejected.get_or_insert(self.now);
            }
            Kind::Other { .. } => {
                self.outcome.innocents_rejected += 1;
                let since = *self.outcome.first_innocent_rejection.get_or_insert(self.now);
                self.outcome.rejected_for = self.now - since;
            }
            Kind::Crashing { .. } => {
                self.outcome.parts.first_rejected.get_or_insert(self.now);
            }
            Kind::Sound { may_retry } => {
                if may_retry {
                    self.outcome.parts.sound_sent.push(self.now);
                    self.outcome.parts.sound_unbegun.push(self.now);
                }
            }
        }
    }

    fn wall_clock_ms(&self) -> i64 {
        START_MS + self.now.cast_signed()
    }

    fn is_store_unreachable(&self) -> bool {
        self.scenario.store_outage.as_ref().is_some_and(|it| it.contains(&self.now))
    }

    /// Admits a whole request, or a request with a part whose trial is due.
    fn is_admitted(&mut self, vm: usize, suspect: Suspect) -> bool {
        let now = at(self.now);
        let decision = match suspect {
            Suspect::Request(it) => {
                self.vms[vm].guard.send_decision(it, now, Some(self.wall_clock_ms()))
            }
            Suspect::Part(_) => SendDecision::TrialDue,
        };
        match decision {
            SendDecision::Allowed => true,
            SendDecision::Quarantined(_) => false,
            SendDecision::TrialDue => {
                self.vms[vm].guard.record_trial_request(suspect, now);
                if self.is_partitioned(vm) || self.is_store_unreachable() {
                    return false;
                }
                self.outcome.store_calls += 2;
                let next =
                    self.store.get(&suspect).and_then(|it| it.next_trial(self.wall_clock_ms()));
                let Some(next) = next else { return false };
                self.write(suspect, next);
                true
            }
        }
    }

    fn write(&mut self, suspect: Suspect, entry: Entry) {
        self.store.insert(suspect, entry.clone());
        self.changes.push((self.now, suspect, Some(entry)));
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
        let connected = (0..self.vms.len())
            .filter(|it| *it == vm || (self.is_up(*it) && self.are_connected(*it, vm)));
        let connected_fraction = connected.count() as f64 / self.vms.len() as f64;
        let messages = self.vms[vm].guard.tick(&names, connected_fraction, at(self.now));
        for (name, message) in messages {
            self.outcome.bytes_sent += DATAGRAM_BYTES;
            if self.is_partitioned(vm) || self.rng.random::<f64>() < self.scenario.loss {
                continue;
            }
            let to = name.strip_prefix("vm-").and_then(|it| it.parse().ok()).expect("a VM");
            if self.are_split(vm, to) {
                continue;
            }
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
        for part in self.vms[vm].guard.take_withdrawn() {
            self.outcome.store_calls += 2;
            self.store.remove(&part.into());
            self.changes.push((self.now, part.into(), None));
        }
        for verdict in std::mem::take(&mut self.vms[vm].unwritten) {
            self.outcome.store_calls += 1;
            if !self.store.contains_key(&verdict.suspect) {
                self.write(verdict.suspect, Entry::first(&verdict, self.wall_clock_ms()));
            }
        }
    }
}
