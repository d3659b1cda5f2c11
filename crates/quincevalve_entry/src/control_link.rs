//! What the control process of the same VM tells: members and configuration.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use quincevalve_inventory::{Format, read_inventory};
use quincevalve_names::Revision;
use quincevalve_peers::{LocalControlClient, LocalUpdate, PeerClients, RevisionBlob};
use quincevalve_timer::Timer;
use tokio::sync::watch;

use crate::{peers::Peers, settings::EntrySettings, shared::Shared, view::View};

const WAIT_MS: u32 = 2_000;
const REPORT_PERIOD: Duration = Duration::from_millis(200);

/// What the link feeds.
pub(crate) struct Feeds {
    pub(crate) views: watch::Sender<Arc<View>>,
    pub(crate) peers: watch::Sender<Arc<Peers>>,
}

/// Follows the control process for as long as this process runs.
///
/// Failure: the control process is down or restarting. Symptom without care: the entry process would
/// lose its peers and its configuration. Nothing is taken away here: what was heard last stays in force.
pub(crate) async fn follow(
    settings: EntrySettings,
    address: SocketAddr,
    callers: PeerClients<LocalControlClient>,
    timer: Timer,
    feeds: Feeds,
) {
    let mut version = 0;
    let limit = Duration::from_millis(u64::from(WAIT_MS)) + settings.pacing.peer();
    loop {
        let has = feeds.views.borrow().revision;
        let call = callers.call(address, limit, |client, cx| async move {
            client.next(cx, version, has, WAIT_MS).await
        });
        match call.await {
            Ok(update) => {
                version = update.version;
                take(&settings, &feeds, update);
            }
            Err(_) => timer.after(settings.pacing.peer()).await,
        }
    }
}

fn take(settings: &EntrySettings, feeds: &Feeds, update: LocalUpdate) {
    if let Some(blob) = update.revision {
        take_revision(feeds, &blob);
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

fn take_revision(feeds: &Feeds, blob: &RevisionBlob) {
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
        // The control process checked it; a newer program may know fields that this one doesn't.
        Err(error) => log::error!("the configuration can't be taken: {error}"),
    }
}

/// Tells the control process of this VM's demand, and that it leaves.
pub(crate) async fn report(
    shared: Arc<Shared>,
    address: SocketAddr,
    callers: PeerClients<LocalControlClient>,
) {
    let mut ticks = shared.timer.every(REPORT_PERIOD);
    while ticks.tick().await.is_some() {
        let name = shared.settings.name.clone();
        let demand = shared.admission.demand();
        let leaving = shared.is_leaving();
        let call = callers.call(address, shared.settings.pacing.peer(), |client, cx| async move {
            client.report(cx, name, demand, leaving).await
        });
        if let Err(error) = call.await {
            log::debug!("control: {error}");
        }
    }
}

/// Takes new views into the router as they come.
pub(crate) async fn apply_views(shared: Arc<Shared>) {
    let mut views = shared.view.clone();
    while views.changed().await.is_ok() {
        let view = views.borrow_and_update().clone();
        shared.take_servers(&view);
        log::info!("revision {} is in force", view.revision);
    }
}

/// The revision that an entry process starts with.
pub(crate) const NO_REVISION: Revision = Revision(0);
