//! Simulation of many VMs with their real decision cores and of servers that send signals, in virtual time.

use std::{fmt, ops::Range, time::Duration};

use quincevalve_forwarding::{
    config::Engine,
    placement::{PlacementRequest, Prompt},
    server_signals::{ReportedSignals, RequestRate, ServerSignals},
    servers::{ServerEntry, ServerStart, ServerTable},
    shared_limit::VmRank,
    signal_outbox::{ServerKey, SignalOutbox, SignalSource},
};
use quincevalve_names::{BackendServerName, DataCentreName, ServiceName, TimePoint};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Length of a step in milliseconds.
const STEP: u64 = 10;
/// Interval in milliseconds at which a VM reports to others.
const PERIOD: u64 = 60;
/// Range of a datagram's delay in milliseconds.
const DATAGRAM_DELAY: Range<u64> = 1..8;
/// Range of a request's delay to a server in milliseconds.
const REQUEST_DELAY: Range<u64> = 1..15;
/// Range of the time from a request's arrival to the head of its answer, in milliseconds.
const ANSWER_TIME: Range<u64> = 20..300;
/// Maximum error of a VM's wall clock in milliseconds, in either direction.
const CLOCK_ERROR: i64 = 50;
/// Up to this many VMs, every VM reports to every other; beyond, each group has a collector.
const SMALL: usize = 16;
/// VMs per group.
const GROUP: usize = 50;
/// Milliseconds for which a VM must have run undisturbed before limits are checked against it.
const CONTACT: u64 = 3_000;
/// Milliseconds from an answer that a VM relayed until its signals are checked against that VM.
const HEARD: u64 = 500;
/// Window in milliseconds over which a server counts requests, and what it tolerates beyond its limit: a factor and a
/// constant.
const SPAN: u64 = 4_000;
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Mean requests per second of a VM.
const REQUESTS_OF_VM: f64 = 6.0;
/// Number of shared prompt prefixes.
const SHARED: u64 = 2_000;

/// Milliseconds from an answer that a VM relayed until requests of callers must no longer reach the leaving server.
const LEAVING_TIME: u64 = 2_000;
/// Requests that a VM may send to a server during its rest period.
const IN_REST: usize = 2;
/// Interval in milliseconds at which a list without the servers' signals is read.
const STALE_LIST: u64 = 1_000;
/// Milliseconds until a request is rejected.
const TURN_AWAY_TIME: u64 = 5;

/// A span of time, in milliseconds.
pub(crate) type Span = Range<u64>;

/// Safeguards that are active.
#[expect(clippy::struct_excessive_bools, reason = "a test takes out each of them by itself")]
#[derive(Clone, Copy, Debug)]
pub(crate) struct Safeguards {
    /// VMs keep to their shares of limits.
    pub(crate) parts: bool,
    /// VMs know their ranks; without, each divides a limit as if it were the only VM.
    pub(crate) seats: bool,
    /// VMs report signals of servers to each other.
    pub(crate) told: bool,
    /// VMs believe a server that says that it leaves.
    pub(crate) leaving: bool,
    /// VMs send nothing to a resting server.
    pub(crate) rest: bool,
}

pub(crate) const ALL: Safeguards =
    Safeguards { parts: true, seats: true, told: true, leaving: true, rest: true };

/// Events of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) vms: usize,
    pub(crate) servers: usize,
    /// Requests a second of all callers together.
    pub(crate) rate: f64,
    /// The limits that the first `limited` servers name, each from a time in milliseconds on.
    pub(crate) limited: usize,
    pub(crate) limits: Vec<(u64, Option<f64>)>,
    pub(crate) safeguards: Safeguards,
    /// The first servers, so many, say from that time on that they leave.
    pub(crate) leaving: Option<(usize, u64)>,
    /// The first servers, this many, reject all requests in that span and ask for a rest of this many milliseconds.
    pub(crate) resting: Option<(usize, Span, u64)>,
    /// Fraction of datagrams that is lost.
    pub(crate) loss: f64,
    /// The first VMs, this many, are partitioned from the others in that span.
    pub(crate) cut: Option<(usize, Span)>,
    /// The first VMs, this many, are frozen in that span.
    pub(crate) frozen: Option<(usize, Span)>,
    /// The first VMs, this many, are killed at that time and restart without state.
    pub(crate) killed: Option<(usize, u64)>,
    /// This many VMs are added at that time; others learn of them up to a second later.
    pub(crate) added: Option<(usize, u64)>,
    /// Milliseconds until the end.
    pub(crate) length: u64,
}

