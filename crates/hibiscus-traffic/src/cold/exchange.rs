//! Tells other instances which servers are cold, so that those that are cut off from
//! the store learn of it too.
//!
//! An instance that learns that a server is cold, or cold for longer, notifies its
//! contacts, which forward what is new to them. While servers are cold, a periodic
//! exchange with one contact repairs lost messages, and a process that has just
//! started requests what it missed.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::cold;
use crate::cold::servers::ColdObservation;
use crate::model::ServerEntry;
use crate::model::ServerIncarnation;
use crate::peers;
use crate::servers::ServerHandle;
use crate::state::TrafficState;
use crate::wire_format::WireFormat;

/// Maximum number of servers in one message: less than 10 KB.
const NOTICE_LIMIT: usize = 100;
/// Pause after a notice, so that changes at the same moment share a message.
const NOTICE_PAUSE: Duration = Duration::from_millis(20);
/// Pause before a notice is resent to an instance that did not respond.
const RESEND_PAUSE: Duration = Duration::from_millis(200);
/// Time between two exchanges with a contact.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between the exchanges of a process that has not had a response yet.
const STARTUP_INTERVAL: Duration = Duration::from_millis(200);
/// Time after its start in which a process requests what it missed, until it gets a
/// response.
const STARTUP_TIME: Duration = Duration::from_secs(5);
/// Longest cold time that another instance is believed; servers may not name a longer
/// one.
const LONGEST_COLD_TIME: Duration = Duration::from_secs(3_600);

/// The cold time of one server process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdNotice {
    /// The server process.
    pub server: ServerIncarnation,
    /// How much longer the process is cold, from the moment of sending.
    pub remaining: Duration,
}

/// Servers whose cold times have begun or grown, for the next notice.
#[derive(Debug, Default)]
pub struct ColdOutbox {
    changed: RefCell<BTreeSet<ServerIncarnation>>,
    has_changed: Notify,
    /// Whether another instance has responded since the start.
    joined: Cell<bool>,
}

impl ColdOutbox {
    fn push(&self, server: &ServerIncarnation) {
        self.changed.borrow_mut().insert(server.clone());
        self.has_changed.notify_one();
    }

    /// Takes the servers of the next notice.
    fn take(&self) -> Vec<ServerIncarnation> {
        let mut changed = self.changed.borrow_mut();
        let mut taken = Vec::new();
        while taken.len() < NOTICE_LIMIT
            && let Some(server) = changed.pop_first()
        {
            taken.push(server);
        }
        taken
    }
}

impl<D: WireFormat> TrafficState<D> {
    /// Records what a response of `server` says about its cold time.
    pub fn note_cold_response(&self, server: &ServerHandle, observation: ColdObservation) {
        let Some(remaining) = observation.remaining else {
            cold::servers::log_invalid(&server.entry, "answer");
            return;
        };
        let mut limit = server.limit().borrow_mut();
        let tracker = &mut limit.cold.tracker;
        let is_news = tracker.note_response(remaining, observation.sent_at, Instant::now());
        drop(limit);
        if is_news {
            self.cold.outbox.push(&server.entry.incarnation());
            server.permits_changed().notify_waiters();
        }
    }

    /// Merges what another instance knows. If it knows a later process of a server than
    /// this instance, the server is cold here too.
    pub fn merge_cold(&self, notice: &ColdNotice) {
        if notice.remaining > LONGEST_COLD_TIME {
            return;
        }
        let now = Instant::now();
        let mut servers = self.servers.borrow_mut();
        let known = servers.entry(&notice.server.server);
        let earlier = known.filter(|entry| entry.started < notice.server.started);
        let earlier = earlier.map(|entry| entry.incarnation());
        for start in earlier.iter().chain([&notice.server]) {
            let process = servers.known_process(start);
            let mut limit = process.limit.borrow_mut();
            let is_news = limit.cold.tracker.merge(notice.remaining, now);
            if is_news && *start == notice.server {
                self.cold.outbox.push(start);
            }
            process.permits_changed.notify_waiters();
        }
    }

    /// Merges the `notices` of another instance; returns the servers that are cold
    /// here and that it did not name.
    pub fn answer_cold(&self, notices: &[ColdNotice]) -> Vec<ColdNotice> {
        for notice in notices {
            self.merge_cold(notice);
        }
        let mut newer = self.known_cold();
        newer.retain(|known| notices.iter().all(|told| told.server != known.server));
        newer
    }

