//! The operators' configuration as the forwarding path uses it.

use std::{collections::HashMap, sync::Arc, time::Duration};

use indexmap::IndexMap;
use quincevalve_names::{ClientAccountName, DataCentreName, ServiceName, mix};
use serde::{Deserialize, Serialize};

/// Keeps the choice of a target independent of other uses of a request's hash.
const SPLIT_SALT: u64 = 0x51;

/// What a repetition of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RetrySafety {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once for each attempt of the caller.
    NonIdempotent,
    /// The answer is a stream of events that only the server that began it can finish.
    Stream,
    /// The answer is a stream of events that another server can continue after any event.
    ResumableStream,
}

impl RetrySafety {
    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether a second run does no harm.
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its weight against the route's other targets.
    pub weight: u32,
}

/// A rule that says which requests go where and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The operators' name for it.
    pub name: Arc<str>,
    /// The `Host` that it answers for.
    pub host: String,
    /// The start of the paths that it answers for; begins and ends with a slash.
    pub prefix: String,
    /// Where requests go.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub retry_safety: RetrySafety,
    /// The longest time that a request may be kept without its final answer.
    pub timeout: Duration,
    /// The time within which an answer (a stream's first event) is on time.
    pub objective: Duration,
    /// Servers to which one attempt of the caller may be sent.
    pub max_servers: u32,
    /// Urgency, 0 first.
    pub urgency: u8,
    /// Whether requests need no key.
    pub anonymous: bool,
}

impl Route {
    /// The target for a request, by weight; the same for the same request.
    pub fn target(&self, request: u64) -> Option<&Target> {
        let total: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        let mut at = mix(request, SPLIT_SALT).checked_rem(total)?;
        self.targets.iter().find(|it| {
            let weight = u64::from(it.weight);
            let found = at < weight;
            at = at.saturating_sub(weight);
            found
        })
    }
}

/// What an account may ask for in all, over all entry VMs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Units a second.
    pub per_second: f64,
    /// Units that may be taken at once after a pause.
    pub burst: f64,
    /// What a request counts.
    pub unit: QuotaUnit,
}

/// What a request counts against a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// One.
    Requests,
    /// Its prompt and the most that it may generate.
    Tokens {
        /// What a request without token counts is taken for.
        default_tokens: u32,
    },
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Its keys.
    pub keys: Vec<Arc<str>>,
    /// Urgency that goes before the route's, 0 first.
    pub urgency: Option<u8>,
    /// Its quota, if it has one.
    pub quota: Option<Quota>,
}

/// What the operators tell of a service's model engines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that run at once on one server.
    pub slots: u32,
    /// Tokens that one server's KV cache holds.
    pub kv_tokens: u64,
    /// Whether a running request can be moved to another server.
    pub supports_migration: bool,
}

/// Within which bounds the number of a service's servers may be ordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// Servers of both kinds in a data centre at least.
    pub min: u32,
    /// Servers of both kinds in a data centre at most.
    pub max: u32,
    /// From an order to service.
    pub boot_time: Duration,
    /// The price of a reclaimable server against an on-demand one; `None` where there are none.
    pub reclaimable_price: Option<f64>,
    /// The price of an on-demand server for a second, by data centre.
    pub prices: IndexMap<DataCentreName, f64>,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one server takes from all callers.
    pub max_connections: Option<u32>,
    /// Set where its servers are model engines.
    pub engine: Option<Engine>,
    /// Set where its servers may be ordered.
    pub scaling: Option<Scaling>,
}

/// What a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long a head may take.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration, whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardingConfig {
    /// The operators' version; grows with each change.
    pub version: u64,
    /// Services by name.
    pub services: IndexMap<ServiceName, Service>,
    /// Client accounts by name.
    pub accounts: IndexMap<ClientAccountName, Account>,
    /// What callers may send.
    pub limits: CallerLimits,
    routes_by_host: HashMap<String, Vec<Arc<Route>>>,
    accounts_by_key: HashMap<Arc<str>, ClientAccountName>,
}

impl ForwardingConfig {
    /// Indexes a configuration.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: IndexMap<ServiceName, Service>,
        accounts: IndexMap<ClientAccountName, Account>,
        limits: CallerLimits,
    ) -> Self {
        let mut routes_by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            routes_by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        let accounts_by_key = accounts
            .iter()
            .flat_map(|(name, it)| it.keys.iter().map(|key| (key.clone(), name.clone())))
            .collect();
        Self { version, services, accounts, limits, routes_by_host, accounts_by_key }
    }

    /// The route with the longest prefix of `path` at `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes_by_host.get(host)?;
        routes.iter().find(|it| path.starts_with(&it.prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes_by_host.values().flatten()
    }

    /// The account that holds a key.
    pub fn account_of_key(&self, key: &str) -> Option<&ClientAccountName> {
        self.accounts_by_key.get(key)
    }

    /// Whether callers have to show a key at all.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }
}
