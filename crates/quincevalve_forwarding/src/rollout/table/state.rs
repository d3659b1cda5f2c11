//! One service's roll-out as one VM sees it.

use std::{sync::Arc, time::Duration};

use quincevalve_names::{
    BackendServerName, ServerVersion, ServiceName, TimePoint, rendezvous_score,
};

use super::{DetectedBy, Halt, RefreshContext, VersionChoice, halt::HaltState};
use crate::{
    rollout::{
        evidence::{Evidence, EvidenceRecorder, RouteKey, Sample, VersionRole},
        exposure::Exposure,
        partial_sum::RolloutPartialSum,
        promotion::Promotion,
        record::{OrderId, Phase, RollbackCause, RolloutOrder, RolloutRecord},
        scope::VersionScope,
        steps::canary_ends_ms,
        verdict::{Judgement, Verdict, judge},
    },
    servers::{Server, ServerTable, start_hash},
    shared_limit::{SharedLimit, VmRank},
};

/// The part of what the limit allows that may be used when the first server of the new version is there; it rises to
/// all until the canary ends, so that something is left for what shows late.
const FIRST_PART: f64 = 0.3;
/// Servers that get the new version's share at a time, as a part of the old ones times that share: each is loaded about
/// like an old one.
const CANARY_PART: f64 = 0.65;
/// How long each gets it, in milliseconds: then others do, so that a few bad servers don't stand for their version.
const CANARY_TURN_MS: i64 = 1_500;
/// Answers of a route that are wanted before other routes may have all of the share.
const ROUTE_ANSWERS: u32 = 60;
/// The part of the requests of other routes that may use it while there is any left.
const OTHER_ROUTES: f64 = 0.5;
/// The share of a good version when it begins to take the traffic over.
const RAMP_FROM: f64 = 0.12;
/// The part of the share that is used on once a version looks good: the rest is left for what shows late.
const WATCH_PART: f64 = 0.75;
/// For how long after its completion only the new version is used, so that old servers that stop aren't met.
const OLD_SERVERS_STOP: Duration = Duration::from_secs(10);

/// What the answers of both versions say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Comparison {
    /// The verdict; `None` before anything was compared.
    pub judgement: Option<Judgement>,
    /// All answers, of all VMs as far as they told.
    pub evidence: Evidence,
}

/// What VMs told of a roll-out, this one included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Requests that run at servers of the old version.
    pub old_in_flight: u32,
    /// VMs that send nothing to the old version any more.
    pub switched: u32,
    /// Requests that this VM sent to the new version.
    pub sent_to_new: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing was ordered.
    Free,
    Canary,
    /// The new version gets nothing.
    Halted,
    Promoting,
    Completed,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Rollout {
    order: Option<RolloutOrder>,
    heard_at: TimePoint,
    record: Option<RolloutRecord>,
    /// Since when the record is in its phase, as seen here.
    phase_since: TimePoint,
    halt: HaltState,
    /// Whether this VM has told that it sends nothing to the old version any more.
    has_told_following: bool,
    /// Servers of the new version that take work.
    new_servers: usize,
    exposure: Exposure,
    own: EvidenceRecorder,
    others: RolloutPartialSum,
    judged: Comparison,
    /// When the first server of the new version was seen.
    new_since: Option<TimePoint>,
    /// The part of what the limit allows that may be used by now.
    part: f64,
    seat: Option<VmRank>,
    is_in_touch: bool,
    has_engines: bool,
    canaries: Option<Arc<VersionScope>>,
    /// The servers of the version that served before.
    old: Option<Arc<VersionScope>>,
    /// The servers of the new version, while it takes over and afterwards.
    new: Option<Arc<VersionScope>>,
    own_old_runs: u32,
}

impl Rollout {
    pub(super) fn order(&self) -> Option<&RolloutOrder> {
        self.order.as_ref()
    }

    pub(super) fn record(&self) -> Option<&RolloutRecord> {
        self.record.as_ref()
    }

