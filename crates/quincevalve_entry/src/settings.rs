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
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where operators' tools read counts; without it they can't. Callers never reach it.
    #[serde(default)]
    pub status_listen: Option<SocketAddr>,
    /// Where other entry VMs reach it.
    pub peer_listen: SocketAddr,
    /// The control process of the same VM; without it this VM knows no peers and no newer inventory.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// How peers are let in and called; without it plain TCP, on loopback only.
    #[serde(default)]
    pub peer_tls: Option<PeerTls>,
    /// The inventory to start from, until a newer revision comes.
    pub inventory: PathBuf,
    /// The platform's address.
    pub platform: SocketAddr,
    /// What callers may use.
    #[serde(default)]
    pub limits: Limits,
    /// The claims of non-idempotent requests.
    #[serde(default)]
    pub ledger: LedgerSettings,
    /// Waits and periods.
    #[serde(default)]
    pub pacing: Pacing,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections open at once.
    pub connections: usize,
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Milliseconds for a request's head to arrive.
    pub header_ms: u64,
    /// Milliseconds without a byte of the body.
    pub body_progress_ms: u64,
    /// Milliseconds in which a caller must take some of its answer.
    pub caller_progress_ms: u64,
    /// Bytes of answers kept for re-attaching.
    pub kept_answer_bytes: usize,
    /// Answers kept for re-attaching.
    pub kept_answers: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_ms: 5_000,
            body_progress_ms: 5_000,
            caller_progress_ms: 30_000,
            kept_answer_bytes: 64 << 20,
            kept_answers: 20_000,
        }
    }
}

/// The claims of non-idempotent requests. Every entry VM must have the same numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LedgerSettings {
    /// Slots that claims are spread over; each is one key of the platform's store.
    pub slots: u32,
    /// Milliseconds between two writes of one slot.
    pub pace_ms: u64,
    /// Seconds for which a claim is kept. A key that is older counts as new.
    pub retention_s: u64,
    /// Milliseconds until a claim that can't be settled is refused.
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

/// Waits and periods, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Pacing {
    /// The longest wait for a connection to a backend server.
    pub connect_ms: u64,
    /// The longest wait for an engine to confirm that it took an order.
    pub head_ms: u64,
    /// The longest time without a byte from an engine before its first token.
    pub first_token_progress_ms: u64,
    /// The longest time without a byte from an engine after its first token.
    pub token_progress_ms: u64,
    /// The longest wait for an answer to a probe on a new connection.
    pub probe_ms: u64,
    /// Between two load reports of one server.
    pub report_ms: u64,
    /// How long an answer that nobody reads goes on, so that its caller can re-attach.
    pub reattach_ms: u64,
    /// How long a stop waits for requests in flight.
    pub drain_ms: u64,
    /// How long after a stop or notice the VM still accepts, until the balancer has seen it.
    pub balancer_ms: u64,
    /// The longest wait for the platform's answer.
    pub platform_ms: u64,
    /// The longest wait for a peer's answer.
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
