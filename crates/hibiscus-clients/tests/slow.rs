//! Answers that take longer to come than a call waits for a byte.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use hibiscus_clients::list::ListClient;
use hibiscus_clients::log::HttpLog;
use hibiscus_clients::log::LogService;

/// Time without a byte after which a call is given up.
const SILENCE: Duration = Duration::from_secs(1);
/// Pause between two parts of an answer.
const PAUSE: Duration = Duration::from_millis(300);
/// Parts of an answer, which together take longer than any call's silence and
/// grace.
const PARTS: usize = 16;

/// Answers one call with `body` in parts, after a while.
fn answer_slowly(body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _from) = listener.accept().expect("a connection");
        let mut request = [0; 1_024];
        let _count = stream.read(&mut request).expect("a request");
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).expect("a head");
        for part in body.as_bytes().chunks(body.len().div_ceil(PARTS)) {
            thread::sleep(PAUSE);
            stream.write_all(part).expect("a part");
        }
    });
    address
}

/// Guards against pages of the log that a slow link never brings (issue 20).
#[test]
fn a_page_of_the_log_that_comes_slowly_is_read() {
    let body = r#"{"first":0,"end":1,"records":[{"offset":0,"appended_ms":7,"data":"YWJj"}]}"#;
    let address = answer_slowly(body.to_owned());
    let log = HttpLog::new(&format!("http://{address}"), SILENCE);
    let page = log.read("s", 0, Duration::ZERO).expect("a page");
    assert_eq!(page.records[0].data, b"abc");
}

/// Guards against a list of servers that a slow link never brings (issue 20).
#[test]
fn a_list_that_comes_slowly_is_read() {
    let body = r#"{"version":3,"instances":[],"servers":[]}"#;
    let address = answer_slowly(body.to_owned());
    let list = ListClient::new(&format!("http://{address}"), SILENCE);
    let read = list.read(0, Duration::ZERO).expect("a list");
    assert_eq!(read.version, 3);
}
