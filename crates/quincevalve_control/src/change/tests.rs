//! Property tests of configuration changes and their distribution, over random interleavings of concurrent editors,
//! lost responses, outages and restarts.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use proptest::prelude::*;
use quincevalve_distribution::{Distribution, DistributionAction, DistributionSettings, Source};
use quincevalve_names::{FencingNumber, TimePoint};
use quincevalve_ports::{
    CallError,
    store::{Lease, StoreError, Versioned},
};
use quincevalve_standins::StoreModel;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::*;

/// Fault probabilities of a store call, in percent.
#[derive(Clone, Copy, Debug)]
struct FaultRates {
    unavailable: u32,
    lost_response: u32,
}

struct State {
    model: StoreModel,
    rng: Pcg64Mcg,
    fault_rates: FaultRates,
}

/// In-memory store with injected faults.
#[derive(Clone)]
struct MemoryStore {
    state: Arc<Mutex<State>>,
}

fn timed_out() -> CallError {
    CallError::TimedOut { address: ([127, 0, 0, 1], 1).into(), limit: Duration::ZERO }
}

impl MemoryStore {
    fn new(seed: u64, fault_rates: FaultRates) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let state = State { model: StoreModel::default(), rng, fault_rates };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    fn call<T>(&self, call: impl FnOnce(&mut StoreModel) -> T) -> Result<T, StoreError> {
        let mut state = self.state.lock().unwrap();
        if state.rng.random_range(0..100) < state.fault_rates.unavailable {
            return Err(StoreError::Unavailable { source: timed_out() });
        }
        Ok(call(&mut state.model))
    }

    fn write<T>(
        &self,
        call: impl FnOnce(&mut StoreModel) -> Result<T, KeyVersion>,
    ) -> Result<T, StoreError> {
        let outcome = self.call(call)?;
        let mut state = self.state.lock().unwrap();
        if state.rng.random_range(0..100) < state.fault_rates.lost_response {
            return Err(StoreError::Unknown { source: timed_out() });
        }
        outcome.map_err(|current| StoreError::Conflict { current })
    }

    fn stop_faults(&self) {
        self.state.lock().unwrap().fault_rates = FaultRates { unavailable: 0, lost_response: 0 };
    }
}

impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.call(|it| it.get(key))
    }

    async fn swap(
        &self,
        key: &str,
        expected: KeyVersion,
        value: &str,
    ) -> Result<KeyVersion, StoreError> {
        self.write(|it| it.swap(key, expected, value))
    }

    async fn delete(&self, key: &str, expected: KeyVersion) -> Result<(), StoreError> {
        self.write(|it| it.delete(key, expected))
    }

    async fn watch(
        &self,
        key: &str,
        _after: KeyVersion,
        _wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        self.get(key).await
    }

    async fn lease(&self, _name: &str, holder: &str, _ttl: Duration) -> Result<Lease, StoreError> {
        Ok(Lease { holder: holder.to_owned(), fencing: FencingNumber(1), left_ms: 1 })
    }
}

fn run<F>(future: F) -> F::Output
where
    F: Future,
{
    tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(future)
}

/// Returns an inventory that identifies the change by a region's name.
fn inventory(number: u32) -> Inventory {
    let mut inventory = Inventory::default();
    let region = quincevalve_inventory::Region {};
    inventory.region.insert(format!("region-{number}").as_str().into(), region);
    inventory
}

async fn edit(store: &MemoryStore, number: u32, base: Revision) -> ChangeOutcome {
    let id = ChangeId::new(&format!("change-{number}")).unwrap();
    let inventory = inventory(number);
    let change =
        Change { id: &id, by: "editors", at: u64::from(number), base, inventory: &inventory };
    apply(store, &change).await
}

const EDITORS: usize = 3;
const STEPS: u32 = 60;
const NODES: usize = 5;

