//! When a request is kept from servers, and for how long.

use std::time::Duration;

use quincevalve_forwarding::{
    poison::{ExitPattern, PoisonGuard, PoisonMessage, QuarantineEntry, SendDecision, arbiters},
    request_digest::RequestDigest,
};
use quincevalve_names::TimePoint;

const POISON: RequestDigest = RequestDigest(0xbad);
const OTHER: RequestDigest = RequestDigest(0x900d);
/// More VMs than those of a small system.
const MANY: usize = 40;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|it| format!("vm-{it}")).collect()
}

/// One VM that tells and hears in virtual time.
struct Alone {
    guard: PoisonGuard,
    names: Vec<String>,
    heard_part: f64,
}

impl Alone {
    /// The arbiter of that rank for the poison request, among so many VMs.
    fn arbiter(rank: usize, count: usize) -> Self {
        let names = names(count);
        let refs: Vec<&str> = names.iter().map(String::as_str).collect();
        let guard = PoisonGuard::new(arbiters(POISON, &refs)[rank]);
        Self { guard, names, heard_part: 1.0 }
    }

    fn exits(&mut self, digest: RequestDigest, servers: &[(u64, u64)]) {
        for (server, millis) in servers {
            let message = PoisonMessage::Exited { digest, server: *server };
            self.guard.receive("vm-x", message, at(*millis));
        }
    }

    fn hear(&mut self, message: PoisonMessage, millis: u64) {
        self.guard.receive("vm-x", message, at(millis));
    }

    /// What it tells at that time.
    fn tick(&mut self, millis: u64) -> Vec<(String, PoisonMessage)> {
        let refs: Vec<&str> = self.names.iter().map(String::as_str).collect();
        self.guard.tick(&refs, self.heard_part, at(millis))
    }

    /// The time from `from` at which it decides, and how; looks each 10 ms for ten seconds.
    fn decides(&mut self, from: u64) -> Option<(u64, ExitPattern)> {
        (0..1_000).map(|it| from + it * 10).find_map(|millis| {
            self.tick(millis);
            let (_, exits) = self.guard.take_unwritten().into_iter().next()?;
            Some((millis - from, exits))
        })
    }

    fn inquiries(&mut self, millis: u64) -> usize {
        let told = self.tick(millis);
        told.iter().filter(|(_, it)| matches!(it, PoisonMessage::Inquiry { .. })).count()
    }
}

const SEPARATE: [(u64, u64); 3] = [(1, 0), (2, 400), (3, 800)];
const TOGETHER: [(u64, u64); 3] = [(1, 0), (2, 100), (3, 250)];

fn inquiry(digest: RequestDigest, servers: &[(u64, u64)]) -> PoisonMessage {
    let mut arbiter = Alone::arbiter(0, 3);
    arbiter.exits(digest, servers);
    let told = arbiter.tick(servers[servers.len() - 1].1);
    let mut told = told.into_iter().map(|(_, it)| it);
    told.find(|it| matches!(it, PoisonMessage::Inquiry { .. })).expect("an inquiry")
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
fn two_exits_are_bad_luck() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &SEPARATE[..2]);
    assert_eq!(arbiter.decides(800), None);
}

#[test]
fn after_three_exits_all_are_asked_and_then_told() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &SEPARATE);
    assert_eq!(arbiter.inquiries(800), MANY - 1);
    assert_eq!(arbiter.decides(800), Some((220, ExitPattern::Separate)));
    let told = arbiter.tick(1_100);
    let verdicts = told.iter().filter(|(_, it)| matches!(it, PoisonMessage::Quarantined { .. }));
    assert_eq!(verdicts.count(), MANY - 1);
    assert!(matches!(
        arbiter.guard.send_decision(POISON, at(1_100), None),
        SendDecision::Quarantined(_)
    ));
}

// VMs that lose the first questions are asked again while there is time to answer.
#[test]
fn an_inquiry_is_repeated() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &TOGETHER);
    let asked = (0..200).map(|it| 250 + it * 10).filter(|it| arbiter.inquiries(*it) > 0);
    assert_eq!(asked.collect::<Vec<_>>(), [250, 320, 390, 1_000]);
}

