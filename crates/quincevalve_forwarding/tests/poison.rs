//! Which requests are quarantined, when and for how long.

use std::time::Duration;

use quincevalve_forwarding::{
    poison::{ExitPattern, PoisonGuard, PoisonMessage, QuarantineEntry, SendDecision, arbiters},
    request_digest::RequestDigest,
};
use quincevalve_names::TimePoint;

const POISON: RequestDigest = RequestDigest(0xbad);
const OTHER: RequestDigest = RequestDigest(0x900d);
/// Number of VMs of a system that isn't small.
const MANY_VMS: usize = 40;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|it| format!("vm-{it}")).collect()
}

/// One VM whose messages the test sends and receives in virtual time.
struct TestVm {
    guard: PoisonGuard,
    names: Vec<String>,
    connected_fraction: f64,
}

impl TestVm {
    /// Creates the arbiter of the given rank for the poison request, among `count` VMs.
    fn arbiter(rank: usize, count: usize) -> Self {
        let names = names(count);
        let refs: Vec<&str> = names.iter().map(String::as_str).collect();
        let guard = PoisonGuard::new(arbiters(POISON, &refs)[rank]);
        Self { guard, names, connected_fraction: 1.0 }
    }

    fn receive_exits(&mut self, digest: RequestDigest, servers: &[(u64, u64)]) {
        for (server, millis) in servers {
            let message = PoisonMessage::Exited { digest, server: *server };
            self.guard.receive("vm-x", message, at(*millis));
        }
    }

    fn receive(&mut self, message: PoisonMessage, millis: u64) {
        self.guard.receive("vm-x", message, at(millis));
    }

    /// Runs a tick at that time and returns the messages to send.
    fn tick(&mut self, millis: u64) -> Vec<(String, PoisonMessage)> {
        let refs: Vec<&str> = self.names.iter().map(String::as_str).collect();
        self.guard.tick(&refs, self.connected_fraction, at(millis))
    }

    /// Returns the time after `from` at which it quarantines a request, and the exit pattern. Ticks every 10 ms for ten
    /// seconds.
    fn time_to_quarantine(&mut self, from: u64) -> Option<(u64, ExitPattern)> {
        (0..1_000).map(|it| from + it * 10).find_map(|millis| {
            self.tick(millis);
            let exits = self.guard.take_unwritten().into_iter().next()?.exits;
            Some((millis - from, exits))
        })
    }

    fn count_inquiries(&mut self, millis: u64) -> usize {
        let messages = self.tick(millis);
        messages.iter().filter(|(_, it)| matches!(it, PoisonMessage::Inquiry { .. })).count()
    }
}

const SEPARATE: [(u64, u64); 3] = [(1, 0), (2, 400), (3, 800)];
const TOGETHER: [(u64, u64); 3] = [(1, 0), (2, 100), (3, 250)];

fn inquiry(digest: RequestDigest, servers: &[(u64, u64)]) -> PoisonMessage {
    let mut arbiter = TestVm::arbiter(0, 3);
    arbiter.receive_exits(digest, servers);
    let messages = arbiter.tick(servers[servers.len() - 1].1);
    let mut messages = messages.into_iter().map(|(_, it)| it);
    messages.find(|it| matches!(it, PoisonMessage::Inquiry { .. })).expect("an inquiry")
}

fn quarantined(digest: RequestDigest, servers: &[(u64, u64)]) -> PoisonMessage {
    match inquiry(digest, servers) {
        PoisonMessage::Inquiry { digest, servers } => {
            PoisonMessage::Quarantined { digest, servers }
        }
        other => other,
    }
}

#[test]
fn two_exits_do_not_quarantine_a_request() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &SEPARATE[..2]);
    assert_eq!(arbiter.time_to_quarantine(800), None);
}

#[test]
fn three_exits_lead_to_an_inquiry_and_then_a_quarantine() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &SEPARATE);
    assert_eq!(arbiter.count_inquiries(800), MANY_VMS - 1);
    assert_eq!(arbiter.time_to_quarantine(800), Some((220, ExitPattern::Separate)));
    let messages = arbiter.tick(1_100);
    let verdicts =
        messages.iter().filter(|(_, it)| matches!(it, PoisonMessage::Quarantined { .. }));
    assert_eq!(verdicts.count(), MANY_VMS - 1);
    assert!(matches!(
        arbiter.guard.send_decision(POISON, at(1_100), None),
        SendDecision::Quarantined(_)
    ));
}

