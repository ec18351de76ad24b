//! Has other instances watched, and passes on what watchers find.
//!
//! Which of them this instance watches and what it must tell, the directory
//! decides ([`hibiscus_membership::detector`]); here are the tasks and the
//! times. News go to the contacts at once, and again after a pause; an
//! exchange with one of them repairs what got lost.

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

/// Least time between two messages of news to a contact: findings that come
/// together go together, and the loss of many machines costs no more.
const NEWS_PAUSE: Duration = Duration::from_millis(100);
/// Time between two exchanges that repair.
const EXCHANGE_PAUSE: Duration = Duration::from_secs(2);

/// The processes that are asked now.
type RunningWatches = Rc<RefCell<BTreeSet<IncarnationId>>>;

/// Watches others at `path` for as long as the runtime runs.
pub async fn keep<D: WireFormat>(state: Rc<TrafficState<D>>, path: &'static str) {
    let running = RunningWatches::default();
    let mut next_news = Instant::now();
    let mut next_exchange = Instant::now() + EXCHANGE_PAUSE;
    loop {
        let has_news = state.directory.borrow().has_updates();
        let due = if has_news { next_news } else { next_exchange };
        tokio::select! {
            () = state.membership_changed.notified() => {}
            () = tokio::time::sleep_until(due) => {}
        }
        start_watches(&state, &running, path);
        let now = Instant::now();
        if now >= next_news {
            let news = state.directory.borrow_mut().next_update();
            if let Some(message) = news {
                tell_contacts(&state, &message);
                next_news = now + NEWS_PAUSE;
            }
        }
        if now >= next_exchange {
            next_exchange = now + EXCHANGE_PAUSE;
            exchange(&state);
        }
    }
}

/// Starts to ask those that this instance is to watch and does not yet.
fn start_watches<D: WireFormat>(
    state: &Rc<TrafficState<D>>,
    running: &RunningWatches,
    path: &'static str,
) {
    let directory = state.directory.borrow();
    for entry in directory.monitored() {
        if !running.borrow_mut().insert(entry.incarnation) {
            continue;
        }
        let watch = watch(Rc::clone(state), entry.clone(), path, Rc::clone(running));
        tokio::task::spawn_local(watch);
    }
}

/// Asks one process for as long as this instance is to watch it.
async fn watch<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    entry: InstanceEntry,
    path: &'static str,
    running: RunningWatches,
) {
    let incarnation = entry.incarnation;
    probe::watch(Rc::clone(&state), entry, path).await;
    running.borrow_mut().remove(&incarnation);
    // It may have become one to watch again since the last look.
    state.membership_changed.notify_one();
}

/// Passes news on to all contacts.
fn tell_contacts<D: WireFormat>(state: &Rc<TrafficState<D>>, message: &SuspicionMessage) {
    for contact in state.directory.borrow().contact_addresses() {
        tokio::task::spawn_local(tell(Rc::clone(state), contact, message.clone()));
    }
}

/// Repairs what one of the contacts and this instance missed.
fn exchange<D: WireFormat>(state: &Rc<TrafficState<D>>) {
    let mut directory = state.directory.borrow_mut();
    let contact = fastrand::choice(directory.contact_addresses());
    let Some(contact) = contact.filter(|_contact| directory.is_large()) else {
        return;
    };
    let message = directory.next_exchange();
    tokio::task::spawn_local(tell(Rc::clone(state), contact, message));
}

/// Tells one instance, and takes its answer over.
async fn tell<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    contact: SocketAddr,
    message: SuspicionMessage,
) {
    let Some(link) = state.link.borrow().clone() else {
        return;
    };
    let joining = message.joining;
    let Some(answer) = peers::send_suspicions(&link, contact, message).await else {
        return;
    };
    state
        .directory
        .borrow_mut()
        .handle_response(answer, joining);
    state.membership_changed.notify_one();
}
