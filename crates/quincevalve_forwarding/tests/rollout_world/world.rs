//! Many VMs with their real roll-out cores, and callers, servers, a network and a store in virtual time.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use quincevalve_forwarding::{
    load::Work,
    rollout::{
        evidence::{RouteKey, Sample},
        partial_sum::{RolloutPartialSums, add_partial_sums, partial_sums_without},
        record::{OrderId, Phase, RolloutOrder, RolloutRecord},
        scope::VersionScope,
        steps::{PromotionProgress, StepInput, next_record},
        table::{RefreshContext, RolloutTable, TrackedAttempt, TrackingId, VersionChoice},
    },
    servers::{ServerEntry, ServerStart, ServerTable, start_hash},
    shared_limit::{SharedLimit, VmRank},
};
use quincevalve_names::{BackendServerName, ServiceName, TimePoint};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::plan::{Badness, Plan, Trouble, Way};

/// Milliseconds between two digests of each VM.
const PERIOD: u64 = 60;
/// Digests after which what a VM told is known to all.
const DIGEST_DELAY: usize = 3;
/// Milliseconds between two looks of the holder.
const LOOK: u64 = 100;
/// Milliseconds that a write takes, and a change to each VM, from and to.
const WRITE_TIME: u64 = 8;
const CHANGE_DELAY: (u64, u64) = (10, 300);
/// Milliseconds after which another VM takes the duties over.
const TAKE_OVER: u64 = 3_800;
/// Milliseconds for which a VM must have been sound to count as in touch.
const CONTACT: u64 = 4_000;
/// Milliseconds from the word that the new version goes to its end.
const NEW_SERVERS_STAY: u64 = 3_000;
/// Milliseconds before old servers are expected to stop at which streams are moved, and how often that succeeds.
const MOVE_BEFORE: u64 = 1_100;
const MOVE_SUCCEEDS: f64 = 0.97;
/// The part of its slots that an old server usually has taken.
const USUAL_LOAD: f64 = 0.65;
/// Spread of the time to an answer about what was expected, as a logarithm.
const SPREAD: f64 = 0.35;
/// Milliseconds of true time at the start.
const START_MS: i64 = 1_700_000_000_000;

const SERVICE: &str = "service";

#[derive(Clone, Debug)]
struct Server {
    name: BackendServerName,
    is_new: bool,
    listed_at: u64,
    gone_at: u64,
    /// Down for these spans, as it crashes or flaps.
    down: Vec<(u64, u64)>,
    fails: f64,
    spoils: f64,
    slow: f64,
    running: u32,
}

impl Server {
    fn is_up(&self, now: u64) -> bool {
        now >= self.listed_at
            && now < self.gone_at
            && !self.down.iter().any(|(from, to)| (*from..*to).contains(&now))
    }
}

#[derive(Debug)]
struct Run {
    vm: usize,
    vm_start: u32,
    server: usize,
    ticket: Option<TrackingId>,
    first_at: u64,
    ends: u64,
    fails: bool,
    is_stream: bool,
    first_noted: bool,
    work: Work,
}

#[derive(Debug)]
struct Vm {
    book: RolloutTable,
    table: ServerTable,
    starts: u32,
    down_until: u64,
    cut: Vec<(u64, u64)>,
    /// When it was last not sound.
    unsound: u64,
    /// Changes of the store that are on their way to it.
    inbox: VecDeque<(u64, StoreChange)>,
    told: VecDeque<RolloutPartialSums>,
}

#[derive(Clone, Debug)]
enum StoreChange {
    Order(Option<RolloutOrder>),
    Record(RolloutRecord),
    Server(usize),
    Gone(usize),
}

/// What came of a roll-out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) phase: Option<Phase>,
    pub(crate) final_at: Option<u64>,
    pub(crate) deadline: u64,
    /// Requests that reached the service and its new version between the order and the deadline.
    pub(crate) requests: u64,
    pub(crate) exposed: u64,
    /// Bad answers of the new version, when the fiftieth came, and when the last request was sent there.
    pub(crate) bad: u64,
    pub(crate) fiftieth_at: Option<u64>,
    pub(crate) last_sent: u64,
    /// Answers that were cut as the old servers stopped.
    pub(crate) broken: u64,
    pub(crate) refused: u64,
    pub(crate) phases: Vec<(u64, Phase)>,
    pub(crate) figures: String,
}

