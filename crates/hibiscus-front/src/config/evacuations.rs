//! Evacuation records in the replies of the store.

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_traffic::evacuations::EvacuationChange;
use hibiscus_traffic::evacuations::EvacuationStatus;
use platform::evacuations;
use platform::records;
use platform::store::NewestRecords;
use platform::store::StoreRead;

/// Returns the evacuation records of a page that begins at offset `first`.
pub(super) fn of_page(read: &StoreRead, first: u64) -> Vec<EvacuationChange> {
    let mut changes = Vec::new();
    for (offset, record) in (first..).zip(&read.page.records) {
        let keyed = records::split_keyed(record);
        changes.extend(keyed.and_then(|(key, value)| decode(key, value, offset)));
    }
    changes
}

/// Returns the evacuation records among the newest records.
pub(super) fn of_newest(newest: &NewestRecords) -> Vec<EvacuationChange> {
    let mut changes = Vec::new();
    for item in &newest.records {
        let value = item.record.value.as_deref().unwrap_or_default();
        changes.extend(decode(&item.record.key, value, item.offset));
    }
    changes
}

fn decode(key: &str, value: &[u8], offset: u64) -> Option<EvacuationChange> {
    let (data_centre, status) = evacuations::decode(key, value)?;
    if status == EvacuationStatus::Unknown {
        event!(
            EventCode::EvacuationUnreadable,
            "data_centre={} position={offset} bytes={}",
            data_centre.as_str().escape_debug(),
            value.len()
        );
    }
    Some(EvacuationChange {
        data_centre,
        offset,
        status,
    })
}
