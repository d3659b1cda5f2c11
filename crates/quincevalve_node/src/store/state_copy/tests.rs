use std::time::Duration;

use quincevalve_forwarding::{
    chunk_fetch::RETRY_INTERVAL,
    peer_table::VmDescriptor,
    poison::{ExitPattern, QuarantineEntry},
    request_digest::RequestDigest,
    servers::{ServerEntry, ServerStart},
};

use super::*;
use crate::{
    clock,
    test_node::{any_address, config, node as bare_node, run},
};

const SERVERS: u16 = 900;

fn server(at: u16) -> ServerEntry {
    ServerEntry {
        start: ServerStart(1),
        service: "model".into(),
        address: ([10, 2, (at / 200) as u8, (at % 200) as u8], 80).into(),
        data_centre: "north".into(),
        version: "v1".into(),
        slots: 16,
        is_cold: false,
        draining: at == 7,
        reclaimable: true,
        leaves_in: None,
    }
}

fn descriptor(at: u16) -> VmDescriptor {
    VmDescriptor {
        name: format!("vm-{at}"),
        address: ([10, 1, (at / 200) as u8, (at % 200) as u8], 7600).into(),
        data_centre: "north".into(),
        cpu: 120,
    }
}

/// Returns a VM that read the store a moment ago.
fn synced_node(name: &str) -> Node {
    let node = bare_node(name);
    let state = StoreState {
        at: 50,
        newest: 50,
        config: Some(config(3)),
        servers: (0..SERVERS).map(|at| (format!("i-{at}").as_str().into(), server(at))).collect(),
        unreadable: Vec::new(),
        vms: (0..300).map(descriptor).collect(),
        holder: Some("vm-9".to_owned()),
        quarantine: vec![(RequestDigest(7), QuarantineEntry::first(ExitPattern::Separate, 0))],
        ..StoreState::default()
    };
    assert!(apply_state(&node, state));
    confirm_freshness(&node, clock::now());
    node
}

/// Returns a VM that fetches the state while it starts.
fn starting_node() -> Node {
    let node = bare_node("vm-new");
    let sources = vec![any_address(), other_address()];
    let fetch = ChunkFetch::new(sources, Duration::from_secs(1), clock::now());
    node.state_copy.borrow_mut().fetch = Some(fetch);
    node
}

fn other_address() -> SocketAddr {
    ([127, 0, 0, 2], 0).into()
}

fn chunks_for(node: &Node, sender: &str, now: TimePoint) -> Vec<(Duration, Chunk)> {
    match answer_request(node, sender, &ChunkRequest::default(), now) {
        StateAnswer::Chunks(chunks) => chunks,
        StateAnswer::Redirect { .. } => Vec::new(),
    }
}

fn chunks(node: &Node) -> Vec<Chunk> {
    chunks_for(node, "vm-new#1", clock::now()).into_iter().map(|(_, chunk)| chunk).collect()
}

// After a power loss the store would have to send the whole list to each VM, and every caller would be rejected for
// most of a second. A starting VM gets the state from another VM instead, including servers that leave.
#[test]
fn a_starting_vm_copies_the_state_of_another() {
    run(|| {
        let (source, starting_vm) = (synced_node("vm-1"), starting_node());
        let now = clock::now();
        let chunks = chunks(&source);
        assert!(chunks.len() > 1, "the state takes several datagrams");
        for chunk in chunks {
            assert!(starting_vm.config().is_none());
            receive_chunk(&starting_vm, chunk, Some(now), any_address());
        }
        assert_eq!(starting_vm.config().map(|it| it.version), Some(3));
        let quarantined: Vec<_> =
            starting_vm.poison.borrow().stored_entries().map(|(it, _)| it).collect();
        assert_eq!(quarantined, [RequestDigest(7)]);
        assert_eq!(starting_vm.store_view.borrow().reached().map(|it| it.0), Some(50));
        let servers = starting_vm.servers.borrow();
        assert_eq!(servers.all().count(), usize::from(SERVERS));
        let usable = servers.usable(&"model".into(), now).count();
        assert_eq!(usable, usize::from(SERVERS) - 1, "one leaves");
        assert_eq!(starting_vm.vm_count(), 301, "300, which include the source, and itself");
        assert_eq!(starting_vm.peers.borrow().holder(), Some("vm-9"));
        assert!(starting_vm.was_confirmed_fresh());
    });
}

