//! Digests: time a collector takes to build the digest for one member, by number of servers.

use std::time::Instant;

use bincode::{DefaultOptions, Options};
use quincevalve_forwarding::{load::WorkSum, sums::PartialSum};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::table::{Table, two};

const ROUNDS: u32 = 2_000;
const MEMBERS: usize = 48;
/// Number of accounts with quota usage.
const ACCOUNTS: usize = 40;

pub(crate) fn run(seed: u64) -> Vec<Table> {
    let title = "One digest for a member: the sum of all others, made and encoded";
    let columns = ["servers", "bytes", "us", "MB/s of a core"];
    let mut table = Table::new("digests", title, &columns);
    for servers in [50, 204, 455, 910] {
        let (all, part) = (share(servers, 16, seed), share(servers / 10, 1, seed + 1));
        let began = Instant::now();
        let mut bytes = 0;
        for _ in 0..ROUNDS {
            // A received partial sum can always be encoded.
            let told = DefaultOptions::new().serialize(&all.without(&part));
            bytes += told.map_or(0, |it| it.len());
        }
        let seconds = began.elapsed().as_secs_f64();
        table.push(vec![
            servers.to_string(),
            (bytes / ROUNDS as usize).to_string(),
            two(seconds * 1e6 / f64::from(ROUNDS)),
            two(bytes as f64 / seconds / 1e6),
        ]);
    }
    vec![table]
}

fn share(servers: usize, requests: u32, seed: u64) -> PartialSum {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let work = |rng: &mut Pcg64Mcg| WorkSum {
        requests,
        prefill: rng.random_range(0..60_000),
        urgent_prefill: rng.random_range(0..4_000),
        memory: rng.random_range(50_000..400_000),
        recent_prefill: rng.random_range(5_000..80_000),
    };
    let works = (0..servers).map(|_| (rng.random(), work(&mut rng))).collect();
    let account = |at: usize| format!("account-{at}").as_str().into();
    let spending = (0..ACCOUNTS).map(|at| (account(at), 1_000.5)).collect();
    PartialSum { vms: MEMBERS as u32, server_work: works, spending, ..PartialSum::default() }
}
