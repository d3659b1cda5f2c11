//! Distinguishing an outage of the store from a VM that is cut off from it, and the effect of both on the server table.

mod support;

use proptest::prelude::*;
use quincevalve_forwarding::{
    servers::{Removal, ServerTable},
    store_contact::{ContactSpan, MIN_OUTAGE_FOR_EXPIRY, StoreContact, StoreUpdate},
};
use quincevalve_names::TimePoint;
use support::{START, entry, millis, ms, server, table};

fn span(since: u64, newest: u64) -> ContactSpan {
    ContactSpan { since: ms(since), newest: ms(newest) }
}

fn contact(since: u64, newest: u64) -> StoreContact {
    let mut contact = StoreContact::default();
    contact.record(span(since, newest));
    contact
}

fn usable(table: &ServerTable, now: TimePoint) -> bool {
    table.usable(&"engines".into(), now).any(|(name, _)| *name == server(0))
}

#[test]
fn merges_consecutive_answers_into_one_span() {
    let mut contact = contact(0, 0);
    for at in [600, 1_200, 3_199] {
        assert_eq!(contact.record(ContactSpan::at(ms(at))), StoreUpdate::Unchanged);
    }
    assert_eq!(contact.newest_span(), Some(span(0, 3_199)));
    assert_eq!(contact.unreachable_since(ms(5_198)), None);
    assert_eq!(contact.unreachable_since(ms(5_199)), Some(ms(3_199)));
}

// If all entries expired in an outage, and the return of the store weren't detected, requests would be rejected for two
// seconds. The update carries the time since when entries may have expired.
#[test]
fn reports_a_return_when_an_answer_follows_a_gap() {
    let mut contact = contact(0, 1_000);
    assert_eq!(
        contact.record(ContactSpan::at(ms(3_000))),
        StoreUpdate::Returned { since: ms(1_000) }
    );
    assert_eq!(contact.newest_span(), Some(span(3_000, 3_000)));
}

// A VM that alone was cut off assumes that missing entries have expired, and would send requests to servers that left.
// Another VM reports that the store answered it throughout.
#[test]
fn reports_no_outage_when_another_vm_had_answers_throughout() {
    let mut contact = contact(0, 1_000);
    contact.record(ContactSpan::at(ms(9_000)));
    assert_eq!(contact.record(span(500, 8_950)), StoreUpdate::NoOutage);
    assert_eq!(contact.newest_span(), Some(span(0, 9_000)));
    assert_eq!(contact.record(span(400, 9_010)), StoreUpdate::Unchanged, "reported only once");
}

#[test]
fn does_not_detect_a_gap_when_the_report_of_another_vm_comes_first() {
    let mut contact = contact(0, 1_000);
    assert_eq!(contact.record(span(200, 8_950)), StoreUpdate::Unchanged);
    assert_eq!(contact.record(ContactSpan::at(ms(9_000))), StoreUpdate::Unchanged);
    assert_eq!(contact.newest_span(), Some(span(0, 9_000)));
}

// A VM that was cut off too, or has just started, reports only that the store answers now. If that counted as proof
// that no entries expired, all requests would be rejected after an outage.
#[test]
fn does_not_deny_an_outage_when_the_reported_span_covers_only_its_end() {
    let mut contact = contact(0, 1_000);
    contact.record(ContactSpan::at(ms(9_000)));
    assert_eq!(contact.record(span(3_000, 9_050)), StoreUpdate::Unchanged);
    assert_eq!(contact.record(span(2_999, 9_050)), StoreUpdate::NoOutage);
}

#[test]
fn ignores_a_span_that_ended_long_before_the_known_one() {
    let mut contact = contact(10_000, 12_000);
    assert_eq!(contact.record(span(1_000, 8_000)), StoreUpdate::Unchanged);
    assert_eq!(contact.newest_span(), Some(span(10_000, 12_000)));
    assert_eq!(contact.record(span(1_000, 8_001)), StoreUpdate::Unchanged);
    assert_eq!(contact.newest_span(), Some(span(1_000, 12_000)));
}

