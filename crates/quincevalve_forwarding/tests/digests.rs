//! Who collects what entry VMs tell, and what the sums are.

mod support;

use std::{collections::HashSet, time::Duration};

use indexmap::IndexMap;
use quincevalve_forwarding::{
    change_log::ChangeLog,
    freshness::{Freshness, Touch},
    load::WorkSum,
    peer_table::{PeerTable, Role, VmDescriptor},
    store_pacing::ReadingPart,
    sums::{Share, Sums},
    usage::{Counts, Kept, Usage},
    wall_clock::WallClock,
};
use quincevalve_names::{ClientAccountName, TimePoint};
use support::ms;

fn desk() -> ClientAccountName {
    "desk".into()
}

fn card(at: usize) -> VmDescriptor {
    VmDescriptor {
        name: format!("vm-{at}"),
        address: ([10, 0, (at / 200) as u8, (at % 200) as u8], 7600).into(),
        data_centre: ["a", "b", "c", "d"][at % 4].into(),
        cpu: if at < 8 { 500 } else { 120 },
    }
}

fn book(me: usize, count: usize) -> PeerTable {
    let mut book = PeerTable::new(card(me));
    book.replace_all((0..count).map(card).collect());
    book
}

fn collector_of(book: &PeerTable, now: TimePoint) -> Option<String> {
    match book.role(false, now) {
        Role::Collector { .. } => None,
        Role::Member { collector, .. } => Some(collector),
    }
}

#[test]
fn in_a_small_system_everyone_tells_everyone() {
    let Role::Collector { others } = book(0, 8).role(false, ms(0)) else { panic!("a member") };
    assert_eq!(others.len(), 7);
}

#[test]
fn in_a_large_system_the_strongest_of_a_data_centre_collects() {
    let chosen: HashSet<_> =
        (0..360).filter_map(|me| collector_of(&book(me, 360), ms(0))).collect();
    assert_eq!(chosen.len(), 4, "{chosen:?}");
    for name in &chosen {
        let at: usize = name["vm-".len()..].parse().unwrap();
        assert!(at < 8, "{name} has few cores");
    }
}

#[test]
fn a_collector_tells_one_vm_of_each_other_data_centre() {
    let collectors = (0..360).filter(|me| collector_of(&book(*me, 360), ms(0)).is_none());
    for me in collectors {
        let Role::Collector { others } = book(me, 360).role(false, ms(0)) else { panic!("member") };
        assert!(others.len() <= 6, "{others:?}");
    }
}

// A VM's placements get worse by the second: the VM that collects for its data centre is gone, and nobody
// answers. After less than a second the next one is chosen.
#[test]
fn a_silent_collector_is_replaced() {
    let mut book = book(100, 360);
    let first = collector_of(&book, ms(0)).unwrap();
    let address = book.descriptor(&first).unwrap().address;
    book.record_datagram_sent(address, ms(0));
    assert_eq!(collector_of(&book, ms(500)), Some(first.clone()));
    let second = collector_of(&book, ms(900)).unwrap();
    assert_ne!(first, second);
    let card = book.descriptor(&first).unwrap().clone();
    book.record_received(&card, ms(1_000));
    assert_eq!(collector_of(&book, ms(1_000)), Some(first));
}

// Engines are overrun though most idle: all VMs started together, the strongest of a data centre answered too
// late once, and weak VMs collected for good, unknown to other data centres. It is asked again, and used.
#[test]
fn a_collector_that_was_silent_once_is_asked_again() {
    let mut book = book(100, 360);
    let first = collector_of(&book, ms(0)).unwrap();
    let card = book.descriptor(&first).unwrap().clone();
    assert_eq!(book.preferred_collector(ms(0)), None);
    book.record_datagram_sent(card.address, ms(0));
    assert_eq!(book.preferred_collector(ms(1_000)), Some(card.address));
    book.record_received(&card, ms(1_100));
    assert_eq!(book.preferred_collector(ms(1_100)), None);
    assert_eq!(collector_of(&book, ms(1_100)), Some(first));
}

