//! One service's roll-out as one VM tracks it.

mod choice;

use std::{sync::Arc, time::Duration};

use quincevalve_names::{
    BackendServerName, ServerVersion, ServiceName, TimePoint, rendezvous_score,
};

use super::{DetectedBy, Halt, RefreshContext, halt::HaltState};
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

/// Fraction of the exposure limit that may be used when the first server of the new version appears. It rises to 1
/// until the canary ends, so that some requests are left to detect faults that show late.
const INITIAL_FRACTION: f64 = 0.3;
/// Number of canary servers at a time, relative to the number of old servers times the new version's share. With this
/// factor each has about the load of an old server.
const CANARY_LOAD_FACTOR: f64 = 0.65;
/// Milliseconds after which other servers become the canary servers, so that a few bad servers aren't taken for a bad
/// version.
const CANARY_ROTATION_MS: i64 = 1_500;
/// Time after the completion for which only the new version is used, so that requests aren't sent to old servers that
/// stop.
const NEW_VERSION_ONLY_TIME: Duration = Duration::from_secs(10);

/// A comparison of both versions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Comparison {
    /// The latest judgement; `None` before the first.
    pub judgement: Option<Judgement>,
    /// The evidence since the start that all VMs reported.
    pub evidence: Evidence,
}

/// How far VMs have followed a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutProgress {
    /// In-flight requests of all VMs at servers of the old version.
    pub old_in_flight: u32,
    /// Number of other VMs that no longer send to the old version.
    pub switched: u32,
    /// Number of requests that this VM sent to the new version.
    pub sent_to_new: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// There was no order.
    NoOrder,
    Canary,
    /// The new version gets no requests.
    Halted,
    Promoting,
    Completed,
}

/// The era of the store in which the order was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum KnownFrom {
    #[default]
    PresentEra,
    /// The store has returned from a copy since, and may have lost the order.
    EarlierEra,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Rollout {
    order: Option<RolloutOrder>,
    received_at: TimePoint,
    record: Option<RolloutRecord>,
    /// When this VM learned of the record's phase.
    phase_since: TimePoint,
    halt: HaltState,
    /// Whether this VM has reported that it no longer sends to the old version.
    has_reported_switched: bool,
    /// Number of usable servers of the new version.
    new_servers: usize,
    exposure: Exposure,
    own_evidence: EvidenceRecorder,
    peer_sum: RolloutPartialSum,
    comparison: Comparison,
    /// When this VM first knew of a usable server of the new version.
    new_since: Option<TimePoint>,
    /// Fraction of the exposure limit that may be used now.
    allowed_fraction: f64,
    vm_rank: Option<VmRank>,
    is_connected: bool,
    has_engines: bool,
    canaries: Option<Arc<VersionScope>>,
    /// The servers of the version that served before.
    old: Option<Arc<VersionScope>>,
    /// The servers that requests are sent to during and after the promotion.
    new: Option<Arc<VersionScope>>,
    own_old_in_flight: u32,
    known_from: KnownFrom,
    /// Versions of orders that the store has lost before they were completed. They get no requests.
    lost_versions: Vec<ServerVersion>,
}

impl Rollout {
    pub(super) fn order(&self) -> Option<&RolloutOrder> {
        self.order.as_ref()
    }

    pub(super) fn record(&self) -> Option<&RolloutRecord> {
        self.record.as_ref()
    }

    /// Returns the id of the newest order, whether it has a record or not.
    pub(super) fn id(&self) -> OrderId {
        let ordered = self.order.as_ref().map(|it| it.id);
        let recorded = self.record.as_ref().map(|it| it.order);
        ordered.max(recorded).unwrap_or_default()
    }

    /// Returns the record, if it is that of the newest order.
    fn current_record(&self) -> Option<&RolloutRecord> {
        self.record.as_ref().filter(|it| it.order == self.id())
    }

    /// Returns the version of the newest order.
    fn target(&self) -> Option<&ServerVersion> {
        match (self.current_record(), &self.order) {
            (Some(record), _) => Some(&record.to),
            (None, Some(order)) => Some(&order.to),
            (None, None) => None,
        }
    }

