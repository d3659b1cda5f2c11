//! Which entry VMs ask the platform's store, and how soon again.
//!
//! Load: hundreds of entry VMs, and a store that counts every call, a refused one too. What one VM reads, all others are
//! told within a few tenths of a second, so calls need not grow with the number of VMs. Two VMs read for all; one in each
//! data centre stands by, and everyone else asks only where it is told nothing any more.

use std::time::Duration;

use quincevalve_names::TimePoint;

/// A VM that stands by reads the store itself once what it is told is older than this part of the time in which a change
/// must be in force: about a second, twice the longest time between two proofs of a reader that answers.
const STAND_BY_PART: f64 = 0.3;
/// The same for all others. Reading the store takes its part of the rest.
const TOLD_PART: f64 = 0.6;
/// Pause of a reader after an answer. Servers renew their entries many times a second, so a waiting question
/// is answered at once; few VMs read for all others, so the pause is short.
const READER_PAUSE: Duration = Duration::from_millis(300);
/// Pause of a VM that reads for itself alone, since what it is told is too old.
const LONE_PAUSE: Duration = Duration::from_millis(900);
/// Pause after a failure: short, for a VM without a new proof refuses keys soon.
const FAILED_PAUSE: Duration = Duration::from_millis(250);
/// The longest pause after several failures in a row. Refused calls cost as much as others.
const LONGEST_FAILED_PAUSE: Duration = Duration::from_millis(700);
/// Pause after each failure of a VM of a large system that reads for itself alone.
///
/// Load: the store is down, or a data centre is cut off from it, and all its VMs are told nothing. Fifty of them would ask
/// a store that answers nobody seventy times a second. The one that collects for them asks as often as a reader, and
/// they hear of its first answer at once; they ask themselves only for the case that the store turns just that one away.
const LONE_FAILED_PAUSE: Duration = Duration::from_millis(1_500);
/// A VM that others tell the newest configuration within this part of the time in which it must be in force needn't
/// read it from the store: others pass it on after a few tenths of a second.
const PASSED_ON_PART: f64 = 0.3;
/// For so long a VM that only is told of the store leaves the duties to those that read it: three tries of theirs.
const DUTY_PATIENCE: Duration = Duration::from_millis(1_500);
/// Time over which the other VMs spread their tries after that, for each of them. A new holder is known everywhere within
/// half a second, so that some twenty try, however many there are.
const DUTY_SPREAD_EACH: Duration = Duration::from_millis(25);

/// How a VM takes part in reading the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadingPart {
    /// It reads the store for all.
    Reader,
    /// It passes on what readers tell, and reads once that grows old.
    StandBy,
    /// It is told, and reads for itself where it is told nothing.
    Told,
}

impl ReadingPart {
    /// The age of the newest proof beyond which a VM reads the store itself; `change_in_force` is the time in which a
    /// change must be in force everywhere.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use quincevalve_forwarding::store_pacing::ReadingPart;
    /// let in_force = Duration::from_secs(4);
    /// assert!(ReadingPart::Reader.longest_told_age(in_force).is_zero());
    /// assert!(ReadingPart::StandBy.longest_told_age(in_force) < ReadingPart::Told.longest_told_age(in_force));
    /// assert!(ReadingPart::Told.longest_told_age(in_force) < in_force);
    /// ```
    pub fn longest_told_age(self, change_in_force: Duration) -> Duration {
        match self {
            Self::Reader => Duration::ZERO,
            Self::StandBy => change_in_force.mul_f64(STAND_BY_PART),
            Self::Told => change_in_force.mul_f64(TOLD_PART),
        }
    }

    /// The pause after an answer of the store.
    pub fn pause(self) -> Duration {
        match self {
            Self::Reader | Self::StandBy => READER_PAUSE,
            Self::Told => LONE_PAUSE,
        }
    }

