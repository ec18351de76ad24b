//! The HTTP server that the stand-ins share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rouille::Request;
use rouille::Response;
use rouille::Server;

/// Threads that serve one stand-in; long polls hold one each.
const SERVER_THREADS: usize = 64;
/// Time between looks at the stop flag.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running HTTP server that stops when it is dropped.
#[derive(Debug)]
pub struct HttpServer {
    /// Address it listens on.
    pub address: SocketAddr,
    stopping: Arc<AtomicBool>,
}

impl HttpServer {
    /// Serves `handler` on `address`.
    ///
    /// # Panics
    ///
    /// Panics when the port cannot be opened: no test can go on without it.
    pub fn start<F>(address: &str, handler: F) -> Self
    where
        F: Fn(&Request) -> Response + Send + Sync + 'static,
    {
        Self::start_with(address, SERVER_THREADS, handler)
    }

    /// As [`Self::start`], with `threads` calls answered at once.
    ///
    /// # Panics
    ///
    /// Panics when the port cannot be opened: no test can go on without it.
    pub fn start_with<F>(address: &str, threads: usize, handler: F) -> Self
    where
        F: Fn(&Request) -> Response + Send + Sync + 'static,
    {
        let server = Server::new(address, handler)
            .expect("a stand-in opens its port")
            .pool_size(threads);
        let address = server.server_addr();
        let stopping = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopping);
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                server.poll_timeout(POLL_INTERVAL);
            }
        });
        Self { address, stopping }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}

/// A query parameter as a number, zero when missing.
pub fn number_param(request: &Request, name: &str) -> u64 {
    request
        .get_param(name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// An empty answer with `status`.
pub fn status(status: u16) -> Response {
    Response::text("").with_status_code(status)
}
