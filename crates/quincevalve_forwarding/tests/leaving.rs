//! Servers that leave, and lists that lag.

mod support;

use proptest::prelude::*;
use quincevalve_forwarding::{
    load::Work,
    server_signals::{ReportedSignals, ServerSignals},
    servers::{LeaveReason, ServerEntry, ServerStart, ServerTable, start_hash},
};
use quincevalve_names::TimePoint;
use support::{START, draining, entry, millis, ms, server, table};

fn usable(table: &ServerTable, now: TimePoint) -> bool {
    table.usable(&"engines".into(), now).any(|(name, _)| *name == server(0))
}

// The caller's stream is cut seconds after it began. The server had announced that it leaves, and then an
// older entry, still `ready`, was read. A server that left once must not get work again.
#[test]
fn an_old_entry_does_not_bring_a_leaving_server_back() {
    let mut table = ServerTable::default();
    table.apply_entry(&server(0), entry("a"), ms(0));
    table.apply_entry(&server(0), draining("a"), ms(100));
    table.apply_entry(&server(0), entry("a"), ms(200));
    assert!(!usable(&table, ms(200)));
}

const LEAVES: ServerSignals = ServerSignals { limit: None, leaving: true, rest: None };

/// Server 0, that has said in an answer that it leaves.
fn leaves_by_answer() -> ServerTable {
    let mut table = table(1);
    let server = table.get_mut(&server(0), START).expect("listed");
    assert!(server.apply_signals(&LEAVES, ms(100)).leaving);
    table
}

/// What a VM knows afterwards that has heard from a server itself that it leaves.
macro_rules! not_taken_back {
    ($($name:ident: $later:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut table = leaves_by_answer();
                let later: fn(&mut ServerTable) = $later;
                later(&mut table);
                assert!(!usable(&table, ms(10_000)));
                assert!(!table.is_eligible(table.get(&server(0)).expect("known"), ms(10_000)));
            }
        )+
    };
}

not_taken_back! {
    an_entry_does_not_take_a_servers_own_word_back: |it| { it.apply_entry(&server(0), entry("a"), ms(200)); };
    a_whole_list_does_not_take_a_servers_own_word_back: |it| {
        it.replace_all(vec![(server(0), entry("a"))], &[], ms(200));
    };
    an_answer_that_says_nothing_does_not_take_it_back: |it| {
        it.get_mut(&server(0), START).expect("known").apply_signals(&ServerSignals::default(), ms(200));
    };
    another_vm_that_knows_less_does_not_take_it_back: |it| {
        let told = ReportedSignals { limit: None, age: millis(0), leaving: false };
        it.get_mut(&server(0), START).expect("known").apply_report(&told, ms(200));
    };
    an_entry_that_lapses_and_returns_does_not_take_it_back: |it| {
        it.begin_store_outage(ms(200));
        it.remove_entry(&server(0), ms(2_000));
        it.end_store_outage(ms(9_000));
        it.apply_entry(&server(0), entry("a"), ms(9_500));
    };
    an_outage_of_the_store_does_not_take_it_back: |it| {
        it.begin_store_outage(ms(200));
        it.remove_entry(&server(0), ms(2_000));
        it.end_store_outage(ms(9_000));
    };
    an_unreadable_entry_does_not_take_it_back: |it| {
        it.mark_unreadable(&server(0));
        it.apply_entry(&server(0), entry("a"), ms(300));
    };
}

#[test]
fn a_vm_that_is_told_knows_that_a_server_leaves() {
    let told = leaves_by_answer().get(&server(0)).and_then(|it| it.signals_to_report(ms(150)));
    let mut table = table(1);
    let server_0 = table.get_mut(&server(0), START).expect("listed");
    assert!(server_0.apply_report(&told.expect("something to tell"), ms(200)).leaving);
    assert!(!usable(&table, ms(200)));
}

// A VM that starts while the store is away gets an entry that is older than what others heard from the server.
#[test]
fn a_copy_of_the_list_says_that_a_server_leaves() {
    let table = leaves_by_answer();
    assert!(table.listed_entries().all(|(_, entry)| entry.draining));
}

#[test]
fn another_start_of_a_server_that_left_is_used() {
    let mut table = leaves_by_answer();
    table.apply_entry(&server(0), started_again("a", 2), ms(200));
    assert!(usable(&table, ms(200)));
}

