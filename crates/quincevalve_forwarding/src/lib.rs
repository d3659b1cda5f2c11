//! Decisions of the forwarding path: requests that are passed on to backend servers unchanged.
//!
//! Everything here is a plain state machine without I/O and without a clock of its own, so that a test
//! drives each decision in virtual time. `quincevalve_node` wraps these cores in HTTP.

pub mod allowance;
pub mod change_log;
pub mod chunk_fetch;
pub mod chunks;
pub mod config;
pub mod demand;
pub mod digest_pace;
pub mod duty;
pub mod fleet_size;
pub mod freshness;
pub mod line_budget;
pub mod load;
pub mod peer_table;
pub mod placement;
pub mod poison;
pub mod quota;
pub mod rate;
pub mod request_digest;
pub mod retry_budget;
pub mod rollout;
pub mod server_signals;
pub mod servers;
pub mod shared_limit;
pub mod signal_outbox;
pub mod store_contact;
pub mod store_pacing;
pub mod sums;
pub mod usage;
pub mod wall_clock;
