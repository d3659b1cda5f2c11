//! A future that completes after a delay.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::sync::oneshot;

/// A future that completes at a point in time. Dropping it cancels the wait.
#[derive(Debug)]
pub struct Alarm {
    pub(crate) fired: oneshot::Receiver<()>,
}

impl Future for Alarm {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        // An error means that the service has ended, which happens only when the process stops.
        Pin::new(&mut self.fired).poll(cx).map(drop)
    }
}
