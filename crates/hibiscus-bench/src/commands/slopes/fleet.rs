//! Slopes of router processes: idle, under load and with open streams.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_support::engine::EngineBehaviour;
use serde_json::Value;

use crate::caller::FleetCaller;
use crate::commands::faults::deployment::FaultDeployment;
use crate::commands::faults::deployment::Result;
use crate::commands::faults::load::CallerLoad;
use crate::commands::faults::plan::PRAIRIE_SEAM;
use crate::commands::slopes::procfs;
use crate::commands::slopes::procfs::ProcessLook;
use crate::commands::slopes::report;

/// Time after a start in which heartbeats are more frequent.
const START_TIME: Duration = Duration::from_secs(6);
/// Time that the idle fleet is watched.
const IDLE_TIME: Duration = Duration::from_secs(6);
/// Time that load is offered.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Streams held open at one instance.
const STREAMS: u64 = 200;
/// Tokens of a held stream.
const STREAM_LENGTH: u64 = 100;
/// Time between tokens of a held stream.
const STREAM_INTERVAL: Duration = Duration::from_millis(100);
/// Time until all held streams have begun.
const STREAM_START: Duration = Duration::from_secs(4);

/// Counters of the whole fleet at one moment.
#[derive(Clone, Copy, Debug, Default)]
struct FleetLook {
    /// Sum over the processes.
    processes: ProcessLook,
    /// Bytes between the instances.
    peer_bytes: f64,
    /// Appends to the log.
    appends: f64,
    /// Bytes appended to the log.
    append_bytes: f64,
    /// Events recorded.
    events: f64,
}

/// Measures and prints all slopes of processes.
pub(crate) fn measure(seed: u64) -> Result<()> {
    let mut deployment = FaultDeployment::start(&PRAIRIE_SEAM, seed)?;
    measure_idle(&deployment);
    measure_load(&deployment, seed);
    measure_streams(&mut deployment);
    Ok(())
}

/// The fleet without requests.
fn measure_idle(deployment: &FaultDeployment) {
    thread::sleep(START_TIME);
    let before = look(deployment);
    let started = Instant::now();
    thread::sleep(IDLE_TIME);
    let seconds = started.elapsed().as_secs_f64();
    let after = look(deployment);
    let instances = PRAIRIE_SEAM.instances.len() as f64;
    let samples = IDLE_TIME.as_secs();
    let links = instances * (instances - 1.0);
    let used = after.processes.processor_s - before.processes.processor_s;
    let bytes = after.peer_bytes - before.peer_bytes;
    let appends = after.appends - before.appends;
    let resident = after.processes.resident / instances;
    report("idle memory", "instance", "bytes", resident, samples);
    report(
        "idle threads",
        "instance",
        "threads",
        after.processes.threads / instances,
        samples,
    );
    report(
        "idle processor time of 7 instances",
        "instance and second",
        "milliseconds",
        used * 1e3 / instances / seconds,
        samples,
    );
    report(
        "peer traffic, idle, both ways",
        "pair of instances and second",
        "bytes",
        bytes / (links / 2.0) / seconds,
        samples,
    );
    report(
        "log appends, idle",
        "instance and second",
        "appends",
        appends / instances / seconds,
        samples,
    );
}

