//! The log service: append, read, retention, limits and its faults.

use std::thread;
use std::time::Duration;

use hibiscus_clients::log::HttpLog;
use hibiscus_clients::log::LogError;
use hibiscus_clients::log::LogPage;
use hibiscus_clients::log::LogService;
use hibiscus_support::LogStandin;
use hibiscus_support::log::LogFaults;

use crate::contracts::ContractRow;
use crate::contracts::run_table;

/// Time after which the client gives an append up.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait of a read that must return early.
const LONG_WAIT: Duration = Duration::from_secs(20);

/// Appends after which a limited log must have refused one.
const APPENDS_LIMIT: u64 = 1_000;

/// A stand-in and its client.
struct LogPair {
    standin: LogStandin,
    client: HttpLog,
}

fn start() -> LogPair {
    let standin = LogStandin::start();
    let client = HttpLog::new(&standin.url(), APPEND_TIMEOUT);
    LogPair { standin, client }
}

impl LogPair {
    fn append(&self, text: &str) -> u64 {
        self.client
            .append("s", text.as_bytes())
            .expect("the log takes it")
    }

    fn read(&self, from: u64) -> LogPage {
        self.client
            .read("s", from, Duration::ZERO)
            .expect("the log answers")
    }

    fn fail(&self, faults: LogFaults) {
        self.standin.set_faults(faults);
    }
}

/// The texts of a page.
fn texts(page: &LogPage) -> Vec<String> {
    page.records
        .iter()
        .map(|record| String::from_utf8_lossy(&record.data).into_owned())
        .collect()
}

#[test]
fn the_log_service_and_its_client_keep_one_contract() {
    let rows: [ContractRow<LogPair>; 12] = [
        ContractRow {
            name: "offsets grow by one from 0, in each stream alone",
            check: |log| {
                assert_eq!((log.append("a"), log.append("b")), (0, 1));
                let other = log.client.append("t/1", b"c").expect("the log takes it");
                assert_eq!(other, 0);
                assert_eq!(texts(&log.read(0)), ["a", "b"]);
            },
        },
        ContractRow {
            name: "a read starts at its offset and names both ends",
            check: |log| {
                for text in ["a", "b", "c"] {
                    log.append(text);
                }
                let page = log.read(1);
                assert_eq!(texts(&page), ["b", "c"]);
                assert_eq!(page.records[0].offset, 1);
                assert_eq!((page.first, page.end), (0, 3));
            },
        },
        ContractRow {
            name: "a read at the end and of an unknown stream is empty",
            check: |log| {
                assert!(log.read(0).records.is_empty());
                log.append("a");
                assert!(log.read(1).records.is_empty());
            },
        },
        ContractRow {
            name: "a waiting read returns with the next append",
            check: |log| {
                let client = log.client.clone();
                let reader = thread::spawn(move || client.read("s", 0, LONG_WAIT));
                log.append("a");
                let page = reader.join().expect("the reader ends");
                assert_eq!(texts(&page.expect("the log answers")), ["a"]);
            },
        },
        ContractRow {
            name: "every byte comes back as it was appended",
            check: |log| {
                let bytes: Vec<u8> = (0..=u8::MAX).cycle().take(200_000).collect();
                log.client.append("s", &bytes).expect("the log takes it");
                assert_eq!(log.read(0).records[0].data, bytes);
            },
        },
        ContractRow {
            name: "a read below the retained records says where they start",
            check: |log| {
                for text in ["a", "b", "c"] {
                    log.append(text);
                }
                log.standin.expire(1);
                let expired = log.client.read("s", 0, Duration::ZERO);
                assert!(
                    matches!(expired, Err(LogError::Expired { from: 0, first: 2 })),
                    "{expired:?}"
                );
                assert_eq!(texts(&log.read(2)), ["c"]);
                assert_eq!(log.append("d"), 3, "offsets go on after an expiry");
            },
        },
        ContractRow {
            name: "an append over the rate is refused without effect",
            check: |log| {
                log.fail(LogFaults {
                    appends_per_second: 1,
                    ..LogFaults::default()
                });
                let mut taken = 0;
                // A slow machine may take one append in each second's window.
                while log.client.append("s", b"a").is_ok() {
                    taken += 1;
                    assert!(taken < APPENDS_LIMIT, "no append was refused");
                }
                let refused = log.client.append("s", b"a");
                assert!(
                    matches!(refused, Ok(_) | Err(LogError::RateLimited)),
                    "{refused:?}"
                );
                taken += u64::from(refused.is_ok());
                assert_eq!(log.read(0).end, taken);
            },
        },
        ContractRow {
            name: "an outage refuses appends and reads, and loses nothing",
            check: |log| {
                log.append("a");
                log.fail(LogFaults {
                    outage: true,
                    ..LogFaults::default()
                });
                let append = log.client.append("s", b"b");
                let read = log.client.read("s", 0, Duration::ZERO);
                assert!(matches!(append, Err(LogError::Unavailable { status: 503 })));
                assert!(matches!(read, Err(LogError::Unavailable { status: 503 })));
                log.fail(LogFaults::default());
                assert_eq!(texts(&log.read(0)), ["a"]);
            },
        },
        ContractRow {
            name: "an outage ends a waiting read",
            check: |log| {
                let client = log.client.clone();
                let reader = thread::spawn(move || client.read("s", 0, LONG_WAIT));
                log.fail(LogFaults {
                    outage: true,
                    ..LogFaults::default()
                });
                assert!(reader.join().expect("the reader ends").is_err());
            },
        },
        ContractRow {
            name: "a slow append that the client gave up still takes effect",
            check: |log| {
                log.fail(LogFaults {
                    append_delay: APPEND_TIMEOUT + Duration::from_millis(500),
                    ..LogFaults::default()
                });
                let append = log.client.append("s", b"a");
                assert!(matches!(append, Err(LogError::Unreachable(_))));
                let page = log.client.read("s", 0, LONG_WAIT);
                assert_eq!(texts(&page.expect("the log answers")), ["a"]);
            },
        },
        ContractRow {
            name: "a reply lost after its effect is an error, and the record stands",
            check: |log| {
                log.fail(LogFaults {
                    lose_every: 1,
                    ..LogFaults::default()
                });
                assert!(log.client.append("s", b"a").is_err());
                assert_eq!(texts(&log.read(0)), ["a"]);
            },
        },
        ContractRow {
            name: "a duplicate delivery repeats records under their old offsets",
            check: |log| {
                log.append("a");
                log.append("b");
                log.fail(LogFaults {
                    duplicate_reads: true,
                    ..LogFaults::default()
                });
                let page = log.read(1);
                assert_eq!(texts(&page), ["a", "b"]);
                assert_eq!(page.records[0].offset, 0);
            },
        },
    ];
    run_table(&rows, start);
}