    /// The order that counts: the newest, recorded or not.
    pub(super) fn id(&self) -> OrderId {
        let ordered = self.order.as_ref().map(|it| it.id);
        let recorded = self.record.as_ref().map(|it| it.order);
        ordered.max(recorded).unwrap_or_default()
    }

    /// The record, if it is of the order that counts.
    fn current_record(&self) -> Option<&RolloutRecord> {
        self.record.as_ref().filter(|it| it.order == self.id())
    }

    /// The version that was ordered last.
    fn to(&self) -> Option<&ServerVersion> {
        match (self.current_record(), &self.order) {
            (Some(record), _) => Some(&record.to),
            (None, Some(order)) => Some(&order.to),
            (None, None) => None,
        }
    }

    fn stage(&self) -> Stage {
        let Some(record) = self.current_record() else {
            return match &self.order {
                None => Stage::Free,
                Some(_) if self.halt.is_halted() => Stage::Halted,
                Some(_) => Stage::Canary,
            };
        };
        match record.phase {
            Phase::Completed => Stage::Completed,
            Phase::RolledBack(_) => Stage::Halted,
            Phase::Canary | Phase::Promoting if self.halt.is_halted() => Stage::Halted,
            // A removed order is taken back as soon as it is known.
            Phase::Canary if self.order.is_none() => Stage::Halted,
            Phase::Canary => Stage::Canary,
            Phase::Promoting => Stage::Promoting,
        }
    }

    pub(super) fn apply_order(
        &mut self,
        order: RolloutOrder,
        was_running: bool,
        now: TimePoint,
    ) -> bool {
        if self.order.as_ref().is_some_and(|it| it.id >= order.id) {
            return false;
        }
        if !self.goes_on_as(&order) {
            self.begin_anew(was_running, now);
        }
        self.order = Some(order);
        true
    }

    /// Whether an order says what the roll-out that runs here says already.
    fn goes_on_as(&self, order: &RolloutOrder) -> bool {
        let is_same = match (self.current_record(), &self.order) {
            (Some(record), _) => record.to == order.to && record.duration == order.duration,
            (None, Some(known)) => known.to == order.to && known.duration == order.duration,
            (None, None) => false,
        };
        is_same && matches!(self.stage(), Stage::Canary | Stage::Promoting)
    }

    fn begin_anew(&mut self, was_running: bool, now: TimePoint) {
        self.heard_at = now;
        self.halt = HaltState::NotFoundBad;
        self.has_told_following = false;
        self.exposure = Exposure::new(was_running);
        self.own = EvidenceRecorder::default();
        self.others = RolloutPartialSum::default();
        self.judged = Comparison::default();
        self.new_since = None;
        self.canaries = None;
    }

    pub(super) fn remove_order(&mut self) {
        self.order = None;
    }

    pub(super) fn apply_record(&mut self, record: RolloutRecord, now: TimePoint) -> bool {
        let known = self.record.as_ref();
        // Failure: an old copy of the store is read after newer changes. Symptom: a roll-out that was taken back goes on.
        let is_older = known.is_some_and(|it| {
            record.order < it.order || (record.order == it.order && it.phase.is_final())
        });
        if is_older || known == Some(&record) {
            return false;
        }
        match known.map(|it| it.phase) {
            Some(phase) if phase == record.phase => {}
            // A process that has just started is where the others are.
            None if record.phase == Phase::Promoting => self.phase_since = TimePoint::ZERO,
            Some(_) | None => self.phase_since = now,
        }
        self.record = Some(record);
        true
    }

    pub(super) fn set_peer_sums(&mut self, share: Option<&RolloutPartialSum>) {
        let id = self.id();
        self.others = share.filter(|it| it.order == id).cloned().unwrap_or_default();
    }

