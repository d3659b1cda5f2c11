//! Stand-ins for the platform, workers and clients of the review's cases, over HTTP/1.1 on loopback.

pub mod addresses;
pub mod http;
pub mod node;
pub mod platform;
pub mod record;
pub mod workers;
