//! The platform's store and cloud API: all calls of PROTOCOL.md that `quincevalve-node` makes.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD as BASE64};
use serde_json::{Value, json};

use crate::{
    http::{Request, serve, write_answer},
    record::Record,
};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

/// A call to the cloud API.
#[derive(Clone, Debug)]
pub struct CloudCall {
    pub at: Instant,
    /// The machine that sent it.
    pub from: IpAddr,
    pub holder: String,
    pub token: u64,
    pub path: String,
    pub body: Value,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Value>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    cloud_calls: Vec<CloudCall>,
    /// Machines that are partitioned from the store.
    cut: Vec<IpAddr>,
    /// When each machine's renewal of a lease was last answered.
    renewed: BTreeMap<IpAddr, Instant>,
    none_available: bool,
    /// Rises each time the store returns from an older copy.
    era: u64,
    is_away: bool,
    copies: VecDeque<Copy>,
}

/// The store's state at some time, from which it may return.
struct Copy {
    at: Instant,
    revision: u64,
    items: BTreeMap<String, Item>,
}

/// Interval between two copies.
const COPY_INTERVAL: Duration = Duration::from_millis(100);
/// How long copies are kept.
const COPY_TTL: Duration = Duration::from_secs(10);
/// Prefixes of the keys that the operator and the workers write again after the store has returned from a copy.
const REWRITTEN_PREFIXES: [&str; 2] = ["op/", "servers/"];

impl State {
    fn copy_if_due(&mut self, now: Instant) {
        if self.copies.back().is_some_and(|it| now.duration_since(it.at) < COPY_INTERVAL) {
            return;
        }
        let copy = Copy { at: now, revision: self.revision, items: self.items.clone() };
        self.copies.push_back(copy);
        while self.copies.front().is_some_and(|it| now.duration_since(it.at) > COPY_TTL) {
            self.copies.pop_front();
        }
    }

    /// Replaces the state by the newest copy that is at least `age` old. Leases and what the system wrote since are lost;
    /// what the operator and the workers wrote is written again.
    fn return_from_copy(&mut self, age: Duration) -> bool {
        let now = Instant::now();
        let copy = self.copies.iter().rposition(|it| now.duration_since(it.at) >= age);
        let Some(copy) = copy.and_then(|at| self.copies.drain(..).nth(at)) else { return false };
        let rewritten: Vec<(String, Vec<u8>)> = self
            .items
            .iter()
            .filter(|(key, _)| REWRITTEN_PREFIXES.iter().any(|it| key.starts_with(it)))
            .map(|(key, it)| (key.clone(), it.value.clone()))
            .collect();
        self.revision = copy.revision;
        self.items = copy.items;
        self.items.retain(|_, it| it.lease == 0);
        self.leases.clear();
        self.events.retain(|it| it["Revision"].as_u64() <= Some(copy.revision));
        self.era += 1;
        for (key, value) in rewritten {
            if self.items.get(&key).is_none_or(|it| it.value != value) {
                self.revision += 1;
                self.write(&key, Some(value), 0);
            }
        }
        true
    }

    fn write(&mut self, key: &str, value: Option<Vec<u8>>, lease: u64) {
        let revision = self.revision;
        match value {
            Some(value) => {
                let created = self.items.get(key).map_or(revision, |it| it.created);
                let item = Item { value, revision, created, lease };
                self.events.push(item_json(key, &item));
                self.items.insert(key.to_owned(), item);
            }
            None => {
                if self.items.remove(key).is_some() {
                    self.events.push(json!({"Key": key, "Revision": revision, "Deleted": true}));
                }
            }
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, it)| it.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.write(&key, None, 0);
        }
        true
    }
}

fn item_json(key: &str, it: &Item) -> Value {
    json!({
        "Key": key, "Value": BASE64.encode(&it.value), "Revision": it.revision,
        "Created": it.created, "Lease": it.lease
    })
}

/// The store and the cloud API.
#[derive(Clone)]
pub struct Platform {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
}

