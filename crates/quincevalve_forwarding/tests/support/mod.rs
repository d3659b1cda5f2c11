//! Builders shared by the tests of the forwarding cores.
#![allow(dead_code, unreachable_pub, reason = "each test file uses only some of them")]

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_forwarding::{
    config::{
        Account, CallerLimits, Engine, ForwardingConfig, Quota, QuotaUnit, RetrySafety, Route,
        Scaling, Service, Target,
    },
    placement::{PlacementRequest, Prompt},
    servers::{ServerEntry, ServerStart, ServerTable},
};
use quincevalve_names::{BackendServerName, DataCentreName, ServiceName, TimePoint};

/// Generates a test function for each named case.
#[macro_export]
macro_rules! cases {
    ($check:ident: $($name:ident => $($argument:expr),+;)+) => {
        $(
            #[test]
            fn $name() {
                $check($($argument),+);
            }
        )+
    };
}

pub fn ms(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn limits() -> CallerLimits {
    CallerLimits {
        head_bytes: 16 << 10,
        body_bytes: 4 << 20,
        head_timeout: millis(3_000),
        idle_timeout: millis(15_000),
    }
}

pub fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        targets: vec![Target { service: "engines".into(), weight: 1 }],
        retry_safety: RetrySafety::NonIdempotent,
        timeout: millis(1_000),
        objective: millis(200),
        max_servers: 1,
        urgency: 1,
        anonymous: false,
    }
}

pub fn config(version: u64, routes: Vec<Route>) -> ForwardingConfig {
    let account =
        Account { keys: vec!["key-1".into()], urgency: None, quota: Some(quota(1_000.0, 1_000.0)) };
    let accounts = IndexMap::from([("desk".into(), account)]);
    let services = IndexMap::from([("engines".into(), Service::default())]);
    ForwardingConfig::new(version, routes, services, accounts, limits())
}

pub fn quota(per_second: f64, burst: f64) -> Quota {
    Quota { per_second, burst, unit: QuotaUnit::Tokens { default_tokens: 200 } }
}

pub fn engine() -> Engine {
    Engine { slots: 128, kv_tokens: 800_000, supports_migration: true }
}

pub fn scaling() -> Scaling {
    let centres = ["a", "b", "c", "d"];
    let prices = [1.0, 0.8, 1.25, 0.9];
    Scaling {
        min: 1,
        max: 6,
        boot_time: millis(4_000),
        reclaimable_price: Some(0.18),
        prices: centres.iter().zip(prices).map(|(it, price)| ((*it).into(), price)).collect(),
    }
}

/// Start of the servers in the tests unless stated otherwise.
pub const START: ServerStart = ServerStart(1);

pub fn entry(centre: &str) -> ServerEntry {
    ServerEntry {
        start: START,
        service: "engines".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: centre.into(),
        version: "v1".into(),
        slots: 128,
        is_cold: false,
        draining: false,
        reclaimable: false,
        leaves_in: None,
    }
}

pub fn draining(centre: &str) -> ServerEntry {
    ServerEntry { draining: true, ..entry(centre) }
}

pub fn table(count: usize) -> ServerTable {
    let mut table = ServerTable::default();
    for at in 0..count {
        let centre = ["a", "b", "c", "d"][at % 4];
        table.apply_entry(&server(at), entry(centre), TimePoint::ZERO);
    }
    table
}

pub fn server(at: usize) -> BackendServerName {
    format!("server-{at}").as_str().into()
}

pub fn prompt(input: u32, shared: Option<(u64, u32)>) -> Prompt {
    Prompt { input, max_output: 400, expected_output: None, shared }
}

/// Owned input of a [`PlacementRequest`] that arrives at an entry VM of data centre `a`.
pub struct TestRequest {
    pub service: ServiceName,
    pub data_centre: DataCentreName,
    pub prompt: Option<Prompt>,
    pub urgency: u8,
    pub latency_budget: Duration,
    pub tried: Vec<BackendServerName>,
}

impl Default for TestRequest {
    fn default() -> Self {
        Self {
            service: "engines".into(),
            data_centre: "a".into(),
            prompt: Some(prompt(2_000, None)),
            urgency: 1,
            latency_budget: millis(800),
            tried: Vec::new(),
        }
    }
}

impl TestRequest {
    pub fn as_request(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            service: &self.service,
            prompt: self.prompt.map(|it| (it, engine())),
            urgency: self.urgency,
            latency_budget: self.latency_budget,
            data_centre: &self.data_centre,
            tried: &self.tried,
            scope: None,
            version: None,
            barred: &[],
        }
    }
}
