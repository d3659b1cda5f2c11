//! A reclaimed worker, a few of whose streams have no length: their runs are moved to other workers.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standins_2::{
    Verdict, client,
    cloud::Cloud,
    has_trouble,
    http::{self, Head, respond},
    nodes::{Figures, Folder, Node},
    record::Record,
    store::Store,
    worker::{Worker, seal},
};
use serde_json::{Value, json};

/// Number of events of each stream, and the time between two of them.
const EVENTS: u64 = 60;
const INTERVAL: Duration = Duration::from_millis(60);
/// Notice of a reclaimed worker: `scale_in` with `how = "spot"`, x = 2 s.
const NOTICE: Duration = Duration::from_millis(2_000);
/// Number of workers, entry machines and streams. One of seven workers is reclaimed, a share of 0.14.
const WORKERS: usize = 7;
const NODES: u8 = 2;
const STREAMS: usize = 280;
/// Time between the starts of two streams.
const START_INTERVAL: Duration = Duration::from_millis(5);
/// Time from the first stream to the notice.
const NOTICE_AT: Duration = Duration::from_millis(1_600);
/// Workers of which a few answers have no length, a share of 0.43; one answer in so many, a share of 0.05.
const GARBLING_WORKERS: usize = 3;
const UNFRAMED_INTERVAL: u64 = 20;

/// A run that a worker works on.
#[derive(Default)]
struct Run {
    /// Ordered by `/kv-move` with `Last`.
    must_stop: AtomicBool,
    /// The worker ends.
    must_abort: AtomicBool,
    has_stopped: AtomicBool,
    made: AtomicU64,
    is_unframed: bool,
}

/// A run's memory at the worker to which it was moved.
struct Copy {
    id: String,
    to: SocketAddr,
    is_used: bool,
}

/// What all workers share.
#[derive(Default)]
struct Engines {
    runs: Mutex<HashMap<(SocketAddr, String), Arc<Run>>>,
    copies: Mutex<HashMap<String, Copy>>,
    moves: AtomicU64,
    unframed_moves: AtomicU64,
}

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
            "Name": "r-chat", "Host": "ficu95.example", "Prefix": "/chat/", "RouteType": "streaming",
            "TimeoutMs": 15000, "TargetLatencyMs": 1000, "Priority": 1, "Service": "lm",
            "MaxAttempts": 2, "Anonymous": false, "SessionAffinity": true,
            "StreamResumption": true, "TargetGapMs": 500
        }],
        "Services": [{
            "Name": "lm", "HealthPath": "/healthz", "MaxConnections": 620, "Protocol": "h1",
            "TlsEnabled": false, "Engine": {
                "Slots": 128, "KvCapacity": 835187, "KvBytes": 18432, "LinkMbps": 370000.0,
                "Moves": true, "Backups": false, "Stride": 5, "HandleTtlS": 5.0,
                "Models": [{"Name": "m"}]
            }
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
    let record = Arc::new(Record::create(Path::new("review/5/record.txt"))?);
    record.line(format!("trouble: {}", has_trouble()));
    let store = Store::start()?;
    let cloud = Cloud::start(record.clone())?;
    store.put("op/config", &config());
    let engines = Arc::new(Engines::default());
    let mut workers = Vec::new();
    for at in 0..WORKERS {
        workers.push(start_worker(at, &store, &engines, &record)?);
    }
    let mut nodes = Vec::new();
    for at in 0..NODES {
        let zone = ["erding", "freising"][usize::from(at)].to_owned();
        let figures = Figures { zone, ..Figures::default() };
        let mut node = Node::new(&folder.0, at, store.address, cloud.address, &figures)?;
        node.start()?;
        nodes.push(node);
    }
    if !nodes.iter().all(|it| it.await_ready(Duration::from_secs(20))) {
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(2));
    let clients: Vec<_> = (0..STREAMS)
        .map(|at| {
            let address = nodes[at % nodes.len()].frontend();
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(START_INTERVAL * at as u32);
                take_stream(at, address, &record)
            })
        })
        .collect();
    thread::sleep(NOTICE_AT);
    if has_trouble() {
        let leaving = {
            let runs = engines.runs.lock().expect("no panic under the lock");
            let count = |it: &&Arc<Worker>| runs.keys().filter(|key| key.0 == it.address).count();
            workers[..GARBLING_WORKERS].iter().max_by_key(count).expect("workers").clone()
        };
        record.line(format!("worker {} is reclaimed in {NOTICE:?}", leaving.id));
        leaving.announce_leaving(NOTICE);
        let engines = engines.clone();
        thread::spawn(move || {
            thread::sleep(NOTICE);
            leaving.leave();
            let runs = engines.runs.lock().expect("no panic under the lock");
            let own = runs.iter().filter(|((address, _), _)| *address == leaving.address);
            own.for_each(|(_, run)| run.must_abort.store(true, Ordering::SeqCst));
        });
    }
    let mut wrong = 0;
    let mut whole = 0;
    for it in clients {
        match it.join().expect("a client without panic") {
            Stream::Whole => whole += 1,
            Stream::BrokenOff => {}
            Stream::Wrong => wrong += 1,
        }
    }
    let moves = engines.moves.load(Ordering::SeqCst);
    let unframed_moves = engines.unframed_moves.load(Ordering::SeqCst);
    record.line(format!(
        "{whole} of {STREAMS} streams whole, {moves} runs moved, {unframed_moves} of them unframed, \
         {wrong} ended as complete before their last piece"
    ));
    if wrong > 0 {
        return Ok(Verdict::Broken);
    }
    let has_run = whole > 0 && (unframed_moves > 0 || !has_trouble());
    Ok(if has_run { Verdict::Held } else { Verdict::CouldNotRun })
}