impl Outcome {
    pub(crate) fn is_completed(&self) -> bool {
        self.phase == Some(Phase::Completed)
    }

    pub(crate) fn in_time(&self) -> bool {
        self.final_at.is_some_and(|it| it <= self.deadline)
    }
}

pub(crate) struct World {
    plan: Plan,
    now: u64,
    rng: Pcg64Mcg,
    service: ServiceName,
    vms: Vec<Vm>,
    servers: Vec<Server>,
    runs: Vec<Run>,
    sums: VecDeque<RolloutPartialSums>,
    order: Option<RolloutOrder>,
    record: Option<RolloutRecord>,
    holder: Option<usize>,
    holder_lost: u64,
    /// A write whose answer is lost has to be read back.
    read_back_at: u64,
    revision: u64,
    naive_sent: u64,
    outcome: Outcome,
}

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

impl World {
    pub(crate) fn new(plan: Plan, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let vms = (0..plan.vms).map(|_| new_vm(&plan, 0)).collect();
        let mut world = Self {
            now: 0,
            rng,
            service: SERVICE.into(),
            vms,
            servers: Vec::new(),
            runs: Vec::new(),
            sums: VecDeque::new(),
            order: None,
            record: None,
            holder: Some(0),
            holder_lost: 0,
            read_back_at: 0,
            revision: 100,
            naive_sent: 0,
            outcome: Outcome::default(),
            plan,
        };
        world.start_servers();
        world
    }

    fn start_servers(&mut self) {
        let plan = self.plan.clone();
        let boot = plan.order_at + plan.boot;
        let (old, new) = (plan.old_servers, plan.new_servers);
        for number in 0..old + new {
            let is_new = number >= old;
            let late = if is_new { self.rng.random_range(0..600) } else { 0 };
            let listed_at = if is_new { boot + late } else { 0 };
            let name = format!("{}-{number}", if is_new { "new" } else { "old" });
            let mut server = Server {
                name: name.as_str().into(),
                is_new,
                listed_at,
                gone_at: u64::MAX,
                down: Vec::new(),
                fails: 0.0,
                spoils: 0.0,
                slow: 1.0,
                running: 0,
            };
            self.afflict(&mut server);
            self.servers.push(server);
        }
        for at in 0..self.servers.len() {
            let listed_at = self.servers[at].listed_at;
            self.tell_all(StoreChange::Server(at), listed_at);
        }
    }

    /// Gives a server its part of the plan's trouble.
    fn afflict(&mut self, server: &mut Server) {
        let draw: f64 = self.rng.random();
        let begin = self.plan.order_at + self.plan.boot + self.rng.random_range(0..2_500);
        match self.plan.trouble {
            Trouble::GreyServers if draw < 0.14 => server.fails = 0.45,
            Trouble::SlowServers if draw < 0.14 => server.slow = 6.0,
            Trouble::SpoiledAnswers if draw < 0.35 => server.spoils = 0.02,
            Trouble::Crashes if draw < 0.2 => server.down.push((begin, begin + 3_000)),
            Trouble::Flapping if draw < 0.1 => {
                let spans = (0..3).map(|it| (begin + it * 2_800, begin + it * 2_800 + 1_400));
                server.down.extend(spans);
            }
            _ => {}
        }
    }

    /// Lets each VM hear of a change of the store.
    fn tell_all(&mut self, change: StoreChange, from: u64) {
        for vm in 0..self.vms.len() {
            let delay = self.rng.random_range(CHANGE_DELAY.0..CHANGE_DELAY.1);
            self.vms[vm].inbox.push_back((from + delay, change.clone()));
        }
    }

    pub(crate) fn play(mut self) -> Outcome {
        let plan = self.plan.clone();
        self.outcome.deadline = plan.order_at + plan.duration;
        self.begin_troubles();
        let end = plan.order_at + plan.duration + 4_000;
        while self.now < end {
            if self.now == plan.order_at {
                self.place_order();
            }
            self.lose_vms();
            self.hear_store();
            self.end_runs();
            self.ask();
            if self.now.is_multiple_of(PERIOD) {
                self.tell();
            }
            if self.now.is_multiple_of(LOOK) && plan.guarded {
                self.lead();
            }
            if !plan.guarded && self.now.is_multiple_of(LOOK) {
                self.lead_naively();
            }
            self.now += 10;
        }
        self.outcome
    }