// VMs that lose the first inquiries would never answer: the inquiry is repeated while there is time for an answer.
#[test]
fn an_inquiry_is_repeated_until_an_answer_would_be_late() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &TOGETHER);
    let inquiry_times =
        (0..200).map(|it| 250 + it * 10).filter(|it| arbiter.count_inquiries(*it) > 0);
    assert_eq!(inquiry_times.collect::<Vec<_>>(), [250, 320, 390, 1_000]);
}

// Several VMs may have had a copy on the server that exited, and each reports it several times: it counts as one exit.
#[test]
fn each_server_counts_once_when_reported_repeatedly() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &[(1, 0), (1, 400), (2, 800), (2, 1_200), (1, 1_600)]);
    assert_eq!(arbiter.time_to_quarantine(1_600), None);
}

// Copies of a request that has just become popular run in a rack that loses power. The longer inquiry gives the next
// run time to complete before the decision.
#[test]
fn an_inquiry_takes_longer_when_exits_belong_to_one_event() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &TOGETHER);
    assert_eq!(arbiter.time_to_quarantine(250), Some((1_500, ExitPattern::Together)));
}

#[test]
fn a_completion_elsewhere_clears_the_request_for_two_minutes() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &SEPARATE);
    arbiter.tick(800);
    arbiter.receive(PoisonMessage::Completed(POISON), 900);
    assert_eq!(arbiter.time_to_quarantine(900), None);
    let servers = SEPARATE.map(|(server, millis)| (server + 10, millis + 12_000));
    arbiter.receive_exits(POISON, &servers);
    assert_eq!(arbiter.time_to_quarantine(12_800), None);
    let later = SEPARATE.map(|(server, millis)| (server + 20, millis + 130_000));
    arbiter.receive_exits(POISON, &later);
    assert_eq!(arbiter.time_to_quarantine(130_800), Some((220, ExitPattern::Separate)));
}

#[test]
fn an_arbiter_does_not_inquire_about_a_request_that_completed_there() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.guard.record_completion(POISON, at(0));
    arbiter.receive_exits(POISON, &SEPARATE);
    assert_eq!(arbiter.count_inquiries(800), 0);
    assert_eq!(arbiter.time_to_quarantine(800), None);
}

#[test]
fn a_vm_answers_an_inquiry_for_two_minutes_after_a_completion() {
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    vm.guard.record_completion(POISON, at(0));
    vm.receive(inquiry(POISON, &SEPARATE), 119_000);
    assert_eq!(vm.tick(119_000), [("vm-x".to_owned(), PoisonMessage::Completed(POISON))]);
    // A completion older than two minutes doesn't count.
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    vm.guard.record_completion(POISON, at(0));
    vm.receive(inquiry(POISON, &SEPARATE), 121_000);
    assert_eq!(vm.tick(121_000), []);
}

#[test]
fn a_later_completion_answers_an_inquiry_while_the_arbiter_waits() {
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    vm.receive(inquiry(POISON, &SEPARATE), 0);
    assert!(vm.tick(0).is_empty());
    vm.guard.record_completion(POISON, at(1_000));
    let messages = vm.tick(1_000);
    let refs: Vec<&str> = vm.names.iter().map(String::as_str).collect();
    let to: Vec<&str> = messages.iter().map(|(to, _)| to.as_str()).collect();
    // The third arbiter is this VM itself.
    assert_eq!(to, arbiters(POISON, &refs)[..2]);
    // The arbiter decides a second and a half after its inquiry.
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    vm.receive(inquiry(POISON, &SEPARATE), 0);
    vm.guard.record_completion(POISON, at(1_500));
    assert!(vm.tick(1_500).is_empty());
}

#[test]
fn a_second_inquiry_does_not_replace_the_first() {
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    vm.receive(inquiry(POISON, &SEPARATE), 0);
    vm.receive(inquiry(OTHER, &TOGETHER), 100);
    vm.guard.record_completion(POISON, at(200));
    assert!(!vm.tick(200).is_empty());
}

