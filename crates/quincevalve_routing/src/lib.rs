//! Request routing: selects the backend server that processes a request.
//!
//! The router does no I/O and reads no clock. It knows its own outstanding work exactly. Load reports and
//! cache events are hints that lag and may be incomplete.

mod cache_hints;
mod leaving;
mod policy;
mod pool;
mod router;
mod routing_request;
mod server;

pub use crate::{
    leaving::LeavingEvidence,
    policy::{Candidate, LeastOutstanding, Policy, PredictedFirstToken},
    pool::{PoolKey, Target},
    router::{Choice, NoServer, Router, RouterSettings},
    routing_request::{RoutingRequest, Urgency},
    server::{LoadReport, ServerIndex, ServerSpec},
};
