//! Limits on callers' connections and on the memory of their request bodies.
//!
//! A connection is *busy* from the head of a request until its response has been
//! sent, *starting* while a head arrives, and *idle* otherwise. When the maximum
//! number of connections is open, the one that has been idle longest is closed
//! to make room for a new one. A connection whose head takes too long to arrive
//! is closed. If a request was refused before its body was read, the next bytes
//! on the connection belong to that body. Bodies are kept in memory until their
//! request is answered, so their bytes are limited too. So are those of responses that
//! callers do not read ([`unread`]); a connection with such bytes is not idle.

pub(crate) mod pause;
pub mod stream;
pub mod traffic;
pub mod unread;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::callers::pause::ReadingPause;
use crate::callers::stream::WatchedStream;
use crate::callers::traffic::CallerTraffic;
use crate::callers::unread::UnreadPool;
use crate::tally::CloseReason;

/// Timeout for writing the last bytes on a connection that is closing and has no
/// request.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// Deadline of a request until its own is known: the usual idle timeout.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(15);

/// Limits for all callers of this instance together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum bytes of request bodies in memory.
    pub body_bytes: usize,
    /// Maximum bytes of unread responses in memory.
    pub response_bytes: usize,
}

/// Phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerPhase {
    Idle,
    /// The head of a request is arriving.
    Starting,
    /// A request is in progress.
    Busy,
}

/// State of one connection in the registry.
#[derive(Debug)]
struct CallerSlot {
    phase: Cell<CallerPhase>,
    /// When the connection entered its phase.
    since: Cell<Instant>,
    /// Requests whose responses have not been sent.
    requests: Cell<usize>,
    /// Whether a request has begun on the connection.
    begun: Cell<bool>,
    /// Whether the body of the last request has not been read to its end. If so,
    /// the next bytes belong to that body, not to a new head.
    unread_body: Cell<bool>,
    /// Whether bytes of a response wait until the connection takes them.
    is_unread: Cell<bool>,
    /// The pause in the reading of the last stream.
    pause: RefCell<Option<Rc<ReadingPause>>>,
    /// Deadline of the last request.
    deadline: Cell<Option<std::time::Instant>>,
    /// Notified when the connection is to be closed.
    close: Notify,
    /// Why this instance closes the connection, if it does.
    close_reason: Cell<Option<CloseReason>>,
}

impl CallerSlot {
    /// Whether the connection has no request, and its last response was sent.
    fn is_idle(&self) -> bool {
        self.phase.get() == CallerPhase::Idle && !self.is_unread.get()
    }

    /// Whether a request is in progress, or its response waits.
    fn is_responding(&self) -> bool {
        self.requests.get() > 0 || self.is_unread.get()
    }

    fn enter_phase(&self, phase: CallerPhase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    fn close(&self, reason: CloseReason) {
        self.close_reason.set(Some(reason));
        self.close.notify_one();
    }
}

/// All open connections of callers.
#[derive(Debug)]
pub struct CallerRegistry {
    bounds: CallerBounds,
    next: Cell<u64>,
    slots: RefCell<BTreeMap<u64, Rc<CallerSlot>>>,
    body_bytes: Rc<Cell<usize>>,
    traffic: Rc<CallerTraffic>,
    unread: Rc<UnreadPool>,
}

impl CallerRegistry {
    /// Creates a registry that enforces `bounds`.
    pub fn new(bounds: CallerBounds) -> Rc<Self> {
        Rc::new(Self {
            bounds,
            next: Cell::new(0),
            slots: RefCell::default(),
            body_bytes: Rc::default(),
            traffic: Rc::default(),
            unread: UnreadPool::new(bounds.response_bytes),
        })
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.slots.borrow().len()
    }

    /// Bytes on the connections.
    pub fn traffic(&self) -> &CallerTraffic {
        &self.traffic
    }

    /// Bytes of request bodies in memory.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes.get()
    }

