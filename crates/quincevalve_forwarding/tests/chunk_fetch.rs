//! Simulates many VMs that start together and fetch state from others over links of limited bandwidth that lose
//! datagrams.

mod support;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use quincevalve_forwarding::{
    chunk_fetch::{
        ChunkFetch, ChunkRequest, FetchStep, RETRY_INTERVAL, ServeSlots, WINDOW, fetch_timeout,
        source_order,
    },
    chunks::{Chunk, split_into_chunks},
};
use quincevalve_names::TimePoint;
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;
use support::{millis, ms};

/// Number of sources that have the value from the beginning.
const FIRST_SOURCES: usize = 3;
/// Bandwidth of a strong VM's link, in bytes per millisecond.
const STRONG_LINK: f64 = 25_000.0;
/// Bandwidth of a weak VM's link, in bytes per millisecond.
const WEAK_LINK: f64 = 2_500.0;
/// Latency of a datagram in milliseconds.
const LATENCY: f64 = 0.5;
const BASE_TIMEOUT: Duration = Duration::from_millis(600);
/// Milliseconds that a VM takes to read the store itself.
const STORE_READ_TIME: f64 = 500.0;

/// The parameters of a simulation.
#[derive(Clone, Copy)]
struct Scenario {
    vms: usize,
    value: usize,
    /// Fraction of datagrams that are lost.
    loss: f64,
    /// Whether the first sources are down.
    first_are_down: bool,
    /// Maximum fraction of VMs that read the store themselves.
    max_read_fraction: f64,
}

enum Datagram {
    Request(ChunkRequest),
    Chunk(Chunk),
    Redirect { is_serving_others: bool },
}

struct World {
    scenario: Scenario,
    now: f64,
    rng: Pcg64Mcg,
    value: Vec<u8>,
    fetches: Vec<Option<ChunkFetch>>,
    slots: Vec<ServeSlots>,
    /// VMs that read the store themselves, each with the time in milliseconds at which it has finished.
    store_reads: Vec<(f64, usize)>,
    /// Time in milliseconds at which each VM had the whole value.
    finished_at: Vec<Option<f64>>,
    /// Time in milliseconds from which each VM's link is free again.
    link_free: Vec<f64>,
    in_flight: BTreeMap<(u64, u64), (usize, usize, Datagram)>,
    sent: u64,
    bytes: u64,
}

fn address(vm: usize) -> SocketAddr {
    ([10, 0, (vm / 200) as u8, (vm % 200) as u8], 7600).into()
}

impl World {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let first: Vec<_> = (0..FIRST_SOURCES).map(address).collect();
        let fetch = |vm: usize, rng: &mut Pcg64Mcg| {
            let mut first = first.clone();
            first.rotate_left(vm % FIRST_SOURCES);
            let mut others: Vec<_> =
                (FIRST_SOURCES..scenario.vms).filter(|it| *it != vm).map(address).collect();
            others.shuffle(rng);
            others.truncate(12);
            ChunkFetch::new(
                source_order(&first, &others),
                fetch_timeout(BASE_TIMEOUT, vm),
                TimePoint::ZERO,
            )
        };
        let is_source = |vm: usize| vm < FIRST_SOURCES;
        Self {
            now: 0.0,
            value: (0..scenario.value).map(|it| (it % 251) as u8).collect(),
            fetches: (0..scenario.vms)
                .map(|it| (!is_source(it)).then(|| fetch(it, &mut rng)))
                .collect(),
            slots: vec![ServeSlots::default(); scenario.vms],
            store_reads: Vec::new(),
            finished_at: (0..scenario.vms).map(|it| is_source(it).then_some(0.0)).collect(),
            link_free: vec![0.0; scenario.vms],
            in_flight: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            scenario,
            rng,
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: Datagram) {
        let bytes = match &datagram {
            Datagram::Request(_) | Datagram::Redirect { .. } => 120,
            Datagram::Chunk(chunk) => chunk.bytes.len() + 120,
        };
        let bandwidth = |vm: usize| if vm < FIRST_SOURCES { STRONG_LINK } else { WEAK_LINK };
        let starts_at = self.now.max(self.link_free[from]);
        self.link_free[from] = starts_at + bytes as f64 / bandwidth(from);
        let arrives = self.link_free[from] + LATENCY + bytes as f64 / bandwidth(to);
        self.sent += 1;
        self.bytes += bytes as u64;
        let is_down = self.scenario.first_are_down && to < FIRST_SOURCES;
        if self.rng.random::<f64>() >= self.scenario.loss && !is_down {
            self.in_flight.insert(((arrives * 1_000.0) as u64, self.sent), (from, to, datagram));
        }
    }