    pub(super) fn share(
        &mut self,
        service: &ServiceName,
        servers: &ServerTable,
        now: TimePoint,
    ) -> Option<RolloutPartialSum> {
        let is_over = self.current_record().is_some_and(|it| it.phase.is_final());
        if is_over || self.stage() == Stage::Free {
            return None;
        }
        self.own_old_runs = self.old_runs(service, servers, now);
        let is_following = self.has_switched(now);
        self.has_told_following |= is_following;
        Some(RolloutPartialSum {
            order: self.id(),
            observations: self.own.observations(now),
            old_in_flight: self.own_old_runs,
            switched: u32::from(is_following),
            halted: self.halt.cause(),
        })
    }

    /// Requests of this VM that run at servers of the old version.
    fn old_runs(&self, service: &ServiceName, servers: &ServerTable, now: TimePoint) -> u32 {
        if self.stage() != Stage::Promoting {
            return 0;
        }
        let Some(to) = self.to() else { return 0 };
        let of_service = servers.all().filter(|(_, it)| it.entry.service == *service);
        let old = of_service.filter(|(_, it)| it.entry.version != *to);
        old.map(|(_, it)| it.load.own_work(now).requests).sum()
    }

    /// Whether this VM sends nothing to the old version any more.
    pub(super) fn has_switched(&self, now: TimePoint) -> bool {
        self.stage() == Stage::Promoting && now.since(self.phase_since) >= self.promotion().ramp
    }

    fn promotion(&self) -> Promotion {
        let duration = self.current_record().map_or(Duration::ZERO, |it| it.duration);
        Promotion::of(duration, self.has_engines)
    }

    pub(super) fn progress(&self) -> RolloutProgress {
        RolloutProgress {
            old_in_flight: self.others.old_in_flight + self.own_old_runs,
            switched: self.others.switched,
            sent_to_new: self.exposure.sent_total(),
        }
    }

    pub(super) fn verdict(&self) -> Verdict {
        let found = self.judged.judgement.map_or(Verdict::Undecided, |it| it.verdict);
        match (self.halt.cause(), found) {
            (Some(RollbackCause::Slowness), _) => Verdict::IsSlow,
            (Some(_), _) => Verdict::Fails,
            (None, Verdict::Good) => Verdict::Good,
            (None, _) => Verdict::Undecided,
        }
    }

    pub(super) fn comparison(&self) -> &Comparison {
        &self.judged
    }

    pub(super) fn refresh(
        &mut self,
        service: &ServiceName,
        servers: &ServerTable,
        limit: &SharedLimit,
        around: &RefreshContext,
        now: TimePoint,
    ) -> Option<Halt> {
        let to = self.to()?.clone();
        self.seat = Some(around.vm_rank);
        self.is_in_touch = around.is_connected;
        self.has_engines = around.has_engines;
        self.set_scopes(service, &to, servers, limit, around.wall_clock_ms, now);
        self.part = self.part_by_now(around, now);
        let found = self.judge(now)?;
        Some(Halt { service: service.clone(), version: to, detected_by: found })
    }

    fn set_scopes(
        &mut self,
        service: &ServiceName,
        to: &ServerVersion,
        servers: &ServerTable,
        limit: &SharedLimit,
        true_ms: Option<i64>,
        now: TimePoint,
    ) {
        let barred = self.barred();
        let mut except = barred.clone();
        if !except.contains(to) {
            except.push(to.clone());
        }
        let old = VersionScope::Except(except);
        let is_new = |it: &Server| it.entry.version == *to;
        let usable: Vec<_> = servers.usable(service, now).collect();
        let new: Vec<_> = usable.iter().filter(|(_, it)| is_new(it)).collect();
        self.new_servers = new.len();
        if new.is_empty() {
            self.canaries = None;
        } else {
            self.new_since.get_or_insert(now);
            let old_servers =
                usable.iter().filter(|(name, it)| old.admits(name, &it.entry)).count();
            let wanted = (CANARY_PART * limit.ratio * old_servers as f64).round() as usize;
            let turn = true_ms.unwrap_or_default() / CANARY_TURN_MS;
            let chosen = self.chosen(&new, wanted.max(1), turn as usize);
            self.canaries = Some(Arc::new(VersionScope::Canaries(to.clone(), chosen)));
        }
        let stays_alone = now.since(self.phase_since) < OLD_SERVERS_STOP && !new.is_empty();
        self.new = Some(Arc::new(if self.stage() == Stage::Completed && !stays_alone {
            VersionScope::Except(barred)
        } else {
            VersionScope::Only(to.clone())
        }));
        self.old = Some(Arc::new(old));
    }