// Each of a dozen VMs had a copy on the server that exited, and tells so three times: it is one exit.
#[test]
fn each_server_counts_once_whoever_tells() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &[(1, 0), (1, 400), (2, 800), (2, 1_200), (1, 1_600)]);
    assert_eq!(arbiter.decides(1_600), None);
}

// Copies of something that has just become popular run in a rack that loses power: there is time for the next run to end
// well before anything is decided.
#[test]
fn exits_of_one_event_are_inquired_for_longer() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &TOGETHER);
    assert_eq!(arbiter.decides(250), Some((1_500, ExitPattern::Together)));
}

#[test]
fn a_good_end_elsewhere_clears_the_request_for_a_while() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &SEPARATE);
    arbiter.tick(800);
    arbiter.hear(PoisonMessage::Completed(POISON), 900);
    assert_eq!(arbiter.decides(900), None);
    let servers = SEPARATE.map(|(server, millis)| (server + 10, millis + 12_000));
    arbiter.exits(POISON, &servers);
    assert_eq!(arbiter.decides(12_800), None);
    let later = SEPARATE.map(|(server, millis)| (server + 20, millis + 130_000));
    arbiter.exits(POISON, &later);
    assert_eq!(arbiter.decides(130_800), Some((220, ExitPattern::Separate)));
}

#[test]
fn an_arbiter_that_saw_a_good_end_itself_asks_nobody() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.guard.record_completion(POISON, at(0));
    arbiter.exits(POISON, &SEPARATE);
    assert_eq!(arbiter.inquiries(800), 0);
    assert_eq!(arbiter.decides(800), None);
}

#[test]
fn a_vm_answers_for_what_ended_well_there() {
    let mut vm = Alone::arbiter(2, MANY);
    vm.guard.record_completion(POISON, at(0));
    vm.hear(inquiry(POISON, &SEPARATE), 119_000);
    assert_eq!(vm.tick(119_000), [("vm-x".to_owned(), PoisonMessage::Completed(POISON))]);
    // A good end speaks for two minutes.
    let mut vm = Alone::arbiter(2, MANY);
    vm.guard.record_completion(POISON, at(0));
    vm.hear(inquiry(POISON, &SEPARATE), 121_000);
    assert_eq!(vm.tick(121_000), []);
}

#[test]
fn a_vm_that_was_asked_answers_when_it_ends_well() {
    let mut vm = Alone::arbiter(2, MANY);
    vm.hear(inquiry(POISON, &SEPARATE), 0);
    assert!(vm.tick(0).is_empty());
    vm.guard.record_completion(POISON, at(1_000));
    let told = vm.tick(1_000);
    let refs: Vec<&str> = vm.names.iter().map(String::as_str).collect();
    let to: Vec<&str> = told.iter().map(|(to, _)| to.as_str()).collect();
    // The third of them is this VM itself.
    assert_eq!(to, arbiters(POISON, &refs)[..2]);
    // The arbiter decides a second and a half after its question.
    let mut vm = Alone::arbiter(2, MANY);
    vm.hear(inquiry(POISON, &SEPARATE), 0);
    vm.guard.record_completion(POISON, at(1_500));
    assert!(vm.tick(1_500).is_empty());
}

#[test]
fn a_vm_answers_each_of_two_inquiries() {
    let mut vm = Alone::arbiter(2, MANY);
    vm.hear(inquiry(POISON, &SEPARATE), 0);
    vm.hear(inquiry(OTHER, &TOGETHER), 100);
    vm.guard.record_completion(POISON, at(200));
    assert!(!vm.tick(200).is_empty());
}

#[test]
fn nothing_is_reported_of_what_ended_well_here() {
    let mut vm = Alone::arbiter(2, MANY);
    vm.guard.record_completion(POISON, at(0));
    vm.guard.record_server_exit(POISON, 1, at(10));
    assert!(vm.tick(10).is_empty());
    vm.guard.record_server_exit(OTHER, 1, at(20));
    assert_eq!(vm.tick(20).len(), 3);
}

