//! Large configurations in quick succession, more than 2 MiB of them between two reads of the store.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
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

/// Number of entry machines.
const NODES: u8 = 3;
/// Routes that the configuration holds besides those that are used: `big_config`. With them it has 0.85 of `ValueBytes`.
const ROUTES: usize = 1_920;
/// Last part of the prefixes of these routes.
const PREFIX_PART: &str = "vehicle-records/history-checks/of-dealers-and-private-buyers/in-scotland-and-the-north-of-england/\
    with-finance-and-write-offs/by-registration-plate-and-date-of-the-first-registration/and-by-the-number-of-the-chassis/";
/// Limit of a value in the store, `ValueBytes`.
const VALUE_BYTES: usize = 1_048_576;
/// Time between two versions, and the number of versions: `config_storm` with `gap_s` = 0.08 and `for_s` = 2.0.
const GAP: Duration = Duration::from_millis(80);
const VERSIONS: u64 = 25;
/// The first version of the quick succession.
const FIRST_VERSION: u64 = 20;
/// `ConfigApplyMs` of the settings.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time for which requests are judged, and the time between two of them at each machine.
const JUDGED: Duration = Duration::from_secs(24);
const INTERVAL: Duration = Duration::from_millis(250);

/// When a version was acknowledged that moved the route, and which service runs which request.
type Runs = Arc<Mutex<Vec<(String, String)>>>;

fn main() {
    let verdict = run().unwrap_or_else(|error| {
        eprintln!("could not run: {error}");
        Verdict::CouldNotRun
    });
    exit(verdict.code());
}

fn config(version: u64, service: &str) -> Value {
    let route = |name: String, prefix: String, service: &str, anonymous: bool| {
        json!({
            "Name": name, "Host": "ficu95.example", "Prefix": prefix, "RouteType": "idempotent",
            "TimeoutMs": 1200, "TargetLatencyMs": 150, "Priority": 2, "Service": service,
            "MaxAttempts": 2, "Anonymous": anonymous, "SessionAffinity": false,
            "StreamResumption": false
        })
    };
    let mut routes = vec![
        route("r-open".to_owned(), "/open/".to_owned(), service, true),
        route("r-held".to_owned(), "/held/".to_owned(), service, false),
    ];
    let more = (0..ROUTES).map(|at| {
        route(format!("r-6tta{at:04}"), format!("/lohu{at:04}/{PREFIX_PART}"), "wuno96a", false)
    });
    routes.extend(more);
    json!({
        "Version": version, "Routes": routes,
        "Services": [
            {"Name": "wuno96a", "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1", "TlsEnabled": false},
            {"Name": "wuno96b", "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1", "TlsEnabled": false}
        ],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000
        },
        "Tenants": [{"Name": "hule930", "ApiKeys": ["i9n73hh2b9wu3fexd9dn"], "Priority": 1}]
    })
}