/// How a stream reached its client.
enum Stream {
    Whole,
    /// It ended early, and the client can tell.
    BrokenOff,
    /// It ended as complete before its last piece, or its pieces are wrong.
    Wrong,
}

fn take_stream(at: usize, address: SocketAddr, record: &Record) -> Stream {
    let id = format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + at as u64);
    let request = format!(
        "POST /chat/{at} HTTP/1.1\r\nHost: ficu95.example\r\nX-Quincevalve-Attempt-Id: {id}\r\n\
         X-Quincevalve-Model: m\r\nX-Quincevalve-Token-Count: 1460,300\r\n\
         X-Quincevalve-Prefix-Hash: {:x}:1460\r\nX-Quincevalve-Deadline-Ms: 15000\r\n\
         X-Quincevalve-Credential: i9n73hh2b9wu3fexd9dn\r\nContent-Length: 2\r\n\r\n{{}}",
        0x91bd_3f06_u64 + at as u64
    );
    record.line(format!("client: sends {id} to {}", address.ip()));
    let answer = client::send(address, request.as_bytes(), Duration::from_secs(15));
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let got: Vec<&str> = text.split_inclusive("\n\n").collect();
    let wanted: Vec<String> = (1..=EVENTS).map(|it| event(&id, it)).collect();
    let is_prefix =
        got.len() <= wanted.len() && got.iter().zip(&wanted).all(|(it, other)| it == other);
    record.line(format!(
        "client: {id} got {} and {} of {EVENTS} events in order: {is_prefix}, ends as complete: {} {}",
        answer.status,
        got.len(),
        answer.is_complete,
        answer.error.unwrap_or_default()
    ));
    if answer.status != 200 {
        return Stream::BrokenOff;
    }
    match (is_prefix, got.len() == wanted.len(), answer.is_complete) {
        (true, true, true) => Stream::Whole,
        (true, _, false) => Stream::BrokenOff,
        _ => Stream::Wrong,
    }
}

fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}/{EVENTS}\n\n")
}

fn start_worker(
    at: usize,
    store: &Store,
    engines: &Arc<Engines>,
    record: &Arc<Record>,
) -> io::Result<Arc<Worker>> {
    let listener = http::bind("127.0.0.1".parse().expect("an address"))?;
    let zone = ["erding", "freising"][at % 2];
    let id = format!("i-7f3a91c{at}");
    let worker = Worker::register(&id, "lm", zone, 128, listener.local_addr()?, store);
    let (engines, record, this) = (engines.clone(), record.clone(), worker.clone());
    let is_garbling = at < GARBLING_WORKERS;
    let answers = AtomicU64::new(0);
    http::serve(
        listener,
        Arc::new(move |head, body, stream| {
            if this.answer_head(head, stream)? {
                return Ok(true);
            }
            if head.path() == "/kv-move" {
                return move_run(&this, &body, &engines, &record, stream);
            }
            if head.get("x-quincevalve-attempt-id").is_none() {
                respond(stream, 404, &[], b"")?;
                return Ok(true);
            }
            let number = answers.fetch_add(1, Ordering::SeqCst) + 1;
            let is_unframed = is_garbling && number.is_multiple_of(UNFRAMED_INTERVAL);
            run_request(&this, head, is_unframed, &engines, &record, stream)
        }),
    );
    Ok(worker)
}