#[test]
fn exits_under_a_request_that_completed_here_are_not_reported() {
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    vm.guard.record_completion(POISON, at(0));
    vm.guard.record_server_exit(POISON, 1, at(10));
    assert!(vm.tick(10).is_empty());
    vm.guard.record_server_exit(OTHER, 1, at(20));
    assert_eq!(vm.tick(20).len(), 3);
}

// The first arbiter, or the first two, may be down: the next one decides after its delay.
#[test]
fn the_next_arbiter_decides_after_its_delay() {
    for (rank, delay) in [(1, 250), (2, 500)] {
        let mut arbiter = TestVm::arbiter(rank, MANY_VMS);
        arbiter.receive_exits(POISON, &SEPARATE);
        assert_eq!(arbiter.count_inquiries(800 + delay - 10), 0);
        assert_eq!(arbiter.count_inquiries(800 + delay), MANY_VMS - 1);
        assert_eq!(arbiter.time_to_quarantine(800 + delay), Some((220, ExitPattern::Separate)));
    }
}

#[test]
fn all_arbiters_of_a_small_system_inquire_at_once() {
    let mut arbiter = TestVm::arbiter(2, 8);
    arbiter.receive_exits(POISON, &SEPARATE);
    assert_eq!(arbiter.count_inquiries(800), 7);
    assert_eq!(arbiter.time_to_quarantine(800), Some((720, ExitPattern::Separate)));
}

#[test]
fn a_quarantine_by_another_arbiter_ends_the_case() {
    let mut arbiter = TestVm::arbiter(1, MANY_VMS);
    arbiter.receive_exits(POISON, &SEPARATE);
    arbiter.receive(quarantined(POISON, &SEPARATE), 1_000);
    assert_eq!(arbiter.time_to_quarantine(1_000), None);
}

#[test]
fn a_stored_entry_ends_the_case() {
    let mut arbiter = TestVm::arbiter(1, MANY_VMS);
    arbiter.receive_exits(POISON, &SEPARATE);
    arbiter.guard.apply_entry(POISON, QuarantineEntry::first(ExitPattern::Separate, 0));
    assert_eq!(arbiter.time_to_quarantine(1_000), None);
}

// A popular request ran on the three servers that another request crashed, and both would be quarantined. Only one of
// them ran on the fourth.
#[test]
fn two_requests_on_the_same_servers_are_not_quarantined_until_another_exit() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &SEPARATE);
    arbiter.tick(800);
    arbiter.receive(inquiry(OTHER, &SEPARATE), 850);
    assert_eq!(arbiter.time_to_quarantine(850), None);
    arbiter.receive_exits(POISON, &[(4, 11_200)]);
    assert_eq!(arbiter.time_to_quarantine(11_200), Some((220, ExitPattern::Separate)));
}

// Two poison requests that share a prompt are placed on the same servers each time, so that no exit distinguishes them.
#[test]
fn two_poison_requests_on_the_same_servers_are_quarantined_after_five_exits() {
    let servers: Vec<(u64, u64)> = (1..6).map(|it| (it, it * 1_000)).collect();
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    for exits in 3..=5 {
        let now = servers[exits - 1].1;
        arbiter.receive_exits(POISON, &servers[..exits]);
        arbiter.tick(now);
        arbiter.receive(inquiry(OTHER, &servers[..exits]), now + 50);
        let decided = arbiter.time_to_quarantine(now + 100);
        assert_eq!(decided.is_some(), exits == 5, "after {exits} exits");
    }
}

#[test]
fn a_completion_here_clears_the_case() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &SEPARATE[..2]);
    arbiter.guard.record_completion(POISON, at(500));
    arbiter.receive_exits(POISON, &[(3, 121_000)]);
    assert_eq!(arbiter.time_to_quarantine(121_000), None);
}

#[test]
fn an_inquiry_about_other_servers_does_not_delay_a_decision() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &SEPARATE);
    arbiter.tick(800);
    arbiter.receive(inquiry(OTHER, &[(1, 0), (2, 400), (7, 800)]), 850);
    assert_eq!(arbiter.time_to_quarantine(800), Some((220, ExitPattern::Separate)));
}

