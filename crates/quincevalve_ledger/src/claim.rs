//! Claims on idempotency keys and their verdicts.

use std::fmt;

use quincevalve_names::{ClientAccountName, IdempotencyKey, RequestId, hash_text, mix};
use serde::{Deserialize, Serialize};

/// A 128-bit hash of the account and the caller's idempotency key.
///
/// If two keys had the same hash, the second request would be treated as a repeat of the first. Among 10^9
/// stored claims, the probability that any two keys have the same hash is 1 in 10^21.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// Computes the claim key of an account's idempotency key.
    ///
    /// ```
    /// use quincevalve_ledger::ClaimKey;
    /// let key = "booking-7".into();
    /// assert_ne!(ClaimKey::new(&"desk-a".into(), &key), ClaimKey::new(&"desk-b".into(), &key));
    /// ```
    pub fn new(account: &ClientAccountName, key: &IdempotencyKey) -> Self {
        let text = format!("{account}\u{0}{key}");
        let high = hash_text(&text);
        let low = hash_text(&format!("{text}\u{0}"));
        Self((u128::from(high) << 64) | u128::from(low))
    }

    /// Returns the slot that the key belongs to, out of `slots` slots.
    pub const fn slot(self, slots: u32) -> u32 {
        (mix(self.0 as u64, (self.0 >> 64) as u64) % slots as u64) as u32
    }
}

impl fmt::Debug for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// An attempt to acquire the exclusive right to dispatch a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key that is claimed.
    pub key: ClaimKey,
    /// The request that claims the key. It identifies the claim: the same request may repeat its claim.
    pub request: RequestId,
    /// A hash of the request's content, which distinguishes a repeat from a different request with the same key.
    pub fingerprint: u64,
    /// Time of the claim in seconds since 1970, used for retention.
    pub at: u64,
}

/// The number of a claim, unique within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// The result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The VM that made the claim may dispatch the request once.
    Granted,
    /// Another request holds the key. That request is running, has run or may have run.
    Taken {
        /// The request that holds the key.
        request: RequestId,
        /// The fingerprint of the request that holds the key.
        fingerprint: u64,
    },
    /// The store didn't decide the claim before its deadline. This request or another one may hold the key.
    Unsettled,
}
