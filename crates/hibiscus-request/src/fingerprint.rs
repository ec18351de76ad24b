//! Fingerprints that identify a repeated request under different request ids.

use std::fmt;

use hibiscus_types::hash::stable_hash;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Bytes of the SHA-256 digest that a fingerprint keeps.
const DIGEST_BYTES: usize = 16;

/// Hexadecimal digits of a coarse fingerprint.
const SKETCH_DIGITS: usize = 16;

/// Identifies all requests with the same team, path and body.
///
/// Most requests can be told apart by the coarse part without reading their
/// bodies. The digest is collision-resistant and covers the team, so that no
/// team can send a request that is taken for another team's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint {
    coarse: CoarseFingerprint,
    digest: [u8; DIGEST_BYTES],
}

/// The part of a [`RequestFingerprint`] that is computed without reading the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CoarseFingerprint(u64);

impl CoarseFingerprint {
    /// Hashes the team, the path and the body's length in bytes.
    pub fn of(team: &str, path: &str, length: usize) -> Self {
        Self(stable_hash(&[
            team.as_bytes(),
            path.as_bytes(),
            &length.to_be_bytes(),
        ]))
    }
}

impl RequestFingerprint {
    /// Computes the fingerprint of `body` that `team` sends to `path`.
    pub fn of(team: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [team.as_bytes(), path.as_bytes(), body] {
            hasher.update(part.len().to_be_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash[..DIGEST_BYTES]);
        Self {
            coarse: CoarseFingerprint::of(team, path, body.len()),
            digest,
        }
    }

    /// Parses the coarse part followed by the digest, both in hexadecimal.
    pub fn parse(text: &str) -> Option<Self> {
        let (coarse, digest) = text.split_at_checked(SKETCH_DIGITS)?;
        if digest.len() != 2 * DIGEST_BYTES {
            return None;
        }
        let digest = u128::from_str_radix(digest, 16).ok()?;
        Some(Self {
            coarse: CoarseFingerprint(u64::from_str_radix(coarse, 16).ok()?),
            digest: digest.to_be_bytes(),
        })
    }

    /// Returns the part that does not depend on the body's bytes.
    pub fn coarse(&self) -> CoarseFingerprint {
        self.coarse
    }
}

/// Writes the hash in hexadecimal.
impl fmt::Display for CoarseFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Writes the digest in hexadecimal, without the coarse part.
impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.digest {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}