// The first arbiter is gone, and then the second too.
#[test]
fn the_next_arbiter_decides_in_its_turn() {
    for (rank, turn) in [(1, 250), (2, 500)] {
        let mut arbiter = Alone::arbiter(rank, MANY);
        arbiter.exits(POISON, &SEPARATE);
        assert_eq!(arbiter.inquiries(800 + turn - 10), 0);
        assert_eq!(arbiter.inquiries(800 + turn), MANY - 1);
        assert_eq!(arbiter.decides(800 + turn), Some((220, ExitPattern::Separate)));
    }
}

#[test]
fn in_a_small_system_all_arbiters_ask_at_once() {
    let mut arbiter = Alone::arbiter(2, 8);
    arbiter.exits(POISON, &SEPARATE);
    assert_eq!(arbiter.inquiries(800), 7);
    assert_eq!(arbiter.decides(800), Some((720, ExitPattern::Separate)));
}

#[test]
fn another_arbiters_verdict_ends_the_case() {
    let mut arbiter = Alone::arbiter(1, MANY);
    arbiter.exits(POISON, &SEPARATE);
    arbiter.hear(quarantined(POISON, &SEPARATE), 1_000);
    assert_eq!(arbiter.decides(1_000), None);
}

#[test]
fn an_entry_of_the_store_ends_the_case() {
    let mut arbiter = Alone::arbiter(1, MANY);
    arbiter.exits(POISON, &SEPARATE);
    arbiter.guard.apply_entry(POISON, QuarantineEntry::first(ExitPattern::Separate, 0));
    assert_eq!(arbiter.decides(1_000), None);
}

// A popular request was on the three servers that another one ended. One of them was not on the fourth.
#[test]
fn of_two_requests_on_the_same_servers_neither_is_accused_yet() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &SEPARATE);
    arbiter.tick(800);
    arbiter.hear(inquiry(OTHER, &SEPARATE), 850);
    assert_eq!(arbiter.decides(850), None);
    arbiter.exits(POISON, &[(4, 11_200)]);
    assert_eq!(arbiter.decides(11_200), Some((220, ExitPattern::Separate)));
}

// Two poison requests share a prompt and are placed on the same servers each time. Both are found out in the end.
#[test]
fn two_poison_requests_on_the_same_servers_are_both_found() {
    let servers: Vec<(u64, u64)> = (1..6).map(|it| (it, it * 1_000)).collect();
    let mut arbiter = Alone::arbiter(0, MANY);
    for exits in 3..=5 {
        let now = servers[exits - 1].1;
        arbiter.exits(POISON, &servers[..exits]);
        arbiter.tick(now);
        arbiter.hear(inquiry(OTHER, &servers[..exits]), now + 50);
        let decided = arbiter.decides(now + 100);
        assert_eq!(decided.is_some(), exits == 5, "after {exits} exits");
    }
}

#[test]
fn a_good_end_here_clears_what_this_vm_counts() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &SEPARATE[..2]);
    arbiter.guard.record_completion(POISON, at(500));
    arbiter.exits(POISON, &[(3, 121_000)]);
    assert_eq!(arbiter.decides(121_000), None);
}

#[test]
fn a_rival_on_other_servers_is_none() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &SEPARATE);
    arbiter.tick(800);
    arbiter.hear(inquiry(OTHER, &[(1, 0), (2, 400), (7, 800)]), 850);
    assert_eq!(arbiter.decides(800), Some((220, ExitPattern::Separate)));
}

// One exit of four is explained by another request; three are left.
#[test]
fn exits_that_are_left_count_on() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &[(9, 0)]);
    arbiter.exits(POISON, &SEPARATE.map(|(server, millis)| (server, millis + 400)));
    arbiter.tick(1_200);
    arbiter.hear(quarantined(OTHER, &[(9, 0), (10, 400), (11, 800)]), 1_300);
    assert_eq!(arbiter.decides(1_300), Some((120, ExitPattern::Separate)));
}