// Requests would reach a server that left if the copied state were older than its freshness confirmation says. A VM
// serves no state without a recent confirmation, nor while it lacks a configuration that other VMs have.
#[test]
fn does_not_serve_state_without_a_recent_confirmation() {
    run(|| {
        let node = bare_node("vm-1");
        assert!(chunks(&node).is_empty(), "it has no state");
        let node = synced_node("vm-1");
        let later = clock::now() + Duration::from_secs(3);
        assert!(chunks_for(&node, "vm-new#1", later).is_empty(), "its confirmation is old");
        node.reported_config_version.set(4);
        assert!(chunks(&node).is_empty(), "other VMs have a newer configuration");
    });
}

// After a lost chunk, the next answer may be another version of the state or come from another VM. Chunks of two
// versions must not be assembled into one state.
#[test]
fn does_not_assemble_chunks_of_two_answers() {
    run(|| {
        let (source, other, starting_vm) =
            (synced_node("vm-1"), synced_node("vm-2"), starting_node());
        let first = chunks(&source);
        for chunk in first.iter().skip(1) {
            receive_chunk(&starting_vm, chunk.clone(), None, any_address());
        }
        let second = chunks(&other);
        receive_chunk(&starting_vm, second[0].clone(), None, other_address());
        assert!(starting_vm.config().is_none());
        handle_redirect(&starting_vm, any_address(), true);
        receive_chunk(&starting_vm, second[0].clone(), None, other_address());
        assert!(starting_vm.config().is_none());
        for chunk in second.iter().skip(1) {
            receive_chunk(&starting_vm, chunk.clone(), None, other_address());
        }
        assert_eq!(starting_vm.config().map(|it| it.version), Some(3));
        assert!(!starting_vm.was_confirmed_fresh(), "the chunks carried no confirmation");
    });
}

#[test]
fn does_not_answer_an_immediate_retry_of_a_first_request() {
    run(|| {
        let node = synced_node("vm-1");
        let now = clock::now();
        assert!(!chunks_for(&node, "vm-new#1", now).is_empty());
        assert!(chunks_for(&node, "vm-new#1", now + RETRY_INTERVAL / 2).is_empty());
        assert!(
            !chunks_for(&node, "vm-new#2", now + RETRY_INTERVAL / 2).is_empty(),
            "another start"
        );
        assert!(!chunks_for(&node, "vm-new#1", now + MIN_ANSWER_INTERVAL).is_empty());
    });
}

// A copy that arrives late must not replace newer state.
#[test]
fn ignores_a_copy_when_no_fetch_is_running() {
    run(|| {
        let (source, other) = (synced_node("vm-1"), bare_node("vm-2"));
        for chunk in chunks(&source) {
            receive_chunk(&other, chunk, Some(clock::now()), any_address());
        }
        assert!(other.config().is_none());
        assert!(!other.was_confirmed_fresh());
    });
}

// When hundreds of VMs start, a few have the state. If these sent it to all at once, no VM would receive all of it in
// time, and each would read the store.
#[test]
fn redirects_requests_while_its_link_is_busy() {
    run(|| {
        let node = synced_node("vm-1");
        let (now, wanted) = (clock::now(), ChunkRequest::default());
        let answers = (0..40).map(|it| answer_request(&node, &format!("vm-{it}#1"), &wanted, now));
        let (served, redirected): (Vec<_>, Vec<_>) =
            answers.partition(|it| matches!(it, StateAnswer::Chunks(_)));
        assert_eq!(served.len(), 16);
        assert!(
            redirected.iter().all(|it| matches!(it, StateAnswer::Redirect { serves_others: true }))
        );
        let is_served = |sender: &str| {
            matches!(
                answer_request(&node, sender, &wanted, now + RETRY_INTERVAL * 2),
                StateAnswer::Chunks(_)
            )
        };
        assert!(is_served("vm-39#1"), "the slots of silent requesters are released");
    });
}

// After a lost chunk only that chunk is sent again, from the version that was sent first.
#[test]
fn sends_only_the_requested_chunks_again() {
    run(|| {
        let node = synced_node("vm-1");
        let first = chunks(&node);
        let now = clock::now() + RETRY_INTERVAL;
        let wanted = ChunkRequest { version: Some(first[0].version), chunks: vec![1] };
        let StateAnswer::Chunks(again) = answer_request(&node, "vm-new#1", &wanted, now) else {
            panic!("it is served");
        };
        assert_eq!(again.into_iter().map(|(_, it)| it).collect::<Vec<_>>(), [first[1].clone()]);
    });
}
