//! Sends the notes of streams to the instances that hold them.
//!
//! An instance that carries streams may freeze or end before others need their notes, or
//! the store may reject its records. It therefore sends the notes to its witnesses over the
//! peer link, whether the service is mixed or not. A witness publishes what the topic of
//! the notes lacks while the service is mixed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hibiscus_request::stream_versions::StreamBatch;
use hibiscus_request::stream_versions::StreamKey;
use hibiscus_types::ServiceName;
use hibiscus_types::SoftwareVersion;

use crate::notices;
use crate::peers::PeerRequest;
use crate::state::TrafficState;
use crate::stream_versions::StreamTracker;
use crate::stream_versions::group_notes;
use crate::wire_format::WireFormat;

/// Time between two batches to the witnesses. Streams that are complete by then need no
/// note.
const WITNESS_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a witness of a mixed service waits for the topic to have a note.
const PUBLICATION_DELAY: Duration = Duration::from_secs(1);

impl StreamTracker {
    /// Takes the notes for the witnesses, grouped by service and version.
    fn take_unsent(&self) -> Vec<StreamBatch> {
        let unsent = self.unsent.take();
        let unsent = unsent.into_iter();
        group_notes(unsent.map(|(stream, (service, software))| (stream, service, software)))
    }

    /// Holds the notes that an instance sent, at `now`.
    pub fn hold_notes(&self, batches: &[StreamBatch], now: Duration) {
        let mut held = self.held.borrow_mut();
        for batch in batches {
            held.insert(batch, now);
        }
        drop(held);
        self.merge_notes(batches, now);
    }

    /// Publishes the held notes of `service` that arrived at least `delay` ago.
    fn publish_held(&self, service: &ServiceName, delay: Duration, now: Duration) {
        let due = self.held.borrow_mut().take_due(service, delay, now);
        if due.is_empty() {
            return;
        }
        let due = due.into_iter();
        let due = due.map(|(stream, software)| (stream, service.clone(), software));
        self.pending.borrow_mut().extend(due);
        self.has_pending.notify_one();
    }

    /// Publishes all held notes of `service`, which has become mixed at `now`.
    pub(super) fn publish_all_held(&self, service: &ServiceName, now: Duration) {
        self.publish_held(service, Duration::ZERO, now);
    }

    /// Publishes the held notes of mixed services that the topic lacks at `now`.
    pub(super) fn publish_missing(&self, now: Duration) {
        for service in self.mixed.borrow().iter() {
            self.publish_held(service, PUBLICATION_DELAY, now);
        }
    }

    /// Adds the note of a stream that began here to the next batch for the witnesses.
    pub(super) fn queue_for_witnesses(
        &self,
        stream: StreamKey,
        service: &ServiceName,
        software: Option<&SoftwareVersion>,
    ) {
        let note = (service.clone(), software.cloned());
        self.unsent.borrow_mut().insert(stream, note);
        self.has_unsent.notify_one();
    }
}

/// Sends notes of streams to the witnesses until the runtime stops.
pub async fn run<D: WireFormat>(state: Rc<TrafficState<D>>) {
    loop {
        state.streams.has_unsent.notified().await;
        tokio::time::sleep(WITNESS_INTERVAL).await;
        let batches = state.streams.take_unsent();
        if batches.is_empty() {
            continue;
        }
        let notice = Rc::new(PeerRequest::StreamNotes(batches));
        let witnesses = state.directory.borrow().witness_addresses();
        for witness in witnesses {
            tokio::task::spawn_local(send(Rc::clone(&state), witness, Rc::clone(&notice)));
        }
    }
}

async fn send<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    witness: SocketAddr,
    notice: Rc<PeerRequest>,
) {
    // The monitoring of instances logs one that does not respond.
    let _is_recorded = notices::send(&state, witness, &notice).await;
}
