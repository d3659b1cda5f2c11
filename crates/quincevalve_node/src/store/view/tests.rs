use quincevalve_forwarding::{servers::ServerStart, store_contact::ContactSpan};

use super::*;
use crate::{
    store::sync::heard_of_store,
    test_node::{node, run},
};

fn draining() -> ServerEntry {
    ServerEntry {
        start: ServerStart(1),
        service: "model".into(),
        address: "10.1.0.1:80".parse().unwrap(),
        data_centre: "north".into(),
        version: "v1".into(),
        slots: 4,
        is_cold: false,
        draining: true,
        reclaimable: true,
        leaves_in: Some(std::time::Duration::from_secs(2)),
    }
}

fn own(key: &str, bytes: usize) -> Passed {
    Passed::Own { key: key.to_owned(), value: vec![0; bytes] }
}

// All VMs hear late of servers that leave: what the holder of the duties keeps for its successor filled the
// datagrams. Only entries of VMs and of the holder are passed on.
#[test]
fn only_what_others_need_is_passed_on() {
    assert!(own("peers/vm-1", 100).concerns_others());
    assert!(own("quarantine/00000000000000ab", 40).concerns_others());
    assert!(Passed::OwnRemoved("quarantine/00000000000000ab".to_owned()).concerns_others());
    assert!(own(HOLDER_KEY, 5).concerns_others());
    assert!(Passed::OwnRemoved(HOLDER_KEY.to_owned()).concerns_others());
    assert!(Passed::Config(7).concerns_others());
    assert!(Passed::ServerRemoved("i-1".into()).concerns_others());
    for key in ["duty/term", "duty/usage", "duty/counts"] {
        assert!(!own(key, 100).concerns_others(), "{key}");
    }
}

#[test]
fn a_change_weighs_at_least_what_it_takes_in_a_datagram() {
    let server = Passed::Server("i-0123456789".into(), draining());
    for change in [server, own("peers/vm-1", 200), Passed::ServerRemoved("i-1".into())] {
        let encoded = encoding().serialize(&change).unwrap();
        assert!(change.bytes() >= encoded.len(), "{change:?}: {}", encoded.len());
    }
}

// Requests go on reaching a server that has said it leaves, from VMs that look up to date. The VM that reads for them
// read the whole store in pages, and the server's word came between two of them: it stood on a later page. As a
// change it was then no news to the reader, and was not passed on.
#[test]
fn what_changed_while_the_store_was_read_is_passed_on() {
    run(|| {
        let reader = node("vm-1");
        let name = BackendServerName::from("i-1");
        let snapshot = Snapshot {
            servers: vec![(name.clone(), draining())],
            at: StoreRevision(100),
            newest: StoreRevision(103),
            ..Snapshot::default()
        };
        take_snapshot(&reader, snapshot);
        let change = (StoreRevision(103), Change::Server(name.clone(), draining()));
        take_changes(
            &reader,
            Changes { changes: vec![change], at: StoreRevision(104), may_be_truncated: false },
        );
        let renewal = (StoreRevision(105), Change::Server(name.clone(), draining()));
        take_changes(
            &reader,
            Changes { changes: vec![renewal], at: StoreRevision(105), may_be_truncated: false },
        );
        let excerpt = reader.store_view.borrow().since(StoreRevision(100), usize::MAX);
        let excerpt = excerpt.expect("changes since the whole reading");
        assert_eq!(excerpt.changes, [(103, Passed::Server(name, draining()))]);
        assert_eq!(excerpt.upto, 105);
    });
}

fn snapshot_with(card: &VmDescriptor, lease: u64) -> Snapshot {
    let item = SystemItem {
        key: peer_key(card),
        value: serde_json::to_vec(card).expect("a card"),
        revision: StoreRevision(5),
        lease: Some(LeaseId(lease)),
    };
    Snapshot { system_items: vec![item], at: StoreRevision(7), ..Snapshot::default() }
}

