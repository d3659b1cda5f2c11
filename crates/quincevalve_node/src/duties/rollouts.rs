//! Roll-outs as the holder of the duties leads them: one record for all VMs, and the word to the operators.

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

use super::acting;
use crate::{
    clock,
    node::Node,
    ports::{Commit, PlatformStore, RolloutState, RolloutStatus, StoreError, StoreRevision},
    rollouts::{record, rollout_key, take_record},
    store::view::HOLDER_KEY,
};

/// Time between two looks at roll-outs.
const LOOK: Duration = Duration::from_millis(100);
/// Pause after a call to the store that failed: each one counts, also those that are refused.
const FAILED_PAUSE: Duration = Duration::from_millis(400);
/// Time between two lines that tell what was seen.
const LINE_PERIOD: Duration = Duration::from_secs(1);
/// The part of its time that a server of the new version may be busy when it takes over.
const WANTED_BUSY: f64 = 0.8;
/// The part of the old servers that the new ones have to be where no demand is measured.
const LEAST_PART: f64 = 0.75;

/// A record as it stands in the store, and its revision.
type Stored = (StoreRevision, Option<RolloutRecord>);

/// Leads all roll-outs for as long as this VM holds the duties.
pub(super) async fn lead_rollouts<S>(node: &Node, store: &S)
where
    S: PlatformStore,
{
    let mut lead = Lead { node, store, since: None, stored: HashMap::new(), told: HashMap::new() };
    loop {
        sleep(LOOK).await;
        let services: Vec<_> = node.rollouts.borrow().services().cloned().collect();
        for service in services {
            if acting(node).is_none() {
                continue;
            }
            if let Err(error) = lead.go_on(&service).await {
                log::warn!(service = service.as_str(), error:% = error; "rollout-call-failed");
                sleep(FAILED_PAUSE).await;
            }
        }
    }
}

struct Lead<'a, S> {
    node: &'a Node,
    store: &'a S,
    /// The revision at which this VM stands as the holder of the duties, once it was read: a write that expects it fails
    /// once another does.
    since: Option<StoreRevision>,
    /// What stands in the store; missing where that isn't known.
    stored: HashMap<ServiceName, Stored>,
    /// When what was seen was told last.
    told: HashMap<ServiceName, TimePoint>,
}

