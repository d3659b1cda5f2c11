//! What was seen of two versions of a service, in counts that add up over VMs.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use quincevalve_names::{TimePoint, hash_text};
use serde::{Deserialize, Serialize};

/// A route, as VMs tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteKey(pub u32);

impl RouteKey {
    /// The key of a route's name.
    pub fn of(name: &str) -> Self {
        Self(hash_text(name) as u32)
    }
}

/// Hundredths of a natural logarithm: sums of whole numbers don't depend on the order in which VMs are heard.
const HUNDREDTHS: f64 = 100.0;
/// A ratio counts as if it lay within these bounds, as logarithms: one answer that takes a minute says no more than one
/// that takes ten times as long as expected.
const LEAST_LOG: f64 = -2.5;
const MOST_LOG: f64 = 2.5;

/// The logarithms of some ratios, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSum {
    n: u32,
    sum: i64,
    squares: u64,
}

impl LogSum {
    /// Takes a ratio.
    pub fn add(&mut self, ratio: f64) {
        let log = ratio.max(f64::MIN_POSITIVE).ln().clamp(LEAST_LOG, MOST_LOG);
        let hundredths = (log * HUNDREDTHS).round() as i64;
        self.n += 1;
        self.sum += hundredths;
        self.squares += (hundredths * hundredths) as u64;
    }

    /// How many there are.
    pub const fn count(&self) -> u32 {
        self.n
    }

    /// Their mean; 0 where there is none.
    pub fn mean(&self) -> f64 {
        self.sum as f64 / HUNDREDTHS / f64::from(self.n.max(1))
    }

    /// The variance of one of them.
    pub fn variance(&self) -> f64 {
        let n = f64::from(self.n);
        if self.n < 2 {
            return 0.0;
        }
        let mean = self.mean();
        let squares = self.squares as f64 / (HUNDREDTHS * HUNDREDTHS);
        ((squares - n * mean * mean) / (n - 1.0)).max(0.0)
    }

    /// Both together.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            n: self.n + other.n,
            sum: self.sum + other.sum,
            squares: self.squares + other.squares,
        }
    }

    /// What is left without a part.
    #[must_use]
    pub const fn minus(self, part: Self) -> Self {
        Self {
            n: self.n.saturating_sub(part.n),
            sum: self.sum - part.sum,
            squares: self.squares.saturating_sub(part.squares),
        }
    }
}

/// What is seen of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// It was a success.
    Succeeded,
    /// It was the server's failure.
    Failed,
    /// The time to its first part against what was expected.
    First(f64),
    /// The time between two events against what was expected.
    Pace(f64),
}

/// Answers of one kind, summed up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers that were judged.
    pub answers: u32,
    /// Failures among them.
    pub failed: u32,
    /// Times to the first part.
    pub first: LogSum,
    /// Times between events.
    pub pace: LogSum,
}

impl Tally {
    /// Takes what is seen of an answer.
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

    /// Both together.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers + other.answers,
            failed: self.failed + other.failed,
            first: self.first.plus(other.first),
            pace: self.pace.plus(other.pace),
        }
    }

    /// What is left without a part.
    #[must_use]
    pub const fn minus(self, part: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(part.answers),
            failed: self.failed.saturating_sub(part.failed),
            first: self.first.minus(part.first),
            pace: self.pace.minus(part.pace),
        }
    }
}

/// The answers of both versions on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionTallies {
    /// Of the version that served before.
    pub old: Tally,
    /// Of the version that was ordered.
    pub new: Tally,
}

/// Which version an answer is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionRole {
    /// The version that served before.
    Old,
    /// The version that was ordered, at the server of that hash.
    New(u64),
}

/// Answers of both versions while both served.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// By route.
    pub routes: IndexMap<RouteKey, VersionTallies>,
    /// Of the new version by server, over all routes.
    pub servers: IndexMap<u64, Tally>,
}

impl Evidence {
    /// Takes what is seen of an answer.
    pub fn add_sample(&mut self, route: RouteKey, side: VersionRole, sample: Sample) {
        let pair = self.routes.entry(route).or_default();
        match side {
            VersionRole::Old => pair.old.add_sample(sample),
            VersionRole::New(server) => {
                pair.new.add_sample(sample);
                self.servers.entry(server).or_default().add_sample(sample);
            }
        }
    }

