//! Servers that send endless bytes instead of a valid response.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use platform_standins::BackendBehaviour;
use platform_standins::BackendStandin;
use platform_standins::EndlessBytes;

use crate::front::Platform;
use crate::front::request;
use crate::front::status;

/// Largest number of invalid bytes that a server can send on one connection: the
/// system's largest buffers, 4 MiB to send and 6 MiB to receive.
const CONNECTION_LIMIT: u64 = 10 * 1024 * 1024;
/// Number of bytes after which a caller stops reading.
const READ_LIMIT: usize = 512 * 1024 * 1024;
/// Time after which a caller stops reading; its deadline is 2.5 s.
const READ_TIME: Duration = Duration::from_secs(10);

/// What a caller received.
struct ReadResponse {
    /// First bytes of the response.
    head: String,
    bytes: usize,
    /// Whether the instance ended the connection.
    ended: bool,
    /// Last bytes of the response.
    tail: Vec<u8>,
}

/// Sends `request` and reads the response without keeping its body.
fn read_response(address: SocketAddr, request: &str) -> ReadResponse {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let limit = Some(READ_TIME);
    stream.set_read_timeout(limit).expect("a time-out");
    stream
        .write_all(request.as_bytes())
        .expect("bytes are sent");
    let mut response = ReadResponse {
        head: String::new(),
        bytes: 0,
        ended: false,
        tail: Vec::new(),
    };
    let started = Instant::now();
    let mut buffer = vec![0; 256 * 1024];
    while response.bytes < READ_LIMIT && started.elapsed() < READ_TIME {
        let Ok(read) = stream.read(&mut buffer) else {
            // The read timed out or the connection was reset.
            response.ended = started.elapsed() < READ_TIME;
            break;
        };
        if read == 0 {
            response.ended = true;
            break;
        }
        if response.head.is_empty() {
            response.head = String::from_utf8_lossy(&buffer[..read.min(64)]).into_owned();
        }
        response.bytes += read;
        response.tail = buffer[read.saturating_sub(8)..read].to_vec();
    }
    response
}

/// Asserts that `server` sent no more than the system's buffers hold.
fn check_sent(server: &BackendStandin, bytes: EndlessBytes) {
    let connections = server.connections() as u64;
    let sent = server.endless_bytes();
    assert!(
        sent <= connections * CONNECTION_LIMIT,
        "{bytes:?}: the server sent {sent} bytes on {connections} connections"
    );
}

/// Guards against endless interim responses that load the instance until the
/// deadline and delay valid requests of another service (issue 23).
#[test]
fn endless_interim_responses_fail_and_do_not_delay_other_requests() {
    let platform = Platform::start();
    platform
        .plain
        .set_behaviour(BackendBehaviour::Endless(EndlessBytes::Interim));
    let callers = platform.front.ports.callers;
    thread::scope(|scope| {
        let mut bad = Vec::new();
        for number in 0..8 {
            let request = request("/once/x", &format!("id-bad-{number}"), "");
            bad.push(scope.spawn(move || read_response(callers, &request)));
        }
        for number in 0..10 {
            let short = request(
                "/stream/x",
                &format!("id-{number}"),
                "Token-Counts: 10,15\r\n",
            )
            .replace("Deadline-Ms: 2500", "Deadline-Ms: 1000");
            let started = Instant::now();
            let sound = platform.front.call(&short);
            println!("a valid request took {:?}", started.elapsed());
            assert_eq!(status(&sound), "200", "{sound}");
            assert!(sound.ends_with("0\r\n\r\n"), "{sound}");
        }
        for bad in bad {
            let response = bad.join().expect("a caller ends");
            assert_eq!(status(&response.head), "502", "{}", response.head);
        }
    });
    check_sent(&platform.plain, EndlessBytes::Interim);
}

/// Guards against an endless head or body on a route without streaming.
#[test]
fn an_endless_response_on_a_route_without_streaming_fails() {
    for bytes in [
        EndlessBytes::HeaderLine,
        EndlessBytes::Headers,
        EndlessBytes::Body,
        EndlessBytes::Chunks,
        EndlessBytes::Comments,
    ] {
        let platform = Platform::start();
        platform
            .plain
            .set_behaviour(BackendBehaviour::Endless(bytes));
        let request = request("/once/x", "id-1", "");
        let response = read_response(platform.front.ports.callers, &request);
        assert_eq!(
            status(&response.head),
            "502",
            "{bytes:?}: {}",
            response.head
        );
        check_sent(&platform.plain, bytes);
    }
}

/// Guards against an endless stream of bytes without events that is forwarded to
/// the caller (issue 23).
#[test]
fn a_stream_of_bytes_without_events_is_cut_off() {
    for bytes in [
        EndlessBytes::HeaderLine,
        EndlessBytes::Headers,
        EndlessBytes::Body,
        EndlessBytes::Chunks,
        EndlessBytes::Comments,
        EndlessBytes::SingleBytes,
    ] {
        let platform = Platform::start();
        platform
            .engine
            .set_behaviour(BackendBehaviour::Endless(bytes));
        let request = request("/stream/x", "id-1", "Token-Counts: 10,15\r\n");
        let response = read_response(platform.front.ports.callers, &request);
        assert!(
            response.ended,
            "{bytes:?}: {} bytes and no end",
            response.bytes
        );
        assert!(!response.tail.ends_with(b"0\r\n\r\n"), "{bytes:?}: whole");
        check_sent(&platform.engine, bytes);
    }
}

/// Guards against a stream that always has bytes to read, so that its deadline is
/// never checked (issue 23).
#[test]
fn an_endless_stream_of_events_is_cut_off_at_its_deadline() {
    let platform = Platform::start();
    platform
        .engine
        .set_behaviour(BackendBehaviour::Endless(EndlessBytes::Events));
    let callers = platform.front.ports.callers;
    thread::scope(|scope| {
        let mut streams = Vec::new();
        for number in 0..8 {
            let request = request(
                "/stream/x",
                &format!("id-{number}"),
                "Token-Counts: 10,15\r\n",
            );
            let request = request.replace("Deadline-Ms: 2500", "Deadline-Ms: 1000");
            streams.push(scope.spawn(move || read_response(callers, &request)));
        }
        for stream in streams {
            let response = stream.join().expect("a caller ends");
            assert!(response.ended, "{} bytes and no end", response.bytes);
            assert!(!response.tail.ends_with(b"0\r\n\r\n"), "whole");
        }
    });
}