// One exit of four is attributed to another request; three remain.
#[test]
fn exits_that_no_other_request_explains_still_count() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &[(9, 0)]);
    arbiter.receive_exits(POISON, &SEPARATE.map(|(server, millis)| (server, millis + 400)));
    arbiter.tick(1_200);
    arbiter.receive(quarantined(OTHER, &[(9, 0), (10, 400), (11, 800)]), 1_300);
    assert_eq!(arbiter.time_to_quarantine(1_300), Some((120, ExitPattern::Separate)));
}

// An inquiry about another request only concerns suspects, and this request isn't one yet.
#[test]
fn an_inquiry_about_another_request_before_the_third_exit_changes_nothing() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &SEPARATE[..1]);
    assert!(!arbiter.guard.is_due(at(0)));
    arbiter.receive(inquiry(OTHER, &SEPARATE), 100);
    arbiter.receive_exits(POISON, &SEPARATE[1..2]);
    assert_eq!(arbiter.time_to_quarantine(400), None);
}

#[test]
fn exits_attributed_to_a_quarantined_request_do_not_count() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &SEPARATE);
    arbiter.tick(800);
    arbiter.receive(quarantined(OTHER, &SEPARATE), 900);
    assert_eq!(arbiter.time_to_quarantine(900), None);
    arbiter.receive_exits(POISON, &[(4, 11_000), (5, 11_400)]);
    assert_eq!(arbiter.time_to_quarantine(11_400), None);
}

#[test]
fn an_arbiter_connected_to_half_of_the_vms_decides_once_connected_to_most() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.connected_fraction = 0.5;
    arbiter.receive_exits(POISON, &SEPARATE);
    assert_eq!(arbiter.time_to_quarantine(800), None);
    arbiter.connected_fraction = 0.95;
    assert_eq!(arbiter.time_to_quarantine(20_000), Some((220, ExitPattern::Separate)));
}

// Callers repeat a request at a VM that is partitioned from all others, and no other VM observes the exits. The VM
// blocks the request locally and doesn't quarantine it before it can ask the others.
#[test]
fn a_partitioned_vm_blocks_a_request_by_exits_that_it_observed() {
    let is_blocked = |vm: &TestVm, millis| {
        vm.guard.send_decision(OTHER, at(millis), Some(0)) != SendDecision::Allowed
    };
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    vm.connected_fraction = 0.5;
    for (server, millis) in SEPARATE {
        vm.guard.record_server_exit(OTHER, server, at(millis));
    }
    assert_eq!(vm.time_to_quarantine(800), None);
    assert!(is_blocked(&vm, 10_800));
    // Most VMs are connected again, and the request completed at one of them.
    vm.connected_fraction = 1.0;
    vm.tick(11_000);
    assert_eq!(vm.count_inquiries(11_750), MANY_VMS - 1);
    vm.receive(PoisonMessage::Completed(OTHER), 11_800);
    assert_eq!(vm.time_to_quarantine(11_800), None);
    assert!(!is_blocked(&vm, 11_800));
    assert!(!vm.guard.has_quarantined());
    // The request completed nowhere.
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    vm.connected_fraction = 0.5;
    for (server, millis) in SEPARATE {
        vm.guard.record_server_exit(OTHER, server, at(millis));
    }
    vm.tick(800);
    vm.connected_fraction = 1.0;
    assert_eq!(vm.time_to_quarantine(1_000), Some((750 + 220, ExitPattern::Separate)));
}

#[test]
fn a_partitioned_vm_does_not_block_a_request_by_exits_that_others_report() {
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    vm.connected_fraction = 0.5;
    vm.guard.record_server_exit(OTHER, 1, at(0));
    vm.guard.record_server_exit(OTHER, 2, at(400));
    vm.receive_exits(OTHER, &[(3, 800)]);
    vm.tick(900);
    assert_eq!(vm.guard.send_decision(OTHER, at(900), Some(0)), SendDecision::Allowed);
    // An exit that was reported before this VM observed it counts as its own too.
    vm.guard.record_server_exit(OTHER, 3, at(1_000));
    vm.tick(1_000);
    assert_ne!(vm.guard.send_decision(OTHER, at(1_000), Some(0)), SendDecision::Allowed);
}

