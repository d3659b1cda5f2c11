//! Signals that stop the process.

use tokio::signal::unix::{SignalKind, signal};

/// Completes on SIGTERM or SIGINT.
///
/// Both signals start a graceful shutdown: the process first reports to the load balancer that it is stopping, then
/// completes or hands over the requests in flight, and then ends.
pub async fn stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
