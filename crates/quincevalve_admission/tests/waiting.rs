//! Order, refusals and departures in the queue of requests that wait for a server.

use std::time::Duration;

use quincevalve_admission::{
    AccountIndex, Candidate, Ticket, Urgency, WaitRefusal, WaitRefusalCause, WaitingQueue,
    WaitingRequest, WaitingSettings,
};
use quincevalve_names::TimePoint;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const PREDICTED: Duration = Duration::from_millis(100);

fn ms(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// A queue with its generator; requests get consecutive tickets.
struct Fixture {
    queue: WaitingQueue,
    rng: Pcg64Mcg,
    tickets: u64,
}

impl Fixture {
    fn new() -> Self {
        let queue = WaitingQueue::new(WaitingSettings::default());
        Self { queue, rng: Pcg64Mcg::seed_from_u64(5), tickets: 0 }
    }

    fn request(&mut self, now: u64, account: u32, urgency: u8) -> WaitingRequest {
        self.tickets += 1;
        WaitingRequest {
            ticket: Ticket(self.tickets),
            account: AccountIndex(account),
            urgency: Urgency(urgency),
            objective_end: ms(now + 500),
            deadline: ms(now + 5_000),
            required_time: PREDICTED,
            prompt_tokens: 500,
        }
    }

    fn arrive(&mut self, now: u64, account: u32, urgency: u8) -> Ticket {
        let request = self.request(now, account, urgency);
        assert_eq!(self.queue.arrive(ms(now), &request, &mut self.rng), None);
        request.ticket
    }

    fn begin_pass(&mut self, now: u64) -> Vec<WaitRefusal> {
        self.queue.begin_pass(ms(now), &mut self.rng)
    }

    /// Places as many requests as there is room for, and returns them in order.
    fn place(&mut self, now: u64, room: usize) -> Vec<Ticket> {
        assert!(self.begin_pass(now).is_empty());
        let mut placed = Vec::new();
        while placed.len() < room
            && let Some(Candidate { ticket, .. }) = self.queue.next_candidate()
        {
            self.queue.record_placed(ms(now), ticket);
            placed.push(ticket);
        }
        placed
    }
}

// Guards against a request that takes the capacity for which others have been waiting.
#[test]
fn an_arrival_starts_at_once_only_if_nothing_waits_before_it() {
    let mut fixture = Fixture::new();
    assert!(fixture.queue.may_start_at_once(Urgency(1)));
    fixture.arrive(0, 0, 1);
    assert!(fixture.queue.may_start_at_once(Urgency(0)));
    assert!(!fixture.queue.may_start_at_once(Urgency(1)));
    assert!(!fixture.queue.may_start_at_once(Urgency(2)));
    // Once the waiting request can only be late, requests of its urgency go before it.
    fixture.begin_pass(450);
    assert!(fixture.queue.may_start_at_once(Urgency(1)));
    assert!(!fixture.queue.may_start_at_once(Urgency(2)));
}

#[test]
fn starts_by_urgency_then_account_by_account() {
    let mut fixture = Fixture::new();
    let bulk = fixture.arrive(0, 0, 2);
    let [first, second] = [0, 0].map(|account| fixture.arrive(0, account, 1));
    let other = fixture.arrive(0, 1, 1);
    let urgent = fixture.arrive(0, 0, 0);
    assert_eq!(fixture.place(0, 9), [urgent, other, first, second, bulk]);
}

// Guards against a request that can only be late and makes others late too.
#[test]
fn requests_on_time_start_before_late_ones_of_their_urgency() {
    let mut fixture = Fixture::new();
    let late = fixture.arrive(0, 0, 1);
    let on_time = fixture.arrive(450, 0, 1);
    let less_urgent = fixture.arrive(450, 0, 2);
    assert_eq!(fixture.place(450, 9), [on_time, late, less_urgent]);
}

// Guards against starvation of any urgency while more urgent requests keep arriving.
#[test]
fn each_less_urgent_class_gets_its_turn() {
    let mut fixture = Fixture::new();
    let less_urgent = [1, 2].map(|urgency| fixture.arrive(0, 0, urgency));
    let mut started = Vec::new();
    for _ in 0..16 {
        fixture.arrive(0, 0, 0);
        started.extend(fixture.place(0, 1));
    }
    assert_eq!(started[7], less_urgent[0]);
    assert_eq!(started[15], less_urgent[1]);
}

// Guards against a caller that disconnects and whose place keeps others waiting.
#[test]
fn a_caller_that_disconnects_frees_its_place() {
    let mut fixture = Fixture::new();
    let gone = fixture.arrive(0, 0, 0);
    let next = fixture.arrive(0, 1, 1);
    assert!(fixture.queue.remove(gone));
    assert!(!fixture.queue.remove(gone));
    assert!(!fixture.queue.is_waiting(gone));
    assert_eq!(fixture.place(0, 9), [next]);
    assert!(fixture.queue.is_empty());
    // An account without waiting requests takes no turns.
    let after = [fixture.arrive(0, 1, 1), fixture.arrive(0, 1, 1)];
    assert_eq!(fixture.place(0, 9), after);
}

// Guards against a refusal that comes only at the end of a wait that was in vain from the start.
#[test]
fn refuses_on_arrival_if_the_wait_is_predicted_to_be_too_long() {
    let mut fixture = Fixture::new();
    let mut refused = Vec::new();
    for _ in 0..200 {
        let request = fixture.request(0, 0, 1);
        refused.extend(fixture.queue.arrive(ms(0), &request, &mut fixture.rng));
    }
    assert!(!refused.is_empty() && !fixture.queue.is_empty());
    let range = Duration::from_millis(200)..=Duration::from_secs(5);
    assert!(refused.iter().all(|it| it.cause == WaitRefusalCause::Busy));
    assert!(refused.iter().all(|it| range.contains(&it.retry_after)));
    // Callers refused together must not return together.
    let shortest = refused.iter().map(|it| it.retry_after).min();
    let longest = refused.iter().map(|it| it.retry_after).max();
    assert!(longest > shortest.map(|it| it.mul_f64(1.4)), "{shortest:?} {longest:?}");
    // A more urgent request doesn't wait for those.
    fixture.arrive(0, 0, 0);
}

// Guards against a wait beyond the latest start where nothing starts at all.
#[test]
fn refuses_at_the_latest_start() {
    let mut fixture = Fixture::new();
    let ticket = fixture.arrive(0, 0, 1);
    let mut now = 0;
    let refusal = loop {
        now += 12;
        if let Some(refusal) = fixture.begin_pass(now).pop() {
            break refusal;
        }
        fixture.queue.record_not_placed(ticket, PREDICTED);
    };
    assert_eq!((refusal.ticket, refusal.cause), (ticket, WaitRefusalCause::Busy));
    assert!((4_800..=4_900).contains(&now), "{now}");
    assert!(fixture.queue.is_empty());
}

// Guards against a request that waits on although a slower prediction shows that it can't be answered in time.
#[test]
fn refuses_once_the_predicted_answer_comes_too_late() {
    let mut fixture = Fixture::new();
    let ticket = fixture.arrive(0, 0, 1);
    fixture.begin_pass(12);
    fixture.queue.record_not_placed(ticket, Duration::from_secs(6));
    let refused: Vec<_> = fixture.begin_pass(24).iter().map(|it| it.ticket).collect();
    assert_eq!(refused, [ticket]);
}

// Guards against a refusal that blames the load where more urgent arrivals are the cause, and the reverse.
#[test]
fn tells_displaced_requests_from_others() {
    for displacing in [true, false] {
        let mut fixture = Fixture::new();
        let ticket = fixture.arrive(0, 0, 1);
        let urgency = u8::from(!displacing);
        let mut now = 0;
        let refusal = loop {
            now += 12;
            if now <= 4_000 {
                // Requests that arrive later take all starts.
                fixture.queue.record_immediate_start(
                    ms(now),
                    AccountIndex(1),
                    Urgency(urgency),
                    500,
                );
            }
            let refused = fixture.begin_pass(now);
            if let Some(refusal) = refused.into_iter().find(|it| it.ticket == ticket) {
                break refusal;
            }
        };
        let expected =
            if displacing { WaitRefusalCause::Displaced } else { WaitRefusalCause::Busy };
        assert_eq!(refusal.cause, expected);
    }
}

// Guards against a queue that stands still because its first requests fit on no server: each request is tried within
// as many passes as there are requests.
#[test]
fn each_request_is_tried_whatever_waits_before_it() {
    let mut fixture = Fixture::new();
    let large: Vec<_> = (0..10).map(|_| fixture.arrive(0, 0, 0)).collect();
    let small = fixture.arrive(0, 0, 2);
    let is_tried = |fixture: &mut Fixture, now| {
        fixture.begin_pass(now);
        let mut tries = 0;
        while let Some(it) = fixture.queue.next_candidate() {
            if it.ticket == small {
                return true;
            }
            fixture.queue.record_not_placed(it.ticket, PREDICTED);
            tries += 1;
        }
        assert!(tries <= 4, "{tries}");
        false
    };
    let passes = large.len() as u64 + 1;
    assert!((1..=passes).any(|it| is_tried(&mut fixture, it)));
}

// Guards against urgent requests that aren't tried because the less urgent ones that are due find no server, although
// urgent ones may go to fuller engines.
#[test]
fn due_requests_that_find_no_server_do_not_hold_up_urgent_ones() {
    let mut fixture = Fixture::new();
    let less_urgent: Vec<_> = (0..20).map(|account| fixture.arrive(0, account, 2)).collect();
    let mut urgent: Vec<_> = (0..14).map(|_| fixture.arrive(0, 0, 0)).collect();
    for now in 1..=14 {
        fixture.begin_pass(now);
        let mut has_room = true;
        while let Some(Candidate { ticket, .. }) = fixture.queue.next_candidate() {
            if has_room && urgent.contains(&ticket) {
                has_room = false;
                urgent.retain(|it| *it != ticket);
                fixture.queue.record_placed(ms(now), ticket);
            } else {
                fixture.queue.record_not_placed(ticket, PREDICTED);
            }
        }
    }
    assert!(urgent.is_empty(), "{} of 14 urgent requests wait", urgent.len());
    assert!(less_urgent.iter().all(|it| fixture.queue.is_waiting(*it)));
}
