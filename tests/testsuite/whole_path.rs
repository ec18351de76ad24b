//! A request served end to end by processes of their own.

use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::log::HttpLog;
use hibiscus_clients::log::LogService;
use hibiscus_config::CONFIG_STREAM;
use hibiscus_config::file::OperatorFile;
use hibiscus_config::fold::ConfigFold;
use hibiscus_config::record::ConfigRecord;
use hibiscus_support::EngineStandin;
use hibiscus_support::engine::EngineBehaviour;
use hibiscus_support::fleet::StandinPlatform;
use hibiscus_support::process::RouterProcess;
use hibiscus_types::codec;

/// Time that the fleet may take to answer its first request.
const READY_LIMIT: Duration = Duration::from_secs(20);

#[test]
fn a_chat_is_answered_by_a_fleet_of_processes() {
    let platform = StandinPlatform::start(Duration::ZERO);
    let engine = EngineStandin::start(EngineBehaviour::default());
    platform.list_server("engine-1", "stylist-llm", "regina", engine.address());
    let file = OperatorFile::parse(include_str!("../../examples/prairie-seam.jsonc"))
        .expect("the example is correct");
    let record = ConfigRecord {
        publication: 1,
        changes: file.changes(&ConfigFold::default()),
    };
    let log = HttpLog::new(&platform.log.url(), Duration::from_secs(2));
    log.append(CONFIG_STREAM, &codec::encode(&record).expect("it encodes"))
        .expect("the log takes it");
    let mut routers = Vec::new();
    for name in ["router-1", "router-2", "router-3"] {
        let router = RouterProcess::start(&platform.settings(name, "regina", "prairie"));
        platform.list_process(name, "regina", "prairie", &router);
        routers.push(router);
    }
    let url = format!(
        "http://{}/v1/chat/completions",
        routers[0].addresses.callers
    );
    let body =
        r#"{"model":"stylist","max_tokens":8,"messages":[{"role":"user","content":"fit len=4"}]}"#;
    let deadline = Instant::now() + READY_LIMIT;
    let mut last = String::new();
    while Instant::now() < deadline {
        let sent = ureq::post(&url)
            .header("authorization", "Bearer regina-example-key")
            .config()
            .http_status_as_error(false)
            .build()
            .send(body);
        let mut response = sent.expect("the instance answers");
        let status = response.status().as_u16();
        last = response
            .body_mut()
            .read_to_string()
            .expect("the body is text");
        if status == 200 {
            assert!(last.contains("fit.0 fit.1 fit.2 fit.3"), "{last}");
            return;
        }
    }
    panic!("no answer within the limit; last: {last}");
}
