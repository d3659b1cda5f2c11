//! How many calls the platform's store gets from a system of hundreds of entry VMs.

mod support;

use std::{collections::HashSet, time::Duration};

use quincevalve_forwarding::{
    peer_table::{PeerTable, VmDescriptor},
    store_pacing::{ConfigSource, LackedConfig, ReadingPart},
};
use quincevalve_names::TimePoint;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{millis, ms};

const VMS: usize = 300;
const CENTRES: usize = 6;
const IN_FORCE: Duration = Duration::from_secs(4);

fn card(at: usize) -> VmDescriptor {
    VmDescriptor {
        name: format!("vm-{at}"),
        address: ([10, 0, (at / 200) as u8, (at % 200) as u8], 7600).into(),
        data_centre: ["a", "b", "c", "d", "e", "f"][at % CENTRES].into(),
        cpu: if at < 3 * CENTRES { 500 } else { 120 },
    }
}

fn book(me: usize) -> PeerTable {
    let mut book = PeerTable::new(card(me));
    book.replace_all((0..VMS).map(card).collect());
    book
}

fn with_part(part: ReadingPart) -> Vec<usize> {
    (0..VMS).filter(|me| book(*me).store_read_role(false, ms(0)) == part).collect()
}

/// The calls of VMs in an outage that begins at 0, when all have just had a proof.
fn calls_in_outage(part: ReadingPart, vms: usize, length: Duration) -> usize {
    let calls = |_| {
        let mut at = ms(0) + part.longest_told_age(IN_FORCE);
        let mut failures = 0;
        while at < ms(0) + length {
            failures += 1;
            at = at + part.pause_after_failures(failures, false);
        }
        failures as usize
    };
    (0..vms).map(calls).sum()
}

#[test]
fn two_collectors_of_a_large_system_read_the_store_and_the_others_stand_by() {
    let readers = with_part(ReadingPart::Reader);
    assert_eq!(readers.len(), 2);
    let centres: HashSet<_> = readers.iter().map(|it| it % CENTRES).collect();
    assert_eq!(centres.len(), 2, "a data centre that is cut off takes one of them");
    assert_eq!(with_part(ReadingPart::StandBy).len(), CENTRES - 2);
    let passes_on = (0..VMS).filter(|me| book(*me).relays_store(false, ms(0))).count();
    assert_eq!(passes_on, CENTRES);
}

// Callers are refused for lack of a proof: both readers are gone. The collectors that stood by see that they are silent,
// and two of them read.
#[test]
fn silent_readers_are_replaced() {
    let readers = with_part(ReadingPart::Reader);
    let next = with_part(ReadingPart::StandBy).into_iter().filter(|me| {
        let mut book = book(*me);
        for reader in &readers {
            book.record_datagram_sent(card(*reader).address, ms(0));
        }
        book.store_read_role(false, ms(500)) == ReadingPart::StandBy
            && book.store_read_role(false, ms(900)) == ReadingPart::Reader
    });
    assert!((1..=2).contains(&next.count()));
}

// The store is overrun: the holder of the duties is gone, and all VMs see it at the same moment. Each try costs three
// calls. Before, all 300 had tried within half a second, before they heard of the new holder.
#[test]
fn few_try_to_take_the_duties_over() {
    let collectors = CENTRES;
    let at_once = (0..VMS)
        .filter(|me| book(*me).store_read_role(false, ms(0)).duty_patience(VMS, 0.0).is_zero())
        .count();
    assert_eq!(at_once, collectors);
}

// The same where no collector reaches the store: one of the others takes the duties over, within seconds, and of
// hundreds some twenty try before they hear of it.
#[test]
fn where_no_reader_can_the_others_try_one_after_the_other() {
    let known_after = millis(500);
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut draw = || ReadingPart::Told.duty_patience(VMS, rng.random());
        let mut tries: Vec<_> = (0..VMS).map(|_| draw()).collect();
        tries.sort();
        assert!(tries[0] >= millis(1_500) && tries[0] <= millis(2_500), "{:?}", tries[0]);
        let in_vain = tries.iter().filter(|it| **it < tries[0] + known_after).count();
        assert!(in_vain <= 40, "{in_vain}");
    }
}

// An outage of the store of 4.5 seconds: its collectors ask on, and the 49 other VMs of a data centre less often.
#[test]
fn a_store_that_answers_nobody_is_asked_by_few() {
    let length = millis(4_500);
    let lone = calls_in_outage(ReadingPart::Told, VMS - CENTRES, length);
    assert!(lone <= 2 * VMS, "{lone}");
    let collector = calls_in_outage(ReadingPart::StandBy, 1, length);
    assert!(collector >= 4, "they notice that it is back: {collector}");
}

// A key is taken away, and all VMs lack the new configuration. Old copies have it for half of them; the others are told
// before they ask the store for the newest, and none of them waits for long if they aren't.
#[test]
fn a_lacking_configuration_is_asked_for_in_time() {
    let mut lacked = LackedConfig::new(7, ms(0));
    let mut newest_at = None;
    let mut old_copies = 0;
    for at in (0..4_000).step_by(100) {
        match lacked.next(7, IN_FORCE, ms(at)) {
            ConfigSource::OldCopy => old_copies += 1,
            ConfigSource::Peers => {}
            ConfigSource::Newest => newest_at = newest_at.or(Some(ms(at))),
        }
    }
    assert_eq!(old_copies, 1);
    let newest_at: TimePoint = newest_at.expect("it is asked for");
    assert!(newest_at >= ms(1_000) && newest_at <= ms(2_000), "{newest_at:?}");
}

// Configurations follow each other three times a second, and none of the old copies has the newest. A VM that put the
// question for the newest off with each of them would serve by the first one for as long as that goes on.
#[test]
fn configurations_in_quick_succession_do_not_put_it_off() {
    let mut lacked = LackedConfig::new(1, ms(0));
    let newest = (0..40).filter(|at| {
        let version = 1 + at / 3;
        lacked.next(version, IN_FORCE, ms(at * 100)) == ConfigSource::Newest
    });
    assert!((2..=4).contains(&newest.count()));
}
