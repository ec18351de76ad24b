//! Publishes an operators' file and learns the verdict.
//!
//! The log has no conditional append and may lose a reply after its effect.
//! So a publication is appended as a proposal whose changes name the versions
//! that they replace, and its verdict is read back. Its id is derived from
//! its content: whoever runs the same publication again, after a lost reply
//! or a kill, proposes the same record, and the fold takes it once.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::log::LogError;
use hibiscus_clients::log::LogService;
use hibiscus_config::CONFIG_STREAM;
use hibiscus_config::check::EntryFault;
use hibiscus_config::entry::EntryKey;
use hibiscus_config::file::FilePlan;
use hibiscus_config::file::OperatorFile;
use hibiscus_config::fold::ConfigFold;
use hibiscus_config::fold::EntryConflict;
use hibiscus_config::fold::EntryState;
use hibiscus_config::fold::PublicationVerdict;
use hibiscus_config::load;
use hibiscus_config::load::LoadError;
use hibiscus_config::record::ConfigRecord;
use hibiscus_types::codec;
use hibiscus_types::codec::CodecError;
use hibiscus_types::page::PageSource;

/// First delay before a failed step is repeated; it doubles.
const FIRST_DELAY: Duration = Duration::from_millis(20);
/// Longest delay before a failed step is repeated.
const LAST_DELAY: Duration = Duration::from_secs(1);

/// Why the end of a publication is not known.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The configuration cannot be loaded; nothing was appended.
    #[error("failed to publish: nothing was appended")]
    Load(#[source] Box<LoadError<LogError>>),
    /// The publication was appended, or may have been, and no verdict was
    /// read in time.
    #[error("failed to learn the verdict on publication {publication:032x} in time")]
    Unresolved {
        /// The publication.
        publication: u128,
        /// The last cause.
        source: Box<LoadError<LogError>>,
    },
    /// The record cannot be encoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// Result of publishing.
pub type Result<T> = std::result::Result<T, PublishError>;

/// How a publication ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// Every line is in force already.
    InForce {
        /// The version in force.
        version: u64,
        /// The newest publication among the file's entries and its offset,
        /// when it is remembered.
        newest: Option<(u128, u64)>,
    },
    /// It took effect.
    Accepted {
        /// The publication.
        publication: u128,
        /// Its offset.
        offset: u64,
        /// The changed entries.
        changed: Vec<EntryKey>,
    },
    /// Others changed these entries; nothing of the publication took effect.
    Conflict(Vec<EntryConflict>),
    /// It would leave these entries at fault; nothing of it took effect.
    Faulty(Vec<EntryFault>),
    /// It would remove these entries, and nobody is named who asked for it;
    /// nothing was appended.
    Unnamed(Vec<EntryKey>),
}

/// What a publisher says beside the file.
#[derive(Clone, Copy, Debug)]
pub struct PublishOptions<'a> {
    /// Who asked for the removals.
    pub removed_by: Option<&'a str>,
    /// Time after which the wait for a verdict is given up.
    pub limit: Duration,
}

/// What a publisher knows at the end.
#[derive(Clone, Debug)]
pub struct PublishReport {
    /// How it ended.
    pub outcome: PublishOutcome,
    /// Entries of others that the file's author has not seen.
    pub unseen: Vec<(EntryKey, EntryState)>,
    /// Top-ups and releases in force without a line.
    pub permanent: Vec<EntryKey>,
    /// The version that the file is up to date with, if it is.
    pub stamp: Option<u64>,
}

/// Publishes `file` and learns the verdict.
///
/// # Errors
///
/// Fails when the log does not answer in time.
pub fn publish<L>(
    log: &L,
    file: &OperatorFile,
    options: PublishOptions<'_>,
) -> Result<PublishReport>
where
    L: LogService + PageSource<Error = LogError>,
{
    let mut retry = RetryDelay::until(Instant::now() + options.limit);
    let mut fold = load_until(log, &mut retry)?;
    let mut plan = file.plan(&fold);
    if !plan.conflicts.is_empty() {
        let outcome = PublishOutcome::Conflict(plan.conflicts.clone());
        return Ok(report(file, &fold, plan, outcome));
    }
    if plan.changes.is_empty() {
        let outcome = in_force(file, &fold);
        return Ok(report(file, &fold, plan, outcome));
    }
    let removals = plan.removals();
    match options.removed_by {
        Some(name) => plan.attribute_removals(name),
        None if removals.is_empty() => {}
        None => {
            let outcome = PublishOutcome::Unnamed(removals);
            return Ok(report(file, &fold, plan, outcome));
        }
    }
    let record = ConfigRecord::proposal(fold.version(), plan.changes.clone())?;
    if let PublicationVerdict::Faulty(faults) = fold.decide(fold.next_offset(), &record) {
        let outcome = PublishOutcome::Faulty(faults);
        return Ok(report(file, &fold, plan, outcome));
    }
    let verdict = propose(log, &mut fold, &record, &mut retry)?;
    let outcome = match verdict {
        PublicationVerdict::Accepted(offset) => PublishOutcome::Accepted {
            publication: record.publication,
            offset,
            changed: record
                .changes
                .into_iter()
                .map(|change| change.key)
                .collect(),
        },
        PublicationVerdict::Conflict(conflicts) => {
            let again = file.plan(&fold);
            if again.changes.is_empty() && again.conflicts.is_empty() {
                in_force(file, &fold)
            } else {
                PublishOutcome::Conflict(conflicts)
            }
        }
        PublicationVerdict::Faulty(faults) => PublishOutcome::Faulty(faults),
    };
    let plan = file.plan(&fold);
    Ok(report(file, &fold, plan, outcome))
}

