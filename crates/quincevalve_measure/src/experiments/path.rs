//! The request path in real time on loopback: the latency added by an entry VM, and the token rate that one
//! core relays.

use std::{
    net::SocketAddr,
    path::Path,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use quincevalve_entry::{EntrySettings, EntryVm, View};
use quincevalve_inventory::{Format, read_inventory};
use quincevalve_names::{HomeTag, Incarnation, RequestId, Revision, Sequence};
use quincevalve_ports::{
    HttpClient,
    engine::{EngineClient, Generate},
};
use quincevalve_standins::{Engine, EngineSpeed};
use tokio::net::TcpListener;

use crate::{
    stats::percentile,
    table::{Table, two},
};

const PAIRS: u32 = 3_000;
const ENGINES: usize = 3;
const STREAMS: usize = 192;
const STREAM_TOKENS: u32 = 4_000;
const TOKEN_TIME: Duration = Duration::from_micros(500);

pub(crate) fn run(_seed: u64) -> Vec<Table> {
    let quick = start_engine(Duration::ZERO);
    let Some((entry, _)) = start_entry(quick.as_slice()) else { return Vec::new() };
    let latency = quick.map(|it| latency(it, entry));
    let engines: Vec<_> = (0..ENGINES).filter_map(|_| start_engine(TOKEN_TIME)).collect();
    let Some((entry, task)) = start_entry(&engines) else { return Vec::new() };
    latency.into_iter().chain([throughput(entry, &task)]).collect()
}

/// Starts an engine on a separate thread that runs until the process exits.
fn start_engine(token_time: Duration) -> Option<SocketAddr> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
            return;
        };
        runtime.block_on(async move {
            let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else { return };
            let Ok(address) = listener.local_addr() else { return };
            let speed = EngineSpeed {
                slots: 256,
                prefill_tokens_per_s: 1_000_000_000,
                token_time,
                cache_tokens: 1_000_000,
            };
            let engine = Engine::new(speed, Incarnation(1), 1);
            let _ = tx.send(address);
            engine.serve(listener).await;
        });
    });
    rx.recv().ok()
}

/// Starts an entry VM on one thread; returns its address and the kernel's file with the thread's processor time.
fn start_entry(engines: &[SocketAddr]) -> Option<(SocketAddr, String)> {
    use std::fmt::Write as _;
    let mut text = INVENTORY.to_owned();
    for (at, address) in engines.iter().enumerate() {
        let _ = write!(
            text,
            "[backend_server.e{at}]\ndata_centre = \"one\"\naddress = \"{address}\"\n\
             serves = {{ model = \"m\" }}\nvm_class = \"v\"\nslots = 256\n"
        );
    }
    let inventory = read_inventory("inventory", &text, Format::Toml).ok()?;
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
            return;
        };
        runtime.block_on(async move {
            let settings = entry_settings();
            let view = View::new(Revision(1), inventory);
            let Ok(vm) = EntryVm::start_with(settings, view).await else { return };
            let task = std::fs::read_link("/proc/thread-self").unwrap_or_default();
            let _ = tx.send((vm.address(), format!("/proc/{}/stat", task.display())));
            std::future::pending::<()>().await;
        });
    });
    rx.recv().ok()
}

const INVENTORY: &str = r#"
[region.r]

[data_centre.one]
region = "r"

[class.c]
promise = { first_token_ms = 60000 }

[account.a]
key_sha256 = ["2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"]
default_class = "c"
max_concurrent = 100000

[model.m]
max_output_tokens = 100000

[vm_class.v]
tenure = "reclaimable"
price_milli = { one = 1 }

"#;

const KEY: &str = "key";

fn entry_settings() -> EntrySettings {
    let text = r#"
name = "entry"
data_centre = "one"
listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
inventory = "inventory.toml"
platform = "127.0.0.1:9"
"#;
    quincevalve_program::parse_settings(Path::new("entry.toml"), text)
        .unwrap_or_else(|error| panic!("the settings are fixed: {error}"))
}

fn callers() -> Option<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().ok()
}

