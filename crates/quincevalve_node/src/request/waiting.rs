//! Requests that wait for a server: one queue per service of model engines whose routes differ in urgency.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use indexmap::{IndexMap, IndexSet};
use quincevalve_admission::{
    AccountIndex, ServerShare, Ticket, Urgency, WaitRefusal, WaitRefusalCause, WaitingQueue,
    WaitingRequest, WaitingSettings,
};
use quincevalve_forwarding::{
    config::{Engine, ForwardingConfig},
    load::step_ms,
    placement::PlacementError,
    rollout::table::VersionChoice,
};
use quincevalve_names::{
    BackendServerName, ClientAccountName, Scaled, ServiceName, TimePoint, seconds,
};
use rand_pcg::Pcg64Mcg;
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use crate::request::{
    identify::IdentifiedRequest,
    refusal::{Refusal, Refused},
    server_selection::FoundServer,
};

/// A request in a queue.
pub(super) struct Waiter {
    pub(super) req: Rc<IdentifiedRequest>,
    /// Servers that have already received the request.
    pub(super) tried: Vec<BackendServerName>,
    /// The versions of the servers that the request may be sent to.
    pub(super) choice: VersionChoice,
    result: oneshot::Sender<WaitResult>,
}

/// How a waiting request is to be placed.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// Whether the request can only miss its latency objective.
    pub(super) is_late: bool,
    /// The capacity to assume of the engines.
    pub(super) engine: Option<Engine>,
    /// Servers that already received the request, or at which this VM has used up its share of slots.
    pub(super) excluded: Vec<BackendServerName>,
}

/// How a wait ended.
pub(super) enum WaitResult {
    Placed(Box<FoundServer>),
    Refused(Refused),
    /// There is no server, or all of them are limited or resting: waiting for capacity is pointless.
    Unplaceable(PlacementError),
}

/// The queue of one service.
struct ServiceQueue {
    queue: WaitingQueue,
    /// This VM's share of the engines' slots.
    share: ServerShare<BackendServerName>,
    /// Accounts by index; requests without an account share one.
    accounts: IndexSet<Option<ClientAccountName>>,
    waiters: IndexMap<Ticket, Waiter>,
    /// Versions that retries could be sent to in the last pass since the queue was empty. Another value shows that a
    /// roll-out changed.
    retry_choice: Option<VersionChoice>,
    /// Whether the service has a queue, and the version of the configuration that this follows from.
    is_enabled: Option<(u64, bool)>,
    /// Whether the service has or had a queue.
    ever_enabled: bool,
}

impl Default for ServiceQueue {
    fn default() -> Self {
        Self {
            queue: WaitingQueue::new(WaitingSettings { tick: TICK, ..WaitingSettings::default() }),
            share: ServerShare::default(),
            accounts: IndexSet::new(),
            waiters: IndexMap::new(),
            retry_choice: None,
            is_enabled: None,
            ever_enabled: false,
        }
    }
}

/// Maximum time between two passes while requests wait: the estimate of recently sent prompts decays without an event.
pub(super) const TICK: Duration = Duration::from_millis(12);

/// Maximum fraction of a request's time that is kept for generating its answer. Callers that don't say how many tokens they
/// expect often allow far more than they get.
const MAX_GENERATION_FRACTION: f64 = 0.5;

#[derive(Default)]
struct Queues {
    services: IndexMap<ServiceName, ServiceQueue>,
    last_ticket: u64,
}

/// The waiting requests of all services.
#[derive(Default)]
pub(crate) struct WaitingRequests {
    queues: RefCell<Queues>,
    count: Cell<usize>,
    wakeup: Notify,
}