    /// The pause after `failures` failed calls in a row, one at least. `is_small` says whether few VMs ask.
    ///
    /// # Examples
    ///
    /// ```
    /// use quincevalve_forwarding::store_pacing::ReadingPart;
    /// let (reader, told) = (ReadingPart::Reader, ReadingPart::Told);
    /// assert!(reader.pause_after_failures(1, false) < reader.pause_after_failures(9, false));
    /// assert!(reader.pause_after_failures(9, false) < told.pause_after_failures(9, false));
    /// assert_eq!(reader.pause_after_failures(9, true), told.pause_after_failures(9, true));
    /// ```
    pub fn pause_after_failures(self, failures: u32, is_small: bool) -> Duration {
        if self == Self::Told && !is_small {
            return LONE_FAILED_PAUSE;
        }
        (FAILED_PAUSE * (1 << failures.saturating_sub(1).min(2))).min(LONGEST_FAILED_PAUSE)
    }

    /// For how long a VM leaves the duties without a holder before it tries to take them over; `draw` is a random number
    /// from 0 to 1 that the VM keeps until there is a holder.
    ///
    /// Load: the holder is gone, and hundreds of VMs see it at the same moment. If all try, each makes three calls, and all
    /// but one VM's are in vain. Those that read the store try at once; where none of them can, the others follow one after
    /// the other.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use quincevalve_forwarding::store_pacing::ReadingPart;
    /// assert!(ReadingPart::StandBy.duty_patience(300, 0.9).is_zero());
    /// assert!(ReadingPart::Told.duty_patience(300, 0.1) < ReadingPart::Told.duty_patience(300, 0.9));
    /// ```
    pub fn duty_patience(self, vms: usize, draw: f64) -> Duration {
        match self {
            Self::Reader | Self::StandBy => Duration::ZERO,
            Self::Told => DUTY_PATIENCE + DUTY_SPREAD_EACH.mul_f64(vms as f64 * draw),
        }
    }
}

/// A way to get a configuration that others have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigSource {
    /// A copy of the store that may be old, for a tenth of the price.
    OldCopy,
    /// Other VMs pass it on; the store isn't asked.
    Peers,
    /// The store itself.
    Newest,
}

/// The configuration that a VM lacks, and how it gets it.
///
/// Load: the operators change the configuration, and all VMs lack it at the same moment. Half of the copies of the store
/// don't have it yet, and a read of the newest by each VM costs as many calls. Other VMs have it, and pass it on well before it
/// must be in force.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_forwarding::store_pacing::{ConfigSource, LackedConfig};
/// use quincevalve_names::TimePoint;
/// let (ms, in_force) = (TimePoint::from_millis, Duration::from_secs(4));
/// let mut lacked = LackedConfig::new(7, ms(0));
/// assert_eq!(lacked.next(7, in_force, ms(0)), ConfigSource::OldCopy);
/// assert_eq!(lacked.next(7, in_force, ms(100)), ConfigSource::Peers);
/// assert_eq!(lacked.next(7, in_force, ms(1_200)), ConfigSource::Newest);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LackedConfig {
    version: u64,
    since: TimePoint,
    old_copy_read: bool,
}

impl LackedConfig {
    /// A VM lacks `version` from `now` on.
    pub fn new(version: u64, now: TimePoint) -> Self {
        Self { version, since: now, old_copy_read: false }
    }

    /// Where to get it from at this moment, when `newest` is the newest version that others have.
    pub fn next(&mut self, newest: u64, change_in_force: Duration, now: TimePoint) -> ConfigSource {
        // The time runs from the first version that is lacking: versions that follow each other faster must not put it
        // off for ever.
        if newest > self.version {
            self.version = newest;
            self.old_copy_read = false;
        }
        if now.since(self.since) >= change_in_force.mul_f64(PASSED_ON_PART) {
            self.since = now;
            return ConfigSource::Newest;
        }
        if std::mem::replace(&mut self.old_copy_read, true) {
            ConfigSource::Peers
        } else {
            ConfigSource::OldCopy
        }
    }
}
