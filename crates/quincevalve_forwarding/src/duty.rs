//! The duty to act for all entry VMs, held by one VM at a time under a lease and a fencing number.
//!
//! The holder writes a claim, a key of its own for each term, under its lease. A write that expects the claim's revision
//! takes effect only while the term is held: no other term has that key, whatever the store gives out again.

mod lease;
mod reports;
mod term;

pub use self::{
    lease::{ClaimRead, Confirmation, DutyLease, LeaseStep, NotNow, Takeover, TermEnd},
    reports::{SentReports, UsageWindows},
    term::Term,
};