// Of a request that isn't accused yet a rival says nothing.
#[test]
fn a_rival_before_the_third_exit_changes_nothing() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &SEPARATE[..1]);
    assert!(!arbiter.guard.is_due(at(0)));
    arbiter.hear(inquiry(OTHER, &SEPARATE), 100);
    arbiter.exits(POISON, &SEPARATE[1..2]);
    assert_eq!(arbiter.decides(400), None);
}

#[test]
fn exits_that_another_request_is_to_blame_for_do_not_count() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &SEPARATE);
    arbiter.tick(800);
    arbiter.hear(quarantined(OTHER, &SEPARATE), 900);
    assert_eq!(arbiter.decides(900), None);
    arbiter.exits(POISON, &[(4, 11_000), (5, 11_400)]);
    assert_eq!(arbiter.decides(11_400), None);
}

#[test]
fn an_arbiter_that_hears_few_decides_when_it_hears_most_again() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.heard_part = 0.5;
    arbiter.exits(POISON, &SEPARATE);
    assert_eq!(arbiter.decides(800), None);
    arbiter.heard_part = 0.95;
    assert_eq!(arbiter.decides(20_000), Some((220, ExitPattern::Separate)));
}

// A VM is cut off from all others, and callers repeat the request there. Nobody else sees the servers that it ends; it
// keeps the request from servers itself, and tells nobody before it can ask the others.
#[test]
fn a_vm_that_is_alone_holds_by_what_it_saw_itself() {
    let held = |vm: &Alone, millis| {
        vm.guard.send_decision(OTHER, at(millis), Some(0)) != SendDecision::Allowed
    };
    let mut vm = Alone::arbiter(2, MANY);
    vm.heard_part = 0.5;
    for (server, millis) in SEPARATE {
        vm.guard.record_server_exit(OTHER, server, at(millis));
    }
    assert_eq!(vm.decides(800), None);
    assert!(held(&vm, 10_800));
    // Most are heard again, and it ended well at one of them.
    vm.heard_part = 1.0;
    vm.tick(11_000);
    assert_eq!(vm.inquiries(11_750), MANY - 1);
    vm.hear(PoisonMessage::Completed(OTHER), 11_800);
    assert_eq!(vm.decides(11_800), None);
    assert!(!held(&vm, 11_800));
    assert!(!vm.guard.has_quarantined());
    // It ended well nowhere.
    let mut vm = Alone::arbiter(2, MANY);
    vm.heard_part = 0.5;
    for (server, millis) in SEPARATE {
        vm.guard.record_server_exit(OTHER, server, at(millis));
    }
    vm.tick(800);
    vm.heard_part = 1.0;
    assert_eq!(vm.decides(1_000), Some((750 + 220, ExitPattern::Separate)));
}

#[test]
fn a_vm_that_is_alone_does_not_hold_by_what_others_saw() {
    let mut vm = Alone::arbiter(2, MANY);
    vm.heard_part = 0.5;
    vm.guard.record_server_exit(OTHER, 1, at(0));
    vm.guard.record_server_exit(OTHER, 2, at(400));
    vm.exits(OTHER, &[(3, 800)]);
    vm.tick(900);
    assert_eq!(vm.guard.send_decision(OTHER, at(900), Some(0)), SendDecision::Allowed);
    // What it was told of before it sees it itself counts as its own too.
    vm.guard.record_server_exit(OTHER, 3, at(1_000));
    vm.tick(1_000);
    assert_ne!(vm.guard.send_decision(OTHER, at(1_000), Some(0)), SendDecision::Allowed);
}

#[test]
fn exits_here_under_a_quarantined_request_are_not_told() {
    let mut vm = Alone::arbiter(2, MANY);
    vm.guard.apply_entry(OTHER, QuarantineEntry::first(ExitPattern::Separate, 0));
    vm.guard.record_server_exit(OTHER, 1, at(0));
    assert!(vm.tick(0).is_empty());
}

