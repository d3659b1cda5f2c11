//! How the system's own processes talk: tarpc over mutual TLS, or plain TCP on loopback.

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

/// What [`serve_peer`] needs from other crates.
#[doc(hidden)]
pub mod reexport {
    pub use futures;
    pub use tarpc;
}
