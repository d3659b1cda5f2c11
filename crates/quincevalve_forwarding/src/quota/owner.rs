//! The side of a quota owner: answers the queries of other VMs, each once.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use quincevalve_names::{ClientAccountName, TimePoint};

use super::{QuotaRequest, QuotaTable, messages::Decision};
use crate::config::Quota;

/// Number of queries that an owner remembers of each VM. A duplicated datagram arrives within milliseconds, and most
/// refunds within the time in which a request waits for a server.
const MAX_DECIDED_QUERIES: usize = 256;
/// Time after its last query at which a VM's queries are forgotten: longer than any request waits before it is refused.
const SENDER_TTL: Duration = Duration::from_secs(30);

/// Greatest cost that a query may state: that of a request with the greatest counts of prompt and output tokens.
const MAX_COST: f64 = 2.0 * 4_294_967_295.0;

#[derive(Clone, Copy, Debug)]
struct DecidedQuery {
    seq: u64,
    cost: f64,
    decision: Decision,
    is_refunded: bool,
}

#[derive(Clone, Debug)]
struct Sender {
    queried_at: TimePoint,
    queries: VecDeque<DecidedQuery>,
}

/// Another VM's query about a request.
#[derive(Clone, Copy, Debug)]
pub struct QuotaQuery<'a> {
    /// Start of the VM that queries.
    pub sender: &'a str,
    /// Number of the query.
    pub seq: u64,
    /// Account of the request.
    pub account: &'a ClientAccountName,
    /// Its demand on the quota.
    pub request: QuotaRequest,
}

/// The recent queries of other VMs, with this VM's decisions.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_forwarding::{
///     config::{CallerLimits, ForwardingConfig, Quota, QuotaUnit},
///     quota::{QuotaLimits, QuotaRequest, QuotaTable, messages::Decision, owner::{QuotaQuery, QuotaOwner}},
///     sums::Spending,
/// };
/// use quincevalve_names::TimePoint;
/// let now = TimePoint::from_millis(5_000);
/// let limits = QuotaLimits { window: Duration::from_secs(8), ..QuotaLimits::default() };
/// let mut table = QuotaTable::new(limits, TimePoint::ZERO);
/// # let callers = CallerLimits {
/// #     head_bytes: 16 << 10,
/// #     body_bytes: 4 << 20,
/// #     head_timeout: Duration::from_secs(3),
/// #     idle_timeout: Duration::from_secs(15),
/// # };
/// # let config =
/// #     ForwardingConfig::new(1, Vec::new(), Default::default(), Default::default(), callers);
/// table.set_peer_spending(&Spending::new(), 1.0, &config, now);
/// let unit = QuotaUnit::Tokens { default_tokens: 200 };
/// let quota = Quota { per_second: 1_000.0, burst: 1_000.0, unit };
/// let mut owner = QuotaOwner::default();
/// let account = "desk".into();
/// let request = QuotaRequest { cost: 100.0, urgency: 0 };
/// let query = QuotaQuery { sender: "vm-1#1", seq: 1, account: &account, request };
/// assert_eq!(owner.decide(query, Some(&quota), &mut table, 0.5, now), Decision::Granted);
/// assert!(owner.refund("vm-1#1", 1, &account, &mut table, now));
/// assert!(!owner.refund("vm-1#1", 1, &account, &mut table, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct QuotaOwner {
    senders: HashMap<String, Sender>,
}

impl QuotaOwner {
    /// Decides a query with this VM's own bucket. A repeated query gets the same decision and is charged once.
    pub fn decide(
        &mut self,
        query: QuotaQuery<'_>,
        quota: Option<&Quota>,
        table: &mut QuotaTable,
        draw: f64,
        now: TimePoint,
    ) -> Decision {
        let Some(quota) = quota.filter(|it| table.is_coordinated(it) && table.can_own(now)) else {
            return Decision::Undecided;
        };
        // A level that isn't a number would admit everything from then on.
        if !(0.0..=MAX_COST).contains(&query.request.cost) {
            return Decision::Undecided;
        }
        if !self.senders.contains_key(query.sender) {
            self.senders.retain(|_, it| now.since(it.queried_at) <= SENDER_TTL);
            let sender = Sender { queried_at: now, queries: VecDeque::new() };
            self.senders.insert(query.sender.to_owned(), sender);
        }
        let Some(sender) = self.senders.get_mut(query.sender) else { return Decision::Undecided };
        sender.queried_at = now;
        if let Some(known) = sender.queries.iter().find(|it| it.seq == query.seq) {
            return known.decision;
        }
        let decision =
            match table.try_spend_as_owner(query.account, quota, query.request, draw, now) {
                Ok(()) => Decision::Granted,
                Err(over) => Decision::Refused(over),
            };
        if sender.queries.len() >= MAX_DECIDED_QUERIES {
            sender.queries.pop_front();
        }
        let (seq, cost) = (query.seq, query.request.cost);
        sender.queries.push_back(DecidedQuery { seq, cost, decision, is_refunded: false });
        decision
    }

    /// Returns the units of a granted query to the bucket, once. Returns `false` if nothing was returned: the query is
    /// unknown, was not granted, or was refunded before.
    ///
    /// A refund of a forgotten query is ignored, because it may be a duplicate. The account then gets a little less.
    pub fn refund(
        &mut self,
        sender: &str,
        seq: u64,
        account: &ClientAccountName,
        table: &mut QuotaTable,
        now: TimePoint,
    ) -> bool {
        let queries = self.senders.get_mut(sender).map(|it| &mut it.queries);
        let known = queries.and_then(|queries| queries.iter_mut().find(|it| it.seq == seq));
        let Some(known) = known.filter(|it| it.decision == Decision::Granted && !it.is_refunded)
        else {
            return false;
        };
        known.is_refunded = true;
        table.refund(account, known.cost, now);
        true
    }
}
