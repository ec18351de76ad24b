//! Duty: follows the configuration stream and puts each version in force.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::thread;
use std::time::Duration;

use hibiscus_config::CONFIG_STREAM;
use hibiscus_config::fold::ConfigFold;
use hibiscus_config::snapshot::ConfigSnapshot;
use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_platform::log::LogService;

use crate::context::SharedContext;

/// Time that a read waits for a record.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Delay before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The configuration in force; readers keep the version that they took.
#[derive(Default)]
pub struct ConfigCell {
    snapshot: RwLock<Arc<ConfigSnapshot>>,
}

impl ConfigCell {
    /// The version in force.
    pub fn get(&self) -> Arc<ConfigSnapshot> {
        let held = self.snapshot.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&held)
    }

    /// Puts `snapshot` in force unless a later version is.
    pub fn put(&self, snapshot: ConfigSnapshot) {
        let mut held = self
            .snapshot
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if snapshot.version > held.version {
            *held = Arc::new(snapshot);
        }
    }
}

/// Follows the stream until the process ends.
pub fn follow(context: &SharedContext) {
    let mut fold = ConfigFold::default();
    while !context.is_ended() {
        let page = match context
            .log
            .read(CONFIG_STREAM, fold.next_offset(), POLL_WAIT)
        {
            Ok(page) => page,
            Err(error) => {
                note_failure(context, &error.to_string());
                thread::sleep(RETRY_DELAY);
                continue;
            }
        };
        let before = fold.version();
        for record in &page.records {
            if let Err(error) = fold.take(record.offset, &record.data) {
                note_failure(context, &error.to_string());
                thread::sleep(RETRY_DELAY);
                break;
            }
        }
        if fold.version() == before {
            continue;
        }
        context.config.put(ConfigSnapshot::from_fold(&fold));
        let fields = EventFields {
            detail: format!("version {}", fold.version()),
            ..EventFields::default()
        };
        context.events.record(EventCode::ConfigInForce, fields);
    }
}

/// Records that the stream could not be read.
fn note_failure(context: &SharedContext, detail: &str) {
    let fields = EventFields {
        detail: detail.to_owned(),
        ..EventFields::default()
    };
    context.events.record(EventCode::ConfigUnreadable, fields);
}
