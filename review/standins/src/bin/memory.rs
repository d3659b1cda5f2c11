//! Many users upload at once, and a machine holds all their bodies until it exceeds its memory.

use std::{
    collections::HashSet,
    env, fs,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standins::{
    addresses::{free_network, ip},
    http::{Request, read_body, read_head},
    node::{Deployment, Node},
    platform::Platform,
    record::Record,
    workers::Worker,
};
use serde_json::json;

const MEMORY_MB: u64 = 260;
/// `MaxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// Bytes per second at which each user uploads.
const UPLOAD_RATE: usize = 1_000_000;
/// Users who upload at the same time on an ordinary day.
const USUAL_USERS: usize = 46;
/// How many times as many come in a burst.
const BURST: f64 = 1.7;
/// Requests of one kind, each client on a kept connection, one request after the other.
#[derive(Clone, Copy, Debug)]
struct Kind {
    name: &'static str,
    path: &'static str,
    clients: u32,
    per_second: f64,
    tokens: &'static str,
    deadline_ms: u64,
}

/// Two kinds of the sheet, at the rates of the sheet.
const KINDS: [Kind; 2] = [
    Kind {
        name: "seat-hold",
        path: "/seats/2f",
        clients: 6,
        per_second: 23.1,
        tokens: "",
        deadline_ms: 2_500,
    },
    Kind {
        name: "fare-tag",
        path: "/tag/2f",
        clients: 14,
        per_second: 43.3,
        tokens: "X-Quincevalve-Model: m\r\nX-Quincevalve-Token-Count: 1800,25\r\n\
            X-Quincevalve-Prefix-Hash: 5c1e07a2:341,91bd3f06:227,e4402b7d:1232\r\n",
        deadline_ms: 3_000,
    },
];
/// Work of a seat hold.
const WORK: Duration = Duration::from_millis(30);
/// Time to the first event of a fare tag: a third of its aim.
const FIRST_EVENT: Duration = Duration::from_millis(200);
const RESTART_DELAY: Duration = Duration::from_millis(300);
const PLAY: Duration = Duration::from_secs(12);
const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// The bounds of the deployment fso-quince.
const BOUNDS: &str = "SeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\n\
    DrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nRollbackSlackMs = 250\n\
    OuterBoundMs = 5000\nFailClosed = true\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\n\
    RetryWindowS = 10\nRetryBudgetSlack = 56\nQuotaWindowS = 8\nQuotaOverage = 0.1\n\
    QuotaSlack = 140000\nFencingRequired = false\nLeaseMs = 3000\nThawMs = 300\nUsageWindowS = 5\n\
    UsageTolerance = 0.05\nUsageLateS = 10\nRecoverS = 12\nPassMs = 120\nReuseWindowS = 10";

fn main() {
    let folder = PathBuf::from(env::args().nth(1).unwrap_or_else(|| "review/3".to_owned()));
    let with_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let code = match play(&folder, with_trouble) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            2
        }
    };
    std::process::exit(code);
}

/// The ids of bookings that a worker ran, and of those whose kept connection closed without an answer.
#[derive(Default)]
struct Bookings {
    run: HashSet<String>,
    answered: usize,
    closed: Vec<String>,
}

