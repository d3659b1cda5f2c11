//! What servers state about themselves, and which requests they may get from this VM.

use std::time::Duration;

use quincevalve_names::{BackendServerName, TimePoint};

use super::{LeaveReason, Server, ServerStart, ServerTable};
use crate::{
    config::Engine,
    server_signals::{ReportedSignals, RequestRate, ServerSignals, SignalUpdate},
    shared_limit::VmRank,
};

/// Reason why a server temporarily gets no requests from this VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Restraint {
    /// The server rejected a request of this VM and asked for a rest period.
    Resting {
        /// Remaining rest period.
        remaining: Duration,
    },
    /// The server states a rate limit, and this VM has used up its share.
    Limited {
        /// Rate limit over all VMs.
        limit: RequestRate,
    },
    /// The server is brittle, and this VM's requests take up its share of the server's slots.
    Occupied,
}

impl Server {
    /// Returns the rate limit over all entry VMs, if the server states one.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    /// Returns the maximum number of rejections in a second, if the server is brittle.
    pub fn brittle(&self) -> Option<u32> {
        self.brittle
    }

    /// Applies the signals of an answer and returns which of them changed.
    fn apply_signals(&mut self, signals: &ServerSignals, now: TimePoint) -> SignalUpdate {
        let leaving = self.update_leaving(signals.leaving);
        self.signals_stated_at = Some(now);
        let limit = std::mem::replace(&mut self.limit, signals.limit) != signals.limit;
        let brittle = std::mem::replace(&mut self.brittle, signals.brittle) != signals.brittle;
        SignalUpdate { limit, leaving, brittle }
    }

    /// Returns the server's signals to report to other VMs, or `None` if no answer has carried any.
    pub fn signals_to_report(&self, now: TimePoint) -> Option<ReportedSignals> {
        let age = now.since(self.signals_stated_at?);
        let leaving = self.leaving == Some(LeaveReason::Announced);
        Some(ReportedSignals { limit: self.limit, age, leaving, brittle: self.brittle })
    }

    /// Applies signals that another VM reports and returns which of them changed. Of two statements, the later one wins.
    fn apply_report(&mut self, report: &ReportedSignals, now: TimePoint) -> SignalUpdate {
        let leaving = self.update_leaving(report.leaving);
        let report_is_older = |at: TimePoint| now.since(at) <= report.age;
        if self.signals_stated_at.is_some_and(report_is_older) {
            return SignalUpdate { leaving, ..SignalUpdate::default() };
        }
        let ReportedSignals { limit, brittle, .. } = *report;
        let signals = ServerSignals { limit, brittle, ..ServerSignals::default() };
        let update = self.apply_signals(&signals, now.saturating_sub(report.age));
        SignalUpdate { leaving, ..update }
    }

    /// Starts or extends the rest period after the server rejected a request and asked for rest. Of two rest periods,
    /// the one that ends later wins.
    pub fn extend_rest(&mut self, rest: Duration, now: TimePoint) {
        self.rest_until = self.rest_until.max(now + rest);
    }

    /// Returns whether the server is in a rest period.
    pub fn is_resting(&self, now: TimePoint) -> bool {
        now < self.rest_until
    }

    /// Marks the server as leaving and returns whether that is new.
    ///
    /// Leaving is never revoked: an entry or answer without the announcement may be older.
    fn update_leaving(&mut self, leaving: bool) -> bool {
        let is_new = leaving && self.leaving.is_none();
        if is_new {
            self.leaving = Some(LeaveReason::Announced);
        }
        is_new
    }
}

fn millis(at: TimePoint) -> i64 {
    (at.as_micros() / 1_000).cast_signed()
}

impl ServerTable {
    /// Applies the signals of an answer of a start of a server and returns which of them changed; `None` if this start is
    /// unknown.
    pub fn apply_signals(
        &mut self,
        name: &BackendServerName,
        start: ServerStart,
        signals: &ServerSignals,
        now: TimePoint,
    ) -> Option<SignalUpdate> {
        self.apply(name, start, now, |it| it.apply_signals(signals, now))
    }

    /// Applies signals that another VM reports and returns which of them changed; `None` if this start is unknown.
    pub fn apply_report(
        &mut self,
        name: &BackendServerName,
        start: ServerStart,
        report: &ReportedSignals,
        now: TimePoint,
    ) -> Option<SignalUpdate> {
        let at = now.saturating_sub(report.age);
        self.apply(name, start, at, |it| it.apply_report(report, now))
    }

    /// Applies a statement made at `at`, and records it for its service.
    fn apply(
        &mut self,
        name: &BackendServerName,
        start: ServerStart,
        at: TimePoint,
        change: impl FnOnce(&mut Server) -> SignalUpdate,
    ) -> Option<SignalUpdate> {
        let server = self.servers.get_mut(name).filter(|it| it.entry.start == start)?;
        let before = server.brittle;
        let update = change(server);
        if server.signals_stated_at == Some(at) {
            self.brittle_services.record(&server.entry.service, before, server.brittle, at);
        }
        Some(update)
    }

    /// Sets this VM's rank and the wall-clock time. Until then, the VM keeps to rate limits as if it were the only one.
    pub fn set_rank(&mut self, rank: VmRank, wall_clock_ms: i64, now: TimePoint) {
        self.rank = rank;
        self.wall_clock_origin_ms = wall_clock_ms - millis(now);
    }

    /// Returns this VM's rank, by which slots and limits of servers are divided.
    pub fn rank(&self) -> VmRank {
        self.rank
    }

    /// Returns why a server that is otherwise usable currently gets no requests from this VM, according to its own
    /// signals.
    ///
    /// `engine` describes the servers if they are model engines that a prompt is sent to.
    pub fn restraint(
        &self,
        server: &Server,
        engine: Option<Engine>,
        now: TimePoint,
    ) -> Option<Restraint> {
        if server.is_resting(now) {
            return Some(Restraint::Resting { remaining: server.rest_until.since(now) });
        }
        // A brittle server fails if it has to reject many requests. The shares of all VMs add up to its room, so that it
        // rejects none, however little they know of each other's newest requests.
        if self.is_occupied(server, engine, now) {
            return Some(Restraint::Occupied);
        }
        let limit = server.limit?;
        let (rank, wall_clock_ms) = (self.rank, self.wall_clock_ms(now));
        let is_allowed = server.allowance.has_remaining(limit, server.hash, rank, wall_clock_ms);
        (!is_allowed).then_some(Restraint::Limited { limit })
    }

    /// Takes one request from this VM's share of a server's rate limit. Returns `false` if the share is used up or this
    /// start is unknown.
    pub fn spend_allowance(
        &mut self,
        name: &BackendServerName,
        start: ServerStart,
        now: TimePoint,
    ) -> bool {
        let (rank, wall_clock_ms) = (self.rank, self.wall_clock_ms(now));
        let Some(server) = self.get_mut(name, start) else { return false };
        let Some(limit) = server.limit else { return true };
        server.allowance.try_spend(limit, server.hash, rank, wall_clock_ms)
    }

    /// Returns the mean time until servers with these limits allow this VM's next request.
    pub(crate) fn expected_allowance_wait(&self, limits: &[RequestRate]) -> Duration {
        let per_second: f64 = limits.iter().map(|it| it.per_second()).sum();
        let seconds = self.rank.vm_count as f64 / per_second;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn wall_clock_ms(&self, now: TimePoint) -> i64 {
        self.wall_clock_origin_ms + millis(now)
    }
}
