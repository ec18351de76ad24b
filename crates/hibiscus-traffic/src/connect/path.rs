//! TCP connections whose path is watched.
//!
//! The system's own timeout (`TCP_USER_TIMEOUT`) also counts while the peer keeps its
//! window closed and answers every probe, so it ends the connections of peers that read
//! slowly. [`PathStream`] reads what the system knows of the bytes instead and leaves the
//! decision to [`hibiscus_routing::path_monitor`].

use std::io;
use std::io::ErrorKind;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use hibiscus_routing::path_monitor::PathMonitor;
use hibiscus_routing::path_monitor::PathSample;
use hibiscus_routing::path_monitor::PathState;
use metrics::counter;
use nix::getsockopt_impl;
use nix::libc;
use nix::sockopt_impl;
use nix::sys::socket::getsockopt;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Metric name: connections that were ended since their path was cut.
pub const PATHS_CUT: &str = "hibiscus_paths_cut_total";

/// Metric name: connections that were ended since their peer did not read.
pub const READERS_GIVEN_UP: &str = "hibiscus_readers_given_up_total";

/// Interval between two samples of a connection with bytes in flight.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a caller that reads on must have taken nothing to be given up after its
/// deadline. A small window opens only after half of it was read.
const READER_PATIENCE: Duration = Duration::from_secs(3);
/// Time for which any other caller must have taken nothing.
const STALLED_PATIENCE: Duration = Duration::from_secs(1);

/// The first fields of the system's `struct tcp_info`, which all systems since Linux 4.6
/// fill in.
#[repr(C)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TcpFields {
    state: [u8; 8],
    timers: [u32; 4],
    unacknowledged_segments: u32,
    losses: [u32; 4],
    ms_since_data_sent: u32,
    receiving: [u32; 2],
    ms_since_acknowledgement: u32,
    estimates: [u32; 11],
    pacing: [u64; 2],
    bytes_acknowledged: u64,
    bytes_received: u64,
    segments: [u32; 2],
    bytes_not_sent: u32,
    shortest_round_trip: u32,
}

sockopt_impl!(
    /// What the system knows of a TCP connection.
    TcpInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    TcpFields
);

/// Samples a connection; `None` if the system does not tell.
fn sample(stream: &TcpStream) -> Option<PathSample> {
    let fields = getsockopt(stream, TcpInfo).ok()?;
    Some(PathSample {
        in_flight: fields.unacknowledged_segments,
        acknowledged: fields.bytes_acknowledged,
        unsent: fields.bytes_not_sent,
        since_sent: Duration::from_millis(fields.ms_since_data_sent.into()),
        since_acknowledged: Duration::from_millis(fields.ms_since_acknowledgement.into()),
    })
}

/// When a peer that does not read is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallLimit {
    /// Not before this time, if there is one.
    deadline: Option<Instant>,
    /// Time for which a peer must have taken nothing that has read on before.
    reader_patience: Duration,
    /// Time for which a peer must have taken nothing that has not read on.
    patience: Duration,
}

impl StallLimit {
    /// The limit of a caller whose request has this deadline. One that reads on gets its
    /// response also later.
    pub fn for_caller(deadline: Option<Instant>) -> Self {
        Self {
            deadline,
            reader_patience: READER_PATIENCE,
            patience: STALLED_PATIENCE,
        }
    }

    /// The limit of a peer that may take nothing for `patience`.
    pub fn after(patience: Duration) -> Self {
        Self {
            deadline: None,
            reader_patience: patience,
            patience,
        }
    }

    fn is_reached(&self, monitor: &PathMonitor, now: Instant) -> bool {
        let patience = if monitor.has_read_on() {
            self.reader_patience
        } else {
            self.patience
        };
        self.deadline.is_none_or(|deadline| now >= deadline)
            && monitor.stalled_time(now) >= patience
    }
}

/// A TCP connection that fails when its path is cut, or when its peer does not read.
#[derive(Debug)]
pub struct PathStream {
    stream: TcpStream,
    monitor: PathMonitor,
    state: PathState,
    stall_limit: Option<StallLimit>,
    /// Runs while bytes may be unacknowledged.
    timer: Option<Pin<Box<Sleep>>>,
    is_sampled: bool,
}

impl PathStream {
    /// Watches `stream`.
    pub fn new(stream: TcpStream) -> Self {
        // Without this option small writes wait for the acknowledgement of earlier ones.
        let _tuned = stream.set_nodelay(true);
        Self {
            stream,
            monitor: PathMonitor::default(),
            state: PathState::Clear,
            stall_limit: None,
            timer: None,
            is_sampled: false,
        }
    }

    /// The state of the path at the last sample.
    pub fn state(&self) -> PathState {
        self.state
    }

    /// Sets when a peer that does not read is given up; `None` for never.
    pub fn set_stall_limit(&mut self, limit: impl Into<Option<StallLimit>>) {
        self.stall_limit = limit.into();
    }

    /// Fails if the path is cut or the peer is given up. Samples the connection when that
    /// is due.
    fn check_path(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        while self.is_sampled {
            let Some(timer) = &mut self.timer else {
                break;
            };
            if timer.as_mut().poll(context).is_pending() {
                break;
            }
            let now = Instant::now();
            timer.as_mut().reset((now + SAMPLE_INTERVAL).into());
            self.take_sample(now)?;
        }
        Ok(())
    }

    fn take_sample(&mut self, now: Instant) -> io::Result<()> {
        let sample = sample(&self.stream).unwrap_or_default();
        self.state = self.monitor.observe(&sample, now);
        let limit = self.stall_limit;
        match self.state {
            PathState::Clear => self.is_sampled = false,
            PathState::Cut => {
                counter!(PATHS_CUT).increment(1);
                let text = "the peer acknowledges nothing that was sent";
                return Err(io::Error::new(ErrorKind::TimedOut, text));
            }
            PathState::InFlight | PathState::WindowClosed => {
                if limit.is_some_and(|limit| limit.is_reached(&self.monitor, now)) {
                    counter!(READERS_GIVEN_UP).increment(1);
                    let text = "the peer does not read";
                    return Err(io::Error::new(ErrorKind::TimedOut, text));
                }
            }
        }
        Ok(())
    }

    /// Begins to sample the connection after bytes were written, unless it is sampled.
    fn note_written(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        if self.is_sampled {
            return Ok(());
        }
        self.is_sampled = true;
        let now = Instant::now();
        self.monitor.note_written(now);
        let due = (now + SAMPLE_INTERVAL).into();
        match &mut self.timer {
            Some(timer) => timer.as_mut().reset(due),
            None => self.timer = Some(Box::pin(tokio::time::sleep_until(due))),
        }
        self.check_path(context)
    }
}

impl AsyncRead for PathStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_path(context)?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for PathStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_path(context)?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note_written(context)?;
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check_path(context)?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_path(context)?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.note_written(context)?;
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
