//! `quickstart`: a whole deployment inside one process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bpaf::Parser;
use bpaf::pure;
use hibiscus_clients::log::HttpLog;
use hibiscus_clients::log::LogError;
use hibiscus_clients::log::LogService;
use hibiscus_config::CONFIG_STREAM;
use hibiscus_config::file::FileError;
use hibiscus_config::file::OperatorFile;
use hibiscus_config::fold::ConfigFold;
use hibiscus_config::record::ConfigRecord;
use hibiscus_ledger::fold::LedgerFold;
use hibiscus_ledger::record::RecordBatch;
use hibiscus_ledger::stream_of;
use hibiscus_router::ops::RunningRouter;
use hibiscus_support::EngineStandin;
use hibiscus_support::PlainStandin;
use hibiscus_support::engine::EngineBehaviour;
use hibiscus_support::fleet;
use hibiscus_support::fleet::StandinPlatform;
use hibiscus_types::codec;
use hibiscus_types::codec::CodecError;

use crate::caller::FleetCaller;
use crate::commands::faults::plan::PRAIRIE_SEAM;
use crate::steps;

/// API keys of the example's teams.
const API_KEYS: [&str; 3] = [
    "regina-example-key",
    "saskatoon-example-key",
    "winnipeg-example-key",
];
/// Beginning of the streamed requests' keys.
const CHAT_KEY: &str = "chat";
/// Time that the fleet may take to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time that the ledger may take to hold all settlements.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);
/// Time between looks at the ledger.
const SETTLE_POLL: Duration = Duration::from_millis(50);

/// Why the quickstart failed.
#[derive(Debug, thiserror::Error)]
pub enum QuickstartError {
    /// The example is faulty.
    #[error(transparent)]
    File(#[from] FileError),
    /// The log failed.
    #[error(transparent)]
    Log(#[from] LogError),
    /// A record cannot be read.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The fleet did not get ready.
    #[error("failed to get all instances ready")]
    NotReady,
}

/// Result of the quickstart.
pub type Result<T> = std::result::Result<T, QuickstartError>;

/// The parser of the subcommand's arguments.
pub fn cli() -> impl Parser<()> {
    pure(())
}

/// Runs the quickstart and prints what it saw.
pub fn exec() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the deployment, sends requests and checks the ledger.
fn run() -> Result<bool> {
    let platform = StandinPlatform::start(Duration::ZERO);
    let engines = [
        EngineStandin::start(EngineBehaviour::default()),
        EngineStandin::start(EngineBehaviour::default()),
    ];
    let plain = PlainStandin::start();
    platform.list_server("engine-1", "stylist-llm", "regina", engines[0].address());
    platform.list_server("engine-2", "stylist-llm", "winnipeg", engines[1].address());
    platform.list_server("tailorbook-1", "tailorbook", "regina", plain.address());
    let log = HttpLog::new(&platform.log.url(), Duration::from_secs(2));
    publish(&log)?;
    let mut routers = Vec::with_capacity(PRAIRIE_SEAM.instances.len());
    for (name, data_centre) in PRAIRIE_SEAM.instances {
        let settings = platform.settings(name, data_centre, PRAIRIE_SEAM.region);
        routers.push(platform.start_router(settings));
    }
    if !fleet::wait_ready(&routers, READY_LIMIT) {
        return Err(QuickstartError::NotReady);
    }
    let answers = call_all(&routers);
    print_steps(&routers);
    let report = report(&log, answers)?;
    for router in routers {
        router.kill();
    }
    Ok(report)
}

/// Publishes the example.
fn publish(log: &HttpLog) -> Result<()> {
    let file = OperatorFile::parse(PRAIRIE_SEAM.example)?;
    let record = ConfigRecord {
        publication: 1,
        changes: file.changes(&ConfigFold::default()),
    };
    log.append(CONFIG_STREAM, &codec::encode(&record)?)?;
    Ok(())
}

/// Sends requests of every team to every instance; returns the whole answers.
fn call_all(routers: &[RunningRouter]) -> usize {
    let mut answers = 0;
    for (index, router) in routers.iter().enumerate() {
        for (team, api_key) in API_KEYS.iter().enumerate() {
            let caller = FleetCaller::new(api_key);
            let address = router.addresses.callers;
            answers += call_stream(&caller, address, &format!("{CHAT_KEY}-{index}-{team}"));
            answers += call_plain(&caller, address, &format!("order-{index}-{team}"));
        }
    }
    answers
}

/// One streamed request; 1 when its answer is whole and its own.
fn call_stream(caller: &FleetCaller, address: SocketAddr, key: &str) -> usize {
    let prompt = format!("{key} len=12 how does this jacket fit?");
    match caller.stream_chat(address, key, "stylist", &prompt, 64) {
        Ok(answer) => {
            let own = answer
                .text
                .split_whitespace()
                .all(|word| word.starts_with(key));
            println!(
                "{key}: {} tokens billed, first token {:.1} ms, whole {:.1} ms, own={own}",
                answer.billed,
                answer.first_token.as_secs_f64() * 1e3,
                answer.total.as_secs_f64() * 1e3,
            );
            usize::from(own)
        }
        Err(error) => {
            println!("{key}: {error}");
            0
        }
    }
}

/// One non-idempotent order; 1 when it was answered.
fn call_plain(caller: &FleetCaller, address: SocketAddr, key: &str) -> usize {
    let started = Instant::now();
    match caller.post(address, "/tailorbook/alterations", key, "{\"hem_cm\":2}") {
        Ok(answer) => {
            let elapsed = started.elapsed().as_secs_f64() * 1e3;
            println!("{key}: {answer} in {elapsed:.1} ms");
            1
        }
        Err(error) => {
            println!("{key}: {error}");
            0
        }
    }
}

/// Prints where the time of the streamed requests went.
fn print_steps(routers: &[RunningRouter]) {
    let mut events = Vec::new();
    for router in routers {
        events.extend(router.context.events.page(0).events);
    }
    events.retain(|event| event.fields.request.contains(CHAT_KEY));
    println!("where the time of the streamed requests went, in medians:");
    for step in steps::step_times(&events) {
        println!(
            "  {}: {:.2} ms ({} requests)",
            step.name, step.median_ms, step.requests
        );
    }
}

/// Prints each team's spend and the closing line.
fn report(log: &HttpLog, answers: usize) -> Result<bool> {
    let deadline = Instant::now() + SETTLE_LIMIT;
    let mut fold = read_ledger(log)?;
    while fold.settled_count() < answers && Instant::now() < deadline {
        thread::sleep(SETTLE_POLL);
        fold = read_ledger(log)?;
    }
    for (name, budget) in fold.budgets() {
        println!(
            "{name}: team {}, credited {}, charged {}, outstanding {}",
            budget.team, budget.credited, budget.charged, budget.outstanding
        );
    }
    let billed = fold.settled_count();
    let overspent = fold.overspent().len();
    println!("quickstart: answers={answers} billed={billed} overspend={overspent}");
    Ok(answers == billed && overspent == 0)
}

/// Folds the ledger from the log alone.
fn read_ledger(log: &HttpLog) -> Result<LedgerFold> {
    let mut fold = LedgerFold::default();
    let page = log.read(&stream_of(0), 0, Duration::ZERO)?;
    for record in page.records {
        let batch: RecordBatch = codec::decode(&record.data)?;
        fold.apply(record.offset, &batch);
    }
    Ok(fold)
}
