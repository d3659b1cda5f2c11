//! Group membership without a store: which nodes are alive, leaving or dead.
//!
//! In each period, a node probes a fixed number of peers, independent of the number of nodes, and disseminates updates
//! with its probes. Within a data centre, every node knows all members; data centres exchange summaries.

mod member;
mod membership;
mod message;
mod summary;
mod update_queue;

pub use crate::{
    member::{Load, Member, MemberState},
    membership::{Membership, MembershipAction, MembershipSettings},
    message::{Message, Update},
    summary::{Contact, Summary},
};
