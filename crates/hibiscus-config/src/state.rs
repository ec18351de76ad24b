//! The whole fold in parts: appended to the snapshot stream before the
//! records behind it expire, and sent to peers that start without the log.

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

/// Items in one part; a part of entries takes about 200 KB.
pub const PART_ITEMS: usize = 1_000;

/// Why a state cannot be cut into parts or joined.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// An item cannot be encoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The joined items are not those that were cut.
    #[error("failed to join the snapshot at offset {next}: its digest differs")]
    Digest {
        /// The offset that the snapshot stands at.
        next: u64,
    },
}

/// Result of cutting or joining.
pub type Result<T> = std::result::Result<T, StateError>;

/// One item of a fold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateItem {
    /// An entry in force.
    Entry(EntryKey, EntryState),
    /// The team of a removed budget.
    FormerTeam(BudgetName, TeamName),
    /// A remembered verdict.
    Verdict(u128, PublicationVerdict),
}

/// What all parts of one state share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateHeader {
    /// Offset of the first record that the state does not hold.
    pub next: u64,
    /// The version in force.
    pub version: u64,
    /// Number of parts.
    pub parts: u32,
    /// SHA-256 over all items.
    pub digest: [u8; 32],
}

/// One part of a state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatePart {
    /// The state that it belongs to.
    pub header: StateHeader,
    /// Its position, from 0.
    pub index: u32,
    /// Its items.
    pub items: Vec<StateItem>,
}

/// All items of `fold` in a fixed order.
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

/// The header of the state of `fold`.
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

/// The part `index` of `fold`, whose header is `header`.
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

/// Joins the parts of one state; parts may come twice and in any order.
#[derive(Clone, Debug, Default)]
pub struct StateAssembly {
    header: Option<StateHeader>,
    parts: BTreeMap<u32, Vec<StateItem>>,
}

impl StateAssembly {
    /// Takes a part. A part of a newer state drops the older parts, and one
    /// of an older state is passed over. Answers the fold once it is whole.
    ///
    /// # Errors
    ///
    /// Fails when the parts do not match their digest.
    pub fn take(&mut self, part: StatePart) -> Result<Option<ConfigFold>> {
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

/// The fold of all `parts`.
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
