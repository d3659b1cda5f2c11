//! Configuration of a simulation.

/// A kind of request.
#[derive(Clone, Debug)]
pub(crate) struct Traffic {
    pub(crate) name: &'static str,
    /// Requests per second, over all VMs.
    pub(crate) rate: f64,
    /// Fraction of the requests that fails with any version.
    pub(crate) failure_rate: f64,
    /// Expected milliseconds to the first part of the answer.
    pub(crate) first_ms: f64,
    /// Milliseconds from the first part to the end of a stream.
    pub(crate) length_ms: f64,
    pub(crate) is_stream: bool,
}

impl Traffic {
    /// Returns the mean number of concurrent requests of this kind.
    pub(crate) fn running(&self) -> f64 {
        self.rate * (self.first_ms + self.length_ms) / 1_000.0
    }
}

/// When the fault of a bad version shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultOnset {
    Immediate,
    /// Five seconds after each server was listed.
    Late,
    /// At servers with more than half of their usual load.
    UnderLoad,
    OneRoute,
}

/// The fault of a bad version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct VersionFault {
    pub(crate) onset: FaultOnset,
    /// Fraction of the answers that are failures.
    pub(crate) failure_rate: f64,
    /// Factor on the time that answers take.
    pub(crate) slowdown: f64,
}

/// A fault that is independent of the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Disturbance {
    None,
    GreyServers,
    SlowServers,
    FaultyAnswers,
    Crashes,
    Flapping,
    /// A quarter of the VMs can't reach the others or the store.
    Partitioned,
    Restarts,
    HolderPartitioned,
    HolderKilled(u64),
    AllKilled(u64),
    /// From and to, in milliseconds after the order.
    StoreUnreachable(u64, u64),
    StoreAnswersLost,
}

#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) vms: usize,
    pub(crate) old_servers: usize,
    pub(crate) new_servers: usize,
    pub(crate) has_engines: bool,
    pub(crate) routes: Vec<Traffic>,
    pub(crate) share: f64,
    pub(crate) slack: f64,
    pub(crate) order_at: u64,
    pub(crate) boot: u64,
    pub(crate) duration: u64,
    pub(crate) version_fault: Option<VersionFault>,
    pub(crate) disturbance: Disturbance,
    /// Whether the real roll-out code decides, or the naive baseline.
    pub(crate) guarded: bool,
}

/// Returns a plan of model engines with a load for this number of VMs.
pub(crate) fn engines(vms: usize, duration: u64) -> Plan {
    let (servers, rate) = match vms {
        ..16 => (12, 92.0),
        16..128 => (60, 331.0),
        _ => (204, 1_270.0),
    };
    let stream = |name, fraction: f64, first_ms, length_ms| Traffic {
        name,
        rate: rate * fraction,
        failure_rate: 0.0,
        first_ms,
        length_ms,
        is_stream: true,
    };
    Plan {
        vms,
        old_servers: servers,
        new_servers: servers,
        has_engines: true,
        routes: vec![
            stream("brief", 0.26, 180.0, 2_000.0),
            stream("chat", 0.29, 70.0, 1_600.0),
            stream("tag", 0.45, 90.0, 120.0),
        ],
        share: 0.1,
        slack: 50.0,
        order_at: 3_000,
        boot: 4_000,
        duration,
        version_fault: None,
        disturbance: Disturbance::None,
        guarded: true,
    }
}

/// Returns a plan of a plain service with a load for this number of VMs.
pub(crate) fn plain(vms: usize, duration: u64) -> Plan {
    let rate = if vms < 16 { 35.0 } else { 155.0 };
    let call = |name, fraction: f64, failure_rate| Traffic {
        name,
        rate: rate * fraction,
        failure_rate,
        first_ms: 18.0,
        length_ms: 0.0,
        is_stream: false,
    };
    Plan {
        old_servers: 4,
        new_servers: 4,
        has_engines: false,
        routes: vec![call("hold", 0.81, 0.004), call("ack", 0.19, 0.14)],
        ..engines(vms, duration)
    }
}
