//! Memory and processor time of the configuration in one process.

use std::fs;
use std::time::Instant;

use hibiscus_config::record::EntryChange;
use hibiscus_router::config::ConfigCell;
use hibiscus_types::codec;

use crate::commands::config::load::Result;
use crate::commands::config::population;

/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;
/// Changes whose processor time is measured.
const TIMED_CHANGES: u64 = 200;

/// Prints what `budgets` budgets take in an instance, and what one change
/// costs there.
pub fn report(budgets: usize) -> Result<()> {
    let mut entries: u64 = 0;
    let mut page = Vec::new();
    for record in population::records(budgets) {
        entries += record.changes.len() as u64;
        page.push((page.len() as u64, codec::encode(&record)?));
    }
    let first = page.len() as u64;
    let before = resident_bytes();
    let cell = ConfigCell::default();
    let started = Instant::now();
    drop(cell.take(&page));
    let loaded = started.elapsed();
    let bytes = resident_bytes().saturating_sub(before);
    let started = Instant::now();
    for number in 0..TIMED_CHANGES {
        let offset = first + number;
        let record = one_change(number, offset);
        let _accepted = cell.take(&[(offset, codec::encode(&record)?)]);
    }
    let each = started.elapsed().as_secs_f64() * 1e6 / TIMED_CHANGES as f64;
    eprintln!(
        "  one instance: {entries} entries, {:.1} MB resident, {} bytes an entry, loaded in {:.0} ms, {each:.0} us a change",
        bytes as f64 / 1e6,
        bytes / entries.max(1),
        loaded.as_secs_f64() * 1e3,
    );
    Ok(())
}

/// A publication of one new brand.
fn one_change(number: u64, offset: u64) -> hibiscus_config::record::ConfigRecord {
    let entry = hibiscus_config::entry::ConfigEntry::Brand(hibiscus_config::entry::BrandEntry {
        name: format!("brand-{number}"),
    });
    hibiscus_config::record::ConfigRecord {
        publication: u128::from(offset) << 32,
        changes: vec![EntryChange {
            key: entry.key(),
            entry: Some(entry),
            replaces: None,
            asked_by: "Dana, front desk".to_owned(),
        }],
    }
}

/// Resident memory of this process, zero where it cannot be read.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
