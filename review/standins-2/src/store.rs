//! The platform's metadata store.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD as BASE64};
use serde_json::{Value, json};

use crate::http::{self, Head, respond};

/// Maximum number of items of a page.
const PAGE: usize = 500;
/// Time for which changes can be watched: `HistoryS`.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    at: Instant,
    /// The item as it was written; `None` if it was removed.
    item: Option<Item>,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

/// Everything that a copy of the store contains.
#[derive(Clone, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: VecDeque<Event>,
    /// The newest change that can no longer be watched.
    forgotten: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

#[derive(Default)]
struct Inner {
    state: State,
    copy: Option<State>,
    era: u64,
    is_away: bool,
}

/// A handle to the store.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Condvar>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store at a free port.
    pub fn start() -> io::Result<Self> {
        let listener = http::bind("127.0.0.1".parse().expect("an address"))?;
        let store = Self {
            inner: Arc::default(),
            changed: Arc::default(),
            address: listener.local_addr()?,
        };
        let this = store.clone();
        http::serve(listener, Arc::new(move |head, body, stream| this.answer(head, &body, stream)));
        let this = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                this.expire();
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic under the lock")
    }

    /// Writes an item as the operator or a worker does.
    pub fn put(&self, key: &str, value: &Value) {
        let mut inner = self.lock();
        let value = BASE64.encode(value.to_string());
        inner.state.begin_change().write(key, Some(value), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut inner = self.lock();
        inner.state.begin_change().write(key, None, 0);
        self.changed.notify_all();
    }

    /// Returns an item's value as text.
    pub fn get(&self, key: &str) -> Option<String> {
        let inner = self.lock();
        let bytes = BASE64.decode(&inner.state.items.get(key)?.value).ok()?;
        String::from_utf8(bytes).ok()
    }

    /// Takes the copy from which the store may return.
    pub fn take_copy(&self) {
        let mut inner = self.lock();
        inner.copy = Some(inner.state.clone());
    }

    /// Makes the store unavailable.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.changed.notify_all();
    }

    /// Returns from the copy: what was written since is gone, leases too. Leases that the copy holds run anew.
    pub fn return_from_copy(&self) {
        let mut inner = self.lock();
        let mut state = inner.copy.clone().expect("a copy");
        let now = Instant::now();
        state.leases.values_mut().for_each(|it| it.until = now + it.ttl);
        // The pages say that revisions are given out again, and don't say it of leases.
        state.last_lease = inner.state.last_lease;
        inner.state = state;
        inner.era += 1;
        inner.is_away = false;
        self.changed.notify_all();
    }

    fn expire(&self) {
        let mut inner = self.lock();
        if inner.is_away {
            return;
        }
        let now = Instant::now();
        let expired: Vec<u64> = inner
            .state
            .leases
            .iter()
            .filter(|(_, it)| it.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            inner.state.end_lease(id);
            self.changed.notify_all();
        }
    }

    fn answer(&self, head: &Head, body: &[u8], stream: &mut TcpStream) -> io::Result<bool> {
        if self.lock().is_away {
            respond(stream, 503, &[], b"")?;
            return Ok(true);
        }
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (status, answer) = match (head.method(), head.path()) {
            ("GET", "/kv-key") => self.key(&head.query("Key").unwrap_or_default()),
            ("GET", "/kv-range") => self
                .range(&head.query("Prefix").unwrap_or_default(), head.query("After").as_deref()),
            ("GET", "/kv-watch") => self.watch(head),
            ("POST", "/kv-txn") => self.transaction(&body),
            ("POST", "/kv-lease") => self.grant(&body),
            ("POST", path) if path.starts_with("/kv-keep/") => self.keep(last_number(path)),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let mut inner = self.lock();
                inner.state.end_lease(last_number(path));
                self.changed.notify_all();
                (200, Value::Null)
            }
            _ => (404, Value::Null),
        };
        let era = self.lock().era.to_string();
        let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
        let text = if answer.is_null() { String::new() } else { answer.to_string() };
        respond(stream, status, &headers, text.as_bytes())?;
        Ok(true)
    }

    fn key(&self, key: &str) -> (u16, Value) {
        let inner = self.lock();
        let Some(item) = inner.state.items.get(key) else { return (404, Value::Null) };
        let mut answer = encode(key, item);
        answer["At"] = json!(inner.state.revision);
        (200, answer)
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> (u16, Value) {
        let inner = self.lock();
        let items = inner.state.items.iter();
        let mut items = items
            .filter(|(key, _)| key.starts_with(prefix) && after.is_none_or(|it| key.as_str() > it));
        let page: Vec<Value> =
            items.by_ref().take(PAGE).map(|(key, item)| encode(key, item)).collect();
        let has_more = items.next().is_some();
        (200, json!({"Items": page, "HasMore": has_more, "At": inner.state.revision}))
    }

    fn watch(&self, head: &Head) -> (u16, Value) {
        let number = |name| head.query(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let (after, prefix) = (number("After"), head.query("Prefix").unwrap_or_default());
        let until = Instant::now() + Duration::from_millis(number("WaitMs"));
        let mut inner = self.lock();
        let era = inner.era;
        loop {
            if inner.is_away || inner.era != era {
                return (503, Value::Null);
            }
            if after > inner.state.revision || after < inner.state.forgotten {
                return (410, Value::Null);
            }
            let events = inner.state.events.iter();
            let events: Vec<Value> = events
                .filter(|it| it.revision > after && it.key.starts_with(&prefix))
                .map(Event::encode)
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                return (200, json!({"events": events, "At": inner.state.revision}));
            }
            inner = self.changed.wait_timeout(inner, until - now).expect("no panic").0;
        }
    }

    fn transaction(&self, body: &Value) -> (u16, Value) {
        let mut inner = self.lock();
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
        let puts = rows("Puts");
        let lease = |row: &Value| row["Lease"].as_u64().unwrap_or_default();
        if puts.iter().any(|it| lease(it) != 0 && !inner.state.leases.contains_key(&lease(it))) {
            return (404, Value::Null);
        }
        let expected = rows("ExpectedRevision");
        let holds = |row: &Value| {
            let known = inner.state.items.get(&text(row, "Key")).map_or(0, |it| it.revision);
            row["Revision"].as_u64() == Some(known)
        };
        if !expected.iter().all(holds) {
            let items = expected.iter().filter_map(|row| {
                let key = text(row, "Key");
                inner.state.items.get(&key).map(|it| encode(&key, it))
            });
            return (412, json!({"Items": items.collect::<Vec<_>>()}));
        }
        let state = inner.state.begin_change();
        for row in &puts {
            state.write(&text(row, "Key"), Some(text(row, "Value")), lease(row));
        }
        for key in rows("Remove") {
            state.write(key.as_str().unwrap_or_default(), None, 0);
        }
        self.changed.notify_all();
        (200, json!({"Revision": inner.state.revision}))
    }

    fn grant(&self, body: &Value) -> (u16, Value) {
        let ttl_ms = body["TtlMs"].as_u64().unwrap_or_default().max(1_000).min(600_000);
        let ttl = Duration::from_millis(ttl_ms);
        let state = &mut self.lock().state;
        state.last_lease += 1;
        let id = state.last_lease;
        state.leases.insert(id, Lease { ttl, until: Instant::now() + ttl });
        (200, json!({"Lease": id, "TtlMs": ttl_ms}))
    }

    fn keep(&self, id: u64) -> (u16, Value) {
        let mut inner = self.lock();
        let Some(lease) = inner.state.leases.get_mut(&id) else { return (404, Value::Null) };
        lease.until = Instant::now() + lease.ttl;
        (200, json!({"TtlMs": lease.ttl.as_millis() as u64}))
    }
}

