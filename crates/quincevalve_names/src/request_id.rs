//! The identifier of an accepted request.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::mix::hash_text;

/// Prefix of a request id as text.
const PREFIX: &str = "req-";
/// Number of hexadecimal digits after the prefix.
const DIGITS: usize = 32;
/// Position of the home tag in the id, in bits; the lower bits are random.
const HOME_SHIFT: u32 = 96;

/// A 32-bit hash of the name of the entry VM that accepted a request.
///
/// The tag lets any entry VM find the first holder of the request's record from the id alone, without a lookup service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HomeTag(pub u32);

impl From<&crate::EntryVmName> for HomeTag {
    fn from(vm: &crate::EntryVmName) -> Self {
        Self((hash_text(vm.as_str()) >> 32) as u32)
    }
}

/// The id of a request: the tag of the entry VM that accepted it, and 96 random bits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RequestId(u128);

impl RequestId {
    /// Creates an id from the accepting VM's tag and the lower 96 bits of `random`.
    ///
    /// ```
    /// use quincevalve_names::{HomeTag, RequestId};
    /// let id = RequestId::new(HomeTag(7), 42);
    /// assert_eq!(id.home(), HomeTag(7));
    /// assert_eq!(id.to_string().parse(), Ok(id));
    /// ```
    pub const fn new(home: HomeTag, random: u128) -> Self {
        let low = random & ((1 << HOME_SHIFT) - 1);
        Self(((home.0 as u128) << HOME_SHIFT) | low)
    }

    /// Returns the tag of the entry VM that accepted the request.
    pub const fn home(self) -> HomeTag {
        HomeTag((self.0 >> HOME_SHIFT) as u32)
    }

    /// Returns a 64-bit hash of the id, for rendezvous hashing.
    pub const fn hash64(self) -> u64 {
        (self.0 as u64) ^ ((self.0 >> 64) as u64).rotate_left(31)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The error for a text that is not a request id of this system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a request id is `req-` and 32 hexadecimal digits"))]
pub struct InvalidRequestId;

impl FromStr for RequestId {
    type Err = InvalidRequestId;

    fn from_str(text: &str) -> Result<Self, InvalidRequestId> {
        let digits = text.strip_prefix(PREFIX).ok_or(InvalidRequestId)?;
        if digits.len() != DIGITS || !digits.bytes().all(|it| it.is_ascii_hexdigit()) {
            return Err(InvalidRequestId);
        }
        u128::from_str_radix(digits, 16).map(Self).map_err(|_| InvalidRequestId)
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for RequestId {
    type Error = InvalidRequestId;

    fn try_from(text: String) -> Result<Self, InvalidRequestId> {
        text.parse()
    }
}