impl WaitingRequests {
    /// Starts a pass soon, since capacity may have become free.
    pub(crate) fn wake(&self) {
        if !self.is_empty() {
            self.wakeup.notify_one();
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.count.get() == 0
    }

    /// Waits for the next call of [`Self::wake`].
    pub(super) async fn woken(&self) {
        self.wakeup.notified().await;
    }

    /// Returns the number of waiting requests of each service that ever had a queue, so that a count doesn't stay as it
    /// was when a change of the configuration ends the queue.
    pub(crate) fn counts(&self) -> Vec<(ServiceName, usize)> {
        let queues = self.queues.borrow();
        let with_queue = queues.services.iter().filter(|(_, it)| it.ever_enabled);
        with_queue.map(|(name, it)| (name.clone(), it.queue.len())).collect()
    }

    /// Returns whether requests of the service wait in a queue rather than poll.
    pub(super) fn is_enabled(&self, req: &IdentifiedRequest) -> bool {
        self.queues.borrow_mut().of(req).is_enabled.is_some_and(|it| it.1)
    }

    /// Returns whether a request may be placed at once, since none waits that would start before it.
    pub(super) fn may_start_at_once(&self, req: &IdentifiedRequest) -> bool {
        let queues = self.queues.borrow();
        let queue = queues.services.get(&req.service);
        queue.is_none_or(|it| it.queue.may_start_at_once(Urgency(req.urgency)))
    }

    /// Returns the capacity to assume of the engines for a request; `None` if its service has none.
    pub(super) fn assumed_engine(&self, req: &IdentifiedRequest) -> Option<Engine> {
        let queues = self.queues.borrow();
        match queues.services.get(&req.service) {
            Some(service) => service.assumed_engine(req),
            None => engine(req),
        }
    }

    /// Records that a request was placed without a wait.
    pub(super) fn record_immediate_start(&self, req: &IdentifiedRequest, now: TimePoint) {
        let mut queues = self.queues.borrow_mut();
        let service = queues.of(req);
        if service.is_enabled.is_some_and(|it| it.1) {
            let account = service.account(req);
            service.queue.record_immediate_start(
                now,
                account,
                Urgency(req.urgency),
                prompt_tokens(req),
            );
        }
    }

    /// Waits until a server has capacity for a request, or the request is refused.
    ///
    /// If the caller disconnects, the future is dropped and the request leaves the queue.
    pub(super) async fn wait(
        &self,
        req: &Rc<IdentifiedRequest>,
        tried: &[BackendServerName],
        choice: &VersionChoice,
        predicted: Duration,
        rng: &RefCell<Pcg64Mcg>,
        now: TimePoint,
    ) -> WaitResult {
        let (tx, result) = oneshot::channel();
        let ticket = {
            let mut queues = self.queues.borrow_mut();
            queues.last_ticket += 1;
            let ticket = Ticket(queues.last_ticket);
            let service = queues.of(req);
            let request = WaitingRequest {
                ticket,
                account: service.account(req),
                urgency: Urgency(req.urgency),
                objective_end: time_point(req.arrived + req.route.objective, now),
                deadline: time_point(first_answer_deadline(req), now),
                required_time: predicted,
                prompt_tokens: prompt_tokens(req),
            };
            let refusal = service.queue.arrive(now, &request, &mut *rng.borrow_mut());
            if let Some(refusal) = refusal {
                return WaitResult::Refused(refused(refusal));
            }
            let waiter = Waiter {
                req: req.clone(),
                tried: tried.to_vec(),
                choice: choice.clone(),
                result: tx,
            };
            if service.waiters.is_empty() {
                service.retry_choice = None;
            }
            service.waiters.insert(ticket, waiter);
            ticket
        };
        let _place = PlaceInQueue { waiting: self, service: &req.service, ticket };
        self.count.set(self.count.get() + 1);
        self.wake();
        // The sender is dropped only with the whole process.
        result.await.unwrap_or(WaitResult::Refused(Refusal::Stopping.into()))
    }

    /// Tries to place waiting requests, and refuses those that can't be answered in time.
    ///
    /// `retry_choice` returns the versions to which retries of a service may be sent, `refusal` why a request can't be
    /// served whatever capacity becomes free, and `try_place` places a request. `vms` is the number of entry VMs.
    pub(super) fn run_pass(
        &self,
        now: TimePoint,
        rng: &RefCell<Pcg64Mcg>,
        vms: usize,
        retry_choice: impl Fn(&ServiceName) -> VersionChoice,
        refusal: impl Fn(&IdentifiedRequest) -> Option<Refused>,
        mut try_place: impl FnMut(&Waiter, Attempt) -> Result<FoundServer, PlacementError>,
    ) {
        let mut queues = self.queues.borrow_mut();
        for (name, service) in queues.services.iter_mut().filter(|(_, it)| !it.queue.is_empty()) {
            service.refresh_choices(retry_choice(name));
            service.refuse_unservable(&refusal);
            let refusals = service.queue.begin_pass(now, &mut *rng.borrow_mut());
            for refusal in refusals {
                service.end(refusal.ticket, WaitResult::Refused(refused(refusal)));
            }
            while let Some(candidate) = service.queue.next_candidate() {
                let ticket = candidate.ticket;
                let Some(waiter) = service.waiters.get(&ticket) else {
                    service.queue.remove(ticket);
                    continue;
                };
                let engine = service.assumed_engine(&waiter.req);
                // The most urgent requests aren't limited to this VM's share of the slots.
                let limited_engine = engine.filter(|_| waiter.req.urgency > 0);
                let used_up = limited_engine
                    .map_or_else(Vec::new, |it| service.share.used_up(now, it.slots, vms));
                let is_limited = !used_up.is_empty();
                let excluded = waiter.tried.iter().cloned().chain(used_up).collect();
                match try_place(waiter, Attempt { is_late: candidate.is_late, engine, excluded }) {
                    Ok(found) => {
                        service.share.record_start(now, found.place.server.clone());
                        service.queue.record_placed(now, ticket);
                        service.end(ticket, WaitResult::Placed(Box::new(found)));
                    }
                    Err(PlacementError::Busy { predicted }) => {
                        service.queue.record_not_placed(ticket, predicted);
                    }
                    // The servers at which the share is used up will take the request soon.
                    Err(_) if is_limited => service.queue.record_deferred(ticket),
                    Err(error) => {
                        service.queue.remove(ticket);
                        service.end(ticket, WaitResult::Unplaceable(error));
                    }
                }
            }
        }
    }
}

impl Queues {
    /// Returns the queue of a request's service, after a check whether it is enabled.
    fn of(&mut self, req: &IdentifiedRequest) -> &mut ServiceQueue {
        let service = self.services.entry(req.service.clone()).or_default();
        let version = req.config.version;
        if service.is_enabled.is_none_or(|it| it.0 != version) {
            let is_enabled = has_queue(&req.config, &req.service);
            service.is_enabled = Some((version, is_enabled));
            service.ever_enabled |= is_enabled;
        }
        service
    }
}

impl ServiceQueue {
    fn assumed_engine(&self, req: &IdentifiedRequest) -> Option<Engine> {
        engine(req).map(|it| {
            let slots = self.queue.usable_slots(it.slots, Urgency(req.urgency));
            Engine { slots, ..it }
        })
    }

