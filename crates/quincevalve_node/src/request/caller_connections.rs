//! The open connections of callers: how many there may be, what they wait for, and which yield.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};

use indexmap::IndexMap;
use quincevalve_forwarding::{
    caller_activity::{
        CallerActivity, EXCEEDED_STALL_TIME, PROGRESS_BYTES, Phase, STALL_TIME, SocketLimits,
        Yield, connection_to_close, newest_waiting, stalled_holder,
    },
    memory_budget::{Holding, MemoryBudget},
};
use quincevalve_names::TimePoint;
use tokio::time::Instant;

use crate::request::held_memory::{HeldMemory, Reservation};

/// Memory of an idle connection: its task and the buffers of the HTTP library.
const IDLE_BYTES: u64 = 20 << 10;
/// Memory that a connection takes beyond that while it has a request: a head in the buffer, the request's state, and
/// what the kernel receives before it is read.
const BUSY_BYTES: u64 = 20 * 1_024 + RECEIVE_BUFFER_BYTES as u64;
/// Size of the kernel's receive buffer of a caller's connection. Bytes in it count towards the VM's memory.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Size of the kernel's send buffer of a caller's connection.
pub(crate) const SEND_BUFFER_BYTES: usize = 128 << 10;

/// The open connections of callers.
pub(crate) struct CallerConnections {
    limits: SocketLimits,
    memory: HeldMemory,
    open: RefCell<IndexMap<u64, Rc<CallerConnection>>>,
    next_id: Cell<u64>,
    clock: Clock,
}

/// The open connections of other VMs. Beyond their number new ones are closed at once: these VMs ask others.
pub(crate) struct PeerConnections {
    limit: usize,
    memory: HeldMemory,
    open: Rc<Cell<usize>>,
}

/// Counts a connection of another VM until this is dropped.
pub(crate) struct OpenPeerConnection {
    open: Rc<Cell<usize>>,
    _memory: Reservation,
}

impl Drop for OpenPeerConnection {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}

impl PeerConnections {
    /// Creates an empty list of at most `limit` connections.
    pub(crate) fn new(limit: usize, memory: HeldMemory) -> Self {
        Self { limit, memory, open: Rc::default() }
    }

    /// Counts a connection; `None` if there are as many as may be.
    pub(crate) fn open(&self) -> Option<OpenPeerConnection> {
        if self.open.get() >= self.limit {
            return None;
        }
        self.open.set(self.open.get() + 1);
        let memory = self.memory.reserve(Holding::Connection, IDLE_BYTES + BUSY_BYTES);
        Some(OpenPeerConnection { open: self.open.clone(), _memory: memory })
    }
}

/// Counts the time since it was created, without time in which the VM was suspended: callers can't make progress then.
#[derive(Clone, Copy, Debug)]
struct Clock(Instant);

impl Clock {
    fn now(self) -> TimePoint {
        TimePoint(self.0.elapsed().as_micros() as u64)
    }
}

/// An open connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    clock: Clock,
    activity: Cell<CallerActivity>,
    /// Bytes since the last progress.
    arrived: Cell<u64>,
    must_yield: Cell<bool>,
    closes_after_answer: Cell<bool>,
    /// Wakes the connection's task.
    waker: RefCell<Option<Waker>>,
    memory: HeldMemory,
    /// The memory that the connection takes beyond an idle one's.
    busy: RefCell<Option<Reservation>>,
    _idle: Reservation,
}

/// Keeps a connection in the list of open ones until this is dropped.
pub(crate) struct OpenConnection {
    connections: Rc<CallerConnections>,
    id: u64,
    pub(crate) connection: Rc<CallerConnection>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().swap_remove(&self.id);
    }
}

impl CallerConnections {
    pub(crate) fn new(limits: SocketLimits, memory: HeldMemory) -> Self {
        Self {
            limits,
            memory,
            open: RefCell::default(),
            next_id: Cell::new(0),
            clock: Clock(Instant::now()),
        }
    }

