//! The configuration over instances, a log and a list that fail.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::log::HttpLog;
use hibiscus_clients::log::LogService;
use hibiscus_config::CONFIG_STREAM;
use hibiscus_config::SNAPSHOT_STREAM;
use hibiscus_config::entry::BrandEntry;
use hibiscus_config::entry::ConfigEntry;
use hibiscus_config::file::OperatorFile;
use hibiscus_config::load;
use hibiscus_config::record::ConfigRecord;
use hibiscus_config::record::EntryChange;
use hibiscus_ledger::fold::LedgerFold;
use hibiscus_ledger::record::RecordBatch;
use hibiscus_ledger::stream_of;
use hibiscus_router::config::snapshots;
use hibiscus_router::ops::RunningRouter;
use hibiscus_router::settings::LimitSettings;
use hibiscus_support::engine::EngineBehaviour;
use hibiscus_support::example::ExampleFleet;
use hibiscus_support::fleet;
use hibiscus_support::fleet::StandinPlatform;
use hibiscus_support::log::LogFaults;
use hibiscus_types::codec;

/// Time after which a wait is given up; far more than it needs.
const GIVE_UP: Duration = Duration::from_secs(30);
/// Time between looks.
const POLL: Duration = Duration::from_millis(10);
/// Instances and their data centres.
const INSTANCES: [(&str, &str); 4] = [
    ("router-1", "regina"),
    ("router-2", "regina"),
    ("router-3", "saskatoon"),
    ("router-4", "regina"),
];

/// Waits until `reached`; false when the wait is given up.
fn wait_until(mut reached: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + GIVE_UP;
    while Instant::now() < deadline {
        if reached() {
            return true;
        }
        thread::sleep(POLL);
    }
    false
}

/// Appends a publication of one new brand.
fn publish(platform: &StandinPlatform, number: u64) {
    let entry = ConfigEntry::Brand(BrandEntry {
        name: format!("brand-{number}"),
    });
    let change = EntryChange {
        key: entry.key(),
        entry: Some(entry),
        replaces: None,
        asked_by: "Ana".to_owned(),
    };
    let record = ConfigRecord::proposal(number, vec![change]).expect("it encodes");
    append(platform, &codec::encode(&record).expect("it encodes"));
}

/// Appends `data` to the configuration stream.
fn append(platform: &StandinPlatform, data: &[u8]) {
    let log = HttpLog::new(&platform.log.url(), Duration::from_secs(2));
    log.append(CONFIG_STREAM, data).expect("the log takes it");
}

fn start(platform: &StandinPlatform, (name, data_centre): (&str, &str)) -> RunningRouter {
    let settings = platform.settings(name, data_centre, "prairie");
    platform.start_router(settings)
}

fn version_of(router: &RunningRouter) -> u64 {
    router.context.config.get().version
}

/// Whether `version` comes into force at all `routers`.
fn in_force(routers: &[RunningRouter], version: u64) -> bool {
    wait_until(|| routers.iter().all(|router| version_of(router) == version))
}

fn outage(platform: &StandinPlatform, outage: bool) {
    platform.log.set_faults(LogFaults {
        outage,
        ..LogFaults::default()
    });
}

#[test]
fn a_new_instance_takes_the_configuration_from_peers_while_the_log_is_down() {
    let platform = StandinPlatform::start(Duration::ZERO);
    for number in 0..5 {
        publish(&platform, number);
    }
    let mut routers = vec![
        start(&platform, INSTANCES[0]),
        start(&platform, INSTANCES[2]),
    ];
    assert!(in_force(&routers, 5));
    outage(&platform, true);
    routers.push(start(&platform, INSTANCES[1]));
    assert!(in_force(&routers, 5));
    // All but one are restarted: the last one hands it on.
    for router in routers.drain(..2) {
        router.kill();
    }
    routers.push(start(&platform, INSTANCES[3]));
    assert!(in_force(&routers, 5));
    outage(&platform, false);
    publish(&platform, 5);
    assert!(in_force(&routers, 6));
    for router in routers {
        router.kill();
    }
}

#[test]
fn all_instances_restart_after_the_records_expired() {
    let platform = StandinPlatform::start(Duration::ZERO);
    for number in 0..20 {
        publish(&platform, number);
    }
    let router = start(&platform, INSTANCES[0]);
    assert!(in_force(std::slice::from_ref(&router), 20));
    snapshots::write(&router.context).expect("the log takes it");
    publish(&platform, 20);
    assert!(in_force(std::slice::from_ref(&router), 21));
    router.kill();
    platform.log.expire(1);
    assert!(platform.log.streams().contains(&SNAPSHOT_STREAM.to_owned()));
    let routers: Vec<RunningRouter> = INSTANCES
        .into_iter()
        .map(|instance| start(&platform, instance))
        .collect();
    assert!(in_force(&routers, 21));
    for router in &routers {
        assert_eq!(router.context.config.fold().entries().len(), 21);
    }
    for router in routers {
        router.kill();
    }
}

