//! Retry budget in proportion to new requests.

/// Cost of one retry. The balance is kept in millionths of a retry.
const RETRY_COST: u64 = 1_000_000;
/// Amount that each new request adds: a tenth of a retry, which limits attempts to 1.1 times the requests.
const DEPOSIT_PER_REQUEST: u64 = RETRY_COST / 10;
/// Maximum balance: an entry VM with little traffic may make up to 10 retries in a burst.
const MAX_BALANCE: u64 = 10 * RETRY_COST;

/// Retry budget of one entry VM.
///
/// Without a limit, retries of requests that failed on overloaded servers add load, so the overload outlasts
/// its cause (a metastable failure). Limiting retries to a tenth of new requests bounds the added load to that
/// tenth, so the total load drops as soon as new requests drop.
///
/// # Examples
///
/// ```
/// let mut budget = quincevalve_retries::RetryBudget::default();
/// for _ in 0..20 {
///     budget.deposit();
/// }
/// assert!(budget.try_spend() && budget.try_spend());
/// assert!(!budget.try_spend());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryBudget {
    balance: u64,
}

impl RetryBudget {
    /// Adds the share of a new request to the budget.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes one retry out of the budget; returns `false` if the balance doesn't cover it.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