// Some VMs can't be asked whether the request ended well there.
#[test]
fn an_arbiter_that_misses_some_needs_one_exit_more() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.heard_part = 0.89;
    arbiter.exits(POISON, &SEPARATE);
    assert_eq!(arbiter.decides(800), None);
    arbiter.exits(POISON, &[(4, 11_000)]);
    assert_eq!(arbiter.decides(11_000), Some((220, ExitPattern::Separate)));
}

#[test]
fn an_arbiter_that_misses_a_tenth_needs_no_more() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.heard_part = 0.9;
    arbiter.exits(POISON, &SEPARATE);
    assert_eq!(arbiter.decides(800), Some((220, ExitPattern::Separate)));
}

#[test]
fn an_exit_is_held_against_a_request_for_an_hour() {
    let hour = 3_600_000;
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &[(1, 0), (2, 400), (3, hour + 100)]);
    assert_eq!(arbiter.decides(hour + 100), None);
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &[(1, 0), (2, 400), (3, hour)]);
    assert_eq!(arbiter.decides(hour), Some((220, ExitPattern::Separate)));
}

#[test]
fn the_oldest_of_too_many_cases_is_forgotten() {
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &SEPARATE[..2]);
    for other in 0..4_095 {
        arbiter.exits(RequestDigest(1 << 32 | other), &[(9, 500)]);
    }
    arbiter.exits(POISON, &SEPARATE[2..]);
    assert_eq!(arbiter.decides(800), Some((220, ExitPattern::Separate)));
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &SEPARATE[..2]);
    for other in 0..4_096 {
        arbiter.exits(RequestDigest(1 << 32 | other), &[(9, 500)]);
    }
    arbiter.exits(POISON, &SEPARATE[2..]);
    assert_eq!(arbiter.decides(800), None);
}

#[test]
fn the_oldest_of_too_many_good_ends_is_forgotten() {
    let mut vm = Alone::arbiter(2, MANY);
    vm.guard.record_completion(POISON, at(0));
    for other in 0..8_192 {
        vm.guard.record_completion(RequestDigest(1 << 32 | other), at(1));
    }
    vm.hear(inquiry(POISON, &SEPARATE), 2);
    assert!(vm.tick(2).is_empty());
    vm.hear(inquiry(RequestDigest(1 << 32), &SEPARATE), 2);
    assert_eq!(vm.tick(2).len(), 1);
}

// Newer ends of the same request keep it remembered.
#[test]
fn the_newest_good_end_counts() {
    let mut vm = Alone::arbiter(2, MANY);
    vm.guard.record_completion(POISON, at(0));
    vm.guard.record_completion(POISON, at(100_000));
    vm.guard.record_completion(OTHER, at(150_000));
    vm.hear(inquiry(POISON, &SEPARATE), 200_000);
    assert_eq!(vm.tick(200_000).len(), 1);
}

#[test]
fn an_exit_is_told_again_to_who_was_away() {
    let mut vm = Alone::arbiter(2, MANY);
    vm.guard.record_server_exit(OTHER, 1, at(0));
    let told: Vec<u64> =
        (0..1_000).map(|it| it * 10).filter(|it| !vm.tick(*it).is_empty()).collect();
    assert_eq!(told, [0, 150, 400, 1_500, 5_000]);
}

#[test]
fn what_waits_to_be_told_is_bounded() {
    let mut vm = Alone { guard: PoisonGuard::new("vm-x"), ..Alone::arbiter(2, MANY) };
    for server in 0..2_000 {
        vm.guard.record_server_exit(RequestDigest(server), server, at(0));
    }
    let told: usize = [0, 150, 400, 1_500, 5_000].map(|it| vm.tick(it).len()).iter().sum();
    // Three arbiters for each.
    assert_eq!(told, 4_096 * 3);
}

#[test]
fn there_is_something_to_do_only_when_it_is_due() {
    let mut vm = Alone::arbiter(0, MANY);
    assert!(!vm.guard.is_due(at(0)));
    vm.guard.record_server_exit(OTHER, 1, at(0));
    assert!(vm.guard.is_due(at(0)));
    vm.tick(0);
    assert!(!vm.guard.is_due(at(100)));
    assert!(vm.guard.is_due(at(150)));
    let mut arbiter = Alone::arbiter(0, MANY);
    arbiter.exits(POISON, &SEPARATE);
    assert!(arbiter.guard.is_due(at(800)));
}

