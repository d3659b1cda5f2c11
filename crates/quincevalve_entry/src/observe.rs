//! Tasks that poll engines and the platform: load reports, cache events, reclaim notices and the VM list.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use quincevalve_admission::{Demand, own_share};
use quincevalve_inventory::Serves;
use quincevalve_names::BackendServerName;
use quincevalve_ports::{
    HttpClient,
    cloud::{CloudClient, Notice, VmState},
    engine::EngineLoad,
};
use quincevalve_routing::{LeavingEvidence, LoadReport, Target};

use crate::{
    shared::Shared,
    view::{View, target_of},
};

const NOTICE_POLL_TIMEOUT: Duration = Duration::from_secs(10);
const EXPIRE_INTERVAL: Duration = Duration::from_millis(20);

/// Periodically recomputes the admission capacities from the available servers and expires queued requests that can no
/// longer be served in time.
pub(crate) async fn maintain_capacities(shared: Arc<Shared>) {
    let mut ticks = shared.timer.every(EXPIRE_INTERVAL);
    let mut gauges = shared.timer.every(GAUGE_INTERVAL);
    loop {
        tokio::select! {
            Some(now) = ticks.tick() => {
                shared.admission.expire(now);
                set_capacities(&shared, &shared.view());
            }
            Some(_) = gauges.tick() => {
                shared.metrics.gauge("demand", u64::from(shared.admission.demand()));
                shared.metrics.gauge("revision", shared.view().revision.0);
                shared.metrics.gauge("held_body_bytes", shared.bodies.held_bytes() as u64);
            }
            else => return,
        }
    }
}

const GAUGE_INTERVAL: Duration = Duration::from_secs(10);

/// Sets each target's admission capacity on this VM: its share of 1.5 times the available slots in the data centre.
/// The extra half is queued at the servers, so that a freed slot is filled at once.
pub(crate) fn set_capacities(shared: &Shared, view: &View) {
    let now = shared.timer.now();
    let mut targets: Vec<Target> = Vec::new();
    for server in view.inventory.backend_server.values() {
        let target = target_of(&server.serves);
        if !targets.contains(&target) {
            targets.push(target);
        }
    }
    let own = Demand { requests: shared.admission.demand() };
    let peers = shared.peers();
    let local_peers = peers.in_data_centre(&shared.settings.data_centre);
    let local_peers: Vec<_> = local_peers.map(|it| Demand { requests: it.demand }).collect();
    shared.router().set_routers(local_peers.len() as u32 + 1);
    for target in targets {
        let local = shared.router().available_slots(now, &target, &shared.settings.data_centre);
        let all: u32 = {
            let router = shared.router();
            view.inventory
                .data_centre
                .keys()
                .map(|it| router.available_slots(now, &target, it))
                .sum()
        };
        // A data centre without servers for the target uses half of the slots of the other data centres.
        let slots = if local > 0 { local } else { all / 2 };
        let share = own_share(slots + slots / 2, own, &local_peers);
        shared.admission.set_capacity(&target, share);
    }
}

/// Maximum number of engines polled in one period, in round-robin order. The cost of polling doesn't grow with the
/// data centre; with more engines, load reports get older, which routing allows for.
const MAX_POLLS_PER_PERIOD: usize = 8;

/// Polls the engines of the data centre for their load and cache events.
pub(crate) async fn poll_loads(shared: Arc<Shared>) {
    let mut ticks = shared.timer.every(shared.settings.pacing.report());
    let mut after: HashMap<BackendServerName, u64> = HashMap::new();
    let mut next_engine = 0;
    while ticks.tick().await.is_some() {
        let view = shared.view();
        let engines = local_engines(&shared, &view);
        for _ in 0..MAX_POLLS_PER_PERIOD.min(engines.len()) {
            let (name, address) = &engines[next_engine % engines.len()];
            next_engine = next_engine.wrapping_add(1);
            let after = after.entry(name.clone()).or_default();
            poll_engine(&shared, name, *address, after).await;
        }
    }
}

