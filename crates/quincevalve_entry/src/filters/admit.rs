//! Admission: decides whether a request runs now, waits, or is refused before it uses any resources.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use indexmap::IndexSet;
use quincevalve_admission::{
    AccountIndex, AccountLimits, Admission, AdmissionSettings, Arrival, Decision, RefusalReason,
    Ticket, Urgency, request_cost,
};
use quincevalve_inventory::Promise;
use quincevalve_names::{ClientAccountName, Outcome, TimePoint};
use quincevalve_recovery::Work;
use quincevalve_routing::{NoServer, RoutingRequest, Target};
use quincevalve_timer::Timer;
use tokio::sync::oneshot;

use crate::{
    pipe::Filter,
    refusal::{Refusal, RefusalKind},
    request::{Admitted, Identified},
    shared::Shared,
};

pub(crate) struct Admit {
    pub(crate) shared: Arc<Shared>,
}

impl Filter<Identified> for Admit {
    type Out = Admitted;
    type Error = Refusal;

    async fn apply(&self, request: Identified) -> Result<Admitted, Refusal> {
        if self.shared.is_refusing() {
            let refusal = Refusal::new(RefusalKind::Leaving, Outcome::NotRun);
            return Err(refusal.with_retry_after(LEAVING_RETRY_AFTER));
        }
        let required_time = self.predict(&request)?;
        let permit = self.shared.admission.enter(&request, required_time).await?;
        self.shared.budget().deposit();
        Ok(Admitted { request, permit })
    }
}

