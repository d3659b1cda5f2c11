//! Counts the memory that this process holds for others. Each counted byte has one owner, whose drop gives it back.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
};

use quincevalve_forwarding::memory_budget::{Holding, MemoryBudget};
use tokio::{
    sync::Notify,
    time::{Duration, Instant, sleep_until},
};

/// Interval at which a reservation that waits looks for connections that have stalled meanwhile.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The memory that this process holds for others.
#[derive(Clone, Debug)]
pub(crate) struct HeldMemory(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when memory is given back while a reservation waits.
    released: Notify,
}

#[derive(Debug)]
struct State {
    budget: MemoryBudget,
    /// Tickets of large bodies that wait for room, in the order of their arrival.
    queue: VecDeque<u64>,
    next_ticket: u64,
    /// Number of reservations that wait.
    waiting: usize,
}

/// Memory that is held for one purpose until this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: HeldMemory,
    holding: Holding,
    bytes: u64,
}

impl HeldMemory {
    /// Creates the account of a VM with so much memory, in bytes.
    pub(crate) fn new(memory: u64) -> Self {
        let budget = MemoryBudget::new(memory);
        let state = State { budget, queue: VecDeque::new(), next_ticket: 0, waiting: 0 };
        Self(Arc::new(Shared { state: Mutex::new(state), released: Notify::new() }))
    }

    fn with_state<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        f(&mut self.0.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns what a measure of the budget is at present.
    pub(crate) fn measure<R>(&self, f: impl FnOnce(&MemoryBudget) -> R) -> R {
        self.with_state(|it| f(&it.budget))
    }

    /// Counts memory that is held in any case.
    pub(crate) fn reserve(&self, holding: Holding, bytes: u64) -> Reservation {
        self.with_state(|it| it.budget.reserve(holding, bytes));
        Reservation { memory: self.clone(), holding, bytes }
    }

    /// Reserves memory if there is room for it and nobody has asked for it before.
    pub(crate) fn try_reserve(&self, holding: Holding, bytes: u64) -> Option<Reservation> {
        let is_next = holding != Holding::LargeBody || self.with_state(|it| it.queue.is_empty());
        is_next.then(|| self.take(holding, bytes))?
    }

    fn take(&self, holding: Holding, bytes: u64) -> Option<Reservation> {
        let is_reserved = self.with_state(|it| it.budget.try_reserve(holding, bytes));
        is_reserved.then(|| Reservation { memory: self.clone(), holding, bytes })
    }

    /// Waits for room until a deadline. Large bodies get it in the order in which they ask. Meanwhile `ask_to_yield` is
    /// called, which makes a holder give memory back and returns whether there is one.
    pub(crate) async fn reserve_until(
        &self,
        holding: Holding,
        bytes: u64,
        deadline: Instant,
        ask_to_yield: impl Fn() -> bool,
    ) -> Option<Reservation> {
        if let Some(reservation) = self.try_reserve(holding, bytes) {
            return Some(reservation);
        }
        let place = Place::take(self, holding == Holding::LargeBody);
        loop {
            let mut released = std::pin::pin!(self.0.released.notified());
            released.as_mut().enable();
            if place.is_first() {
                if let Some(reservation) = self.take(holding, bytes) {
                    return Some(reservation);
                }
                ask_to_yield();
            }
            let check_at = Instant::now() + STALL_CHECK_INTERVAL;
            tokio::select! {
                () = released => {}
                () = sleep_until(check_at.min(deadline)) => {}
            }
            if Instant::now() >= deadline {
                return None;
            }
        }
    }
}

/// A reservation that waits, and its place in the queue if it has one.
struct Place {
    memory: HeldMemory,
    ticket: Option<u64>,
}

impl Place {
    fn take(memory: &HeldMemory, is_queued: bool) -> Self {
        let ticket = memory.with_state(|it| {
            it.waiting += 1;
            it.next_ticket += 1;
            let ticket = it.next_ticket;
            is_queued.then(|| it.queue.push_back(ticket)).map(|()| ticket)
        });
        Self { memory: memory.clone(), ticket }
    }

    fn is_first(&self) -> bool {
        self.ticket.is_none()
            || self.memory.with_state(|it| it.queue.front().copied()) == self.ticket
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.memory.with_state(|it| {
            it.waiting -= 1;
            it.queue.retain(|ticket| Some(*ticket) != self.ticket);
        });
        self.memory.0.released.notify_waiters();
    }
}

impl Reservation {
    /// Splits off a reservation of `bytes`, or of all that is left if that is less.
    pub(crate) fn split(&mut self, bytes: u64) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self { memory: self.memory.clone(), holding: self.holding, bytes }
    }

    /// Adds another reservation for the same purpose.
    pub(crate) fn merge(&mut self, mut other: Self) {
        if other.holding == self.holding {
            self.bytes += std::mem::take(&mut other.bytes);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        let is_awaited = self.memory.with_state(|it| {
            it.budget.release(self.holding, self.bytes);
            it.waiting > 0
        });
        if is_awaited {
            self.memory.0.released.notify_waiters();
        }
    }
}
