//! Concurrent configuration updates by two operators under load.

use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use quincevalve_ports::HttpClient;
use serde_json::Value;

use crate::testbed::{OPERATOR_KEY, Testbed};

/// Maximum time until an accepted configuration is in force on every node.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(7);
/// Interval between checks of the nodes' revisions.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one request to an admin endpoint, including its body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Result of two concurrent configuration updates.
#[derive(Clone, Debug, Default)]
pub(crate) struct Race {
    accepted: u32,
    conflicts: u32,
    other_responses: u32,
    /// Number of nodes with the accepted revision in force, out of `nodes` running ones.
    in_force: usize,
    nodes: usize,
    elapsed: Duration,
}

impl Race {
    /// Returns whether exactly one update was accepted, the other got a conflict, and the accepted revision came into
    /// force on all nodes in time.
    pub(crate) fn is_clean(&self) -> bool {
        self.accepted == 1 && self.conflicts == 1 && self.in_force == self.nodes
    }
}

impl fmt::Display for Race {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "operators: {} accepted, {} conflict, {} other; in force on {} of {} nodes after {:?}",
            self.accepted,
            self.conflicts,
            self.other_responses,
            self.in_force,
            self.nodes,
            self.elapsed
        )
    }
}

/// Sends two updates of the same revision to two control processes and waits until the accepted one is in force.
pub(crate) fn race_config_updates(testbed: &Testbed) -> Race {
    let admins: Vec<_> =
        testbed.entries.iter().filter(|it| !it.thread.has_ended()).map(|it| it.admin).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let (Ok(runtime), [first, .., last]) = (runtime, &admins[..]) else { return Race::default() };
    runtime.block_on(async {
        let client = Client { http: HttpClient::new(None, Duration::from_millis(500)) };
        let on = client.revision(*first).await.unwrap_or(0);
        let edited_inventories = [edited_inventory(testbed, 2), edited_inventory(testbed, 3)];
        let (one, two) = tokio::join!(
            client.put_config(*first, on, format!("race-{on}-one"), &edited_inventories[0]),
            client.put_config(*last, on, format!("race-{on}-two"), &edited_inventories[1]),
        );
        let began = Instant::now();
        let mut race = Race { nodes: admins.len(), ..Race::default() };
        for status in [one, two] {
            match status {
                Some(StatusCode::OK) => race.accepted += 1,
                Some(StatusCode::PRECONDITION_FAILED) => race.conflicts += 1,
                _ => race.other_responses += 1,
            }
        }
        while began.elapsed() < PROPAGATION_TIMEOUT {
            race.in_force = client.count_in_force(&admins, on + 1).await;
            if race.in_force == race.nodes {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        race.elapsed = began.elapsed();
        race
    })
}

/// Returns the inventory as JSON with every account's weight multiplied by `factor`.
fn edited_inventory(testbed: &Testbed, factor: u32) -> String {
    let mut inventory = testbed.inventory.clone();
    for account in inventory.account.values_mut() {
        account.weight *= factor;
    }
    serde_json::to_string(&inventory).unwrap_or_default()
}

struct Client {
    http: HttpClient,
}

impl Client {
    async fn send(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Option<(StatusCode, Value, Option<u64>)> {
        let exchange = async {
            let response = self.http.send_fresh(address, req).await.ok()?;
            let (parts, body) = response.into_parts();
            let etag = parts.headers.get(header::ETAG).and_then(|it| it.to_str().ok());
            let etag = etag.and_then(|it| it.trim_matches('"').parse().ok());
            let body = body.collect().await.ok()?.to_bytes();
            Some((parts.status, serde_json::from_slice(&body).unwrap_or_default(), etag))
        };
        tokio::time::timeout(REQUEST_TIMEOUT, exchange).await.ok().flatten()
    }

    fn request_builder(method: Method, address: SocketAddr, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {OPERATOR_KEY}"))
    }

    async fn revision(&self, address: SocketAddr) -> Option<u64> {
        let req =
            Self::request_builder(Method::GET, address, "/v1/config").body(Full::default()).ok()?;
        self.send(address, req).await?.2
    }

    async fn put_config(
        &self,
        address: SocketAddr,
        base_revision: u64,
        id: String,
        body: &str,
    ) -> Option<StatusCode> {
        let req = Self::request_builder(Method::PUT, address, "/v1/config")
            .header(header::IF_MATCH, format!("\"{base_revision}\""))
            .header("change-id", id)
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .ok()?;
        Some(self.send(address, req).await?.0)
    }

    async fn count_in_force(&self, admins: &[SocketAddr], revision: u64) -> usize {
        let mut count = 0;
        for admin in admins {
            let req =
                Self::request_builder(Method::GET, *admin, "/v1/status").body(Full::default());
            let Ok(req) = req else { continue };
            let Some((_, body, _)) = self.send(*admin, req).await else { continue };
            if body["revision"].as_u64().is_some_and(|it| it >= revision) {
                count += 1;
            }
        }
        count
    }
}
