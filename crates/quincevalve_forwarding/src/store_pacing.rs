//! Which entry VMs call the platform's store, and the pauses between their calls.
//!
//! There are hundreds of entry VMs, and the store counts every call, including rejected ones. What one VM reads is
//! reported to all others within a few tenths of a second, so the number of calls need not grow with the number of VMs.
//! Two VMs read for all; one VM in each data centre is a standby, and all others call the store only when reports stop
//! arriving.

use std::time::Duration;

use quincevalve_names::{Scaled, TimePoint};

/// A standby reads the store itself once its newest freshness confirmation is older than this fraction of the time in
/// which a change must be in force: about a second, twice the longest time between two confirmations of a reachable
/// reader.
const STANDBY_MAX_AGE_FRACTION: f64 = 0.3;
/// Same as [`STANDBY_MAX_AGE_FRACTION`], for followers. Reading the store takes a share of the remaining time.
const FOLLOWER_MAX_AGE_FRACTION: f64 = 0.6;
/// Pause of a reader or standby after an answer. Servers renew their entries many times a second, so a long poll is
/// answered at once; the pause is short because few VMs read for all others.
const READER_PAUSE: Duration = Duration::from_millis(300);
/// Pause of a follower that reads for itself because its reports are too old.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(900);
/// Pause after the first failure: short, because a VM without a new freshness confirmation soon rejects API keys.
const INITIAL_FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// Maximum pause after several consecutive failures. Rejected calls cost as much as others.
const MAX_FAILURE_PAUSE: Duration = Duration::from_millis(700);
/// Pause of a follower in a large system after each failure.
///
/// When the store is down, or a data centre is cut off from it, no VM there receives reports. With the pauses of a
/// reader, fifty followers would send seventy requests a second to an unreachable store. Their collector calls it as
/// often as a reader does and reports its first answer at once; followers call the store only in case it rejects just
/// that collector.
const FOLLOWER_FAILURE_PAUSE: Duration = Duration::from_millis(1_500);
/// A VM waits for this fraction of the time in which a configuration must be in force before it reads the configuration
/// from the store: peers relay it within a few tenths of a second.
const PEER_RELAY_FRACTION: f64 = 0.3;
/// Time that a follower leaves the takeover of duties to the VMs that read the store: three attempts of theirs.
const FOLLOWER_TAKEOVER_DELAY: Duration = Duration::from_millis(1_500);
/// Time per VM over which followers spread their takeover attempts after that delay. A new holder is known everywhere
/// within half a second, so that about twenty VMs attempt it, regardless of how many there are.
const TAKEOVER_SPREAD_PER_VM: Duration = Duration::from_millis(25);

/// How a VM takes part in reading the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreReadRole {
    /// Reads the store for all VMs.
    Reader,
    /// Relays the reports of readers, and reads the store once these are too old.
    Standby,
    /// Relies on reports, and reads the store for itself alone when none arrive.
    Follower,
}

impl StoreReadRole {
    /// Returns the maximum age of the newest freshness confirmation: if it is older, the VM reads the store itself.
    /// `change_in_force` is the time in which a change must be in force everywhere.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use quincevalve_forwarding::store_pacing::StoreReadRole;
    /// let in_force = Duration::from_secs(4);
    /// assert!(StoreReadRole::Reader.max_confirmation_age(in_force).is_zero());
    /// assert!(
    ///     StoreReadRole::Standby.max_confirmation_age(in_force)
    ///         < StoreReadRole::Follower.max_confirmation_age(in_force)
    /// );
    /// assert!(StoreReadRole::Follower.max_confirmation_age(in_force) < in_force);
    /// ```
    pub fn max_confirmation_age(self, change_in_force: Duration) -> Duration {
        match self {
            Self::Reader => Duration::ZERO,
            Self::Standby => change_in_force.scaled(STANDBY_MAX_AGE_FRACTION),
            Self::Follower => change_in_force.scaled(FOLLOWER_MAX_AGE_FRACTION),
        }
    }

    /// Returns the pause after an answer of the store.
    pub fn pause_after_answer(self) -> Duration {
        match self {
            Self::Reader | Self::Standby => READER_PAUSE,
            Self::Follower => FOLLOWER_PAUSE,
        }
    }

