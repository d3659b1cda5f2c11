//! Tests how many servers are ordered, in which data centres and of which kind.

mod support;

use indexmap::IndexMap;
use quincevalve_forwarding::{
    config::Scaling,
    demand::MeasuredDemand,
    fleet_size::{FleetPlanner, Order, OrderOutcome, ServerCounts, ServerKind},
    load::demand,
    rate::Rate,
    sums::{PartialSum, PartialSums},
};
use quincevalve_names::{DataCentreName, ServiceName, TimePoint};
use support::{ms, scaling};

type Fleet = IndexMap<DataCentreName, ServerCounts>;

fn fleet(reclaimable: [u32; 4], on_demand: [u32; 4]) -> Fleet {
    let counts = reclaimable.into_iter().zip(on_demand);
    let counts = counts.map(|(reclaimable, on_demand)| ServerCounts { reclaimable, on_demand });
    ["a", "b", "c", "d"].into_iter().map(Into::into).zip(counts).collect()
}

/// Returns a planner that has measured a demand of `busy` fully utilized servers for 100 seconds, and the current time.
fn planner(busy: f64, fleet: &Fleet) -> (FleetPlanner, TimePoint) {
    let mut planner = FleetPlanner::new(ms(0));
    for second in 0..100_u32 {
        let now = ms(u64::from(second) * 1_000);
        planner.observe(busy, 1.0, 0.0, fleet, now);
    }
    (planner, ms(99_000))
}

fn count(orders: &[Order], kind: ServerKind) -> u32 {
    orders.iter().filter(|it| it.kind == kind).map(|it| it.count).sum()
}

fn due(planner: &mut FleetPlanner, busy: f64, fleet: &Fleet, now: TimePoint) -> Vec<Order> {
    planner.due_orders(&scaling(), busy, fleet, now)
}

/// Sends all due orders, those for reclaimable servers first, and returns them.
fn send(planner: &mut FleetPlanner, busy: f64, fleet: &Fleet, outcome: OrderOutcome) -> Vec<Order> {
    let now = ms(99_000);
    let mut all = Vec::new();
    for _ in 0..2 {
        let orders = due(planner, busy, fleet, now);
        for order in &orders {
            let is_reclaimable = order.kind == ServerKind::Reclaimable;
            planner.record_order(
                order,
                if is_reclaimable { outcome } else { OrderOutcome::Taken },
                now,
            );
        }
        all.extend(orders);
    }
    all
}

#[test]
fn measures_the_demand() {
    let present = fleet([3; 4], [0; 4]);
    let (planner, _) = planner(5.0, &present);
    assert!((planner.measured().unwrap() - 5.0).abs() < 0.1);
}

#[test]
fn spreads_reclaimable_servers_evenly() {
    let present = fleet([2; 4], [0; 4]);
    let (mut planner, _) = planner(6.0, &present);
    let orders = send(&mut planner, 6.0, &present, OrderOutcome::Taken);
    let reclaimable: Vec<_> =
        orders.iter().filter(|it| it.kind == ServerKind::Reclaimable).map(|it| it.count).collect();
    assert_eq!(reclaimable, [3; 4]);
    assert_eq!(count(&orders, ServerKind::OnDemand), 0);
}

#[test]
fn remaining_servers_suffice_when_one_data_centre_is_lost() {
    for busy in 1..14 {
        let present = fleet([0; 4], [0; 4]);
        let (mut planner, _) = planner(f64::from(busy), &present);
        let orders = send(&mut planner, f64::from(busy), &present, OrderOutcome::Taken);
        let reclaimable = count(&orders, ServerKind::Reclaimable);
        let left = f64::from(reclaimable - reclaimable / 4);
        assert!(left >= f64::from(busy) / 0.85 - 1e-9, "{busy}: {reclaimable}");
    }
}

// Guards against rejecting callers for seconds when reclaims hit one data centre after the other and each on-demand
// server starts only when the next data centre is gone. While one is lost, the largest other one is replaced in
// advance.
#[test]
fn orders_on_demand_servers_one_step_ahead_of_a_reclaim_wave() {
    let present = fleet([0, 3, 3, 0], [0; 4]);
    let (mut planner, _) = planner(5.0, &present);
    let orders = send(&mut planner, 5.0, &present, OrderOutcome::NoneAvailable);
    assert!(count(&orders, ServerKind::OnDemand) >= 2, "{orders:?}");
    let first = orders.iter().find(|it| it.kind == ServerKind::OnDemand && it.count > 0);
    assert_eq!(
        first.map(|it| it.data_centre.as_str()),
        Some("b"),
        "the data centre is not the cheapest"
    );
}

