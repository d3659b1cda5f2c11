//! Admit: may it run now, must it wait, or is it refused before it costs anything?

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use indexmap::IndexSet;
use quincevalve_admission::{
    AccountIndex, AccountLimits, Admission, AdmissionSettings, Arrival, Decision, RefusalReason,
    Ticket, Urgency,
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
            return Err(refusal.with_retry_after(LEAVING_RETRY));
        }
        let needs = self.predict(&request)?;
        let place = self.shared.admission.enter(&request, needs).await?;
        self.shared.budget().deposit();
        Ok(Admitted { request, place })
    }
}

const LEAVING_RETRY: Duration = Duration::from_secs(1);
const NO_SERVER_RETRY: Duration = Duration::from_secs(2);

impl Admit {
    /// The predicted time from the start to what the class promises.
    fn predict(&self, request: &Identified) -> Result<Duration, Refusal> {
        let ask = RoutingRequest {
            now: self.shared.timer.now(),
            pool: &request.target(),
            data_centre: &self.shared.settings.data_centre,
            prefix: request.prefix(),
            prompt_tokens: request.prompt_tokens(),
            // Bulk work may have to wait for a server; what is asked here is how long it takes then.
            urgency: quincevalve_routing::Urgency::Interactive,
            tried: &[],
        };
        let mut router = self.shared.router();
        let choice = router.choose(&ask).map_err(|error| refuse_no_server(error, request))?;
        let rest = match (request.promise, &request.work) {
            (Promise::CompleteMs(_), Work::Generate(it)) => {
                router.spec(choice.server).token_time * it.max_tokens
            }
            _ => Duration::ZERO,
        };
        Ok(choice.predicted_first_token + rest)
    }
}

fn refuse_no_server(_error: NoServer, request: &Identified) -> Refusal {
    let refusal = Refusal::new(RefusalKind::NoServer, Outcome::NotRun);
    refusal.with_retry_after(NO_SERVER_RETRY).with_request(request.id)
}

struct Desk {
    accounts: IndexSet<ClientAccountName>,
    cores: HashMap<Target, Admission>,
    waiting: HashMap<Ticket, oneshot::Sender<Called>>,
    next_ticket: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Called {
    Start,
    Expired,
}

/// The admission cores, one for each target, and the requests that wait at them.
#[derive(Clone)]
pub(crate) struct AdmissionDesk {
    desk: Arc<Mutex<Desk>>,
    timer: Timer,
}

impl AdmissionDesk {
    pub(crate) fn new(timer: Timer) -> Self {
        let desk = Desk {
            accounts: IndexSet::new(),
            cores: HashMap::new(),
            waiting: HashMap::new(),
            next_ticket: 0,
        };
        Self { desk: Arc::new(Mutex::new(desk)), timer }
    }

    fn lock(&self) -> MutexGuard<'_, Desk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how many requests of a target run at once.
    pub(crate) fn set_capacity(&self, target: &Target, capacity: u32) {
        let mut desk = self.lock();
        desk.core(target).set_capacity(capacity);
        desk.call_waiting(target);
    }

    /// Tells waiting requests that can't be done in time any more; they did not run.
    pub(crate) fn expire(&self, now: TimePoint) {
        let mut desk = self.lock();
        let expired: Vec<_> = desk.cores.values_mut().flat_map(|it| it.expire(now)).collect();
        for ticket in expired {
            if let Some(caller) = desk.waiting.remove(&ticket) {
                let _ = caller.send(Called::Expired);
            }
        }
    }

    /// A place for a request that another VM admitted: it is counted nowhere here.
    pub(crate) fn taken_over(&self, request: &Identified) -> Place {
        Place {
            desk: self.clone(),
            target: request.target(),
            account: AccountIndex(0),
            ticket: Ticket(0),
            since: self.timer.now(),
            state: PlaceState::Left,
        }
    }

