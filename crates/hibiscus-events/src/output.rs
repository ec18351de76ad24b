//! Standard output that never blocks the threads that write log lines.
//!
//! A dedicated thread writes the lines of a bounded ring, many lines per system
//! call. When the reader of standard output stops, the ring fills up, and
//! further lines are dropped and counted.

use std::fmt;
use std::fmt::Write as _;
use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;

/// Largest number of lines that wait to be written: five seconds at the
/// highest rate that the log admits.
pub const RING_CAPACITY: usize = 2_000;
/// Time for which lines are gathered into one write call. A killed process
/// loses the lines of this time. At 20 ms, the wake-ups use 5 % of the
/// processor time of an idle instance; at 100 ms, their cost is negligible.
const GATHER_TIME: Duration = Duration::from_millis(100);
/// Longest wait for the last lines of a process to be written, in case the
/// reader of standard output has stopped.
pub const FLUSH_LIMIT: Duration = Duration::from_millis(500);
/// Interval between two attempts to queue a flush in a full ring.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Stack size of the writer thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// A message to the writer thread.
enum OutputItem {
    /// One line, including its line break.
    Line(String),
    /// A request to report when all earlier lines have been written.
    Flush(SyncSender<()>),
}

/// Log writer that queues lines for the writer thread.
pub struct OutputRing {
    ring: SyncSender<OutputItem>,
    dropped: AtomicU64,
}

impl OutputRing {
    /// Starts the writer thread, which writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be created.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (ring, items) = mpsc::sync_channel(RING_CAPACITY);
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(output, &items))?;
        Ok(Self {
            ring,
            dropped: AtomicU64::new(0),
        })
    }
}

/// Writes the received lines to `output` until the ring is dropped.
fn write_lines(mut output: impl Write, items: &Receiver<OutputItem>) {
    let mut text = String::new();
    while let Ok(first) = items.recv() {
        let mut flushes = Vec::new();
        if matches!(first, OutputItem::Line(_)) {
            thread::sleep(GATHER_TIME);
        }
        for item in std::iter::once(first).chain(items.try_iter()) {
            match item {
                OutputItem::Line(line) => text.push_str(&line),
                OutputItem::Flush(done) => flushes.push(done),
            }
        }
        // A failure is ignored: a closed standard output cannot be reported
        // anywhere.
        let _written = output.write_all(text.as_bytes());
        let _flushed = output.flush();
        text.clear();
        for done in flushes {
            let _notified = done.try_send(());
        }
    }
}

impl fmt::Debug for OutputRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OutputRing").finish_non_exhaustive()
    }
}

impl LogWriter for OutputRing {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = String::with_capacity(160);
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let code = crate::EventCode::LinesDropped;
            let _written = writeln!(
                line,
                "{} {} {} lines={dropped} cause=output_full",
                code.level(),
                code.number(),
                code.text()
            );
        }
        let _written = writeln!(line, "{} {}", record.level(), record.args());
        if self.ring.try_send(OutputItem::Line(line)).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
            metrics::counter!(crate::logging::DROPPED_METRIC, "cause" => "output_full")
                .increment(1);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (done, written) = mpsc::sync_channel(1);
        let begun = Instant::now();
        // A stopped reader must not delay the exit of the process.
        while begun.elapsed() < FLUSH_LIMIT {
            if self.ring.try_send(OutputItem::Flush(done.clone())).is_ok() {
                let _written = written.recv_timeout(FLUSH_LIMIT);
                break;
            }
            thread::sleep(FLUSH_RETRY_INTERVAL);
        }
        Ok(())
    }
}
