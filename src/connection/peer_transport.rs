//! Authenticated, encrypted connections between daemons.
//!
//! The key of a certificate authority is derived from each shared secret. A daemon issues itself a
//! certificate with the first authority; both sides accept certificates of every authority.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hmac::{Hmac, Mac};
use rcgen::{CertificateParams, Issuer, KeyPair};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::{TlsAcceptor, TlsConnector};

use crate::config::SecretText;
use crate::error::DaemonError;
use crate::process::members::datagram::{DatagramCodec, DatagramError, MemberDatagram};

const PEER_NAME: &str = "peer.lentilway.internal";
const AUTHORITY_LABEL: &[u8] = b"lentilway peer authority 1";
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// The constant prefix of an Ed25519 private key in PKCS #8 (RFC 8410, section 7).
const ED25519_PKCS8_PREFIX: [u8; 16] =
    [0x30, 0x2e, 2, 1, 0, 0x30, 5, 6, 3, 0x2b, 0x65, 0x70, 4, 0x22, 4, 0x20];

/// A bidirectional byte stream to another daemon.
pub trait PeerStream: AsyncRead + AsyncWrite + Unpin + Send {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send> PeerStream for T {}

/// Opens and accepts connections between daemons.
///
/// Clones share the secrets, which can be replaced while connections are open.
#[derive(Clone)]
pub struct PeerTransport {
    keys: Arc<ArcSwap<TransportKeys>>,
}

struct TransportKeys {
    connector: TlsConnector,
    acceptor: TlsAcceptor,
    codec: DatagramCodec,
}

impl std::fmt::Debug for PeerTransport {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("PeerTransport(..)")
    }
}

impl PeerTransport {
    /// A transport for the daemons that share one of `secrets`.
    ///
    /// # Errors
    /// [`DaemonError::PeerIdentity`] if there is no secret or the TLS libraries reject the keys.
    pub fn new(secrets: &[SecretText]) -> Result<Self, DaemonError> {
        let keys = build(secrets).map_err(|reason| DaemonError::PeerIdentity { reason })?;
        Ok(PeerTransport { keys: Arc::new(ArcSwap::from_pointee(keys)) })
    }

    /// Replaces the secrets; open connections stay open.
    ///
    /// # Errors
    /// [`DaemonError::PeerIdentity`] as for [`PeerTransport::new`]; the old secrets stay in use.
    pub fn reload(&self, secrets: &[SecretText]) -> Result<(), DaemonError> {
        let keys = build(secrets).map_err(|reason| DaemonError::PeerIdentity { reason })?;
        self.keys.store(Arc::new(keys));
        Ok(())
    }

    /// Encodes and authenticates a datagram.
    pub fn seal_datagram(&self, datagram: &MemberDatagram) -> Vec<u8> {
        self.keys.load().codec.encode(datagram)
    }

    /// Verifies and decodes a datagram of another daemon.
    ///
    /// # Errors
    /// [`DatagramError`] if it is not authentic or cannot be decoded.
    pub fn open_datagram(&self, bytes: &[u8]) -> Result<MemberDatagram, DatagramError> {
        self.keys.load().codec.decode(bytes)
    }

    /// Connects to the daemon at `address`.
    ///
    /// # Errors
    /// The system's error, or the handshake's if the other side does not share a secret.
    pub async fn connect(&self, address: SocketAddr) -> std::io::Result<impl PeerStream + 'static> {
        let connect = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let name = ServerName::try_from(PEER_NAME).expect("the name is a constant");
            let connector = self.keys.load().connector.clone();
            connector.connect(name, stream).await
        };
        timeout(HANDSHAKE_TIMEOUT, connect).await?
    }

    /// Completes the handshake with a daemon that connected.
    ///
    /// # Errors
    /// The handshake's error if the other side does not share a secret.
    pub async fn accept(&self, stream: TcpStream) -> std::io::Result<impl PeerStream + 'static> {
        let acceptor = self.keys.load().acceptor.clone();
        timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await?
    }
}

fn build(secrets: &[SecretText]) -> Result<TransportKeys, String> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let roots = Arc::new(trusted_roots(secrets)?);
    let (chain, key) = issue_identity(secrets.first().ok_or("no peer secret is configured")?)?;
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(error_text)?;
    let server = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .map_err(error_text)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .map_err(error_text)?;
    let client = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(error_text)?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(error_text)?;
    Ok(TransportKeys {
        codec: DatagramCodec::new(secrets),
        connector: TlsConnector::from(Arc::new(client)),
        acceptor: TlsAcceptor::from(Arc::new(server)),
    })
}

fn trusted_roots(secrets: &[SecretText]) -> Result<RootCertStore, String> {
    let mut roots = RootCertStore::empty();
    for secret in secrets {
        let key = authority_key(secret)?;
        let certificate = authority_params()?.self_signed(&key).map_err(error_text)?;
        roots.add(certificate.der().clone()).map_err(error_text)?;
    }
    Ok(roots)
}

fn issue_identity(
    secret: &SecretText,
) -> Result<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>), String> {
    let issuer = Issuer::new(authority_params()?, authority_key(secret)?);
    let key = KeyPair::generate().map_err(error_text)?;
    let params = CertificateParams::new(vec![PEER_NAME.to_string()]).map_err(error_text)?;
    let certificate = params.signed_by(&key, &issuer).map_err(error_text)?;
    let private = PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(key.serialize_der()));
    Ok((vec![certificate.der().clone()], private))
}

fn authority_params() -> Result<CertificateParams, String> {
    let mut params = CertificateParams::new(Vec::new()).map_err(error_text)?;
    params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Constrained(0));
    Ok(params)
}

fn authority_key(secret: &SecretText) -> Result<KeyPair, String> {
    let seed = derive_key(secret, AUTHORITY_LABEL);
    let der = [ED25519_PKCS8_PREFIX.as_slice(), &seed].concat();
    let der = PrivatePkcs8KeyDer::from(der);
    KeyPair::from_pkcs8_der_and_sign_algo(&der, &rcgen::PKCS_ED25519).map_err(error_text)
}

/// Derives a key for the purpose `label` from a shared secret by HMAC-SHA-256.
pub(crate) fn derive_key(secret: &SecretText, label: &[u8]) -> [u8; 32] {
    let mac = Hmac::<Sha256>::new_from_slice(secret.expose());
    let mut mac = mac.expect("HMAC takes keys of any length");
    mac.update(label);
    mac.finalize().into_bytes().into()
}

fn error_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
