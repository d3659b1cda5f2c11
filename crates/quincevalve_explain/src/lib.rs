//! Reads the log lines of entry VMs and tells what became of a request, or what was decided in a span of time.

pub mod line;
pub mod rollout;
pub mod server;
pub mod summary;
pub mod trace;
