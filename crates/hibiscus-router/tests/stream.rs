//! A connection whose reader stops.

use std::io::ErrorKind;
use std::time::Duration;

use hibiscus_router::callers::stream::TimedStream;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// More than the kernel buffers for one connection, in pieces.
const PIECES: usize = 4_096;

#[test]
fn a_write_that_nobody_reads_fails_after_its_limit() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let failed = runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("it binds");
        let address = listener.local_addr().expect("it has an address");
        let _unread = TcpStream::connect(address).await.expect("it connects");
        let (accepted, _peer) = listener.accept().await.expect("it accepts");
        let mut stream = TimedStream::new(accepted, Duration::from_millis(50));
        let piece = [b'x'; 64 * 1024];
        for _piece in 0..PIECES {
            if let Err(error) = stream.write_all(&piece).await {
                return Some(error.kind());
            }
        }
        None
    });
    assert_eq!(failed, Some(ErrorKind::TimedOut));
}