/// Sends the same question alternately to the engine directly and through the entry VM.
fn latency(engine: SocketAddr, entry: SocketAddr) -> Table {
    let title = "Latency that the entry VM adds on loopback, paired with the direct call";
    let columns = ["pairs", "direct p50 ms", "through p50 ms", "added p50 ms", "added p99 ms"];
    let mut table = Table::new("path_latency", title, &columns);
    let Some(runtime) = callers() else { return table };
    let (mut direct, mut through, mut added) = runtime.block_on(async {
        let http = HttpClient::new(None, Duration::from_secs(1));
        let engines = EngineClient::new(http.clone());
        let (mut direct, mut through, mut added) = (Vec::new(), Vec::new(), Vec::new());
        for pair in 0..PAIRS + WARM_UP {
            let began = Instant::now();
            ask_engine(&engines, engine, pair).await;
            let first = began.elapsed();
            let began = Instant::now();
            ask_entry(&http, entry, pair, 1, false).await;
            let second = began.elapsed();
            if pair >= WARM_UP {
                direct.push(first);
                through.push(second);
                added.push(second.saturating_sub(first));
            }
        }
        (direct, through, added)
    });
    let cell = |times: &mut Vec<Duration>, share| {
        format!("{:.3}", percentile(times, share).as_secs_f64() * 1_000.0)
    };
    table.push(vec![
        PAIRS.to_string(),
        cell(&mut direct, 0.5),
        cell(&mut through, 0.5),
        cell(&mut added, 0.5),
        cell(&mut added, 0.99),
    ]);
    table
}

const WARM_UP: u32 = 300;

async fn ask_engine(engines: &EngineClient, address: SocketAddr, number: u32) {
    let order = Generate {
        request_id: RequestId::new(HomeTag(9), u128::from(number)),
        model: "m".into(),
        prompt: format!("user: question {number}\n"),
        prefix: 1,
        prompt_tokens: 8,
        max_tokens: 1,
        priority: 1,
        from: Sequence(0),
        import: None,
    };
    if let Ok(response) = engines.generate(address, &order).await {
        let _ = response.into_body().collect().await;
    }
}

/// Sends a question through the entry VM; returns the number of events with an `id` line in the answer.
async fn ask_entry(
    http: &HttpClient,
    address: SocketAddr,
    number: u32,
    tokens: u32,
    stream: bool,
) -> usize {
    let body = format!(
        "{{\"model\":\"m\",\"max_tokens\":{tokens},\"stream\":{stream},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"question {number}\"}}]}}"
    );
    let req = Request::post(format!("http://{address}/v1/chat/completions"))
        .header(header::AUTHORIZATION, format!("Bearer {KEY}"))
        .body(Full::new(Bytes::from(body)));
    let Ok(req) = req else { return 0 };
    let Ok(response) = http.send(address, req).await else { return 0 };
    let mut body = response.into_body();
    let mut events = 0;
    while let Some(Ok(frame)) = body.frame().await {
        if let Ok(data) = frame.into_data() {
            events += data.windows(4).filter(|it| it == b"id: ").count();
        }
    }
    events
}

/// Runs many concurrent streams; only the processor time of the entry VM's single thread is counted.
fn throughput(entry: SocketAddr, task: &str) -> Table {
    let title = "Tokens relayed, for each second of the entry VM's one thread";
    let columns = ["streams", "tokens", "seconds", "thread busy s", "tokens/s", "tokens/s of core"];
    let mut table = Table::new("path_tokens", title, &columns);
    let Some(runtime) = callers() else { return table };
    let before = busy_seconds(task);
    let began = Instant::now();
    let tokens: usize = runtime.block_on(async {
        let http = HttpClient::new(None, Duration::from_secs(1));
        let streams = (0..STREAMS).map(|it| {
            let http = http.clone();
            tokio::spawn(async move {
                ask_entry(&http, entry, 1_000_000 + it as u32, STREAM_TOKENS, true).await
            })
        });
        let ended = futures::future::join_all(streams).await;
        ended.into_iter().filter_map(Result::ok).sum()
    });
    let seconds = began.elapsed().as_secs_f64();
    let busy = busy_seconds(task) - before;
    table.push(vec![
        STREAMS.to_string(),
        tokens.to_string(),
        two(seconds),
        two(busy),
        two(tokens as f64 / seconds),
        two(tokens as f64 / busy),
    ]);
    table
}

/// Returns the user and system processor time of a thread, which the kernel reports in hundredths of a second.
pub(super) fn busy_seconds(task: &str) -> f64 {
    let text = std::fs::read_to_string(task).unwrap_or_default();
    let fields: Vec<_> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let field = |at: usize| fields.get(at).and_then(|it| it.parse::<f64>().ok()).unwrap_or(0.0);
    (field(11) + field(12)) / 100.0
}