#[test]
fn another_vms_word_holds_for_a_minute() {
    let mut vm = Alone::arbiter(2, MANY);
    vm.hear(quarantined(POISON, &SEPARATE), 0);
    assert!(vm.guard.has_quarantined());
    let standing = |vm: &Alone, millis| vm.guard.send_decision(POISON, at(millis), Some(0));
    assert_eq!(standing(&vm, 10_000), SendDecision::Quarantined(Duration::from_secs(50)));
    assert_eq!(standing(&vm, 60_000), SendDecision::Allowed);
    assert!(vm.guard.record_completion(POISON, at(59_999)));
    assert!(!vm.guard.record_completion(POISON, at(60_000)));
    assert_eq!(vm.guard.send_decision(OTHER, at(10_000), Some(0)), SendDecision::Allowed);
}

#[test]
fn an_entry_holds_until_its_trial() {
    let mut vm = Alone::arbiter(2, MANY);
    vm.hear(quarantined(POISON, &SEPARATE), 0);
    vm.guard.apply_entry(POISON, QuarantineEntry::first(ExitPattern::Separate, 1_000));
    let standing = |vm: &Alone, true_ms| vm.guard.send_decision(POISON, at(100), Some(true_ms));
    assert_eq!(standing(&vm, 1_000), SendDecision::Quarantined(Duration::from_secs(30)));
    assert_eq!(standing(&vm, 30_999), SendDecision::Quarantined(Duration::from_millis(1)));
    assert_eq!(standing(&vm, 31_000), SendDecision::TrialDue);
    assert_eq!(
        vm.guard.send_decision(POISON, at(100), None),
        SendDecision::Quarantined(Duration::from_secs(1))
    );
    vm.guard.record_trial_request(POISON, at(100));
    assert_eq!(standing(&vm, 31_000), SendDecision::Quarantined(Duration::from_secs(1)));
    assert_eq!(vm.guard.send_decision(POISON, at(1_100), Some(32_000)), SendDecision::TrialDue);
}

#[test]
fn holds_grow_from_trial_to_trial() {
    let first = QuarantineEntry::first(ExitPattern::Together, 0);
    assert_eq!(first.until_ms, 1_000);
    let first = QuarantineEntry::first(ExitPattern::Separate, 0);
    assert_eq!((first.trials, first.until_ms), (0, 30_000));
    let mut entry = first;
    let mut holds = Vec::new();
    for _ in 0..4 {
        let now = entry.until_ms;
        assert_eq!(entry.next_trial(now - 1), None);
        entry = entry.next_trial(now).expect("a trial");
        holds.push((entry.trials, entry.until_ms - now));
    }
    let day = 24 * 3_600_000;
    assert_eq!(holds, [(1, 300_000), (2, 3_600_000), (3, day), (4, day)]);
}

#[test]
fn a_lifted_quarantine_leaves_nothing_behind() {
    let mut vm = Alone::arbiter(0, MANY);
    vm.exits(POISON, &SEPARATE);
    assert!(vm.decides(800).is_some());
    assert!(vm.guard.record_completion(POISON, at(2_000)), "it has to be lifted");
    vm.guard.remove_entry(POISON, at(2_000));
    assert_eq!(vm.guard.send_decision(POISON, at(2_000), Some(0)), SendDecision::Allowed);
    assert!(!vm.guard.has_quarantined());
    assert!(!vm.guard.record_completion(POISON, at(2_001)));
    // Three new exits are needed, and suffice once its good end is forgotten.
    let later = SEPARATE.map(|(server, millis)| (server + 10, millis + 200_000));
    vm.exits(POISON, &later[..2]);
    assert_eq!(vm.decides(200_400), None);
    vm.exits(POISON, &[(19, 211_000)]);
    assert_eq!(vm.decides(211_000), Some((220, ExitPattern::Separate)));
}

