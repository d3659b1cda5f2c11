//! Administration API: versioned JSON over HTTP.

mod api;
mod teams;

pub(crate) use self::api::serve;
pub use self::teams::{AdminRole, Team};
