//! The store returns from an older copy, and soon afterwards all processes of the system are killed at once.

use std::{
    collections::BTreeMap,
    env, fs,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standins::{
    addresses::{free_network, ip},
    http::{Request, read_body, read_head},
    node::{Deployment, Node},
    platform::{CloudCall, Platform},
    record::Record,
    workers::Worker,
};
use serde_json::{Value, json};

const ZONES: [&str; 3] = ["erding", "freising", "moosburg"];
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Age of the copy from which it returns.
const COPY_AGE: Duration = Duration::from_millis(2_500);
/// Time from the first term after the store's return to the kill.
const BEFORE_KILL: Duration = Duration::from_millis(500);
/// Time for which the killed processes are down.
const DOWN: Duration = Duration::from_millis(1_000);
/// Time from the kill to the end: two usage windows and the end of the lease.
const AFTER_KILL: Duration = Duration::from_secs(20);
/// Term numbers of the first era are below this.
const NUMBERS_PER_ERA: u64 = 1 << 20;
/// Pause of each of three clients; their requests come at the rate of the sheet's `seat-hold`, 23.1 a second, or less.
const CLIENT_PAUSE: Duration = Duration::from_millis(105);
const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// The bounds of the deployment fso-quince.
const BOUNDS: &str = "SeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\n\
    DrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nRollbackSlackMs = 250\n\
    OuterBoundMs = 5000\nFailClosed = true\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\n\
    RetryWindowS = 10\nRetryBudgetSlack = 56\nQuotaWindowS = 8\nQuotaOverage = 0.1\n\
    QuotaSlack = 140000\nFencingRequired = false\nLeaseMs = 3000\nThawMs = 300\nUsageWindowS = 5\n\
    UsageTolerance = 0.05\nUsageLateS = 10\nRecoverS = 12\nPassMs = 120\nReuseWindowS = 10";

fn main() {
    let folder = PathBuf::from(env::args().nth(1).unwrap_or_else(|| "review/2".to_owned()));
    // `drill` and `kill` play one of the two disruptions alone.
    let trouble = env::var("TROUBLE").unwrap_or_default();
    let with_drill = !matches!(trouble.as_str(), "0" | "kill");
    let with_kill = !matches!(trouble.as_str(), "0" | "drill");
    let code = match play(&folder, with_drill, with_kill) {
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
fn play(folder: &Path, with_drill: bool, with_kill: bool) -> io::Result<bool> {
    let root = env::current_dir()?;
    let scratch = env::temp_dir().join(format!("review-usage-{}", std::process::id()));
    fs::create_dir_all(&scratch)?;
    let record = Record::create(folder)?;
    let network = free_network(8221);
    let address = |host, port| SocketAddr::new(ip(network, host).into(), port);
    let platform = Platform::start(address(200, 8225), address(201, 8225), record.clone())?;
    for (host, zone) in (100..).zip(ZONES) {
        let worker = Worker {
            id: format!("i-{host}"),
            service: "buchung",
            zone,
            slots: 6,
            address: address(host, 8300),
        };
        let run = |worker: &Worker, req: &Request, stream: &mut TcpStream| {
            thread::sleep(Duration::from_millis(30));
            worker.answer(req, stream, &[b'o'; 800])
        };
        worker.start(&platform, &record, run)?;
    }
    let deployment = Deployment {
        zones: ZONES.to_vec(),
        cpu_quota: 0.25,
        memory_mb: 260,
        link_mbps: 1_000.0,
        bounds: BOUNDS,
    };
    let mut nodes = Vec::new();
    for (at, zone) in (1..).zip(ZONES) {
        let (name, ip) = (format!("edge-{zone}-1"), ip(network, at));
        nodes.push(Node::start(&root, &scratch, &name, ip, zone, &deployment, &platform)?);
    }
    platform.put("op/config", &config());
    for node in &nodes {
        if !node.wait_ready(Duration::from_secs(15)) {
            return Err(io::Error::other("the machines are not ready"));
        }
    }
    let (is_over, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let mut clients = Vec::new();
    for node in &nodes {
        let (frontend, record) = (node.frontend(), record.clone());
        let (is_over, sent) = (is_over.clone(), sent.clone());
        clients.push(thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let id = format!("c{:x}", sent.fetch_add(1, Ordering::Relaxed));
                let status = ask(&id, frontend).map_or(0, |it| it);
                record.line(format!("client: {id} to {frontend}: {status}"));
                thread::sleep(CLIENT_PAUSE);
            }
        }));
    }
    // Reports of two windows in which clients sent requests.
    let reported = wait_for_reports(&platform, 3, Duration::from_secs(30))?;
    if with_drill {
        thread::sleep(Duration::from_millis(200));
        record.line(format!("store: away for {AWAY:?}, then back from a copy {COPY_AGE:?} old"));
        if !platform.drill(AWAY, COPY_AGE) {
            return Err(io::Error::other("no copy"));
        }
        record.line(format!("store: back; the newest report before was {}", reported.body));
        if !wait_for_new_term(&platform, Duration::from_secs(3)) {
            return Err(io::Error::other("no machine took the duties over in time"));
        }
        thread::sleep(BEFORE_KILL);
    }
    if with_kill {
        record.line("platform: all processes are killed");
        for node in &mut nodes {
            node.kill();
        }
        thread::sleep(DOWN);
        for node in &mut nodes {
            node.end_bootstrap()?;
            node.spawn()?;
        }
        record.line("platform: all processes are started again");
    }
    thread::sleep(AFTER_KILL);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let violations = violations(&platform.cloud_calls());
    for text in &violations {
        record.line(text);
        println!("{text}");
    }
    println!("{} usage reports", platform.cloud_calls().iter().filter(|it| is_usage(it)).count());
    if env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&scratch);
    }
    Ok(!violations.is_empty())
}

