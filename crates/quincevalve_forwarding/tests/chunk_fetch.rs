//! Many VMs that start together and get what others know, over links that carry so much and lose datagrams.

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

/// Sources that know all from the beginning.
const FIRST: usize = 3;
/// Bytes a millisecond that a strong VM's link carries, and a weak one's.
const STRONG_LINK: f64 = 25_000.0;
const WEAK_LINK: f64 = 2_500.0;
/// Milliseconds on the way, each way.
const WAY: f64 = 0.5;
const PATIENCE: Duration = Duration::from_millis(600);
/// Milliseconds that a VM takes to read the store itself.
const READING_TIME: f64 = 500.0;

/// Data centres of VMs that start, and what there is to know.
#[derive(Clone, Copy)]
struct Plan {
    vms: usize,
    value: usize,
    /// Part of the datagrams that are lost.
    lost: f64,
    /// Whether the first sources are down.
    first_are_down: bool,
    /// The part of the VMs that may read the store themselves.
    may_read: f64,
}

enum Datagram {
    Wanted(ChunkRequest),
    Part(Chunk),
    SentOn { serves_others: bool },
}

struct World {
    plan: Plan,
    now: f64,
    rng: Pcg64Mcg,
    value: Vec<u8>,
    fetches: Vec<Option<ChunkFetch>>,
    served: Vec<ServeSlots>,
    /// VMs that read the store themselves, and when they are done.
    readings: Vec<(f64, usize)>,
    /// When each VM knew all, in milliseconds.
    known: Vec<Option<f64>>,
    /// When each VM's link is free again.
    link_free: Vec<f64>,
    on_the_way: BTreeMap<(u64, u64), (usize, usize, Datagram)>,
    sent: u64,
    bytes: u64,
}

fn address(vm: usize) -> SocketAddr {
    ([10, 0, (vm / 200) as u8, (vm % 200) as u8], 7600).into()
}

