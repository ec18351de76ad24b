//! Authenticated request-reply link between the instances of a fleet.
//!
//! A dedicated thread with a current-thread runtime owns the `quinn` endpoint;
//! other threads reach it through bounded channels. A call is one stream: the
//! bytes of the request, then those of the reply. Both ends present a
//! certificate signed by the fleet's authority, so a process of another fleet
//! is refused during the handshake. A call that fails may have been received,
//! so callers repeat only idempotent calls. [`PinnedLink`] is the same link for
//! fleets without an authority, and runs on its caller's runtime.

mod connect;
mod counts;
mod keys;
mod link;
mod message;
mod pinned;
mod slot;
mod tls;

pub use counts::LinkCounts;
pub use keys::FLEET_NAME;
pub use keys::KeyFault;
pub use keys::KeyPart;
pub use keys::LinkKeys;
pub use link::LinkError;
pub use link::LinkOptions;
pub use link::PeerCall;
pub use link::PeerLink;
pub use link::PendingCall;
pub use link::Result;
pub use pinned::CertificatePin;
pub use pinned::PinSet;
pub use pinned::PinnedCall;
pub use pinned::PinnedError;
pub use pinned::PinnedKeys;
pub use pinned::PinnedLink;
