//! Which data centres are evacuated.
//!
//! An evacuation is in force while the newest record of its data centre in the operators'
//! topic says so. A store that came back from a copy may lack the record of an evacuation
//! until the operators write it again. Such an evacuation is retained for
//! [`RETENTION_AFTER_RESTORE`] after the records of the copy were read, unless a record
//! ends it.

use std::collections::BTreeMap;
use std::time::Duration;

use hibiscus_types::DataCentre;
use hibiscus_types::StoreEra;
use serde::Deserialize;
use serde::Serialize;

/// Time for which an evacuation stays in force that the store lacks after it came back from
/// a copy. The operators write it again within some seconds.
pub const RETENTION_AFTER_RESTORE: Duration = Duration::from_secs(5);

/// What the newest record of a data centre says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationStatus {
    /// The data centre is evacuated.
    Evacuated,
    /// The evacuation was removed.
    Lifted,
    /// The record cannot be decoded, and the one before it is not known.
    Unknown,
}

/// A record about the evacuation of a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Offset of the record in the operators' topic.
    pub offset: u64,
    /// What the record says.
    pub status: EvacuationStatus,
}

/// The newest record of one data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedStatus {
    /// Offset of the record in the operators' topic.
    pub offset: u64,
    /// What the record says.
    pub status: EvacuationStatus,
}

/// The newest records of all data centres up to an offset of the operators' topic.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationRecords {
    /// Offset after the last record of the topic that is included.
    pub next: u64,
    /// The newest record of each data centre that has or had one.
    pub newest: BTreeMap<DataCentre, RecordedStatus>,
    /// Evacuations that a publisher of the records retains, with the offsets of their
    /// records.
    pub retained: BTreeMap<DataCentre, u64>,
}

impl EvacuationRecords {
    /// Records that `change` says something newer. A record that cannot be decoded leaves
    /// the previous status in force.
    fn note(&mut self, change: &EvacuationChange) {
        let recorded = RecordedStatus {
            offset: change.offset,
            status: change.status,
        };
        if change.status == EvacuationStatus::Unknown {
            let centre = change.data_centre.clone();
            self.newest.entry(centre).or_insert(recorded);
        } else {
            self.newest.insert(change.data_centre.clone(), recorded);
        }
    }

    /// Adds what `earlier` says and these records do not: a data centre whose record is
    /// missing here has been removed since.
    fn complete_from(&mut self, earlier: &Self) {
        for (centre, held) in &earlier.newest {
            let newest = self.newest.get(centre).map(|newest| newest.status);
            match newest {
                Some(EvacuationStatus::Unknown) => {
                    self.newest.insert(centre.clone(), *held);
                }
                Some(_) => {}
                None => {
                    let lifted = RecordedStatus {
                        offset: held.offset,
                        status: EvacuationStatus::Lifted,
                    };
                    self.newest.insert(centre.clone(), lifted);
                }
            }
        }
    }

    /// Whether a record says whether `centre` is evacuated.
    fn decides(&self, centre: &DataCentre) -> bool {
        let newest = self.newest.get(centre);
        newest.is_some_and(|newest| newest.status != EvacuationStatus::Unknown)
    }
}

/// An evacuation that is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationInForce {
    /// Offset of its record in the operators' topic.
    pub position: u64,
    /// Whether the store lacks the record since it came back from a copy.
    pub is_retained: bool,
}

/// An evacuation that the store lacks since it came back from a copy.
#[derive(Clone, Copy, Debug)]
struct RetainedEvacuation {
    position: u64,
    /// Time from which it is no longer in force; `None` until the records of the copy have
    /// been read.
    lapses_at: Option<Duration>,
}

/// Decides which data centres are evacuated, by the records of the operators' topic.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    /// Era of the store in which the records were read.
    era: Option<StoreEra>,
    /// The records; `None` until all of this era have been read.
    records: Option<EvacuationRecords>,
    retained: BTreeMap<DataCentre, RetainedEvacuation>,
}

impl EvacuationTable {
    /// Offset up to which all records are included; `None` until all have been read.
    pub fn next(&self) -> Option<u64> {
        self.records.as_ref().map(|records| records.next)
    }

    /// The records of this era, once all have been read.
    pub fn records(&self) -> Option<&EvacuationRecords> {
        self.records.as_ref()
    }

