//! Control calls to engines that stop running requests and free the memory of stopped ones.

use std::{net::SocketAddr, rc::Rc};

use http::HeaderValue;
use tokio::{
    sync::{mpsc, oneshot},
    task::spawn_local,
};

use crate::ports::{EngineApi, MigrationAnswer, MigrationError};

/// Maximum number of calls waiting to be started: about as many requests of one VM run at a data centre's engines.
const MAX_PENDING_CALLS: usize = 256;

/// A call that waits to be started.
enum EngineCall {
    Stop {
        from: SocketAddr,
        to: SocketAddr,
        attempt_id: Rc<str>,
        reply: oneshot::Sender<StopReply>,
    },
    Free {
        attempt_id: Rc<str>,
        ticket: HeaderValue,
    },
}

/// An engine's reply to the order to stop a run.
pub(crate) struct StopReply {
    pub(crate) answer: Result<MigrationAnswer, MigrationError>,
    /// The memory, if the run was stopped.
    pub(crate) memory: Option<RetainedMemory>,
}

/// The memory of a stopped run at its engines, which is freed when this is dropped unless the run has continued from it.
///
/// It takes a slot at the engine that it was copied to, which would be missing until the engine's timeout.
pub(crate) struct RetainedMemory {
    attempt_id: Rc<str>,
    ticket: HeaderValue,
    client: MigrationClient,
    is_used: bool,
}

impl RetainedMemory {
    /// Returns the header value with which the run continues from the memory.
    pub(crate) fn ticket(&self) -> HeaderValue {
        self.ticket.clone()
    }

    /// Records that the run continued from the memory.
    pub(crate) const fn mark_used(&mut self) {
        self.is_used = true;
    }
}

impl Drop for RetainedMemory {
    fn drop(&mut self) {
        if self.is_used {
            return;
        }
        let (attempt_id, ticket) = (self.attempt_id.clone(), self.ticket.clone());
        if self.client.calls.try_send(EngineCall::Free { attempt_id, ticket }).is_err() {
            log::warn!(id = &*self.attempt_id, error = "too many calls"; "run-memory-not-freed");
        }
    }
}

/// Handle to the task that calls engines. It spares the rest of the process the engine's type parameter.
#[derive(Clone, Debug)]
pub(crate) struct MigrationClient {
    calls: mpsc::Sender<EngineCall>,
}

impl MigrationClient {
    /// Spawns the task and returns a handle to it.
    pub(crate) fn start<E>(engines: E) -> Self
    where
        E: EngineApi,
    {
        let (calls, mut rx) = mpsc::channel(MAX_PENDING_CALLS);
        let client = Self { calls };
        let caller = client.clone();
        spawn_local(async move {
            while let Some(call) = rx.recv().await {
                spawn_local(caller.clone().make_call(engines.clone(), call));
            }
        });
        client
    }

    async fn make_call<E>(self, engines: E, call: EngineCall)
    where
        E: EngineApi,
    {
        match call {
            EngineCall::Stop { from, to, attempt_id, reply } => {
                let answer = engines.migrate_request(from, to, &attempt_id).await;
                let stopped = match &answer {
                    Ok(MigrationAnswer::Migrated(it) | MigrationAnswer::Stopped(it)) => Some(it),
                    _ => None,
                };
                let memory = stopped.map(|it| RetainedMemory {
                    attempt_id,
                    ticket: it.ticket.clone(),
                    client: self,
                    is_used: false,
                });
                // The receiver may have been dropped meanwhile, which frees the memory.
                let _ = reply.send(StopReply { answer, memory });
            }
            EngineCall::Free { attempt_id, ticket } => match engines.free_memory(&ticket).await {
                Ok(()) => log::info!(id = &*attempt_id; "run-memory-freed"),
                Err(error) => {
                    log::warn!(id = &*attempt_id, error:% = error; "run-memory-not-freed");
                }
            },
        }
    }

    /// Asks an engine to stop a run and copy its memory to another engine. Returns `None` if too many calls are waiting.
    pub(crate) fn migrate(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        attempt_id: &str,
    ) -> Option<oneshot::Receiver<StopReply>> {
        let (reply, rx) = oneshot::channel();
        let call = EngineCall::Stop { from, to, attempt_id: attempt_id.into(), reply };
        self.calls.try_send(call).is_ok().then_some(rx)
    }
}
