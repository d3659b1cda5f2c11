use quincevalve_forwarding::peer_table::VmDescriptor;

use super::*;
use crate::{
    store::view::{StoreState, apply_state},
    test_node::{config, node, run},
};

fn ago(millis: u64) -> TimePoint {
    TimePoint(clock::now().as_micros() - millis * 1_000)
}

// A VM that was cut off for a while assumes a store outage. The answers it then learns of leave no gap, so they don't
// count as a return of the store. If the outage didn't end, requests would reach servers that left, and streams on
// these servers wouldn't be migrated.
#[test]
fn cancels_the_outage_when_the_store_answered_other_vms() {
    run(|| {
        let node = node("vm-1");
        record_store_contact(&node, ContactSpan::at(ago(5_000)));
        begin_outage_if_unreachable(&node);
        assert!(node.servers.borrow().is_store_unreachable());
        record_store_contact(&node, ContactSpan { since: ago(6_000), newest: ago(4_000) });
        assert!(node.servers.borrow().is_store_unreachable(), "that is long ago");
        record_store_contact(&node, ContactSpan { since: ago(6_000), newest: ago(100) });
        assert!(!node.servers.borrow().is_store_unreachable());
    });
}

#[test]
fn ends_the_outage_with_the_first_answer_of_the_store() {
    run(|| {
        let node = node("vm-1");
        record_store_contact(&node, ContactSpan::at(ago(5_000)));
        begin_outage_if_unreachable(&node);
        record_store_contact(&node, ContactSpan::at(ago(100)));
        let servers = node.servers.borrow();
        assert!(!servers.is_store_unreachable());
        assert!(servers.may_be_incomplete(clock::now()), "entries may have expired");
    });
}

// When the VMs that read the store for all VMs stop, a follower reads it itself once its freshness confirmation is
// too old, and not before.
#[test]
fn a_follower_reads_the_store_when_its_confirmation_is_too_old() {
    run(|| {
        let node = node("vm-9");
        let descriptor = |at: u32| VmDescriptor {
            name: format!("vm-{at}"),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "a".into(),
            cpu: 1_000,
        };
        let vms = (1..4).map(descriptor).collect();
        let state =
            StoreState { at: 7, newest: 7, config: Some(config(1)), vms, ..StoreState::default() };
        apply_state(&node, state);
        let max_age =
            StoreReadRole::Follower.max_confirmation_age(node.settings.bounds.change_in_force);
        assert_eq!(node.store_read_role(), StoreReadRole::Follower);
        confirm_freshness(&node, ago(max_age.as_millis() as u64 + 50));
        assert!(must_read_store(&node));
        confirm_freshness(&node, ago(max_age.as_millis() as u64 - 300));
        assert!(!must_read_store(&node));
    });
}

#[test]
fn a_vm_without_state_reads_the_store() {
    run(|| {
        let node = node("vm-9");
        confirm_freshness(&node, ago(1));
        assert!(must_read_store(&node));
    });
}