impl Platform {
    /// Starts both at the given addresses.
    pub fn start(store: SocketAddr, cloud: SocketAddr, record: Record) -> io::Result<Self> {
        let state = State { revision: 1, ..State::default() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let platform = Self { state, record, store, cloud };
        let it = platform.clone();
        serve(TcpListener::bind(store)?, move |req, stream, from| it.answer(req, stream, from));
        let it = platform.clone();
        serve(TcpListener::bind(cloud)?, move |req, stream, from| it.answer(req, stream, from));
        let it = platform.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                it.expire_leases();
                it.with(|it| it.copy_if_due(Instant::now()));
            }
        });
        Ok(platform)
    }

    fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        let result = f(&mut self.state.0.lock().expect("no panic under the lock"));
        self.state.1.notify_all();
        result
    }

    fn expire_leases(&self) {
        let now = Instant::now();
        let mut state = self.state.0.lock().expect("no panic under the lock");
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, it)| it.until <= now).map(|(id, _)| *id).collect();
        for id in &ended {
            state.end_lease(*id);
        }
        drop(state);
        if !ended.is_empty() {
            self.state.1.notify_all();
        }
    }

    /// Writes a key as the operator or a worker.
    pub fn put(&self, key: &str, value: &Value) {
        self.with(|it| {
            it.revision += 1;
            it.write(key, Some(value.to_string().into_bytes()), 0);
        });
    }

    /// Removes a key as a worker.
    pub fn remove(&self, key: &str) {
        self.with(|it| {
            it.revision += 1;
            it.write(key, None, 0);
        });
    }

    /// Partitions a machine from the store, or ends that. Its calls are not executed, and their connections are closed.
    pub fn cut(&self, machine: IpAddr, is_cut: bool) {
        self.with(|it| {
            it.cut.retain(|other| *other != machine);
            if is_cut {
                it.cut.push(machine);
            }
        });
    }

    /// Whether `/scaling` answers 409, because no workers are to be had.
    pub fn set_none_available(&self, none: bool) {
        self.with(|it| it.none_available = none);
    }

    /// Lets the store be away for a moment and return from a copy that is at least `age` old; returns `false` if there is
    /// no such copy.
    pub fn drill(&self, away: Duration, age: Duration) -> bool {
        self.with(|it| it.is_away = true);
        thread::sleep(away);
        self.with(|it| {
            it.is_away = false;
            it.return_from_copy(age)
        })
    }

    /// Returns the calls to the cloud API so far.
    pub fn cloud_calls(&self) -> Vec<CloudCall> {
        self.with(|it| it.cloud_calls.clone())
    }

    /// Returns when a machine's renewal of a lease was last answered.
    pub fn renewed(&self, machine: IpAddr) -> Option<Instant> {
        self.with(|it| it.renewed.get(&machine).copied())
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        self.with(|it| it.items.get(key).map(|it| it.value.clone()))
    }

    /// Returns the keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.with(|it| it.items.keys().filter(|it| it.starts_with(prefix)).cloned().collect())
    }

    fn answer(&self, req: &Request, stream: &mut TcpStream, from: SocketAddr) -> io::Result<()> {
        let is_cloud = matches!(req.path(), "/usage" | "/scaling");
        if !is_cloud && self.with(|it| it.cut.contains(&from.ip())) {
            // The cut refuses: the connection ends, and nothing is executed.
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if !is_cloud && self.with(|it| it.is_away) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let (status, body) =
            if is_cloud { self.cloud_call(req, from) } else { self.call(req, from) };
        let era = self.with(|it| it.era).to_string();
        let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
        write_answer(stream, status, &headers, body.to_string().as_bytes())
    }

    fn cloud_call(&self, req: &Request, from: SocketAddr) -> (u16, Value) {
        let body: Value = serde_json::from_slice(&req.body).unwrap_or(Value::Null);
        let header = |name| req.head.get(name).unwrap_or_default().to_owned();
        let call = CloudCall {
            at: Instant::now(),
            from: from.ip(),
            holder: header("x-quincevalve-duty-holder"),
            token: header("x-quincevalve-fencing-token").parse().unwrap_or_default(),
            path: req.path().to_owned(),
            body,
        };
        self.record.line(format!(
            "cloud: {} {} from {} as {} with token {}",
            call.path, call.body, call.from, call.holder, call.token
        ));
        self.with(|it| {
            it.cloud_calls.push(call);
            let none = it.none_available && req.path() == "/scaling";
            (if none { 409 } else { 200 }, json!({}))
        })
    }

    fn call(&self, req: &Request, from: SocketAddr) -> (u16, Value) {
        let body: Value = serde_json::from_slice(&req.body).unwrap_or(Value::Null);
        let last_number =
            || req.path().rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(0);
        match (req.method.as_str(), req.path()) {
            ("GET", "/kv-key") => self.with(|it| {
                let key = req.query("Key").unwrap_or_default();
                let Some(item) = it.items.get(key) else {
                    return (404, json!({"At": it.revision}));
                };
                let mut answer = item_json(key, item);
                answer["At"] = it.revision.into();
                (200, answer)
            }),
            ("GET", "/kv-range") => self.with(|it| range(it, req)),
            ("GET", "/kv-watch") => self.watch(req),
            ("POST", "/kv-txn") => self.with(|it| commit(it, &body)),
            ("POST", "/kv-lease") => self.with(|it| {
                let ttl_ms = body["TtlMs"].as_u64().unwrap_or(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                it.last_lease += 1;
                it.leases.insert(it.last_lease, Lease { ttl, until: Instant::now() + ttl });
                (200, json!({"Lease": it.last_lease, "TtlMs": ttl_ms}))
            }),
            ("POST", path) if path.starts_with("/kv-keep/") => self.with(|it| {
                let Some(lease) = it.leases.get_mut(&last_number()) else {
                    return (404, json!({}));
                };
                lease.until = Instant::now() + lease.ttl;
                let ttl_ms = lease.ttl.as_millis() as u64;
                if ttl_ms <= 5_000 {
                    it.renewed.insert(from.ip(), Instant::now());
                }
                (200, json!({"TtlMs": ttl_ms}))
            }),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => self.with(|it| {
                let is_known = it.end_lease(last_number());
                (if is_known { 200 } else { 404 }, json!({}))
            }),
            _ => (404, json!({})),
        }
    }

    fn watch(&self, req: &Request) -> (u16, Value) {
        let number = |name| req.query(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let (after, until) =
            (number("After"), Instant::now() + Duration::from_millis(number("WaitMs").min(30_000)));
        let prefix = req.query("Prefix").unwrap_or_default();
        let mut state = self.state.0.lock().expect("no panic under the lock");
        loop {
            if after > state.revision {
                return (410, json!({}));
            }
            let is_new = |it: &&Value| {
                it["Revision"].as_u64() > Some(after)
                    && it["Key"].as_str().is_some_and(|it| it.starts_with(prefix))
            };
            let first = state.events.partition_point(|it| it["Revision"].as_u64() <= Some(after));
            let events: Vec<&Value> = state.events[first..].iter().filter(is_new).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({"events": events, "At": state.revision}));
            }
            state = self.state.1.wait_timeout(state, left).expect("no panic under the lock").0;
        }
    }
}

