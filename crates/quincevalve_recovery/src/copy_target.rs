//! The choice of the engine that holds the copy of a run.

use quincevalve_names::DataCentreName;
use rand::{Rng, RngExt};

/// Maximum fraction of an engine's memory in use for it to receive a copy. Running requests need the rest.
const MAX_MEMORY_FRACTION: f64 = 0.7;
/// Number of engines drawn at random, of which the least used is chosen. Entry VMs with the same view choose different
/// engines.
const RANDOM_CANDIDATES: usize = 3;

/// An engine that may hold the copy. It is usable, not expected to stop, and has not been tried for the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyCandidate<'a> {
    /// The engine's data centre.
    pub data_centre: &'a DataCentreName,
    /// Fraction of the engine's memory in use, including the copy.
    pub memory_fraction: f64,
    /// Whether the engine interrupted streams recently or is paused.
    pub is_suspect: bool,
}

/// Returns the index of the engine that holds the copy of a run at an engine in data centre `source`, ordered by a VM in
/// data centre `own`; `None` if none has room.
///
/// A data centre is reclaimed and cut off as a whole, so another one than the source's is preferred, and among those the
/// VM's own.
///
/// ```
/// use quincevalve_recovery::{CopyCandidate, choose_copy_target};
/// use rand::SeedableRng;
///
/// let (a, b) = ("a".into(), "b".into());
/// let same = CopyCandidate { data_centre: &a, memory_fraction: 0.1, is_suspect: false };
/// let other = CopyCandidate { data_centre: &b, memory_fraction: 0.6, is_suspect: false };
/// let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
/// assert_eq!(choose_copy_target(&[same, other], &a, &a, &mut rng), Some(1));
/// ```
pub fn choose_copy_target<R>(
    candidates: &[CopyCandidate<'_>],
    source: &DataCentreName,
    own: &DataCentreName,
    rng: &mut R,
) -> Option<usize>
where
    R: Rng,
{
    let rank = |it: &CopyCandidate<'_>| {
        let distance = match it.data_centre {
            centre if centre == source => 2,
            centre if centre == own => 0,
            _ => 1,
        };
        (it.is_suspect, distance)
    };
    let has_room = |it: &CopyCandidate<'_>| it.memory_fraction <= MAX_MEMORY_FRACTION;
    let best = candidates.iter().filter(|it| has_room(it)).map(rank).min()?;
    let indexed = candidates.iter().enumerate();
    let mut preferred: Vec<_> =
        indexed.filter(|(_, it)| has_room(it) && rank(it) == best).collect();
    let drawn = RANDOM_CANDIDATES.min(preferred.len());
    for at in 0..drawn {
        let other = rng.random_range(at..preferred.len());
        preferred.swap(at, other);
    }
    let least_used = preferred
        .iter()
        .take(drawn)
        .min_by(|left, right| left.1.memory_fraction.total_cmp(&right.1.memory_fraction));
    least_used.map(|(at, _)| *at)
}
