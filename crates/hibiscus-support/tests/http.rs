//! The HTTP server of the stand-ins.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use hibiscus_support::http::HttpServer;
use rouille::Response;

/// Number of connections, as many as a daemon opens at its start.
const CONNECTIONS: usize = 12;
/// Time after which a test gives up.
const GIVE_UP_TIME: Duration = Duration::from_secs(10);

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the port is open");
    stream
        .set_read_timeout(Some(GIVE_UP_TIME))
        .expect("a timeout can be set");
    stream
}

/// Guards against a stand-in that leaves a connection unanswered behind calls that wait
/// (issue 38, the CI run of 52a06bc).
#[test]
fn connections_that_open_at_once_are_answered_at_once() {
    let all = Arc::new(Barrier::new(CONNECTIONS));
    let met = Arc::clone(&all);
    let server = HttpServer::start("127.0.0.1:0", move |_request| {
        met.wait();
        Response::text("met")
    });
    let mut callers = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = connect(server.address);
        callers.push(thread::spawn(move || {
            stream.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")?;
            stream.read(&mut [0; 256])
        }));
    }
    for caller in callers {
        let read = caller.join().expect("a caller ends");
        assert!(read.is_ok_and(|count| count > 0), "a call had no answer");
    }
}
