//! `run overhead`: time and memory that the fleet adds to an engine.
//!
//! The same callers send the same streams twice in one run: to the engines
//! themselves, then through router processes. Each caller keeps one stream in
//! progress; the first of each is not counted, since it connects and obtains
//! the first allowance.

use std::fs;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::recorder::EventPage;
use hibiscus_support::EngineStandin;
use hibiscus_support::engine::EngineBehaviour;
use hibiscus_support::fleet::StandinPlatform;
use hibiscus_support::process::RouterProcess;
use serde::Serialize;

use crate::caller::FleetCaller;
use crate::commands::run::ExperimentOptions;
use crate::steps;

/// Streams in progress.
const STREAMS: usize = 500;
/// Streams that each caller sends, of which the first is not counted.
const ROUNDS: usize = 5;
/// Engines and router processes.
const PROCESSES: usize = 4;
/// Time between tokens at the engine.
const TOKEN_INTERVAL: Duration = Duration::from_millis(47);
/// Time to the first token at the engine.
const PREFILL: Duration = Duration::from_millis(20);
/// Tokens of the two kinds of answers.
const LENGTHS: [u64; 2] = [20, 60];
/// Callers start within this time of each other.
const START_SPREAD: Duration = Duration::from_millis(2_000);
/// Time that the fleet may take to answer its first request.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time between looks at the processes' memory.
const MEMORY_POLL: Duration = Duration::from_millis(100);
/// API key of the example's team in Regina.
const API_KEY: &str = "regina-example-key";
/// The example, with credit for the whole run.
const EXAMPLE: &str = include_str!("../../../../examples/prairie-seam.jsonc");
/// Credit in the example, and credit for the whole run.
const CREDITS: [&str; 2] = ["\"tokens\": 200000", "\"tokens\": 2000000000"];
/// Bytes of one router's events at most.
const EVENTS_LIMIT: u64 = 64 * 1024 * 1024;
/// Milliseconds in a second.
const MILLIS: f64 = 1e3;

/// The result of one run.
#[derive(Clone, Debug, Serialize)]
struct OverheadResult {
    direct_p50_ms: f64,
    fleet_p50_ms: f64,
    added_p50_ms: f64,
    added_p99_ms: f64,
    throughput_ratio: f64,
    bytes_per_stream: u64,
}

/// One answered stream.
#[derive(Clone, Copy, Debug)]
struct StreamSample {
    length: u64,
    first_token: Duration,
}

/// What one phase measured.
struct PhaseResult {
    samples: Vec<StreamSample>,
    failures: u64,
    elapsed: Duration,
}

/// Runs the experiment and prints one JSON object a line.
pub fn exec(options: &ExperimentOptions) -> ExitCode {
    let platform = StandinPlatform::start(Duration::ZERO);
    let engines = start_engines(&platform);
    platform.publish(&EXAMPLE.replace(CREDITS[0], CREDITS[1]));
    let routers = start_routers(&platform);
    let engine_ports: Vec<SocketAddr> = engines.iter().map(EngineStandin::address).collect();
    let router_ports: Vec<SocketAddr> = routers
        .iter()
        .map(|router| router.addresses.callers)
        .collect();
    if !wait_ready(&router_ports) {
        eprintln!("error: failed to get an answer from each instance");
        return ExitCode::FAILURE;
    }
    eprintln!(
        "overhead: {STREAMS} streams in progress, {ROUNDS} rounds, seed {}",
        options.seed
    );
    let direct = run_phase(&engine_ports, options.seed);
    let idle = memory_bytes(&routers);
    let watch = MemoryWatch::start(&routers);
    let fleet = run_phase(&router_ports, options.seed);
    let peak = watch.stop();
    report_phase("direct", &direct);
    report_phase("fleet", &fleet);
    report_steps(&routers);
    let result = compare(&direct, &fleet, peak.saturating_sub(idle));
    match serde_json::to_string(&result) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("error: {error}"),
    }
    if direct.failures + fleet.failures == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Starts the engines and lists them.
