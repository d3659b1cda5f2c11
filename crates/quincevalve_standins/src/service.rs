//! HTTP server that simulates a plain service.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Request, StatusCode};
use hyper::body::Incoming;
use quincevalve_ports::engine::{RAN_HEADER, STATE_HEADER, STATE_LEAVING};
use rustc_hash::FxHashMap;
use tokio::net::TcpListener;

use crate::{
    answers,
    http_server::{Answer, plain, read, serve},
};

/// Request header that identifies the calls of a test.
const MARK_HEADER: &str = "trial-mark";

/// Counts of what the service executed, for tests to check.
#[derive(Clone, Debug, Default)]
pub struct ServiceCounters {
    /// Number of executions by the value of the `trial-mark` header.
    pub executions: FxHashMap<String, u32>,
}

/// A simulated plain service; clones share its state.
#[derive(Clone)]
pub struct PlainService {
    counters: Arc<Mutex<ServiceCounters>>,
    leaving: Arc<std::sync::atomic::AtomicBool>,
    processing_time: Duration,
}

impl PlainService {
    /// Creates a service whose calls take `processing_time` each.
    pub fn new(processing_time: Duration) -> Self {
        Self { counters: Arc::default(), leaving: Arc::default(), processing_time }
    }

    /// Rejects all further calls and signals that the service is leaving.
    pub fn start_leaving(&self) {
        self.leaving.store(true, std::sync::atomic::Ordering::Relaxed);
    }

    /// Returns the counts since the service was created.
    pub fn counters(&self) -> ServiceCounters {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, ServiceCounters> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves requests on `listener` until the runtime shuts down.
    pub async fn serve(self, listener: TcpListener) {
        serve(listener, move |req| {
            let service = self.clone();
            async move { service.handle(req).await.unwrap_or_else(|it| it) }
        })
        .await;
    }

    async fn handle(&self, req: Request<Incoming>) -> Result<Answer, Answer> {
        if req.uri().path() == "/v1/load" {
            return Ok(plain(StatusCode::OK, "null"));
        }
        if self.leaving.load(std::sync::atomic::Ordering::Relaxed) {
            return Err(reject_leaving());
        }
        let mark = req.headers().get(MARK_HEADER).and_then(|it| it.to_str().ok());
        if let Some(mark) = mark {
            *self.lock().executions.entry(mark.to_owned()).or_default() += 1;
        }
        let path = req.uri().path().to_owned();
        let body = read(req.into_body()).await?;
        tokio::time::sleep(self.processing_time).await;
        Ok(plain(StatusCode::OK, answers::service_answer(&path, &body)))
    }
}

fn reject_leaving() -> Answer {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "leaving");
    let headers = response.headers_mut();
    headers.insert(STATE_HEADER, http::HeaderValue::from_static(STATE_LEAVING));
    headers.insert(RAN_HEADER, http::HeaderValue::from_static("no"));
    response
}
