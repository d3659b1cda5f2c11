//! Observed answers of two versions of a service, in counts that can be summed over VMs.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use quincevalve_names::{TimePoint, hash_text};
use serde::{Deserialize, Serialize};

/// A route's key in messages between VMs: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteKey(pub u32);

impl RouteKey {
    /// Returns the key of a route's name.
    pub fn of(name: &str) -> Self {
        Self(hash_text(name) as u32)
    }
}

/// Steps per unit of a natural logarithm. Logarithms are summed as integers in hundredths, so that the sum doesn't
/// depend on the order in which VMs' reports are added.
const STEPS_PER_UNIT: f64 = 100.0;
/// Bounds to which the logarithm of a ratio is clamped, so that an answer that takes a minute weighs no more than one
/// that takes about ten times as long as expected.
const MIN_LOG: f64 = -2.5;
const MAX_LOG: f64 = 2.5;

/// Count, sum and sum of squares of the logarithms of ratios.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSum {
    n: u32,
    sum: i64,
    squares: u64,
}

impl LogSum {
    /// Adds a ratio.
    pub fn add(&mut self, ratio: f64) {
        let log = ratio.max(f64::MIN_POSITIVE).ln().max(MIN_LOG).min(MAX_LOG);
        let hundredths = (log * STEPS_PER_UNIT).round() as i64;
        self.n += 1;
        self.sum += hundredths;
        self.squares += (hundredths * hundredths) as u64;
    }

    /// Returns the number of ratios.
    pub const fn count(&self) -> u32 {
        self.n
    }

    /// Returns the mean of the logarithms, or 0 if there are none.
    pub fn mean(&self) -> f64 {
        self.sum as f64 / STEPS_PER_UNIT / f64::from(self.n.max(1))
    }

    /// Returns the sample variance of the logarithms, or 0 if there are fewer than two.
    pub fn variance(&self) -> f64 {
        let n = f64::from(self.n);
        if self.n < 2 {
            return 0.0;
        }
        let mean = self.mean();
        let squares = self.squares as f64 / (STEPS_PER_UNIT * STEPS_PER_UNIT);
        ((squares - n * mean * mean) / (n - 1.0)).max(0.0)
    }

    /// Returns the sum of both.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            n: self.n.saturating_add(other.n),
            sum: self.sum.saturating_add(other.sum),
            squares: self.squares.saturating_add(other.squares),
        }
    }

    /// Returns the difference, where `removed` was added before.
    #[must_use]
    pub const fn minus(self, removed: Self) -> Self {
        Self {
            n: self.n.saturating_sub(removed.n),
            sum: self.sum.saturating_sub(removed.sum),
            squares: self.squares.saturating_sub(removed.squares),
        }
    }
}

/// One observation of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// The server succeeded.
    Succeeded,
    /// The server failed.
    Failed,
    /// Ratio of the measured to the expected time to the first part of the answer.
    First(f64),
    /// Ratio of the measured to the expected time between two events.
    Pace(f64),
}

/// Sums of the samples of some answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Number of answers that succeeded or failed.
    pub answers: u32,
    /// Number of failures among `answers`.
    pub failed: u32,
    /// Ratios of measured to expected times to the first part.
    pub first: LogSum,
    /// Ratios of measured to expected times between events.
    pub pace: LogSum,
}

impl Tally {
    /// Adds a sample.
    pub fn add_sample(&mut self, sample: Sample) {
        match sample {
            Sample::Succeeded => self.answers += 1,
            Sample::Failed => {
                self.answers += 1;
                self.failed += 1;
            }
            Sample::First(ratio) => self.first.add(ratio),
            Sample::Pace(ratio) => self.pace.add(ratio),
        }
    }

    /// Returns the sum of both.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers.saturating_add(other.answers),
            failed: self.failed.saturating_add(other.failed),
            first: self.first.plus(other.first),
            pace: self.pace.plus(other.pace),
        }
    }

    /// Returns the difference, where `removed` was added before.
    #[must_use]
    pub const fn minus(self, removed: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(removed.answers),
            failed: self.failed.saturating_sub(removed.failed),
            first: self.first.minus(removed.first),
            pace: self.pace.minus(removed.pace),
        }
    }
}

/// Tallies of both versions on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionTallies {
    /// Answers of the version that served before.
    pub old: Tally,
    /// Answers of the version that was ordered.
    pub new: Tally,
}

/// The version that gave an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionRole {
    /// The version that served before.
    Old,
    /// The version that was ordered, at the server with this start hash.
    New(u64),
}

/// Answers of both versions from when both serve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Tallies of both versions by route.
    pub routes: IndexMap<RouteKey, VersionTallies>,
    /// Tallies of the new version by start hash of the server, over all routes.
    pub servers: IndexMap<u64, Tally>,
}

