//! The faults: what each causes and how it heals.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_config::entry::ConfigEntry;
use hibiscus_config::entry::TopUpEntry;
use hibiscus_config::record::EntryChange;
use hibiscus_support::log::LogFaults;
use hibiscus_support::proxy::LinkDirection;
use hibiscus_support::proxy::LinkFaults;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;

use crate::commands::faults::deployment::FaultDeployment;
use crate::commands::faults::deployment::Result;
use crate::commands::faults::load::LoadCaller;
use crate::commands::faults::records::AttemptEnd;
use crate::commands::faults::records::CallRecord;

/// Instances of the side that a partition cuts off from log and peers.
const CUT_SIDE: [usize; 2] = [5, 6];
/// The instance that dies.
const DYING: usize = 3;
/// The instance that is paused.
const PAUSED: usize = 1;
/// The instance that stops as planned.
const STOPPING: usize = 2;
/// The engine that leaves.
const LEAVING: usize = 0;
/// Time that a fault lasts, for most.
const SHORT_FAULT: Duration = Duration::from_secs(4);
/// Time that a long partition lasts.
const LONG_FAULT: Duration = Duration::from_secs(9);
/// Time after which a leaving server may get nothing new.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Time in which an accepted configuration must be in force.
const CONFIG_LIMIT: Duration = Duration::from_secs(5);
/// Time between looks at configuration versions.
const CONFIG_POLL: Duration = Duration::from_millis(100);
/// Tokens of a top-up during a case.
const TOP_UP_TOKENS: u64 = 6_000;
/// Servers that one request may stop before it is refused everywhere.
const CRASH_LIMIT: usize = 2;
/// Calls that a caller sends of its crashing request.
const CRASH_CALLS: usize = 4;
/// Number of the caller with the crashing request.
const CRASH_CALLER: u64 = 900;

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultCase {
    /// No fault.
    Steady,
    /// A data centre is cut off while a budget is topped up.
    PartitionTopup,
    /// A data centre is cut off for long.
    PartitionLong,
    /// A router is killed and later replaced.
    RouterDeath,
    /// A router is paused and goes on unaware.
    RouterPaused,
    /// The log service is down, then slow.
    LogOutage,
    /// Replies of the log and of peers are lost.
    LostReplies,
    /// Operators publish at the same moment.
    ConfigRace,
    /// A backend server leaves.
    LeavingServer,
    /// A router stops as planned.
    PlannedStop,
    /// A request stops each engine that runs it.
    CrashingRequest,
    /// Every router is replaced, one after the other.
    RollingRestart,
}

impl FaultCase {
    /// All cases in the order in which they run.
    pub const ALL: [Self; 12] = [
        Self::Steady,
        Self::PartitionTopup,
        Self::PartitionLong,
        Self::RouterDeath,
        Self::RouterPaused,
        Self::LogOutage,
        Self::LostReplies,
        Self::ConfigRace,
        Self::LeavingServer,
        Self::PlannedStop,
        Self::CrashingRequest,
        Self::RollingRestart,
    ];

    /// Name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::PartitionTopup => "partition-topup",
            Self::PartitionLong => "partition-long",
            Self::RouterDeath => "router-death",
            Self::RouterPaused => "router-paused",
            Self::LogOutage => "log-outage",
            Self::LostReplies => "lost-replies",
            Self::ConfigRace => "config-race",
            Self::LeavingServer => "leaving-server",
            Self::PlannedStop => "planned-stop",
            Self::CrashingRequest => "crashing-request",
            Self::RollingRestart => "rolling-restart",
        }
    }

    /// Time between cause and heal.
    pub const fn duration(self) -> Duration {
        match self {
            Self::PartitionLong => LONG_FAULT,
            Self::PlannedStop | Self::RollingRestart | Self::CrashingRequest => Duration::ZERO,
            _ => SHORT_FAULT,
        }
    }

    /// Causes the fault; returns the calls that belong to it.
    pub fn cause(self, deployment: &mut FaultDeployment, seed: u64) -> Result<Vec<CallRecord>> {
        match self {
            Self::Steady => {}
            Self::PartitionTopup => {
                deployment.set_partition(&CUT_SIDE, true);
                top_up(deployment, "partition")?;
            }
            Self::PartitionLong => deployment.set_partition(&CUT_SIDE, true),
            Self::RouterDeath => deployment.kill_router(DYING),
            Self::RouterPaused => {
                if let Some(router) = deployment.router(PAUSED) {
                    router.pause();
                }
            }
            Self::LogOutage => set_log(deployment, |faults| faults.outage = true),
            Self::LostReplies => lose_replies(deployment, true),
            Self::ConfigRace => race(deployment)?,
            Self::LeavingServer => {
                deployment.mark_leaving(LEAVING);
            }
            Self::PlannedStop => deployment.stop_router(STOPPING),
            Self::CrashingRequest => return Ok(crash_engines(deployment, seed)),
            Self::RollingRestart => restart_all(deployment),
        }
        Ok(Vec::new())
    }

    /// Ends the fault.
    pub fn heal(self, deployment: &mut FaultDeployment) {
        match self {
            Self::Steady | Self::RollingRestart | Self::CrashingRequest => {}
            Self::PartitionTopup | Self::PartitionLong => {
                deployment.set_partition(&CUT_SIDE, false);
            }
            Self::RouterDeath => {
                deployment.unlist_router(DYING);
                deployment.start_router(DYING);
            }
            Self::RouterPaused => {
                if let Some(router) = deployment.router(PAUSED) {
                    router.resume();
                }
            }
            Self::LogOutage => {
                set_log(deployment, |faults| {
                    faults.append_delay = Duration::from_millis(500);
                });
                thread::sleep(SHORT_FAULT / 2);
                set_log(deployment, |_faults| {});
            }
            Self::LostReplies => lose_replies(deployment, false),
            Self::ConfigRace => check_config(deployment),
            Self::LeavingServer => check_leaving(deployment),
            Self::PlannedStop => deployment.start_router(STOPPING),
        }
    }
}

