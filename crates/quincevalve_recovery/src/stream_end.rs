//! Decides what the end of a stream's bytes means, which depends on the orders to stop its run.

/// How the bytes of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyEnd {
    /// With the last chunk, or with the stated length.
    Delimited,
    /// With its connection, which was closed in order. There was neither a length nor chunks.
    Closed,
    /// Before the last chunk or the stated length, or with a connection that failed.
    Truncated,
}

/// What became of the order to an engine to stop a run and to retain its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OrderResult<M> {
    /// The run was stopped. It can continue from this memory.
    Stopped(M),
    /// The run was not stopped.
    Declined,
    /// The engine doesn't have the run.
    NoRun,
    /// The engine carries out an earlier order for the run.
    InProgress,
    /// The engine can't have received the order.
    NotSent,
    /// There was no answer, or none that can be read. The order may have been carried out, or may be later.
    Unknown,
}

/// What the end of a stream's bytes means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndMeaning {
    /// The run has ended, and all of its events arrived.
    Complete,
    /// The stream ended before its run did, or may have.
    Incomplete,
    /// The answer to the order decides.
    Undecided,
}

/// The orders to stop the run of one stream, by the engines that the stream is read from.
///
/// A stopped run's stream ends early. A stream that has a length or chunks shows that; one that ends with its connection
/// is then like a complete one, and only the orders tell them apart.
///
/// # Examples
///
/// ```
/// use quincevalve_recovery::{BodyEnd, EndMeaning, OrderResult, StopOrders};
///
/// let mut orders = StopOrders::new("engine-1");
/// assert_eq!(orders.meaning(BodyEnd::Closed, false), EndMeaning::Complete);
/// orders.record_sent();
/// assert_eq!(orders.meaning(BodyEnd::Closed, false), EndMeaning::Undecided);
/// orders.record_result(OrderResult::Stopped("handle-7"));
/// assert_eq!(orders.meaning(BodyEnd::Closed, false), EndMeaning::Incomplete);
/// assert_eq!(orders.memory(), Some(&"handle-7"));
/// ```
#[derive(Debug)]
pub struct StopOrders<E, M> {
    /// The engine that the stream is read from.
    engine: E,
    is_pending: bool,
    is_stopped: bool,
    memory: Option<M>,
    /// Engines with an order of which it isn't known whether it was or will be carried out.
    uncertain: Vec<E>,
}

impl<E, M> StopOrders<E, M>
where
    E: Clone + PartialEq,
{
    /// Creates the orders of a stream that begins at an engine.
    pub const fn new(engine: E) -> Self {
        Self { engine, is_pending: false, is_stopped: false, memory: None, uncertain: Vec::new() }
    }

    /// Records that the stream continues at an engine, which may be the same one.
    ///
    /// An order without an answer may still stop a later run of the same request at its engine.
    pub fn continue_at(&mut self, engine: E) {
        if self.is_pending {
            self.record_uncertain();
        }
        self.engine = engine;
        self.is_pending = false;
        self.is_stopped = false;
        self.memory = None;
    }

    /// Records that an order was sent to the stream's engine.
    pub const fn record_sent(&mut self) {
        self.is_pending = true;
    }

    /// Records what became of the order that was sent last.
    pub fn record_result(&mut self, result: OrderResult<M>) {
        self.is_pending = false;
        match result {
            OrderResult::Stopped(memory) => {
                self.is_stopped = true;
                self.memory = Some(memory);
            }
            OrderResult::InProgress | OrderResult::Unknown => self.record_uncertain(),
            OrderResult::Declined | OrderResult::NoRun | OrderResult::NotSent => {}
        }
    }

    fn record_uncertain(&mut self) {
        if !self.uncertain.contains(&self.engine) {
            self.uncertain.push(self.engine.clone());
        }
    }

    /// Returns whether an order has no answer yet.
    pub const fn is_pending(&self) -> bool {
        self.is_pending
    }

    /// Returns the memory of the stopped run.
    pub const fn memory(&self) -> Option<&M> {
        self.memory.as_ref()
    }

    /// Returns the memory of the stopped run.
    pub const fn memory_mut(&mut self) -> Option<&mut M> {
        self.memory.as_mut()
    }

    /// Returns what the end of the stream's bytes means. `is_inside_event` says whether the last event is cut.
    pub fn meaning(&self, end: BodyEnd, is_inside_event: bool) -> EndMeaning {
        let is_cut = is_inside_event || end == BodyEnd::Truncated;
        // An engine that doesn't have the run may have stopped it by an earlier order.
        let may_be_stopped = self.is_stopped || self.uncertain.contains(&self.engine);
        match end {
            _ if is_cut => EndMeaning::Incomplete,
            BodyEnd::Closed if may_be_stopped => EndMeaning::Incomplete,
            BodyEnd::Closed if self.is_pending => EndMeaning::Undecided,
            // An engine that stops a run closes its stream without the last chunk.
            _ => EndMeaning::Complete,
        }
    }
}
