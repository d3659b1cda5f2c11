//! The way of a change of the platform's store: [`sync`] reads it, [`view`] takes it and has it passed on to other VMs; what
//! comes from those instead, [`state_copy`] and [`config_copy`] put together.

pub(crate) mod config_copy;
pub(crate) mod state_copy;
pub(crate) mod sync;
pub(crate) mod view;
