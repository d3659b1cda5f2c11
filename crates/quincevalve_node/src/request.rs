//! The way of a request: [`front`] takes it, [`identify`] says what it is, [`placing`] picks a server, [`exchange`] sends it
//! there over a connection of [`backends`], [`relay`] passes a stream on, and [`dispatch`] goes through these until there is
//! an answer.

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
