//! Two VMs that serve an account near its limit: one of them decides for both.

mod support;

use std::time::Duration;

use support::{Arrival, Reply, Vm, World, exchange, request, run, sealed, sealed_with};
use tokio::time::sleep;

const BY_OWNER: &str = "quincevalve_quota_decisions_total{by=\"owner\"}";
/// Pause between two requests, in which digests arrive.
const PAUSE: Duration = Duration::from_millis(5);

/// Sends a request of the account that has a quota and returns the status of the answer.
async fn send(vm: &Vm, id: &str) -> String {
    let text = request("/once/7", id, "").replace("key-1", "key-limited");
    let answer = exchange(vm.front, &text).await;
    answer.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Sends `count` requests to each VM in turn and returns the statuses of the answers.
async fn send_to_all(vms: &[Vm], count: usize) -> Vec<String> {
    let mut statuses = Vec::new();
    for at in 0..count {
        for (of, vm) in vms.iter().enumerate() {
            statuses.push(send(vm, &format!("id-{of}-{at}")).await);
        }
        sleep(PAUSE).await;
    }
    statuses
}

/// Starts two more VMs beside the world's own and waits until they know each other.
async fn start_two(world: &World) -> Vec<Vm> {
    let mut vms = Vec::new();
    for name in ["vm-2", "vm-3"] {
        vms.push(Vm::start(name, world.store.for_another_vm()).await);
    }
    for vm in &vms {
        while vm.metric("quincevalve_vms").await != Some(3) {
            sleep(PAUSE).await;
        }
    }
    vms
}

// Guards against VMs that go on deciding alone when an account reaches its limit.
#[test]
fn one_vm_decides_for_all_when_an_account_reaches_its_limit() {
    run(async {
        let script = |_, it: &Arrival| Reply::Send(sealed(it, "200 OK", "done"));
        let world = World::start(2, script).await;
        let vms = start_two(&world).await;
        let statuses = send_to_all(&vms, 100).await;
        assert!(statuses.iter().all(|it| ["200", "429"].contains(&it.as_str())), "{statuses:?}");
        assert!(statuses.iter().any(|it| it == "429"));
        for vm in &vms {
            assert!(vm.metric(BY_OWNER).await > Some(0));
        }
    });
}

/// Number of requests that servers run in the test of refunds: they use up most of the quota.
const RUN: usize = 10;
/// Time in which the bucket is refilled enough for a few requests while the account still counts as contended.
const REFILL: Duration = Duration::from_millis(700);

// Guards against charging requests that were granted by the owner and then refused unrun: the account would be refused
// for requests that no server has run.
#[test]
fn requests_that_did_not_run_do_not_use_the_quota() {
    run(async {
        let script = |before, it: &Arrival| {
            if before < RUN {
                return Reply::Send(sealed(it, "200 OK", "done"));
            }
            Reply::Send(sealed_with(it, "503 Service Unavailable", "x-not-run: 1\r\n", "no"))
        };
        let world = World::start(2, script).await;
        let vms = start_two(&world).await;
        let mut run = 0;
        for at in 0_usize.. {
            let status = send(&vms[at % 2], &format!("run-{at}")).await;
            run += usize::from(status == "200");
            if run == RUN {
                break;
            }
            sleep(PAUSE).await;
        }
        sleep(REFILL).await;
        let before = vms[0].metric(BY_OWNER).await;
        let statuses = send_to_all(&vms, 30).await;
        assert!(statuses.iter().all(|it| it == "503"), "{statuses:?}");
        assert!(vms[0].metric(BY_OWNER).await > before);
    });
}
