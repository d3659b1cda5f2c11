//! What a refusal says about the request's execution.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a refused request can have run, sent in the `quincevalve-outcome` header.
///
/// `NotRun` is a promise: callers may repeat the request without risk. It is given only where no byte
/// of the request can have reached a backend server, or that server itself said that it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request truly did not run.
    NotRun,
    /// The request ran, is running, or may have run.
    MayHaveRun,
}

impl Outcome {
    /// The header value.
    ///
    /// ```
    /// assert_eq!(quincevalve_names::Outcome::NotRun.as_str(), "not-run");
    /// ```
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
