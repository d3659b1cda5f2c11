//! Calls that only the holder of the duties may make, after another VM has taken over or the store has returned from an
//! older copy.

mod support;

use std::time::Duration;

use quincevalve_forwarding::config::Scaling;
use quincevalve_names::{DataCentreName, ServiceName};
use support::{DutyCall, FakeStore, Reply, Setup, World, run, sealed};
use tokio::time::{sleep, timeout};

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time for which a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which a holder makes several calls of each kind.
const CALLS_TIME: Duration = Duration::from_millis(2_500);

/// Starts a VM that holds the duties, reports usage and orders a second server again and again.
async fn start_holder(lease: Duration) -> World {
    let mut setup = Setup { holder_lease: Some(lease), ..Setup::default() };
    let service = setup.config.services.get_mut(&ServiceName::from("engines")).expect("a service");
    let prices = [(DataCentreName::from("a"), 1.0)].into_iter().collect();
    let boot_time = Duration::from_secs(5);
    service.scaling = Some(Scaling { min: 2, max: 4, boot_time, reclaimable_price: None, prices });
    let world =
        World::start_with(1, setup, |_, it| Reply::Send(sealed(it, "200 OK", "done"))).await;
    wait_for_calls(&world, 0).await;
    world
}

/// Waits until two calls of each kind were made after the first `seen` ones.
async fn wait_for_calls(world: &World, seen: usize) {
    let count = |kind| {
        let calls = world.cloud.calls.borrow();
        calls.iter().skip(seen).filter(|it| it.0 == kind).count()
    };
    let made = async {
        while count(DutyCall::Report) < 2 || count(DutyCall::Order) < 2 {
            sleep(POLL_INTERVAL).await;
        }
    };
    let is_made = timeout(WAIT_TIMEOUT, made).await.is_ok();
    assert!(is_made, "too few calls: {:?}", world.cloud.calls.borrow());
}

// The copy has the holder's lease and claim, and lacks what others have done since: the platform would get calls under a
// lower number than before.
#[test]
fn no_call_has_a_number_of_an_era_that_has_ended() {
    run(async {
        let world = start_holder(Duration::from_secs(1)).await;
        let before = world.cloud.calls.borrow().clone();
        world.store.return_from_copy(|_| {});
        wait_for_calls(&world, before.len()).await;
        let calls = world.cloud.calls.borrow();
        let highest = before.iter().map(|it| it.1).max();
        let stale = calls.iter().skip(before.len()).find(|it| Some(it.1) <= highest);
        assert_eq!(stale, None, "{calls:?}");
    });
}

/// A lease is longer than the test, so that the holder's clock doesn't show that it is over, nor does a renewal that keeps
/// it: as after a suspension that the clock didn't count.
fn no_call_after(change: impl FnOnce(&FakeStore)) {
    run(async {
        let world = start_holder(Duration::from_secs(60)).await;
        change(&world.store);
        let made = world.cloud.calls.borrow().len();
        sleep(CALLS_TIME).await;
        let calls = world.cloud.calls.borrow();
        assert_eq!(calls.len(), made, "{calls:?}");
    });
}

#[test]
fn no_call_is_made_after_another_vm_has_taken_over() {
    no_call_after(|store| store.take_duties_over("another"));
}

// The confirmation of the call is the first to state the era.
#[test]
fn no_call_is_made_after_the_store_has_returned() {
    no_call_after(|store| store.return_from_copy(|_| {}));
}

// The store writes a report and doesn't confirm the term before the call: the window would never be reported.
#[test]
fn a_report_that_is_not_confirmed_is_sent_later() {
    run(async {
        let world = start_holder(Duration::from_secs(60)).await;
        world.store.reject_renewals(true);
        let made = world.cloud.calls.borrow().len();
        sleep(CALLS_TIME).await;
        assert_eq!(world.cloud.calls.borrow().len(), made, "calls without a confirmation");
        let stored = world.store.items_with_prefix("duty/usage");
        let stored: serde_json::Value = serde_json::from_slice(&stored[0].value).expect("a report");
        let window = stored["window"].as_u64().expect("a window");
        assert!(!world.cloud.windows.borrow().contains(&window), "it is reported already");
        world.store.reject_renewals(false);
        wait_for_calls(&world, made).await;
        let windows = world.cloud.windows.borrow();
        assert!(windows.contains(&window), "{window} of {windows:?}");
    });
}
