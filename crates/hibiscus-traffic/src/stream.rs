//! Follows a series of events as its bytes pass.
//!
//! Lines are told apart without copying them: only the first bytes of a line
//! are kept, which hold the field's name and an event's number.

/// Bytes of a line that are kept: a field's name and a number fit.
const KEPT_BYTES: usize = 32;

/// What was seen of a series of events.
#[derive(Clone, Debug)]
pub struct EventParser {
    line: Vec<u8>,
    /// Number in the event that is still incomplete.
    pending: Option<u64>,
    last: Option<u64>,
    events: u64,
    /// Bytes since the last whole event.
    bytes: usize,
    at_boundary: bool,
    disordered: bool,
}

impl Default for EventParser {
    fn default() -> Self {
        Self {
            line: Vec::with_capacity(KEPT_BYTES),
            pending: None,
            last: None,
            events: 0,
            bytes: 0,
            at_boundary: true,
            disordered: false,
        }
    }
}

impl EventParser {
    /// A series that goes on after the event `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Takes the next bytes; returns the events that they completed.
    pub fn take(&mut self, bytes: &[u8]) -> u64 {
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
            if self.line.len() < KEPT_BYTES {
                self.line.push(*byte);
            }
        }
        self.events - before
    }

    /// Bytes since the last whole event.
    pub fn bytes_since_event(&self) -> usize {
        self.bytes
    }

    /// Whether the bytes so far end with a whole event.
    pub fn is_at_boundary(&self) -> bool {
        self.at_boundary
    }

    /// Whether an event's number did not follow the one before.
    pub fn is_disordered(&self) -> bool {
        self.disordered
    }

    /// Number of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whole events so far.
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
        self.disordered |= self.last.is_some_and(|last| number != last + 1);
        self.last = Some(number);
        self.events += 1;
        self.bytes = 0;
    }
}

/// The number in a line `id: N`.
fn event_number(line: &[u8]) -> Option<u64> {
    let number = line.strip_prefix(b"id:")?;
    std::str::from_utf8(number).ok()?.trim().parse().ok()
}
