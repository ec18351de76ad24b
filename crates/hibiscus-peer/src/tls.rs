//! TLS settings of the link.

use std::sync::Arc;
use std::time::Duration;

use quinn::ClientConfig;
use quinn::IdleTimeout;
use quinn::ServerConfig;
use quinn::TransportConfig;
use quinn::VarInt;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use rustls::server::WebPkiClientVerifier;

use crate::link::LinkError;

/// Name that the certificate of every instance carries.
pub const FLEET_NAME: &str = "hibiscus-fleet";
/// Time without a packet after which a connection is closed.
const IDLE_LIMIT_MS: u32 = 4_000;
/// Time between keep-alive packets on an idle connection.
const KEEP_ALIVE: Duration = Duration::from_millis(1_500);
/// Calls in progress on one connection.
const STREAM_LIMIT: u32 = 4_096;

/// Result of reading keys.
type Result<T> = std::result::Result<T, LinkError>;

/// The keys of one instance, in PEM.
#[derive(Clone, Copy, Debug)]
pub struct LinkKeys<'a> {
    /// Certificate of the fleet's authority.
    pub authority: &'a str,
    /// Certificate of this instance.
    pub certificate: &'a str,
    /// Private key of this instance.
    pub key: &'a str,
}

/// Keys in the form that the TLS library takes.
struct ParsedKeys {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl LinkKeys<'_> {
    fn parse(&self) -> Result<ParsedKeys> {
        let authority = CertificateDer::from_pem_slice(self.authority.as_bytes())
            .map_err(|_error| LinkError::BadKeys("authority"))?;
        let certificate = CertificateDer::from_pem_slice(self.certificate.as_bytes())
            .map_err(|_error| LinkError::BadKeys("certificate"))?;
        let key = PrivateKeyDer::from_pem_slice(self.key.as_bytes())
            .map_err(|_error| LinkError::BadKeys("key"))?;
        let mut roots = RootCertStore::empty();
        roots
            .add(authority)
            .map_err(|_error| LinkError::BadKeys("authority"))?;
        Ok(ParsedKeys {
            roots: Arc::new(roots),
            chain: vec![certificate],
            key,
        })
    }
}

/// Settings of the accepting side.
pub(crate) fn server_config(keys: &LinkKeys<'_>) -> Result<ServerConfig> {
    let parsed = keys.parse()?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(parsed.roots, Arc::clone(&provider))
        .build()
        .map_err(|_error| LinkError::BadKeys("authority"))?;
    let tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|_error| LinkError::BadKeys("certificate"))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(parsed.chain, parsed.key)
        .map_err(|_error| LinkError::BadKeys("key"))?;
    let quic =
        QuicServerConfig::try_from(tls).map_err(|_error| LinkError::BadKeys("certificate"))?;
    let mut config = ServerConfig::with_crypto(Arc::new(quic));
    config.transport_config(transport());
    Ok(config)
}

/// Settings of the connecting side.
pub(crate) fn client_config(keys: &LinkKeys<'_>) -> Result<ClientConfig> {
    let parsed = keys.parse()?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|_error| LinkError::BadKeys("certificate"))?
        .with_root_certificates(parsed.roots)
        .with_client_auth_cert(parsed.chain, parsed.key)
        .map_err(|_error| LinkError::BadKeys("key"))?;
    let quic =
        QuicClientConfig::try_from(tls).map_err(|_error| LinkError::BadKeys("certificate"))?;
    let mut config = ClientConfig::new(Arc::new(quic));
    config.transport_config(transport());
    Ok(config)
}

/// Timeouts and limits of both sides.
fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::from(VarInt::from_u32(IDLE_LIMIT_MS));
    transport.max_idle_timeout(Some(idle));
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(STREAM_LIMIT));
    Arc::new(transport)
}
