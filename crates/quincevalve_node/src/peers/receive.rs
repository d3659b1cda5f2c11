//! What this VM takes from what others tell.

use std::{rc::Rc, time::Duration};

use bincode::Options;
use quincevalve_forwarding::{
    change_log::ChangeBatch, signal_outbox::SignalSource, store_contact::ContactSpan,
};
use quincevalve_names::TimePoint;
use tokio::{net::UdpSocket, time::sleep};

use super::{
    Newest,
    datagram::{Content, Datagram, Echo, MAX_DATAGRAM, Relayed, Scope, ToldContact, encoding},
    send::{PERIOD, ask_for_state, send},
};
use crate::{
    clock,
    node::Node,
    server_news::take_news,
    store::{
        config_copy,
        state_copy::{self, StateAnswer},
        sync::{heard_of_store, prove},
        view::take_excerpt,
    },
};

/// Hears peers, for as long as the process lives.
pub(crate) async fn receive_datagrams(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:% = error; "hear-failed");
                sleep(PERIOD).await;
                continue;
            }
        };
        match encoding().deserialize::<Datagram>(&buf[..length]) {
            Ok(datagram) => hear(&node, &socket, datagram),
            Err(error) => log::warn!(from:% = from, error:% = error; "datagram-unreadable"),
        }
    }
}

fn hear(node: &Node, socket: &UdpSocket, datagram: Datagram) {
    let now = clock::now();
    let sender = datagram.sender();
    let name = datagram.from.name.clone();
    {
        let mut peers = node.peers.borrow_mut();
        peers.book.record_received(&datagram.from, now);
        let newest = Newest {
            incarnation: datagram.incarnation,
            sent: datagram.sent,
            at: now,
            seen: datagram.seen,
        };
        peers.newest.insert(name.clone(), newest);
    }
    node.wall_clock.borrow_mut().record(name.clone(), datagram.wall_ms, now);
    match datagram.content {
        Content::Share { scope, share, relayed, store } => {
            // What is relayed may say that servers are gone, and the contact whether that may be a lapse.
            if let Some(told) = store {
                take_contact(node, told, datagram.echo);
            }
            if let Some(relayed) = relayed {
                take_relayed(node, relayed, datagram.echo);
                if config_copy::is_wanted(node, now) {
                    let above = node.config().map_or(0, |it| it.version);
                    send(node, socket, datagram.from.address, Content::ConfigWanted { above });
                }
            }
            // Two collectors would tell the same twice.
            if scope == Scope::Rest && !node.peers.borrow().is_collector(&name, now) {
                return;
            }
            {
                let mut peers = node.peers.borrow_mut();
                if scope == Scope::Own {
                    peers.member_addresses.insert(sender.clone(), datagram.from.address);
                }
                let sums = match scope {
                    Scope::Own => &mut peers.members,
                    Scope::Members => &mut peers.collectors,
                    Scope::Rest => &mut peers.rest,
                };
                sums.insert(&sender, *share, now);
                peers.has_news = true;
            }
            if scope == Scope::Rest
                && let Some(true_ms) = datagram.true_ms
            {
                node.wall_clock.borrow_mut().record_estimate(true_ms, now);
            }
        }
        Content::ConfigWanted { above } => {
            for part in config_copy::parts_above(node, above) {
                send(node, socket, datagram.from.address, Content::ConfigPart(part));
            }
        }
        Content::ConfigPart(part) => config_copy::take_part(node, part, datagram.from.address),
        Content::StateWanted(wanted) => {
            let to = datagram.from.address;
            match state_copy::answer_for(node, &sender, &wanted, now) {
                StateAnswer::Parts(parts) => parts.into_iter().for_each(|(age, part)| {
                    send(node, socket, to, Content::StatePart { age, part });
                }),
                StateAnswer::SendOn { serves_others } => {
                    send(node, socket, to, Content::StateElsewhere { serves_others });
                }
            }
        }
        Content::StateElsewhere { serves_others } => {
            state_copy::sent_on(node, datagram.from.address, serves_others);
        }
        Content::StatePart { age, part } => {
            let proved = sent_after(node, datagram.echo).and_then(|it| earlier(it, age));
            let source = datagram.from.address;
            if let Some(wanted) = state_copy::take_part(node, part, proved, source) {
                ask_for_state(node, socket, source, wanted);
            }
        }
        Content::Poison(message) => node.poison.borrow_mut().receive(&name, message, now),
        Content::Signals { scope, servers } => {
            let from = match scope {
                Scope::Own => SignalSource::Member,
                Scope::Members => SignalSource::Collector,
                Scope::Rest => SignalSource::OwnCollector,
            };
            take_news(node, servers, from);
        }
        Content::Usage { counts } => {
            let sent_ms = datagram.true_ms.unwrap_or(datagram.wall_ms);
            node.usage.borrow_mut().merge_peer_totals(
                &name,
                datagram.incarnation,
                &counts,
                sent_ms,
            );
        }
    }
}

/// Takes what another VM knows of the store.
///
/// The proof counts from when this VM sent the datagram that the other echoes, less the age of the other's
/// own proof: however long the answer was on its way, it can't be taken for newer than it is.
fn take_relayed(node: &Node, relayed: Relayed, echo: Option<Echo>) {
    let Relayed { age, version, after, upto, changes } = relayed;
    let is_contiguous = take_excerpt(node, ChangeBatch { after, upto, changes });
    node.reported_config_version.set(node.reported_config_version.get().max(version));
    let reached = node.store_view.borrow().reached();
    let knows = node.config().is_some_and(|it| it.version >= version)
        && reached.is_some_and(|it| it.0 >= upto);
    if !is_contiguous || !knows {
        return;
    }
    if let Some(proved) = sent_after(node, echo).and_then(|it| earlier(it, age)) {
        prove(node, proved);
    }
}

/// Takes it that the store answered another VM; however long the datagram was on its way, that isn't taken for newer
/// than it is.
fn take_contact(node: &Node, told: ToldContact, echo: Option<Echo>) {
    let newest = sent_after(node, echo).and_then(|it| earlier(it, told.age));
    let Some(newest) = newest else { return };
    let since = earlier(newest, told.steady).unwrap_or(TimePoint::ZERO);
    if newest <= clock::now() {
        heard_of_store(node, ContactSpan { since, newest });
    }
}

/// The latest moment at which a datagram with this echo can't have been sent yet, by this VM's clock: when this VM sent
/// what it echoes, and as long after that as the sender had it. `None` if an earlier start of this VM sent that.
fn sent_after(node: &Node, echo: Option<Echo>) -> Option<TimePoint> {
    let echo = echo.filter(|it| it.incarnation == node.incarnation)?;
    Some(echo.sent + echo.held)
}

fn earlier(at: TimePoint, by: Duration) -> Option<TimePoint> {
    at.as_micros().checked_sub(by.as_micros() as u64).map(TimePoint)
}

#[cfg(test)]
mod tests;