/// `Retry-After` of a refusal by a VM that is leaving.
const LEAVING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` of a refusal for lack of a server.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Admit {
    /// Predicts the time from the start of the request to the first token, or to the complete answer if the class
    /// promises that.
    fn predict(&self, request: &Identified) -> Result<Duration, Refusal> {
        let routing_request = RoutingRequest {
            now: self.shared.timer.now(),
            pool: &request.target(),
            data_centre: &self.shared.settings.data_centre,
            prefix: request.prefix(),
            prompt_tokens: request.prompt_tokens(),
            // Bulk work may have to wait for a server; this predicts only the time after that wait.
            urgency: quincevalve_routing::Urgency::Interactive,
            tried: &[],
        };
        let mut router = self.shared.router();
        let choice =
            router.choose(&routing_request).map_err(|error| no_server_refusal(error, request))?;
        let generation_time = match (request.promise, &request.work) {
            (Promise::CompleteMs(_), Work::Generate(it)) => {
                router.spec(choice.server).token_time * it.max_tokens
            }
            _ => Duration::ZERO,
        };
        Ok(choice.predicted_first_token + generation_time)
    }
}

fn no_server_refusal(_error: NoServer, request: &Identified) -> Refusal {
    let refusal = Refusal::new(RefusalKind::NoServer, Outcome::NotRun);
    refusal.with_retry_after(NO_SERVER_RETRY_AFTER).with_request(request.id)
}

/// State shared by all clones of an [`AdmissionControl`].
struct AdmissionState {
    accounts: IndexSet<ClientAccountName>,
    cores: HashMap<Target, Admission>,
    waiting: HashMap<Ticket, oneshot::Sender<WaitResult>>,
    next_ticket: u64,
}

/// How the wait in a queue ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitResult {
    Start,
    Expired,
}

/// The admission cores, one for each target, and the requests waiting in their queues.
#[derive(Clone)]
pub(crate) struct AdmissionControl {
    state: Arc<Mutex<AdmissionState>>,
    timer: Timer,
}

impl AdmissionControl {
    pub(crate) fn new(timer: Timer) -> Self {
        let state = AdmissionState {
            accounts: IndexSet::new(),
            cores: HashMap::new(),
            waiting: HashMap::new(),
            next_ticket: 0,
        };
        Self { state: Arc::new(Mutex::new(state)), timer }
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the maximum number of concurrent requests of a target.
    pub(crate) fn set_capacity(&self, target: &Target, capacity: u32) {
        let mut state = self.lock();
        state.core(target).set_capacity(capacity);
        state.start_waiting_requests(target);
    }

    /// Refuses waiting requests that can no longer meet their deadline; they did not run.
    pub(crate) fn expire(&self, now: TimePoint) {
        let mut state = self.lock();
        let expired: Vec<_> = state.cores.values_mut().flat_map(|it| it.expire(now)).collect();
        for ticket in expired {
            if let Some(caller) = state.waiting.remove(&ticket) {
                let _ = caller.send(WaitResult::Expired);
            }
        }
    }

    /// Returns a permit for a request that another VM admitted. It doesn't count towards this VM's capacity or limits.
    pub(crate) fn uncounted_permit(&self, request: &Identified) -> AdmissionPermit {
        AdmissionPermit {
            admission: self.clone(),
            target: request.target(),
            account: AccountIndex(0),
            ticket: Ticket(0),
            since: self.timer.now(),
            state: PermitState::Released,
        }
    }

    /// Returns the number of running and waiting requests, from which peers compute shares.
    pub(crate) fn demand(&self) -> u32 {
        self.lock().cores.values().map(Admission::demand).sum()
    }

    /// Admits the request at once or after a wait, or refuses it.
    async fn enter(
        &self,
        request: &Identified,
        required_time: Duration,
    ) -> Result<AdmissionPermit, Refusal> {
        let target = request.target();
        let now = self.timer.now();
        let (permit, result) = {
            let mut state = self.lock();
            let arrival = state.arrival(request, required_time);
            let account = arrival.account;
            let ticket = arrival.ticket;
            let decision = state.core(&target).arrive(now, &arrival);
            let permit = |state| AdmissionPermit {
                admission: self.clone(),
                target: target.clone(),
                account,
                ticket,
                since: now,
                state,
            };
            match decision {
                Decision::Run => return Ok(permit(PermitState::Running)),
                Decision::Refuse { reason, retry_after } => {
                    return Err(refuse(reason, retry_after, request));
                }
                Decision::Wait => {
                    let (tx, rx) = oneshot::channel();
                    state.waiting.insert(ticket, tx);
                    (permit(PermitState::Waiting), rx)
                }
            }
        };
        let mut permit = permit;
        match result.await {
            Ok(WaitResult::Start) => {
                permit.state = PermitState::Running;
                permit.since = self.timer.now();
                Ok(permit)
            }
            Ok(WaitResult::Expired) | Err(_) => {
                permit.state = PermitState::Released;
                let retry_after = self.lock().core(&target).retry_after(permit.account);
                Err(refuse(RefusalReason::TooLate, retry_after, request))
            }
        }
    }
}

fn refuse(reason: RefusalReason, retry_after: Duration, request: &Identified) -> Refusal {
    let kind = match reason {
        RefusalReason::AccountLimit => RefusalKind::AccountLimit,
        RefusalReason::QueueFull => RefusalKind::QueueFull,
        RefusalReason::TooLate => RefusalKind::TooLate,
    };
    Refusal::new(kind, Outcome::NotRun).with_retry_after(retry_after).with_request(request.id)
}

impl AdmissionState {
    fn core(&mut self, target: &Target) -> &mut Admission {
        let new_core = || Admission::new(AdmissionSettings::default(), 1);
        self.cores.entry(target.clone()).or_insert_with(new_core)
    }

    fn arrival(&mut self, request: &Identified, required_time: Duration) -> Arrival {
        let (index, _) = self.accounts.insert_full(request.account.clone());
        let account = AccountIndex(index as u32);
        let account_entry = request.view.inventory.account.get(&request.account);
        let limits = AccountLimits {
            weight: account_entry.map_or(1, |it| it.weight),
            max_concurrent: account_entry.map_or(1, |it| it.max_concurrent),
        };
        let core = self.core(&request.target());
        core.set_account(account, limits);
        self.next_ticket += 1;
        Arrival {
            ticket: Ticket(self.next_ticket),
            account,
            urgency: match request.urgency() {
                quincevalve_routing::Urgency::Interactive => Urgency::INTERACTIVE,
                quincevalve_routing::Urgency::Bulk => Urgency::BULK,
            },
            deadline: request.promise_deadline(),
            required_time,
            cost: request_cost(request.prompt_tokens()),
        }
    }

    /// Starts waiting requests as far as the capacity allows.
    fn start_waiting_requests(&mut self, target: &Target) {
        while let Some(ticket) = self.core(target).start_next() {
            let result = self.waiting.remove(&ticket).map(|it| it.send(WaitResult::Start));
            // If the caller has just disconnected, dropping its permit frees the capacity.
            let _ = result;
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PermitState {
    Waiting,
    Running,
    Released,
}

/// A request's place in the queue or among the running requests. Dropping it frees the place however the request ends.
pub(crate) struct AdmissionPermit {
    admission: AdmissionControl,
    target: Target,
    account: AccountIndex,
    ticket: Ticket,
    since: TimePoint,
    state: PermitState,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let held = self.admission.timer.now() - self.since;
        let mut state = self.admission.lock();
        match self.state {
            PermitState::Released => return,
            PermitState::Running => state.core(&self.target).finish(self.account, held),
            PermitState::Waiting => {
                state.waiting.remove(&self.ticket);
                if !state.core(&self.target).cancel(self.ticket) {
                    // The request was started at the moment its caller disconnected.
                    state.core(&self.target).finish(self.account, held);
                }
            }
        }
        state.start_waiting_requests(&self.target);
    }
}
