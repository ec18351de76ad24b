//! The ring before standard output.

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

/// An output whose reader takes nothing until it is told to.
struct StoppedOutput {
    go: mpsc::Receiver<()>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for StoppedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _go = self.go.recv();
        self.text.lock().expect("the text").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn stopped() -> (OutputRing, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (sender, go) = mpsc::channel();
    let text = Arc::<Mutex<Vec<u8>>>::default();
    let output = StoppedOutput {
        go,
        text: Arc::clone(&text),
    };
    let ring = OutputRing::start(output).expect("a thread");
    (ring, sender, text)
}

fn write(ring: &OutputRing, number: usize) {
    let mut record = Record::builder();
    record.level(Level::Info);
    let written = ring.write(
        &mut DeferredNow::new(),
        &record.args(format_args!("line {number}")).build(),
    );
    written.expect("nothing fails");
}

#[test]
fn a_reader_that_stops_holds_nobody_up_and_the_lost_lines_are_counted() {
    let (ring, go, text) = stopped();
    let begun = Instant::now();
    for number in 0..3 * RING_CAPACITY {
        write(&ring, number);
    }
    assert!(begun.elapsed() < Duration::from_secs(5));
    for _line in 0..4 {
        go.send(()).expect("the reader");
    }
    ring.flush().expect("nothing fails");
    write(&ring, 9_999);
    ring.flush().expect("nothing fails");
    let text = text.lock().expect("the text").clone();
    let text = String::from_utf8(text).expect("text");
    assert!(text.contains("INFO line 0\n"), "{text}");
    assert!(text.contains("cause=output_full"), "{text}");
    assert!(text.ends_with("INFO line 9999\n"), "{text}");
}

#[test]
fn a_flush_waits_for_the_lines_before_it_but_not_for_ever() {
    let (ring, go, text) = stopped();
    go.send(()).expect("the reader");
    write(&ring, 1);
    ring.flush().expect("nothing fails");
    assert_eq!(text.lock().expect("the text").as_slice(), b"INFO line 1\n");
    write(&ring, 2);
    let begun = Instant::now();
    ring.flush().expect("nothing fails");
    assert!(begun.elapsed() < 10 * FLUSH_LIMIT);
}
