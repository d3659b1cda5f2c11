//! The operators' configuration in the form used by the forwarding path.

use std::{collections::HashMap, sync::Arc, time::Duration};

use indexmap::IndexMap;
use quincevalve_names::{ClientAccountName, DataCentreName, ServiceName, mix};
use serde::{Deserialize, Serialize};

/// Salt that makes the choice of a target independent of other uses of a request's hash.
const SPLIT_SALT: u64 = 0x51;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RetrySafety {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once for each attempt of the caller.
    NonIdempotent,
    /// The answer is a stream of events that only the server that started it can finish.
    Stream,
    /// The answer is a stream of events that another server can continue after any event.
    ResumableStream,
}

impl RetrySafety {
    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a second execution is harmless.
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// A rule that assigns requests to services and states how to forward them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name given by the operators.
    pub name: Arc<str>,
    /// The `Host` header that the route matches.
    pub host: String,
    /// The path prefix that the route matches; begins and ends with a slash.
    pub prefix: String,
    /// The services that receive the requests.
    pub targets: Vec<Target>,
    /// Whether requests may be executed more than once.
    pub retry_safety: RetrySafety,
    /// Maximum time until a request gets its final answer.
    pub timeout: Duration,
    /// Latency objective for the answer, or for a stream's first event.
    pub objective: Duration,
    /// Maximum number of servers to which one attempt of the caller may be sent.
    pub max_servers: u32,
    /// Urgency class; 0 is the most urgent.
    pub urgency: u8,
    /// Whether requests are accepted without an API key.
    pub anonymous: bool,
}

impl Route {
    /// Returns the target for a request, chosen by weight. The choice is deterministic for a given request.
    pub fn target(&self, request: u64) -> Option<&Target> {
        let total: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        let mut position = mix(request, SPLIT_SALT).checked_rem(total)?;
        self.targets.iter().find(|it| {
            let weight = u64::from(it.weight);
            let is_selected = position < weight;
            position = position.saturating_sub(weight);
            is_selected
        })
    }
}

/// The rate limit of an account over all entry VMs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Units per second.
    pub per_second: f64,
    /// Maximum number of units that may be used at once after a pause.
    pub burst: f64,
    /// How a request is charged.
    pub unit: QuotaUnit,
}

/// The unit in which a request is charged against a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt tokens plus the maximum number of generated tokens.
    Tokens {
        /// Number of tokens charged for a request without token counts.
        default_tokens: u32,
    },
}

/// A client account.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// The account's API keys.
    pub keys: Vec<Arc<str>>,
    /// Urgency class that overrides the route's; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// The account's quota, if any.
    pub quota: Option<Quota>,
}

/// The configured capacity of a service's model engines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Maximum number of concurrent requests on one server.
    pub slots: u32,
    /// Capacity of one server's KV cache, in tokens.
    pub kv_tokens: u64,
    /// Whether a running request can be migrated to another server.
    pub supports_migration: bool,
}

/// A service's engines that copy the memory of running requests to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyingEngine {
    /// Bytes of KV cache per token; 0 if unknown.
    pub bytes_per_token: u64,
    /// Capacity of an engine's link to other engines in Mbit/s; 0 if unknown.
    pub link_mbps: u64,
    /// How long an engine keeps a copy after its last part arrived.
    pub copy_ttl: Duration,
}

impl CopyingEngine {
    /// Returns the time to transfer the KV cache of `tokens` tokens on an idle link; zero if the settings don't state
    /// it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quincevalve_forwarding::config::CopyingEngine;
    /// let copy_ttl = Duration::from_secs(10);
    /// let engine = CopyingEngine { bytes_per_token: 125_000, link_mbps: 1_000, copy_ttl };
    /// assert_eq!(engine.transfer_time(1_000), Duration::from_secs(1));
    /// ```
    pub fn transfer_time(&self, tokens: u32) -> Duration {
        if self.link_mbps == 0 {
            return Duration::ZERO;
        }
        let megabits = f64::from(tokens) * self.bytes_per_token as f64 * 8.0 / 1e6;
        Duration::try_from_secs_f64(megabits / self.link_mbps as f64).unwrap_or(Duration::MAX)
    }
}

/// Settings of copies of running requests. Without any copying engine there are no such copies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCopySettings {
    /// The copying engines by service.
    pub engines: IndexMap<ServiceName, CopyingEngine>,
    /// The longest pause between two events that the operators promise, by route.
    pub longest_pauses: IndexMap<Arc<str>, Duration>,
}

impl RunCopySettings {
    /// Returns whether no service has copying engines.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }
}

/// The bounds and prices for ordering a service's servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// Minimum number of servers of both kinds in a data centre.
    pub min: u32,
    /// Maximum number of servers of both kinds in a data centre.
    pub max: u32,
    /// Time from an order until the server is ready.
    pub boot_time: Duration,
    /// Price of a reclaimable server relative to an on-demand one; `None` where there are no reclaimable servers.
    pub reclaimable_price: Option<f64>,
    /// Price of an on-demand server per second, by data centre.
    pub prices: IndexMap<DataCentreName, f64>,
}

/// The settings of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Maximum number of connections that one server accepts from all callers.
    pub max_connections: Option<u32>,
    /// The engines' capacity, if the service's servers are model engines.
    pub engine: Option<Engine>,
    /// The scaling bounds, if the service's servers may be ordered.
    pub scaling: Option<Scaling>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for receiving a request's head.
    pub head_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// One complete version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardingConfig {
    /// The operators' version number; increases with each change.
    pub version: u64,
    /// Services by name.
    pub services: IndexMap<ServiceName, Service>,
    /// Client accounts by name.
    pub accounts: IndexMap<ClientAccountName, Account>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    routes_by_host: HashMap<String, Vec<Arc<Route>>>,
    accounts_by_key: HashMap<Arc<str>, ClientAccountName>,
    /// Settings of copies of running requests. They are encoded after the configuration, and only where there are any,
    /// so that VMs of versions without them can read it.
    #[serde(skip)]
    pub run_copies: RunCopySettings,
}

impl ForwardingConfig {
    /// Creates a configuration with indexes for the look-up of routes and accounts.
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
        Self {
            version,
            services,
            accounts,
            limits,
            routes_by_host,
            accounts_by_key,
            run_copies: RunCopySettings::default(),
        }
    }

    /// Returns the route at `host` with the longest matching prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes_by_host.get(host)?;
        routes.iter().find(|it| path.starts_with(&it.prefix))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes_by_host.values().flatten()
    }

    /// Returns the account that holds an API key.
    pub fn account_of_key(&self, key: &str) -> Option<&ClientAccountName> {
        self.accounts_by_key.get(key)
    }

    /// Returns whether callers must authenticate with an API key.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }
}
