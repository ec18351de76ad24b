//! Deltas between two versions of the configuration.
//!
//! A version holds all routes and teams, and most changes touch a few of them.
//! An instance that has read a complete version publishes the delta from the
//! previous one for the other instances, in parts that fit in records of the
//! store. A delta applies to exactly one configuration: the one that results
//! from all of the operators' records before [`ConfigDelta::base`] in the era
//! [`ConfigDelta::era`] of the store.
//!
//! The operators' topic has other records, such as those of evacuations. A delta carries
//! the newest evacuation records whole, which apply to any configuration of the same era,
//! and one that changes no configuration takes a few bytes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use hibiscus_types::ServiceName;
use hibiscus_types::StoreEra;
use hibiscus_types::codec;
use hibiscus_types::codec::CodecError;
use serde::Deserialize;
use serde::Serialize;

use crate::evacuations::EvacuationRecords;
use crate::model::CallerLimits;
use crate::model::ColdStart;
use crate::model::EngineShape;
use crate::model::FleetConfig;
use crate::model::RouteRule;
use crate::model::TeamRule;

/// Format of a delta. A release that changes the fields of a configuration must
/// increment it; an instance reads the complete version instead of deltas in
/// another format.
const DELTA_FORMAT: u16 = 3;
/// Bytes of a delta in one part: a record holds up to 256 KiB.
const PART_BYTES: usize = 200 * 1024;
/// Most parts of a delta: a call to the store takes up to 2 MiB.
const PARTS_LIMIT: usize = 8;

/// Why a delta can't be published or applied.
#[derive(Debug, thiserror::Error)]
pub enum DeltaError {
    /// The delta exceeds the size of one call to the store.
    #[error("failed to publish a configuration delta of {bytes} bytes: it is too large")]
    TooLarge {
        /// Encoded size of the delta.
        bytes: usize,
    },
    /// The delta can't be encoded or decoded.
    #[error("failed to encode or decode a configuration delta")]
    Codec(#[from] CodecError),
    /// A release with another format wrote the delta.
    #[error(
        "failed to decode a configuration delta of format {format}: this release reads {DELTA_FORMAT}"
    )]
    OtherFormat {
        /// Format of the delta.
        format: u16,
    },
    /// The delta refers to entries that the configuration doesn't have.
    #[error("failed to apply a configuration delta: it belongs to another configuration")]
    OtherConfig,
}

/// Result of creating or applying a delta.
pub type Result<T> = std::result::Result<T, DeltaError>;

/// An edit that produces entries of the new list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ListEdit<T> {
    /// Copies consecutive entries of the old list.
    Keep {
        /// Position of the first copied entry.
        first: usize,
        /// Number of copied entries.
        count: usize,
    },
    /// Inserts an entry that the old list doesn't have.
    Insert(T),
}

/// The difference that turns one configuration into another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Era of the store in which the offsets were read.
    pub era: StoreEra,
    /// Offset after the last of the operators' records that the old
    /// configuration results from.
    pub base: u64,
    /// Offset after the last of the operators' records that the new
    /// configuration results from.
    pub next: u64,
    /// Offset up to which all of the operators' records were read: none of them from `next`
    /// on has a valid configuration.
    pub read_end: u64,
    /// Version of the new configuration.
    pub version: u64,
    /// Evacuations of data centres.
    pub evacuations: EvacuationRecords,
    /// What differs; `None` if the configuration is the same.
    edits: Option<ConfigEdits>,
}

/// What differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ConfigEdits {
    routes: Vec<ListEdit<RouteRule>>,
    teams: Vec<ListEdit<TeamRule>>,
    skipped_routes: Vec<String>,
    engines: BTreeMap<ServiceName, EngineShape>,
    connections: BTreeMap<ServiceName, u32>,
    cold_starts: BTreeMap<ServiceName, ColdStart>,
    needs_key: bool,
    limits: CallerLimits,
}

impl ConfigDelta {
    /// Computes the delta from `before`, the configuration at offset `base`, to
    /// `after`, the configuration at offset `next`.
    pub fn between(
        (base, before): (u64, &FleetConfig),
        (next, after): (u64, &FleetConfig),
    ) -> Self {
        Self {
            era: StoreEra::default(),
            base,
            next,
            read_end: next,
            version: after.version,
            evacuations: EvacuationRecords::default(),
            edits: Some(ConfigEdits {
                routes: edits(&before.routes, &after.routes, |route| &route.name),
                teams: edits(&before.teams, &after.teams, |team| team.name.as_str()),
                skipped_routes: after.skipped_routes.clone(),
                engines: after.engines.clone(),
                connections: after.connections.clone(),
                cold_starts: after.cold_starts.clone(),
                needs_key: after.needs_key,
                limits: after.limits,
            }),
        }
    }

    /// A delta for records of the operators that leave the configuration `version` at offset
    /// `next` as it is.
    pub fn unchanged(next: u64, version: u64) -> Self {
        Self {
            era: StoreEra::default(),
            base: next,
            next,
            read_end: next,
            version,
            evacuations: EvacuationRecords::default(),
            edits: None,
        }
    }

