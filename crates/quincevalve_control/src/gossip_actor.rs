//! The actor around the membership core.

use std::net::SocketAddr;

use quincevalve_membership::{Membership, MembershipAction, Message};
use quincevalve_names::{EntryVmName, Revision};
use quincevalve_peers::CallFailure;
use quincevalve_ports::cloud::{CloudClient, VmState};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use crate::{config_actor::ConfigMessage, shared::Shared};

pub(crate) enum GossipMessage {
    Tick,
    /// Listed places: of the own data centre, and of others.
    Seeds {
        near: Vec<SocketAddr>,
        far: Vec<SocketAddr>,
    },
    /// A peer's probe.
    Probed(Box<Message>, RpcReplyPort<Message>),
    /// An answer to an own probe.
    Answered(Box<Message>),
    ProbeFailed(EntryVmName),
    /// A helper reached the member or not.
    HelperAnswered(EntryVmName, bool),
    /// The entry process's demand.
    Demand {
        demand: u32,
        leaving: bool,
    },
    /// The configuration in force here.
    InForce(Revision),
}

pub(crate) struct GossipActor;

pub(crate) struct GossipState {
    pub(crate) core: Membership,
    pub(crate) shared: Shared,
    pub(crate) config: ActorRef<ConfigMessage>,
    pub(crate) demand: u32,
    pub(crate) revision: Revision,
}

impl Actor for GossipActor {
    type Msg = GossipMessage;
    type State = GossipState;
    type Arguments = GossipState;

    async fn pre_start(
        &self,
        _myself: ActorRef<GossipMessage>,
        state: GossipState,
    ) -> Result<GossipState, ActorProcessingErr> {
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<GossipMessage>,
        message: GossipMessage,
        state: &mut GossipState,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.shared.clock.now();
        match message {
            GossipMessage::Tick => {
                let actions = state.core.tick(now);
                state.act(&myself, actions);
            }
            GossipMessage::Seeds { near, far } => state.core.seed(&near, &far),
            GossipMessage::Probed(message, reply) => {
                let answer = state.core.answer(now, &message);
                let _ = reply.send(answer);
                state.hear_revisions(&message);
            }
            GossipMessage::Answered(message) => {
                state.core.receive(now, &message);
                state.hear_revisions(&message);
            }
            GossipMessage::ProbeFailed(name) => {
                let actions = state.core.probe_failed(&name);
                if actions.is_empty() {
                    state.core.suspect(now, &name);
                }
                state.act(&myself, actions);
            }
            GossipMessage::HelperAnswered(name, reached) => {
                if !reached {
                    state.core.suspect(now, &name);
                }
            }
            GossipMessage::Demand { demand, leaving } => {
                state.demand = demand;
                if leaving {
                    state.core.leave();
                }
                state.core.set_load(state.demand, state.revision);
            }
            GossipMessage::InForce(revision) => {
                state.revision = revision;
                state.core.set_load(state.demand, state.revision);
            }
        }
        state.publish();
        Ok(())
    }
}

impl GossipState {
    /// A peer that has a newer configuration is asked for it.
    fn hear_revisions(&self, message: &Message) {
        let sender = std::iter::once((message.sender.control, message.sender.load.revision));
        let others = message.updates.iter().map(|it| (it.control, it.load.revision));
        let summaries = message.summaries.iter().filter_map(|it| {
            let contact = it.contacts.first()?;
            Some((contact.control, it.revision))
        });
        let newest = sender.chain(others).chain(summaries).max_by_key(|it| it.1);
        if let Some((peer, revision)) = newest {
            let _ = self.config.cast(ConfigMessage::Heard(peer, revision));
        }
    }

    fn act(&self, actor: &ActorRef<GossipMessage>, actions: Vec<MembershipAction>) {
        for action in actions {
            let actor = actor.clone();
            let shared = self.shared.clone();
            tokio::spawn(async move {
                if let Some(message) = perform(&shared, action).await {
                    let _ = actor.cast(message);
                }
            });
        }
    }

    fn publish(&self) {
        let members: Vec<_> = self.core.members().cloned().collect();
        let summaries: Vec<_> = self.core.summaries().cloned().collect();
        let same = {
            let state = self.shared.state.borrow();
            state.members == members && state.summaries == summaries
        };
        if !same {
            self.shared.change(|it| {
                it.members = members;
                it.summaries = summaries;
            });
        }
    }
}

async fn perform(shared: &Shared, action: MembershipAction) -> Option<GossipMessage> {
    let limit = shared.settings.pacing.peer();
    match action {
        MembershipAction::Probe { name, to, message } => {
            let call = shared
                .callers
                .call(to, limit, |client, cx| async move { client.gossip(cx, message).await });
            match call.await {
                Ok(answer) => Some(GossipMessage::Answered(Box::new(answer))),
                Err(_) => name.map(GossipMessage::ProbeFailed),
            }
        }
        MembershipAction::ProbeVia { via, name, target } => {
            let call = shared.callers.call(via, limit * 2, |client, cx| async move {
                client.probe_for(cx, target).await
            });
            let answer: Result<bool, CallFailure> = call.await;
            Some(GossipMessage::HelperAnswered(name, answer.unwrap_or(false)))
        }
    }
}

/// Ticks the actor in each period.
pub(crate) async fn tick(shared: Shared, actor: ActorRef<GossipMessage>) {
    let mut ticks = shared.clock.timer().every(shared.settings.pacing.period());
    let _ = actor.cast(GossipMessage::Tick);
    while ticks.tick().await.is_some() {
        let _ = actor.cast(GossipMessage::Tick);
    }
}

/// Reads seeds from the platform's list now and then.
pub(crate) async fn watch_list(shared: Shared, cloud: CloudClient, actor: ActorRef<GossipMessage>) {
    let mut ticks = shared.clock.timer().every(shared.settings.pacing.list());
    loop {
        let mut near = Vec::new();
        let mut far = shared.settings.seeds.clone();
        for vm in cloud.list().await.unwrap_or_default() {
            let Some(address) = vm.peer_address.filter(|_| vm.state == VmState::Live) else {
                continue;
            };
            let is_near = vm.data_centre == shared.settings.data_centre;
            if is_near { near.push(address) } else { far.push(address) }
        }
        let _ = actor.cast(GossipMessage::Seeds { near, far });
        if ticks.tick().await.is_none() {
            return;
        }
    }
}
