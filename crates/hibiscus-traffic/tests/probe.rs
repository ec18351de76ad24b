//! Probes of ports at which something else than an instance responds.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use hibiscus_traffic::probe;
use tokio::task::LocalSet;

/// Bytes that the port sends at most.
const SENT_LIMIT: usize = 256 * 1024 * 1024;
/// Bytes that the buffers of the system hold.
const BUFFERED: usize = 16 * 1024 * 1024;

/// Guards against a response without end that is kept in memory (issue 45, report of an
/// operator).
#[test]
fn a_probe_does_not_gather_a_body_without_end() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let sender = thread::spawn(move || {
        let (mut stream, _peer) = listener.accept().expect("a connection");
        let mut head = [0; 1_024];
        let _read = stream.read(&mut head).expect("a request");
        let begun = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n";
        stream.write_all(begun).expect("a head is sent");
        let piece = vec![b'x'; 64 * 1024];
        let mut sent = 0;
        while sent < SENT_LIMIT && stream.write_all(&piece).is_ok() {
            sent += piece.len();
        }
        sent
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let tasks = LocalSet::new();
    let status = tasks.block_on(&runtime, async {
        let mut link = None;
        let probe = probe::request_readiness(&mut link, address, "/ready");
        tokio::time::timeout(Duration::from_secs(5), probe).await
    });
    drop(tasks);
    assert_eq!(status, Ok(None));
    let sent = sender.join().expect("the port ends");
    assert!(sent <= BUFFERED, "{sent} bytes were read");
}
