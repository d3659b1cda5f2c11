//! The operators' request to stop.

use tokio::signal::unix::{SignalKind, signal};

/// Completes on SIGTERM or SIGINT.
///
/// Both start a graceful shutdown: the balancer is told first, then requests in flight are finished or
/// handed over, and only then does the process end.
pub async fn stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
