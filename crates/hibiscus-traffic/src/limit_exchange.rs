//! Exchanges the limits that servers name with other instances.
//!
//! An instance that observes that a limit begins, ends or changes much notifies its
//! contacts, which forward what is new to them. While limits are in force, a
//! periodic exchange with one contact repairs lost messages. The store is not
//! needed. A process that has just started requests the limits that it missed.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_routing::request_limit::LimitRecord;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::model::ServerIncarnation;
use crate::peers;
use crate::server_limits;
use crate::server_limits::LimitChange;
use crate::server_limits::LimitObservation;
use crate::server_limits::ServerLimit;
use crate::servers::ServerHandle;
use crate::state::TrafficState;
use crate::wire_format::WireFormat;

/// Maximum number of limits in one message: less than 10 KB.
const NOTICE_LIMIT: usize = 100;
/// Pause after a notice, so that changes at the same moment share a message.
const NOTICE_PAUSE: Duration = Duration::from_millis(20);
/// Pause before a notice is resent to an instance that did not respond.
const RESEND_PAUSE: Duration = Duration::from_millis(200);
/// Time between two exchanges with a contact.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between the exchanges of a process that has not had a response yet.
const STARTUP_INTERVAL: Duration = Duration::from_millis(200);
/// Time after its start in which a process requests limits although it knows of
/// none, until it gets a response.
const STARTUP_TIME: Duration = Duration::from_secs(5);
/// Time for which the end of a limit is part of the exchange.
const ENDED_LIMIT_RETENTION: Duration = Duration::from_secs(10);

/// The limit of one server process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The server process.
    pub server: ServerIncarnation,
    /// What is known of its limit.
    pub record: LimitRecord,
}

/// Servers whose limits have changed, for the next notice.
#[derive(Debug, Default)]
pub struct LimitOutbox {
    changed: RefCell<BTreeSet<ServerIncarnation>>,
    has_changed: Notify,
    /// Whether another instance has responded since the start.
    joined: Cell<bool>,
}

impl LimitOutbox {
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
    /// Records what a response of `server` says about its limit.
    pub fn note_limit(&self, server: &ServerHandle, observation: LimitObservation) {
        let mut limit = server.limit().borrow_mut();
        let change = limit.note_response(observation, Instant::now());
        if change == LimitChange::None {
            return;
        }
        self.note_limit_change(&server.entry.incarnation(), &limit, change);
        server.permits_changed().notify_waiters();
    }

    /// Merges what another instance knows of the limit of the process `start`;
    /// returns what is known then.
    pub fn merge_limit(&self, start: &ServerIncarnation, record: LimitRecord) -> LimitRecord {
        let process = self.servers.borrow_mut().known_process(start);
        let mut limit = process.limit.borrow_mut();
        let change = limit.merge(record, Instant::now());
        self.note_limit_change(start, &limit, change);
        if change != LimitChange::None {
            process.permits_changed.notify_waiters();
        }
        limit.record()
    }

    fn note_limit_change(
        &self,
        start: &ServerIncarnation,
        limit: &ServerLimit,
        change: LimitChange,
    ) {
        if change != LimitChange::Material {
            return;
        }
        server_limits::log_change(start, limit);
        self.limit_outbox.push(start);
    }

    /// Merges `notices` of another instance; returns what is newer here.
    pub fn answer_limits(&self, notices: &[LimitNotice]) -> Vec<LimitNotice> {
        self.merge_limits(notices);
        let mut newer = self.known_limits();
        newer.retain(|known| {
            let told = notices.iter().find(|told| told.server == known.server);
            told.is_none_or(|told| known.record.replaces(&told.record))
        });
        newer
    }

    fn merge_limits(&self, notices: &[LimitNotice]) {
        for notice in notices {
            self.merge_limit(&notice.server, notice.record);
        }
    }

    /// The limits in force, and those that ended recently.
    fn known_limits(&self) -> Vec<LimitNotice> {
        let servers = self.servers.borrow();
        let mut notices = Vec::new();
        for (server, limit) in servers.limits() {
            let limit = limit.borrow();
            if limit.limit().is_none() && !limit.has_ended_within(ENDED_LIMIT_RETENTION) {
                continue;
            }
            notices.push(LimitNotice {
                server: server.clone(),
                record: limit.record(),
            });
            if notices.len() == NOTICE_LIMIT {
                break;
            }
        }
        notices
    }

    /// What is known of the limits of `servers`.
    fn limits_of(&self, servers: Vec<ServerIncarnation>) -> Vec<LimitNotice> {
        let mut notices = Vec::with_capacity(servers.len());
        for server in servers {
            let process = self.servers.borrow_mut().known_process(&server);
            let record = process.limit.borrow().record();
            notices.push(LimitNotice { server, record });
        }
        notices
    }
}

/// Sends notices and exchanges limits until the runtime stops.
pub async fn run<D: WireFormat>(state: Rc<TrafficState<D>>) {
    let mut next_exchange = tokio::time::Instant::now();
    loop {
        tokio::select! {
            () = state.limit_outbox.has_changed.notified() => {}
            () = tokio::time::sleep_until(next_exchange) => {
                let interval = if is_joining(&state) {
                    STARTUP_INTERVAL
                } else {
                    EXCHANGE_INTERVAL
                };
                next_exchange = tokio::time::Instant::now() + interval;
                exchange(&state);
            }
        }
        let notices = state.limits_of(state.limit_outbox.take());
        if notices.is_empty() {
            continue;
        }
        for contact in state.directory.borrow().contact_addresses() {
            tokio::task::spawn_local(notify(Rc::clone(&state), contact, notices.clone()));
        }
        tokio::time::sleep(NOTICE_PAUSE).await;
        // The outbox may hold more than one notice takes.
        state.limit_outbox.has_changed.notify_one();
    }
}

/// Whether this process has just started and may have missed limits.
fn is_joining<D: WireFormat>(state: &TrafficState<D>) -> bool {
    state.now() < STARTUP_TIME && !state.limit_outbox.joined.get()
}

/// Exchanges limits with one contact, if there are any.
fn exchange<D: WireFormat>(state: &Rc<TrafficState<D>>) {
    let notices = state.known_limits();
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
    notices: Vec<LimitNotice>,
) {
    if send(&state, contact, notices.clone()).await {
        return;
    }
    tokio::time::sleep(RESEND_PAUSE).await;
    send(&state, contact, notices).await;
}

/// Sends limits to one instance and merges its response; returns false without one.
async fn send<D: WireFormat>(
    state: &TrafficState<D>,
    contact: SocketAddr,
    notices: Vec<LimitNotice>,
) -> bool {
    let Some(link) = state.link.borrow().clone() else {
        return false;
    };
    let Some(newer) = peers::exchange_limits(&link, contact, notices).await else {
        return false;
    };
    state.limit_outbox.joined.set(true);
    state.merge_limits(&newer);
    true
}
