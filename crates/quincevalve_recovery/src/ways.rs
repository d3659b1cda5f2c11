//! The cheapest way to go on with an answer whose backend server is lost or leaves.

use std::time::Duration;

/// A way to go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Way {
    /// Let the server finish: the answer ends before the server goes.
    Finish,
    /// Ask the same server for the rest on a new connection.
    Resume,
    /// Move the KV cache to another server and go on there.
    MoveCache,
    /// Go on at a server that holds the prompt's prefix.
    PrefixHolder,
    /// Compute prompt and answer so far again, anywhere.
    Rebuild,
}

/// What is known when the choice is made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WayOptions {
    /// Whether the server still answers.
    pub server_answers: bool,
    /// Time until the server goes; `None` if it stays.
    pub server_left: Option<Duration>,
    /// Whether another server is believed to hold the prefix.
    pub prefix_held: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer so far.
    pub answer_tokens: u32,
    /// Context tokens of other answers whose KV cache leaves the server first.
    pub move_ahead_tokens: u32,
    /// The most tokens that are still to come.
    pub remaining_tokens: u32,
    /// Time between two tokens.
    pub token_time: Duration,
}

/// What moving and computing cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// Context tokens whose KV cache moves in a second.
    pub move_tokens_per_s: f64,
    /// Fixed time of a move.
    pub move_fixed: Duration,
    /// Part of the notice that is left unused, for what the prediction misses.
    pub margin: Duration,
}

impl Default for Costs {
    fn default() -> Self {
        Self {
            // 320 KB a token over 10 GB/s (80 layers, 8 heads of 128 for keys and values, 2 bytes each).
            move_tokens_per_s: 30_000.0,
            move_fixed: Duration::from_millis(20),
            margin: Duration::from_millis(100),
        }
    }
}

/// Chooses the way that computes the fewest tokens again; among equals, the quickest.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_recovery::{Costs, Way, WayOptions, choose_way};
///
/// let options = WayOptions {
///     server_answers: true,
///     server_left: Some(Duration::from_secs(2)),
///     prefix_held: true,
///     prompt_tokens: 6_000,
///     answer_tokens: 900,
///     move_ahead_tokens: 0,
///     remaining_tokens: 2_000,
///     token_time: Duration::from_millis(30),
/// };
/// assert_eq!(choose_way(&options, &Costs::default()), Way::MoveCache);
/// ```
pub fn choose_way(options: &WayOptions, costs: &Costs) -> Way {
    if options.server_answers {
        let Some(left) = options.server_left else { return Way::Resume };
        let usable = left.saturating_sub(costs.margin);
        if options.token_time * options.remaining_tokens <= usable {
            return Way::Finish;
        }
        if move_time(options, costs) <= usable {
            return Way::MoveCache;
        }
    }
    if options.prefix_held { Way::PrefixHolder } else { Way::Rebuild }
}

/// The predicted time to move the KV cache of prompt and answer so far, after those ahead of it.
pub fn move_time(options: &WayOptions, costs: &Costs) -> Duration {
    let own = options.prompt_tokens + options.answer_tokens;
    let context = f64::from(options.move_ahead_tokens + own);
    costs.move_fixed + Duration::from_secs_f64(context / costs.move_tokens_per_s)
}