/// The fleet under the load of the fault cases.
fn measure_load(deployment: &FaultDeployment, seed: u64) {
    let before = look(deployment);
    let started = Instant::now();
    let load = CallerLoad::start(
        &PRAIRIE_SEAM,
        &deployment.directory,
        deployment.margin_tokens(),
        seed,
    );
    thread::sleep(LOAD_TIME);
    let calls = load.finish();
    let seconds = started.elapsed().as_secs_f64();
    let after = look(deployment);
    let instances = PRAIRIE_SEAM.instances.len() as f64;
    let samples = calls.len() as u64;
    let requests = samples as f64;
    let used = after.processes.processor_s - before.processes.processor_s;
    report(
        "requests under load",
        "second",
        "requests",
        requests / seconds,
        samples,
    );
    report(
        "processor time under load, all instances",
        "request",
        "milliseconds",
        used * 1e3 / requests,
        samples,
    );
    report(
        "log appends under load",
        "instance and second",
        "appends",
        (after.appends - before.appends) / instances / seconds,
        samples,
    );
    report(
        "log bytes under load",
        "request",
        "bytes",
        (after.append_bytes - before.append_bytes) / requests,
        samples,
    );
    report(
        "peer traffic under load",
        "request",
        "bytes",
        (after.peer_bytes - before.peer_bytes) / requests,
        samples,
    );
    report(
        "events under load",
        "request",
        "events",
        (after.events - before.events) / requests,
        samples,
    );
}

/// One instance with many streams held open.
fn measure_streams(deployment: &mut FaultDeployment) {
    deployment.set_engine_behaviour(&EngineBehaviour {
        token_interval: STREAM_INTERVAL,
        ..EngineBehaviour::default()
    });
    let Some(router) = deployment.router(0) else {
        return;
    };
    let id = router.id();
    let address = router.addresses.callers;
    let before = procfs::look(id);
    let mut threads = Vec::new();
    for number in 0..STREAMS {
        threads.push(thread::spawn(move || {
            let caller = FleetCaller::new(PRAIRIE_SEAM.teams[0].api_key);
            let key = format!("held{number}");
            let prompt = format!("m{key} len={STREAM_LENGTH}");
            caller
                .stream_chat(address, &key, PRAIRIE_SEAM.model, &prompt, STREAM_LENGTH)
                .is_ok()
        }));
    }
    thread::sleep(STREAM_START);
    let middle = procfs::look(id);
    let started = Instant::now();
    thread::sleep(STREAM_START);
    let seconds = started.elapsed().as_secs_f64();
    let after = procfs::look(id);
    let whole = threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .filter(|whole| *whole)
        .count();
    eprintln!("held streams: {whole} of {STREAMS} whole");
    let streams = STREAMS as f64;
    let tokens = streams * seconds / STREAM_INTERVAL.as_secs_f64();
    report(
        "memory of open streams",
        "stream",
        "bytes",
        (middle.resident - before.resident) / streams,
        STREAMS,
    );
    report(
        "threads of open streams",
        "stream",
        "threads",
        (middle.threads - before.threads) / streams,
        STREAMS,
    );
    report(
        "processor time of open streams",
        "token",
        "microseconds",
        (after.processor_s - middle.processor_s) * 1e6 / tokens,
        STREAMS,
    );
}

/// Looks at the whole fleet.
fn look(deployment: &FaultDeployment) -> FleetLook {
    let mut look = FleetLook {
        appends: deployment.platform.log.appends() as f64,
        append_bytes: deployment.platform.log.bytes() as f64,
        ..FleetLook::default()
    };
    for link in deployment.links() {
        look.peer_bytes += link.bytes() as f64;
    }
    for index in 0..PRAIRIE_SEAM.instances.len() {
        let Some(router) = deployment.router(index) else {
            continue;
        };
        let process = procfs::look(router.id());
        look.processes.processor_s += process.processor_s;
        look.processes.resident += process.resident;
        look.processes.threads += process.threads;
        look.events += events(&router.addresses.operators.to_string());
    }
    look
}

/// Events that a process recorded since its start.
fn events(operators: &str) -> f64 {
    let text = ureq::get(format!("http://{operators}/v1/events"))
        .call()
        .and_then(|mut response| {
            response
                .body_mut()
                .with_config()
                .limit(64 << 20)
                .read_to_string()
        })
        .unwrap_or_default();
    let page: Value = serde_json::from_str(&text).unwrap_or_default();
    let last = page["events"].as_array().and_then(|events| events.last());
    last.and_then(|event| event["sequence"].as_f64())
        .map_or(0.0, |sequence| sequence + 1.0)
}