    /// The servers that are cold.
    fn known_cold(&self) -> Vec<ColdNotice> {
        let now = Instant::now();
        let servers = self.servers.borrow();
        let cold = servers.limits().filter_map(|(server, limit)| {
            let remaining = limit.borrow().cold.tracker.remaining(now)?;
            Some(ColdNotice {
                server: server.clone(),
                remaining,
            })
        });
        cold.take(NOTICE_LIMIT).collect()
    }

    /// Records the cold time in an entry that was applied.
    pub(crate) fn note_cold_entry(&self, entry: &ServerEntry) {
        let mut servers = self.servers.borrow_mut();
        if servers.note_cold_entry(entry, Instant::now()) {
            self.cold.outbox.push(&entry.incarnation());
        }
    }

    /// What is known of the cold times of `servers`.
    fn cold_times(&self, servers: Vec<ServerIncarnation>) -> Vec<ColdNotice> {
        let now = Instant::now();
        let mut pool = self.servers.borrow_mut();
        let times = servers.into_iter().filter_map(|server| {
            let process = pool.known_process(&server);
            let remaining = process.limit.borrow().cold.tracker.remaining(now)?;
            Some(ColdNotice { server, remaining })
        });
        times.collect()
    }
}

/// Sends notices, exchanges cold times, observes who may lend and publishes the levels
/// until the runtime stops.
pub async fn run<D: WireFormat>(state: Rc<TrafficState<D>>) {
    let outbox = &state.cold.outbox;
    let mut next_exchange = tokio::time::Instant::now();
    loop {
        tokio::select! {
            () = outbox.has_changed.notified() => {}
            () = tokio::time::sleep_until(next_exchange) => {
                let interval = if is_joining(&state) {
                    STARTUP_INTERVAL
                } else {
                    EXCHANGE_INTERVAL
                };
                next_exchange = tokio::time::Instant::now() + interval;
                let now = Instant::now();
                state.observe_lenders(now);
                state.servers.borrow().show_cold_servers(now);
                exchange(&state);
            }
        }
        let notices = state.cold_times(outbox.take());
        if notices.is_empty() {
            continue;
        }
        for contact in state.directory.borrow().contact_addresses() {
            tokio::task::spawn_local(notify(Rc::clone(&state), contact, notices.clone()));
        }
        tokio::time::sleep(NOTICE_PAUSE).await;
        // The outbox may hold more than one notice takes.
        outbox.has_changed.notify_one();
    }
}

/// Whether this process has just started and may have missed notices.
fn is_joining<D: WireFormat>(state: &TrafficState<D>) -> bool {
    state.now() < STARTUP_TIME && !state.cold.outbox.joined.get()
}

/// Exchanges cold times with one contact, if there are any.
fn exchange<D: WireFormat>(state: &Rc<TrafficState<D>>) {
    let notices = state.known_cold();
    if notices.is_empty() && !is_joining(state) {
        return;
    }
    let contact = fastrand::choice(state.directory.borrow().contact_addresses());
    let Some(contact) = contact else {
        return;
    };
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move { send(&state, contact, notices).await });
}

/// Sends a notice to one instance, twice if it does not respond.
async fn notify<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    contact: SocketAddr,
    notices: Vec<ColdNotice>,
) {
    if send(&state, contact, notices.clone()).await {
        return;
    }
    tokio::time::sleep(RESEND_PAUSE).await;
    // The times that remain are shorter now.
    let servers = notices.into_iter().map(|notice| notice.server);
    let notices = state.cold_times(servers.collect());
    send(&state, contact, notices).await;
}

/// Sends cold times to one instance and merges its response; returns false without
/// one.
async fn send<D: WireFormat>(
    state: &TrafficState<D>,
    contact: SocketAddr,
    notices: Vec<ColdNotice>,
) -> bool {
    let Some(link) = state.link.borrow().clone() else {
        return false;
    };
    let Some(newer) = peers::exchange_cold(&link, contact, notices).await else {
        return false;
    };
    state.cold.outbox.joined.set(true);
    for notice in &newer {
        state.merge_cold(notice);
    }
    true
}
