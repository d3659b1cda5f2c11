//! A budget of retries in proportion to the work that succeeds in being new.

/// Millionths of a retry.
const ONE: u64 = 1_000_000;
/// Each new request earns a tenth of a retry, so attempts stay below 1.1 of requests.
const EARNED: u64 = ONE / 10;
/// Retries that a quiet entry VM may spend at once.
const SAVED_AT_MOST: u64 = 10 * ONE;

/// The budget of one entry VM.
///
/// Failure: servers are overloaded and fail; each failure is tried again and adds load. Symptom: the
/// overload outlasts its cause (a metastable failure). With retries bound to a tenth of new requests the
/// load can grow by at most that tenth, so when new requests drop, the whole load drops.
///
/// # Examples
///
/// ```
/// let mut budget = quincevalve_retries::RetryBudget::default();
/// for _ in 0..20 {
///     budget.earn();
/// }
/// assert!(budget.spend() && budget.spend());
/// assert!(!budget.spend());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryBudget {
    saved: u64,
}

impl RetryBudget {
    /// Notes a new request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(SAVED_AT_MOST);
    }

    /// Takes one retry out of the budget; `false` if there is none.
    pub fn spend(&mut self) -> bool {
        if self.saved < ONE {
            return false;
        }
        self.saved -= ONE;
        true
    }
}