// All VMs are back at once after a loss of power, and each would write the entry that is still there. It renews that
// entry's lease instead; an entry that says something else, for instance an address that it no longer has, is replaced.
#[test]
fn a_vm_that_starts_again_keeps_the_entry_that_says_the_same() {
    run(|| {
        let node = node("vm-1");
        let card = node.peers.borrow().book.me().clone();
        take_snapshot(&node, snapshot_with(&card, 31));
        assert_eq!(node.store_view.borrow().left_lease(), Some(LeaseId(31)));
    });
    run(|| {
        let node = node("vm-1");
        let card = VmDescriptor { cpu: 1, ..node.peers.borrow().book.me().clone() };
        take_snapshot(&node, snapshot_with(&card, 31));
        assert_eq!(node.store_view.borrow().left_lease(), None);
    });
    run(|| {
        let other =
            VmDescriptor { name: "vm-2".into(), ..node("vm-1").peers.borrow().book.me().clone() };
        let node = node("vm-1");
        take_snapshot(&node, snapshot_with(&other, 31));
        assert_eq!(node.store_view.borrow().left_lease(), None);
    });
}

// What one VM read of a quarantine is known to those that it tells, and so is its end.
#[test]
fn a_quarantine_is_taken_from_another_vm_and_given_up_with_its_entry() {
    run(|| {
        let node = node("vm-2");
        take_whole(&node, Whole { at: 100, newest: 100, ..Whole::default() });
        let key = "quarantine/00000000000000ab".to_owned();
        let value = br#"{"trials":0,"until_ms":1}"#.to_vec();
        let changes = vec![(101, Passed::Own { key: key.clone(), value })];
        take_excerpt(&node, ChangeBatch { after: 100, upto: 101, changes });
        assert_eq!(node.poison.borrow().stored_entries().count(), 1);
        let changes = vec![(102, Passed::OwnRemoved(key))];
        take_excerpt(&node, ChangeBatch { after: 101, upto: 102, changes });
        assert_eq!(node.poison.borrow().stored_entries().count(), 0);
    });
}

fn ready() -> ServerEntry {
    ServerEntry { draining: false, leaves_in: None, ..draining() }
}

fn usable(node: &Node) -> usize {
    node.servers.borrow().usable(&"model".into(), clock::now()).count()
}

/// A VM that knows one server, and that the store answers it.
fn informed() -> Node {
    let node = node("vm-1");
    heard_of_store(&node, ContactSpan::at(clock::now()));
    let servers = vec![("i-1".into(), ready())];
    take_whole(&node, Whole { at: 100, newest: 100, servers, ..Whole::default() });
    assert_eq!(usable(&node), 1);
    node
}

// Each way by which a VM that reads the store hears that a server leaves, alone: requests go on reaching the server where
// one of them is lost.
#[test]
fn a_server_that_leaves_is_heard_of_by_ones_own_reading() {
    run(|| {
        let node = informed();
        let says = (StoreRevision(101), Change::Server("i-1".into(), draining()));
        take_changes(
            &node,
            Changes { changes: vec![says], at: StoreRevision(101), may_be_truncated: false },
        );
        assert_eq!(usable(&node), 0);
    });
    run(|| {
        let node = informed();
        let gone = (StoreRevision(101), Change::ServerRemoved("i-1".into()));
        take_changes(
            &node,
            Changes { changes: vec![gone], at: StoreRevision(101), may_be_truncated: false },
        );
        assert_eq!(usable(&node), 0);
    });
    run(|| {
        let node = informed();
        let spoiled = Change::ServerUnreadable("i-1".into(), "spoiled".to_owned());
        let changes = vec![(StoreRevision(101), spoiled)];
        take_changes(&node, Changes { changes, at: StoreRevision(101), may_be_truncated: false });
        assert_eq!(usable(&node), 0);
    });
}

// The history that held the change is gone, and all is read anew.
#[test]
fn a_server_that_leaves_is_heard_of_by_a_whole_reading() {
    let readings = [
        Snapshot { servers: vec![("i-1".into(), draining())], ..Snapshot::default() },
        Snapshot { unreadable: vec![("i-1".into(), "spoiled".to_owned())], ..Snapshot::default() },
        Snapshot::default(),
    ];
    for reading in readings {
        run(|| {
            let node = informed();
            node.store_view.borrow_mut().forget();
            let at = StoreRevision(120);
            take_snapshot(&node, Snapshot { at, newest: at, ..reading });
            assert_eq!(usable(&node), 0);
        });
    }
}

// A whole reading that is older than what this VM knows by now brings no server back.
#[test]
fn an_old_whole_reading_brings_no_server_back() {
    run(|| {
        let node = informed();
        let gone = (StoreRevision(101), Change::ServerRemoved("i-1".into()));
        take_changes(
            &node,
            Changes { changes: vec![gone], at: StoreRevision(101), may_be_truncated: false },
        );
        let at = StoreRevision(100);
        let servers = vec![("i-1".into(), ready())];
        take_snapshot(&node, Snapshot { servers, at, newest: at, ..Snapshot::default() });
        assert_eq!(usable(&node), 0);
    });
}

