//! Messages queued for other VMs. Each is sent several times, since datagrams get lost.

use std::{collections::VecDeque, time::Duration};

use quincevalve_names::TimePoint;

use super::{PoisonMessage, case::MAX_INQUIRY_TIMEOUT};

/// Delays after which the report of an exit is sent. The last ones reach a VM that was unreachable for some seconds.
const REPORT_DELAYS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(400),
    Duration::from_millis(1_500),
    Duration::from_secs(5),
];
/// Delays after which other messages are sent. Answers are awaited for a fifth of a second; VMs that miss a quarantine
/// learn of it from the store.
const MESSAGE_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(70), Duration::from_millis(140)];
/// Maximum number of queued messages; further ones are dropped. Covers some hundred requests at servers that exit
/// together.
const MAX_QUEUED: usize = 4_096;

/// The recipient of a message.
#[derive(Clone, Debug)]
pub(super) enum Recipient {
    /// The arbiters of the suspect.
    Arbiters,
    /// One VM.
    Vm(String),
    /// All VMs.
    All,
}

/// A message with the time at which it is due.
#[derive(Clone, Debug)]
pub(super) struct QueuedMessage {
    pub(super) due: TimePoint,
    pub(super) to: Recipient,
    pub(super) message: PoisonMessage,
    /// Whether it is the first transmission.
    pub(super) is_first: bool,
}

/// The queue of messages to send.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    queue: VecDeque<QueuedMessage>,
}

impl Outbox {
    /// Queues the report of an exit.
    pub(super) fn report_exit(&mut self, message: &PoisonMessage, now: TimePoint) {
        for delay in REPORT_DELAYS {
            self.push(Recipient::Arbiters, message.clone(), now + delay, delay.is_zero());
        }
    }

    /// Queues a message for now and a few more times.
    pub(super) fn send(&mut self, to: Recipient, message: PoisonMessage, now: TimePoint) {
        for delay in MESSAGE_DELAYS {
            self.push(to.clone(), message.clone(), now + delay, delay.is_zero());
        }
    }

    /// Queues an inquiry to all VMs, with one late repeat that leaves time for the answer.
    pub(super) fn inquire(&mut self, message: PoisonMessage, now: TimePoint) {
        self.send(Recipient::All, message.clone(), now);
        self.push(Recipient::All, message, now + MAX_INQUIRY_TIMEOUT / 2, false);
    }

    pub(super) fn is_due(&self, now: TimePoint) -> bool {
        self.queue.iter().any(|it| it.due <= now)
    }

    pub(super) fn take_due(&mut self, now: TimePoint) -> Vec<QueuedMessage> {
        let (due, later) =
            std::mem::take(&mut self.queue).into_iter().partition(|it| it.due <= now);
        self.queue = later;
        Vec::from(due)
    }

    fn push(&mut self, to: Recipient, message: PoisonMessage, due: TimePoint, is_first: bool) {
        if self.queue.len() < MAX_QUEUED {
            self.queue.push_back(QueuedMessage { due, to, message, is_first });
        }
    }
}
