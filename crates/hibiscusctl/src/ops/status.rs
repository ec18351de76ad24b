//! Asks every live instance which configuration is in force there.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::list::ListClient;
use hibiscus_clients::list::ListError;
use hibiscus_clients::list::ListedInstance;
use hibiscus_clients::list::ListedState;
use serde::Deserialize;
use ureq::Agent;

/// Instances asked at the same time.
const PARALLEL_CALLS: usize = 32;
/// Time that one instance may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two rounds of a wait.
const WAIT_POLL: Duration = Duration::from_millis(100);

/// Result of a status call.
pub type Result<T> = std::result::Result<T, ListError>;

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ReportedStatus {
    /// The configuration version in force there.
    pub config_version: u64,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// One live instance and its answer.
#[derive(Clone, Debug)]
pub struct InstanceReport {
    /// The instance as listed.
    pub instance: ListedInstance,
    /// Its answer, `None` when there was none.
    pub status: Option<ReportedStatus>,
}

impl InstanceReport {
    /// Whether `version` is not in force there, as far as is known.
    pub fn lags(&self, version: u64) -> bool {
        let status = self.status.as_ref();
        status.is_none_or(|status| status.config_version < version)
    }

    /// The instance and what it lags with.
    pub fn lag_text(&self) -> String {
        let name = &self.instance.name;
        match &self.status {
            Some(status) => format!("{name} (version {})", status.config_version),
            None => format!("{name} (no answer)"),
        }
    }
}

/// The reports of all live instances, in order of name.
///
/// # Errors
///
/// Fails when the instance list cannot be read.
pub fn read(list: &ListClient) -> Result<Vec<InstanceReport>> {
    let list = list.read(0, Duration::ZERO)?;
    let live = list.instances.into_iter();
    let mut live: Vec<_> = live
        .filter(|instance| instance.state == ListedState::Live)
        .collect();
    live.sort_by(|left, right| left.name.cmp(&right.name));
    Ok(ask_all(live))
}

/// Waits until `version` is in force at every live instance; answers the
/// last reports, in which some lag when `limit` passed before.
///
/// # Errors
///
/// Fails when the instance list cannot be read.
pub fn wait(list: &ListClient, version: u64, limit: Duration) -> Result<Vec<InstanceReport>> {
    let deadline = Instant::now() + limit;
    loop {
        let reports = read(list)?;
        let lagging = reports.iter().any(|report| report.lags(version));
        if !lagging || Instant::now() >= deadline {
            return Ok(reports);
        }
        thread::sleep(WAIT_POLL);
    }
}

/// Asks `instances`, several at a time.
fn ask_all(instances: Vec<ListedInstance>) -> Vec<InstanceReport> {
    let agent: Agent = Agent::config_builder()
        .timeout_global(Some(CALL_TIMEOUT))
        .proxy(None)
        .build()
        .into();
    let threads = instances.len().min(PARALLEL_CALLS);
    let pending = Mutex::new(instances.into_iter());
    let reports = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _thread in 0..threads {
            scope.spawn(|| {
                while let Some(instance) = lock(&pending).next() {
                    let status = ask(&agent, &instance);
                    lock(&reports).push(InstanceReport { instance, status });
                }
            });
        }
    });
    let mut reports = reports.into_inner().unwrap_or_else(PoisonError::into_inner);
    reports.sort_by(|left, right| left.instance.name.cmp(&right.instance.name));
    reports
}

/// The value behind `mutex`, also after a thread failed while it held it.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The status of one instance.
fn ask(agent: &Agent, instance: &ListedInstance) -> Option<ReportedStatus> {
    let url = format!("http://{}/v1/status", instance.operators);
    let mut response = agent.get(&url).call().ok()?;
    let text = response.body_mut().read_to_string().ok()?;
    serde_json::from_str(&text).ok()
}
