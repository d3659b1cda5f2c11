//! The order of an answer's tokens, whatever order they arrive in.

use std::collections::BTreeMap;

use quincevalve_names::{RequestId, Sequence};
use snafu::Snafu;

/// Tokens held back while an earlier one is missing.
const HELD_LIMIT: usize = 256;

/// What to do with a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayStep {
    /// It is the next one: pass it on, then take what [`Relay::next_held`] gives.
    Pass,
    /// It was held back, since an earlier one is missing.
    Held,
    /// It was dropped: another request's, or one that the caller has already.
    Dropped,
}

/// A backend server's stream can't be made whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RelayError {
    /// The server skipped a token and went on.
    #[snafu(display("token {missing} is missing and {HELD_LIMIT} later ones have arrived"))]
    Gap {
        /// The first missing token.
        missing: Sequence,
    },
    /// Two confirmations of the end differ, or tokens lie beyond it.
    #[snafu(display("the server confirmed an end at {confirmed}, but the answer has {known}"))]
    WrongEnd {
        /// Tokens of the whole answer, as confirmed.
        confirmed: u32,
        /// Tokens that are known.
        known: u32,
    },
}

/// The relay core of one answer.
///
/// Failure: tokens arrive late, doubled, out of order, or belong to another request, after a change of
/// server most of all. Symptom: a caller reads a word twice, or somebody else's. Every token carries the
/// request's id and its position, and only the next position of the own id passes, so neither can happen.
/// The end passes only once the server confirmed how many tokens there are and all of them passed.
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
    /// Starts at the first token that the caller doesn't have.
    pub const fn new(id: RequestId, next: Sequence) -> Self {
        Self { id, next, held: BTreeMap::new(), confirmed: None }
    }

    /// Takes a token.
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
        if self.held.len() >= HELD_LIMIT {
            return GapSnafu { missing: self.next }.fail();
        }
        self.held.entry(seq).or_insert_with(|| text.into());
        Ok(RelayStep::Held)
    }

    /// The next token among those held back, if it is there.
    pub fn next_held(&mut self) -> Option<Box<str>> {
        let entry = self.held.first_entry().filter(|it| *it.key() == self.next)?;
        let text = entry.remove();
        self.next = self.next.next();
        Some(text)
    }

    /// Takes the server's confirmation of the end.
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

    /// Whether the end was confirmed and every token has passed.
    pub fn is_whole(&self) -> bool {
        self.confirmed == Some(self.next.0)
    }

    /// The next token that the caller needs.
    pub const fn next(&self) -> Sequence {
        self.next
    }

    /// Forgets what was held back, for going on at another server.
    pub fn restart(&mut self) {
        self.held.clear();
        self.confirmed = None;
    }
}