    /// Bytes of responses that are held since callers have not read them.
    pub fn unread_bytes(&self) -> usize {
        self.unread.held()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Registers a new connection. If the maximum number is open, closes the
    /// connection that has been idle longest; returns `None` if none is idle.
    pub fn open(self: &Rc<Self>) -> Option<CallerConnection> {
        if self.len() >= self.bounds.connections {
            self.close_longest_idle()?;
        }
        let number = self.next.get();
        self.next.set(number + 1);
        let slot = Rc::new(CallerSlot {
            phase: Cell::new(CallerPhase::Idle),
            since: Cell::new(Instant::now()),
            requests: Cell::new(0),
            begun: Cell::new(false),
            unread_body: Cell::new(false),
            is_unread: Cell::new(false),
            pause: RefCell::default(),
            deadline: Cell::new(None),
            close: Notify::new(),
            close_reason: Cell::new(None),
        });
        self.slots.borrow_mut().insert(number, Rc::clone(&slot));
        Some(CallerConnection {
            registry: Rc::clone(self),
            number,
            slot,
        })
    }

    /// Closes connections whose head has been arriving for longer than `limit` and
    /// returns their number.
    pub fn close_slow_heads(&self, limit: Duration) -> usize {
        let mut closed = 0;
        for slot in self.slots.borrow().values() {
            let starting = slot.phase.get() == CallerPhase::Starting;
            if starting && slot.since.get().elapsed() > limit {
                slot.close(CloseReason::SlowHead);
                closed += 1;
            }
        }
        closed
    }

    /// Starts counting the bytes of a body.
    pub fn begin_body(&self) -> BodyBytes {
        BodyBytes {
            total: Rc::clone(&self.body_bytes),
            bound: self.bounds.body_bytes,
            held: 0,
        }
    }

    /// Closes the connection that has been idle longest. It is removed from the
    /// registry at once, so that a new one can take its place.
    fn close_longest_idle(&self) -> Option<()> {
        let mut slots = self.slots.borrow_mut();
        let idle = slots.iter().filter(|(_number, slot)| slot.is_idle());
        let longest = idle.min_by_key(|(_number, slot)| slot.since.get());
        let number = longest.map(|(number, _slot)| *number)?;
        slots.remove(&number)?.close(CloseReason::Room);
        Some(())
    }
}

/// A registered connection. Dropping it removes it from the registry.
#[derive(Debug)]
pub struct CallerConnection {
    registry: Rc<CallerRegistry>,
    number: u64,
    slot: Rc<CallerSlot>,
}

impl CallerConnection {
    /// Waits until the registry closes the connection.
    pub async fn close_requested(&self) {
        self.slot.close.notified().await;
    }

    /// Waits until `connection`, which is closing, has ended. Returns false if its
    /// last bytes took too long. If the head of a request became complete at the
    /// same moment, that request keeps its usual time.
    pub async fn finish<F: Future>(&self, connection: F) -> bool {
        let mut connection = pin!(connection);
        loop {
            // A request that ends during this timeout still has its last bytes to
            // write, so the connection gets the timeout once more.
            let is_idle = !self.slot.is_responding();
            let ended = tokio::time::timeout(LAST_WRITE_TIMEOUT, connection.as_mut()).await;
            if ended.is_ok() || is_idle && !self.slot.is_responding() {
                return ended.is_ok();
            }
        }
    }

    /// Why this instance closes the connection, if it does.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.slot.close_reason.get()
    }

    /// Records that a graceful shutdown of this instance closes the connection.
    pub fn note_shutdown(&self) {
        self.slot.close_reason.set(Some(CloseReason::Stopping));
    }

    /// Whether a request has begun on the connection.
    pub fn has_begun(&self) -> bool {
        self.slot.begun.get()
    }

    /// Counts a request as in progress until the returned value is dropped.
    pub fn begin_request(&self) -> CallerRequest {
        self.slot.requests.set(self.slot.requests.get() + 1);
        self.slot.begun.set(true);
        self.slot.unread_body.set(true);
        let deadline = std::time::Instant::now() + DEFAULT_DEADLINE;
        self.slot.deadline.set(Some(deadline));
        self.slot.enter_phase(CallerPhase::Busy);
        CallerRequest {
            slot: Rc::clone(&self.slot),
        }
    }

    /// Wraps `stream` to detect when the head of a request begins.
    pub fn watch(&self, stream: TcpStream) -> WatchedStream {
        WatchedStream::new(stream, Rc::clone(&self.slot), &self.registry)
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
    /// Sets when the caller stops waiting for the response.
    pub fn set_deadline(&self, deadline: std::time::Instant) {
        self.slot.deadline.set(Some(deadline));
    }

    /// Sets whose reading pauses while the caller does not read.
    pub(crate) fn set_pause(&self, pause: &Rc<ReadingPause>) {
        *self.slot.pause.borrow_mut() = Some(Rc::clone(pause));
    }

    /// Records that the request's body was read to its end.
    pub fn note_body_read(&self) {
        self.slot.unread_body.set(false);
    }

    /// Why this instance closes the request's connection, if it does.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.slot.close_reason.get()
    }
}

impl Drop for CallerRequest {
    fn drop(&mut self) {
        let requests = self.slot.requests.get() - 1;
        self.slot.requests.set(requests);
        if requests == 0 {
            self.slot.enter_phase(CallerPhase::Idle);
        }
    }
}

/// Counts the bytes of one request body in memory until it is dropped.
#[derive(Debug)]
pub struct BodyBytes {
    total: Rc<Cell<usize>>,
    bound: usize,
    held: usize,
}

impl BodyBytes {
    /// Adds `bytes` to the count. Returns false and adds nothing if all bodies
    /// together would exceed their limit.
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
