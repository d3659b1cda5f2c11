use std::future::Future;

use quincevalve_forwarding::{
    peer_table::VmDescriptor,
    servers::{ServerEntry, ServerStart},
    store_contact::ContactSpan,
    sums::PartialSum,
};
use quincevalve_names::BackendServerName;
use tokio::task::LocalSet;

use super::*;
use crate::{
    store::{
        sync::begin_outage_if_unreachable,
        view::{RelayedChange, StoreState, apply_state},
    },
    test_node::{any_address, config, node as bare_node},
};

const AT: u64 = 50;

fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&rt.expect("a runtime"), test);
}

fn ago(millis: u64) -> TimePoint {
    TimePoint(clock::now().as_micros() - millis * 1_000)
}

fn server(draining: bool) -> ServerEntry {
    ServerEntry {
        start: ServerStart(1),
        service: "model".into(),
        address: any_address(),
        data_centre: "a".into(),
        version: "v1".into(),
        slots: 16,
        is_cold: false,
        draining,
        reclaimable: false,
        leaves_in: None,
    }
}

fn names() -> [BackendServerName; 2] {
    ["i-1".into(), "i-2".into()]
}

/// A VM that knows two servers and read the store itself so many milliseconds ago.
fn node(read_ago: u64) -> Node {
    let node = bare_node("vm-1");
    let servers = names().map(|it| (it, server(false))).into();
    apply_state(&node, StoreState { at: AT, newest: AT, servers, ..StoreState::default() });
    record_store_contact(&node, ContactSpan::at(ago(read_ago)));
    node
}

fn usable(node: &Node) -> Vec<String> {
    let servers = node.servers.borrow();
    let service = "model".into();
    servers.usable(&service, clock::now()).map(|(name, _)| name.as_str().to_owned()).collect()
}

/// What vm-2 tells: that the store answered it a moment ago, and so without a gap for a minute; and changes.
fn datagram(
    node: &Node,
    store_contact: Option<ReportedContact>,
    changes: Vec<(u64, RelayedChange)>,
) -> Datagram {
    let upto = changes.last().map_or(AT, |(at, _)| *at);
    Datagram {
        from: VmDescriptor {
            name: "vm-2".into(),
            address: any_address(),
            data_centre: "a".into(),
            cpu: 250,
        },
        incarnation: 1,
        wall_ms: 0,
        estimated_ms: None,
        sent: clock::now(),
        echo: Some(Echo {
            incarnation: node.incarnation,
            sent: ago(100),
            held: Duration::from_millis(40),
        }),
        revision: None,
        content: Content::Digest {
            scope: Scope::Members,
            sum: Box::<PartialSum>::default(),
            store_report: Some(StoreReport {
                age: Duration::ZERO,
                version: 0,
                after: AT,
                upto,
                changes,
            }),
            store_contact,
        },
    }
}

fn answered_all_the_while() -> ReportedContact {
    ReportedContact { age: Duration::from_millis(20), uninterrupted: Duration::from_secs(60) }
}

/// Both servers are gone: those whose entries may have lapsed are used only where no other is left.
fn removed() -> Vec<(u64, RelayedChange)> {
    names().map(|it| (AT + 1, RelayedChange::ServerRemoved(it))).into()
}

async fn socket() -> UdpSocket {
    UdpSocket::bind(("127.0.0.1", 0)).await.expect("a port")
}

// Requests reach a server seconds after it left: the store turned this VM away for three seconds, longer than any entry
// lives, while it answered another, which tells so and passes the removal on. It was no outage, so it is no lapse; also
// once this VM reads the store again.
#[test]
fn a_removal_that_another_vm_heard_of_is_no_lapse() {
    run(async {
        let node = node(3_000);
        begin_outage_if_unreachable(&node);
        handle_datagram(
            &node,
            &socket().await,
            datagram(&node, Some(answered_all_the_while()), removed()),
        );
        assert!(usable(&node).is_empty());
        record_store_contact(&node, ContactSpan::at(clock::now()));
        assert!(usable(&node).is_empty());
        assert!(!node.servers.borrow().is_store_unreachable());
    });
}