    /// The records of this era for other instances, with the evacuations retained here.
    pub fn to_publish(&self) -> Option<EvacuationRecords> {
        let mut records = self.records.clone()?;
        for (centre, retained) in &self.retained {
            records.retained.insert(centre.clone(), retained.position);
        }
        Some(records)
    }

    /// The evacuations that are in force.
    pub fn in_force(&self) -> BTreeMap<DataCentre, EvacuationInForce> {
        let mut in_force = BTreeMap::new();
        for (centre, retained) in &self.retained {
            let evacuation = EvacuationInForce {
                position: retained.position,
                is_retained: true,
            };
            in_force.insert(centre.clone(), evacuation);
        }
        let recorded = self.records.iter().flat_map(|records| &records.newest);
        for (centre, newest) in recorded {
            if newest.status == EvacuationStatus::Evacuated {
                let evacuation = EvacuationInForce {
                    position: newest.offset,
                    is_retained: false,
                };
                in_force.insert(centre.clone(), evacuation);
            }
        }
        in_force
    }

    /// Discards the records, because the store came back from a copy. What is in force is
    /// retained until the records of the copy have been read, and for some time after.
    pub fn discard_records(&mut self) {
        for (centre, evacuation) in self.in_force() {
            let retained = RetainedEvacuation {
                position: evacuation.position,
                lapses_at: None,
            };
            self.retained.insert(centre, retained);
        }
        self.records = None;
        self.era = None;
    }

    /// Replaces the records by `newest`, the newest record of each data centre that has one
    /// before the offset `next`, read at `now` in the era `era`.
    pub fn replace(
        &mut self,
        era: StoreEra,
        next: u64,
        newest: &[EvacuationChange],
        now: Duration,
    ) {
        let mut records = EvacuationRecords {
            next,
            ..EvacuationRecords::default()
        };
        for change in newest {
            records.note(change);
        }
        if self.era.is_some_and(|held| held != era) {
            self.discard_records();
        }
        self.era = Some(era);
        self.set_records(records, now);
    }

    /// Replaces the records by those that another instance published, at `now`, if they are
    /// newer and of the same era.
    pub fn replace_published(
        &mut self,
        era: StoreEra,
        published: EvacuationRecords,
        now: Duration,
    ) {
        if self.era == Some(era) && self.records.is_some() {
            self.set_records(published, now);
        }
    }

    /// Retains the evacuations that another instance retains in the era `era`, unless a
    /// record decides on them. For an instance that has just started, and knows nothing of the
    /// time before the store came back from a copy.
    pub fn retain(&mut self, era: StoreEra, published: &EvacuationRecords, now: Duration) {
        if self.era.is_some_and(|held| held != era) {
            return;
        }
        for (centre, position) in &published.retained {
            let records = self.records.as_ref();
            if records.is_some_and(|records| records.decides(centre)) {
                continue;
            }
            let retained = RetainedEvacuation {
                position: *position,
                lapses_at: records.map(|_records| now + RETENTION_AFTER_RESTORE),
            };
            self.retained.entry(centre.clone()).or_insert(retained);
        }
    }

    fn set_records(&mut self, mut records: EvacuationRecords, now: Duration) {
        records.retained.clear();
        if let Some(held) = &self.records {
            if held.next >= records.next {
                return;
            }
            records.complete_from(held);
        }
        self.retained
            .retain(|centre, _retained| !records.decides(centre));
        for retained in self.retained.values_mut() {
            retained
                .lapses_at
                .get_or_insert(now + RETENTION_AFTER_RESTORE);
        }
        self.records = Some(records);
    }

    /// Applies the `changes` among the topic's records from offset `first` to `next`. Does
    /// nothing if records before `first` have not been read.
    pub fn apply(&mut self, first: u64, next: u64, changes: &[EvacuationChange]) {
        let Some(records) = &mut self.records else {
            return;
        };
        if first > records.next {
            return;
        }
        for change in changes {
            if change.offset < records.next {
                continue;
            }
            records.note(change);
            if change.status != EvacuationStatus::Unknown {
                self.retained.remove(&change.data_centre);
            }
        }
        records.next = records.next.max(next);
    }

    /// Ends retained evacuations whose time is over at `now`. To be called only when the
    /// topic has just been read to its end: while the store is unavailable the operators
    /// cannot write a record again.
    pub fn expire(&mut self, now: Duration) {
        if self.records.is_none() {
            return;
        }
        self.retained
            .retain(|_centre, retained| retained.lapses_at.is_none_or(|at| now < at));
    }
}
