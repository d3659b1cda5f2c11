//! The holder of the duties freezes, another machine takes over, and the store comes back from a copy.
//!
//! `TROUBLE=freeze` and `TROUBLE=drill` leave one of the two disruptions out.

use std::{
    io,
    path::Path,
    process::exit,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use review_standins_2::{
    Verdict,
    cloud::{Call, Cloud},
    has_trouble, http,
    http::respond,
    nodes::{Figures, Folder, Node},
    record::Record,
    store::Store,
    worker::{Worker, seal},
};
use serde_json::{Value, json};

/// Number of entry machines.
const NODES: u8 = 3;
/// Time for which the holder stands still: `node_freeze` of the site file.
const FREEZE: Duration = Duration::from_secs(4);
/// Time from the freeze to the copy of the store, when the frozen machine's lease still runs.
const COPY_AT: Duration = Duration::from_secs(1);
/// Time from the new holder's first call to the store's absence, and the length of the absence.
const AWAY_AFTER: Duration = Duration::from_millis(50);
const AWAY: Duration = Duration::from_millis(150);
/// Time after the return from which calls are judged: calls while the platform "just was in disruption" don't count.
/// The users' `ContactMs` is 3 s.
const JUDGED_AFTER: Duration = Duration::from_secs(6);
/// Time for which calls are judged.
const JUDGED: Duration = Duration::from_secs(20);

fn main() {
    let verdict = run().unwrap_or_else(|error| {
        eprintln!("could not run: {error}");
        Verdict::CouldNotRun
    });
    exit(verdict.code());
}

fn config() -> Value {
    json!({
        "Version": 7,
        "Routes": [{
            "Name": "r-ack", "Host": "ficu95.example", "Prefix": "/ack/",
            "RouteType": "idempotent", "TimeoutMs": 1200, "TargetLatencyMs": 150,
            "Priority": 2, "Service": "seats", "MaxAttempts": 2, "Anonymous": false
        }],
        "Services": [{
            "Name": "seats", "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1",
            "TlsEnabled": false
        }],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000
        },
        "Tenants": [{"Name": "hule930", "ApiKeys": ["i9n73hh2b9wu3fexd9dn"], "Priority": 1}]
    })
}

fn run() -> io::Result<Verdict> {
    let folder = Folder::create()?;
    let record = Arc::new(Record::create(Path::new("review/6/record.txt"))?);
    record.line(format!("trouble: {}", has_trouble()));
    let store = Store::start()?;
    let cloud = Cloud::start(record.clone())?;
    store.put("op/config", &config());
    let worker = start_worker(&store)?;
    let mut nodes = Vec::new();
    for at in 0..NODES {
        let mut node = Node::new(&folder.0, at, store.address, cloud.address, &Figures::default())?;
        node.start()?;
        nodes.push(node);
    }
    if !nodes.iter().all(|it| it.await_ready(Duration::from_secs(20))) {
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(8));
    let Some(first) = cloud.calls().last().cloned() else { return Ok(Verdict::CouldNotRun) };
    let Some(holder) = nodes.iter().find(|it| it.name == first.holder) else {
        return Ok(Verdict::CouldNotRun);
    };
    record.line(format!("the holder is {} with token {}", first.holder, first.token));
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    if trouble == "drill" {
        store.take_copy();
        thread::sleep(Duration::from_secs(2));
        return_from_copy(&store, &worker, &record);
    } else if has_trouble() {
        let frozen_at = Instant::now();
        record.line(format!("machine {} freezes", holder.name));
        holder.signal(libc::SIGSTOP);
        thread::sleep(COPY_AT);
        record.line("store: takes a copy");
        store.take_copy();
        let next = await_call(&cloud, frozen_at + FREEZE, |it| it.token > first.token);
        if let Some(next) = &next {
            record.line(format!("{} has taken over with token {}", next.holder, next.token));
            thread::sleep(AWAY_AFTER);
            if trouble != "freeze" {
                return_from_copy(&store, &worker, &record);
            }
        }
        thread::sleep((frozen_at + FREEZE).saturating_duration_since(Instant::now()));
        holder.signal(libc::SIGCONT);
        record.line(format!("machine {} wakes", holder.name));
        if next.is_none() {
            record.line("no machine took over in time");
            return Ok(Verdict::CouldNotRun);
        }
    }
    thread::sleep(JUDGED_AFTER);
    let judged_from = record.now_ms();
    record.line("calls are judged from now on");
    thread::sleep(JUDGED);
    let calls = cloud.calls();
    let stale = stale_calls(&calls, judged_from);
    for call in &stale {
        record.line(format!(
            "broken: {} of {} at {:.3} bears token {}, but a higher one came before",
            call.path,
            call.holder,
            call.at_ms as f64 / 1_000.0,
            call.token
        ));
    }
    let judged = calls.iter().filter(|it| it.at_ms >= judged_from).count();
    record
        .line(format!("{judged} calls judged, {} with a lower token than one before", stale.len()));
    if judged == 0 {
        return Ok(Verdict::CouldNotRun);
    }
    Ok(if stale.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Lets the store be away and come back from its copy.
fn return_from_copy(store: &Store, worker: &Worker, record: &Record) {
    record.line("store: is away");
    store.go_away();
    thread::sleep(AWAY);
    store.return_from_copy();
    // The operator and the workers write again what the copy lacks.
    store.put("op/config", &config());
    worker.write_entry();
    record.line("store: is back from the copy");
}

/// Waits until a call is there that fits.
fn await_call(cloud: &Cloud, until: Instant, fits: impl Fn(&Call) -> bool) -> Option<Call> {
    while Instant::now() < until {
        if let Some(call) = cloud.calls().into_iter().find(|it| fits(it)) {
            return Some(call);
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

/// Returns the calls from `judged_from` on with a lower token than one before, for the same duty. All windows of usage
/// are one subject, and no service is scaled.
fn stale_calls(calls: &[Call], judged_from: u64) -> Vec<Call> {
    let mut highest = 0;
    let mut stale = Vec::new();
    for call in calls {
        if call.at_ms >= judged_from && call.token < highest {
            stale.push(call.clone());
        }
        highest = highest.max(call.token);
    }
    stale
}

fn start_worker(store: &Store) -> io::Result<Arc<Worker>> {
    let listener = http::bind("127.0.0.1".parse().expect("an address"))?;
    let worker =
        Worker::register("i-7f3a91c0", "seats", "erding", 6, listener.local_addr()?, store);
    let this = worker.clone();
    http::serve(
        listener,
        Arc::new(move |head, _, stream| {
            if this.answer_head(head, stream)? {
                return Ok(true);
            }
            let attempt = head.get("x-quincevalve-attempt-id").unwrap_or_default();
            let seal = seal(attempt, &this.id);
            let headers = [
                ("X-Quincevalve-Attempt-Id", attempt),
                ("X-Quincevalve-Response-Seal", seal.as_str()),
            ];
            respond(stream, 200, &headers, b"ack")?;
            Ok(true)
        }),
    );
    Ok(worker)
}
