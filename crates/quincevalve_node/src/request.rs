//! Processing of a caller's request.
//!
//! [`front`] accepts the request, [`identify`] finds its route, account and prompt, and [`dispatch`] runs attempts until
//! one yields an answer: [`placing`] picks a server, [`exchange`] sends the request over a connection of [`backends`],
//! and [`relay`] forwards a streamed answer.

pub(crate) mod backends;
pub(crate) mod body;
pub(crate) mod dispatch;
pub(crate) mod exchange;
pub(crate) mod exit_check;
pub(crate) mod front;
pub(crate) mod identify;
pub(crate) mod mover;
pub(crate) mod placing;
pub(crate) mod refusal;
pub(crate) mod relay;
mod signals;
pub(crate) mod trace;
