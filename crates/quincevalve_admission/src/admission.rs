//! The admission core of one entry VM.

use std::time::Duration;

use quincevalve_names::TimePoint;

use crate::fair_queue::{FairQueue, Waiting};

/// An account's position in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AccountIndex(pub u32);

/// A request's number in the admission core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// How a class of work trades time against cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Urgency {
    /// A caller waits for the first token.
    Interactive,
    /// Only the end matters.
    Bulk,
}

/// What an account may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimits {
    /// Its weight in fair shares.
    pub weight: u32,
    /// Requests running or waiting at once.
    pub max_concurrent: u32,
}

/// Settings of the core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Requests that may wait, over all accounts.
    pub max_waiting: u32,
    /// The assumed time that a request holds its place, until some were measured.
    pub first_hold: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { max_waiting: 4_096, first_hold: Duration::from_millis(500) }
    }
}

/// A request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Its number.
    pub ticket: Ticket,
    /// Whose it is.
    pub account: AccountIndex,
    /// Its urgency.
    pub urgency: Urgency,
    /// When the promise of its class runs out.
    pub deadline: TimePoint,
    /// The predicted time from its start to what the promise is about.
    pub needs: Duration,
    /// Its weight against the share, in units of a small request.
    pub cost: u32,
}

/// Why a request is refused. It did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The account has as many requests as it may.
    AccountLimit,
    /// Too many requests wait.
    QueueFull,
    /// It can't be done in time.
    TooLate,
}

/// What happens to an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it now.
    Run,
    /// Let it wait: [`Admission::start_next`] will name it, or [`Admission::expire`].
    Wait,
    /// Refuse it, and say when to come back.
    Refuse {
        /// Why.
        reason: Refused,
        /// When a repeat is likely to be taken.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct AccountState {
    limits: AccountLimits,
    running: u32,
}

/// The core: `(now, event) -> decision`.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_admission::*;
/// use quincevalve_names::TimePoint;
///
/// let mut admission = Admission::new(AdmissionSettings::default(), 1);
/// let account = AccountIndex(0);
/// admission.set_account(account, AccountLimits { weight: 1, max_concurrent: 9 });
/// let arrival = |ticket| Arrival {
///     ticket: Ticket(ticket),
///     account,
///     urgency: Urgency::Interactive,
///     deadline: TimePoint::from_millis(2_000),
///     needs: Duration::from_millis(100),
///     cost: 1,
/// };
/// assert_eq!(admission.arrive(TimePoint::ZERO, &arrival(1)), Decision::Run);
/// assert_eq!(admission.arrive(TimePoint::ZERO, &arrival(2)), Decision::Wait);
/// admission.finish(account, Duration::from_millis(50));
/// assert_eq!(admission.start_next(), Some(Ticket(2)));
/// ```
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    capacity: u32,
    running: u32,
    accounts: Vec<AccountState>,
    queue: FairQueue,
    hold_seconds: f64,
}

/// The weight of the newest measured hold in the running mean.
const HOLD_GAIN: f64 = 0.05;

impl Admission {
    /// Makes a core that runs `capacity` requests at once.
    pub fn new(settings: AdmissionSettings, capacity: u32) -> Self {
        Self {
            settings,
            capacity: capacity.max(1),
            running: 0,
            accounts: Vec::new(),
            queue: FairQueue::default(),
            hold_seconds: settings.first_hold.as_secs_f64(),
        }
    }

    /// Adds an account, or changes its limits.
    pub fn set_account(&mut self, account: AccountIndex, limits: AccountLimits) {
        let at = account.0 as usize;
        let idle = AccountState { limits, running: 0 };
        if self.accounts.len() <= at {
            self.accounts.resize(at + 1, idle);
        }
        self.accounts[at].limits = limits;
        self.queue.set_weight(account, limits.weight);
    }

