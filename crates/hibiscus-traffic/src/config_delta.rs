//! What differs between two versions of the configuration.
//!
//! A version holds all routes and teams, and most changes touch a few of them.
//! An instance that read a version whole passes on to the others what differs
//! from the one before, in parts that fit a record of the store. A change
//! applies to exactly one configuration: the one that follows from all records
//! of the operators before [`ConfigDelta::base`].

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use hibiscus_types::ServiceName;
use hibiscus_types::codec;
use hibiscus_types::codec::CodecError;
use serde::Deserialize;
use serde::Serialize;

use crate::model::CallerLimits;
use crate::model::EngineShape;
use crate::model::FleetConfig;
use crate::model::RouteRule;
use crate::model::TeamRule;

/// Format of a change. A release that changes what a configuration holds
/// raises it, and an instance reads versions whole that come in another one.
const CHANGE_FORMAT: u16 = 1;
/// Bytes of a change in one part: a record takes 256 KiB.
const PART_BYTES: usize = 200 * 1024;
/// Parts of the largest change: a call to the store takes 2 MiB.
const PARTS_LIMIT: usize = 8;

/// Why a change cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DeltaError {
    /// It is larger than one call to the store may be.
    #[error("failed to publish a change of {bytes} bytes: it is too large")]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
    /// It cannot be encoded or decoded.
    #[error("failed to encode or decode a change")]
    Codec(#[from] CodecError),
    /// Another release wrote it.
    #[error("failed to decode a change of format {format}: this release reads {CHANGE_FORMAT}")]
    OtherFormat {
        /// The format found.
        format: u16,
    },
    /// It keeps entries that the configuration does not have.
    #[error("failed to apply a change: it is not one of this configuration")]
    NotOfThis,
}

/// Result of making or applying a change.
pub type Result<T> = std::result::Result<T, DeltaError>;

/// A piece of a list that changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ListEdit<T> {
    /// Entries of the list before.
    Keep {
        /// Position of the first.
        first: usize,
        /// How many.
        count: usize,
    },
    /// An entry that the list before does not have.
    Put(T),
}

/// What makes one configuration out of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Offset after the last record of the operators that the configuration
    /// before follows from.
    pub base: u64,
    /// The same of the configuration after.
    pub next: u64,
    /// Version of the configuration after.
    pub version: u64,
    routes: Vec<ListEdit<RouteRule>>,
    teams: Vec<ListEdit<TeamRule>>,
    skipped_routes: Vec<String>,
    engines: BTreeMap<ServiceName, EngineShape>,
    connections: BTreeMap<ServiceName, u32>,
    needs_key: bool,
    limits: CallerLimits,
}

impl ConfigDelta {
    /// What makes `after`, which holds at the offset `next`, out of `before`,
    /// which holds at `base`.
    pub fn between(
        (base, before): (u64, &FleetConfig),
        (next, after): (u64, &FleetConfig),
    ) -> Self {
        Self {
            base,
            next,
            version: after.version,
            routes: edits(&before.routes, &after.routes, |route| &route.name),
            teams: edits(&before.teams, &after.teams, |team| team.name.as_str()),
            skipped_routes: after.skipped_routes.clone(),
            engines: after.engines.clone(),
            connections: after.connections.clone(),
            needs_key: after.needs_key,
            limits: after.limits,
        }
    }

    /// The configuration that the change makes out of `before`.
    ///
    /// # Errors
    ///
    /// Fails when `before` is not the configuration that the change is of, so
    /// far as that shows.
    pub fn apply(self, before: &FleetConfig) -> Result<FleetConfig> {
        Ok(FleetConfig {
            version: self.version,
            routes: edited(&before.routes, self.routes)?,
            skipped_routes: self.skipped_routes,
            engines: self.engines,
            connections: self.connections,
            teams: edited(&before.teams, self.teams)?,
            needs_key: self.needs_key,
            limits: self.limits,
        })
    }

    /// The records that carry the change.
    ///
    /// # Errors
    ///
    /// Fails when it is too large for one call to the store.
    pub fn to_records(&self) -> Result<Vec<Vec<u8>>> {
        let bytes = codec::encode(self)?;
        let of = bytes.len().div_ceil(PART_BYTES);
        if of > PARTS_LIMIT {
            return Err(DeltaError::TooLarge { bytes: bytes.len() });
        }
        let mut records = Vec::with_capacity(of);
        for (number, bytes) in bytes.chunks(PART_BYTES).enumerate() {
            records.push(codec::encode(&ChangePart {
                format: CHANGE_FORMAT,
                number,
                of,
                bytes,
            })?);
        }
        Ok(records)
    }
}

/// The edits that make `after` out of `before`; `name` tells which entries may
/// be the same.
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
            edits.push(ListEdit::Put(T::clone(entry)));
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

/// The list that `edits` make out of `before`.
fn edited<T>(before: &[Arc<T>], edits: Vec<ListEdit<T>>) -> Result<Vec<Arc<T>>> {
    let mut after = Vec::with_capacity(before.len());
    for edit in edits {
        match edit {
            ListEdit::Put(entry) => after.push(Arc::new(entry)),
            ListEdit::Keep { first, count } => {
                let kept = first
                    .checked_add(count)
                    .and_then(|end| before.get(first..end));
                after.extend_from_slice(kept.ok_or(DeltaError::NotOfThis)?);
            }
        }
    }
    Ok(after)
}

/// A part of an encoded change, as a record holds it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct ChangePart<'a> {
    format: u16,
    number: usize,
    of: usize,
    bytes: &'a [u8],
}

/// Puts changes together out of the records that carry them.
#[derive(Clone, Debug, Default)]
pub struct DeltaAssembler {
    bytes: Vec<u8>,
    /// Parts of the present change that came.
    parts: usize,
}

impl DeltaAssembler {
    /// Takes the next record; the change that it completes.
    ///
    /// # Errors
    ///
    /// Fails when the record, or the change, cannot be decoded.
    pub fn take(&mut self, record: &[u8]) -> Result<Option<ConfigDelta>> {
        let part: ChangePart<'_> = codec::decode_borrowed(record)?;
        if part.format != CHANGE_FORMAT {
            return Err(DeltaError::OtherFormat {
                format: part.format,
            });
        }
        if part.number == 0 {
            self.bytes.clear();
            self.parts = 0;
        }
        // The beginning of the change was not read.
        if part.number != self.parts {
            return Ok(None);
        }
        self.bytes.extend_from_slice(part.bytes);
        self.parts += 1;
        if self.parts < part.of {
            return Ok(None);
        }
        self.parts = 0;
        let bytes = std::mem::take(&mut self.bytes);
        Ok(Some(codec::decode(&bytes)?))
    }
}
