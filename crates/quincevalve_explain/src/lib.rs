//! Reads the log lines of entry VMs and explains the outcome of a request, the decisions in a time range, a service's
//! roll-outs, or what VMs knew of a server.

pub mod line;
pub mod rollout;
pub mod server;
pub mod summary;
pub mod trace;
