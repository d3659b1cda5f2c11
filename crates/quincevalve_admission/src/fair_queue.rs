//! Start-time fair queueing (SFQ) over client accounts, in order of urgency.

#![expect(
    clippy::indexing_slicing,
    reason = "indices are given out here, and accounts are never removed"
)]

use std::collections::{BTreeMap, VecDeque};

use quincevalve_names::TimePoint;

use crate::{AccountIndex, Ticket, Urgency};

/// One in this many starts goes to less urgent work while both wait.
///
/// Urgent work alone can fill the servers for hours, which would starve all other work. One start in eight is enough
/// for it to complete, at little cost to urgent work.
const LESS_URGENT_START_PERIOD: u32 = 8;

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) ticket: Ticket,
    /// Time at which the request expires because it could no longer meet its deadline.
    pub(crate) latest_start: TimePoint,
    /// Time from which the request can only be late, so that it goes after requests that are still on time.
    pub(crate) on_time_until: TimePoint,
    pub(crate) cost: u32,
}

/// Requests that are started before those of any greater class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Class {
    pub(crate) urgency: Urgency,
    pub(crate) is_late: bool,
}

impl Class {
    const fn on_time(urgency: Urgency) -> Self {
        Self { urgency, is_late: false }
    }
}

/// Place of a request in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Position {
    pub(crate) class: Class,
    pub(crate) account: AccountIndex,
    index: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct AccountShare {
    weight: u32,
    /// Virtual start time of the account's next request.
    start_tag: u64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    accounts: Vec<AccountShare>,
    /// Waiting requests by class and account. Only queues that aren't empty are kept.
    waiting: BTreeMap<Class, BTreeMap<AccountIndex, VecDeque<QueuedRequest>>>,
    virtual_time: u64,
    /// Starts since the last start of less urgent work, counted while less urgent work waits.
    urgent_starts: u32,
    /// Urgency of the last start that less urgent work was due.
    last_less_urgent: Option<Urgency>,
}

/// Virtual time that one unit of cost takes at weight 1.
const VIRTUAL_TIME_PER_COST: u64 = 1 << 16;

impl FairQueue {
    pub(crate) fn set_weight(&mut self, account: AccountIndex, weight: u32) {
        let index = account.0 as usize;
        if self.accounts.len() <= index {
            self.accounts.resize_with(index + 1, AccountShare::default);
        }
        self.accounts[index].weight = weight.max(1);
    }

    pub(crate) fn push(&mut self, account: AccountIndex, urgency: Urgency, queued: QueuedRequest) {
        self.resume(account);
        self.push_to(Class::on_time(urgency), account, queued);
    }

    fn push_to(&mut self, class: Class, account: AccountIndex, queued: QueuedRequest) {
        self.waiting.entry(class).or_default().entry(account).or_default().push_back(queued);
    }

    /// Lets an account that was idle continue at the current virtual time: idle time earns no credit.
    fn resume(&mut self, account: AccountIndex) -> &mut AccountShare {
        let share = &mut self.accounts[account.0 as usize];
        share.start_tag = share.start_tag.max(self.virtual_time);
        share
    }

    /// Charges a started request to the account's fair share, whether or not the request was queued.
    pub(crate) fn charge(&mut self, account: AccountIndex, cost: u32) {
        let share = self.resume(account);
        let start_tag = share.start_tag;
        share.start_tag += u64::from(cost.max(1)) * VIRTUAL_TIME_PER_COST / u64::from(share.weight);
        self.virtual_time = start_tag;
    }

    /// Returns the next request to start among those that `accepts` accepts.
    pub(crate) fn next(&self, accepts: impl Fn(&QueuedRequest) -> bool) -> Option<Position> {
        let due = self.due_urgency();
        let first = self.waiting.keys().filter(|it| Some(it.urgency) == due);
        first.chain(self.waiting.keys()).find_map(|class| self.next_of(*class, &accepts))
    }