#[test]
fn orders_on_demand_servers_when_no_reclaimable_ones_are_available() {
    let present = fleet([0; 4], [0; 4]);
    let (mut planner, _) = planner(15.0, &present);
    let orders = send(&mut planner, 15.0, &present, OrderOutcome::NoneAvailable);
    assert!(count(&orders, ServerKind::OnDemand) >= 15, "{orders:?}");
    assert!(orders.iter().all(|it| it.count <= 6));
}

// Guards against rejecting or delaying most callers for seconds when the reclaimable servers are gone and the data
// centre with all on-demand servers is partitioned. No data centre has more than half of the on-demand servers.
#[test]
fn does_not_place_all_on_demand_servers_in_one_data_centre() {
    for busy in [2.0, 3.0, 5.0, 7.0] {
        let present = fleet([0; 4], [0; 4]);
        let (mut planner, _) = planner(busy, &present);
        let orders = send(&mut planner, busy, &present, OrderOutcome::NoneAvailable);
        let all = count(&orders, ServerKind::OnDemand);
        let on_demand = orders.iter().filter(|it| it.kind == ServerKind::OnDemand);
        let max_count = on_demand.map(|it| it.count).max().unwrap();
        assert!(2 * max_count <= all + 1, "{busy}: {orders:?}");
    }
}

// Guards against releasing the fleet when a VM takes over the duty without a measured demand. The present fleet is
// assumed to have the right size, and nothing is released before all servers are discovered.
#[test]
fn a_new_planner_releases_no_servers() {
    let present = fleet([4; 4], [1, 0, 0, 0]);
    let mut planner = FleetPlanner::new(ms(0));
    let busy = planner.observe(0.0, 1.0, 4.0, &present, ms(0));
    assert!(busy >= 4.0);
    let orders = due(&mut planner, busy, &present, ms(0));
    assert!(orders.iter().all(|it| it.kind == ServerKind::Reclaimable), "{orders:?}");
}

#[test]
fn a_successor_uses_the_reported_demand() {
    let present = fleet([4; 4], [0; 4]);
    let mut planner = FleetPlanner::new(ms(0));
    planner.set_demand(MeasuredDemand::from_report(3.0));
    let busy = planner.observe(3.0, 1.0, 9.0, &present, ms(0));
    assert!((busy - 3.0).abs() < 1e-9);
}

// Guards against ordering three times the needed servers on demand for ten seconds and more after all VMs were killed,
// or after the holder's lease expired in a store outage. Each VM measures the demand from its start, so a new holder
// knows it.
#[test]
fn a_new_holder_plans_by_the_demand_that_it_measured_before() {
    let gone = fleet([0, 4, 4, 0], [0; 4]);
    let mut measured = MeasuredDemand::default();
    for second in 0..8 {
        measured.observe(3.0, 1.0, ms(second * 1_000));
    }
    let mut planner = FleetPlanner::new(ms(8_000));
    planner.set_demand(measured);
    let busy = planner.observe(3.0, 1.0, 9.0, &gone, ms(8_100));
    assert!((2.5..=3.1).contains(&busy), "{busy}");
    let on_demand = count(&due(&mut planner, busy, &gone, ms(8_100)), ServerKind::OnDemand);
    assert!(on_demand <= 4, "{on_demand}");
}

// Guards against rejecting all callers for five seconds: a holder that takes over during a reclaim wave has ordered no
// on-demand servers itself, and could release all of them as soon as reclaimable ones are available, before those are
// ready.
#[test]
fn a_new_holder_keeps_on_demand_servers_until_starting_ones_are_ready() {
    let substitutes = fleet([0; 4], [0, 5, 0, 5]);
    let mut planner = FleetPlanner::new(ms(80_000));
    planner.set_demand(MeasuredDemand::from_report(8.0));
    for order in due(&mut planner, 8.0, &substitutes, ms(90_000)) {
        planner.record_order(&order, OrderOutcome::NoneAvailable, ms(90_000));
    }
    for order in due(&mut planner, 8.0, &substitutes, ms(99_000)) {
        assert_eq!(order.kind, ServerKind::Reclaimable);
        planner.record_order(&order, OrderOutcome::Taken, ms(99_000));
    }
    for after in [50, 1_000, 4_000, 6_000] {
        let orders = due(&mut planner, 8.0, &substitutes, ms(99_000 + after));
        assert_eq!(count(&orders, ServerKind::OnDemand), 0, "{after}: {orders:?}");
        assert!(orders.is_empty(), "{after}: {orders:?}");
    }
}

