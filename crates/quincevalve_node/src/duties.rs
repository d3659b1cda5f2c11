//! Duties that one entry VM performs for all: usage reports, server orders and roll-outs.
//!
//! The holder is elected by a key of the store under a lease; its fencing number grows with each change of holder.

pub(crate) mod orders;
pub(crate) mod reports;
mod rollouts;
mod term;

use std::{cell::Cell, rc::Rc, time::Duration};

use quincevalve_forwarding::duty::{Confirmation, TermEnd};
use quincevalve_names::{FencingNumber, TimePoint};
use rand::RngExt;
use tokio::{sync::watch, time::sleep};

use crate::{
    clock,
    node::Node,
    ports::{CloudApi, CloudError, DutyHolder, PlatformStore},
};

use self::{
    orders::order_servers,
    reports::report_usage,
    rollouts::run_rollouts,
    term::{confirm_term, keep_term, record_era, release, remove_own_keys, take_over},
};

/// Delay after a failed call of a takeover, and poll interval of the report task.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which a VM that doesn't hold the duties checks, without a call, whether another one does.
const VACANCY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum random delay in milliseconds added to each check, so that VMs don't attempt the takeover at once.
const MAX_JITTER_MS: u64 = 300;
/// Interval at which the holder checks during a call whether its term is over.
///
/// Timers don't count the time for which a VM is suspended, so a call could be sent long after its check.
const CALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Takes the duties over whenever no other VM holds them, and performs them until the term is over or the VM stops.
pub(crate) async fn run_duties<S, C>(
    node: Rc<Node>,
    store: S,
    cloud: C,
    mut stopped: watch::Receiver<bool>,
) where
    S: PlatformStore,
    C: CloudApi,
{
    node.duty.borrow_mut().end(TermEnd::GivenUp);
    let mut vacancy = None;
    loop {
        let wait = node.rng.borrow_mut().random_range(0..MAX_JITTER_MS);
        sleep(VACANCY_CHECK_INTERVAL + Duration::from_millis(wait)).await;
        if node.store_view.borrow().was_ever_read() {
            record_era(&node, &store);
        }
        if let Err(error) = remove_own_keys(&node, &store).await {
            log::debug!(error:% = error; "duty-keys-not-removed");
            sleep(POLL_INTERVAL).await;
        }
        if !may_attempt_takeover(&node, &mut vacancy) {
            continue;
        }
        match take_over(&node, &store).await {
            Ok(None) => {}
            Ok(Some(until)) => {
                vacancy = vacancy.map(|it| Vacancy { since: it.since.max(until), ..it });
                continue;
            }
            Err(error) => {
                log::debug!(error:% = error; "duty-not-taken");
                sleep(POLL_INTERVAL).await;
                continue;
            }
        }
        let number = node.duty.borrow().held_number().unwrap_or_default().0;
        let why = tokio::select! {
            why = perform_duties(&node, &store, &cloud) => why,
            _ = stopped.wait_for(|it| *it) => TermEnd::GivenUp,
        };
        let claim = node.duty.borrow_mut().give_up(clock::now());
        let era = node.duty.borrow().era();
        log::info!(number, era, why:? = why; "duty-lost");
        if *stopped.borrow() {
            // Without its keys another VM can take over at once; if this fails, they end with the lease.
            if let Some(claim) = claim
                && let Err(error) = release(&store, claim).await
            {
                log::debug!(error:% = error; "duty-not-released");
            }
            return;
        }
    }
}

/// A period without a holder of the duties, as observed by this VM.
#[derive(Clone, Copy, Debug)]
struct Vacancy {
    /// When it began, or when this VM can act, if that is later.
    since: TimePoint,
    /// Random draw that decides how long this VM waits, compared with other VMs, before it attempts the takeover.
    draw: f64,
}

/// Returns whether this VM may attempt to take the duties over now.
fn may_attempt_takeover(node: &Node, vacancy: &mut Option<Vacancy>) -> bool {
    if !node.is_ready() || node.peers.borrow().has_holder() {
        *vacancy = None;
        return false;
    }
    let now = clock::now();
    let draw = node.rng.borrow_mut().random();
    let Vacancy { since, draw } = *vacancy.get_or_insert(Vacancy { since: now, draw });
    let is_small = node.peers.borrow().table.is_small();
    let delay = if is_small {
        Duration::ZERO
    } else {
        node.store_read_role().duty_takeover_delay(node.vm_count(), draw)
    };
    now >= since + delay
}

/// Performs the duties until the term is over.
async fn perform_duties<S, C>(node: &Rc<Node>, store: &S, cloud: &C) -> TermEnd
where
    S: PlatformStore,
    C: CloudApi,
{
    let is_inherited = Cell::new(false);
    tokio::select! {
        why = keep_term(node, store) => why,
        () = report_usage(node, store, cloud, &is_inherited) => TermEnd::GivenUp,
        () = order_servers(node, store, cloud, &is_inherited) => TermEnd::GivenUp,
        () = run_rollouts(node, store) => TermEnd::GivenUp,
    }
}

/// Returns whether this VM may act as the holder of the duties.
fn may_act(node: &Node) -> bool {
    node.duty.borrow().fencing_number(clock::now()).is_some()
}

/// Makes a call to the cloud as the holder; returns `None` if this VM may not act.
///
/// The store confirms the term first: a VM whose clock doesn't count a suspension would act long after its lease.
async fn call_as_holder<S, T>(
    node: &Node,
    store: &S,
    call: impl AsyncFnOnce(&DutyHolder) -> Result<T, CloudError>,
) -> Option<Result<T, CloudError>>
where
    S: PlatformStore,
{
    make_call(node, confirm_term(node, store).await?, call).await
}

/// Makes a confirmed call. It is dropped when the term ends, and its outcome is unknown then.
async fn make_call<T>(
    node: &Node,
    confirmation: Confirmation,
    call: impl AsyncFnOnce(&DutyHolder) -> Result<T, CloudError>,
) -> Option<Result<T, CloudError>> {
    let fencing_number = node.duty.borrow_mut().begin_call(confirmation, clock::now())?;
    let holder = DutyHolder { name: node.settings.name.as_str().to_owned(), fencing_number };
    let result = tokio::select! {
        biased;
        () = until_over(node, fencing_number) => Err(CloudError::TermOver),
        result = call(&holder) => result,
    };
    node.duty.borrow_mut().end_call(clock::now());
    Some(result)
}

/// Returns when the term with this number is over.
async fn until_over(node: &Node, number: FencingNumber) {
    while node.duty.borrow().may_finish_call(number, clock::now()) {
        sleep(CALL_CHECK_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;
