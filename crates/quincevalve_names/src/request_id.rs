//! The identity of one accepted request.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::mix::hash_text;

const PREFIX: &str = "req-";
const DIGITS: usize = 32;
const HOME_SHIFT: u32 = 96;

/// A short tag of the entry VM that accepted a request.
///
/// It lets any entry VM find the record's first holder from the id alone, without a lookup service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HomeTag(pub u32);

impl From<&crate::EntryVmName> for HomeTag {
    fn from(vm: &crate::EntryVmName) -> Self {
        Self((hash_text(vm.as_str()) >> 32) as u32)
    }
}

/// The id of a request: the accepting entry VM's tag and a random part.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RequestId(u128);

impl RequestId {
    /// Makes an id from its home and 96 random bits; higher bits of `random` are ignored.
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

    /// The tag of the entry VM that accepted the request.
    pub const fn home(self) -> HomeTag {
        HomeTag((self.0 >> HOME_SHIFT) as u32)
    }

    /// A 64-bit hash of the id, for rendezvous.
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

/// The text is not a request id of this system.
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
