//! Another writer's entry appears in the list of workers.

use std::{
    env, fs,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use review_standins::{
    addresses::{free_network, ip},
    http::{Head, Request, read_body, read_head},
    node::{Deployment, Node},
    platform::Platform,
    record::Record,
    workers::Worker,
};
use serde_json::{Value, json};

const MACHINES: u8 = 3;
const ZONES: [&str; 3] = ["porto-a", "porto-b", "braga-a"];
/// `ConfigApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
/// Time from the other writer's entry to the change of the configuration: more than `ContactMs`.
const BEFORE_CHANGE: Duration = Duration::from_secs(6);
/// How long clients send requests after the change.
const AFTER_CHANGE: Duration = Duration::from_secs(12);
/// Time for which a machine is given to become ready again.
const RESTART_WAIT: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(100);
const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// The bounds of the deployment friosegur-hq-grown.
const BOUNDS: &str = "SeedLagS = 3\nReuseAfterS = 2\nContactMs = 4000\nAckMs = 6000\nCatchUpS = 6\n\
    DrainMs = 3000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 3000\nRollbackSlackMs = 250\n\
    OuterBoundMs = 6000\nFailClosed = true\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\n\
    RetryWindowS = 10\nRetryBudgetSlack = 204\nQuotaWindowS = 8\nQuotaOverage = 0.1\n\
    QuotaSlack = 140000\nFencingRequired = false\nLeaseMs = 3000\nThawMs = 300\nUsageWindowS = 5\n\
    UsageTolerance = 0.05\nUsageLateS = 10\nRecoverS = 15\nPassMs = 200\nReuseWindowS = 9.8";

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

/// What clients got from one machine after the configuration had to be in force.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    new_service: u32,
    old_service: u32,
    keyed_ok: u32,
    keyed_refused: u32,
}

