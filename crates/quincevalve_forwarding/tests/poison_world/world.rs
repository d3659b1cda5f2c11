//! Many VMs with their real decision cores, and servers, a network and a store in virtual time.

use std::{collections::BTreeMap, fmt};

use quincevalve_forwarding::{
    poison::{ExitPattern, PoisonGuard, PoisonMessage, QuarantineEntry, SendDecision},
    request_digest::RequestDigest,
};
use quincevalve_names::TimePoint;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Milliseconds of a step.
const STEP: u64 = 10;
/// Milliseconds between two turns of a VM.
const PERIOD: u64 = 60;
/// Milliseconds until a server that exited is back.
const BACK_AFTER: u64 = 3_000;
/// Milliseconds until a VM whose process was killed is back.
const VM_BACK_AFTER: u64 = 1_500;
/// Milliseconds that a change of the store takes to each VM, from and to.
const STORE_DELAY: (u64, u64) = (20, 400);
/// Milliseconds that a datagram takes, from and to.
const DATAGRAM_DELAY: (u64, u64) = (1, 8);
/// Milliseconds until the server exits that runs a poison request, from and to.
const CRASH_TIME: (u64, u64) = (60, 250);
/// Milliseconds that any other run takes, from and to.
const RUN_TIME: (u64, u64) = (200, 2_000);
/// Milliseconds after which a caller whose answer broke off asks again, once.
const CALLER_RETRY: u64 = 100;
/// Bytes of a datagram about a request, with what each datagram carries of its sender.
const DATAGRAM_BYTES: u64 = 130;
/// The time of day at the start, in milliseconds.
const START_MS: i64 = 1_700_000_000_000;

/// A span of time, in milliseconds.
pub(crate) type Span = std::ops::Range<u64>;

/// What happens in a world.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) vms: usize,
    pub(crate) servers: usize,
    /// Whether VMs keep quarantined requests from servers.
    pub(crate) guarded: bool,
    /// The part of datagrams that is lost.
    pub(crate) loss: f64,
    /// Milliseconds until the end.
    pub(crate) length: u64,
    /// When the poison request comes, and how many copies at once.
    pub(crate) poison: Vec<(u64, usize)>,
    /// A third of all servers exits in one moment, and then most of the others one by one.
    pub(crate) wave: Option<Span>,
    /// Requests that many callers ask, each of them so often a second.
    pub(crate) popular: usize,
    pub(crate) popular_rate: f64,
    /// From when on they are asked.
    pub(crate) popular_from: u64,
    /// Requests that one caller asks, in a second, all together.
    pub(crate) single_rate: f64,
    /// VMs that hear nobody and can't read the store meanwhile.
    pub(crate) cut: Option<(usize, Span)>,
    /// All VMs are killed then, and know nothing when they are back.
    pub(crate) all_killed: Option<u64>,
    /// The VM that decides about the poison request is killed then.
    pub(crate) arbiter_killed: Option<u64>,
    /// The store can't be written.
    pub(crate) store_away: Option<Span>,
    /// From then on servers bear the poison request.
    pub(crate) cured: Option<u64>,
}

impl Plan {
    pub(crate) fn new(vms: usize, servers: usize) -> Self {
        Self {
            vms,
            servers,
            guarded: true,
            loss: 0.01,
            length: 45_000,
            poison: Vec::new(),
            wave: None,
            popular: 0,
            popular_rate: 0.0,
            popular_from: 0,
            single_rate: 0.0,
            cut: None,
            all_killed: None,
            arbiter_killed: None,
            store_away: None,
            cured: None,
        }
    }
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// Servers that exited under the poison request.
    pub(crate) ended: usize,
    /// When the third of them did, in milliseconds.
    pub(crate) third_end: Option<u64>,
    /// Sendings of the poison request, each with its time and whether its VM was in touch.
    pub(crate) sendings: Vec<(u64, bool)>,
    /// When the poison request was kept from servers for the first time.
    pub(crate) first_withheld: Option<u64>,
    /// Answers that the poison request got from servers that bear it.
    pub(crate) cured_answers: usize,
    /// Other requests that were kept from servers.
    pub(crate) innocents_refused: usize,
    /// When the first of them was, in milliseconds.
    first_refusal: Option<u64>,
    /// Milliseconds from the first of them to the last.
    pub(crate) refused_for: u64,
    pub(crate) innocents_served: usize,
    pub(crate) innocents_broken: usize,
    pub(crate) bytes_told: u64,
    pub(crate) store_calls: usize,
}

