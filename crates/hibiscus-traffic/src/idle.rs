//! Idle connections to all servers, bounded together.
//!
//! A fleet has many servers, so a bound for each of them bounds no machine's
//! memory or descriptors. When one more is kept than the machine bears, the
//! one that has been idle for longest is dropped.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// A connection that may be kept.
pub trait IdleConnection {
    /// Whether a request may be sent on it.
    fn is_usable(&self) -> bool;
}

/// Names one kept connection; a later one is greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleConnectionId(u64);

/// The connections that are kept.
#[derive(Debug)]
pub struct IdleConnections<L> {
    limit: Cell<usize>,
    next: Cell<u64>,
    links: RefCell<BTreeMap<IdleConnectionId, L>>,
}

impl<L: IdleConnection> IdleConnections<L> {
    /// At most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: Cell::new(limit),
            next: Cell::new(0),
            links: RefCell::default(),
        }
    }

    /// Keeps at most `limit` connections from now on.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        self.make_room(limit);
    }

    /// Keeps `link`, in place of the one that has been idle for longest when
    /// there is no room.
    pub fn put(&self, link: L) -> IdleConnectionId {
        let ticket = IdleConnectionId(self.next.get());
        self.next.set(ticket.0 + 1);
        let limit = self.limit.get();
        if limit > 0 {
            self.make_room(limit - 1);
            self.links.borrow_mut().insert(ticket, link);
        }
        ticket
    }

    /// Takes the connection back, unless it was dropped or is of no use.
    pub fn take(&self, ticket: IdleConnectionId) -> Option<L> {
        let link = self.links.borrow_mut().remove(&ticket);
        link.filter(IdleConnection::is_usable)
    }

    /// Whether the connection is still kept.
    pub fn holds(&self, ticket: IdleConnectionId) -> bool {
        self.links.borrow().contains_key(&ticket)
    }

    /// Whether the connection is still kept and of use.
    pub fn is_usable(&self, ticket: IdleConnectionId) -> bool {
        let links = self.links.borrow();
        links.get(&ticket).is_some_and(IdleConnection::is_usable)
    }

    /// Drops the connections that are of no use any more.
    pub fn drop_unusable(&self) {
        let mut links = self.links.borrow_mut();
        links.retain(|_ticket, link| link.is_usable());
    }

    /// Connections that are kept.
    pub fn len(&self) -> usize {
        self.links.borrow().len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the oldest until at most `most` are left.
    fn make_room(&self, most: usize) {
        let mut links = self.links.borrow_mut();
        while links.len() > most {
            links.pop_first();
        }
    }
}