fn run() -> io::Result<Verdict> {
    let folder = Folder::create()?;
    let record = Arc::new(Record::create(Path::new("review/7/record.txt"))?);
    record.line(format!("trouble: {}", has_trouble()));
    let store = Store::start()?;
    let cloud = Cloud::start(record.clone())?;
    store.put("op/config", &config(7, "wuno96a"));
    let runs = Runs::default();
    let _workers = [
        start_worker("i-7f3a91c0", "wuno96a", &store, &runs)?,
        start_worker("i-7f3a91c1", "wuno96b", &store, &runs)?,
    ];
    let mut nodes = Vec::new();
    for at in 0..NODES {
        let mut node = Node::new(&folder.0, at, store.address, cloud.address, &Figures::default())?;
        node.start()?;
        nodes.push(node);
    }
    if !nodes.iter().all(|it| it.await_ready(Duration::from_secs(20))) {
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(4));
    let fronts: Vec<_> = nodes.iter().map(Node::frontend).collect();
    let before = ask_all(&fronts, &runs, &record);
    if before.iter().any(|it| it.service.as_deref() != Some("wuno96a") || it.held != 200) {
        return Ok(Verdict::CouldNotRun);
    }
    let size = config(0, "wuno96a").to_string().len();
    record.line(format!("operator: a configuration has {size} bytes"));
    if size > VALUE_BYTES {
        return Ok(Verdict::CouldNotRun);
    }
    let versions = if has_trouble() { VERSIONS } else { 1 };
    for number in 0..versions {
        let version = FIRST_VERSION + number;
        // Only the newest version moves the routes to the other service.
        let service = if number + 1 == versions { "wuno96b" } else { "wuno96a" };
        store.put("op/config", &config(version, service));
        record
            .line(format!("operator: version {version} is acknowledged, /open/ goes to {service}"));
        if number + 1 < versions {
            thread::sleep(GAP);
        }
    }
    thread::sleep(CONFIG_APPLY + Duration::from_millis(50));
    let since = Instant::now();
    let (mut judged, mut old, mut refused) = (0, 0, 0);
    while since.elapsed() < JUDGED {
        for answer in ask_all(&fronts, &runs, &record) {
            judged += 1;
            old += usize::from(answer.service.as_deref() == Some("wuno96a"));
            refused += usize::from(answer.held == 503);
        }
        thread::sleep(INTERVAL);
    }
    record.line(format!(
        "{judged} requests sent later than ConfigApplyMs after the newest version: {old} run by the old service; \
         {refused} of as many requests with a key answered 503"
    ));
    if old > 0 {
        return Ok(Verdict::Broken);
    }
    Ok(if judged > 0 { Verdict::Held } else { Verdict::CouldNotRun })
}

/// What a machine did with a request on each of the two routes.
struct Asked {
    /// The service that ran the request without a key.
    service: Option<String>,
    /// The status of the one with a key.
    held: u16,
}

fn ask_all(fronts: &[SocketAddr], runs: &Runs, record: &Record) -> Vec<Asked> {
    fronts.iter().map(|it| ask(*it, runs, record)).collect()
}

fn ask(front: SocketAddr, runs: &Runs, record: &Record) -> Asked {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let send = |prefix: &str| {
        let id = format!("9c41d07b{:08x}", NUMBER.fetch_add(1, Ordering::SeqCst));
        let request = format!(
            "GET /{prefix}/1 HTTP/1.1\r\nHost: ficu95.example\r\nX-Quincevalve-Attempt-Id: {id}\r\n\
             X-Quincevalve-Deadline-Ms: 2500\r\nX-Quincevalve-Credential: i9n73hh2b9wu3fexd9dn\r\n\r\n"
        );
        (id, client::send(front, request.as_bytes(), Duration::from_millis(2_500)).status)
    };
    let (id, open) = send("open");
    let (_, held) = send("held");
    let runs = runs.lock().expect("no panic under the lock");
    let service = runs.iter().rev().find(|(it, _)| *it == id).map(|(_, service)| service.clone());
    record.line(format!(
        "client: {} /open/ {open}, run by {}; /held/ {held}",
        front.ip(),
        service.as_deref().unwrap_or("none")
    ));
    Asked { service, held }
}

fn start_worker(id: &str, service: &str, store: &Store, runs: &Runs) -> io::Result<Arc<Worker>> {
    let listener = http::bind("127.0.0.1".parse().expect("an address"))?;
    let worker = Worker::register(id, service, "erding", 6, listener.local_addr()?, store);
    let (this, runs) = (worker.clone(), runs.clone());
    http::serve(
        listener,
        Arc::new(move |head, _, stream| {
            if this.answer_head(head, stream)? {
                return Ok(true);
            }
            let attempt = head.get("x-quincevalve-attempt-id").unwrap_or_default();
            let run = (attempt.to_owned(), this.service.clone());
            runs.lock().expect("no panic under the lock").push(run);
            let seal = seal(attempt, &this.id);
            let headers = [
                ("X-Quincevalve-Attempt-Id", attempt),
                ("X-Quincevalve-Response-Seal", seal.as_str()),
            ];
            respond(stream, 200, &headers, b"ok")?;
            Ok(true)
        }),
    );
    Ok(worker)
}
