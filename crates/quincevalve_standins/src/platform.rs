//! The platform stand-in over HTTP: key-value service, cloud API, VM list.

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

/// How long a change takes to show in the VM list.
const LIST_LAG: Duration = Duration::from_millis(1_500);

/// The faults that can be switched on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlatformFaults {
    /// The key-value service answers nothing.
    pub store_outage: bool,
    /// Every call to the key-value service takes so much longer.
    pub store_delay: Duration,
    /// The share of writes that take effect though their answer is lost.
    pub store_ambiguous: f64,
    /// Requests for VMs are refused.
    pub cloud_refusal: bool,
}

struct State {
    store: StoreModel,
    vms: IndexMap<String, (Instant, ListedVm, Option<ListedVm>)>,
    notices: Vec<(Instant, Notice)>,
    purchases: IndexMap<String, Purchase>,
    faults: PlatformFaults,
    rng: Pcg64Mcg,
}

/// The stand-in; clones share one platform.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    origin: Instant,
}

#[derive(Serialize)]
struct ConflictAnswer {
    current: KeyVersion,
}

impl Platform {
    /// Makes a platform; [`Platform::serve`] runs it.
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

    /// Switches faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.lock().faults);
    }

    /// Calls to the key-value service so far: reads and writes.
    pub fn store_calls(&self) -> (u64, u64) {
        let state = self.lock();
        (state.store.reads, state.store.writes)
    }

    /// Puts a VM on the list, or changes its row; the list shows it later.
    pub fn list_vm(&self, vm: ListedVm) {
        let mut state = self.lock();
        let before = state.vms.get(&vm.name).map(|it| it.1.clone());
        state.vms.insert(vm.name.clone(), (Instant::now() + LIST_LAG, vm, before));
    }

    /// Puts a VM on the list at once, for those that exist from the start.
    pub fn list_vm_now(&self, vm: ListedVm) {
        self.lock().vms.insert(vm.name.clone(), (Instant::now(), vm, None));
    }

    /// Announces that VMs will be taken back.
    pub fn announce(&self, vms: Vec<String>, left: Duration) {
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

    /// Answers on `listener` until the runtime ends.
    pub async fn serve(self, listener: TcpListener) {
        serve(listener, move |req| {
            let platform = self.clone();
            async move { platform.answer(req).await.unwrap_or_else(|it| it) }
        })
        .await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, req: Request<Incoming>) -> Result<Answer, Answer> {
        let path = req.uri().path().to_owned();
        match (req.method().clone(), path.as_str()) {
            (Method::GET, "/v1/vms") => Ok(json(&self.list())),
            (Method::POST, "/v1/vms") => self.purchase(read_json(req.into_body()).await?),
            (Method::GET, "/v1/notices") => Ok(json(&self.notices(req.uri()).await)),
            _ => self.store_answer(req, &path).await,
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
        if let Some(known) = state.purchases.get(&order.token) {
            return Ok(json(known));
        }
        if state.faults.cloud_refusal {
            return Err(plain(StatusCode::INSUFFICIENT_STORAGE, "none of that class there now"));
        }
        let vm = format!("{}-{}-{}", order.data_centre, order.vm_class, state.purchases.len());
        let purchase = Purchase { vm };
        state.purchases.insert(order.token, purchase.clone());
        Ok(json(&purchase))
    }

    async fn notices(&self, uri: &http::Uri) -> Vec<Notice> {
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

    async fn store_answer(&self, req: Request<Incoming>, path: &str) -> Result<Answer, Answer> {
        let faults = self.lock().faults;
        tokio::time::sleep(faults.store_delay).await;
        if faults.store_outage {
            // An outage is silence: callers find it by their own limits.
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
                self.write_answer(result).await
            }
            Method::DELETE => {
                let result = self.lock().store.delete(&key, expected);
                self.write_answer(result).await
            }
            _ => Err(plain(StatusCode::METHOD_NOT_ALLOWED, "method")),
        }
    }

    /// Answers a write, or loses the answer.
    async fn write_answer<T>(&self, result: Result<T, KeyVersion>) -> Result<Answer, Answer>
    where
        T: Serialize,
    {
        self.changed.notify_waiters();
        let lose = {
            let mut state = self.lock();
            let share = state.faults.store_ambiguous;
            share > 0.0 && state.rng.random_bool(share)
        };
        if lose {
            return std::future::pending().await;
        }
        match result {
            Ok(value) => Ok(json(&value)),
            Err(current) => {
                let mut answer = json(&ConflictAnswer { current });
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
