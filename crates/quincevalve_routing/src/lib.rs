//! The routing decision: which backend server gets a request.
//!
//! The core has no I/O and no clock. It knows its own outstanding work exactly, and takes everything
//! else (load reports, cache events) as hints that lag and have gaps.

mod ask;
mod cache_hints;
mod leaving;
mod policy;
mod pool;
mod router;
mod server;

pub use crate::{
    ask::{Ask, Urgency},
    leaving::LeavingEvidence,
    policy::{Candidate, LeastOutstanding, Policy, PredictedFirstToken},
    pool::{PoolKey, Target},
    router::{Choice, NoServer, Router, RouterSettings},
    server::{LoadReport, ServerIndex, ServerSpec},
};
