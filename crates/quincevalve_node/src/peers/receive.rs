//! Receives datagrams of other VMs and applies their content.

use std::{rc::Rc, time::Duration};

use bincode::Options;
use quincevalve_forwarding::{
    change_log::ChangeBatch, signal_outbox::SignalSource, store_contact::ContactSpan,
};
use quincevalve_names::TimePoint;
use quincevalve_program::contain_panic;
use tokio::{net::UdpSocket, time::sleep};

use super::{
    LastDatagram,
    datagram::{
        Content, Datagram, Echo, MAX_DATAGRAM, ReportedContact, Scope, StoreReport, encoding,
    },
    quota,
    send::{DIGEST_INTERVAL, request_state, send},
};
use crate::{
    clock,
    node::Node,
    signal_reports::apply_signal_reports,
    store::{
        config_copy,
        state_copy::{self, StateAnswer},
        sync::{confirm_freshness, record_store_contact},
        view::apply_batch,
    },
};

/// Receives datagrams of peers for as long as the process runs.
pub(crate) async fn receive_datagrams(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:% = error; "hear-failed");
                sleep(DIGEST_INTERVAL).await;
                continue;
            }
        };
        match encoding().deserialize::<Datagram>(buf.get(..length).unwrap_or_default()) {
            Ok(datagram) => {
                let handled = contain_panic(|| handle_datagram(&node, &socket, datagram));
                if let Err(why) = handled {
                    log::error!(from:% = from, why; "datagram-panicked");
                }
            }
            Err(error) => log::warn!(from:% = from, error:% = error; "datagram-unreadable"),
        }
    }
}

/// Records what the head of a datagram says about its sender.
fn record_sender(node: &Node, datagram: &Datagram, now: TimePoint) {
    let name = &datagram.from.name;
    let mut peers = node.peers.borrow_mut();
    peers.table.record_received(&datagram.from, now);
    let last = LastDatagram {
        incarnation: datagram.incarnation,
        sent: datagram.sent,
        received_at: now,
        revision: datagram.revision,
        earliest_sent: earliest_send_time(node, datagram.echo),
    };
    peers.last_datagrams.insert(name.clone(), last);
    // Some VMs receive these from all others, and each datagram that they send sorts the clocks that they know.
    if matches!(datagram.content, Content::Quota(_) | Content::Streams(_)) {
        return;
    }
    node.wall_clock.borrow_mut().record(name.clone(), datagram.wall_ms, now);
}