impl Outcome {
    /// Sendings of VMs in touch later than `contact` milliseconds after the third end.
    pub(crate) fn late_sendings(&self, contact: u64) -> usize {
        let Some(third) = self.third_end else { return 0 };
        let is_late = |(at, in_touch): &&(u64, bool)| *in_touch && *at > third + contact;
        self.sendings.iter().filter(is_late).count()
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known =
            self.first_withheld.zip(self.third_end).map(|(at, third)| at.saturating_sub(third));
        write!(
            f,
            "servers ended {:3}  sendings 3 s after the third {:3}  withheld first {:>5} ms after it  \
             others: {} refused, {} served, {} broken off  told {} kB  store calls {}",
            self.ended,
            self.late_sendings(3_000),
            known.map_or("-".to_owned(), |it| it.to_string()),
            self.innocents_refused,
            self.innocents_served,
            self.innocents_broken,
            self.bytes_told / 1_000,
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
    /// Until when its process is down.
    down_until: u64,
    /// The newest change of the store that it has, with the time at which the next is there.
    seen: usize,
    seen_next_at: u64,
    /// What has to be written to the store.
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

/// A change of the store: when, of which request, and its entry, if it still has one.
type StoreChange = (u64, RequestDigest, Option<QuarantineEntry>);

/// The poison request.
pub(crate) const POISON: RequestDigest = RequestDigest(0x00de_ad00);

pub(crate) struct World {
    plan: Plan,
    rng: Pcg64Mcg,
    now: u64,
    vms: Vec<Vm>,
    servers: Vec<Server>,
    runs: Vec<Run>,
    datagrams: Vec<Datagram>,
    store: BTreeMap<RequestDigest, QuarantineEntry>,
    changes: Vec<StoreChange>,
    /// Callers that ask again.
    retries: Vec<(u64, RequestDigest)>,
    next_single: u64,
    outcome: Outcome,
}

fn at(millis: u64) -> TimePoint {
    // Far from the origin, as a VM's clock is.
    TimePoint::from_millis(1_000_000 + millis)
}

/// Plays a plan.
pub(crate) fn play(plan: Plan, seed: u64) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let vm = |at| {
        let name = format!("vm-{at}");
        let guard = PoisonGuard::new(&name);
        Vm {
            name,
            guard,
            starts: 0,
            down_until: 0,
            seen: 0,
            seen_next_at: 0,
            unwritten: Vec::new(),
        }
    };
    let vms = (0..plan.vms).map(vm).collect();
    let servers =
        (0..plan.servers).map(|_| Server { start: rng.random(), down_until: 0 }).collect();
    let mut world = World {
        plan,
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
    while world.now < world.plan.length {
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
        self.arrive();
        self.tell();
    }

    fn random(&mut self, (from, to): (u64, u64)) -> u64 {
        self.rng.random_range(from..to)
    }

    fn is_cut(&self, vm: usize) -> bool {
        let cut = self.plan.cut.as_ref();
        cut.is_some_and(|(count, span)| vm < *count && span.contains(&self.now))
    }

    /// Whether a VM has been up and reachable for the last three seconds.
    fn is_in_touch(&self, vm: usize) -> bool {
        let was_cut = self.plan.cut.as_ref().is_some_and(|(count, span)| {
            vm < *count && self.now >= span.start && self.now < span.end + 3_000
        });
        let was_down = self.vms[vm].down_until + 3_000 > self.now && self.vms[vm].down_until > 0;
        !was_cut && !was_down
    }

    fn is_up(&self, vm: usize) -> bool {
        self.vms[vm].down_until <= self.now
    }

    fn kill_vms(&mut self) {
        let is_now = |it: Option<u64>| it.is_some_and(|it| it / STEP == self.now / STEP);
        let mut killed = Vec::new();
        if is_now(self.plan.all_killed) {
            killed.extend(0..self.vms.len());
        }
        if is_now(self.plan.arbiter_killed) {
            let names: Vec<&str> = self.vms.iter().map(|it| it.name.as_str()).collect();
            let first = quincevalve_forwarding::poison::arbiters(POISON, &names)[0].to_owned();
            killed.extend(self.vms.iter().position(|it| it.name == first));
        }
        for vm in killed {
            let start = &mut self.vms[vm];
            start.guard = PoisonGuard::new(&start.name);
            start.starts += 1;
            start.down_until = self.now + VM_BACK_AFTER;
            start.unwritten.clear();
            // It reads the whole store before it serves.
            start.seen = usize::MAX;
        }
    }

    fn deliver(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.datagrams).into_iter().partition(|it| it.due <= self.now);
        self.datagrams = later;
        for it in due {
            if self.is_up(it.to) && !self.is_cut(it.to) {
                let from = self.vms[it.from].name.clone();
                self.vms[it.to].guard.receive(&from, it.message, at(self.now));
            }
        }
        for vm in 0..self.vms.len() {
            if self.is_up(vm) && !self.is_cut(vm) {
                self.read_store(vm);
            }
        }
    }

    fn read_store(&mut self, vm: usize) {
        if self.vms[vm].seen == usize::MAX {
            self.vms[vm].seen = self.changes.len();
            let entries: Vec<_> = self.store.iter().map(|(digest, it)| (*digest, *it)).collect();
            self.vms[vm].guard.replace_all(entries, at(self.now));
            return;
        }
        while let Some((changed, digest, entry)) = self.changes.get(self.vms[vm].seen).copied() {
            let known_at = self.vms[vm].seen_next_at.max(changed);
            if self.vms[vm].seen_next_at < changed {
                let delay = self.random(STORE_DELAY);
                self.vms[vm].seen_next_at = changed + delay;
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
            self.vms[vm].seen += 1;
        }
    }

    fn crash_servers(&mut self) {
        let Some(wave) = self.plan.wave.clone() else { return };
        if wave.start / STEP == self.now / STEP {
            for server in 0..self.servers.len() / 3 {
                self.exit(server);
            }
        }
        if wave.contains(&self.now) {
            // Four in five of the others exit once within the wave.
            let chance = 0.8 * STEP as f64 / (wave.end - wave.start) as f64;
            for server in 0..self.servers.len() {
                if self.rng.random::<f64>() < chance {
                    self.exit(server);
                }
            }
        }
    }

    /// Ends a server; all its runs break off, and their VMs see that it has exited.
    fn exit(&mut self, server: usize) {
        if self.servers[server].down_until > self.now {
            return;
        }
        let start = self.servers[server].start;
        self.servers[server] =
            Server { start: self.rng.random(), down_until: self.now + BACK_AFTER };
        let (broken, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.runs).into_iter().partition(|it| it.server == server);
        self.runs = kept;
        for run in broken {
            let vm = &mut self.vms[run.vm];
            if vm.down_until <= self.now && vm.starts == run.vm_start {
                vm.guard.record_server_exit(run.digest, start, at(self.now));
            }
            if let Kind::Other { may_retry } = run.kind {
                self.outcome.innocents_broken += 1;
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
        let is_cured = self.plan.cured.is_some_and(|it| it <= self.now);
        for run in due {
            if run.kind == Kind::Poison && !is_cured {
                self.outcome.ended += 1;
                if self.outcome.ended == 3 {
                    self.outcome.third_end = Some(self.now);
                }
                self.runs.push(Run { ends: u64::MAX, ..run });
                let server = self.runs[self.runs.len() - 1].server;
                self.exit(server);
                continue;
            }
            if run.kind == Kind::Poison {
                self.outcome.cured_answers += 1;
            } else {
                self.outcome.innocents_served += 1;
            }
            let vm = &mut self.vms[run.vm];
            if vm.starts != run.vm_start {
                continue;
            }
            if vm.guard.record_completion(run.digest, at(self.now)) && !self.is_cut(run.vm) {
                self.outcome.store_calls += 2;
                self.store.remove(&run.digest);
                self.changes.push((self.now, run.digest, None));
            }
        }
    }

    fn arrive(&mut self) {
        let poison: usize = self
            .plan
            .poison
            .iter()
            .filter(|(at, _)| at / STEP == self.now / STEP)
            .map(|(_, copies)| copies)
            .sum();
        for _ in 0..poison {
            self.ask(POISON, Kind::Poison);
        }
        let popular = if self.now < self.plan.popular_from { 0 } else { self.plan.popular };
        for popular in 0..popular {
            if self.rng.random::<f64>() < self.plan.popular_rate * STEP as f64 / 1_000.0 {
                self.ask(RequestDigest(popular as u64 + 1), Kind::Other { may_retry: true });
            }
        }
        let singles = self.plan.single_rate * STEP as f64 / 1_000.0;
        let singles = singles as usize + usize::from(self.rng.random::<f64>() < singles.fract());
        for _ in 0..singles {
            self.next_single += 1;
            self.ask(RequestDigest(self.next_single), Kind::Other { may_retry: true });
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.retries).into_iter().partition(|(at, _)| *at <= self.now);
        self.retries = later;
        for (_, digest) in due {
            self.ask(digest, Kind::Other { may_retry: false });
        }
    }

    /// A request comes to some VM that is up.
    fn ask(&mut self, digest: RequestDigest, kind: Kind) {
        let up: Vec<usize> = (0..self.vms.len()).filter(|it| self.is_up(*it)).collect();
        if up.is_empty() {
            return;
        }
        let vm = up[self.rng.random_range(0..up.len())];
        if self.plan.guarded && !self.is_admitted(vm, digest) {
            if kind == Kind::Poison {
                self.outcome.first_withheld.get_or_insert(self.now);
            } else {
                self.outcome.innocents_refused += 1;
                let since = *self.outcome.first_refusal.get_or_insert(self.now);
                self.outcome.refused_for = self.now - since;
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
            self.outcome.sendings.push((self.now, self.is_in_touch(vm)));
        }
        let vm_start = self.vms[vm].starts;
        let ends = self.now + takes;
        self.runs.push(Run { vm, vm_start, server, digest, kind, ends });
    }

    fn true_ms(&self) -> i64 {
        START_MS + self.now.cast_signed()
    }

    fn store_is_away(&self) -> bool {
        self.plan.store_away.as_ref().is_some_and(|it| it.contains(&self.now))
    }

    fn is_admitted(&mut self, vm: usize, digest: RequestDigest) -> bool {
        let now = at(self.now);
        match self.vms[vm].guard.send_decision(digest, now, Some(self.true_ms())) {
            SendDecision::Allowed => true,
            SendDecision::Quarantined(_) => false,
            SendDecision::TrialDue => {
                self.vms[vm].guard.record_trial_request(digest, now);
                if self.is_cut(vm) || self.store_is_away() {
                    return false;
                }
                self.outcome.store_calls += 2;
                let next = self.store.get(&digest).and_then(|it| it.next_trial(self.true_ms()));
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

    fn tell(&mut self) {
        for vm in 0..self.vms.len() {
            let has_turn = (self.now / STEP + vm as u64).is_multiple_of(PERIOD / STEP);
            if !has_turn || !self.is_up(vm) {
                continue;
            }
            if self.vms[vm].guard.is_due(at(self.now)) {
                self.tell_others(vm);
            }
            self.write_quarantines(vm);
        }
    }

    fn tell_others(&mut self, vm: usize) {
        let names: Vec<String> = self.vms.iter().map(|it| it.name.clone()).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let heard = (0..self.vms.len())
            .filter(|it| *it == vm || (self.is_up(*it) && !self.is_cut(*it) && !self.is_cut(vm)));
        let heard_part = heard.count() as f64 / self.vms.len() as f64;
        let told = self.vms[vm].guard.tick(&names, heard_part, at(self.now));
        for (name, message) in told {
            self.outcome.bytes_told += DATAGRAM_BYTES;
            if self.is_cut(vm) || self.rng.random::<f64>() < self.plan.loss {
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
        if self.is_cut(vm) || self.store_is_away() {
            return;
        }
        for (digest, exits) in std::mem::take(&mut self.vms[vm].unwritten) {
            self.outcome.store_calls += 1;
            if !self.store.contains_key(&digest) {
                self.write(digest, QuarantineEntry::first(exits, self.true_ms()));
            }
        }
    }
}
