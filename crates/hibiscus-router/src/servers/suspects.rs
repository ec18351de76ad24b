//! Requests that stopped a server, shared with all instances.
//!
//! A death is told to every instance before the request is tried or answered
//! again, so that its caller finds it known wherever it sends it next; the
//! ledger's first shard keeps it for instances that start later.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_platform::engine::EngineError;
use hibiscus_request::quarantine::BodyFingerprint;
use hibiscus_request::quarantine::RequestSuspicion;
use hibiscus_request::quarantine::ServerDeath;
use hibiscus_request::quarantine::SuspectTable;
use hibiscus_types::UnixMillis;

use crate::context::SharedContext;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Time that a connection to a server that may have stopped may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time that an instance may take to hear of a death.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The suspects, shared by the duties.
#[derive(Default)]
pub struct SuspectCell {
    table: Mutex<SuspectTable>,
}

impl SuspectCell {
    /// Takes a death over.
    pub fn record(&self, death: &ServerDeath) {
        self.lock().record(death);
    }

    /// How a request may run.
    pub fn suspicion(&self, fingerprint: BodyFingerprint) -> RequestSuspicion {
        self.lock().suspicion(fingerprint, UnixMillis::now())
    }

    /// The request ended whole.
    pub fn clear(&self, fingerprint: BodyFingerprint) {
        self.lock().clear(fingerprint);
    }

    fn lock(&self) -> MutexGuard<'_, SuspectTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the server at `address` has stopped: its answer broke off, and it
/// takes no connection any more.
pub fn has_stopped(address: SocketAddr, error: &EngineError) -> bool {
    if !matches!(error, EngineError::Broken | EngineError::Truncated) {
        return false;
    }
    TcpStream::connect_timeout(&address, PROBE_TIMEOUT).is_err()
}

/// Tells every instance of a death.
pub fn report(context: &SharedContext, death: &ServerDeath) {
    context.suspects.record(death);
    let fields = EventFields {
        server: death.server.to_string(),
        detail: format!("fingerprint {:016x}", death.fingerprint.get()),
        ..EventFields::default()
    };
    context.events.record(EventCode::ServerStopped, fields);
    let instances = context.fleet.lock().instances().to_vec();
    let mut pending = Vec::with_capacity(instances.len());
    for instance in &instances {
        if instance.name == context.settings.instance.name {
            continue;
        }
        let request = PeerRequest::ServerDeath(death.clone());
        let Ok(call) = request.start(context, instance.peers, REPORT_TIMEOUT) else {
            continue;
        };
        pending.push(call);
    }
    for call in pending {
        // An instance that does not hear of it now has it from the ledger.
        let _heard = PeerReply::receive(call);
    }
}
