//! Decides whether a new version is worse than the old one.
//!
//! *Failures*: a sequential likelihood ratio test by route, of the old version's failure rate against that rate plus
//! `MIN_EXCESS_RATE`. The log-likelihood ratios of all routes are summed. By Ville's inequality the probability that a
//! version which fails no more often than the old one ever exceeds the bound `ln(1/α)` is at most `α`, however often
//! the test is evaluated. The same holds for a version that is worse by the excess and the bound `ln(β)`.
//!
//! *Slowness*: the difference of the mean logarithms of measured over expected times, by route, is compared with its
//! standard error over answers and, before the promotion, also over servers.
//!
//! A few servers may be bad whatever their version. Servers that are outliers among those of their version are
//! excluded.

use crate::rollout::evidence::{Evidence, LogSum, Observations, RouteKey, Tally, VersionTallies};

/// Excess failure rate over the old version's from which a version is bad.
const MIN_EXCESS_RATE: f64 = 0.05;
/// Minimum failure rate assumed of a version. With a lower estimate, a few failures that the old version didn't happen
/// to have would look like an excess.
const MIN_FAILURE_RATE: f64 = 0.005;
/// `α` for the evidence since the start.
const FALSE_ALARM_PROBABILITY: f64 = 1e-3;
/// `α` for the evidence of the recent windows, which is a new test each time.
const WINDOW_FALSE_ALARM_PROBABILITY: f64 = 1e-4;
/// `β`: probability that a bad version is judged good.
const MISS_PROBABILITY: f64 = 1e-2;
/// The same for a version that is bad on one route only, judged by that route alone.
const ROUTE_MISS_PROBABILITY: f64 = 0.3;
/// Failure rate of the old version from which a route is noisy: a few answers there are weak evidence against the new
/// version.
const NOISY_ROUTE_RATE: f64 = 0.05;
/// Odds above which a noisy route counts against the new version.
const NOISY_ROUTE_ODDS: f64 = 8.0;
/// Minimum fraction of the new version's answers for a route to be judged by itself before the version is judged good.
const MIN_ROUTE_FRACTION: f64 = 0.05;

/// Slowdown factor above which a version is slow, if the evidence is certain enough.
const MIN_SLOWDOWN: f64 = 1.4;
/// The same during the promotion, when servers of the new version have cached few prompts and the old ones get fewer
/// requests.
const MIN_SLOWDOWN_PROMOTING: f64 = 2.2;
/// Slowdown factor below which a version is good, if the evidence is certain enough.
const MAX_GOOD_SLOWDOWN: f64 = 1.75;
/// Minimum distance in standard errors between a slowdown and the bound above which a version is slow.
const SLOW_STANDARD_ERRORS: f64 = 3.7;
/// The same for a single route.
const SLOW_ROUTE_STANDARD_ERRORS: f64 = 4.2;
/// The same for the bound below which a version is good.
const GOOD_STANDARD_ERRORS: f64 = 2.0;
/// Minimum number of measured times for a comparison.
const MIN_TIMES: u32 = 10;
/// Minimum standard deviation assumed of the logarithms of times, as a few times may be close by chance.
const MIN_STANDARD_DEVIATION: f64 = 0.15;

/// Number of servers of a version for each one that may be excluded as an outlier.
const SERVERS_PER_OUTLIER: usize = 3;
/// Minimum number of failures, or of measured times, for a server to be an outlier.
const MIN_OUTLIER_SAMPLES: u32 = 3;
/// Excess failure rate of an outlier over the other servers.
const OUTLIER_EXCESS_RATE: f64 = 0.25;
/// Odds above which a server that fails is an outlier.
const OUTLIER_ODDS: f64 = 200.0;
/// Steps per unit of the logarithm of slowness, when the worst of servers with equal failures is determined.
const SLOWNESS_STEPS: f64 = 1_000.0;
/// Slowdown factor of an outlier over the other servers.
const OUTLIER_SLOWDOWN: f64 = 2.0;

/// Result of comparing the versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There isn't enough evidence yet.
    Undecided,
    /// The new version is no worse.
    Good,
    /// The new version fails more often.
    Fails,
    /// The new version is slower.
    IsSlow,
}

