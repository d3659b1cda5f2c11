//! Admission decisions of one entry VM, without I/O and without a clock.

#![expect(
    clippy::indexing_slicing,
    reason = "indices are given out here, and accounts are never removed"
)]

use std::time::Duration;

use quincevalve_names::{TimePoint, seconds};

use crate::fair_queue::{FairQueue, QueuedRequest};

/// Index of an account in the admission table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AccountIndex(pub u32);

/// Identifier of a request within one [`Admission`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Urgency of a request; 0 is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Urgency(pub u8);

impl Urgency {
    /// A caller waits for the first token, so its latency matters.
    pub const INTERACTIVE: Self = Self(0);
    /// Only the completion time matters.
    pub const BULK: Self = Self(1);
}

/// Number of prompt tokens per unit of cost.
const TOKENS_PER_COST_UNIT: u32 = 512;

/// Returns the cost that counts against an account's share for a request with a prompt of this size.
pub const fn request_cost(prompt_tokens: u32) -> u32 {
    1 + prompt_tokens / TOKENS_PER_COST_UNIT
}

/// Limits of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimits {
    /// Weight of the account in fair queueing.
    pub weight: u32,
    /// Maximum number of requests running or waiting at once.
    pub max_concurrent: u32,
}

/// Settings of [`Admission`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Maximum number of waiting requests over all accounts.
    pub max_waiting: u32,
    /// Assumed service time of a request until service times have been observed.
    pub initial_service_time: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { max_waiting: 4_096, initial_service_time: Duration::from_millis(500) }
    }
}

/// An arriving request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Identifier of the request.
    pub ticket: Ticket,
    /// Account that the request belongs to.
    pub account: AccountIndex,
    /// Urgency of the request.
    pub urgency: Urgency,
    /// Time by which the latency objective of the request's class must be met.
    pub deadline: TimePoint,
    /// Predicted time from the start of the request until its latency objective is met.
    pub required_time: Duration,
    /// Cost charged to the account's fair share, in units of a small request.
    pub cost: u32,
}

/// Reason for refusing a request. A refused request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The account has reached its limit of concurrent requests.
    AccountLimit,
    /// The queue over all accounts is full.
    QueueFull,
    /// The request can't meet its deadline.
    TooLate,
}

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run the request now.
    Run,
    /// Queue the request. [`Admission::start_next`] or [`Admission::expire`] returns its ticket later.
    Wait,
    /// Refuse the request.
    Refuse {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which a retry is likely to be admitted.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct AccountState {
    limits: AccountLimits,
    running: u32,
}

/// Admission state machine of one entry VM: `(now, event) -> decision`.
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
///     urgency: Urgency::INTERACTIVE,
///     deadline: TimePoint::from_millis(2_000),
///     required_time: Duration::from_millis(100),
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
    mean_service_seconds: f64,
}

/// Weight of the newest observation in the exponential moving average of service times.
const SERVICE_TIME_GAIN: f64 = 0.05;

impl Admission {
    /// Creates an instance that runs up to `capacity` requests at once.
    pub fn new(settings: AdmissionSettings, capacity: u32) -> Self {
        Self {
            settings,
            capacity: capacity.max(1),
            running: 0,
            accounts: Vec::new(),
            queue: FairQueue::default(),
            mean_service_seconds: settings.initial_service_time.as_secs_f64(),
        }
    }

    /// Adds an account or changes its limits.
    pub fn set_account(&mut self, account: AccountIndex, limits: AccountLimits) {
        let index = account.0 as usize;
        let idle = AccountState { limits, running: 0 };
        if self.accounts.len() <= index {
            self.accounts.resize(index + 1, idle);
        }
        self.accounts[index].limits = limits;
        self.queue.set_weight(account, limits.weight);
    }

