//! Routers before engine models in virtual time: what routing, recovery and cost are measured on.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use quincevalve_names::{RequestId, Sequence, TimePoint};
use quincevalve_recovery::{
    Continuation, ContinuationOptions, MigrationCosts, choose_continuation, migration_time,
};
use quincevalve_routing::{
    LeavingEvidence, LoadReport, NoServer, Policy, Router, RoutingRequest, ServerIndex, ServerSpec,
    Target, Urgency,
};
use quincevalve_standins::{EngineModel, EngineSpeed, Job, ModelOutput};
use rustc_hash::FxHashMap;

use crate::workload::{Kind, Mix, Question};

/// How a fleet is run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) servers: u32,
    pub(crate) routers: u32,
    pub(crate) speed: EngineSpeed,
    /// Whether interactive work goes first at the engines.
    pub(crate) priorities: bool,
    /// How old load reports are when routers get them; `None`: no reports.
    pub(crate) report_lag: Option<Duration>,
    /// A wave of reclaims.
    pub(crate) wave: Option<Wave>,
}

/// A part of the servers goes at once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wave {
    pub(crate) at: TimePoint,
    pub(crate) share: f64,
    pub(crate) notice: Duration,
    /// Whether the ways to go on are weighed; the naive version starts from zero when a server is gone.
    pub(crate) weighs: bool,
}

/// What came of one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) kind: usize,
    pub(crate) first: Option<Duration>,
    pub(crate) end: Option<Duration>,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) outcomes: Vec<Outcome>,
    /// Tokens computed a second time, of prompts and of answers.
    pub(crate) recomputed: u64,
    pub(crate) prefilled: u64,
    pub(crate) moved: u32,
    /// The largest load of a server over the mean load, averaged over samples.
    pub(crate) imbalance: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    /// Bulk work asks again.
    Hold {
        question: usize,
        router: usize,
        from: u32,
        imported: u32,
    },
    Report,
    Engine(u32),
    Notice,
    /// The KV cache of one answer has arrived elsewhere.
    Moved(usize),
    Gone,
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
    /// When each engine's next event is scheduled, so that none is scheduled twice.
    scheduled: Vec<Option<TimePoint>>,
    flights: FxHashMap<RequestId, Flight>,
    queue: BinaryHeap<Reverse<(TimePoint, Event)>>,
    run: Run,
    imbalance: (f64, u32),
    reports: Vec<Vec<LoadReport>>,
}