/// Stops a run and copies its memory to another worker.
fn move_run(
    worker: &Worker,
    body: &[u8],
    engines: &Engines,
    record: &Record,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let order: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let id = order["Id"].as_str().unwrap_or_default().to_owned();
    let to: Option<SocketAddr> = order["To"].as_str().and_then(|it| it.parse().ok());
    let run = {
        let runs = engines.runs.lock().expect("no panic under the lock");
        runs.get(&(worker.address, id.clone())).cloned()
    };
    let (Some(run), Some(to)) = (run, to) else {
        record.line(format!("worker {}: has no run {id} to move", worker.id));
        respond(stream, 404, &[], b"{}")?;
        return Ok(true);
    };
    run.must_stop.store(true, Ordering::SeqCst);
    let until = Instant::now() + Duration::from_millis(200);
    while !run.has_stopped.load(Ordering::SeqCst) && Instant::now() < until {
        thread::sleep(Duration::from_millis(1));
    }
    let made = run.made.load(Ordering::SeqCst);
    let number = engines.moves.fetch_add(1, Ordering::SeqCst);
    engines.unframed_moves.fetch_add(u64::from(run.is_unframed), Ordering::SeqCst);
    let handle = format!("h{number}");
    record.line(format!(
        "worker {}: stops {id} after {made} events and copies it to {to}",
        worker.id
    ));
    let copy = Copy { id, to, is_used: false };
    let key = format!("{}/{handle}", worker.address);
    engines.copies.lock().expect("no panic under the lock").insert(key, copy);
    let answer = json!({"KvHandle": handle, "Created": made}).to_string();
    respond(stream, 200, &[("Content-Type", "application/json")], answer.as_bytes())?;
    Ok(true)
}

/// Returns whether the request may go on from the memory that it names.
fn take_copy(engines: &Engines, worker: &Worker, id: &str, from: &str) -> bool {
    let mut copies = engines.copies.lock().expect("no panic under the lock");
    let Some(copy) = copies.get_mut(from) else { return false };
    let may_use = copy.id == id && copy.to == worker.address && !copy.is_used;
    copy.is_used |= may_use;
    may_use
}

fn run_request(
    worker: &Worker,
    head: &Head,
    is_unframed: bool,
    engines: &Engines,
    record: &Record,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let id = head.get("x-quincevalve-attempt-id").unwrap_or_default().to_owned();
    let from = head.get("kv-from");
    if from.is_some_and(|it| !take_copy(engines, worker, &id, it)) {
        let headers =
            [("X-Quincevalve-Not-Executed", "1"), ("X-Quincevalve-Attempt-Id", id.as_str())];
        respond(stream, 503, &headers, b"")?;
        return Ok(true);
    }
    let after = head.get("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    record.line(format!(
        "worker {}: runs {id} after event {after}, from memory: {}, unframed: {is_unframed}",
        worker.id,
        from.unwrap_or("none")
    ));
    let run = Arc::new(Run { is_unframed, ..Run::default() });
    run.made.store(after, Ordering::SeqCst);
    let key = (worker.address, id.clone());
    engines.runs.lock().expect("no panic under the lock").insert(key.clone(), run.clone());
    let result = write_stream(worker, &id, after, &run, stream);
    run.has_stopped.store(true, Ordering::SeqCst);
    let mut runs = engines.runs.lock().expect("no panic under the lock");
    if runs.get(&key).is_some_and(|it| Arc::ptr_eq(it, &run)) {
        runs.remove(&key);
    }
    result.map(|()| false)
}

/// Writes a stream, in chunks or with neither a length nor chunks. A stream that is broken off ends early: without its
/// last chunk, or with its connection; if the worker ends, inside an event.
fn write_stream(
    worker: &Worker,
    id: &str,
    after: u64,
    run: &Run,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let framing = if run.is_unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\n\
         X-Quincevalve-Attempt-Id: {id}\r\nX-Quincevalve-Response-Seal: {}\r\n\r\n",
        seal(id, &worker.id)
    );
    stream.write_all(head.as_bytes())?;
    for number in after + 1..=EVENTS {
        thread::sleep(INTERVAL);
        if run.must_stop.load(Ordering::SeqCst) {
            return Ok(());
        }
        let event = event(id, number);
        if run.must_abort.load(Ordering::SeqCst) {
            return stream.write_all(&event.as_bytes()[..event.len() / 2]);
        }
        let text =
            if run.is_unframed { event } else { format!("{:x}\r\n{event}\r\n", event.len()) };
        stream.write_all(text.as_bytes())?;
        run.made.store(number, Ordering::SeqCst);
    }
    if !run.is_unframed {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}