// Guards against unneeded on-demand servers that stay while entry VMs are restarted in turn, because each new duty
// holder waits to discover all servers and is restarted before it releases any.
#[test]
fn a_new_holder_that_has_long_known_the_servers_releases_them_soon() {
    let present = fleet([12; 4], [10; 4]);
    let mut planner = FleetPlanner::new(ms(0));
    planner.set_demand(MeasuredDemand::from_report(20.0));
    let released = (60_000..63_000).step_by(500).map(ms).find(|now| {
        let orders = due(&mut planner, 20.0, &present, *now);
        orders.iter().any(|it| it.kind == ServerKind::OnDemand && it.count == 0)
    });
    assert!(released.is_some(), "a holder of three seconds releases nothing");
}

// Guards against answers that are late for five seconds, because half of the on-demand servers are released when the
// demand is half of what was expected, and a second later the next data centre is reclaimed. On-demand servers stay
// between the steps of a wave.
#[test]
fn on_demand_servers_stay_between_the_steps_of_a_reclaim_wave() {
    let none = fleet([0; 4], [0; 4]);
    let (mut planner, _) = planner(8.0, &none);
    send(&mut planner, 8.0, &none, OrderOutcome::NoneAvailable);
    let substitutes = fleet([0, 2, 2, 0], [0, 5, 0, 5]);
    let fewer = |planner: &mut FleetPlanner, after: u64| {
        let now = ms(99_000 + after);
        let orders = due(planner, 4.0, &substitutes, now);
        for order in orders.iter().filter(|it| it.kind == ServerKind::Reclaimable) {
            planner.record_order(order, OrderOutcome::NoneAvailable, now);
        }
        let orders = due(planner, 4.0, &substitutes, now);
        orders.iter().any(|it| it.kind == ServerKind::OnDemand)
    };
    assert!(!fewer(&mut planner, 100));
    assert!(!fewer(&mut planner, 8_000), "released between two steps");
    assert!(fewer(&mut planner, 10_200), "never released");
}

// Guards against a fleet that grows to its limits for minutes because a new holder counts each VM's whole past as new
// demand when its first report arrives. Reports arrive one after the other, and each contributes only its current rate.
#[test]
fn vms_whose_reports_arrive_one_after_the_other_do_not_inflate_the_demand() {
    let present = fleet([3; 4], [0; 4]);
    let mut planner = FleetPlanner::new(ms(0));
    planner.set_demand(MeasuredDemand::from_report(6.0));
    for second in 0..20_u64 {
        let mut sums = PartialSums::default();
        let reported = (second + 1).min(10);
        for vm in 0..reported {
            let demand = IndexMap::from([("engines".into(), 0.6)]);
            sums.insert(
                &vm.to_string(),
                PartialSum { vms: 1, demand, ..PartialSum::default() },
                ms(0),
            );
        }
        let mut sum = PartialSum::default();
        sums.add_to(&mut sum, None, ms(0));
        let rate = sum.demand[&ServiceName::from("engines")];
        let reachable_fraction = reported as f64 / 10.0;
        let busy = planner.observe(rate, reachable_fraction, 0.0, &present, ms(second * 1_000));
        assert!((5.5..=6.1).contains(&busy), "after {second} s: {busy}");
    }
}

// Guards against releasing half of the fleet because a network partition hides the VMs that have work. A lower demand
// is accepted only while nearly all VMs are reachable.
#[test]
fn demand_does_not_fall_while_vms_are_unreachable() {
    let present = fleet([3; 4], [0; 4]);
    let (mut planner, now) = planner(6.0, &present);
    let mut busy = 0.0;
    for second in 1..30 {
        let now = now + support::millis(second * 1_000);
        busy = planner.observe(1.0, 0.5, 0.0, &present, now);
    }
    assert!((busy - 6.0).abs() < 0.1, "{busy}");
    let now = now + support::millis(60_000);
    assert!(planner.observe(1.0, 1.0, 0.0, &present, now) < 6.0);
}

