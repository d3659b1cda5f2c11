//! All answers of this VM: running ones, and ended ones retained for callers that reattach.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use quincevalve_names::{ClientAccountName, IdempotencyKey, RequestId};

use crate::{answer::Answer, request::Identified, settings::Limits};

/// A request that this VM knows, with its answer.
#[derive(Clone)]
pub(crate) struct Known {
    pub(crate) request: Arc<Identified>,
    pub(crate) answer: Arc<Answer>,
}

type CallerKey = (ClientAccountName, IdempotencyKey);

#[derive(Default)]
struct AnswerTable {
    known: HashMap<RequestId, Known>,
    by_key: HashMap<CallerKey, RequestId>,
    ended: VecDeque<RequestId>,
    ended_bytes: usize,
    moved: HashSet<RequestId>,
}

/// Maximum number of ended answers that are handed over when this VM is reclaimed.
const MAX_HANDED_OVER_ANSWERS: usize = 2_000;

/// Result of looking up a caller's idempotency key.
pub(crate) enum KeyState {
    /// The key is unused.
    Free,
    /// The key belongs to the same request.
    Same(Known),
    /// The key belongs to a different request.
    Other,
}

/// The table of all answers. Ended answers are retained within the limits; the oldest are evicted first.
pub(crate) struct Answers {
    table: Mutex<AnswerTable>,
    limits: Limits,
}

impl Answers {
    pub(crate) fn new(limits: Limits) -> Self {
        Self { table: Mutex::default(), limits }
    }

    fn lock(&self) -> MutexGuard<'_, AnswerTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn insert(&self, known: Known) {
        let mut table = self.lock();
        if let Some(key) = caller_key(&known.request) {
            table.by_key.insert(key, known.request.id);
        }
        table.known.insert(known.request.id, known);
    }

    /// Inserts the request unless its key is already used. Check and insertion are atomic, so that of two concurrent
    /// repeats only one is new.
    pub(crate) fn insert_unless_known(&self, known: Known) -> KeyState {
        let Some(key) = caller_key(&known.request) else {
            self.insert(known);
            return KeyState::Free;
        };
        let mut table = self.lock();
        let first = table.by_key.get(&key).and_then(|it| table.known.get(it)).cloned();
        match first {
            Some(first) if first.request.fingerprint() == known.request.fingerprint() => {
                KeyState::Same(first)
            }
            Some(_) => KeyState::Other,
            None => {
                table.by_key.insert(key, known.request.id);
                table.known.insert(known.request.id, known);
                KeyState::Free
            }
        }
    }

    pub(crate) fn find(&self, id: RequestId) -> Option<Known> {
        self.lock().known.get(&id).cloned()
    }

    /// Removes a request and its key: it was refused and did not run, so a repeat counts as a new request.
    pub(crate) fn forget(&self, id: RequestId) {
        let mut table = self.lock();
        if let Some(known) = table.known.remove(&id)
            && let Some(key) = caller_key(&known.request)
            && table.by_key.get(&key) == Some(&id)
        {
            table.by_key.remove(&key);
        }
    }

    /// Records that an answer ended, and evicts the oldest ended answers beyond the limits.
    pub(crate) fn record_ended(&self, id: RequestId) {
        let mut table = self.lock();
        let Some(known) = table.known.get(&id) else { return };
        table.ended_bytes += known.answer.size();
        table.ended.push_back(id);
        while table.ended.len() > self.limits.kept_answers
            || table.ended_bytes > self.limits.kept_answer_bytes
        {
            let Some(oldest) = table.ended.pop_front() else { return };
            table.remove_ended(oldest);
        }
    }

    /// Returns the requests that are still running on this VM.
    pub(crate) fn running(&self) -> Vec<Known> {
        let table = self.lock();
        let open = table.known.values().filter(|it| it.answer.ended().is_none());
        open.filter(|it| !table.moved.contains(&it.request.id)).cloned().collect()
    }

    /// Records that another VM has taken over the request.
    pub(crate) fn mark_moved(&self, id: RequestId) {
        self.lock().moved.insert(id);
    }

    /// Returns whether another VM has taken over the request.
    pub(crate) fn is_moved(&self, id: RequestId) -> bool {
        self.lock().moved.contains(&id)
    }

    /// Returns ended answers that have an idempotency key, newest first, since callers are most likely to repeat these.
    pub(crate) fn ended_with_key(&self) -> Vec<Known> {
        let table = self.lock();
        let ended = table.ended.iter().rev().filter_map(|it| table.known.get(it));
        ended.filter(|it| it.request.key.is_some()).take(MAX_HANDED_OVER_ANSWERS).cloned().collect()
    }
}

impl AnswerTable {
    fn remove_ended(&mut self, id: RequestId) {
        let Some(known) = self.known.remove(&id) else { return };
        self.ended_bytes = self.ended_bytes.saturating_sub(known.answer.size());
        if let Some(key) = caller_key(&known.request) {
            self.by_key.remove(&key);
        }
    }
}

fn caller_key(request: &Identified) -> Option<CallerKey> {
    let key = request.key.clone()?;
    Some((request.account.clone(), key))
}
