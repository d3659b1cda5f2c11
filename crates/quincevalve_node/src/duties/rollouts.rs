//! Roll-outs as led by the holder of the duties.
//!
//! The holder writes the one record that all VMs follow and the status for operators.

use std::{collections::HashMap, time::Duration};

use quincevalve_forwarding::{
    demand::MeasuredDemand,
    rollout::{
        evidence::RouteKey,
        record::{OrderId, Phase, RolloutRecord},
        steps::{PromotionProgress, StepInput, next_record},
    },
};
use quincevalve_names::{ServiceName, TimePoint};
use tokio::time::sleep;

use super::{may_act, term::claim_to_expect};
use crate::{
    clock,
    node::Node,
    ports::{Commit, PlatformStore, RolloutState, RolloutStatus, StoreError, StoreRevision},
    rollouts::{apply_record, parse_record, rollout_key},
};

/// Interval between two evaluations of the roll-outs.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a failed call to the store, because every call counts as load on the store, also a rejected one.
const STORE_FAILURE_DELAY: Duration = Duration::from_millis(400);
/// Interval between two log lines about a roll-out's evidence.
const EVIDENCE_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum utilization of the new version's servers, as a fraction of their time, when the version takes over.
const MAX_UTILIZATION: f64 = 0.8;
/// Maximum number of new servers that must be present, as a fraction of the old ones. This number is required where no
/// demand is measured.
const MAX_NEEDED_FRACTION: f64 = 0.75;

/// The stored record of a roll-out, if any, and its revision.
type StoredRecord = (StoreRevision, Option<RolloutRecord>);

/// Advances all roll-outs for as long as this VM holds the duties.
pub(super) async fn run_rollouts<S>(node: &Node, store: &S)
where
    S: PlatformStore,
{
    let mut leader =
        RolloutLeader { node, store, stored: HashMap::new(), last_logged: HashMap::new() };
    loop {
        sleep(EVALUATION_INTERVAL).await;
        let services: Vec<_> = node.rollouts.borrow().services().cloned().collect();
        for service in services {
            if !may_act(node) {
                continue;
            }
            if let Err(error) = leader.advance(&service).await {
                log::warn!(service = service.as_str(), error:% = error; "rollout-call-failed");
                sleep(STORE_FAILURE_DELAY).await;
            }
        }
    }
}

struct RolloutLeader<'a, S> {
    node: &'a Node,
    store: &'a S,
    /// The stored record by service; a service is missing while its stored record is unknown.
    stored: HashMap<ServiceName, StoredRecord>,
    /// When the evidence of a service was last logged.
    last_logged: HashMap<ServiceName, TimePoint>,
}

