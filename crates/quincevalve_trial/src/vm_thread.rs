//! A VM of the trial: a runtime on a thread of its own, so that it can be killed or frozen as a whole.

use std::{future::Future, thread, time::Duration};

use tokio::sync::{mpsc, oneshot};

enum Order {
    Freeze(Duration),
    Kill,
}

/// A running VM.
pub(crate) struct VmThread {
    orders: mpsc::UnboundedSender<Order>,
    thread: Option<thread::JoinHandle<()>>,
}

impl VmThread {
    /// Starts `main` on a runtime of its own and waits for the value that it announces.
    pub(crate) fn start<M, F, T>(main: M) -> Option<(Self, T)>
    where
        M: FnOnce(oneshot::Sender<T>) -> F + Send + 'static,
        F: Future<Output = ()>,
        T: Send + 'static,
    {
        let (orders, mut rx) = mpsc::unbounded_channel();
        let (ready, announced) = oneshot::channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            runtime.block_on(async {
                tokio::select! {
                    () = main(ready) => {}
                    () = obey(&mut rx) => {}
                }
            });
            // Dropping the runtime ends every task where it stands: a crash.
        });
        let value = announced.blocking_recv().ok()?;
        Some((Self { orders, thread: Some(thread) }, value))
    }

    /// Stops everything on the VM for a time, as a paused machine does.
    pub(crate) fn freeze(&self, duration: Duration) {
        let _ = self.orders.send(Order::Freeze(duration));
    }

    /// Ends the VM without any chance to tidy up.
    pub(crate) fn kill(&mut self) {
        let _ = self.orders.send(Order::Kill);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Waits until the VM has ended by itself.
    pub(crate) fn is_over(&self) -> bool {
        self.thread.as_ref().is_none_or(thread::JoinHandle::is_finished)
    }
}

async fn obey(orders: &mut mpsc::UnboundedReceiver<Order>) {
    loop {
        match orders.recv().await {
            Some(Order::Freeze(duration)) => thread::sleep(duration),
            Some(Order::Kill) | None => return,
        }
    }
}
