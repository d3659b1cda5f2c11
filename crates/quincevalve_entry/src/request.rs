//! Types that represent a request at each stage of the request path.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use quincevalve_inventory::{Execution, Promise};
use quincevalve_names::{ClassName, ClientAccountName, IdempotencyKey, RequestId, TimePoint};
use quincevalve_recovery::{AnswerForm, Work};
use quincevalve_routing::{ServerIndex, Target, Urgency};

use crate::{answer::Answer, filters::AdmissionPermit, openai::StreamShape, view::View};

/// A request read in full, before it is parsed.
pub(crate) struct Received {
    pub(crate) head: http::request::Parts,
    pub(crate) body: Bytes,
    pub(crate) arrived: TimePoint,
}

/// A request with its account, class and parsed work.
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

/// The form in which the caller receives the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// A stream of OpenAI chunks.
    Stream(StreamShape),
    /// A single OpenAI response body.
    Whole(StreamShape),
    /// The bytes of a plain service's response.
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
    /// Returns the model or service that the request is for.
    pub(crate) fn target(&self) -> Target {
        match &self.work {
            Work::Generate(it) => Target::Model(it.model.clone()),
            Work::Call(it) => Target::Service(it.service.clone()),
        }
    }

    pub(crate) const fn urgency(&self) -> Urgency {
        if self.promise.is_interactive() { Urgency::Interactive } else { Urgency::Bulk }
    }

    /// Returns the time by which the class promises the answer.
    pub(crate) fn promise_deadline(&self) -> TimePoint {
        self.arrived + self.promise.limit()
    }

    /// Returns the time after which the request is not retried.
    ///
    /// An accepted request is answered late rather than not at all; this bounds the delay.
    pub(crate) fn retry_deadline(&self) -> TimePoint {
        self.arrived + (self.promise.limit() * RETRY_TIME_FACTOR).max(MIN_RETRY_TIME)
    }

    /// Returns the hash by which routing finds servers that hold the prompt's prefix. A call has no prefix, so the hash
    /// of its id is used.
    pub(crate) fn prefix(&self) -> u64 {
        match &self.work {
            Work::Generate(it) => it.prefix,
            Work::Call(_) => self.id.hash64(),
        }
    }

    /// Returns the estimated number of tokens in the prompt; 1 for a call.
    pub(crate) fn prompt_tokens(&self) -> u32 {
        match &self.work {
            Work::Generate(it) => it.prompt_tokens,
            Work::Call(_) => 1,
        }
    }

    /// Returns a hash of the work, which distinguishes a repeat from a different request under the same key.
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

/// Time for retries, as a multiple of the promised time.
const RETRY_TIME_FACTOR: u32 = 4;
/// Minimum time for retries after the request's arrival.
const MIN_RETRY_TIME: Duration = Duration::from_secs(30);

/// A request that holds an admission permit.
pub(crate) struct Admitted {
    pub(crate) request: Identified,
    pub(crate) permit: AdmissionPermit,
}

/// The result of the claim filter.
pub(crate) enum Claimed {
    /// A new request, which is accepted and will be answered.
    New(Accepted),
    /// A repeat, which gets the answer of the first request.
    Known(Repeat),
}

/// A repeat of a known request.
pub(crate) struct Repeat {
    pub(crate) answer: Arc<Answer>,
    pub(crate) shape: Shape,
}

/// An accepted request: it gets a complete answer, or an error that states whether it may have run.
pub(crate) struct Accepted {
    pub(crate) request: Arc<Identified>,
    pub(crate) answer: Arc<Answer>,
    pub(crate) permit: AdmissionPermit,
    pub(crate) resume_on: Option<ServerIndex>,
}
