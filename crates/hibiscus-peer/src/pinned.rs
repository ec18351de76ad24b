//! A link between instances that have no common authority.
//!
//! Each process makes a key pair at its start and announces the fingerprint of
//! its certificate where only the fleet can write. Both ends of a connection
//! present their certificates, and each accepts only one whose fingerprint was
//! announced. The link runs on the caller's runtime.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use quinn::ClientConfig;
use quinn::Endpoint;
use quinn::Incoming;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::ServerConfig;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::CertificateError;
use rustls::DigitallySignedStruct;
use rustls::DistinguishedName;
use rustls::Error;
use rustls::SignatureScheme;
use rustls::client::danger::HandshakeSignatureValid;
use rustls::client::danger::ServerCertVerified;
use rustls::client::danger::ServerCertVerifier;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::PrivatePkcs8KeyDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::UnixTime;
use rustls::server::danger::ClientCertVerified;
use rustls::server::danger::ClientCertVerifier;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::connect::CacheLimits;
use crate::connect::ConnectionCache;
use crate::counts;
use crate::counts::LinkCounters;
use crate::counts::LinkCounts;
use crate::keys;
use crate::keys::FLEET_NAME;
use crate::message;
use crate::message::MessageSender;
use crate::tls;

/// Bounds of the connections to peers: a large fleet asks a few dozen now and
/// then, and a handshake takes some hundredths of a second of a small machine.
const LIMITS: CacheLimits = CacheLimits {
    kept: 64,
    handshakes: 8,
    message: tls::PINNED_MESSAGE,
};

/// Handshakes of peers in progress; one more is refused unread, so that those
/// in progress end before their peers give up.
const HANDSHAKE_LIMIT: usize = 8;
/// Time for a handshake of a peer: as long as the peer waits.
const HANDSHAKE_TIME: Duration = Duration::from_secs(2);
/// Connections of peers; with each keeping its own bound, only an uneven
/// choice of many brings more.
const ACCEPTED_LIMIT: u64 = 256;

/// SHA-256 of a certificate.
pub type CertificatePin = [u8; 32];

