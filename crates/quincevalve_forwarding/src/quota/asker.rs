//! The side of a VM that asks the quota owner of an account.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use quincevalve_names::{ClientAccountName, TimePoint};

use super::messages::{QuotaMessage, Verdict};
use crate::quota::QuotaRequest;

/// Time after which an ask without a verdict is decided by the asking VM: many times the latency between data centres,
/// and short compared with the objective of the most urgent requests.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(30);
/// Time for which a VM that didn't answer isn't asked.
const SILENCE: Duration = Duration::from_millis(500);
/// Maximum of that time. It doubles with each ask in a row without an answer, so that a VM that is gone for good delays
/// few requests.
const MAX_SILENCE: Duration = Duration::from_secs(2);
/// Time after its end for which a silence is remembered: several times the longest, and VMs that are gone are forgotten.
const SILENCE_TTL: Duration = Duration::from_secs(10);
/// Time for which a late grant of an abandoned ask is refunded: longer than a frozen VM is given before its entry
/// expires.
const ABANDONED_TTL: Duration = Duration::from_secs(20);
/// Maximum number of abandoned asks that are remembered.
const MAX_ABANDONED: usize = 1_024;

/// Why a VM changed the owner that it asks for an account.
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
    /// The VM of this name is asked.
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

/// What to do with a received verdict.
#[derive(Clone, Debug, PartialEq)]
pub enum VerdictAction {
    /// The request with this ask is decided.
    Decide(Verdict),
    /// The grant came after the ask was abandoned; this refund goes to the owner.
    Refund(QuotaMessage),
    /// The ask is unknown.
    Ignore,
}

#[derive(Clone, Debug)]
struct PendingAsk {
    owner: String,
    account: ClientAccountName,
    cost: f64,
}

impl PendingAsk {
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

/// Asks of this VM to quota owners.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::quota::{
///     QuotaRequest,
///     asker::{Decider, QuotaAsker, VerdictAction},
///     messages::{QuotaMessage, Verdict},
/// };
/// use quincevalve_names::TimePoint;
/// let mut asker = QuotaAsker::default();
/// let account = "desk".into();
/// let owners = ["vm-2", "vm-3"];
/// let chosen = asker.choose(&account, owners, "vm-1", true, TimePoint::ZERO);
/// assert_eq!(chosen.decider, Decider::Owner("vm-2".to_owned()));
/// let request = QuotaRequest { cost: 200.0, urgency: 0 };
/// let (seq, _ask) = asker.ask("vm-2", &account, request);
/// let action = asker.receive_verdict("vm-2", seq, Verdict::Granted, TimePoint::ZERO);
/// assert_eq!(action, VerdictAction::Decide(Verdict::Granted));
/// ```
#[derive(Clone, Debug, Default)]
pub struct QuotaAsker {
    last_seq: u64,
    pending: HashMap<u64, PendingAsk>,
    /// Asks that were decided without a verdict, oldest first.
    abandoned: VecDeque<(TimePoint, u64, PendingAsk)>,
    silent: HashMap<String, Silence>,
    chosen: HashMap<ClientAccountName, Decider>,
}

impl QuotaAsker {
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

    /// Begins an ask; returns its number and the message to `owner`.
    pub fn ask(
        &mut self,
        owner: &str,
        account: &ClientAccountName,
        request: QuotaRequest,
    ) -> (u64, QuotaMessage) {
        self.last_seq += 1;
        let seq = self.last_seq;
        let QuotaRequest { cost, urgency } = request;
        let pending = PendingAsk { owner: owner.to_owned(), account: account.clone(), cost };
        self.pending.insert(seq, pending);
        (seq, QuotaMessage::Ask { seq, account: account.clone(), cost, urgency })
    }

    /// Applies a verdict of the VM `from`.
    pub fn receive_verdict(
        &mut self,
        from: &str,
        seq: u64,
        verdict: Verdict,
        now: TimePoint,
    ) -> VerdictAction {
        let is_pending = self.pending.get(&seq).is_some_and(|it| it.owner == from);
        let is_late = |it: &(TimePoint, u64, PendingAsk)| it.1 == seq && it.2.owner == from;
        let late = self.abandoned.iter().position(is_late);
        // A verdict that this VM didn't ask for says nothing about its sender.
        if !is_pending && late.is_none() {
            return VerdictAction::Ignore;
        }
        match verdict {
            Verdict::Undecided => self.mark_silent(from, OwnerChangeCause::Undecided, now),
            Verdict::Granted | Verdict::Refused(_) => {
                self.silent.remove(from);
            }
        }
        if is_pending {
            self.pending.remove(&seq);
            return VerdictAction::Decide(verdict);
        }
        match late.and_then(|at| self.abandoned.remove(at)) {
            Some((_, _, ask)) if verdict == Verdict::Granted => {
                VerdictAction::Refund(ask.refund(seq))
            }
            _ => VerdictAction::Ignore,
        }
    }

    /// Gives up an ask without a verdict after [`ASK_TIMEOUT`]. Its owner counts as silent.
    ///
    /// Returns the owner and the refund to send to it: if the verdict was lost, the owner has charged a request that
    /// this VM decides itself. An owner that received no ask ignores the refund.
    pub fn time_out(&mut self, seq: u64, now: TimePoint) -> Option<(String, QuotaMessage)> {
        let owner = self.pending.get(&seq)?.owner.clone();
        self.mark_silent(&owner, OwnerChangeCause::Silent, now);
        self.abandon(seq, now)
    }

    /// Gives up an ask whose caller is gone. Returns the owner and the refund to send to it.
    pub fn abandon(&mut self, seq: u64, now: TimePoint) -> Option<(String, QuotaMessage)> {
        let ask = self.pending.remove(&seq)?;
        let is_expired = |it: &(TimePoint, u64, PendingAsk)| now.since(it.0) > ABANDONED_TTL;
        while self.abandoned.len() >= MAX_ABANDONED
            || self.abandoned.front().is_some_and(is_expired)
        {
            self.abandoned.pop_front();
        }
        let refund = (ask.owner.clone(), ask.refund(seq));
        self.abandoned.push_back((now, seq, ask));
        Some(refund)
    }

    fn is_silent(&self, name: &str, now: TimePoint) -> bool {
        self.silent.get(name).is_some_and(|it| now < it.until)
    }

    fn mark_silent(&mut self, name: &str, cause: OwnerChangeCause, now: TimePoint) {
        // Asks that were sent together time out together and count as one.
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
