//! The HTTP server that the stand-ins share.
//!
//! A thread serves each connection, so that a call that waits holds up no other
//! connection. The handler blocks its own thread only.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::thread;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rouille::Request;
use rouille::Response;
use tokio::runtime::Builder;

/// Size of the reads from the body of a response.
const READ_BYTES: usize = 8_192;
/// Limit of the buffers of a connection, small so that a caller notices a slow reader.
const BUFFER_BYTES: usize = 16_384;

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
        Self::start_paced(address, || None, handler)
    }

    /// As [`Self::start`], but reads the bodies of calls at `upload_rate` bytes per
    /// second.
    ///
    /// # Panics
    ///
    /// Panics when the port cannot be opened: no test can go on without it.
    pub fn start_paced<R, F>(address: &str, upload_rate: R, handler: F) -> Self
    where
        R: Fn() -> Option<usize> + Send + Sync + 'static,
        F: Fn(&Request) -> Response + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address).expect("a stand-in opens its port");
        let address = listener.local_addr().expect("an open port has an address");
        let stopping = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopping);
        let served = Arc::new((upload_rate, handler));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else {
                    continue;
                };
                let (served, stop) = (Arc::clone(&served), Arc::clone(&stop));
                // A connection that fails is the caller's matter.
                thread::spawn(move || serve(stream, &served.0, &served.1, &stop));
            }
        });
        Self { address, stopping }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        // Wakes the accepting thread, which closes the port.
        let _woken = TcpStream::connect(self.address);
    }
}

/// Serves the calls of a connection until `stop` is set.
fn serve<R, H>(stream: TcpStream, upload_rate: &R, handler: &H, stop: &AtomicBool) -> io::Result<()>
where
    R: Fn() -> Option<usize>,
    H: Fn(&Request) -> Response,
{
    stream.set_nodelay(true)?;
    stream.set_nonblocking(true)?;
    let peer = stream.peer_addr()?;
    let runtime = Builder::new_current_thread().enable_io().build()?;
    runtime.block_on(async {
        let stream = TokioIo::new(tokio::net::TcpStream::from_std(stream)?);
        let answer = |call: hyper::Request<Incoming>| async move {
            let request = decode(call, peer, upload_rate()).await?;
            let response = handler(&request);
            if stop.load(Ordering::Relaxed) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            Ok::<_, io::Error>(encode(response))
        };
        http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .serve_connection(stream, service_fn(answer))
            .await
            .map_err(io::Error::other)
    })
}

/// Reads a call whole, its body at `rate` bytes per second.
async fn decode(
    call: hyper::Request<Incoming>,
    peer: SocketAddr,
    rate: Option<usize>,
) -> io::Result<Request> {
    let (head, mut body) = call.into_parts();
    let mut data = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame.map_err(io::Error::other)?.into_data() else {
            continue;
        };
        data.extend_from_slice(&part);
        if let Some(rate) = rate {
            thread::sleep(Duration::from_secs(1).mul_f64(part.len() as f64 / rate as f64));
        }
    }
    let headers = head.headers.iter().map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes());
        (name.to_string(), value.into_owned())
    });
    Ok(Request::fake_http_from(
        peer,
        head.method.as_str(),
        head.uri.to_string(),
        headers.collect(),
        data,
    ))
}

fn encode(response: Response) -> hyper::Response<ReaderBody> {
    let (reader, size) = response.data.into_reader_and_size();
    let body = ReaderBody {
        reader,
        rest: size.map(|size| size as u64),
        has_yielded: false,
    };
    let mut encoded = hyper::Response::new(body);
    *encoded.status_mut() =
        StatusCode::from_u16(response.status_code).expect("a status of the stand-in");
    for (name, value) in response.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_str(&value);
        encoded.headers_mut().append(
            name.expect("a header name of the stand-in"),
            value.expect("a header value of the stand-in"),
        );
    }
    encoded
}

/// The body of a response, read from a blocking reader.
struct ReaderBody {
    reader: Box<dyn Read + Send>,
    /// Bytes that are left, if the length is known.
    rest: Option<u64>,
    /// Whether the connection has written what was read before.
    has_yielded: bool,
}

impl Body for ReaderBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if !self.has_yielded {
            self.has_yielded = true;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.has_yielded = false;
        let mut buffer = vec![0; READ_BYTES];
        match self.reader.read(&mut buffer) {
            Ok(0) => Poll::Ready(None),
            Ok(count) => {
                buffer.truncate(count);
                self.rest = self.rest.map(|rest| rest.saturating_sub(count as u64));
                Poll::Ready(Some(Ok(Frame::data(buffer.into()))))
            }
            Err(error) => Poll::Ready(Some(Err(error))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.rest.map_or_else(SizeHint::new, SizeHint::with_exact)
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
