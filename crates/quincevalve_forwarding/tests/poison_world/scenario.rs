//! The parameters of a simulation, and what came of it.

use std::fmt;

use crate::parts::{PartOutcome, PartTraffic};

/// A span of time, in milliseconds.
pub(crate) type TimeSpan = std::ops::Range<u64>;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) vms: usize,
    pub(crate) servers: usize,
    /// Whether VMs reject quarantined requests.
    pub(crate) guarded: bool,
    /// Fraction of datagrams that are lost.
    pub(crate) loss: f64,
    /// Duration of the simulation in milliseconds.
    pub(crate) duration_ms: u64,
    /// Times in milliseconds at which the poison request arrives, each with the number of copies.
    pub(crate) poison: Vec<(u64, usize)>,
    /// Burst of exits: a third of all servers at its start, and then most of the others one by one.
    pub(crate) burst: Option<TimeSpan>,
    /// Number of different requests that many callers send.
    pub(crate) popular: usize,
    /// Rate per second of each of them.
    pub(crate) popular_rate: f64,
    /// Time in milliseconds from which they are sent.
    pub(crate) popular_from: u64,
    /// Rate per second of requests that only one caller sends.
    pub(crate) single_rate: f64,
    /// Number of VMs that are partitioned from other VMs and the store, and when.
    pub(crate) partitioned: Option<(usize, TimeSpan)>,
    /// Time at which all VMs are killed; they lose their state.
    pub(crate) all_killed_at: Option<u64>,
    /// Time at which the first arbiter of the poison request is killed.
    pub(crate) arbiter_killed_at: Option<u64>,
    /// When the store can't be written.
    pub(crate) store_outage: Option<TimeSpan>,
    /// Time from which servers can run the poison request.
    pub(crate) fixed_at: Option<u64>,
    /// Requests whose prompts hold parts, some of which crash servers.
    pub(crate) parts: Option<PartTraffic>,
    /// Number of groups of VMs that are partitioned from each other but not from the store, and when.
    pub(crate) split: Option<(usize, TimeSpan)>,
    /// Number of VMs that stand still, and when.
    pub(crate) frozen: Option<(usize, TimeSpan)>,
    /// Number of software versions of the servers.
    pub(crate) versions: usize,
    /// Whether each part is counted as if it were a whole request, for comparison.
    pub(crate) parts_as_requests: bool,
}

impl Scenario {
    pub(crate) fn new(vms: usize, servers: usize) -> Self {
        Self {
            vms,
            servers,
            guarded: true,
            loss: 0.01,
            duration_ms: 45_000,
            poison: Vec::new(),
            burst: None,
            popular: 0,
            popular_rate: 0.0,
            popular_from: 0,
            single_rate: 0.0,
            partitioned: None,
            all_killed_at: None,
            arbiter_killed_at: None,
            store_outage: None,
            fixed_at: None,
            parts: None,
            split: None,
            frozen: None,
            versions: 1,
            parts_as_requests: false,
        }
    }
}

/// The results of a simulation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// Number of servers that exited under the poison request.
    pub(crate) crashed: usize,
    /// Time of the third of these exits, in milliseconds.
    pub(crate) third_exit: Option<u64>,
    /// Attempts of the poison request, each with its time and whether its VM was connected.
    pub(crate) attempts: Vec<(u64, bool)>,
    /// Time at which the poison request was first rejected.
    pub(crate) first_rejected: Option<u64>,
    /// Number of answers to the poison request from fixed servers.
    pub(crate) fixed_answers: usize,
    /// Number of other requests that were rejected.
    pub(crate) innocents_rejected: usize,
    /// Time of the first of these rejections, in milliseconds.
    pub(crate) first_innocent_rejection: Option<u64>,
    /// Milliseconds from the first to the last of these rejections.
    pub(crate) rejected_for: u64,
    pub(crate) innocents_served: usize,
    pub(crate) innocents_interrupted: usize,
    pub(crate) bytes_sent: u64,
    pub(crate) store_calls: usize,
    /// What came of requests with parts.
    pub(crate) parts: PartOutcome,
}

impl Outcome {
    /// Returns the number of attempts by connected VMs later than `late_after` milliseconds after the third exit.
    pub(crate) fn late_attempts(&self, late_after: u64) -> usize {
        let Some(third) = self.third_exit else { return 0 };
        let is_late = |(at, is_connected): &&(u64, bool)| *is_connected && *at > third + late_after;
        self.attempts.iter().filter(is_late).count()
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known =
            self.first_rejected.zip(self.third_exit).map(|(at, third)| at.saturating_sub(third));
        write!(
            f,
            "servers crashed {:3}  attempts 3 s after the third {:3}  first rejected {:>5} ms after it  \
             others: {} rejected, {} served, {} interrupted  sent {} kB  store calls {}",
            self.crashed,
            self.late_attempts(3_000),
            known.map_or("-".to_owned(), |it| it.to_string()),
            self.innocents_rejected,
            self.innocents_served,
            self.innocents_interrupted,
            self.bytes_sent / 1_000,
            self.store_calls,
        )
    }
}