fn handle_datagram(node: &Node, socket: &UdpSocket, datagram: Datagram) {
    let now = clock::now();
    let sender = datagram.sender();
    let name = datagram.from.name.clone();
    record_sender(node, &datagram, now);
    match datagram.content {
        Content::Digest { scope, sum, store_report, store_contact } => {
            // The contact is applied before the store report, because whether a removal of a server in the report may
            // be an expiry depends on it.
            if let Some(reported) = store_contact {
                apply_store_contact(node, reported, datagram.echo);
            }
            if let Some(store_report) = store_report {
                apply_store_report(node, store_report, datagram.echo);
                if config_copy::should_request(node, now) {
                    let above = node.config().map_or(0, |it| it.version);
                    send(node, socket, datagram.from.address, Content::ConfigRequest { above });
                }
            }
            // Only the sum of this VM's own collector is used: the sums of two collectors cover the same VMs, which
            // would be counted twice.
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
                sums.insert(&sender, *sum, now);
                peers.has_new_sums = true;
            }
            if scope == Scope::Rest
                && let Some(estimated_ms) = datagram.estimated_ms
            {
                node.wall_clock.borrow_mut().record_estimate(estimated_ms, now);
            }
        }
        Content::ConfigRequest { above } => {
            for chunk in config_copy::chunks_newer_than(node, above) {
                send(node, socket, datagram.from.address, Content::ConfigChunk(chunk));
            }
        }
        Content::ConfigChunk(chunk) => {
            config_copy::receive_chunk(node, chunk, datagram.from.address);
        }
        Content::StateRequest(request) => {
            let to = datagram.from.address;
            match state_copy::answer_request(node, &sender, &request, now) {
                StateAnswer::Chunks(chunks) => chunks.into_iter().for_each(|(age, chunk)| {
                    send(node, socket, to, Content::StateChunk { age, chunk });
                }),
                StateAnswer::Redirect { serves_others } => {
                    send(node, socket, to, Content::StateRedirect { serves_others });
                }
            }
        }
        Content::StateRedirect { serves_others } => {
            state_copy::handle_redirect(node, datagram.from.address, serves_others);
        }
        Content::StateChunk { age, chunk } => {
            let confirmed_at =
                earliest_send_time(node, datagram.echo).and_then(|it| earlier(it, age));
            let source = datagram.from.address;
            if let Some(request) = state_copy::receive_chunk(node, chunk, confirmed_at, source) {
                request_state(node, socket, source, request);
            }
        }
        Content::Poison(message) => node.poison.borrow_mut().receive(&name, message, now),
        Content::Signals { scope, servers } => {
            let from = match scope {
                Scope::Own => SignalSource::Member,
                Scope::Members => SignalSource::Collector,
                Scope::Rest => SignalSource::OwnCollector,
            };
            apply_signal_reports(node, servers, from);
        }
        Content::Quota(message) => {
            quota::receive(node, socket, &datagram.from, &sender, message);
        }
        Content::Streams(message) => {
            let confirmed_at = node.view_confirmed_at();
            if let Some(answer) = node.streams.receive(&name, message, confirmed_at, now) {
                send(node, socket, datagram.from.address, Content::Streams(answer));
            }
        }
        Content::Usage { counts } => {
            let sent_ms = datagram.estimated_ms.unwrap_or(datagram.wall_ms);
            node.usage.borrow_mut().merge_peer_totals(
                &name,
                datagram.incarnation,
                &counts,
                sent_ms,
            );
        }
    }
}

/// Applies changes of the store that another VM relays.
///
/// If nothing is missing, this confirms freshness as of the earliest time at which the report can have been sent, less
/// the age of the sender's own confirmation. The confirmation is therefore never too new, however long the datagram
/// took.
fn apply_store_report(node: &Node, store_report: StoreReport, echo: Option<Echo>) {
    let StoreReport { age, version, after, upto, changes } = store_report;
    let is_contiguous = apply_batch(node, ChangeBatch { after, upto, changes });
    node.reported_config_version.set(node.reported_config_version.get().max(version));
    let reached = node.store_view.borrow().reached();
    let is_up_to_date = node.config().is_some_and(|it| it.version >= version)
        && reached.is_some_and(|it| it.0 >= upto);
    if !is_contiguous || !is_up_to_date {
        return;
    }
    if let Some(confirmed_at) = earliest_send_time(node, echo).and_then(|it| earlier(it, age)) {
        confirm_freshness(node, confirmed_at);
    }
}

/// Records when the store answered another VM. The recorded time is never too new, however long the datagram took.
fn apply_store_contact(node: &Node, reported: ReportedContact, echo: Option<Echo>) {
    node.usage.borrow_mut().record_reported(reported.reported_window);
    let newest = earliest_send_time(node, echo).and_then(|it| earlier(it, reported.age));
    let Some(newest) = newest else { return };
    let since = earlier(newest, reported.uninterrupted).unwrap_or(TimePoint::ZERO);
    if newest <= clock::now() {
        record_store_contact(node, ContactSpan { since, newest });
    }
}

/// Returns the earliest time, by this VM's clock, at which a datagram with this echo can have been sent.
///
/// That is the time at which this VM sent the echoed datagram, plus the echo's delay. Returns `None` if an earlier
/// start of this VM sent the echoed datagram.
fn earliest_send_time(node: &Node, echo: Option<Echo>) -> Option<TimePoint> {
    let echo = echo.filter(|it| it.incarnation == node.incarnation)?;
    Some(echo.sent + echo.delay)
}

/// Returns the time `by` before `at`; `None` if that is before the clock's start.
fn earlier(at: TimePoint, by: Duration) -> Option<TimePoint> {
    let by = u64::try_from(by.as_micros()).ok()?;
    at.as_micros().checked_sub(by).map(TimePoint)
}

#[cfg(test)]
pub(crate) mod tests;