#[test]
fn has_no_contact_span_before_the_first_answer() {
    let mut contact = StoreContact::default();
    assert_eq!(contact.unreachable_since(ms(60_000)), None);
    assert_eq!(contact.newest_span(), None);
    assert_eq!(contact.record(ContactSpan::at(ms(70_000))), StoreUpdate::Unchanged);
}

// No entry expires in an outage shorter than an entry's lifetime; servers whose entries went missing in it have left.
#[test]
fn keeps_removed_servers_usable_only_after_a_long_outage() {
    let after = |outage: u64| {
        let mut table = table(4);
        table.begin_store_outage(ms(1_000));
        table.end_store_outage(ms(1_000 + outage));
        table.remove_entry(&server(0), ms(1_050 + outage));
        usable(&table, ms(1_600 + outage))
    };
    let min_outage = MIN_OUTAGE_FOR_EXPIRY.as_millis() as u64;
    assert!(after(min_outage));
    assert!(!after(min_outage - 1));
}

// If an entry that was removed while this VM was cut off is considered expired, the server's streams are cut although
// there was time to migrate them. Once another VM denies the outage, the server counts as leaving.
#[test]
fn treats_a_removed_server_as_leaving_once_the_outage_is_denied() {
    let mut table = table(4);
    table.begin_store_outage(ms(1_000));
    table.end_store_outage(ms(9_000));
    assert_eq!(table.remove_entry(&server(0), ms(9_000)), Some(Removal::MayHaveExpired));
    assert!(usable(&table, ms(9_700)));
    assert_eq!(table.expected_stop(&server(0), START), None);
    table.cancel_store_outage(ms(9_710));
    assert!(!usable(&table, ms(9_710)));
    assert!(!table.may_be_incomplete(ms(9_710)));
    assert!(table.expected_stop(&server(0), START).is_some_and(|it| it > ms(9_710)));
    assert_eq!(table.expected_stop(&server(1), START), None, "it is listed");
    assert_eq!(table.remove_entry(&server(1), ms(9_800)), Some(Removal::Leaving));
}

// After a VM got no processor time for three seconds, its first answer from the store looks like the end of an outage,
// and reports of other VMs that there was none arrive a moment later. Until these had time to arrive, servers with
// missing entries are used only if no other server is listed; otherwise requests would reach servers that left.
#[test]
fn does_not_use_removed_servers_before_other_vms_could_deny_the_outage() {
    let mut table = table(4);
    table.begin_store_outage(ms(1_000));
    table.end_store_outage(ms(4_000));
    table.remove_entry(&server(0), ms(4_000));
    assert!(!usable(&table, ms(4_599)));
    assert!(usable(&table, ms(4_600)));
    for at in 1..4 {
        table.remove_entry(&server(at), ms(4_000));
    }
    assert_eq!(table.usable(&"engines".into(), ms(4_100)).count(), 4, "no other server is listed");
}

#[test]
fn does_not_consider_the_store_unreachable_when_it_answered_other_vms() {
    let mut table = table(4);
    assert!(!table.is_store_unreachable());
    table.begin_store_outage(ms(1_000));
    assert!(table.is_store_unreachable());
    table.cancel_store_outage(ms(4_000));
    assert!(!table.is_store_unreachable());
    assert_eq!(table.remove_entry(&server(0), ms(4_100)), Some(Removal::Leaving));
    assert!(!usable(&table, ms(4_800)));
}

// An entry removed before an outage, or in its first moments, can't have expired because of the outage.
#[test]
fn treats_a_server_as_leaving_when_removed_before_entries_can_expire() {
    let mut table = table(1);
    table.remove_entry(&server(0), ms(900));
    table.begin_store_outage(ms(1_000));
    assert!(!usable(&table, ms(3_100)), "it was removed before the outage");
    let mut table = self::table(1);
    table.begin_store_outage(ms(1_000));
    assert_eq!(table.remove_entry(&server(0), ms(1_500)), Some(Removal::Leaving));
    assert!(!usable(&table, ms(1_500)), "no entry expires that soon");
}