impl Plan {
    pub(crate) fn new(vms: usize, servers: usize) -> Self {
        Self {
            vms,
            servers,
            rate: vms as f64 * REQUESTS_OF_VM,
            limited: 1,
            limits: vec![(3_000, Some(1.2))],
            safeguards: ALL,
            leaving: None,
            resting: None,
            loss: 0.02,
            cut: None,
            frozen: None,
            killed: None,
            added: None,
            length: 24_000,
        }
    }

    fn limit_at(&self, server: usize, at: u64) -> Option<f64> {
        if server >= self.limited {
            return None;
        }
        self.limits.iter().rev().find(|(from, _)| *from <= at)?.1
    }

    fn says_it_leaves(&self, server: usize, at: u64) -> bool {
        self.leaving.is_some_and(|(count, from)| server < count && at >= from)
    }

    /// The milliseconds for which a server wants rest that turns a request away at that time.
    fn rest_at(&self, server: usize, at: u64) -> Option<u64> {
        let (count, span, rest) = self.resting.as_ref()?;
        (server < *count && span.contains(&at)).then_some(*rest)
    }

    /// Requests that a server's limits allow in a span of time.
    fn allowed_in(&self, server: usize, span: Span) -> f64 {
        let steps = span.step_by(STEP as usize);
        steps.filter_map(|at| self.limit_at(server, at)).sum::<f64>() * STEP as f64 / 1_000.0
    }
}

/// Results of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Outcome {
    /// Spans in which a server got more than its limit allows.
    pub(crate) broken: usize,
    /// The largest part of what a limit allows that a server got.
    pub(crate) worst: f64,
    /// Requests that limited servers got of those that their limits name.
    pub(crate) used: f64,
    /// Requests that callers sent too late to a server that leaves.
    pub(crate) to_leaving: usize,
    /// Rests in which a VM sent more than it may.
    pub(crate) rests_broken: usize,
    /// The most requests that a server that had rested got in a second, of what it got in any second before.
    pub(crate) after_rest: f64,
    /// Milliseconds until all VMs knew the first limit of the first server.
    pub(crate) known_after: Option<u64>,
    /// Requests that were placed, and that were refused.
    pub(crate) placed: usize,
    pub(crate) refused: usize,
    pub(crate) bytes_told: usize,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "broken {:4}  to leaving {:3}  rests broken {:3}  after rest {:4.2}  worst {:4.2} of the bound  used {:4.2} of the limits  known to all after {:>5} ms  \
             placed {:5}  refused {:5}  told {} kB",
            self.broken,
            self.to_leaving,
            self.rests_broken,
            self.after_rest,
            self.worst,
            self.used,
            self.known_after.map_or("-".to_owned(), |it| it.to_string()),
            self.placed,
            self.refused,
            self.bytes_told / 1_000,
        )
    }
}

struct Vm {
    table: ServerTable,
    outbox: SignalOutbox,
    clock_error: i64,
    /// Its part of the callers.
    weight: f64,
    starts: u32,
    /// Until when it is excused, and until when it does nothing.
    excused_until: u64,
    still_until: u64,
    /// When it passed on the first answer with a limit, by server.
    told_at: Vec<Option<u64>>,
    /// When it passed on the first answer that says that a server leaves, by server.
    leaving_at: Vec<Option<u64>>,
    present: bool,
}

