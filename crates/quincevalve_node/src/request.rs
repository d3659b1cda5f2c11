//! Processing of a caller's request.
//!
//! [`frontend`] accepts the request, [`identify`] finds its route, account and prompt, and [`dispatch`] runs attempts
//! until one yields an answer: [`server_selection`] picks a server, [`waiting`] holds requests until one has capacity,
//! [`exchange`] sends the request over a connection of [`connection_pool`], and [`relay`] forwards a streamed answer.
//!
//! A request whose servers this VM can't connect to goes to a peer by [`forward_to_peer`], where [`serve_peers`] receives
//! it; [`reachability`] observes which servers these are.

pub(crate) mod answer_buffer;
pub(crate) mod body;
pub(crate) mod caller_connections;
pub(crate) mod caller_stream;
pub(crate) mod connection_pool;
mod contained;
pub(crate) mod copies;
pub(crate) mod dispatch;
pub(crate) mod exchange;
pub(crate) mod exit_check;
pub(crate) mod forward_to_peer;
pub(crate) mod forwarded;
pub(crate) mod frontend;
pub(crate) mod held_body;
pub(crate) mod held_memory;
pub(crate) mod http_server;
pub(crate) mod identify;
pub(crate) mod migration;
pub(crate) mod reachability;
pub(crate) mod refusal;
pub(crate) mod relay;
pub(crate) mod request_body;
pub(crate) mod resumption;
mod retries;
pub(crate) mod serve_peers;
pub(crate) mod server_selection;
mod signals;
pub(crate) mod stream_versions;
pub(crate) mod trace;
pub(crate) mod waiting;
