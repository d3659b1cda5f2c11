//! One backend server as the router sees it.

use std::time::Duration;

use quincevalve_names::{BackendServerName, DataCentreName, TimePoint, hash_text};

use crate::{leaving::Leaving, pool::Target};

/// The position of a server in the router's table; stable for the router's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerIndex(pub u32);

/// What the inventory says of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// Its name.
    pub name: BackendServerName,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// What it serves.
    pub target: Target,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens that it processes in a second.
    pub prefill_tokens_per_s: u32,
    /// Time between two tokens of one answer.
    pub token_time: Duration,
    /// Whether the cloud may take it back.
    pub reclaimable: bool,
    /// Whether operators took it out of service. Unlike other evidence this can be taken back.
    pub drained: bool,
}

/// A server's own report of its load. It lags.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// When the server measured it.
    pub at: TimePoint,
    /// Requests running.
    pub running: u32,
    /// Prompt tokens waiting.
    pub queued_tokens: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) spec: ServerSpec,
    pub(crate) hash: u64,
    pub(crate) outstanding: u32,
    pub(crate) outstanding_prompt: u32,
    pub(crate) report: LoadReport,
    pub(crate) leaving: Leaving,
    pub(crate) failures: u32,
    pub(crate) shunned_until: TimePoint,
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
            leaving: Leaving::default(),
            failures: 0,
            shunned_until: TimePoint::ZERO,
        }
    }

    /// Whether new work may go here.
    pub(crate) fn takes_work(&self, now: TimePoint) -> bool {
        !self.spec.drained && !self.leaving.is_leaving() && self.shunned_until <= now
    }

    /// Requests believed to be on the server, from all routers.
    ///
    /// The report has all of them but is old; the own count is exact but a sample. Their mean is never
    /// below the own count, so what this router just sent isn't forgotten.
    pub(crate) fn load(&self, routers: u32) -> f64 {
        let own = f64::from(self.outstanding);
        let sampled = own * f64::from(routers);
        let reported = f64::from(self.report.running);
        own.max(SAMPLE_WEIGHT * sampled + (1.0 - SAMPLE_WEIGHT) * reported)
    }

    /// The share of the slots that are believed to be taken, above 1 where work waits.
    pub(crate) fn fill(&self, routers: u32) -> f64 {
        self.load(routers) / f64::from(self.spec.slots)
    }
}

/// The weight of the own sample against the report.
const SAMPLE_WEIGHT: f64 = 0.4;
