//! Parses the numbers of a stream of server-sent events while its bytes are
//! forwarded.
//!
//! Lines are not copied whole: only the first bytes of a line are kept, which
//! hold the field name and the event number.

/// Bytes of a line that are kept, enough for a field name and a number.
const LINE_PREFIX_BYTES: usize = 32;

/// Incremental parser of an event stream.
#[derive(Clone, Debug)]
pub struct EventParser {
    line: Vec<u8>,
    /// Number of the event that is still incomplete.
    pending: Option<u64>,
    last: Option<u64>,
    events: u64,
    /// Bytes since the last complete event.
    bytes: usize,
    at_boundary: bool,
    out_of_order: bool,
}

impl Default for EventParser {
    fn default() -> Self {
        Self {
            line: Vec::with_capacity(LINE_PREFIX_BYTES),
            pending: None,
            last: None,
            events: 0,
            bytes: 0,
            at_boundary: true,
            out_of_order: false,
        }
    }
}

impl EventParser {
    /// Creates a parser of a stream that continues after the event `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Parses the next bytes and returns the number of events that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> u64 {
        let before = self.events;
        for byte in bytes {
            self.bytes += 1;
            if *byte == b'\r' {
                continue;
            }
            if *byte == b'\n' {
                self.end_line();
                continue;
            }
            self.at_boundary = false;
            if self.line.len() < LINE_PREFIX_BYTES {
                self.line.push(*byte);
            }
        }
        self.events - before
    }

    /// Bytes since the last complete event.
    pub fn bytes_since_event(&self) -> usize {
        self.bytes
    }

    /// Whether the bytes so far end with a complete event.
    pub fn is_at_boundary(&self) -> bool {
        self.at_boundary
    }

    /// Whether an event was missing, repeated or out of order.
    pub fn is_out_of_order(&self) -> bool {
        self.out_of_order
    }

    /// Number of the last complete event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Number of complete events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn end_line(&mut self) {
        if self.line.is_empty() {
            self.end_event();
            return;
        }
        if let Some(number) = event_number(&self.line) {
            self.pending = Some(number);
        }
        self.line.clear();
    }

    fn end_event(&mut self) {
        if self.at_boundary {
            return;
        }
        self.at_boundary = true;
        let Some(number) = self.pending.take() else {
            return;
        };
        self.out_of_order |= self.last.is_some_and(|last| number != last + 1);
        self.last = Some(number);
        self.events += 1;
        self.bytes = 0;
    }
}

/// Parses the number in a line `id: N`.
fn event_number(line: &[u8]) -> Option<u64> {
    let number = line.strip_prefix(b"id:")?;
    std::str::from_utf8(number).ok()?.trim().parse().ok()
}
