//! What a stand-in answers: a pure function of the question.
//!
//! Any engine gives the same answer to the same prompt, so a checker can compute the whole answer by
//! itself and compare it with what a caller received.

use quincevalve_names::{hash_text, mix};

const SYLLABLES: [&str; 16] = [
    "ba ", "co ", "di ", "fu ", "ga ", "he ", "ki ", "lo ", "mu ", "ne ", "pa ", "ri ", "su ",
    "ta ", "vo ", "ze ",
];

/// The number of tokens in the answer to a prompt.
///
/// ```
/// let tokens = quincevalve_standins::answers::length(7, 40);
/// assert!((20..=40).contains(&tokens));
/// ```
pub fn length(prompt: u64, max_tokens: u32) -> u32 {
    let half = (max_tokens / 2).max(1);
    let spread = u64::from(max_tokens - half + 1);
    half + (mix(prompt, LENGTH_KEY) % spread) as u32
}

/// The text of one token of the answer to a prompt.
pub fn token(prompt: u64, seq: u32) -> &'static str {
    SYLLABLES[(mix(prompt, u64::from(seq)) % SYLLABLES.len() as u64) as usize]
}

/// The whole answer to a prompt.
pub fn whole(prompt: &str, max_tokens: u32) -> String {
    let hash = hash_text(prompt);
    (0..length(hash, max_tokens)).map(|it| token(hash, it)).collect()
}

/// What a plain service answers to a call.
pub fn service_answer(path: &str, body: &[u8]) -> String {
    let body = String::from_utf8_lossy(body);
    format!("{{\"path\":\"{path}\",\"receipt\":\"{:016x}\"}}", hash_text(&body))
}

const LENGTH_KEY: u64 = 0x6c65_6e67_7468;
