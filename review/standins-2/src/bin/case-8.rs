//! SIGTERM of the machine that passes long answers on, over a link of 10 Mbit/s.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use review_standins_2::{
    Verdict, client,
    cloud::Cloud,
    has_trouble, http,
    http::respond,
    nodes::{Figures, Folder, Node},
    record::Record,
    store::Store,
    worker::{Worker, seal},
};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

/// Bandwidth of the machine's link, in Mbit/s: the least that the users' pages name.
const LINK_MBPS: u32 = 10;
const LINK_BYTES_PER_MS: usize = LINK_MBPS as usize * 125;
/// Window and segment size of the link's connections, in bytes.
const WINDOW: usize = 32 << 10;
const SEGMENT: u32 = 1_448;
/// Size of an answer, in bytes, and the number of clients that fetch one at the same time. All of them take 5.6 s.
const ANSWER: usize = 4_000_000;
const CLIENTS: usize = 2;
/// Time that clients wait, and the route's timeout, in milliseconds.
const DEADLINE_MS: u64 = 15_000;
const TIMEOUT_MS: u64 = 12_000;
/// Time from the first request to SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(600);
/// GraceS, after which the platform kills a process.
const GRACE: Duration = Duration::from_secs(8);

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
            "Name": "r-sheet", "Host": "ficu95.example", "Prefix": "/sheet/",
            "RouteType": "idempotent", "TimeoutMs": TIMEOUT_MS, "TargetLatencyMs": 1000,
            "Priority": 2, "Service": "sheets", "MaxAttempts": 2, "Anonymous": false
        }],
        "Services": [{
            "Name": "sheets", "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1",
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
    let record = Arc::new(Record::create(Path::new("review/8/record.txt"))?);
    record.line(format!("trouble: {}", has_trouble()));
    let store = Store::start()?;
    let cloud = Cloud::start(record.clone())?;
    store.put("op/config", &config());
    let _workers = [start_worker(0, &store, &record)?, start_worker(1, &store, &record)?];
    let mut nodes = Vec::new();
    for at in 0..2 {
        let zone = ["erding", "freising"][usize::from(at)].to_owned();
        let figures = Figures { zone, link_mbps: LINK_MBPS, ..Figures::default() };
        let mut node = Node::new(&folder.0, at, store.address, cloud.address, &figures)?;
        node.start()?;
        nodes.push(node);
    }
    if !nodes.iter().all(|it| it.await_ready(Duration::from_secs(20))) {
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(2));
    let entry = start_link(nodes[0].frontend())?;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|at| {
            let record = record.clone();
            thread::spawn(move || fetch(at, entry, &record))
        })
        .collect();
    thread::sleep(STOP_AFTER);
    if has_trouble() {
        record.line(format!("machine {}: SIGTERM", nodes[0].name));
        nodes[0].signal(libc::SIGTERM);
        let since = Instant::now();
        while !nodes[0].has_ended() && since.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(5));
        }
        record.line(format!(
            "machine {}: ended {:?} after SIGTERM",
            nodes[0].name,
            since.elapsed()
        ));
        nodes[0].signal(libc::SIGKILL);
    }
    let answers: Vec<_> = clients.into_iter().map(|it| it.join().expect("no panic")).collect();
    let whole = answers.iter().filter(|it| **it == Fetched::Whole).count();
    let cut = answers.iter().filter(|it| **it == Fetched::Cut).count();
    record.line(format!("{whole} of {CLIENTS} answers whole, {cut} cut off"));
    if cut > 0 {
        return Ok(Verdict::Broken);
    }
    Ok(if whole == CLIENTS { Verdict::Held } else { Verdict::CouldNotRun })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fetched {
    Whole,
    /// The connection ended without a complete answer, before the client's deadline and the route's timeout.
    Cut,
    Other,
}

fn fetch(at: usize, entry: SocketAddr, record: &Record) -> Fetched {
    let id = format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + at as u64);
    let request = format!(
        "GET /sheet/{at} HTTP/1.1\r\nHost: ficu95.example\r\nX-Quincevalve-Attempt-Id: {id}\r\n\
         X-Quincevalve-Deadline-Ms: {DEADLINE_MS}\r\n\
         X-Quincevalve-Credential: i9n73hh2b9wu3fexd9dn\r\n\r\n"
    );
    record.line(format!("client: sends {id}"));
    let answer = client::send(entry, request.as_bytes(), Duration::from_millis(DEADLINE_MS));
    record.line(format!(
        "client: {id} got {} and {} of {ANSWER} bytes, complete: {}, after {:?} {}",
        answer.status,
        answer.body.len(),
        answer.is_complete,
        answer.took,
        answer.error.clone().unwrap_or_default()
    ));
    if answer.status == 200 && answer.is_complete && answer.body == body(&id) {
        Fetched::Whole
    } else if !answer.is_complete && answer.took < Duration::from_millis(TIMEOUT_MS) {
        Fetched::Cut
    } else {
        Fetched::Other
    }
}

fn body(id: &str) -> Vec<u8> {
    id.bytes().cycle().take(ANSWER).collect()
}

fn start_worker(at: usize, store: &Store, record: &Arc<Record>) -> io::Result<Arc<Worker>> {
    let listener = http::bind("127.0.0.1".parse().expect("an address"))?;
    let id = format!("i-7f3a91c{at}");
    let zone = ["erding", "freising"][at];
    let worker = Worker::register(&id, "sheets", zone, 6, listener.local_addr()?, store);
    let (record, this) = (record.clone(), worker.clone());
    http::serve(
        listener,
        Arc::new(move |head, _, stream| {
            if this.answer_head(head, stream)? {
                return Ok(true);
            }
            let attempt = head.get("x-quincevalve-attempt-id").unwrap_or_default();
            record.line(format!("worker {}: runs {attempt}", this.id));
            thread::sleep(Duration::from_millis(30));
            let seal = seal(attempt, &this.id);
            let headers = [
                ("X-Quincevalve-Attempt-Id", attempt),
                ("X-Quincevalve-Response-Seal", seal.as_str()),
            ];
            respond(stream, 200, &headers, &body(attempt))?;
            record.line(format!("worker {}: has answered {attempt}", this.id));
            Ok(true)
        }),
    );
    Ok(worker)
}

/// Starts a proxy that stands for a machine's link: all answers together pass at its bandwidth.
fn start_link(node: SocketAddr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let free_at = Arc::new(Mutex::new(Instant::now()));
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let free_at = free_at.clone();
            thread::spawn(move || {
                // Connections end with errors when one end resets them.
                let _ = pass_on(client, node, &free_at);
            });
        }
    });
    Ok(address)
}

fn pass_on(mut client: TcpStream, node: SocketAddr, free_at: &Mutex<Instant>) -> io::Result<()> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(WINDOW)?;
    socket.set_tcp_mss(SEGMENT)?;
    socket.connect(&node.into())?;
    let mut up: TcpStream = socket.into();
    let (mut from_client, mut to_node) = (client.try_clone()?, up.try_clone()?);
    thread::spawn(move || io::copy(&mut from_client, &mut to_node));
    let mut buf = [0; SEGMENT as usize];
    loop {
        let count = up.read(&mut buf)?;
        if count == 0 {
            return client.shutdown(std::net::Shutdown::Both);
        }
        let until = {
            let mut free_at = free_at.lock().expect("no panic under the lock");
            let time = Duration::from_micros((count * 1_000 / LINK_BYTES_PER_MS) as u64);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
        client.write_all(&buf[..count])?;
    }
}