fn start_engines(platform: &StandinPlatform) -> Vec<EngineStandin> {
    let mut engines = Vec::new();
    for index in 0..PROCESSES {
        let engine = EngineStandin::start(EngineBehaviour {
            prefill: PREFILL,
            token_interval: TOKEN_INTERVAL,
            ..EngineBehaviour::default()
        });
        let name = format!("engine-{index}");
        platform.list_server(&name, "stylist-llm", "regina", engine.address());
        engines.push(engine);
    }
    engines
}

/// Starts the router processes and lists them.
fn start_routers(platform: &StandinPlatform) -> Vec<RouterProcess> {
    let mut routers = Vec::new();
    for index in 0..PROCESSES {
        let name = format!("router-{index}");
        let settings = platform.settings(&name, "regina", "prairie");
        let router = RouterProcess::start(&settings);
        platform.list_process(&name, "regina", "prairie", &router);
        routers.push(router);
    }
    routers
}

/// Waits until each instance has answered.
fn wait_ready(routers: &[SocketAddr]) -> bool {
    let caller = FleetCaller::new(API_KEY);
    let deadline = Instant::now() + READY_LIMIT;
    for (index, router) in routers.iter().enumerate() {
        let mut attempt = 0;
        loop {
            attempt += 1;
            let key = format!("ready-{index}-{attempt}");
            if caller
                .stream_chat(*router, &key, "stylist", "ready len=1", 1)
                .is_ok()
            {
                break;
            }
            if Instant::now() > deadline {
                return false;
            }
            thread::sleep(MEMORY_POLL);
        }
    }
    true
}

/// Sends all streams to `ports`, each caller to one of them.
fn run_phase(ports: &[SocketAddr], seed: u64) -> PhaseResult {
    let samples = Mutex::new(Vec::new());
    let failures = AtomicU64::new(0);
    let started = Instant::now();
    thread::scope(|scope| {
        let mut random = fastrand::Rng::with_seed(seed);
        for index in 0..STREAMS {
            let port = ports[index % ports.len()];
            let delay = START_SPREAD.mul_f64(random.f64());
            let samples = &samples;
            let failures = &failures;
            scope.spawn(move || {
                thread::sleep(delay);
                let measured = run_caller(port, index, failures);
                samples
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .extend(measured);
            });
        }
    });
    PhaseResult {
        samples: samples.into_inner().unwrap_or_else(PoisonError::into_inner),
        failures: failures.into_inner(),
        elapsed: started.elapsed(),
    }
}

