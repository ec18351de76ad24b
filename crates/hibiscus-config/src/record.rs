//! Records of the configuration stream.

use hibiscus_types::codec;
use hibiscus_types::codec::Result;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::entry::ConfigEntry;
use crate::entry::EntryKey;

/// A change of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryChange {
    /// Key of the entry.
    pub key: EntryKey,
    /// New content of the entry, `None` to remove it.
    pub entry: Option<ConfigEntry>,
    /// Offset of the publication that set the replaced version, `None` for a
    /// new entry.
    pub replaces: Option<u64>,
    /// Name of the person who requested the change, from the comment of the line.
    pub asked_by: String,
}

/// A publication, whose changes are accepted all together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Id of the publication. After a lost response, the author finds the verdict
    /// by this id.
    pub publication: u128,
    /// Changes of the publication.
    pub changes: Vec<EntryChange>,
}

impl ConfigRecord {
    /// Creates a record of `changes` that is based on `version`. The id is
    /// derived from both, so a repeat of the same changes on the same version
    /// is recognised as the same publication.
    ///
    /// # Errors
    ///
    /// Fails if the changes cannot be encoded.
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
