//! Simulates the network: a TCP proxy in front of one address, whose connections can be partitioned or stalled.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use rustc_hash::FxHashSet;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// Number of a data centre in the loopback network: the third octet of its addresses.
pub(crate) type Zone = u8;

/// Pairs of data centres that cannot reach each other; clones share the state.
#[derive(Clone, Debug)]
pub struct Partitions {
    pairs: Arc<Mutex<FxHashSet<(Zone, Zone)>>>,
    changed: watch::Sender<u64>,
}

impl Default for Partitions {
    fn default() -> Self {
        Self { pairs: Arc::default(), changed: watch::Sender::new(0) }
    }
}

impl Partitions {
    /// Partitions two data centres from each other; one of them may be the zone of the platform.
    pub fn separate(&self, left: Zone, right: Zone) {
        self.update(|it| {
            it.insert((left, right));
            it.insert((right, left));
        });
    }

    /// Removes all partitions.
    pub fn heal(&self) {
        self.update(FxHashSet::clear);
    }

    fn update(&self, change: impl FnOnce(&mut FxHashSet<(Zone, Zone)>)) {
        change(&mut self.pairs.lock().unwrap_or_else(PoisonError::into_inner));
        self.changed.send_modify(|it| *it += 1);
    }

    fn is_partitioned(&self, left: Zone, right: Zone) -> bool {
        self.pairs.lock().unwrap_or_else(PoisonError::into_inner).contains(&(left, right))
    }

    /// Waits until two data centres are no longer partitioned.
    async fn wait_until_connected(&self, left: Zone, right: Zone) {
        let mut changed = self.changed.subscribe();
        while self.is_partitioned(left, right) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }
}

/// A TCP proxy in front of one address.
#[derive(Clone, Debug)]
pub struct NetworkProxy {
    target: SocketAddr,
    zone: Zone,
    partitions: Partitions,
    /// Connections with a number up to this one are stalled.
    stalled: Arc<AtomicU64>,
    /// Number of connections accepted so far.
    accepted: Arc<AtomicU64>,
}

impl NetworkProxy {
    /// Creates a proxy to `target`, which is in `zone`.
    pub fn new(target: SocketAddr, zone: Zone, partitions: Partitions) -> Self {
        Self { target, zone, partitions, stalled: Arc::default(), accepted: Arc::default() }
    }

    /// Permanently stalls all open connections without closing them; new connections work.
    pub fn stall_open_connections(&self) {
        self.stalled.store(self.accepted.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Forwards connections from `listener` until the runtime shuts down.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            let Ok((stream, peer)) = listener.accept().await else { continue };
            let proxy = self.clone();
            tokio::spawn(async move { proxy.forward(stream, peer).await });
        }
    }

    async fn forward(self, client: TcpStream, peer: SocketAddr) {
        let number = self.accepted.fetch_add(1, Ordering::SeqCst) + 1;
        let source = zone_of(peer.ip());
        self.partitions.wait_until_connected(source, self.zone).await;
        let Ok(upstream) = TcpStream::connect(self.target).await else { return };
        let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (upstream_read, upstream_write) = upstream.into_split();
        let response_proxy = self.clone();
        tokio::join!(
            self.copy(number, source, client_read, upstream_write),
            response_proxy.copy(number, source, upstream_read, client_write),
        );
    }

    async fn copy(
        &self,
        number: u64,
        source: Zone,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(length) = from.read(&mut buffer).await {
            if self.stalled.load(Ordering::SeqCst) >= number {
                return std::future::pending().await;
            }
            self.partitions.wait_until_connected(source, self.zone).await;
            if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }
}

fn zone_of(address: IpAddr) -> Zone {
    match address {
        IpAddr::V4(address) => address.octets()[2],
        IpAddr::V6(_) => 0,
    }
}
