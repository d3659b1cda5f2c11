//! Simulated VMs: each has its own runtime on its own thread, so that all its tasks can be killed or frozen together.

use std::{future::Future, thread, time::Duration};

use tokio::sync::{mpsc, oneshot};

enum Command {
    Freeze(Duration),
    Kill,
}

/// A simulated VM; it ends when this handle is dropped.
pub(crate) struct VmThread {
    commands: mpsc::UnboundedSender<Command>,
    thread: Option<thread::JoinHandle<()>>,
}

impl VmThread {
    /// Starts `main` on a new runtime and blocks until `main` sends its ready value.
    ///
    /// Returns `None` if `main` ends without sending the value.
    pub(crate) fn start<M, F, T>(main: M) -> Option<(Self, T)>
    where
        M: FnOnce(oneshot::Sender<T>) -> F + Send + 'static,
        F: Future<Output = ()>,
        T: Send + 'static,
    {
        let (commands, mut rx) = mpsc::unbounded_channel();
        let (ready, ready_rx) = oneshot::channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            runtime.block_on(async {
                tokio::select! {
                    () = main(ready) => {}
                    () = run_commands(&mut rx) => {}
                }
            });
            // Dropping the runtime cancels every task at its current await point, as in a crash.
        });
        let value = ready_rx.blocking_recv().ok()?;
        Some((Self { commands, thread: Some(thread) }, value))
    }

    /// Blocks all tasks of the VM for `duration`, as when a hypervisor pauses it.
    pub(crate) fn freeze(&self, duration: Duration) {
        let _ = self.commands.send(Command::Freeze(duration));
    }

    /// Ends the VM without a graceful shutdown and waits for its thread.
    pub(crate) fn kill(&mut self) {
        let _ = self.commands.send(Command::Kill);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Returns whether the VM's thread has ended, by itself or through [`Self::kill`].
    pub(crate) fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(thread::JoinHandle::is_finished)
    }
}

async fn run_commands(commands: &mut mpsc::UnboundedReceiver<Command>) {
    loop {
        match commands.recv().await {
            Some(Command::Freeze(duration)) => thread::sleep(duration),
            Some(Command::Kill) | None => return,
        }
    }
}
