//! HTTP server that simulates the platform: key-value service, cloud API and VM list.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use quincevalve_names::TimePoint;
use quincevalve_ports::{
    cloud::{ListedVm, Notice, Purchase, PurchaseOrder, VmState},
    store::KeyVersion,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use tokio::{net::TcpListener, sync::Notify, time::Instant};

use crate::{
    http_server::{Answer, json, plain, query, query_number, read, read_json, serve},
    store_model::StoreModel,
};

/// Delay until a change is visible in the VM list.
const VM_LIST_DELAY: Duration = Duration::from_millis(1_500);

/// Switches for injecting faults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlatformFaults {
    /// The key-value service does not respond.
    pub store_outage: bool,
    /// Additional delay of every call to the key-value service.
    pub store_delay: Duration,
    /// Fraction of writes that are processed but whose response is lost.
    pub lost_write_response_rate: f64,
    /// Purchases of VMs are rejected.
    pub reject_purchases: bool,
}

struct State {
    store: StoreModel,
    /// By VM name: the time at which the last change becomes visible, the VM after and before it.
    vms: IndexMap<String, (Instant, ListedVm, Option<ListedVm>)>,
    /// Notices with the time at which their VMs are reclaimed.
    notices: Vec<(Instant, Notice)>,
    /// Purchases by idempotency token.
    purchases: IndexMap<String, Purchase>,
    faults: PlatformFaults,
    rng: Pcg64Mcg,
}

/// A simulated platform; clones share its state.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    origin: Instant,
}

#[derive(Serialize)]
struct ConflictBody {
    current: KeyVersion,
}

impl Platform {
    /// Creates a platform; [`Platform::serve`] runs it.
    pub fn new(seed: u64) -> Self {
        let state = State {
            store: StoreModel::default(),
            vms: IndexMap::new(),
            notices: Vec::new(),
            purchases: IndexMap::new(),
            faults: PlatformFaults::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(Notify::new()),
            origin: Instant::now(),
        }
    }

