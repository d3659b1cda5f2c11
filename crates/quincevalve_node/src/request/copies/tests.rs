//! Guards against engines that look full of copies of runs that have ended.

use std::rc::Rc;

use quincevalve_forwarding::servers::ServerEntry;

use super::*;
use crate::test_node::{any_address, node, run};

fn entry(start: u64) -> ServerEntry {
    ServerEntry {
        start: ServerStart(start),
        service: "engines".into(),
        address: any_address(),
        data_centre: "a".into(),
        version: "v1".into(),
        slots: 16,
        is_cold: false,
        draining: false,
        reclaimable: false,
        leaves_in: None,
    }
}

fn memory_at(node: &Node, server: &BackendServerName) -> u64 {
    let servers = node.servers.borrow();
    servers.get(server).map_or(0, |it| it.load.total_work(clock::now()).memory)
}

#[test]
fn memory_of_a_copy_counts_without_a_slot_until_it_is_dropped() {
    run(|| {
        let node = Rc::new(node("vm-1"));
        let server: BackendServerName = "engine-1".into();
        node.servers.borrow_mut().apply_entry(&server, entry(1), clock::now());
        let copy = CopyMemory::new(&node, server.clone(), ServerStart(1), 12_000);
        assert_eq!(memory_at(&node, &server), 12_000);
        let work = node.servers.borrow().own_work(clock::now());
        let reported: Vec<_> = work.values().map(|it| (it.requests, it.memory)).collect();
        assert_eq!(reported, [(0, 12_000)]);
        drop(copy);
        assert_eq!(memory_at(&node, &server), 0);
        assert!(node.servers.borrow().own_work(clock::now()).is_empty());
    });
}

#[test]
fn a_restarted_engine_holds_no_earlier_copies() {
    run(|| {
        let node = Rc::new(node("vm-1"));
        let server: BackendServerName = "engine-1".into();
        node.servers.borrow_mut().apply_entry(&server, entry(1), clock::now());
        let earlier = CopyMemory::new(&node, server.clone(), ServerStart(1), 12_000);
        node.servers.borrow_mut().apply_entry(&server, entry(2), clock::now());
        assert_eq!(memory_at(&node, &server), 0);
        let later = CopyMemory::new(&node, server.clone(), ServerStart(2), 500);
        drop(earlier);
        assert_eq!(memory_at(&node, &server), 500);
        drop(later);
        assert_eq!(memory_at(&node, &server), 0);
    });
}