#[test]
fn exits_here_under_a_quarantined_request_are_not_reported() {
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    vm.guard.apply_entry(OTHER, QuarantineEntry::first(ExitPattern::Separate, 0));
    vm.guard.record_server_exit(OTHER, 1, at(0));
    assert!(vm.tick(0).is_empty());
}

// VMs that aren't connected can't be asked whether the request completed there.
#[test]
fn an_arbiter_that_lacks_more_than_a_tenth_of_the_vms_needs_one_more_exit() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.connected_fraction = 0.89;
    arbiter.receive_exits(POISON, &SEPARATE);
    assert_eq!(arbiter.time_to_quarantine(800), None);
    arbiter.receive_exits(POISON, &[(4, 11_000)]);
    assert_eq!(arbiter.time_to_quarantine(11_000), Some((220, ExitPattern::Separate)));
}

#[test]
fn an_arbiter_that_lacks_a_tenth_of_the_vms_needs_no_more_exits() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.connected_fraction = 0.9;
    arbiter.receive_exits(POISON, &SEPARATE);
    assert_eq!(arbiter.time_to_quarantine(800), Some((220, ExitPattern::Separate)));
}

#[test]
fn an_exit_counts_against_a_request_for_an_hour() {
    let hour = 3_600_000;
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &[(1, 0), (2, 400), (3, hour + 100)]);
    assert_eq!(arbiter.time_to_quarantine(hour + 100), None);
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &[(1, 0), (2, 400), (3, hour)]);
    assert_eq!(arbiter.time_to_quarantine(hour), Some((220, ExitPattern::Separate)));
}

#[test]
fn the_oldest_case_is_dropped_when_there_are_too_many() {
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &SEPARATE[..2]);
    for other in 0..4_095 {
        arbiter.receive_exits(RequestDigest(1 << 32 | other), &[(9, 500)]);
    }
    arbiter.receive_exits(POISON, &SEPARATE[2..]);
    assert_eq!(arbiter.time_to_quarantine(800), Some((220, ExitPattern::Separate)));
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &SEPARATE[..2]);
    for other in 0..4_096 {
        arbiter.receive_exits(RequestDigest(1 << 32 | other), &[(9, 500)]);
    }
    arbiter.receive_exits(POISON, &SEPARATE[2..]);
    assert_eq!(arbiter.time_to_quarantine(800), None);
}

#[test]
fn the_oldest_completion_is_dropped_when_there_are_too_many() {
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    vm.guard.record_completion(POISON, at(0));
    for other in 0..8_192 {
        vm.guard.record_completion(RequestDigest(1 << 32 | other), at(1));
    }
    vm.receive(inquiry(POISON, &SEPARATE), 2);
    assert!(vm.tick(2).is_empty());
    vm.receive(inquiry(RequestDigest(1 << 32), &SEPARATE), 2);
    assert_eq!(vm.tick(2).len(), 1);
}

// The expiry of an older completion must not remove a newer one of the same request.
#[test]
fn a_newer_completion_extends_the_protection() {
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    vm.guard.record_completion(POISON, at(0));
    vm.guard.record_completion(POISON, at(100_000));
    vm.guard.record_completion(OTHER, at(150_000));
    vm.receive(inquiry(POISON, &SEPARATE), 200_000);
    assert_eq!(vm.tick(200_000).len(), 1);
}

#[test]
fn the_report_of_an_exit_is_repeated_for_five_seconds() {
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    vm.guard.record_server_exit(OTHER, 1, at(0));
    let messages: Vec<u64> =
        (0..1_000).map(|it| it * 10).filter(|it| !vm.tick(*it).is_empty()).collect();
    assert_eq!(messages, [0, 150, 400, 1_500, 5_000]);
}

#[test]
fn the_number_of_queued_messages_is_bounded() {
    let mut vm = TestVm { guard: PoisonGuard::new("vm-x"), ..TestVm::arbiter(2, MANY_VMS) };
    for server in 0..2_000 {
        vm.guard.record_server_exit(RequestDigest(server), server, at(0));
    }
    let messages: usize = [0, 150, 400, 1_500, 5_000].map(|it| vm.tick(it).len()).iter().sum();
    // Three arbiters for each.
    assert_eq!(messages, 4_096 * 3);
}

