//! Callers' connections and what they may take.

use std::future::Future;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::thread;
use std::time::Duration;

use hibiscus_traffic::callers::CallerBounds;
use hibiscus_traffic::callers::CallerConnection;
use hibiscus_traffic::callers::CallerRegistry;
use hibiscus_traffic::callers::WatchedStream;
use hibiscus_traffic::tally::CloseReason;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const BOUNDS: CallerBounds = CallerBounds {
    connections: 3,
    body_bytes: 1_000,
};

/// Whether the connection was told to end.
fn is_ended(connection: &CallerConnection) -> bool {
    let mut ended = pin!(connection.ended());
    let mut context = Context::from_waker(Waker::noop());
    matches!(ended.as_mut().poll(&mut context), Poll::Ready(()))
}

#[test]
fn the_connection_that_was_idle_for_longest_makes_room() {
    let registry = CallerRegistry::new(BOUNDS);
    let busy = registry.open().expect("there is room");
    let _request = busy.begin_request();
    let longest = registry.open().expect("there is room");
    thread::sleep(Duration::from_millis(2));
    let shorter = registry.open().expect("there is room");
    let newest = registry.open().expect("an idle one makes room");
    assert!(is_ended(&longest));
    assert_eq!(longest.closing(), Some(CloseReason::Room));
    for other in [&busy, &shorter, &newest] {
        assert!(!is_ended(other));
        assert_eq!(other.closing(), None);
    }
    drop(longest);
    assert_eq!(registry.len(), 3);
}

#[test]
fn a_connection_is_refused_while_all_others_are_busy() {
    let registry = CallerRegistry::new(BOUNDS);
    let open: Vec<_> = (0..3).filter_map(|_number| registry.open()).collect();
    let requests: Vec<_> = open.iter().map(CallerConnection::begin_request).collect();
    assert!(registry.open().is_none());
    assert!(!open.iter().any(is_ended));
    drop(requests);
    assert!(registry.open().is_some());
}

#[test]
fn a_connection_with_a_second_request_is_busy_until_both_have_passed() {
    let registry = CallerRegistry::new(CallerBounds {
        connections: 1,
        ..BOUNDS
    });
    let only = registry.open().expect("there is room");
    let first = only.begin_request();
    let second = only.begin_request();
    drop(first);
    assert!(registry.open().is_none());
    drop(second);
    assert!(registry.open().is_some());
}

#[test]
fn bodies_together_stay_within_their_bound() {
    let registry = CallerRegistry::new(BOUNDS);
    let mut first = registry.begin_body();
    assert!(first.grow(900));
    let mut second = registry.begin_body();
    assert!(!second.grow(101));
    assert!(second.grow(100));
    drop(first);
    assert!(second.grow(900));
    assert!(!second.grow(1));
}

/// Runs `work` on a runtime with a clock.
fn run<F: Future>(work: F) -> F::Output {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().expect("a runtime");
    runtime.block_on(work)
}

// Guards against a connection that is dropped 200 ms after it was told to end,
// with a request on it whose head was read in the same moment.
#[test]
fn a_request_that_begins_while_its_connection_is_told_to_end_gets_its_answer() {
    let registry = CallerRegistry::new(BOUNDS);
    let caller = registry.open().expect("there is room");
    let request = caller.begin_request();
    let connection = async {
        // Longer than the last bytes of a connection without a request take.
        tokio::time::sleep(Duration::from_millis(700)).await;
        drop(request);
    };
    assert!(run(caller.finish(connection)));
}

// Guards against a caller that reads nothing and keeps its connection for ever.
#[test]
fn a_connection_without_a_request_that_was_told_to_end_is_cut() {
    let registry = CallerRegistry::new(BOUNDS);
    let caller = registry.open().expect("there is room");
    assert!(!run(caller.finish(std::future::pending::<()>())));
}

// Guards against a caller that keeps its connection after its request has passed.
#[test]
fn a_connection_whose_request_has_passed_is_cut_soon_after() {
    let registry = CallerRegistry::new(BOUNDS);
    let caller = registry.open().expect("there is room");
    let request = caller.begin_request();
    let connection = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        drop(request);
        std::future::pending::<()>().await;
    };
    assert!(!run(caller.finish(connection)));
}

/// A connection over loopback: what the caller holds, and what is served.
async fn connected() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let caller = TcpStream::connect(address).await.expect("it listens");
    let (served, _from) = listener.accept().await.expect("a caller");
    (caller, served)
}

/// Sends `bytes` and reads them where they are served.
async fn pass(caller: &mut TcpStream, served: &mut WatchedStream, bytes: &[u8]) {
    caller.write_all(bytes).await.expect("an open connection");
    let mut read = vec![0; bytes.len()];
    served.read_exact(&mut read).await.expect("the bytes");
}

// Guards against the end of a healthy connection 3 s after a refusal, with the
// request that arrives on it then.
#[test]
fn the_rest_of_a_refused_request_does_not_begin_a_head() {
    run(async {
        let registry = CallerRegistry::new(BOUNDS);
        let connection = registry.open().expect("there is room");
        let (mut caller, served) = connected().await;
        let mut served = connection.watch(served);
        pass(&mut caller, &mut served, b"head").await;
        drop(connection.begin_request());
        pass(&mut caller, &mut served, b"body").await;
        assert_eq!(registry.close_slow_heads(Duration::ZERO), 0);
    });
}

// Guards against a slow head that is not seen after a refusal.
#[test]
fn a_head_that_arrives_in_pieces_is_seen_after_a_refused_request() {
    run(async {
        let registry = CallerRegistry::new(BOUNDS);
        let connection = registry.open().expect("there is room");
        let (mut caller, served) = connected().await;
        let mut served = connection.watch(served);
        drop(connection.begin_request());
        pass(&mut caller, &mut served, b"body").await;
        pass(&mut caller, &mut served, b"he").await;
        assert_eq!(registry.close_slow_heads(Duration::ZERO), 1);
    });
}

// Guards against a slow head that is not seen after a request that was read.
#[test]
fn a_head_is_seen_from_its_first_byte_after_a_request_that_was_read() {
    run(async {
        let registry = CallerRegistry::new(BOUNDS);
        let connection = registry.open().expect("there is room");
        let (mut caller, served) = connected().await;
        let mut served = connection.watch(served);
        let request = connection.begin_request();
        request.note_body_read();
        drop(request);
        pass(&mut caller, &mut served, b"he").await;
        assert_eq!(registry.close_slow_heads(Duration::ZERO), 1);
    });
}
