//! The filters of the request path, one per file. The pipe applies identify, admit and claim, and for each attempt
//! route, dispatch and relay.

mod admit;
mod claim;
mod dispatch;
mod identify;
mod relay;
mod route;
mod settle;

pub(crate) use self::{
    admit::{AdmissionControl, AdmissionPermit, Admit},
    claim::Claim,
    dispatch::{Dispatch, Dispatched},
    identify::{Identify, identify_account},
    relay::Relay,
    route::{Route, Routed},
    settle::settle,
};
