//! State shared by all filters and tasks of one entry VM.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use quincevalve_intake::BodyRoom;
use quincevalve_ledger::ClaimLedger;
use quincevalve_names::{HomeTag, RequestId};
use quincevalve_peers::{EntryPeerClient, PeerClients};
use quincevalve_ports::{engine::EngineClient, store::HttpStore};
use quincevalve_program::Metrics;
use quincevalve_recovery::{HandOverId, HandOverReceiver};
use quincevalve_retries::{HedgeDelay, RetryBudget};
use quincevalve_routing::{PredictedFirstToken, Router};
use quincevalve_timer::Timer;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;

use crate::{
    answers::Answers, burn::Burn, departures::Departures, filters::AdmissionControl, peers::Peers,
    settings::EntrySettings, view::View,
};

pub(crate) struct Shared {
    pub(crate) settings: EntrySettings,
    pub(crate) timer: Timer,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) router: Mutex<Router<PredictedFirstToken>>,
    pub(crate) admission: AdmissionControl,
    pub(crate) budget: Mutex<RetryBudget>,
    pub(crate) hedge: Mutex<HedgeDelay>,
    pub(crate) answers: Answers,
    /// Bounds the memory of bodies.
    pub(crate) bodies: BodyRoom,
    pub(crate) departures: Departures,
    pub(crate) engines: EngineClient,
    pub(crate) burn: Burn,
    pub(crate) metrics: Metrics,
    pub(crate) rng: Mutex<Pcg64Mcg>,
    pub(crate) leaving: AtomicBool,
    pub(crate) refusing: AtomicBool,
    pub(crate) peers: watch::Receiver<Arc<Peers>>,
    pub(crate) callers: PeerClients<EntryPeerClient>,
    pub(crate) claims: ClaimLedger<HttpStore>,
    pub(crate) receiver: Mutex<HandOverReceiver>,
    pub(crate) next_hand_over: AtomicU64,
}

impl Shared {
    pub(crate) fn router(&self) -> MutexGuard<'_, Router<PredictedFirstToken>> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn hedge(&self) -> MutexGuard<'_, HedgeDelay> {
        self.hedge.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Whether this VM is being stopped or reclaimed.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Reports this VM as not ready to the load balancer and rejects further hand-overs. Requests are still accepted
    /// until [`Shared::refuse`], because the load balancer keeps sending for a while.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.receiver().leave();
    }

    /// Makes this VM refuse new requests.
    pub(crate) fn refuse(&self) {
        self.refusing.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Relaxed)
    }

    pub(crate) fn receiver(&self) -> MutexGuard<'_, HandOverReceiver> {
        self.receiver.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn peers(&self) -> Arc<Peers> {
        self.peers.borrow().clone()
    }

    /// Returns a hand-over id that this VM hasn't used.
    pub(crate) fn new_hand_over_id(&self) -> HandOverId {
        HandOverId(self.next_hand_over.fetch_add(1, Ordering::Relaxed))
    }

    pub(crate) fn new_request_id(&self) -> RequestId {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        RequestId::new(HomeTag::from(&self.settings.name), rng.random())
    }

    /// Adds or updates a view's servers in the router.
    pub(crate) fn upsert_servers(&self, view: &View) {
        let mut router = self.router();
        for spec in view.servers() {
            router.upsert(spec);
        }
    }
}

/// Creates a random number generator from a seed that must differ between VMs and restarts.
pub(crate) fn seeded_rng(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}