    fn place_order(&mut self) {
        self.revision += 1;
        let order = RolloutOrder {
            id: OrderId(self.revision),
            to: "v2".into(),
            duration: Duration::from_millis(self.plan.duration),
        };
        self.order = Some(order.clone());
        self.tell_all(StoreChange::Order(Some(order)), self.now);
    }

    /// Plans who is cut off and when.
    fn begin_troubles(&mut self) {
        let begin = self.plan.order_at + 3_000;
        match self.plan.trouble {
            Trouble::CutOff => {
                let many = self.plan.vms / 4;
                let from = begin + self.rng.random_range(0..2_000);
                for vm in 0..many {
                    self.vms[vm].cut.push((from, from + 5_500));
                }
            }
            Trouble::HolderCut => {
                let from = begin + self.rng.random_range(0..4_000);
                self.vms[0].cut.push((from, from + 6_000));
            }
            _ => {}
        }
    }

    fn kill(&mut self, vm: usize, down: u64) {
        let starts = self.vms[vm].starts + 1;
        let mut new = new_vm(&self.plan, starts);
        new.down_until = self.now + down;
        new.unsound = self.now + down;
        new.cut = std::mem::take(&mut self.vms[vm].cut);
        // What the store holds is read at the start.
        let back = self.now + down + 60;
        for at in 0..self.servers.len() {
            let server = &self.servers[at];
            if server.gone_at > back {
                new.inbox.push_back((server.listed_at.max(back), StoreChange::Server(at)));
            }
        }
        if self.now >= self.plan.order_at {
            let order = self.order.clone();
            new.inbox.push_back((back, StoreChange::Order(order)));
        }
        if let Some(record) = &self.record {
            new.inbox.push_back((back, StoreChange::Record(record.clone())));
        }
        // Changes that come while it is down are read too.
        let later = self.vms[vm].inbox.iter().filter(|(due, _)| *due > back).cloned();
        new.inbox.extend(later.collect::<Vec<_>>());
        self.vms[vm] = new;
        for run in &self.runs {
            if run.vm == vm && run.vm_start < starts {
                self.servers[run.server].running -= 1;
            }
        }
        self.runs.retain(|it| !(it.vm == vm && it.vm_start < starts));
        if self.holder == Some(vm) {
            self.holder = None;
            self.holder_lost = self.now;
        }
    }

    fn lose_vms(&mut self) {
        let since = self.now.saturating_sub(self.plan.order_at);
        let is_time = |it: u64| self.now >= self.plan.order_at && since == it;
        match self.plan.trouble {
            Trouble::Restarts if self.now > self.plan.order_at && since.is_multiple_of(1_000) => {
                for _ in 0..(self.plan.vms / 20).max(1) {
                    let vm = self.rng.random_range(0..self.vms.len());
                    self.kill(vm, 600);
                }
            }
            Trouble::AllKilled(after) if is_time(after) => {
                (0..self.vms.len()).for_each(|it| self.kill(it, 900));
            }
            Trouble::HolderKilled(after) if is_time(after) => {
                if let Some(holder) = self.holder {
                    self.kill(holder, 900);
                }
            }
            _ => {}
        }
        for vm in &mut self.vms {
            if self.now < vm.down_until || is_cut(vm, self.now) {
                vm.unsound = self.now;
            }
        }
    }

    fn store_is_away(&self) -> bool {
        let since = self.now.saturating_sub(self.plan.order_at);
        matches!(self.plan.trouble, Trouble::StoreAway(from, to) if (from..to).contains(&since))
    }

    fn hear_store(&mut self) {
        if self.store_is_away() {
            return;
        }
        for vm in 0..self.vms.len() {
            if self.now < self.vms[vm].down_until || is_cut(&self.vms[vm], self.now) {
                continue;
            }
            let (due, later): (Vec<_>, Vec<_>) =
                self.vms[vm].inbox.drain(..).partition(|(due, _)| *due <= self.now);
            self.vms[vm].inbox = later.into();
            let is_news = !due.is_empty();
            for (_, change) in due {
                self.take_change(vm, change);
            }
            if is_news {
                self.refresh(vm);
            }
        }
    }

