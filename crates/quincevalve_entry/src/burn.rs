//! Counts for the report on service-level burn: good and bad events per account and class, by minute.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use indexmap::IndexMap;
use quincevalve_names::{ClassName, ClientAccountName, RequestId, TimePoint};
use serde::{Deserialize, Serialize};

const BUCKET: Duration = Duration::from_secs(60);
/// Six hours of minutes: the longest window of the report.
const BUCKETS: usize = 360;
/// Bad requests kept by name for each row.
const EXAMPLES: usize = 8;

/// One minute of one row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurnBucket {
    /// Minutes since the VM's start.
    pub minute: u64,
    /// Requests that kept the promise.
    pub good: u64,
    /// Requests that did not: late, refused, or without a whole answer.
    pub bad: u64,
}

/// One account's requests of one class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurnRow {
    /// The account.
    pub account: ClientAccountName,
    /// The class.
    pub class: ClassName,
    /// Minutes, oldest first.
    pub buckets: VecDeque<BurnBucket>,
    /// The newest bad requests.
    pub examples: VecDeque<RequestId>,
}

/// What one entry VM exposes under `/internal/burn`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurnReport {
    /// Minutes since the VM's start.
    pub minute: u64,
    /// All rows.
    pub rows: Vec<BurnRow>,
}

/// The counters.
#[derive(Debug, Default)]
pub(crate) struct Burn {
    rows: Mutex<IndexMap<(ClientAccountName, ClassName), BurnRow>>,
}

impl Burn {
    pub(crate) fn count(
        &self,
        now: TimePoint,
        account: &ClientAccountName,
        class: &ClassName,
        request: RequestId,
        good: bool,
    ) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let row = rows.entry((account.clone(), class.clone())).or_insert_with(|| BurnRow {
            account: account.clone(),
            class: class.clone(),
            buckets: VecDeque::new(),
            examples: VecDeque::new(),
        });
        row.count(minute_of(now), request, good);
    }

    pub(crate) fn report(&self, now: TimePoint) -> BurnReport {
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        BurnReport { minute: minute_of(now), rows: rows.values().cloned().collect() }
    }
}

impl BurnRow {
    fn count(&mut self, minute: u64, request: RequestId, good: bool) {
        if self.buckets.back().is_none_or(|it| it.minute != minute) {
            self.buckets.push_back(BurnBucket { minute, good: 0, bad: 0 });
        }
        if self.buckets.len() > BUCKETS {
            self.buckets.pop_front();
        }
        let Some(bucket) = self.buckets.back_mut() else { return };
        if good {
            bucket.good += 1;
            return;
        }
        bucket.bad += 1;
        self.examples.push_back(request);
        if self.examples.len() > EXAMPLES {
            self.examples.pop_front();
        }
    }
}

fn minute_of(now: TimePoint) -> u64 {
    now.as_micros() / BUCKET.as_micros() as u64
}