    /// Changes how many requests may run at once. Running requests continue.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity.max(1);
    }

    /// Returns how many requests may run at once.
    pub const fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Returns the number of running and waiting requests, which is reported to peers as demand.
    pub fn demand(&self) -> u32 {
        self.running + self.queue.queued()
    }

    /// Decides whether an arriving request runs, waits or is refused.
    pub fn arrive(&mut self, now: TimePoint, arrival: &Arrival) -> Decision {
        let account = self.accounts[arrival.account.0 as usize];
        let waiting = self.waiting_for(arrival.account);
        let start_interval = self.start_interval(arrival.account);
        if account.running + waiting >= account.limits.max_concurrent {
            return Decision::Refuse {
                reason: RefusalReason::AccountLimit,
                retry_after: start_interval,
            };
        }
        let time_left = arrival.deadline.since(now);
        if arrival.required_time > time_left {
            return Decision::Refuse {
                reason: RefusalReason::TooLate,
                retry_after: start_interval,
            };
        }
        if self.running < self.capacity && waiting == 0 {
            self.start(arrival.account, arrival.cost);
            return Decision::Run;
        }
        if self.queue.queued() >= self.settings.max_waiting {
            return Decision::Refuse {
                reason: RefusalReason::QueueFull,
                retry_after: start_interval,
            };
        }
        let wait = self.predicted_wait(arrival);
        if wait + arrival.required_time > time_left {
            let retry_after = (wait + arrival.required_time).saturating_sub(time_left);
            return Decision::Refuse { reason: RefusalReason::TooLate, retry_after };
        }
        // Latest time at which the request can start and still meet its deadline.
        let latest_start = TimePoint(arrival.deadline.0 - arrival.required_time.as_micros() as u64);
        let entry = QueuedRequest {
            ticket: arrival.ticket,
            latest_start,
            on_time_until: latest_start,
            cost: arrival.cost,
        };
        self.queue.push(arrival.account, arrival.urgency, entry);
        Decision::Wait
    }

    fn waiting_for(&self, account: AccountIndex) -> u32 {
        self.queue.queued_up_to(account, Urgency(u8::MAX))
    }

    /// Returns the mean time between two starts of the account's requests at its fair share.
    fn start_interval(&self, account: AccountIndex) -> Duration {
        let rate = self.fair_share(account) * f64::from(self.capacity) / self.mean_service_seconds;
        seconds((1.0 / rate).min(MAX_START_INTERVAL_SECONDS))
    }

    /// Returns the predicted queueing time of an arrival.
    ///
    /// Only the account's own waiting requests count, served at the rate of its fair share; the queues of
    /// other accounts don't lengthen the wait. A request doesn't wait for less urgent ones.
    fn predicted_wait(&self, arrival: &Arrival) -> Duration {
        let ahead = self.queue.queued_up_to(arrival.account, arrival.urgency);
        self.start_interval(arrival.account) * (ahead + 1)
    }

    fn fair_share(&self, account: AccountIndex) -> f64 {
        let is_active =
            |it: AccountIndex| self.accounts[it.0 as usize].running > 0 || self.waiting_for(it) > 0;
        self.queue.weight_share(account, is_active)
    }

    fn start(&mut self, account: AccountIndex, cost: u32) {
        self.running += 1;
        self.accounts[account.0 as usize].running += 1;
        self.queue.charge(account, cost);
    }

    /// Records that a running request ended after `service_time`.
    pub fn finish(&mut self, account: AccountIndex, service_time: Duration) {
        self.running = self.running.saturating_sub(1);
        let entry = &mut self.accounts[account.0 as usize];
        entry.running = entry.running.saturating_sub(1);
        self.mean_service_seconds +=
            SERVICE_TIME_GAIN * (service_time.as_secs_f64() - self.mean_service_seconds);
        self.mean_service_seconds = self.mean_service_seconds.max(MIN_SERVICE_SECONDS);
    }

    /// Starts the next waiting request if there is capacity, and returns its ticket.
    pub fn start_next(&mut self) -> Option<Ticket> {
        if self.running >= self.capacity {
            return None;
        }
        let (account, waiting) = self.queue.pop(|_| true)?;
        self.start(account, waiting.cost);
        Some(waiting.ticket)
    }

    /// Removes the waiting requests that can no longer meet their deadline. They did not run.
    pub fn expire(&mut self, now: TimePoint) -> Vec<Ticket> {
        self.queue.expire(now)
    }

    /// Removes a waiting request whose caller disconnected; returns `false` if it isn't waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.cancel(ticket)
    }

    /// Returns how long the account's next request would wait, for the `Retry-After` header.
    pub fn retry_after(&self, account: AccountIndex) -> Duration {
        self.start_interval(account) * (self.waiting_for(account) + 1)
    }
}

/// Lower bound of the mean service time, which keeps the rates that are computed from it finite.
const MIN_SERVICE_SECONDS: f64 = 0.001;
/// Upper bound of the mean time between two starts of an account's requests.
const MAX_START_INTERVAL_SECONDS: f64 = 60.0;