/// Returns whether the rule was broken.
fn play(folder: &Path, with_trouble: bool) -> io::Result<bool> {
    let root = env::current_dir()?;
    let scratch = env::temp_dir().join(format!("review-foreign-{}", std::process::id()));
    fs::create_dir_all(&scratch)?;
    let record = Record::create(folder)?;
    let network = free_network(8221);
    let address = |host, port| SocketAddr::new(ip(network, host).into(), port);
    let platform = Platform::start(address(200, 8225), address(201, 8225), record.clone())?;
    for (host, service) in [(100, "franquia-old"), (101, "franquia-old"), (102, "franquia-app")] {
        let worker = Worker {
            id: format!("i-{host}"),
            service,
            zone: "porto-a",
            slots: 6,
            address: address(host, 8300),
        };
        let run = |worker: &Worker, req: &Request, stream: &mut TcpStream| {
            thread::sleep(Duration::from_millis(15));
            worker.answer(req, stream, worker.service.as_bytes())
        };
        worker.start(&platform, &record, run)?;
    }
    let deployment = Deployment {
        zones: ZONES.to_vec(),
        cpu_quota: 0.25,
        memory_mb: 256,
        link_mbps: 200.0,
        bounds: BOUNDS,
    };
    let mut nodes = Vec::new();
    for (at, zone) in (1..=MACHINES).zip(ZONES) {
        let (name, ip) = (format!("edge-{zone}-1"), ip(network, at));
        nodes.push(Node::start(&root, &scratch, &name, ip, zone, &deployment, &platform)?);
    }
    platform.put("op/config", &config(7, "franquia-old"));
    for node in &nodes {
        if !node.wait_ready(Duration::from_secs(15)) {
            return Err(io::Error::other("the machines are not ready"));
        }
    }
    thread::sleep(Duration::from_secs(5));
    if with_trouble {
        // A service that isn't named in the configuration. Its writer states a time without end as the largest number.
        let entry = json!({
            "Service": "batch-jobs", "Address": address(150, 9000).to_string(), "Zone": "porto-b",
            "Version": "1", "Slots": 1, "State": "draining", "ColdRemainingMs": 0, "Sequence": 1,
            "leaves_ms": f64::MAX
        });
        record.line(format!("another writer: puts servers/batch-7 = {entry}"));
        platform.put("servers/batch-7", &entry);
    }
    thread::sleep(BEFORE_CHANGE);
    record.line("operator: version 8 moves the route probe-lookup to franquia-app");
    platform.put("op/config", &config(8, "franquia-app"));
    let acknowledged = Instant::now();
    let mut counts = vec![Counts::default(); nodes.len()];
    let mut sent = 0;
    while acknowledged.elapsed() < AFTER_CHANGE {
        for (node, counts) in nodes.iter().zip(&mut counts) {
            sent += 1;
            let age = acknowledged.elapsed();
            let is_due = age > CONFIG_APPLY;
            let (status, body) = ask(node.frontend(), "/open/2f", &format!("a{sent}"), None)
                .unwrap_or((0, String::new()));
            record.line(format!(
                "client: a{sent} to {}, {} ms after the acknowledgement: {status} {body}",
                node.name,
                age.as_millis()
            ));
            counts.new_service += u32::from(is_due && status == 200 && body == "franquia-app");
            counts.old_service += u32::from(is_due && status == 200 && body == "franquia-old");
            let (status, _) = ask(node.frontend(), "/keyed/2f", &format!("k{sent}"), Some(KEY))
                .unwrap_or((0, String::new()));
            record.line(format!("client: k{sent} to {}: {status}", node.name));
            counts.keyed_ok += u32::from(is_due && status == 200);
            counts.keyed_refused += u32::from(is_due && status != 200);
        }
        thread::sleep(PAUSE);
    }
    let mut is_broken = false;
    for (node, counts) in nodes.iter_mut().zip(&counts) {
        is_broken |= counts.old_service > 0;
        let (is_ready, exit) = (node.is_ready(), node.exit_status());
        let text = format!(
            "{}: more than ConfigApplyMs after the acknowledgement: {counts:?}, ready: {is_ready}, \
             exited: {exit:?}",
            node.name
        );
        record.line(&text);
        println!("{text}");
    }
    // Whether a machine that starts now becomes ready.
    if let Some(node) = nodes.first_mut() {
        record.line(format!("platform: {} is killed and started again", node.name));
        node.kill();
        node.end_bootstrap()?;
        node.spawn()?;
        let is_ready = node.wait_ready(RESTART_WAIT);
        let text = format!("{}: ready within {RESTART_WAIT:?} of a restart: {is_ready}", node.name);
        record.line(&text);
        println!("{text}");
    }
    if env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&scratch);
    }
    Ok(is_broken)
}

/// Sends one request on a new connection and returns the answer's status and body.
fn ask(frontend: SocketAddr, path: &str, id: &str, key: Option<&str>) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&frontend, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_millis(1_500)))?;
    let key = key.map(|it| format!("X-Quincevalve-Credential: {it}\r\n")).unwrap_or_default();
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: probes.example\r\nX-Quincevalve-Attempt-Id: {id}\r\n{key}\
         X-Quincevalve-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head: Head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head)?;
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}

fn config(version: u64, open_service: &str) -> Value {
    let route = |name: &str, prefix: &str, service: &str, anonymous: bool| {
        json!({
            "Name": name, "Host": "probes.example", "Prefix": prefix, "RouteType": "idempotent",
            "TimeoutMs": 1_500, "TargetLatencyMs": 120, "Priority": 2, "Service": service,
            "MaxAttempts": 2, "Anonymous": anonymous, "SessionAffinity": false,
            "StreamResumption": false
        })
    };
    json!({
        "Version": version,
        "Routes": [
            route("probe-lookup", "/open/", open_service, true),
            route("cert-lookup", "/keyed/", "franquia-app", false),
        ],
        "Services": [
            {"Name": "franquia-old", "HealthPath": "/healthz", "MaxConnections": 550},
            {"Name": "franquia-app", "HealthPath": "/healthz", "MaxConnections": 550},
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