    /// Changes the injected faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.lock().faults);
    }

    /// Returns the number of reads and writes that the key-value service received.
    pub fn store_calls(&self) -> (u64, u64) {
        let state = self.lock();
        (state.store.reads, state.store.writes)
    }

    /// Adds a VM to the list or changes its entry; the change becomes visible after a delay.
    pub fn list_vm(&self, vm: ListedVm) {
        let mut state = self.lock();
        let before = state.vms.get(&vm.name).map(|it| it.1.clone());
        state.vms.insert(vm.name.clone(), (Instant::now() + VM_LIST_DELAY, vm, before));
    }

    /// Adds a VM to the list without a delay, for VMs that exist from the start.
    pub fn list_vm_now(&self, vm: ListedVm) {
        self.lock().vms.insert(vm.name.clone(), (Instant::now(), vm, None));
    }

    /// Announces that VMs will be reclaimed after `left`.
    pub fn announce_reclaim(&self, vms: Vec<String>, left: Duration) {
        {
            let mut state = self.lock();
            let number = state.notices.len() as u64 + 1;
            let notice = Notice { number, vms: vms.clone(), left_ms: 0 };
            state.notices.push((Instant::now() + left, notice));
        }
        for name in vms {
            let vm = self.lock().vms.get(&name).map(|it| it.1.clone());
            if let Some(vm) = vm {
                self.list_vm(ListedVm { state: VmState::Leaving, ..vm });
            }
        }
        self.changed.notify_waiters();
    }

    /// Serves requests on `listener` until the runtime shuts down.
    pub async fn serve(self, listener: TcpListener) {
        serve(listener, move |req| {
            let platform = self.clone();
            async move { platform.handle(req).await.unwrap_or_else(|it| it) }
        })
        .await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, req: Request<Incoming>) -> Result<Answer, Answer> {
        let path = req.uri().path().to_owned();
        match (req.method().clone(), path.as_str()) {
            (Method::GET, "/v1/vms") => Ok(json(&self.list())),
            (Method::POST, "/v1/vms") => self.purchase(read_json(req.into_body()).await?),
            (Method::GET, "/v1/notices") => Ok(json(&self.wait_for_notices(req.uri()).await)),
            _ => self.handle_store(req, &path).await,
        }
    }

    fn list(&self) -> Vec<ListedVm> {
        let now = Instant::now();
        let state = self.lock();
        let rows = state.vms.values();
        rows.filter_map(
            |(at, vm, before)| if *at <= now { Some(vm.clone()) } else { before.clone() },
        )
        .collect()
    }

    fn purchase(&self, order: PurchaseOrder) -> Result<Answer, Answer> {
        let mut state = self.lock();
        if let Some(existing) = state.purchases.get(&order.token) {
            return Ok(json(existing));
        }
        if state.faults.reject_purchases {
            return Err(plain(StatusCode::INSUFFICIENT_STORAGE, "none of that class there now"));
        }
        let vm = format!("{}-{}-{}", order.data_centre, order.vm_class, state.purchases.len());
        let purchase = Purchase { vm };
        state.purchases.insert(order.token, purchase.clone());
        Ok(json(&purchase))
    }

    /// Waits until there are notices with a higher number than `after`, or until the requested time is over.
    async fn wait_for_notices(&self, uri: &http::Uri) -> Vec<Notice> {
        let after = query_number(uri, "after");
        let deadline = Instant::now() + Duration::from_millis(query_number(uri, "wait_ms"));
        loop {
            let notified = self.changed.notified();
            let found = self.notices_after(after);
            if !found.is_empty() {
                return found;
            }
            if tokio::time::timeout_at(deadline, notified).await.is_err() {
                return Vec::new();
            }
        }
    }

    fn notices_after(&self, after: u64) -> Vec<Notice> {
        let now = Instant::now();
        let state = self.lock();
        let newer = state.notices.iter().filter(|it| it.1.number > after);
        newer
            .map(|(at, notice)| {
                let left_ms = at.saturating_duration_since(now).as_millis() as u64;
                Notice { left_ms, ..notice.clone() }
            })
            .collect()
    }

    async fn handle_store(&self, req: Request<Incoming>, path: &str) -> Result<Answer, Answer> {
        let faults = self.lock().faults;
        tokio::time::sleep(faults.store_delay).await;
        if faults.store_outage {
            // During an outage calls get no response, so that callers run into their timeouts.
            return std::future::pending().await;
        }
        let uri = req.uri().clone();
        let key = |prefix: &str| path.strip_prefix(prefix).map(str::to_owned);
        let missing = || plain(StatusCode::NOT_FOUND, "no such key");
        if let Some(name) = key("/v1/lease/") {
            return Ok(self.lease(&uri, &name));
        }
        if let Some(key) = key("/v1/watch/") {
            return self.watch(&uri, &key).await;
        }
        let key = key("/v1/kv/").ok_or_else(missing)?;
        let expected = KeyVersion(query_number(&uri, "if"));
        match *req.method() {
            Method::GET => self.lock().store.get(&key).map(|it| json(&it)).ok_or_else(missing),
            Method::PUT => {
                let body = read(req.into_body()).await?;
                let value = String::from_utf8_lossy(&body);
                let result = self.lock().store.swap(&key, expected, &value);
                self.respond_to_write(result).await
            }
            Method::DELETE => {
                let result = self.lock().store.delete(&key, expected);
                self.respond_to_write(result).await
            }
            _ => Err(plain(StatusCode::METHOD_NOT_ALLOWED, "method")),
        }
    }

    /// Responds to a write, or drops the response if the fault is injected.
    async fn respond_to_write<T>(&self, result: Result<T, KeyVersion>) -> Result<Answer, Answer>
    where
        T: Serialize,
    {
        self.changed.notify_waiters();
        let drop_response = {
            let mut state = self.lock();
            let probability = state.faults.lost_write_response_rate;
            probability > 0.0 && state.rng.random_bool(probability)
        };
        if drop_response {
            return std::future::pending().await;
        }
        match result {
            Ok(value) => Ok(json(&value)),
            Err(current) => {
                let mut answer = json(&ConflictBody { current });
                *answer.status_mut() = StatusCode::CONFLICT;
                Err(answer)
            }
        }
    }

    fn lease(&self, uri: &http::Uri, name: &str) -> Answer {
        let holder = query(uri, "holder").unwrap_or_default();
        let ttl = Duration::from_millis(query_number(uri, "ttl_ms"));
        let now = TimePoint(self.origin.elapsed().as_micros() as u64);
        json(&self.lock().store.lease(now, name, holder, ttl))
    }

    async fn watch(&self, uri: &http::Uri, key: &str) -> Result<Answer, Answer> {
        let after = KeyVersion(query_number(uri, "after"));
        let deadline = Instant::now() + Duration::from_millis(query_number(uri, "wait_ms"));
        self.lock().store.reads += 1;
        loop {
            let notified = self.changed.notified();
            let current = self.lock().store.peek(key);
            let is_newer = current.as_ref().is_some_and(|it| it.version > after);
            if is_newer || tokio::time::timeout_at(deadline, notified).await.is_err() {
                let current = self.lock().store.peek(key);
                return current
                    .map(|it| json(&it))
                    .ok_or_else(|| plain(StatusCode::NOT_FOUND, "no such key"));
            }
        }
    }
}