    /// Changes how many requests run at once. Running ones go on.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity.max(1);
    }

    /// How many requests run at once.
    pub const fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Requests running and waiting: the demand that peers are told of.
    pub fn demand(&self) -> u32 {
        self.running + self.queue.waiting()
    }

    /// Decides on an arrival.
    pub fn arrive(&mut self, now: TimePoint, arrival: &Arrival) -> Decision {
        let account = self.accounts[arrival.account.0 as usize];
        let waiting = self.waiting_of(arrival.account);
        let turn = self.turn(arrival.account);
        if account.running + waiting >= account.limits.max_concurrent {
            return Decision::Refuse { reason: Refused::AccountLimit, retry_after: turn };
        }
        let left = arrival.deadline.since(now);
        if arrival.needs > left {
            return Decision::Refuse { reason: Refused::TooLate, retry_after: turn };
        }
        if self.running < self.capacity && waiting == 0 {
            self.start(arrival.account, arrival.cost);
            return Decision::Run;
        }
        if self.queue.waiting() >= self.settings.max_waiting {
            return Decision::Refuse { reason: Refused::QueueFull, retry_after: turn };
        }
        let wait = self.predicted_wait(arrival);
        if wait + arrival.needs > left {
            let retry_after = (wait + arrival.needs).saturating_sub(left);
            return Decision::Refuse { reason: Refused::TooLate, retry_after };
        }
        // It must start early enough to keep the promise, so that is when waiting ends.
        let latest = TimePoint(arrival.deadline.0 - arrival.needs.as_micros() as u64);
        let entry = Waiting { ticket: arrival.ticket, deadline: latest, cost: arrival.cost };
        self.queue.push(arrival.account, arrival.urgency, entry);
        Decision::Wait
    }

    fn waiting_of(&self, account: AccountIndex) -> u32 {
        let interactive = self.queue.waiting_of(account, Urgency::Interactive);
        interactive + self.queue.waiting_of(account, Urgency::Bulk)
    }

    /// The mean time until one more request of the account starts.
    fn turn(&self, account: AccountIndex) -> Duration {
        let rate = self.share(account) * f64::from(self.capacity) / self.hold_seconds;
        Duration::from_secs_f64((1.0 / rate).min(MAX_TURN_SECONDS))
    }

    /// The predicted time that an arrival waits for its start.
    ///
    /// What the account itself has waiting comes first, at the pace of its fair share; other accounts'
    /// queues don't lengthen it. Interactive work doesn't wait for bulk work.
    fn predicted_wait(&self, arrival: &Arrival) -> Duration {
        let interactive = self.queue.waiting_of(arrival.account, Urgency::Interactive);
        let ahead = match arrival.urgency {
            Urgency::Interactive => interactive,
            Urgency::Bulk => self.waiting_of(arrival.account),
        };
        self.turn(arrival.account) * (ahead + 1)
    }

    fn share(&self, account: AccountIndex) -> f64 {
        let is_active =
            |it: AccountIndex| self.accounts[it.0 as usize].running > 0 || self.waiting_of(it) > 0;
        self.queue.share_of(account, is_active)
    }

    fn start(&mut self, account: AccountIndex, cost: u32) {
        self.running += 1;
        self.accounts[account.0 as usize].running += 1;
        self.queue.charge(account, cost);
    }

    /// Notes that a running request gave its place back after `held`.
    pub fn finish(&mut self, account: AccountIndex, held: Duration) {
        self.running = self.running.saturating_sub(1);
        let entry = &mut self.accounts[account.0 as usize];
        entry.running = entry.running.saturating_sub(1);
        self.hold_seconds += HOLD_GAIN * (held.as_secs_f64() - self.hold_seconds);
        self.hold_seconds = self.hold_seconds.max(MIN_HOLD_SECONDS);
    }

    /// The next waiting request that starts now, if there is a place for it.
    pub fn start_next(&mut self) -> Option<Ticket> {
        if self.running >= self.capacity {
            return None;
        }
        let (account, waiting) = self.queue.pop(|_| true)?;
        self.start(account, waiting.cost);
        Some(waiting.ticket)
    }

    /// Takes out the waiting requests that can't be done in time any more. They did not run.
    pub fn expire(&mut self, now: TimePoint) -> Vec<Ticket> {
        self.queue.expire(now)
    }

    /// Takes out a request whose caller went away. `false` if it doesn't wait any more.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        self.queue.withdraw(ticket)
    }

    /// How long an account's next request would wait, for `Retry-After`.
    pub fn retry_after(&self, account: AccountIndex) -> Duration {
        self.turn(account) * (self.waiting_of(account) + 1)
    }
}

const MIN_HOLD_SECONDS: f64 = 0.001;
const MAX_TURN_SECONDS: f64 = 60.0;