    /// Versions that were ordered before and not completed.
    fn barred(&self) -> Vec<ServerVersion> {
        let Some(record) = &self.record else { return Vec::new() };
        let mut barred = record.barred.clone();
        let is_superseded = record.order < self.id() && record.phase != Phase::Completed;
        if is_superseded {
            barred.push(record.to.clone());
        }
        barred.retain(|it| Some(it) != self.to());
        barred
    }

    /// The servers that get the new version's share; the same at all VMs that know the same servers.
    fn chosen(
        &self,
        new: &[&(&BackendServerName, &Server)],
        wanted: usize,
        turn: usize,
    ) -> Vec<u64> {
        let mut hashes: Vec<u64> =
            new.iter().map(|(name, it)| start_hash(name, it.entry.start)).collect();
        let key = self.id().0;
        hashes.sort_unstable_by_key(|it| std::cmp::Reverse(rendezvous_score(key, *it)));
        let first = turn.wrapping_mul(wanted) % hashes.len().max(1);
        hashes.rotate_left(first);
        hashes.truncate(wanted);
        hashes
    }

    fn part_by_now(&self, around: &RefreshContext, now: TimePoint) -> f64 {
        let Some(new_since) = self.new_since else { return 0.0 };
        let served = now.since(new_since).as_secs_f64();
        let left = self.canary_left(around, now).as_secs_f64();
        let progress = served / (served + left).max(f64::MIN_POSITIVE);
        FIRST_PART + (1.0 - FIRST_PART) * progress.clamp(0.0, 1.0)
    }

    /// The time until the canary may end.
    fn canary_left(&self, around: &RefreshContext, now: TimePoint) -> Duration {
        let record = self.current_record();
        if let Some((record, true_ms)) = record.zip(around.wall_clock_ms) {
            let left = canary_ends_ms(record, around.has_engines) - true_ms;
            return Duration::from_millis(left.max(0) as u64);
        }
        let duration = self.order.as_ref().map_or(Duration::ZERO, |it| it.duration);
        duration.saturating_sub(now.since(self.heard_at))
    }

    /// Compares the versions, and says by whom the new one was found bad, if it just was.
    fn judge(&mut self, now: TimePoint) -> Option<DetectedBy> {
        if !matches!(self.stage(), Stage::Canary | Stage::Promoting) {
            return None;
        }
        self.halt = self.halt.at(now);
        if self.halt.cause().is_some() {
            return None;
        }
        let mut seen = self.own.observations(now);
        seen.add(&self.others.observations);
        let judgement = judge(&seen, self.stage() == Stage::Promoting, self.new_servers);
        self.judged = Comparison { judgement: Some(judgement), evidence: seen.all };
        // A VM that hears few others compares what may be its own trouble.
        let found = match judgement.verdict {
            Verdict::Fails => Some(RollbackCause::Failures),
            Verdict::IsSlow => Some(RollbackCause::Slowness),
            Verdict::Undecided | Verdict::Good => None,
        };
        let found = found.filter(|_| self.is_in_touch);
        let cause = found.or(self.others.halted)?;
        self.halt = HaltState::begin(cause, self.has_told_following, now);
        Some(found.map_or(DetectedBy::Elsewhere, |_| DetectedBy::Here(judgement)))
    }

    pub(super) fn choose(
        &mut self,
        route: RouteKey,
        limit: &SharedLimit,
        draw: f64,
        now: TimePoint,
    ) -> VersionChoice {
        self.exposure.record_request();
        let canaries = self.canaries.clone().filter(|_| {
            self.stage() == Stage::Canary
                && self.is_in_touch
                && self.may_use_share(route, draw, limit)
        });
        match (canaries, &self.old) {
            (Some(canaries), Some(old)) => VersionChoice::WithFallback(canaries, old.clone()),
            _ if self.stage() == Stage::Promoting => self.promoted(draw, now),
            _ => self.choice_for_retry(),
        }
    }

