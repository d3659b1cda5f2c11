//! The inventory's tables.

use std::{net::SocketAddr, time::Duration};

use indexmap::IndexMap;
use quincevalve_names::{
    BackendServerName, ClassName, ClientAccountName, DataCentreName, ModelName, RegionName,
    ServiceName,
};
use serde::{Deserialize, Serialize};

use crate::KeyHash;

/// All that operators declare: what is served, where, for whom, and by which rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Inventory {
    /// Regions; routing spills over between data centres of one region only.
    pub region: IndexMap<RegionName, Region>,
    /// Data centres.
    pub data_centre: IndexMap<DataCentreName, DataCentre>,
    /// Client accounts.
    pub account: IndexMap<ClientAccountName, ClientAccount>,
    /// Classes of request, the first listed comes first under contention.
    pub class: IndexMap<ClassName, Class>,
    /// Language models.
    pub model: IndexMap<ModelName, Model>,
    /// Plain services.
    pub service: IndexMap<ServiceName, Service>,
    /// Machine classes that the cloud offers, with their prices.
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
    /// The region that it belongs to.
    pub region: RegionName,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// SHA-256 hashes of the account's API keys; several, so that keys can be changed without a gap.
    pub key_sha256: Vec<KeyHash>,
    /// The account's weight in fair shares.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The class of requests that name none.
    pub default_class: ClassName,
    /// Requests of this account that one entry VM serves or queues at once.
    #[serde(default = "default_max_concurrent")]
    pub max_concurrent: u32,
}

const fn default_weight() -> u32 {
    1
}

const fn default_max_concurrent() -> u32 {
    256
}

/// Whether work may be repeated.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// May run again, its effects are the same.
    #[default]
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
}

/// A class of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// What is promised to callers.
    pub promise: Promise,
    /// Whether requests of this class may be repeated.
    #[serde(default)]
    pub execution: Execution,
}

/// A latency promise.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Promise {
    /// The caller waits: milliseconds to the first token, for 95 in 100.
    FirstTokenMs(u64),
    /// The caller needs the whole answer by then: milliseconds to the end.
    CompleteMs(u64),
}

impl Promise {
    /// The promised time.
    pub const fn limit(self) -> Duration {
        match self {
            Self::FirstTokenMs(millis) | Self::CompleteMs(millis) => Duration::from_millis(millis),
        }
    }

    /// Whether a caller waits for the first token.
    pub const fn is_interactive(self) -> bool {
        matches!(self, Self::FirstTokenMs(_))
    }
}

/// A language model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version that workers load.
    #[serde(default)]
    pub version: Option<String>,
    /// The longest answer, in tokens.
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
    /// Whether its calls may be repeated.
    pub execution: Execution,
    /// The longest time without a byte from the service, in milliseconds.
    #[serde(default = "default_service_progress")]
    pub progress_ms: u64,
}

const fn default_service_progress() -> u64 {
    5_000
}

/// How long the cloud lets a machine be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Tenure {
    /// May be taken back with seconds of notice.
    Reclaimable,
    /// Kept until given back.
    OnDemand,
}

/// A machine class of the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmClass {
    /// How long it is kept.
    pub tenure: Tenure,
    /// Price of an hour, in thousandths of the operators' currency, by data centre.
    pub price_milli: IndexMap<DataCentreName, u64>,
}

/// What a backend server serves.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Serves {
    /// A model engine worker.
    Model(ModelName),
    /// A worker of a plain service.
    Service(ServiceName),
}

/// Whether a backend server refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses them.
    Checked,
    /// It doesn't look at the number.
    #[default]
    Ignored,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Its address, an IP number and port.
    pub address: SocketAddr,
    /// What it serves.
    pub serves: Serves,
    /// The machine class that it runs on.
    pub vm_class: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens that it processes in a second (source: the engine's own benchmark).
    #[serde(default = "default_prefill")]
    pub prefill_tokens_per_s: u32,
    /// Microseconds between two tokens of one answer.
    #[serde(default = "default_token_us")]
    pub token_us: u32,
    /// Whether it checks fencing numbers of orders.
    #[serde(default)]
    pub fencing: Fencing,
    /// `true` while operators take it out of service: it gets no new work.
    #[serde(default)]
    pub drain: bool,
}

const fn default_prefill() -> u32 {
    8_000
}

const fn default_token_us() -> u32 {
    30_000
}
