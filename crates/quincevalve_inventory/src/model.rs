//! The data model of the inventory.

use std::{net::SocketAddr, time::Duration};

use indexmap::IndexMap;
use quincevalve_names::{
    BackendServerName, ClassName, ClientAccountName, DataCentreName, ModelName, RegionName,
    ServiceName,
};
use serde::{Deserialize, Serialize};

use crate::KeyHash;

/// Everything that operators declare: models and services, servers, data centres, accounts, and the rules for them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Inventory {
    /// Regions. Routing uses other data centres only within the same region.
    pub region: IndexMap<RegionName, Region>,
    /// Data centres.
    pub data_centre: IndexMap<DataCentreName, DataCentre>,
    /// Client accounts.
    pub account: IndexMap<ClientAccountName, ClientAccount>,
    /// Request classes, in order of priority under contention, highest first.
    pub class: IndexMap<ClassName, Class>,
    /// Language models.
    pub model: IndexMap<ModelName, Model>,
    /// Plain services.
    pub service: IndexMap<ServiceName, Service>,
    /// VM classes that the cloud offers, with their prices.
    pub vm_class: IndexMap<String, VmClass>,
    /// Backend servers.
    pub backend_server: IndexMap<BackendServerName, BackendServer>,
}

/// A region.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Region {}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The region of the data centre.
    pub region: RegionName,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// SHA-256 hashes of the account's API keys. An account may have several keys, so that a key can be replaced
    /// without an interruption.
    pub key_sha256: Vec<KeyHash>,
    /// The account's weight in weighted fair queueing.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The class of requests that don't specify one.
    pub default_class: ClassName,
    /// Maximum number of requests of this account that one entry VM processes or queues concurrently.
    #[serde(default = "default_max_concurrent")]
    pub max_concurrent: u32,
}

const fn default_weight() -> u32 {
    1
}

const fn default_max_concurrent() -> u32 {
    256
}

/// Whether a request may be executed more than once.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// The request may run again with the same effect.
    #[default]
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
}

/// A request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The latency promised to callers.
    pub promise: Promise,
    /// Whether requests of this class may be executed more than once.
    #[serde(default)]
    pub execution: Execution,
}

/// A promised latency.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Promise {
    /// Milliseconds to the first token, for 95 of 100 requests. Used for interactive callers.
    FirstTokenMs(u64),
    /// Milliseconds until the answer is complete. Used for callers that need only the whole answer.
    CompleteMs(u64),
}

impl Promise {
    /// Returns the promised time.
    pub const fn limit(self) -> Duration {
        match self {
            Self::FirstTokenMs(millis) | Self::CompleteMs(millis) => Duration::from_millis(millis),
        }
    }

    /// Returns whether the promise is for the first token, that is, for interactive callers.
    pub const fn is_interactive(self) -> bool {
        matches!(self, Self::FirstTokenMs(_))
    }
}

/// A language model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version of the model that workers load.
    #[serde(default)]
    pub version: Option<String>,
    /// Maximum length of an answer, in tokens.
    #[serde(default = "default_max_output")]
    pub max_output_tokens: u32,
}

const fn default_max_output() -> u32 {
    4_096
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether calls of the service may be executed more than once.
    pub execution: Execution,
    /// Timeout without a byte from the service, in milliseconds.
    #[serde(default = "default_service_progress")]
    pub progress_ms: u64,
}

const fn default_service_progress() -> u64 {
    5_000
}

/// How long the cloud lets operators keep a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Tenure {
    /// The cloud may reclaim the machine with a few seconds of notice.
    Reclaimable,
    /// The machine is kept until it is released.
    OnDemand,
}

/// A VM class of the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmClass {
    /// How long machines of this class may be kept.
    pub tenure: Tenure,
    /// Price per hour, in thousandths of the operators' currency, by data centre.
    pub price_milli: IndexMap<DataCentreName, u64>,
}

/// The model or service that a backend server serves.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Serves {
    /// A model engine worker.
    Model(ModelName),
    /// A worker of a plain service.
    Service(ServiceName),
}

/// Whether a backend server rejects orders with a stale fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The server rejects stale orders.
    Checked,
    /// The server does not check the fencing number.
    #[default]
    Ignored,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// The data centre of the server.
    pub data_centre: DataCentreName,
    /// IP address and port of the server.
    pub address: SocketAddr,
    /// The model or service that the server runs.
    pub serves: Serves,
    /// The VM class that the server runs on.
    pub vm_class: String,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Prompt tokens that the server processes per second, according to the engine's own benchmark.
    #[serde(default = "default_prefill")]
    pub prefill_tokens_per_s: u32,
    /// Time between two tokens of one answer, in microseconds.
    #[serde(default = "default_token_us")]
    pub token_us: u32,
    /// Whether the server checks the fencing numbers of orders.
    #[serde(default)]
    pub fencing: Fencing,
    /// `true` while operators drain the server: it receives no new requests.
    #[serde(default)]
    pub drain: bool,
}

const fn default_prefill() -> u32 {
    8_000
}

const fn default_token_us() -> u32 {
    30_000
}
