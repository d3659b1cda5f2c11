//! The plain service stand-in over HTTP.

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

/// The request header by which a checker tells its requests apart.
const MARK_HEADER: &str = "trial-mark";

/// What the service itself saw, for checkers.
#[derive(Clone, Debug, Default)]
pub struct ServiceLedger {
    /// Executions by mark.
    pub executions: FxHashMap<String, u32>,
}

/// The stand-in; clones share one service.
#[derive(Clone)]
pub struct PlainService {
    ledger: Arc<Mutex<ServiceLedger>>,
    leaving: Arc<std::sync::atomic::AtomicBool>,
    work: Duration,
}

impl PlainService {
    /// Makes a service that works for `work` on each call.
    pub fn new(work: Duration) -> Self {
        Self { ledger: Arc::default(), leaving: Arc::default(), work }
    }

    /// Makes it refuse new calls, and say so.
    pub fn leave(&self) {
        self.leaving.store(true, std::sync::atomic::Ordering::Relaxed);
    }

    /// What the service saw so far.
    pub fn ledger(&self) -> ServiceLedger {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, ServiceLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers on `listener` until the runtime ends.
    pub async fn serve(self, listener: TcpListener) {
        serve(listener, move |req| {
            let service = self.clone();
            async move { service.answer(req).await.unwrap_or_else(|it| it) }
        })
        .await;
    }

    async fn answer(&self, req: Request<Incoming>) -> Result<Answer, Answer> {
        if req.uri().path() == "/v1/load" {
            return Ok(plain(StatusCode::OK, "null"));
        }
        if self.leaving.load(std::sync::atomic::Ordering::Relaxed) {
            return Err(refuse_leaving());
        }
        let mark = req.headers().get(MARK_HEADER).and_then(|it| it.to_str().ok());
        if let Some(mark) = mark {
            *self.lock().executions.entry(mark.to_owned()).or_default() += 1;
        }
        let path = req.uri().path().to_owned();
        let body = read(req.into_body()).await?;
        tokio::time::sleep(self.work).await;
        Ok(plain(StatusCode::OK, answers::service_answer(&path, &body)))
    }
}

fn refuse_leaving() -> Answer {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "leaving");
    let headers = response.headers_mut();
    headers.insert(STATE_HEADER, http::HeaderValue::from_static(STATE_LEAVING));
    headers.insert(RAN_HEADER, http::HeaderValue::from_static("no"));
    response
}
