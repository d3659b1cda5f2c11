use super::*;
use crate::test_node::{node, run};

fn ago(millis: u64) -> TimePoint {
    TimePoint(clock::now().as_micros() - millis * 1_000)
}

// Requests reach servers that left, and streams on them aren't moved: a VM was out of reach for a while and took the
// store for away, and what it heard then left no gap, so nothing told it otherwise.
#[test]
fn a_store_that_answered_others_is_no_longer_taken_for_away() {
    run(|| {
        let node = node("vm-1");
        heard_of_store(&node, Contact::at(ago(5_000)));
        note_away(&node);
        assert!(node.servers.borrow().is_store_away());
        heard_of_store(&node, Contact { since: ago(6_000), newest: ago(4_000) });
        assert!(node.servers.borrow().is_store_away(), "that is long ago");
        heard_of_store(&node, Contact { since: ago(6_000), newest: ago(100) });
        assert!(!node.servers.borrow().is_store_away());
    });
}

#[test]
fn a_store_that_answered_nobody_is_back_with_its_first_answer() {
    run(|| {
        let node = node("vm-1");
        heard_of_store(&node, Contact::at(ago(5_000)));
        note_away(&node);
        heard_of_store(&node, Contact::at(ago(100)));
        let servers = node.servers.borrow();
        assert!(!servers.is_store_away());
        assert!(servers.may_lack_entries(clock::now()), "entries may have lapsed");
    });
}
