//! TLS and transport settings of the link.

use std::sync::Arc;
use std::time::Duration;

use quinn::ClientConfig;
use quinn::IdleTimeout;
use quinn::ServerConfig;
use quinn::TransportConfig;
use quinn::VarInt;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::server::WebPkiClientVerifier;

use crate::keys;
use crate::keys::KeyPart;
use crate::keys::LinkKeys;
use crate::keys::Result;

/// Time without a received packet after which a connection is closed.
const IDLE_LIMIT_MS: u32 = 4_000;
/// Interval between keep-alive packets on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Most calls in progress on one connection.
const STREAM_LIMIT: u32 = 4_096;

/// Returns the settings of the accepting side.
pub(crate) fn server_config(keys: &LinkKeys<'_>) -> Result<ServerConfig> {
    let parsed = keys.parse()?;
    let verifier = WebPkiClientVerifier::builder_with_provider(parsed.roots, keys::provider())
        .build()
        .map_err(|error| keys::fault(KeyPart::Authority, error.to_string()))?;
    let tls = rustls::ServerConfig::builder_with_provider(keys::provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| keys::fault(KeyPart::Certificate, error.to_string()))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(parsed.chain, parsed.key)
        .map_err(|error| keys::fault(KeyPart::Key, error.to_string()))?;
    let quic = QuicServerConfig::try_from(tls)
        .map_err(|error| keys::fault(KeyPart::Certificate, error.to_string()))?;
    let mut config = ServerConfig::with_crypto(Arc::new(quic));
    config.transport_config(transport());
    Ok(config)
}

/// Returns the settings of the connecting side.
pub(crate) fn client_config(keys: &LinkKeys<'_>) -> Result<ClientConfig> {
    let parsed = keys.parse()?;
    let tls = rustls::ClientConfig::builder_with_provider(keys::provider())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| keys::fault(KeyPart::Certificate, error.to_string()))?
        .with_root_certificates(parsed.roots)
        .with_client_auth_cert(parsed.chain, parsed.key)
        .map_err(|error| keys::fault(KeyPart::Key, error.to_string()))?;
    let quic = QuicClientConfig::try_from(tls)
        .map_err(|error| keys::fault(KeyPart::Certificate, error.to_string()))?;
    let mut config = ClientConfig::new(Arc::new(quic));
    config.transport_config(transport());
    Ok(config)
}

/// Returns the timeouts and limits of both sides.
pub(crate) fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::from(VarInt::from_u32(IDLE_LIMIT_MS));
    transport.max_idle_timeout(Some(idle));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(STREAM_LIMIT));
    Arc::new(transport)
}

/// Time without a received packet after which a connection of a pinned link is
/// closed: longer than the pauses between the requests of an instance that needs
/// tokens. No keep-alive packets are sent.
const PINNED_IDLE_MS: u32 = 20_000;
/// Most calls in progress on one connection of a pinned link. The library
/// allocates memory for each in advance: 4,096 take hundreds of kilobytes.
const PINNED_STREAM_LIMIT: u32 = 32;
/// Largest message of a pinned link, in bytes.
pub(crate) const PINNED_MESSAGE_BYTES: usize = 64 * 1024;
/// Bytes in flight in each direction on one connection of a pinned link: enough
/// for a few of the largest messages.
const PINNED_WINDOW_BYTES: u32 = 256 * 1024;
/// Initial estimate of the round-trip time: instances are a few milliseconds
/// apart, and a lost first packet is sent again after three times this estimate.
const PINNED_INITIAL_RTT: Duration = Duration::from_millis(100);
/// Bytes of handshake data that may be buffered; a handshake takes some
/// kilobytes.
const PINNED_CRYPTO_BUFFER_BYTES: usize = 16 * 1024;

/// Returns the timeouts and limits of both sides of a pinned link, which
/// connects many small processes.
pub(crate) fn pinned_transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::from(VarInt::from_u32(PINNED_IDLE_MS));
    transport.max_idle_timeout(Some(idle));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(PINNED_STREAM_LIMIT));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    transport.stream_receive_window(VarInt::from_u32(PINNED_MESSAGE_BYTES as u32));
    transport.receive_window(VarInt::from_u32(PINNED_WINDOW_BYTES));
    transport.send_window(u64::from(PINNED_WINDOW_BYTES));
    transport.datagram_receive_buffer_size(None);
    transport.crypto_buffer_size(PINNED_CRYPTO_BUFFER_BYTES);
    transport.initial_rtt(PINNED_INITIAL_RTT);
    // Messages are small, so larger packets aren't worth the probes for them.
    transport.mtu_discovery_config(None);
    Arc::new(transport)
}
