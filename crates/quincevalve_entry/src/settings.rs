//! The settings of one entry VM.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use quincevalve_ledger::{ClaimLedgerSettings, SlotSettings};
use quincevalve_names::{DataCentreName, EntryVmName};
use quincevalve_peers::PeerTls;
use quincevalve_program::{LogSettings, MetricsSettings, ProgramSettings};
use serde::{Deserialize, Serialize};

/// The settings file of `quincevalve-entry`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// This VM's name.
    pub name: EntryVmName,
    /// Data centre that this VM runs in.
    pub data_centre: DataCentreName,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Address at which operators' tools read counters; disabled if absent. Not meant for callers.
    #[serde(default)]
    pub status_listen: Option<SocketAddr>,
    /// Address that other entry VMs connect to.
    pub peer_listen: SocketAddr,
    /// Address of the control process of the same VM. Without it, this VM has no peers and keeps its initial inventory.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// TLS settings for connections from and to peers. Without them, peers use plain TCP, on loopback only.
    #[serde(default)]
    pub peer_tls: Option<PeerTls>,
    /// Inventory file to start with, until a newer revision is received.
    pub inventory: PathBuf,
    /// Address of the platform's cloud API and store.
    pub platform: SocketAddr,
    /// Limits on what callers may use.
    #[serde(default)]
    pub limits: Limits,
    /// Settings of the ledger of claims on non-idempotent requests.
    #[serde(default)]
    pub ledger: LedgerSettings,
    /// Timeouts and intervals.
    #[serde(default)]
    pub pacing: Pacing,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics settings.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

/// Limits on connections, requests and kept answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request's head, in milliseconds.
    pub header_ms: u64,
    /// Maximum size of all bodies that arrive or wait, in bytes.
    pub held_body_bytes: usize,
    /// Maximum time without a byte of a request's body, in milliseconds.
    pub body_progress_ms: u64,
    /// Maximum time from the head of a request to the end of its body, in milliseconds.
    pub body_ms: u64,
    /// Maximum time in which a caller reads nothing of its answer, in milliseconds.
    pub caller_progress_ms: u64,
    /// Maximum size of all answers kept for re-attaching, in bytes.
    pub kept_answer_bytes: usize,
    /// Maximum number of answers kept for re-attaching.
    pub kept_answers: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_ms: 5_000,
            held_body_bytes: 32 << 20,
            body_progress_ms: 5_000,
            body_ms: 60_000,
            caller_progress_ms: 30_000,
            kept_answer_bytes: 64 << 20,
            kept_answers: 20_000,
        }
    }
}

/// Settings of the ledger of claims on non-idempotent requests. They must be the same on all entry VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LedgerSettings {
    /// Number of slots that claims are distributed over. Each slot is one key of the platform's store.
    pub slots: u32,
    /// Minimum interval between two writes of one slot, in milliseconds.
    pub pace_ms: u64,
    /// Retention of a claim, in seconds. An idempotency key that is used again later counts as new.
    pub retention_s: u64,
    /// Timeout after which a claim that can't be settled is refused, in milliseconds.
    pub give_up_ms: u64,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self { slots: 16, pace_ms: 200, retention_s: 3_600, give_up_ms: 2_000 }
    }
}

impl From<LedgerSettings> for ClaimLedgerSettings {
    fn from(settings: LedgerSettings) -> Self {
        let slot = SlotSettings {
            write_interval: Duration::from_millis(settings.pace_ms),
            retention_s: settings.retention_s,
            ..SlotSettings::default()
        };
        let claim_timeout = Duration::from_millis(settings.give_up_ms);
        Self { slots: settings.slots.max(1), slot, claim_timeout }
    }
}

/// Timeouts and intervals, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Pacing {
    /// Timeout for connecting to a backend server.
    pub connect_ms: u64,
    /// Timeout for an engine to confirm that it accepted a request.
    pub head_ms: u64,
    /// Maximum time without a byte from an engine before its first token.
    pub first_token_progress_ms: u64,
    /// Maximum time without a byte from an engine after its first token.
    pub token_progress_ms: u64,
    /// Timeout for the response to a probe on a new connection.
    pub probe_ms: u64,
    /// Interval between two rounds of polling engines for load reports.
    pub report_ms: u64,
    /// How long a request without a reader keeps running, so that its caller can re-attach.
    pub reattach_ms: u64,
    /// Maximum time for which a stop waits for requests in flight.
    pub drain_ms: u64,
    /// How long the VM keeps accepting requests after a stop or reclaim notice, until the load balancer has noticed it.
    pub balancer_ms: u64,
    /// Timeout for a response of the platform.
    pub platform_ms: u64,
    /// Timeout for a response of a peer.
    pub peer_ms: u64,
}

impl Default for Pacing {
    fn default() -> Self {
        Self {
            connect_ms: 500,
            head_ms: 1_000,
            first_token_progress_ms: 10_000,
            token_progress_ms: 2_000,
            probe_ms: 500,
            report_ms: 1_000,
            reattach_ms: 30_000,
            drain_ms: 30_000,
            balancer_ms: 2_000,
            platform_ms: 1_000,
            peer_ms: 1_000,
        }
    }
}

impl Pacing {
    pub(crate) const fn connect(&self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }

    pub(crate) const fn head(&self) -> Duration {
        Duration::from_millis(self.head_ms)
    }

    pub(crate) const fn first_token_progress(&self) -> Duration {
        Duration::from_millis(self.first_token_progress_ms)
    }

    pub(crate) const fn token_progress(&self) -> Duration {
        Duration::from_millis(self.token_progress_ms)
    }

    pub(crate) const fn probe(&self) -> Duration {
        Duration::from_millis(self.probe_ms)
    }

    pub(crate) const fn report(&self) -> Duration {
        Duration::from_millis(self.report_ms)
    }

    pub(crate) const fn reattach(&self) -> Duration {
        Duration::from_millis(self.reattach_ms)
    }

    pub(crate) const fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    pub(crate) const fn peer(&self) -> Duration {
        Duration::from_millis(self.peer_ms)
    }

    pub(crate) const fn balancer(&self) -> Duration {
        Duration::from_millis(self.balancer_ms)
    }

    pub(crate) const fn platform(&self) -> Duration {
        Duration::from_millis(self.platform_ms)
    }
}

impl ProgramSettings for EntrySettings {
    fn log(&self) -> &LogSettings {
        &self.log
    }
}
