//! The log of one answer: what relays append to and callers read from.

use std::{
    future::poll_fn,
    sync::{Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
};

use bytes::Bytes;
use quincevalve_names::{BackendServerName, RequestId, Sequence, TimePoint};
use tokio::sync::watch;

use crate::refusal::Refusal;

/// How an answer ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum End {
    /// The backend server confirmed that it is whole.
    Whole,
    /// There is no whole answer; this is the truth about it.
    Refused(Refusal),
    /// Another entry VM has the request now.
    Moved,
}

/// The head of a plain service's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ServiceHead {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
}

#[derive(Debug, Default)]
pub(crate) struct AnswerState {
    /// Texts of all tokens, one after the other.
    text: String,
    /// Where each token ends in `text`. Compact: a token costs its text and four bytes.
    ends: Vec<u32>,
    /// The bytes of a plain service's answer.
    chunks: Vec<Bytes>,
    head: Option<ServiceHead>,
    end: Option<End>,
    wakers: Vec<Waker>,
    readers: u32,
    unread_since: TimePoint,
    server: Option<BackendServerName>,
}

/// Whether the right to go on with a request stays on this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ownership {
    /// It is here.
    Held,
    /// The hand-over asks for it.
    Requested,
    /// It was given up: nothing here sends the request anywhere any more.
    Released,
}

/// One answer. Appending wakes all readers.
#[derive(Debug)]
pub(crate) struct Answer {
    id: RequestId,
    state: Mutex<AnswerState>,
    ownership: watch::Sender<Ownership>,
}

impl Answer {
    pub(crate) fn new(id: RequestId) -> Self {
        Self { id, state: Mutex::default(), ownership: watch::Sender::new(Ownership::Held) }
    }

    pub(crate) const fn id(&self) -> RequestId {
        self.id
    }

