//! Number of calls to the platform's store from a system of hundreds of entry VMs.

mod support;

use std::{collections::HashSet, time::Duration};

use quincevalve_forwarding::{
    peer_table::{PeerTable, VmDescriptor},
    store_pacing::{ConfigSource, MissingConfig, StoreReadRole},
};
use quincevalve_names::TimePoint;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{millis, ms};

const VMS: usize = 300;
const CENTRES: usize = 6;
const IN_FORCE: Duration = Duration::from_secs(4);

fn descriptor(at: usize) -> VmDescriptor {
    VmDescriptor {
        name: format!("vm-{at}"),
        address: ([10, 0, (at / 200) as u8, (at % 200) as u8], 7600).into(),
        data_centre: ["a", "b", "c", "d", "e", "f"][at % CENTRES].into(),
        cpu: if at < 3 * CENTRES { 500 } else { 120 },
    }
}

fn table(me: usize) -> PeerTable {
    let mut table = PeerTable::new(descriptor(me));
    table.replace_all((0..VMS).map(descriptor).collect());
    table
}

fn vms_with_role(role: StoreReadRole) -> Vec<usize> {
    (0..VMS).filter(|me| table(*me).store_read_role(false, ms(0)) == role).collect()
}

/// Returns the number of calls in an outage that begins at 0, when all VMs have just had a freshness confirmation.
fn calls_in_outage(role: StoreReadRole, vms: usize, length: Duration) -> usize {
    let calls = |_| {
        let mut at = ms(0) + role.max_confirmation_age(IN_FORCE);
        let mut failures = 0;
        while at < ms(0) + length {
            failures += 1;
            at = at + role.pause_after_failures(failures, false);
        }
        failures as usize
    };
    (0..vms).map(calls).sum()
}

#[test]
fn two_collectors_of_a_large_system_read_the_store_and_the_others_are_standbys() {
    let readers = vms_with_role(StoreReadRole::Reader);
    assert_eq!(readers.len(), 2);
    let centres: HashSet<_> = readers.iter().map(|it| it % CENTRES).collect();
    assert_eq!(centres.len(), 2, "a data centre that is cut off contains only one reader");
    assert_eq!(vms_with_role(StoreReadRole::Standby).len(), CENTRES - 2);
    let relays = (0..VMS).filter(|me| table(*me).relays_store(false, ms(0))).count();
    assert_eq!(relays, CENTRES);
}

// When both readers fail, requests are rejected once the freshness confirmations expire. The standby collectors observe
// that the readers are silent, and become readers in time.
#[test]
fn standbys_replace_silent_readers() {
    let readers = vms_with_role(StoreReadRole::Reader);
    let next = vms_with_role(StoreReadRole::Standby).into_iter().filter(|me| {
        let mut table = table(*me);
        for reader in &readers {
            table.record_datagram_sent(descriptor(*reader).address, ms(0));
        }
        table.store_read_role(false, ms(500)) == StoreReadRole::Standby
            && table.store_read_role(false, ms(900)) == StoreReadRole::Reader
    });
    assert!((1..=2).contains(&next.count()));
}

// When the duty holder fails, all VMs observe it at the same time. A takeover attempt costs three calls; the store
// would be overloaded if all 300 VMs attempted it within the half second before they learn of the new holder.
#[test]
fn only_collectors_attempt_a_duty_takeover_at_once() {
    let collectors = CENTRES;
    let at_once = (0..VMS)
        .filter(|me| {
            table(*me).store_read_role(false, ms(0)).duty_takeover_delay(VMS, 0.0).is_zero()
        })
        .count();
    assert_eq!(at_once, collectors);
}

// If no collector reaches the store, one of the followers takes the duties over within seconds, and only about twenty
// of hundreds attempt it before they learn of the new holder.
#[test]
fn followers_attempt_a_duty_takeover_one_after_the_other() {
    let known_after = millis(500);
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut draw = || StoreReadRole::Follower.duty_takeover_delay(VMS, rng.random());
        let mut attempts: Vec<_> = (0..VMS).map(|_| draw()).collect();
        attempts.sort();
        assert!(attempts[0] >= millis(1_500) && attempts[0] <= millis(2_500), "{:?}", attempts[0]);
        let started = attempts.iter().filter(|it| **it < attempts[0] + known_after).count();
        assert!(started <= 40, "{started}");
    }
}

// In an outage of the store of 4.5 seconds, collectors continue to call it, and the 49 followers of a data centre call
// it less often.
#[test]
fn followers_call_an_unreachable_store_less_often_than_collectors() {
    let length = millis(4_500);
    let followers = calls_in_outage(StoreReadRole::Follower, VMS - CENTRES, length);
    assert!(followers <= 2 * VMS, "{followers}");
    let collector = calls_in_outage(StoreReadRole::Standby, 1, length);
    assert!(collector >= 4, "collectors detect the end of the outage: {collector}");
}

// When an API key is revoked, all VMs lack the new configuration. A stale read returns it to half of them; the others
// get it from peers before they need a consistent read, and none of them waits for long if peers don't send it.
#[test]
fn reads_a_missing_configuration_consistently_after_one_second() {
    let mut missing = MissingConfig::new(7, ms(0));
    let mut read_at = None;
    let mut stale_reads = 0;
    for at in (0..4_000).step_by(100) {
        match missing.next_source(7, IN_FORCE, ms(at)) {
            ConfigSource::StaleRead => stale_reads += 1,
            ConfigSource::Peers => {}
            ConfigSource::ConsistentRead => read_at = read_at.or(Some(ms(at))),
        }
    }
    assert_eq!(stale_reads, 1);
    let read_at: TimePoint = read_at.expect("a consistent read is requested");
    assert!(read_at >= ms(1_000) && read_at <= ms(2_000), "{read_at:?}");
}

// New configurations arrive three times a second, and no stale read returns the newest. A VM that postponed the
// consistent read with each of them would serve the first configuration for as long as that continues.
#[test]
fn configurations_in_quick_succession_do_not_postpone_a_consistent_read() {
    let mut missing = MissingConfig::new(1, ms(0));
    let consistent_reads = (0..40).filter(|at| {
        let version = 1 + at / 3;
        missing.next_source(version, IN_FORCE, ms(at * 100)) == ConfigSource::ConsistentRead
    });
    assert!((2..=4).contains(&consistent_reads.count()));
}
