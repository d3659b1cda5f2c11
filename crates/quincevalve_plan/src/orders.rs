//! Orders to engines: desired state, under a lease whose holder may be paused.

use std::time::Duration;

use quincevalve_names::{FencingNumber, TimePoint};

/// Whether an engine checks fencing numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFencing {
    /// It refuses an order with an older number than it has seen.
    Checked,
    /// It takes any order.
    Ignored,
}

/// Settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// How long a lease lasts.
    pub lease: Duration,
    /// The longest time between deciding to send an order and its arrival; calls are given up by then.
    pub flight: Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self { lease: Duration::from_secs(10), flight: Duration::from_secs(2) }
    }
}

/// What happens to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEvent<S> {
    /// The engine's state differs from the one wanted, under this fencing number.
    Wanted {
        /// The wanted state.
        state: S,
        /// The lease's number.
        fencing: FencingNumber,
        /// When the own lease runs out, by the own clock.
        lease_until: TimePoint,
    },
    /// The intent was written at the store under the own number.
    IntentWritten,
    /// The intent was not written: a higher number stands there.
    IntentRefused,
    /// The engine answered.
    Sent,
    /// The engine refused the number, or didn't answer.
    NotSent,
    /// What the engine holds now.
    ReadBack(S),
    /// Time passed.
    Tick,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction<S> {
    /// Write the intent by compare-and-swap; only over a lower number.
    WriteIntent(FencingNumber),
    /// Send the order.
    Send(S, FencingNumber),
    /// Read what the engine holds.
    ReadBack,
    /// The engine holds what was wanted.
    Done,
    /// Stop: the lease is lost or about to be; the next holder goes on.
    Stop,
}

#[derive(Clone, Debug)]
enum Phase {
    Idle,
    WritingIntent,
    WaitingOut { until: TimePoint },
    Sending,
    ReadingBack,
}

/// The core of the orders to one engine.
///
/// Failure: a holder is paused past its lease and then sends an order. Symptom: an old version is loaded
/// over the new one. An engine that checks fencing numbers refuses it. For one that doesn't, three things
/// together are enough: nothing is sent unless the own lease outlasts the order's flight; a new holder
/// first writes its intent and then waits until every order that the former holder can have sent has
/// landed; and what the engine holds is read back, so a straggler of a pause in mid-call is set right.
#[derive(Clone, Debug)]
pub struct Orderer<S> {
    settings: OrderSettings,
    fencing_by_engine: OrderFencing,
    phase: Phase,
    wanted: Option<(S, FencingNumber, TimePoint)>,
    cleared: Option<FencingNumber>,
}

impl<S> Orderer<S>
where
    S: Clone + PartialEq,
{
    /// Makes the core for an engine.
    pub const fn new(settings: OrderSettings, fencing_by_engine: OrderFencing) -> Self {
        let phase = Phase::Idle;
        Self { settings, fencing_by_engine, phase, wanted: None, cleared: None }
    }

    /// Takes an event; returns what to do, if anything.
    pub fn handle(&mut self, now: TimePoint, event: OrderEvent<S>) -> Option<OrderAction<S>> {
        match event {
            OrderEvent::Wanted { state, fencing, lease_until } => {
                self.wanted = Some((state, fencing, lease_until));
                matches!(self.phase, Phase::Idle).then(|| self.begin(now))
            }
            OrderEvent::IntentWritten => {
                let until = now + self.settings.lease + self.settings.flight;
                self.phase = Phase::WaitingOut { until };
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

    fn begin(&mut self, now: TimePoint) -> OrderAction<S> {
        let Some((_, fencing, _)) = &self.wanted else { return self.stop() };
        let is_clear = self.fencing_by_engine == OrderFencing::Checked
            || self.cleared.is_some_and(|it| it == *fencing);
        if is_clear {
            return self.send(now);
        }
        self.phase = Phase::WritingIntent;
        OrderAction::WriteIntent(*fencing)
    }

    fn send(&mut self, now: TimePoint) -> OrderAction<S> {
        let Some((state, fencing, lease_until)) = self.wanted.clone() else { return self.stop() };
        // The clock is read right before the call: a pause between the two is bound by the flight, a
        // longer one is met by waiting out and reading back.
        if now + self.settings.flight > lease_until {
            return self.stop();
        }
        self.phase = Phase::Sending;
        OrderAction::Send(state, fencing)
    }

    fn tick(&mut self, now: TimePoint) -> Option<OrderAction<S>> {
        match self.phase {
            Phase::WaitingOut { until } if now >= until => {
                self.cleared = self.wanted.as_ref().map(|it| it.1);
                Some(self.send(now))
            }
            _ => None,
        }
    }

    fn read_back(&mut self, now: TimePoint, state: &S) -> OrderAction<S> {
        self.phase = Phase::Idle;
        match &self.wanted {
            Some((wanted, _, _)) if wanted == state => OrderAction::Done,
            Some(_) => self.begin(now),
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
    const FLIGHT: Duration = Duration::from_secs(2);

    fn orderer(fencing: OrderFencing) -> Orderer<&'static str> {
        Orderer::new(OrderSettings { lease: LEASE, flight: FLIGHT }, fencing)
    }

    fn wanted(state: &'static str, fencing: u64, until: u64) -> OrderEvent<&'static str> {
        OrderEvent::Wanted {
            state,
            fencing: FencingNumber(fencing),
            lease_until: TimePoint::from_millis(until),
        }
    }

    // Operators see the old version come back after an upgrade. The former holder was paused past its
    // lease and would send its order now; its lease no longer outlasts the order's flight, so it stops.
    #[test]
    fn a_paused_holder_sends_nothing() {
        let mut orderer = orderer(OrderFencing::Checked);
        let late = TimePoint::from_millis(9_000);
        assert_eq!(orderer.handle(late, wanted("old", 1, 10_000)), Some(OrderAction::Stop));
    }

    // An engine ignores fencing numbers, and an order of the former holder is still on its way. The new
    // holder sends nothing until that order must have landed; so its own order is the last.
    #[test]
    fn a_new_holder_waits_out_the_former_one() {
        let mut orderer = orderer(OrderFencing::Ignored);
        let now = TimePoint::from_millis(1_000);
        let action = orderer.handle(now, wanted("new", 2, 60_000));
        assert_eq!(action, Some(OrderAction::WriteIntent(FencingNumber(2))));
        assert_eq!(orderer.handle(now, OrderEvent::IntentWritten), None);
        let early = TimePoint::from_millis(12_999);
        assert_eq!(orderer.handle(early, OrderEvent::Tick), None);
        let due = TimePoint::from_millis(13_000);
        let action = orderer.handle(due, OrderEvent::Tick);
        assert_eq!(action, Some(OrderAction::Send("new", FencingNumber(2))));
        assert_eq!(orderer.handle(due, OrderEvent::Sent), Some(OrderAction::ReadBack));
        // A straggler landed after all: the order is sent once more.
        let action = orderer.handle(due, OrderEvent::ReadBack("old"));
        assert_eq!(action, Some(OrderAction::Send("new", FencingNumber(2))));
        orderer.handle(due, OrderEvent::Sent);
        assert_eq!(orderer.handle(due, OrderEvent::ReadBack("new")), Some(OrderAction::Done));
    }

    #[test]
    fn a_refused_intent_stops_the_order() {
        let mut orderer = orderer(OrderFencing::Ignored);
        orderer.handle(TimePoint::ZERO, wanted("new", 2, 60_000));
        let action = orderer.handle(TimePoint::ZERO, OrderEvent::IntentRefused);
        assert_eq!(action, Some(OrderAction::Stop));
    }
}