// The last datagram that told of a quarantine comes when that was lifted already.
#[test]
fn an_old_word_does_not_bring_a_lifted_quarantine_back() {
    let mut vm = Alone::arbiter(2, MANY);
    vm.guard.apply_entry(POISON, QuarantineEntry::first(ExitPattern::Separate, 0));
    vm.guard.remove_entry(POISON, at(100));
    vm.hear(quarantined(POISON, &SEPARATE), 2_000);
    assert_eq!(vm.guard.send_decision(POISON, at(2_000), Some(0)), SendDecision::Allowed);
    vm.hear(quarantined(POISON, &SEPARATE), 2_100);
    assert_ne!(vm.guard.send_decision(POISON, at(2_100), Some(0)), SendDecision::Allowed);
}

// What is remembered of one request doesn't go with the next one.
#[test]
fn each_of_two_requests_has_its_own_time() {
    let mut vm = Alone::arbiter(2, MANY);
    let held = |vm: &Alone, digest, millis| {
        vm.guard.send_decision(digest, at(millis), Some(i64::MAX)) != SendDecision::Allowed
    };
    vm.hear(quarantined(POISON, &SEPARATE), 0);
    vm.hear(quarantined(OTHER, &SEPARATE), 100);
    assert!(held(&vm, POISON, 200) && held(&vm, OTHER, 200));
    vm.guard.remove_entry(POISON, at(200));
    vm.guard.remove_entry(OTHER, at(300));
    vm.hear(quarantined(POISON, &SEPARATE), 400);
    assert!(!held(&vm, POISON, 400) && !held(&vm, OTHER, 400));
    for digest in [POISON, OTHER] {
        vm.guard.apply_entry(digest, QuarantineEntry::first(ExitPattern::Separate, 0));
        vm.guard.record_trial_request(digest, at(500));
    }
    let standing = |digest| vm.guard.send_decision(digest, at(600), Some(40_000));
    assert_eq!(standing(POISON), SendDecision::Quarantined(Duration::from_millis(900)));
    assert_eq!(standing(OTHER), SendDecision::Quarantined(Duration::from_millis(900)));
}

#[test]
fn words_of_too_many_requests_are_not_taken() {
    let mut vm = Alone::arbiter(2, MANY);
    for digest in 0..1_025 {
        vm.hear(quarantined(RequestDigest(digest), &SEPARATE), 0);
    }
    let held = |digest| {
        vm.guard.send_decision(RequestDigest(digest), at(1), None) != SendDecision::Allowed
    };
    assert!(held(1_023) && !held(1_024));
}

#[test]
fn exits_under_a_quarantined_request_are_not_counted() {
    let mut vm = Alone::arbiter(0, MANY);
    vm.guard.apply_entry(POISON, QuarantineEntry::first(ExitPattern::Separate, 0));
    vm.exits(POISON, &SEPARATE);
    assert_eq!(vm.decides(800), None);
}

#[test]
fn a_whole_list_replaces_what_was_listed() {
    let mut vm = Alone::arbiter(2, MANY);
    let entry = QuarantineEntry::first(ExitPattern::Separate, 0);
    vm.guard.apply_entry(POISON, entry);
    vm.guard.replace_all([(OTHER, entry)], at(0));
    assert_eq!(vm.guard.stored_entries().collect::<Vec<_>>(), [(OTHER, entry)]);
    assert_eq!(vm.guard.send_decision(POISON, at(0), Some(0)), SendDecision::Allowed);
}

#[test]
fn of_too_many_entries_the_oldest_is_let_go() {
    let mut vm = Alone::arbiter(2, MANY);
    let entry = QuarantineEntry::first(ExitPattern::Separate, 0);
    for digest in 0..1_025 {
        vm.guard.apply_entry(RequestDigest(digest), entry);
    }
    assert_eq!(vm.guard.stored_entries().count(), 1_024);
    assert_eq!(vm.guard.send_decision(RequestDigest(0), at(0), Some(0)), SendDecision::Allowed);
    assert_ne!(vm.guard.send_decision(RequestDigest(1), at(0), Some(0)), SendDecision::Allowed);
}
