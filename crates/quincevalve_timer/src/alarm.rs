//! A single wait.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::sync::oneshot;

/// Completes at its time; dropping it gives the wait up.
#[derive(Debug)]
pub struct Alarm {
    pub(crate) fired: oneshot::Receiver<()>,
}

impl Future for Alarm {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        // The service ends only with the process; then nobody waits any more.
        Pin::new(&mut self.fired).poll(cx).map(drop)
    }
}