/// Checks that no revision is assigned to two changes, that every accepted change stays in the history, and that no
/// change reported as conflicting or not stored is in the history. A change whose outcome is unknown may or may not be
/// in it.
fn check_editors(seed: u64, fault_rates: FaultRates) {
    run(async {
        let store = MemoryStore::new(seed, fault_rates);
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 1);
        let mut observed = [Revision(0); EDITORS];
        let mut accepted = BTreeMap::new();
        let mut failed = Vec::new();
        for number in 0..STEPS {
            let editor = rng.random_range(0..EDITORS);
            if rng.random_bool(0.5)
                && let Ok((_, head)) = document::read_head(&store).await
            {
                observed[editor] = head.revision;
            }
            match edit(&store, number, observed[editor]).await {
                ChangeOutcome::Accepted { revision } => {
                    let other = accepted.insert(revision, number);
                    assert_eq!(other, None, "two changes were assigned revision {revision}");
                }
                ChangeOutcome::Conflict { .. } | ChangeOutcome::NotStored => failed.push(number),
                ChangeOutcome::Unknown { .. } => {}
                ChangeOutcome::Rejected { findings } => panic!("{findings:?}"),
            }
        }
        store.stop_faults();
        let (_, head) = document::read_head(&store).await.unwrap();
        for (revision, number) in accepted {
            let id = ChangeId::new(&format!("change-{number}")).unwrap();
            let entry = head.find_change(&id).expect("an accepted change is in the history");
            assert_eq!(entry.revision, revision);
        }
        for number in failed {
            let id = ChangeId::new(&format!("change-{number}")).unwrap();
            assert!(head.find_change(&id).is_none(), "a failed change took effect");
        }
        if let Some(entry) = head.history.first() {
            let content = document::read_content(&store, &entry.change).await.unwrap();
            let number = entry.change.to_string().trim_start_matches("change-").parse().unwrap();
            assert_eq!(content, serde_json::to_string(&inventory(number)).unwrap());
        }
    });
}

/// Checks that no node lowers its revision between two restarts, and that all nodes reach the newest revision once
/// messages are delivered again. Nodes receive revisions late, twice and out of order, restart and miss messages.
fn check_nodes(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut newest = Revision(0);
    let new_node = |seed| Distribution::new(DistributionSettings::default(), seed);
    let mut nodes: Vec<_> = (0..NODES as u64).map(new_node).collect();
    let address = |node: usize| std::net::SocketAddr::from(([10, 0, 0, node as u8], 1));
    let peers: Vec<_> = (0..NODES).map(address).collect();
    for step in 0..400_u64 {
        let now = TimePoint::from_millis(step * 100);
        let node = rng.random_range(0..NODES);
        let peer = rng.random_range(0..NODES);
        let before = nodes[node].revision();
        match rng.random_range(0..6) {
            0 => newest = newest.next(),
            1 => {
                let old = Revision(rng.random_range(0..=newest.0));
                receive(&mut nodes[node], now, Source::Store, old, &peers);
            }
            2 => {
                nodes[node] = new_node(step);
                continue;
            }
            3 => {
                let reported = Revision(rng.random_range(0..=newest.0));
                drop(nodes[node].handle_announcement(now, address(peer), reported));
            }
            4 => nodes[node].fetch_failed(address(peer)),
            _ => {
                let revision = nodes[peer].revision();
                receive(&mut nodes[node], now, Source::Peer(address(peer)), revision, &peers);
            }
        }
        assert!(nodes[node].revision() >= before, "a node lowered its revision");
    }
    receive(&mut nodes[0], TimePoint::from_millis(90_000), Source::Store, newest, &peers);
    for node in 1..NODES {
        let now = TimePoint::from_millis(90_000 + node as u64);
        let revision = nodes[0].revision();
        receive(&mut nodes[node], now, Source::Peer(address(0)), revision, &peers);
        assert_eq!(nodes[node].revision(), newest);
    }
}

fn receive(
    node: &mut Distribution,
    now: TimePoint,
    source: Source,
    revision: Revision,
    peers: &[std::net::SocketAddr],
) {
    let before = node.revision();
    for action in node.receive(now, source, revision, revision.to_string().into(), peers) {
        if let DistributionAction::Apply { revision, content } = action {
            assert!(revision > before);
            assert_eq!(&*content, revision.to_string());
        }
    }
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn fault_rates() -> impl Strategy<Value = FaultRates> {
    (0..30_u32, 0..50_u32)
        .prop_map(|(unavailable, lost_response)| FaultRates { unavailable, lost_response })
}

proptest! {
    #![proptest_config(config(200))]

    #[test]
    fn no_accepted_change_is_lost(seed in any::<u64>(), fault_rates in fault_rates()) {
        check_editors(seed, fault_rates);
    }

    #[test]
    fn no_node_lowers_its_revision(seed in any::<u64>()) {
        check_nodes(seed);
    }
}

proptest! {
    #![proptest_config(config(10_000))]

    #[test]
    #[ignore = "the long run: cargo test --release -p quincevalve_control -- --ignored"]
    fn no_accepted_change_is_lost_long(seed in any::<u64>(), fault_rates in fault_rates()) {
        check_editors(seed, fault_rates);
    }
}
