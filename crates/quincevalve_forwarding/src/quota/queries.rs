//! The side of a VM that queries the quota owner of an account.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use quincevalve_names::{ClientAccountName, TimePoint};

use super::messages::{Decision, QuotaMessage};
use crate::quota::QuotaRequest;

/// Time after which a query without a decision is decided by the querying VM: many times the latency between data centres,
/// and short compared with the objective of the most urgent requests.
pub const QUERY_TIMEOUT: Duration = Duration::from_millis(30);
/// Time for which a VM that didn't answer isn't queried.
const SILENCE: Duration = Duration::from_millis(500);
/// Maximum of that time. It doubles with each query in a row without an answer, so that a VM that is gone for good delays
/// few requests.
const MAX_SILENCE: Duration = Duration::from_secs(2);
/// Time after its end for which a silence is remembered: several times the longest, and VMs that are gone are forgotten.
const SILENCE_TTL: Duration = Duration::from_secs(10);
/// Time for which a late grant of an abandoned query is refunded: longer than a frozen VM is given before its entry
/// expires.
const ABANDONED_TTL: Duration = Duration::from_secs(20);
/// Maximum number of abandoned queries that are remembered.
const MAX_ABANDONED: usize = 1_024;

/// Why a VM changed the owner that it queries for an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerChangeCause {
    /// The account became contended for the first time.
    Contended,
    /// The previous owner didn't answer.
    Silent,
    /// The previous owner answered that it can't decide.
    Undecided,
    /// A VM that precedes the previous owner was added or answers again, or the previous owner was removed.
    Reordered,
}

impl OwnerChangeCause {
    /// Returns the name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Contended => "contended",
            Self::Silent => "silent",
            Self::Undecided => "undecided",
            Self::Reordered => "reordered",
        }
    }
}

/// The VM that decides on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decider {
    /// This VM is the account's owner.
    Itself,
    /// The VM of this name is queried.
    Owner(String),
    /// No candidate answers; this VM decides alone.
    Nobody,
}

/// The VM that decides on an account's requests, and why that changed with this request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenDecider {
    /// The VM that decides.
    pub decider: Decider,
    /// Why it differs from the one before; `None` if it doesn't.
    pub change: Option<OwnerChangeCause>,
}

/// What to do with a received decision.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerAction {
    /// The request with this query is decided.
    Decide(Decision),
    /// The grant came after the query was abandoned; this refund goes to the owner.
    Refund(QuotaMessage),
    /// The query is unknown.
    Ignore,
}

#[derive(Clone, Debug)]
struct PendingQuery {
    owner: String,
    account: ClientAccountName,
    cost: f64,
}

impl PendingQuery {
    fn refund(&self, seq: u64) -> QuotaMessage {
        QuotaMessage::Refund { seq, account: self.account.clone(), cost: self.cost }
    }
}

#[derive(Clone, Copy, Debug)]
struct Silence {
    until: TimePoint,
    /// Duration of this silence.
    duration: Duration,
    cause: OwnerChangeCause,
}

/// Queries of this VM to quota owners.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::quota::{
///     QuotaRequest,
///     queries::{Decider, OwnerQueries, AnswerAction},
///     messages::{QuotaMessage, Decision},
/// };
/// use quincevalve_names::TimePoint;
/// let mut queries = OwnerQueries::default();
/// let account = "desk".into();
/// let owners = ["vm-2", "vm-3"];
/// let chosen = queries.choose(&account, owners, "vm-1", true, TimePoint::ZERO);
/// assert_eq!(chosen.decider, Decider::Owner("vm-2".to_owned()));
/// let request = QuotaRequest { cost: 200.0, urgency: 0 };
/// let (seq, _query) = queries.begin("vm-2", &account, request);
/// let action = queries.receive_answer("vm-2", seq, Decision::Granted, TimePoint::ZERO);
/// assert_eq!(action, AnswerAction::Decide(Decision::Granted));
/// ```
#[derive(Clone, Debug, Default)]
pub struct OwnerQueries {
    last_seq: u64,
    pending: HashMap<u64, PendingQuery>,
    /// Queries that this VM decided itself, oldest first.
    abandoned: VecDeque<(TimePoint, u64, PendingQuery)>,
    silent: HashMap<String, Silence>,
    chosen: HashMap<ClientAccountName, Decider>,
}

