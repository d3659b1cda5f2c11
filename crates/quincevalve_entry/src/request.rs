//! A request's typed stages in the pipe.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use quincevalve_inventory::{Execution, Promise};
use quincevalve_names::{ClassName, ClientAccountName, IdempotencyKey, RequestId, TimePoint};
use quincevalve_recovery::{AnswerForm, Work};
use quincevalve_routing::{ServerIndex, Target, Urgency};

use crate::{answer::Answer, filters::AdmissionPermit, openai::StreamShape, view::View};

/// A request with all its bytes, before anything is known of it.
pub(crate) struct Received {
    pub(crate) head: http::request::Parts,
    pub(crate) body: Bytes,
    pub(crate) arrived: TimePoint,
}

/// Known: whose it is and what it asks for.
pub(crate) struct Identified {
    pub(crate) id: RequestId,
    pub(crate) account: ClientAccountName,
    pub(crate) class: ClassName,
    pub(crate) promise: Promise,
    pub(crate) execution: Execution,
    pub(crate) key: Option<IdempotencyKey>,
    pub(crate) work: Work,
    pub(crate) shape: Shape,
    pub(crate) arrived: TimePoint,
    pub(crate) view: Arc<View>,
}

/// The form in which the caller wants the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// A stream of OpenAI chunks.
    Stream(StreamShape),
    /// One OpenAI answer.
    Whole(StreamShape),
    /// The service's bytes.
    Bytes,
}

impl From<Shape> for AnswerForm {
    fn from(shape: Shape) -> Self {
        match shape {
            Shape::Stream(StreamShape::Chat) => Self::ChatStream,
            Shape::Whole(StreamShape::Chat) => Self::ChatWhole,
            Shape::Stream(StreamShape::Text) => Self::TextStream,
            Shape::Whole(StreamShape::Text) => Self::TextWhole,
            Shape::Bytes => Self::Bytes,
        }
    }
}

impl From<AnswerForm> for Shape {
    fn from(form: AnswerForm) -> Self {
        match form {
            AnswerForm::ChatStream => Self::Stream(StreamShape::Chat),
            AnswerForm::ChatWhole => Self::Whole(StreamShape::Chat),
            AnswerForm::TextStream => Self::Stream(StreamShape::Text),
            AnswerForm::TextWhole => Self::Whole(StreamShape::Text),
            AnswerForm::Bytes => Self::Bytes,
        }
    }
}

impl Identified {
    pub(crate) fn target(&self) -> Target {
        match &self.work {
            Work::Generate(it) => Target::Model(it.model.clone()),
            Work::Call(it) => Target::Service(it.service.clone()),
        }
    }

    pub(crate) const fn urgency(&self) -> Urgency {
        if self.promise.is_interactive() { Urgency::Interactive } else { Urgency::Bulk }
    }

    /// When the promise runs out.
    pub(crate) fn promise_deadline(&self) -> TimePoint {
        self.arrived + self.promise.limit()
    }

    /// Until when attempts go on.
    ///
    /// An accepted request is answered in full, late rather than not at all; this bounds how late.
    pub(crate) fn retry_deadline(&self) -> TimePoint {
        self.arrived + (self.promise.limit() * RETRY_TIME_FACTOR).max(MIN_RETRY_TIME)
    }

    pub(crate) fn prefix(&self) -> u64 {
        match &self.work {
            Work::Generate(it) => it.prefix,
            Work::Call(_) => self.id.hash64(),
        }
    }

    pub(crate) fn prompt_tokens(&self) -> u32 {
        match &self.work {
            Work::Generate(it) => it.prompt_tokens,
            Work::Call(_) => 1,
        }
    }

    /// A hash of what is asked for, to tell a repeat from another request under the same key.
    pub(crate) fn fingerprint(&self) -> u64 {
        use quincevalve_names::{hash_text, mix};
        match &self.work {
            Work::Generate(it) => mix(hash_text(&it.prompt), u64::from(it.max_tokens)),
            Work::Call(it) => {
                let body = String::from_utf8_lossy(&it.body);
                mix(hash_text(&it.path), hash_text(&body))
            }
        }
    }
}

const RETRY_TIME_FACTOR: u32 = 4;
const MIN_RETRY_TIME: Duration = Duration::from_secs(30);

/// Has a permit among the requests that run.
pub(crate) struct Admitted {
    pub(crate) request: Identified,
    pub(crate) permit: AdmissionPermit,
}

/// May be dispatched, or is a repeat.
pub(crate) enum Claimed {
    /// New here: it is accepted and will be answered.
    New(Accepted),
    /// A repeat: this is the first one's answer.
    Known(Repeat),
}

/// A repeat of a request that is known.
pub(crate) struct Repeat {
    pub(crate) answer: Arc<Answer>,
    pub(crate) shape: Shape,
}

/// Accepted: from here on it is answered in full, or the truth is told.
pub(crate) struct Accepted {
    pub(crate) request: Arc<Identified>,
    pub(crate) answer: Arc<Answer>,
    pub(crate) permit: AdmissionPermit,
    pub(crate) resume_on: Option<ServerIndex>,
}
