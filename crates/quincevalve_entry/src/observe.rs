//! What an entry VM learns by asking: load reports, cache events, notices, the VM list.

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

const NOTICE_WAIT: Duration = Duration::from_secs(10);
const EXPIRE_PERIOD: Duration = Duration::from_millis(20);

/// Keeps capacities in step with the servers that take work, and ends waits that have become hopeless.
pub(crate) async fn watch_capacity(shared: Arc<Shared>) {
    let mut ticks = shared.timer.every(EXPIRE_PERIOD);
    let mut gauges = shared.timer.every(GAUGE_PERIOD);
    loop {
        tokio::select! {
            Some(now) = ticks.tick() => {
                shared.admission.expire(now);
                set_capacities(&shared, &shared.view());
            }
            Some(_) = gauges.tick() => {
                shared.metrics.gauge("demand", u64::from(shared.admission.demand()));
                shared.metrics.gauge("revision", shared.view().revision.0);
            }
            else => return,
        }
    }
}

const GAUGE_PERIOD: Duration = Duration::from_secs(10);

/// Each target's places on this VM: its slots in the data centre, with a little queued at the servers
/// so that a freed slot is filled at once.
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
    let near = peers.near(&shared.settings.data_centre);
    let near: Vec<_> = near.map(|it| Demand { requests: it.demand }).collect();
    shared.router().set_routers(near.len() as u32 + 1);
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
        // A data centre without such servers lives on the others' spare places.
        let slots = if local > 0 { local } else { all / 2 };
        let share = own_share(slots + slots / 2, own, &near);
        shared.admission.set_capacity(&target, share);
    }
}

/// Engines that are asked in one period, in turn. What a VM spends on asking so doesn't grow with the
/// data centre; where it has more engines, their reports get older, which routing allows for.
const ASKED_IN_A_PERIOD: usize = 8;

/// Asks engines of the data centre for their load and cache events.
pub(crate) async fn watch_loads(shared: Arc<Shared>) {
    let mut ticks = shared.timer.every(shared.settings.pacing.report());
    let mut after: HashMap<BackendServerName, u64> = HashMap::new();
    let mut turn = 0;
    while ticks.tick().await.is_some() {
        let view = shared.view();
        let engines = local_engines(&shared, &view);
        for _ in 0..ASKED_IN_A_PERIOD.min(engines.len()) {
            let (name, address) = &engines[turn % engines.len()];
            turn = turn.wrapping_add(1);
            let after = after.entry(name.clone()).or_default();
            ask_engine(&shared, name, *address, after).await;
        }
    }
}

fn local_engines(shared: &Shared, view: &View) -> Vec<(BackendServerName, SocketAddr)> {
    let all = view.inventory.backend_server.iter();
    let local = all.filter(|it| it.1.data_centre == shared.settings.data_centre);
    let engines = local.filter(|it| matches!(it.1.serves, Serves::Model(_)));
    engines.map(|(name, server)| (name.clone(), server.address)).collect()
}

async fn ask_engine(
    shared: &Shared,
    name: &BackendServerName,
    address: SocketAddr,
    after: &mut u64,
) {
    let limit = shared.settings.pacing.probe();
    let Some(index) = shared.router().find(name) else { return };
    let Ok(load) = shared.engines.load(address, limit).await else { return };
    take_load(shared, index, load);
    let Ok(events) = shared.engines.cache_events(address, *after, limit).await else { return };
    let mut router = shared.router();
    for event in events {
        router.update_cache_hint(index, event.prefix, event.holds);
        *after = event.number.max(*after);
    }
}

fn take_load(shared: &Shared, index: quincevalve_routing::ServerIndex, load: EngineLoad) {
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

/// Waits for the cloud's notices. Calls `on_own` when this VM itself is taken back.
pub(crate) async fn watch_notices<F>(shared: Arc<Shared>, cloud: CloudClient, mut on_own: F)
where
    F: FnMut(Duration, Vec<String>) + Send,
{
    let mut after = 0;
    loop {
        match cloud.notices(after, NOTICE_WAIT).await {
            Ok(notices) => {
                for notice in notices {
                    after = notice.number.max(after);
                    take_notice(&shared, &notice, &mut on_own);
                }
            }
            Err(error) => {
                log::debug!("notices: {error}");
                shared.timer.after(shared.settings.pacing.platform()).await;
            }
        }
    }
}

fn take_notice<F>(shared: &Shared, notice: &Notice, on_own: &mut F)
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
        on_own(left, notice.vms.clone());
    }
}

/// Reads the platform's list now and then. It lags: it can show that a server leaves, and only a
/// higher incarnation in it can show that a leaving one is back.
pub(crate) async fn watch_list(shared: Arc<Shared>, cloud: CloudClient) {
    let mut ticks = shared.timer.every(LIST_PERIOD);
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

const LIST_PERIOD: Duration = Duration::from_secs(10);

/// The client of the cloud API that the settings name.
pub(crate) fn cloud_client(shared: &Shared) -> CloudClient {
    let http = HttpClient::new(Some(shared.settings.listen.ip()), shared.settings.pacing.connect());
    CloudClient::new(http, shared.settings.platform, shared.settings.pacing.platform())
}
