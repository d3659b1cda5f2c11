//! Mutual TLS from PEM files, reloaded without a restart.

use std::{
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    sync::{Arc, RwLock},
};

use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    pki_types::{
        CertificateDer, PrivateKeyDer, ServerName,
        pem::{self, PemObject},
    },
    server::{VerifierBuilderError, WebPkiClientVerifier},
};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio_rustls::{TlsAcceptor, TlsConnector};

use crate::stream::PeerStream;

/// The `[peer_tls]` section of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerTls {
    /// Certificates of the authorities that may vouch for peers. During a change the file holds the
    /// old and the new one, so that peers with either are let in.
    pub authorities: PathBuf,
    /// This VM's certificate chain; it must name the VM's IP number.
    pub certificate: PathBuf,
    /// This VM's private key.
    pub key: PathBuf,
}

/// Peer security that can't be set up.
#[derive(Debug, Snafu)]
pub enum PeerTlsError {
    /// A file can't be read as PEM.
    #[snafu(display("{}: {source}", file.display()))]
    Pem {
        /// The file.
        file: PathBuf,
        /// Why.
        source: pem::Error,
    },
    /// The files don't make a usable identity.
    #[snafu(display("peer_tls: {source}"))]
    Identity {
        /// Why.
        source: rustls::Error,
    },
    /// The authorities can't be used.
    #[snafu(display("peer_tls.authorities: {source}"))]
    Authorities {
        /// Why.
        source: VerifierBuilderError,
    },
    /// Plain TCP was asked for on an address that isn't loopback.
    #[snafu(display("{address}: peers are let in without TLS on loopback only; set [peer_tls]"))]
    PlainTcpNotLoopback {
        /// The address.
        address: IpAddr,
    },
    /// The TLS handshake failed.
    #[snafu(display("{source}"))]
    Handshake {
        /// Why.
        source: std::io::Error,
    },
}

#[derive(Clone)]
struct Configs {
    server: Arc<ServerConfig>,
    client: Arc<ClientConfig>,
}

/// How peers are let in and called; clones share one state.
#[derive(Clone)]
pub struct PeerSecurity {
    files: Option<Arc<PeerTls>>,
    configs: Arc<RwLock<Option<Configs>>>,
}

impl PeerSecurity {
    /// Sets security up: mutual TLS, or plain TCP if `files` is `None` and `own` is loopback.
    pub fn new(files: Option<PeerTls>, own: IpAddr) -> Result<Self, PeerTlsError> {
        let configs = match &files {
            Some(files) => Some(load(files)?),
            None if own.is_loopback() => None,
            None => return PlainTcpNotLoopbackSnafu { address: own }.fail(),
        };
        Ok(Self { files: files.map(Arc::new), configs: Arc::new(RwLock::new(configs)) })
    }

    /// Reads the files again. Open connections go on; if the files can't be used, the old ones stay.
    pub fn reload(&self) -> Result<(), PeerTlsError> {
        let Some(files) = &self.files else { return Ok(()) };
        let configs = load(files)?;
        if let Ok(mut current) = self.configs.write() {
            *current = Some(configs);
        }
        Ok(())
    }

    fn configs(&self) -> Option<Configs> {
        self.configs.read().ok().and_then(|it| it.clone())
    }

    /// Wraps a connection that a peer opened.
    pub(crate) async fn accept(&self, stream: TcpStream) -> Result<PeerStream, PeerTlsError> {
        let Some(configs) = self.configs() else { return Ok(PeerStream::Plain(stream)) };
        let accepted = TlsAcceptor::from(configs.server).accept(stream).await;
        let stream = accepted.context(HandshakeSnafu)?;
        Ok(PeerStream::Tls(Box::new(stream.into())))
    }

    /// Wraps a connection that this process opened.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        stream: TcpStream,
    ) -> Result<PeerStream, PeerTlsError> {
        let Some(configs) = self.configs() else { return Ok(PeerStream::Plain(stream)) };
        let name = ServerName::IpAddress(address.ip().into());
        let connected = TlsConnector::from(configs.client).connect(name, stream).await;
        let stream = connected.context(HandshakeSnafu)?;
        Ok(PeerStream::Tls(Box::new(stream.into())))
    }
}

fn load(files: &PeerTls) -> Result<Configs, PeerTlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(&files.authorities)? {
        roots.add(certificate).context(IdentitySnafu)?;
    }
    let roots = Arc::new(roots);
    let chain = read_certificates(&files.certificate)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider))
            .build()
            .context(AuthoritiesSnafu)?;
    let server = ServerConfig::builder_with_provider(Arc::clone(&provider))
        .with_safe_default_protocol_versions()
        .context(IdentitySnafu)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), read_key(&files.key)?)
        .context(IdentitySnafu)?;
    let client = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .context(IdentitySnafu)?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, read_key(&files.key)?)
        .context(IdentitySnafu)?;
    Ok(Configs { server: Arc::new(server), client: Arc::new(client) })
}

fn read_certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, PeerTlsError> {
    let certificates = CertificateDer::pem_file_iter(file).context(PemSnafu { file })?;
    certificates.collect::<Result<_, _>>().context(PemSnafu { file })
}

fn read_key(file: &Path) -> Result<PrivateKeyDer<'static>, PeerTlsError> {
    PrivateKeyDer::from_pem_file(file).context(PemSnafu { file })
}
