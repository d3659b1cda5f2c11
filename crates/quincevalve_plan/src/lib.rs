//! The fleet's plan: which machines to hold where, and which orders engines get.
//!
//! Planning is a pure function of demand, prices and what is held. Buying and ordering are cores whose
//! every step may be repeated.

mod buying;
mod orders;
mod plan;

pub use crate::{
    buying::{Buyer, BuyerAction, BuyerSettings, Offer},
    orders::{OrderAction, OrderEvent, OrderFencing, OrderSettings, Orderer},
    plan::{Desired, Market, cheapest_mix},
};
