//! Most new connections go to one machine, while clients send bodies of the permitted size.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use review_standins_2::{
    Verdict,
    client::{Answer, read_answer},
    cloud::Cloud,
    has_trouble, http,
    http::respond,
    nodes::{Figures, Folder, Node},
    record::Record,
    store::Store,
    worker::{Worker, seal},
};
use serde_json::{Value, json};

/// Number of entry machines and of clients, as at the site.
const NODES: usize = 8;
const CLIENTS: usize = 86;
/// Memory of a machine: a process that exceeds it is killed.
const MEMORY_MB: u32 = 260;
/// Size of a body, in bytes: `MaxBodyBytes`. It is sent in parts with pauses, 8 Mbit/s for each client and at most
/// 0.6 Gbit/s for a machine, whose link has 1 Gbit/s.
const BODY: usize = 4 << 20;
const PARTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(100);
/// Times at which most new connections go to one machine, and the machines to which they go in turn.
const WAVES: usize = 6;
const TARGETS: usize = 2;
/// One connection in so many goes to another machine even then.
const OTHERS: usize = 5;
/// Time between two waves, in which killed processes are back.
const REST: Duration = Duration::from_secs(4);
/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the platform checks the memory.
const MEMORY_CHECK: Duration = Duration::from_millis(5);
/// Ends by themselves on that many machines, that often, break the rule.
const MACHINES_WITH_ENDS: usize = 2;
const ENDS: usize = 3;

type Machines = Arc<Vec<Mutex<Node>>>;

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
            "Name": "r-scan", "Host": "ficu95.example", "Prefix": "/scan/",
            "RouteType": "idempotent", "TimeoutMs": 12000, "TargetLatencyMs": 6000,
            "Priority": 2, "Service": "scans", "MaxAttempts": 2, "Anonymous": false
        }],
        "Services": [{
            "Name": "scans", "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1",
            "TlsEnabled": false
        }],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": BODY, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000
        },
        "Tenants": [{"Name": "hule930", "ApiKeys": ["i9n73hh2b9wu3fexd9dn"], "Priority": 1}]
    })
}

fn run() -> io::Result<Verdict> {
    let folder = Folder::create()?;
    let record = Arc::new(Record::create(Path::new("review/8/record.txt"))?);
    record.line(format!("trouble: {}", has_trouble()));
    let store = Store::start()?;
    let cloud = Cloud::start(record.clone())?;
    store.put("op/config", &config());
    let mut workers = Vec::new();
    for at in 0..4 {
        workers.push(start_worker(at, &store)?);
    }
    let mut nodes = Vec::new();
    for at in 0..NODES {
        let zone = ["erding", "freising"][at % 2].to_owned();
        let figures = Figures { zone, memory_mb: MEMORY_MB, ..Figures::default() };
        let mut node = Node::new(&folder.0, at as u8, store.address, cloud.address, &figures)?;
        node.start()?;
        nodes.push(Mutex::new(node));
    }
    let nodes: Machines = Arc::new(nodes);
    let is_ready = |it: &Mutex<Node>| lock(it).await_ready(Duration::from_secs(20));
    if !nodes.iter().all(is_ready) {
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(2));
    let is_over = Arc::new(AtomicBool::new(false));
    let platforms: Vec<_> = (0..NODES)
        .map(|at| {
            let (nodes, record, is_over) = (nodes.clone(), record.clone(), is_over.clone());
            thread::spawn(move || keep_running(&nodes[at], &record, &is_over))
        })
        .collect();
    let mut served = 0;
    for wave in 0..WAVES {
        served += send_wave(wave, &nodes, &record);
        thread::sleep(REST);
    }
    is_over.store(true, Ordering::SeqCst);
    let mut machines = 0;
    for (node, platform) in nodes.iter().zip(platforms) {
        let Watched { ends, peak_kb } = platform.join().expect("no panic");
        record.line(format!(
            "machine {}: at most {} MB, ended by itself {ends} times",
            lock(node).name,
            peak_kb / 1_000
        ));
        machines += usize::from(ends >= ENDS);
    }
    record.line(format!(
        "{served} of {} requests served; {machines} machines whose process ended {ENDS} times or more",
        WAVES * CLIENTS
    ));
    if machines >= MACHINES_WITH_ENDS {
        return Ok(Verdict::Broken);
    }
    Ok(if served > 0 { Verdict::Held } else { Verdict::CouldNotRun })
}

