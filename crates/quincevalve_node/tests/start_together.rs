//! VMs that start where many others are.

mod support;

use std::time::Duration;

use support::{Arrival, FakeStore, Reply, Vm, World, exchange, request, run, sealed};
use tokio::time::sleep;

/// From so many VMs in a data centre on, those that start ask others.
const MANY: usize = 12;

/// VMs of a data centre that read the store for those that start.
const READERS: usize = 3;
/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

async fn serves(vm: &Vm, id: &str) -> bool {
    let answer = exchange(vm.front, &request("/once/7", id, "")).await;
    answer.starts_with("HTTP/1.1 200")
}

async fn start(world: &World, name: &str) -> (Vm, FakeStore) {
    let store = world.store.for_another_vm();
    (Vm::start(name, store.clone()).await, store)
}

// All callers are refused for most of a second: all VMs were killed, start together, and the store's link carries the whole
// list once for each of them. Those that start where many are known read nothing but the names of their data centre, and
// serve by what the others know.
#[test]
fn a_vm_among_many_starts_without_reading_the_whole_store() {
    run(async {
        let script = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let world = World::start(2, script).await;
        let mut others = Vec::new();
        for at in 2..=MANY {
            others.push(start(&world, &format!("vm-{at}")).await);
        }
        let read = others.iter().map(|(_, store)| store.snapshot_reads()).sum::<usize>();
        assert_eq!(read, MANY - 1, "few are known yet");
        for at in 0..3 {
            let (vm, store) = start(&world, &format!("late-{at}")).await;
            assert!(serves(&vm, &format!("id-{at}")).await);
            assert_eq!(store.snapshot_reads(), 0);
            others.push((vm, store));
        }
    });
}

// The same where the strongest VMs, which would be asked, are gone and their entries still stand: the VM gets it from another.
#[test]
fn a_vm_whose_elders_are_gone_asks_another() {
    run(async {
        let script = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let world = World::start(2, script).await;
        world.store.list_dead_vms(MANY as u16);
        let (vm, store) = start(&world, "vm-2").await;
        assert!(serves(&vm, "id-1").await);
        assert_eq!(store.snapshot_reads(), 0);
    });
}

// The same where all are gone: the VM reads the store itself rather than wait for them.
#[test]
fn a_vm_whose_elders_are_gone_reads_the_store_itself() {
    run(async {
        let script = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let world = World::start(2, script).await;
        world.store.list_dead_vms(MANY as u16);
        world.store.remove_vm("vm-1");
        let (vm, store) = start(&world, "vm-2").await;
        assert!(serves(&vm, "id-1").await);
        assert_eq!(store.snapshot_reads(), 1);
    });
}

// Hundreds of VMs start for the first time, and each asks the store until it holds a configuration and the others' entries.
#[test]
fn a_first_start_of_many_reads_the_store_a_few_times() {
    run(async {
        let script = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let world = World::start(2, script).await;
        let stores: Vec<_> = (0..=MANY).map(|_| world.store.for_another_vm()).collect();
        let mut vms = Vec::new();
        for (at, store) in stores.iter().enumerate() {
            vms.push(Vm::spawn_first_start(&format!("first-{at}"), store.clone()).await);
        }
        for (at, vm) in vms.iter().enumerate() {
            while !serves(vm, &format!("id-{at}")).await {
                sleep(LOOK).await;
            }
        }
        let read: usize = stores.iter().map(FakeStore::snapshot_reads).sum();
        assert!(read <= READERS, "{read} of {}", stores.len());
    });
}
