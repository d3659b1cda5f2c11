//! Settings of a control process.

use std::{net::SocketAddr, time::Duration};

use quincevalve_membership::MembershipSettings;
use quincevalve_names::{DataCentreName, EntryVmName};
use quincevalve_peers::PeerTls;
use quincevalve_program::{LogSettings, MetricsSettings, ProgramSettings};
use serde::{Deserialize, Serialize};

use crate::admin::Team;

/// Contents of the settings file of `quincevalve-control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name of this VM.
    pub name: EntryVmName,
    /// Data centre of this VM.
    pub data_centre: DataCentreName,
    /// Address to listen on for the control processes of peers.
    pub peer_listen: SocketAddr,
    /// Address that is published to peers, if it differs from `peer_listen`.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// Address at which peers reach this VM's entry process.
    pub entry_peer: SocketAddr,
    /// Address to listen on for this VM's entry process.
    pub local_listen: SocketAddr,
    /// Address to listen on for the administration API; if absent, this VM doesn't serve the API.
    #[serde(default)]
    pub admin_listen: Option<SocketAddr>,
    /// Address of the platform's API.
    pub platform: SocketAddr,
    /// Control processes to contact first, in addition to those in the platform's list.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Mutual TLS between peers; if absent, plain TCP is used, on loopback only.
    #[serde(default)]
    pub peer_tls: Option<PeerTls>,
    /// Teams that may use the administration API.
    #[serde(default)]
    pub team: Vec<Team>,
    /// Timeouts and intervals.
    #[serde(default)]
    pub pacing: ControlPacing,
    /// Timing of the plan's lease and orders.
    #[serde(default)]
    pub plan: PlanPacing,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

/// Timeouts and intervals, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlPacing {
    /// Interval between two rounds of probes.
    pub period_ms: u64,
    /// Time that a suspected member has to refute the suspicion before it is declared dead.
    pub suspicion_ms: u64,
    /// Timeout of a call to a peer.
    pub peer_ms: u64,
    /// Timeout of a call to the platform.
    pub platform_ms: u64,
    /// Maximum duration of one watch of the store.
    pub watch_ms: u64,
    /// Interval between two reads of the platform's list of VMs.
    pub list_ms: u64,
}

impl Default for ControlPacing {
    fn default() -> Self {
        Self {
            period_ms: 1_000,
            suspicion_ms: 3_000,
            peer_ms: 500,
            platform_ms: 1_000,
            watch_ms: 10_000,
            list_ms: 10_000,
        }
    }
}

/// Timing of the plan's lease and orders, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlanPacing {
    /// Interval between two planning rounds; must be well below `lease_ms`.
    pub period_ms: u64,
    /// Duration of the lease.
    pub lease_ms: u64,
    /// Maximum time between the decision to send an order and its arrival.
    pub flight_ms: u64,
}

impl Default for PlanPacing {
    fn default() -> Self {
        Self { period_ms: 3_000, lease_ms: 10_000, flight_ms: 2_000 }
    }
}

impl PlanPacing {
    pub(crate) const fn planning_interval(&self) -> Duration {
        Duration::from_millis(self.period_ms)
    }

    pub(crate) const fn lease_ttl(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    pub(crate) const fn max_delivery_time(&self) -> Duration {
        Duration::from_millis(self.flight_ms)
    }
}

impl ControlPacing {
    pub(crate) const fn probe_interval(&self) -> Duration {
        Duration::from_millis(self.period_ms)
    }

    pub(crate) const fn peer_timeout(&self) -> Duration {
        Duration::from_millis(self.peer_ms)
    }

    pub(crate) const fn platform_timeout(&self) -> Duration {
        Duration::from_millis(self.platform_ms)
    }

    pub(crate) const fn watch_timeout(&self) -> Duration {
        Duration::from_millis(self.watch_ms)
    }

    pub(crate) const fn list_interval(&self) -> Duration {
        Duration::from_millis(self.list_ms)
    }

    pub(crate) fn membership(&self) -> MembershipSettings {
        MembershipSettings {
            probe_interval: self.probe_interval(),
            suspicion_timeout: Duration::from_millis(self.suspicion_ms),
            ..MembershipSettings::default()
        }
    }
}

impl ControlSettings {
    /// Returns the address that is published to peers.
    pub(crate) fn advertised(&self) -> SocketAddr {
        self.peer_advertise.unwrap_or(self.peer_listen)
    }
}

impl ProgramSettings for ControlSettings {
    fn log(&self) -> &LogSettings {
        &self.log
    }
}