    /// Adds a connection. If there are too many, another one yields; `None` if none does.
    pub(crate) fn open(self: &Rc<Self>) -> Option<OpenConnection> {
        let has_room = self.open.borrow().len() < self.limits.callers
            && self.memory.measure(MemoryBudget::has_room_for_connection);
        if !has_room && !self.make_room() {
            return None;
        }
        if self.memory.measure(MemoryBudget::is_exceeded) {
            self.evict_stalled();
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = Rc::new(CallerConnection {
            clock: self.clock,
            activity: Cell::new(CallerActivity::opened(self.clock.now())),
            arrived: Cell::new(0),
            must_yield: Cell::new(false),
            closes_after_answer: Cell::new(false),
            waker: RefCell::default(),
            memory: self.memory.clone(),
            busy: RefCell::default(),
            _idle: self.memory.reserve(Holding::Connection, IDLE_BYTES),
        });
        self.open.borrow_mut().insert(id, connection.clone());
        Some(OpenConnection { connections: self.clone(), id, connection })
    }

    /// Makes a connection yield to a new one; returns whether one does.
    fn make_room(&self) -> bool {
        let open = self.open.borrow();
        let in_exchange = open.values().filter(|it| it.is_yielding()).count();
        if in_exchange >= self.limits.callers_in_exchange {
            return false;
        }
        match connection_to_close(candidates(&open), self.clock.now()) {
            Some(Yield::Now(connection)) => connection.yield_now(),
            Some(Yield::AfterAnswer(connection)) => connection.closes_after_answer.set(true),
            None => return false,
        }
        true
    }

    /// Makes the connection yield whose caller has stalled and for which the most memory was held for the longest; returns
    /// whether there is one.
    pub(crate) fn evict_stalled(&self) -> bool {
        let is_exceeded = self.memory.measure(MemoryBudget::is_exceeded);
        let stall_time = if is_exceeded { EXCEEDED_STALL_TIME } else { STALL_TIME };
        let now = self.clock.now();
        let open = self.open.borrow();
        let picked = stalled_holder(candidates(&open), stall_time, now);
        picked.inspect(|it| it.yield_now()).is_some()
    }

    /// Makes a connection yield whose caller has stalled, or else one that waits for memory; returns whether there is one.
    pub(crate) fn evict_stalled_or_waiting(&self) -> bool {
        if self.evict_stalled() {
            return true;
        }
        let open = self.open.borrow();
        newest_waiting(candidates(&open)).inspect(|it| it.yield_now()).is_some()
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.open.borrow().len()
    }
}

/// Returns the connections that don't yield yet.
fn candidates(
    open: &IndexMap<u64, Rc<CallerConnection>>,
) -> impl Iterator<Item = (&CallerConnection, CallerActivity)> + Clone {
    let candidates = open.values().filter(|it| !it.is_yielding());
    candidates.map(|it| (it.as_ref(), it.activity.get()))
}

impl CallerConnection {
    fn is_yielding(&self) -> bool {
        self.must_yield.get() || self.closes_after_answer.get()
    }