    /// Returns the next request to start among those that `accepts` accepts, without the start that is due to less
    /// urgent work.
    pub(crate) fn next_by_urgency(
        &self,
        accepts: impl Fn(&QueuedRequest) -> bool,
    ) -> Option<Position> {
        self.waiting.keys().find_map(|class| self.next_of(*class, &accepts))
    }

    /// Returns the less urgent class of work to which the next start is due.
    ///
    /// Less urgent classes take turns, so that none of them starves.
    fn due_urgency(&self) -> Option<Urgency> {
        if self.urgent_starts + 1 < LESS_URGENT_START_PERIOD {
            return None;
        }
        let most_urgent = self.waiting.keys().next()?.urgency;
        let less_urgent =
            || self.waiting.keys().map(|it| it.urgency).filter(|it| *it > most_urgent);
        let after_last = |it: &Urgency| self.last_less_urgent.is_none_or(|last| *it > last);
        less_urgent().find(after_last).or_else(|| less_urgent().next())
    }

    fn next_of(&self, class: Class, accepts: impl Fn(&QueuedRequest) -> bool) -> Option<Position> {
        let accounts = self.waiting.get(&class)?.iter();
        let first_accepted = accounts.filter_map(|(account, queue)| {
            let index = queue.iter().position(&accepts)?;
            Some(Position { class, account: *account, index })
        });
        first_accepted.min_by_key(|it| self.accounts[it.account.0 as usize].start_tag)
    }

    /// Removes the next request to start from the accounts that `may_run` accepts.
    pub(crate) fn pop(
        &mut self,
        may_run: impl Fn(&QueuedRequest) -> bool,
    ) -> Option<(AccountIndex, QueuedRequest)> {
        let position = self.next(may_run)?;
        let queued = self.start_at(position)?;
        Some((position.account, queued))
    }

    /// Returns the request at a position that [`Self::next`] returned.
    pub(crate) fn get(&self, position: Position) -> Option<&QueuedRequest> {
        self.waiting.get(&position.class)?.get(&position.account)?.get(position.index)
    }

    /// Removes a request that starts. It is charged separately.
    pub(crate) fn start_at(&mut self, position: Position) -> Option<QueuedRequest> {
        self.count_start(position.class.urgency);
        self.remove_at(position)
    }

    /// Counts a start towards the next one that less urgent work is due, whether or not the request was queued.
    pub(crate) fn count_start(&mut self, urgency: Urgency) {
        let mut waiting = self.waiting.keys().map(|it| it.urgency);
        if waiting.next().is_some_and(|most_urgent| urgency > most_urgent) {
            self.urgent_starts = 0;
            self.last_less_urgent = Some(urgency);
        } else if self.has_less_urgent(urgency) {
            self.urgent_starts += 1;
        } else {
            self.urgent_starts = 0;
        }
    }

    /// Returns whether less urgent work waits.
    pub(crate) fn has_less_urgent(&self, urgency: Urgency) -> bool {
        self.waiting.keys().next_back().is_some_and(|it| it.urgency > urgency)
    }

    /// Returns whether less urgent work was due a start one period ago and has not found a server since.
    pub(crate) fn is_less_urgent_overdue(&self) -> bool {
        self.urgent_starts + 1 >= 2 * LESS_URGENT_START_PERIOD
    }

    fn remove_at(&mut self, position: Position) -> Option<QueuedRequest> {
        let accounts = self.waiting.get_mut(&position.class)?;
        let queue = accounts.get_mut(&position.account)?;
        let removed = queue.remove(position.index);
        if queue.is_empty() {
            self.drop_empty();
        }
        removed
    }

    fn drop_empty(&mut self) {
        for accounts in self.waiting.values_mut() {
            accounts.retain(|_, it| !it.is_empty());
        }
        self.waiting.retain(|_, it| !it.is_empty());
    }

