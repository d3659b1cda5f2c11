//! The filters of the request path, one file each, in the order in which they stand in the pipe.

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
