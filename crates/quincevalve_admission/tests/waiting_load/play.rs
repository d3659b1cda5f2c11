//! A load on engines in virtual time: entry VMs with the real placement, and engines that process what they are sent.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use quincevalve_admission::{
    AccountIndex, ServerShare, Ticket, Urgency, WaitRefusalCause, WaitingQueue, WaitingRequest,
    WaitingSettings,
};
use quincevalve_forwarding::{
    config::Engine,
    load::{WorkSum, step_ms},
    placement::{Placement, PlacementError, PlacementRequest, Prompt},
    servers::{ServerEntry, ServerStart, ServerTable},
};
use quincevalve_names::{BackendServerName, DataCentreName, ServiceName, TimePoint};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub(crate) const SLOTS: u32 = 32;
/// Slots of an engine that placement fills.
pub(crate) const USABLE_SLOTS: u32 = 29;
const KV_TOKENS: u64 = 633_588;
const PROMPT_TOKENS_PER_MS: f64 = 95.0;
const TICK_MS: u64 = 12;
/// Interval of the exchange of loads between VMs, and how old a load is when it arrives.
const DIGEST_MS: u64 = 60;
const DIGEST_DELAY_MS: u64 = 120;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) urgency: u8,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) objective_ms: u64,
    pub(crate) timeout_ms: u64,
    /// Fraction of the requests.
    pub(crate) share: f64,
}

/// Who decides about requests that find no server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    Queue,
    /// Each request tries every 12 ms for an eighth of its objective.
    Polling,
}

#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) seed: u64,
    pub(crate) vms: usize,
    pub(crate) servers: usize,
    pub(crate) kinds: Vec<Kind>,
    /// Relative demand of each account.
    pub(crate) accounts: Vec<f64>,
    /// Requests a second, from the given millisecond on.
    pub(crate) rates: Vec<(u64, f64)>,
    pub(crate) length_ms: u64,
    pub(crate) policy: Policy,
    /// Servers that crash at the given millisecond.
    pub(crate) crashes: Vec<(u64, usize)>,
    /// Servers that start only at the given millisecond.
    pub(crate) joins: Vec<(u64, usize)>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum End {
    /// The first answer came.
    Answered {
        first_ms: u64,
    },
    Refused {
        at_ms: u64,
        cause: Option<WaitRefusalCause>,
        retry_after: Duration,
    },
    Lost,
}

#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) kind: Kind,
    pub(crate) account: usize,
    pub(crate) arrived_ms: u64,
    pub(crate) started_ms: Option<u64>,
    pub(crate) waited: bool,
    pub(crate) end: Option<End>,
    /// The last two predictions of the latest start.
    pub(crate) bounds: [u64; 2],
}

impl Request {
    /// Returns the latest time at which the request may still wait. A prediction that has just grown may have moved it
    /// into the past, so the later of the last two counts.
    pub(crate) fn bound(&self) -> u64 {
        let [before, last] = self.bounds;
        if before == u64::MAX { last } else { before.max(last) }
    }

    pub(crate) fn is_on_time(&self) -> bool {
        matches!(self.end, Some(End::Answered { first_ms })
            if first_ms <= self.arrived_ms + self.kind.objective_ms)
    }
}

/// What a play shows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) requests: Vec<Request>,
    /// Starts out of a queue.
    pub(crate) queue_starts: u32,
    /// Starts out of a queue while a more urgent request waited that the same server could take.
    pub(crate) overtakings: u32,
    /// Milliseconds in which a request waited, and the slots in use in these.
    pub(crate) waiting_ms: u64,
    pub(crate) busy_slots: u64,
    pub(crate) longest_queue: usize,
    /// Most requests that one server held.
    pub(crate) most_runs: usize,
}

struct Vm {
    table: ServerTable,
    rng: Pcg64Mcg,
    queue: WaitingQueue,
    share: ServerShare<BackendServerName>,
    /// Requests that poll, with the time of the next attempt.
    polling: Vec<(usize, u64)>,
    has_capacity_news: bool,
}

