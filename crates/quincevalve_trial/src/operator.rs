//! Two operators who change the configuration at the same moment, under load.

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

use crate::world::{OPERATOR_KEY, World};

/// The promise: in force everywhere within this time.
const LIMIT: Duration = Duration::from_secs(7);
const POLL: Duration = Duration::from_millis(50);
const CALL: Duration = Duration::from_secs(4);

/// What came of a race.
#[derive(Clone, Debug, Default)]
pub(crate) struct Race {
    accepted: u32,
    conflicts: u32,
    others: u32,
    /// Nodes that have the winner's revision in force, of all that live.
    in_force: usize,
    nodes: usize,
    took: Duration,
}

impl Race {
    /// One wins, the other is told so, and the winner's change is in force everywhere in time.
    pub(crate) fn is_clean(&self) -> bool {
        self.accepted == 1 && self.conflicts == 1 && self.in_force == self.nodes
    }
}

impl fmt::Display for Race {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "operators: {} accepted, {} conflict, {} other; in force on {} of {} nodes after {:?}",
            self.accepted, self.conflicts, self.others, self.in_force, self.nodes, self.took
        )
    }
}

/// Two operators edit the same revision at two control processes.
pub(crate) fn race(world: &World) -> Race {
    let admins: Vec<_> =
        world.entries.iter().filter(|it| !it.thread.is_over()).map(|it| it.admin).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let (Ok(runtime), [first, .., last]) = (runtime, &admins[..]) else { return Race::default() };
    runtime.block_on(async {
        let client = Client { http: HttpClient::new(None, Duration::from_millis(500)) };
        let on = client.revision(*first).await.unwrap_or(0);
        let edits = [edit(world, 2), edit(world, 3)];
        let (one, two) = tokio::join!(
            client.change(*first, on, format!("race-{on}-one"), &edits[0]),
            client.change(*last, on, format!("race-{on}-two"), &edits[1]),
        );
        let began = Instant::now();
        let mut race = Race { nodes: admins.len(), ..Race::default() };
        for status in [one, two] {
            match status {
                Some(StatusCode::OK) => race.accepted += 1,
                Some(StatusCode::PRECONDITION_FAILED) => race.conflicts += 1,
                _ => race.others += 1,
            }
        }
        while began.elapsed() < LIMIT {
            race.in_force = client.count_in_force(&admins, on + 1).await;
            if race.in_force == race.nodes {
                break;
            }
            tokio::time::sleep(POLL).await;
        }
        race.took = began.elapsed();
        race
    })
}

/// The inventory with every account's weight multiplied.
fn edit(world: &World, by: u32) -> String {
    let mut inventory = world.inventory.clone();
    for account in inventory.account.values_mut() {
        account.weight *= by;
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
        tokio::time::timeout(CALL, exchange).await.ok().flatten()
    }

    fn form(method: Method, address: SocketAddr, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {OPERATOR_KEY}"))
    }

    async fn revision(&self, address: SocketAddr) -> Option<u64> {
        let req = Self::form(Method::GET, address, "/v1/config").body(Full::default()).ok()?;
        self.send(address, req).await?.2
    }

    async fn change(
        &self,
        address: SocketAddr,
        on: u64,
        id: String,
        body: &str,
    ) -> Option<StatusCode> {
        let req = Self::form(Method::PUT, address, "/v1/config")
            .header(header::IF_MATCH, format!("\"{on}\""))
            .header("change-id", id)
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .ok()?;
        Some(self.send(address, req).await?.0)
    }

    async fn count_in_force(&self, admins: &[SocketAddr], revision: u64) -> usize {
        let mut count = 0;
        for admin in admins {
            let req = Self::form(Method::GET, *admin, "/v1/status").body(Full::default());
            let Ok(req) = req else { continue };
            let Some((_, body, _)) = self.send(*admin, req).await else { continue };
            if body["revision"].as_u64().is_some_and(|it| it >= revision) {
                count += 1;
            }
        }
        count
    }
}
