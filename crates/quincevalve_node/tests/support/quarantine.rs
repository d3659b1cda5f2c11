//! Worlds of several VMs whose servers exit under certain requests.

use std::time::Duration;

use tokio::time::sleep;

use super::{FakeStore, Vm, World, metric};

/// Interval between two checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which callers retry an interrupted answer.
pub const RETRY_PAUSE: Duration = Duration::from_millis(350);
/// Prefix of the store's keys of what is quarantined.
pub const QUARANTINE: &str = "quarantine/";

/// Starts two more VMs and waits until all three know each other.
pub async fn start_two_more_vms(world: &World) -> [Vm; 2] {
    let other_vms = [
        Vm::start("vm-2", world.store.for_another_vm()).await,
        Vm::start("vm-3", world.store.for_another_vm()).await,
    ];
    for metrics in [world.metrics, other_vms[0].metrics, other_vms[1].metrics] {
        while metric(metrics, "quincevalve_vms").await != Some(3) {
            sleep(POLL_INTERVAL).await;
        }
    }
    other_vms
}

/// Makes the next trial of what is quarantined due at once.
pub fn make_trial_due(store: &FakeStore) {
    let item = &store.items_with_prefix(QUARANTINE)[0];
    let mut value: serde_json::Value = serde_json::from_slice(&item.value).expect("an entry");
    value["until_ms"] = 0.into();
    store.put_item(&item.key, value.to_string().into_bytes());
}

pub fn is_withheld(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 503")
        && answer.contains("quarantined")
        && answer.contains("retry-after: ")
}