impl World {
    fn new(plan: Plan, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let first: Vec<_> = (0..FIRST).map(address).collect();
        let fetch = |vm: usize, rng: &mut Pcg64Mcg| {
            let mut first = first.clone();
            first.rotate_left(vm % FIRST);
            let mut others: Vec<_> =
                (FIRST..plan.vms).filter(|it| *it != vm).map(address).collect();
            others.shuffle(rng);
            others.truncate(12);
            ChunkFetch::new(
                source_order(&first, &others),
                fetch_timeout(PATIENCE, vm),
                TimePoint::ZERO,
            )
        };
        let knows = |vm: usize| vm < FIRST;
        Self {
            now: 0.0,
            value: (0..plan.value).map(|it| (it % 251) as u8).collect(),
            fetches: (0..plan.vms).map(|it| (!knows(it)).then(|| fetch(it, &mut rng))).collect(),
            served: vec![ServeSlots::default(); plan.vms],
            readings: Vec::new(),
            known: (0..plan.vms).map(|it| knows(it).then_some(0.0)).collect(),
            link_free: vec![0.0; plan.vms],
            on_the_way: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            plan,
            rng,
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: Datagram) {
        let bytes = match &datagram {
            Datagram::Wanted(_) | Datagram::SentOn { .. } => 120,
            Datagram::Part(part) => part.bytes.len() + 120,
        };
        let carries = |vm: usize| if vm < FIRST { STRONG_LINK } else { WEAK_LINK };
        let begins = self.now.max(self.link_free[from]);
        self.link_free[from] = begins + bytes as f64 / carries(from);
        let comes = self.link_free[from] + WAY + bytes as f64 / carries(to);
        self.sent += 1;
        self.bytes += bytes as u64;
        let is_down = self.plan.first_are_down && to < FIRST;
        if self.rng.random::<f64>() >= self.plan.lost && !is_down {
            self.on_the_way.insert(((comes * 1_000.0) as u64, self.sent), (from, to, datagram));
        }
    }

    fn at(&self) -> TimePoint {
        TimePoint::from_millis(self.now as u64)
    }

    fn ask(&mut self, vm: usize) {
        let at = self.at();
        let Some(fetch) = &mut self.fetches[vm] else { return };
        match fetch.next(at) {
            FetchStep::Send { source, request } => {
                let to = (0..self.plan.vms).find(|it| address(*it) == source);
                self.send(vm, to.expect("a VM"), Datagram::Wanted(request));
            }
            FetchStep::Wait(_) => {}
            FetchStep::GiveUp => {
                self.fetches[vm] = None;
                self.readings.push((self.now + READING_TIME, vm));
            }
        }
    }

    fn serves(&mut self, vm: usize, asker: usize) -> bool {
        let link = if vm < FIRST { STRONG_LINK } else { WEAK_LINK };
        let at = self.at();
        self.served[vm].admit(&asker.to_string(), (link * 1_000.0) as u64, at)
    }

    fn hear(&mut self, from: usize, to: usize, datagram: Datagram) {
        match datagram {
            Datagram::Wanted(_) if self.known[to].is_none() => {
                self.send(to, from, Datagram::SentOn { serves_others: false });
            }
            Datagram::Wanted(_) if !self.serves(to, from) => {
                self.send(to, from, Datagram::SentOn { serves_others: true });
            }
            Datagram::SentOn { serves_others } => {
                let at = self.at();
                if let Some(fetch) = &mut self.fetches[to] {
                    fetch.redirected(address(from), serves_others, at);
                }
            }
            Datagram::Wanted(wanted) => {
                let version = to as u64 + 1;
                let is_wanted = |it: &Chunk| match wanted.version {
                    Some(known) => known == version && wanted.chunks.contains(&it.at),
                    None => (it.at as usize) < WINDOW,
                };
                let parts = split_into_chunks(version, &self.value);
                parts.into_iter().filter(is_wanted).for_each(|it| {
                    self.send(to, from, Datagram::Part(it));
                });
            }
            Datagram::Part(part) => {
                let at = self.at();
                let Some(fetch) = &mut self.fetches[to] else { return };
                if let Some(whole) = fetch.receive(address(from), part, at) {
                    assert_eq!(whole, self.value);
                    self.known[to] = Some(self.now);
                    self.fetches[to] = None;
                }
                self.ask(to);
            }
        }
    }

    /// Plays until all know, and returns how many read the store and when the last one knew.
    fn play(mut self) -> (usize, f64, u64) {
        while self.known.iter().any(Option::is_none) && self.now < 20_000.0 {
            for vm in 0..self.plan.vms {
                self.ask(vm);
            }
            for (at, vm) in self.readings.clone() {
                if at <= self.now {
                    self.known[vm].get_or_insert(at);
                }
            }
            let until = ((self.now + 1.0) * 1_000.0) as u64;
            while let Some(entry) = self.on_the_way.first_entry() {
                if entry.key().0 > until {
                    break;
                }
                self.now = self.now.max(entry.key().0 as f64 / 1_000.0);
                let (from, to, datagram) = entry.remove();
                self.hear(from, to, datagram);
            }
            self.now = (until as f64 / 1_000.0).max(self.now);
        }
        let last = self.known.iter().map(|it| it.unwrap_or(f64::MAX)).fold(0.0, f64::max);
        (self.readings.len(), last, self.bytes)
    }
}

/// All VMs know within so many milliseconds, few read the store, and little is sent twice.
fn all_know(plan: Plan, seeds: u64, within: f64) {
    for seed in 0..seeds {
        let (readings, last, bytes) = World::new(plan, seed).play();
        eprintln!("{} VMs: the last after {last} ms, {readings} read the store", plan.vms);
        assert!(readings as f64 <= plan.may_read * plan.vms as f64, "seed {seed}: {readings}");
        assert!(last <= within, "seed {seed}: {last} ms");
        let least = (plan.vms * plan.value) as f64;
        assert!(bytes as f64 <= 1.5 * least, "seed {seed}: {bytes} bytes");
    }
}

const HUNDREDS: Plan =
    Plan { vms: 165, value: 300_000, lost: 0.0, first_are_down: false, may_read: 0.0 };

macro_rules! starts {
    ($($name:ident => $plan:expr, $seeds:literal, $within:expr;)+) => {
        $(#[test] fn $name() { all_know($plan, $seeds, $within); })+
    };
}

// Hundreds of VMs start together, and each is refused answers or reads the whole store for seconds.
starts! {
    a_data_centre_of_a_thousand_vms_starts => HUNDREDS, 3, 2_000.0;
    a_data_centre_of_two_thousand_vms_starts => Plan { vms: 333, value: 600_000, ..HUNDREDS }, 1, 4_000.0;
    datagrams_are_lost => Plan { lost: 0.05, ..HUNDREDS }, 3, 2_500.0;
    the_strongest_are_down => Plan { first_are_down: true, may_read: 0.25, ..HUNDREDS }, 3, 3_500.0;
}

// A source goes in the middle: its parts are of no use with those of the next, and none of them are put together.
#[test]
fn parts_of_two_sources_are_not_put_together() {
    let value = vec![1; 60_000];
    let mut fetch = ChunkFetch::new(vec![address(1), address(2)], millis(2_000), ms(0));
    let (first, second) = (split_into_chunks(7, &value), split_into_chunks(7, &value));
    fetch.next(ms(0));
    assert_eq!(fetch.receive(address(1), first[0].clone(), ms(1)), None);
    assert_eq!(fetch.receive(address(2), second[1].clone(), ms(2)), None, "it wasn't asked");
    let mut asked = HashMap::new();
    let mut now = 2;
    for _ in 0..4 {
        now += RETRY_INTERVAL.as_millis() as u64;
        if let FetchStep::Send { source, request } = fetch.next(ms(now)) {
            asked.insert(source, request);
        }
    }
    assert_eq!(asked[&address(1)], ChunkRequest { version: Some(7), chunks: vec![1, 2] });
    assert_eq!(asked[&address(2)], ChunkRequest::default());
    assert_eq!(fetch.receive(address(2), second[1].clone(), ms(now)), None);
    assert_eq!(fetch.receive(address(2), second[2].clone(), ms(now)), None);
    assert_eq!(fetch.receive(address(2), second[0].clone(), ms(now)), Some(value));
}

// Nobody answers: the VM reads the store itself, after its patience and not before.
#[test]
fn silence_ends_a_fetch() {
    let mut fetch = ChunkFetch::new(vec![address(1)], PATIENCE, ms(0));
    assert!(matches!(fetch.next(ms(0)), FetchStep::Send { .. }));
    assert_eq!(fetch.next(ms(30)), FetchStep::Wait(RETRY_INTERVAL.saturating_sub(millis(30))));
    assert!(matches!(fetch.next(ms(599)), FetchStep::Send { .. }));
    assert_eq!(fetch.next(ms(600)), FetchStep::GiveUp);
    assert_eq!(ChunkFetch::new(Vec::new(), PATIENCE, ms(0)).next(ms(0)), FetchStep::GiveUp);
}
