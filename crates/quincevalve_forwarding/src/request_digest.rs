//! Digests that identify requests with the same content.

use std::fmt;

use quincevalve_names::{ClientAccountName, hash_parts_and_pieces};
use serde::{Deserialize, Serialize};

/// Digest of a request's account, path and body: the same for every attempt of the same request, at any VM.
///
/// Attempt ids differ for each attempt, so they can't identify a repeated request. The hash is cryptographic, so that
/// no account can forge a request with the digest of another account's.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Computes the digest of a request. `path` includes the query; how the body is divided doesn't matter.
    ///
    /// # Examples
    ///
    /// ```
    /// use quincevalve_forwarding::request_digest::RequestDigest;
    /// let desk = "desk".into();
    /// let of = |account, body: &[&str]| {
    ///     RequestDigest::of(account, "/seats/7", body.iter().map(|it| it.as_bytes()))
    /// };
    /// let first = of(Some(&desk), &["two"]);
    /// assert_eq!(first, of(Some(&desk), &["t", "wo"]));
    /// assert_ne!(first, of(None, &["two"]));
    /// assert_ne!(first, of(Some(&desk), &["three"]));
    /// ```
    pub fn of<'a>(
        account: Option<&'a ClientAccountName>,
        path: &'a str,
        body: impl Iterator<Item = &'a [u8]> + Clone,
    ) -> Self {
        let account = account.map_or("", ClientAccountName::as_str);
        Self(hash_parts_and_pieces([account.as_bytes(), path.as_bytes()], body))
    }
}

impl RequestDigest {
    /// Parses a digest in the form that [`Display`](fmt::Display) writes; `None` for any other text.
    ///
    /// # Examples
    ///
    /// ```
    /// use quincevalve_forwarding::request_digest::RequestDigest;
    /// let digest = RequestDigest(0x1f);
    /// assert_eq!(RequestDigest::parse(&digest.to_string()), Some(digest));
    /// assert_eq!(RequestDigest::parse("1f"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let is_well_formed = text.len() == 16 && text.bytes().all(|it| it.is_ascii_hexdigit());
        is_well_formed.then(|| u64::from_str_radix(text, 16).ok().map(Self))?
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
