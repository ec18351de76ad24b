//! Publishes to a fleet inside this process and checks what is in force.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::log::HttpLog;
use hibiscus_clients::log::LogError;
use hibiscus_clients::log::LogService;
use hibiscus_config::CONFIG_STREAM;
use hibiscus_config::entry::ConfigEntry;
use hibiscus_config::entry::EntryKey;
use hibiscus_router::ops::RunningRouter;
use hibiscus_support::fleet::StandinPlatform;
use hibiscus_types::codec;
use hibiscus_types::codec::CodecError;

use crate::commands::config::observe::SeenVersions;
use crate::commands::config::observe::VersionWatch;
use crate::commands::config::population;
use crate::commands::config::population::ChangeSource;
use crate::commands::config::population::PublishLoad;

/// Publishers at the same time.
const PUBLISHERS: usize = 4;
/// Time that a fleet may take to have a version in force.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);
/// Time between looks at it.
const SETTLE_POLL: Duration = Duration::from_millis(10);
/// Time that an append may take.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a case could not be run.
#[derive(Debug, thiserror::Error)]
pub enum CaseError {
    /// The log failed.
    #[error(transparent)]
    Log(#[from] LogError),
    /// A record cannot be encoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// A publisher's thread ended early.
    #[error("failed to run a publisher")]
    Publisher,
    /// The fleet did not take the configuration.
    #[error("failed to get version {0} in force at all instances")]
    NotInForce(u64),
}

/// Result of a case.
pub type Result<T> = std::result::Result<T, CaseError>;

/// What one case gave.
#[derive(Debug)]
pub struct CaseOutcome {
    /// Milliseconds from verdict to in force, for each change and instance.
    pub delays_ms: Vec<f64>,
    /// Bytes of a published entry in the log.
    pub bytes_per_entry: f64,
    /// Looks that found a lower version than before.
    pub reverted: u64,
    /// Accepted changes that an instance does not have.
    pub lost_updates: u64,
}

/// What one publisher did.
struct PublisherRecord {
    /// Versions and the times of their acceptance.
    accepted: Vec<(u64, Instant)>,
    /// The entries that it left in force.
    entries: BTreeMap<EntryKey, ConfigEntry>,
    bytes: usize,
}

/// Runs one case.
pub fn run(load: &PublishLoad, seed: u64) -> Result<CaseOutcome> {
    let platform = StandinPlatform::start(Duration::ZERO);
    let log = HttpLog::new(&platform.log.url(), APPEND_TIMEOUT);
    let offsets = set_up(&log, load)?;
    let routers = start_fleet(&platform, load);
    let setup = offsets.values().max().map_or(0, |offset| offset + 1);
    wait_in_force(&routers, setup)?;
    let contexts = routers.iter().map(|router| router.context.clone());
    let watch = VersionWatch::start(contexts.collect());
    let records = publish_all(&log, load, seed, &offsets)?;
    let versions = records.iter().flat_map(|record| &record.accepted);
    let last = versions.map(|(version, _at)| *version).max().unwrap_or(0);
    wait_in_force(&routers, last)?;
    thread::sleep(SETTLE_POLL);
    let seen = watch.end();
    let outcome = judge(&routers, &records, &seen);
    for router in routers {
        router.kill();
    }
    Ok(outcome)
}

/// Publishes the population; the offset of each entry.
fn set_up(log: &HttpLog, load: &PublishLoad) -> Result<BTreeMap<EntryKey, u64>> {
    let mut offsets = BTreeMap::new();
    let mut bytes = 0;
    for record in population::records(load.budgets) {
        let data = codec::encode(&record)?;
        bytes += data.len();
        let offset = log.append(CONFIG_STREAM, &data)?;
        for change in record.changes {
            offsets.insert(change.key, offset);
        }
    }
    let entries = offsets.len().max(1);
    let mean = bytes as f64 / entries as f64;
    eprintln!("  population: {entries} entries, {mean:.1} bytes an entry in the log");
    Ok(offsets)
}

/// Starts instances spread over the data centres.
fn start_fleet(platform: &StandinPlatform, load: &PublishLoad) -> Vec<RunningRouter> {
    let mut routers = Vec::with_capacity(load.instances);
    for number in 0..load.instances {
        let name = format!("router-{number}");
        let data_centre = format!("dc-{}", number % load.data_centres);
        let settings = platform.settings(&name, &data_centre, "prairie");
        routers.push(platform.start_router(settings));
    }
    routers
}

/// Waits until `version` is in force at all `routers`.
fn wait_in_force(routers: &[RunningRouter], version: u64) -> Result<()> {
    let deadline = Instant::now() + SETTLE_LIMIT;
    let lags = |router: &RunningRouter| router.context.config.get().version < version;
    while routers.iter().any(lags) {
        if Instant::now() >= deadline {
            return Err(CaseError::NotInForce(version));
        }
        thread::sleep(SETTLE_POLL);
    }
    Ok(())
}

/// Lets all publishers publish their share at the case's rate.
fn publish_all(
    log: &HttpLog,
    load: &PublishLoad,
    seed: u64,
    offsets: &BTreeMap<EntryKey, u64>,
) -> Result<Vec<PublisherRecord>> {
    let mut threads = Vec::new();
    for publisher in 0..PUBLISHERS {
        let log = log.clone();
        let mut source = ChangeSource::new(*load, seed, publisher, PUBLISHERS);
        source.offsets.clone_from(offsets);
        let load = *load;
        threads.push(thread::spawn(move || publish(&log, &load, source)));
    }
    let mut records = Vec::new();
    for thread in threads {
        records.push(thread.join().map_err(|_panic| CaseError::Publisher)??);
    }
    Ok(records)
}

/// Publishes one publisher's share.
fn publish(log: &HttpLog, load: &PublishLoad, mut source: ChangeSource) -> Result<PublisherRecord> {
    let publishers = PUBLISHERS as u64;
    let interval = Duration::from_secs_f64(publishers as f64 / load.changes_per_second as f64);
    let mut record = PublisherRecord {
        accepted: Vec::new(),
        entries: BTreeMap::new(),
        bytes: 0,
    };
    let mut due = Instant::now();
    for _change in 0..load.changes / publishers {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        due += interval;
        let change = source.next_change();
        let data = codec::encode(&change.record)?;
        record.bytes += data.len();
        let offset = log.append(CONFIG_STREAM, &data)?;
        record.accepted.push((offset + 1, Instant::now()));
        let key = change.entry.key();
        source.offsets.insert(key.clone(), offset);
        record.entries.insert(key, change.entry);
    }
    Ok(record)
}

/// Compares what was accepted with what each instance has in force.
fn judge(
    routers: &[RunningRouter],
    records: &[PublisherRecord],
    seen: &[SeenVersions],
) -> CaseOutcome {
    let mut outcome = CaseOutcome {
        delays_ms: Vec::new(),
        bytes_per_entry: 0.0,
        reverted: seen.iter().map(|seen| seen.reverted).sum(),
        lost_updates: 0,
    };
    for (version, at) in records.iter().flat_map(|record| &record.accepted) {
        for seen in seen {
            match seen.delay_ms(*version, *at) {
                Some(delay) => outcome.delays_ms.push(delay),
                None => outcome.lost_updates += 1,
            }
        }
    }
    for router in routers {
        let fold = router.context.config.fold();
        let expected = records.iter().flat_map(|record| &record.entries);
        for (key, entry) in expected {
            let held = fold.entries().get(key);
            let lost = held.is_none_or(|state| state.entry != *entry);
            outcome.lost_updates += u64::from(lost);
        }
    }
    let bytes: usize = records.iter().map(|record| record.bytes).sum();
    let changes: usize = records.iter().map(|record| record.accepted.len()).sum();
    outcome.bytes_per_entry = bytes as f64 / changes.max(1) as f64;
    outcome
}
