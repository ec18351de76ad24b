//! Callers' connections and what they may take of the machine.
//!
//! A connection is *busy* from the head of a request until the answer has
//! passed, *starting* while a head arrives, and *idle* else. When as many are
//! open as the machine bears, the one that has been idle for longest makes
//! room; a head that takes too long ends its connection. After a request that
//! was refused before its body was read, the next bytes are that body's. Bodies
//! are kept until their request is answered, so their bytes are counted too.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::tally::CloseReason;

/// Time for the last bytes on a connection that was told to end and has no
/// request.
const LAST_WRITE: Duration = Duration::from_millis(200);

/// What callers may take of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// Open connections.
    pub connections: usize,
    /// Bytes of bodies whose requests are not answered.
    pub body_bytes: usize,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerPhase {
    Idle,
    Starting,
    Busy,
}

/// One connection as its registry sees it.
#[derive(Debug)]
struct CallerSlot {
    phase: Cell<CallerPhase>,
    since: Cell<Instant>,
    /// Requests whose answers have not passed.
    requests: Cell<usize>,
    /// Whether a request has begun on it.
    begun: Cell<bool>,
    /// Whether the next bytes are the rest of a request that was refused.
    rest: Cell<bool>,
    /// Ends the connection.
    end: Notify,
    /// Why this instance ends it, if it does.
    closing: Cell<Option<CloseReason>>,
}

impl CallerSlot {
    fn enter(&self, phase: CallerPhase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    fn end(&self, reason: CloseReason) {
        self.closing.set(Some(reason));
        self.end.notify_one();
    }
}

/// All connections of callers.
#[derive(Debug)]
pub struct CallerRegistry {
    bounds: CallerBounds,
    next: Cell<u64>,
    slots: RefCell<BTreeMap<u64, Rc<CallerSlot>>>,
    body_bytes: Rc<Cell<usize>>,
}

impl CallerRegistry {
    /// A registry that keeps to `bounds`.
    pub fn new(bounds: CallerBounds) -> Rc<Self> {
        Rc::new(Self {
            bounds,
            next: Cell::new(0),
            slots: RefCell::default(),
            body_bytes: Rc::default(),
        })
    }

    /// Open connections.
    pub fn len(&self) -> usize {
        self.slots.borrow().len()
    }

    /// Bytes of bodies whose requests are not answered.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes.get()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Counts a new connection. When there are as many as allowed, the one
    /// that has been idle for longest is told to end; `None` when none is
    /// idle.
    pub fn open(self: &Rc<Self>) -> Option<CallerConnection> {
        if self.len() >= self.bounds.connections {
            self.end_longest_idle()?;
        }
        let number = self.next.get();
        self.next.set(number + 1);
        let slot = Rc::new(CallerSlot {
            phase: Cell::new(CallerPhase::Idle),
            since: Cell::new(Instant::now()),
            requests: Cell::new(0),
            begun: Cell::new(false),
            rest: Cell::new(false),
            end: Notify::new(),
            closing: Cell::new(None),
        });
        self.slots.borrow_mut().insert(number, Rc::clone(&slot));
        Some(CallerConnection {
            registry: Rc::clone(self),
            number,
            slot,
        })
    }

    /// Ends connections whose head has been arriving for longer than `limit`;
    /// returns how many.
    pub fn close_slow_heads(&self, limit: Duration) -> usize {
        let mut ended = 0;
        for slot in self.slots.borrow().values() {
            let starting = slot.phase.get() == CallerPhase::Starting;
            if starting && slot.since.get().elapsed() > limit {
                slot.end(CloseReason::SlowHead);
                ended += 1;
            }
        }
        ended
    }

    /// Counts the bytes of a body, which begins empty.
    pub fn begin_body(&self) -> BodyBytes {
        BodyBytes {
            total: Rc::clone(&self.body_bytes),
            bound: self.bounds.body_bytes,
            held: 0,
        }
    }

