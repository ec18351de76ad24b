//! Bytes of responses that callers have not read yet.
//!
//! A server cuts off a response that stays unread for some seconds, so an instance reads on
//! while a caller pauses, and holds what the connection does not take. What it holds is
//! bounded for each response and for all together. A response may hold at most as much
//! as is still free then, so that the first of many stalled callers do not take all; beyond
//! its bound a response is read no further until its caller reads.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Most bytes that are held for one response, twice the largest event.
const RESPONSE_LIMIT_BYTES: usize = 512 * 1024;
/// Step in which the memory of one response grows. Doubling it would exceed the bounds.
const GROWTH_BYTES: usize = 16 * 1024;

/// Bytes that are held for all callers.
#[derive(Debug)]
pub struct UnreadPool {
    bound: usize,
    held: Cell<usize>,
}

impl UnreadPool {
    /// Creates a pool of at most `bound` bytes.
    pub fn new(bound: usize) -> Rc<Self> {
        Rc::new(Self {
            bound,
            held: Cell::new(0),
        })
    }

    /// Bytes that are held.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Bytes that a response may hold in addition to the `own` ones.
    fn room(&self, own: usize) -> usize {
        // What is taken is free no more, so half of the difference is left.
        let free = self.bound.saturating_sub(self.held.get());
        let share = free.saturating_sub(own) / 2;
        share.min(RESPONSE_LIMIT_BYTES.saturating_sub(own))
    }
}

/// Bytes that are held for one caller. Dropping them makes room for others.
#[derive(Debug)]
pub struct UnreadBytes {
    pool: Rc<UnreadPool>,
    bytes: VecDeque<u8>,
}

impl UnreadBytes {
    /// Creates an empty buffer whose bytes count in `pool`.
    pub fn new(pool: &Rc<UnreadPool>) -> Self {
        Self {
            pool: Rc::clone(pool),
            bytes: VecDeque::new(),
        }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The first bytes; empty only if there are none.
    pub fn first(&self) -> &[u8] {
        self.bytes.as_slices().0
    }

    /// Adds as many of `bytes` as there is room for, and returns their number.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let taken = bytes.len().min(self.pool.room(self.bytes.len()));
        if self.bytes.capacity() - self.bytes.len() < taken {
            self.bytes.reserve_exact(taken.max(GROWTH_BYTES));
        }
        self.bytes.extend(&bytes[..taken]);
        self.pool.held.set(self.pool.held.get() + taken);
        taken
    }

    /// Removes the first `count` bytes.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
        self.pool.held.set(self.pool.held.get() - count);
        if self.bytes.is_empty() {
            self.bytes = VecDeque::new();
        }
    }
}

impl Drop for UnreadBytes {
    fn drop(&mut self) {
        self.consume(self.bytes.len());
    }
}
