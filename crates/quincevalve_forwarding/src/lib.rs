//! Decision logic of the forwarding path, which passes requests unchanged to backend servers.
//!
//! All types are state machines without I/O and without a clock, so that tests can drive each decision in virtual time.
//! `quincevalve_node` connects them to HTTP.

// Values from outside must not end a task. An exception gives its reason at the place.
#![warn(
    clippy::disallowed_methods,
    clippy::expect_used,
    clippy::get_unwrap,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::string_slice,
    clippy::todo,
    clippy::unimplemented,
    clippy::unreachable
)]

pub mod allowance;
pub mod caller_activity;
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
pub mod memory_budget;
pub mod peer_forwarding;
pub mod peer_table;
pub mod placement;
pub mod poison;
pub mod prompt_parts;
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
pub mod stream_versions;
pub mod sums;
pub mod task_restarts;
pub mod usage;
pub mod wall_clock;
