//! Simulates many VMs that run the real roll-out code, with callers, servers, a network and a store in virtual time.

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

use crate::plan::{Disturbance, FaultOnset, Plan, VersionFault};

/// Interval between two digests of each VM, in milliseconds.
const DIGEST_INTERVAL_MS: u64 = 60;
/// Number of digests after which a VM's report has reached all VMs.
const DIGEST_DELAY: usize = 3;
/// Interval between two decisions of the holder, in milliseconds.
const HOLDER_INTERVAL_MS: u64 = 100;
/// Duration of a write to the store, in milliseconds.
const WRITE_TIME_MS: u64 = 8;
/// Minimum and maximum delay of a store change to each VM, in milliseconds.
const CHANGE_DELAY_MS: (u64, u64) = (10, 300);
/// Time after which another VM takes over the duties of a lost holder, in milliseconds.
const TAKE_OVER_MS: u64 = 3_800;
/// Time for which a VM must have been up and connected for its requests to be counted, in milliseconds.
const MIN_CONTACT_MS: u64 = 4_000;
/// Time from the roll-back until servers of the new version stop, in milliseconds.
const NEW_SERVERS_STOP_DELAY_MS: u64 = 3_000;
/// Time before the expected stop of old servers at which streams are migrated, in milliseconds.
const MIGRATION_LEAD_MS: u64 = 1_100;
/// Fraction of migrations that succeed.
const MIGRATION_SUCCESS_RATE: f64 = 0.97;
/// Fraction of an old server's slots that are usually in use.
const USUAL_LOAD: f64 = 0.65;
/// Standard deviation of the logarithm of measured over expected times to an answer.
const LOG_TIME_DEVIATION: f64 = 0.35;
/// Wall-clock time at the start, in milliseconds.
const START_WALL_CLOCK_MS: i64 = 1_700_000_000_000;

const SERVICE: &str = "service";

#[derive(Clone, Debug)]
struct Server {
    name: BackendServerName,
    is_new: bool,
    listed_at: u64,
    stops_at: u64,
    /// Spans in milliseconds in which the server is down, as it crashes or flaps.
    down: Vec<(u64, u64)>,
    fails: f64,
    faulty_answer_rate: f64,
    slow: f64,
    running: u32,
}

impl Server {
    fn is_up(&self, now: u64) -> bool {
        now >= self.listed_at
            && now < self.stops_at
            && !self.down.iter().any(|(from, to)| (*from..*to).contains(&now))
    }
}

#[derive(Debug)]
struct Run {
    vm: usize,
    vm_start: u32,
    server: usize,
    tracking_id: Option<TrackingId>,
    first_at: u64,
    ends: u64,
    fails: bool,
    is_stream: bool,
    first_recorded: bool,
    work: Work,
}

#[derive(Debug)]
struct Vm {
    rollouts: RolloutTable,
    table: ServerTable,
    starts: u32,
    down_until: u64,
    partitions: Vec<(u64, u64)>,
    /// When the VM was last down or partitioned, in milliseconds.
    last_disturbed_at: u64,
    /// Store changes in transit to the VM, and when they arrive.
    inbox: VecDeque<(u64, StoreChange)>,
    reported: VecDeque<RolloutPartialSums>,
}

#[derive(Clone, Debug)]
enum StoreChange {
    Order(Option<RolloutOrder>),
    Record(RolloutRecord),
    Server(usize),
    Removed(usize),
}