#[derive(Clone, Debug)]
struct Run {
    request: usize,
    vm: usize,
    placement: Placement,
    sent_ms: u64,
    /// Whether the engine has given it a slot.
    has_slot: bool,
    prompt_left: f64,
    first_ms: Option<u64>,
    ends_ms: u64,
}

pub(crate) struct Play {
    load: Load,
    service: ServiceName,
    data_centre: DataCentreName,
    vms: Vec<Vm>,
    names: IndexSet<BackendServerName>,
    runs: Vec<Vec<Run>>,
    crashed: Vec<bool>,
    outcome: Outcome,
    digests: Vec<(u64, Vec<IndexMap<u64, WorkSum>>)>,
}

fn time(ms: u64) -> TimePoint {
    TimePoint::from_millis(ms)
}

impl Play {
    pub(crate) fn new(load: Load) -> Self {
        let names: IndexSet<BackendServerName> =
            (0..load.servers).map(|it| format!("server-{it}").as_str().into()).collect();
        let vms = (0..load.vms).map(|at| {
            let mut table = ServerTable::default();
            for (at, name) in names.iter().enumerate() {
                if load.joins.iter().all(|it| it.1 != at) {
                    table.apply_entry(name, entry(), TimePoint::ZERO);
                }
            }
            Vm {
                table,
                rng: Pcg64Mcg::seed_from_u64(load.seed * 100 + at as u64),
                queue: WaitingQueue::new(WaitingSettings::default()),
                share: ServerShare::default(),
                polling: Vec::new(),
                has_capacity_news: false,
            }
        });
        Self {
            vms: vms.collect(),
            names,
            runs: vec![Vec::new(); load.servers],
            crashed: vec![false; load.servers],
            outcome: Outcome::default(),
            digests: Vec::new(),
            service: "engines".into(),
            data_centre: "a".into(),
            load,
        }
    }

    pub(crate) fn run(mut self) -> Outcome {
        let mut rng = Pcg64Mcg::seed_from_u64(self.load.seed);
        for now in 0..self.load.length_ms {
            for (_, server) in self.load.crashes.clone().into_iter().filter(|(at, _)| *at == now) {
                self.crash(server, now);
            }
            for (_, server) in self.load.joins.iter().filter(|(at, _)| *at == now) {
                for vm in &mut self.vms {
                    vm.table.apply_entry(&self.names[*server], entry(), time(now));
                    vm.has_capacity_news = true;
                }
            }
            self.step_servers(now);
            if now % DIGEST_MS == 0 {
                self.exchange_loads(now);
            }
            let rate = self.load.rates.iter().rev().find(|it| it.0 <= now).map_or(0.0, |it| it.1);
            let mut due = rate / 1_000.0;
            while rng.random::<f64>() < due.min(1.0) {
                due -= 1.0;
                self.arrive(now, &mut rng);
            }
            for vm in 0..self.vms.len() {
                self.poll(vm, now);
                let news = std::mem::take(&mut self.vms[vm].has_capacity_news);
                if !self.vms[vm].queue.is_empty() && (news || now % TICK_MS == 0) {
                    self.pass(vm, now);
                }
            }
            let waiting: usize = self.vms.iter().map(|it| it.queue.len()).sum();
            if waiting > 0 {
                self.outcome.waiting_ms += 1;
                let busy = |it: &Vec<Run>| (it.len() as u64).min(u64::from(USABLE_SLOTS));
                self.outcome.busy_slots += self.runs.iter().map(busy).sum::<u64>();
            }
            self.outcome.longest_queue = self.outcome.longest_queue.max(waiting);
        }
        self.outcome
    }