/// Why a pinned link cannot be had.
#[derive(Debug, thiserror::Error)]
pub enum PinnedError {
    /// No key pair or certificate can be made.
    #[error("failed to make the link's key pair")]
    Key(#[from] rcgen::Error),
    /// The cryptography refuses the key pair.
    #[error("failed to use the link's key pair")]
    Tls(#[from] Error),
    /// The cryptography has no cipher that the protocol needs.
    #[error("failed to find a cipher for the link")]
    Cipher(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
    /// The port cannot be opened.
    #[error("failed to open the peer port")]
    Bind(#[from] io::Error),
}

/// Result of a pinned link's operation.
pub(crate) type Result<T> = std::result::Result<T, PinnedError>;

/// The key pair of one process.
pub struct PinnedKeys {
    certificate: CertificateDer<'static>,
    key: Vec<u8>,
}

impl PinnedKeys {
    /// A new key pair.
    ///
    /// # Errors
    ///
    /// Fails when the system gives no random numbers.
    pub fn generate() -> Result<Self> {
        let made = rcgen::generate_simple_self_signed(vec![FLEET_NAME.to_owned()])?;
        Ok(Self {
            certificate: made.cert.der().clone(),
            key: made.signing_key.serialize_der(),
        })
    }

    /// What peers must know to accept this process.
    pub fn pin(&self) -> CertificatePin {
        pin_of(&self.certificate)
    }

    fn private_key(&self) -> PrivateKeyDer<'static> {
        PrivateKeyDer::Pkcs8(PrivatePkcs8KeyDer::from(self.key.clone()))
    }
}

/// The pins of all processes that may connect.
#[derive(Clone, Debug, Default)]
pub struct PinSet {
    pins: Arc<RwLock<HashSet<CertificatePin>>>,
}

impl PinSet {
    /// Accepts the process with `pin` from now on.
    pub fn insert(&self, pin: CertificatePin) {
        let mut pins = self.pins.write().unwrap_or_else(PoisonError::into_inner);
        pins.insert(pin);
    }

    /// Accepts the process with `pin` no more.
    pub fn remove(&self, pin: &CertificatePin) {
        let mut pins = self.pins.write().unwrap_or_else(PoisonError::into_inner);
        pins.remove(pin);
    }

    fn check(&self, certificate: &CertificateDer<'_>) -> std::result::Result<(), Error> {
        let pins = self.pins.read().unwrap_or_else(PoisonError::into_inner);
        if pins.contains(&pin_of(certificate)) {
            return Ok(());
        }
        Err(Error::InvalidCertificate(CertificateError::UnknownIssuer))
    }
}

/// The pin of a certificate.
fn pin_of(certificate: &CertificateDer<'_>) -> CertificatePin {
    Sha256::digest(certificate).into()
}

/// Accepts certificates whose pin is known, on both sides of a connection.
#[derive(Debug)]
struct PinVerifier {
    pins: PinSet,
    provider: Arc<CryptoProvider>,
}

impl PinVerifier {
    fn verify(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> std::result::Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn schemes(&self) -> Vec<SignatureScheme> {
        let algorithms = &self.provider.signature_verification_algorithms;
        algorithms.supported_schemes()
    }
}

/// The protocol of the link is TLS 1.3 only.
const NO_TLS12: Error = Error::PeerIncompatible(rustls::PeerIncompatible::Tls12NotOffered);

/// The checks of signatures, which both verifier traits ask for under the same
/// names.
macro_rules! check_signatures {
    () => {
        fn verify_tls12_signature(
            &self,
            _message: &[u8],
            _certificate: &CertificateDer<'_>,
            _signature: &DigitallySignedStruct,
        ) -> std::result::Result<HandshakeSignatureValid, Error> {
            Err(NO_TLS12)
        }

        fn verify_tls13_signature(
            &self,
            message: &[u8],
            certificate: &CertificateDer<'_>,
            signature: &DigitallySignedStruct,
        ) -> std::result::Result<HandshakeSignatureValid, Error> {
            self.verify(message, certificate, signature)
        }

        fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
            self.schemes()
        }
    };
}

impl ServerCertVerifier for PinVerifier {
    fn verify_server_cert(
        &self,
        certificate: &CertificateDer<'_>,
        _chain: &[CertificateDer<'_>],
        _name: &ServerName<'_>,
        _ocsp: &[u8],
        _now: UnixTime,
    ) -> std::result::Result<ServerCertVerified, Error> {
        self.pins.check(certificate)?;
        Ok(ServerCertVerified::assertion())
    }

    check_signatures!();
}

impl ClientCertVerifier for PinVerifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        certificate: &CertificateDer<'_>,
        _chain: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> std::result::Result<ClientCertVerified, Error> {
        self.pins.check(certificate)?;
        Ok(ClientCertVerified::assertion())
    }

    check_signatures!();
}

/// A call received from a peer.
#[derive(Debug)]
pub struct PinnedCall {
    /// The request.
    pub body: Vec<u8>,
    reply: oneshot::Sender<Vec<u8>>,
}

impl PinnedCall {
    /// Whether the peer still waits, as far as is known here.
    pub fn is_caller_waiting(&self) -> bool {
        !self.reply.is_closed()
    }

    /// Sends the reply; false when the peer no longer waits and gets none.
    pub fn reply(self, body: Vec<u8>) -> bool {
        self.reply.send(body).is_ok()
    }
}

/// The link of one process.
#[derive(Clone)]
pub struct PinnedLink {
    cache: Arc<ConnectionCache>,
}

impl PinnedLink {
    /// Opens the port on the present runtime and puts received calls into
    /// `inbox`; a call that finds it full is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the keys cannot be used or the port cannot be opened.
    pub fn open(
        listen: SocketAddr,
        keys: &PinnedKeys,
        pins: &PinSet,
        inbox: mpsc::Sender<PinnedCall>,
    ) -> Result<Self> {
        let mut endpoint = Endpoint::server(server_config(keys, pins)?, listen)?;
        endpoint.set_default_client_config(client_config(keys, pins)?);
        let cache = Arc::new(ConnectionCache::new(endpoint.clone(), LIMITS));
        tokio::spawn(accept(endpoint, inbox, Arc::clone(cache.counters())));
        Ok(Self { cache })
    }

    /// What the link counted until now.
    pub fn counts(&self) -> LinkCounts {
        self.cache.counts()
    }

    /// Sends `body` to `peer` and returns the reply; `None` on any failure and
    /// after `timeout`. The peer may have received the call.
    pub async fn call(&self, peer: SocketAddr, body: &[u8], timeout: Duration) -> Option<Vec<u8>> {
        self.cache.exchange(peer, body, timeout).await
    }
}

/// Settings of the accepting side.
fn server_config(keys: &PinnedKeys, pins: &PinSet) -> Result<ServerConfig> {
    let mut config = rustls::ServerConfig::builder_with_provider(keys::provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier(pins))
        .with_single_cert(vec![keys.certificate.clone()], keys.private_key())?;
    // Peers keep their connections, so no session is resumed.
    config.send_tls13_tickets = 0;
    let quic = QuicServerConfig::try_from(config)?;
    let mut config = ServerConfig::with_crypto(Arc::new(quic));
    config.transport_config(tls::pinned_transport());
    Ok(config)
}

/// Settings of the connecting side.
fn client_config(keys: &PinnedKeys, pins: &PinSet) -> Result<ClientConfig> {
    let config = rustls::ClientConfig::builder_with_provider(keys::provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .dangerous()
        .with_custom_certificate_verifier(verifier(pins))
        .with_client_auth_cert(vec![keys.certificate.clone()], keys.private_key())?;
    let quic = QuicClientConfig::try_from(config)?;
    let mut config = ClientConfig::new(Arc::new(quic));
    config.transport_config(tls::pinned_transport());
    Ok(config)
}

fn verifier(pins: &PinSet) -> Arc<PinVerifier> {
    Arc::new(PinVerifier {
        pins: pins.clone(),
        provider: keys::provider(),
    })
}

/// Accepts connections until the endpoint is closed.
async fn accept(endpoint: Endpoint, inbox: mpsc::Sender<PinnedCall>, counters: Arc<LinkCounters>) {
    let places = Arc::new(Semaphore::new(HANDSHAKE_LIMIT));
    while let Some(incoming) = endpoint.accept().await {
        let place = Arc::clone(&places).try_acquire_owned().ok();
        let place = place.filter(|_place| counts::level(&counters.open_in) < ACCEPTED_LIMIT);
        let Some(place) = place else {
            counts::add(&counters.handshakes_refused);
            incoming.refuse();
            continue;
        };
        counts::add(&counters.handshakes_accepted);
        tokio::spawn(serve_connection(
            incoming,
            place,
            inbox.clone(),
            Arc::clone(&counters),
        ));
    }
}

/// Receives the calls of one connection.
async fn serve_connection(
    incoming: Incoming,
    place: OwnedSemaphorePermit,
    inbox: mpsc::Sender<PinnedCall>,
    counters: Arc<LinkCounters>,
) {
    let made = tokio::time::timeout(HANDSHAKE_TIME, incoming.into_future()).await;
    drop(place);
    let Ok(Ok(connection)) = made else {
        return;
    };
    counts::add(&counters.open_in);
    while let Ok((send, receive)) = connection.accept_bi().await {
        tokio::spawn(serve_call(send, receive, inbox.clone()));
    }
    counts::take(&counters.open_in);
}

/// Receives one call and sends its reply.
async fn serve_call(send: SendStream, mut receive: RecvStream, inbox: mpsc::Sender<PinnedCall>) {
    let mut sender = MessageSender::new(send);
    let Some(body) = message::receive(&mut receive, tls::PINNED_MESSAGE).await else {
        return;
    };
    let (reply, answered) = oneshot::channel();
    if inbox.try_send(PinnedCall { body, reply }).is_err() {
        return;
    }
    let body = tokio::select! {
        body = answered => body,
        () = sender.left() => return,
    };
    let Ok(body) = body else {
        return;
    };
    let _gone = sender.send(&body).await;
}
