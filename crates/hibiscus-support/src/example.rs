//! Prairie Seam's example as three router processes with one engine.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::log::HttpLog;
use hibiscus_clients::log::LogService;
use hibiscus_config::CONFIG_STREAM;
use hibiscus_config::file::OperatorFile;
use hibiscus_config::fold::ConfigFold;
use hibiscus_config::record::ConfigRecord;
use hibiscus_router::settings::LimitSettings;
use hibiscus_types::codec;

use crate::engine::EngineBehaviour;
use crate::engine::EngineStandin;
use crate::fleet::StandinPlatform;
use crate::process::RouterProcess;

/// API key of the example's team in Regina.
pub const API_KEY: &str = "regina-example-key";
/// A chat request of which every check is met.
pub const CHAT_BODY: &str =
    r#"{"model":"stylist","max_tokens":8,"messages":[{"role":"user","content":"fit len=4"}]}"#;
/// The example's file.
const FILE: &str = include_str!("../../../examples/prairie-seam.jsonc");
/// Names of the instances.
const INSTANCES: [&str; 3] = ["router-1", "router-2", "router-3"];
/// Time that the fleet may take to answer its first request.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time between looks at a fleet that starts.
const READY_POLL: Duration = Duration::from_millis(20);
/// Time that the log may take.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// The running example.
pub struct ExampleFleet {
    /// The router processes, all in one data centre.
    pub routers: Vec<RouterProcess>,
    /// The model engine.
    pub engine: EngineStandin,
    /// The platform.
    pub platform: StandinPlatform,
}

impl ExampleFleet {
    /// Starts the example with `limits` and waits until it answers.
    ///
    /// # Panics
    ///
    /// Panics when it does not answer in time.
    pub fn start(limits: &LimitSettings) -> Self {
        let platform = StandinPlatform::start(Duration::ZERO);
        let engine = EngineStandin::start(EngineBehaviour::default());
        platform.list_server("engine-1", "stylist-llm", "regina", engine.address());
        publish(&platform);
        let mut routers = Vec::new();
        for name in INSTANCES {
            let mut settings = platform.settings(name, "regina", "prairie");
            settings.limits = limits.clone();
            let router = RouterProcess::start(&settings);
            platform.list_process(name, "regina", "prairie", &router);
            routers.push(router);
        }
        let fleet = Self {
            routers,
            engine,
            platform,
        };
        let deadline = Instant::now() + READY_LIMIT;
        while fleet.chat_status() != Some(200) {
            assert!(Instant::now() < deadline, "the example is not ready");
            thread::sleep(READY_POLL);
        }
        fleet
    }

    /// Status of a chat request to the first instance.
    fn chat_status(&self) -> Option<u16> {
        let address = self.routers[0].addresses.callers;
        let sent = ureq::post(format!("http://{address}/v1/chat/completions"))
            .header("authorization", format!("Bearer {API_KEY}"))
            .config()
            .http_status_as_error(false)
            .build()
            .send(CHAT_BODY);
        Some(sent.ok()?.status().as_u16())
    }
}

/// Publishes the example's file.
fn publish(platform: &StandinPlatform) {
    let file = OperatorFile::parse(FILE).expect("the example is correct");
    let record = ConfigRecord {
        publication: 1,
        changes: file.changes(&ConfigFold::default()),
    };
    let log = HttpLog::new(&platform.log.url(), LOG_TIMEOUT);
    let record = codec::encode(&record).expect("the record encodes");
    log.append(CONFIG_STREAM, &record)
        .expect("the log takes the record");
}
