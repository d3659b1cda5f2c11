//! What the store holds for a slot.

use quincevalve_names::RequestId;
use serde::{Deserialize, Serialize};

use crate::{Claim, ClaimKey};

/// One claim as it is kept. The field names are short since each is written thousands of times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The key.
    #[serde(rename = "k", with = "hexadecimal")]
    pub key: ClaimKey,
    /// The request.
    #[serde(rename = "r")]
    pub request: RequestId,
    /// The fingerprint of what was asked.
    #[serde(rename = "f")]
    pub fingerprint: u64,
    /// Seconds since 1970.
    #[serde(rename = "t")]
    pub at: u64,
}

impl From<&Claim> for Entry {
    fn from(claim: &Claim) -> Self {
        let Claim { key, request, fingerprint, at } = *claim;
        Self { key, request, fingerprint, at }
    }
}

/// The head of a slot: the one key that is swapped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Who wrote it, for operators.
    pub writer: String,
    /// The newest claims.
    pub open: Vec<Entry>,
    /// The oldest kept segment.
    pub first_segment: u64,
    /// The segment that will be sealed next.
    pub next_segment: u64,
}

/// Older claims, written once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Segment {
    /// The claims.
    pub entries: Vec<Entry>,
}

/// JSON has no 128-bit numbers that every reader keeps exact, so a key is text.
mod hexadecimal {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    use crate::ClaimKey;

    pub(super) fn serialize<S>(key: &ClaimKey, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(&format_args!("{:032x}", key.0))
    }

    pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<ClaimKey, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map(ClaimKey).map_err(D::Error::custom)
    }
}