    fn at(&self) -> TimePoint {
        TimePoint::from_millis(self.now as u64)
    }

    fn step_fetch(&mut self, vm: usize) {
        let at = self.at();
        let Some(fetch) = &mut self.fetches[vm] else { return };
        match fetch.next(at) {
            FetchStep::Send { source, request } => {
                let to = (0..self.scenario.vms).find(|it| address(*it) == source);
                self.send(vm, to.expect("a VM"), Datagram::Request(request));
            }
            FetchStep::Wait(_) => {}
            FetchStep::GiveUp => {
                self.fetches[vm] = None;
                self.store_reads.push((self.now + STORE_READ_TIME, vm));
            }
        }
    }

    fn admits(&mut self, vm: usize, requester: usize) -> bool {
        let link = if vm < FIRST_SOURCES { STRONG_LINK } else { WEAK_LINK };
        let at = self.at();
        self.slots[vm].admit(&requester.to_string(), (link * 1_000.0) as u64, at)
    }

    fn receive(&mut self, from: usize, to: usize, datagram: Datagram) {
        match datagram {
            Datagram::Request(_) if self.finished_at[to].is_none() => {
                self.send(to, from, Datagram::Redirect { is_serving_others: false });
            }
            Datagram::Request(_) if !self.admits(to, from) => {
                self.send(to, from, Datagram::Redirect { is_serving_others: true });
            }
            Datagram::Redirect { is_serving_others } => {
                let at = self.at();
                if let Some(fetch) = &mut self.fetches[to] {
                    fetch.redirected(address(from), is_serving_others, at);
                }
            }
            Datagram::Request(request) => {
                let version = to as u64 + 1;
                let is_requested = |it: &Chunk| match request.version {
                    Some(requested) => requested == version && request.chunks.contains(&it.index),
                    None => (it.index as usize) < WINDOW,
                };
                let chunks = split_into_chunks(version, &self.value);
                chunks.into_iter().filter(is_requested).for_each(|it| {
                    self.send(to, from, Datagram::Chunk(it));
                });
            }
            Datagram::Chunk(chunk) => {
                let at = self.at();
                let Some(fetch) = &mut self.fetches[to] else { return };
                if let Some(whole) = fetch.receive(address(from), chunk, at) {
                    assert_eq!(whole, self.value);
                    self.finished_at[to] = Some(self.now);
                    self.fetches[to] = None;
                }
                self.step_fetch(to);
            }
        }
    }

    /// Runs until all VMs have the value. Returns how many read the store, the time in milliseconds at which the last
    /// one had the value, and the bytes sent.
    fn simulate(mut self) -> (usize, f64, u64) {
        while self.finished_at.iter().any(Option::is_none) && self.now < 20_000.0 {
            for vm in 0..self.scenario.vms {
                self.step_fetch(vm);
            }
            for (at, vm) in self.store_reads.clone() {
                if at <= self.now {
                    self.finished_at[vm].get_or_insert(at);
                }
            }
            let until = ((self.now + 1.0) * 1_000.0) as u64;
            while let Some(entry) = self.in_flight.first_entry() {
                if entry.key().0 > until {
                    break;
                }
                self.now = self.now.max(entry.key().0 as f64 / 1_000.0);
                let (from, to, datagram) = entry.remove();
                self.receive(from, to, datagram);
            }
            self.now = (until as f64 / 1_000.0).max(self.now);
        }
        let last = self.finished_at.iter().map(|it| it.unwrap_or(f64::MAX)).fold(0.0, f64::max);
        (self.store_reads.len(), last, self.bytes)
    }
}