// The caller is answered by a server of another service. The address was given to a new server, which said
// so with its refusal; the entry of the old one is still listed.
#[test]
fn a_server_whose_address_another_has_gets_nothing_more() {
    let mut table = ServerTable::default();
    table.apply_entry(&server(0), entry("a"), ms(0));
    table.mark_leaving(&server(0), START, LeaveReason::Replaced);
    table.apply_entry(&server(0), entry("a"), ms(100));
    assert!(!usable(&table, ms(100)));
}

#[test]
fn a_removed_server_gets_nothing_more() {
    let mut table = ServerTable::default();
    table.apply_entry(&server(0), entry("a"), ms(0));
    table.remove_entry(&server(0), ms(100));
    assert!(!usable(&table, ms(100)));
}

#[test]
fn a_server_that_a_whole_list_lacks_was_removed() {
    let mut table = ServerTable::default();
    table.apply_entry(&server(0), entry("a"), ms(0));
    table.replace_all(vec![(server(1), entry("a"))], &[], ms(100));
    assert!(!usable(&table, ms(100)));
}

// Streams are cut with the server that they run on: it had said when it goes, its entry lapsed and came back, and the time
// was forgotten, so that nothing was moved.
#[test]
fn the_end_of_a_leaving_server_is_not_forgotten() {
    let mut table = ServerTable::default();
    table.apply_entry(&server(0), draining("a"), ms(0));
    let goes_at = table.expected_stop(&server(0), START);
    assert!(goes_at.is_some());
    table.remove_entry(&server(0), ms(100));
    assert!(table.apply_entry(&server(0), entry("a"), ms(200)), "it was not listed");
    assert!(!table.apply_entry(&server(0), entry("a"), ms(300)), "it was");
    assert_eq!(table.expected_stop(&server(0), START), goes_at);
}

// Every caller is refused for two seconds after the store was away: all entries lapsed meanwhile, though the
// servers live. They are used until the time is over in which living servers put their entries back.
#[test]
fn entries_that_lapsed_while_the_store_was_away_count_for_two_seconds() {
    let mut table = ServerTable::default();
    table.apply_entry(&server(0), entry("a"), ms(0));
    table.begin_store_outage(ms(1_000));
    table.end_store_outage(ms(6_000));
    table.remove_entry(&server(0), ms(6_100));
    assert!(usable(&table, ms(6_100)));
    assert!(usable(&table, ms(8_000)));
    assert!(!usable(&table, ms(8_400)));
    table.apply_entry(&server(0), entry("a"), ms(9_000));
    assert!(usable(&table, ms(9_000)));
}

#[test]
fn a_removal_long_after_an_outage_counts_at_once() {
    let mut table = ServerTable::default();
    table.apply_entry(&server(0), entry("a"), ms(0));
    table.begin_store_outage(ms(1_000));
    table.end_store_outage(ms(2_000));
    table.remove_entry(&server(0), ms(9_000));
    assert!(!usable(&table, ms(9_000)));
}

#[test]
fn an_outage_does_not_bring_a_leaving_server_back() {
    let mut table = ServerTable::default();
    table.apply_entry(&server(0), draining("a"), ms(0));
    table.begin_store_outage(ms(1_000));
    table.end_store_outage(ms(2_000));
    table.remove_entry(&server(0), ms(2_100));
    assert!(!usable(&table, ms(2_100)));
}

// Streams of a reclaimed server are cut a second after its entry went: it had announced nothing. The removal says
// that it goes, and its streams are moved in that second.
#[test]
fn a_reclaimable_server_that_is_removed_goes_within_a_second() {
    let mut table = ServerTable::default();
    table.apply_entry(&server(0), reclaimable("a"), ms(0));
    assert_eq!(table.expected_stop(&server(0), START), None);
    table.remove_entry(&server(0), ms(100));
    let goes_at = table.expected_stop(&server(0), START).unwrap();
    assert!(goes_at > ms(100) && goes_at <= ms(1_100), "{goes_at:?}");
    table.apply_entry(&server(0), reclaimable("a"), ms(400));
    assert_eq!(table.expected_stop(&server(0), START), None);
}

