//! Shares of a data centre's capacity, moved between entry VMs by demand without a central counter.

/// The demand of one entry VM, as last heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Requests running and waiting there.
    pub requests: u32,
}

/// Part of the capacity that is split evenly, so that a VM whose demand is unknown can serve at once.
const EVEN_PART: f64 = 0.25;

/// The places of `capacity` that this entry VM uses, from its own demand and what peers last said.
///
/// Each VM computes its own share from the same kind of numbers. Reports lag, so the sum over all VMs
/// may pass the capacity for a moment; the backend servers' own queues take that up, and the next
/// reports correct it.
///
/// # Examples
///
/// ```
/// use quincevalve_admission::{Demand, own_share};
/// let busy = Demand { requests: 90 };
/// let idle = Demand { requests: 0 };
/// assert!(own_share(100, busy, &[idle, idle]) > 80);
/// assert!(own_share(100, idle, &[busy, idle]) >= 8);
/// ```
pub fn own_share(capacity: u32, own: Demand, peers: &[Demand]) -> u32 {
    let members = peers.len() as f64 + 1.0;
    let others: f64 = peers.iter().map(|it| f64::from(it.requests)).sum();
    let total = f64::from(own.requests) + others;
    let even = 1.0 / members;
    let by_demand = if total > 0.0 { f64::from(own.requests) / total } else { even };
    let share = EVEN_PART * even + (1.0 - EVEN_PART) * by_demand;
    ((f64::from(capacity) * share).round() as u32).max(1)
}
