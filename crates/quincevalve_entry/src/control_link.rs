//! Link to the control process of the same VM: receives members and configuration, reports demand.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use quincevalve_inventory::{Format, read_inventory};
use quincevalve_names::Revision;
use quincevalve_peers::{LocalControlClient, LocalUpdate, PeerClients, RevisionBlob};
use quincevalve_timer::Timer;
use tokio::sync::watch;

use crate::{peers::Peers, settings::EntrySettings, shared::Shared, view::View};

const LONG_POLL_MS: u32 = 2_000;
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Channels that the control link publishes to.
pub(crate) struct Feeds {
    pub(crate) views: watch::Sender<Arc<View>>,
    pub(crate) peers: watch::Sender<Arc<Peers>>,
}

/// Long-polls the control process for updates for as long as this process runs.
///
/// While the control process is down or restarting, the peers and configuration received last stay in force.
pub(crate) async fn poll_updates(
    settings: EntrySettings,
    address: SocketAddr,
    callers: PeerClients<LocalControlClient>,
    timer: Timer,
    feeds: Feeds,
) {
    let mut version = 0;
    let timeout = Duration::from_millis(u64::from(LONG_POLL_MS)) + settings.pacing.peer();
    loop {
        let known_revision = feeds.views.borrow().revision;
        let call = callers.call(address, timeout, |client, cx| async move {
            client.next(cx, version, known_revision, LONG_POLL_MS).await
        });
        match call.await {
            Ok(update) => {
                version = update.version;
                apply_update(&settings, &feeds, update);
            }
            Err(_) => timer.after(settings.pacing.peer()).await,
        }
    }
}

fn apply_update(settings: &EntrySettings, feeds: &Feeds, update: LocalUpdate) {
    if let Some(blob) = update.revision {
        apply_revision(feeds, &blob);
    }
    let peers = Arc::new(Peers::new(&settings.name, &update.members, &update.summaries));
    feeds.peers.send_if_modified(|it| {
        let changed = **it != *peers;
        if changed {
            *it = peers;
        }
        changed
    });
}

fn apply_revision(feeds: &Feeds, blob: &RevisionBlob) {
    let file = format!("revision {}", blob.revision);
    match read_inventory(&file, &blob.content, Format::Json) {
        Ok(inventory) => {
            let view = Arc::new(View::new(blob.revision, inventory));
            feeds.views.send_if_modified(|it| {
                let newer = it.revision < view.revision;
                if newer {
                    *it = view;
                }
                newer
            });
        }
        // The control process has validated it, but a newer version of it may accept fields that this one rejects.
        Err(error) => log::error!("configuration rejected: {error}"),
    }
}

/// Periodically reports this VM's demand, and whether it is leaving, to the control process.
pub(crate) async fn report_status(
    shared: Arc<Shared>,
    address: SocketAddr,
    callers: PeerClients<LocalControlClient>,
) {
    let mut ticks = shared.timer.every(REPORT_INTERVAL);
    while ticks.tick().await.is_some() {
        let name = shared.settings.name.clone();
        let demand = shared.admission.demand();
        let leaving = shared.is_leaving();
        let call = callers.call(address, shared.settings.pacing.peer(), |client, cx| async move {
            client.report(cx, name, demand, leaving).await
        });
        if let Err(error) = call.await {
            log::debug!("report to the control process failed: {error}");
        }
    }
}

/// Updates the router with the servers of each new view.
pub(crate) async fn apply_views(shared: Arc<Shared>) {
    let mut views = shared.view.clone();
    while views.changed().await.is_ok() {
        let view = views.borrow_and_update().clone();
        shared.upsert_servers(&view);
        log::info!("revision {} is in force", view.revision);
    }
}

/// Revision of the inventory that an entry process starts with. Only a higher revision replaces it.
pub(crate) const INITIAL_REVISION: Revision = Revision(0);
