//! The side of a quota owner: answers the asks of other VMs, each once.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use quincevalve_names::{ClientAccountName, TimePoint};

use super::{QuotaRequest, QuotaTable, messages::Verdict};
use crate::config::Quota;

/// Number of asks that an owner remembers of each VM. A duplicated datagram arrives within milliseconds, and most
/// refunds within the time in which a request waits for a server.
const REMEMBERED_ASKS: usize = 256;
/// Time after its last ask at which a VM's asks are forgotten: longer than any request waits before it is refused.
const SENDER_TTL: Duration = Duration::from_secs(30);

/// Greatest cost that an ask may state: that of a request with the greatest counts of prompt and output tokens.
const MAX_COST: f64 = 2.0 * 4_294_967_295.0;

#[derive(Clone, Copy, Debug)]
struct RememberedAsk {
    seq: u64,
    cost: f64,
    verdict: Verdict,
    is_refunded: bool,
}

#[derive(Clone, Debug)]
struct Sender {
    asked_at: TimePoint,
    asks: VecDeque<RememberedAsk>,
}

/// A request about which a VM asks.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Start of the VM that asks.
    pub sender: &'a str,
    /// Number of the ask.
    pub seq: u64,
    /// Account of the request.
    pub account: &'a ClientAccountName,
    /// Its demand on the quota.
    pub request: QuotaRequest,
}

/// The recent asks of other VMs, with this VM's decisions.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_forwarding::{
///     config::{CallerLimits, ForwardingConfig, Quota, QuotaUnit},
///     quota::{QuotaLimits, QuotaRequest, QuotaTable, messages::Verdict, owner::{Ask, QuotaOwner}},
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
/// let ask = Ask { sender: "vm-1#1", seq: 1, account: &account, request };
/// assert_eq!(owner.decide(ask, Some(&quota), &mut table, 0.5, now), Verdict::Granted);
/// assert!(owner.refund("vm-1#1", 1, &account, &mut table, now));
/// assert!(!owner.refund("vm-1#1", 1, &account, &mut table, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct QuotaOwner {
    senders: HashMap<String, Sender>,
}

impl QuotaOwner {
    /// Decides an ask with this VM's own bucket. A repeated ask gets the same verdict and is charged once.
    pub fn decide(
        &mut self,
        ask: Ask<'_>,
        quota: Option<&Quota>,
        table: &mut QuotaTable,
        draw: f64,
        now: TimePoint,
    ) -> Verdict {
        let Some(quota) = quota.filter(|it| table.is_coordinated(it) && table.can_own(now)) else {
            return Verdict::Undecided;
        };
        // A level that isn't a number would admit everything from then on.
        if !(0.0..=MAX_COST).contains(&ask.request.cost) {
            return Verdict::Undecided;
        }
        if !self.senders.contains_key(ask.sender) {
            self.senders.retain(|_, it| now.since(it.asked_at) <= SENDER_TTL);
            let sender = Sender { asked_at: now, asks: VecDeque::new() };
            self.senders.insert(ask.sender.to_owned(), sender);
        }
        let Some(sender) = self.senders.get_mut(ask.sender) else { return Verdict::Undecided };
        sender.asked_at = now;
        if let Some(known) = sender.asks.iter().find(|it| it.seq == ask.seq) {
            return known.verdict;
        }
        let verdict = match table.try_spend_as_owner(ask.account, quota, ask.request, draw, now) {
            Ok(()) => Verdict::Granted,
            Err(over) => Verdict::Refused(over),
        };
        if sender.asks.len() >= REMEMBERED_ASKS {
            sender.asks.pop_front();
        }
        let (seq, cost) = (ask.seq, ask.request.cost);
        sender.asks.push_back(RememberedAsk { seq, cost, verdict, is_refunded: false });
        verdict
    }

    /// Returns the units of a granted ask to the bucket, once. Returns `false` if nothing was returned: the ask is
    /// unknown, was not granted, or was refunded before.
    ///
    /// A refund of a forgotten ask is ignored, because it may be a duplicate. The account then gets a little less.
    pub fn refund(
        &mut self,
        sender: &str,
        seq: u64,
        account: &ClientAccountName,
        table: &mut QuotaTable,
        now: TimePoint,
    ) -> bool {
        let asks = self.senders.get_mut(sender).map(|it| &mut it.asks);
        let known = asks.and_then(|asks| asks.iter_mut().find(|it| it.seq == seq));
        let Some(known) = known.filter(|it| it.verdict == Verdict::Granted && !it.is_refunded)
        else {
            return false;
        };
        known.is_refunded = true;
        table.refund(account, known.cost, now);
        true
    }
}
