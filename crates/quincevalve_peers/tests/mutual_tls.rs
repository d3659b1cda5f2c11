//! Peers are let in only with a certificate of a known authority, and certificates change without a
//! restart.

use std::{
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use quincevalve_membership::Message;
use quincevalve_names::Revision;
use quincevalve_peers::{
    CallFailure, ControlPeer, ControlPeerClient, PeerClients, PeerListener, PeerSecurity, PeerTls,
    RevisionBlob,
};
use rcgen::{BasicConstraints, Certificate, CertificateParams, IsCa, Issuer, KeyPair};
use tarpc::context::Context;

const LIMIT: Duration = Duration::from_secs(5);
const OWN: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

struct Authority {
    certificate: Certificate,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    fn new() -> Self {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).expect("a certificate");
        Self { certificate, issuer: Issuer::new(params, key) }
    }
}

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("quincevalve-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.0.join(name);
        std::fs::write(&file, text).expect("a file");
        file
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Writes an identity signed by one authority that trusts some.
fn identity(folder: &Folder, name: &str, signer: &Authority, trusted: &[&Authority]) -> PeerTls {
    let key = KeyPair::generate().expect("a key");
    let params = CertificateParams::new(vec![OWN.to_string()]).expect("parameters");
    let certificate = params.signed_by(&key, &signer.issuer).expect("a certificate");
    let authorities: String = trusted.iter().map(|it| it.certificate.pem()).collect();
    PeerTls {
        authorities: folder.write(&format!("{name}-authorities.pem"), &authorities),
        certificate: folder.write(&format!("{name}.pem"), &certificate.pem()),
        key: folder.write(&format!("{name}.key"), &key.serialize_pem()),
    }
}

#[derive(Clone)]
struct Yes;

impl ControlPeer for Yes {
    async fn gossip(self, _: Context, message: Message) -> Message {
        message
    }

    async fn probe_for(self, _: Context, _target: SocketAddr) -> bool {
        true
    }

    async fn announce(self, _: Context, _from: SocketAddr, _revision: Revision) {}

    async fn fetch(self, _: Context, _than: Revision) -> Option<RevisionBlob> {
        None
    }
}

async fn serve(security: PeerSecurity) -> SocketAddr {
    let listener = PeerListener::bind(SocketAddr::new(OWN, 0)).await.expect("a port");
    let address = listener.address();
    tokio::spawn(listener.accept(security, |stream| async move {
        quincevalve_peers::serve_peer!(stream, Yes.serve());
    }));
    address
}

async fn call(security: &PeerSecurity, address: SocketAddr) -> Result<bool, CallFailure> {
    let callers: PeerClients<ControlPeerClient> = PeerClients::new(security.clone(), None, LIMIT);
    callers
        .call(address, LIMIT, |client, cx| async move { client.probe_for(cx, address).await })
        .await
}

fn security(files: PeerTls) -> PeerSecurity {
    PeerSecurity::new(Some(files), OWN).expect("the files are right")
}

#[tokio::test]
async fn only_a_known_authority_lets_in() {
    let folder = Folder::new("known");
    let (ours, theirs) = (Authority::new(), Authority::new());
    let address = serve(security(identity(&folder, "server", &ours, &[&ours]))).await;
    let peer = security(identity(&folder, "peer", &ours, &[&ours]));
    assert_eq!(call(&peer, address).await, Ok(true));
    // It trusts the server, and the server doesn't know who vouches for it.
    let stranger = security(identity(&folder, "stranger", &theirs, &[&ours, &theirs]));
    assert!(call(&stranger, address).await.is_err());
    let plain = PeerSecurity::new(None, OWN).expect("loopback");
    assert!(call(&plain, address).await.is_err());
}

// Peers lose each other in the middle of a change of the authority. While the files hold old and new,
// those with either certificate have to be let in, without a restart.
#[tokio::test]
async fn old_and_new_are_let_in_during_a_change() {
    let folder = Folder::new("change");
    let (old, new) = (Authority::new(), Authority::new());
    let files = identity(&folder, "server", &old, &[&old]);
    let server = security(files.clone());
    let address = serve(server.clone()).await;
    let old_peer = security(identity(&folder, "old", &old, &[&old]));
    let new_peer = security(identity(&folder, "new", &new, &[&old, &new]));
    assert!(call(&new_peer, address).await.is_err());
    let both = old.certificate.pem() + &new.certificate.pem();
    std::fs::write(&files.authorities, both).expect("the file");
    server.reload().expect("the files are right");
    assert_eq!(call(&old_peer, address).await, Ok(true));
    assert_eq!(call(&new_peer, address).await, Ok(true));
}

#[tokio::test]
async fn broken_files_leave_the_old_ones_in_use() {
    let folder = Folder::new("broken");
    let authority = Authority::new();
    let files = identity(&folder, "server", &authority, &[&authority]);
    let server = security(files.clone());
    let address = serve(server.clone()).await;
    std::fs::write(&files.key, "no key").expect("the file");
    let error = server.reload().expect_err("it is no key").to_string();
    assert!(error.contains(&*Path::new(&files.key).to_string_lossy()), "{error}");
    let peer = security(identity(&folder, "peer", &authority, &[&authority]));
    assert_eq!(call(&peer, address).await, Ok(true));
}

#[test]
fn plain_tcp_is_for_loopback_only() {
    let outside = IpAddr::from([10, 0, 0, 1]);
    let error = PeerSecurity::new(None, outside).err().map(|it| it.to_string());
    assert_eq!(
        error.as_deref(),
        Some("10.0.0.1: peers are let in without TLS on loopback only; set [peer_tls]"),
    );
}