#[test]
fn is_due_only_when_a_message_or_decision_is_due() {
    let mut vm = TestVm::arbiter(0, MANY_VMS);
    assert!(!vm.guard.is_due(at(0)));
    vm.guard.record_server_exit(OTHER, 1, at(0));
    assert!(vm.guard.is_due(at(0)));
    vm.tick(0);
    assert!(!vm.guard.is_due(at(100)));
    assert!(vm.guard.is_due(at(150)));
    let mut arbiter = TestVm::arbiter(0, MANY_VMS);
    arbiter.receive_exits(POISON, &SEPARATE);
    assert!(arbiter.guard.is_due(at(800)));
}

#[test]
fn a_reported_quarantine_lasts_for_a_minute() {
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    vm.receive(quarantined(POISON, &SEPARATE), 0);
    assert!(vm.guard.has_quarantined());
    let decision = |vm: &TestVm, millis| vm.guard.send_decision(POISON, at(millis), Some(0));
    assert_eq!(decision(&vm, 10_000), SendDecision::Quarantined(Duration::from_secs(50)));
    assert_eq!(decision(&vm, 60_000), SendDecision::Allowed);
    assert!(vm.guard.record_completion(POISON, at(59_999)));
    assert!(!vm.guard.record_completion(POISON, at(60_000)));
    assert_eq!(vm.guard.send_decision(OTHER, at(10_000), Some(0)), SendDecision::Allowed);
}

#[test]
fn a_stored_entry_quarantines_until_its_trial() {
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    vm.receive(quarantined(POISON, &SEPARATE), 0);
    vm.guard.apply_entry(POISON, QuarantineEntry::first(ExitPattern::Separate, 1_000));
    let decision =
        |vm: &TestVm, wall_clock_ms| vm.guard.send_decision(POISON, at(100), Some(wall_clock_ms));
    assert_eq!(decision(&vm, 1_000), SendDecision::Quarantined(Duration::from_secs(30)));
    assert_eq!(decision(&vm, 30_999), SendDecision::Quarantined(Duration::from_millis(1)));
    assert_eq!(decision(&vm, 31_000), SendDecision::TrialDue);
    assert_eq!(
        vm.guard.send_decision(POISON, at(100), None),
        SendDecision::Quarantined(Duration::from_secs(1))
    );
    vm.guard.record_trial_request(POISON, at(100));
    assert_eq!(decision(&vm, 31_000), SendDecision::Quarantined(Duration::from_secs(1)));
    assert_eq!(vm.guard.send_decision(POISON, at(1_100), Some(32_000)), SendDecision::TrialDue);
}

#[test]
fn quarantine_periods_grow_with_each_trial() {
    let first = QuarantineEntry::first(ExitPattern::Together, 0);
    assert_eq!(first.until_ms, 1_000);
    let first = QuarantineEntry::first(ExitPattern::Separate, 0);
    assert_eq!((first.trials, first.until_ms), (0, 30_000));
    let mut entry = first;
    let mut periods = Vec::new();
    for _ in 0..4 {
        let now = entry.until_ms;
        assert_eq!(entry.next_trial(now - 1), None);
        entry = entry.next_trial(now).expect("a trial");
        periods.push((entry.trials, entry.until_ms - now));
    }
    let day = 24 * 3_600_000;
    assert_eq!(periods, [(1, 300_000), (2, 3_600_000), (3, day), (4, day)]);
}

#[test]
fn a_lifted_quarantine_leaves_no_state_behind() {
    let mut vm = TestVm::arbiter(0, MANY_VMS);
    vm.receive_exits(POISON, &SEPARATE);
    assert!(vm.time_to_quarantine(800).is_some());
    assert!(vm.guard.record_completion(POISON, at(2_000)), "the quarantine has to be lifted");
    vm.guard.remove_entry(POISON, at(2_000));
    assert_eq!(vm.guard.send_decision(POISON, at(2_000), Some(0)), SendDecision::Allowed);
    assert!(!vm.guard.has_quarantined());
    assert!(!vm.guard.record_completion(POISON, at(2_001)));
    // Three new exits are needed, and suffice once the completion has expired.
    let later = SEPARATE.map(|(server, millis)| (server + 10, millis + 200_000));
    vm.receive_exits(POISON, &later[..2]);
    assert_eq!(vm.time_to_quarantine(200_400), None);
    vm.receive_exits(POISON, &[(19, 211_000)]);
    assert_eq!(vm.time_to_quarantine(211_000), Some((220, ExitPattern::Separate)));
}

