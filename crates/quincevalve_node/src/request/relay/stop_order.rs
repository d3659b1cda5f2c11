//! Orders an engine to stop a run, and decides what the end of the run's stream means.

use std::time::Duration;

use quincevalve_forwarding::placement::Placement;
use quincevalve_ports::Reach;
use quincevalve_recovery::{BodyEnd, EndMeaning, HAND_OVER_LIMIT, HandOverAnswer, OrderResult};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use super::Relay;
use crate::{
    ports::{MigrationAnswer, MigrationError},
    request::{
        migration::{RetainedMemory, StopReply},
        trace::log_request,
    },
};

/// Time in which the last events of a run that has ended still arrive.
pub(super) const LAST_EVENTS_LIMIT: Duration = Duration::from_millis(100);
/// Maximum time that a stream waits at its end for the answer to the order to stop its run. Calls to engines time out
/// earlier.
pub(super) const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// An order to stop a run that has no answer yet.
pub(super) struct StopOrder {
    from: Placement,
    to: Placement,
    reply: oneshot::Receiver<StopReply>,
}

impl StopOrder {
    /// Returns where the run's memory is to be copied.
    pub(super) const fn target(&self) -> &Placement {
        &self.to
    }
}

/// A run that was stopped and can continue from its memory.
pub(super) struct StoppedRun {
    pub(super) memory: RetainedMemory,
    /// Where the memory was copied, unless the run could not continue there.
    pub(super) copied_to: Option<Placement>,
}

/// Waits for the reply to an order, or forever if there is no order. Returns `None` if the call was abandoned.
pub(super) async fn reply_to(order: &mut Option<StopOrder>) -> Option<StopReply> {
    match order {
        Some(order) => (&mut order.reply).await.ok(),
        None => std::future::pending().await,
    }
}

impl Relay {
    /// Orders the engine at `source` to stop the run and to copy its memory to `target`.
    pub(super) fn order_stop(&mut self, source: &Placement, target: &Placement) {
        let addresses = {
            let table = self.node.servers.borrow();
            let address = |it: &Placement| {
                let server = table.get(&it.server).filter(|server| server.entry.start == it.start);
                server.map(|server| server.entry.address)
            };
            address(source).zip(address(target))
        };
        let Some((from, to)) = addresses else { return };
        let Some(reply) = self.node.migrations.migrate(from, to, &self.req.id) else { return };
        log_request!(
            self.node, self.req, server = source.server.as_str(), to = target.server.as_str();
            "run-stop-ordered"
        );
        self.orders.record_sent();
        self.order = Some(StopOrder { from: source.clone(), to: target.clone(), reply });
    }

    /// Orders the engine at `from` to stop the run, unless it has done so or an order has no answer yet, and waits for at
    /// most [`HAND_OVER_LIMIT`].
    ///
    /// The stream is not read meanwhile: the continuation sends all events after the last one that the caller got.
    pub(super) async fn ask_source(
        &mut self,
        from: &Placement,
        to: Option<&Placement>,
    ) -> HandOverAnswer {
        let until = Instant::now() + HAND_OVER_LIMIT;
        self.await_order(until).await;
        let run = self.orders.memory();
        let answer = run.map(|it| match it.copied_to {
            Some(_) => HandOverAnswer::Migrated,
            None => HandOverAnswer::Stopped,
        });
        if let Some(answer) = answer {
            return answer;
        }
        if self.order.is_none()
            && let Some(to) = to
        {
            self.order_stop(from, to);
        }
        self.await_order(until).await.unwrap_or(HandOverAnswer::NoAnswer)
    }

    /// Waits for the answer to the order, if there is one without an answer. The order is kept if there is none in time,
    /// since the engine may carry it out later.
    pub(super) async fn await_order(&mut self, until: Instant) -> Option<HandOverAnswer> {
        self.order.as_ref()?;
        let reply = timeout_at(until, reply_to(&mut self.order)).await.ok()?;
        Some(self.record_reply(reply))
    }

    /// Records the reply to the order; `None` if the call was abandoned.
    pub(super) fn record_reply(&mut self, reply: Option<StopReply>) -> HandOverAnswer {
        let Some(order) = self.order.take() else { return HandOverAnswer::NoAnswer };
        let (answer, memory) = match reply {
            Some(reply) => (Some(reply.answer), reply.memory),
            None => (None, None),
        };
        let server = order.from.server.as_str();
        match &answer {
            Some(Ok(answer)) => log_request!(
                self.node, self.req,
                server = server, answer = answer_text(answer),
                generated = generated(answer).map_or(-1, u64::cast_signed);
                "run-stop-answered"
            ),
            Some(Err(error)) => {
                log_request!(self.node, self.req, server = server, error = error; "hand-over-failed");
            }
            None => {}
        }
        if let Some(memory) = memory {
            let is_copied = matches!(answer, Some(Ok(MigrationAnswer::Migrated(_))));
            let copied_to = is_copied.then_some(order.to);
            self.orders.record_result(OrderResult::Stopped(StoppedRun { memory, copied_to }));
            return if is_copied { HandOverAnswer::Migrated } else { HandOverAnswer::Stopped };
        }
        let (result, answer) = match answer {
            Some(Ok(MigrationAnswer::NoRun)) => (OrderResult::NoRun, HandOverAnswer::NoRun),
            Some(Ok(MigrationAnswer::NoRoom)) => (OrderResult::Declined, HandOverAnswer::Declined),
            Some(Ok(MigrationAnswer::InProgress)) => {
                (OrderResult::InProgress, HandOverAnswer::Declined)
            }
            Some(Err(MigrationError::Call { source })) if source.reach() == Reach::NotSent => {
                (OrderResult::NotSent, HandOverAnswer::NoAnswer)
            }
            Some(Err(_) | Ok(MigrationAnswer::Migrated(_) | MigrationAnswer::Stopped(_)))
            | None => (OrderResult::Unknown, HandOverAnswer::NoAnswer),
        };
        self.orders.record_result(result);
        answer
    }

    /// Returns whether the source's stream is complete, once its bytes have ended. Waits for the answer to the order to
    /// stop its run if that decides.
    pub(super) async fn is_complete(&mut self, end: BodyEnd) -> bool {
        let is_inside_event = !self.partial.is_empty();
        if self.orders.meaning(end, is_inside_event) == EndMeaning::Undecided
            && self.await_order(Instant::now() + ANSWER_LIMIT).await.is_none()
        {
            self.order = None;
            self.orders.record_result(OrderResult::Unknown);
        }
        self.orders.meaning(end, is_inside_event) == EndMeaning::Complete
    }
}

/// Returns how log lines name an answer to the order to stop a run.
const fn answer_text(answer: &MigrationAnswer) -> &'static str {
    match answer {
        MigrationAnswer::Migrated(_) => "copied",
        MigrationAnswer::Stopped(_) => "stopped",
        MigrationAnswer::NoRoom => "no-room",
        MigrationAnswer::InProgress => "in-progress",
        MigrationAnswer::NoRun => "no-run",
    }
}

/// Returns the number of events that a run had generated when it was stopped, if its engine stated it.
const fn generated(answer: &MigrationAnswer) -> Option<u64> {
    match answer {
        MigrationAnswer::Migrated(it) | MigrationAnswer::Stopped(it) => it.generated,
        MigrationAnswer::NoRoom | MigrationAnswer::InProgress | MigrationAnswer::NoRun => None,
    }
}