struct Arrival {
    at: u64,
    vm: usize,
    /// For how long the server then wanted rest, if it turned the request away.
    rest: Option<u64>,
    /// Whether its VM is held to what the server said.
    counts: bool,
}

enum Event {
    Request { vm: usize, start: u32, server: usize, sent: u64 },
    Answer { vm: usize, start: u32, server: usize, signals: ServerSignals },
    News { to: usize, from: SignalSource, news: Vec<(ServerKey, ReportedSignals)> },
}

struct World {
    plan: Plan,
    rng: Pcg64Mcg,
    now: u64,
    vms: Vec<Vm>,
    events: Vec<(u64, Event)>,
    arrivals: Vec<Vec<Arrival>>,
    outcome: Outcome,
}

fn at(millis: u64) -> TimePoint {
    // Far from the origin, as a VM's clock is.
    TimePoint::from_millis(1_000_000 + millis)
}

fn name(server: usize) -> BackendServerName {
    format!("server-{server}").as_str().into()
}

const START: ServerStart = ServerStart(1);

fn table(servers: usize, now: u64) -> ServerTable {
    let mut table = ServerTable::default();
    list_servers(&mut table, servers, now);
    table
}

/// Takes a list in which no server leaves.
fn list_servers(table: &mut ServerTable, servers: usize, now: u64) {
    for server in 0..servers {
        let entry = ServerEntry {
            start: START,
            service: "engines".into(),
            address: ([10, 0, 0, 1], 80).into(),
            data_centre: "a".into(),
            version: "v1".into(),
            slots: 128,
            is_cold: false,
            draining: false,
            reclaimable: false,
            leaves_in: None,
        };
        table.apply_entry(&name(server), entry, at(now));
    }
}

/// Runs a simulation.
pub(crate) fn play(plan: &Plan, seed: u64) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let added = plan.added.map_or(0, |(count, _)| count);
    let vms = (0..plan.vms).map(|vm| Vm {
        table: table(plan.servers, 0),
        outbox: SignalOutbox::default(),
        clock_error: rng.random_range(-CLOCK_ERROR..=CLOCK_ERROR),
        weight: rng.random_range(0.3..2.5),
        starts: 0,
        excused_until: 0,
        still_until: 0,
        told_at: vec![None; plan.servers],
        leaving_at: vec![None; plan.servers],
        present: vm + added < plan.vms,
    });
    let vms = vms.collect();
    let arrivals = (0..plan.servers).map(|_| Vec::new()).collect();
    let mut world = World {
        plan: plan.clone(),
        rng,
        now: 0,
        vms,
        events: Vec::new(),
        arrivals,
        outcome: Outcome::default(),
    };
    while world.now < plan.length {
        world.step();
        world.now += STEP;
    }
    world.judge();
    world.outcome
}

impl World {
    fn step(&mut self) {
        self.disturb();
        if self.now.is_multiple_of(STALE_LIST) {
            let now = self.now;
            let servers = self.plan.servers;
            self.vms.iter_mut().for_each(|it| list_servers(&mut it.table, servers, now));
        }
        self.deliver();
        for vm in 0..self.vms.len() {
            if self.is_active(vm) {
                self.ask(vm);
                if (self.now / STEP + vm as u64).is_multiple_of(PERIOD / STEP) {
                    self.turn(vm);
                }
            }
        }
        self.look_who_knows();
    }

    fn is_active(&self, vm: usize) -> bool {
        self.vms[vm].present && self.vms[vm].still_until <= self.now
    }

    fn is_cut(&self, vm: usize) -> bool {
        let cut = self.plan.cut.as_ref();
        cut.is_some_and(|(count, span)| vm < *count && span.contains(&self.now))
    }

