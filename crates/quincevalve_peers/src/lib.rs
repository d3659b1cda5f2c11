//! RPC between the system's own processes: tarpc over mutual TLS, or over plain TCP on loopback.

mod calls;
mod control;
mod entry;
mod server;
mod stream;
mod tls;

pub use crate::{
    calls::{CallFailure, PeerClient, PeerClients},
    control::{
        ControlPeer, ControlPeerClient, LocalControl, LocalControlClient, LocalUpdate, RevisionBlob,
    },
    entry::{AnswerPage, EntryPeer, EntryPeerClient, HandOver, PageEnd},
    server::{BindError, PeerListener, peer_codec},
    stream::PeerStream,
    tls::{PeerSecurity, PeerTls, PeerTlsError},
};

/// Crates that the expansion of [`serve_peer`] refers to.
#[doc(hidden)]
pub mod reexport {
    pub use futures;
    pub use tarpc;
}
