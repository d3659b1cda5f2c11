//! How many servers are ordered, where and of which kind.

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

/// A planner that has been at work for a while and measured `busy` servers' worth of work a second.
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

/// Sends what is due, reclaimable servers first, and returns all of it.
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
fn the_demand_is_measured() {
    let present = fleet([3; 4], [0; 4]);
    let (planner, _) = planner(5.0, &present);
    assert!((planner.measured().unwrap() - 5.0).abs() < 0.1);
}

#[test]
fn reclaimable_servers_are_spread_evenly() {
    let present = fleet([2; 4], [0; 4]);
    let (mut planner, _) = planner(6.0, &present);
    let orders = send(&mut planner, 6.0, &present, OrderOutcome::Taken);
    let reclaimable: Vec<_> =
        orders.iter().filter(|it| it.kind == ServerKind::Reclaimable).map(|it| it.count).collect();
    assert_eq!(reclaimable, [3; 4]);
    assert_eq!(count(&orders, ServerKind::OnDemand), 0);
}

#[test]
fn the_loss_of_one_data_centre_leaves_enough() {
    for busy in 1..14 {
        let present = fleet([0; 4], [0; 4]);
        let (mut planner, _) = planner(f64::from(busy), &present);
        let orders = send(&mut planner, f64::from(busy), &present, OrderOutcome::Taken);
        let reclaimable = count(&orders, ServerKind::Reclaimable);
        let left = f64::from(reclaimable - reclaimable / 4);
        assert!(left >= f64::from(busy) / 0.85 - 1e-9, "{busy}: {reclaimable}");
    }
}

// Callers are refused for seconds: reclaims took one data centre after the other, and each on-demand server
// came when the next was gone. While one is lost, the largest other one is replaced beforehand.
#[test]
fn a_wave_of_reclaims_is_met_one_step_ahead() {
    let present = fleet([0, 3, 3, 0], [0; 4]);
    let (mut planner, _) = planner(5.0, &present);
    let orders = send(&mut planner, 5.0, &present, OrderOutcome::NoneAvailable);
    assert!(count(&orders, ServerKind::OnDemand) >= 2, "{orders:?}");
    let dearest = orders.iter().find(|it| it.kind == ServerKind::OnDemand && it.count > 0);
    assert_eq!(dearest.map(|it| it.data_centre.as_str()), Some("b"), "not the cheapest");
}

#[test]
fn on_demand_servers_have_room_where_no_reclaimable_one_is() {
    let present = fleet([0; 4], [0; 4]);
    let (mut planner, _) = planner(15.0, &present);
    let orders = send(&mut planner, 15.0, &present, OrderOutcome::NoneAvailable);
    assert!(count(&orders, ServerKind::OnDemand) >= 15, "{orders:?}");
    assert!(orders.iter().all(|it| it.count <= 6));
}

// Most callers are refused or late for seconds: the reclaimable servers were gone, all others stood in the cheapest
// data centre, and it was cut off. No data centre has more than half of them.
#[test]
fn on_demand_servers_are_not_all_in_one_data_centre() {
    for busy in [2.0, 3.0, 5.0, 7.0] {
        let present = fleet([0; 4], [0; 4]);
        let (mut planner, _) = planner(busy, &present);
        let orders = send(&mut planner, busy, &present, OrderOutcome::NoneAvailable);
        let all = count(&orders, ServerKind::OnDemand);
        let on_demand = orders.iter().filter(|it| it.kind == ServerKind::OnDemand);
        let most = on_demand.map(|it| it.count).max().unwrap();
        assert!(2 * most <= all + 1, "{busy}: {orders:?}");
    }
}