impl<S> RolloutLeader<'_, S>
where
    S: PlatformStore,
{
    /// Writes the next record of a service's roll-out, if one is due.
    async fn advance(&mut self, service: &ServiceName) -> Result<(), StoreError> {
        let (revision, known) = self.stored_record(service).await?;
        // An incomplete list of servers would give wrong counts of both versions.
        if self.node.servers.borrow().may_be_incomplete(clock::now()) {
            return Ok(());
        }
        self.log_evidence(service, known.as_ref());
        let lost = self.lost_final_record(service, known.as_ref());
        let next = lost.or_else(|| self.next_record(service, known.as_ref()));
        let Some(next) = next else { return Ok(()) };
        let Some(claim) = claim_to_expect(self.node) else { return Ok(()) };
        // A failed write may have taken effect, so the record is forgotten first and read again after a failure.
        self.stored.remove(service);
        let revision = self.write_record(service, claim, revision, &next).await?;
        self.log_step(service, &next);
        self.stored.insert(service.clone(), (revision, Some(next.clone())));
        apply_record(self.node, service, next);
        self.node.changed.notify_waiters();
        Ok(())
    }

    async fn stored_record(&mut self, service: &ServiceName) -> Result<StoredRecord, StoreError> {
        if let Some(stored) = self.stored.get(service) {
            return Ok(stored.clone());
        }
        let stored = self.read_record(service).await?;
        self.stored.insert(service.clone(), stored.clone());
        Ok(stored)
    }

    async fn read_record(&self, service: &ServiceName) -> Result<StoredRecord, StoreError> {
        let key = rollout_key(service);
        let Some(item) = self.store.get(&key).await? else {
            return Ok((StoreRevision::ABSENT, None));
        };
        let known = parse_record(&key, &item.value).map(|(_, it)| it);
        if let Some(known) = &known {
            apply_record(self.node, service, known.clone());
        }
        Ok((item.revision, known))
    }

    /// Returns the final record that this VM knows, if the store returned from a copy that has an older one or none.
    ///
    /// Operators act on a final status, so it must not be followed by another one.
    fn lost_final_record(
        &self,
        service: &ServiceName,
        stored: Option<&RolloutRecord>,
    ) -> Option<RolloutRecord> {
        let rollouts = self.node.rollouts.borrow();
        let (_, known) = rollouts.records().find(|(it, _)| *it == service)?;
        let has_order = rollouts.orders().any(|(it, _)| it == service);
        let is_lost = stored.is_none_or(|it| {
            (it.order == known.order && !it.phase.is_final())
                || (has_order && it.order < known.order)
        });
        let is_ordered = rollouts.order_id(service) == known.order;
        if !(known.phase.is_final() && is_lost && is_ordered) {
            return None;
        }
        // The id of a lost order may be higher than that of the next one, which VMs that start now would ignore.
        let is_order_lost = stored.is_none() && !has_order;
        let order = if is_order_lost { OrderId::default() } else { known.order };
        Some(RolloutRecord { order, ..known.clone() })
    }

    fn next_record(
        &self,
        service: &ServiceName,
        known: Option<&RolloutRecord>,
    ) -> Option<RolloutRecord> {
        let node = self.node;
        let now = clock::now();
        let now_ms = node.wall_clock.borrow().estimate_ms(now)?;
        let config = node.config()?;
        let rollouts = node.rollouts.borrow();
        let order = rollouts.orders().find(|(it, _)| *it == service).map(|(_, it)| it);
        let to = order.map(|it| &it.to).or(known.map(|it| &it.to))?;
        let servers = node.servers.borrow();
        let (new, old): (Vec<_>, Vec<_>) =
            servers.usable(service, now).partition(|(_, it)| it.entry.version == *to);
        let old = old.iter().filter(|(_, it)| rollouts.admits(service, &it.entry.version)).count();
        let measured = node.measured_demand.borrow();
        let busy = measured.get(service).and_then(MeasuredDemand::measured);
        let peers = node.peers.borrow();
        let vms = node.vm_count();
        let progress = rollouts.progress(service).unwrap_or_default();
        let own_switched = u32::from(rollouts.has_switched(service, now));
        let input = StepInput {
            now_ms,
            order,
            record: known,
            verdict: rollouts.verdict(service),
            has_engines: config.services.get(service).is_some_and(|it| it.engine.is_some()),
            new_servers: new.len(),
            needed_servers: needed_servers(old, busy),
            has_old_servers: old > 0,
            vms: PromotionProgress {
                vms,
                reachable: (peers.reachable_fraction() * vms as f64).round() as usize,
                switched: (progress.switched + own_switched) as usize,
                old_in_flight: progress.old_in_flight,
            },
        };
        next_record(&input)
    }

    /// Writes the record and the status for operators, if this VM still holds the duties and the order is unchanged.
    async fn write_record(
        &self,
        service: &ServiceName,
        claim: (String, StoreRevision),
        expected: StoreRevision,
        next: &RolloutRecord,
    ) -> Result<StoreRevision, StoreError> {
        let value = serde_json::to_vec(next)
            .map_err(|error| StoreError::Unreadable { what: error.to_string() })?;
        let key = rollout_key(service);
        let commit = Commit {
            expected: vec![(key.clone(), expected), claim],
            puts: vec![(key, value, None)],
            ..Commit::default()
        };
        let is_ordered = self.node.rollouts.borrow().orders().any(|(it, _)| it == service);
        let order = if is_ordered { next.order } else { OrderId::default() };
        let status = RolloutStatus {
            service: service.clone(),
            to: next.to.clone(),
            state: rollout_state(next.phase),
            order: StoreRevision(order.0),
        };
        self.store.commit_rollout(&commit, &status).await
    }

    fn remaining_ms(&self, record: &RolloutRecord) -> i64 {
        let now_ms = self.node.wall_clock.borrow().estimate_ms(clock::now());
        record.deadline_ms() - now_ms.unwrap_or(record.ordered_ms)
    }

    fn log_step(&self, service: &ServiceName, next: &RolloutRecord) {
        let cause = match next.phase {
            Phase::RolledBack(cause) => cause.name(),
            Phase::Canary | Phase::Promoting | Phase::Completed => "",
        };
        let progress = self.node.rollouts.borrow().progress(service).unwrap_or_default();
        log::info!(
            service = service.as_str(), order = next.order.0, to:% = next.to, phase:? = next.phase,
            cause, old_runs = progress.old_in_flight, left_ms = self.remaining_ms(next);
            "rollout-step"
        );
    }

    /// Logs the evidence about both versions, at most once per [`EVIDENCE_LOG_INTERVAL`].
    fn log_evidence(&mut self, service: &ServiceName, known: Option<&RolloutRecord>) {
        let now = clock::now();
        let Some(known) = known.filter(|it| !it.phase.is_final()) else { return };
        if self.last_logged.get(service).is_some_and(|it| now.since(*it) < EVIDENCE_LOG_INTERVAL) {
            return;
        }
        self.last_logged.insert(service.clone(), now);
        let rollouts = self.node.rollouts.borrow();
        let Some(comparison) = rollouts.comparison(service) else { return };
        let Some(judgement) = comparison.judgement else { return };
        let (old, new) = (comparison.evidence.old_version(), comparison.evidence.new_version());
        log::info!(
            service = service.as_str(), order = known.order.0, phase:? = known.phase,
            left_ms = self.remaining_ms(known), verdict:? = judgement.verdict,
            new_answers = new.answers, new_failed = new.failed,
            old_answers = old.answers, old_failed = old.failed,
            failures = judgement.failures, bound = judgement.failures_bound,
            first = judgement.first.mean, first_error = judgement.first.error,
            pace = judgement.pace.mean, pace_error = judgement.pace.error, outliers = judgement.outliers;
            "rollout-look"
        );
        let Some(config) = self.node.config() else { return };
        for route in config.routes() {
            let Some(pair) = comparison.evidence.routes.get(&RouteKey::of(&route.name)) else {
                continue;
            };
            log::info!(
                service = service.as_str(), order = known.order.0, route = &*route.name,
                new_answers = pair.new.answers, new_failed = pair.new.failed,
                old_answers = pair.old.answers, old_failed = pair.old.failed,
                new_first = pair.new.first.mean(), old_first = pair.old.first.mean();
                "rollout-route"
            );
        }
    }
}

/// Returns how many servers of the new version must be present to replace `old` ones.
///
/// `busy` is the measured demand in busy servers.
fn needed_servers(old: usize, busy: Option<f64>) -> usize {
    let upper_bound = (old as f64 * MAX_NEEDED_FRACTION).ceil() as usize;
    let needed_for_demand = busy.map(|it| (it / MAX_UTILIZATION).ceil() as usize);
    needed_for_demand.map_or(upper_bound, |it| it.min(upper_bound)).max(1)
}

const fn rollout_state(phase: Phase) -> RolloutState {
    match phase {
        Phase::Canary | Phase::Promoting => RolloutState::Active,
        Phase::Completed => RolloutState::Completed,
        Phase::RolledBack(_) => RolloutState::RolledBack,
    }
}
