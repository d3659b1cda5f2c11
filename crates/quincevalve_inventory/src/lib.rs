//! The operators' inventory and rules: the model, reading it, and the checks on the whole of it.
//!
//! An inventory is only ever taken as a whole, after every check has passed. A node therefore never
//! serves from half a change.

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