    /// Whether a request of that route may use the new version's share now: routes of which little was seen go first.
    fn may_use_share(&self, route: RouteKey, draw: f64, limit: &SharedLimit) -> bool {
        let Some(seat) = self.seat else { return false };
        let seen = self.judged.evidence.routes.get(&route).map_or(0, |it| it.new.answers);
        let looks_good = self.judged.judgement.is_some_and(|it| it.verdict == Verdict::Good);
        let wanted_part = if looks_good { WATCH_PART * limit.ratio } else { OTHER_ROUTES };
        let is_wanted = seen < ROUTE_ANSWERS || draw < wanted_part;
        is_wanted && self.exposure.may_send(limit, seat, self.part)
    }

    /// Where a request goes while a good version takes over: to it by its rising share, else to the old one.
    fn promoted(&self, draw: f64, now: TimePoint) -> VersionChoice {
        let (Some(old), Some(new)) = (self.old.clone(), self.new.clone()) else {
            return VersionChoice::Any;
        };
        let ramp = self.promotion().ramp.as_secs_f64();
        let risen = now.since(self.phase_since).as_secs_f64() / ramp;
        if risen >= 1.0 {
            return VersionChoice::One(new);
        }
        let share = RAMP_FROM.powf(1.0 - risen);
        if draw < share {
            VersionChoice::WithFallback(new, old)
        } else {
            VersionChoice::WithFallback(old, new)
        }
    }

    pub(super) fn choice_for_retry(&self) -> VersionChoice {
        let scope = match self.stage() {
            Stage::Free => None,
            Stage::Canary | Stage::Halted => self.old.clone(),
            Stage::Promoting | Stage::Completed => self.new.clone(),
        };
        match scope {
            Some(scope) => VersionChoice::One(scope),
            // Not refreshed yet: what an order names gets nothing until then.
            None => self.to().map_or(VersionChoice::Any, |to| {
                VersionChoice::One(Arc::new(VersionScope::Except(vec![to.clone()])))
            }),
        }
    }

    pub(super) fn admits(&self, version: &ServerVersion) -> bool {
        let is_new = self.to() == Some(version);
        !(self.barred().contains(version) || (is_new && self.stage() == Stage::Halted))
    }

    pub(super) fn carries_load(&self, version: &ServerVersion) -> bool {
        let is_new = self.to() == Some(version);
        match self.stage() {
            Stage::Free => true,
            Stage::Canary | Stage::Halted => !is_new && !self.barred().contains(version),
            Stage::Promoting => is_new,
            Stage::Completed => !self.barred().contains(version),
        }
    }

    pub(super) fn is_promoting(&self) -> bool {
        self.stage() == Stage::Promoting
    }

    pub(super) fn expected_stop(&self, version: &ServerVersion) -> Option<TimePoint> {
        let is_old = self.to().is_some_and(|it| it != version);
        (is_old && self.stage() == Stage::Promoting)
            .then(|| self.phase_since + self.promotion().old_servers_stay)
    }

    pub(super) fn record_sent(&mut self, version: &ServerVersion) {
        if self.to() == Some(version) && self.stage() != Stage::Completed {
            self.exposure.record_sent();
        }
    }

    /// The side of an answer; `None` where nothing is compared.
    pub(super) fn side(&self, version: &ServerVersion, server: u64) -> Option<VersionRole> {
        let is_compared = matches!(self.stage(), Stage::Canary | Stage::Promoting);
        self.new_since.filter(|_| is_compared)?;
        Some(if self.to() == Some(version) { VersionRole::New(server) } else { VersionRole::Old })
    }

    pub(super) fn add_sample(
        &mut self,
        route: RouteKey,
        side: VersionRole,
        sample: Sample,
        now: TimePoint,
    ) {
        self.own.add_sample(route, side, sample, now);
    }
}
