//! Authenticated request and reply link between the instances of a fleet.
//!
//! One thread with a current-thread runtime owns the `quinn` endpoint; the
//! duties' threads reach it through bounded rings. A call is one stream: the
//! request's bytes, then the reply's. Both ends present a certificate signed
//! by the fleet's authority, so a process of another fleet is refused during
//! the handshake. A call that fails may have been received: callers repeat
//! only what is idempotent. [`PinnedLink`] is the same for fleets without an
//! authority, on the runtime of its caller.

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
