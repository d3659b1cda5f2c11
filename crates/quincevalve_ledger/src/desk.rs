//! The slots of one process, each an actor between its core and the store.

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
pub struct DeskSettings {
    /// Slots.
    pub slots: u32,
    /// Each slot's settings.
    pub slot: SlotSettings,
    /// The longest time until a claim is answered.
    pub give_up: Duration,
}

impl Default for DeskSettings {
    fn default() -> Self {
        Self { slots: 16, slot: SlotSettings::default(), give_up: Duration::from_secs(2) }
    }
}

/// The ledger can't take a claim.
#[derive(Debug, Snafu)]
pub enum ClaimDeskError {
    /// The slot's actor can't start.
    #[snafu(display("claims: slot {slot}: {source}"))]
    Start {
        /// The slot.
        slot: u32,
        /// Why.
        source: ractor::SpawnErr,
    },
    /// The slot's actor has ended, with its process.
    #[snafu(display("claims: slot {slot} has ended"))]
    Ended {
        /// The slot.
        slot: u32,
    },
}

/// The claims desk of one process; clones share the slots.
#[derive(Clone)]
pub struct ClaimDesk<S> {
    store: S,
    timer: Timer,
    writer: Arc<str>,
    settings: DeskSettings,
    slots: Arc<tokio::sync::Mutex<FxHashMap<u32, ActorRef<SlotMessage>>>>,
}

impl<S> ClaimDesk<S>
where
    S: Store,
{
    /// Makes a desk; slots start when they are first used.
    pub fn new(store: S, timer: Timer, writer: &str, settings: DeskSettings) -> Self {
        Self { store, timer, writer: writer.into(), settings, slots: Arc::default() }
    }

    /// The settings.
    pub const fn settings(&self) -> &DeskSettings {
        &self.settings
    }

    /// Settles a claim.
    pub async fn claim(&self, claim: Claim) -> Result<Verdict, ClaimDeskError> {
        let slot = claim.key.slot(self.settings.slots);
        let actor = self.actor(slot).await?;
        let (tx, rx) = tokio::sync::oneshot::channel();
        let message = SlotMessage::Claim(claim, tx.into());
        actor.cast(message).map_err(|_| ClaimDeskError::Ended { slot })?;
        rx.await.map_err(|_| ClaimDeskError::Ended { slot })
    }

    async fn actor(&self, slot: u32) -> Result<ActorRef<SlotMessage>, ClaimDeskError> {
        let mut slots = self.slots.lock().await;
        if let Some(actor) = slots.get(&slot) {
            return Ok(actor.clone());
        }
        let state = SlotState {
            core: Slot::new(self.settings.slot, &self.writer),
            name: slot,
            store: self.store.clone(),
            timer: self.timer.clone(),
            give_up: self.settings.give_up,
            waiting: FxHashMap::default(),
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
    name: u32,
    store: S,
    timer: Timer,
    give_up: Duration,
    waiting: FxHashMap<Ticket, RpcReplyPort<Verdict>>,
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
                state.waiting.insert(ticket, reply);
                SlotEvent::Claim { ticket, claim, give_up_at: now + state.give_up }
            }
        };
        let mut actions = Vec::new();
        state.core.handle(now, event, &mut actions);
        for action in actions {
            state.act(&myself, action);
        }
        state.wait_for_tick(&myself);
        Ok(())
    }
}

impl<S> SlotState<S>
where
    S: Store,
{
    fn act(&mut self, actor: &ActorRef<SlotMessage>, action: SlotAction) {
        if let SlotAction::Answer(ticket, verdict) = action {
            if let Some(reply) = self.waiting.remove(&ticket) {
                // A caller that stopped waiting has given the claim up as unsettled.
                let _ = reply.send(verdict);
            }
            return;
        }
        let call = StoreCall { store: self.store.clone(), slot: self.name };
        let actor = actor.clone();
        tokio::spawn(async move {
            if let Some(event) = call.run(action).await {
                let _ = actor.cast(SlotMessage::Event(event));
            }
        });
    }

    fn wait_for_tick(&self, actor: &ActorRef<SlotMessage>) {
        let Some(at) = self.core.wants_tick_at() else { return };
        let delay = (at - self.timer.now()).max(MIN_TICK);
        let wait = self.timer.after(delay);
        let actor = actor.clone();
        tokio::spawn(async move {
            wait.await;
            let _ = actor.cast(SlotMessage::Event(SlotEvent::Tick));
        });
    }
}

const MIN_TICK: Duration = Duration::from_millis(1);

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
            SlotAction::DropSegment(number) => {
                self.drop_segment(&segment_key(number)).await;
                None
            }
            SlotAction::Answer(..) => None,
        }
    }

    async fn read<T>(&self, key: &str) -> ReadOutcome<(KeyVersion, T)>
    where
        T: DeserializeOwned,
    {
        let found = match self.store.get(key).await {
            Ok(None) => return ReadOutcome::Found(None),
            Ok(Some(found)) => found,
            Err(error) => {
                log::debug!("claims: {key}: {error}");
                return ReadOutcome::Failed;
            }
        };
        match serde_json::from_str(&found.value) {
            Ok(value) => ReadOutcome::Found(Some((found.version, value))),
            // A value that can't be read must not be taken for an empty slot: nothing is granted.
            Err(error) => {
                log::error!("claims: the store's key {key} can't be read: {error}");
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

    async fn drop_segment(&self, key: &str) {
        let Ok(Some(found)) = self.store.get(key).await else { return };
        if let Err(error) = self.store.delete(key, found.version).await {
            log::debug!("claims: {key}: {error}");
        }
    }
}

fn without_version<T>(outcome: ReadOutcome<(KeyVersion, T)>) -> ReadOutcome<T> {
    match outcome {
        ReadOutcome::Found(found) => ReadOutcome::Found(found.map(|it| it.1)),
        ReadOutcome::Failed => ReadOutcome::Failed,
    }
}