/// Loads the configuration, repeating failed reads.
fn load_until<L>(log: &L, retry: &mut RetryDelay) -> Result<ConfigFold>
where
    L: PageSource<Error = LogError>,
{
    loop {
        match load::load(log) {
            Ok(fold) => return Ok(fold),
            Err(LoadError::Source(_)) if retry.wait() => {}
            Err(error) => return Err(PublishError::Load(Box::new(error))),
        }
    }
}

/// Appends `record` until its verdict is read back.
fn propose<L>(
    log: &L,
    fold: &mut ConfigFold,
    record: &ConfigRecord,
    retry: &mut RetryDelay,
) -> Result<PublicationVerdict>
where
    L: LogService + PageSource<Error = LogError>,
{
    let data = codec::encode(record)?;
    let publication = record.publication;
    let mut appended = false;
    loop {
        let mut cause = None;
        if !appended {
            match log.append(CONFIG_STREAM, &data) {
                Ok(_offset) => appended = true,
                Err(error) => cause = Some(LoadError::Source(error)),
            }
        }
        // An append without a reply may have taken effect: look first.
        if let Err(error) = load::catch_up(log, fold) {
            cause = Some(error);
        }
        if let Some(verdict) = fold.verdict(publication) {
            return Ok(verdict.clone());
        }
        if retry.wait() {
            continue;
        }
        let source = cause.unwrap_or(LoadError::Source(LogError::Malformed));
        return Err(PublishError::Unresolved {
            publication,
            source: Box::new(source),
        });
    }
}

/// Every line is in force: since when, and by which publication.
fn in_force(file: &OperatorFile, fold: &ConfigFold) -> PublishOutcome {
    let states = file
        .entries
        .keys()
        .filter_map(|key| fold.entries().get(key));
    let newest = states.map(|state| state.offset).max();
    let publication = newest.and_then(|offset| {
        let accepted = PublicationVerdict::Accepted(offset);
        let mut verdicts = fold.verdicts().iter();
        let found = verdicts.find(|(_publication, verdict)| *verdict == accepted)?;
        Some((found.0, offset))
    });
    PublishOutcome::InForce {
        version: fold.version(),
        newest: publication,
    }
}

/// Joins the outcome with what the file lacks.
fn report(
    file: &OperatorFile,
    fold: &ConfigFold,
    plan: FilePlan,
    outcome: PublishOutcome,
) -> PublishReport {
    let version = match &outcome {
        PublishOutcome::InForce { version, .. } => Some(*version),
        PublishOutcome::Accepted { offset, .. } => Some(offset + 1),
        PublishOutcome::Conflict(_) | PublishOutcome::Faulty(_) | PublishOutcome::Unnamed(_) => {
            None
        }
    };
    let stamp = version.filter(|version| is_up_to_date(file, fold, *version));
    PublishReport {
        outcome,
        unseen: plan.unseen,
        permanent: plan.permanent,
        stamp,
    }
}

/// Whether a file edited from `version` would change nothing.
fn is_up_to_date(file: &OperatorFile, fold: &ConfigFold, version: u64) -> bool {
    let stamped = OperatorFile {
        version,
        entries: file.entries.clone(),
    };
    stamped.plan(fold).changes.is_empty()
}

/// Doubling delays until a deadline.
struct RetryDelay {
    deadline: Instant,
    delay: Duration,
}

impl RetryDelay {
    fn until(deadline: Instant) -> Self {
        Self {
            deadline,
            delay: FIRST_DELAY,
        }
    }

    /// Waits; false when the deadline has passed.
    fn wait(&mut self) -> bool {
        if Instant::now() >= self.deadline {
            return false;
        }
        thread::sleep(self.delay);
        self.delay = (self.delay * 2).min(LAST_DELAY);
        true
    }
}
