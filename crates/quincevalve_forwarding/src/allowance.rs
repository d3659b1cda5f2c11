//! One VM's share of the requests that a rate-limited server accepts from all VMs together.

#![expect(clippy::indexing_slicing, reason = "a slot is a remainder of the number of slots")]

use quincevalve_names::mix;

use crate::{server_signals::RequestRate, shared_limit::VmRank};

/// Length of a frame of wall-clock time, in milliseconds.
const FRAME_MS: i64 = 250;
/// Number of frames whose requests may still be sent, including the current one. Several, because a VM with few
/// requests would otherwise seldom have one to send in a frame of its own.
const SPENDABLE_FRAMES: i64 = 4;
/// Minimum rate in requests per second, even for a lower limit: only an answer reveals that the limit has ended.
const MIN_PER_SECOND: f64 = 0.2;

/// Number of requests sent in one frame.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    frame: i64,
    requests: u64,
}

/// One VM's allowance for one rate-limited server.
///
/// Wall-clock time is divided into frames. For each frame, all VMs compute the same whole number of requests and the
/// same assignment to VMs, so the total stays within the limit without messages, even if each VM's share is a fraction
/// of a request. Requests that aren't sent within a second expire: VMs that accumulated their shares would send them
/// all at once.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::{
///     allowance::Allowance, server_signals::RequestRate, shared_limit::VmRank,
/// };
/// let limit = RequestRate::new(8.0).expect("a rate");
/// let mut sent = 0;
/// for rank in 0..4 {
///     let (vm_rank, mut allowance) = (VmRank { rank, vm_count: 4 }, Allowance::default());
///     sent += (0..100).filter(|_| allowance.try_spend(limit, 7, vm_rank, 10_000)).count();
/// }
/// // Together, the four VMs send what the limit allows in a second.
/// assert_eq!(sent, 8);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Allowance {
    spent: [Spent; SPENDABLE_FRAMES as usize],
}

impl Allowance {
    /// Returns whether one more request may be sent to `server`, the hash of its start, at a wall-clock time.
    pub fn has_remaining(
        &self,
        limit: RequestRate,
        server: u64,
        rank: VmRank,
        wall_clock_ms: i64,
    ) -> bool {
        self.oldest_frame_with_remaining(limit, server, rank, wall_clock_ms).is_some()
    }

    /// Takes one request from the allowance; returns `false` if nothing remains.
    pub fn try_spend(
        &mut self,
        limit: RequestRate,
        server: u64,
        rank: VmRank,
        wall_clock_ms: i64,
    ) -> bool {
        let Some(frame) = self.oldest_frame_with_remaining(limit, server, rank, wall_clock_ms)
        else {
            return false;
        };
        let requests = self.requests_spent(frame) + 1;
        self.spent[slot(frame)] = Spent { frame, requests };
        true
    }

    /// Returns the oldest frame with remaining requests.
    fn oldest_frame_with_remaining(
        &self,
        limit: RequestRate,
        server: u64,
        rank: VmRank,
        wall_clock_ms: i64,
    ) -> Option<i64> {
        let newest = wall_clock_ms.div_euclid(FRAME_MS);
        let mut frames = newest - (SPENDABLE_FRAMES - 1)..=newest;
        frames.find(|frame| {
            let rotation = mix(server, frame.cast_unsigned());
            self.requests_spent(*frame)
                < rank.share_of(requests_in(limit, server, *frame), rotation)
        })
    }

    fn requests_spent(&self, frame: i64) -> u64 {
        let spent = self.spent[slot(frame)];
        if spent.frame == frame { spent.requests } else { 0 }
    }
}

fn slot(frame: i64) -> usize {
    frame.rem_euclid(SPENDABLE_FRAMES) as usize
}

/// Returns the number of requests that all VMs together may send in a frame. The phase of the rounding depends on the
/// server.
fn requests_in(limit: RequestRate, server: u64, frame: i64) -> u64 {
    let per_frame = limit.per_second().max(MIN_PER_SECOND) * FRAME_MS as f64 / 1_000.0;
    let phase = server as f64 / u64::MAX as f64;
    let until = |frame: i64| (per_frame * frame as f64 + phase).floor();
    (until(frame + 1) - until(frame)) as u64
}