    fn stage(&self) -> Stage {
        let Some(record) = self.current_record() else {
            return match &self.order {
                None => Stage::NoOrder,
                Some(_) if self.halt.is_halted() => Stage::Halted,
                Some(_) => Stage::Canary,
            };
        };
        match record.phase {
            Phase::Completed => Stage::Completed,
            Phase::RolledBack(_) => Stage::Halted,
            Phase::Canary | Phase::Promoting if self.halt.is_halted() => Stage::Halted,
            // A removed order is rolled back as soon as the removal is known, before the record says so.
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
        let known_from = std::mem::take(&mut self.known_from);
        if known_from == KnownFrom::EarlierEra && order.id <= self.id() {
            return self.apply_order_of_later_era(order, was_running, now);
        }
        if self.order.as_ref().is_some_and(|it| it.id >= order.id) {
            return false;
        }
        self.lost_versions.retain(|it| *it != order.to);
        let is_running = matches!(self.stage(), Stage::Canary | Stage::Promoting);
        if !(is_running && self.asks_for_same(&order)) {
            self.reset(was_running, now);
        }
        self.order = Some(order);
        true
    }

    /// Applies the first order that is read in a later era of the store, and whose id isn't above the known one's.
    ///
    /// If it asks for the same, it was read or written again, so the roll-out goes on, or stays ended, under its id: a bad
    /// version gets no second share. Otherwise the store has lost the known order.
    fn apply_order_of_later_era(
        &mut self,
        order: RolloutOrder,
        was_running: bool,
        now: TimePoint,
    ) -> bool {
        let known_id = self.order.as_ref().map(|it| it.id);
        if self.asks_for_same(&order) {
            let id = self.id();
            if let Some(record) = self.record.as_mut().filter(|it| it.order == id) {
                record.order = order.id;
            }
        } else {
            self.bar_known_versions();
            self.record = self.record.take().filter(|it| it.order < order.id);
            self.reset(was_running, now);
        }
        self.lost_versions.retain(|it| *it != order.to);
        let is_changed = known_id != Some(order.id);
        self.order = Some(order);
        is_changed
    }

    /// Bars the versions that the newest order or its record bars, and the ordered one unless it was completed.
    fn bar_known_versions(&mut self) {
        let is_completed = self.current_record().is_some_and(|it| it.phase == Phase::Completed);
        let target = self.target().filter(|_| !is_completed).cloned();
        self.lost_versions = self.barred().into_iter().chain(target).collect();
    }

    pub(super) fn record_later_era(&mut self) {
        self.known_from = KnownFrom::EarlierEra;
    }

    /// Returns whether an order asks for the same as the newest roll-out.
    fn asks_for_same(&self, order: &RolloutOrder) -> bool {
        match (self.current_record(), &self.order) {
            (Some(record), _) => record.to == order.to && record.duration == order.duration,
            (None, Some(known)) => known.to == order.to && known.duration == order.duration,
            (None, None) => false,
        }
    }

    fn reset(&mut self, was_running: bool, now: TimePoint) {
        self.received_at = now;
        self.halt = HaltState::NotDetected;
        self.has_reported_switched = false;
        self.exposure = Exposure::new(was_running);
        self.own_evidence = EvidenceRecorder::default();
        self.peer_sum = RolloutPartialSum::default();
        self.comparison = Comparison::default();
        self.new_since = None;
        self.canaries = None;
    }

    pub(super) fn remove_order(&mut self) {
        self.order = None;
    }

    pub(super) fn apply_record(&mut self, record: RolloutRecord, now: TimePoint) -> bool {
        let known = self.record.as_ref();
        // An old copy of the store may be read after newer changes. Without this check a roll-out that was rolled back
        // would continue.
        let is_older = known.is_some_and(|it| {
            record.order < it.order || (record.order == it.order && it.phase.is_final())
        });
        if is_older || known == Some(&record) {
            return false;
        }
        match known.map(|it| it.phase) {
            Some(phase) if phase == record.phase => {}
            // A process that has just started can't know when the promotion began, so it skips the ramp.
            None if record.phase == Phase::Promoting => self.phase_since = TimePoint::ZERO,
            Some(_) | None => self.phase_since = now,
        }
        self.record = Some(record);
        true
    }

    pub(super) fn set_peer_sums(&mut self, partial_sum: Option<&RolloutPartialSum>) {
        let id = self.id();
        self.peer_sum = partial_sum.filter(|it| it.order == id).cloned().unwrap_or_default();
    }

    pub(super) fn partial_sum(
        &mut self,
        service: &ServiceName,
        servers: &ServerTable,
        now: TimePoint,
    ) -> Option<RolloutPartialSum> {
        let is_over = self.current_record().is_some_and(|it| it.phase.is_final());
        if is_over || self.stage() == Stage::NoOrder {
            return None;
        }
        self.own_old_in_flight = self.count_old_in_flight(service, servers, now);
        let has_switched = self.has_switched(now);
        self.has_reported_switched |= has_switched;
        Some(RolloutPartialSum {
            order: self.id(),
            observations: self.own_evidence.observations(now),
            old_in_flight: self.own_old_in_flight,
            switched: u32::from(has_switched),
            halted: self.halt.cause(),
        })
    }

    /// Returns the number of this VM's in-flight requests at servers of the old version.
    fn count_old_in_flight(
        &self,
        service: &ServiceName,
        servers: &ServerTable,
        now: TimePoint,
    ) -> u32 {
        if self.stage() != Stage::Promoting {
            return 0;
        }
        let Some(target) = self.target() else { return 0 };
        let of_service = servers.all().filter(|(_, it)| it.entry.service == *service);
        let old = of_service.filter(|(_, it)| it.entry.version != *target);
        old.map(|(_, it)| it.load.own_work(now).requests).sum()
    }

    /// Returns whether this VM no longer sends to the old version.
    pub(super) fn has_switched(&self, now: TimePoint) -> bool {
        self.stage() == Stage::Promoting && now.since(self.phase_since) >= self.promotion().ramp
    }

    fn promotion(&self) -> Promotion {
        let duration = self.current_record().map_or(Duration::ZERO, |it| it.duration);
        Promotion::of(duration, self.has_engines)
    }

    pub(super) fn progress(&self) -> RolloutProgress {
        RolloutProgress {
            old_in_flight: self.peer_sum.old_in_flight + self.own_old_in_flight,
            switched: self.peer_sum.switched,
            sent_to_new: self.exposure.sent_total(),
        }
    }

    pub(super) fn verdict(&self) -> Verdict {
        let own_verdict = self.comparison.judgement.map_or(Verdict::Undecided, |it| it.verdict);
        match (self.halt.cause(), own_verdict) {
            (Some(RollbackCause::Slowness), _) => Verdict::IsSlow,
            (Some(_), _) => Verdict::Fails,
            (None, Verdict::Good) => Verdict::Good,
            (None, _) => Verdict::Undecided,
        }
    }

    pub(super) fn comparison(&self) -> &Comparison {
        &self.comparison
    }

    pub(super) fn refresh(
        &mut self,
        service: &ServiceName,
        servers: &ServerTable,
        limit: &SharedLimit,
        context: &RefreshContext,
        now: TimePoint,
    ) -> Option<Halt> {
        let target = self.target()?.clone();
        self.vm_rank = Some(context.vm_rank);
        self.is_connected = context.is_connected;
        self.has_engines = context.has_engines;
        self.update_scopes(service, &target, servers, limit, context.wall_clock_ms, now);
        self.allowed_fraction = self.current_allowed_fraction(context, now);
        let detected_by = self.judge(now)?;
        Some(Halt { service: service.clone(), version: target, detected_by })
    }

    fn update_scopes(
        &mut self,
        service: &ServiceName,
        target: &ServerVersion,
        servers: &ServerTable,
        limit: &SharedLimit,
        wall_clock_ms: Option<i64>,
        now: TimePoint,
    ) {
        let barred = self.barred();
        let mut except = barred.clone();
        if !except.contains(target) {
            except.push(target.clone());
        }
        let old = VersionScope::Except(except);
        let is_new = |it: &Server| it.entry.version == *target;
        let usable: Vec<_> = servers.usable(service, now).collect();
        let new: Vec<_> = usable.iter().filter(|(_, it)| is_new(it)).collect();
        self.new_servers = new.len();
        if new.is_empty() {
            self.canaries = None;
        } else {
            self.new_since.get_or_insert(now);
            let old_servers =
                usable.iter().filter(|(name, it)| old.admits(name, &it.entry)).count();
            let wanted_servers =
                (CANARY_LOAD_FACTOR * limit.ratio * old_servers as f64).round() as usize;
            let rotation = wall_clock_ms.unwrap_or_default() / CANARY_ROTATION_MS;
            let canary_servers =
                self.canary_servers(&new, wanted_servers.max(1), rotation as usize);
            self.canaries = Some(Arc::new(VersionScope::Canaries(target.clone(), canary_servers)));
        }
        let is_new_only = now.since(self.phase_since) < NEW_VERSION_ONLY_TIME && !new.is_empty();
        self.new = Some(Arc::new(if self.stage() == Stage::Completed && !is_new_only {
            VersionScope::Except(barred)
        } else {
            VersionScope::Only(target.clone())
        }));
        self.old = Some(Arc::new(old));
    }

    /// Returns the versions that were ordered before and not completed.
    fn barred(&self) -> Vec<ServerVersion> {
        let mut barred = self.lost_versions.clone();
        if let Some(record) = &self.record {
            barred.extend(record.barred.iter().cloned());
            if record.order < self.id() && record.phase != Phase::Completed {
                barred.push(record.to.clone());
            }
        }
        barred.retain(|it| Some(it) != self.target());
        barred
    }

    /// Returns the canary servers by start hash. All VMs that know the same servers choose the same ones.
    fn canary_servers(
        &self,
        new: &[&(&BackendServerName, &Server)],
        wanted_servers: usize,
        rotation: usize,
    ) -> Vec<u64> {
        let mut hashes: Vec<u64> =
            new.iter().map(|(name, it)| start_hash(name, it.entry.start)).collect();
        let key = self.id().0;
        hashes.sort_unstable_by_key(|it| std::cmp::Reverse(rendezvous_score(key, *it)));
        let first = rotation.wrapping_mul(wanted_servers) % hashes.len().max(1);
        hashes.rotate_left(first);
        hashes.truncate(wanted_servers);
        hashes
    }

    fn current_allowed_fraction(&self, context: &RefreshContext, now: TimePoint) -> f64 {
        let Some(new_since) = self.new_since else { return 0.0 };
        let served = now.since(new_since).as_secs_f64();
        let left = self.time_to_canary_end(context, now).as_secs_f64();
        let progress = served / (served + left).max(f64::MIN_POSITIVE);
        INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * progress.max(0.0).min(1.0)
    }

    /// Returns the time until the canary may end.
    fn time_to_canary_end(&self, context: &RefreshContext, now: TimePoint) -> Duration {
        let record = self.current_record();
        if let Some((record, wall_clock_ms)) = record.zip(context.wall_clock_ms) {
            let left = canary_ends_ms(record, context.has_engines) - wall_clock_ms;
            return Duration::from_millis(left.max(0) as u64);
        }
        let duration = self.order.as_ref().map_or(Duration::ZERO, |it| it.duration);
        duration.saturating_sub(now.since(self.received_at))
    }

    /// Compares the versions, and returns which VM found the new one bad, if it was just found bad.
    fn judge(&mut self, now: TimePoint) -> Option<DetectedBy> {
        if !matches!(self.stage(), Stage::Canary | Stage::Promoting) {
            return None;
        }
        self.halt = self.halt.advance(now);
        if self.halt.cause().is_some() {
            return None;
        }
        let mut observations = self.own_evidence.observations(now);
        observations.add(&self.peer_sum.observations);
        let judgement = judge(&observations, self.stage() == Stage::Promoting, self.new_servers);
        self.comparison = Comparison { judgement: Some(judgement), evidence: observations.all };
        // A VM that reaches few others may compare the effects of its own fault.
        let cause_found = match judgement.verdict {
            Verdict::Fails => Some(RollbackCause::Failures),
            Verdict::IsSlow => Some(RollbackCause::Slowness),
            Verdict::Undecided | Verdict::Good => None,
        };
        let cause_found = cause_found.filter(|_| self.is_connected);
        let cause = cause_found.or(self.peer_sum.halted)?;
        self.halt = HaltState::after_detection(cause, self.has_reported_switched, now);
        Some(cause_found.map_or(DetectedBy::Elsewhere, |_| DetectedBy::Here(judgement)))
    }

    pub(super) fn admits(&self, version: &ServerVersion) -> bool {
        let is_new = self.target() == Some(version);
        !(self.barred().contains(version) || (is_new && self.stage() == Stage::Halted))
    }

    pub(super) fn carries_load(&self, version: &ServerVersion) -> bool {
        let is_new = self.target() == Some(version);
        match self.stage() {
            Stage::NoOrder => true,
            Stage::Canary | Stage::Halted => !is_new && !self.barred().contains(version),
            Stage::Promoting => is_new,
            Stage::Completed => !self.barred().contains(version),
        }
    }

    pub(super) fn is_promoting(&self) -> bool {
        self.stage() == Stage::Promoting
    }

    pub(super) fn expected_stop(&self, version: &ServerVersion) -> Option<TimePoint> {
        let is_old = self.target().is_some_and(|it| it != version);
        (is_old && self.stage() == Stage::Promoting)
            .then(|| self.phase_since + self.promotion().old_servers_stay)
    }

    pub(super) fn record_sent(&mut self, version: &ServerVersion) {
        if self.target() == Some(version) && self.stage() != Stage::Completed {
            self.exposure.record_sent();
        }
    }

    /// Returns the role of a server's version, or `None` if versions aren't compared.
    pub(super) fn role(&self, version: &ServerVersion, server: u64) -> Option<VersionRole> {
        let is_compared = matches!(self.stage(), Stage::Canary | Stage::Promoting);
        self.new_since.filter(|_| is_compared)?;
        Some(if self.target() == Some(version) {
            VersionRole::New(server)
        } else {
            VersionRole::Old
        })
    }

    pub(super) fn add_sample(
        &mut self,
        route: RouteKey,
        role: VersionRole,
        sample: Sample,
        now: TimePoint,
    ) {
        self.own_evidence.add_sample(route, role, sample, now);
    }
}
