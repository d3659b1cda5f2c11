//! The administration API: versioned HTTP JSON.

mod api;
mod teams;

pub(crate) use self::api::serve;
pub use self::teams::{AdminRole, Team};