    fn disturb(&mut self) {
        if let Some((count, span)) = self.plan.cut.clone()
            && span.contains(&self.now)
        {
            self.vms[..count].iter_mut().for_each(|it| it.excused_until = span.end + CONTACT);
        }
        if let Some((count, span)) = self.plan.frozen.clone()
            && span.contains(&self.now)
        {
            for vm in &mut self.vms[..count] {
                vm.still_until = span.end;
                vm.excused_until = span.end + CONTACT;
            }
        }
        if let Some((count, when)) = self.plan.killed
            && when == self.now
        {
            let (servers, now) = (self.plan.servers, self.now);
            for vm in &mut self.vms[..count] {
                vm.starts += 1;
                vm.table = table(servers, now);
                vm.outbox = SignalOutbox::default();
                vm.still_until = now + 800;
                vm.excused_until = now + 800 + CONTACT;
                vm.told_at.fill(None);
                vm.leaving_at.fill(None);
            }
        }
        if let Some((_, when)) = self.plan.added
            && when == self.now
        {
            self.vms.iter_mut().for_each(|it| it.present = true);
        }
    }

    /// Returns a VM's rank among all VMs that it knows. VMs learn of new ones one after the other within a second.
    fn seat(&self, vm: usize) -> VmRank {
        if !self.plan.safeguards.seats {
            return VmRank::ALONE;
        }
        let Some((count, when)) = self.plan.added else {
            return VmRank { rank: vm, vm_count: self.plan.vms };
        };
        let old = self.plan.vms - count;
        let knows = self.now >= when + 1_000 * vm as u64 / self.plan.vms as u64;
        VmRank { rank: vm, vm_count: if knows || vm >= old { self.plan.vms } else { old } }
    }

    /// A VM's periodic work: its rank, its clock, and reports to others.
    fn turn(&mut self, vm: usize) {
        let (seat, now) = (self.seat(vm), self.now);
        let true_ms = 1_700_000_000_000 + now.cast_signed() + self.vms[vm].clock_error;
        self.vms[vm].table.set_rank(seat, true_ms, at(now));
        if !self.plan.safeguards.told {
            return;
        }
        let wide = self.vms[vm].outbox.take_for_collectors();
        let near = self.vms[vm].outbox.take_for_members();
        let (collectors, members, scope) = self.audience(vm);
        self.tell(vm, wide, &collectors, scope);
        self.tell(vm, near, &members, SignalSource::OwnCollector);
    }

    /// Returns the recipients of a VM's reports, its collector or the other collectors and its members, and its role
    /// for the former.
    fn audience(&self, vm: usize) -> (Vec<usize>, Vec<usize>, SignalSource) {
        let all = self.plan.vms;
        if all <= SMALL {
            let others = (0..all).filter(|it| *it != vm).collect();
            return (others, Vec::new(), SignalSource::Collector);
        }
        let collector = vm / GROUP * GROUP;
        if collector != vm {
            return (vec![collector], Vec::new(), SignalSource::Member);
        }
        let others = (0..all).step_by(GROUP).filter(|it| *it != vm).collect();
        let members = (vm + 1..all.min(vm + GROUP)).collect();
        (others, members, SignalSource::Collector)
    }

    fn tell(&mut self, vm: usize, keys: Vec<ServerKey>, to: &[usize], from: SignalSource) {
        let now = at(self.now);
        let table = &self.vms[vm].table;
        let news = keys.into_iter().filter_map(|key| {
            let told = table.get(&key.0)?.signals_to_report(now)?;
            Some((key, told))
        });
        let news: Vec<_> = news.collect();
        if news.is_empty() {
            return;
        }
        for to in to {
            let lost = self.rng.random::<f64>() < self.plan.loss;
            if lost || self.is_cut(vm) != self.is_cut(*to) {
                continue;
            }
            self.outcome.bytes_told += 100 + 30 * news.len();
            let delay = self.rng.random_range(DATAGRAM_DELAY);
            let news = news.clone();
            self.events.push((self.now + delay, Event::News { to: *to, from, news }));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.events).into_iter().partition(|(when, _)| *when <= now);
        self.events = later;
        for (_, event) in due {
            match event {
                Event::Request { vm, start, server, sent } => self.arrive(vm, start, server, sent),
                Event::Answer { vm, start, server, signals } => {
                    self.hear(vm, start, server, signals);
                }
                Event::News { to, from, news } if self.is_active(to) => {
                    let vm = &mut self.vms[to];
                    for (key, told) in news {
                        let Some(server) = vm.table.get_mut(&key.0, key.1) else { continue };
                        if !server.apply_report(&told, at(now)).is_empty() {
                            vm.outbox.push(key, from);
                        }
                    }
                }
                Event::News { .. } => {}
            }
        }
    }