// A fleet is given back by a VM that has just taken over the duty: it has measured nothing yet. What is there
// is taken for the right size, and nothing is given back before all servers were seen.
#[test]
fn a_new_planner_gives_nothing_back() {
    let present = fleet([4; 4], [1, 0, 0, 0]);
    let mut planner = FleetPlanner::new(ms(0));
    let busy = planner.observe(0.0, 1.0, 4.0, &present, ms(0));
    assert!(busy >= 4.0);
    let orders = due(&mut planner, busy, &present, ms(0));
    assert!(orders.iter().all(|it| it.kind == ServerKind::Reclaimable), "{orders:?}");
}

#[test]
fn a_successor_inherits_the_demand() {
    let present = fleet([4; 4], [0; 4]);
    let mut planner = FleetPlanner::new(ms(0));
    planner.set_demand(MeasuredDemand::from_report(3.0));
    let busy = planner.observe(3.0, 1.0, 9.0, &present, ms(0));
    assert!((busy - 3.0).abs() < 1e-9);
}

// All VMs are killed, or the holder's lease ends in an outage of the store, and for ten seconds and more three times the
// servers are ordered on demand. Each VM measures what all take on from its start, so that a holder that has just
// taken the duties over plans by it.
#[test]
fn a_vm_that_takes_over_plans_by_what_it_measured_before() {
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

// All callers are refused for five seconds: the duty had passed on in a wave, and when reclaimable servers could be had
// again, the new holder, which had ordered no on-demand ones itself, gave all of them back before the others served.
#[test]
fn a_new_holder_keeps_on_demand_servers_until_those_that_start_serve() {
    let standing_in = fleet([0; 4], [0, 5, 0, 5]);
    let mut planner = FleetPlanner::new(ms(80_000));
    planner.set_demand(MeasuredDemand::from_report(8.0));
    for order in due(&mut planner, 8.0, &standing_in, ms(90_000)) {
        planner.record_order(&order, OrderOutcome::NoneAvailable, ms(90_000));
    }
    for order in due(&mut planner, 8.0, &standing_in, ms(99_000)) {
        assert_eq!(order.kind, ServerKind::Reclaimable);
        planner.record_order(&order, OrderOutcome::Taken, ms(99_000));
    }
    for after in [50, 1_000, 4_000, 6_000] {
        let orders = due(&mut planner, 8.0, &standing_in, ms(99_000 + after));
        assert_eq!(count(&orders, ServerKind::OnDemand), 0, "{after}: {orders:?}");
        assert!(orders.is_empty(), "{after}: {orders:?}");
    }
}

// Callers are late for five seconds: the demand was measured to be half of what was expected, half of the on-demand
// servers were given back, and a second later the next data centre was taken back. They stay from step to step.
// Servers on demand that nobody needs any more stay for as long as entry VMs are restarted in turn: each new holder of the
// duties waits to see all servers, and is gone before it gives anything back.
#[test]
fn a_new_holder_that_has_known_the_servers_for_long_gives_back_soon() {
    let present = fleet([12; 4], [10; 4]);
    let mut planner = FleetPlanner::new(ms(0));
    planner.set_demand(MeasuredDemand::from_report(20.0));
    let given_back = (60_000..63_000).step_by(500).map(ms).find(|now| {
        let orders = due(&mut planner, 20.0, &present, *now);
        orders.iter().any(|it| it.kind == ServerKind::OnDemand && it.count == 0)
    });
    assert!(given_back.is_some(), "a holder of three seconds gives nothing back");
}

#[test]
fn on_demand_servers_stay_from_step_to_step_of_a_wave() {
    let none = fleet([0; 4], [0; 4]);
    let (mut planner, _) = planner(8.0, &none);
    send(&mut planner, 8.0, &none, OrderOutcome::NoneAvailable);
    let standing_in = fleet([0, 2, 2, 0], [0, 5, 0, 5]);
    let fewer = |planner: &mut FleetPlanner, after: u64| {
        let now = ms(99_000 + after);
        let orders = due(planner, 4.0, &standing_in, now);
        for order in orders.iter().filter(|it| it.kind == ServerKind::Reclaimable) {
            planner.record_order(order, OrderOutcome::NoneAvailable, now);
        }
        let orders = due(planner, 4.0, &standing_in, now);
        orders.iter().any(|it| it.kind == ServerKind::OnDemand)
    };
    assert!(!fewer(&mut planner, 100));
    assert!(!fewer(&mut planner, 8_000), "they are given back between two steps");
    assert!(fewer(&mut planner, 10_200), "they are kept for good");
}

// The fleet grows to its limits for minutes: the duty passed on, and its new holder took each VM's whole past
// for new demand when it first heard of it. VMs are heard one after the other, and count with what they do now.
#[test]
fn vms_that_are_heard_one_after_the_other_ask_no_more_than_they_do() {
    let present = fleet([3; 4], [0; 4]);
    let mut planner = FleetPlanner::new(ms(0));
    planner.set_demand(MeasuredDemand::from_report(6.0));
    for second in 0..20_u64 {
        let mut sums = PartialSums::default();
        let heard = (second + 1).min(10);
        for vm in 0..heard {
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
        let part = heard as f64 / 10.0;
        let busy = planner.observe(rate, part, 0.0, &present, ms(second * 1_000));
        assert!((5.5..=6.1).contains(&busy), "after {second} s: {busy}");
    }
}

// Half of the fleet is given back in the middle of the day: a cut hides the VMs that have work. Less is believed
// only when nearly all VMs are heard.
#[test]
fn demand_does_not_fall_while_vms_are_out_of_reach() {
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
fn servers_that_start_are_not_ordered_twice() {
    let before = fleet([0; 4], [3; 4]);
    let (mut planner, now) = planner(5.0, &before);
    let orders = send(&mut planner, 5.0, &before, OrderOutcome::Taken);
    assert_eq!(count(&orders, ServerKind::OnDemand), 0);
    let next = due(&mut planner, 5.0, &before, now + support::millis(1_000));
    assert!(next.is_empty(), "{next:?}");
}

// A fleet runs on dear on-demand servers for the rest of the day: its reclaimable ones were taken back, and
// the order that once brought them was not sent again.
#[test]
fn servers_that_were_taken_back_are_ordered_again() {
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

// A data centre's servers are missed for half a minute after a reclaim: the demand had fallen a little since they
// were ordered, so the order for fewer waited to be sure. What is lacking is ordered at once.
#[test]
fn servers_that_were_taken_back_are_ordered_again_when_fewer_are_enough() {
    let whole = fleet([3; 4], [0; 4]);
    let (mut planner, now) = planner(6.0, &whole);
    send(&mut planner, 6.0, &whole, OrderOutcome::Taken);
    let later = now + support::millis(20_000);
    let hit = fleet([3, 0, 3, 3], [0; 4]);
    let orders = due(&mut planner, 4.0, &hit, later);
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!((orders[0].data_centre.as_str(), orders[0].count), ("b", 2));
}

// Four in ten servers go just before the next wave of callers: the duty passed on in a lull, and its new holder
// ordered what the lull asks. What is there stands for what the last holder ordered, and goes as slowly.
#[test]
fn a_new_holder_gives_reclaimable_servers_back_as_slowly() {
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

// Nothing stands in for a data centre's servers for four seconds after their reclaim: more had been ordered
// there just before, and were awaited. A reclaim takes those that start, too.
#[test]
fn servers_that_start_where_a_reclaim_strikes_are_not_awaited() {
    let whole = fleet([3; 4], [0; 4]);
    let (mut planner, _) = planner(8.0, &whole);
    send(&mut planner, 8.0, &whole, OrderOutcome::Taken);
    let hit = fleet([0, 3, 3, 0], [0; 4]);
    let at = |millis: u64| ms(99_000 + millis);
    let refused = due(&mut planner, 8.0, &hit, at(7_000));
    for order in &refused {
        planner.record_order(order, OrderOutcome::NoneAvailable, at(7_000));
    }
    let orders = due(&mut planner, 8.0, &hit, at(7_000));
    assert!(count(&orders, ServerKind::OnDemand) >= 4, "{orders:?}");
}

// Most of the fleet is gone for seconds: reclaimable servers could be ordered again, and the on-demand ones
// that stood in for them were given back while the others still started.
#[test]
fn on_demand_servers_stay_until_those_that_start_serve() {
    let none = fleet([0; 4], [0; 4]);
    let (mut planner, _) = planner(8.0, &none);
    let orders = send(&mut planner, 8.0, &none, OrderOutcome::NoneAvailable);
    assert!(count(&orders, ServerKind::OnDemand) >= 8);
    let at = |millis: u64| ms(99_000 + millis);
    let standing_in = fleet([0; 4], [0, 6, 0, 6]);
    for order in due(&mut planner, 8.0, &standing_in, at(13_000)) {
        planner.record_order(&order, OrderOutcome::Taken, at(13_000));
    }
    for after in [13_100, 15_000, 18_000] {
        let orders = due(&mut planner, 8.0, &standing_in, at(after));
        assert!(orders.is_empty(), "{after}: {orders:?}");
    }
    let back = fleet([4; 4], [0, 6, 0, 6]);
    due(&mut planner, 8.0, &back, at(18_500));
    let orders = due(&mut planner, 8.0, &back, at(21_000));
    assert_eq!(orders.len(), 2, "{orders:?}");
    assert_eq!(count(&orders, ServerKind::OnDemand), 0);
}

// Twice the servers that are needed are ordered on demand: half of the callers were refused for a while, came back
// once each, and counted as new ones.
#[test]
fn callers_that_come_back_are_not_new_demand() {
    let present = fleet([1; 4], [0; 4]);
    let mut planner = FleetPlanner::new(ms(0));
    planner.set_demand(MeasuredDemand::from_report(4.0));
    let mut rate = Rate::new(support::millis(1_000), ms(0));
    let mut busy = 0.0;
    // A request each 10 ms that keeps a server busy for 40 ms; every other one is refused, comes back and is served.
    for step in 0..2_000_u64 {
        let now = ms(step * 10);
        rate.add(demand(0.04, true), now);
        if step.is_multiple_of(2) {
            rate.add(demand(0.04, false), now);
        }
        busy = planner.observe(rate.per_second(now), 1.0, 0.0, &present, now);
    }
    assert!((4.0..=5.0).contains(&busy), "{busy}");
    assert!(demand(0.04, false) > 0.01, "what is refused is asked for all the same");
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
    a_taken_order_is_not_repeated => OrderOutcome::Taken, 60_000, false;
    a_refused_order_waits => OrderOutcome::NoneAvailable, 2_000, false;
    a_refused_order_is_tried_again => OrderOutcome::NoneAvailable, 2_500, true;
    an_order_of_unknown_fate_is_sent_again => OrderOutcome::Unknown, 1_000, true;
}

// The fleet shrinks into the next wave of callers. Fewer reclaimable servers are ordered only after the time
// in which none could be had if they were missed.
#[test]
fn reclaimable_servers_are_given_back_slowly() {
    let present = fleet([5; 4], [0; 4]);
    let (mut planner, now) = planner(9.0, &present);
    send(&mut planner, 9.0, &present, OrderOutcome::Taken);
    let at = |seconds: u64| now + support::millis(seconds * 1_000);
    assert!(due(&mut planner, 2.0, &present, at(1)).is_empty());
    assert!(due(&mut planner, 2.0, &present, at(29)).is_empty());
    assert!(!due(&mut planner, 2.0, &present, at(32)).is_empty());
}

#[test]
fn without_reclaimable_servers_all_are_on_demand() {
    let only = Scaling { reclaimable_price: None, ..scaling() };
    let present = fleet([0; 4], [3; 4]);
    let (mut planner, now) = planner(5.0, &present);
    let orders = planner.due_orders(&only, 5.0, &present, now);
    assert!(orders.iter().all(|it| it.kind == ServerKind::OnDemand && it.count == 2));
}
