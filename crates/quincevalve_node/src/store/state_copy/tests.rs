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

fn card(at: u16) -> VmDescriptor {
    VmDescriptor {
        name: format!("vm-{at}"),
        address: ([10, 1, (at / 200) as u8, (at % 200) as u8], 7600).into(),
        data_centre: "north".into(),
        cpu: 120,
    }
}

/// A VM that has read the store a moment ago.
fn informed(name: &str) -> Node {
    let node = bare_node(name);
    let whole = Whole {
        at: 50,
        newest: 50,
        config: Some(config(3)),
        servers: (0..SERVERS).map(|at| (format!("i-{at}").as_str().into(), server(at))).collect(),
        unreadable: Vec::new(),
        vms: (0..300).map(card).collect(),
        holder: Some("vm-9".to_owned()),
        quarantine: vec![(RequestDigest(7), QuarantineEntry::first(ExitPattern::Separate, 0))],
        ..Whole::default()
    };
    assert!(take_whole(&node, whole));
    prove(&node, clock::now());
    node
}

fn starting() -> Node {
    let node = bare_node("vm-new");
    let sources = vec![any_address(), elsewhere()];
    let fetch = ChunkFetch::new(sources, Duration::from_secs(1), clock::now());
    node.state_copy.borrow_mut().fetch = Some(fetch);
    node
}

fn elsewhere() -> SocketAddr {
    ([127, 0, 0, 2], 0).into()
}

fn parts_for(node: &Node, sender: &str, now: TimePoint) -> Vec<(Duration, Chunk)> {
    match answer_for(node, sender, &ChunkRequest::default(), now) {
        StateAnswer::Parts(parts) => parts,
        StateAnswer::SendOn { .. } => Vec::new(),
    }
}

fn parts(node: &Node) -> Vec<Chunk> {
    parts_for(node, "vm-new#1", clock::now()).into_iter().map(|(_, part)| part).collect()
}

// Every caller is refused for most of a second after all VMs lost power: the store carries the whole list once for each
// of them. One that starts gets it from another instead, and knows what that one knows, servers that leave included.
#[test]
fn a_vm_that_starts_knows_what_another_knows() {
    run(|| {
        let (having, lacking) = (informed("vm-1"), starting());
        let now = clock::now();
        let parts = parts(&having);
        assert!(parts.len() > 1, "one datagram holds it");
        for part in parts {
            assert!(lacking.config().is_none());
            take_part(&lacking, part, Some(now), any_address());
        }
        assert_eq!(lacking.config().map(|it| it.version), Some(3));
        let quarantined: Vec<_> =
            lacking.poison.borrow().stored_entries().map(|(it, _)| it).collect();
        assert_eq!(quarantined, [RequestDigest(7)]);
        assert_eq!(lacking.store_view.borrow().reached().map(|it| it.0), Some(50));
        let servers = lacking.servers.borrow();
        assert_eq!(servers.all().count(), usize::from(SERVERS));
        let usable = servers.usable(&"model".into(), now).count();
        assert_eq!(usable, usize::from(SERVERS) - 1, "one leaves");
        assert_eq!(
            lacking.vm_count(),
            301,
            "three hundred, the one that told among them, and itself"
        );
        assert_eq!(lacking.peers.borrow().holder(), Some("vm-9"));
        assert!(lacking.was_confirmed_fresh());
    });
}

// A request reaches a server that left: what another VM knows is older than its proof says, or its proof is too old. A VM
// that has no new proof gives nothing, and neither does one that lacks a configuration that others have.
#[test]
fn only_what_is_proved_is_given() {
    run(|| {
        let node = bare_node("vm-1");
        assert!(parts(&node).is_empty(), "it knows nothing");
        let node = informed("vm-1");
        let later = clock::now() + Duration::from_secs(3);
        assert!(parts_for(&node, "vm-new#1", later).is_empty(), "its proof is old");
        node.reported_config_version.set(4);
        assert!(parts(&node).is_empty(), "others have a newer configuration");
    });
}

// A part is lost on its way, and the other VM's answer to the next question is another version of what it knows, or another
// VM answers: parts of two answers make no whole.
#[test]
fn parts_of_two_answers_are_not_put_together() {
    run(|| {
        let (having, other, lacking) = (informed("vm-1"), informed("vm-2"), starting());
        let first = parts(&having);
        for part in first.iter().skip(1) {
            take_part(&lacking, part.clone(), None, any_address());
        }
        let second = parts(&other);
        take_part(&lacking, second[0].clone(), None, elsewhere());
        assert!(lacking.config().is_none());
        sent_on(&lacking, any_address(), true);
        take_part(&lacking, second[0].clone(), None, elsewhere());
        assert!(lacking.config().is_none());
        for part in second.iter().skip(1) {
            take_part(&lacking, part.clone(), None, elsewhere());
        }
        assert_eq!(lacking.config().map(|it| it.version), Some(3));
        assert!(!lacking.was_confirmed_fresh(), "no proof came with it");
    });
}

#[test]
fn a_vm_that_asks_again_at_once_is_answered_once() {
    run(|| {
        let node = informed("vm-1");
        let now = clock::now();
        assert!(!parts_for(&node, "vm-new#1", now).is_empty());
        assert!(parts_for(&node, "vm-new#1", now + RETRY_INTERVAL / 2).is_empty());
        assert!(
            !parts_for(&node, "vm-new#2", now + RETRY_INTERVAL / 2).is_empty(),
            "another start"
        );
        assert!(!parts_for(&node, "vm-new#1", now + ANSWER_AGAIN).is_empty());
    });
}

// What is known already is not replaced by a copy that comes late.
#[test]
fn a_copy_that_nobody_waits_for_changes_nothing() {
    run(|| {
        let (having, other) = (informed("vm-1"), bare_node("vm-2"));
        for part in parts(&having) {
            take_part(&other, part, Some(clock::now()), any_address());
        }
        assert!(other.config().is_none());
        assert!(!other.was_confirmed_fresh());
    });
}

// A few VMs know all when hundreds start: they send to all at once, nobody gets all of it in time, and each reads the store.
#[test]
fn a_vm_whose_link_is_taken_sends_others_on() {
    run(|| {
        let node = informed("vm-1");
        let (now, wanted) = (clock::now(), ChunkRequest::default());
        let answers = (0..40).map(|it| answer_for(&node, &format!("vm-{it}#1"), &wanted, now));
        let (served, sent_on): (Vec<_>, Vec<_>) =
            answers.partition(|it| matches!(it, StateAnswer::Parts(_)));
        assert_eq!(served.len(), 16);
        assert!(sent_on.iter().all(|it| matches!(it, StateAnswer::SendOn { serves_others: true })));
        let parts = |sender: &str| {
            matches!(
                answer_for(&node, sender, &wanted, now + RETRY_INTERVAL * 2),
                StateAnswer::Parts(_)
            )
        };
        assert!(parts("vm-39#1"), "those who went silent are forgotten");
    });
}

// A part is lost: only that one is sent again, of what was known when the first were sent.
#[test]
fn only_the_parts_that_are_asked_for_are_sent_again() {
    run(|| {
        let node = informed("vm-1");
        let first = parts(&node);
        let now = clock::now() + RETRY_INTERVAL;
        let wanted = ChunkRequest { version: Some(first[0].version), chunks: vec![1] };
        let StateAnswer::Parts(again) = answer_for(&node, "vm-new#1", &wanted, now) else {
            panic!("it is served");
        };
        assert_eq!(again.into_iter().map(|(_, it)| it).collect::<Vec<_>>(), [first[1].clone()]);
    });
}