    /// Adds what others saw.
    pub fn add(&mut self, other: &Self) {
        for (route, pair) in &other.routes {
            let known = self.routes.entry(*route).or_default();
            *known =
                VersionTallies { old: known.old.plus(pair.old), new: known.new.plus(pair.new) };
        }
        for (server, tally) in &other.servers {
            let known = self.servers.entry(*server).or_default();
            *known = known.plus(*tally);
        }
    }

    /// What is left of this sum without one that was added to it.
    #[must_use]
    pub fn without(&self, part: &Self) -> Self {
        let pair = |(route, sum): (&RouteKey, &VersionTallies)| {
            let rest = part.routes.get(route).map_or(*sum, |it| VersionTallies {
                old: sum.old.minus(it.old),
                new: sum.new.minus(it.new),
            });
            (rest != VersionTallies::default()).then_some((*route, rest))
        };
        let tally = |(server, sum): (&u64, &Tally)| {
            let rest = part.servers.get(server).map_or(*sum, |it| sum.minus(*it));
            (rest != Tally::default()).then_some((*server, rest))
        };
        Self {
            routes: self.routes.iter().filter_map(pair).collect(),
            servers: self.servers.iter().filter_map(tally).collect(),
        }
    }

    /// All answers of the new version.
    pub fn new_version(&self) -> Tally {
        self.routes.values().fold(Tally::default(), |sum, it| sum.plus(it.new))
    }

    /// All answers of the old version.
    pub fn old_version(&self) -> Tally {
        self.routes.values().fold(Tally::default(), |sum, it| sum.plus(it.old))
    }
}

/// The length of one slice of what was seen lately.
const SLICE: Duration = Duration::from_millis(500);
/// The spans that count as lately: a version that turns bad at many requests a second stands out in the first at once,
/// one with few requests, or a little worse, in the second.
const RECENT: Duration = Duration::from_millis(1_500);
const LATE: Duration = Duration::from_secs(6);

/// What all VMs, or some, saw of both versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observations {
    /// Since both serve.
    pub all: Evidence,
    /// In the last seconds: a version that turns bad late stands out there, however long it was good.
    pub long_window: Evidence,
    /// In the last moments.
    pub short_window: Evidence,
}

impl Observations {
    /// Adds what others saw.
    pub fn add(&mut self, other: &Self) {
        self.all.add(&other.all);
        self.long_window.add(&other.long_window);
        self.short_window.add(&other.short_window);
    }

    /// What is left of this sum without a part that was added to it.
    #[must_use]
    pub fn without(&self, part: &Self) -> Self {
        Self {
            all: self.all.without(&part.all),
            long_window: self.long_window.without(&part.long_window),
            short_window: self.short_window.without(&part.short_window),
        }
    }
}

/// What one VM saw.
#[derive(Clone, Debug, Default)]
pub struct EvidenceRecorder {
    all: Evidence,
    slices: VecDeque<(TimePoint, Evidence)>,
}

impl EvidenceRecorder {
    /// Takes what is seen of an answer.
    pub fn add_sample(
        &mut self,
        route: RouteKey,
        side: VersionRole,
        sample: Sample,
        now: TimePoint,
    ) {
        self.all.add_sample(route, side, sample);
        let is_open = self.slices.back().is_some_and(|(from, _)| now.since(*from) < SLICE);
        if !is_open {
            self.slices.push_back((now, Evidence::default()));
        }
        if let Some((_, newest)) = self.slices.back_mut() {
            newest.add_sample(route, side, sample);
        }
    }

    /// What was seen, at this moment.
    pub fn observations(&mut self, now: TimePoint) -> Observations {
        while self.slices.front().is_some_and(|(from, _)| now.since(*from) > LATE) {
            self.slices.pop_front();
        }
        let mut seen = Observations { all: self.all.clone(), ..Observations::default() };
        for (from, slice) in &self.slices {
            seen.long_window.add(slice);
            if now.since(*from) <= RECENT {
                seen.short_window.add(slice);
            }
        }
        seen
    }
}
