//! The metrics of an instance; `docs/operators/router.md` lists them all.

use std::sync::OnceLock;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hibiscus_types::RequestOutcome;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::context::RouterContext;

/// A metric and what it measures.
#[derive(Clone, Copy, Debug)]
pub struct MetricName {
    /// The name.
    pub name: &'static str,
    /// `counter`, `gauge` or `histogram`.
    pub kind: &'static str,
    /// What it measures and in which unit.
    pub help: &'static str,
}

/// Answered requests.
const REQUESTS: &str = "hibiscus_requests_total";
/// Time to the head of an answer.
const FIRST_BYTE: &str = "hibiscus_first_byte_seconds";
/// Tokens charged.
const CHARGED: &str = "hibiscus_tokens_charged_total";
/// Numbered events.
const EVENTS: &str = hibiscus_events::EVENTS_METRIC;
/// Requests in progress.
const IN_PROGRESS: &str = "hibiscus_requests_in_progress";
/// Version in force.
const CONFIG_VERSION: &str = "hibiscus_config_version";
/// Ready instances.
const READY: &str = "hibiscus_instances_ready";
/// Whether the instance stops.
const STOPPING: &str = "hibiscus_stopping";

/// All metrics. Each carries the label `instance`.
pub const METRICS: [MetricName; 8] = [
    MetricName {
        name: REQUESTS,
        kind: "counter",
        help: "answered requests by `outcome` and `reason`, which is `none` for those that ran",
    },
    MetricName {
        name: FIRST_BYTE,
        kind: "histogram",
        help: "seconds from a request's headers to the head of its answer, for those that ran",
    },
    MetricName {
        name: CHARGED,
        kind: "counter",
        help: "tokens charged to allowance held here",
    },
    MetricName {
        name: EVENTS,
        kind: "counter",
        help: "numbered events by `code`, such as grants, refusals and failed appends",
    },
    MetricName {
        name: IN_PROGRESS,
        kind: "gauge",
        help: "requests in progress",
    },
    MetricName {
        name: CONFIG_VERSION,
        kind: "gauge",
        help: "configuration version in force",
    },
    MetricName {
        name: READY,
        kind: "gauge",
        help: "instances that are listed, heard of and not stopping, as seen from here",
    },
    MetricName {
        name: STOPPING,
        kind: "gauge",
        help: "1 during a planned stop",
    },
];

/// Upper bounds of the time to the first byte, in seconds.
const FIRST_BYTE_BOUNDS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

/// The recorder of this process; fleets inside one process share it.
static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder unless this process has one.
pub(super) fn install() {
    RECORDER.get_or_init(|| {
        let bounds = Matcher::Full(FIRST_BYTE.to_owned());
        let recorder = PrometheusBuilder::new()
            .set_buckets_for_metric(bounds, &FIRST_BYTE_BOUNDS)
            .expect("the list of bounds is not empty")
            .build_recorder();
        let handle = recorder.handle();
        // A recorder that an embedding program installed before stays.
        let _installed = metrics::set_global_recorder(recorder);
        handle
    });
}

/// Moves observed times into their buckets; without it they pile up.
pub(super) fn upkeep() {
    if let Some(recorder) = RECORDER.get() {
        recorder.run_upkeep();
    }
}

/// All metrics in the Prometheus text format.
pub(super) fn render(context: &RouterContext) -> String {
    let instance = context.settings.instance.name.to_string();
    let ready = context.fleet.lock().ready(UnixMillis::now()).len();
    let version = context.config.get().version;
    let running = context.in_progress.load(Ordering::Relaxed);
    metrics::gauge!(READY, "instance" => instance.clone()).set(ready as f64);
    metrics::gauge!(CONFIG_VERSION, "instance" => instance.clone()).set(version as f64);
    metrics::gauge!(IN_PROGRESS, "instance" => instance.clone()).set(f64::from(running));
    let stopping = f64::from(u8::from(context.is_draining()));
    metrics::gauge!(STOPPING, "instance" => instance).set(stopping);
    RECORDER
        .get()
        .map_or_else(String::new, PrometheusHandle::render)
}

/// Counts an answered request; `reason` is that of its refusal or failure.
pub fn count_request(
    context: &RouterContext,
    outcome: RequestOutcome,
    reason: Option<&'static str>,
    first_byte: Duration,
) {
    let instance = context.settings.instance.name.to_string();
    let labels = [
        ("instance", instance.clone()),
        ("outcome", outcome.as_str().to_owned()),
        ("reason", reason.unwrap_or("none").to_owned()),
    ];
    metrics::counter!(REQUESTS, &labels).increment(1);
    if outcome == RequestOutcome::Ran {
        metrics::histogram!(FIRST_BYTE, "instance" => instance).record(first_byte);
    }
}

/// Counts tokens charged to allowance held here.
pub fn count_charge(context: &RouterContext, charge: TokenCount) {
    let instance = context.settings.instance.name.to_string();
    metrics::counter!(CHARGED, "instance" => instance).increment(charge.get());
}
