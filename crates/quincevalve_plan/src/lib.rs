//! Fleet planning: which VMs to run in which data centre, and which orders the engines get.
//!
//! Planning is a pure function of demand, prices and the running VMs. Provisioning and sending orders are
//! state machines whose steps are idempotent.

mod orders;
mod plan;
mod provisioning;

pub use crate::{
    orders::{OrderAction, OrderDispatcher, OrderEvent, OrderFencing, OrderSettings},
    plan::{Desired, Market, cheapest_mix},
    provisioning::{Offer, ProvisionAction, Provisioner, ProvisionerSettings},
};