// A VM that starts when all that knew of a quarantine are gone, and after the store has dropped its history, has only the
// whole reading to know it from.
#[test]
fn a_quarantine_is_known_from_a_whole_reading() {
    run(|| {
        let node = node("vm-1");
        let item = SystemItem {
            key: "quarantine/00000000000000ab".to_owned(),
            value: br#"{"trials":0,"until_ms":1}"#.to_vec(),
            revision: StoreRevision(5),
            lease: None,
        };
        take_snapshot(
            &node,
            Snapshot { system_items: vec![item], at: StoreRevision(7), ..Snapshot::default() },
        );
        assert_eq!(node.poison.borrow().stored_entries().count(), 1);
    });
}

fn read_anew(node: &Node, servers: Vec<(BackendServerName, ServerEntry)>, own: Vec<SystemItem>) {
    node.store_view.borrow_mut().forget();
    let at = StoreRevision(120);
    take_snapshot(
        node,
        Snapshot { servers, system_items: own, at, newest: at, ..Snapshot::default() },
    );
}

fn vm(name: &str) -> SystemItem {
    let card =
        VmDescriptor { name: name.to_owned(), ..node("vm-0").peers.borrow().book.me().clone() };
    let value = serde_json::to_vec(&card).expect("a card");
    SystemItem { key: peer_key(&card), value, revision: StoreRevision(110), lease: None }
}

// The store drops its history: the VMs that read it for all read the whole, and nobody else knows what came before. Each of
// a thousand VMs reads the whole store, for eight seconds, and all callers are refused.
#[test]
fn others_go_on_from_what_they_know_when_the_history_is_gone() {
    run(|| {
        let (reader, member) = (informed(), informed());
        let new = |port| ServerEntry { address: ([10, 1, 0, 9], port).into(), ..ready() };
        let servers = vec![("i-2".into(), new(80)), ("i-3".into(), new(81))];
        read_anew(&reader, servers, vec![vm("vm-7")]);
        let excerpt = reader.store_view.borrow().since(StoreRevision(100), PASSED_BYTES);
        assert!(take_excerpt(&member, excerpt.expect("the differences")));
        assert_eq!(member.store_view.borrow().reached(), Some(StoreRevision(120)));
        let servers = member.servers.borrow();
        let service = "model".into();
        let usable = servers.usable(&service, clock::now());
        let usable: Vec<_> = usable.map(|(name, _)| name.as_str().to_owned()).collect();
        assert_eq!(usable, ["i-2", "i-3"]);
        assert_eq!(member.vm_count(), 2);
    });
}

// What changed is more than a datagram holds: none of it is given, and others read the store.
#[test]
fn differences_beyond_a_datagram_are_not_passed_on() {
    run(|| {
        let reader = informed();
        let servers = (0..1_000).map(|it| (format!("i-{it}").as_str().into(), ready()));
        read_anew(&reader, servers.collect(), Vec::new());
        assert!(reader.store_view.borrow().since(StoreRevision(100), PASSED_BYTES).is_none());
        assert!(reader.store_view.borrow().since(StoreRevision(120), PASSED_BYTES).is_some());
    });
}

// A VM is told what it knows already, each time the store drops its history, as if all had changed.
#[test]
fn what_is_known_is_no_difference() {
    run(|| {
        let reader = informed();
        let names = ["vm-1", "vm-2", "vm-3"];
        let servers = vec![("i-1".into(), ready())];
        read_anew(&reader, servers.clone(), names.iter().map(|it| vm(it)).collect());
        reader.store_view.borrow_mut().forget();
        let at = StoreRevision(130);
        let own = names.iter().map(|it| vm(it)).collect();
        take_snapshot(
            &reader,
            Snapshot { servers, system_items: own, at, newest: at, ..Snapshot::default() },
        );
        let excerpt = reader.store_view.borrow().since(StoreRevision(120), PASSED_BYTES);
        let excerpt = excerpt.expect("nothing is lacking");
        assert_eq!((excerpt.upto, excerpt.changes.len()), (130, 0), "{:?}", excerpt.changes);
    });
}