/// The verdict and the figures that it was computed from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judgement {
    /// The verdict.
    pub verdict: Verdict,
    /// Log-likelihood ratio of failures, summed over all routes, since the start.
    pub failures: f64,
    /// Bound on `failures` above which the new version is bad.
    pub failures_bound: f64,
    /// Logarithm of new over old times to the first part of an answer.
    pub first: Difference,
    /// Logarithm of new over old times between events of a stream.
    pub pace: Difference,
    /// Number of servers excluded as outliers.
    pub outliers: usize,
}

/// A difference of two means.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Difference {
    /// The difference.
    pub mean: f64,
    /// Its standard error.
    pub error: f64,
    /// Number of values of the new version.
    pub count: u32,
}

impl Difference {
    /// Returns the difference with a standard error of at least `min_error`.
    fn with_min_error(self, min_error: f64) -> Self {
        Self { error: self.error.max(min_error), ..self }
    }

    fn is_above(self, factor: f64, errors: f64) -> bool {
        self.count >= MIN_TIMES && self.mean - errors * self.error > factor.ln()
    }

    fn is_below(self, factor: f64, errors: f64) -> bool {
        self.count >= MIN_TIMES && self.mean + errors * self.error < factor.ln()
    }
}

/// Compares the versions by the observations of their answers. `is_promoting` says whether the promotion has begun, and
/// `servers` is the number of servers of the new version.
///
/// If the first servers that get requests are bad ones of a good version, the version would be rolled back. So if it
/// has more than one server, the worst of them isn't counted as evidence against it.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::rollout::{
///     evidence::{EvidenceRecorder, RouteKey, Sample, VersionRole},
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
pub fn judge(observations: &Observations, is_promoting: bool, servers: usize) -> Judgement {
    let has_other_servers = servers > 1;
    let view_excluding_worst = |it| EvidenceView::of(it).excluding_worst(has_other_servers);
    let since_start = view_excluding_worst(&observations.all);
    let windows = [&observations.long_window, &observations.short_window].map(view_excluding_worst);
    let fails = since_start.fails(FALSE_ALARM_PROBABILITY)
        || windows.iter().any(|it| it.fails(WINDOW_FALSE_ALARM_PROBABILITY));
    let is_slow =
        since_start.is_slow(is_promoting) || windows.iter().any(|it| it.is_slow(is_promoting));
    let since_start = EvidenceView::of(&observations.all);
    let failures = since_start.log_likelihood_ratio();
    let first = since_start.slowdown(|it| it.first);
    let pace = since_start.slowdown(|it| it.pace);
    let is_good = failures <= MISS_PROBABILITY.ln()
        && since_start.every_route_looks_good()
        && first.is_below(MAX_GOOD_SLOWDOWN, GOOD_STANDARD_ERRORS)
        && (pace.count < MIN_TIMES || pace.is_below(MAX_GOOD_SLOWDOWN, GOOD_STANDARD_ERRORS));
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
        failures_bound: (1.0 / FALSE_ALARM_PROBABILITY).ln(),
        first,
        pace,
        outliers: since_start.outliers.len(),
    }
}

/// Evidence without some servers of the new version.
struct EvidenceView<'a> {
    evidence: &'a Evidence,
    outliers: Vec<u64>,
    /// Answers of excluded servers.
    excluded: Tally,
    /// The new version's answers without those of excluded servers.
    kept: Tally,
}

impl<'a> EvidenceView<'a> {
    fn of(evidence: &'a Evidence) -> Self {
        let outliers = outliers(evidence);
        let tally = |it: &u64| evidence.servers.get(it).copied().unwrap_or_default();
        let excluded = outliers.iter().fold(Tally::default(), |sum, it| sum.plus(tally(it)));
        let kept = evidence.new_version().minus(excluded);
        Self { evidence, outliers, excluded, kept }
    }

    /// Also excludes the worst remaining server if `has_other_servers`, whether it is an outlier or not.
    fn excluding_worst(mut self, has_other_servers: bool) -> Self {
        let remaining = self.evidence.servers.iter().filter(|(it, _)| !self.outliers.contains(it));
        let badness = |it: &Tally| (it.failed, (it.first.mean() * SLOWNESS_STEPS) as i64);
        let worst = remaining.max_by_key(|(_, it)| badness(it));
        if let Some((server, tally)) = worst.filter(|_| has_other_servers) {
            self.excluded = self.excluded.plus(*tally);
            self.kept = self.kept.minus(*tally);
            self.outliers.push(*server);
        }
        self
    }

