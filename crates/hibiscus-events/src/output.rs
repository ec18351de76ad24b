//! Standard output that never blocks whoever writes a line.
//!
//! A thread of its own writes what a bounded ring holds, many lines a call. A
//! reader that stops fills the ring; further lines are dropped and counted.

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

/// Lines that wait to be written: five seconds of the most that are admitted.
pub const RING_CAPACITY: usize = 2_000;
/// Time for which lines are gathered into one call. A kill loses as much; with
/// 20 ms the wake-ups cost 5 in 100 of a quiet instance's processor, with
/// 100 ms nothing that could be measured.
const GATHER_TIME: Duration = Duration::from_millis(100);
/// Time for the last lines of a process whose reader has stopped.
pub const FLUSH_LIMIT: Duration = Duration::from_millis(500);
/// Pause before a full ring is tried again.
const FLUSH_PAUSE: Duration = Duration::from_millis(5);
/// Stack of the thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// What the thread takes.
enum OutputItem {
    /// One line, with its end.
    Line(String),
    /// Tells when all lines before were written.
    Flush(SyncSender<()>),
}

/// Hands lines to the thread that writes them.
pub struct OutputRing {
    ring: SyncSender<OutputItem>,
    dropped: AtomicU64,
}

impl OutputRing {
    /// Starts the thread, which writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses a thread.
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

/// Writes lines until the ring is dropped.
fn write_lines(mut output: impl Write, items: &Receiver<OutputItem>) {
    let mut text = String::new();
    while let Ok(first) = items.recv() {
        let mut waiting = Vec::new();
        if matches!(first, OutputItem::Line(_)) {
            thread::sleep(GATHER_TIME);
        }
        for item in std::iter::once(first).chain(items.try_iter()) {
            match item {
                OutputItem::Line(line) => text.push_str(&line),
                OutputItem::Flush(done) => waiting.push(done),
            }
        }
        // Nowhere is left to tell of a closed standard output.
        let _written = output.write_all(text.as_bytes());
        let _flushed = output.flush();
        text.clear();
        for done in waiting {
            let _told = done.try_send(());
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
        // A reader that has stopped must not hold up the end.
        while begun.elapsed() < FLUSH_LIMIT {
            if self.ring.try_send(OutputItem::Flush(done.clone())).is_ok() {
                let _written = written.recv_timeout(FLUSH_LIMIT);
                break;
            }
            thread::sleep(FLUSH_PAUSE);
        }
        Ok(())
    }
}
