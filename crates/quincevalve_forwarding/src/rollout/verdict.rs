//! Whether a new version is worse than the old one.
//!
//! *Failures*: a sequential likelihood ratio test by route, of the old version's rate against that rate and
//! `LEAST_EXCESS` more; the logarithms of all routes add up. By Ville's inequality the chance that a version which
//! fails no more often than the old one ever passes the bound `ln(1/α)` is at most `α`, however often one looks; and
//! likewise for a version that is worse by the excess and the bound `ln(β)`.
//!
//! *Slowness*: the difference of the mean logarithms of measured over expected times, by route, against its standard
//! error, over answers and, before the new version takes the traffic over, over servers too.
//!
//! A few servers may be bad whatever their version: one that stands out from the others of its version is left out.

use crate::rollout::evidence::{Evidence, LogSum, Observations, RouteKey, Tally, VersionTallies};

/// A version that fails in so many more of its answers is bad.
const LEAST_EXCESS: f64 = 0.05;
/// Below it the old version's rate isn't believed: few failures that weren't seen would look like an excess.
const LEAST_RATE: f64 = 0.005;
/// `α` for what was seen since the beginning.
const FALSE_ALARM: f64 = 1e-3;
/// `α` for what was seen lately, which is looked at anew all the time.
const FALSE_ALARM_LATELY: f64 = 1e-4;
/// `β`: the chance that a bad version is taken for a good one.
const MISSED: f64 = 1e-2;
/// The same of a version that is bad on one route only, by that route alone.
const MISSED_ON_ROUTE: f64 = 0.3;
/// A route on which the old version fails this often says little of few answers: it must not speak against the new one.
const NOISY_RATE: f64 = 0.05;
/// How much more likely by that route the new version has to be bad to speak against it.
const NOISY_ODDS: f64 = 8.0;
/// Part of the answers that a route has to have to be judged by itself before a version is good.
const LEAST_ROUTE_PART: f64 = 0.05;

/// A version that takes so many times as long, for sure, is bad.
const LEAST_SLOWNESS: f64 = 1.4;
/// The same while it takes all traffic over: its servers have read few prompts, and the old ones get fewer requests.
const LEAST_SLOWNESS_PROMOTING: f64 = 2.2;
/// A version is good if it doesn't take so many times as long, for nearly sure.
const MOST_SLOWNESS: f64 = 1.75;
/// Standard errors between a difference and the bound above which a version is slow.
const SURE: f64 = 3.7;
/// The same for one of several routes.
const SURE_OF_ROUTE: f64 = 4.2;
/// The same for the bound below which it is good.
const NEARLY_SURE: f64 = 2.0;
/// Times that have to be measured before they are compared.
const LEAST_TIMES: u32 = 10;
/// The least standard deviation that is believed of a few times.
const LEAST_DEVIATION: f64 = 0.15;

/// Servers of a version that are left out at most, as a part of them.
const OUTLIERS: usize = 3;
/// Failures that a server needs to stand out.
const OUTLIER_FAILURES: u32 = 3;
/// How much more often than the others a server that stands out fails.
const OUTLIER_EXCESS: f64 = 0.25;
/// How much more likely it has to be that it stands out than that it doesn't.
const OUTLIER_ODDS: f64 = 200.0;
/// Steps in which slowness is told apart where servers fail alike, for one unit of its logarithm.
const WORST_SCALE: f64 = 1_000.0;
/// How many times as long as at the others answers take at a server that stands out.
const OUTLIER_SLOWNESS: f64 = 2.0;

/// What the versions' answers say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough yet.
    Undecided,
    /// It is no worse.
    Good,
    /// It fails more often.
    Fails,
    /// It answers later.
    IsSlow,
}

/// The verdict and what it was reckoned from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judgement {
    /// The verdict.
    pub verdict: Verdict,
    /// The logarithm of the likelihood ratio, over all routes, since the beginning.
    pub failures: f64,
    /// The bound above which it is bad.
    pub failures_bound: f64,
    /// The logarithm of new over old times to the first part, and its standard error.
    pub first: Difference,
    /// The same of the time between events.
    pub pace: Difference,
    /// Servers that were left out.
    pub outliers: usize,
}

/// A difference of two means.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Difference {
    /// The difference.
    pub mean: f64,
    /// Its standard error.
    pub error: f64,
    /// Values of the new version.
    pub count: u32,
}

