//! Splits and joins snapshots, and loads the configuration after its oldest
//! records expired.

use std::collections::BTreeMap;
use std::convert::Infallible;

use hibiscus_config::CONFIG_STREAM;
use hibiscus_config::SNAPSHOT_STREAM;
use hibiscus_config::entry::BrandEntry;
use hibiscus_config::entry::ConfigEntry;
use hibiscus_config::fold::ConfigFold;
use hibiscus_config::load;
use hibiscus_config::record::ConfigRecord;
use hibiscus_config::record::EntryChange;
use hibiscus_config::state;
use hibiscus_config::state::StateAssembly;
use hibiscus_types::codec;
use hibiscus_types::page::PageSource;
use hibiscus_types::page::StreamPage;

/// Most records of a page.
const PAGE_RECORDS: usize = 7;

/// A log in memory whose oldest configuration records can expire.
#[derive(Default)]
struct MemoryLog {
    streams: BTreeMap<String, Vec<Vec<u8>>>,
    expired: u64,
}

impl MemoryLog {
    fn append(&mut self, stream: &str, data: Vec<u8>) {
        self.streams
            .entry(stream.to_owned())
            .or_default()
            .push(data);
    }

    fn publish(&mut self, number: u64) {
        let entry = ConfigEntry::Brand(BrandEntry {
            name: format!("brand-{number}"),
        });
        let record = ConfigRecord {
            publication: u128::from(number),
            changes: vec![EntryChange {
                key: entry.key(),
                entry: Some(entry),
                replaces: None,
                asked_by: "Ana".to_owned(),
            }],
        };
        self.append(CONFIG_STREAM, codec::encode(&record).expect("it encodes"));
    }

    fn snapshot(&mut self, fold: &ConfigFold) {
        let header = state::header(fold).expect("it encodes");
        for index in 0..header.parts {
            let part = state::part(fold, &header, index);
            self.append(SNAPSHOT_STREAM, codec::encode(&part).expect("it encodes"));
        }
    }
}

impl PageSource for MemoryLog {
    type Error = Infallible;

    fn page(&self, stream: &str, from: u64) -> Result<StreamPage, Infallible> {
        let held = self.streams.get(stream).map_or(&[][..], Vec::as_slice);
        let first = if stream == CONFIG_STREAM {
            self.expired
        } else {
            0
        };
        let end = held.len() as u64;
        let mut records = Vec::new();
        // Delivers the previous record again, as a real log may do.
        let start = if from < end {
            from.saturating_sub(1).max(first)
        } else {
            end
        };
        if from >= first {
            for offset in (start..end).take(PAGE_RECORDS) {
                let data = held[usize::try_from(offset).expect("it fits")].clone();
                records.push((offset, data));
            }
        }
        Ok(StreamPage {
            first,
            end,
            records,
        })
    }
}

#[test]
fn a_snapshot_and_the_later_records_give_the_same_fold_as_all_records() {
    let mut log = MemoryLog::default();
    for number in 0..2_500 {
        log.publish(number);
    }
    let early = load::load(&log).expect("the log is whole");
    log.snapshot(&early);
    for number in 2_500..2_600 {
        log.publish(number);
    }
    let whole = load::load(&log).expect("the log is whole");
    log.expired = 2_500;
    let loaded = load::load(&log).expect("the snapshot holds the rest");
    assert_eq!(loaded, whole);
    assert_eq!(loaded.version(), 2_600);
    let mut paused = ConfigFold::default();
    load::catch_up(&log, &mut paused).expect("a paused reader finds the snapshot");
    assert_eq!(paused, whole);
}

#[test]
fn expired_records_without_a_snapshot_are_an_error() {
    let mut log = MemoryLog::default();
    for number in 0..10 {
        log.publish(number);
    }
    log.expired = 5;
    let error = load::load(&log).expect_err("records are lost");
    assert_eq!(
        error.to_string(),
        "failed to find a snapshot: records up to 5 have expired"
    );
}

#[test]
fn parts_of_two_writers_may_interleave_and_repeat() {
    let mut log = MemoryLog::default();
    for number in 0..1_500 {
        log.publish(number);
    }
    let older = load::load(&log).expect("the log is whole");
    log.publish(1_500);
    let newer = load::load(&log).expect("the log is whole");
    let older_header = state::header(&older).expect("it encodes");
    let header = state::header(&newer).expect("it encodes");
    let mut assembly = StateAssembly::default();
    let mut joined = None;
    for index in (0..header.parts).rev() {
        for _repeat in 0..2 {
            let part = state::part(&newer, &header, index);
            joined = joined.or(assembly.add_part(part).expect("the digest is right"));
            let part = state::part(&older, &older_header, index);
            if joined.is_none() {
                let stale = assembly.add_part(part).expect("the older part is ignored");
                assert!(stale.is_none());
            }
        }
    }
    assert_eq!(joined, Some(newer));
}

#[test]
fn a_changed_part_fails_the_digest_check() {
    let mut log = MemoryLog::default();
    log.publish(0);
    let fold = load::load(&log).expect("the log is whole");
    let header = state::header(&fold).expect("it encodes");
    let mut part = state::part(&fold, &header, 0);
    part.items.pop();
    let error = StateAssembly::default()
        .add_part(part)
        .expect_err("an item is missing");
    assert_eq!(
        error.to_string(),
        "failed to join the snapshot at offset 1: its digest differs"
    );
}
