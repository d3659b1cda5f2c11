//! What servers may exit under.

use std::fmt;

use crate::{prompt_parts::PartDigest, request_digest::RequestDigest};

/// Prefix of the written form of a part. The written form of a request is its digest alone.
const PART_PREFIX: &str = "part-";

/// A whole request or a part of prompts, under which servers may exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Suspect {
    /// All attempts with the same content.
    Request(RequestDigest),
    /// All requests whose prompts hold this part.
    Part(PartDigest),
}

impl Suspect {
    /// Parses a suspect in the form that [`Display`](fmt::Display) writes; `None` for any other text.
    ///
    /// # Examples
    ///
    /// ```
    /// use quincevalve_forwarding::{poison::Suspect, prompt_parts::PartDigest};
    /// let part = Suspect::Part(PartDigest(0x1f));
    /// assert_eq!(part.to_string(), "part-000000000000001f");
    /// assert_eq!(Suspect::parse(&part.to_string()), Some(part));
    /// assert_eq!(Suspect::parse("part-1f"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        match text.strip_prefix(PART_PREFIX) {
            Some(part) => PartDigest::parse(part).map(Self::Part),
            None => RequestDigest::parse(text).map(Self::Request),
        }
    }

    /// Returns the number by which its arbiters are chosen.
    pub(super) fn key(self) -> u64 {
        match self {
            Self::Request(RequestDigest(key)) | Self::Part(PartDigest(key)) => key,
        }
    }

    /// Returns how log lines and metrics name the kind of suspect.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Request(_) => "request",
            Self::Part(_) => "part",
        }
    }
}

impl From<RequestDigest> for Suspect {
    fn from(digest: RequestDigest) -> Self {
        Self::Request(digest)
    }
}

impl From<PartDigest> for Suspect {
    fn from(part: PartDigest) -> Self {
        Self::Part(part)
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(digest) => digest.fmt(f),
            Self::Part(part) => write!(f, "{PART_PREFIX}{part}"),
        }
    }
}
