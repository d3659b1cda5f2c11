//! Moves a service's traffic to another version of its software, and takes it back from a bad one.
//!
//! Operators order a version; its servers start beside the old ones. All entry VMs follow one record in the
//! platform's store:
//!
//! 1. *Canary*: the new version gets a bounded share of the requests over all VMs ([`exposure`]), on few servers, so
//!    that they are loaded like the old ones. Each VM notes how both versions answer, by route, and tells it with its
//!    other sums ([`evidence`]).
//! 2. Each VM compares the versions by all that was told ([`verdict`]). Once they differ for the worse it sends the
//!    new one nothing more, for good, whether it hears of the record or not.
//! 3. The holder of the duties decides alone ([`steps`]): a good version is *promoted*, the share rises to all
//!    ([`book`]), old servers finish what they run, and only when no VM has work there is the roll-out *completed*.
//!    A bad one, or one that can't be judged in time, is *rolled back*.

pub mod book;
pub mod evidence;
pub mod exposure;
pub mod promotion;
pub mod record;
pub mod scope;
pub mod share;
pub mod steps;
pub mod verdict;