    fn yield_now(&self) {
        self.must_yield.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Returns whether the connection is to be closed after the answer to its request.
    pub(crate) fn closes_after_answer(&self) -> bool {
        self.closes_after_answer.get()
    }

    fn update(&self, change: impl FnOnce(&mut CallerActivity)) {
        let mut activity = self.activity.get();
        change(&mut activity);
        self.activity.set(activity);
    }

    fn enter(&self, phase: Phase) {
        self.arrived.set(0);
        let since = self.clock.now();
        self.update(|it| (it.phase, it.since) = (phase, since));
    }

    fn reserve_busy(&self) {
        let mut busy = self.busy.borrow_mut();
        busy.get_or_insert_with(|| self.memory.reserve(Holding::Connection, BUSY_BYTES));
    }

    /// Records that bytes were read while no request is being processed.
    pub(crate) fn record_read(&self) {
        if self.activity.get().phase == Phase::Idle {
            self.reserve_busy();
            self.enter(Phase::Head);
        }
    }

    /// Records that a request's head has arrived, with or without a body to follow.
    pub(crate) fn begin_request(&self, has_body: bool) {
        self.reserve_busy();
        self.update(|it| it.bytes = 0);
        self.enter(if has_body { Phase::Body } else { Phase::Processing });
    }

    /// Records that bytes of a body arrived, of which `held` are held in all.
    pub(crate) fn record_body(&self, bytes: u64, held: u64) {
        self.update(|it| it.bytes = held);
        self.record_progress(bytes);
    }

    fn record_progress(&self, bytes: u64) {
        let arrived = self.arrived.get() + bytes;
        self.arrived.set(arrived);
        if arrived >= PROGRESS_BYTES {
            self.arrived.set(0);
            let since = self.clock.now();
            self.update(|it| it.since = since);
        }
    }

    /// Records that the body has to wait for memory, which is no stall of its caller.
    pub(crate) fn pause_body(&self) {
        self.enter(Phase::Memory);
    }

    /// Records that the body is read again.
    pub(crate) fn resume_body(&self) {
        self.enter(Phase::Body);
    }

    /// Records that the body has arrived or is not awaited any longer.
    pub(crate) fn end_body(&self) {
        self.enter(Phase::Processing);
    }

    /// Records that an answer of so many bytes goes to the caller, while the rest of the request's body is discarded.
    pub(crate) fn begin_answer(&self, bytes: u64, is_discarding: bool) {
        self.update(|it| {
            it.bytes = bytes;
            it.answered += 1;
        });
        if is_discarding {
            self.enter(Phase::Discarding);
        }
    }

    /// Records that an answer was handed over. The connection waits for the next request, unless the rest of a body is
    /// discarded.
    pub(crate) fn end_answer(&self) {
        if self.activity.get().phase != Phase::Discarding {
            self.end_request();
        }
    }

    /// Records that the connection waits for the next request.
    pub(crate) fn end_request(&self) {
        self.busy.take();
        self.enter(Phase::Idle);
    }

    /// Records that so many bytes were written.
    pub(crate) fn record_written(&self, bytes: usize) {
        if self.activity.get().is_unread {
            self.record_progress(bytes as u64);
        }
    }

    /// Records that the caller's side accepts no more bytes at present.
    pub(crate) fn record_blocked(&self) {
        if !self.activity.get().is_unread {
            self.arrived.set(0);
            let since = self.clock.now();
            self.update(|it| (it.is_unread, it.since) = (true, since));
        }
    }

    /// Records that all bytes so far were written.
    pub(crate) fn record_flushed(&self) {
        if self.activity.get().is_unread {
            let since = self.clock.now();
            self.update(|it| (it.is_unread, it.since) = (false, since));
        }
    }

    /// Completes when the connection has to give up its body.
    pub(crate) async fn must_give_up_body(&self) {
        std::future::poll_fn(|_| {
            // The connection's task, which polls this, is woken when the flag is set.
            if self.must_yield.take() { Poll::Ready(()) } else { Poll::Pending }
        })
        .await;
    }

    /// Returns whether the connection has to be closed so that others can be served. Registers the task to be woken then.
    pub(crate) fn poll_must_close(&self, cx: &Context<'_>) -> bool {
        if self.must_yield.get() {
            return !matches!(self.activity.get().phase, Phase::Body | Phase::Memory);
        }
        let mut waker = self.waker.borrow_mut();
        if !waker.as_ref().is_some_and(|it| it.will_wake(cx.waker())) {
            *waker = Some(cx.waker().clone());
        }
        false
    }

    /// Returns how long the connection may go on with what it waits for, if that is limited: a head, or a caller that
    /// doesn't read.
    pub(crate) fn time_left(
        &self,
        head_timeout: Duration,
        unread_timeout: Duration,
    ) -> Option<Duration> {
        let activity = self.activity.get();
        let limit = if activity.is_unread {
            unread_timeout
        } else if activity.phase == Phase::Head {
            head_timeout
        } else {
            return None;
        };
        Some(limit.saturating_sub(self.clock.now().since(activity.since)))
    }
}