    /// Returns the pause after `failures` consecutive failed calls, at least one. `is_small` states whether the system
    /// has few VMs.
    ///
    /// # Examples
    ///
    /// ```
    /// use quincevalve_forwarding::store_pacing::StoreReadRole;
    /// let (reader, follower) = (StoreReadRole::Reader, StoreReadRole::Follower);
    /// assert!(reader.pause_after_failures(1, false) < reader.pause_after_failures(9, false));
    /// assert!(reader.pause_after_failures(9, false) < follower.pause_after_failures(9, false));
    /// assert_eq!(reader.pause_after_failures(9, true), follower.pause_after_failures(9, true));
    /// ```
    pub fn pause_after_failures(self, failures: u32, is_small: bool) -> Duration {
        if self == Self::Follower && !is_small {
            return FOLLOWER_FAILURE_PAUSE;
        }
        (INITIAL_FAILURE_PAUSE * (1 << failures.saturating_sub(1).min(2))).min(MAX_FAILURE_PAUSE)
    }

    /// Returns how long a VM waits before it attempts to take over duties that have no holder. `draw` is a random
    /// number from 0 to 1 that the VM keeps until there is a holder.
    ///
    /// When the holder fails, hundreds of VMs observe it at the same time. If all of them attempted a takeover, each
    /// would make three calls, and those of all but one VM would fail. VMs that read the store attempt it at once; if
    /// none of them succeeds, the others follow one after the other.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use quincevalve_forwarding::store_pacing::StoreReadRole;
    /// assert!(StoreReadRole::Standby.duty_takeover_delay(300, 0.9).is_zero());
    /// assert!(
    ///     StoreReadRole::Follower.duty_takeover_delay(300, 0.1)
    ///         < StoreReadRole::Follower.duty_takeover_delay(300, 0.9)
    /// );
    /// ```
    pub fn duty_takeover_delay(self, vms: usize, draw: f64) -> Duration {
        match self {
            Self::Reader | Self::Standby => Duration::ZERO,
            Self::Follower => {
                FOLLOWER_TAKEOVER_DELAY + TAKEOVER_SPREAD_PER_VM.scaled(vms as f64 * draw)
            }
        }
    }
}

/// Where a VM gets a configuration that its peers already have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigSource {
    /// A replica of the store that may be stale, at a tenth of the price of a consistent read.
    StaleRead,
    /// Other VMs, which relay it; the store isn't called.
    Peers,
    /// A consistent read of the store.
    ConsistentRead,
}

/// A configuration that a VM doesn't have yet, and the next source to get it from.
///
/// When operators change the configuration, all VMs lack it at the same time. Half of the replicas of the store don't
/// have it yet, and a consistent read by each VM costs one call per VM. VMs that have it relay it well before it must
/// be in force.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_forwarding::store_pacing::{ConfigSource, MissingConfig};
/// use quincevalve_names::TimePoint;
/// let (ms, in_force) = (TimePoint::from_millis, Duration::from_secs(4));
/// let mut missing = MissingConfig::new(7, ms(0));
/// assert_eq!(missing.next_source(7, in_force, ms(0)), ConfigSource::StaleRead);
/// assert_eq!(missing.next_source(7, in_force, ms(100)), ConfigSource::Peers);
/// assert_eq!(missing.next_source(7, in_force, ms(1_200)), ConfigSource::ConsistentRead);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingConfig {
    version: u64,
    since: TimePoint,
    stale_read_done: bool,
}

impl MissingConfig {
    /// Creates the state of a VM that lacks `version` from `now` on.
    pub fn new(version: u64, now: TimePoint) -> Self {
        Self { version, since: now, stale_read_done: false }
    }

    /// Returns the source to use now, where `newest` is the newest version that peers have.
    pub fn next_source(
        &mut self,
        newest: u64,
        change_in_force: Duration,
        now: TimePoint,
    ) -> ConfigSource {
        // The time counts from the first missing version: versions in quick succession must not postpone a consistent
        // read indefinitely.
        if newest > self.version {
            self.version = newest;
            self.stale_read_done = false;
        }
        if now.since(self.since) >= change_in_force.scaled(PEER_RELAY_FRACTION) {
            self.since = now;
            return ConfigSource::ConsistentRead;
        }
        if std::mem::replace(&mut self.stale_read_done, true) {
            ConfigSource::Peers
        } else {
            ConfigSource::StaleRead
        }
    }
}