    fn account(&mut self, req: &IdentifiedRequest) -> AccountIndex {
        let index = self.accounts.get_index_of(&req.account);
        let index = index.unwrap_or_else(|| self.accounts.insert_full(req.account.clone()).0);
        AccountIndex(index as u32)
    }

    /// Applies a change of a roll-out: requests may have been meant for a version that is halted or gone.
    fn refresh_choices(&mut self, retry_choice: VersionChoice) {
        if self.retry_choice.as_ref().is_some_and(|it| *it != retry_choice) {
            for waiter in self.waiters.values_mut() {
                waiter.choice = retry_choice.clone();
            }
        }
        self.retry_choice = Some(retry_choice);
    }

    /// Refuses the requests that can't be served whatever capacity becomes free.
    fn refuse_unservable(&mut self, refusal: impl Fn(&IdentifiedRequest) -> Option<Refused>) {
        let refused =
            self.waiters.iter().filter_map(|(it, waiter)| Some((*it, refusal(&waiter.req)?)));
        let refused: Vec<_> = refused.collect();
        for (ticket, refused) in refused {
            self.queue.remove(ticket);
            self.end(ticket, WaitResult::Refused(refused));
        }
    }

    fn end(&mut self, ticket: Ticket, result: WaitResult) {
        if let Some(waiter) = self.waiters.swap_remove(&ticket) {
            // If the caller disconnects before it gets the result, dropping the result frees the server's capacity.
            let _ = waiter.result.send(result);
        }
    }
}

/// Frees a request's place in the queue when the request is placed or refused, or when its caller disconnects.
struct PlaceInQueue<'a> {
    waiting: &'a WaitingRequests,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl Drop for PlaceInQueue<'_> {
    fn drop(&mut self) {
        self.waiting.count.set(self.waiting.count.get() - 1);
        if let Some(service) = self.waiting.queues.borrow_mut().services.get_mut(self.service) {
            service.queue.remove(self.ticket);
            service.waiters.swap_remove(&self.ticket);
        }
        self.waiting.wake();
    }
}

/// Returns whether a service has model engines, and routes of different urgencies.
fn has_queue(config: &ForwardingConfig, service: &ServiceName) -> bool {
    let has_engine = config.services.get(service).is_some_and(|it| it.engine.is_some());
    let routes = config.routes().filter(|it| it.targets.iter().any(|it| it.service == *service));
    let (least, most) = routes
        .fold((u8::MAX, 0), |(least, most), it| (least.min(it.urgency), most.max(it.urgency)));
    has_engine && least < most
}

/// Returns the configured capacity of the engines of a request's service.
pub(super) fn engine(req: &IdentifiedRequest) -> Option<Engine> {
    req.config.services.get(&req.service).and_then(|it| it.engine)
}

/// Returns the time by which the first answer must come so that the whole answer is complete by the deadline.
///
/// A stream that starts later would be cut off at its deadline, after it has taken an engine's time.
pub(super) fn first_answer_deadline(req: &IdentifiedRequest) -> Instant {
    let generation_time = req.prompt.zip(engine(req)).map(|(prompt, engine)| {
        let tokens = prompt.expected_work().output;
        seconds(step_ms(engine.slots) * f64::from(tokens) / 1_000.0)
    });
    let max_time =
        req.deadline.saturating_duration_since(req.arrived).scaled(MAX_GENERATION_FRACTION);
    req.deadline - generation_time.unwrap_or_default().min(max_time)
}

fn prompt_tokens(req: &IdentifiedRequest) -> u32 {
    req.prompt.map_or(0, |it| it.input)
}

fn refused(refusal: WaitRefusal) -> Refused {
    let cause = match refusal.cause {
        WaitRefusalCause::Busy => Refusal::Busy,
        WaitRefusalCause::Displaced => Refusal::Displaced,
    };
    Refused { refusal: cause, retry_after: Some(refusal.retry_after) }
}

/// Converts a time of the runtime's clock to the clock of the decision cores, on which it is `now`.
fn time_point(at: Instant, now: TimePoint) -> TimePoint {
    now + at.saturating_duration_since(Instant::now())
}

#[cfg(test)]
mod tests;
