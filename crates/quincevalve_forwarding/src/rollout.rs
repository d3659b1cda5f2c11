//! Moves a service's traffic to another version of its software, and rolls a bad version back.
//!
//! Operators order a version, and its servers start beside the old ones. All entry VMs follow one record in the
//! platform's store:
//!
//! 1. *Canary*: over all VMs the new version gets a bounded share of the requests ([`exposure`]), on few servers, so
//!    that each has about the load of an old one. Each VM counts by route how both versions answer, and publishes the
//!    counts in its digest ([`evidence`]).
//! 2. Each VM compares the versions by the evidence of all VMs ([`verdict`]). Once the new version is found worse, the
//!    VM stops sending to it until another order comes, whether or not it receives a record of the roll-back.
//! 3. Only the holder of the duties decides ([`steps`]). A good version is *promoted*: its share rises to all requests
//!    ([`table`]) while old servers finish their requests. The roll-out is *completed* once no VM has requests at old
//!    servers. A bad version, or one that can't be judged in time, is *rolled back*.

pub mod evidence;
pub mod exposure;
pub mod partial_sum;
pub mod promotion;
pub mod record;
pub mod scope;
pub mod steps;
pub mod table;
pub mod verdict;