/// Returns whether the rule was broken.
fn play(folder: &Path, with_trouble: bool) -> io::Result<bool> {
    let root = env::current_dir()?;
    let scratch = env::temp_dir().join(format!("review-memory-{}", std::process::id()));
    fs::create_dir_all(&scratch)?;
    let record = Record::create(folder)?;
    let network = free_network(8221);
    let address = |host, port| SocketAddr::new(ip(network, host).into(), port);
    let platform = Platform::start(address(200, 8225), address(201, 8225), record.clone())?;
    let bookings = Arc::new(Mutex::new(Bookings::default()));
    for host in 100..104 {
        let worker = Worker {
            id: format!("i-{host}"),
            service: if host < 102 { "buchung" } else { "sprach" },
            zone: "erding",
            slots: if host < 102 { 6 } else { 128 },
            address: address(host, 8300),
        };
        let bookings = bookings.clone();
        let run = move |worker: &Worker, req: &Request, stream: &mut TcpStream| {
            let attempt = req.head.get("x-quincevalve-attempt-id").unwrap_or_default();
            lock(&bookings).run.insert(attempt.to_owned());
            if worker.service == "sprach" {
                thread::sleep(FIRST_EVENT);
                let event = |at| format!("id: {at}\ndata: token token token token token\n\n");
                return worker.stream(req, stream, (1..=5).map(event), Duration::from_millis(5));
            }
            thread::sleep(WORK);
            worker.answer(req, stream, &[b'o'; 800])
        };
        worker.start(&platform, &record, run)?;
    }
    let deployment = Deployment {
        zones: vec!["erding"],
        cpu_quota: 0.25,
        memory_mb: MEMORY_MB,
        link_mbps: 1_000.0,
        bounds: BOUNDS,
    };
    let (name, machine) = ("edge-erding-1", ip(network, 1));
    let mut node = Node::start(&root, &scratch, name, machine, "erding", &deployment, &platform)?;
    platform.put("op/config", &config());
    if !node.wait_ready(Duration::from_secs(15)) {
        return Err(io::Error::other("the machine is not ready"));
    }
    // It has been in touch for ContactMs.
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (kind, at) in KINDS.into_iter().flat_map(|it| (0..it.clients).map(move |at| (it, at))) {
        let (frontend, record) = (node.frontend(), record.clone());
        let (bookings, is_over) = (bookings.clone(), is_over.clone());
        clients.push(thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                send_in_turn(kind, at, frontend, &record, &bookings, &is_over);
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    thread::sleep(Duration::from_secs(1));
    let factor = if with_trouble { BURST } else { 1.0 };
    let users = (USUAL_USERS as f64 * factor) as usize;
    record.line(format!("{users} users upload {BODY_BYTES} bytes each"));
    for at in 0..users {
        let (frontend, record) = (node.frontend(), record.clone());
        clients.push(thread::spawn(move || {
            let id = format!("u{at:015x}");
            match upload(&id, frontend) {
                Ok(status) => record.line(format!("client {id}: status {status}")),
                Err(error) => record.line(format!("client {id}: the connection ends: {error}")),
            }
        }));
    }
    let (mut peak, mut kills) = (0, 0);
    let until = Instant::now() + PLAY;
    while Instant::now() < until {
        let resident = node.resident_bytes().unwrap_or_default();
        peak = peak.max(resident);
        if resident > MEMORY_MB << 20 {
            record.line(format!(
                "platform: {name} holds {} MB, more than MemoryMb = {MEMORY_MB}, and is killed",
                resident >> 20
            ));
            node.kill();
            kills += 1;
            thread::sleep(RESTART_DELAY);
            node.end_bootstrap()?;
            node.spawn()?;
        }
        if let Some(status) = node.exit_status() {
            record.line(format!("platform: {name} has ended by itself, {status}"));
            node.spawn()?;
        }
        thread::sleep(Duration::from_millis(5));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let bookings = lock(&bookings);
    let lost = bookings.closed.iter().filter(|it| bookings.run.contains(*it)).count();
    let text = format!(
        "peak {} MB, {kills} kills for memory; {} requests answered; LOST: {lost} that a worker ran, \
         on kept connections that closed without an answer",
        peak >> 20,
        bookings.answered
    );
    record.line(&text);
    println!("{text}");
    let _ = fs::remove_dir_all(&scratch);
    Ok(lost > 3)
}

fn lock(bookings: &Mutex<Bookings>) -> std::sync::MutexGuard<'_, Bookings> {
    bookings.lock().expect("no panic under the lock")
}

/// Sends requests on one kept connection until it closes.
fn send_in_turn(
    kind: Kind,
    client: u32,
    frontend: SocketAddr,
    record: &Record,
    bookings: &Mutex<Bookings>,
    is_over: &AtomicBool,
) {
    let Ok(mut stream) = TcpStream::connect_timeout(&frontend, Duration::from_secs(1)) else {
        return;
    };
    let Ok(reading) = stream.try_clone() else { return };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(kind.deadline_ms)));
    let mut reader = BufReader::new(reading);
    let mut sent = 0_u32;
    let cycle = Duration::from_secs_f64(f64::from(kind.clients) / kind.per_second);
    thread::sleep(cycle * client / kind.clients);
    while !is_over.load(Ordering::Relaxed) {
        sent += 1;
        let since = Instant::now();
        let id =
            format!("b{}{client:x}-{:x}-{sent:x}", kind.name.len(), (record.now() * 1e6) as u64);
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: seats.example\r\nX-Quincevalve-Attempt-Id: {id}\r\n{}\
             X-Quincevalve-Deadline-Ms: {}\r\nX-Quincevalve-Credential: {KEY}\r\n\
             Content-Length: 600\r\n\r\n{}",
            kind.path,
            kind.tokens,
            kind.deadline_ms,
            "s".repeat(600)
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        let answer = read_head(&mut reader).and_then(|head| {
            let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
            read_body(&mut reader, &head)?;
            Ok(head)
        });
        match answer {
            Ok(head) => {
                lock(bookings).answered += 1;
                record.line(format!("client {id}: status {}", head.status()));
                if head.get("connection").is_some_and(|it| it.eq_ignore_ascii_case("close")) {
                    return;
                }
            }
            Err(error) => {
                record.line(format!("client {id}: the connection ends without an answer: {error}"));
                if sent > 1 {
                    lock(bookings).closed.push(id);
                }
                return;
            }
        }
        thread::sleep(cycle.saturating_sub(since.elapsed()));
    }
}