    fn arrive(&mut self, now: u64, rng: &mut Pcg64Mcg) {
        let mut draw = rng.random::<f64>();
        let kinds = self.load.kinds.iter();
        let kind = *kinds
            .clone()
            .find(|it| {
                draw -= it.share;
                draw < 0.0
            })
            .or(kinds.last())
            .expect("a kind");
        let total: f64 = self.load.accounts.iter().sum();
        let mut draw = rng.random::<f64>() * total;
        let account = self.load.accounts.iter().position(|it| {
            draw -= it;
            draw < 0.0
        });
        let vm = rng.random_range(0..self.vms.len());
        let number = self.outcome.requests.len();
        let account = account.unwrap_or_default();
        let request = Request {
            kind,
            account,
            arrived_ms: now,
            started_ms: None,
            waited: false,
            end: None,
            bounds: [u64::MAX; 2],
        };
        self.outcome.requests.push(request);
        let urgency = Urgency(kind.urgency);
        let placed = self.place(vm, number, false, now, &[]);
        if self.load.policy == Policy::Polling {
            match placed {
                Ok(placement) => self.start(vm, number, placement, now),
                Err(_) => self.vms[vm].polling.push((number, now + TICK_MS)),
            }
            return;
        }
        let may_start = self.vms[vm].queue.may_start_at_once(urgency);
        let predicted = match placed {
            Ok(placement) if may_start => {
                let index = AccountIndex(account as u32);
                self.vms[vm].queue.record_immediate_start(
                    time(now),
                    index,
                    urgency,
                    kind.prompt_tokens,
                );
                return self.start(vm, number, placement, now);
            }
            Ok(placement) => placement.predicted,
            Err(PlacementError::Busy { predicted }) => predicted,
            Err(error) => panic!("no such answer in this play: {error:?}"),
        };
        let request = WaitingRequest {
            ticket: Ticket(number as u64),
            account: AccountIndex(account as u32),
            urgency,
            objective_end: time(now + kind.objective_ms),
            deadline: time(now + kind.timeout_ms),
            required_time: predicted,
            prompt_tokens: kind.prompt_tokens,
        };
        let Vm { queue, rng, .. } = &mut self.vms[vm];
        let refusal = queue.arrive(time(now), &request, rng);
        self.outcome.requests[number].waited = true;
        self.note_bound(number, predicted);
        if let Some(refusal) = refusal {
            self.outcome.requests[number].end = Some(End::Refused {
                at_ms: now,
                cause: Some(refusal.cause),
                retry_after: refusal.retry_after,
            });
        } else {
            self.vms[vm].has_capacity_news = true;
        }
    }

    fn note_bound(&mut self, number: usize, predicted: Duration) {
        let request = &mut self.outcome.requests[number];
        let deadline = request.arrived_ms + request.kind.timeout_ms;
        let bound = deadline.saturating_sub(predicted.as_millis() as u64);
        request.bounds = [request.bounds[1], bound];
    }

    /// Tries to place a request; only at the one server that isn't in `others`, if there are any.
    fn place(
        &mut self,
        vm: usize,
        number: usize,
        is_late: bool,
        now: u64,
        others: &[BackendServerName],
    ) -> Result<Placement, PlacementError> {
        let request = &self.outcome.requests[number];
        let kind = request.kind;
        let elapsed = now - request.arrived_ms;
        let budget_ms = if is_late {
            kind.timeout_ms.saturating_sub(elapsed)
        } else {
            (kind.objective_ms * 85 / 100).saturating_sub(elapsed).max(kind.objective_ms / 4)
        };
        let prompt = Prompt {
            input: kind.prompt_tokens,
            max_output: kind.output_tokens,
            expected_output: Some(kind.output_tokens),
            shared: None,
        };
        let slots = self.vms[vm].queue.usable_slots(SLOTS, Urgency(kind.urgency));
        let engine = Engine { slots, kv_tokens: KV_TOKENS, supports_migration: false };
        let Vm { table, rng, .. } = &mut self.vms[vm];
        let request = PlacementRequest {
            service: &self.service,
            prompt: Some((prompt, engine)),
            urgency: kind.urgency,
            latency_budget: Duration::from_millis(budget_ms),
            data_centre: &self.data_centre,
            tried: others,
            scope: None,
            version: None,
            barred: &[],
        };
        table.place(&request, rng, time(now))
    }

    fn start(&mut self, vm: usize, number: usize, placement: Placement, now: u64) {
        let table = &mut self.vms[vm].table;
        if let Some(server) = table.get_mut(&placement.server, placement.start) {
            server.load.add_request(placement.work, time(now));
        }
        let request = &mut self.outcome.requests[number];
        request.started_ms = Some(now);
        let server = self.names.get_index_of(&placement.server).expect("a known server");
        let prompt_left = f64::from(request.kind.prompt_tokens);
        let run = Run {
            request: number,
            vm,
            placement,
            sent_ms: now,
            has_slot: false,
            prompt_left,
            first_ms: None,
            ends_ms: u64::MAX,
        };
        self.runs[server].push(run);
    }

