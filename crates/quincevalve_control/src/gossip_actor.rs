//! Actor that performs the I/O of the membership protocol.

use std::net::SocketAddr;

use quincevalve_membership::{Membership, MembershipAction, Message};
use quincevalve_names::{EntryVmName, Revision};
use quincevalve_peers::CallFailure;
use quincevalve_ports::cloud::{CloudClient, VmState};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use crate::{config_actor::ConfigMessage, shared::Shared};

pub(crate) enum GossipMessage {
    Tick,
    /// Addresses of possible peers, in this data centre (`near`) and in others (`far`).
    Seeds {
        near: Vec<SocketAddr>,
        far: Vec<SocketAddr>,
    },
    /// A probe from a peer, with the port for the reply.
    Probed(Box<Message>, RpcReplyPort<Message>),
    /// The answer to a probe that this VM sent.
    Answered(Box<Message>),
    ProbeFailed(EntryVmName),
    /// Result of an indirect probe: whether another peer reached the member.
    IndirectProbeFinished(EntryVmName, bool),
    /// Demand reported by this VM's entry process, and whether the VM is leaving.
    Demand {
        demand: u32,
        leaving: bool,
    },
    /// A revision was applied on this VM.
    RevisionApplied(Revision),
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
                state.spawn_actions(&myself, actions);
            }
            GossipMessage::Seeds { near, far } => state.core.seed(&near, &far),
            GossipMessage::Probed(message, reply) => {
                let answer = state.core.answer(now, &message);
                let _ = reply.send(answer);
                state.report_newest_revision(&message);
            }
            GossipMessage::Answered(message) => {
                state.core.receive(now, &message);
                state.report_newest_revision(&message);
            }
            GossipMessage::ProbeFailed(name) => {
                let actions = state.core.probe_failed(&name);
                if actions.is_empty() {
                    state.core.suspect(now, &name);
                }
                state.spawn_actions(&myself, actions);
            }
            GossipMessage::IndirectProbeFinished(name, reached) => {
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
            GossipMessage::RevisionApplied(revision) => {
                state.revision = revision;
                state.core.set_load(state.demand, state.revision);
            }
        }
        state.publish();
        Ok(())
    }
}

impl GossipState {
    /// Passes the newest revision in a message, with the peer that has it, to the configuration's actor.
    fn report_newest_revision(&self, message: &Message) {
        let sender = std::iter::once((message.sender.control, message.sender.load.revision));
        let others = message.updates.iter().map(|it| (it.control, it.load.revision));
        let summaries = message.summaries.iter().filter_map(|it| {
            let contact = it.contacts.first()?;
            Some((contact.control, it.revision))
        });
        let newest = sender.chain(others).chain(summaries).max_by_key(|it| it.1);
        if let Some((peer, revision)) = newest {
            let _ = self.config.cast(ConfigMessage::RevisionReported(peer, revision));
        }
    }

    fn spawn_actions(&self, actor: &ActorRef<GossipMessage>, actions: Vec<MembershipAction>) {
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
            self.shared.update_state(|it| {
                it.members = members;
                it.summaries = summaries;
            });
        }
    }
}

async fn perform(shared: &Shared, action: MembershipAction) -> Option<GossipMessage> {
    let limit = shared.settings.pacing.peer_timeout();
    match action {
        MembershipAction::Probe { name, to, message } => {
            let call = shared
                .peer_clients
                .call(to, limit, |client, cx| async move { client.gossip(cx, message).await });
            match call.await {
                Ok(answer) => Some(GossipMessage::Answered(Box::new(answer))),
                Err(_) => name.map(GossipMessage::ProbeFailed),
            }
        }
        MembershipAction::ProbeVia { via, name, target } => {
            let call = shared.peer_clients.call(via, limit * 2, |client, cx| async move {
                client.probe_for(cx, target).await
            });
            let answer: Result<bool, CallFailure> = call.await;
            Some(GossipMessage::IndirectProbeFinished(name, answer.unwrap_or(false)))
        }
    }
}

/// Sends `Tick` to the actor at once and then at every probe interval.
pub(crate) async fn send_ticks(shared: Shared, actor: ActorRef<GossipMessage>) {
    let mut ticks = shared.clock.timer().every(shared.settings.pacing.probe_interval());
    let _ = actor.cast(GossipMessage::Tick);
    while ticks.tick().await.is_some() {
        let _ = actor.cast(GossipMessage::Tick);
    }
}

/// Polls the platform's list of VMs for seed addresses.
pub(crate) async fn poll_vm_list(
    shared: Shared,
    cloud: CloudClient,
    actor: ActorRef<GossipMessage>,
) {
    let mut ticks = shared.clock.timer().every(shared.settings.pacing.list_interval());
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
