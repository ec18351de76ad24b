//! Decides at which servers a stream begins or goes on.

use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_request::stream_versions::StreamKey;
use hibiscus_types::ServiceName;
use hibiscus_types::SoftwareVersion;
use metrics::counter;

use crate::regions::RegionRule;
use crate::response::LocalReason;
use crate::state::TrafficState;
use crate::stream_versions::MAINTAINER_SUBJECT;
use crate::stream_versions::STREAM_TAKE_UPS;
use crate::stream_versions::StreamOrigin;
use crate::stream_versions::StreamTracker;
use crate::stream_versions::VersionRule;
use crate::wire_format::WireFormat;

/// Result of a decision.
type Result<T> = std::result::Result<T, LocalReason>;

/// Time for a batch to be appended and read, beyond the time between two.
const BATCH_DELAY: Duration = Duration::from_millis(450);
/// Longest wait of a new stream until the topic holds a version that it can begin at.
const RECORD_WAIT: Duration = Duration::from_millis(500);

/// The servers at which a stream may begin, before their versions are considered.
#[derive(Clone, Copy, Debug)]
pub struct StreamTarget<'a> {
    /// Service of the stream.
    pub service: &'a ServiceName,
    /// Data centres that the stream may reach.
    pub regions: &'a RegionRule,
}

impl<D: WireFormat> TrafficState<D> {
    /// The servers of `target` at which a new stream may begin. Waits until the fleet's
    /// topic holds the version of a serving server until `deadline`, but not long.
    pub async fn rule_for_new_stream(
        &self,
        target: &StreamTarget<'_>,
        deadline: Instant,
    ) -> VersionRule {
        let StreamTarget { service, regions } = *target;
        let end = deadline.min(Instant::now() + RECORD_WAIT);
        let mut is_late = false;
        loop {
            let noted = self.streams.noted.notified();
            let rule = self.streams.rule_for_new(service, self.now());
            let awaits_version = || {
                let servers = self.servers.borrow();
                servers.awaits_version(service, &rule, regions)
            };
            if is_late || !awaits_version() {
                return rule;
            }
            self.streams.record_versions(service, self.now());
            is_late = tokio::time::timeout_at(end.into(), noted).await.is_err();
        }
    }

    /// The servers at which the stream of the request `resumes` may go on. Waits for the
    /// notes of other instances and for a read of the versions until `deadline`, but not
    /// long.
    ///
    /// # Errors
    ///
    /// Fails if the version that began the stream is not known.
    pub async fn rule_for_take_up(
        &self,
        service: &ServiceName,
        resumes: Option<&str>,
        deadline: Instant,
    ) -> Result<VersionRule> {
        let instances = self.directory.borrow().live_count();
        let wait = StreamTracker::batch_interval(instances) + BATCH_DELAY;
        let end = deadline.min(Instant::now() + wait);
        let stream = resumes.map(StreamKey::of);
        let mut read = None;
        let mut is_late = false;
        loop {
            let noted = self.streams.noted.notified();
            let is_fresh = self.streams.is_fresh(self.now());
            if !is_fresh && (is_late || self.streams.entries_are_lost()) {
                return Err(LocalReason::StreamUnconfirmed);
            }
            match self.streams.find(service, stream, self.now()) {
                _ if !is_fresh => {}
                StreamOrigin::Known(software) => return Ok(VersionRule::Only(software)),
                StreamOrigin::Doubted => return Err(LocalReason::StreamUnknown),
                StreamOrigin::OnlyKnown(software) => {
                    let number = read.get_or_insert_with(|| self.streams.version_reads.request());
                    if self.streams.is_confirmed(*number, self.now()) {
                        return Ok(VersionRule::Only(software));
                    }
                    if is_late {
                        return Err(LocalReason::StreamUnconfirmed);
                    }
                }
                StreamOrigin::Unknown if is_late || stream.is_none() => {
                    return Err(LocalReason::StreamUnknown);
                }
                StreamOrigin::Unknown => {}
            }
            is_late = tokio::time::timeout_at(end.into(), noted).await.is_err();
        }
    }

    /// Appends what the topic of the versions lacks, and forgets old versions.
    pub fn tick_streams(&self) {
        let maintains = self.directory.borrow().is_first_for(MAINTAINER_SUBJECT);
        self.streams.tick(maintains, self.now());
    }

    /// Logs and counts the refusal of a request that takes a stream up.
    pub fn log_take_up_refusal(
        &self,
        id: &str,
        resumes: Option<&str>,
        service: &ServiceName,
        reason: LocalReason,
    ) {
        counter!(STREAM_TAKE_UPS, "outcome" => reason.as_str()).increment(1);
        let history = self.streams.history.borrow();
        let versions: Vec<_> = history
            .versions(service, self.now())
            .map(SoftwareVersion::to_string)
            .collect();
        let read_at = self.streams.entries_read_at.get();
        event!(
            EventCode::TakeUpRefused,
            "request={id} resumes={} reason={} service={service} versions={} entries_age_ms={}",
            resumes.unwrap_or("none"),
            reason.as_str(),
            versions.join(","),
            read_at.map_or(-1, |at| self.now().saturating_sub(at).as_millis() as i64)
        );
    }
}
