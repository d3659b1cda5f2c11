//! The network stand-in: a forwarder in front of one address that can be cut or go silent.

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

/// The number of a data centre on the loopback network: the third part of the address.
pub(crate) type Zone = u8;

/// Which data centres can't reach each other now; clones share one state.
#[derive(Clone, Debug)]
pub struct Cuts {
    pairs: Arc<Mutex<FxHashSet<(Zone, Zone)>>>,
    changed: watch::Sender<u64>,
}

impl Default for Cuts {
    fn default() -> Self {
        Self { pairs: Arc::default(), changed: watch::Sender::new(0) }
    }
}

impl Cuts {
    /// Cuts two data centres from each other; a data centre can be cut from the platform's zone too.
    pub fn cut(&self, left: Zone, right: Zone) {
        self.change(|it| {
            it.insert((left, right));
            it.insert((right, left));
        });
    }

    /// Joins everything again.
    pub fn heal(&self) {
        self.change(FxHashSet::clear);
    }

    fn change(&self, change: impl FnOnce(&mut FxHashSet<(Zone, Zone)>)) {
        change(&mut self.pairs.lock().unwrap_or_else(PoisonError::into_inner));
        self.changed.send_modify(|it| *it += 1);
    }

    fn is_cut(&self, left: Zone, right: Zone) -> bool {
        self.pairs.lock().unwrap_or_else(PoisonError::into_inner).contains(&(left, right))
    }

    /// Waits while two data centres are cut from each other.
    async fn wait_joined(&self, left: Zone, right: Zone) {
        let mut changed = self.changed.subscribe();
        while self.is_cut(left, right) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }
}

/// A forwarder to one address.
#[derive(Clone, Debug)]
pub struct Wire {
    target: SocketAddr,
    zone: Zone,
    cuts: Cuts,
    silenced: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
}

impl Wire {
    /// Makes a forwarder to `target`, which stands in `zone`.
    pub fn new(target: SocketAddr, zone: Zone, cuts: Cuts) -> Self {
        Self { target, zone, cuts, silenced: Arc::default(), opened: Arc::default() }
    }

    /// Makes every open connection silent for good. New ones work.
    pub fn silence_open(&self) {
        self.silenced.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Forwards from `listener` until the runtime ends.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            let Ok((stream, peer)) = listener.accept().await else { continue };
            let wire = self.clone();
            tokio::spawn(async move { wire.forward(stream, peer).await });
        }
    }

    async fn forward(self, near: TcpStream, peer: SocketAddr) {
        let number = self.opened.fetch_add(1, Ordering::SeqCst) + 1;
        let source = zone_of(peer.ip());
        self.cuts.wait_joined(source, self.zone).await;
        let Ok(far) = TcpStream::connect(self.target).await else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let back = self.clone();
        tokio::join!(
            self.copy(number, source, near_read, far_write),
            back.copy(number, source, far_read, near_write),
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
            if self.silenced.load(Ordering::SeqCst) >= number {
                return std::future::pending().await;
            }
            self.cuts.wait_joined(source, self.zone).await;
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
