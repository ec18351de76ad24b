//! The limit on idle connections to all servers together.

use std::cell::Cell;
use std::rc::Rc;

use hibiscus_traffic::idle::IdleConnection;
use hibiscus_traffic::idle::IdleConnections;

/// A connection that is usable while its flag is set.
#[derive(Debug)]
struct FakeConnection {
    usable: Rc<Cell<bool>>,
}

impl IdleConnection for FakeConnection {
    fn is_usable(&self) -> bool {
        self.usable.get()
    }
}

fn connection() -> (FakeConnection, Rc<Cell<bool>>) {
    let usable = Rc::new(Cell::new(true));
    let connection = FakeConnection {
        usable: Rc::clone(&usable),
    };
    (connection, usable)
}

// Guards against idle connections that exhaust a small machine because only the
// connections of each server are limited.
#[test]
fn idle_connections_to_all_servers_together_stay_within_the_limit() {
    let connections = IdleConnections::new(3);
    for _server in 0..145 {
        connections.put(connection().0);
    }
    assert_eq!(connections.len(), 3);
}

// Guards against dropping connections that are used often while old ones stay.
#[test]
fn the_connection_that_has_been_idle_longest_is_dropped_first() {
    let connections = IdleConnections::new(2);
    let oldest = connections.put(connection().0);
    let used = connections.put(connection().0);
    let back = connections.take(used).expect("it is in the set");
    let used = connections.put(back);
    let newest = connections.put(connection().0);
    assert!(!connections.contains(oldest));
    assert!(connections.contains(used) && connections.contains(newest));
    assert!(connections.take(oldest).is_none());
}

// Guards against the memory of connections that their servers have closed.
#[test]
fn unusable_connections_are_dropped_without_being_taken() {
    let connections = IdleConnections::new(4);
    let (stale, usable) = connection();
    let stale = connections.put(stale);
    let fresh = connections.put(connection().0);
    usable.set(false);
    connections.drop_unusable();
    assert!(!connections.contains(stale));
    assert!(connections.contains(fresh));
}

// Guards against a machine that is short of memory and still keeps all idle
// connections.
#[test]
fn a_lower_limit_drops_the_oldest_connections_at_once() {
    let connections = IdleConnections::new(4);
    let first = connections.put(connection().0);
    let second = connections.put(connection().0);
    connections.set_limit(1);
    assert!(!connections.contains(first));
    assert!(connections.contains(second));
    connections.set_limit(0);
    assert!(connections.is_empty());
    let refused = connections.put(connection().0);
    assert!(!connections.contains(refused));
}
