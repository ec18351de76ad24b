//! Splits a fold into parts and joins them again. The parts are appended to
//! the snapshot stream before the records of the fold expire, and sent to
//! peers that start while the log is unavailable.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use hibiscus_types::BudgetName;
use hibiscus_types::TeamName;
use hibiscus_types::codec;
use hibiscus_types::codec::CodecError;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::entry::EntryKey;
use crate::fold::ConfigFold;
use crate::fold::EntryState;
use crate::fold::PublicationVerdict;

/// Most items in one part; a part full of entries takes about 200 KB.
pub const PART_ITEMS: usize = 1_000;

/// An error of splitting or joining a state.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// An item could not be encoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The digest of the joined items differs from the one in the header.
    #[error("failed to join the snapshot at offset {next}: its digest differs")]
    Digest {
        /// Offset of the first record after the snapshot.
        next: u64,
    },
}

/// Result of splitting or joining a state.
pub type Result<T> = std::result::Result<T, StateError>;

/// An item of a fold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateItem {
    /// An entry in force.
    Entry(EntryKey, EntryState),
    /// A removed budget and its team.
    FormerTeam(BudgetName, TeamName),
    /// A publication id and its verdict.
    Verdict(u128, PublicationVerdict),
}

/// Header that is the same in all parts of a state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateHeader {
    /// Offset of the first record after the state.
    pub next: u64,
    /// The version in force.
    pub version: u64,
    /// Number of parts.
    pub parts: u32,
    /// SHA-256 of all encoded items, in order.
    pub digest: [u8; 32],
}

/// A part of a state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatePart {
    /// Header of the state.
    pub header: StateHeader,
    /// Position of the part, from 0.
    pub index: u32,
    /// Items of the part.
    pub items: Vec<StateItem>,
}

/// Iterates over all items of `fold` in a fixed order, which the digest needs.
fn items(fold: &ConfigFold) -> impl Iterator<Item = StateItem> + '_ {
    let entries = fold
        .entries()
        .iter()
        .map(|(key, state)| StateItem::Entry(key.clone(), state.clone()));
    let former = fold
        .former_teams()
        .iter()
        .map(|(budget, team)| StateItem::FormerTeam(budget.clone(), team.clone()));
    let verdicts = fold
        .verdicts()
        .iter()
        .map(|(publication, verdict)| StateItem::Verdict(*publication, verdict.clone()));
    entries.chain(former).chain(verdicts)
}

/// Computes the header of the state of `fold`.
pub fn header(fold: &ConfigFold) -> Result<StateHeader> {
    let mut hasher = Sha256::new();
    let mut count = 0_usize;
    for item in items(fold) {
        hasher.update(codec::encode(&item)?);
        count += 1;
    }
    let parts = count.div_ceil(PART_ITEMS).max(1);
    Ok(StateHeader {
        next: fold.next_offset(),
        version: fold.version(),
        parts: u32::try_from(parts).unwrap_or(u32::MAX),
        digest: hasher.finalize().into(),
    })
}

/// Returns the part of `fold` at position `index`; `header` is the header of
/// `fold`.
pub fn part(fold: &ConfigFold, header: &StateHeader, index: u32) -> StatePart {
    let skipped = usize::try_from(index).unwrap_or(usize::MAX);
    StatePart {
        header: header.clone(),
        index,
        items: items(fold)
            .skip(skipped.saturating_mul(PART_ITEMS))
            .take(PART_ITEMS)
            .collect(),
    }
}

/// Joins the parts of a state, which may arrive repeatedly and in any order.
#[derive(Clone, Debug, Default)]
pub struct StateAssembly {
    header: Option<StateHeader>,
    parts: BTreeMap<u32, Vec<StateItem>>,
}

impl StateAssembly {
    /// Adds a part and returns the fold once all parts have arrived. A part of
    /// a newer state discards the older parts, and a part of an older state is
    /// ignored.
    ///
    /// # Errors
    ///
    /// Fails if an item cannot be encoded or the joined parts do not match
    /// their digest.
    pub fn add_part(&mut self, part: StatePart) -> Result<Option<ConfigFold>> {
        let newer = self
            .header
            .as_ref()
            .is_none_or(|held| part.header.next > held.next);
        if newer {
            self.header = Some(part.header.clone());
            self.parts.clear();
        }
        if self.header.as_ref() != Some(&part.header) {
            return Ok(None);
        }
        self.parts.insert(part.index, part.items);
        if self.parts.len() < usize::try_from(part.header.parts).unwrap_or(usize::MAX) {
            return Ok(None);
        }
        let fold = join(&part.header, std::mem::take(&mut self.parts));
        self.header = None;
        if header(&fold)? != part.header {
            let next = part.header.next;
            return Err(StateError::Digest { next });
        }
        Ok(Some(fold))
    }
}

/// Builds the fold from all `parts`.
fn join(header: &StateHeader, parts: BTreeMap<u32, Vec<StateItem>>) -> ConfigFold {
    let mut entries = BTreeMap::new();
    let mut former_teams = BTreeMap::new();
    let mut verdicts = VecDeque::new();
    for item in parts.into_values().flatten() {
        match item {
            StateItem::Entry(key, state) => {
                entries.insert(key, state);
            }
            StateItem::FormerTeam(budget, team) => {
                former_teams.insert(budget, team);
            }
            StateItem::Verdict(publication, verdict) => verdicts.push_back((publication, verdict)),
        }
    }
    ConfigFold::restore(header.next, header.version, entries, former_teams, verdicts)
}
