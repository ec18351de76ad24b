//! What is the same about a request that comes again under another number.

use std::fmt;

use hibiscus_types::hash::stable_hash;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Bytes of the digest that are kept.
const DIGEST_BYTES: usize = 16;

/// Digits of a sketch in hexadecimal.
const SKETCH_DIGITS: usize = 16;

/// Names all requests with the same path, caller and body.
///
/// The sketch leaves the body's bytes out, so that most requests are told
/// apart without reading them. The digest is one that nobody can make collide:
/// it holds the team, so no team can send what passes for another's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint {
    coarse: CoarseFingerprint,
    digest: [u8; DIGEST_BYTES],
}

/// The part of a [`RequestFingerprint`] that costs nothing to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CoarseFingerprint(u64);

impl CoarseFingerprint {
    /// The sketch of a body of `length` bytes that `team` sends to `path`.
    pub fn of(team: &str, path: &str, length: usize) -> Self {
        Self(stable_hash(&[
            team.as_bytes(),
            path.as_bytes(),
            &length.to_be_bytes(),
        ]))
    }
}

impl RequestFingerprint {
    /// The print of `body` that `team` sends to `path`.
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

    /// The print whose sketch and digest `text` holds, one after the other.
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

    /// The part without the body's bytes.
    pub fn coarse(&self) -> CoarseFingerprint {
        self.coarse
    }
}

/// The sketch in hexadecimal.
impl fmt::Display for CoarseFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// The digest in hexadecimal.
impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.digest {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}
