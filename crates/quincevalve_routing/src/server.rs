//! State that the router keeps for each backend server.

use std::time::Duration;

use quincevalve_names::{BackendServerName, DataCentreName, TimePoint, hash_text};

use crate::{leaving::Leaving, pool::Target};

/// Index of a server in the router's table, stable for the lifetime of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerIndex(pub u32);

/// Description of a server from the inventory.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// Name of the server.
    pub name: BackendServerName,
    /// Data centre that the server runs in.
    pub data_centre: DataCentreName,
    /// Model or service that it serves.
    pub target: Target,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Prefill throughput, in prompt tokens per second.
    pub prefill_tokens_per_s: u32,
    /// Time between two output tokens of one response.
    pub token_time: Duration,
    /// Whether the cloud may reclaim the server.
    pub reclaimable: bool,
    /// Whether operators drain the server. Unlike evidence of leaving, this can be revoked.
    pub drained: bool,
}

/// Load that a server reported about itself. Reports lag behind the actual load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Time at which the server measured the load.
    pub at: TimePoint,
    /// Number of running requests.
    pub running: u32,
    /// Number of prompt tokens waiting for prefill.
    pub queued_tokens: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) spec: ServerSpec,
    pub(crate) hash: u64,
    pub(crate) outstanding: u32,
    pub(crate) outstanding_prompt: u32,
    pub(crate) report: LoadReport,
    pub(crate) mean_running: f32,
    pub(crate) mean_queued_tokens: f32,
    pub(crate) leaving: Leaving,
    pub(crate) failures: u32,
    pub(crate) ejected_until: TimePoint,
}

impl Server {
    pub(crate) fn new(spec: ServerSpec) -> Self {
        let hash = hash_text(spec.name.as_str());
        Self {
            spec,
            hash,
            outstanding: 0,
            outstanding_prompt: 0,
            report: LoadReport::default(),
            mean_running: 0.0,
            mean_queued_tokens: 0.0,
            leaving: Leaving::default(),
            failures: 0,
            ejected_until: TimePoint::ZERO,
        }
    }

    /// Returns whether the server accepts new requests: not drained, not leaving and not ejected.
    pub(crate) fn accepts_requests(&self, now: TimePoint) -> bool {
        !self.spec.drained && !self.leaving.is_leaving() && self.ejected_until <= now
    }

    /// Updates the moving averages from a load report.
    ///
    /// If routers used only the last report, all of them would send to the server that it showed as idle,
    /// and overload it within a second (herding). The average over a few reports shows sustained load, mostly
    /// from long responses, and ignores short-term changes that a delayed report can't show accurately.
    pub(crate) fn update_load(&mut self, report: LoadReport) {
        self.report = report;
        self.mean_running += REPORT_GAIN * (report.running as f32 - self.mean_running);
        self.mean_queued_tokens +=
            REPORT_GAIN * (report.queued_tokens as f32 - self.mean_queued_tokens);
    }

    /// Estimates the requests on the server: the average of recent reports, but at least this router's own count.
    pub(crate) fn estimated_requests(&self) -> f64 {
        f64::from(self.outstanding).max(f64::from(self.mean_running))
    }

    /// Estimates the prompt tokens queued ahead of a new request.
    pub(crate) fn estimated_queued_tokens(&self) -> f64 {
        f64::from(self.outstanding_prompt).max(f64::from(self.mean_queued_tokens))
    }

    /// Estimates the fraction of slots in use; above 1 if requests wait.
    pub(crate) fn utilization(&self) -> f64 {
        self.estimated_requests() / f64::from(self.spec.slots)
    }
}

/// Weight of the newest report in the exponential moving averages.
const REPORT_GAIN: f32 = 0.3;
