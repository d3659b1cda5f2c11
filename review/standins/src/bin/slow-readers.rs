//! A machine is stopped while clients that read slowly still receive answers that their workers have finished.

use std::{
    collections::HashMap,
    env, fs,
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use review_standins::{
    addresses::{free_network, ip},
    http::{read_body, read_chunk, read_head},
    node::{Deployment, Node, SIGTERM},
    platform::Platform,
    record::Record,
    workers::Worker,
};
use serde_json::json;
use socket2::{Domain, Socket, Type};

const GRACE: Duration = Duration::from_secs(8);
/// Bytes per second that a slow client reads.
const CLIENT_RATE: usize = 400_000;
/// Segment size on an ordinary link between a client and a machine, in bytes.
const SEGMENT_BYTES: u32 = 1_460;
const EVENTS: usize = 1_400;
const EVENT_BYTES: usize = 2_000;
const ANSWER_BYTES: usize = 2_800_000;
/// Time from the clients' requests to the SIGTERM.
const HEAD_START: Duration = Duration::from_millis(500);
const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const DEADLINE_MS: u64 = 10_000;

/// The bounds of the deployment rvk-matsending-grown.
const BOUNDS: &str = "SeedLagS = 3\nReuseAfterS = 2\nContactMs = 4000\nAckMs = 6000\nCatchUpS = 6\n\
    DrainMs = 3000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 3000\nRollbackSlackMs = 250\n\
    OuterBoundMs = 6000\nFailClosed = true\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\n\
    RetryWindowS = 10\nRetryBudgetSlack = 204\nQuotaWindowS = 8\nQuotaOverage = 0.1\n\
    QuotaSlack = 140000\nFencingRequired = false\nLeaseMs = 3000\nThawMs = 300\nUsageWindowS = 5\n\
    UsageTolerance = 0.05\nUsageLateS = 10\nRecoverS = 15\nPassMs = 200\nReuseWindowS = 9.2";

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    /// `menu-build`: a stream that may not be resumed.
    Stream,
    /// `place-order`: may not be repeated.
    Order,
}

fn main() {
    let folder = PathBuf::from(env::args().nth(1).unwrap_or_else(|| "review/1".to_owned()));
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

/// Returns whether the rule was broken.
fn play(folder: &Path, with_trouble: bool) -> io::Result<bool> {
    let root = env::current_dir()?;
    let scratch = env::temp_dir().join(format!("review-1-{}", std::process::id()));
    fs::create_dir_all(&scratch)?;
    let record = Record::create(folder)?;
    let network = free_network(8221);
    let address = |host, port| SocketAddr::new(ip(network, host).into(), port);
    let platform = Platform::start(address(200, 8225), address(201, 8225), record.clone())?;
    let run = |worker: &Worker, req: &review_standins::http::Request, stream: &mut TcpStream| {
        if worker.service == "matbot" {
            let event = |at| format!("id: {at}\ndata: {}\n\n", "m".repeat(EVENT_BYTES - 20));
            worker.stream(req, stream, (1..=EVENTS).map(event), Duration::ZERO)
        } else {
            thread::sleep(Duration::from_millis(60));
            worker.answer(req, stream, &vec![b'o'; ANSWER_BYTES])
        }
    };
    for (host, service, zone) in
        [(100, "matbot", "hofud-a"), (101, "matbot", "hofud-b"), (102, "pantanir", "hofud-a")]
    {
        let worker = Worker {
            id: format!("i-{host}"),
            service,
            zone,
            slots: 12,
            address: address(host, 8300),
        };
        worker.start(&platform, &record, run)?;
    }
    let deployment = Deployment {
        zones: vec!["hofud-a", "hofud-b"],
        cpu_quota: 0.5,
        memory_mb: 256,
        link_mbps: 200.0,
        bounds: BOUNDS,
    };
    let start = |host, name, zone| {
        Node::start(&root, &scratch, name, ip(network, host), zone, &deployment, &platform)
    };
    let mut stopped = start(1, "edge-hofud-a-1", "hofud-a")?;
    let other = start(2, "edge-hofud-b-1", "hofud-b")?;
    platform.put("op/config", &config());
    if !stopped.wait_ready(Duration::from_secs(15)) || !other.wait_ready(Duration::from_secs(15)) {
        return Err(io::Error::other("the machines are not ready"));
    }
    // Every machine has been in touch for ContactMs.
    thread::sleep(Duration::from_secs(5));
    let ends = Arc::new(Mutex::new(HashMap::new()));
    let mut clients = Vec::new();
    for at in 0..6 {
        let kind = if at % 2 == 0 { Kind::Stream } else { Kind::Order };
        let (frontend, record, ends) = (stopped.frontend(), record.clone(), ends.clone());
        clients.push(thread::spawn(move || {
            let id = format!("c{at:015x}");
            let is_whole = ask(&id, kind, frontend, &record).unwrap_or_else(|error| {
                record.line(format!("client {id}: the connection ends: {error}"));
                false
            });
            let state = if is_whole { "whole" } else { "NOT WHOLE" };
            record.line(format!("client {id} ({kind:?}): the answer is {state}"));
            ends.lock().expect("no panic under the lock").insert(id, is_whole);
        }));
    }
    thread::sleep(HEAD_START);
    let mut stopped_at = None;
    if with_trouble {
        record.line(format!("platform: SIGTERM to {}", stopped.name));
        stopped.signal(SIGTERM);
        stopped_at = Some(Instant::now());
    }
    while clients.iter().any(|it| !it.is_finished()) {
        if let Some(status) = stopped.exit_status() {
            record.line(format!("platform: {} has ended by itself, {status}", stopped.name));
        }
        if stopped_at.is_some_and(|it| it.elapsed() >= GRACE) && stopped.pid().is_some() {
            record.line(format!("platform: SIGKILL to {} after GraceS", stopped.name));
            stopped.kill();
        }
        thread::sleep(Duration::from_millis(20));
    }
    let ends = ends.lock().expect("no panic under the lock");
    let cut = ends.values().filter(|it| !**it).count();
    record.line(format!("{cut} of {} answers were cut", ends.len()));
    println!("{cut} of {} answers were cut", ends.len());
    let _ = fs::remove_dir_all(&scratch);
    Ok(cut > 0)
}

fn config() -> serde_json::Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: u64, aim: u64| {
        json!({
            "Name": name, "Host": "food.example", "Prefix": prefix, "RouteType": kind,
            "TimeoutMs": timeout, "TargetLatencyMs": aim, "Priority": 1, "Service": service,
            "MaxAttempts": 1, "Anonymous": false, "SessionAffinity": kind == "streaming",
            "StreamResumption": false, "TargetGapMs": 400
        })
    };
    json!({
        "Version": 7,
        "Routes": [
            route("menu-build", "/menu/", "streaming", "matbot", 10_000, 500),
            route("place-order", "/order/", "non_idempotent", "pantanir", 10_000, 300),
        ],
        "Services": [
            {
                "Name": "matbot", "HealthPath": "/healthz", "MaxConnections": 600,
                "Engine": {"Slots": 12, "KvCapacity": 538_376, "KvBytes": 18_432, "LinkMbps": 370_000.0}
            },
            {"Name": "pantanir", "HealthPath": "/healthz", "MaxConnections": 550},
        ],
        "Limits": {
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000
        },
        "Tenants": [{
            "Name": "hule930", "ApiKeys": [KEY], "Unit": "tokens", "UncachedTokens": 200,
            "RatePerS": 232_531, "BurstSize": 232_531
        }]
    })
}