fn local_engines(shared: &Shared, view: &View) -> Vec<(BackendServerName, SocketAddr)> {
    let all = view.inventory.backend_server.iter();
    let local = all.filter(|it| it.1.data_centre == shared.settings.data_centre);
    let engines = local.filter(|it| matches!(it.1.serves, Serves::Model(_)));
    engines.map(|(name, server)| (name.clone(), server.address)).collect()
}

async fn poll_engine(
    shared: &Shared,
    name: &BackendServerName,
    address: SocketAddr,
    after: &mut u64,
) {
    let limit = shared.settings.pacing.probe();
    let Some(index) = shared.router().find(name) else { return };
    let Ok(load) = shared.engines.load(address, limit).await else { return };
    apply_load(shared, index, load);
    let Ok(events) = shared.engines.cache_events(address, *after, limit).await else { return };
    let mut router = shared.router();
    for event in events {
        router.update_cache_hint(index, event.prefix, event.holds);
        *after = event.number.max(*after);
    }
}

fn apply_load(shared: &Shared, index: quincevalve_routing::ServerIndex, load: EngineLoad) {
    let mut router = shared.router();
    let at = shared.timer.now();
    if load.leaving {
        router.mark_leaving(index, Some(load.incarnation), LeavingEvidence::OwnAnswer);
    } else {
        router.mark_live(index, load.incarnation);
    }
    router.update_load(
        index,
        LoadReport { at, running: load.running, queued_tokens: load.queued_tokens },
    );
}

/// Polls the cloud for reclaim notices. Calls `on_own_reclaim` with the time left and the VMs of the wave when this VM
/// itself is reclaimed.
pub(crate) async fn poll_notices<F>(shared: Arc<Shared>, cloud: CloudClient, mut on_own_reclaim: F)
where
    F: FnMut(Duration, Vec<String>) + Send,
{
    let mut after = 0;
    loop {
        match cloud.notices(after, NOTICE_POLL_TIMEOUT).await {
            Ok(notices) => {
                for notice in notices {
                    after = notice.number.max(after);
                    apply_notice(&shared, &notice, &mut on_own_reclaim);
                }
            }
            Err(error) => {
                log::debug!("notices: {error}");
                shared.timer.after(shared.settings.pacing.platform()).await;
            }
        }
    }
}

fn apply_notice<F>(shared: &Shared, notice: &Notice, on_own_reclaim: &mut F)
where
    F: FnMut(Duration, Vec<String>),
{
    let left = Duration::from_millis(notice.left_ms);
    shared.departures.announce(&notice.vms, shared.timer.now() + left);
    {
        let mut router = shared.router();
        for vm in &notice.vms {
            if let Some(index) = router.find(&vm.as_str().into()) {
                router.mark_leaving(index, None, LeavingEvidence::Notice);
            }
        }
    }
    if notice.vms.iter().any(|it| it == shared.settings.name.as_str()) {
        on_own_reclaim(left, notice.vms.clone());
    }
}

/// Periodically reads the platform's VM list. The list lags behind: it can show that a server is leaving, but only a
/// higher incarnation in it proves that a leaving server is live again.
pub(crate) async fn poll_vm_list(shared: Arc<Shared>, cloud: CloudClient) {
    let mut ticks = shared.timer.every(LIST_INTERVAL);
    while ticks.tick().await.is_some() {
        let Ok(list) = cloud.list().await else { continue };
        let mut router = shared.router();
        for vm in list {
            let Some(index) = router.find(&vm.name.as_str().into()) else { continue };
            match vm.state {
                VmState::Leaving => {
                    router.mark_leaving(index, Some(vm.incarnation), LeavingEvidence::VmList);
                }
                VmState::Live => router.mark_live(index, vm.incarnation),
            }
        }
    }
}

const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Creates a client of the cloud API at the platform address of the settings.
pub(crate) fn cloud_client(shared: &Shared) -> CloudClient {
    let http = HttpClient::new(Some(shared.settings.listen.ip()), shared.settings.pacing.connect());
    CloudClient::new(http, shared.settings.platform, shared.settings.pacing.platform())
}