#[test]
fn a_server_reports_how_long_its_entry_is_missing() {
    let mut table = table(1);
    assert_eq!(table.get(&server(0)).unwrap().unlisted_for(ms(100)), None);
    table.remove_entry(&server(0), ms(100));
    assert_eq!(table.get(&server(0)).unwrap().unlisted_for(ms(350)), Some(millis(250)));
}

// If a second outage begins before the expired entries are back, servers that went missing in the first one must not
// count as having left; otherwise all requests would be rejected.
#[test]
fn merges_outages_in_quick_succession() {
    let mut table = table(1);
    table.begin_store_outage(ms(1_000));
    table.end_store_outage(ms(5_000));
    table.remove_entry(&server(0), ms(5_000));
    table.begin_store_outage(ms(5_500));
    table.end_store_outage(ms(8_000));
    assert!(usable(&table, ms(10_299)));
    assert!(!usable(&table, ms(10_300)));
}

#[test]
fn does_not_merge_an_outage_long_after_another() {
    let mut table = table(1);
    table.begin_store_outage(ms(1_000));
    table.end_store_outage(ms(5_000));
    table.remove_entry(&server(0), ms(5_000));
    table.begin_store_outage(ms(7_300));
    table.end_store_outage(ms(10_000));
    assert!(!usable(&table, ms(10_000)), "its time to return has passed");
}

// Servers that leave one by one must be dropped even if the whole store is never read again; otherwise a VM's memory
// grows with each server that ever existed.
#[test]
fn drops_servers_a_minute_after_they_left() {
    let mut table = table(3);
    table.remove_entry(&server(0), ms(0));
    table.remove_entry(&server(1), ms(59_999));
    assert!(table.get(&server(0)).is_some());
    table.remove_entry(&server(2), ms(60_000));
    assert!(table.get(&server(0)).is_none());
    assert!(table.get(&server(1)).is_some() && table.get(&server(2)).is_some());
    assert!(table.apply_entry(&server(0), entry("a"), ms(70_000)), "it is new again");
}

/// Number of VMs in the model.
const VMS: usize = 3;

/// A step of the model, 200 ms after the previous one.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A VM calls the store.
    CallStore(usize),
    /// A VM receives the report of another.
    ReceiveReport(usize, usize),
    /// An outage of the store begins or ends.
    ToggleOutage,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..VMS).prop_map(Step::CallStore),
        4 => (0..VMS, 0..VMS).prop_map(|(vm, other)| Step::ReceiveReport(vm, other)),
        1 => Just(Step::ToggleOutage),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(18),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Regardless of which reports VMs receive and in which order, no VM concludes that the store answered throughout an
    // outage in which entries expire, and no VM considers the store unreachable when it has just answered that VM.
    #[test]
    fn never_denies_an_outage_in_which_entries_expire(
        steps in prop::collection::vec(step(), 1..250),
    ) {
        let mut contacts = [StoreContact::default(); VMS];
        let mut outage_since = None;
        let mut outages = Vec::new();
        for (at, step) in steps.into_iter().enumerate() {
            let now = ms(at as u64 * 200);
            match step {
                Step::CallStore(vm) if outage_since.is_none() => {
                    contacts[vm].record(ContactSpan::at(now));
                    prop_assert_eq!(contacts[vm].unreachable_since(now + millis(1_999)), None);
                }
                Step::CallStore(_) => {}
                Step::ReceiveReport(vm, other) => {
                    if let Some(span) = contacts[other].newest_span() {
                        contacts[vm].record(span);
                    }
                }
                Step::ToggleOutage => match outage_since.take() {
                    None => outage_since = Some(now),
                    Some(since) => outages.push((since, now)),
                },
            }
            let long = outages.iter().filter(|(from, to)| to.since(*from) >= MIN_OUTAGE_FOR_EXPIRY);
            for (from, to) in long {
                let spans = contacts.iter().filter_map(StoreContact::newest_span);
                let mut covered = spans.filter(|it| it.since < *from && it.newest > *to);
                prop_assert!(covered.next().is_none(), "{from:?} to {to:?}: {contacts:?}");
            }
        }
    }
}