// The last datagram that reports a quarantine may arrive after that was lifted, and would block an innocent request.
#[test]
fn a_stale_report_does_not_restore_a_lifted_quarantine() {
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    vm.guard.apply_entry(POISON, QuarantineEntry::first(ExitPattern::Separate, 0));
    vm.guard.remove_entry(POISON, at(100));
    vm.receive(quarantined(POISON, &SEPARATE), 2_000);
    assert_eq!(vm.guard.send_decision(POISON, at(2_000), Some(0)), SendDecision::Allowed);
    vm.receive(quarantined(POISON, &SEPARATE), 2_100);
    assert_ne!(vm.guard.send_decision(POISON, at(2_100), Some(0)), SendDecision::Allowed);
}

// Recording the state of one request must not drop that of another.
#[test]
fn each_of_two_requests_expires_on_its_own() {
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    let is_blocked = |vm: &TestVm, digest, millis| {
        vm.guard.send_decision(digest, at(millis), Some(i64::MAX)) != SendDecision::Allowed
    };
    vm.receive(quarantined(POISON, &SEPARATE), 0);
    vm.receive(quarantined(OTHER, &SEPARATE), 100);
    assert!(is_blocked(&vm, POISON, 200) && is_blocked(&vm, OTHER, 200));
    vm.guard.remove_entry(POISON, at(200));
    vm.guard.remove_entry(OTHER, at(300));
    vm.receive(quarantined(POISON, &SEPARATE), 400);
    assert!(!is_blocked(&vm, POISON, 400) && !is_blocked(&vm, OTHER, 400));
    for digest in [POISON, OTHER] {
        vm.guard.apply_entry(digest, QuarantineEntry::first(ExitPattern::Separate, 0));
        vm.guard.record_trial_request(digest, at(500));
    }
    let decision = |digest| vm.guard.send_decision(digest, at(600), Some(40_000));
    assert_eq!(decision(POISON), SendDecision::Quarantined(Duration::from_millis(900)));
    assert_eq!(decision(OTHER), SendDecision::Quarantined(Duration::from_millis(900)));
}

#[test]
fn reports_beyond_the_maximum_are_ignored() {
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    for digest in 0..1_025 {
        vm.receive(quarantined(RequestDigest(digest), &SEPARATE), 0);
    }
    let is_blocked = |digest| {
        vm.guard.send_decision(RequestDigest(digest), at(1), None) != SendDecision::Allowed
    };
    assert!(is_blocked(1_023) && !is_blocked(1_024));
}

#[test]
fn exits_under_a_quarantined_request_are_not_counted() {
    let mut vm = TestVm::arbiter(0, MANY_VMS);
    vm.guard.apply_entry(POISON, QuarantineEntry::first(ExitPattern::Separate, 0));
    vm.receive_exits(POISON, &SEPARATE);
    assert_eq!(vm.time_to_quarantine(800), None);
}

#[test]
fn a_complete_list_replaces_earlier_entries() {
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    let entry = QuarantineEntry::first(ExitPattern::Separate, 0);
    vm.guard.apply_entry(POISON, entry);
    vm.guard.replace_all([(OTHER, entry)], [], at(0));
    assert_eq!(vm.guard.stored_entries().collect::<Vec<_>>(), [(OTHER, entry)]);
    assert_eq!(vm.guard.send_decision(POISON, at(0), Some(0)), SendDecision::Allowed);
}

#[test]
fn the_oldest_entry_is_dropped_when_there_are_too_many() {
    let mut vm = TestVm::arbiter(2, MANY_VMS);
    let entry = QuarantineEntry::first(ExitPattern::Separate, 0);
    for digest in 0..1_025 {
        vm.guard.apply_entry(RequestDigest(digest), entry);
    }
    assert_eq!(vm.guard.stored_entries().count(), 1_024);
    assert_eq!(vm.guard.send_decision(RequestDigest(0), at(0), Some(0)), SendDecision::Allowed);
    assert_ne!(vm.guard.send_decision(RequestDigest(1), at(0), Some(0)), SendDecision::Allowed);
}
