//! The slots of one process. Each slot is an actor that connects its core to the store.

use std::{sync::Arc, time::Duration};

use quincevalve_ports::store::{KeyVersion, Store, StoreError};
use quincevalve_timer::Timer;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use rustc_hash::FxHashMap;
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};

use crate::{
    claim::{Claim, Ticket, Verdict},
    slot::{ReadOutcome, Slot, SlotAction, SlotEvent, SlotSettings, SwapOutcome},
};

/// Settings of the ledger. Every VM must use the same number of slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLedgerSettings {
    /// Number of slots.
    pub slots: u32,
    /// Settings of each slot.
    pub slot: SlotSettings,
    /// Maximum time until a claim is answered.
    pub claim_timeout: Duration,
}

impl Default for ClaimLedgerSettings {
    fn default() -> Self {
        Self { slots: 16, slot: SlotSettings::default(), claim_timeout: Duration::from_secs(2) }
    }
}

/// An error that prevents the ledger from processing a claim.
#[derive(Debug, Snafu)]
pub enum ClaimLedgerError {
    /// The slot's actor can't be started.
    #[snafu(display("can't start the actor of ledger slot {slot}: {source}"))]
    Start {
        /// The number of the slot.
        slot: u32,
        /// The error of the actor system.
        source: ractor::SpawnErr,
    },
    /// The slot's actor has stopped because its process is shutting down.
    #[snafu(display("the actor of ledger slot {slot} has stopped"))]
    Ended {
        /// The number of the slot.
        slot: u32,
    },
}

/// The claims ledger of one process. Clones share the slots.
#[derive(Clone)]
pub struct ClaimLedger<S> {
    store: S,
    timer: Timer,
    writer: Arc<str>,
    settings: ClaimLedgerSettings,
    slots: Arc<tokio::sync::Mutex<FxHashMap<u32, ActorRef<SlotMessage>>>>,
}