impl<S> Lead<'_, S>
where
    S: PlatformStore,
{
    /// Writes the next record of a service's roll-out, if it is time.
    async fn go_on(&mut self, service: &ServiceName) -> Result<(), StoreError> {
        let Some(since) = self.held_since().await? else { return Ok(()) };
        let (revision, known) = self.stored(service).await?;
        // An incomplete list of servers says nothing of what there is.
        if self.node.servers.borrow().may_be_incomplete(clock::now()) {
            return Ok(());
        }
        self.tell(service, known.as_ref());
        let Some(next) = self.next(service, known.as_ref()) else { return Ok(()) };
        // Until it is answered it is unknown whether it was written: after a failure it is read back.
        self.stored.remove(service);
        let revision = self.write(service, since, revision, &next).await?;
        self.tell_step(service, &next);
        self.stored.insert(service.clone(), (revision, Some(next.clone())));
        take_record(self.node, service, next);
        self.node.changed.notify_waiters();
        Ok(())
    }

    /// The revision at which this VM stands as the holder; `None` where another does.
    async fn held_since(&mut self) -> Result<Option<StoreRevision>, StoreError> {
        if self.since.is_none() {
            let me = self.node.settings.name.as_str().as_bytes();
            let holder = self.store.get(HOLDER_KEY).await?;
            self.since = holder.filter(|it| it.value == me).map(|it| it.revision);
        }
        Ok(self.since)
    }

    async fn stored(&mut self, service: &ServiceName) -> Result<Stored, StoreError> {
        if let Some(stored) = self.stored.get(service) {
            return Ok(stored.clone());
        }
        let stored = self.read(service).await?;
        self.stored.insert(service.clone(), stored.clone());
        Ok(stored)
    }

    async fn read(&self, service: &ServiceName) -> Result<Stored, StoreError> {
        let key = rollout_key(service);
        let Some(item) = self.store.get(&key).await? else {
            return Ok((StoreRevision::ABSENT, None));
        };
        let known = record(&key, &item.value).map(|(_, it)| it);
        if let Some(known) = &known {
            take_record(self.node, service, known.clone());
        }
        Ok((item.revision, known))
    }

    fn next(&self, service: &ServiceName, known: Option<&RolloutRecord>) -> Option<RolloutRecord> {
        let node = self.node;
        let now = clock::now();
        let now_ms = node.wall.borrow().estimate_ms(now)?;
        let config = node.config()?;
        let book = node.rollouts.borrow();
        let order = book.orders().find(|(it, _)| *it == service).map(|(_, it)| it);
        let to = order.map(|it| &it.to).or(known.map(|it| &it.to))?;
        let servers = node.servers.borrow();
        let (new, old): (Vec<_>, Vec<_>) =
            servers.usable(service, now).partition(|(_, it)| it.entry.version == *to);
        let old = old.iter().filter(|(_, it)| book.admits(service, &it.entry.version)).count();
        let measured = node.measured.borrow();
        let busy = measured.get(service).and_then(MeasuredDemand::measured);
        let peers = node.peers.borrow();
        let vms = node.vms();
        let told = book.progress(service).unwrap_or_default();
        let is_own_follower = u32::from(book.has_switched(service, now));
        let situation = StepInput {
            now_ms,
            order,
            record: known,
            verdict: book.verdict(service),
            has_engines: config.services.get(service).is_some_and(|it| it.engine.is_some()),
            new_servers: new.len(),
            needed_servers: needed(old, busy),
            has_old_servers: old > 0,
            vms: PromotionProgress {
                vms,
                reachable: (peers.reachable_fraction() * vms as f64).round() as usize,
                switched: (told.switched + is_own_follower) as usize,
                old_in_flight: told.old_in_flight,
            },
        };
        next_record(&situation)
    }

    /// Writes the record and the word to the operators, if this VM still holds the duties and the order still stands.
    async fn write(
        &self,
        service: &ServiceName,
        since: StoreRevision,
        over: StoreRevision,
        next: &RolloutRecord,
    ) -> Result<StoreRevision, StoreError> {
        let value = serde_json::to_vec(next)
            .map_err(|error| StoreError::Unreadable { what: error.to_string() })?;
        let key = rollout_key(service);
        let commit = Commit {
            expected: vec![(key.clone(), over), (HOLDER_KEY.to_owned(), since)],
            puts: vec![(key, value, None)],
            ..Commit::default()
        };
        let is_ordered = self.node.rollouts.borrow().orders().any(|(it, _)| it == service);
        let order = if is_ordered { next.order } else { OrderId::default() };
        let status = RolloutStatus {
            service: service.clone(),
            to: next.to.clone(),
            state: state(next.phase),
            order: StoreRevision(order.0),
        };
        self.store.commit_rollout(&commit, &status).await
    }

    fn left_ms(&self, record: &RolloutRecord) -> i64 {
        let now_ms = self.node.wall.borrow().estimate_ms(clock::now());
        record.deadline_ms() - now_ms.unwrap_or(record.ordered_ms)
    }

    fn tell_step(&self, service: &ServiceName, next: &RolloutRecord) {
        let cause = match next.phase {
            Phase::RolledBack(cause) => cause.name(),
            Phase::Canary | Phase::Promoting | Phase::Completed => "",
        };
        let told = self.node.rollouts.borrow().progress(service).unwrap_or_default();
        log::info!(
            service = service.as_str(), order = next.order.0, to:% = next.to, phase:? = next.phase,
            cause, old_runs = told.old_in_flight, left_ms = self.left_ms(next);
            "rollout-step"
        );
    }

    /// Tells what was seen of both versions, now and then.
    fn tell(&mut self, service: &ServiceName, known: Option<&RolloutRecord>) {
        let now = clock::now();
        let Some(known) = known.filter(|it| !it.phase.is_final()) else { return };
        if self.told.get(service).is_some_and(|it| now.since(*it) < LINE_PERIOD) {
            return;
        }
        self.told.insert(service.clone(), now);
        let book = self.node.rollouts.borrow();
        let Some(judged) = book.comparison(service) else { return };
        let Some(found) = judged.judgement else { return };
        let (old, new) = (judged.evidence.old_version(), judged.evidence.new_version());
        log::info!(
            service = service.as_str(), order = known.order.0, phase:? = known.phase,
            left_ms = self.left_ms(known), verdict:? = found.verdict,
            new_answers = new.answers, new_failed = new.failed,
            old_answers = old.answers, old_failed = old.failed,
            failures = found.failures, bound = found.failures_bound,
            first = found.first.mean, first_error = found.first.error,
            pace = found.pace.mean, pace_error = found.pace.error, outliers = found.outliers;
            "rollout-look"
        );
        let Some(config) = self.node.config() else { return };
        for route in config.routes() {
            let Some(pair) = judged.evidence.routes.get(&RouteKey::of(&route.name)) else {
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

/// Servers of the new version that are needed where `old` ones serve: those that the measured demand keeps busy.
fn needed(old: usize, busy: Option<f64>) -> usize {
    let most = (old as f64 * LEAST_PART).ceil() as usize;
    let by_demand = busy.map(|it| (it / WANTED_BUSY).ceil() as usize);
    by_demand.map_or(most, |it| it.min(most)).max(1)
}

const fn state(phase: Phase) -> RolloutState {
    match phase {
        Phase::Canary | Phase::Promoting => RolloutState::Active,
        Phase::Completed => RolloutState::Completed,
        Phase::RolledBack(_) => RolloutState::RolledBack,
    }
}
