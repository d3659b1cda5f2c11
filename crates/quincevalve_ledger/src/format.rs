//! The format in which the store keeps a slot.

use quincevalve_names::RequestId;
use serde::{Deserialize, Serialize};

use crate::{Claim, ClaimKey};

/// A stored claim. Serialized field names are short because each of them is written thousands of times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The claimed key.
    #[serde(rename = "k", with = "hexadecimal")]
    pub key: ClaimKey,
    /// The request that holds the key.
    #[serde(rename = "r")]
    pub request: RequestId,
    /// The fingerprint of the request's content.
    #[serde(rename = "f")]
    pub fingerprint: u64,
    /// Time of the claim in seconds since 1970.
    #[serde(rename = "t")]
    pub at: u64,
}

impl From<&Claim> for Entry {
    fn from(claim: &Claim) -> Self {
        let Claim { key, request, fingerprint, at } = *claim;
        Self { key, request, fingerprint, at }
    }
}

/// The head of a slot, the only key of the slot that is changed by compare-and-swap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The VM that wrote this version; only for operators.
    pub writer: String,
    /// The newest claims, which aren't in a segment yet.
    pub open: Vec<Entry>,
    /// The number of the oldest retained segment.
    pub first_segment: u64,
    /// The number of the segment that is sealed next.
    pub next_segment: u64,
}

/// An immutable segment of older claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Segment {
    /// The claims, in the order in which they were written.
    pub entries: Vec<Entry>,
}

/// Serializes a key as hexadecimal text, since many JSON readers don't keep 128-bit numbers exact.
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
