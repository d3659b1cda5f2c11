//! The decision after a failure: try again, hedge, or give up with the truth.

mod budget;
mod decision;
mod hedge;

pub use crate::{
    budget::RetryBudget,
    decision::{Failure, FailureReach, NextStep, RetryRules, decide},
    hedge::HedgeClock,
};
