//! Runs the monitoring of other instances and the exchange of failure
//! suspicions.
//!
//! The directory decides which instances this one monitors and what it must
//! send ([`hibiscus_membership::silence`]); this module holds the tasks and
//! their timing. Updates are sent to the contacts at once and again after a
//! pause; a periodic exchange with one contact repairs lost messages.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hibiscus_membership::suspicion::SuspicionMessage;
use hibiscus_types::IncarnationId;
use tokio::time::Instant;

use crate::model::InstanceEntry;
use crate::peers;
use crate::probe;
use crate::state::TrafficState;
use crate::wire_format::WireFormat;

/// Minimum time between two updates to a contact: simultaneous findings share a
/// message, and the loss of many machines at once costs no more messages.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two exchanges that repair lost messages.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// The processes that are being monitored.
type RunningMonitors = Rc<RefCell<BTreeSet<IncarnationId>>>;

/// Monitors other instances at the readiness path `path` and exchanges
/// suspicions, for as long as the runtime runs.
pub async fn keep<D: WireFormat>(state: Rc<TrafficState<D>>, path: &'static str) {
    let running = RunningMonitors::default();
    let mut next_update = Instant::now();
    let mut next_exchange = Instant::now() + EXCHANGE_INTERVAL;
    loop {
        let has_updates = state.directory.borrow().has_updates();
        let due = if has_updates {
            next_update
        } else {
            next_exchange
        };
        tokio::select! {
            () = state.membership_changed.notified() => {}
            () = tokio::time::sleep_until(due) => {}
        }
        start_monitors(&state, &running, path);
        let now = Instant::now();
        if now >= next_update {
            let update = state.directory.borrow_mut().next_update();
            if let Some(message) = update {
                send_to_contacts(&state, &message);
                next_update = now + UPDATE_INTERVAL;
            }
        }
        if now >= next_exchange {
            next_exchange = now + EXCHANGE_INTERVAL;
            exchange(&state);
        }
    }
}

/// Starts monitoring the instances that this one must monitor and doesn't yet.
fn start_monitors<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    running: &RunningMonitors,
    path: &'static str,
) {
    let directory = state.directory.borrow();
    for entry in directory.monitored() {
        if !running.borrow_mut().insert(entry.incarnation) {
            continue;
        }
        let task = monitor(Rc::clone(state), entry.clone(), path, Rc::clone(running));
        tokio::task::spawn_local(task);
    }
}

/// Monitors one process for as long as this instance must.
async fn monitor<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    entry: InstanceEntry,
    path: &'static str,
    running: RunningMonitors,
) {
    let incarnation = entry.incarnation;
    probe::watch(Rc::clone(&state), entry, path).await;
    running.borrow_mut().remove(&incarnation);
    // The process may have become one to monitor again since the last check.
    state.membership_changed.notify_one();
}

/// Sends an update to all contact_addresses.
fn send_to_contacts<D: WireFormat>(state: &Rc<TrafficState<D>>, message: &SuspicionMessage) {
    for contact in state.directory.borrow().contact_addresses() {
        tokio::task::spawn_local(send(Rc::clone(state), contact, message.clone()));
    }
}

/// Exchanges suspicions with one contact, so that both receive what they missed.
fn exchange<D: WireFormat>(state: &Rc<TrafficState<D>>) {
    let mut directory = state.directory.borrow_mut();
    let contact = fastrand::choice(directory.contact_addresses());
    let Some(contact) = contact.filter(|_contact| directory.is_large()) else {
        return;
    };
    let message = directory.next_exchange();
    tokio::task::spawn_local(send(Rc::clone(state), contact, message));
}

/// Sends a message to one instance and merges its response.
async fn send<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    contact: SocketAddr,
    message: SuspicionMessage,
) {
    let Some(link) = state.link.borrow().clone() else {
        return;
    };
    let joining = message.joining;
    let Some(response) = peers::send_suspicions(&link, contact, message).await else {
        return;
    };
    state
        .directory
        .borrow_mut()
        .handle_response(response, joining);
    state.membership_changed.notify_one();
}