    fn arrive(&mut self, vm: usize, start: u32, server: usize, sent: u64) {
        let now = self.now;
        let is_held = self.vms[vm].excused_until <= now && self.vms[vm].starts == start;
        let told = self.vms[vm].told_at[server];
        let counts = is_held && told.is_some_and(|it| now >= it + HEARD);
        let left = self.vms[vm].leaving_at[server];
        if self.vms[vm].starts == start && left.is_some_and(|it| sent > it + LEAVING_TIME) {
            self.outcome.to_leaving += 1;
        }
        let rest = self.plan.rest_at(server, now);
        self.arrivals[server].push(Arrival { at: now, vm, rest, counts });
        let when = match rest {
            Some(_) => now + TURN_AWAY_TIME,
            None => now + self.rng.random_range(ANSWER_TIME),
        };
        let signals = ServerSignals {
            limit: self.plan.limit_at(server, when).and_then(RequestRate::new),
            leaving: self.plan.says_it_leaves(server, when),
            rest: rest.map(Duration::from_millis),
        };
        self.events.push((when, Event::Answer { vm, start, server, signals }));
    }

    fn hear(&mut self, vm: usize, start: u32, server: usize, mut signals: ServerSignals) {
        let now = self.now;
        if self.vms[vm].starts != start {
            return;
        }
        if !self.is_active(vm) {
            let when = self.vms[vm].still_until;
            return self.events.push((when, Event::Answer { vm, start, server, signals }));
        }
        let vm = &mut self.vms[vm];
        if signals.limit.is_some() {
            vm.told_at[server].get_or_insert(now);
        }
        if signals.leaving {
            vm.leaving_at[server].get_or_insert(now);
        }
        signals.leaving &= self.plan.safeguards.leaving;
        let key = (name(server), START);
        let Some(server) = vm.table.get_mut(&key.0, key.1) else { return };
        if let Some(rest) = signals.rest.filter(|_| self.plan.safeguards.rest) {
            server.extend_rest(rest, at(now));
        }
        if !server.apply_signals(&signals, at(now)).is_empty() {
            vm.outbox.push(key, SignalSource::Server);
        }
    }

    /// Callers of a VM ask.
    fn ask(&mut self, vm: usize) {
        let weights: f64 = self.vms.iter().map(|it| it.weight).sum();
        let rate = self.plan.rate * self.vms[vm].weight / weights * STEP as f64 / 1_000.0;
        let mut left = rate;
        while left > 0.0 && self.rng.random::<f64>() < left.min(1.0) {
            self.place(vm);
            left -= 1.0;
        }
    }

    fn place(&mut self, vm: usize) {
        let service: ServiceName = "engines".into();
        let data_centre: DataCentreName = "a".into();
        let shared = Some((self.rng.random_range(0..SHARED), 800));
        let prompt = Prompt { input: 1_000, max_output: 100, expected_output: None, shared };
        let engine = Engine { slots: 128, kv_tokens: 800_000, supports_migration: true };
        let ask = PlacementRequest {
            service: &service,
            prompt: Some((prompt, engine)),
            urgency: 1,
            latency_budget: Duration::from_millis(800),
            data_centre: &data_centre,
            tried: &[],
            scope: None,
        };
        let now = at(self.now);
        let start = self.vms[vm].starts;
        let table = &mut self.vms[vm].table;
        let Ok(place) = table.place(&ask, &mut self.rng, now) else {
            self.outcome.refused += 1;
            return;
        };
        if self.plan.safeguards.parts {
            table.spend_allowance(&place.server, place.start, now);
        }
        self.outcome.placed += 1;
        let server = place.server.as_str().trim_start_matches("server-");
        let server = server.parse().expect("a number");
        let when = self.now + self.rng.random_range(REQUEST_DELAY);
        self.events.push((when, Event::Request { vm, start, server, sent: self.now }));
    }

