//! Decides the next phase of a roll-out. Only the holder of the duties does so.

use std::time::Duration;

use crate::rollout::{
    promotion::Promotion,
    record::{Phase, RollbackCause, RolloutOrder, RolloutRecord},
    verdict::Verdict,
};

/// Maximum fraction of VMs that may be unreachable when a roll-out is completed without them.
const MAX_UNREACHABLE_FRACTION: f64 = 0.15;

/// Time after the deadline from which a roll-out may be completed without waiting for unreachable VMs.
const COMPLETION_GRACE: Duration = Duration::from_secs(10);

/// What the holder of the duties knows of a service when it decides.
#[derive(Clone, Debug)]
pub struct StepInput<'a> {
    /// Wall-clock time in milliseconds.
    pub now_ms: i64,
    /// The current order, if it wasn't removed.
    pub order: Option<&'a RolloutOrder>,
    /// The newest record.
    pub record: Option<&'a RolloutRecord>,
    /// The verdict by the evidence that all VMs reported.
    pub verdict: Verdict,
    /// Whether the service's servers are model engines.
    pub has_engines: bool,
    /// Usable servers of the new version.
    pub new_servers: usize,
    /// Number of servers that can carry the load.
    pub needed_servers: usize,
    /// Whether any other version has usable servers.
    pub has_old_servers: bool,
    /// How far the VMs have followed the promotion.
    pub vms: PromotionProgress,
}

/// How far the VMs have followed a promotion.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromotionProgress {
    /// Number of all VMs.
    pub vms: usize,
    /// Number of VMs that reported recently.
    pub reachable: usize,
    /// Number of VMs that no longer send to the old version.
    pub switched: usize,
    /// In-flight requests at servers of the old version.
    pub old_in_flight: u32,
}

impl PromotionProgress {
    /// Returns whether no VM has requests at the old version or will send any there.
    fn is_done(&self) -> bool {
        self.switched >= self.vms && self.reachable >= self.vms && self.old_in_flight == 0
    }

    /// Returns whether the same holds for all reachable VMs, and few VMs are unreachable.
    fn is_nearly_done(&self) -> bool {
        let unreachable = self.vms.saturating_sub(self.reachable) as f64;
        self.switched >= self.reachable
            && self.old_in_flight == 0
            && unreachable <= MAX_UNREACHABLE_FRACTION * self.vms as f64
    }
}

/// Returns the record that should be written now, or `None` if the stored record needs no change.
pub fn next_record(input: &StepInput<'_>) -> Option<RolloutRecord> {
    let record = match (input.order, input.record) {
        (None, None) => return None,
        (None, Some(record)) if record.phase.is_final() => return None,
        (None, Some(record)) => return Some(with_phase(record, cancelled())),
        (Some(order), None) => {
            return Some(first_record(input, RolloutRecord::first(order, input.now_ms)));
        }
        (Some(order), Some(record)) if order.id > record.order => {
            return Some(record_for_new_order(input, order, record));
        }
        (Some(_), Some(record)) => record,
    };
    let next = match record.phase {
        Phase::Canary => phase_after_canary(input, record),
        Phase::Promoting => phase_after_promoting(input, record),
        Phase::Completed | Phase::RolledBack(_) => None,
    };
    next.map(|it| with_phase(record, it))
}

const fn cancelled() -> Phase {
    Phase::RolledBack(RollbackCause::Cancelled)
}

fn with_phase(record: &RolloutRecord, phase: Phase) -> RolloutRecord {
    RolloutRecord { phase, ..record.clone() }
}

/// Returns the first record of an order. An order with no time, or with no old servers to replace, ends immediately.
fn first_record(input: &StepInput<'_>, record: RolloutRecord) -> RolloutRecord {
    if input.new_servers > 0 && !input.has_old_servers {
        return with_phase(&record, Phase::Completed);
    }
    if record.duration.is_zero() {
        return with_phase(&record, Phase::RolledBack(RollbackCause::NoTime));
    }
    record
}

/// Returns the record of a newer order. If it asks for the same version and duration as the roll-out in progress or
/// completed, that roll-out continues under the new order's id and keeps its deadline: operators who write an order
/// twice mean one roll-out.
fn record_for_new_order(
    input: &StepInput<'_>,
    order: &RolloutOrder,
    record: &RolloutRecord,
) -> RolloutRecord {
    let is_same = order.to == record.to && order.duration == record.duration;
    if is_same && (!record.phase.is_final() || record.phase == Phase::Completed) {
        return RolloutRecord { order: order.id, ..record.clone() };
    }
    first_record(input, record.superseded_by(order, input.now_ms))
}

fn millis(span: Duration) -> i64 {
    span.as_millis() as i64
}

/// Returns the phase that follows the canary, if it ends now. A good version stays a canary for as long as the order
/// leaves time, so that a fault that shows late affects few requests.
fn phase_after_canary(input: &StepInput<'_>, record: &RolloutRecord) -> Option<Phase> {
    let rolled_back = |cause| Some(Phase::RolledBack(cause));
    match input.verdict {
        Verdict::Fails => return rolled_back(RollbackCause::Failures),
        Verdict::IsSlow => return rolled_back(RollbackCause::Slowness),
        Verdict::Undecided | Verdict::Good => {}
    }
    let left = record.deadline_ms() - input.now_ms;
    let promotion = Promotion::of(record.duration, input.has_engines);
    let has_servers = input.new_servers > 0 && input.new_servers >= input.needed_servers;
    if left < millis(promotion.min_lead_time()) {
        let cause =
            if has_servers { RollbackCause::Undecided } else { RollbackCause::TooFewServers };
        return rolled_back(cause);
    }
    let is_due = left <= millis(promotion.lead_time());
    (is_due && input.verdict == Verdict::Good && has_servers).then_some(Phase::Promoting)
}

/// Returns the phase that follows the promotion, if it ends now.
///
/// Old servers stop once the roll-out is completed. A VM that still has a stream there, or hasn't received the
/// promotion, would have its callers' answers truncated. So completion waits for all VMs, even past the deadline. Later
/// than [`COMPLETION_GRACE`] past the deadline it waits only for reachable VMs, if few are unreachable.
fn phase_after_promoting(input: &StepInput<'_>, record: &RolloutRecord) -> Option<Phase> {
    match input.verdict {
        Verdict::Fails => return Some(Phase::RolledBack(RollbackCause::Failures)),
        Verdict::IsSlow => return Some(Phase::RolledBack(RollbackCause::Slowness)),
        Verdict::Undecided | Verdict::Good => {}
    }
    let is_late = input.now_ms - record.deadline_ms() >= millis(COMPLETION_GRACE);
    (input.vms.is_done() || (is_late && input.vms.is_nearly_done())).then_some(Phase::Completed)
}

/// Returns when the canary may end, in milliseconds of wall-clock time.
pub fn canary_ends_ms(record: &RolloutRecord, has_engines: bool) -> i64 {
    record.deadline_ms() - millis(Promotion::of(record.duration, has_engines).lead_time())
}
