use quincevalve_forwarding::peer_table::VmDescriptor;

use super::*;
use crate::{
    store::view::{Whole, take_whole},
    test_node::{config, node, run},
};

fn ago(millis: u64) -> TimePoint {
    TimePoint(clock::now().as_micros() - millis * 1_000)
}

// Requests reach servers that left, and streams on them aren't moved: a VM was out of reach for a while and took the
// store for away, and what it heard then left no gap, so nothing told it otherwise.
#[test]
fn a_store_that_answered_others_is_no_longer_taken_for_away() {
    run(|| {
        let node = node("vm-1");
        heard_of_store(&node, ContactSpan::at(ago(5_000)));
        note_away(&node);
        assert!(node.servers.borrow().is_store_unreachable());
        heard_of_store(&node, ContactSpan { since: ago(6_000), newest: ago(4_000) });
        assert!(node.servers.borrow().is_store_unreachable(), "that is long ago");
        heard_of_store(&node, ContactSpan { since: ago(6_000), newest: ago(100) });
        assert!(!node.servers.borrow().is_store_unreachable());
    });
}

#[test]
fn a_store_that_answered_nobody_is_back_with_its_first_answer() {
    run(|| {
        let node = node("vm-1");
        heard_of_store(&node, ContactSpan::at(ago(5_000)));
        note_away(&node);
        heard_of_store(&node, ContactSpan::at(ago(100)));
        let servers = node.servers.borrow();
        assert!(!servers.is_store_unreachable());
        assert!(servers.may_be_incomplete(clock::now()), "entries may have lapsed");
    });
}

// The VMs that read the store for all are gone. Who was told by them reads it itself as soon as what it was told is too
// old, and not before.
#[test]
fn a_vm_that_is_told_nothing_new_reads_the_store() {
    run(|| {
        let node = node("vm-9");
        let card = |at: u32| VmDescriptor {
            name: format!("vm-{at}"),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "a".into(),
            cpu: 1_000,
        };
        let vms = (1..4).map(card).collect();
        let whole = Whole { at: 7, newest: 7, config: Some(config(1)), vms, ..Whole::default() };
        take_whole(&node, whole);
        let told_age =
            StoreReadRole::Follower.max_confirmation_age(node.settings.bounds.change_in_force);
        assert_eq!(node.store_read_role(), StoreReadRole::Follower);
        prove(&node, ago(told_age.as_millis() as u64 + 50));
        assert!(must_read(&node));
        prove(&node, ago(told_age.as_millis() as u64 - 300));
        assert!(!must_read(&node));
    });
}

#[test]
fn a_vm_that_knows_nothing_reads_the_store() {
    run(|| {
        let node = node("vm-9");
        prove(&node, ago(1));
        assert!(must_read(&node));
    });
}