#[test]
fn does_not_order_starting_servers_twice() {
    let before = fleet([0; 4], [3; 4]);
    let (mut planner, now) = planner(5.0, &before);
    let orders = send(&mut planner, 5.0, &before, OrderOutcome::Taken);
    assert_eq!(count(&orders, ServerKind::OnDemand), 0);
    let next = due(&mut planner, 5.0, &before, now + support::millis(1_000));
    assert!(next.is_empty(), "{next:?}");
}

// Guards against a fleet that permanently runs on expensive on-demand servers, because the order for its reclaimed
// servers isn't sent again.
#[test]
fn orders_reclaimed_servers_again() {
    let whole = fleet([3; 4], [0; 4]);
    let (mut planner, now) = planner(6.0, &whole);
    send(&mut planner, 6.0, &whole, OrderOutcome::Taken);
    let later = now + support::millis(20_000);
    assert!(due(&mut planner, 6.0, &whole, later).is_empty());
    let hit = fleet([3, 0, 3, 3], [0; 4]);
    let orders = due(&mut planner, 6.0, &hit, later);
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!((orders[0].data_centre.as_str(), orders[0].count), ("b", 3));
}

// Guards against a data centre that lacks servers for half a minute after a reclaim, because the demand has fallen a
// little since the last order and the smaller order is delayed like a reduction. Missing servers are ordered at once.
#[test]
fn orders_reclaimed_servers_again_when_fewer_suffice() {
    let whole = fleet([3; 4], [0; 4]);
    let (mut planner, now) = planner(6.0, &whole);
    send(&mut planner, 6.0, &whole, OrderOutcome::Taken);
    let later = now + support::millis(20_000);
    let hit = fleet([3, 0, 3, 3], [0; 4]);
    let orders = due(&mut planner, 4.0, &hit, later);
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!((orders[0].data_centre.as_str(), orders[0].count), ("b", 2));
}

// Guards against releasing four in ten servers just before the next burst of callers, when a new holder takes over in a
// lull and orders only what the lull needs. The present servers count as ordered, and are released with the same delay.
#[test]
fn a_new_holder_releases_reclaimable_servers_with_the_same_delay() {
    let present = fleet([5; 4], [0; 4]);
    let mut planner = FleetPlanner::new(ms(0));
    planner.set_demand(MeasuredDemand::from_report(4.0));
    for second in 0..29 {
        let now = ms(second * 1_000);
        let busy = planner.observe(4.0, 1.0, 0.0, &present, now);
        let orders = due(&mut planner, busy, &present, now);
        assert!(orders.is_empty(), "after {second} s: {orders:?}");
    }
    let orders = due(&mut planner, 4.0, &present, ms(31_000));
    assert!(count(&orders, ServerKind::Reclaimable) < 20, "{orders:?}");
    assert!(!orders.is_empty());
}

// Guards against a data centre whose reclaimed servers are not replaced for four seconds, because the planner still
// expects servers that were ordered there just before. A reclaim takes starting servers too.
#[test]
fn does_not_wait_for_starting_servers_in_a_reclaimed_data_centre() {
    let whole = fleet([3; 4], [0; 4]);
    let (mut planner, _) = planner(8.0, &whole);
    send(&mut planner, 8.0, &whole, OrderOutcome::Taken);
    let hit = fleet([0, 3, 3, 0], [0; 4]);
    let at = |millis: u64| ms(99_000 + millis);
    let unavailable = due(&mut planner, 8.0, &hit, at(7_000));
    for order in &unavailable {
        planner.record_order(order, OrderOutcome::NoneAvailable, at(7_000));
    }
    let orders = due(&mut planner, 8.0, &hit, at(7_000));
    assert!(count(&orders, ServerKind::OnDemand) >= 4, "{orders:?}");
}

