//! The clocks of this process.

use nix::{
    errno::Errno,
    sys::time::TimeSpec,
    time::{ClockId, clock_gettime},
};
use quincevalve_names::TimePoint;
use snafu::{ResultExt, Snafu};

/// A clock that the process needs can't be read.
#[derive(Debug, Snafu)]
#[snafu(display("clock {name}: {source}"))]
pub struct ClockError {
    /// Name of the clock.
    name: &'static str,
    /// Why.
    source: Errno,
}

/// A clock of the system.
struct Clock {
    id: ClockId,
    name: &'static str,
}

/// The time since the VM's boot, including time in which the VM was suspended.
const BOOT: Clock = Clock { id: ClockId::CLOCK_BOOTTIME, name: "CLOCK_BOOTTIME" };
/// The time since 1970, which may jump.
const WALL: Clock = Clock { id: ClockId::CLOCK_REALTIME, name: "CLOCK_REALTIME" };

impl Clock {
    fn read(&self) -> Result<TimeSpec, ClockError> {
        clock_gettime(self.id).context(ClockSnafu { name: self.name })
    }

    /// Returns the time of a clock that [`check`] has read.
    ///
    /// # Panics
    ///
    /// Panics if the clock can't be read any more.
    #[expect(clippy::panic, reason = "no other time can stand for it: every age would be wrong")]
    fn time(&self) -> TimeSpec {
        self.read().unwrap_or_else(|error| panic!("{error}"))
    }
}

/// Returns an error if a clock can't be read. A process without its clocks must not start.
pub(crate) fn check() -> Result<(), ClockError> {
    [BOOT, WALL].iter().try_for_each(|it| it.read().map(drop))
}

/// Returns the time since the VM's boot, including time in which the VM was suspended.
///
/// Every age in this process is measured with this clock. A clock that stops while the VM is suspended would make
/// leases and freshness confirmations look newer than they are, and the VM would act on outdated state.
pub(crate) fn now() -> TimePoint {
    let time = BOOT.time();
    TimePoint(time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1_000)
}

/// Returns the system clock's time in milliseconds since 1970, which may jump.
pub(crate) fn wall_ms() -> i64 {
    let time = WALL.time();
    time.tv_sec() * 1_000 + time.tv_nsec() / 1_000_000
}

#[cfg(test)]
mod tests;
