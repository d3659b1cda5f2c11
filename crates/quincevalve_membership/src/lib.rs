//! Membership without a store: who is there, who leaves, who is gone.
//!
//! Each node probes few peers a period, whatever the number of nodes, and passes news on with its probes.
//! Inside a data centre everybody knows everybody; across data centres a summary is exchanged.

mod member;
mod membership;
mod message;
mod news;
mod summary;

pub use crate::{
    member::{Load, Member, MemberState},
    membership::{Membership, MembershipAction, MembershipSettings},
    message::{Message, Update},
    summary::{Contact, Summary},
};
