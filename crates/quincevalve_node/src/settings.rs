//! Settings that a process needs before it can contact other VMs or the store.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use quincevalve_forwarding::{
    quota::QuotaLimits, retry_budget::RetryLimits, shared_limit::SharedLimit,
};
use quincevalve_names::{DataCentreName, EntryVmName};

/// The settings of one entry VM's process.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM, unique in the system.
    pub name: EntryVmName,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// IP address of the VM.
    pub ip: IpAddr,
    /// CPU quota in thousandths of a core.
    pub cpu: u32,
    /// Memory of the VM in bytes.
    pub memory: u64,
    /// Number of sockets that the process may have.
    pub sockets: usize,
    /// Capacity of the VM's network link in bytes per second.
    pub link: u64,
    /// Address to which callers connect.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Port for datagrams between entry VMs, the same on all of them.
    pub peer_port: u16,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Whether the whole system starts for the first time, so that no other VM has state that this one could request.
    pub is_first_start: bool,
    /// Guaranteed time bounds.
    pub bounds: Bounds,
    /// Retry limits for all entry VMs together.
    pub retries: RetryLimits,
    /// Exposure limit: how many requests of all entry VMs together may be sent to an unproven version.
    pub exposure: SharedLimit,
    /// Limits by which quotas are counted over all entry VMs.
    pub quotas: QuotaLimits,
    /// Settings of the duties that one VM performs for all.
    pub duties: Duties,
}

/// Guaranteed time bounds that the process enforces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum time from the acceptance of a change until it is in force.
    pub change_in_force: Duration,
    /// Maximum time from the removal of a key to its last accepted use.
    pub key_removed: Duration,
    /// Whether keys are rejected when their removal might be unknown.
    pub keys_fail_closed: bool,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
}

/// Settings of the duties that one VM, the holder, performs for all entry VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Duties {
    /// Whether the usage of accounts is reported.
    pub usage: bool,
    /// Whether servers are ordered.
    pub scaling: bool,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time to live of the holder's lease.
    pub lease: Duration,
}
