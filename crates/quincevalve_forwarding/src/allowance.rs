//! One VM's part of the requests that a server with a limit takes from all VMs together.

use quincevalve_names::mix;

use crate::{server_signals::RequestRate, shared_limit::Seat};

/// Milliseconds of true time in a frame.
const FRAME_MS: i64 = 250;
/// Frames whose requests may still be sent, the present one included: a VM of few requests needs some time to have one.
const FRAMES: i64 = 4;
/// Requests a second that a server gets whatever it names: only an answer tells that its limit has ended.
const PROBE_PER_SECOND: f64 = 0.2;

/// The requests of one frame that were sent.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    frame: i64,
    requests: u64,
}

/// What one VM may send to one server that names a limit.
///
/// True time is cut into frames. All VMs compute the same whole number of requests for each frame and which VM may send
/// them, so the sum holds without messages, also where each VM's share is a fraction of a request. What isn't sent within
/// a second expires: VMs that accumulate their share would send it all at once.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::{
///     allowance::Allowance, server_signals::RequestRate, shared_limit::Seat,
/// };
/// let limit = RequestRate::new(8.0).expect("a rate");
/// let mut sent = 0;
/// for rank in 0..4 {
///     let (seat, mut allowance) = (Seat { rank, of: 4 }, Allowance::default());
///     sent += (0..100).filter(|_| allowance.spend(limit, 7, seat, 10_000)).count();
/// }
/// // Four VMs together: what a second allows.
/// assert_eq!(sent, 8);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Allowance {
    spent: [Spent; FRAMES as usize],
}

impl Allowance {
    /// Whether one more request may be sent at a moment of true time to `server`, the hash of its start.
    pub fn has_left(&self, limit: RequestRate, server: u64, seat: Seat, true_ms: i64) -> bool {
        self.frame_with_some_left(limit, server, seat, true_ms).is_some()
    }

    /// Takes one request out of what may be sent; `false` if nothing is left.
    pub fn spend(&mut self, limit: RequestRate, server: u64, seat: Seat, true_ms: i64) -> bool {
        let Some(frame) = self.frame_with_some_left(limit, server, seat, true_ms) else {
            return false;
        };
        let requests = self.spent_in(frame) + 1;
        self.spent[place(frame)] = Spent { frame, requests };
        true
    }

    /// The oldest frame of which requests may still be sent.
    fn frame_with_some_left(
        &self,
        limit: RequestRate,
        server: u64,
        seat: Seat,
        true_ms: i64,
    ) -> Option<i64> {
        let newest = true_ms.div_euclid(FRAME_MS);
        let mut frames = newest - (FRAMES - 1)..=newest;
        frames.find(|frame| {
            let turn = mix(server, frame.cast_unsigned());
            self.spent_in(*frame) < seat.part_of(requests_in(limit, server, *frame), turn)
        })
    }

    fn spent_in(&self, frame: i64) -> u64 {
        let spent = self.spent[place(frame)];
        if spent.frame == frame { spent.requests } else { 0 }
    }
}

fn place(frame: i64) -> usize {
    frame.rem_euclid(FRAMES) as usize
}

/// Requests that all VMs together may send in a frame. Each server's frames are rounded at a place of their own.
fn requests_in(limit: RequestRate, server: u64, frame: i64) -> u64 {
    let each = limit.per_second().max(PROBE_PER_SECOND) * FRAME_MS as f64 / 1_000.0;
    let phase = server as f64 / u64::MAX as f64;
    let until = |frame: i64| (each * frame as f64 + phase).floor();
    (until(frame + 1) - until(frame)) as u64
}
