//! Peers: what one gossip call over mutual TLS costs both ends.

use std::{
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use quincevalve_membership::{Load, Member, MemberState, Message};
use quincevalve_names::{Incarnation, Revision};
use quincevalve_peers::{
    ControlPeer, ControlPeerClient, PeerClients, PeerListener, PeerSecurity, PeerTls, RevisionBlob,
};
use tarpc::context::Context;

use super::path::busy_seconds;
use crate::table::{Table, two};

const CALLS: u32 = 4_000;
const LIMIT: Duration = Duration::from_secs(2);

pub(crate) fn run(_seed: u64) -> Vec<Table> {
    let title = "One gossip call (a probe with 11 members and its answer) on loopback";
    let columns = ["transport", "calls", "caller busy us/call", "answerer busy us/call", "us/call"];
    let mut table = Table::new("peers_call", title, &columns);
    let folder = std::env::temp_dir().join(format!("quincevalve-measure-{}", std::process::id()));
    let tls = write_certificates(&folder);
    for (name, tls) in [("plain TCP", None), ("mutual TLS", tls)] {
        table.extend(measure(name, tls));
    }
    // Left-over files would only be untidy.
    let _ = std::fs::remove_dir_all(&folder);
    vec![table]
}

fn write_certificates(folder: &Path) -> Option<PeerTls> {
    std::fs::create_dir_all(folder).ok()?;
    let authority_key = rcgen::KeyPair::generate().ok()?;
    let mut authority = rcgen::CertificateParams::new(Vec::new()).ok()?;
    authority.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    let authority_certificate = authority.self_signed(&authority_key).ok()?;
    let issuer = rcgen::Issuer::new(authority, authority_key);
    let key = rcgen::KeyPair::generate().ok()?;
    let leaf = rcgen::CertificateParams::new(vec!["127.0.0.1".to_owned()]).ok()?;
    let certificate = leaf.signed_by(&key, &issuer).ok()?;
    let write = |name: &str, text: String| -> Option<PathBuf> {
        let file = folder.join(name);
        std::fs::write(&file, text).ok()?;
        Some(file)
    };
    Some(PeerTls {
        authorities: write("authorities.pem", authority_certificate.pem())?,
        certificate: write("certificate.pem", certificate.pem())?,
        key: write("key.pem", key.serialize_pem())?,
    })
}

#[derive(Clone)]
struct Answerer {
    answer: Message,
}

impl ControlPeer for Answerer {
    async fn gossip(self, _: Context, _message: Message) -> Message {
        self.answer
    }

    async fn probe_for(self, _: Context, _target: SocketAddr) -> bool {
        true
    }

    async fn announce(self, _: Context, _from: SocketAddr, _revision: Revision) {}

    async fn fetch(self, _: Context, _than: Revision) -> Option<RevisionBlob> {
        None
    }
}

fn message() -> Message {
    let member = |number: u16| Member {
        name: format!("entry-data-centre-{number:03}").as_str().into(),
        data_centre: "data-centre-01".into(),
        control: ([10, 0, 0, 1], number).into(),
        entry: ([10, 0, 0, 1], number + 1).into(),
        incarnation: Incarnation(1_790_000_000_000),
        state: MemberState::Alive,
        load: Load::default(),
    };
    Message { sender: member(0), updates: (1..=11).map(member).collect(), summaries: Vec::new() }
}

fn this_task() -> String {
    let task = std::fs::read_link("/proc/thread-self").unwrap_or_default();
    format!("/proc/{}/stat", task.display())
}

fn runtime() -> Option<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().ok()
}

fn measure(name: &str, tls: Option<PeerTls>) -> Option<Vec<String>> {
    let own = IpAddr::from([127, 0, 0, 1]);
    let security = PeerSecurity::new(tls, own).ok()?;
    let (tx, rx) = mpsc::channel();
    let served = security.clone();
    thread::spawn(move || {
        let Some(runtime) = runtime() else { return };
        runtime.block_on(async move {
            let bound = PeerListener::bind(SocketAddr::new(own, 0)).await;
            let Ok(listener) = bound else { return };
            let _ = tx.send((listener.address(), this_task()));
            let service = Answerer { answer: message() };
            let accept = listener.accept(served, move |stream| {
                let service = service.clone();
                async move { quincevalve_peers::serve_peer!(stream, service.serve()) }
            });
            accept.await;
        });
    });
    let (address, answerer) = rx.recv().ok()?;
    let callers: PeerClients<ControlPeerClient> = PeerClients::new(security, None, LIMIT);
    let caller = this_task();
    let runtime = runtime()?;
    let (took, calling, answering) = runtime.block_on(async {
        call(&callers, address, CALLS / 10).await;
        let before = (busy_seconds(&caller), busy_seconds(&answerer));
        let began = Instant::now();
        call(&callers, address, CALLS).await;
        let took = began.elapsed().as_secs_f64();
        (took, busy_seconds(&caller) - before.0, busy_seconds(&answerer) - before.1)
    });
    let each = |seconds: f64| two(seconds * 1e6 / f64::from(CALLS));
    Some(vec![name.to_owned(), CALLS.to_string(), each(calling), each(answering), each(took)])
}

async fn call(callers: &PeerClients<ControlPeerClient>, address: SocketAddr, count: u32) {
    for _ in 0..count {
        let message = message();
        let call = callers
            .call(address, LIMIT, |client, cx| async move { client.gossip(cx, message).await });
        let _ = call.await;
    }
}