impl Difference {
    /// The same, with no smaller an error than that.
    fn with_error(self, least: f64) -> Self {
        Self { error: self.error.max(least), ..self }
    }

    fn is_above(self, factor: f64, errors: f64) -> bool {
        self.count >= LEAST_TIMES && self.mean - errors * self.error > factor.ln()
    }

    fn is_below(self, factor: f64, errors: f64) -> bool {
        self.count >= LEAST_TIMES && self.mean + errors * self.error < factor.ln()
    }
}

/// Compares the versions by what was seen of them. `is_promoting` says whether the new one takes the traffic over already,
/// and `servers` how many servers it has.
///
/// Failure: the first servers that get requests are bad ones of a good version. Symptom: it is rolled back. Where there
/// are others, the worst server says nothing against its version.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::rollout::{
///     evidence::{RouteKey, Sample, VersionRole, EvidenceRecorder},
///     verdict::{Verdict, judge},
/// };
/// use quincevalve_names::TimePoint;
/// let mut recorder = EvidenceRecorder::default();
/// for at in 0..400_u64 {
///     recorder.add_sample(RouteKey(1), VersionRole::Old, Sample::Succeeded, TimePoint::ZERO);
///     let fails = at % 100 < 20;
///     let sample = if fails { Sample::Failed } else { Sample::Succeeded };
///     recorder.add_sample(RouteKey(1), VersionRole::New(at % 4), sample, TimePoint::ZERO);
/// }
/// assert_eq!(judge(&recorder.observations(TimePoint::ZERO), false, 4).verdict, Verdict::Fails);
/// ```
pub fn judge(seen: &Observations, is_promoting: bool, servers: usize) -> Judgement {
    let has_others = servers > 1;
    let against = |it| View::of(it).without_worst(has_others);
    let since_begin = against(&seen.all);
    let lately = [&seen.long_window, &seen.short_window].map(against);
    let fails =
        since_begin.fails(FALSE_ALARM) || lately.iter().any(|it| it.fails(FALSE_ALARM_LATELY));
    let is_slow =
        since_begin.is_slow(is_promoting) || lately.iter().any(|it| it.is_slow(is_promoting));
    let since_begin = View::of(&seen.all);
    let failures = since_begin.failures();
    let first = since_begin.difference(|it| it.first);
    let pace = since_begin.difference(|it| it.pace);
    let is_good = failures <= MISSED.ln()
        && since_begin.no_route_looks_bad()
        && first.is_below(MOST_SLOWNESS, NEARLY_SURE)
        && (pace.count < LEAST_TIMES || pace.is_below(MOST_SLOWNESS, NEARLY_SURE));
    let verdict = if fails {
        Verdict::Fails
    } else if is_slow {
        Verdict::IsSlow
    } else if is_good {
        Verdict::Good
    } else {
        Verdict::Undecided
    };
    Judgement {
        verdict,
        failures,
        failures_bound: (1.0 / FALSE_ALARM).ln(),
        first,
        pace,
        outliers: since_begin.outliers.len(),
    }
}

/// Evidence without the servers of the new version that stand out.
struct View<'a> {
    evidence: &'a Evidence,
    outliers: Vec<u64>,
    /// What the outliers answered.
    left_out: Tally,
    /// The new version's answers without theirs.
    kept: Tally,
}

impl<'a> View<'a> {
    fn of(evidence: &'a Evidence) -> Self {
        let outliers = outliers(evidence);
        let tally = |it: &u64| evidence.servers.get(it).copied().unwrap_or_default();
        let left_out = outliers.iter().fold(Tally::default(), |sum, it| sum.plus(tally(it)));
        let kept = evidence.new_version().minus(left_out);
        Self { evidence, outliers, left_out, kept }
    }

    /// The same, and the worst server left out whether it stands out or not.
    fn without_worst(mut self, has_others: bool) -> Self {
        let left = self.evidence.servers.iter().filter(|(it, _)| !self.outliers.contains(it));
        let badness = |it: &Tally| (it.failed, (it.first.mean() * WORST_SCALE) as i64);
        let worst = left.max_by_key(|(_, it)| badness(it));
        if let Some((server, tally)) = worst.filter(|_| has_others) {
            self.left_out = self.left_out.plus(*tally);
            self.kept = self.kept.minus(*tally);
            self.outliers.push(*server);
        }
        self
    }

