//! Tests when the holder of the duty may act.

mod support;

use quincevalve_forwarding::duty::{DutyLease, Term};
use quincevalve_names::FencingNumber;
use support::{millis, ms};

const TTL: std::time::Duration = std::time::Duration::from_secs(3);

fn term(number: u64, holder: &str, previous: &str) -> Term {
    Term { number: FencingNumber(number), holder: holder.to_owned(), previous: previous.to_owned() }
}

fn acquired(before: &Term, requested_ms: u64) -> DutyLease {
    let mut duty = DutyLease::default();
    duty.record_acquired("vm-a", before, &before.next("vm-a", 0), TTL, ms(requested_ms), false);
    duty
}

#[test]
fn each_change_of_holder_has_a_higher_number() {
    let first = Term::default().next("vm-a", 0);
    let second = first.next("vm-b", 0);
    assert!(second.number > first.number);
    assert_eq!(second.previous, "vm-a");
}

#[test]
fn a_vm_that_never_acquired_the_duty_may_not_act() {
    assert_eq!(DutyLease::default().fencing_number(ms(0)), None);
}

// A holder that was paused between two renewals would send orders to the platform after another VM took over. A renewal
// counts from when it was sent, on a clock that includes the pause.
#[test]
fn a_holder_whose_lease_expired_during_a_pause_may_not_act() {
    let duty = acquired(&Term::default(), 0);
    assert_eq!(duty.fencing_number(ms(1_000)), Some(FencingNumber(1)));
    assert_eq!(duty.fencing_number(ms(2_400)), None);
    assert!(duty.is_held(ms(2_999)));
    assert!(!duty.is_held(ms(3_000)));
}

#[test]
fn a_renewal_counts_from_when_it_was_sent() {
    let mut duty = acquired(&Term::default(), 0);
    duty.record_renewal(ms(1_000));
    assert_eq!(duty.fencing_number(ms(3_300)), Some(FencingNumber(1)));
    assert_eq!(duty.fencing_number(ms(3_401)), None);
    duty.record_renewal(ms(500));
    assert_eq!(duty.fencing_number(ms(3_300)), Some(FencingNumber(1)));
}

// If the duty passes from A to B and back to A within a lease, the platform can't distinguish A's new orders from
// delayed old ones. A waits for a whole lease before it acts again.
#[test]
fn a_holder_that_returns_after_another_waits_for_a_lease() {
    let mut duty = acquired(&term(6, "vm-b", "vm-a"), 10_000);
    for at in [10_500, 11_000, 12_000, 12_900] {
        duty.record_renewal(ms(at));
        assert_eq!(duty.fencing_number(ms(at)), None);
    }
    duty.record_renewal(ms(13_000));
    assert_eq!(duty.fencing_number(ms(13_000)), Some(FencingNumber(7)));
}

fn acts_at_once(holder: &str, previous: &str) {
    let duty = acquired(&term(6, holder, previous), 0);
    assert_eq!(duty.fencing_number(ms(1)), Some(FencingNumber(7)));
}

cases! { acts_at_once:
    a_holder_that_follows_itself_acts_at_once => "vm-a", "vm-b";
    a_holder_that_follows_a_third_vm_acts_at_once => "vm-b", "vm-c";
}

#[test]
fn a_vm_that_lost_the_duty_may_not_act() {
    let mut duty = acquired(&Term::default(), 0);
    duty.record_lost();
    assert_eq!(duty.fencing_number(ms(1)), None);
    assert!(!duty.is_held(ms(1)));
    assert!(millis(1) < TTL);
}

// The store returns from an older copy that lacks the newest terms, and the next holder would act under the number of a
// holder that the copy doesn't know.
#[test]
fn a_term_that_the_store_lost_keeps_its_number() {
    let known = Term::default().next("vm-a", 1);
    let lost = known.next("vm-b", 1).next("vm-c", 1);
    let next = known.next("vm-d", 2);
    assert!(next.number > lost.number);
    assert_eq!((known.era(), next.era()), (1, 2));
    assert!(next.next("vm-e", 2).number > next.number);
}

// The holder of a lost term doesn't know yet that its lease is lost. If the next holder acted at once, the platform would
// get calls of both in turn.
#[test]
fn a_holder_waits_for_a_lease_if_the_store_may_have_lost_terms() {
    let before = Term::default().next("vm-a", 1);
    let mut duty = DutyLease::default();
    duty.record_acquired("vm-b", &before, &before.next("vm-b", 2), TTL, ms(1_000), true);
    assert_eq!(duty.fencing_number(ms(2_000)), None);
    duty.record_renewal(ms(3_500));
    assert_eq!(duty.fencing_number(ms(3_999)), None);
    assert!(duty.fencing_number(ms(4_000)).is_some());
}