/// Sends the streams of one caller, one after the other.
fn run_caller(port: SocketAddr, index: usize, failures: &AtomicU64) -> Vec<StreamSample> {
    let caller = FleetCaller::new(API_KEY);
    let mut samples = Vec::with_capacity(ROUNDS);
    for round in 0..ROUNDS {
        let length = LENGTHS[(index + round) % LENGTHS.len()];
        let key = format!("stream-{index}-{round}");
        let prompt = format!("{key} len={length}");
        match caller.stream_chat(port, &key, "stylist", &prompt, length) {
            Ok(_warm) if round == 0 => {}
            Ok(answer) => samples.push(StreamSample {
                length,
                first_token: answer.first_token,
            }),
            Err(error) => {
                eprintln!("{key}: {error}");
                failures.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
    samples
}

/// Resident memory of all `routers`, in bytes.
fn memory_bytes(routers: &[RouterProcess]) -> u64 {
    routers
        .iter()
        .map(|router| resident_bytes(router.id()))
        .sum()
}

/// Resident memory of the process `id`, in bytes; zero when it has ended.
fn resident_bytes(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let kib: Option<u64> = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    kib.unwrap_or(0) * 1024
}

/// Watches the memory of processes for its highest value.
struct MemoryWatch {
    stop: Arc<AtomicBool>,
    handle: thread::JoinHandle<u64>,
}

impl MemoryWatch {
    /// Starts to watch `routers`.
    fn start(routers: &[RouterProcess]) -> Self {
        let ids: Vec<u32> = routers.iter().map(RouterProcess::id).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let handle = thread::spawn(move || {
            let mut peak = 0;
            while !stopped.load(Ordering::Relaxed) {
                peak = peak.max(ids.iter().map(|id| resident_bytes(*id)).sum());
                thread::sleep(MEMORY_POLL);
            }
            peak
        });
        Self { stop, handle }
    }

    /// The highest value, in bytes.
    fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.handle.join().unwrap_or(0)
    }
}

/// Prints a phase to standard error, by length of the answers: the time to
/// the first token must not depend on it.
fn report_phase(name: &str, phase: &PhaseResult) {
    for length in LENGTHS {
        let mut times = Vec::new();
        for sample in &phase.samples {
            if sample.length == length {
                times.push(sample.first_token);
            }
        }
        times.sort();
        eprintln!(
            "{name}: {} streams of {length} tokens, first token p50 {:.2} ms, p99 {:.2} ms",
            times.len(),
            percentile_ms(&times, 50),
            percentile_ms(&times, 99),
        );
    }
    eprintln!(
        "{name}: {} failed, {:.1} s",
        phase.failures,
        phase.elapsed.as_secs_f64()
    );
}

/// Prints where the time of the counted streams went in the routers to
/// standard error.
fn report_steps(routers: &[RouterProcess]) {
    let mut events = Vec::new();
    for router in routers {
        let url = format!("http://{}/v1/events", router.addresses.operators);
        let Ok(mut response) = ureq::get(url).call() else {
            continue;
        };
        let body = response.body_mut().with_config().limit(EVENTS_LIMIT);
        let text = body.read_to_string().unwrap_or_default();
        let page: EventPage = serde_json::from_str(&text).unwrap_or_default();
        events.extend(page.events);
    }
    events.retain(|event| {
        let request = event.fields.request.as_str();
        request.contains("/stream-") && !request.ends_with("-0")
    });
    for step in steps::step_times(&events) {
        eprintln!(
            "fleet: {}: p50 {:.2} ms, p99 {:.2} ms ({} requests)",
            step.name, step.median_ms, step.p99_ms, step.requests
        );
    }
}

/// Compares the phases.
fn compare(direct: &PhaseResult, fleet: &PhaseResult, added_bytes: u64) -> OverheadResult {
    let direct_times = first_tokens(direct);
    let fleet_times = first_tokens(fleet);
    let direct_p50_ms = percentile_ms(&direct_times, 50);
    let fleet_p50_ms = percentile_ms(&fleet_times, 50);
    let rate = |phase: &PhaseResult| phase.samples.len() as f64 / phase.elapsed.as_secs_f64();
    OverheadResult {
        direct_p50_ms,
        fleet_p50_ms,
        added_p50_ms: fleet_p50_ms - direct_p50_ms,
        added_p99_ms: percentile_ms(&fleet_times, 99) - percentile_ms(&direct_times, 99),
        throughput_ratio: rate(fleet) / rate(direct),
        bytes_per_stream: added_bytes / STREAMS as u64,
    }
}

/// Times to the first token, in order of length.
fn first_tokens(phase: &PhaseResult) -> Vec<Duration> {
    let mut times: Vec<Duration> = phase
        .samples
        .iter()
        .map(|sample| sample.first_token)
        .collect();
    times.sort();
    times
}

/// A percentile of sorted `times`, in milliseconds; zero when there are none.
fn percentile_ms(times: &[Duration], percent: usize) -> f64 {
    let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));
    times
        .get(index)
        .map_or(0.0, |time| time.as_secs_f64() * MILLIS)
}