    /// Returns all waiting requests in the order in which they would start if no other request arrived.
    pub(crate) fn start_order(&self) -> Vec<Ticket> {
        let mut copy = self.clone();
        let mut order = Vec::new();
        while let Some((account, queued)) = copy.pop(|_| true) {
            copy.charge(account, queued.cost);
            order.push(queued.ticket);
        }
        order
    }

    /// Moves requests that can only be late behind those of their urgency that are still on time.
    pub(crate) fn demote_late(&mut self, now: TimePoint) {
        let mut demoted = Vec::new();
        for (class, accounts) in self.waiting.iter_mut().filter(|(class, _)| !class.is_late) {
            for (account, queue) in accounts {
                queue.retain(|it| {
                    let is_on_time = it.on_time_until > now;
                    if !is_on_time {
                        demoted.push((class.urgency, *account, *it));
                    }
                    is_on_time
                });
            }
        }
        self.drop_empty();
        for (urgency, account, queued) in demoted {
            self.push_to(Class { urgency, is_late: true }, account, queued);
        }
    }

    /// Changes until when a waiting request is on time.
    pub(crate) fn set_on_time_until(&mut self, ticket: Ticket, on_time_until: TimePoint) {
        let mut queued = self.waiting.values_mut().flat_map(BTreeMap::values_mut).flatten();
        if let Some(found) = queued.find(|it| it.ticket == ticket) {
            found.on_time_until = on_time_until;
        }
    }

    /// Removes all requests whose latest start time has passed and returns their tickets.
    pub(crate) fn expire(&mut self, now: TimePoint) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for queue in self.waiting.values_mut().flat_map(BTreeMap::values_mut) {
            queue.retain(|it| {
                let keep = it.latest_start > now;
                if !keep {
                    expired.push(it.ticket);
                }
                keep
            });
        }
        self.drop_empty();
        expired
    }

    /// Returns the position of a waiting request.
    pub(crate) fn find(&self, ticket: Ticket) -> Option<Position> {
        self.waiting.iter().find_map(|(class, accounts)| {
            accounts.iter().find_map(|(account, queue)| {
                let index = queue.iter().position(|it| it.ticket == ticket)?;
                Some(Position { class: *class, account: *account, index })
            })
        })
    }

    /// Removes a request; returns `false` if it isn't queued.
    pub(crate) fn cancel(&mut self, ticket: Ticket) -> bool {
        self.find(ticket).and_then(|it| self.remove_at(it)).is_some()
    }

    /// Returns the classes that have waiting requests, in order.
    pub(crate) fn classes(&self) -> impl Iterator<Item = Class> {
        self.waiting.keys().copied()
    }

    /// Returns how many requests of an account wait whose urgency is at least `urgency`.
    pub(crate) fn queued_up_to(&self, account: AccountIndex, urgency: Urgency) -> u32 {
        let classes = self.waiting.iter().filter(|(class, _)| class.urgency <= urgency);
        let queues = classes.filter_map(|(_, accounts)| accounts.get(&account));
        queues.map(VecDeque::len).sum::<usize>() as u32
    }

    pub(crate) fn queued(&self) -> u32 {
        let queues = self.waiting.values().flat_map(BTreeMap::values);
        queues.map(VecDeque::len).sum::<usize>() as u32
    }

    /// Returns the weight of `account` as a fraction of the weights of all active accounts and itself.
    pub(crate) fn weight_share(
        &self,
        account: AccountIndex,
        is_active: impl Fn(AccountIndex) -> bool,
    ) -> f64 {
        let own = self.accounts[account.0 as usize].weight;
        let indices = (0..self.accounts.len()).map(|it| AccountIndex(it as u32));
        let others = indices.filter(|it| *it != account && is_active(*it));
        let total: u32 = others.map(|it| self.accounts[it.0 as usize].weight).sum();
        f64::from(own) / f64::from(own + total)
    }
}
