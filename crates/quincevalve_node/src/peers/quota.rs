//! Charges requests to the quotas of their accounts: here, or at the account's quota owner.
//!
//! [`quincevalve_forwarding::quota`] makes the decisions. Each VM sends and receives a few datagrams per request of a
//! contended account, and none for other accounts.

use std::{
    cell::{OnceCell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
};

use quincevalve_forwarding::{
    config::Quota,
    peer_table::VmDescriptor,
    quota::{
        OverQuota, QuotaRequest,
        messages::{Decision, QuotaMessage},
        owner::{QuotaOwner, QuotaQuery},
        queries::{AnswerAction, ChosenDecider, Decider, OwnerQueries, QUERY_TIMEOUT},
    },
};
use quincevalve_names::{ClientAccountName, hash_text};
use rand::RngExt;
use tokio::{net::UdpSocket, sync::oneshot, time::timeout};

use super::{datagram::Content, send::send};
use crate::{clock, node::Node};

/// State of the queries to quota owners, and of this VM as an owner.
#[derive(Debug, Default)]
pub(crate) struct QuotaOwners {
    queries: RefCell<OwnerQueries>,
    owner: RefCell<QuotaOwner>,
    /// The requests that wait for a decision, by the number of their query.
    waiting: RefCell<HashMap<u64, oneshot::Sender<Decision>>>,
    /// The socket for datagrams; not set before the process serves.
    socket: OnceCell<Rc<UdpSocket>>,
}

impl QuotaOwners {
    /// Sets the socket from which queries are sent. Only the first call has an effect.
    pub(crate) fn set_socket(&self, socket: Rc<UdpSocket>) {
        self.socket.get_or_init(|| socket);
    }
}

/// The VM that decided on a request's charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecidedBy {
    /// This VM, as for any account that isn't contended.
    Local,
    /// The account's quota owner.
    Owner,
    /// This VM, because no owner answered.
    Fallback,
}

impl DecidedBy {
    /// Returns the name in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Local => "local",
            Self::Owner => "owner",
            Self::Fallback => "fallback",
        }
    }
}

/// The cost of a request, and where it was charged.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Charge {
    cost: f64,
    /// The owner that granted it, with the number of the query; `None` if it was charged here.
    granted_by: Option<(String, u64)>,
}

/// A rejection by the account's quota.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct QuotaRejection {
    pub(crate) over: OverQuota,
    /// The name of the VM that decided as the account's owner; empty if this VM decided alone.
    pub(crate) owner: String,
}

/// Charges a request to its account's quota, or rejects it.
pub(crate) async fn charge(
    node: &Node,
    account: &ClientAccountName,
    quota: &Quota,
    request: QuotaRequest,
) -> Result<Charge, QuotaRejection> {
    let now = clock::now();
    let is_contended =
        node.vm_count() > 1 && node.quota.borrow_mut().is_contended(account, quota, now);
    if !is_contended {
        return charge_here(node, account, quota, request, DecidedBy::Local);
    }
    match choose_decider(node, account) {
        Decider::Itself => charge_here(node, account, quota, request, DecidedBy::Owner),
        Decider::Nobody => charge_here(node, account, quota, request, DecidedBy::Fallback),
        Decider::Owner(owner) => match query(node, &owner, account, request).await {
            Some((seq, Decision::Granted)) => {
                node.metrics.count_quota_decision(DecidedBy::Owner.name());
                Ok(Charge { cost: request.cost, granted_by: Some((owner, seq)) })
            }
            Some((_, Decision::Refused(over))) => {
                node.metrics.count_quota_decision(DecidedBy::Owner.name());
                Err(QuotaRejection { over, owner })
            }
            Some((_, Decision::Undecided)) | None => {
                charge_here(node, account, quota, request, DecidedBy::Fallback)
            }
        },
    }
}

/// Returns the units of a request that was charged and has not run.
pub(crate) fn refund(node: &Node, account: &ClientAccountName, charge: Charge) {
    let Some((owner, seq)) = charge.granted_by else {
        node.quota.borrow_mut().refund(account, charge.cost, clock::now());
        return;
    };
    let message = QuotaMessage::Refund { seq, account: account.clone(), cost: charge.cost };
    send_to(node, &owner, message);
}

/// Decides on a request with this VM's own bucket.
fn charge_here(
    node: &Node,
    account: &ClientAccountName,
    quota: &Quota,
    request: QuotaRequest,
    by: DecidedBy,
) -> Result<Charge, QuotaRejection> {
    let now = clock::now();
    let draw = node.rng.borrow_mut().random::<f64>();
    node.metrics.count_quota_decision(by.name());
    let mut table = node.quota.borrow_mut();
    let spent = match by {
        DecidedBy::Local => table.try_spend(account, quota, request, draw, now),
        DecidedBy::Owner => table.try_spend_as_owner(account, quota, request, draw, now),
        DecidedBy::Fallback => table.try_spend_without_owner(account, quota, request, draw, now),
    };
    spent.map(|()| Charge { cost: request.cost, granted_by: None }).map_err(|over| {
        let is_owner = by == DecidedBy::Owner;
        let owner = if is_owner { node.settings.name.as_str() } else { "" };
        QuotaRejection { over, owner: owner.to_owned() }
    })
}

