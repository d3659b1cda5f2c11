//! Whether the store is away for all, or only this VM is cut off from it.

mod support;

use proptest::prelude::*;
use quincevalve_forwarding::{
    servers::{Removal, ServerTable},
    store_contact::{Contact, LAPSE_AFTER, StoreContact, StoreNews},
};
use quincevalve_names::TimePoint;
use support::{START, entry, millis, ms, server, table};

fn span(since: u64, newest: u64) -> Contact {
    Contact { since: ms(since), newest: ms(newest) }
}

fn contact(since: u64, newest: u64) -> StoreContact {
    let mut contact = StoreContact::default();
    contact.heard(span(since, newest));
    contact
}

fn usable(table: &ServerTable, now: TimePoint) -> bool {
    table.usable(&"engines".into(), now).any(|(name, _)| *name == server(0))
}

#[test]
fn answers_that_follow_each_other_are_one_span() {
    let mut contact = contact(0, 0);
    for at in [600, 1_200, 3_199] {
        assert_eq!(contact.heard(Contact::at(ms(at))), StoreNews::Unchanged);
    }
    assert_eq!(contact.contact(), Some(span(0, 3_199)));
    assert_eq!(contact.away_since(ms(5_198)), None);
    assert_eq!(contact.away_since(ms(5_199)), Some(ms(3_199)));
}

// Callers are refused for two seconds after an outage in which all entries lapsed. The store answers again after it
// answered nobody; that is told, with the moment since when entries may have lapsed.
#[test]
fn an_answer_after_a_gap_is_a_return() {
    let mut contact = contact(0, 1_000);
    assert_eq!(contact.heard(Contact::at(ms(3_000))), StoreNews::Returned { since: ms(1_000) });
    assert_eq!(contact.contact(), Some(span(3_000, 3_000)));
}

// A request reaches a server that had left: this VM alone was cut off and took what went missing for lapsed. Another VM
// says that the store answered it all the while.
#[test]
fn a_vm_that_had_answers_all_the_while_denies_the_outage() {
    let mut contact = contact(0, 1_000);
    contact.heard(Contact::at(ms(9_000)));
    assert_eq!(contact.heard(span(500, 8_950)), StoreNews::NeverAway);
    assert_eq!(contact.contact(), Some(span(0, 9_000)));
    assert_eq!(contact.heard(span(400, 9_010)), StoreNews::Unchanged, "it is denied once");
}

#[test]
fn what_others_tell_first_leaves_no_gap() {
    let mut contact = contact(0, 1_000);
    assert_eq!(contact.heard(span(200, 8_950)), StoreNews::Unchanged);
    assert_eq!(contact.heard(Contact::at(ms(9_000))), StoreNews::Unchanged);
    assert_eq!(contact.contact(), Some(span(0, 9_000)));
}

// All callers are refused after an outage: a VM that was cut off with this one, or has just started, says that the store
// answers it now, and that is taken for proof that nothing lapsed.
#[test]
fn a_vm_that_knows_only_the_end_denies_nothing() {
    let mut contact = contact(0, 1_000);
    contact.heard(Contact::at(ms(9_000)));
    assert_eq!(contact.heard(span(3_000, 9_050)), StoreNews::Unchanged);
    assert_eq!(contact.heard(span(2_999, 9_050)), StoreNews::NeverAway);
}

#[test]
fn old_news_changes_nothing() {
    let mut contact = contact(10_000, 12_000);
    assert_eq!(contact.heard(span(1_000, 8_000)), StoreNews::Unchanged);
    assert_eq!(contact.contact(), Some(span(10_000, 12_000)));
    assert_eq!(contact.heard(span(1_000, 8_001)), StoreNews::Unchanged);
    assert_eq!(contact.contact(), Some(span(1_000, 12_000)));
}

#[test]
fn nothing_is_known_before_the_first_answer() {
    let mut contact = StoreContact::default();
    assert_eq!(contact.away_since(ms(60_000)), None);
    assert_eq!(contact.contact(), None);
    assert_eq!(contact.heard(Contact::at(ms(70_000))), StoreNews::Unchanged);
}

// Nothing lapses in an outage shorter than the life of an entry; what went missing in it is gone.
#[test]
fn only_a_long_outage_makes_entries_lapse() {
    let after = |outage: u64| {
        let mut table = table(4);
        table.begin_store_outage(ms(1_000));
        table.end_store_outage(ms(1_000 + outage));
        table.remove_entry(&server(0), ms(1_050 + outage));
        usable(&table, ms(1_600 + outage))
    };
    let lapse_after = LAPSE_AFTER.as_millis() as u64;
    assert!(after(lapse_after));
    assert!(!after(lapse_after - 1));
}

