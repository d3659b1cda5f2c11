//! VMs that start in a data centre with many other VMs.

mod support;

use std::time::Duration;

use support::{Arrival, FakeStore, Reply, Vm, World, exchange, request, run, sealed};
use tokio::time::sleep;

/// Minimum number of VMs in a data centre for starting VMs to copy the state from other VMs.
const MIN_VMS_FOR_STATE_COPY: usize = 12;

/// Maximum number of VMs of a data centre that read the store for those that start.
const MAX_READERS: usize = 3;
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn serves(vm: &Vm, id: &str) -> bool {
    let answer = exchange(vm.front, &request("/once/7", id, "")).await;
    answer.starts_with("HTTP/1.1 200")
}

async fn start(world: &World, name: &str) -> (Vm, FakeStore) {
    let store = world.store.for_another_vm();
    (Vm::start(name, store.clone()).await, store)
}

// When all VMs were killed and start together, the store's link would carry the whole list once for each of them, and
// all callers would be rejected for most of a second. VMs that start where many are known read only the entries of
// their data centre and copy the state from other VMs.
#[test]
fn a_vm_among_many_starts_without_reading_the_whole_store() {
    run(async {
        let script = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let world = World::start(2, script).await;
        let mut other_vms = Vec::new();
        for at in 2..=MIN_VMS_FOR_STATE_COPY {
            other_vms.push(start(&world, &format!("vm-{at}")).await);
        }
        let read = other_vms.iter().map(|(_, store)| store.snapshot_reads()).sum::<usize>();
        assert_eq!(read, MIN_VMS_FOR_STATE_COPY - 1, "few are known yet");
        for at in 0..3 {
            let (vm, store) = start(&world, &format!("late-{at}")).await;
            assert!(serves(&vm, &format!("id-{at}")).await);
            assert_eq!(store.snapshot_reads(), 0);
            other_vms.push((vm, store));
        }
    });
}

// The strongest VMs, which are the first sources, are gone while their entries remain. The VM copies the state from
// another.
#[test]
fn copies_the_state_from_another_vm_when_the_strongest_are_gone() {
    run(async {
        let script = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let world = World::start(2, script).await;
        world.store.list_dead_vms(MIN_VMS_FOR_STATE_COPY as u16);
        let (vm, store) = start(&world, "vm-2").await;
        assert!(serves(&vm, "id-1").await);
        assert_eq!(store.snapshot_reads(), 0);
    });
}

// All sources are gone while their entries remain. The VM reads the store itself instead of waiting for them.
#[test]
fn reads_the_store_when_all_sources_are_gone() {
    run(async {
        let script = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let world = World::start(2, script).await;
        world.store.list_dead_vms(MIN_VMS_FOR_STATE_COPY as u16);
        world.store.remove_vm("vm-1");
        let (vm, store) = start(&world, "vm-2").await;
        assert!(serves(&vm, "id-1").await);
        assert_eq!(store.snapshot_reads(), 1);
    });
}

// Hundreds of VMs start for the first time. Each would poll the store until it holds a configuration and the entries of
// the other VMs.
#[test]
fn a_first_start_of_many_vms_reads_the_store_a_few_times() {
    run(async {
        let script = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let world = World::start(2, script).await;
        let stores: Vec<_> =
            (0..=MIN_VMS_FOR_STATE_COPY).map(|_| world.store.for_another_vm()).collect();
        let mut vms = Vec::new();
        for (at, store) in stores.iter().enumerate() {
            vms.push(Vm::spawn_first_start(&format!("first-{at}"), store.clone()).await);
        }
        for (at, vm) in vms.iter().enumerate() {
            while !serves(vm, &format!("id-{at}")).await {
                sleep(POLL_INTERVAL).await;
            }
        }
        let read: usize = stores.iter().map(FakeStore::snapshot_reads).sum();
        assert!(read <= MAX_READERS, "{read} of {}", stores.len());
    });
}
