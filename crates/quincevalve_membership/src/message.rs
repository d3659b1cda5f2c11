//! The messages that members exchange.

use serde::{Deserialize, Serialize};

use crate::{Member, Summary};

/// An update about one member.
pub type Update = Member;

/// A probe or its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's description of itself.
    pub sender: Member,
    /// Updates about other members of the sender's data centre. Ignored by receivers in other data centres.
    pub updates: Vec<Update>,
    /// Summaries of data centres.
    pub summaries: Vec<Summary>,
}