    fn take_change(&mut self, vm: usize, change: StoreChange) {
        let now = at(self.now);
        let was_running = self.vms[vm].starts == 0;
        let vm = &mut self.vms[vm];
        match change {
            StoreChange::Order(Some(order)) => {
                vm.book.apply_order(&self.service, order, was_running, now);
            }
            StoreChange::Order(None) => vm.book.remove_order(&self.service),
            StoreChange::Record(record) => {
                vm.book.apply_record(&self.service, record, now);
            }
            StoreChange::Server(at) => {
                let server = &self.servers[at];
                if server.gone_at > self.now {
                    vm.table.apply_entry(&server.name, entry(server.is_new), now);
                }
            }
            StoreChange::Gone(at) => {
                vm.table.remove_entry(&self.servers[at].name, now);
            }
        }
    }

    fn refresh(&mut self, vm: usize) {
        let is_cut = is_cut(&self.vms[vm], self.now);
        let around = RefreshContext {
            wall_clock_ms: Some(START_MS + self.now.cast_signed()),
            has_engines: self.plan.has_engines,
            vm_rank: VmRank { rank: vm, vm_count: self.plan.vms },
            is_connected: !is_cut,
        };
        let vm = &mut self.vms[vm];
        vm.book.refresh(&self.service, &vm.table, &around, at(self.now));
    }

    /// Each VM tells what it saw, and hears what all others told some time ago.
    fn tell(&mut self) {
        let now = at(self.now);
        let mut sum = RolloutPartialSums::default();
        for vm in 0..self.vms.len() {
            let is_heard = self.now >= self.vms[vm].down_until && !is_cut(&self.vms[vm], self.now);
            let vm = &mut self.vms[vm];
            let told = if is_heard {
                vm.book.partial_sums(&vm.table, now)
            } else {
                RolloutPartialSums::default()
            };
            add_partial_sums(&mut sum, &told);
            vm.told.push_back(told);
            if vm.told.len() > DIGEST_DELAY {
                vm.told.pop_front();
            }
        }
        self.sums.push_back(sum);
        if self.sums.len() > DIGEST_DELAY {
            self.sums.pop_front();
        }
        for vm in 0..self.vms.len() {
            if self.now < self.vms[vm].down_until {
                continue;
            }
            let hears = !is_cut(&self.vms[vm], self.now);
            if let (true, Some(sum)) = (hears, self.sums.front()) {
                let own = if self.vms[vm].told.len() == self.sums.len() {
                    self.vms[vm].told.front().cloned().unwrap_or_default()
                } else {
                    RolloutPartialSums::default()
                };
                let others = partial_sums_without(sum, &own);
                self.vms[vm].book.set_peer_sums(&others);
            }
            self.refresh(vm);
        }
    }

    fn lead(&mut self) {
        if let Some(holder) = self.holder
            && is_cut(&self.vms[holder], self.now)
        {
            self.holder = None;
            self.holder_lost = self.now;
        }
        if self.holder.is_none() && self.now >= self.holder_lost + TAKE_OVER {
            let sound = |it: &usize| {
                self.now >= self.vms[*it].down_until && !is_cut(&self.vms[*it], self.now)
            };
            self.holder = (0..self.vms.len()).filter(sound).max();
        }
        let Some(holder) = self.holder else { return };
        if self.store_is_away() || self.now < self.read_back_at {
            return;
        }
        let Some(next) = self.next(holder) else { return };
        self.write(holder, next);
    }

    fn next(&self, holder: usize) -> Option<RolloutRecord> {
        let vm = &self.vms[holder];
        let now = at(self.now);
        let order = vm.book.orders().map(|(_, it)| it).next();
        let usable: Vec<_> = vm.table.usable(&self.service, now).collect();
        let new = usable.iter().filter(|(_, it)| it.entry.version.as_str() == "v2").count();
        let old = usable.len() - new;
        let told = vm.book.progress(&self.service).unwrap_or_default();
        let heard = self.vms.iter();
        let heard = heard.filter(|it| self.now >= it.down_until && !is_cut(it, self.now)).count();
        next_record(&StepInput {
            now_ms: START_MS + self.now.cast_signed(),
            order,
            record: self.record.as_ref(),
            verdict: vm.book.verdict(&self.service),
            has_engines: self.plan.has_engines,
            new_servers: new,
            needed_servers: old * 3 / 4,
            has_old_servers: old > 0,
            vms: PromotionProgress {
                vms: self.vms.len(),
                reachable: heard,
                switched: told.switched as usize
                    + usize::from(vm.book.has_switched(&self.service, now)),
                old_in_flight: told.old_in_flight,
            },
        })
    }

