//! The platform's cloud API and VM list: messages and client.

use std::{net::SocketAddr, time::Duration};

use http::{Method, StatusCode};
use quincevalve_names::{DataCentreName, Incarnation};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::http_client::{CallError, HttpClient};

/// A VM's state in the platform's list. The list lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// Being taken back.
    Leaving,
}

/// One row of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedVm {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: VmState,
    /// The address at which peers reach it; `None` for backend servers.
    pub peer_address: Option<SocketAddr>,
}

/// A notice that VMs will be taken back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Notice {
    /// The notice's number.
    pub number: u64,
    /// Everything that this wave takes: a single VM or a data centre's worth.
    pub vms: Vec<String>,
    /// Milliseconds until they are gone, when the platform answered.
    pub left_ms: u64,
}

/// An order for one VM; the token makes it idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PurchaseOrder {
    /// The same token twice buys once.
    pub token: String,
    /// Where.
    pub data_centre: DataCentreName,
    /// Which machine class.
    pub vm_class: String,
}

/// A VM that was bought.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Purchase {
    /// Its name.
    pub vm: String,
}

/// A purchase that failed.
#[derive(Debug, Snafu)]
pub enum PurchaseError {
    /// The cloud has none of that class there now.
    #[snafu(display("cloud: refused"))]
    Refused,
    /// The call failed; it may have taken effect, and the token makes a repeat safe.
    #[snafu(display("cloud: {source}"))]
    Call {
        /// Why.
        source: CallError,
    },
}

/// A client of the cloud API.
#[derive(Clone, Debug)]
pub struct CloudClient {
    http: HttpClient,
    address: SocketAddr,
    limit: Duration,
}

impl CloudClient {
    /// Makes a client.
    pub const fn new(http: HttpClient, address: SocketAddr, limit: Duration) -> Self {
        Self { http, address, limit }
    }

    /// Reads the list of VMs.
    pub async fn list(&self) -> Result<Vec<ListedVm>, CallError> {
        self.http.call(Method::GET, self.address, "/v1/vms", None::<&()>, self.limit).await
    }

    /// Waits for notices after a number, at most for `wait`.
    pub async fn notices(&self, after: u64, wait: Duration) -> Result<Vec<Notice>, CallError> {
        let path = format!("/v1/notices?after={after}&wait_ms={}", wait.as_millis());
        let limit = wait + self.limit;
        self.http.call(Method::GET, self.address, &path, None::<&()>, limit).await
    }

    /// Buys a VM.
    pub async fn purchase(&self, order: &PurchaseOrder) -> Result<Purchase, PurchaseError> {
        let call = self.http.call(Method::POST, self.address, "/v1/vms", Some(order), self.limit);
        match call.await {
            Ok(purchase) => Ok(purchase),
            Err(CallError::Status { status: StatusCode::INSUFFICIENT_STORAGE, .. }) => {
                Err(PurchaseError::Refused)
            }
            Err(source) => Err(PurchaseError::Call { source }),
        }
    }
}