impl OwnerQueries {
    /// Returns the VM that decides on a request of a contended account: the first of `candidates` that isn't known to
    /// be silent. `can_own` says whether this VM, `me`, may decide for others.
    pub fn choose<'a, I>(
        &mut self,
        account: &ClientAccountName,
        candidates: I,
        me: &str,
        can_own: bool,
        now: TimePoint,
    ) -> ChosenDecider
    where
        I: IntoIterator<Item = &'a str>,
    {
        let is_candidate = |it: &&str| if *it == me { can_own } else { !self.is_silent(it, now) };
        let decider = match candidates.into_iter().find(is_candidate) {
            Some(name) if name == me => Decider::Itself,
            Some(name) => Decider::Owner(name.to_owned()),
            None => Decider::Nobody,
        };
        let change = match self.chosen.get(account) {
            Some(before) if *before == decider => None,
            Some(Decider::Owner(before)) if self.is_silent(before, now) => {
                self.silent.get(before).map(|it| it.cause)
            }
            Some(_) => Some(OwnerChangeCause::Reordered),
            None => Some(OwnerChangeCause::Contended),
        };
        if change.is_some() {
            self.chosen.insert(account.clone(), decider.clone());
        }
        ChosenDecider { decider, change }
    }

    /// Begins a query; returns its number and the message to `owner`.
    pub fn begin(
        &mut self,
        owner: &str,
        account: &ClientAccountName,
        request: QuotaRequest,
    ) -> (u64, QuotaMessage) {
        self.last_seq += 1;
        let seq = self.last_seq;
        let QuotaRequest { cost, urgency } = request;
        let pending = PendingQuery { owner: owner.to_owned(), account: account.clone(), cost };
        self.pending.insert(seq, pending);
        (seq, QuotaMessage::Query { seq, account: account.clone(), cost, urgency })
    }

    /// Applies a decision of the VM `from`.
    pub fn receive_answer(
        &mut self,
        from: &str,
        seq: u64,
        decision: Decision,
        now: TimePoint,
    ) -> AnswerAction {
        let is_pending = self.pending.get(&seq).is_some_and(|it| it.owner == from);
        let is_late = |it: &(TimePoint, u64, PendingQuery)| it.1 == seq && it.2.owner == from;
        let late = self.abandoned.iter().position(is_late);
        // A decision on no query of this VM says nothing about its sender.
        if !is_pending && late.is_none() {
            return AnswerAction::Ignore;
        }
        match decision {
            Decision::Undecided => self.mark_silent(from, OwnerChangeCause::Undecided, now),
            Decision::Granted | Decision::Refused(_) => {
                self.silent.remove(from);
            }
        }
        if is_pending {
            self.pending.remove(&seq);
            return AnswerAction::Decide(decision);
        }
        match late.and_then(|at| self.abandoned.remove(at)) {
            Some((_, _, query)) if decision == Decision::Granted => {
                AnswerAction::Refund(query.refund(seq))
            }
            _ => AnswerAction::Ignore,
        }
    }

    /// Gives up a query without a decision after [`QUERY_TIMEOUT`]. Its owner counts as silent.
    ///
    /// Returns the owner and the refund to send to it: if the decision was lost, the owner has charged a request that
    /// this VM decides itself. An owner that received no query ignores the refund.
    pub fn time_out(&mut self, seq: u64, now: TimePoint) -> Option<(String, QuotaMessage)> {
        let owner = self.pending.get(&seq)?.owner.clone();
        self.mark_silent(&owner, OwnerChangeCause::Silent, now);
        self.abandon(seq, now)
    }

    /// Gives up a query whose caller is gone. Returns the owner and the refund to send to it.
    pub fn abandon(&mut self, seq: u64, now: TimePoint) -> Option<(String, QuotaMessage)> {
        let query = self.pending.remove(&seq)?;
        let is_expired = |it: &(TimePoint, u64, PendingQuery)| now.since(it.0) > ABANDONED_TTL;
        while self.abandoned.len() >= MAX_ABANDONED
            || self.abandoned.front().is_some_and(is_expired)
        {
            self.abandoned.pop_front();
        }
        let refund = (query.owner.clone(), query.refund(seq));
        self.abandoned.push_back((now, seq, query));
        Some(refund)
    }

    fn is_silent(&self, name: &str, now: TimePoint) -> bool {
        self.silent.get(name).is_some_and(|it| now < it.until)
    }

    fn mark_silent(&mut self, name: &str, cause: OwnerChangeCause, now: TimePoint) {
        // Queries that were sent together time out together and count as one.
        if self.is_silent(name, now) {
            return;
        }
        self.silent.retain(|_, it| now.since(it.until) <= SILENCE_TTL);
        let duration = match self.silent.get(name) {
            Some(before) if before.cause == cause && cause == OwnerChangeCause::Silent => {
                (before.duration * 2).min(MAX_SILENCE)
            }
            _ => SILENCE,
        };
        self.silent.insert(name.to_owned(), Silence { until: now + duration, duration, cause });
    }
}