    fn write(&mut self, holder: usize, next: RolloutRecord) {
        if let Trouble::AnswersLost = self.plan.trouble
            && self.rng.random::<f64>() < 0.5
        {
            // Half of these were done.
            self.read_back_at = self.now + 1_200;
            if self.rng.random::<bool>() {
                return;
            }
        }
        self.outcome.phases.push((self.now, next.phase));
        let judged = self.vms[holder].book.comparison(&self.service);
        self.outcome.figures = format!("{:?}", judged.and_then(|it| it.judgement));
        self.record = Some(next.clone());
        self.vms[holder].book.apply_record(&self.service, next.clone(), at(self.now));
        self.refresh(holder);
        self.tell_all(StoreChange::Record(next.clone()), self.now + WRITE_TIME);
        if next.phase.is_final() {
            self.outcome.phase = Some(next.phase);
            self.outcome.final_at = Some(self.now + WRITE_TIME);
            self.stop_servers(next.phase);
        }
    }

    fn stop_servers(&mut self, phase: Phase) {
        let is_completed = phase == Phase::Completed;
        let gone_at = self.now + if is_completed { WRITE_TIME } else { NEW_SERVERS_STAY };
        for at in 0..self.servers.len() {
            if self.servers[at].is_new != is_completed {
                self.servers[at].gone_at = gone_at;
                self.tell_all(StoreChange::Gone(at), gone_at);
            }
        }
    }

    /// A tenth of the traffic and a threshold on failures, at each VM by itself.
    fn lead_naively(&mut self) {
        let Some(order) = &self.order else { return };
        if self.outcome.phase.is_some() {
            return;
        }
        let left = self.outcome.deadline.saturating_sub(self.now);
        let part = self.outcome.bad as f64 / self.naive_sent.max(1) as f64;
        let phase = if self.naive_sent > 50 && part > 0.1 {
            Phase::RolledBack(quincevalve_forwarding::rollout::record::RollbackCause::Failures)
        } else if left < 1_000 {
            Phase::Completed
        } else {
            return;
        };
        let record = RolloutRecord { phase, ..RolloutRecord::first(order, START_MS) };
        self.record = Some(record);
        self.outcome.phase = Some(phase);
        self.outcome.final_at = Some(self.now);
        self.stop_servers(phase);
    }

    fn end_runs(&mut self) {
        let now = self.now;
        for at_run in (0..self.runs.len()).rev() {
            let run = &mut self.runs[at_run];
            let server = &self.servers[run.server];
            let is_broken = !server.is_up(now);
            if !run.first_noted && now >= run.first_at && !is_broken {
                run.first_noted = true;
                let vm = &mut self.vms[run.vm];
                if let Some(ticket) = run.ticket {
                    if !run.fails {
                        vm.book.add_first_part(ticket, at(now));
                    }
                    let sample = if run.fails { Sample::Failed } else { Sample::Succeeded };
                    vm.book.add_sample(ticket, sample, at(now));
                }
            }
            if is_broken || now >= run.ends {
                let stopped = server.gone_at <= now && !server.is_new && now < run.ends;
                if is_broken && stopped {
                    self.outcome.broken += 1;
                }
                self.forget_run(at_run);
                continue;
            }
            self.move_run(at_run);
        }
    }

    fn forget_run(&mut self, at_run: usize) {
        let run = self.runs.swap_remove(at_run);
        let server = &mut self.servers[run.server];
        server.running = server.running.saturating_sub(1);
        let vm = &mut self.vms[run.vm];
        if let Some(ticket) = run.ticket {
            vm.book.stop_tracking(ticket);
        }
        if let Some(it) = vm.table.get_mut(&self.servers[run.server].name, START) {
            it.load.remove_request(run.work);
        }
    }

    /// Moves a stream off a server that is expected to stop.
    fn move_run(&mut self, at_run: usize) {
        let run = &self.runs[at_run];
        if !run.is_stream || self.servers[run.server].is_new || self.now < run.first_at {
            return;
        }
        let version = "v1".into();
        let vm = &self.vms[run.vm];
        let Some(goes_at) = vm.book.expected_stop(&self.service, &version) else { return };
        let is_due = goes_at <= at(self.now + MOVE_BEFORE);
        if !is_due {
            return;
        }
        let (vm, vm_start, ends, work) = (run.vm, run.vm_start, run.ends, run.work);
        let choice = self.vms[vm].book.choice_for_retry(&self.service);
        let Some(to) = self.pick(vm, &choice) else { return };
        self.forget_run(at_run);
        if self.rng.random::<f64>() > MOVE_SUCCEEDS {
            return;
        }
        self.count_sent(vm, to);
        self.vms[vm].book.record_sent(&self.service, &version_of(self.servers[to].is_new));
        self.begin(vm, to, work);
        self.runs.push(Run {
            vm,
            vm_start,
            server: to,
            ticket: None,
            first_at: self.now,
            ends,
            fails: false,
            is_stream: true,
            first_noted: true,
            work,
        });
    }

