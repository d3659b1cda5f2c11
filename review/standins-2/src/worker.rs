//! What all workers have in common: their entry in the store, and the checks of a request's head.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::json;

use crate::{
    http::{Head, respond},
    store::Store,
    unix_ms,
};

/// Interval between two writes of an entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// One start of a worker.
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    store: Store,
    born: u64,
    sequence: AtomicU64,
    leaves_ms: AtomicU64,
    is_draining: AtomicBool,
    has_left: AtomicBool,
}

impl Worker {
    /// Registers a worker that already listens at `address`.
    pub fn register(
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        address: SocketAddr,
        store: &Store,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots,
            store: store.clone(),
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            leaves_ms: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            has_left: AtomicBool::new(false),
        });
        worker.write_entry();
        let this = worker.clone();
        thread::spawn(move || {
            while !this.has_left.load(Ordering::SeqCst) {
                thread::sleep(HEARTBEAT);
                this.write_entry();
            }
        });
        worker
    }

    /// Writes the entry as a heartbeat does.
    pub fn write_entry(&self) {
        if self.has_left.load(Ordering::SeqCst) {
            return;
        }
        let is_draining = self.is_draining.load(Ordering::SeqCst);
        let mut entry = json!({
            "Service": self.service, "Address": self.address.to_string(), "Zone": self.zone,
            "Version": "v1", "Slots": self.slots, "State": if is_draining { "draining" } else { "ready" },
            "ColdRemainingMs": 0, "Sequence": self.sequence.fetch_add(1, Ordering::SeqCst),
            "born": self.born, "SpotEnabled": true
        });
        if is_draining {
            entry["leaves_ms"] = json!(self.leaves_ms.load(Ordering::SeqCst));
        }
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Announces that the worker leaves after `time`.
    pub fn announce_leaving(&self, time: Duration) {
        self.leaves_ms.store(time.as_millis() as u64, Ordering::SeqCst);
        self.is_draining.store(true, Ordering::SeqCst);
        self.write_entry();
    }

    /// Removes the entry.
    pub fn leave(&self) {
        self.has_left.store(true, Ordering::SeqCst);
        self.store.remove(&format!("servers/{}", self.id));
    }

    /// Answers health checks and requests for another worker; returns `false` if the request is to be run.
    pub fn answer_head(&self, head: &Head, stream: &mut TcpStream) -> io::Result<bool> {
        if head.path() == "/healthz" {
            respond(stream, 200, &[("X-Quincevalve-Worker-Id", &self.id)], b"")?;
            return Ok(true);
        }
        let attempt = head.get("x-quincevalve-attempt-id").unwrap_or_default();
        if head.get("x-quincevalve-expect-worker").is_some_and(|it| it != self.id) {
            let headers = [
                ("X-Quincevalve-Worker-Id", self.id.as_str()),
                ("X-Quincevalve-Attempt-Id", attempt),
            ];
            respond(stream, 421, &headers, b"")?;
            return Ok(true);
        }
        Ok(false)
    }
}

/// Returns a signature of an answer.
pub fn seal(id: &str, worker: &str) -> String {
    format!("{id}.{worker}")
}
