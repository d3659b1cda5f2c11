//! The memory that a process may hold for others, and what may use it.
//!
//! Everything that grows with what callers, servers and peers send is counted here by its owner: connections, bodies and
//! answers. The rest of the VM's memory is left to the process itself, whose state grows with the fleet.

use std::array;

/// Share of the VM's memory that may be held for others.
const HELD: Share = Share(9, 16);
/// Share that open connections may use.
const CONNECTIONS: Share = Share(1, 4);
/// Share that is kept for small bodies: large ones leave it free.
const SMALL_BODIES: Share = Share(1, 16);
/// Share that is kept for answers: bodies leave it free. A request whose body is held must be able to get its answer.
const ANSWERS: Share = Share(1, 16);
/// Share that large answers may use.
const LARGE_ANSWERS: Share = Share(1, 4);

/// A fraction of the VM's memory.
#[derive(Clone, Copy)]
struct Share(u64, u64);

impl Share {
    const fn of(self, memory: u64) -> u64 {
        memory / self.1 * self.0
    }
}

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holding {
    /// The buffers and the task of a connection, in this process and in the kernel.
    Connection,
    /// A body, or the beginning of one, that fits beside large ones.
    SmallBody,
    /// The rest of a large body, including what has not arrived yet.
    LargeBody,
    /// An answer, or the beginning of one, that fits beside large ones.
    SmallAnswer,
    /// The rest of a large answer, including what has not arrived yet.
    LargeAnswer,
}

impl Holding {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 5] =
        [Self::Connection, Self::SmallBody, Self::LargeBody, Self::SmallAnswer, Self::LargeAnswer];

    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connection => "connections",
            Self::SmallBody => "small-bodies",
            Self::LargeBody => "large-bodies",
            Self::SmallAnswer => "small-answers",
            Self::LargeAnswer => "large-answers",
        }
    }
}

/// Memory held for others, by what it is held for.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::memory_budget::{Holding, MemoryBudget};
/// let mut budget = MemoryBudget::new(64_000_000);
/// assert!(budget.try_reserve(Holding::LargeBody, 26_000_000));
/// assert!(!budget.try_reserve(Holding::LargeBody, 4_000_000));
/// // A small body finds room beside large ones.
/// assert!(budget.try_reserve(Holding::SmallBody, 100_000));
/// budget.release(Holding::LargeBody, 26_000_000);
/// assert!(budget.try_reserve(Holding::LargeBody, 4_000_000));
/// ```
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    memory: u64,
    held: [u64; Holding::ALL.len()],
}

impl MemoryBudget {
    /// Creates the budget of a VM with so much memory, in bytes.
    pub fn new(memory: u64) -> Self {
        Self { memory, held: array::from_fn(|_| 0) }
    }

    /// Returns the bytes that may be held in all.
    pub fn limit(&self) -> u64 {
        HELD.of(self.memory)
    }

    /// Returns the bytes that are held for one purpose.
    pub fn held(&self, holding: Holding) -> u64 {
        self.held.get(holding as usize).copied().unwrap_or_default()
    }

    /// Returns the bytes that are held in all.
    pub fn total(&self) -> u64 {
        self.held.iter().sum()
    }

    /// Reserves memory if there is room for it.
    ///
    /// One large body and one large answer always find room, so that a single one of any allowed size is served.
    pub fn try_reserve(&mut self, holding: Holding, bytes: u64) -> bool {
        let has_room = self.has_room(holding, bytes);
        if has_room {
            self.reserve(holding, bytes);
        }
        has_room
    }

    /// Counts memory that is held in any case.
    pub fn reserve(&mut self, holding: Holding, bytes: u64) {
        if let Some(held) = self.held.get_mut(holding as usize) {
            *held = held.saturating_add(bytes);
        }
    }

    /// Gives reserved memory back.
    pub fn release(&mut self, holding: Holding, bytes: u64) {
        if let Some(held) = self.held.get_mut(holding as usize) {
            *held = held.saturating_sub(bytes);
        }
    }

    /// Returns whether more is held than may be. What is held in any case can exceed the limit.
    pub fn is_exceeded(&self) -> bool {
        self.total() > self.limit()
    }

    /// Returns whether another connection may be opened without one that yields.
    pub fn has_room_for_connection(&self) -> bool {
        self.has_room(Holding::Connection, 0)
    }

    fn has_room(&self, holding: Holding, bytes: u64) -> bool {
        let total = self.total().saturating_add(bytes);
        let answers = self.held(Holding::SmallAnswer) + self.held(Holding::LargeAnswer);
        let for_answers = ANSWERS.of(self.memory);
        let reserved_for_answers = for_answers.saturating_sub(answers);
        match holding {
            Holding::Connection => {
                let connections = self.held(holding).saturating_add(bytes);
                connections <= CONNECTIONS.of(self.memory) && total <= self.limit()
            }
            Holding::SmallBody => total.saturating_add(reserved_for_answers) <= self.limit(),
            Holding::LargeBody => {
                let reserved = reserved_for_answers + SMALL_BODIES.of(self.memory);
                self.held(holding) == 0 || total.saturating_add(reserved) <= self.limit()
            }
            Holding::SmallAnswer => {
                total <= self.limit() || answers.saturating_add(bytes) <= for_answers
            }
            Holding::LargeAnswer => {
                let large = self.held(holding).saturating_add(bytes);
                let fits = total <= self.limit() || answers.saturating_add(bytes) <= for_answers;
                self.held(holding) == 0 || (large <= LARGE_ANSWERS.of(self.memory) && fits)
            }
        }
    }
}
