//! Versioned binary encoding of records and peer messages.
//!
//! Every encoded value starts with its format version. A process that reads a
//! newer version must stop making decisions based on that stream, so the
//! version is read before the rest is decoded.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The format version that this release writes, and the newest one that it
/// reads.
pub const FORMAT_VERSION: u16 = 1;

/// Error of encoding or decoding a value.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The value was written by a newer release.
    #[error(
        "failed to decode a record of format {found}: this release reads up to {FORMAT_VERSION}"
    )]
    NewerFormat {
        /// The version found.
        found: u16,
    },
    /// The bytes are not a value of the expected type.
    #[error("failed to decode a record")]
    Malformed(#[source] postcard::Error),
    /// The value cannot be encoded.
    #[error("failed to encode a record")]
    Encode(#[source] postcard::Error),
}

/// Result of encoding or decoding.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Encodes the current format version followed by `value`.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    postcard::to_stdvec(&(FORMAT_VERSION, value)).map_err(CodecError::Encode)
}

/// Decodes a value encoded by this release or an older one.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    decode_borrowed(bytes)
}

/// Like [`decode`], for a value that borrows from `bytes`.
pub fn decode_borrowed<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    let (found, rest) = postcard::take_from_bytes::<u16>(bytes).map_err(CodecError::Malformed)?;
    if found > FORMAT_VERSION {
        return Err(CodecError::NewerFormat { found });
    }
    postcard::from_bytes(rest).map_err(CodecError::Malformed)
}
