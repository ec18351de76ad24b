//! Fleets in front of stand-in servers, and checks on their answers, for the
//! tests of requests.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_router::settings::LimitSettings;
use hibiscus_support::EngineStandin;
use hibiscus_support::PlainStandin;
use hibiscus_support::engine::EngineRun;
use hibiscus_support::proxy::TcpProxy;
use hibiscus_support::requests;
use hibiscus_support::requests::CallerReply;
use hibiscus_support::requests::RequestFleet;

/// The non-idempotent call of the example.
pub(crate) const ORDER: &str = "/tailorbook/alterations";
/// Lag of the instance list where a test needs one.
pub(crate) const LIST_LAG: Duration = Duration::from_secs(1);
/// Give-up limit of waits.
pub(crate) const LIMIT: Duration = Duration::from_secs(20);
/// Time between looks of a wait.
pub(crate) const POLL: Duration = Duration::from_millis(20);
/// Time without a byte after which a fleet gives an engine up that hangs.
pub(crate) const SILENCE_MS: u64 = 1_000;
/// Length of the answers to [`PROMPT_TAIL`].
pub(crate) const ANSWER_LENGTH: usize = 20;
/// Sets the length of an answer.
pub(crate) const PROMPT_TAIL: &str = "len=20";

/// A fleet of `count` routers with one plain service behind a proxy.
pub(crate) fn order_fleet(count: usize) -> (RequestFleet, PlainStandin, TcpProxy) {
    let service = PlainStandin::start();
    let proxy = TcpProxy::start(service.address());
    let fleet = RequestFleet::start(count, Duration::ZERO, |_settings| {});
    fleet
        .platform
        .list_server("book-1", "tailorbook", "regina", proxy.address());
    fleet.wait_ready();
    (fleet, service, proxy)
}

/// A fleet of `count` routers before `engines`.
pub(crate) fn chat_fleet(count: usize, engines: &[EngineStandin]) -> (RequestFleet, PlainStandin) {
    let silence_ms = LimitSettings::default().server_silence_ms;
    impatient_fleet(count, engines, silence_ms)
}

/// A fleet whose instance list lags by `lag`.
pub(crate) fn lagging_fleet(
    count: usize,
    engines: &[EngineStandin],
    lag: Duration,
) -> (RequestFleet, PlainStandin) {
    let silence_ms = LimitSettings::default().server_silence_ms;
    start_fleet(count, engines, silence_ms, lag)
}

/// A fleet that gives an engine up after `silence_ms` without a byte.
pub(crate) fn impatient_fleet(
    count: usize,
    engines: &[EngineStandin],
    silence_ms: u64,
) -> (RequestFleet, PlainStandin) {
    start_fleet(count, engines, silence_ms, Duration::ZERO)
}

fn start_fleet(
    count: usize,
    engines: &[EngineStandin],
    silence_ms: u64,
    lag: Duration,
) -> (RequestFleet, PlainStandin) {
    let service = PlainStandin::start();
    let fleet = RequestFleet::start(count, lag, |settings| {
        settings.limits.server_silence_ms = silence_ms;
    });
    fleet
        .platform
        .list_server("book-1", "tailorbook", "regina", service.address());
    for (index, engine) in engines.iter().enumerate() {
        let name = format!("engine-{}", index + 1);
        fleet
            .platform
            .list_server(&name, "stylist-llm", "regina", engine.address());
    }
    fleet.wait_ready();
    (fleet, service)
}

/// How often the service ran the request `key`.
pub(crate) fn runs(service: &PlainStandin, key: &str) -> usize {
    let runs = service.runs();
    runs.iter().filter(|run| run.request_id == key).count()
}

/// The runs of `key` at all `engines`.
pub(crate) fn engine_runs(engines: &[EngineStandin], key: &str) -> Vec<EngineRun> {
    let mut found = Vec::new();
    for engine in engines {
        found.extend(
            engine
                .runs()
                .into_iter()
                .filter(|run| run.request_id == key),
        );
    }
    found
}

/// Waits for `check`.
pub(crate) fn wait_for<F: FnMut() -> bool>(what: &str, mut check: F) {
    let deadline = Instant::now() + LIMIT;
    while !check() {
        assert!(Instant::now() < deadline, "gave up waiting for {what}");
        thread::sleep(POLL);
    }
}

/// Sends the order until it is answered with status 200.
pub(crate) fn order_until_answered(fleet: &RequestFleet, index: usize, key: &str) -> CallerReply {
    let mut last = CallerReply::default();
    wait_for("an answered order", || {
        last = requests::post(fleet.address(index), ORDER, key, "{}");
        last.status == 200
    });
    last
}

/// The text of a whole answer to `marker` and [`PROMPT_TAIL`].
pub(crate) fn whole_text(marker: &str) -> String {
    let mut text = String::new();
    for index in 0..ANSWER_LENGTH {
        text.push_str(&format!("{marker}.{index} "));
    }
    text
}

/// Fails unless `reply` is the whole answer to `marker`.
pub(crate) fn assert_whole(reply: &CallerReply, marker: &str) {
    assert_eq!(reply.status, 200, "{reply:?}");
    assert!(reply.has_end(), "{reply:?}");
    assert_eq!(reply.streamed_text(), whole_text(marker));
}
