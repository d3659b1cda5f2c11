//! The clocks of this process.

use nix::time::{ClockId, clock_gettime};
use quincevalve_names::TimePoint;

/// Returns the time since the VM's boot, including time in which the VM was suspended.
///
/// Every age in this process is measured with this clock. A clock that stops while the VM is suspended would make
/// leases and freshness confirmations look newer than they are, and the VM would act on outdated state.
pub(crate) fn now() -> TimePoint {
    // The call fails only for clocks that the kernel lacks; every supported kernel has this one.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(TimePoint::ZERO, |it| {
        TimePoint(it.tv_sec() as u64 * 1_000_000 + it.tv_nsec() as u64 / 1_000)
    })
}

/// Returns the system clock's time in milliseconds since 1970, which may jump.
pub(crate) fn wall_ms() -> i64 {
    clock_gettime(ClockId::CLOCK_REALTIME)
        .map_or(0, |it| it.tv_sec() * 1_000 + it.tv_nsec() / 1_000_000)
}
