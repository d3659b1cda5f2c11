//! Divides a data centre's capacity among its entry VMs by demand, without a central counter.

/// Demand of one entry VM, as last reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Number of requests running and waiting on the VM.
    pub requests: u32,
}

/// Fraction of the capacity that is divided evenly, so that a VM whose demand is unknown can serve immediately.
const EVEN_FRACTION: f64 = 0.25;

/// Returns how many of `capacity` concurrent requests this entry VM may run, at least 1.
///
/// Each VM computes its own share from its own demand and its peers' last reports. Reports lag, so the sum
/// over all VMs may temporarily exceed the capacity. The backend servers' queues absorb the excess until the
/// next reports correct the shares.
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
    let vm_count = peers.len() as f64 + 1.0;
    let others: f64 = peers.iter().map(|it| f64::from(it.requests)).sum();
    let total = f64::from(own.requests) + others;
    let even = 1.0 / vm_count;
    let by_demand = if total > 0.0 { f64::from(own.requests) / total } else { even };
    let share = EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * by_demand;
    ((f64::from(capacity) * share).round() as u32).max(1)
}