// Streams of a server are cut though there was time to move them: its entry was removed while this VM was cut off, and
// taken for lapsed. Once another VM denies the outage, the server is one that goes.
#[test]
fn a_removal_is_a_leave_once_the_outage_is_denied() {
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

// A request reaches a server that left while this VM got no processor time for three seconds: its first answer of the
// store looks like the end of an outage, and the others' word that there was none comes a moment later. Until it had
// time to come, what is missing is used only where nothing else is listed.
#[test]
fn an_outage_is_not_believed_before_others_could_deny_it() {
    let mut table = table(4);
    table.begin_store_outage(ms(1_000));
    table.end_store_outage(ms(4_000));
    table.remove_entry(&server(0), ms(4_000));
    assert!(!usable(&table, ms(4_599)));
    assert!(usable(&table, ms(4_600)));
    for at in 1..4 {
        table.remove_entry(&server(at), ms(4_000));
    }
    assert_eq!(table.usable(&"engines".into(), ms(4_100)).count(), 4, "nothing else is listed");
}

#[test]
fn a_store_that_answered_others_is_not_away() {
    let mut table = table(4);
    assert!(!table.is_store_unreachable());
    table.begin_store_outage(ms(1_000));
    assert!(table.is_store_unreachable());
    table.cancel_store_outage(ms(4_000));
    assert!(!table.is_store_unreachable());
    assert_eq!(table.remove_entry(&server(0), ms(4_100)), Some(Removal::Leaving));
    assert!(!usable(&table, ms(4_800)));
}

// While the store is away, a removal from before is none of its making, and one in its first moments neither: nothing has
// lapsed yet.
#[test]
fn a_removal_before_entries_lapse_is_a_leave() {
    let mut table = table(1);
    table.remove_entry(&server(0), ms(900));
    table.begin_store_outage(ms(1_000));
    assert!(!usable(&table, ms(3_100)), "it was removed before");
    let mut table = self::table(1);
    table.begin_store_outage(ms(1_000));
    assert_eq!(table.remove_entry(&server(0), ms(1_500)), Some(Removal::Leaving));
    assert!(!usable(&table, ms(1_500)), "nothing lapses that soon");
}

#[test]
fn a_placement_tells_for_how_long_an_entry_is_missing() {
    let mut table = table(1);
    assert_eq!(table.get(&server(0)).unwrap().unlisted_for(ms(100)), None);
    table.remove_entry(&server(0), ms(100));
    assert_eq!(table.get(&server(0)).unwrap().unlisted_for(ms(350)), Some(millis(250)));
}

// All callers are refused: the store falls silent again before the entries that lapsed are back, and what had gone
// missing in the first outage is taken for gone.
#[test]
fn outages_that_follow_each_other_are_one() {
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
fn an_outage_long_after_another_stands_alone() {
    let mut table = table(1);
    table.begin_store_outage(ms(1_000));
    table.end_store_outage(ms(5_000));
    table.remove_entry(&server(0), ms(5_000));
    table.begin_store_outage(ms(7_300));
    table.end_store_outage(ms(10_000));
    assert!(!usable(&table, ms(10_000)), "it had its time to return");
}

// A VM's memory grows for as long as it runs, by each server that ever was: those that leave one by one were only
// forgotten when the whole store was read.
#[test]
fn servers_that_left_are_forgotten() {
    let mut table = table(3);
    table.remove_entry(&server(0), ms(0));
    table.remove_entry(&server(1), ms(59_999));
    assert!(table.get(&server(0)).is_some());
    table.remove_entry(&server(2), ms(60_000));
    assert!(table.get(&server(0)).is_none());
    assert!(table.get(&server(1)).is_some() && table.get(&server(2)).is_some());
    assert!(table.apply_entry(&server(0), entry("a"), ms(70_000)), "it is new again");
}

/// VMs of the model.
const VMS: usize = 3;

/// What happens next in the model, 200 ms later.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A VM asks the store.
    Asks(usize),
    /// A VM hears another.
    Hears(usize, usize),
    /// The store falls silent or speaks again.
    Turns,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..VMS).prop_map(Step::Asks),
        4 => (0..VMS, 0..VMS).prop_map(|(vm, other)| Step::Hears(vm, other)),
        1 => Just(Step::Turns),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(18),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Whatever VMs hear of each other in whatever order, none believes that the store answered throughout an outage in
    // which entries lapse, and none takes the store for away that has just answered it.
    #[test]
    fn an_outage_in_which_entries_lapse_is_never_denied(
        steps in prop::collection::vec(step(), 1..250),
    ) {
        let mut contacts = [StoreContact::default(); VMS];
        let mut silent_since = None;
        let mut outages = Vec::new();
        for (at, step) in steps.into_iter().enumerate() {
            let now = ms(at as u64 * 200);
            match step {
                Step::Asks(vm) if silent_since.is_none() => {
                    contacts[vm].heard(Contact::at(now));
                    prop_assert_eq!(contacts[vm].away_since(now + millis(1_999)), None);
                }
                Step::Asks(_) => {}
                Step::Hears(vm, other) => {
                    if let Some(span) = contacts[other].contact() {
                        contacts[vm].heard(span);
                    }
                }
                Step::Turns => match silent_since.take() {
                    None => silent_since = Some(now),
                    Some(since) => outages.push((since, now)),
                },
            }
            let long = outages.iter().filter(|(from, to)| to.since(*from) >= LAPSE_AFTER);
            for (from, to) in long {
                let spans = contacts.iter().filter_map(StoreContact::contact);
                let mut covered = spans.filter(|it| it.since < *from && it.newest > *to);
                prop_assert!(covered.next().is_none(), "{from:?} to {to:?}: {contacts:?}");
            }
        }
    }
}
