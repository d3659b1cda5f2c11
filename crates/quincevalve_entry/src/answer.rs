//! The append-only log of one answer, written by the relay and read by callers.

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
    /// The backend server confirmed that the answer is complete.
    Whole,
    /// There is no complete answer; the refusal states the reason and whether the request may have run.
    Refused(Refusal),
    /// Another entry VM has taken over the request.
    Moved,
}

/// Status and headers of a plain service's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ServiceHead {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
}

#[derive(Debug, Default)]
pub(crate) struct AnswerState {
    /// Concatenated texts of all tokens.
    text: String,
    /// End offset of each token in `text`. A token takes four bytes in addition to its text.
    ends: Vec<u32>,
    /// Body chunks of a plain service's response.
    chunks: Vec<Bytes>,
    head: Option<ServiceHead>,
    end: Option<End>,
    wakers: Vec<Waker>,
    readers: u32,
    unread_since: TimePoint,
    server: Option<BackendServerName>,
}

/// Whether this VM owns a request: only the owner may send it to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ownership {
    /// This VM owns the request.
    Held,
    /// The hand-over to another VM has requested the release.
    Requested,
    /// Ownership is released: this VM no longer sends the request to any server.
    Released,
}

/// One answer. Every update of its content wakes all waiting readers.
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

    /// Appends tokens, which the relay has already put in order.
    pub(crate) fn push_tokens<'a>(&self, tokens: impl IntoIterator<Item = &'a str>) {
        self.update(|it| it.push_tokens(tokens));
    }

    pub(crate) fn set_head(&self, head: ServiceHead) {
        self.update(|it| it.head = Some(head));
    }

    pub(crate) fn push_bytes(&self, bytes: Bytes) {
        self.update(|it| it.chunks.push(bytes));
    }

    /// Ends the answer. Later calls have no effect, since a caller may already have received the first end.
    pub(crate) fn end(&self, end: End) {
        self.update(|it| {
            it.end.get_or_insert(end);
        });
    }

    /// Returns the sequence number of the next token.
    pub(crate) fn next(&self) -> Sequence {
        Sequence(self.lock().ends.len() as u32)
    }

    pub(crate) fn ended(&self) -> Option<End> {
        self.lock().end.clone()
    }

    /// Records the server for the request; called before the first byte is sent to it.
    pub(crate) fn set_server(&self, server: &BackendServerName) {
        self.lock().server = Some(server.clone());
    }

    pub(crate) fn server(&self) -> Option<BackendServerName> {
        self.lock().server.clone()
    }

    /// Requests the release of ownership and waits for it. Returns `false` if the answer ended first.
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

    /// Waits until a release of ownership is requested.
    pub(crate) async fn release_requested(&self) {
        let mut ownership = self.ownership.subscribe();
        let requested = ownership.wait_for(|it| *it == Ownership::Requested).await.is_ok();
        if !requested {
            std::future::pending::<()>().await;
        }
    }

    /// Releases ownership.
    pub(crate) fn release_ownership(&self) {
        self.ownership.send_replace(Ownership::Released);
    }

    /// Restores ownership when no other VM has taken over the request.
    pub(crate) fn restore_ownership(&self) {
        self.ownership.send_replace(Ownership::Held);
    }

    /// Returns the approximate memory size of the content in bytes.
    pub(crate) fn size(&self) -> usize {
        let state = self.lock();
        state.text.len() + state.ends.len() * 4 + state.chunks.iter().map(Bytes::len).sum::<usize>()
    }

    /// Waits for the first token, the response head, or the end.
    pub(crate) async fn started(&self) {
        poll_fn(|cx| self.poll_when(cx, AnswerState::has_started)).await;
    }

    /// Waits for the end and returns it.
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

    /// Reads under the lock. If `read` returns `None`, the task is woken at the next update.
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

    /// Returns the time since which there is no reader; `None` while there is one.
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

    /// Returns the tokens from position `from`.
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