impl<S> ClaimLedger<S>
where
    S: Store,
{
    /// Creates a ledger. A slot's actor starts when the slot is first used.
    pub fn new(store: S, timer: Timer, writer: &str, settings: ClaimLedgerSettings) -> Self {
        Self { store, timer, writer: writer.into(), settings, slots: Arc::default() }
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &ClaimLedgerSettings {
        &self.settings
    }

    /// Decides a claim.
    pub async fn claim(&self, claim: Claim) -> Result<Verdict, ClaimLedgerError> {
        let slot = claim.key.slot(self.settings.slots);
        let actor = self.actor(slot).await?;
        let (tx, rx) = tokio::sync::oneshot::channel();
        let message = SlotMessage::Claim(claim, tx.into());
        actor.cast(message).map_err(|_| ClaimLedgerError::Ended { slot })?;
        rx.await.map_err(|_| ClaimLedgerError::Ended { slot })
    }

    async fn actor(&self, slot: u32) -> Result<ActorRef<SlotMessage>, ClaimLedgerError> {
        let mut slots = self.slots.lock().await;
        if let Some(actor) = slots.get(&slot) {
            return Ok(actor.clone());
        }
        let state = SlotState {
            core: Slot::new(self.settings.slot, &self.writer),
            slot,
            store: self.store.clone(),
            timer: self.timer.clone(),
            claim_timeout: self.settings.claim_timeout,
            reply_ports: FxHashMap::default(),
            next_ticket: 0,
        };
        let spawned = Actor::spawn(None, SlotActor::<S>::new(), state).await;
        let (actor, _) = spawned.context(StartSnafu { slot })?;
        slots.insert(slot, actor.clone());
        Ok(actor)
    }
}

enum SlotMessage {
    Claim(Claim, RpcReplyPort<Verdict>),
    Event(SlotEvent),
}

struct SlotActor<S> {
    store: std::marker::PhantomData<fn() -> S>,
}

impl<S> SlotActor<S> {
    const fn new() -> Self {
        Self { store: std::marker::PhantomData }
    }
}

struct SlotState<S> {
    core: Slot,
    slot: u32,
    store: S,
    timer: Timer,
    claim_timeout: Duration,
    reply_ports: FxHashMap<Ticket, RpcReplyPort<Verdict>>,
    next_ticket: u64,
}

impl<S> Actor for SlotActor<S>
where
    S: Store,
{
    type Msg = SlotMessage;
    type State = SlotState<S>;
    type Arguments = SlotState<S>;

    async fn pre_start(
        &self,
        _myself: ActorRef<SlotMessage>,
        state: SlotState<S>,
    ) -> Result<SlotState<S>, ActorProcessingErr> {
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<SlotMessage>,
        message: SlotMessage,
        state: &mut SlotState<S>,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.timer.now();
        let event = match message {
            SlotMessage::Event(event) => event,
            SlotMessage::Claim(claim, reply) => {
                state.next_ticket += 1;
                let ticket = Ticket(state.next_ticket);
                state.reply_ports.insert(ticket, reply);
                SlotEvent::Claim { ticket, claim, deadline: now + state.claim_timeout }
            }
        };
        let mut actions = Vec::new();
        state.core.handle(now, event, &mut actions);
        for action in actions {
            state.perform(&myself, action);
        }
        state.schedule_tick(&myself);
        Ok(())
    }
}

impl<S> SlotState<S>
where
    S: Store,
{
    fn perform(&mut self, actor: &ActorRef<SlotMessage>, action: SlotAction) {
        if let SlotAction::Answer(ticket, verdict) = action {
            if let Some(reply) = self.reply_ports.remove(&ticket) {
                // Sending fails if the caller has stopped waiting; it treats the claim as unsettled.
                let _ = reply.send(verdict);
            }
            return;
        }
        let call = StoreCall { store: self.store.clone(), slot: self.slot };
        let actor = actor.clone();
        tokio::spawn(async move {
            if let Some(event) = call.run(action).await {
                let _ = actor.cast(SlotMessage::Event(event));
            }
        });
    }

    fn schedule_tick(&self, actor: &ActorRef<SlotMessage>) {
        let Some(at) = self.core.next_tick_at() else { return };
        let delay = (at - self.timer.now()).max(MIN_TICK_DELAY);
        let wait = self.timer.after(delay);
        let actor = actor.clone();
        tokio::spawn(async move {
            wait.await;
            let _ = actor.cast(SlotMessage::Event(SlotEvent::Tick));
        });
    }
}

/// Minimum delay before a tick.
const MIN_TICK_DELAY: Duration = Duration::from_millis(1);

struct StoreCall<S> {
    store: S,
    slot: u32,
}

impl<S> StoreCall<S>
where
    S: Store,
{
    async fn run(&self, action: SlotAction) -> Option<SlotEvent> {
        let head_key = format!("ledger-{}", self.slot);
        let segment_key = |number: u64| format!("ledger-{}-{number}", self.slot);
        match action {
            SlotAction::ReadHead => Some(SlotEvent::HeadRead(self.read(&head_key).await)),
            SlotAction::ReadSegment(number) => {
                let outcome = self.read(&segment_key(number)).await;
                Some(SlotEvent::SegmentRead(number, without_version(outcome)))
            }
            SlotAction::WriteSegment(number, segment) => {
                let outcome = self.swap(&segment_key(number), KeyVersion::ABSENT, &segment).await;
                Some(SlotEvent::SegmentWritten(outcome))
            }
            SlotAction::SwapHead { expected, head } => {
                Some(SlotEvent::HeadSwapped(self.swap(&head_key, expected, &head).await))
            }
            SlotAction::DeleteSegment(number) => {
                self.delete_segment(&segment_key(number)).await;
                None
            }
            SlotAction::Answer(..) => None,
        }
    }

    async fn read<T>(&self, key: &str) -> ReadOutcome<(KeyVersion, T)>
    where
        T: DeserializeOwned,
    {
        let stored = match self.store.get(key).await {
            Ok(None) => return ReadOutcome::Found(None),
            Ok(Some(stored)) => stored,
            Err(error) => {
                log::debug!("claims ledger: can't read key {key} from the store: {error}");
                return ReadOutcome::Failed;
            }
        };
        match serde_json::from_str(&stored.value) {
            Ok(value) => ReadOutcome::Found(Some((stored.version, value))),
            // A value that can't be parsed must not be treated as an empty slot, so no claim is granted.
            Err(error) => {
                log::error!("claims ledger: can't parse the value of store key {key}: {error}");
                ReadOutcome::Failed
            }
        }
    }

    async fn swap<T>(&self, key: &str, expected: KeyVersion, value: &T) -> SwapOutcome
    where
        T: Serialize + Sync,
    {
        let Ok(text) = serde_json::to_string(value) else { return SwapOutcome::NotWritten };
        match self.store.swap(key, expected, &text).await {
            Ok(version) => SwapOutcome::Written(version),
            Err(StoreError::Conflict { .. }) => SwapOutcome::Conflict,
            Err(StoreError::Unavailable { .. } | StoreError::TooLarge { .. }) => {
                SwapOutcome::NotWritten
            }
            Err(StoreError::Unknown { .. }) => SwapOutcome::Unknown,
        }
    }

    async fn delete_segment(&self, key: &str) {
        let Ok(Some(stored)) = self.store.get(key).await else { return };
        if let Err(error) = self.store.delete(key, stored.version).await {
            log::debug!("claims ledger: can't delete segment {key} from the store: {error}");
        }
    }
}

fn without_version<T>(outcome: ReadOutcome<(KeyVersion, T)>) -> ReadOutcome<T> {
    match outcome {
        ReadOutcome::Found(stored) => ReadOutcome::Found(stored.map(|it| it.1)),
        ReadOutcome::Failed => ReadOutcome::Failed,
    }
}
