//! Counters for the SLO burn report: good and bad requests per account and class, by minute.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use indexmap::IndexMap;
use quincevalve_names::{ClassName, ClientAccountName, RequestId, TimePoint};
use serde::{Deserialize, Serialize};

const BUCKET_WIDTH: Duration = Duration::from_secs(60);
/// Maximum number of buckets of a row: six hours, the longest window of the report.
const MAX_BUCKETS: usize = 360;
/// Maximum number of bad request ids kept for each row.
const MAX_EXAMPLES: usize = 8;

/// Requests of one row in one minute.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurnBucket {
    /// Minutes since the VM's start.
    pub minute: u64,
    /// Requests that met the promise of their class.
    pub good: u64,
    /// Requests that did not: late, refused, or without a complete answer.
    pub bad: u64,
}

/// Counts of one account's requests of one class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurnRow {
    /// Account of the requests.
    pub account: ClientAccountName,
    /// Class of the requests.
    pub class: ClassName,
    /// One bucket for each minute with requests, oldest first.
    pub buckets: VecDeque<BurnBucket>,
    /// Ids of the newest bad requests, oldest first.
    pub examples: VecDeque<RequestId>,
}

/// The response of an entry VM to `/internal/burn`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurnReport {
    /// Minutes since the VM's start.
    pub minute: u64,
    /// One row for each account and class.
    pub rows: Vec<BurnRow>,
}

/// Burn counters of one entry VM.
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
        if self.buckets.len() > MAX_BUCKETS {
            self.buckets.pop_front();
        }
        let Some(bucket) = self.buckets.back_mut() else { return };
        if good {
            bucket.good += 1;
            return;
        }
        bucket.bad += 1;
        self.examples.push_back(request);
        if self.examples.len() > MAX_EXAMPLES {
            self.examples.pop_front();
        }
    }
}

fn minute_of(now: TimePoint) -> u64 {
    now.as_micros() / BUCKET_WIDTH.as_micros() as u64
}
