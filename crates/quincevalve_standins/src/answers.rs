//! Computes the answers of the stand-ins as pure functions of the request.
//!
//! Every engine generates the same answer to the same prompt, so a test can compute the complete answer itself and compare
//! it with what a caller received.

use quincevalve_names::{hash_text, mix};

const SYLLABLES: [&str; 16] = [
    "ba ", "co ", "di ", "fu ", "ga ", "he ", "ki ", "lo ", "mu ", "ne ", "pa ", "ri ", "su ",
    "ta ", "vo ", "ze ",
];

/// Returns the number of tokens in the answer to a prompt, which is given by its hash.
///
/// ```
/// let tokens = quincevalve_standins::answers::token_count(7, 40);
/// assert!((20..=40).contains(&tokens));
/// ```
pub fn token_count(prompt: u64, max_tokens: u32) -> u32 {
    let min_tokens = (max_tokens / 2).max(1);
    let range = u64::from(max_tokens - min_tokens + 1);
    min_tokens + (mix(prompt, LENGTH_KEY) % range) as u32
}

/// Returns the text of the token at position `seq` of the answer to a prompt, which is given by its hash.
pub fn token_text(prompt: u64, seq: u32) -> &'static str {
    SYLLABLES[(mix(prompt, u64::from(seq)) % SYLLABLES.len() as u64) as usize]
}

/// Returns the complete answer to a prompt.
pub fn full_answer(prompt: &str, max_tokens: u32) -> String {
    let hash = hash_text(prompt);
    (0..token_count(hash, max_tokens)).map(|it| token_text(hash, it)).collect()
}

/// Returns the response body of a plain service to a call.
pub fn service_answer(path: &str, body: &[u8]) -> String {
    let body = String::from_utf8_lossy(body);
    format!("{{\"path\":\"{path}\",\"receipt\":\"{:016x}\"}}", hash_text(&body))
}

/// Separates the hash that determines the answer length from the hashes that determine the tokens.
const LENGTH_KEY: u64 = 0x6c65_6e67_7468;