    fn lock(&self) -> MutexGuard<'_, AnswerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update(&self, update: impl FnOnce(&mut AnswerState)) {
        let wakers = {
            let mut state = self.lock();
            update(&mut state);
            std::mem::take(&mut state.wakers)
        };
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Appends tokens; the relay has put them in order.
    pub(crate) fn push_tokens<'a>(&self, tokens: impl IntoIterator<Item = &'a str>) {
        self.update(|it| it.push_tokens(tokens));
    }

    pub(crate) fn set_head(&self, head: ServiceHead) {
        self.update(|it| it.head = Some(head));
    }

    pub(crate) fn push_bytes(&self, bytes: Bytes) {
        self.update(|it| it.chunks.push(bytes));
    }

    /// Ends the answer. The first end stands: a late one changes nothing that a caller was told.
    pub(crate) fn end(&self, end: End) {
        self.update(|it| {
            it.end.get_or_insert(end);
        });
    }

    pub(crate) fn next(&self) -> Sequence {
        Sequence(self.lock().ends.len() as u32)
    }

    pub(crate) fn ended(&self) -> Option<End> {
        self.lock().end.clone()
    }

    /// Notes the server that the request is being sent to; before the first byte goes out.
    pub(crate) fn set_server(&self, server: &BackendServerName) {
        self.lock().server = Some(server.clone());
    }

    pub(crate) fn server(&self) -> Option<BackendServerName> {
        self.lock().server.clone()
    }

    /// Asks for the right to go on, and waits until it was given up. `false` if the answer ended first.
    pub(crate) async fn request_release(&self) -> bool {
        self.ownership.send_if_modified(|it| {
            let held = *it == Ownership::Held;
            if held {
                *it = Ownership::Requested;
            }
            held
        });
        let mut ownership = self.ownership.subscribe();
        tokio::select! {
            released = ownership.wait_for(|it| *it == Ownership::Released) => released.is_ok(),
            _ = self.finished() => false,
        }
    }

    /// Waits until the right is asked for.
    pub(crate) async fn release_requested(&self) {
        let mut ownership = self.ownership.subscribe();
        let requested = ownership.wait_for(|it| *it == Ownership::Requested).await.is_ok();
        if !requested {
            std::future::pending::<()>().await;
        }
    }

    /// Gives the right up.
    pub(crate) fn release_ownership(&self) {
        self.ownership.send_replace(Ownership::Released);
    }

    /// Takes the right back: nobody else has the request.
    pub(crate) fn restore_ownership(&self) {
        self.ownership.send_replace(Ownership::Held);
    }

    /// Bytes that keeping this answer takes.
    pub(crate) fn size(&self) -> usize {
        let state = self.lock();
        state.text.len() + state.ends.len() * 4 + state.chunks.iter().map(Bytes::len).sum::<usize>()
    }

    /// Waits for the first token, the head, or the end.
    pub(crate) async fn started(&self) {
        poll_fn(|cx| self.poll_when(cx, AnswerState::has_started)).await;
    }

    /// Waits for the end.
    pub(crate) async fn finished(&self) -> End {
        poll_fn(|cx| self.poll_when(cx, |it| it.end.is_some())).await;
        self.ended().unwrap_or(End::Moved)
    }

    fn poll_when(&self, cx: &Context<'_>, ready: impl Fn(&AnswerState) -> bool) -> Poll<()> {
        let mut state = self.lock();
        if ready(&state) {
            return Poll::Ready(());
        }
        state.register_waker(cx);
        Poll::Pending
    }

    /// Reads under the lock; `read` returns `None` to be woken at the next change.
    pub(crate) fn poll_read<T>(
        &self,
        cx: &Context<'_>,
        read: impl FnOnce(&AnswerState) -> Option<T>,
    ) -> Poll<T> {
        let mut state = self.lock();
        if let Some(value) = read(&state) {
            Poll::Ready(value)
        } else {
            state.register_waker(cx);
            Poll::Pending
        }
    }

    pub(crate) fn read<T>(&self, read: impl FnOnce(&AnswerState) -> T) -> T {
        read(&self.lock())
    }

    pub(crate) fn add_reader(&self) {
        self.lock().readers += 1;
    }

    pub(crate) fn remove_reader(&self, now: TimePoint) {
        let mut state = self.lock();
        state.readers = state.readers.saturating_sub(1);
        state.unread_since = now;
    }

    /// Since when nobody has read; `None` while somebody reads.
    pub(crate) fn unread_since(&self) -> Option<TimePoint> {
        let state = self.lock();
        (state.readers == 0).then_some(state.unread_since)
    }
}

impl AnswerState {
    fn push_tokens<'a>(&mut self, tokens: impl IntoIterator<Item = &'a str>) {
        for token in tokens {
            self.text.push_str(token);
            self.ends.push(self.text.len() as u32);
        }
    }

    fn has_started(&self) -> bool {
        !self.ends.is_empty() || self.head.is_some() || self.end.is_some()
    }

    fn register_waker(&mut self, cx: &Context<'_>) {
        if !self.wakers.iter().any(|it| it.will_wake(cx.waker())) {
            self.wakers.push(cx.waker().clone());
        }
    }

    /// The tokens from a position on.
    pub(crate) fn tokens_from(&self, from: Sequence) -> impl Iterator<Item = (Sequence, &str)> {
        let first = (from.0 as usize).min(self.ends.len());
        (first..self.ends.len()).map(|index| {
            let start = if index == 0 { 0 } else { self.ends[index - 1] as usize };
            (Sequence(index as u32), &self.text[start..self.ends[index] as usize])
        })
    }

    pub(crate) fn token_count(&self) -> u32 {
        self.ends.len() as u32
    }

    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    pub(crate) fn chunks_from(&self, from: usize) -> &[Bytes] {
        &self.chunks[from.min(self.chunks.len())..]
    }

    pub(crate) const fn head(&self) -> Option<&ServiceHead> {
        self.head.as_ref()
    }

    pub(crate) const fn end(&self) -> Option<&End> {
        self.end.as_ref()
    }
}