/// Checks that all VMs have the value within `within` milliseconds, few read the store, and little is sent twice.
fn check_all_get_the_value(scenario: Scenario, seeds: u64, within: f64) {
    for seed in 0..seeds {
        let (store_reads, last, bytes) = World::new(scenario, seed).simulate();
        eprintln!("{} VMs: the last after {last} ms, {store_reads} read the store", scenario.vms);
        assert!(
            store_reads as f64 <= scenario.max_read_fraction * scenario.vms as f64,
            "seed {seed}: {store_reads}"
        );
        assert!(last <= within, "seed {seed}: {last} ms");
        let min_bytes = (scenario.vms * scenario.value) as f64;
        assert!(bytes as f64 <= 1.5 * min_bytes, "seed {seed}: {bytes} bytes");
    }
}

const HUNDREDS: Scenario =
    Scenario { vms: 165, value: 300_000, loss: 0.0, first_are_down: false, max_read_fraction: 0.0 };

macro_rules! start_tests {
    ($($name:ident => $scenario:expr, $seeds:literal, $within:expr;)+) => {
        $(#[test] fn $name() { check_all_get_the_value($scenario, $seeds, $within); })+
    };
}

// When hundreds of VMs start together, requests could be redirected without end, or each VM reads the whole store for
// seconds.
start_tests! {
    a_data_centre_of_a_thousand_vms_starts => HUNDREDS, 3, 2_000.0;
    a_data_centre_of_two_thousand_vms_starts => Scenario { vms: 333, value: 600_000, ..HUNDREDS }, 1, 4_000.0;
    all_vms_get_the_value_when_datagrams_are_lost => Scenario { loss: 0.05, ..HUNDREDS }, 3, 2_500.0;
    all_vms_get_the_value_when_the_first_sources_are_down => Scenario { first_are_down: true, max_read_fraction: 0.25, ..HUNDREDS }, 3, 3_500.0;
}

// A source fails in the middle of a fetch. Its chunks must not be combined with those of the next source.
#[test]
fn does_not_combine_chunks_of_two_sources() {
    let value = vec![1; 60_000];
    let mut fetch = ChunkFetch::new(vec![address(1), address(2)], millis(2_000), ms(0));
    let (first, second) = (split_into_chunks(7, &value), split_into_chunks(7, &value));
    fetch.next(ms(0));
    assert_eq!(fetch.receive(address(1), first[0].clone(), ms(1)), None);
    assert_eq!(
        fetch.receive(address(2), second[1].clone(), ms(2)),
        None,
        "no chunk was requested from it"
    );
    let mut requests = HashMap::new();
    let mut now = 2;
    for _ in 0..4 {
        now += RETRY_INTERVAL.as_millis() as u64;
        if let FetchStep::Send { source, request } = fetch.next(ms(now)) {
            requests.insert(source, request);
        }
    }
    assert_eq!(requests[&address(1)], ChunkRequest { version: Some(7), chunks: vec![1, 2] });
    assert_eq!(requests[&address(2)], ChunkRequest::default());
    assert_eq!(fetch.receive(address(2), second[1].clone(), ms(now)), None);
    assert_eq!(fetch.receive(address(2), second[2].clone(), ms(now)), None);
    assert_eq!(fetch.receive(address(2), second[0].clone(), ms(now)), Some(value));
}

// If no source answers, the VM reads the store itself, after the timeout and not before.
#[test]
fn gives_up_after_the_timeout_when_no_source_answers() {
    let mut fetch = ChunkFetch::new(vec![address(1)], BASE_TIMEOUT, ms(0));
    assert!(matches!(fetch.next(ms(0)), FetchStep::Send { .. }));
    assert_eq!(fetch.next(ms(30)), FetchStep::Wait(RETRY_INTERVAL.saturating_sub(millis(30))));
    assert!(matches!(fetch.next(ms(599)), FetchStep::Send { .. }));
    assert_eq!(fetch.next(ms(600)), FetchStep::GiveUp);
    assert_eq!(ChunkFetch::new(Vec::new(), BASE_TIMEOUT, ms(0)).next(ms(0)), FetchStep::GiveUp);
}
