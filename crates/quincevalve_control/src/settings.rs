//! The settings of one control process.

use std::{net::SocketAddr, time::Duration};

use quincevalve_membership::MembershipSettings;
use quincevalve_names::{DataCentreName, EntryVmName};
use quincevalve_peers::PeerTls;
use quincevalve_program::{LogSettings, MetricsSettings, ProgramSettings};
use serde::{Deserialize, Serialize};

use crate::admin::Team;

/// The settings file of `quincevalve-control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// This VM's name.
    pub name: EntryVmName,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Where peers' control processes reach it.
    pub peer_listen: SocketAddr,
    /// The address that peers are told, if it differs from the one listened on.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// Where peers reach the entry process of this VM.
    pub entry_peer: SocketAddr,
    /// Where the entry process of this VM asks.
    pub local_listen: SocketAddr,
    /// Where operators reach the administration API; without it there is none on this VM.
    #[serde(default)]
    pub admin_listen: Option<SocketAddr>,
    /// The platform's address.
    pub platform: SocketAddr,
    /// Control processes to ask first, beside those in the platform's list.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// How peers are let in and called; without it plain TCP, on loopback only.
    #[serde(default)]
    pub peer_tls: Option<PeerTls>,
    /// Who may administer.
    #[serde(default)]
    pub team: Vec<Team>,
    /// Waits and periods.
    #[serde(default)]
    pub pacing: ControlPacing,
    /// The plan's lease and orders.
    #[serde(default)]
    pub plan: PlanPacing,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

/// Waits and periods, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlPacing {
    /// Between two rounds of probes.
    pub period_ms: u64,
    /// How long a suspect may refute before it counts as gone.
    pub suspicion_ms: u64,
    /// The longest wait for a peer's answer.
    pub peer_ms: u64,
    /// The longest wait for the platform's answer.
    pub platform_ms: u64,
    /// How long one watch of the store waits.
    pub watch_ms: u64,
    /// Between two looks at the platform's list.
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

/// The plan's lease and orders, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlanPacing {
    /// Between two rounds of planning; well below the lease.
    pub period_ms: u64,
    /// How long the lease lasts.
    pub lease_ms: u64,
    /// The longest time between deciding to send an order and its arrival.
    pub flight_ms: u64,
}

impl Default for PlanPacing {
    fn default() -> Self {
        Self { period_ms: 3_000, lease_ms: 10_000, flight_ms: 2_000 }
    }
}

impl PlanPacing {
    pub(crate) const fn period(&self) -> Duration {
        Duration::from_millis(self.period_ms)
    }

    pub(crate) const fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    pub(crate) const fn flight(&self) -> Duration {
        Duration::from_millis(self.flight_ms)
    }
}

impl ControlPacing {
    pub(crate) const fn period(&self) -> Duration {
        Duration::from_millis(self.period_ms)
    }

    pub(crate) const fn peer(&self) -> Duration {
        Duration::from_millis(self.peer_ms)
    }

    pub(crate) const fn platform(&self) -> Duration {
        Duration::from_millis(self.platform_ms)
    }

    pub(crate) const fn watch(&self) -> Duration {
        Duration::from_millis(self.watch_ms)
    }

    pub(crate) const fn list(&self) -> Duration {
        Duration::from_millis(self.list_ms)
    }

    pub(crate) fn membership(&self) -> MembershipSettings {
        MembershipSettings {
            probe_interval: self.period(),
            suspicion_timeout: Duration::from_millis(self.suspicion_ms),
            ..MembershipSettings::default()
        }
    }
}

impl ControlSettings {
    /// The address that peers are told.
    pub(crate) fn advertised(&self) -> SocketAddr {
        self.peer_advertise.unwrap_or(self.peer_listen)
    }
}

impl ProgramSettings for ControlSettings {
    fn log(&self) -> &LogSettings {
        &self.log
    }
}
