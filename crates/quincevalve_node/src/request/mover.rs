//! Runs that are moved from engines that go to others.

use std::{net::SocketAddr, rc::Rc};

use tokio::{
    sync::{mpsc, oneshot},
    task::spawn_local,
};

use crate::ports::{EngineApi, MigratedRequest, MigrationError};

/// Moves that may wait to be begun; a data centre's engines run about as many requests of one VM.
const WAITING_MOVES: usize = 256;

struct Order {
    from: SocketAddr,
    to: SocketAddr,
    attempt_id: Rc<str>,
    reply: oneshot::Sender<Result<MigratedRequest, MigrationError>>,
}

/// The handle to the task that tells engines; it keeps the rest of the process free of the engine's type.
#[derive(Clone, Debug)]
pub(crate) struct Mover {
    orders: mpsc::Sender<Order>,
}

impl Mover {
    /// Starts the task.
    pub(crate) fn start<E>(engines: E) -> Self
    where
        E: EngineApi,
    {
        let (orders, mut rx) = mpsc::channel::<Order>(WAITING_MOVES);
        spawn_local(async move {
            while let Some(order) = rx.recv().await {
                let engines = engines.clone();
                spawn_local(async move {
                    let moved =
                        engines.migrate_request(order.from, order.to, &order.attempt_id).await;
                    // Who asked may have left meanwhile; the copy is freed by its own timeout.
                    let _ = order.reply.send(moved);
                });
            }
        });
        Self { orders }
    }

    /// Stops a run and copies its memory; `None` where too many moves wait already.
    pub(crate) fn move_run(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        attempt_id: &str,
    ) -> Option<oneshot::Receiver<Result<MigratedRequest, MigrationError>>> {
        let (reply, rx) = oneshot::channel();
        let order = Order { from, to, attempt_id: attempt_id.into(), reply };
        self.orders.try_send(order).is_ok().then_some(rx)
    }
}