    /// Forgets the connection at once, so that the next one has room.
    fn end_longest_idle(&self) -> Option<()> {
        let mut slots = self.slots.borrow_mut();
        let idle = slots
            .iter()
            .filter(|(_number, slot)| slot.phase.get() == CallerPhase::Idle);
        let longest = idle.min_by_key(|(_number, slot)| slot.since.get());
        let number = longest.map(|(number, _slot)| *number)?;
        slots.remove(&number)?.end(CloseReason::Room);
        Some(())
    }
}

/// One counted connection.
#[derive(Debug)]
pub struct CallerConnection {
    registry: Rc<CallerRegistry>,
    number: u64,
    slot: Rc<CallerSlot>,
}

impl CallerConnection {
    /// Waits until the connection is to end.
    pub async fn ended(&self) {
        self.slot.end.notified().await;
    }

    /// Waits until `connection`, which was told to end, has ended; false when
    /// its last bytes took too long. Its head may have become whole in the same
    /// moment, and the request then has the time that it would have had.
    pub async fn finish<F: Future>(&self, connection: F) -> bool {
        let mut connection = pin!(connection);
        loop {
            // A request that ends within the time still has its last bytes to write.
            let is_idle = self.slot.requests.get() == 0;
            let ended = tokio::time::timeout(LAST_WRITE, connection.as_mut()).await;
            if ended.is_ok() || is_idle && self.slot.requests.get() == 0 {
                return ended.is_ok();
            }
        }
    }

    /// Why this instance ends the connection, if it does.
    pub fn closing(&self) -> Option<CloseReason> {
        self.slot.closing.get()
    }

    /// Notes that this instance ends the connection because of a planned stop.
    pub fn note_stopping(&self) {
        self.slot.closing.set(Some(CloseReason::Stopping));
    }

    /// Whether a request has begun on it.
    pub fn has_begun(&self) -> bool {
        self.slot.begun.get()
    }

    /// Counts a request until the returned value is dropped.
    pub fn begin_request(&self) -> CallerRequest {
        self.slot.requests.set(self.slot.requests.get() + 1);
        self.slot.begun.set(true);
        self.slot.rest.set(true);
        self.slot.enter(CallerPhase::Busy);
        CallerRequest {
            slot: Rc::clone(&self.slot),
        }
    }

    /// `stream`, whose bytes show when a head begins.
    pub fn watch(&self, stream: TcpStream) -> WatchedStream {
        WatchedStream {
            stream,
            slot: Rc::clone(&self.slot),
        }
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.registry.slots.borrow_mut().remove(&self.number);
    }
}

/// A request in progress on a connection.
#[derive(Debug)]
pub struct CallerRequest {
    slot: Rc<CallerSlot>,
}

impl CallerRequest {
    /// The request's body was read to its end.
    pub fn note_body_read(&self) {
        self.slot.rest.set(false);
    }

    /// Why this instance ends the request's connection, if it does.
    pub fn closing(&self) -> Option<CloseReason> {
        self.slot.closing.get()
    }
}

impl Drop for CallerRequest {
    fn drop(&mut self) {
        let requests = self.slot.requests.get() - 1;
        self.slot.requests.set(requests);
        if requests == 0 {
            self.slot.enter(CallerPhase::Idle);
        }
    }
}

/// Bytes of one body.
#[derive(Debug)]
pub struct BodyBytes {
    total: Rc<Cell<usize>>,
    bound: usize,
    held: usize,
}

impl BodyBytes {
    /// Counts `bytes` more; false, and nothing counted, when all bodies
    /// together would exceed their bound.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let total = self.total.get() + bytes;
        if total > self.bound {
            return false;
        }
        self.total.set(total);
        self.held += bytes;
        true
    }
}

impl Drop for BodyBytes {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.held);
    }
}

/// A caller's connection whose bytes are noted.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    slot: Rc<CallerSlot>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let is_idle = self.slot.phase.get() == CallerPhase::Idle;
        let has_read = buffer.filled().len() > before;
        // The HTTP library reads once for the rest of a body, or closes.
        if is_idle && has_read && !self.slot.rest.take() {
            self.slot.enter(CallerPhase::Starting);
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