    /// Returns the log-likelihood ratio of failures, summed over all routes.
    ///
    /// Answers of excluded servers aren't counted by route, so the same fraction of each route's failures and successes
    /// is excluded.
    fn log_likelihood_ratio(&self) -> f64 {
        let new = self.evidence.new_version();
        let kept_failed = fraction(self.kept.failed, new.failed);
        let kept_succeeded = fraction(
            self.kept.answers - self.kept.failed.min(self.kept.answers),
            new.answers - new.failed,
        );
        self.routes().map(|(_, pair)| route_log_ratio(pair, kept_failed, kept_succeeded)).sum()
    }

    /// Returns whether each route with enough answers looks good by itself.
    fn every_route_looks_good(&self) -> bool {
        let all = f64::from(self.evidence.new_version().answers);
        let matters =
            |pair: &VersionTallies| f64::from(pair.new.answers) >= MIN_ROUTE_FRACTION * all;
        let looks_good = |pair: &VersionTallies| {
            let is_noisy = failure_rate(pair.old.failed, pair.old.answers) >= NOISY_ROUTE_RATE;
            let bound = if is_noisy { NOISY_ROUTE_ODDS.ln() } else { ROUTE_MISS_PROBABILITY.ln() };
            let failed = pair.new.failed.saturating_sub(self.excluded.failed);
            route_log_ratio(pair, fraction(failed, pair.new.failed), 1.0) <= bound
        };
        self.routes().filter(|(_, it)| matters(it)).all(|(_, it)| looks_good(it))
    }

    fn fails(&self, alpha: f64) -> bool {
        let bound = (1.0 / alpha).ln();
        let routes = self.routes().count().max(1) as f64;
        let of_route = |pair: &VersionTallies| {
            // All failures of excluded servers may have been on this route.
            let failed = pair.new.failed.saturating_sub(self.excluded.failed);
            let kept = fraction(failed, pair.new.failed);
            route_log_ratio(pair, kept, 1.0)
        };
        self.log_likelihood_ratio() > bound
            || self.routes().any(|(_, it)| of_route(it) > bound + routes.ln())
    }

    /// Returns the logarithm of the new version's slowdown over all routes.
    fn slowdown(&self, times: impl Fn(&Tally) -> LogSum) -> Difference {
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
        let contribution = self.outlier_contribution(&times);
        Difference { mean: mean - contribution, error: error.sqrt(), count }
    }

    /// Returns what excluded servers add to the mean. Their answers aren't counted by route, so the same is assumed of
    /// each route.
    fn outlier_contribution(&self, times: impl Fn(&Tally) -> LogSum) -> f64 {
        (times(&self.evidence.new_version()).mean() - times(&self.kept).mean()).max(0.0)
    }

    /// Returns the standard error of the mean over servers, which differ whatever their version. It is a jackknife
    /// estimate: how far the mean moves without each server. `None` if only one of several servers remains.
    fn standard_error_over_servers(&self, times: impl Fn(&Tally) -> LogSum) -> Option<f64> {
        let remaining = self.evidence.servers.iter().filter(|(it, _)| !self.outliers.contains(it));
        let sums: Vec<_> = remaining.map(|(_, it)| times(it)).filter(|it| it.count() > 0).collect();
        if sums.len() < 2 {
            return self.outliers.is_empty().then_some(0.0);
        }
        let kept = times(&self.kept);
        let deviations = sums.iter().map(|it| kept.minus(*it).mean() - kept.mean());
        let servers = sums.len() as f64;
        Some((deviations.map(|it| it * it).sum::<f64>() * (servers - 1.0) / servers).sqrt())
    }

    fn is_slow(&self, is_promoting: bool) -> bool {
        // During the promotion a slow version has to be detected at once, and the higher bound allows for differences
        // of servers.
        let (factor, error_factor) =
            if is_promoting { (MIN_SLOWDOWN_PROMOTING, 0.0) } else { (MIN_SLOWDOWN, 1.0) };
        let is_above = |times: fn(&Tally) -> LogSum| {
            let Some(error) = self.standard_error_over_servers(times) else { return false };
            self.slowdown(times)
                .with_min_error(error_factor * error)
                .is_above(factor, SLOW_STANDARD_ERRORS)
        };
        let error = self.standard_error_over_servers(|it| it.first);
        let route_is_above = |pair: &VersionTallies| {
            let Some(error) = error else { return false };
            let slowdown = self.slowdown_on_route(pair);
            slowdown
                .with_min_error(error_factor * error)
                .is_above(factor, SLOW_ROUTE_STANDARD_ERRORS)
        };
        is_above(|it| it.first)
            || is_above(|it| it.pace)
            || self.routes().any(|(_, it)| route_is_above(it))
    }

