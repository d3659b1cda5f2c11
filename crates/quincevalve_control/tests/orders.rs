//! Engines are ordered to load the configured version, whether or not they check fencing numbers.
//!
//! The configuration sets a model's version and the control process that holds the lease sends orders. One engine
//! accepts orders with old fencing numbers, so it gets its order only after the time in which orders of an earlier
//! lease holder can still arrive.

use std::{net::SocketAddr, path::Path, time::Duration};

use bytes::Bytes;
use http::Method;
use quincevalve_control::{ControlProcess, ControlSettings};
use quincevalve_names::Incarnation;
use quincevalve_ports::{
    HttpClient,
    engine::{EngineClient, EngineOrder},
};
use quincevalve_program::parse_settings;
use quincevalve_standins::{Engine, EngineSpeed, Platform};
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(2);

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

async fn start_engine(ignores_fencing: bool) -> SocketAddr {
    let (listener, address) = listen().await;
    let speed = EngineSpeed {
        slots: 4,
        prefill_tokens_per_s: 8_000,
        token_time: Duration::from_millis(1),
        cache_tokens: 1_000,
    };
    let engine = Engine::new(speed, Incarnation(1), 1);
    engine.set_faults(|it| it.ignores_fencing = ignores_fencing);
    tokio::spawn(engine.serve(listener));
    address
}

fn settings(platform: SocketAddr) -> ControlSettings {
    let text = format!(
        r#"
name = "entry-1"
data_centre = "erding"
peer_listen = "127.0.0.1:0"
entry_peer = "127.0.0.1:1"
local_listen = "127.0.0.1:0"
platform = "{platform}"

[pacing]
watch_ms = 200

[plan]
period_ms = 20
lease_ms = 300
flight_ms = 100
"#
    );
    parse_settings(Path::new("control.toml"), &text).expect("the settings are right")
}

/// Writes a configuration to the store in the form in which the administration API stores a change.
async fn store_configuration(platform: SocketAddr, checked: SocketAddr, ignoring: SocketAddr) {
    let content = serde_json::json!({
        "region": { "obb": {} },
        "data_centre": { "erding": { "region": "obb" } },
        "model": { "assistant": { "version": "v2" } },
        "vm_class": { "spot": { "tenure": "reclaimable", "price_milli": { "erding": 300 } } },
        "backend_server": {
            "engine-1": {
                "data_centre": "erding", "address": checked, "serves": { "model": "assistant" },
                "vm_class": "spot", "slots": 4, "fencing": "checked"
            },
            "engine-2": {
                "data_centre": "erding", "address": ignoring, "serves": { "model": "assistant" },
                "vm_class": "spot", "slots": 4, "fencing": "ignored"
            }
        }
    });
    let entry = serde_json::json!({
        "revision": 1, "change": "first", "by": "test", "at": 0, "touched": []
    });
    let head = serde_json::json!({ "revision": 1, "history": [entry] });
    let http = HttpClient::new(None, LIMIT);
    for (key, value) in [("config-first", content), ("config", head)] {
        let path = format!("/v1/kv/{key}?if=0");
        let body = Bytes::from(value.to_string());
        http.call_bytes(Method::PUT, platform, &path, body, LIMIT).await.expect("the store is up");
    }
}

async fn read_order(engine: SocketAddr) -> Option<EngineOrder> {
    let engines = EngineClient::new(HttpClient::new(None, LIMIT));
    engines.state(engine, LIMIT).await.ok()?.order
}

#[tokio::test]
async fn engines_get_the_configured_version_with_and_without_fencing_checks() {
    let (listener, platform) = listen().await;
    tokio::spawn(Platform::new(1).serve(listener));
    let checked = start_engine(false).await;
    let ignoring = start_engine(true).await;
    store_configuration(platform, checked, ignoring).await;
    let _control = ControlProcess::start(settings(platform)).await.expect("it starts");
    for engine in [checked, ignoring] {
        let order = loop {
            if let Some(order) = read_order(engine).await {
                break order;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        };
        assert_eq!(order.version, "v2");
        assert_eq!(order.model.as_str(), "assistant");
        assert!(order.fencing.0 >= 1);
    }
}
