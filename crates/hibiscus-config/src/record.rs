//! Records of the configuration stream.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

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

/// The version of each entry in force.
pub type EntryVersions = BTreeMap<EntryKey, u64>;