// All streams are moved at once though every server lives: the store was away, and all entries lapsed.
#[test]
fn an_entry_that_may_have_lapsed_moves_nothing() {
    let mut table = ServerTable::default();
    table.apply_entry(&server(0), reclaimable("a"), ms(0));
    table.begin_store_outage(ms(1_000));
    table.remove_entry(&server(0), ms(5_000));
    assert_eq!(table.expected_stop(&server(0), START), None);
    table.apply_entry(&server(0), reclaimable("a"), ms(5_500));
    table.end_store_outage(ms(6_000));
    table.remove_entry(&server(0), ms(6_100));
    assert_eq!(table.expected_stop(&server(0), START), None);
}

fn reclaimable(centre: &str) -> ServerEntry {
    ServerEntry { reclaimable: true, ..entry(centre) }
}

// All callers are told that there is no server: the store lost all entries in an outage, a VM that couldn't read it yet
// was told of their removal by another, and took all servers for gone. They are used until they had time to be back.
#[test]
fn servers_that_all_lapse_are_used_until_they_are_back() {
    let mut table = table(4);
    table.begin_store_outage(ms(1_000));
    for at in 0..4 {
        table.remove_entry(&server(at), ms(7_000));
    }
    assert!(table.may_be_incomplete(ms(7_000)));
    assert_eq!(table.usable(&"engines".into(), ms(7_100)).count(), 4);
    assert!(table.is_eligible(table.get(&server(0)).unwrap(), ms(7_100)));
    assert_eq!(table.usable(&"engines".into(), ms(9_400)).count(), 0, "they had their time");
    table.apply_entry(&server(2), entry("c"), ms(8_000));
    assert_eq!(table.usable(&"engines".into(), ms(8_100)).count(), 1, "others are there again");
    assert!(!table.is_eligible(table.get(&server(0)).unwrap(), ms(8_100)));
}

// A request reaches a server that had left: the store turned only this VM away, and it was told that one entry was
// removed. Where others are listed, what was removed isn't used.
#[test]
fn one_server_that_is_removed_while_the_store_is_away_is_not_used() {
    let mut table = table(4);
    table.begin_store_outage(ms(1_000));
    table.remove_entry(&server(0), ms(2_000));
    assert!(!usable(&table, ms(2_100)));
    assert!(!table.is_eligible(table.get(&server(0)).unwrap(), ms(2_100)));
}

// Half of a fleet is given back: entries lapsed in an outage, and a new holder ordered by the few that were listed. The
// list is complete again some time after the store's return.
#[test]
fn a_list_may_lack_entries_until_servers_had_time_to_return() {
    let mut table = table(4);
    assert!(!table.may_be_incomplete(ms(500)));
    table.begin_store_outage(ms(1_000));
    assert!(table.may_be_incomplete(ms(6_000)));
    table.end_store_outage(ms(7_000));
    assert!(table.may_be_incomplete(ms(9_200)));
    assert!(!table.may_be_incomplete(ms(9_400)));
    table.begin_store_outage(ms(20_000));
    table.end_store_outage(ms(20_500));
    assert!(!table.may_be_incomplete(ms(20_600)), "nothing lapses in a call that failed");
}

// Callers wait for a server that was gone long before the store fell silent, and a request reaches one that had just
// left: at the store's return all removed servers counted for two seconds as lapsed. Only an entry that went missing
// since the store last answered can have lapsed in its outage.
#[test]
fn a_server_that_was_gone_before_an_outage_stays_gone() {
    let mut table = table(4);
    table.remove_entry(&server(0), ms(500));
    table.begin_store_outage(ms(1_000));
    table.end_store_outage(ms(10_000));
    assert!(!usable(&table, ms(10_100)));
    assert!(!table.is_eligible(table.get(&server(0)).unwrap(), ms(10_100)));
}

fn started_again(centre: &str, start: u64) -> ServerEntry {
    ServerEntry { start: ServerStart(start), ..entry(centre) }
}

fn work() -> Work {
    Work { prefill: 100, memory: 200, output: 10, urgency: 0 }
}

// A server announces that it leaves, crashes, and starts again under its name. It gets nothing until it is
// forgotten, for leaving is never taken back. Leaving belongs to the earlier start.
#[test]
fn a_server_that_starts_again_is_usable() {
    let mut table = ServerTable::default();
    table.apply_entry(&server(0), draining("a"), ms(0));
    assert!(table.apply_entry(&server(0), started_again("a", 2), ms(100)), "it is new");
    assert!(usable(&table, ms(100)));
    assert_eq!(table.expected_stop(&server(0), ServerStart(2)), None);
}

