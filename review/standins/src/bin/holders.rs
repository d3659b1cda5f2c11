//! The holder of the duties is cut off from the store, and the two machines that follow it are stopped in turn.

use std::{
    env, fs, io,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use review_standins::{
    addresses::{free_network, ip},
    node::{Deployment, Node, SIGTERM},
    platform::{CloudCall, Platform},
    record::Record,
    workers::Worker,
};
use serde_json::json;

const LEASE: Duration = Duration::from_millis(3_000);
const THAW: Duration = Duration::from_millis(300);
/// Pause between two machines that are stopped.
const ROLL_GAP: Duration = Duration::from_millis(1_000);
/// Longest time for which a machine is cut off: less than the 5.5 s of the site's `core_cut`.
const MAX_CUT: Duration = Duration::from_millis(5_300);
const ROUNDS: usize = 6;
const TIME_LIMIT: Duration = Duration::from_secs(105);
const ZONES: [&str; 3] = ["erding", "freising", "moosburg"];
/// The zone in which no workers are to be had.
const DRY_ZONE: &str = "erding";

/// The bounds of the deployment fso-quince.
const BOUNDS: &str = "SeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\n\
    DrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nRollbackSlackMs = 250\n\
    OuterBoundMs = 5000\nFailClosed = true\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\n\
    RetryWindowS = 10\nRetryBudgetSlack = 56\nQuotaWindowS = 8\nQuotaOverage = 0.1\n\
    QuotaSlack = 140000\nFencingRequired = false\nLeaseMs = 3000\nThawMs = 300\nUsageWindowS = 5\n\
    UsageTolerance = 0.05\nUsageLateS = 10\nRecoverS = 12\nPassMs = 120\nReuseWindowS = 10";

fn main() {
    let folder = PathBuf::from(env::args().nth(1).unwrap_or_else(|| "review/2".to_owned()));
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

struct World {
    platform: Platform,
    record: Record,
    nodes: Vec<Node>,
    /// When the link of a machine to the store healed.
    healed: Vec<(IpAddr, Instant)>,
    until: Instant,
}

impl World {
    /// Waits for a call about the dry zone that `is_wanted`, made after `since`.
    fn wait_for_call(
        &mut self,
        since: Instant,
        limit: Duration,
        is_wanted: impl Fn(&CloudCall) -> bool,
    ) -> Option<CloudCall> {
        let until = (Instant::now() + limit).min(self.until);
        while Instant::now() < until {
            let calls = self.platform.cloud_calls();
            let found = calls.iter().find(|it| it.at >= since && is_dry(it) && is_wanted(it));
            if let Some(found) = found {
                return Some(found.clone());
            }
            self.restart_ended();
            thread::sleep(Duration::from_millis(2));
        }
        None
    }

    /// Starts processes again that have ended after a SIGTERM.
    fn restart_ended(&mut self) {
        for node in &mut self.nodes {
            if node.exit_status().is_some() {
                self.record.line(format!("platform: {} has ended and is started again", node.name));
                let _ = node.end_bootstrap();
                let _ = node.spawn();
            }
        }
    }

    fn node(&self, ip: IpAddr) -> Option<&Node> {
        self.nodes.iter().find(|it| IpAddr::from(it.ip) == ip)
    }

    fn pause(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.restart_ended();
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn stop(&self, call: &CloudCall) {
        if let Some(node) = self.node(call.from) {
            self.record.line(format!("platform: SIGTERM to {}", node.name));
            node.signal(SIGTERM);
        }
    }
}

fn is_dry(call: &CloudCall) -> bool {
    call.path == "/scaling" && call.body["Zone"] == DRY_ZONE
}

/// Returns whether the rule was broken.
fn play(folder: &Path, with_trouble: bool) -> io::Result<bool> {
    let root = env::current_dir()?;
    let scratch = env::temp_dir().join(format!("review-holders-{}", std::process::id()));
    fs::create_dir_all(&scratch)?;
    let record = Record::create(folder)?;
    let until = Instant::now() + TIME_LIMIT;
    let network = free_network(8221);
    let address = |host, port| SocketAddr::new(ip(network, host).into(), port);
    let platform = Platform::start(address(200, 8225), address(201, 8225), record.clone())?;
    platform.set_none_available(true);
    for (host, zone) in [(100, "freising"), (101, "freising"), (102, "moosburg"), (103, "moosburg")]
    {
        let worker = Worker {
            id: format!("i-{host}"),
            service: "sprach",
            zone,
            slots: 128,
            address: address(host, 8300),
        };
        worker.start(&platform, &record, |it, req, stream| it.answer(req, stream, b"{}"))?;
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
    let mut world = World { platform, record, nodes, healed: Vec::new(), until };
    world.pause(Duration::from_secs(4));
    let mut is_broken = false;
    if with_trouble {
        for round in 1..=ROUNDS {
            if Instant::now() + Duration::from_secs(14) > until {
                break;
            }
            world.record.line(format!("round {round}"));
            play_round(&mut world);
            is_broken = !violations(&world).is_empty();
            if is_broken {
                break;
            }
            // Until all machines are back and ready.
            world.pause(Duration::from_secs(6));
        }
    } else {
        world.pause(Duration::from_secs(30));
        is_broken = !violations(&world).is_empty();
    }
    for text in violations(&world) {
        world.record.line(&text);
        println!("{text}");
    }
    let orders = world.platform.cloud_calls().iter().filter(|it| is_dry(it)).count();
    println!("{orders} orders for the zone, rule {}", if is_broken { "broken" } else { "held" });
    if env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&scratch);
    }
    if orders == 0 {
        return Err(io::Error::other("no holder acted"));
    }
    Ok(is_broken)
}

/// Cuts the holder off, and stops the next two holders in turn.
fn play_round(world: &mut World) -> Option<()> {
    let begin = Instant::now();
    let first = world.wait_for_call(begin, Duration::from_secs(6), |_| true)?;
    // Its next order for the zone is due 2.5 s later. The cut begins with the first renewal from which that falls into the
    // time in which it may still act.
    let mut renewed = world.platform.renewed(first.from)?;
    while renewed < first.at + Duration::from_millis(640) {
        thread::sleep(Duration::from_millis(2));
        renewed = world.platform.renewed(first.from)?;
        if first.at.elapsed() > Duration::from_secs(3) {
            return None;
        }
    }
    world.record.line(format!("link: {} is cut off from the store", first.from));
    world.platform.cut(first.from, true);
    let second = world.wait_for_call(renewed, MAX_CUT, |it| it.from != first.from);
    world.record.line(format!("link: {} reaches the store again", first.from));
    world.platform.cut(first.from, false);
    world.healed.push((first.from, Instant::now()));
    let second = second?;
    world.stop(&second);
    let stopped_at = Instant::now();
    let is_third = |it: &CloudCall| it.from != first.from && it.from != second.from;
    let third = world.wait_for_call(stopped_at, Duration::from_secs(3), is_third)?;
    world.pause(ROLL_GAP.saturating_sub(stopped_at.elapsed()));
    world.stop(&third);
    let since = Instant::now();
    world.wait_for_call(since, Duration::from_secs(3), |it| it.from == first.from)?;
    Some(())
}

/// Returns the breaches of the rule: calls of A, B and A about one subject within the lease.
fn violations(world: &World) -> Vec<String> {
    let calls = world.platform.cloud_calls();
    let calls: Vec<&CloudCall> = calls.iter().filter(|it| is_dry(it)).collect();
    let is_excused = |call: &CloudCall| {
        world.healed.iter().any(|(machine, at)| {
            *machine == call.from && call.at >= *at && call.at.duration_since(*at) <= THAW
        })
    };
    let mut found = Vec::new();
    for (at, last) in calls.iter().enumerate() {
        let before = calls[..at].iter().rposition(|it| it.from == last.from);
        let Some(before) = before else { continue };
        let between = calls[before..at].iter().find(|it| it.from != last.from);
        let span = last.at.duration_since(calls[before].at);
        if let Some(between) = between
            && span < LEASE
            && !is_excused(last)
            && !is_excused(between)
        {
            found.push(format!(
                "ONE: {} acts with token {}, {} with token {}, and {} again with token {}, {:.0} ms after its first call",
                calls[before].from,
                calls[before].token,
                between.from,
                between.token,
                last.from,
                last.token,
                span.as_secs_f64() * 1_000.0
            ));
        }
    }
    found
}

fn config() -> serde_json::Value {
    let prices = json!({"erding": 1.0, "freising": 0.8, "moosburg": 1.25});
    json!({
        "Version": 7,
        "Routes": [{
            "Name": "dispo-brief", "Host": "seats.example", "Prefix": "/brief/",
            "RouteType": "streaming", "TimeoutMs": 15_000, "TargetLatencyMs": 1_000, "Priority": 1,
            "Service": "sprach", "MaxAttempts": 1, "Anonymous": false, "SessionAffinity": true,
            "StreamResumption": false, "TargetGapMs": 500
        }],
        "Services": [{
            "Name": "sprach", "HealthPath": "/healthz", "MaxConnections": 620,
            "Engine": {
                "Slots": 128, "KvCapacity": 835_187, "KvBytes": 18_432, "LinkMbps": 370_000.0,
                "Moves": true, "Backups": true
            },
            "Scaling": {
                "MinWorkers": 1, "MaxWorkers": 6, "BootTimeS": 4.0, "SpotPrice": 0.18,
                "ZonePrices": prices
            }
        }],
        "Limits": {
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000
        },
        "Tenants": [{
            "Name": "hule930", "ApiKeys": ["i9n73hh2b9wu3fexd9dn"], "Priority": 1,
            "Unit": "tokens", "UncachedTokens": 200, "RatePerS": 36_000, "BurstSize": 36_000
        }]
    })
}
