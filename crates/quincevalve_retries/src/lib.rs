//! Retries and hedging: decides whether a failed or slow attempt is retried, hedged or given up.

mod budget;
mod decision;
mod hedge;

pub use crate::{
    budget::RetryBudget,
    decision::{ExecutionStatus, FailedAttempt, RetryDecision, RetryPolicy, decide_retry},
    hedge::HedgeDelay,
};