    fn begin(&mut self, vm: usize, server: usize, work: Work) {
        self.servers[server].running += 1;
        let name = &self.servers[server].name;
        if let Some(it) = self.vms[vm].table.get_mut(name, START) {
            it.load.add_request(work, at(self.now));
        }
    }

    fn pick(&mut self, vm: usize, choice: &VersionChoice) -> Option<usize> {
        let scopes: Vec<Option<&VersionScope>> = match choice {
            VersionChoice::Any => vec![None],
            VersionChoice::One(scope) => vec![Some(scope)],
            VersionChoice::WithFallback(first, second) => vec![Some(first), Some(second)],
        };
        for scope in scopes {
            let now = at(self.now);
            let table = &self.vms[vm].table;
            let fits = |it: &usize| {
                let name = &self.servers[*it].name;
                let known = table.get(name).filter(|known| table.is_usable(known, now));
                known.is_some_and(|known| scope.is_none_or(|it| it.admits(name, &known.entry)))
            };
            let usable: Vec<usize> = (0..self.servers.len()).filter(fits).collect();
            if usable.is_empty() {
                continue;
            }
            let one = usable[self.rng.random_range(0..usable.len())];
            let other = usable[self.rng.random_range(0..usable.len())];
            let lighter = self.servers[one].running <= self.servers[other].running;
            return Some(if lighter { one } else { other });
        }
        None
    }

    fn count_sent(&mut self, vm: usize, server: usize) {
        if !self.servers[server].is_new {
            return;
        }
        let in_touch = self.vms[vm].unsound + CONTACT < self.now || self.vms[vm].unsound == 0;
        let is_counted = self.now >= self.plan.order_at && self.now <= self.outcome.deadline;
        if in_touch && is_counted {
            self.outcome.exposed += 1;
        }
        if in_touch {
            self.outcome.last_sent = self.now;
        }
    }

    /// Callers ask for this step.
    fn ask(&mut self) {
        let routes = self.plan.routes.clone();
        for (at_route, route) in routes.iter().enumerate() {
            let mut left = route.rate / 100.0;
            while left > 0.0 {
                if self.rng.random::<f64>() < left.min(1.0) {
                    self.ask_one(at_route);
                }
                left -= 1.0;
            }
        }
    }

    fn ask_one(&mut self, at_route: usize) {
        let vm = self.rng.random_range(0..self.vms.len());
        if self.now < self.vms[vm].down_until {
            return;
        }
        let route = self.plan.routes[at_route].clone();
        if self.now >= self.plan.order_at && self.now <= self.outcome.deadline {
            self.outcome.requests += 1;
        }
        let draw = self.rng.random();
        let key = RouteKey::of(route.name);
        let now = at(self.now);
        let choice = if self.plan.guarded {
            self.vms[vm].book.choose(&self.service, key, draw, now)
        } else {
            self.naive_choice(draw)
        };
        let Some(server) = self.pick(vm, &choice) else {
            self.outcome.refused += 1;
            return;
        };
        let is_new = self.servers[server].is_new;
        self.vms[vm].book.record_sent(&self.service, &version_of(is_new));
        self.count_sent(vm, server);
        if is_new {
            self.naive_sent += 1;
        }
        if !self.servers[server].is_up(self.now) {
            return;
        }
        self.run(vm, server, at_route);
    }

    fn naive_choice(&self, draw: f64) -> VersionChoice {
        let only = |it: &str| VersionChoice::One(VersionScope::Only(it.into()).into());
        match self.outcome.phase {
            Some(Phase::Completed) => only("v2"),
            None if draw < 0.1 && self.servers.iter().any(|it| it.is_new && it.is_up(self.now)) => {
                only("v2")
            }
            Some(_) | None => only("v1"),
        }
    }

