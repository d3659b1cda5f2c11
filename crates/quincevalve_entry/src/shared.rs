//! What all filters of one entry VM share.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use quincevalve_names::{HomeTag, RequestId};
use quincevalve_ports::engine::EngineClient;
use quincevalve_program::Metrics;
use quincevalve_retries::{HedgeClock, RetryBudget};
use quincevalve_routing::{LeavingEvidence, PredictedFirstToken, Router};
use quincevalve_timer::Timer;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;

use crate::{
    answers::Answers, burn::Burn, departures::Departures, filters::AdmissionDesk,
    settings::EntrySettings, view::View,
};

pub(crate) struct Shared {
    pub(crate) settings: EntrySettings,
    pub(crate) timer: Timer,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) router: Mutex<Router<PredictedFirstToken>>,
    pub(crate) admission: AdmissionDesk,
    pub(crate) budget: Mutex<RetryBudget>,
    pub(crate) hedge: Mutex<HedgeClock>,
    pub(crate) answers: Answers,
    pub(crate) departures: Departures,
    pub(crate) engines: EngineClient,
    pub(crate) burn: Burn,
    pub(crate) metrics: Metrics,
    pub(crate) rng: Mutex<Pcg64Mcg>,
    pub(crate) leaving: AtomicBool,
}

impl Shared {
    pub(crate) fn router(&self) -> MutexGuard<'_, Router<PredictedFirstToken>> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn hedge(&self) -> MutexGuard<'_, HedgeClock> {
        self.hedge.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Whether this VM is being stopped or taken back.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    pub(crate) fn new_request_id(&self) -> RequestId {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        RequestId::new(HomeTag::from(&self.settings.name), rng.random())
    }

    /// Takes a view's servers into the router.
    pub(crate) fn take_servers(&self, view: &View) {
        let mut router = self.router();
        for spec in view.servers() {
            let name = spec.name.clone();
            let index = router.upsert(spec);
            if view.inventory.backend_server.get(&name).is_some_and(|it| it.drain) {
                let incarnation = router.incarnation(index);
                router.leaving(index, incarnation, LeavingEvidence::Configuration);
            }
        }
    }
}

/// Seeds a generator for what must differ between VMs and restarts.
pub(crate) fn seeded(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}
