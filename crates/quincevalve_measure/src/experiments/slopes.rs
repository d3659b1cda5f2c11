//! Slopes: what control costs a node as the fleet grows, and how fast a change is in force.

pub(crate) fn run(_seed: u64) -> Vec<crate::table::Table> {
    Vec::new()
}
