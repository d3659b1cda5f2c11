//! All answers of this VM, running and kept for re-attaching.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use quincevalve_names::{ClientAccountName, IdempotencyKey, RequestId};

use crate::{answer::Answer, request::Identified, settings::Limits};

/// One request that this VM knows.
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

/// Ended answers that are handed over when this VM is taken back.
const MAX_HANDED_OVER_ANSWERS: usize = 2_000;

/// What stands under a caller's key.
pub(crate) enum KeyState {
    /// Nothing.
    Free,
    /// The same request.
    Same(Known),
    /// Another request.
    Other,
}

/// The table. Ended answers are kept, oldest out first, within the limits.
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

    /// Inserts unless the caller's key is taken; one step, so that two repeats can't both be first.
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

    /// Forgets a request, with its key: it was refused and did not run, so a repeat may be new.
    pub(crate) fn forget(&self, id: RequestId) {
        let mut table = self.lock();
        if let Some(known) = table.known.remove(&id)
            && let Some(key) = caller_key(&known.request)
            && table.by_key.get(&key) == Some(&id)
        {
            table.by_key.remove(&key);
        }
    }

    /// Notes that an answer ended, and lets the oldest ended ones go.
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

    /// Requests that are still running here.
    pub(crate) fn running(&self) -> Vec<Known> {
        let table = self.lock();
        let open = table.known.values().filter(|it| it.answer.ended().is_none());
        open.filter(|it| !table.moved.contains(&it.request.id)).cloned().collect()
    }

    /// Notes that another VM has the request now.
    pub(crate) fn mark_moved(&self, id: RequestId) {
        self.lock().moved.insert(id);
    }

    /// Whether another VM has the request now.
    pub(crate) fn is_moved(&self, id: RequestId) -> bool {
        self.lock().moved.contains(&id)
    }

    /// Ended answers under a caller's key, the newest first: what a caller is likeliest to ask again.
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