#[test]
fn collectors_are_among_those_that_others_tell() {
    let mut book = book(100, 360);
    for _ in 0..10 {
        if let Some(name) = collector_of(&book, ms(5_000)) {
            let address = book.descriptor(&name).unwrap().address;
            book.record_datagram_sent(address, ms(0));
        }
    }
    let last = collector_of(&book, ms(5_000)).unwrap();
    let mut tried = Vec::new();
    let mut other = self::book(101, 360);
    while let Role::Collector { others } = other.role(true, ms(5_000)) {
        let new: Vec<_> = others.into_iter().filter(|it| !tried.contains(it)).collect();
        if new.is_empty() {
            break;
        }
        for address in &new {
            other.record_datagram_sent(*address, ms(0));
        }
        tried.extend(new);
    }
    assert!(tried.contains(&book.descriptor(&last).unwrap().address));
}

#[test]
fn a_vm_that_is_neither_listed_nor_heard_is_forgotten() {
    let mut book = book(0, 3);
    book.record_received(&card(1), ms(0));
    book.mark_unlisted("vm-1");
    assert!(book.remove_expired(ms(9_000)).is_empty());
    assert_eq!(book.remove_expired(ms(10_001)), ["vm-1"]);
    assert_eq!(book.vm_count(), 2);
}

// Usage reports come too late: the VM that held the duties was taken away, and its successor waited for what it
// would tell. A VM whose entry is gone is awaited only while it is heard.
#[test]
fn a_vm_that_is_gone_is_not_awaited() {
    let mut book = book(0, 3);
    book.record_received(&card(1), ms(0));
    book.mark_unlisted("vm-1");
    assert_eq!(book.expected_reporters(ms(1_900)).collect::<Vec<_>>(), ["vm-1", "vm-2"]);
    assert_eq!(book.expected_reporters(ms(2_100)).collect::<Vec<_>>(), ["vm-2"]);
}

#[test]
fn two_of_a_small_system_read_the_store() {
    let part = |me| book(me, 8).store_read_role(false, ms(0));
    assert_eq!((0..8).filter(|me| part(*me) == ReadingPart::Reader).count(), 2);
    assert_eq!((0..8).filter(|me| book(*me, 8).relays_store(false, ms(0))).count(), 2);
}

fn work(requests: u32) -> IndexMap<u64, WorkSum> {
    IndexMap::from([(1, WorkSum { requests, ..WorkSum::default() })])
}

fn share(requests: u32, spending: f64) -> Share {
    let spending = IndexMap::from([("desk".into(), spending)]);
    Share { vms: 1, works: work(requests), spending, ..Share::default() }
}

fn sum(sums: &Sums, except: Option<&str>, now: TimePoint) -> Share {
    let mut sum = Share::default();
    sums.add_to(&mut sum, except, now);
    sum
}

#[test]
fn a_member_is_told_the_rest_without_itself() {
    let mut sums = Sums::default();
    sums.take("vm-1", share(3, 0.0), ms(0));
    sums.take("vm-2", share(4, 0.0), ms(0));
    assert_eq!(sum(&sums, None, ms(0)).works, work(7));
    assert_eq!(sum(&sums, Some("vm-1"), ms(0)).works, work(4));
}

#[test]
fn what_was_told_long_ago_does_not_count() {
    let mut sums = Sums::default();
    sums.take("vm-1", share(3, 0.0), ms(0));
    assert!(sum(&sums, None, ms(1_500)).works.is_empty());
    assert!(!sums.is_fresh(ms(1_500)));
}

// An account is refused though it spends little: a VM chose another collector, or started again, and what it had
// told before was counted once more. Only what each sender said last counts, and only while it is new.
#[test]
fn a_teller_counts_by_what_it_said_last() {
    let mut sums = Sums::default();
    sums.take("vm-1", share(0, 500.0), ms(0));
    sums.take("vm-1", share(0, 20.0), ms(100));
    sums.take("vm-2", share(0, 7.0), ms(100));
    assert!((sum(&sums, None, ms(100)).spending[&desk()] - 27.0).abs() < 1e-9);
    assert!((sum(&sums, Some("vm-1"), ms(100)).spending[&desk()] - 7.0).abs() < 1e-9);
    sums.take("vm-2", share(0, 9.0), ms(950));
    assert!((sum(&sums, None, ms(950)).spending[&desk()] - 9.0).abs() < 1e-9);
}

fn log() -> ChangeLog<&'static str> {
    let mut log = ChangeLog::default();
    log.reset(10);
    log.extend([(11, "a"), (13, "b"), (13, "c"), (17, "d")], 20);
    log
}