    /// Returns the logarithm of the new version's slowdown to the first part of an answer on one route.
    fn slowdown_on_route(&self, pair: &VersionTallies) -> Difference {
        let (old, new) = (pair.old.first, pair.new.first);
        // Excluded servers may have had all of the route's requests.
        if old.count() < MIN_TIMES || self.excluded.first.count() * 2 > new.count() {
            return Difference::default();
        }
        let mean = new.mean() - self.outlier_contribution(|it| it.first) - old.mean();
        let error = (squared_error(old) + squared_error(new)).sqrt();
        Difference { mean, error, count: new.count() }
    }

    /// Returns the routes on which the new version answered.
    fn routes(&self) -> impl Iterator<Item = (&RouteKey, &VersionTallies)> {
        self.evidence.routes.iter().filter(|(_, it)| it.new != Tally::default())
    }
}

fn fraction(of: u32, whole: u32) -> f64 {
    if whole == 0 { 1.0 } else { f64::from(of) / f64::from(whole) }
}

/// Estimates the failure rate from a possibly small number of answers.
fn failure_rate(failed: u32, answers: u32) -> f64 {
    ((f64::from(failed) + 0.5) / (f64::from(answers) + 1.0)).max(MIN_FAILURE_RATE).min(0.9)
}

/// Returns the log-likelihood ratio of one route, from these fractions of its failures and successes.
fn route_log_ratio(pair: &VersionTallies, failed_fraction: f64, succeeded_fraction: f64) -> f64 {
    let base_rate = failure_rate(pair.old.failed, pair.old.answers);
    let failed = f64::from(pair.new.failed) * failed_fraction;
    let succeeded =
        f64::from(pair.new.answers - pair.new.failed.min(pair.new.answers)) * succeeded_fraction;
    log_likelihood_ratio(failed, succeeded, base_rate, MIN_EXCESS_RATE)
}

fn log_likelihood_ratio(failed: f64, succeeded: f64, base_rate: f64, excess: f64) -> f64 {
    let worse_rate = (base_rate + excess).min(0.99);
    failed * (worse_rate / base_rate).ln()
        + succeeded * ((1.0 - worse_rate) / (1.0 - base_rate)).ln()
}

fn squared_error(times: LogSum) -> f64 {
    let variance = times.variance().max(MIN_STANDARD_DEVIATION * MIN_STANDARD_DEVIATION);
    variance / f64::from(times.count().max(1))
}

/// Returns the outliers among the servers of the new version, worst first. At most a third of the servers are outliers.
fn outliers(evidence: &Evidence) -> Vec<u64> {
    let max_outliers = evidence.servers.len() / SERVERS_PER_OUTLIER;
    let mut found: Vec<u64> = Vec::new();
    while found.len() < max_outliers {
        let remaining = evidence.servers.iter().filter(|(server, _)| !found.contains(server));
        let all = remaining.clone().fold(Tally::default(), |sum, (_, it)| sum.plus(*it));
        let scored = remaining.map(|(server, it)| (outlier_score(*it, all.minus(*it)), *server));
        let Some((score, server)) = scored.max_by(|a, b| a.0.total_cmp(&b.0)) else { break };
        if score <= 0.0 {
            break;
        }
        found.push(server);
    }
    found
}

/// Returns how far a server differs from the others of its version, above 0 if it is an outlier.
fn outlier_score(server: Tally, others: Tally) -> f64 {
    let base_rate = failure_rate(others.failed, others.answers);
    let succeeded = f64::from(server.answers - server.failed.min(server.answers));
    let odds =
        log_likelihood_ratio(f64::from(server.failed), succeeded, base_rate, OUTLIER_EXCESS_RATE);
    let fails = server.failed >= MIN_OUTLIER_SAMPLES && odds > OUTLIER_ODDS.ln();
    let (own, rest) = (server.first, others.first);
    let error = (squared_error(own) + squared_error(rest)).sqrt();
    let log_slowdown = own.mean() - rest.mean() - OUTLIER_SLOWDOWN.ln();
    let is_slow = own.count() >= MIN_OUTLIER_SAMPLES
        && rest.count() >= MIN_TIMES
        && log_slowdown > SLOW_STANDARD_ERRORS * error;
    match (fails, is_slow) {
        (true, _) => odds,
        (false, true) => log_slowdown / error,
        (false, false) => 0.0,
    }
}