// Guards against losing most of the fleet for seconds, when reclaimable servers are ordered again and the on-demand
// servers that replaced them are released while the reclaimable ones are still starting.
#[test]
fn on_demand_servers_stay_until_starting_ones_are_ready() {
    let none = fleet([0; 4], [0; 4]);
    let (mut planner, _) = planner(8.0, &none);
    let orders = send(&mut planner, 8.0, &none, OrderOutcome::NoneAvailable);
    assert!(count(&orders, ServerKind::OnDemand) >= 8);
    let at = |millis: u64| ms(99_000 + millis);
    let substitutes = fleet([0; 4], [0, 6, 0, 6]);
    for order in due(&mut planner, 8.0, &substitutes, at(13_000)) {
        planner.record_order(&order, OrderOutcome::Taken, at(13_000));
    }
    for after in [13_100, 15_000, 18_000] {
        let orders = due(&mut planner, 8.0, &substitutes, at(after));
        assert!(orders.is_empty(), "{after}: {orders:?}");
    }
    let back = fleet([4; 4], [0, 6, 0, 6]);
    due(&mut planner, 8.0, &back, at(18_500));
    let orders = due(&mut planner, 8.0, &back, at(21_000));
    assert_eq!(orders.len(), 2, "{orders:?}");
    assert_eq!(count(&orders, ServerKind::OnDemand), 0);
}

// Guards against ordering twice the needed servers on demand, when half of the callers are rejected for a while, retry
// once each, and are counted as new demand.
#[test]
fn retries_of_rejected_callers_are_not_new_demand() {
    let present = fleet([1; 4], [0; 4]);
    let mut planner = FleetPlanner::new(ms(0));
    planner.set_demand(MeasuredDemand::from_report(4.0));
    let mut rate = Rate::new(support::millis(1_000), ms(0));
    let mut busy = 0.0;
    // Each 10 ms, a request that keeps a server busy for 40 ms; every other one is rejected, retried and then served.
    for step in 0..2_000_u64 {
        let now = ms(step * 10);
        rate.add(demand(0.04, true), now);
        if step.is_multiple_of(2) {
            rate.add(demand(0.04, false), now);
        }
        busy = planner.observe(rate.per_second(now), 1.0, 0.0, &present, now);
    }
    assert!((4.0..=5.0).contains(&busy), "{busy}");
    assert!(demand(0.04, false) > 0.01, "rejected requests count as demand too");
}

fn is_repeated(outcome: OrderOutcome, after_ms: u64, expected: bool) {
    let before = fleet([1; 4], [0; 4]);
    let (mut planner, now) = planner(5.0, &before);
    let orders = due(&mut planner, 5.0, &before, now);
    assert_eq!(count(&orders, ServerKind::Reclaimable), 12);
    for order in &orders {
        planner.record_order(order, outcome, now);
    }
    let present = fleet([3; 4], [0; 4]);
    let later = now + support::millis(after_ms);
    let again = due(&mut planner, 5.0, &present, later);
    let reclaimable = again.iter().any(|it| it.kind == ServerKind::Reclaimable);
    assert_eq!(reclaimable, expected, "{again:?}");
}

cases! { is_repeated:
    does_not_repeat_an_accepted_order => OrderOutcome::Taken, 60_000, false;
    does_not_retry_an_unavailable_order_too_early => OrderOutcome::NoneAvailable, 2_000, false;
    retries_an_unavailable_order_after_an_interval => OrderOutcome::NoneAvailable, 2_500, true;
    retries_an_order_with_an_unknown_outcome => OrderOutcome::Unknown, 1_000, true;
}

// Guards against a fleet that shrinks just before the next burst of callers. Fewer reclaimable servers are ordered only
// after a delay longer than the periods in which none are available.
#[test]
fn releases_reclaimable_servers_after_a_delay() {
    let present = fleet([5; 4], [0; 4]);
    let (mut planner, now) = planner(9.0, &present);
    send(&mut planner, 9.0, &present, OrderOutcome::Taken);
    let at = |seconds: u64| now + support::millis(seconds * 1_000);
    assert!(due(&mut planner, 2.0, &present, at(1)).is_empty());
    assert!(due(&mut planner, 2.0, &present, at(29)).is_empty());
    assert!(!due(&mut planner, 2.0, &present, at(32)).is_empty());
}

#[test]
fn orders_only_on_demand_servers_for_a_service_without_reclaimable_ones() {
    let only = Scaling { reclaimable_price: None, ..scaling() };
    let present = fleet([0; 4], [3; 4]);
    let (mut planner, now) = planner(5.0, &present);
    let orders = planner.due_orders(&only, 5.0, &present, now);
    assert!(orders.iter().all(|it| it.kind == ServerKind::OnDemand && it.count == 2));
}