/// Chooses the VM that decides on a contended account's request, and logs if it changed.
fn choose_decider(node: &Node, account: &ClientAccountName) -> Decider {
    let now = clock::now();
    let ChosenDecider { decider, change } = {
        let peers = node.peers.borrow();
        let can_own = node.quota.borrow().can_own(now);
        let candidates = peers.table.quota_owners(hash_text(account.as_str()), now);
        let me = &peers.table.me().name;
        node.quota_owners.queries.borrow_mut().choose(account, candidates, me, can_own, now)
    };
    if let Some(change) = change
        && node.may_log()
    {
        let owner = match &decider {
            Decider::Itself => node.settings.name.as_str(),
            Decider::Owner(owner) => owner,
            Decider::Nobody => "",
        };
        log::info!(account = account.as_str(), owner, cause = change.name(); "quota-owner");
    }
    decider
}

/// A query without a decision. Dropping it, because the decision is overdue or the caller is gone, returns what the owner
/// may have granted.
struct PendingQuery<'a> {
    node: &'a Node,
    seq: u64,
    owner: &'a str,
    account: &'a ClientAccountName,
    cost: f64,
    decision: oneshot::Receiver<Decision>,
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        let owners = &self.node.quota_owners;
        owners.waiting.borrow_mut().remove(&self.seq);
        let abandoned = owners.queries.borrow_mut().abandon(self.seq, clock::now());
        if let Some((to, refund)) = abandoned {
            send_to(self.node, &to, refund);
        }
        // The decision arrived, but nobody received it.
        if let Ok(Decision::Granted) = self.decision.try_recv() {
            let (seq, cost) = (self.seq, self.cost);
            let refund = QuotaMessage::Refund { seq, account: self.account.clone(), cost };
            send_to(self.node, self.owner, refund);
        }
    }
}

/// Queries an owner; returns the number of the query and the decision, or `None` if there is none in time.
async fn query(
    node: &Node,
    owner: &str,
    account: &ClientAccountName,
    request: QuotaRequest,
) -> Option<(u64, Decision)> {
    let owners = &node.quota_owners;
    let (seq, message) = owners.queries.borrow_mut().begin(owner, account, request);
    let (tx, decision) = oneshot::channel();
    owners.waiting.borrow_mut().insert(seq, tx);
    let mut pending = PendingQuery { node, seq, owner, account, cost: request.cost, decision };
    send_to(node, owner, message);
    if let Ok(Ok(decision)) = timeout(QUERY_TIMEOUT, &mut pending.decision).await {
        return Some((seq, decision));
    }
    let timed_out = owners.queries.borrow_mut().time_out(seq, clock::now());
    if let Some((to, refund)) = timed_out {
        send_to(node, &to, refund);
    }
    None
}

/// Applies a message about quotas that the VM `from` sent; `sender` identifies its start.
pub(super) fn receive(
    node: &Node,
    socket: &UdpSocket,
    from: &VmDescriptor,
    sender: &str,
    message: QuotaMessage,
) {
    let now = clock::now();
    let owners = &node.quota_owners;
    match message {
        QuotaMessage::Query { seq, account, cost, urgency } => {
            let config = node.config();
            let quota = config.as_ref().and_then(|it| it.accounts.get(&account)?.quota);
            let draw = node.rng.borrow_mut().random::<f64>();
            let request = QuotaRequest { cost, urgency };
            let query = QuotaQuery { sender, seq, account: &account, request };
            let decision = {
                let mut table = node.quota.borrow_mut();
                owners.owner.borrow_mut().decide(query, quota.as_ref(), &mut table, draw, now)
            };
            let message = QuotaMessage::Answer { seq, decision };
            send_message(node, socket, from.address, message);
        }
        QuotaMessage::Answer { seq, decision } => {
            let action = owners.queries.borrow_mut().receive_answer(&from.name, seq, decision, now);
            match action {
                AnswerAction::Decide(decision) => {
                    let waiting = owners.waiting.borrow_mut().remove(&seq);
                    // The receiver lives as long as the query is pending.
                    waiting.map(|it| it.send(decision).ok());
                }
                AnswerAction::Refund(message) => {
                    send_message(node, socket, from.address, message);
                }
                AnswerAction::Ignore => {}
            }
        }
        QuotaMessage::Refund { seq, account, .. } => {
            let mut table = node.quota.borrow_mut();
            owners.owner.borrow_mut().refund(sender, seq, &account, &mut table, now);
        }
    }
}

fn send_to(node: &Node, vm: &str, message: QuotaMessage) {
    let address = node.peers.borrow().table.descriptor(vm).map(|it| it.address);
    // To a VM that was removed meanwhile, a message is treated like a lost one.
    if let (Some(address), Some(socket)) = (address, node.quota_owners.socket.get()) {
        send_message(node, socket, address, message);
    }
}

fn send_message(node: &Node, socket: &UdpSocket, to: SocketAddr, message: QuotaMessage) {
    send(node, socket, to, Content::Quota(message));
}

#[cfg(test)]
mod tests;
