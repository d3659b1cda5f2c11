//! Messages and client of the platform's cloud API and VM list.

use std::{net::SocketAddr, time::Duration};

use http::{Method, StatusCode};
use quincevalve_names::{DataCentreName, Incarnation};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::http_client::{CallError, HttpClient};

/// A VM's state in the platform's list. The list may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// Being reclaimed.
    Leaving,
}

/// An entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedVm {
    /// The name of the VM.
    pub name: String,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// The incarnation of the VM.
    pub incarnation: Incarnation,
    /// The state of the VM.
    pub state: VmState,
    /// The address for connections from peers; `None` for backend servers.
    pub peer_address: Option<SocketAddr>,
}

/// A notice that VMs will be reclaimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Notice {
    /// The number of the notice.
    pub number: u64,
    /// All VMs in this reclaim wave, from a single VM to all VMs of a data centre.
    pub vms: Vec<String>,
    /// Time until the VMs are reclaimed, in milliseconds from the platform's answer.
    pub left_ms: u64,
}

/// An order for one VM, made idempotent by its token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PurchaseOrder {
    /// The idempotency token: two orders with the same token buy one VM.
    pub token: String,
    /// The data centre of the new VM.
    pub data_centre: DataCentreName,
    /// The VM class of the new VM.
    pub vm_class: String,
}

/// A purchased VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Purchase {
    /// The name of the VM.
    pub vm: String,
}

/// The error for a failed purchase.
#[derive(Debug, Snafu)]
pub enum PurchaseError {
    /// The cloud currently has no VM of this class in this data centre.
    #[snafu(display("cloud: refused"))]
    Refused,
    /// The call failed. The purchase may have taken effect; the token makes a retry safe.
    #[snafu(display("cloud: {source}"))]
    Call {
        /// The cause.
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
    /// Creates a client of the API at `address`. Each call except [`Self::notices`] ends within `limit`.
    pub const fn new(http: HttpClient, address: SocketAddr, limit: Duration) -> Self {
        Self { http, address, limit }
    }

    /// Reads the VM list.
    pub async fn list(&self) -> Result<Vec<ListedVm>, CallError> {
        self.http.call(Method::GET, self.address, "/v1/vms", None::<&()>, self.limit).await
    }

    /// Waits at most `wait` for notices with a number above `after`.
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