// The other VM's word counts although the removal comes first, in a datagram before it.
#[test]
fn the_word_that_the_store_answered_may_come_after_the_removal() {
    run(async {
        let (node, socket) = (node(3_000), socket().await);
        begin_outage_if_unreachable(&node);
        handle_datagram(&node, &socket, datagram(&node, None, removed()));
        handle_datagram(&node, &socket, datagram(&node, Some(answered_all_the_while()), removed()));
        record_store_contact(&node, ContactSpan::at(clock::now()));
        assert!(usable(&node).is_empty());
    });
}

// Nobody had an answer for three seconds: then the same removal is a lapse, and the server, which lives, is not given up
// while no other is left.
#[test]
fn without_anybodys_answer_it_may_be_a_lapse() {
    run(async {
        let node = node(3_000);
        begin_outage_if_unreachable(&node);
        assert!(node.servers.borrow().is_store_unreachable());
        handle_datagram(&node, &socket().await, datagram(&node, None, removed()));
        assert!(!usable(&node).is_empty());
    });
}

// Requests reach a server that said that it leaves: its word comes by another VM only.
#[test]
fn a_server_that_leaves_by_another_vms_word_gets_nothing_more() {
    run(async {
        let node = node(100);
        let leaves = vec![(AT + 1, RelayedChange::Server("i-1".into(), server(true)))];
        handle_datagram(
            &node,
            &socket().await,
            datagram(&node, Some(answered_all_the_while()), leaves),
        );
        assert_eq!(usable(&node), ["i-2"]);
    });
}

/// What a VM of that name tells of the store, from one revision to another.
fn relays(node: &Node, sender: &str, after: u64, changes: Vec<(u64, RelayedChange)>) -> Datagram {
    let mut datagram = datagram(node, Some(answered_all_the_while()), changes);
    datagram.from.name = sender.to_owned();
    if let Content::Digest { store_report: Some(store_report), .. } = &mut datagram.content {
        store_report.after = after;
    }
    datagram
}

// Requests reach a server that said that it leaves while the collector was replaced: the first one passed nothing more on,
// and the next one, another VM, goes on where it ended.
#[test]
fn another_collector_goes_on_where_the_first_ended() {
    run(async {
        let (node, socket) = (node(100), socket().await);
        handle_datagram(
            &node,
            &socket,
            relays(&node, "vm-2", AT, vec![(AT + 1, RelayedChange::Config(0))]),
        );
        let leaves = vec![(AT + 2, RelayedChange::Server("i-1".into(), server(true)))];
        handle_datagram(&node, &socket, relays(&node, "vm-3", AT + 1, leaves));
        assert_eq!(usable(&node), ["i-2"]);
    });
}

// The next collector doesn't go back far enough: this VM missed the change in which the server said that it leaves. What
// it is told is then no proof that nothing is newer, and it has to read the store itself.
#[test]
fn a_collector_that_lacks_what_came_before_proves_nothing() {
    run(async {
        let (node, socket) = (node(100), socket().await);
        let later = vec![(AT + 4, RelayedChange::ServerRemoved("i-2".into()))];
        handle_datagram(&node, &socket, relays(&node, "vm-3", AT + 3, later));
        assert_eq!(usable(&node), ["i-1", "i-2"], "a part without what came before isn't taken");
        assert_eq!(node.store_view.borrow().reached().map(|it| it.0), Some(AT));
        assert!(!node.was_confirmed_fresh());
    });
}

// The same datagram with nothing missing does prove it, once there is a configuration.
#[test]
fn a_collector_that_lacks_nothing_proves_it() {
    run(async {
        let (node, socket) = (node(100), socket().await);
        node.apply_config(config(1));
        let leaves = vec![(AT + 1, RelayedChange::ServerRemoved("i-2".into()))];
        handle_datagram(&node, &socket, relays(&node, "vm-3", AT, leaves));
        assert!(node.was_confirmed_fresh());
    });
}
