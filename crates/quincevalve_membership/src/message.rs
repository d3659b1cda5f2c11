//! What members send each other.

use serde::{Deserialize, Serialize};

use crate::{Member, Summary};

/// News of one member.
pub type Update = Member;

/// A probe or its answer: the sender itself, and news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender as it sees itself.
    pub sender: Member,
    /// News of others in the sender's data centre; empty towards other data centres.
    pub updates: Vec<Update>,
    /// Summaries of data centres.
    pub summaries: Vec<Summary>,
}
