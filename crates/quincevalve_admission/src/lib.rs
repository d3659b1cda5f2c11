//! Admission control: decides whether a request runs now, waits in a fair queue, or is refused early.

mod admission;
mod fair_queue;
mod shares;

pub use crate::{
    admission::{
        AccountIndex, AccountLimits, Admission, AdmissionSettings, Arrival, Decision,
        RefusalReason, Ticket, Urgency,
    },
    shares::{Demand, own_share},
};
