//! Records of the configuration stream.

use hibiscus_types::codec;
use hibiscus_types::codec::Result;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::entry::ConfigEntry;
use crate::entry::EntryKey;

/// One changed entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryChange {
    /// The entry that changes.
    pub key: EntryKey,
    /// Its new content, `None` to remove it.
    pub entry: Option<ConfigEntry>,
    /// Offset of the version that it replaces, `None` for a new entry.
    pub replaces: Option<u64>,
    /// Who asked for it, from the comment.
    pub asked_by: String,
}

/// One publication: all its changes are accepted, or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Identifies the publication, so that a lost reply can be resolved.
    pub publication: u128,
    /// The changes.
    pub changes: Vec<EntryChange>,
}

impl ConfigRecord {
    /// The proposal of `changes` by an author who has seen `version` in
    /// force. The same changes over the same version are the same
    /// publication, so that a repeat is recognised.
    ///
    /// # Errors
    ///
    /// Fails when the changes cannot be encoded.
    pub fn proposal(version: u64, changes: Vec<EntryChange>) -> Result<Self> {
        let digest = Sha256::digest(codec::encode(&(version, &changes))?);
        let mut publication = [0; 16];
        publication.copy_from_slice(&digest[..16]);
        Ok(Self {
            publication: u128::from_be_bytes(publication),
            changes,
        })
    }
}
