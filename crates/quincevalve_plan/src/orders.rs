//! Orders that set the desired state of an engine, sent under a lease whose holder may be paused.

use std::time::Duration;

use quincevalve_names::{FencingNumber, TimePoint};

/// Whether an engine enforces fencing numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFencing {
    /// The engine refuses an order with a lower number than it has received.
    Checked,
    /// The engine accepts any order.
    Ignored,
}

/// Settings of an [`OrderDispatcher`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// Duration of a lease.
    pub lease: Duration,
    /// Maximum time between the decision to send an order and its arrival; calls time out by then.
    pub max_delivery_time: Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self { lease: Duration::from_secs(10), max_delivery_time: Duration::from_secs(2) }
    }
}

/// Input of [`OrderDispatcher::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEvent<S> {
    /// The engine's state differs from the desired one.
    Wanted {
        /// Desired state of the engine.
        state: S,
        /// Fencing number of the lease.
        fencing: FencingNumber,
        /// Time at which this VM's lease expires, by its own clock.
        lease_until: TimePoint,
    },
    /// The store recorded the intent under this holder's fencing number.
    IntentWritten,
    /// The store refused the intent because it holds a higher fencing number.
    IntentRefused,
    /// The engine acknowledged the order.
    Sent,
    /// The engine refused the fencing number or didn't respond.
    NotSent,
    /// Current state of the engine, as read back.
    ReadBack(S),
    /// Periodic timer event.
    Tick,
}

/// Next action for an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction<S> {
    /// Write the intent by compare-and-swap, only over a lower fencing number.
    WriteIntent(FencingNumber),
    /// Send the order to the engine.
    Send(S, FencingNumber),
    /// Read the engine's current state.
    ReadBack,
    /// The engine has the desired state.
    Done,
    /// Stop because the lease is lost or about to expire; the next holder continues.
    Stop,
}

#[derive(Clone, Debug)]
enum Phase {
    Idle,
    WritingIntent,
    AwaitingOldOrders { until: TimePoint },
    Sending,
    ReadingBack,
}

/// State machine that sends orders to one engine.
///
/// A holder that is paused beyond its lease and then sends an order could load an old version over the new
/// one. An engine that enforces fencing numbers refuses such an order. For other engines, three measures
/// together prevent it:
///
/// - Nothing is sent unless the holder's lease outlasts the order's delivery.
/// - A new holder first writes its intent, then waits until every order that the previous holder can have
///   sent must have arrived.
/// - The engine's state is read back, which corrects the effect of an order that arrived late because its
///   sender was paused during the call.
#[derive(Clone, Debug)]
pub struct OrderDispatcher<S> {
    settings: OrderSettings,
    fencing_by_engine: OrderFencing,
    phase: Phase,
    wanted: Option<(S, FencingNumber, TimePoint)>,
    /// Fencing number for which the previous holder's orders can no longer arrive.
    cleared_fencing: Option<FencingNumber>,
}