    fn run(&mut self, vm: usize, server: usize, at_route: usize) {
        let route = self.plan.routes[at_route].clone();
        let at_server = &self.servers[server];
        let load = f64::from(at_server.running) / self.plan.slots();
        let noise = (SPREAD * normal(&mut self.rng)).exp();
        let (bad_fails, bad_slow) = self.badness(server, at_route, load);
        let slow = at_server.slow * bad_slow;
        let fails = 1.0
            - (1.0 - route.fails)
                * (1.0 - at_server.fails)
                * (1.0 - bad_fails)
                * (1.0 - at_server.spoils);
        let fails = self.rng.random::<f64>() < fails;
        let expected = route.first_ms;
        let first = expected * noise * slow;
        let length = if route.is_stream && !fails {
            route.length_ms * (0.6 * normal(&mut self.rng)).exp() * slow
        } else {
            0.0
        };
        let is_bad = at_server.is_new && (fails && bad_fails > 0.0 || bad_slow > 1.0);
        if is_bad {
            self.outcome.bad += 1;
            if self.outcome.bad == 50 {
                self.outcome.fiftieth_at = Some(self.now + first as u64);
            }
        }
        let name = self.servers[server].name.clone();
        let version = version_of(self.servers[server].is_new);
        let watched = TrackedAttempt {
            service: &self.service,
            route: RouteKey::of(route.name),
            version: &version,
            server: start_hash(&name, START),
            expected: Some(Duration::from_secs_f64(expected / 1_000.0)),
        };
        let ticket = self.vms[vm].book.start_tracking(watched, at(self.now));
        let work = Work { prefill: 100, memory: 100, output: 50, urgency: 1 };
        self.begin(vm, server, work);
        self.runs.push(Run {
            vm,
            vm_start: self.vms[vm].starts,
            server,
            ticket,
            first_at: self.now + first as u64,
            ends: self.now + (first + length) as u64,
            fails,
            is_stream: route.is_stream,
            first_noted: false,
            work,
        });
    }

    /// How much more often a request fails at a server, and how many times as long it takes, by its version.
    fn badness(&self, server: usize, at_route: usize, load: f64) -> (f64, f64) {
        if !self.servers[server].is_new {
            return (0.0, 1.0);
        }
        let Some(Badness { way, fails, slow }) = self.plan.badness else { return (0.0, 1.0) };
        let served = self.now.saturating_sub(self.servers[server].listed_at);
        let shows = match way {
            Way::AtOnce => true,
            Way::Later => served >= 5_000,
            Way::UnderLoad => load > USUAL_LOAD / 2.0,
            Way::OneRoute => at_route == 0,
        };
        if shows { (fails, slow) } else { (0.0, 1.0) }
    }
}

const START: ServerStart = ServerStart(1);

fn new_vm(plan: &Plan, starts: u32) -> Vm {
    Vm {
        book: RolloutTable::new(SharedLimit { ratio: plan.share, slack: plan.slack }),
        table: ServerTable::default(),
        starts,
        down_until: 0,
        cut: Vec::new(),
        unsound: 0,
        inbox: VecDeque::new(),
        told: VecDeque::new(),
    }
}

fn is_cut(vm: &Vm, now: u64) -> bool {
    vm.cut.iter().any(|(from, to)| (*from..*to).contains(&now))
}

fn version_of(is_new: bool) -> quincevalve_names::ServerVersion {
    if is_new { "v2".into() } else { "v1".into() }
}

fn entry(is_new: bool) -> ServerEntry {
    ServerEntry {
        start: START,
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".into(),
        version: version_of(is_new),
        slots: 32,
        is_cold: false,
        draining: false,
        reclaimable: false,
        leaves_in: None,
    }
}

/// A value of the standard normal distribution.
fn normal(rng: &mut Pcg64Mcg) -> f64 {
    let radius = (-2.0 * rng.random::<f64>().max(1e-12).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

impl Plan {
    /// Requests that a server runs at once at most, so that old ones have their usual load.
    fn slots(&self) -> f64 {
        let running: f64 = self.routes.iter().map(crate::plan::Traffic::running).sum();
        (running / self.old_servers as f64 / USUAL_LOAD).max(1.0)
    }
}

/// Figures by verdict, for a table.
pub(crate) fn verdict_name(outcome: &Outcome) -> &'static str {
    match outcome.phase {
        Some(Phase::Completed) => "completed",
        Some(Phase::RolledBack(cause)) => cause.name(),
        Some(Phase::Canary | Phase::Promoting) | None => "open",
    }
}

/// Counts by name.
pub(crate) type Counts = IndexMap<&'static str, usize>;