/// Runs questions through a fleet.
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
        self.queue.push(Reverse((TimePoint::from_millis(REPORT_MS), Event::Report)));
        if let Some(wave) = self.setup.wave {
            self.queue.push(Reverse((wave.at, Event::Notice)));
            self.queue.push(Reverse((wave.at + wave.notice, Event::Gone)));
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((now, event))) = self.queue.pop() {
            match event {
                Event::Arrive(question) => self.arrive(now, question),
                Event::Hold { question, router, from, imported } => {
                    self.dispatch(now, question, router, from, imported);
                }
                Event::Report => self.report(now),
                Event::Engine(server) => self.advance(now, server as usize),
                Event::Notice => self.notice(now),
                Event::Moved(question) => self.moved(now, question),
                Event::Gone => self.gone(now),
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

    /// Sends a request, or the rest of its answer, to a server.
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
                let later = Event::Hold { question, router, from, imported };
                return self.queue.push(Reverse((now + HOLD, later)));
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
        self.take(now, server.0 as usize, &outputs);
    }

    fn advance(&mut self, now: TimePoint, server: usize) {
        if self.scheduled[server] != Some(now) || !self.alive[server] {
            return;
        }
        self.scheduled[server] = None;
        let mut outputs = Vec::new();
        self.engines[server].advance(now, &mut outputs);
        self.take(now, server, &outputs);
    }

    fn take(&mut self, now: TimePoint, server: usize, outputs: &[ModelOutput]) {
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
            let rounds = (lag.as_millis() as u64 / REPORT_MS) as usize;
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
            self.queue.push(Reverse((now + Duration::from_millis(REPORT_MS), Event::Report)));
        }
        // Reports alone don't keep a run going.
        if self.queue.len() == 1 && self.flights.is_empty() {
            self.queue.clear();
        }
    }

    fn wave_servers(&self) -> std::ops::Range<u32> {
        let share = self.setup.wave.map_or(0.0, |it| it.share);
        0..(f64::from(self.setup.servers) * share).round() as u32
    }

    fn notice(&mut self, now: TimePoint) {
        let Some(wave) = self.setup.wave.filter(|it| it.weighs) else { return };
        for server in self.wave_servers() {
            for router in &mut self.routers {
                router.mark_leaving(ServerIndex(server), None, LeavingEvidence::Notice);
            }
        }
        // The caches of one server leave it one after the other.
        let mut ahead: FxHashMap<ServerIndex, u32> = FxHashMap::default();
        for id in self.flights_on_wave() {
            let Some(server) = self.flights.get(&id).map(|it| it.server) else { continue };
            let ahead = ahead.entry(server).or_default();
            *ahead += self.weigh(now, id, Some(wave.notice), *ahead);
        }
    }

    fn moved(&mut self, now: TimePoint, question: usize) {
        let id = self.questions[question].id;
        let Some(flight) = self.flights.get(&id) else { return };
        let facts = self.kind(question);
        let context = facts.prefix_tokens + facts.own_tokens + flight.tokens;
        self.go_on(now, id, context);
    }

    fn flights_on_wave(&self) -> Vec<RequestId> {
        let wave = self.wave_servers();
        let mut ids: Vec<_> = self
            .flights
            .iter()
            .filter(|it| wave.contains(&it.1.server.0))
            .map(|it| *it.0)
            .collect();
        ids.sort_unstable();
        ids
    }

    /// Chooses the way to go on for one answer; returns the context tokens that it moves.
    fn weigh(&mut self, now: TimePoint, id: RequestId, left: Option<Duration>, ahead: u32) -> u32 {
        let Some(flight) = self.flights.get(&id) else { return 0 };
        let facts = self.kind(flight.question);
        let asked = &self.questions[flight.question];
        let holder = self.routers[flight.router].prefix_holder(now, asked.prefix);
        let options = ContinuationOptions {
            server_answers: left.is_some(),
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
            Continuation::Finish | Continuation::Resume => return 0,
            Continuation::MigrateCache => {
                let arrives = now + migration_time(&options, &MigrationCosts::default());
                self.queue.push(Reverse((arrives, Event::Moved(flight.question))));
                return context;
            }
            Continuation::PrefixHolder | Continuation::Recompute => self.go_on(now, id, 0),
        }
        0
    }

    fn go_on(&mut self, now: TimePoint, id: RequestId, imported: u32) {
        let Some(flight) = self.flights.remove(&id) else { return };
        self.run.moved += 1;
        let server = flight.server.0 as usize;
        self.routers[flight.router].record_finished(flight.server);
        let mut outputs = Vec::new();
        self.engines[server].cancel(now, id, &mut outputs);
        self.take(now, server, &outputs);
        self.dispatch(now, flight.question, flight.router, flight.tokens, imported);
    }

    fn gone(&mut self, now: TimePoint) {
        let Some(wave) = self.setup.wave else { return };
        for server in self.wave_servers() {
            self.alive[server as usize] = false;
            for router in &mut self.routers {
                router.mark_leaving(ServerIndex(server), None, LeavingEvidence::VmList);
            }
        }
        for id in self.flights_on_wave() {
            if wave.weighs {
                self.weigh(now, id, None, 0);
            } else {
                self.start_over(now, id);
            }
        }
    }

    /// The naive way: the whole request again, from zero.
    fn start_over(&mut self, now: TimePoint, id: RequestId) {
        let Some(flight) = self.flights.remove(&id) else { return };
        self.run.moved += 1;
        self.routers[flight.router].record_finished(flight.server);
        // The tokens that the caller has are generated a second time.
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
const REPORT_MS: u64 = 250;
/// How long held bulk work waits before it asks again.
const HOLD: Duration = Duration::from_millis(200);
