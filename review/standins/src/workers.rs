//! Workers: they register in the store, answer requests that are meant for them, and say what they ran.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::json;

use crate::{
    http::{Request, serve, write_answer},
    platform::Platform,
    record::Record,
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A worker's description of itself.
#[derive(Clone, Debug)]
pub struct Worker {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    pub address: SocketAddr,
}

impl Worker {
    /// Starts a worker. `run` processes one request and writes the answer.
    pub fn start<F>(self, platform: &Platform, record: &Record, run: F) -> io::Result<RunningWorker>
    where
        F: Fn(&Worker, &Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(self.address)?;
        let (worker, record) = (self.clone(), record.clone());
        serve(listener, move |req, stream, from| {
            let expected = req.head.get("x-quincevalve-expect-worker");
            if expected.is_some_and(|it| it != worker.id) {
                let headers = [("X-Quincevalve-Worker-Id", worker.id.as_str())];
                return write_answer(stream, 421, &headers, b"");
            }
            let Some(attempt) = req.head.get("x-quincevalve-attempt-id") else {
                return write_answer(stream, 400, &[("X-Quincevalve-Not-Executed", "1")], b"");
            };
            record.line(format!(
                "worker {}: runs {attempt} ({} {}, {} bytes) from {}",
                worker.id,
                req.method,
                req.target,
                req.body.len(),
                from.ip()
            ));
            let result = run(&worker, req, stream);
            record.line(format!(
                "worker {}: {attempt} {}",
                worker.id,
                if result.is_ok() { "ended, its answer is sent" } else { "broke off" }
            ));
            result
        });
        let running =
            RunningWorker { worker: self, platform: platform.clone(), is_draining: Arc::default() };
        let it = running.clone();
        thread::spawn(move || {
            for sequence in 1_u64.. {
                it.register(sequence);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(running)
    }

    /// Returns the headers of an answer to a request.
    pub fn answer_headers(&self, req: &Request) -> String {
        let attempt = req.head.get("x-quincevalve-attempt-id").unwrap_or_default();
        format!(
            "X-Quincevalve-Attempt-Id: {attempt}\r\nX-Quincevalve-Worker-Id: {}\r\n\
             X-Quincevalve-Response-Seal: seal-{attempt}\r\n",
            self.id
        )
    }

    /// Answers with a body that has a length.
    pub fn answer(&self, req: &Request, stream: &mut TcpStream, body: &[u8]) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{}\r\n",
            body.len(),
            self.answer_headers(req)
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body)
    }

    /// Answers with a stream of events.
    pub fn stream(
        &self,
        req: &Request,
        stream: &mut TcpStream,
        events: impl Iterator<Item = String>,
        pause: Duration,
    ) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Quincevalve-Weight-Versions: 1\r\n{}\r\n",
            self.answer_headers(req)
        );
        stream.write_all(head.as_bytes())?;
        for event in events {
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(pause);
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// A worker that serves and keeps its entry in the store.
#[derive(Clone)]
pub struct RunningWorker {
    pub worker: Worker,
    platform: Platform,
    is_draining: Arc<AtomicBool>,
}

impl RunningWorker {
    fn register(&self, sequence: u64) {
        let Worker { id, service, zone, slots, address } = &self.worker;
        let draining = self.is_draining.load(Ordering::Relaxed);
        let mut entry = json!({
            "Service": service, "Address": address.to_string(), "Zone": zone, "Version": "1",
            "Slots": slots, "State": if draining { "draining" } else { "ready" },
            "ColdRemainingMs": 0, "Sequence": sequence
        });
        if draining {
            entry["leaves_ms"] = json!(2_000);
        }
        self.platform.put(&format!("servers/{id}"), &entry);
    }

    /// Reports that the worker leaves.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.register(1_000_000);
    }
}