#[test]
fn an_excerpt_holds_what_is_lacking() {
    let excerpt = log().since(11, 100, |_| 1).unwrap();
    assert_eq!(excerpt.changes, [(13, "b"), (13, "c"), (17, "d")]);
    assert_eq!((excerpt.after, excerpt.upto), (11, 20));
}

// A VM believes that it knows a revision of which it got only half: a datagram had no room for the rest.
// An excerpt ends before the revision that doesn't fit.
#[test]
fn an_excerpt_never_ends_inside_a_revision() {
    let excerpt = log().since(10, 2, |_| 1).unwrap();
    assert_eq!(excerpt.changes, [(11, "a")]);
    assert_eq!(excerpt.upto, 12);
}

// After a reclaim wave, all VMs of a large system read the store by themselves: each digest carried so many
// large changes that it was cut on its way, nobody could read it, and the next one carried the same ones and
// more. What goes into one datagram is bounded by its bytes, and the reader gets on with each of them.
#[test]
fn an_excerpt_fits_and_the_next_one_goes_on() {
    let weigh = |it: &&str| if *it == "a" { 700 } else { 300 };
    let mut seen = 10;
    let mut taken = Vec::new();
    while seen < 20 {
        let excerpt = log().since(seen, 600, weigh).unwrap();
        assert!(excerpt.changes.len() <= 2, "{excerpt:?}");
        assert!(excerpt.upto > seen, "the reader gets on even if a single change is too large");
        seen = excerpt.upto;
        taken.extend(excerpt.changes.into_iter().map(|(_, it)| it));
    }
    assert_eq!(taken, ["a", "b", "c", "d"]);
}

#[test]
fn a_log_does_not_reach_back_before_its_start() {
    assert_eq!(log().since(9, 100, |_| 1), None);
}

#[test]
fn old_answers_add_nothing() {
    let mut log = log();
    log.extend([(12, "old")], 15);
    assert_eq!(log.upto(), 20);
    assert_eq!(log.since(10, 100, |_| 1).unwrap().changes.len(), 4);
}

#[test]
fn totals_of_a_vm_that_is_gone_still_count() {
    let mut usage = Usage::default();
    usage.began(7, &"desk".into());
    let told = IndexMap::from([("desk".into(), 5)]);
    usage.heard("vm-1", 1, &[(7, told.clone())].into(), 0);
    usage.heard("vm-1", 1, &[(7, IndexMap::from([("desk".into(), 3)]))].into(), 1);
    usage.heard("vm-1", 2, &[(7, told)].into(), 2);
    assert_eq!(usage.total(7)[&desk()], 11);
    assert!(usage.total(8).is_empty());
}

// Reports say that nothing began: all VMs were killed at the same moment, with windows that had ended. The next holder
// has what the last one kept; nothing counts twice, also where a VM lived through it.
#[test]
fn what_a_holder_kept_outlives_all_vms() {
    let told = |count| IndexMap::from([("desk".into(), count)]);
    let mut holder = Usage::default();
    holder.began(7, &desk());
    holder.began(8, &desk());
    holder.heard("vm-1", 1, &[(7, told(5)), (8, told(2))].into(), 0);
    let kept = holder.keep(("vm-0", 1), 7);
    let mut next = Usage::default();
    next.recall(kept.clone(), ("vm-2", 1));
    assert_eq!((next.total(7)[&desk()], next.total(8)[&desk()]), (6, 3));
    next.heard("vm-1", 1, &[(8, told(4))].into(), 1);
    next.heard("vm-1", 2, &[(8, told(1))].into(), 2);
    next.recall(kept, ("vm-2", 1));
    assert_eq!(next.total(8)[&desk()], 6);
    let mut same = holder.clone();
    same.recall(holder.keep(("vm-0", 1), 7), ("vm-0", 1));
    assert_eq!(same.total(7)[&desk()], 6);
    assert_eq!(holder.keep(("vm-0", 1), 9), Kept::default());
}

// A report lacks a tenth of what began: a digest that was sent before the window's end waited at a busy VM
// and was heard after it. The time at which it was sent counts.
#[test]
fn a_report_waits_for_tellings_sent_after_the_end() {
    let mut usage = Usage::default();
    usage.heard("vm-1", 1, &Counts::new(), 1_000);
    usage.heard("vm-1", 1, &Counts::new(), 900);
    let missing = |peers: &[&str], since| usage.missing_part(peers.iter().copied(), 0, since);
    assert!(missing(&["vm-1"], 1_000).abs() < 1e-9);
    assert!((missing(&["vm-1"], 2_000) - 0.25).abs() < 1e-9);
    assert!((missing(&["vm-1", "vm-2"], 1_000) - 1.0 / 3.0).abs() < 1e-9);
}