impl State {
    /// Begins a change: all that it writes has one revision.
    fn begin_change(&mut self) -> &mut Self {
        self.revision += 1;
        self
    }

    fn write(&mut self, key: &str, value: Option<String>, lease: u64) {
        let revision = self.revision;
        let item = value.map(|value| {
            let created = self.items.get(key).map_or(revision, |it| it.created);
            Item { value, revision, created, lease }
        });
        match &item {
            Some(item) => {
                self.items.insert(key.to_owned(), item.clone());
            }
            None if self.items.remove(key).is_none() => return,
            None => {}
        }
        self.events.push_back(Event { key: key.to_owned(), revision, at: Instant::now(), item });
        while self.events.front().is_some_and(|it| it.at.elapsed() > HISTORY) {
            self.forgotten = self.events.pop_front().map_or(self.forgotten, |it| it.revision);
        }
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, it)| it.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.begin_change().write(&key, None, 0);
        }
    }
}

impl Event {
    fn encode(&self) -> Value {
        match &self.item {
            Some(item) => encode(&self.key, item),
            None => json!({"Key": self.key, "Revision": self.revision, "Deleted": true}),
        }
    }
}

fn encode(key: &str, item: &Item) -> Value {
    json!({
        "Key": key, "Value": item.value, "Revision": item.revision, "Created": item.created,
        "Lease": item.lease
    })
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or_default()
}