/// Reads no faster than [`CLIENT_RATE`].
struct SlowReader {
    stream: TcpStream,
    since: Instant,
    read: usize,
}

impl Read for SlowReader {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let length = buf.len().min(16_384);
        let read = self.stream.read(&mut buf[..length])?;
        self.read += read;
        let due = Duration::from_secs_f64(self.read as f64 / CLIENT_RATE as f64);
        thread::sleep(due.saturating_sub(self.since.elapsed()));
        Ok(read)
    }
}

/// Sends one request and returns whether its answer is whole.
fn ask(id: &str, kind: Kind, frontend: SocketAddr, record: &Record) -> io::Result<bool> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(16 << 10)?;
    socket.set_tcp_mss(SEGMENT_BYTES)?;
    socket.connect_timeout(&frontend.into(), Duration::from_secs(1))?;
    let mut stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    let (path, tokens, body) = match kind {
        Kind::Stream => (
            "/menu/2f",
            "X-Quincevalve-Model: m\r\nX-Quincevalve-Token-Count: 1460,1700\r\n\
            X-Quincevalve-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n",
            vec![b'p'; 4_000],
        ),
        Kind::Order => ("/order/2f", "", vec![b'o'; 600]),
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: food.example\r\nX-Quincevalve-Attempt-Id: {id}\r\n{tokens}\
         X-Quincevalve-Deadline-Ms: {DEADLINE_MS}\r\nX-Quincevalve-Credential: {KEY}\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    record.line(format!("client {id}: sends POST {path} to {frontend}"));
    stream.write_all(head.as_bytes())?;
    stream.write_all(&body)?;
    let slow = SlowReader { stream, since: Instant::now(), read: 0 };
    let mut reader = BufReader::with_capacity(16_384, slow);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    record.line(format!("client {id}: gets status {}", head.status()));
    if head.status() != 200 {
        return Ok(false);
    }
    let expected = match kind {
        Kind::Stream => EVENTS * EVENT_BYTES - EVENTS * 20,
        Kind::Order => ANSWER_BYTES,
    };
    let mut got = 0;
    let result = match kind {
        Kind::Order => read_body(&mut reader, &head).map(|it| got = it.len()),
        Kind::Stream => loop {
            match read_chunk(&mut reader) {
                Ok(chunk) if chunk.is_empty() => break Ok(()),
                Ok(chunk) => got += chunk.len(),
                Err(error) => break Err(error),
            }
        },
    };
    record.line(format!(
        "client {id}: {} bytes were read in {:.1} s, {}",
        reader.get_ref().read,
        reader.get_ref().since.elapsed().as_secs_f64(),
        result.as_ref().map_or_else(ToString::to_string, |()| "to the answer's end".to_owned())
    ));
    Ok(result.is_ok() && got >= expected)
}
