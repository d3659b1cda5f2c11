//! Guards against engines that look full of copies of runs that have ended, and against copies that can't be used because
//! looking at them took a share of their engine's rate limit.

use std::{rc::Rc, time::Duration};

use quincevalve_forwarding::{
    load::WorkSum,
    server_signals::{RequestRate, ServerSignals},
    servers::ServerEntry,
};

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

fn source() -> Placement {
    Placement {
        server: "engine-0".into(),
        start: ServerStart(1),
        version: "v1".into(),
        work: Work { prefill: 900, memory: 1_200, output: 200, urgency: 1 },
        affinity: None,
        predicted: Duration::from_millis(50),
        baseline: None,
        known_load: WorkSum::default(),
        peer_report_age: Duration::ZERO,
        unlisted_for: None,
    }
}

#[test]
fn the_place_of_a_copy_takes_no_share_of_a_rate_limit() {
    run(|| {
        let node = Rc::new(node("vm-1"));
        let server: BackendServerName = "engine-1".into();
        let now = clock::now();
        node.servers.borrow_mut().apply_entry(&server, entry(1), now);
        let signals = ServerSignals { limit: RequestRate::new(4.0), ..ServerSignals::default() };
        node.servers.borrow_mut().apply_signals(&server, ServerStart(1), &signals, now);
        let copy = RunCopy {
            memory: CopyMemory::new(&node, server.clone(), ServerStart(1), 1_200),
            address: HeaderValue::from_static("127.0.0.1:1"),
            ticket: HeaderValue::from_static("127.0.0.1:1/id-1"),
        };
        for _ in 0..50 {
            let place = copy.placement(&node, &source()).expect("a usable engine");
            assert!(copy.is_at(&place));
            assert_eq!(place.work, Work { prefill: 0, ..source().work });
        }
        assert!(copy.spend_allowance(&node));
        let spent = (0..50).filter(|_| copy.spend_allowance(&node)).count();
        assert!(spent < 50, "the engine has no limit");
    });
}

#[test]
fn a_leaving_engine_is_no_place_to_continue() {
    run(|| {
        let node = Rc::new(node("vm-1"));
        let server: BackendServerName = "engine-1".into();
        node.servers.borrow_mut().apply_entry(&server, entry(1), clock::now());
        let copy = RunCopy {
            memory: CopyMemory::new(&node, server.clone(), ServerStart(1), 1_200),
            address: HeaderValue::from_static("127.0.0.1:1"),
            ticket: HeaderValue::from_static("127.0.0.1:1/id-1"),
        };
        assert!(copy.placement(&node, &source()).is_some());
        let leaving = ServerEntry { draining: true, ..entry(1) };
        node.servers.borrow_mut().apply_entry(&server, leaving, clock::now());
        assert_eq!(copy.placement(&node, &source()), None);
    });
}