fn lock(node: &Mutex<Node>) -> std::sync::MutexGuard<'_, Node> {
    node.lock().expect("no panic under the lock")
}

/// What the platform saw of a machine's process.
struct Watched {
    ends: usize,
    peak_kb: u64,
}

/// Kills a process that exceeds the machine's memory, and starts it again.
fn keep_running(node: &Mutex<Node>, record: &Record, is_over: &AtomicBool) -> Watched {
    let mut watched = Watched { ends: 0, peak_kb: 0 };
    while !is_over.load(Ordering::SeqCst) {
        thread::sleep(MEMORY_CHECK);
        let mut node = lock(node);
        let used = node.resident_kb().unwrap_or_default();
        watched.peak_kb = watched.peak_kb.max(used);
        let is_exceeded = used > u64::from(MEMORY_MB) * 1_000;
        if is_exceeded {
            record.line(format!("platform: {} uses {} MB and is killed", node.name, used / 1_000));
            node.signal(libc::SIGKILL);
            thread::sleep(Duration::from_millis(50));
        }
        if node.has_ended() {
            if !is_exceeded {
                record.line(format!("platform: {} has ended", node.name));
            }
            watched.ends += 1;
            thread::sleep(RESTART_DELAY);
            if let Err(error) = node.start() {
                record.line(format!("platform: {} can't start: {error}", node.name));
            }
        }
    }
    watched
}

/// Lets each client send one request on a new connection. Returns the number of those that were served.
fn send_wave(wave: usize, nodes: &Machines, record: &Arc<Record>) -> usize {
    let target = wave % TARGETS;
    if has_trouble() {
        record
            .line(format!("wave {wave}: most new connections go to {}", lock(&nodes[target]).name));
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|at| {
            let is_moved = has_trouble() && !at.is_multiple_of(OTHERS);
            let front = lock(&nodes[if is_moved { target } else { at % NODES }]).frontend();
            let (record, id) = (record.clone(), format!("9c41d07b{wave:04x}{at:04x}"));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(5 * at as u64));
                upload(&id, front, &record)
            })
        })
        .collect();
    clients.into_iter().map(|it| usize::from(it.join().expect("no panic"))).sum()
}

/// Sends a request and returns whether it was served.
fn upload(id: &str, front: SocketAddr, record: &Record) -> bool {
    let mut answer = Answer::default();
    let result = exchange(id, front, &mut answer);
    let error = result.err().map(|it| it.to_string()).unwrap_or_default();
    record.line(format!("client: {id} to {} got {} {error}", front.ip(), answer.status));
    answer.status == 200
}

fn exchange(id: &str, front: SocketAddr, answer: &mut Answer) -> io::Result<()> {
    let head = format!(
        "POST /scan/1 HTTP/1.1\r\nHost: ficu95.example\r\nX-Quincevalve-Attempt-Id: {id}\r\n\
         X-Quincevalve-Deadline-Ms: 12000\r\nContent-Length: {BODY}\r\n\
         X-Quincevalve-Credential: i9n73hh2b9wu3fexd9dn\r\n\r\n"
    );
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    stream.write_all(head.as_bytes())?;
    let part = vec![b'x'; BODY.div_ceil(PARTS)];
    let mut left = BODY;
    while left > 0 {
        let size = left.min(part.len());
        stream.write_all(&part[..size])?;
        left -= size;
        thread::sleep(PAUSE);
    }
    read_answer(&mut BufReader::new(stream), answer)
}

fn start_worker(at: usize, store: &Store) -> io::Result<Arc<Worker>> {
    let listener = http::bind("127.0.0.1".parse().expect("an address"))?;
    let id = format!("i-7f3a91c{at}");
    let zone = ["erding", "freising"][at % 2];
    let worker = Worker::register(&id, "scans", zone, 6, listener.local_addr()?, store);
    let this = worker.clone();
    http::serve(
        listener,
        Arc::new(move |head, body, stream| {
            if this.answer_head(head, stream)? {
                return Ok(true);
            }
            let attempt = head.get("x-quincevalve-attempt-id").unwrap_or_default();
            thread::sleep(Duration::from_millis(30));
            let seal = seal(attempt, &this.id);
            let headers = [
                ("X-Quincevalve-Attempt-Id", attempt),
                ("X-Quincevalve-Response-Seal", seal.as_str()),
            ];
            respond(stream, 200, &headers, body.len().to_string().as_bytes())?;
            Ok(true)
        }),
    );
    Ok(worker)
}
