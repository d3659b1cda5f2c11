//! Whether a refused request was executed.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a refused request may have run, as sent in the `quincevalve-outcome` header.
///
/// `NotRun` is a guarantee: callers may safely repeat the request. It is sent only if no byte of the request can have
/// reached a backend server, or if the server itself reported that the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run.
    NotRun,
    /// The request ran, is running, or may have run.
    MayHaveRun,
}

impl Outcome {
    /// Returns the value of the header.
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
