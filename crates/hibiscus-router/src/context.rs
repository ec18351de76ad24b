//! What all duties of one process share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use hibiscus_clients::log::HttpLog;
use hibiscus_events::EventRecorder;
use hibiscus_peer::PeerLink;
use hibiscus_types::IncarnationId;

use crate::config::ConfigCell;
use crate::holder::sealed::SealedGrants;
use crate::membership::FleetCell;
use crate::servers::ServerTable;
use crate::servers::suspects::SuspectCell;
use crate::servers::watch::CallWatch;
use crate::settings::RouterSettings;

/// Views and handles that every duty may use.
pub struct RouterContext {
    /// The settings.
    pub settings: RouterSettings,
    /// This life of the process.
    pub incarnation: IncarnationId,
    /// The event ring.
    pub events: Arc<EventRecorder>,
    /// The configuration in force.
    pub config: ConfigCell,
    /// The fleet as seen from here.
    pub fleet: FleetCell,
    /// The backend servers as seen from here.
    pub servers: ServerTable,
    /// The calls to servers in progress.
    pub watch: CallWatch,
    /// Requests that stopped a server.
    pub suspects: SuspectCell,
    /// The link to the other instances.
    pub link: PeerLink,
    /// The log service.
    pub log: HttpLog,
    /// Own grants that a witness or the ledger called sealed.
    pub sealed_grants: SealedGrants,
    /// Requests in progress.
    pub in_progress: AtomicU32,
    /// Number of the next attempt at a non-idempotent call.
    pub next_attempt: AtomicU32,
    draining: AtomicBool,
    ended: AtomicBool,
}

/// The shared context.
pub type SharedContext = Arc<RouterContext>;

impl RouterContext {
    /// Joins the parts of a process that starts.
    pub fn new(
        settings: RouterSettings,
        events: Arc<EventRecorder>,
        link: PeerLink,
        log: HttpLog,
    ) -> Self {
        Self {
            settings,
            incarnation: IncarnationId::generate(),
            events,
            config: ConfigCell::default(),
            fleet: FleetCell::default(),
            servers: ServerTable::default(),
            watch: CallWatch::default(),
            suspects: SuspectCell::default(),
            link,
            log,
            sealed_grants: SealedGrants::default(),
            in_progress: AtomicU32::new(0),
            next_attempt: AtomicU32::new(1),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        }
    }

    /// Number of the other instances that take requests.
    pub fn other_instances(&self) -> u32 {
        let count = self.fleet.lock().instances().len();
        u32::try_from(count.saturating_sub(1)).unwrap_or(u32::MAX)
    }

    /// Whether the process takes no new requests.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Lets the process take no new requests.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether the duties must end.
    pub fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Lets the duties end.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}
