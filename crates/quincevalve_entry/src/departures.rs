//! Announced reclaims of VMs and the times at which the VMs disappear.

use std::{collections::HashMap, sync::Arc};

use quincevalve_names::TimePoint;
use tokio::sync::watch;

/// Announced departure times by VM name. Clones share one state.
#[derive(Clone, Debug)]
pub(crate) struct Departures {
    sender: watch::Sender<Arc<HashMap<String, TimePoint>>>,
}

impl Default for Departures {
    fn default() -> Self {
        Self { sender: watch::Sender::new(Arc::default()) }
    }
}

impl Departures {
    /// Records that VMs disappear at `gone_at`. The earliest announced time of a VM is kept.
    pub(crate) fn announce(&self, vms: &[String], gone_at: TimePoint) {
        self.sender.send_modify(|table| {
            let table = Arc::make_mut(table);
            for vm in vms {
                let departure = table.entry(vm.clone()).or_insert(gone_at);
                *departure = gone_at.min(*departure);
            }
        });
    }

    /// Returns the time at which a VM disappears, if announced.
    pub(crate) fn gone_at(&self, vm: &str) -> Option<TimePoint> {
        self.sender.borrow().get(vm).copied()
    }

    /// Waits until a VM's departure is announced and returns its time.
    pub(crate) async fn announced(&self, vm: &str) -> TimePoint {
        let mut updates = self.sender.subscribe();
        loop {
            if let Some(departure) = updates.borrow_and_update().get(vm).copied() {
                return departure;
            }
            if updates.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}
