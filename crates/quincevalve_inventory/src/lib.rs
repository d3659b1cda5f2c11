//! The operators' inventory and rules: the data model, the parser and the checks.
//!
//! An inventory is accepted only as a whole, after all checks have passed. A node therefore never serves from a
//! partially applied change.

pub mod checks;
mod key_hash;
mod model;
mod read;

pub use crate::{
    key_hash::{InvalidKeyHash, KeyHash},
    model::{
        BackendServer, Class, ClientAccount, DataCentre, Execution, Fencing, Inventory, Model,
        Promise, Region, Serves, Service, Tenure, VmClass,
    },
    read::{Format, ReadError, read_inventory},
};