fn range(state: &State, req: &Request) -> (u16, Value) {
    const MAX_ITEMS: usize = 500;
    let (prefix, after) =
        (req.query("Prefix").unwrap_or_default(), req.query("After").unwrap_or_default());
    let matching = state.items.iter();
    let mut matching = matching.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
    let items: Vec<Value> =
        matching.by_ref().take(MAX_ITEMS).map(|(key, it)| item_json(key, it)).collect();
    let has_more = matching.next().is_some();
    (200, json!({"Items": items, "HasMore": has_more, "At": state.revision}))
}

fn commit(state: &mut State, body: &Value) -> (u16, Value) {
    let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let expected = list("ExpectedRevision");
    let revision_of = |state: &State, key: &str| state.items.get(key).map_or(0, |it| it.revision);
    let holds = expected.iter().all(|it| {
        revision_of(state, it["Key"].as_str().unwrap_or_default())
            == it["Revision"].as_u64().unwrap_or_default()
    });
    if !holds {
        let keys = expected.iter().filter_map(|it| it["Key"].as_str());
        let items: Vec<Value> =
            keys.filter_map(|key| Some(item_json(key, state.items.get(key)?))).collect();
        return (412, json!({"Items": items}));
    }
    let puts = list("Puts");
    let lease = |it: &Value| it["Lease"].as_u64().unwrap_or_default();
    if puts.iter().any(|it| lease(it) != 0 && !state.leases.contains_key(&lease(it))) {
        return (404, json!({}));
    }
    state.revision += 1;
    for put in &puts {
        let value = BASE64.decode(put["Value"].as_str().unwrap_or_default()).unwrap_or_default();
        state.write(put["Key"].as_str().unwrap_or_default(), Some(value), lease(put));
    }
    for key in list("Remove") {
        state.write(key.as_str().unwrap_or_default(), None, 0);
    }
    (200, json!({"Revision": state.revision}))
}