/// Tops the small budget up.
fn top_up(deployment: &mut FaultDeployment, name: &str) -> Result<u64> {
    let change = top_up_change(deployment, name);
    deployment.publish(vec![change])
}

fn top_up_change(deployment: &FaultDeployment, name: &str) -> EntryChange {
    let small = &deployment.plan.teams[deployment.plan.teams.len() - 1];
    let entry = ConfigEntry::TopUp(TopUpEntry {
        id: name.to_owned(),
        budget: small.budget.into(),
        tokens: TokenCount::new(TOP_UP_TOKENS),
    });
    EntryChange {
        key: entry.key(),
        entry: Some(entry),
        replaces: None,
        asked_by: "faults".to_owned(),
    }
}

/// Two operators top up at once, and two more claim the same new entry.
fn race(deployment: &mut FaultDeployment) -> Result<()> {
    let first = top_up_change(deployment, "race-1");
    let second = top_up_change(deployment, "race-2");
    let claimed = top_up_change(deployment, "race-claimed");
    deployment.publish(vec![first])?;
    deployment.publish(vec![claimed.clone()])?;
    deployment.publish(vec![claimed])?;
    deployment.publish(vec![second])?;
    Ok(())
}

/// Notes instances that do not show the same version in time.
fn check_config(deployment: &mut FaultDeployment) {
    let deadline = Instant::now() + CONFIG_LIMIT;
    let mut versions = Vec::new();
    while Instant::now() < deadline {
        versions.clear();
        for index in 0..deployment.plan.instances.len() {
            // In a pair an instance may have stopped or died.
            if deployment.router(index).is_none() {
                continue;
            }
            let status = deployment.status(index).unwrap_or_default();
            versions.push(status["config_version"].as_u64().unwrap_or(0));
        }
        if versions
            .iter()
            .all(|version| *version == versions[0] && *version > 1)
        {
            return;
        }
        thread::sleep(CONFIG_POLL);
    }
    deployment
        .violations
        .push(format!("configuration versions differ: {versions:?}"));
}

/// Replaces the log's faults.
fn set_log<F: FnOnce(&mut LogFaults)>(deployment: &FaultDeployment, edit: F) {
    let mut faults = LogFaults::default();
    edit(&mut faults);
    deployment.platform.log.set_faults(faults);
}

/// Loses replies of the log after their effect, and datagrams of peers.
fn lose_replies(deployment: &FaultDeployment, lose: bool) {
    let every = if lose { 3 } else { 0 };
    set_log(deployment, |faults| {
        faults.lose_every = every;
        faults.duplicate_reads = lose;
    });
    for link in deployment.links() {
        let share = if lose { 0.2 } else { 0.0 };
        link.set_faults(
            LinkDirection::Back,
            LinkFaults {
                drop_share: share,
                reorder_share: share / 2.0,
                ..LinkFaults::default()
            },
        );
    }
}

/// Notes new runs at the leaving engine.
fn check_leaving(deployment: &mut FaultDeployment) {
    let name = deployment.mark_leaving(LEAVING);
    let limit =
        UnixMillis::now().get() - SHORT_FAULT.saturating_sub(LEAVING_LIMIT).as_millis() as u64;
    let late = deployment
        .engine_runs()
        .into_iter()
        .filter(|run| run.server == name && run.started.get() > limit)
        .count();
    if late > 0 {
        deployment
            .violations
            .push(format!("leaving server {name} got {late} new requests"));
    }
}

/// Replaces every router.
fn restart_all(deployment: &mut FaultDeployment) {
    for index in 0..deployment.plan.instances.len() {
        deployment.stop_router(index);
        deployment.start_router(index);
    }
}

/// A caller sends a crashing request again and again, under new keys.
fn crash_engines(deployment: &mut FaultDeployment, seed: u64) -> Vec<CallRecord> {
    let directory = std::sync::Arc::clone(&deployment.directory);
    let mut caller = LoadCaller::new(
        deployment.plan,
        directory,
        deployment.margin_tokens(),
        seed,
        CRASH_CALLER,
    );
    let mut calls = Vec::new();
    let mut stopped = 0;
    for _call in 0..CRASH_CALLS {
        calls.push(caller.call_crashing());
        stopped += deployment.replace_stopped_engines();
    }
    if stopped > CRASH_LIMIT {
        deployment
            .violations
            .push(format!("one request stopped {stopped} engines"));
    }
    let answered = calls.last().and_then(|call| call.attempts.last());
    let told = answered.is_some_and(
        |attempt| matches!(&attempt.end, AttemptEnd::Refused { outcome, .. } if outcome == "ran"),
    );
    if !told {
        deployment.violations.push(format!(
            "the crashing request's caller was told {answered:?}"
        ));
    }
    calls
}
