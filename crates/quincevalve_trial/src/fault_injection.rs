//! Injection of each fault into the testbed.

use std::time::{Duration, Instant};

use crate::{
    fault::Fault,
    operator,
    testbed::{Backend, BackendVm, PLATFORM_ZONE, Testbed},
};

/// Time between the notice of a reclaim and the end of the VMs.
const RECLAIM_NOTICE: Duration = Duration::from_millis(1_200);
/// Duration of a store fault, a freeze or a partition.
const FAULT_DURATION: Duration = Duration::from_millis(1_500);
/// Delay of each call to a slow store.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(150);
/// Fraction of store writes that are processed but whose response is lost.
const LOST_WRITE_RESPONSE_RATE: f64 = 0.3;

impl Testbed {
    /// Injects one fault.
    ///
    /// Store faults, freezes and partitions last [`FAULT_DURATION`] and are lifted before this returns. Engine faults
    /// and cloud refusals stay on.
    ///
    /// `position` and `seed` choose which VM or data centre is affected.
    pub(crate) fn inject(&mut self, fault: Fault, position: usize, seed: u64) {
        let selector = position + seed as usize;
        match fault {
            Fault::ReclaimBackend => self.reclaim_backends(selector),
            Fault::ReclaimEntry => self.reclaim_entry(selector),
            Fault::ReclaimDataCentre => self.reclaim_data_centre(selector),
            Fault::CrashBackend => self.crash_backend(selector),
            Fault::CrashEntry => self.crash_entry(selector),
            Fault::StoreOutage => self.inject_platform_fault(|it| it.store_outage = true),
            Fault::StoreAmbiguous => self
                .inject_platform_fault(|it| it.lost_write_response_rate = LOST_WRITE_RESPONSE_RATE),
            Fault::StoreSlow => self.inject_platform_fault(|it| it.store_delay = SLOW_STORE_DELAY),
            Fault::LeasePause => self.freeze_entry(selector),
            Fault::SilentConnection => self.silence_connections(),
            Fault::Partition => self.partition(selector),
            Fault::LateEvents => self.set_engine_faults(|it| it.late_events = true),
            Fault::Reorder => self.set_engine_faults(|it| it.reorder = true),
            Fault::CloudRefusal => self.platform.set_faults(|it| it.reject_purchases = true),
            Fault::PlannedStop => self.planned_stop(selector),
            // The workload generator raises the request rate.
            Fault::Overload => {}
            Fault::OperatorRace => {
                let race = operator::race_config_updates(self);
                crate::verdict::print_progress(&race.to_string());
                self.races.push(race);
            }
        }
    }

    fn inject_platform_fault(&self, fault: impl FnOnce(&mut quincevalve_standins::PlatformFaults)) {
        self.platform.set_faults(fault);
        std::thread::sleep(FAULT_DURATION);
        self.platform.set_faults(|it| *it = quincevalve_standins::PlatformFaults::default());
    }

    fn set_engine_faults(&self, change: impl Fn(&mut quincevalve_standins::EngineFaults)) {
        for vm in &self.backends {
            if let Backend::Engine(engine) = &vm.backend {
                engine.set_faults(&change);
            }
        }
    }

    fn live_backends(&self) -> Vec<usize> {
        let all = self.backends.iter().enumerate();
        all.filter(|it| it.1.ended_at.is_none()).map(|it| it.0).collect()
    }

    fn live_entries(&self) -> Vec<usize> {
        let all = self.entries.iter().enumerate();
        all.filter(|it| !it.1.thread.has_ended()).map(|it| it.0).collect()
    }

    /// Reclaims every third running backend server after the notice period.
    fn reclaim_backends(&mut self, selector: usize) {
        let live = self.live_backends();
        let wave: Vec<_> = live.into_iter().filter(|it| it % 3 == selector % 3).collect();
        let names = wave.iter().map(|it| self.backends[*it].name.clone()).collect();
        self.announce_reclaim(names, &wave);
        std::thread::sleep(RECLAIM_NOTICE);
        self.kill_backends(&wave);
    }

    fn announce_reclaim(&self, names: Vec<String>, backends: &[usize]) {
        self.platform.announce_reclaim(names, RECLAIM_NOTICE);
        for index in backends {
            self.backends[*index].signal_leaving();
        }
    }

    fn kill_backends(&mut self, indices: &[usize]) {
        for index in indices {
            let vm = &mut self.backends[*index];
            vm.thread.kill();
            vm.ended_at = Some(Instant::now());
        }
    }

    fn reclaim_entry(&mut self, selector: usize) {
        let live = self.live_entries();
        let Some(index) = live.get(selector % live.len().max(1)).copied() else { return };
        self.announce_reclaim(vec![self.entries[index].name.to_string()], &[]);
        std::thread::sleep(RECLAIM_NOTICE);
        self.entries[index].thread.kill();
    }

    fn reclaim_data_centre(&mut self, selector: usize) {
        let count = self.inventory.data_centre.len();
        let Some((reclaimed, _)) = self.inventory.data_centre.get_index(selector % count) else {
            return;
        };
        let reclaimed = reclaimed.clone();
        let live = self.live_backends();
        let wave: Vec<_> =
            live.into_iter().filter(|it| self.backends[*it].data_centre == reclaimed).collect();
        let entries: Vec<_> = self
            .live_entries()
            .into_iter()
            .filter(|it| self.entries[*it].data_centre == reclaimed)
            .collect();
        let mut names: Vec<_> = wave.iter().map(|it| self.backends[*it].name.clone()).collect();
        names.extend(entries.iter().map(|it| self.entries[*it].name.to_string()));
        self.announce_reclaim(names, &wave);
        std::thread::sleep(RECLAIM_NOTICE);
        self.kill_backends(&wave);
        for index in entries {
            self.entries[index].thread.kill();
        }
    }

    fn crash_backend(&mut self, selector: usize) {
        let live = self.live_backends();
        if let Some(index) = live.get(selector % live.len().max(1)).copied() {
            self.kill_backends(&[index]);
        }
    }

    fn crash_entry(&mut self, selector: usize) {
        let live = self.live_entries();
        if let Some(index) = live.get(selector % live.len().max(1)).copied() {
            self.entries[index].thread.kill();
        }
    }

    fn freeze_entry(&self, selector: usize) {
        let live = self.live_entries();
        if let Some(index) = live.get(selector % live.len().max(1)).copied() {
            self.entries[index].thread.freeze(FAULT_DURATION);
            std::thread::sleep(FAULT_DURATION);
        }
    }

    /// Silences every open connection to a backend server permanently; new connections work.
    fn silence_connections(&self) {
        for vm in &self.backends {
            vm.proxy.stall_open_connections();
        }
    }

    /// Partitions one data centre from all others and from the platform.
    fn partition(&self, selector: usize) {
        let zones = self.inventory.data_centre.len() as u8;
        let isolated = (selector % usize::from(zones)) as u8 + 1;
        for zone in (1..=zones).filter(|it| *it != isolated) {
            self.partitions.separate(isolated, zone);
        }
        self.partitions.separate(isolated, PLATFORM_ZONE);
        std::thread::sleep(FAULT_DURATION);
        self.partitions.heal();
    }

    fn planned_stop(&self, selector: usize) {
        let live = self.live_entries();
        if let Some(index) = live.get(selector % live.len().max(1)).copied() {
            self.entries[index].stop();
        }
    }
}

impl BackendVm {
    fn signal_leaving(&self) {
        match &self.backend {
            Backend::Engine(engine) => engine.set_faults(|it| it.leaving = true),
            Backend::Service(service) => service.start_leaving(),
        }
    }
}
