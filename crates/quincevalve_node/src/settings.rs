//! What a process has to know before it can ask anyone.

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
    /// Its name, unique over the system.
    pub name: EntryVmName,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Its address.
    pub ip: IpAddr,
    /// Thousandths of a processor core that it may use.
    pub cpu: u32,
    /// Bytes a second that its link carries.
    pub link: u64,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where the platform asks whether it takes callers.
    pub ready: SocketAddr,
    /// The port for datagrams between entry VMs, the same on all.
    pub peer_port: u16,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Whether the whole system starts for the first time: no VM knows anything that this one could ask for.
    pub is_first_start: bool,
    /// Promised times.
    pub bounds: Bounds,
    /// The retry budget of all entry VMs.
    pub retries: RetryLimits,
    /// How many requests of all entry VMs a version may get that isn't known to be good.
    pub exposure: SharedLimit,
    /// How quotas are counted over all entry VMs.
    pub quotas: QuotaLimits,
    /// What one holder does for all.
    pub duties: Duties,
}

/// Promised times that decide something here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// From the acceptance of a change to its being in force.
    pub change_in_force: Duration,
    /// From the removal of a key to its last use.
    pub key_removed: Duration,
    /// Whether a key is refused where its removal might be unknown.
    pub keys_fail_closed: bool,
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
}

/// What one holder does for all entry VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Duties {
    /// Reports the use of accounts.
    pub usage: bool,
    /// Orders servers.
    pub scaling: bool,
    /// The length of a usage window.
    pub usage_window: Duration,
    /// The length of the holder's lease.
    pub lease: Duration,
}
