//! The clock that counts suspension.

use nix::time::{ClockId, clock_gettime};
use quincevalve_names::TimePoint;

/// The time since the VM's boot, time asleep included.
///
/// Failure: a suspended VM's steady clock stands still. Symptom: leases and proofs look younger than they
/// are, and the VM acts on what has long changed. Every age in this process is taken from this clock.
pub(crate) fn now() -> TimePoint {
    // The call fails only for clocks that the kernel doesn't have; this one is older than any supported.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(TimePoint::ZERO, |it| {
        TimePoint(it.tv_sec() as u64 * 1_000_000 + it.tv_nsec() as u64 / 1_000)
    })
}

/// The time of day in milliseconds since 1970; may jump.
pub(crate) fn wall_ms() -> i64 {
    clock_gettime(ClockId::CLOCK_REALTIME)
        .map_or(0, |it| it.tv_sec() * 1_000 + it.tv_nsec() / 1_000_000)
}