    /// The logarithm of the likelihood ratio over all routes.
    ///
    /// What outliers answered isn't known by route: the same part of each route's failures and successes is left out.
    fn failures(&self) -> f64 {
        let new = self.evidence.new_version();
        let kept_failed = part(self.kept.failed, new.failed);
        let kept_fine = part(
            self.kept.answers - self.kept.failed.min(self.kept.answers),
            new.answers - new.failed,
        );
        self.routes().map(|(_, pair)| ratio(pair, kept_failed, kept_fine)).sum()
    }

    /// Whether each route that matters speaks for the new version by itself.
    fn no_route_looks_bad(&self) -> bool {
        let all = f64::from(self.evidence.new_version().answers);
        let matters = |pair: &VersionTallies| f64::from(pair.new.answers) >= LEAST_ROUTE_PART * all;
        let looks_good = |pair: &VersionTallies| {
            let is_noisy = rate(pair.old.failed, pair.old.answers) >= NOISY_RATE;
            let bound = if is_noisy { NOISY_ODDS.ln() } else { MISSED_ON_ROUTE.ln() };
            let failed = pair.new.failed.saturating_sub(self.left_out.failed);
            ratio(pair, part(failed, pair.new.failed), 1.0) <= bound
        };
        self.routes().filter(|(_, it)| matters(it)).all(|(_, it)| looks_good(it))
    }

    fn fails(&self, alpha: f64) -> bool {
        let bound = (1.0 / alpha).ln();
        let routes = self.routes().count().max(1) as f64;
        let of_route = |pair: &VersionTallies| {
            // All of the outliers' failures may have been on this route.
            let failed = pair.new.failed.saturating_sub(self.left_out.failed);
            let kept = part(failed, pair.new.failed);
            ratio(pair, kept, 1.0)
        };
        self.failures() > bound || self.routes().any(|(_, it)| of_route(it) > bound + routes.ln())
    }

