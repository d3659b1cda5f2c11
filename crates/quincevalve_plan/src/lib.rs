//! Fleet planning: which VMs to run in which data centre, and which orders the engines get.
//!
//! Planning is a pure function of demand, prices and the running VMs. Provisioning and sending orders are
//! state machines whose steps are idempotent.

mod buying;
mod orders;
mod plan;

pub use crate::{
    buying::{Buyer, BuyerAction, BuyerSettings, Offer},
    orders::{OrderAction, OrderEvent, OrderFencing, OrderSettings, Orderer},
    plan::{Desired, Market, cheapest_mix},
};