    fn pass(&mut self, vm: usize, now: u64) {
        let Vm { queue, rng, .. } = &mut self.vms[vm];
        for refusal in queue.begin_pass(time(now), rng) {
            let request = &mut self.outcome.requests[refusal.ticket.0 as usize];
            request.end = Some(End::Refused {
                at_ms: now,
                cause: Some(refusal.cause),
                retry_after: refusal.retry_after,
            });
        }
        while let Some(candidate) = self.vms[vm].queue.next_candidate() {
            let number = candidate.ticket.0 as usize;
            let is_urgent = self.outcome.requests[number].kind.urgency == 0;
            let vms = self.vms.len();
            let used_up = if is_urgent {
                Vec::new()
            } else {
                self.vms[vm].share.used_up(time(now), SLOTS, vms)
            };
            match self.place(vm, number, candidate.is_late, now, &used_up) {
                Ok(placement) => {
                    self.vms[vm].share.record_start(time(now), placement.server.clone());
                    self.outcome.queue_starts += 1;
                    if self.overtakes(vm, number, &placement, now) {
                        self.outcome.overtakings += 1;
                    }
                    self.vms[vm].queue.record_placed(time(now), candidate.ticket);
                    self.start(vm, number, placement, now);
                }
                Err(PlacementError::Busy { predicted }) => {
                    self.note_bound(number, predicted);
                    self.vms[vm].queue.record_not_placed(candidate.ticket, predicted);
                }
                Err(_) if !used_up.is_empty() => {
                    self.vms[vm].queue.record_deferred(candidate.ticket);
                }
                Err(_) => {
                    self.vms[vm].queue.remove(candidate.ticket);
                    self.outcome.requests[number].end = Some(End::Lost);
                }
            }
        }
    }

    /// Returns whether a more urgent request waits that the server of `placement` could take.
    fn overtakes(&mut self, vm: usize, number: usize, placement: &Placement, now: u64) -> bool {
        let urgency = self.outcome.requests[number].kind.urgency;
        let others: Vec<_> =
            self.names.iter().filter(|it| **it != placement.server).cloned().collect();
        let more_urgent: Vec<_> = (0..self.outcome.requests.len())
            .filter(|it| {
                let other = &self.outcome.requests[*it];
                other.waited
                    && other.end.is_none()
                    && other.started_ms.is_none()
                    && other.kind.urgency < urgency
            })
            .collect();
        let mut vm_requests = more_urgent
            .into_iter()
            .filter(|it| self.vms[vm].queue.is_waiting(Ticket(*it as u64)))
            .collect::<Vec<_>>()
            .into_iter();
        vm_requests.any(|it| self.place(vm, it, false, now, &others).is_ok())
    }

    fn poll(&mut self, vm: usize, now: u64) {
        let polling = std::mem::take(&mut self.vms[vm].polling);
        for (number, next) in polling {
            if next > now {
                self.vms[vm].polling.push((number, next));
                continue;
            }
            let request = &self.outcome.requests[number];
            let wait_end = request.arrived_ms + request.kind.objective_ms / 8;
            match self.place(vm, number, false, now, &[]) {
                Ok(placement) => self.start(vm, number, placement, now),
                Err(_) if now + TICK_MS >= wait_end => {
                    let retry_after = Duration::from_millis(200);
                    let end = End::Refused { at_ms: now, cause: None, retry_after };
                    self.outcome.requests[number].end = Some(end);
                }
                Err(_) => self.vms[vm].polling.push((number, now + TICK_MS)),
            }
        }
    }

