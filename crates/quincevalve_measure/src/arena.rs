//! Simulates routers in front of engine models in virtual time, for the routing, recovery and cost experiments.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use quincevalve_names::{RequestId, Sequence, TimePoint};
use quincevalve_recovery::{
    Continuation, ContinuationOptions, MigrationCosts, SourceState, StreamState,
    choose_continuation, migration_time,
};
use quincevalve_routing::{
    LeavingEvidence, LoadReport, NoServer, Policy, Router, RoutingRequest, ServerIndex, ServerSpec,
    Target, Urgency,
};
use quincevalve_standins::{EngineModel, EngineSpeed, Job, ModelOutput};
use rustc_hash::FxHashMap;

use crate::workload::{Kind, Mix, Question};

/// Configuration of one simulated fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) servers: u32,
    pub(crate) routers: u32,
    pub(crate) speed: EngineSpeed,
    /// Whether the engines schedule interactive requests before bulk requests.
    pub(crate) priorities: bool,
    /// Age of a load report when a router receives it; `None` disables load reports.
    pub(crate) report_lag: Option<Duration>,
    /// A reclaim wave during the run, if any.
    pub(crate) wave: Option<Wave>,
}

/// A reclaim wave: a fraction of the servers is removed at the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wave {
    pub(crate) at: TimePoint,
    pub(crate) share: f64,
    pub(crate) notice: Duration,
    /// Whether continuation options are compared by cost. The naive version restarts a request from the beginning once
    /// its server is removed.
    pub(crate) compares_continuations: bool,
}

/// The result of one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) kind: usize,
    pub(crate) first: Option<Duration>,
    pub(crate) end: Option<Duration>,
}

/// The result of one simulated run.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) outcomes: Vec<Outcome>,
    /// Prompt and answer tokens that were computed more than once.
    pub(crate) recomputed: u64,
    pub(crate) prefilled: u64,
    pub(crate) moved: u32,
    /// Ratio of the largest server load to the mean load, averaged over samples.
    pub(crate) imbalance: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    /// A deferred bulk request is dispatched again.
    RetryBulk {
        question: usize,
        router: usize,
        from: u32,
        imported: u32,
    },
    Report,
    Engine(u32),
    Notice,
    /// The KV cache of one answer has been transferred to another server.
    CacheMigrated(usize),
    ServersRemoved,
}

struct Flight {
    question: usize,
    router: usize,
    server: ServerIndex,
    tokens: u32,
    prompt_done: bool,
}

struct Arena<'a, P> {
    setup: Setup,
    mix: &'a Mix,
    questions: &'a [Question],
    pool: Target,
    routers: Vec<Router<P>>,
    engines: Vec<EngineModel>,
    alive: Vec<bool>,
    /// Time of each engine's next scheduled event; prevents scheduling the same event twice.
    scheduled: Vec<Option<TimePoint>>,
    flights: FxHashMap<RequestId, Flight>,
    queue: BinaryHeap<Reverse<(TimePoint, Event)>>,
    run: Run,
    imbalance: (f64, u32),
    reports: Vec<Vec<LoadReport>>,
}

/// Runs all questions through a simulated fleet.
pub(crate) fn run<P>(setup: Setup, mix: &Mix, questions: &[Question], policy: P, seed: u64) -> Run
where
    P: Policy + Clone,
{
    let mut arena = Arena::new(setup, mix, questions, policy, seed);
    arena.run();
    arena.run.imbalance = arena.imbalance.0 / f64::from(arena.imbalance.1.max(1));
    arena.run
}

