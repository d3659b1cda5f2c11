//! Quarantine of a part of prompts that makes every server that begins an answer on it exit.

mod support;

use support::{
    Arrival, Reply, World, events, exchange,
    quarantine::{RETRY_PAUSE, start_two_more_vms},
    request, run, sealed, stream_head,
};
use tokio::time::sleep;

/// Number of requests with the crashing part, no two alike.
const REQUESTS: usize = 16;
/// Maximum number of them that may be sent: five until the part must be known, and three after that.
const MAX_SENDS: usize = 5 + 3;
/// The parts that sound and crashing requests share, the crashing one, and one of some sound requests.
const SYSTEM_PROMPT: &str = "5c1e07a2";
const CRASHING: &str = "91bd3f06";
const SOUND: &str = "77aa01";

/// Returns the header lines of a prompt with these parts and one of its own.
fn prompt(parts: &[&str], own: usize) -> String {
    let parts = parts.join(":40,");
    format!("x-tokens: 100,20\r\nx-parts: {parts}:40,e4402b{own:x}:20\r\n")
}

/// Makes the server exit when it begins an answer on the crashing part, and answers all other requests.
fn script(_: usize, arrival: &Arrival) -> Reply {
    let parts = arrival.header("x-parts").unwrap_or_default();
    if parts.contains(CRASHING) {
        return Reply::SendAndExit(stream_head(arrival) + &events(1..=1));
    }
    Reply::Send(sealed(arrival, "200 OK", "done"))
}

// Guards against requests that share a part of their prompts, on which every server exits: each is a new request, so
// that none of them is known from another one's exits.
#[test]
fn stops_sending_requests_with_a_part_under_which_servers_exit() {
    run(async {
        let mut world = World::start(5, script).await;
        let other_vms = start_two_more_vms(&world).await;
        let fronts = [world.front, other_vms[0].front, other_vms[1].front];
        let mut served = 0;
        for at in 0..REQUESTS {
            let front = fronts[at % fronts.len()];
            let crashing = prompt(&[SYSTEM_PROMPT, CRASHING], at);
            let path = format!("/stream/{at}");
            exchange(front, &request(&path, &format!("id-{at}"), &crashing)).await;
            sleep(RETRY_PAUSE).await;
            let sound = prompt(&[SYSTEM_PROMPT, SOUND], REQUESTS + at);
            let answer =
                exchange(front, &request("/once/7", &format!("id-sound-{at}"), &sound)).await;
            served += usize::from(answer.starts_with("HTTP/1.1 200"));
        }
        let has_part = |it: &Arrival| it.header("x-parts").unwrap_or_default().contains(CRASHING);
        let sent = world.drain_arrivals().iter().filter(|it| has_part(it)).count();
        assert!(sent <= MAX_SENDS, "sent {sent} times, and a server exited each time");
        assert_eq!(served, REQUESTS, "sound requests that share their account and system prompt");
    });
}
