//! What a VM observed of a run whose server exited.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

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
