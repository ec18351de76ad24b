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

/// Time without a packet after which a connection is closed.
const IDLE_LIMIT_MS: u32 = 4_000;
/// Time between keep-alive packets on an idle connection.
const KEEP_ALIVE: Duration = Duration::from_millis(1_500);
/// Calls in progress on one connection.
const STREAM_LIMIT: u32 = 4_096;

/// Settings of the accepting side.
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

/// Settings of the connecting side.
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

/// Timeouts and limits of both sides.
pub(crate) fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::from(VarInt::from_u32(IDLE_LIMIT_MS));
    transport.max_idle_timeout(Some(idle));
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(STREAM_LIMIT));
    Arc::new(transport)
}

/// Time without a packet after which a connection of a pinned link is closed:
/// longer than the pauses between the questions of an instance in need, and no
/// packet is sent to keep it open.
const PINNED_IDLE_MS: u32 = 20_000;
/// Calls in progress on one connection of a pinned link. The library prepares
/// memory for each from the start: 4,096 take hundreds of kilobytes.
const PINNED_STREAMS: u32 = 32;
/// Largest message of a pinned link, in bytes.
pub(crate) const PINNED_MESSAGE: usize = 64 * 1024;
/// Bytes in flight in each direction on one connection of a pinned link: a few
/// of the largest messages.
const PINNED_WINDOW: u32 = 256 * 1024;
/// First guess of the round trip: instances are a few milliseconds apart, and
/// a lost first packet is sent again after three of it.
const PINNED_ROUND_TRIP: Duration = Duration::from_millis(100);
/// Bytes of a handshake that may wait, which is some kilobytes long.
const PINNED_CRYPTO: usize = 16 * 1024;

/// Timeouts and limits of both sides of a pinned link, whose processes are
/// many and small.
pub(crate) fn pinned_transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::from(VarInt::from_u32(PINNED_IDLE_MS));
    transport.max_idle_timeout(Some(idle));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(PINNED_STREAMS));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    transport.stream_receive_window(VarInt::from_u32(PINNED_MESSAGE as u32));
    transport.receive_window(VarInt::from_u32(PINNED_WINDOW));
    transport.send_window(u64::from(PINNED_WINDOW));
    transport.datagram_receive_buffer_size(None);
    transport.crypto_buffer_size(PINNED_CRYPTO);
    transport.initial_rtt(PINNED_ROUND_TRIP);
    // Messages are small, so larger packets do not pay for their search.
    transport.mtu_discovery_config(None);
    Arc::new(transport)
}
