//! What each fault does to the world.

use std::time::{Duration, Instant};

use crate::{
    fault::Fault,
    operator,
    world::{Backend, BackendVm, PLATFORM_ZONE, World},
};

const NOTICE: Duration = Duration::from_millis(1_200);
const SPELL: Duration = Duration::from_millis(1_500);
const SLOW: Duration = Duration::from_millis(150);
const AMBIGUOUS: f64 = 0.3;

impl World {
    /// Switches one fault on; those that last are switched off again before this returns.
    pub(crate) fn switch(&mut self, fault: Fault, position: usize, seed: u64) {
        let pick = position + seed as usize;
        match fault {
            Fault::ReclaimBackend => self.reclaim_backends(pick),
            Fault::ReclaimEntry => self.reclaim_entry(pick),
            Fault::ReclaimDataCentre => self.reclaim_data_centre(pick),
            Fault::CrashBackend => self.crash_backend(pick),
            Fault::CrashEntry => self.crash_entry(pick),
            Fault::StoreOutage => self.spell_of(|it| it.store_outage = true),
            Fault::StoreAmbiguous => self.spell_of(|it| it.lost_write_response_rate = AMBIGUOUS),
            Fault::StoreSlow => self.spell_of(|it| it.store_delay = SLOW),
            Fault::LeasePause => self.freeze_entry(pick),
            Fault::SilentConnection => self.silence(),
            Fault::Partition => self.partition(pick),
            Fault::LateEvents => self.engines(|it| it.late_events = true),
            Fault::Reorder => self.engines(|it| it.reorder = true),
            Fault::CloudRefusal => self.platform.set_faults(|it| it.reject_purchases = true),
            Fault::PlannedStop => self.planned_stop(pick),
            // The workload itself is the fault.
            Fault::Overload => {}
            Fault::OperatorRace => {
                let race = operator::race(self);
                crate::verdict::progress(&race.to_string());
                self.races.push(race);
            }
        }
    }

    fn spell_of(&self, fault: impl FnOnce(&mut quincevalve_standins::PlatformFaults)) {
        self.platform.set_faults(fault);
        std::thread::sleep(SPELL);
        self.platform.set_faults(|it| *it = quincevalve_standins::PlatformFaults::default());
    }

    fn engines(&self, change: impl Fn(&mut quincevalve_standins::EngineFaults)) {
        for vm in &self.backends {
            if let Backend::Engine(engine) = &vm.backend {
                engine.set_faults(&change);
            }
        }
    }

    fn live_backends(&self) -> Vec<usize> {
        let all = self.backends.iter().enumerate();
        all.filter(|it| it.1.ended.is_none()).map(|it| it.0).collect()
    }

    fn live_entries(&self) -> Vec<usize> {
        let all = self.entries.iter().enumerate();
        all.filter(|it| !it.1.thread.is_over()).map(|it| it.0).collect()
    }

    /// Takes back every third backend server, with notice.
    fn reclaim_backends(&mut self, pick: usize) {
        let live = self.live_backends();
        let wave: Vec<_> = live.into_iter().filter(|it| it % 3 == pick % 3).collect();
        let names = wave.iter().map(|it| self.backends[*it].name.clone()).collect();
        self.announce(names, &wave);
        std::thread::sleep(NOTICE);
        self.kill_backends(&wave);
    }

    fn announce(&self, names: Vec<String>, backends: &[usize]) {
        self.platform.announce_reclaim(names, NOTICE);
        for index in backends {
            self.backends[*index].leave();
        }
    }

    fn kill_backends(&mut self, wave: &[usize]) {
        for index in wave {
            let vm = &mut self.backends[*index];
            vm.thread.kill();
            vm.ended = Some(Instant::now());
        }
    }

    fn reclaim_entry(&mut self, pick: usize) {
        let live = self.live_entries();
        let Some(index) = live.get(pick % live.len().max(1)).copied() else { return };
        self.announce(vec![self.entries[index].name.to_string()], &[]);
        std::thread::sleep(NOTICE);
        self.entries[index].thread.kill();
    }

    fn reclaim_data_centre(&mut self, pick: usize) {
        let count = self.inventory.data_centre.len();
        let Some((lost, _)) = self.inventory.data_centre.get_index(pick % count) else { return };
        let lost = lost.clone();
        let live = self.live_backends();
        let wave: Vec<_> =
            live.into_iter().filter(|it| self.backends[*it].data_centre == lost).collect();
        let entries: Vec<_> = self
            .live_entries()
            .into_iter()
            .filter(|it| self.entries[*it].data_centre == lost)
            .collect();
        let mut names: Vec<_> = wave.iter().map(|it| self.backends[*it].name.clone()).collect();
        names.extend(entries.iter().map(|it| self.entries[*it].name.to_string()));
        self.announce(names, &wave);
        std::thread::sleep(NOTICE);
        self.kill_backends(&wave);
        for index in entries {
            self.entries[index].thread.kill();
        }
    }

    fn crash_backend(&mut self, pick: usize) {
        let live = self.live_backends();
        if let Some(index) = live.get(pick % live.len().max(1)).copied() {
            self.kill_backends(&[index]);
        }
    }

    fn crash_entry(&mut self, pick: usize) {
        let live = self.live_entries();
        if let Some(index) = live.get(pick % live.len().max(1)).copied() {
            self.entries[index].thread.kill();
        }
    }

    fn freeze_entry(&self, pick: usize) {
        let live = self.live_entries();
        if let Some(index) = live.get(pick % live.len().max(1)).copied() {
            self.entries[index].thread.freeze(SPELL);
            std::thread::sleep(SPELL);
        }
    }

    /// Every open connection to a backend server goes silent for good; new ones work.
    fn silence(&self) {
        for vm in &self.backends {
            vm.wire.stall_open_connections();
        }
    }

    /// One data centre is cut off from the others and from the platform.
    fn partition(&self, pick: usize) {
        let zones = self.inventory.data_centre.len() as u8;
        let lost = (pick % usize::from(zones)) as u8 + 1;
        for zone in (1..=zones).filter(|it| *it != lost) {
            self.cuts.separate(lost, zone);
        }
        self.cuts.separate(lost, PLATFORM_ZONE);
        std::thread::sleep(SPELL);
        self.cuts.heal();
    }

    fn planned_stop(&self, pick: usize) {
        let live = self.live_entries();
        if let Some(index) = live.get(pick % live.len().max(1)).copied() {
            self.entries[index].stop();
        }
    }
}

impl BackendVm {
    fn leave(&self) {
        match &self.backend {
            Backend::Engine(engine) => engine.set_faults(|it| it.leaving = true),
            Backend::Service(service) => service.start_leaving(),
        }
    }
}