/// The result of a simulated roll-out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) phase: Option<Phase>,
    pub(crate) final_at: Option<u64>,
    pub(crate) deadline: u64,
    /// Requests to the service between the order and the deadline.
    pub(crate) requests: u64,
    /// Requests to the new version in the same time.
    pub(crate) exposed: u64,
    /// Bad answers of the new version.
    pub(crate) bad: u64,
    /// When the fiftieth bad answer came, in milliseconds.
    pub(crate) fiftieth_at: Option<u64>,
    /// When the last request was sent to the new version, in milliseconds.
    pub(crate) last_sent: u64,
    /// Answers that were truncated as the old servers stopped.
    pub(crate) truncated: u64,
    pub(crate) rejected: u64,
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
    /// When the holder has read back a write whose answer was lost, in milliseconds.
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
                stops_at: u64::MAX,
                down: Vec::new(),
                fails: 0.0,
                faulty_answer_rate: 0.0,
                slow: 1.0,
                running: 0,
            };
            self.apply_server_fault(&mut server);
            self.servers.push(server);
        }
        for at in 0..self.servers.len() {
            let listed_at = self.servers[at].listed_at;
            self.publish_change(StoreChange::Server(at), listed_at);
        }
    }

    /// Applies the plan's disturbance to a server.
    fn apply_server_fault(&mut self, server: &mut Server) {
        let draw: f64 = self.rng.random();
        let begin = self.plan.order_at + self.plan.boot + self.rng.random_range(0..2_500);
        match self.plan.disturbance {
            Disturbance::GreyServers if draw < 0.14 => server.fails = 0.45,
            Disturbance::SlowServers if draw < 0.14 => server.slow = 6.0,
            Disturbance::FaultyAnswers if draw < 0.35 => server.faulty_answer_rate = 0.02,
            Disturbance::Crashes if draw < 0.2 => server.down.push((begin, begin + 3_000)),
            Disturbance::Flapping if draw < 0.1 => {
                let spans = (0..3).map(|it| (begin + it * 2_800, begin + it * 2_800 + 1_400));
                server.down.extend(spans);
            }
            _ => {}
        }
    }

    /// Sends a store change to each VM.
    fn publish_change(&mut self, change: StoreChange, from: u64) {
        for vm in 0..self.vms.len() {
            let delay = self.rng.random_range(CHANGE_DELAY_MS.0..CHANGE_DELAY_MS.1);
            self.vms[vm].inbox.push_back((from + delay, change.clone()));
        }
    }

    pub(crate) fn simulate(mut self) -> Outcome {
        let plan = self.plan.clone();
        self.outcome.deadline = plan.order_at + plan.duration;
        self.schedule_partitions();
        let end = plan.order_at + plan.duration + 4_000;
        while self.now < end {
            if self.now == plan.order_at {
                self.place_order();
            }
            self.apply_vm_faults();
            self.deliver_store_changes();
            self.end_runs();
            self.send_requests();
            if self.now.is_multiple_of(DIGEST_INTERVAL_MS) {
                self.exchange_digests();
            }
            if self.now.is_multiple_of(HOLDER_INTERVAL_MS) && plan.guarded {
                self.run_holder();
            }
            if !plan.guarded && self.now.is_multiple_of(HOLDER_INTERVAL_MS) {
                self.run_naive_holder();
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
        self.publish_change(StoreChange::Order(Some(order)), self.now);
    }

    /// Schedules which VMs are partitioned and when.
    fn schedule_partitions(&mut self) {
        let begin = self.plan.order_at + 3_000;
        match self.plan.disturbance {
            Disturbance::Partitioned => {
                let many = self.plan.vms / 4;
                let from = begin + self.rng.random_range(0..2_000);
                for vm in 0..many {
                    self.vms[vm].partitions.push((from, from + 5_500));
                }
            }
            Disturbance::HolderPartitioned => {
                let from = begin + self.rng.random_range(0..4_000);
                self.vms[0].partitions.push((from, from + 6_000));
            }
            _ => {}
        }
    }

    fn kill(&mut self, vm: usize, down: u64) {
        let starts = self.vms[vm].starts + 1;
        let mut new = new_vm(&self.plan, starts);
        new.down_until = self.now + down;
        new.last_disturbed_at = self.now + down;
        new.partitions = std::mem::take(&mut self.vms[vm].partitions);
        // The VM reads the store at its start.
        let back = self.now + down + 60;
        for at in 0..self.servers.len() {
            let server = &self.servers[at];
            if server.stops_at > back {
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
        // Changes that arrive while the VM is down are part of what it reads.
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

    fn apply_vm_faults(&mut self) {
        let since = self.now.saturating_sub(self.plan.order_at);
        let is_time = |it: u64| self.now >= self.plan.order_at && since == it;
        match self.plan.disturbance {
            Disturbance::Restarts
                if self.now > self.plan.order_at && since.is_multiple_of(1_000) =>
            {
                for _ in 0..(self.plan.vms / 20).max(1) {
                    let vm = self.rng.random_range(0..self.vms.len());
                    self.kill(vm, 600);
                }
            }
            Disturbance::AllKilled(after) if is_time(after) => {
                (0..self.vms.len()).for_each(|it| self.kill(it, 900));
            }
            Disturbance::HolderKilled(after) if is_time(after) => {
                if let Some(holder) = self.holder {
                    self.kill(holder, 900);
                }
            }
            _ => {}
        }
        for vm in &mut self.vms {
            if self.now < vm.down_until || is_partitioned(vm, self.now) {
                vm.last_disturbed_at = self.now;
            }
        }
    }

    fn is_store_unreachable(&self) -> bool {
        let since = self.now.saturating_sub(self.plan.order_at);
        matches!(self.plan.disturbance, Disturbance::StoreUnreachable(from, to) if (from..to).contains(&since))
    }

    fn deliver_store_changes(&mut self) {
        if self.is_store_unreachable() {
            return;
        }
        for vm in 0..self.vms.len() {
            if self.now < self.vms[vm].down_until || is_partitioned(&self.vms[vm], self.now) {
                continue;
            }
            let (due, later): (Vec<_>, Vec<_>) =
                self.vms[vm].inbox.drain(..).partition(|(due, _)| *due <= self.now);
            self.vms[vm].inbox = later.into();
            let has_changes = !due.is_empty();
            for (_, change) in due {
                self.apply_change(vm, change);
            }
            if has_changes {
                self.refresh(vm);
            }
        }
    }

    fn apply_change(&mut self, vm: usize, change: StoreChange) {
        let now = at(self.now);
        let was_running = self.vms[vm].starts == 0;
        let vm = &mut self.vms[vm];
        match change {
            StoreChange::Order(Some(order)) => {
                vm.rollouts.apply_order(&self.service, order, was_running, now);
            }
            StoreChange::Order(None) => vm.rollouts.remove_order(&self.service),
            StoreChange::Record(record) => {
                vm.rollouts.apply_record(&self.service, record, now);
            }
            StoreChange::Server(at) => {
                let server = &self.servers[at];
                if server.stops_at > self.now {
                    vm.table.apply_entry(&server.name, entry(server.is_new), now);
                }
            }
            StoreChange::Removed(at) => {
                vm.table.remove_entry(&self.servers[at].name, now);
            }
        }
    }

    fn refresh(&mut self, vm: usize) {
        let is_partitioned = is_partitioned(&self.vms[vm], self.now);
        let context = RefreshContext {
            wall_clock_ms: Some(START_WALL_CLOCK_MS + self.now.cast_signed()),
            has_engines: self.plan.has_engines,
            vm_rank: VmRank { rank: vm, vm_count: self.plan.vms },
            is_connected: !is_partitioned,
        };
        let vm = &mut self.vms[vm];
        vm.rollouts.refresh(&self.service, &vm.table, &context, at(self.now));
    }

    /// Makes each VM report its partial sums and receive those that all others reported some digests ago.
    fn exchange_digests(&mut self) {
        let now = at(self.now);
        let mut sum = RolloutPartialSums::default();
        for vm in 0..self.vms.len() {
            let is_reachable =
                self.now >= self.vms[vm].down_until && !is_partitioned(&self.vms[vm], self.now);
            let vm = &mut self.vms[vm];
            let reported = if is_reachable {
                vm.rollouts.partial_sums(&vm.table, now)
            } else {
                RolloutPartialSums::default()
            };
            add_partial_sums(&mut sum, &reported);
            vm.reported.push_back(reported);
            if vm.reported.len() > DIGEST_DELAY {
                vm.reported.pop_front();
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
            let is_connected = !is_partitioned(&self.vms[vm], self.now);
            if let (true, Some(sum)) = (is_connected, self.sums.front()) {
                let own = if self.vms[vm].reported.len() == self.sums.len() {
                    self.vms[vm].reported.front().cloned().unwrap_or_default()
                } else {
                    RolloutPartialSums::default()
                };
                let others = partial_sums_without(sum, &own);
                self.vms[vm].rollouts.set_peer_sums(&others);
            }
            self.refresh(vm);
        }
    }

    fn run_holder(&mut self) {
        if let Some(holder) = self.holder
            && is_partitioned(&self.vms[holder], self.now)
        {
            self.holder = None;
            self.holder_lost = self.now;
        }
        if self.holder.is_none() && self.now >= self.holder_lost + TAKE_OVER_MS {
            let is_available = |it: &usize| {
                self.now >= self.vms[*it].down_until && !is_partitioned(&self.vms[*it], self.now)
            };
            self.holder = (0..self.vms.len()).filter(is_available).max();
        }
        let Some(holder) = self.holder else { return };
        if self.is_store_unreachable() || self.now < self.read_back_at {
            return;
        }
        let Some(next) = self.next(holder) else { return };
        self.write(holder, next);
    }

    fn next(&self, holder: usize) -> Option<RolloutRecord> {
        let vm = &self.vms[holder];
        let now = at(self.now);
        let order = vm.rollouts.orders().map(|(_, it)| it).next();
        let usable: Vec<_> = vm.table.usable(&self.service, now).collect();
        let new = usable.iter().filter(|(_, it)| it.entry.version.as_str() == "v2").count();
        let old = usable.len() - new;
        let reported = vm.rollouts.progress(&self.service).unwrap_or_default();
        let reachable = self.vms.iter();
        let reachable = reachable
            .filter(|it| self.now >= it.down_until && !is_partitioned(it, self.now))
            .count();
        next_record(&StepInput {
            now_ms: START_WALL_CLOCK_MS + self.now.cast_signed(),
            order,
            record: self.record.as_ref(),
            verdict: vm.rollouts.verdict(&self.service),
            has_engines: self.plan.has_engines,
            new_servers: new,
            needed_servers: old * 3 / 4,
            has_old_servers: old > 0,
            vms: PromotionProgress {
                vms: self.vms.len(),
                reachable,
                switched: reported.switched as usize
                    + usize::from(vm.rollouts.has_switched(&self.service, now)),
                old_in_flight: reported.old_in_flight,
            },
        })
    }

    fn write(&mut self, holder: usize, next: RolloutRecord) {
        if let Disturbance::StoreAnswersLost = self.plan.disturbance
            && self.rng.random::<f64>() < 0.5
        {
            // Half of these writes succeeded.
            self.read_back_at = self.now + 1_200;
            if self.rng.random::<bool>() {
                return;
            }
        }
        self.outcome.phases.push((self.now, next.phase));
        let judged = self.vms[holder].rollouts.comparison(&self.service);
        self.outcome.figures = format!("{:?}", judged.and_then(|it| it.judgement));
        self.record = Some(next.clone());
        self.vms[holder].rollouts.apply_record(&self.service, next.clone(), at(self.now));
        self.refresh(holder);
        self.publish_change(StoreChange::Record(next.clone()), self.now + WRITE_TIME_MS);
        if next.phase.is_final() {
            self.outcome.phase = Some(next.phase);
            self.outcome.final_at = Some(self.now + WRITE_TIME_MS);
            self.stop_servers(next.phase);
        }
    }

    fn stop_servers(&mut self, phase: Phase) {
        let is_completed = phase == Phase::Completed;
        let stops_at =
            self.now + if is_completed { WRITE_TIME_MS } else { NEW_SERVERS_STOP_DELAY_MS };
        for at in 0..self.servers.len() {
            if self.servers[at].is_new != is_completed {
                self.servers[at].stops_at = stops_at;
                self.publish_change(StoreChange::Removed(at), stops_at);
            }
        }
    }

    /// Decides as the naive baseline: a tenth of the traffic and a fixed threshold on failures.
    fn run_naive_holder(&mut self) {
        let Some(order) = &self.order else { return };
        if self.outcome.phase.is_some() {
            return;
        }
        let left = self.outcome.deadline.saturating_sub(self.now);
        let failed_fraction = self.outcome.bad as f64 / self.naive_sent.max(1) as f64;
        let phase = if self.naive_sent > 50 && failed_fraction > 0.1 {
            Phase::RolledBack(quincevalve_forwarding::rollout::record::RollbackCause::Failures)
        } else if left < 1_000 {
            Phase::Completed
        } else {
            return;
        };
        let record = RolloutRecord { phase, ..RolloutRecord::first(order, START_WALL_CLOCK_MS) };
        self.record = Some(record);
        self.outcome.phase = Some(phase);
        self.outcome.final_at = Some(self.now);
        self.stop_servers(phase);
    }

    fn end_runs(&mut self) {
        let now = self.now;
        for run_index in (0..self.runs.len()).rev() {
            let run = &mut self.runs[run_index];
            let server = &self.servers[run.server];
            let is_down = !server.is_up(now);
            if !run.first_recorded && now >= run.first_at && !is_down {
                run.first_recorded = true;
                let vm = &mut self.vms[run.vm];
                if let Some(tracking_id) = run.tracking_id {
                    if !run.fails {
                        vm.rollouts.add_first_part(tracking_id, at(now));
                    }
                    let sample = if run.fails { Sample::Failed } else { Sample::Succeeded };
                    vm.rollouts.add_sample(tracking_id, sample, at(now));
                }
            }
            if is_down || now >= run.ends {
                let stopped = server.stops_at <= now && !server.is_new && now < run.ends;
                if is_down && stopped {
                    self.outcome.truncated += 1;
                }
                self.remove_run(run_index);
                continue;
            }
            self.migrate_run(run_index);
        }
    }

    fn remove_run(&mut self, run_index: usize) {
        let run = self.runs.swap_remove(run_index);
        let server = &mut self.servers[run.server];
        server.running = server.running.saturating_sub(1);
        let vm = &mut self.vms[run.vm];
        if let Some(tracking_id) = run.tracking_id {
            vm.rollouts.stop_tracking(tracking_id);
        }
        if let Some(it) = vm.table.get_mut(&self.servers[run.server].name, START) {
            it.load.remove_request(run.work);
        }
    }

    /// Migrates a stream away from a server that is expected to stop.
    fn migrate_run(&mut self, run_index: usize) {
        let run = &self.runs[run_index];
        if !run.is_stream || self.servers[run.server].is_new || self.now < run.first_at {
            return;
        }
        let version = "v1".into();
        let vm = &self.vms[run.vm];
        let Some(expected_stop) = vm.rollouts.expected_stop(&self.service, &version) else {
            return;
        };
        let is_due = expected_stop <= at(self.now + MIGRATION_LEAD_MS);
        if !is_due {
            return;
        }
        let (vm, vm_start, ends, work) = (run.vm, run.vm_start, run.ends, run.work);
        let choice = self.vms[vm].rollouts.choice_for_retry(&self.service);
        let Some(to) = self.pick(vm, &choice) else { return };
        self.remove_run(run_index);
        if self.rng.random::<f64>() > MIGRATION_SUCCESS_RATE {
            return;
        }
        self.count_exposed(vm, to);
        self.vms[vm].rollouts.record_sent(&self.service, &version_of(self.servers[to].is_new));
        self.begin(vm, to, work);
        self.runs.push(Run {
            vm,
            vm_start,
            server: to,
            tracking_id: None,
            first_at: self.now,
            ends,
            fails: false,
            is_stream: true,
            first_recorded: true,
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

    fn count_exposed(&mut self, vm: usize, server: usize) {
        if !self.servers[server].is_new {
            return;
        }
        let has_contact = self.vms[vm].last_disturbed_at + MIN_CONTACT_MS < self.now
            || self.vms[vm].last_disturbed_at == 0;
        let is_counted = self.now >= self.plan.order_at && self.now <= self.outcome.deadline;
        if has_contact && is_counted {
            self.outcome.exposed += 1;
        }
        if has_contact {
            self.outcome.last_sent = self.now;
        }
    }

    /// Sends the callers' requests of this step.
    fn send_requests(&mut self) {
        let routes = self.plan.routes.clone();
        for (route_index, route) in routes.iter().enumerate() {
            let mut left = route.rate / 100.0;
            while left > 0.0 {
                if self.rng.random::<f64>() < left.min(1.0) {
                    self.send_request(route_index);
                }
                left -= 1.0;
            }
        }
    }

    fn send_request(&mut self, route_index: usize) {
        let vm = self.rng.random_range(0..self.vms.len());
        if self.now < self.vms[vm].down_until {
            return;
        }
        let route = self.plan.routes[route_index].clone();
        if self.now >= self.plan.order_at && self.now <= self.outcome.deadline {
            self.outcome.requests += 1;
        }
        let draw = self.rng.random();
        let key = RouteKey::of(route.name);
        let now = at(self.now);
        let choice = if self.plan.guarded {
            self.vms[vm].rollouts.choose(&self.service, key, draw, now)
        } else {
            self.naive_choice(draw)
        };
        let Some(server) = self.pick(vm, &choice) else {
            self.outcome.rejected += 1;
            return;
        };
        let is_new = self.servers[server].is_new;
        self.vms[vm].rollouts.record_sent(&self.service, &version_of(is_new));
        self.count_exposed(vm, server);
        if is_new {
            self.naive_sent += 1;
        }
        if !self.servers[server].is_up(self.now) {
            return;
        }
        self.run(vm, server, route_index);
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

    fn run(&mut self, vm: usize, server: usize, route_index: usize) {
        let route = self.plan.routes[route_index].clone();
        let server_state = &self.servers[server];
        let load = f64::from(server_state.running) / self.plan.slots();
        let noise = (LOG_TIME_DEVIATION * normal(&mut self.rng)).exp();
        let (bad_fails, bad_slow) = self.version_fault_effect(server, route_index, load);
        let slow = server_state.slow * bad_slow;
        let fails = 1.0
            - (1.0 - route.failure_rate)
                * (1.0 - server_state.fails)
                * (1.0 - bad_fails)
                * (1.0 - server_state.faulty_answer_rate);
        let fails = self.rng.random::<f64>() < fails;
        let expected = route.first_ms;
        let first = expected * noise * slow;
        let length = if route.is_stream && !fails {
            route.length_ms * (0.6 * normal(&mut self.rng)).exp() * slow
        } else {
            0.0
        };
        let is_bad = server_state.is_new && (fails && bad_fails > 0.0 || bad_slow > 1.0);
        if is_bad {
            self.outcome.bad += 1;
            if self.outcome.bad == 50 {
                self.outcome.fiftieth_at = Some(self.now + first as u64);
            }
        }
        let name = self.servers[server].name.clone();
        let version = version_of(self.servers[server].is_new);
        let attempt = TrackedAttempt {
            service: &self.service,
            route: RouteKey::of(route.name),
            version: &version,
            server: start_hash(&name, START),
            expected: Some(Duration::from_secs_f64(expected / 1_000.0)),
        };
        let tracking_id = self.vms[vm].rollouts.start_tracking(attempt, at(self.now));
        let work = Work { prefill: 100, memory: 100, output: 50, urgency: 1 };
        self.begin(vm, server, work);
        self.runs.push(Run {
            vm,
            vm_start: self.vms[vm].starts,
            server,
            tracking_id,
            first_at: self.now + first as u64,
            ends: self.now + (first + length) as u64,
            fails,
            is_stream: route.is_stream,
            first_recorded: false,
            work,
        });
    }

    /// Returns the failure rate and the slowdown that a server's version causes.
    fn version_fault_effect(&self, server: usize, route_index: usize, load: f64) -> (f64, f64) {
        if !self.servers[server].is_new {
            return (0.0, 1.0);
        }
        let Some(VersionFault { onset, failure_rate, slowdown }) = self.plan.version_fault else {
            return (0.0, 1.0);
        };
        let served = self.now.saturating_sub(self.servers[server].listed_at);
        let shows = match onset {
            FaultOnset::Immediate => true,
            FaultOnset::Late => served >= 5_000,
            FaultOnset::UnderLoad => load > USUAL_LOAD / 2.0,
            FaultOnset::OneRoute => route_index == 0,
        };
        if shows { (failure_rate, slowdown) } else { (0.0, 1.0) }
    }
}

const START: ServerStart = ServerStart(1);

fn new_vm(plan: &Plan, starts: u32) -> Vm {
    Vm {
        rollouts: RolloutTable::new(SharedLimit { ratio: plan.share, slack: plan.slack }),
        table: ServerTable::default(),
        starts,
        down_until: 0,
        partitions: Vec::new(),
        last_disturbed_at: 0,
        inbox: VecDeque::new(),
        reported: VecDeque::new(),
    }
}

fn is_partitioned(vm: &Vm, now: u64) -> bool {
    vm.partitions.iter().any(|(from, to)| (*from..*to).contains(&now))
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

/// Returns a value of the standard normal distribution.
fn normal(rng: &mut Pcg64Mcg) -> f64 {
    let radius = (-2.0 * rng.random::<f64>().max(1e-12).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

impl Plan {
    /// Returns the number of requests that a server runs at once at most, so that old servers have their usual load.
    fn slots(&self) -> f64 {
        let running: f64 = self.routes.iter().map(crate::plan::Traffic::running).sum();
        (running / self.old_servers as f64 / USUAL_LOAD).max(1.0)
    }
}

/// Returns the name of an outcome in the printed table.
pub(crate) fn verdict_name(outcome: &Outcome) -> &'static str {
    match outcome.phase {
        Some(Phase::Completed) => "completed",
        Some(Phase::RolledBack(cause)) => cause.name(),
        Some(Phase::Canary | Phase::Promoting) | None => "open",
    }
}

/// Counts of outcomes by name.
pub(crate) type Counts = IndexMap<&'static str, usize>;
