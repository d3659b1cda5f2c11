//! The admission decision: run now, wait, or refuse early and truthfully.

mod admission;
mod fair_queue;
mod shares;

pub use crate::{
    admission::{
        AccountIndex, AccountLimits, Admission, AdmissionSettings, Arrival, Decision, Refused,
        Ticket, Urgency,
    },
    shares::{Demand, own_share},
};
