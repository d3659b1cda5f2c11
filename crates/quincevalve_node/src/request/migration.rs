//! Migration of running requests from leaving engines to other engines.

use std::{net::SocketAddr, rc::Rc};

use tokio::{
    sync::{mpsc, oneshot},
    task::spawn_local,
};

use crate::ports::{EngineApi, MigrationAnswer, MigrationError};

/// Maximum number of migrations waiting to be started: about as many requests of one VM run at a data centre's engines.
const MAX_PENDING_MIGRATIONS: usize = 256;

/// A migration that waits to be started.
struct PendingMigration {
    from: SocketAddr,
    to: SocketAddr,
    attempt_id: Rc<str>,
    reply: oneshot::Sender<Result<MigrationAnswer, MigrationError>>,
}

/// Handle to the task that asks engines to migrate runs. It spares the rest of the process the engine's type parameter.
#[derive(Clone, Debug)]
pub(crate) struct MigrationClient {
    pending: mpsc::Sender<PendingMigration>,
}

impl MigrationClient {
    /// Spawns the task and returns a handle to it.
    pub(crate) fn start<E>(engines: E) -> Self
    where
        E: EngineApi,
    {
        let (pending, mut rx) = mpsc::channel::<PendingMigration>(MAX_PENDING_MIGRATIONS);
        spawn_local(async move {
            while let Some(migration) = rx.recv().await {
                let engines = engines.clone();
                spawn_local(async move {
                    let migrated = engines
                        .migrate_request(migration.from, migration.to, &migration.attempt_id)
                        .await;
                    // The receiver may have been dropped meanwhile; the engine frees the copy after its own timeout.
                    let _ = migration.reply.send(migrated);
                });
            }
        });
        Self { pending }
    }

    /// Asks an engine to stop a run and copy its memory to another engine. Returns `None` if too many migrations are
    /// waiting.
    pub(crate) fn migrate(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        attempt_id: &str,
    ) -> Option<oneshot::Receiver<Result<MigrationAnswer, MigrationError>>> {
        let (reply, rx) = oneshot::channel();
        let migration = PendingMigration { from, to, attempt_id: attempt_id.into(), reply };
        self.pending.try_send(migration).is_ok().then_some(rx)
    }
}