    /// Sets the evacuations, and the offset up to which all records were read.
    pub fn with_evacuations(self, read_end: u64, evacuations: EvacuationRecords) -> Self {
        Self {
            read_end,
            evacuations,
            ..self
        }
    }

    /// Sets the era of the store in which the offsets were read.
    pub fn in_era(self, era: StoreEra) -> Self {
        Self { era, ..self }
    }

    /// Applies the delta to `before` and returns the new configuration.
    ///
    /// # Errors
    ///
    /// Fails if `before` lacks entries that the delta copies, or if the delta changes
    /// nothing. Other differences from the configuration that the delta was computed for go
    /// unnoticed.
    pub fn apply(self, before: &FleetConfig) -> Result<FleetConfig> {
        let edits = self.edits.ok_or(DeltaError::OtherConfig)?;
        Ok(FleetConfig {
            version: self.version,
            routes: apply_edits(&before.routes, edits.routes)?,
            skipped_routes: edits.skipped_routes,
            engines: edits.engines,
            connections: edits.connections,
            cold_starts: edits.cold_starts,
            teams: apply_edits(&before.teams, edits.teams)?,
            needs_key: edits.needs_key,
            limits: edits.limits,
        })
    }

    /// Encodes the delta as records of the store.
    ///
    /// # Errors
    ///
    /// Fails if the delta is too large for one call to the store.
    pub fn to_records(&self) -> Result<Vec<Vec<u8>>> {
        let bytes = codec::encode(self)?;
        let part_count = bytes.len().div_ceil(PART_BYTES);
        if part_count > PARTS_LIMIT {
            return Err(DeltaError::TooLarge { bytes: bytes.len() });
        }
        let mut records = Vec::with_capacity(part_count);
        for (number, bytes) in bytes.chunks(PART_BYTES).enumerate() {
            records.push(codec::encode(&DeltaPart {
                format: DELTA_FORMAT,
                number,
                part_count,
                bytes,
            })?);
        }
        Ok(records)
    }
}

/// Computes the edits that turn `before` into `after`. Entries with the same
/// `name` are compared.
fn edits<T: Clone + PartialEq>(
    before: &[Arc<T>],
    after: &[Arc<T>],
    name: impl Fn(&T) -> &str,
) -> Vec<ListEdit<T>> {
    let mut positions = HashMap::with_capacity(before.len());
    for (position, entry) in before.iter().enumerate() {
        positions.insert(name(entry), position);
    }
    let mut edits = Vec::new();
    for entry in after {
        let kept = positions.get(name(entry)).copied();
        let Some(position) = kept.filter(|position| before[*position] == *entry) else {
            edits.push(ListEdit::Insert(T::clone(entry)));
            continue;
        };
        if let Some(ListEdit::Keep { first, count }) = edits.last_mut()
            && *first + *count == position
        {
            *count += 1;
            continue;
        }
        edits.push(ListEdit::Keep {
            first: position,
            count: 1,
        });
    }
    edits
}

/// Applies `edits` to `before`.
fn apply_edits<T>(before: &[Arc<T>], edits: Vec<ListEdit<T>>) -> Result<Vec<Arc<T>>> {
    let mut after = Vec::with_capacity(before.len());
    for edit in edits {
        match edit {
            ListEdit::Insert(entry) => after.push(Arc::new(entry)),
            ListEdit::Keep { first, count } => {
                let kept = first
                    .checked_add(count)
                    .and_then(|end| before.get(first..end));
                after.extend_from_slice(kept.ok_or(DeltaError::OtherConfig)?);
            }
        }
    }
    Ok(after)
}

/// A part of an encoded delta, as stored in a record.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct DeltaPart<'a> {
    format: u16,
    number: usize,
    part_count: usize,
    bytes: &'a [u8],
}

/// Assembles deltas from the records that contain them.
#[derive(Clone, Debug, Default)]
pub struct DeltaAssembler {
    bytes: Vec<u8>,
    /// Number of parts received of the current delta.
    parts: usize,
}

impl DeltaAssembler {
    /// Adds the next record and returns the delta that it completes, if any.
    ///
    /// # Errors
    ///
    /// Fails if the record or the completed delta can't be decoded.
    pub fn take(&mut self, record: &[u8]) -> Result<Option<ConfigDelta>> {
        let part: DeltaPart<'_> = codec::decode_borrowed(record)?;
        if part.format != DELTA_FORMAT {
            return Err(DeltaError::OtherFormat {
                format: part.format,
            });
        }
        if part.number == 0 {
            self.bytes.clear();
            self.parts = 0;
        }
        // The first parts of the delta were not read.
        if part.number != self.parts {
            return Ok(None);
        }
        self.bytes.extend_from_slice(part.bytes);
        self.parts += 1;
        if self.parts < part.part_count {
            return Ok(None);
        }
        self.parts = 0;
        let bytes = std::mem::take(&mut self.bytes);
        Ok(Some(codec::decode(&bytes)?))
    }
}
