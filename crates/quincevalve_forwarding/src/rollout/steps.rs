//! How a roll-out goes on: decided by the holder of the duties alone.

use std::time::Duration;

use crate::rollout::{
    promotion::Promotion,
    record::{Phase, RollbackCause, RolloutOrder, RolloutRecord},
    verdict::Verdict,
};

/// The part of the VMs that need not be heard at the deadline: they are cut off or gone.
const UNHEARD_PART: f64 = 0.15;

/// Time after the deadline from which on the word is written whoever isn't heard.
const PATIENCE: Duration = Duration::from_secs(10);

/// What the holder knows of a service when it decides.
#[derive(Clone, Debug)]
pub struct Situation<'a> {
    /// True time in milliseconds.
    pub now_ms: i64,
    /// The order as it stands.
    pub order: Option<&'a RolloutOrder>,
    /// The newest record.
    pub record: Option<&'a RolloutRecord>,
    /// What the answers say, as far as all VMs told.
    pub verdict: Verdict,
    /// Whether its servers are model engines.
    pub has_engines: bool,
    /// Servers of the new version that take work.
    pub new_servers: usize,
    /// Servers that carry the load.
    pub needed_servers: usize,
    /// Whether any other version has servers that take work.
    pub has_old_servers: bool,
    /// What the VMs do.
    pub vms: Following,
}

/// How far the VMs have followed a promotion.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Following {
    /// All VMs.
    pub vms: usize,
    /// Those that were heard lately.
    pub heard: usize,
    /// Those that send nothing to the old version any more.
    pub following: usize,
    /// Requests that run at servers of the old version.
    pub old_runs: u32,
}

impl Following {
    /// Whether no VM has work at the old version, and none will.
    fn is_done(&self) -> bool {
        self.following >= self.vms && self.heard >= self.vms && self.old_runs == 0
    }

    /// Whether that holds of all that are heard, and nearly all are.
    fn is_nearly_done(&self) -> bool {
        let unheard = self.vms.saturating_sub(self.heard) as f64;
        self.following >= self.heard
            && self.old_runs == 0
            && unheard <= UNHEARD_PART * self.vms as f64
    }
}

/// The record that should be written now; `None` where the one that stands is right.
pub fn next_step(at: &Situation<'_>) -> Option<RolloutRecord> {
    let record = match (at.order, at.record) {
        (None, None) => return None,
        (None, Some(record)) if record.phase.is_final() => return None,
        (None, Some(record)) => return Some(in_phase(record, cancelled())),
        (Some(order), None) => return Some(begin(at, RolloutRecord::first(order, at.now_ms))),
        (Some(order), Some(record)) if order.id > record.order => {
            return Some(renewed(at, order, record));
        }
        (Some(_), Some(record)) => record,
    };
    let next = match record.phase {
        Phase::Canary => next_of_canary(at, record),
        Phase::Promoting => next_of_promoting(at, record),
        Phase::Completed | Phase::RolledBack(_) => None,
    };
    next.map(|it| in_phase(record, it))
}

const fn cancelled() -> Phase {
    Phase::RolledBack(RollbackCause::Cancelled)
}

fn in_phase(record: &RolloutRecord, phase: Phase) -> RolloutRecord {
    RolloutRecord { phase, ..record.clone() }
}

/// The first record of an order: one that leaves no time, or has nothing to move, ends at once.
fn begin(at: &Situation<'_>, record: RolloutRecord) -> RolloutRecord {
    if at.new_servers > 0 && !at.has_old_servers {
        return in_phase(&record, Phase::Completed);
    }
    if record.duration.is_zero() {
        return in_phase(&record, Phase::RolledBack(RollbackCause::NoTime));
    }
    record
}

/// The record of a newer order. Where it says what the one that runs says, that goes on under the new order's id and with
/// its first deadline: operators who write an order twice mean one roll-out.
fn renewed(at: &Situation<'_>, order: &RolloutOrder, record: &RolloutRecord) -> RolloutRecord {
    let is_same = order.to == record.to && order.duration == record.duration;
    if is_same && (!record.phase.is_final() || record.phase == Phase::Completed) {
        return RolloutRecord { order: order.id, ..record.clone() };
    }
    begin(at, record.superseded_by(order, at.now_ms))
}

fn millis(span: Duration) -> i64 {
    span.as_millis() as i64
}

/// The canary lasts for as long as the order leaves time: what turns bad late is seen on few requests then.
fn next_of_canary(at: &Situation<'_>, record: &RolloutRecord) -> Option<Phase> {
    let rolled_back = |cause| Some(Phase::RolledBack(cause));
    match at.verdict {
        Verdict::Fails => return rolled_back(RollbackCause::Failures),
        Verdict::IsSlow => return rolled_back(RollbackCause::Slowness),
        Verdict::Undecided | Verdict::Good => {}
    }
    let left = record.deadline_ms() - at.now_ms;
    let promotion = Promotion::of(record.duration, at.has_engines);
    let has_servers = at.new_servers > 0 && at.new_servers >= at.needed_servers;
    if left < millis(promotion.too_late_before()) {
        let cause =
            if has_servers { RollbackCause::Undecided } else { RollbackCause::TooFewServers };
        return rolled_back(cause);
    }
    let is_due = left <= millis(promotion.begins_before());
    (is_due && at.verdict == Verdict::Good && has_servers).then_some(Phase::Promoting)
}

/// Failure: old servers stop at the word, and some VM still has a stream there, or has not heard of the promotion. Symptom:
/// its callers' answers are cut. The word waits for all VMs, beyond the deadline too; long after it only for those that
/// are heard, if the others are few.
fn next_of_promoting(at: &Situation<'_>, record: &RolloutRecord) -> Option<Phase> {
    match at.verdict {
        Verdict::Fails => return Some(Phase::RolledBack(RollbackCause::Failures)),
        Verdict::IsSlow => return Some(Phase::RolledBack(RollbackCause::Slowness)),
        Verdict::Undecided | Verdict::Good => {}
    }
    let is_late = at.now_ms - record.deadline_ms() >= millis(PATIENCE);
    (at.vms.is_done() || (is_late && at.vms.is_nearly_done())).then_some(Phase::Completed)
}

/// When the canary may end, in milliseconds of true time.
pub fn canary_ends_ms(record: &RolloutRecord, has_engines: bool) -> i64 {
    record.deadline_ms() - millis(Promotion::of(record.duration, has_engines).begins_before())
}
