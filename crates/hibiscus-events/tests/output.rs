//! Tests of the log writer for standard output.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Sender;
use std::time::Duration;
use std::time::Instant;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use hibiscus_events::output::FLUSH_LIMIT;
use hibiscus_events::output::OutputRing;
use hibiscus_events::output::RING_CAPACITY;
use log::Level;
use log::Record;

/// An output that blocks each write until the test permits it.
struct BlockedOutput {
    permits: mpsc::Receiver<()>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _permit = self.permits.recv();
        self.text.lock().expect("no holder panics").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts a ring whose output is blocked. Returns the ring, the sender of write
/// permits and the text written so far.
fn start_blocked() -> (OutputRing, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (sender, permits) = mpsc::channel();
    let text = Arc::<Mutex<Vec<u8>>>::default();
    let output = BlockedOutput {
        permits,
        text: Arc::clone(&text),
    };
    let ring = OutputRing::start(output).expect("the thread can be created");
    (ring, sender, text)
}

fn write(ring: &OutputRing, number: usize) {
    let mut record = Record::builder();
    record.level(Level::Info);
    let written = ring.write(
        &mut DeferredNow::new(),
        &record.args(format_args!("line {number}")).build(),
    );
    written.expect("the ring reports no error");
}

#[test]
fn a_stopped_reader_does_not_block_logging_and_dropped_lines_are_counted() {
    let (ring, permits, text) = start_blocked();
    let begun = Instant::now();
    for number in 0..3 * RING_CAPACITY {
        write(&ring, number);
    }
    assert!(begun.elapsed() < Duration::from_secs(5));
    for _line in 0..4 {
        permits.send(()).expect("the writer thread runs");
    }
    ring.flush().expect("the ring reports no error");
    write(&ring, 9_999);
    ring.flush().expect("the ring reports no error");
    let text = text.lock().expect("no holder panics").clone();
    let text = String::from_utf8(text).expect("text");
    assert!(text.contains("INFO line 0\n"), "{text}");
    assert!(text.contains("cause=output_full"), "{text}");
    assert!(text.ends_with("INFO line 9999\n"), "{text}");
}

#[test]
fn a_flush_waits_for_earlier_lines_but_only_for_a_limited_time() {
    let (ring, permits, text) = start_blocked();
    permits.send(()).expect("the writer thread runs");
    write(&ring, 1);
    ring.flush().expect("the ring reports no error");
    assert_eq!(
        text.lock().expect("no holder panics").as_slice(),
        b"INFO line 1\n"
    );
    write(&ring, 2);
    let begun = Instant::now();
    ring.flush().expect("the ring reports no error");
    assert!(begun.elapsed() < 10 * FLUSH_LIMIT);
}