    fn look_who_knows(&mut self) {
        let Some((named, Some(_))) = self.plan.limits.first().copied() else { return };
        let knows = |it: &Vm| it.table.get(&name(0)).is_some_and(|it| it.limit().is_some());
        let all = || self.vms.iter().filter(|it| it.present).all(knows);
        if self.outcome.known_after.is_none() && self.now > named && all() {
            self.outcome.known_after = Some(self.now - named);
        }
    }

    fn judge(&mut self) {
        self.judge_limits();
        self.judge_rests();
    }

    /// Holds what servers got against the rest that they wanted.
    fn judge_rests(&mut self) {
        let Some((count, span, rest)) = self.plan.resting.clone() else { return };
        let disturbed = [self.plan.cut.as_ref(), self.plan.frozen.as_ref()];
        let excused = |vm: usize, from: u64, to: u64| {
            let struck = disturbed.into_iter().flatten();
            let mut struck = struck.filter(|(count, _)| vm < *count);
            struck.any(|(_, span)| from < span.end + CONTACT && to > span.start)
                || self
                    .plan
                    .killed
                    .is_some_and(|(count, at)| vm < count && (from..to).contains(&at))
        };
        for arrivals in &self.arrivals[..count] {
            for first in arrivals.iter().filter(|it| it.rest.is_some()) {
                let (from, to) = (first.at + HEARD, first.at + rest);
                let in_rest = |it: &&Arrival| it.vm == first.vm && (from..to).contains(&it.at);
                let got = arrivals.iter().filter(in_rest).count();
                let broken = got > IN_REST && !excused(first.vm, first.at, to);
                self.outcome.rests_broken += usize::from(broken);
            }
            let per_second = |from: u64| {
                let second = from..from + 1_000;
                arrivals.iter().filter(|it| second.contains(&it.at)).count() as f64
            };
            let usual =
                (0..span.start / 1_000).map(|it| per_second(it * 1_000)).fold(1.0, f64::max);
            let after = (span.end..self.plan.length - 1_000).step_by(100).map(per_second);
            self.outcome.after_rest =
                self.outcome.after_rest.max(after.fold(0.0, f64::max) / usual);
        }
    }

    /// Holds what servers got against their limits.
    fn judge_limits(&mut self) {
        let plan = &self.plan;
        let mut used = (0.0, 0.0);
        for (server, arrivals) in self.arrivals.iter().enumerate().take(plan.limited) {
            let first = plan.limits[0].0;
            let counted: Vec<_> = arrivals.iter().filter(|it| it.counts).map(|it| it.at).collect();
            for (index, end) in counted.iter().enumerate() {
                let span = end.saturating_sub(SPAN)..*end;
                let is_limited = |at: &u64| plan.limit_at(server, *at).is_some();
                let binds = span.start >= first + CONTACT
                    && is_limited(&span.start)
                    && is_limited(&span.end);
                if !binds {
                    continue;
                }
                let got = index + 1 - counted.partition_point(|it| *it < span.start);
                let shifted = span.start - HEARD..span.end - HEARD;
                let sum = plan.allowed_in(server, span).max(plan.allowed_in(server, shifted));
                let allowed = FACTOR * sum + SLACK;
                self.outcome.worst = self.outcome.worst.max(got as f64 / allowed);
                self.outcome.broken += usize::from(got as f64 > allowed);
            }
            let binding = first + CONTACT..plan.length;
            used.0 += arrivals.iter().filter(|it| binding.contains(&it.at)).count() as f64;
            used.1 += plan.allowed_in(server, binding);
        }
        self.outcome.used = if used.1 > 0.0 { used.0 / used.1 } else { 0.0 };
    }
}