impl Evidence {
    /// Adds a sample.
    pub fn add_sample(&mut self, route: RouteKey, role: VersionRole, sample: Sample) {
        let pair = self.routes.entry(route).or_default();
        match role {
            VersionRole::Old => pair.old.add_sample(sample),
            VersionRole::New(server) => {
                pair.new.add_sample(sample);
                self.servers.entry(server).or_default().add_sample(sample);
            }
        }
    }

    /// Adds other VMs' evidence.
    pub fn add(&mut self, other: &Self) {
        for (route, pair) in &other.routes {
            let total = self.routes.entry(*route).or_default();
            *total =
                VersionTallies { old: total.old.plus(pair.old), new: total.new.plus(pair.new) };
        }
        for (server, tally) in &other.servers {
            let total = self.servers.entry(*server).or_default();
            *total = total.plus(*tally);
        }
    }

    /// Returns this evidence without evidence that was added to it.
    #[must_use]
    pub fn without(&self, removed: &Self) -> Self {
        let pair = |(route, sum): (&RouteKey, &VersionTallies)| {
            let remainder = removed.routes.get(route).map_or(*sum, |it| VersionTallies {
                old: sum.old.minus(it.old),
                new: sum.new.minus(it.new),
            });
            (remainder != VersionTallies::default()).then_some((*route, remainder))
        };
        let tally = |(server, sum): (&u64, &Tally)| {
            let remainder = removed.servers.get(server).map_or(*sum, |it| sum.minus(*it));
            (remainder != Tally::default()).then_some((*server, remainder))
        };
        Self {
            routes: self.routes.iter().filter_map(pair).collect(),
            servers: self.servers.iter().filter_map(tally).collect(),
        }
    }

    /// Returns the answers of the new version over all routes.
    pub fn new_version(&self) -> Tally {
        self.routes.values().fold(Tally::default(), |sum, it| sum.plus(it.new))
    }

    /// Returns the answers of the old version over all routes.
    pub fn old_version(&self) -> Tally {
        self.routes.values().fold(Tally::default(), |sum, it| sum.plus(it.old))
    }
}

/// Time covered by one slice of the sliding windows.
const SLICE_LENGTH: Duration = Duration::from_millis(500);
/// Lengths of the sliding windows. A version that turns bad at many requests per second is detected at once in the
/// short window, and one with few requests, or that is only a little worse, in the long one.
const SHORT_WINDOW: Duration = Duration::from_millis(1_500);
const LONG_WINDOW: Duration = Duration::from_secs(6);

/// Evidence of one or more VMs, since the start and in the sliding windows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observations {
    /// Evidence from when both versions serve.
    pub all: Evidence,
    /// Evidence of the last 6 s, in which a version that turns bad late is detected however long it was good.
    pub long_window: Evidence,
    /// Evidence of the last 1.5 s.
    pub short_window: Evidence,
}

impl Observations {
    /// Adds other VMs' observations.
    pub fn add(&mut self, other: &Self) {
        self.all.add(&other.all);
        self.long_window.add(&other.long_window);
        self.short_window.add(&other.short_window);
    }

    /// Returns these observations without observations that were added to them.
    #[must_use]
    pub fn without(&self, removed: &Self) -> Self {
        Self {
            all: self.all.without(&removed.all),
            long_window: self.long_window.without(&removed.long_window),
            short_window: self.short_window.without(&removed.short_window),
        }
    }
}

/// Collects the evidence of one VM.
#[derive(Clone, Debug, Default)]
pub struct EvidenceRecorder {
    all: Evidence,
    slices: VecDeque<(TimePoint, Evidence)>,
}

impl EvidenceRecorder {
    /// Adds a sample.
    pub fn add_sample(
        &mut self,
        route: RouteKey,
        role: VersionRole,
        sample: Sample,
        now: TimePoint,
    ) {
        self.all.add_sample(route, role, sample);
        let is_open = self.slices.back().is_some_and(|(from, _)| now.since(*from) < SLICE_LENGTH);
        if !is_open {
            self.slices.push_back((now, Evidence::default()));
        }
        if let Some((_, newest)) = self.slices.back_mut() {
            newest.add_sample(route, role, sample);
        }
    }

    /// Returns the observations at this time.
    pub fn observations(&mut self, now: TimePoint) -> Observations {
        while self.slices.front().is_some_and(|(from, _)| now.since(*from) > LONG_WINDOW) {
            self.slices.pop_front();
        }
        let mut observations = Observations { all: self.all.clone(), ..Observations::default() };
        for (from, slice) in &self.slices {
            observations.long_window.add(slice);
            if now.since(*from) <= SHORT_WINDOW {
                observations.short_window.add(slice);
            }
        }
        observations
    }
}
