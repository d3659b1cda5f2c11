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
    pub(crate) mean_running: f32,
    pub(crate) mean_queue: f32,
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
            mean_running: 0.0,
            mean_queue: 0.0,
            leaving: Leaving::default(),
            failures: 0,
            shunned_until: TimePoint::ZERO,
        }
    }

    /// Whether new work may go here.
    pub(crate) fn takes_work(&self, now: TimePoint) -> bool {
        !self.spec.drained && !self.leaving.is_leaving() && self.shunned_until <= now
    }

    /// Takes a report into the running means.
    ///
    /// Failure: every router sends to whichever server the last report showed as idle, and a second
    /// later that one is full (a herd). The mean over a few reports shows which servers are loaded for
    /// good, long answers most of all, and is blind to what a report is too old to tell.
    pub(crate) fn take_report(&mut self, report: LoadReport) {
        self.report = report;
        self.mean_running += REPORT_GAIN * (report.running as f32 - self.mean_running);
        self.mean_queue += REPORT_GAIN * (report.queued_tokens as f32 - self.mean_queue);
    }

    /// Requests believed to be on the server: what was reported of late, and never below the own count.
    pub(crate) fn load(&self) -> f64 {
        f64::from(self.outstanding).max(f64::from(self.mean_running))
    }

    /// Prompt tokens believed to be ahead of a new request.
    pub(crate) fn queue(&self) -> f64 {
        f64::from(self.outstanding_prompt).max(f64::from(self.mean_queue))
    }

    /// The share of the slots that are believed to be taken, above 1 where work waits.
    pub(crate) fn fill(&self) -> f64 {
        self.load() / f64::from(self.spec.slots)
    }
}

const REPORT_GAIN: f32 = 0.3;
