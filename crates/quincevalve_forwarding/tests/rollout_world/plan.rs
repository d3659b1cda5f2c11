//! What happens in a world.

/// A kind of request.
#[derive(Clone, Debug)]
pub(crate) struct Traffic {
    pub(crate) name: &'static str,
    /// Requests a second, over all VMs.
    pub(crate) rate: f64,
    /// The part that fails whatever the version.
    pub(crate) fails: f64,
    /// Milliseconds to the first part of the answer, as expected.
    pub(crate) first_ms: f64,
    /// Milliseconds from there to the end of a stream.
    pub(crate) length_ms: f64,
    pub(crate) is_stream: bool,
}

impl Traffic {
    /// Requests of this kind that run at once.
    pub(crate) fn running(&self) -> f64 {
        self.rate * (self.first_ms + self.length_ms) / 1_000.0
    }
}

/// When a bad version shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    AtOnce,
    /// Five seconds after each server came.
    Later,
    /// At servers with more than half of their usual load.
    UnderLoad,
    OneRoute,
}

/// How bad a version is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Badness {
    pub(crate) way: Way,
    /// The part of the answers that are failures.
    pub(crate) fails: f64,
    /// How many times as long answers take.
    pub(crate) slow: f64,
}

/// What goes wrong beside the roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    None,
    GreyServers,
    SlowServers,
    SpoiledAnswers,
    Crashes,
    Flapping,
    /// A quarter of the VMs.
    CutOff,
    Restarts,
    HolderCut,
    HolderKilled(u64),
    AllKilled(u64),
    /// From and to, in milliseconds since the order.
    StoreAway(u64, u64),
    AnswersLost,
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
    pub(crate) badness: Option<Badness>,
    pub(crate) trouble: Trouble,
    /// Whether the real cores decide, or the naive way.
    pub(crate) guarded: bool,
}

/// Model engines at a size.
pub(crate) fn engines(vms: usize, duration: u64) -> Plan {
    let (servers, rate) = match vms {
        ..16 => (12, 92.0),
        16..128 => (60, 331.0),
        _ => (204, 1_270.0),
    };
    let stream = |name, part: f64, first_ms, length_ms| Traffic {
        name,
        rate: rate * part,
        fails: 0.0,
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
        badness: None,
        trouble: Trouble::None,
        guarded: true,
    }
}

/// A plain service at a size.
pub(crate) fn plain(vms: usize, duration: u64) -> Plan {
    let rate = if vms < 16 { 35.0 } else { 155.0 };
    let call = |name, part: f64, fails| Traffic {
        name,
        rate: rate * part,
        fails,
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
