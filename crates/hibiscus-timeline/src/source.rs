//! Where events come from: live processes and saved files.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use hibiscus_events::recorder::EventPage;
use serde::Deserialize;
use serde::Serialize;
use ureq::Agent;

use crate::log;

/// Time after which a live process counts as unreachable.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest ring that is read, in bytes.
const PAGE_LIMIT: u64 = 64 * 1024 * 1024;

/// Why events cannot be read or saved.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// A process does not answer.
    #[error("failed to read the events of {address}")]
    Unreachable {
        /// The operators' port.
        address: SocketAddr,
        /// The cause.
        source: Box<ureq::Error>,
    },
    /// A file cannot be read or written.
    #[error("failed to open `{}`", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file has neither pages of events nor lines with events.
    #[error("failed to read `{}`: no line is an event", path.display())]
    NoEvents {
        /// The file.
        path: PathBuf,
    },
    /// The text is no page of events.
    #[error("failed to read `{name}`: line {line} is no page of events")]
    Malformed {
        /// The address or file.
        name: String,
        /// Number of the line, from 1.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },
}

/// Result of reading or saving.
pub type Result<T> = std::result::Result<T, SourceError>;

/// A place to read events from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// The operators' port of a live process.
    Live(SocketAddr),
    /// A saved file: one page a line, or the log lines of processes.
    Saved(PathBuf),
}

impl FromStr for EventSource {
    type Err = std::convert::Infallible;

    /// An address is a live process, anything else a file.
    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        Ok(match text.parse() {
            Ok(address) => Self::Live(address),
            Err(_) => Self::Saved(PathBuf::from(text)),
        })
    }
}

/// The events of one process, as read and as saved.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SourcePage {
    /// Where they were read first.
    #[serde(default)]
    pub source: String,
    /// Why the process could not be read, empty when it could.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub failure: String,
    /// The events and the number dropped.
    #[serde(flatten)]
    pub page: EventPage,
}

impl EventSource {
    /// Reads the pages. A live process that does not answer is a page that
    /// says so, since the others' events are wanted all the more.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read or the text is no page of events.
    pub fn read(&self) -> Result<Vec<SourcePage>> {
        match self {
            Self::Live(address) => match read_live(*address) {
                Err(error @ SourceError::Unreachable { .. }) => Ok(vec![SourcePage {
                    source: address.to_string(),
                    failure: error.to_string(),
                    page: EventPage::default(),
                }]),
                result => Ok(vec![result?]),
            },
            Self::Saved(path) => read_saved(path),
        }
    }
}

/// Reads the ring of one process.
fn read_live(address: SocketAddr) -> Result<SourcePage> {
    let unreachable = |source: ureq::Error| SourceError::Unreachable {
        address,
        source: Box::new(source),
    };
    let agent: Agent = Agent::config_builder()
        .timeout_connect(Some(READ_TIMEOUT))
        .timeout_per_read(Some(READ_TIMEOUT))
        .proxy(None)
        .build()
        .into();
    let url = format!("http://{address}/v1/events");
    let mut response = agent.get(&url).call().map_err(unreachable)?;
    let text = response
        .body_mut()
        .with_config()
        .limit(PAGE_LIMIT)
        .read_to_string()
        .map_err(unreachable)?;
    let page = serde_json::from_str(&text).map_err(|source| SourceError::Malformed {
        name: address.to_string(),
        line: 1,
        source,
    })?;
    Ok(SourcePage {
        source: address.to_string(),
        failure: String::new(),
        page,
    })
}

/// Reads a file of one page a line, or of log lines.
fn read_saved(path: &Path) -> Result<Vec<SourcePage>> {
    let text = fs::read_to_string(path).map_err(|source| SourceError::File {
        path: path.to_owned(),
        source,
    })?;
    if !text.trim_start().starts_with('{') {
        return read_log(path, &text);
    }
    let mut pages = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let mut page: SourcePage =
            serde_json::from_str(line).map_err(|source| SourceError::Malformed {
                name: path.display().to_string(),
                line: index + 1,
                source,
            })?;
        if page.source.is_empty() {
            page.source = path.display().to_string();
        }
        pages.push(page);
    }
    Ok(pages)
}

/// Reads the log lines of one or more processes.
fn read_log(path: &Path, text: &str) -> Result<Vec<SourcePage>> {
    let stem = path.file_stem().unwrap_or(path.as_os_str());
    let events = log::parse(&stem.to_string_lossy(), text);
    if events.is_empty() && !text.trim().is_empty() {
        return Err(SourceError::NoEvents {
            path: path.to_owned(),
        });
    }
    Ok(vec![SourcePage {
        source: path.display().to_string(),
        failure: String::new(),
        page: EventPage { dropped: 0, events },
    }])
}

/// Writes `pages` to a file that can be read again.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn save(path: &Path, pages: &[SourcePage]) -> Result<()> {
    let mut text = String::new();
    for page in pages {
        // A page holds texts and numbers only, which always serialise.
        text.push_str(&serde_json::to_string(page).unwrap_or_default());
        text.push('\n');
    }
    fs::write(path, text).map_err(|source| SourceError::File {
        path: path.to_owned(),
        source,
    })
}
