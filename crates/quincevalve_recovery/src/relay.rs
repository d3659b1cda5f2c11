//! Relays the tokens of an answer in order, regardless of the order in which they arrive.

use std::collections::BTreeMap;

use quincevalve_names::{RequestId, Sequence};
use snafu::Snafu;

/// Maximum number of tokens that are held back while an earlier token is missing.
const MAX_HELD_TOKENS: usize = 256;

/// The decision on a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayStep {
    /// The token is the next one: forward it, then the tokens that [`Relay::next_held`] returns.
    Pass,
    /// The token is held back, since an earlier one is missing.
    Held,
    /// The token is dropped: it belongs to another request, or the caller already has it.
    Dropped,
}

/// An error that prevents a backend server's stream from yielding a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RelayError {
    /// The server skipped a token and continued.
    #[snafu(display(
        "token {missing} is missing, although {MAX_HELD_TOKENS} later tokens have arrived"
    ))]
    Gap {
        /// The position of the first missing token.
        missing: Sequence,
    },
    /// Two confirmations of the end differ, or there are tokens beyond the confirmed end.
    #[snafu(display("the server confirmed {confirmed} tokens, but the answer has {known}"))]
    WrongEnd {
        /// Number of tokens in the complete answer, as confirmed by the server.
        confirmed: u32,
        /// Number of tokens that the received positions imply.
        known: u32,
    },
}

/// The relay core of one answer.
///
/// Tokens may arrive late, twice, out of order or for another request, especially after a change of server. The caller
/// would then receive a word twice, or a part of another caller's answer. To prevent this, every token carries the
/// request's id and its position, and only the next position of this request is forwarded. The end is forwarded only
/// after the server has confirmed the number of tokens and all of them were forwarded.
///
/// # Examples
///
/// ```
/// use quincevalve_names::{HomeTag, RequestId, Sequence};
/// use quincevalve_recovery::{Relay, RelayStep};
///
/// let id = RequestId::new(HomeTag(1), 1);
/// let mut relay = Relay::new(id, Sequence(0));
/// assert_eq!(relay.token(id, Sequence(1), "b"), Ok(RelayStep::Held));
/// assert_eq!(relay.token(id, Sequence(0), "a"), Ok(RelayStep::Pass));
/// assert_eq!(relay.next_held().as_deref(), Some("b"));
/// assert_eq!(relay.token(id, Sequence(1), "b"), Ok(RelayStep::Dropped));
/// ```
#[derive(Clone, Debug)]
pub struct Relay {
    id: RequestId,
    next: Sequence,
    held: BTreeMap<Sequence, Box<str>>,
    confirmed: Option<u32>,
}

impl Relay {
    /// Creates a relay that starts at `next`, the first token that the caller doesn't have.
    pub const fn new(id: RequestId, next: Sequence) -> Self {
        Self { id, next, held: BTreeMap::new(), confirmed: None }
    }

    /// Processes a token from the server.
    pub fn token(
        &mut self,
        id: RequestId,
        seq: Sequence,
        text: &str,
    ) -> Result<RelayStep, RelayError> {
        if id != self.id || seq < self.next {
            return Ok(RelayStep::Dropped);
        }
        if let Some(confirmed) = self.confirmed.filter(|it| seq.0 >= *it) {
            return WrongEndSnafu { confirmed, known: seq.0 + 1 }.fail();
        }
        if seq == self.next {
            self.next = seq.next();
            return Ok(RelayStep::Pass);
        }
        if self.held.len() >= MAX_HELD_TOKENS {
            return GapSnafu { missing: self.next }.fail();
        }
        self.held.entry(seq).or_insert_with(|| text.into());
        Ok(RelayStep::Held)
    }

    /// Removes and returns the next token if it is among those held back.
    pub fn next_held(&mut self) -> Option<Box<str>> {
        let entry = self.held.first_entry().filter(|it| *it.key() == self.next)?;
        let text = entry.remove();
        self.next = self.next.next();
        Some(text)
    }

    /// Processes the server's confirmation that the answer has `tokens` tokens.
    pub fn end(&mut self, id: RequestId, tokens: u32) -> Result<(), RelayError> {
        if id != self.id {
            return Ok(());
        }
        let known = self.held.last_key_value().map_or(self.next.0, |it| it.0.0 + 1);
        if tokens < known || self.confirmed.is_some_and(|it| it != tokens) {
            return WrongEndSnafu { confirmed: tokens, known }.fail();
        }
        self.confirmed = Some(tokens);
        Ok(())
    }

    /// Returns whether the end was confirmed and every token was forwarded.
    pub fn is_complete(&self) -> bool {
        self.confirmed == Some(self.next.0)
    }

    /// Returns the position of the next token that the caller needs.
    pub const fn next(&self) -> Sequence {
        self.next
    }

    /// Discards tokens that are held back and the confirmed end, before the answer continues at another server.
    pub fn restart(&mut self) {
        self.held.clear();
        self.confirmed = None;
    }
}
