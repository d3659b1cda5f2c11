//! A claim and its verdict.

use std::fmt;

use quincevalve_names::{ClientAccountName, IdempotencyKey, RequestId, hash_text, mix};
use serde::{Deserialize, Serialize};

/// What is claimed: a hash of the account and the caller's idempotency key.
///
/// 128 bits: two keys that share a hash would make the second request look like a repeat of the first.
/// Among a thousand million kept claims that has a chance of 1 in 10^21.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// The key of an account's idempotency key.
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

    /// The slot that the key belongs to, of so many.
    pub const fn slot(self, slots: u32) -> u32 {
        (mix(self.0 as u64, (self.0 >> 64) as u64) % slots as u64) as u32
    }
}

impl fmt::Debug for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The wish to run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// What is claimed.
    pub key: ClaimKey,
    /// The request that claims it. It is the claim's identity: the same request may ask again.
    pub request: RequestId,
    /// A hash of what is asked for, to tell a repeat from another request under the same key.
    pub fingerprint: u64,
    /// Seconds since 1970, for retention.
    pub at: u64,
}

/// A claim's number within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What came of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request may be dispatched, by the VM that asked, once.
    Granted,
    /// Another request has the key. It ran, runs, or may have run.
    Taken {
        /// That request.
        request: RequestId,
        /// What that request asked for.
        fingerprint: u64,
    },
    /// The store didn't settle the claim in time. The key may be taken, by this request or another.
    Unsettled,
}
