//! Idle connections to all servers together.

use std::cell::Cell;
use std::rc::Rc;

use hibiscus_traffic::idle::IdleConnection;
use hibiscus_traffic::idle::IdleConnections;

/// A connection that is usable until it is told otherwise.
#[derive(Debug)]
struct FakeLink {
    usable: Rc<Cell<bool>>,
}

impl IdleConnection for FakeLink {
    fn is_usable(&self) -> bool {
        self.usable.get()
    }
}

fn link() -> (FakeLink, Rc<Cell<bool>>) {
    let usable = Rc::new(Cell::new(true));
    let link = FakeLink {
        usable: Rc::clone(&usable),
    };
    (link, usable)
}

// Guards against connections to many servers that fill a small machine, each
// server within its own bound.
#[test]
fn connections_to_all_servers_together_stay_within_the_machines_bound() {
    let shelf = IdleConnections::new(3);
    for _server in 0..145 {
        shelf.put(link().0);
    }
    assert_eq!(shelf.len(), 3);
}

// Guards against dropping connections that are in use all the time while old
// ones stay.
#[test]
fn the_connection_that_was_idle_for_longest_is_dropped_first() {
    let shelf = IdleConnections::new(2);
    let oldest = shelf.put(link().0);
    let used = shelf.put(link().0);
    let back = shelf.take(used).expect("it is kept");
    let used = shelf.put(back);
    let newest = shelf.put(link().0);
    assert!(!shelf.holds(oldest));
    assert!(shelf.holds(used) && shelf.holds(newest));
    assert!(shelf.take(oldest).is_none());
}

// Guards against buffers of connections that their servers have closed.
#[test]
fn connections_of_no_use_are_dropped_without_being_asked_for() {
    let shelf = IdleConnections::new(4);
    let (stale, usable) = link();
    let stale = shelf.put(stale);
    let fresh = shelf.put(link().0);
    usable.set(false);
    shelf.drop_unusable();
    assert!(!shelf.holds(stale));
    assert!(shelf.holds(fresh));
}

// Guards against a machine that is short of memory and keeps what it holds.
#[test]
fn a_lower_bound_drops_the_oldest_at_once() {
    let shelf = IdleConnections::new(4);
    let first = shelf.put(link().0);
    let second = shelf.put(link().0);
    shelf.set_limit(1);
    assert!(!shelf.holds(first));
    assert!(shelf.holds(second));
    shelf.set_limit(0);
    assert!(shelf.is_empty());
    let refused = shelf.put(link().0);
    assert!(!shelf.holds(refused));
}