impl<'a, P> Arena<'a, P>
where
    P: Policy + Clone,
{
    fn new(setup: Setup, mix: &'a Mix, questions: &'a [Question], policy: P, seed: u64) -> Self {
        let pool = Target::Model("model".into());
        let mut routers = Vec::new();
        for number in 0..setup.routers {
            let mut router = Router::new(policy.clone(), seed + u64::from(number));
            router.set_routers(setup.routers);
            for server in 0..setup.servers {
                router.upsert(spec(server, &pool, &setup.speed));
            }
            routers.push(router);
        }
        let outcomes = questions.iter().map(|it| Outcome { kind: it.kind, first: None, end: None });
        let run = Run {
            outcomes: outcomes.collect(),
            recomputed: 0,
            prefilled: 0,
            moved: 0,
            imbalance: 0.0,
        };
        let mut arena = Self {
            setup,
            mix,
            questions,
            pool,
            routers,
            engines: (0..setup.servers).map(|_| EngineModel::new(setup.speed)).collect(),
            alive: vec![true; setup.servers as usize],
            scheduled: vec![None; setup.servers as usize],
            flights: FxHashMap::default(),
            queue: BinaryHeap::new(),
            run,
            imbalance: (0.0, 0),
            reports: Vec::new(),
        };
        arena.schedule();
        arena
    }

    fn schedule(&mut self) {
        for (at, question) in self.questions.iter().enumerate() {
            self.queue.push(Reverse((question.at, Event::Arrive(at))));
        }
        self.queue.push(Reverse((TimePoint::from_millis(REPORT_INTERVAL_MS), Event::Report)));
        if let Some(wave) = self.setup.wave {
            self.queue.push(Reverse((wave.at, Event::Notice)));
            self.queue.push(Reverse((wave.at + wave.notice, Event::ServersRemoved)));
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((now, event))) = self.queue.pop() {
            match event {
                Event::Arrive(question) => self.arrive(now, question),
                Event::RetryBulk { question, router, from, imported } => {
                    self.dispatch(now, question, router, from, imported);
                }
                Event::Report => self.report(now),
                Event::Engine(server) => self.advance(now, server as usize),
                Event::Notice => self.notice(now),
                Event::CacheMigrated(question) => self.receive_migrated_cache(now, question),
                Event::ServersRemoved => self.remove_reclaimed_servers(now),
            }
        }
    }

    fn kind(&self, question: usize) -> &'a Kind {
        &self.mix.kinds[self.questions[question].kind]
    }

    fn arrive(&mut self, now: TimePoint, question: usize) {
        let router = question % self.routers.len();
        self.dispatch(now, question, router, 0, 0);
    }

    /// Sends a request, or the remainder of a partly generated answer, to a server.
    fn dispatch(
        &mut self,
        now: TimePoint,
        question: usize,
        router: usize,
        from: u32,
        imported: u32,
    ) {
        let facts = self.kind(question);
        let asked = &self.questions[question];
        let prompt = facts.prefix_tokens + facts.own_tokens;
        let ask = RoutingRequest {
            now,
            pool: &self.pool,
            data_centre: &DATA_CENTRE.into(),
            prefix: asked.prefix,
            prompt_tokens: prompt + from,
            urgency: if facts.interactive { Urgency::Interactive } else { Urgency::Bulk },
            tried: &[],
        };
        let choice = match self.routers[router].choose(&ask) {
            Ok(choice) => choice,
            Err(NoServer::Busy) => {
                let later = Event::RetryBulk { question, router, from, imported };
                return self.queue.push(Reverse((now + BULK_RETRY_DELAY, later)));
            }
            Err(_) => return,
        };
        self.routers[router].record_sent(now, choice.server, asked.prefix, prompt + from);
        let job = Job {
            id: asked.id,
            prefix: asked.prefix,
            prefix_tokens: facts.prefix_tokens,
            context_tokens: prompt + from,
            imported_tokens: imported,
            first_token: Sequence(from),
            total_tokens: asked.answer_tokens,
            priority: u8::from(self.setup.priorities && facts.interactive),
        };
        let server = choice.server;
        let flight = Flight { question, router, server, tokens: from, prompt_done: false };
        self.flights.insert(asked.id, flight);
        let mut outputs = Vec::new();
        self.engines[server.0 as usize].submit(now, job, &mut outputs);
        self.handle_engine_outputs(now, server.0 as usize, &outputs);
    }

    fn advance(&mut self, now: TimePoint, server: usize) {
        if self.scheduled[server] != Some(now) || !self.alive[server] {
            return;
        }
        self.scheduled[server] = None;
        let mut outputs = Vec::new();
        self.engines[server].advance(now, &mut outputs);
        self.handle_engine_outputs(now, server, &outputs);
    }

    fn handle_engine_outputs(&mut self, now: TimePoint, server: usize, outputs: &[ModelOutput]) {
        for output in outputs {
            match *output {
                ModelOutput::Token { id, seq } => self.token(now, id, seq),
                ModelOutput::End { id, .. } => self.ended(now, id),
                ModelOutput::Prefilled { id, computed } => self.prefilled(id, computed),
                ModelOutput::Cache { prefix, holds } => {
                    let index = ServerIndex(server as u32);
                    for router in &mut self.routers {
                        router.update_cache_hint(index, prefix, holds);
                    }
                }
            }
        }
        let Some(next) = self.engines[server].next_event().map(|it| it.max(now)) else { return };
        if self.scheduled[server].is_none_or(|it| next < it) {
            self.scheduled[server] = Some(next);
            self.queue.push(Reverse((next, Event::Engine(server as u32))));
        }
    }

    fn prefilled(&mut self, id: RequestId, computed: u32) {
        self.run.prefilled += u64::from(computed);
        let Some(flight) = self.flights.get(&id) else { return };
        let begun = self.run.outcomes[flight.question].first.is_some();
        if begun {
            self.run.recomputed += u64::from(computed);
        }
    }

    fn token(&mut self, now: TimePoint, id: RequestId, seq: Sequence) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.tokens = flight.tokens.max(seq.0 + 1);
        if !flight.prompt_done {
            flight.prompt_done = true;
            let facts = &self.mix.kinds[self.questions[flight.question].kind];
            let prompt = facts.prefix_tokens + facts.own_tokens;
            self.routers[flight.router].record_prefill_finished(flight.server, prompt);
        }
        let outcome = &mut self.run.outcomes[flight.question];
        let began = self.questions[flight.question].at;
        outcome.first.get_or_insert(now - began);
    }

    fn ended(&mut self, now: TimePoint, id: RequestId) {
        let Some(flight) = self.flights.remove(&id) else { return };
        let began = self.questions[flight.question].at;
        self.run.outcomes[flight.question].end = Some(now - began);
        let router = &mut self.routers[flight.router];
        router.record_finished(flight.server);
        if !flight.prompt_done {
            let facts = &self.mix.kinds[self.questions[flight.question].kind];
            router.record_prefill_finished(flight.server, facts.prefix_tokens + facts.own_tokens);
        }
    }

    fn report(&mut self, now: TimePoint) {
        let loads: Vec<_> = self
            .engines
            .iter()
            .map(|it| LoadReport {
                at: now,
                running: it.running() + it.waiting(),
                queued_tokens: it.queued_tokens(now),
            })
            .collect();
        let live =
            loads.iter().zip(&self.alive).filter(|it| *it.1).map(|it| f64::from(it.0.running));
        let (sum, max, count) =
            live.fold((0.0, 0.0_f64, 0.0), |sum, it| (sum.0 + it, sum.1.max(it), sum.2 + 1.0));
        if sum > 0.0 {
            self.imbalance.0 += max / (sum / count);
            self.imbalance.1 += 1;
        }
        if let Some(lag) = self.setup.report_lag {
            self.reports.push(loads);
            let rounds = (lag.as_millis() as u64 / REPORT_INTERVAL_MS) as usize;
            if self.reports.len() > rounds {
                let due = self.reports.remove(0);
                for router in &mut self.routers {
                    for (server, load) in due.iter().enumerate() {
                        router.update_load(ServerIndex(server as u32), *load);
                    }
                }
            }
        }
        if !self.queue.is_empty() {
            self.queue
                .push(Reverse((now + Duration::from_millis(REPORT_INTERVAL_MS), Event::Report)));
        }
        // The run ends when only the periodic load report is left in the queue.
        if self.queue.len() == 1 && self.flights.is_empty() {
            self.queue.clear();
        }
    }

    fn reclaimed_servers(&self) -> std::ops::Range<u32> {
        let share = self.setup.wave.map_or(0.0, |it| it.share);
        0..(f64::from(self.setup.servers) * share).round() as u32
    }

    fn notice(&mut self, now: TimePoint) {
        let Some(wave) = self.setup.wave.filter(|it| it.compares_continuations) else { return };
        for server in self.reclaimed_servers() {
            for router in &mut self.routers {
                router.mark_leaving(ServerIndex(server), None, LeavingEvidence::Notice);
            }
        }
        // One server transfers its caches sequentially, so each transfer waits for those queued before it.
        let mut ahead: FxHashMap<ServerIndex, u32> = FxHashMap::default();
        for id in self.requests_on_reclaimed_servers() {
            let Some(server) = self.flights.get(&id).map(|it| it.server) else { continue };
            let ahead = ahead.entry(server).or_default();
            *ahead += self.continue_request(now, id, Some(wave.notice), *ahead);
        }
    }

    fn receive_migrated_cache(&mut self, now: TimePoint, question: usize) {
        let id = self.questions[question].id;
        let Some(flight) = self.flights.get(&id) else { return };
        let facts = self.kind(question);
        let context = facts.prefix_tokens + facts.own_tokens + flight.tokens;
        self.continue_elsewhere(now, id, context);
    }

    fn requests_on_reclaimed_servers(&self) -> Vec<RequestId> {
        let wave = self.reclaimed_servers();
        let mut ids: Vec<_> = self
            .flights
            .iter()
            .filter(|it| wave.contains(&it.1.server.0))
            .map(|it| *it.0)
            .collect();
        ids.sort_unstable();
        ids
    }

    /// Chooses and applies a continuation for one answer; returns the number of context tokens it migrates.
    fn continue_request(
        &mut self,
        now: TimePoint,
        id: RequestId,
        left: Option<Duration>,
        ahead: u32,
    ) -> u32 {
        let Some(flight) = self.flights.get(&id) else { return 0 };
        let facts = self.kind(flight.question);
        let asked = &self.questions[flight.question];
        let holder = self.routers[flight.router].prefix_holder(now, asked.prefix);
        let options = ContinuationOptions {
            source: if left.is_some() { SourceState::Answers } else { SourceState::Silent },
            stream: StreamState::Closed,
            copy_held: false,
            may_recompute: true,
            time_until_shutdown: left,
            prefix_held: holder.is_some(),
            prompt_tokens: facts.prefix_tokens + facts.own_tokens,
            answer_tokens: flight.tokens,
            queued_migration_tokens: ahead,
            remaining_tokens: facts.answer_tokens * 3 / 2 - flight.tokens.min(facts.answer_tokens),
            token_time: self.setup.speed.token_time,
        };
        let way = choose_continuation(&options, &MigrationCosts::default());
        let context = options.prompt_tokens + flight.tokens;
        match way {
            Continuation::Finish
            | Continuation::Resume
            | Continuation::KeepReading
            | Continuation::Abort => return 0,
            Continuation::MigrateCache => {
                let arrives = now + migration_time(&options, &MigrationCosts::default());
                self.queue.push(Reverse((arrives, Event::CacheMigrated(flight.question))));
                return context;
            }
            Continuation::PrefixHolder
            | Continuation::Recompute
            | Continuation::Migrated
            | Continuation::Stopped
            | Continuation::Copy => {
                self.continue_elsewhere(now, id, 0);
            }
        }
        0
    }

    fn continue_elsewhere(&mut self, now: TimePoint, id: RequestId, imported: u32) {
        let Some(flight) = self.flights.remove(&id) else { return };
        self.run.moved += 1;
        let server = flight.server.0 as usize;
        self.routers[flight.router].record_finished(flight.server);
        let mut outputs = Vec::new();
        self.engines[server].cancel(now, id, &mut outputs);
        self.handle_engine_outputs(now, server, &outputs);
        self.dispatch(now, flight.question, flight.router, flight.tokens, imported);
    }

    fn remove_reclaimed_servers(&mut self, now: TimePoint) {
        let Some(wave) = self.setup.wave else { return };
        for server in self.reclaimed_servers() {
            self.alive[server as usize] = false;
            for router in &mut self.routers {
                router.mark_leaving(ServerIndex(server), None, LeavingEvidence::VmList);
            }
        }
        for id in self.requests_on_reclaimed_servers() {
            if wave.compares_continuations {
                self.continue_request(now, id, None, 0);
            } else {
                self.restart_request(now, id);
            }
        }
    }

    /// Restarts the whole request from the beginning (the naive version).
    fn restart_request(&mut self, now: TimePoint, id: RequestId) {
        let Some(flight) = self.flights.remove(&id) else { return };
        self.run.moved += 1;
        self.routers[flight.router].record_finished(flight.server);
        // Tokens that the caller already received are generated again.
        self.run.recomputed += u64::from(flight.tokens);
        self.dispatch(now, flight.question, flight.router, 0, 0);
    }
}

fn spec(server: u32, pool: &Target, speed: &EngineSpeed) -> ServerSpec {
    ServerSpec {
        name: format!("server-{server}").as_str().into(),
        data_centre: DATA_CENTRE.into(),
        target: pool.clone(),
        slots: speed.slots,
        prefill_tokens_per_s: speed.prefill_tokens_per_s,
        token_time: speed.token_time,
        reclaimable: true,
        drained: false,
    }
}

const DATA_CENTRE: &str = "one";
const REPORT_INTERVAL_MS: u64 = 250;
/// Delay before a deferred bulk request is dispatched again.
const BULK_RETRY_DELAY: Duration = Duration::from_millis(200);
