//! Messages between VMs about the versions that began streams.

use std::time::Duration;

use quincevalve_names::ServiceName;
use serde::{Deserialize, Serialize};

use super::{StreamKey, VersionTag};

/// A message between VMs about the versions that began streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamMessage {
    /// Streams began; the receiver keeps their records.
    Began(Vec<StreamRecord>),
    /// Queries at which version a stream began.
    Query {
        /// Number of the query, of one start of the querying VM.
        seq: u64,
        /// The stream; `None` if its caller doesn't name it.
        key: Option<StreamKey>,
        /// Its service.
        service: ServiceName,
    },
    /// Answers a query.
    Answer {
        /// Number of the query.
        seq: u64,
        /// What the receiver of the query knows.
        answer: QueryAnswer,
    },
}

/// The version that began a stream, as one VM replicates it to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub key: StreamKey,
    /// The version.
    pub tag: VersionTag,
    /// Tenths of a second for which the caller may take the stream up.
    ttl_ds: u16,
}

impl StreamRecord {
    /// Creates the record of a stream that its caller may take up for `ttl`.
    pub fn new(key: StreamKey, tag: VersionTag, ttl: Duration) -> Self {
        let ttl_ds = u16::try_from(ttl.as_millis().div_ceil(100)).unwrap_or(u16::MAX);
        Self { key, tag, ttl_ds }
    }

    /// Returns the time for which the caller may take the stream up.
    pub fn ttl(&self) -> Duration {
        Duration::from_millis(u64::from(self.ttl_ds) * 100)
    }
}

/// What a VM knows of the version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryAnswer {
    /// It has a record of the stream.
    Recorded(VersionTag),
    /// The service has had no other version for as long as a stream may be taken up.
    Sole(VersionTag),
    /// Nothing.
    Unknown,
}