// Reports are lost: one of eighty VMs was gone for good, its entry still stood, and each window waited for it until
// the holder went, too. So little is not waited for; a quarter of the VMs behind a cut is.
#[test]
fn little_is_missing_where_one_of_many_is_gone() {
    let mut usage = Usage::default();
    let names: Vec<String> = (0..80).map(|it| format!("vm-{it}")).collect();
    for (at, name) in names.iter().enumerate() {
        usage.heard(name, 1, &Counts::new(), if at == 0 { 3_000 } else { 6_400 });
    }
    let peers = || names.iter().map(String::as_str);
    assert!(usage.missing_part(peers(), 1_000, 6_300) < 0.01);
    assert!(usage.missing_part(peers(), 6_000, 11_300) > 0.5);
    for name in &names[20..] {
        usage.heard(name, 1, &Counts::new(), 11_400);
    }
    assert!(usage.missing_part(peers(), 6_000, 11_300) > 0.2);
}

// Requests are booked a second late: the other clock's time waited for a second before it was read. The
// fastest reading of the last seconds counts; a clock that stays slow is believed after that.
#[test]
fn a_reading_that_was_long_on_its_way_changes_nothing() {
    let mut clock = WallClock::default();
    clock.heard(0, 10_000, ms(0));
    clock.heard(0, 10_100, ms(1_100));
    assert_eq!(clock.true_ms(ms(1_100)), Some(11_100));
    clock.heard(0, 13_100, ms(4_100));
    assert_eq!(clock.true_ms(ms(4_100)), Some(13_100));
}

// A VM serves an old configuration for half a minute and answers 404 for routes that exist: it had lost power,
// its clock began anew, and a peer echoed the last start's time, which lay far in the future.
#[test]
fn a_proof_from_the_future_is_none() {
    let mut freshness = Freshness::default();
    freshness.proved(ms(60_000), ms(100));
    assert_eq!(freshness.age(ms(100)), None);
    freshness.proved(ms(50), ms(100));
    assert_eq!(freshness.age(ms(2_050)), Some(support::millis(2_000)));
    freshness.proved(ms(40), ms(2_050));
    assert!(!freshness.is_within(support::millis(1_999), ms(2_050)));
}

// Usage is booked in windows that have long passed: the time of day of one VM jumped. The median of what
// all clocks say doesn't move with one of them.
#[test]
fn one_clock_that_jumps_does_not_move_true_time() {
    let mut clock = WallClock::default();
    for source in 0..5 {
        clock.heard(source, 1_000_000 + source, ms(0));
    }
    let before = clock.true_ms(ms(500)).unwrap();
    clock.heard(0, 9_000_000, ms(0));
    let after = clock.true_ms(ms(500)).unwrap();
    assert!((after - before).abs() <= 2, "{before} {after}");
    assert_eq!(before, 1_000_502);
}

#[test]
fn without_any_clock_there_is_no_true_time() {
    assert_eq!(WallClock::<u8>::default().true_ms(ms(0)), None);
}

#[test]
fn what_a_better_informed_vm_reckons_goes_first_while_it_is_fresh() {
    let mut clock = WallClock::default();
    clock.heard(0, 1_000, ms(0));
    clock.trust(5_000, ms(0));
    assert_eq!(clock.true_ms(ms(100)), Some(5_100));
    assert_eq!(clock.true_ms(ms(4_000)), Some(5_000));
}

// Callers are refused for two seconds by a VM that has lost touch: the platform noticed only when it did. The VM says so
// two seconds before it must refuse.
#[test]
fn a_vm_that_loses_touch_says_so_before_it_must_refuse() {
    let limit = Duration::from_secs(5);
    let mut freshness = Freshness::default();
    assert_eq!(freshness.touch(limit, ms(0)), Touch::Lost);
    freshness.proved(ms(1_000), ms(1_010));
    assert_eq!(freshness.touch(limit, ms(3_200)), Touch::Kept);
    assert_eq!(freshness.touch(limit, ms(3_300)), Touch::Losing);
    assert_eq!(freshness.touch(limit, ms(5_200)), Touch::Losing);
    assert_eq!(freshness.touch(limit, ms(5_300)), Touch::Lost);
}