    /// Requests running and waiting, for the shares that peers compute.
    pub(crate) fn demand(&self) -> u32 {
        self.lock().cores.values().map(Admission::demand).sum()
    }

    /// Enters now, or waits for a place.
    async fn enter(&self, request: &Identified, needs: Duration) -> Result<Place, Refusal> {
        let target = request.target();
        let now = self.timer.now();
        let (place, called) = {
            let mut desk = self.lock();
            let arrival = desk.arrival(request, needs);
            let account = arrival.account;
            let ticket = arrival.ticket;
            let decision = desk.core(&target).arrive(now, &arrival);
            let place = |state| Place {
                desk: self.clone(),
                target: target.clone(),
                account,
                ticket,
                since: now,
                state,
            };
            match decision {
                Decision::Run => return Ok(place(PlaceState::Running)),
                Decision::Refuse { reason, retry_after } => {
                    return Err(refuse(reason, retry_after, request));
                }
                Decision::Wait => {
                    let (tx, rx) = oneshot::channel();
                    desk.waiting.insert(ticket, tx);
                    (place(PlaceState::Waiting), rx)
                }
            }
        };
        let mut place = place;
        match called.await {
            Ok(Called::Start) => {
                place.state = PlaceState::Running;
                place.since = self.timer.now();
                Ok(place)
            }
            Ok(Called::Expired) | Err(_) => {
                place.state = PlaceState::Left;
                let retry_after = self.lock().core(&target).retry_after(place.account);
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

impl Desk {
    fn core(&mut self, target: &Target) -> &mut Admission {
        let fresh = || Admission::new(AdmissionSettings::default(), 1);
        self.cores.entry(target.clone()).or_insert_with(fresh)
    }

    fn arrival(&mut self, request: &Identified, needs: Duration) -> Arrival {
        let (index, _) = self.accounts.insert_full(request.account.clone());
        let account = AccountIndex(index as u32);
        let facts = request.view.inventory.account.get(&request.account);
        let limits = AccountLimits {
            weight: facts.map_or(1, |it| it.weight),
            max_concurrent: facts.map_or(1, |it| it.max_concurrent),
        };
        let core = self.core(&request.target());
        core.set_account(account, limits);
        self.next_ticket += 1;
        Arrival {
            ticket: Ticket(self.next_ticket),
            account,
            urgency: match request.urgency() {
                quincevalve_routing::Urgency::Interactive => Urgency::Interactive,
                quincevalve_routing::Urgency::Bulk => Urgency::Bulk,
            },
            deadline: request.promised_by(),
            required_time: needs,
            cost: 1 + request.prompt_tokens() / COST_TOKENS,
        }
    }

    fn call_waiting(&mut self, target: &Target) {
        while let Some(ticket) = self.core(target).start_next() {
            let called = self.waiting.remove(&ticket).map(|it| it.send(Called::Start));
            // A caller that went away in this moment gives the place back when its guard drops.
            let _ = called;
        }
    }
}

/// Prompt tokens that count as one unit of cost against a share.
const COST_TOKENS: u32 = 512;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlaceState {
    Waiting,
    Running,
    Left,
}

/// A request's place. Dropping it gives the place back, whatever the request's end.
pub(crate) struct Place {
    desk: AdmissionDesk,
    target: Target,
    account: AccountIndex,
    ticket: Ticket,
    since: TimePoint,
    state: PlaceState,
}

impl Drop for Place {
    fn drop(&mut self) {
        let held = self.desk.timer.now() - self.since;
        let mut desk = self.desk.lock();
        match self.state {
            PlaceState::Left => return,
            PlaceState::Running => desk.core(&self.target).finish(self.account, held),
            PlaceState::Waiting => {
                desk.waiting.remove(&self.ticket);
                if !desk.core(&self.target).cancel(self.ticket) {
                    // It was called in the moment its caller went away.
                    desk.core(&self.target).finish(self.account, held);
                }
            }
        }
        desk.call_waiting(&self.target);
    }
}
