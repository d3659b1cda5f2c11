//! Which VMs are being taken back, and when they go.

use std::{collections::HashMap, sync::Arc};

use quincevalve_names::TimePoint;
use tokio::sync::watch;

/// Announced departures by VM name; clones share one state.
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
    /// Notes that VMs go at a time. The earliest time stands.
    pub(crate) fn announce(&self, vms: &[String], gone_at: TimePoint) {
        self.sender.send_modify(|table| {
            let table = Arc::make_mut(table);
            for vm in vms {
                let at = table.entry(vm.clone()).or_insert(gone_at);
                *at = gone_at.min(*at);
            }
        });
    }

    /// When a VM goes, if that was announced.
    pub(crate) fn gone_at(&self, vm: &str) -> Option<TimePoint> {
        self.sender.borrow().get(vm).copied()
    }

    /// Waits until a VM's departure is announced.
    pub(crate) async fn announced(&self, vm: &str) -> TimePoint {
        let mut receiver = self.sender.subscribe();
        loop {
            if let Some(at) = receiver.borrow_and_update().get(vm).copied() {
                return at;
            }
            if receiver.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}