    /// How much later the new version's answers come, over all routes.
    fn difference(&self, times: impl Fn(&Tally) -> LogSum) -> Difference {
        let compared = self.routes().map(|(_, it)| (times(&it.old), times(&it.new)));
        let compared: Vec<_> =
            compared.filter(|(old, new)| old.count() > 1 && new.count() > 0).collect();
        let count: u32 = compared.iter().map(|(_, new)| new.count()).sum();
        if count == 0 || times(&self.kept).count() == 0 {
            return Difference::default();
        }
        let weighted = compared.iter().map(|(old, new)| {
            let weight = f64::from(new.count()) / f64::from(count);
            let error = squared_error(*old) + squared_error(*new);
            (weight * (new.mean() - old.mean()), weight * weight * error)
        });
        let (mean, error) = weighted.fold((0.0, 0.0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        let by_outliers = self.added_by_outliers(&times);
        Difference { mean: mean - by_outliers, error: error.sqrt(), count }
    }

    /// What outliers add to the mean. What they answered isn't known by route: they add the same to each.
    fn added_by_outliers(&self, times: impl Fn(&Tally) -> LogSum) -> f64 {
        (times(&self.evidence.new_version()).mean() - times(&self.kept).mean()).max(0.0)
    }

    /// The standard error of the mean over servers, which differ whatever their version, by the jackknife: how far the
    /// mean moves without each. `None` if only one is left of several.
    fn error_over_servers(&self, times: impl Fn(&Tally) -> LogSum) -> Option<f64> {
        let left = self.evidence.servers.iter().filter(|(it, _)| !self.outliers.contains(it));
        let sums: Vec<_> = left.map(|(_, it)| times(it)).filter(|it| it.count() > 0).collect();
        if sums.len() < 2 {
            return self.outliers.is_empty().then_some(0.0);
        }
        let kept = times(&self.kept);
        let moved = sums.iter().map(|it| kept.minus(*it).mean() - kept.mean());
        let servers = sums.len() as f64;
        Some((moved.map(|it| it * it).sum::<f64>() * (servers - 1.0) / servers).sqrt())
    }

    fn is_slow(&self, is_promoting: bool) -> bool {
        // A version that takes the traffic over has to be told in moments, and the bound leaves room for a few servers.
        let (factor, error_part) =
            if is_promoting { (LEAST_SLOWNESS_PROMOTING, 0.0) } else { (LEAST_SLOWNESS, 1.0) };
        let is_above = |times: fn(&Tally) -> LogSum| {
            let Some(error) = self.error_over_servers(times) else { return false };
            self.difference(times).with_error(error_part * error).is_above(factor, SURE)
        };
        let error = self.error_over_servers(|it| it.first);
        let route_is_above = |pair: &VersionTallies| {
            let Some(error) = error else { return false };
            let difference = self.difference_on_route(pair);
            difference.with_error(error_part * error).is_above(factor, SURE_OF_ROUTE)
        };
        is_above(|it| it.first)
            || is_above(|it| it.pace)
            || self.routes().any(|(_, it)| route_is_above(it))
    }

    /// How much later the first parts of the new version's answers come on one route.
    fn difference_on_route(&self, pair: &VersionTallies) -> Difference {
        let (old, new) = (pair.old.first, pair.new.first);
        // Outliers may have had all of the route's requests.
        if old.count() < LEAST_TIMES || self.left_out.first.count() * 2 > new.count() {
            return Difference::default();
        }
        let mean = new.mean() - self.added_by_outliers(|it| it.first) - old.mean();
        let error = (squared_error(old) + squared_error(new)).sqrt();
        Difference { mean, error, count: new.count() }
    }

    /// Routes on which the new version answered.
    fn routes(&self) -> impl Iterator<Item = (&RouteKey, &VersionTallies)> {
        self.evidence.routes.iter().filter(|(_, it)| it.new != Tally::default())
    }
}

fn part(of: u32, whole: u32) -> f64 {
    if whole == 0 { 1.0 } else { f64::from(of) / f64::from(whole) }
}

/// The part of answers that are failures, as far as a few of them say.
fn rate(failed: u32, answers: u32) -> f64 {
    ((f64::from(failed) + 0.5) / (f64::from(answers) + 1.0)).clamp(LEAST_RATE, 0.9)
}

/// The logarithm of the likelihood ratio of one route, of so much of its failures and successes.
fn ratio(pair: &VersionTallies, failed_part: f64, fine_part: f64) -> f64 {
    let usual = rate(pair.old.failed, pair.old.answers);
    let failed = f64::from(pair.new.failed) * failed_part;
    let fine = f64::from(pair.new.answers - pair.new.failed.min(pair.new.answers)) * fine_part;
    log_ratio(failed, fine, usual, LEAST_EXCESS)
}

fn log_ratio(failed: f64, fine: f64, usual: f64, excess: f64) -> f64 {
    let worse = (usual + excess).min(0.99);
    failed * (worse / usual).ln() + fine * ((1.0 - worse) / (1.0 - usual)).ln()
}

fn squared_error(times: LogSum) -> f64 {
    let variance = times.variance().max(LEAST_DEVIATION * LEAST_DEVIATION);
    variance / f64::from(times.count().max(1))
}

/// The servers of the new version that stand out from its others, worst first; a third of them at most.
fn outliers(evidence: &Evidence) -> Vec<u64> {
    let most = evidence.servers.len() / OUTLIERS;
    let mut found: Vec<u64> = Vec::new();
    while found.len() < most {
        let left = evidence.servers.iter().filter(|(server, _)| !found.contains(server));
        let all = left.clone().fold(Tally::default(), |sum, (_, it)| sum.plus(*it));
        let scored = left.map(|(server, it)| (outlier_score(*it, all.minus(*it)), *server));
        let Some((score, server)) = scored.max_by(|a, b| a.0.total_cmp(&b.0)) else { break };
        if score <= 0.0 {
            break;
        }
        found.push(server);
    }
    found
}

/// How far a server stands out from the others of its version; above 0 if it does.
fn outlier_score(server: Tally, others: Tally) -> f64 {
    let usual = rate(others.failed, others.answers);
    let fine = f64::from(server.answers - server.failed.min(server.answers));
    let odds = log_ratio(f64::from(server.failed), fine, usual, OUTLIER_EXCESS);
    let fails = server.failed >= OUTLIER_FAILURES && odds > OUTLIER_ODDS.ln();
    let (own, rest) = (server.first, others.first);
    let error = (squared_error(own) + squared_error(rest)).sqrt();
    let later = own.mean() - rest.mean() - OUTLIER_SLOWNESS.ln();
    let is_slow =
        own.count() >= OUTLIER_FAILURES && rest.count() >= LEAST_TIMES && later > SURE * error;
    match (fails, is_slow) {
        (true, _) => odds,
        (false, true) => later / error,
        (false, false) => 0.0,
    }
}
