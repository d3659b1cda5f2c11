//! A listener with a bounded number of open connections.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time::sleep,
};

/// Pause after a failed `accept`. It fails for lack of file descriptors, and connections close in that time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections as long as not too many are open.
#[derive(Debug)]
pub struct BoundedListener {
    listener: TcpListener,
    open: Arc<Semaphore>,
}

/// Counts a connection as open until this is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    _permit: OwnedSemaphorePermit,
}

impl BoundedListener {
    /// Creates a listener with at most `max` open connections.
    ///
    /// # Examples
    ///
    /// ```
    /// use quincevalve_intake::BoundedListener;
    /// use tokio::net::{TcpListener, TcpStream};
    /// # #[tokio::main(flavor = "current_thread")] async fn main() -> std::io::Result<()> {
    /// let listener = BoundedListener::new(TcpListener::bind("127.0.0.1:0").await?, 1);
    /// let client = TcpStream::connect(listener.local_addr()?).await?;
    /// let (stream, peer, open) = listener.accept().await;
    /// assert_eq!(peer, client.local_addr()?);
    /// # drop((stream, open)); Ok(()) }
    /// ```
    pub fn new(listener: TcpListener, max: usize) -> Self {
        Self { listener, open: Arc::new(Semaphore::new(max.min(Semaphore::MAX_PERMITS))) }
    }

    /// Returns the address that the listener is bound to.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts the next connection. A connection beyond the maximum is closed at once: its client can try another VM, or again
    /// once others have closed.
    pub async fn accept(&self) -> (TcpStream, SocketAddr, OpenConnection) {
        loop {
            match self.listener.accept().await {
                Ok((stream, peer)) => match Arc::clone(&self.open).try_acquire_owned() {
                    Ok(permit) => return (stream, peer, OpenConnection { _permit: permit }),
                    Err(_) => log::debug!("closed the connection of {peer}: too many are open"),
                },
                Err(error) => {
                    log::warn!("could not accept a connection: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}
