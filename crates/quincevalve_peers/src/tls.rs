//! Mutual TLS with PEM files, which can be reloaded without a restart.

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
    /// Certificates of the authorities that may sign peers' certificates. While an authority is being replaced, the
    /// file contains the old and the new one, so that peers with a certificate of either are accepted.
    pub authorities: PathBuf,
    /// This VM's certificate chain. The certificate must contain the VM's IP address.
    pub certificate: PathBuf,
    /// This VM's private key.
    pub key: PathBuf,
}

/// The error for TLS files or addresses that can't be used, and for failed handshakes.
#[derive(Debug, Snafu)]
pub enum PeerTlsError {
    /// A file can't be read or is not valid PEM.
    #[snafu(display("{}: {source}", file.display()))]
    Pem {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: pem::Error,
    },
    /// The certificate, the key or an authority's certificate is invalid.
    #[snafu(display("peer_tls: {source}"))]
    Identity {
        /// The cause.
        source: rustls::Error,
    },
    /// No verifier can be built from the authorities.
    #[snafu(display("peer_tls.authorities: {source}"))]
    Authorities {
        /// The cause.
        source: VerifierBuilderError,
    },
    /// Plain TCP was requested on an address that is not a loopback address.
    #[snafu(display(
        "{address}: peer connections without TLS are allowed on loopback only; set [peer_tls]"
    ))]
    PlainTcpNotLoopback {
        /// The address.
        address: IpAddr,
    },
    /// The TLS handshake failed.
    #[snafu(display("{source}"))]
    Handshake {
        /// The cause.
        source: std::io::Error,
    },
}

#[derive(Clone)]
struct TlsConfigs {
    server: Arc<ServerConfig>,
    client: Arc<ClientConfig>,
}

/// Accepts and opens connections to peers, with mutual TLS or plain TCP. Clones share one state.
#[derive(Clone)]
pub struct PeerSecurity {
    files: Option<Arc<PeerTls>>,
    configs: Arc<RwLock<Option<TlsConfigs>>>,
}

impl PeerSecurity {
    /// Loads the files for mutual TLS, or selects plain TCP if `files` is `None` and `own` is a loopback address.
    pub fn new(files: Option<PeerTls>, own: IpAddr) -> Result<Self, PeerTlsError> {
        let configs = match &files {
            Some(files) => Some(load_tls_configs(files)?),
            None if own.is_loopback() => None,
            None => return PlainTcpNotLoopbackSnafu { address: own }.fail(),
        };
        Ok(Self { files: files.map(Arc::new), configs: Arc::new(RwLock::new(configs)) })
    }

    /// Reloads the files. Open connections are not affected. If the files can't be used, the previous configuration
    /// stays in effect.
    pub fn reload(&self) -> Result<(), PeerTlsError> {
        let Some(files) = &self.files else { return Ok(()) };
        let configs = load_tls_configs(files)?;
        if let Ok(mut current) = self.configs.write() {
            *current = Some(configs);
        }
        Ok(())
    }

    fn configs(&self) -> Option<TlsConfigs> {
        self.configs.read().ok().and_then(|it| it.clone())
    }

    /// Performs the handshake on a connection that a peer opened.
    pub(crate) async fn accept(&self, stream: TcpStream) -> Result<PeerStream, PeerTlsError> {
        let Some(configs) = self.configs() else { return Ok(PeerStream::Plain(stream)) };
        let accepted = TlsAcceptor::from(configs.server).accept(stream).await;
        let stream = accepted.context(HandshakeSnafu)?;
        Ok(PeerStream::Tls(Box::new(stream.into())))
    }

    /// Performs the handshake on a connection that this process opened.
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

fn load_tls_configs(files: &PeerTls) -> Result<TlsConfigs, PeerTlsError> {
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
    Ok(TlsConfigs { server: Arc::new(server), client: Arc::new(client) })
}

fn read_certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, PeerTlsError> {
    let certificates = CertificateDer::pem_file_iter(file).context(PemSnafu { file })?;
    certificates.collect::<Result<_, _>>().context(PemSnafu { file })
}

fn read_key(file: &Path) -> Result<PrivateKeyDer<'static>, PeerTlsError> {
    PrivateKeyDer::from_pem_file(file).context(PemSnafu { file })
}