    fn step_servers(&mut self, now: u64) {
        for server in 0..self.runs.len() {
            if self.crashed[server] {
                continue;
            }
            self.give_slots(server);
            self.outcome.most_runs = self.outcome.most_runs.max(self.runs[server].len());
            let mut budget = PROMPT_TOKENS_PER_MS;
            while budget > 0.0 {
                let runs = self.runs[server].iter_mut();
                let pending = runs.filter(|it| it.has_slot && it.prompt_left > 0.0);
                let next = pending
                    .min_by_key(|it| (self.outcome.requests[it.request].kind.urgency, it.sent_ms));
                let Some(run) = next else { break };
                let done = run.prompt_left.min(budget);
                run.prompt_left -= done;
                budget -= done;
            }
            let batch = self.runs[server].len().min(SLOTS as usize) as u32;
            let mut ended = Vec::new();
            for (at, run) in self.runs[server].iter_mut().enumerate() {
                if !run.has_slot {
                    continue;
                }
                let table = &mut self.vms[run.vm].table;
                let known = table.get_mut(&run.placement.server, run.placement.start);
                let request = &mut self.outcome.requests[run.request];
                if run.prompt_left <= 0.0 && run.first_ms.is_none() {
                    let first_ms = now + FIRST_TOKEN_MS;
                    run.first_ms = Some(first_ms);
                    let output = f64::from(request.kind.output_tokens);
                    run.ends_ms = first_ms + (output * step_ms(batch)) as u64;
                    request.end = Some(End::Answered { first_ms });
                    if let Some(known) = known {
                        known.load.complete_prefill(run.placement.work);
                        let took = Duration::from_millis(first_ms - run.sent_ms);
                        known.load.record_answer(took, run.placement.predicted);
                    }
                    self.vms[run.vm].has_capacity_news = true;
                } else if now >= run.ends_ms {
                    if let Some(known) = known {
                        known.load.remove_request(run.placement.work);
                    }
                    self.vms[run.vm].has_capacity_news = true;
                    ended.push(at);
                }
            }
            for at in ended.into_iter().rev() {
                self.runs[server].remove(at);
            }
        }
    }

    /// Gives free slots to requests in order of urgency, as engines do.
    fn give_slots(&mut self, server: usize) {
        let requests = &self.outcome.requests;
        let runs = &mut self.runs[server];
        let mut free =
            (SLOTS as usize).saturating_sub(runs.iter().filter(|it| it.has_slot).count());
        while free > 0 {
            let queued = runs.iter_mut().filter(|it| !it.has_slot);
            let next = queued.min_by_key(|it| (requests[it.request].kind.urgency, it.sent_ms));
            let Some(next) = next else { return };
            next.has_slot = true;
            free -= 1;
        }
    }

    fn crash(&mut self, server: usize, now: u64) {
        self.crashed[server] = true;
        let name = self.names[server].clone();
        for run in std::mem::take(&mut self.runs[server]) {
            let request = &mut self.outcome.requests[run.request];
            request.end.get_or_insert(End::Lost);
        }
        for vm in &mut self.vms {
            vm.table.remove_entry(&name, time(now));
            vm.has_capacity_news = true;
        }
    }

    fn exchange_loads(&mut self, now: u64) {
        let own = self.vms.iter().map(|it| it.table.own_work(time(now))).collect();
        self.digests.push((now + DIGEST_DELAY_MS, own));
        if self.digests[0].0 > now {
            return;
        }
        let (_, own) = self.digests.remove(0);
        for (at, vm) in self.vms.iter_mut().enumerate() {
            let mut sum: IndexMap<u64, WorkSum> = IndexMap::new();
            for work in own.iter().enumerate().filter(|(other, _)| *other != at).map(|it| it.1) {
                for (server, work) in work {
                    let total = sum.entry(*server).or_default();
                    *total = total.plus(*work);
                }
            }
            vm.table.set_peer_work(&sum, time(now));
            vm.has_capacity_news = true;
        }
    }
}

/// Time from the end of a prompt's processing to the first event.
const FIRST_TOKEN_MS: u64 = 30;

fn entry() -> ServerEntry {
    ServerEntry {
        start: ServerStart(1),
        service: "engines".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "a".into(),
        version: "v1".into(),
        slots: SLOTS,
        is_cold: false,
        draining: false,
        reclaimable: false,
        leaves_in: None,
    }
}
