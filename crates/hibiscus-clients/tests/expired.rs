//! Which answers of the log say that records have expired.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use hibiscus_clients::log::HttpLog;
use hibiscus_clients::log::LogError;
use hibiscus_clients::log::LogPage;
use hibiscus_clients::log::LogService;

/// Time without a byte after which a call is given up.
const SILENCE: Duration = Duration::from_secs(5);

/// Reads from offset `from` of a log that answers `status` with `body`.
fn read(from: u64, status: u16, body: &str) -> Result<LogPage, LogError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let length = body.len();
    let answer = format!("HTTP/1.1 {status} S\r\nContent-Length: {length}\r\n\r\n{body}");
    thread::spawn(move || {
        let (mut stream, _from) = listener.accept().expect("a connection");
        let mut request = [0; 1_024];
        let _count = stream.read(&mut request).expect("a request");
        stream.write_all(answer.as_bytes()).expect("an answer");
    });
    HttpLog::new(&format!("http://{address}"), SILENCE).read("s", from, Duration::ZERO)
}

/// Guards against a reader that repeats a read without a pause, and reports records as
/// expired that the stream has not had yet (issue 48): its next offset must grow.
#[test]
fn only_a_page_that_begins_behind_the_offset_read_says_that_records_expired() {
    let page = r#"{"first":5,"end":9,"records":[]}"#;
    for from in 0..12 {
        match read(from, 200, page) {
            Err(LogError::Expired { first, .. }) => assert!(from < first && first == 5),
            Ok(page) => assert!(from >= page.first && page.records.is_empty()),
            Err(error) => panic!("{from}: {error}"),
        }
        for body in [page, "", r#"{"error":"expired"}"#] {
            let gone = read(from, 410, body);
            let failed = matches!(gone, Err(LogError::Unavailable { status: 410 }));
            assert!(failed, "{from}: {gone:?}");
        }
    }
}