#[test]
fn no_instance_goes_back_under_lost_replies_and_repeated_reads() {
    let platform = StandinPlatform::start(Duration::from_millis(50));
    publish(&platform, 0);
    let routers: Vec<RunningRouter> = INSTANCES
        .into_iter()
        .map(|instance| start(&platform, instance))
        .collect();
    assert!(fleet::wait_ready(&routers, GIVE_UP));
    let mut seen = vec![0; routers.len()];
    let mut look = || {
        for (router, seen) in routers.iter().zip(&mut seen) {
            let version = version_of(router);
            assert!(version >= *seen, "from {seen} to {version}");
            *seen = version;
        }
    };
    for number in 1..40 {
        outage(&platform, false);
        publish(&platform, number);
        platform.log.set_faults(LogFaults {
            duplicate_reads: true,
            outage: number % 5 == 0,
            ..LogFaults::default()
        });
        thread::sleep(POLL);
        look();
    }
    outage(&platform, false);
    assert!(in_force(&routers, 40));
    look();
    for router in routers {
        router.kill();
    }
}

#[test]
fn an_instance_that_meets_a_newer_format_takes_no_requests() {
    let platform = StandinPlatform::start(Duration::ZERO);
    publish(&platform, 0);
    let router = start(&platform, INSTANCES[0]);
    assert!(in_force(std::slice::from_ref(&router), 1));
    append(&platform, &[9, 0, 0]);
    publish(&platform, 1);
    assert!(wait_until(|| router.context.config.is_outdated()));
    assert_eq!(version_of(&router), 1);
    let ready = || {
        let url = format!("http://{}/v1/status", router.addresses.operators);
        let mut response = ureq::get(&url).call().expect("the instance answers");
        let text = response.body_mut().read_to_string().expect("it is text");
        let status: serde_json::Value = serde_json::from_str(&text).expect("it is JSON");
        status["ready"] == true
    };
    assert!(wait_until(|| !ready()));
    router.kill();
}

#[test]
fn the_time_line_names_who_asked() {
    let platform = StandinPlatform::start(Duration::ZERO);
    let router = start(&platform, INSTANCES[0]);
    publish(&platform, 0);
    assert!(in_force(std::slice::from_ref(&router), 1));
    let expected = "version 1; set brands `brand-0`, asked by Ana";
    let named = || {
        let page = router.context.events.page(0);
        let mut events = page.events.iter();
        events.any(|event| event.code == "HS2001" && event.fields.detail == expected)
    };
    assert!(wait_until(named));
    router.kill();
}

#[test]
fn a_wait_for_a_version_ends_when_it_is_in_force_or_given_up() {
    let platform = StandinPlatform::start(Duration::ZERO);
    let router = start(&platform, INSTANCES[0]);
    let config = &router.context.config;
    assert!(!config.wait_for(1, Duration::from_millis(1)));
    publish(&platform, 0);
    assert!(config.wait_for(1, GIVE_UP));
    router.kill();
}

/// Sends a chat of the Regina shop; its status and body.
fn chat(fleet: &ExampleFleet, length: u64) -> (u16, String) {
    let url = format!(
        "http://{}/v1/chat/completions",
        fleet.routers[0].addresses.callers
    );
    let body = format!(
        r#"{{"model":"stylist","stream":true,"max_tokens":{length},"messages":[{{"role":"user","content":"fit len={length}"}}]}}"#
    );
    let sent = ureq::post(&url)
        .header("authorization", "Bearer regina-example-key")
        .config()
        .http_status_as_error(false)
        .build()
        .send(body);
    let mut response = sent.expect("the instance answers");
    let text = response.body_mut().read_to_string().unwrap_or_default();
    (response.status().as_u16(), text)
}

#[test]
fn a_request_finishes_and_is_charged_to_its_team_after_the_team_was_removed() {
    let fleet = ExampleFleet::start(&LimitSettings::default());
    fleet.engine.set_behaviour(EngineBehaviour {
        token_interval: Duration::from_millis(10),
        ..EngineBehaviour::default()
    });
    thread::scope(|scope| {
        let running = scope.spawn(|| chat(&fleet, 200));
        assert!(wait_until(|| fleet.engine.running() > 0));
        let log = HttpLog::new(&fleet.platform.log.url(), Duration::from_secs(2));
        let fold = load::load(&log).expect("the log answers");
        let mut file = OperatorFile::parse(include_str!("../../examples/prairie-seam.jsonc"))
            .expect("the example is correct");
        file.entries
            .retain(|key, _entry| key.name != "regina-shop" && key.name != "regina-tokens");
        let record = ConfigRecord::proposal(fold.version(), file.changes(&fold));
        let data = codec::encode(&record.expect("it encodes")).expect("it encodes");
        append(&fleet.platform, &data);
        assert!(wait_until(|| chat(&fleet, 4).0 == 401));
        let (status, text) = running.join().expect("the caller ends");
        assert_eq!(status, 200);
        assert!(text.contains("data: [DONE]"), "{text}");
    });
    let log = HttpLog::new(&fleet.platform.log.url(), Duration::from_secs(2));
    let charged = |budget: &str| {
        let mut ledger = LedgerFold::default();
        let page = log.read(&stream_of(0), 0, Duration::ZERO);
        for record in page.expect("the log answers").records {
            let batch: RecordBatch = codec::decode(&record.data).expect("it decodes");
            ledger.apply(record.offset, &batch);
        }
        let held = ledger.budgets().get(&budget.into());
        held.map_or(0, |held| held.charged.get())
    };
    assert!(wait_until(|| charged("regina-tokens") >= 200));
    assert_eq!(charged("saskatoon-tokens"), 0);
    assert_eq!(charged("winnipeg-tokens"), 0);
}
