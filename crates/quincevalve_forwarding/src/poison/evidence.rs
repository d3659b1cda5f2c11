//! What VMs observed of runs whose servers exited.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{prompt_parts::PartDigest, request_digest::RequestDigest, stream_versions::VersionTag};

/// Time after the first event of an answer in which the exit of its server is taken for the answer's beginning.
const BEGIN_WINDOW: Duration = Duration::from_secs(1);

/// How far the answer to a request was when its server exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RunStage {
    /// The server had been writing for a while.
    Underway,
    /// Nothing of the answer had arrived.
    Waiting,
    /// The answer had just begun.
    Begun,
}

impl RunStage {
    /// Returns the stage of an answer whose head has arrived, by the time since its first event.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use quincevalve_forwarding::poison::RunStage;
    /// assert_eq!(RunStage::of_answer(None), RunStage::Begun);
    /// assert_eq!(RunStage::of_answer(Some(Duration::from_millis(80))), RunStage::Begun);
    /// assert_eq!(RunStage::of_answer(Some(Duration::from_secs(3))), RunStage::Underway);
    /// ```
    pub fn of_answer(since_first_event: Option<Duration>) -> Self {
        let is_new = since_first_event.is_none_or(|it| it <= BEGIN_WINDOW);
        if is_new { Self::Begun } else { Self::Underway }
    }
}

impl fmt::Display for RunStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Underway => "underway",
            Self::Waiting => "waiting",
            Self::Begun => "begun",
        })
    }
}

/// The exit of a server, as the VM of a run observed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExitEvidence {
    /// Identifies that start of the server, as returned by [`start_hash`](crate::servers::start_hash).
    pub server: u64,
    /// The server's software version.
    pub version: VersionTag,
    /// How far the answer was.
    pub stage: RunStage,
    /// The request that the server ran.
    pub request: RequestDigest,
    /// Other parts of its prompt that may have made the server exit.
    pub beside: Vec<PartDigest>,
}

/// What is known of a part at the software versions of its service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartFindings {
    /// Versions whose servers exit under it.
    pub crashed: Vec<VersionTag>,
    /// Versions at which requests with it completed.
    pub sound: Vec<VersionTag>,
}

impl PartFindings {
    /// Returns whether requests with the part are kept from servers of a version. Where it completed at some version, it
    /// depends on the version, and one of which nothing is known gets it.
    pub fn bars(&self, version: VersionTag) -> bool {
        self.crashed.contains(&version) || self.sound.is_empty()
    }

    /// Adds a version at which the part completed. Returns whether any version is left whose servers exit under it.
    pub fn add_sound(&mut self, version: VersionTag) -> bool {
        self.crashed.retain(|it| *it != version);
        if !self.sound.contains(&version) {
            self.sound.push(version);
        }
        !self.crashed.is_empty()
    }
}