/// Sends a request with a body of the largest allowed size, and returns the answer's status.
fn upload(id: &str, frontend: SocketAddr) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&frontend, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    let head = format!(
        "POST /brief/2f HTTP/1.1\r\nHost: seats.example\r\nX-Quincevalve-Attempt-Id: {id}\r\n\
         X-Quincevalve-Model: m\r\nX-Quincevalve-Token-Count: 6610,380\r\n\
         X-Quincevalve-Prefix-Hash: 5c1e07a2:512,91bd3f06:4870,e4402b7d:1228\r\n\
         X-Quincevalve-Deadline-Ms: 15000\r\nX-Quincevalve-Credential: {KEY}\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let piece = vec![b'p'; 64 << 10];
    let since = Instant::now();
    for at in 1..=BODY_BYTES / piece.len() {
        stream.write_all(&piece)?;
        let due = Duration::from_secs_f64((at * piece.len()) as f64 / UPLOAD_RATE as f64);
        thread::sleep(due.saturating_sub(since.elapsed()));
    }
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &head)?;
    Ok(head.status())
}

fn config() -> serde_json::Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: u64, aim: u64| {
        json!({
            "Name": name, "Host": "seats.example", "Prefix": prefix, "RouteType": kind,
            "TimeoutMs": timeout, "TargetLatencyMs": aim, "Priority": 1, "Service": service,
            "MaxAttempts": 1, "Anonymous": false, "SessionAffinity": kind == "streaming",
            "StreamResumption": false, "TargetGapMs": 500
        })
    };
    json!({
        "Version": 7,
        "Routes": [
            route("dispo-brief", "/brief/", "streaming", "sprach", 15_000, 1_000),
            route("fare-tag", "/tag/", "streaming", "sprach", 3_000, 600),
            route("seat-hold", "/seats/", "non_idempotent", "buchung", 1_200, 150),
        ],
        "Services": [
            {
                "Name": "sprach", "HealthPath": "/healthz", "MaxConnections": 620,
                "Engine": {"Slots": 128, "KvCapacity": 835_187, "KvBytes": 18_432, "LinkMbps": 370_000.0}
            },
            {"Name": "buchung", "HealthPath": "/healthz", "MaxConnections": 110},
        ],
        "Limits": {
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": BODY_BYTES, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000
        },
        "Tenants": [{
            "Name": "hule930", "ApiKeys": [KEY], "Unit": "tokens", "UncachedTokens": 200,
            "RatePerS": 232_531, "BurstSize": 232_531
        }]
    })
}