impl<S> OrderDispatcher<S>
where
    S: Clone + PartialEq,
{
    /// Creates an instance for one engine.
    pub const fn new(settings: OrderSettings, fencing_by_engine: OrderFencing) -> Self {
        let phase = Phase::Idle;
        Self { settings, fencing_by_engine, phase, wanted: None, cleared_fencing: None }
    }

    /// Handles an event and returns the next action, if any.
    pub fn handle(&mut self, now: TimePoint, event: OrderEvent<S>) -> Option<OrderAction<S>> {
        match event {
            OrderEvent::Wanted { state, fencing, lease_until } => {
                self.wanted = Some((state, fencing, lease_until));
                matches!(self.phase, Phase::Idle).then(|| self.start(now))
            }
            OrderEvent::IntentWritten => {
                let until = now + self.settings.lease + self.settings.max_delivery_time;
                self.phase = Phase::AwaitingOldOrders { until };
                None
            }
            OrderEvent::IntentRefused => Some(self.stop()),
            OrderEvent::Sent => {
                self.phase = Phase::ReadingBack;
                Some(OrderAction::ReadBack)
            }
            OrderEvent::NotSent => {
                self.phase = Phase::Idle;
                None
            }
            OrderEvent::ReadBack(state) => Some(self.read_back(now, &state)),
            OrderEvent::Tick => self.tick(now),
        }
    }

    fn start(&mut self, now: TimePoint) -> OrderAction<S> {
        let Some((_, fencing, _)) = &self.wanted else { return self.stop() };
        let may_send_now = self.fencing_by_engine == OrderFencing::Checked
            || self.cleared_fencing.is_some_and(|it| it == *fencing);
        if may_send_now {
            return self.send(now);
        }
        self.phase = Phase::WritingIntent;
        OrderAction::WriteIntent(*fencing)
    }

    fn send(&mut self, now: TimePoint) -> OrderAction<S> {
        let Some((state, fencing, lease_until)) = self.wanted.clone() else { return self.stop() };
        // The clock is read immediately before the call. The delivery limit covers short pauses in between; the
        // wait of the next holder and reading back the state cover longer ones.
        if now + self.settings.max_delivery_time > lease_until {
            return self.stop();
        }
        self.phase = Phase::Sending;
        OrderAction::Send(state, fencing)
    }

    fn tick(&mut self, now: TimePoint) -> Option<OrderAction<S>> {
        match self.phase {
            Phase::AwaitingOldOrders { until } if now >= until => {
                self.cleared_fencing = self.wanted.as_ref().map(|it| it.1);
                Some(self.send(now))
            }
            _ => None,
        }
    }

    fn read_back(&mut self, now: TimePoint, state: &S) -> OrderAction<S> {
        self.phase = Phase::Idle;
        match &self.wanted {
            Some((wanted, _, _)) if wanted == state => OrderAction::Done,
            Some(_) => self.start(now),
            None => self.stop(),
        }
    }

    fn stop(&mut self) -> OrderAction<S> {
        self.phase = Phase::Idle;
        self.wanted = None;
        OrderAction::Stop
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LEASE: Duration = Duration::from_secs(10);
    const MAX_DELIVERY_TIME: Duration = Duration::from_secs(2);

    fn dispatcher(fencing: OrderFencing) -> OrderDispatcher<&'static str> {
        OrderDispatcher::new(
            OrderSettings { lease: LEASE, max_delivery_time: MAX_DELIVERY_TIME },
            fencing,
        )
    }

    fn wanted(state: &'static str, fencing: u64, until: u64) -> OrderEvent<&'static str> {
        OrderEvent::Wanted {
            state,
            fencing: FencingNumber(fencing),
            lease_until: TimePoint::from_millis(until),
        }
    }

    // An old version is loaded after an upgrade if a previous holder, paused almost until its lease expires, still
    // sends its order. It must stop because its lease no longer outlasts the delivery.
    #[test]
    fn holder_sends_nothing_when_its_lease_ends_before_delivery() {
        let mut dispatcher = dispatcher(OrderFencing::Checked);
        let late = TimePoint::from_millis(9_000);
        assert_eq!(dispatcher.handle(late, wanted("old", 1, 10_000)), Some(OrderAction::Stop));
    }

    // An order of the previous holder could arrive after the new holder's order at an engine that ignores fencing
    // numbers. The new holder must wait until the old order must have arrived.
    #[test]
    fn new_holder_waits_until_orders_of_the_previous_holder_have_arrived() {
        let mut dispatcher = dispatcher(OrderFencing::Ignored);
        let now = TimePoint::from_millis(1_000);
        let action = dispatcher.handle(now, wanted("new", 2, 60_000));
        assert_eq!(action, Some(OrderAction::WriteIntent(FencingNumber(2))));
        assert_eq!(dispatcher.handle(now, OrderEvent::IntentWritten), None);
        let before_deadline = TimePoint::from_millis(12_999);
        assert_eq!(dispatcher.handle(before_deadline, OrderEvent::Tick), None);
        let deadline = TimePoint::from_millis(13_000);
        let action = dispatcher.handle(deadline, OrderEvent::Tick);
        assert_eq!(action, Some(OrderAction::Send("new", FencingNumber(2))));
        assert_eq!(dispatcher.handle(deadline, OrderEvent::Sent), Some(OrderAction::ReadBack));
        // A late order of the previous holder arrived nevertheless, so the order is sent again.
        let action = dispatcher.handle(deadline, OrderEvent::ReadBack("old"));
        assert_eq!(action, Some(OrderAction::Send("new", FencingNumber(2))));
        dispatcher.handle(deadline, OrderEvent::Sent);
        assert_eq!(
            dispatcher.handle(deadline, OrderEvent::ReadBack("new")),
            Some(OrderAction::Done)
        );
    }

    #[test]
    fn stops_when_the_intent_is_refused() {
        let mut dispatcher = dispatcher(OrderFencing::Ignored);
        dispatcher.handle(TimePoint::ZERO, wanted("new", 2, 60_000));
        let action = dispatcher.handle(TimePoint::ZERO, OrderEvent::IntentRefused);
        assert_eq!(action, Some(OrderAction::Stop));
    }
}
