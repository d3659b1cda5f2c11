//! The parts of a prompt that requests share, as their callers list them.

use std::fmt;

use indexmap::IndexSet;
use quincevalve_names::{ServiceName, hash_parts};
use serde::{Deserialize, Serialize};

/// Maximum number of parts of one request that are considered, counted from the start of the prompt. Callers may list
/// as many as fit into a request's head, and evidence about each part costs messages.
pub const MAX_PARTS: usize = 64;

/// Identifies a part of prompts to one service, whichever client account and request it belongs to.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PartDigest(pub u64);

impl PartDigest {
    /// Computes the digest of a part from its id, a hexadecimal number.
    ///
    /// # Examples
    ///
    /// ```
    /// use quincevalve_forwarding::prompt_parts::PartDigest;
    /// let engines = "engines".into();
    /// assert_eq!(PartDigest::of(&engines, "0B1f"), PartDigest::of(&engines, "b1F"));
    /// assert_ne!(PartDigest::of(&engines, "b1f"), PartDigest::of(&"labels".into(), "b1f"));
    /// ```
    pub fn of(service: &ServiceName, id: &str) -> Self {
        let id = id.trim_start_matches('0').to_ascii_lowercase();
        Self(hash_parts([service.as_str().as_bytes(), id.as_bytes()]))
    }

    /// Parses a digest in the form that [`Display`](fmt::Display) writes; `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        let is_well_formed = text.len() == 16 && text.bytes().all(|it| it.is_ascii_hexdigit());
        is_well_formed.then(|| u64::from_str_radix(text, 16).ok().map(Self))?
    }
}

impl fmt::Display for PartDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Returns the parts of a prompt that other requests may share, in order and each once.
///
/// `list` holds `ID:TOKENS` entries separated by commas. The last entry belongs to the request alone, whatever it holds.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::prompt_parts::{PartDigest, shared_parts};
/// let engines = "engines".into();
/// let parts = shared_parts(&engines, "5c1e:800, 91bd:410,5c1e:800,e440:250");
/// assert_eq!(parts, [PartDigest::of(&engines, "5c1e"), PartDigest::of(&engines, "91bd")]);
/// assert!(shared_parts(&engines, "e440:250").is_empty());
/// ```
pub fn shared_parts(service: &ServiceName, list: &str) -> Vec<PartDigest> {
    let Some((shared, _)) = list.rsplit_once(',') else { return Vec::new() };
    let ids = shared.split(',').map(|it| it.split_once(':').map_or(it, |(id, _)| id).trim());
    let ids: IndexSet<&str> = ids.filter(|it| !it.is_empty()).take(MAX_PARTS).collect();
    let digests: IndexSet<PartDigest> = ids.iter().map(|it| PartDigest::of(service, it)).collect();
    digests.into_iter().collect()
}
