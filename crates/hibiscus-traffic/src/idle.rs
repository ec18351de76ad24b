//! Idle connections to backend servers, with one limit for all servers together.
//!
//! A fleet has many servers, so a limit for each server would not bound the
//! machine's memory or file descriptors. When the limit is reached, the
//! connection that has been idle longest is dropped.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// A connection that can be kept while it is idle.
pub trait IdleConnection {
    /// Whether a request can be sent on the connection.
    fn is_usable(&self) -> bool;
}

/// Identifies an idle connection. Ids increase in the order in which connections
/// became idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleConnectionId(u64);

/// The idle connections, up to a limit.
#[derive(Debug)]
pub struct IdleConnections<C> {
    limit: Cell<usize>,
    next: Cell<u64>,
    connections: RefCell<BTreeMap<IdleConnectionId, C>>,
}

impl<C: IdleConnection> IdleConnections<C> {
    /// Creates an empty set of at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: Cell::new(limit),
            next: Cell::new(0),
            connections: RefCell::default(),
        }
    }

    /// Changes the limit and drops the oldest connections that exceed it.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        self.make_room(limit);
    }

    /// Adds a connection. If the limit is reached, drops the one that has been
    /// idle longest.
    pub fn put(&self, connection: C) -> IdleConnectionId {
        let id = IdleConnectionId(self.next.get());
        self.next.set(id.0 + 1);
        let limit = self.limit.get();
        if limit > 0 {
            self.make_room(limit - 1);
            self.connections.borrow_mut().insert(id, connection);
        }
        id
    }

    /// Removes a connection and returns it, unless it was dropped or is no longer
    /// usable.
    pub fn take(&self, id: IdleConnectionId) -> Option<C> {
        let connection = self.connections.borrow_mut().remove(&id);
        connection.filter(IdleConnection::is_usable)
    }

    /// Whether the connection is still in the set.
    pub fn contains(&self, id: IdleConnectionId) -> bool {
        self.connections.borrow().contains_key(&id)
    }

    /// Whether the connection is still in the set and usable.
    pub fn is_usable(&self, id: IdleConnectionId) -> bool {
        let connections = self.connections.borrow();
        connections.get(&id).is_some_and(IdleConnection::is_usable)
    }

    /// Drops the connections that are no longer usable.
    pub fn drop_unusable(&self) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|_id, connection| connection.is_usable());
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Whether there are no idle connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the oldest connections until at most `most` remain.
    fn make_room(&self, most: usize) {
        let mut connections = self.connections.borrow_mut();
        while connections.len() > most {
            connections.pop_first();
        }
    }
}