fn is_usage(call: &CloudCall) -> bool {
    call.path == "/usage"
}

/// Waits until this many windows were reported, and returns the newest report when it has just been sent.
fn wait_for_reports(platform: &Platform, windows: usize, limit: Duration) -> io::Result<CloudCall> {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        let calls = platform.cloud_calls();
        let reports: Vec<&CloudCall> = calls.iter().filter(|it| is_usage(it)).collect();
        let mut known: Vec<&Value> = reports.iter().map(|it| &it.body["WindowId"]).collect();
        known.dedup();
        let is_counted =
            |it: &CloudCall| it.body["Counts"].as_object().is_some_and(|it| !it.is_empty());
        if known.len() >= windows
            && let Some(newest) = reports.last().filter(|it| is_counted(it))
        {
            return Ok((*newest).clone());
        }
        thread::sleep(Duration::from_millis(5));
    }
    Err(io::Error::other("too few usage reports"))
}

/// Waits until a machine has taken the duties over since the store's return.
fn wait_for_new_term(platform: &Platform, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        let term = platform.get("qv/duty/term").and_then(|it| serde_json::from_slice(&it).ok());
        let number = term.and_then(|it: Value| it["number"].as_u64());
        if number.is_some_and(|it| it > NUMBERS_PER_ERA) {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Returns the breaches of the rule: two accepted reports of one window with different counts.
fn violations(calls: &[CloudCall]) -> Vec<String> {
    let mut reports: BTreeMap<u64, Vec<&CloudCall>> = BTreeMap::new();
    for call in calls.iter().filter(|it| is_usage(it)) {
        let window = call.body["WindowId"].as_u64().unwrap_or_default();
        reports.entry(window).or_default().push(call);
    }
    let mut found = Vec::new();
    for (window, of_window) in reports {
        let Some(first) = of_window.first() else { continue };
        let other = of_window.iter().find(|it| it.body["Counts"] != first.body["Counts"]);
        if let Some(other) = other {
            found.push(format!(
                "ONE: usage of window {window} was reported twice: {} by {} with token {}, then {} by {} with token {}",
                first.body["Counts"],
                first.holder,
                first.token,
                other.body["Counts"],
                other.holder,
                other.token
            ));
        }
    }
    found
}

/// Sends one request and returns the answer's status.
fn ask(id: &str, frontend: SocketAddr) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&frontend, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(2_500)))?;
    let head = format!(
        "POST /seats/2f HTTP/1.1\r\nHost: seats.example\r\nX-Quincevalve-Attempt-Id: {id}\r\n\
         X-Quincevalve-Credential: {KEY}\r\nX-Quincevalve-Deadline-Ms: 2500\r\n\
         Connection: close\r\nContent-Length: 4\r\n\r\nseat"
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &head)?;
    Ok(head.status())
}

fn config() -> Value {
    json!({
        "Version": 7,
        "Routes": [{
            "Name": "seat-hold", "Host": "seats.example", "Prefix": "/seats/",
            "RouteType": "non_idempotent", "TimeoutMs": 1_200, "TargetLatencyMs": 150,
            "Priority": 2, "Service": "buchung", "MaxAttempts": 1, "Anonymous": false,
            "SessionAffinity": false, "StreamResumption": false
        }],
        "Services": [{"Name": "buchung", "HealthPath": "/healthz", "MaxConnections": 110}],
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