// What an earlier start said comes late: that it leaves, that it is ready, or an answer of its own that another
// server is there. The new start is neither given up nor is the earlier one brought back.
#[test]
fn a_late_word_of_an_earlier_start_changes_nothing() {
    let mut table = ServerTable::default();
    table.apply_entry(&server(0), entry("a"), ms(0));
    table.apply_entry(&server(0), started_again("a", 2), ms(100));
    assert!(!table.apply_entry(&server(0), draining("a"), ms(200)));
    table.mark_leaving(&server(0), START, LeaveReason::Replaced);
    table.mark_unreachable(&server(0), START, ms(200));
    assert!(usable(&table, ms(200)));
    assert_eq!(table.get(&server(0)).map(|it| it.entry.start), Some(ServerStart(2)));
    assert!(!table.get(&server(0)).unwrap().load.is_paused(ms(200)));
}

// A request that an earlier start ran ends after the new one took work. Its work was taken off the new start,
// which looked idle. The counts of a start belong to it alone.
#[test]
fn work_of_an_earlier_start_is_not_taken_off_the_new_one() {
    let mut table = ServerTable::default();
    table.apply_entry(&server(0), entry("a"), ms(0));
    table.get_mut(&server(0), START).unwrap().load.add_request(work(), ms(0));
    table.apply_entry(&server(0), started_again("a", 2), ms(100));
    assert_eq!(table.get(&server(0)).unwrap().load.total_work(ms(100)).requests, 0);
    table.get_mut(&server(0), ServerStart(2)).unwrap().load.add_request(work(), ms(100));
    assert!(table.get_mut(&server(0), START).is_none());
    assert_eq!(table.get(&server(0)).unwrap().load.total_work(ms(100)).requests, 1);
}

// Another writer spoils a server's entry. Nothing new is sent there, what runs there isn't moved away, and the server
// is back with its next word.
#[test]
fn a_server_whose_entry_is_spoiled_rests_until_it_speaks() {
    let mut table = ServerTable::default();
    table.apply_entry(&server(0), reclaimable("a"), ms(0));
    table.mark_unreadable(&server(0));
    assert!(!usable(&table, ms(100)));
    assert_eq!(table.expected_stop(&server(0), START), None);
    table.apply_entry(&server(0), reclaimable("a"), ms(200));
    assert!(usable(&table, ms(200)));
    table.replace_all(vec![(server(1), entry("a"))], &[server(0)], ms(300));
    assert!(!usable(&table, ms(300)));
    assert_eq!(table.expected_stop(&server(0), START), None);
    assert!(table.get(&server(1)).is_some_and(|it| table.is_usable(it, ms(300))));
}

// Shared prompts of a server that started again are gone. Each VM takes its places in the order of servers anew.
#[test]
fn starts_of_a_server_differ_for_all_vms() {
    let of = |start| start_hash(&server(0), ServerStart(start));
    assert_eq!(of(1), of(1));
    assert_ne!(of(1), of(2));
    assert_ne!(of(1), start_hash(&server(1), START));
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Listed,
    Draining,
    Removed,
    Lost,
    Found,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        Just(Event::Listed),
        Just(Event::Draining),
        Just(Event::Removed),
        Just(Event::Lost),
        Just(Event::Found),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Whatever is read in whatever order, no server is used again that once said that it leaves.
    #[test]
    fn leaving_is_final(events in prop::collection::vec(event(), 1..60)) {
        let mut table = ServerTable::default();
        let mut left = false;
        for (at, event) in events.into_iter().enumerate() {
            let now = ms(at as u64 * 300);
            match event {
                Event::Listed => { table.apply_entry(&server(0), entry("a"), now); }
                Event::Draining => { table.apply_entry(&server(0), draining("a"), now); left = true; }
                Event::Removed => { table.remove_entry(&server(0), now); }
                Event::Lost => table.begin_store_outage(now),
                Event::Found => table.end_store_outage(now),
            }
            prop_assert!(!(left && usable(&table, now)));
        }
    }
}
