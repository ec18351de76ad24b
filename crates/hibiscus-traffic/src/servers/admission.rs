//! Admission of requests to a service whose servers cannot serve all in time.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_routing::admission::AdmissionControl;
use hibiscus_routing::admission::AdmissionRequest;
use hibiscus_routing::admission::Occupancy;
use hibiscus_routing::admission::Verdict;
use hibiscus_types::ServiceName;
use metrics::counter;

use crate::servers::ServerPool;
use crate::servers::choice::ChosenServer;
use crate::servers::choice::NoServer;
use crate::servers::choice::PlacementView;

/// Metric name: requests that were predicted to be late, by what was decided.
pub const ADMISSION_VERDICTS: &str = "hibiscus_admission_verdicts_total";

/// Time without a refusal after which the service has room again.
const CONTENTION_END: Duration = Duration::from_secs(5);

/// Who was admitted to a service.
#[derive(Debug, Default)]
pub(super) struct AdmissionState {
    control: RefCell<AdmissionControl>,
    /// Time of the last refusal since the service had room.
    refused_at: Cell<Option<Instant>>,
    /// Refusals since the service had room.
    refusals: Cell<u64>,
}

impl AdmissionState {
    fn note_refused(&self, service: &ServiceName, now: Instant) {
        if self.refused_at.replace(Some(now)).is_none() {
            event!(EventCode::ContentionBegan, "service={service}");
        }
        self.refusals.set(self.refusals.get() + 1);
    }

    /// Logs when no request was refused for some time.
    pub(super) fn show_end(&self, service: &ServiceName, now: Instant) {
        let last = self.refused_at.get();
        if last.is_some_and(|last| now.saturating_duration_since(last) > CONTENTION_END) {
            self.refused_at.set(None);
            let refusals = self.refusals.take();
            event!(
                EventCode::ContentionEnded,
                "service={service} refused={refusals}"
            );
        }
    }
}

impl ServerPool {
    /// Decides whether the request `id` is sent to `chosen`; returns the urgency with
    /// which it is.
    ///
    /// # Errors
    ///
    /// Fails if no server can complete the request before its deadline.
    pub fn admit(
        &self,
        id: &str,
        request: &AdmissionRequest,
        chosen: &ChosenServer,
        view: &PlacementView<'_>,
    ) -> Result<u8, NoServer> {
        let service = &chosen.server.entry.service;
        let admission = &chosen.server.cost.service.admission;
        let mut control = admission.control.borrow_mut();
        let occupancy = || self.occupancy(service, chosen, view);
        let verdict = control.decide(request, &chosen.outlook, occupancy, view.now);
        if verdict != Verdict::InTime {
            counter!(ADMISSION_VERDICTS, "service" => service.to_string(), "verdict" => verdict.label())
                .increment(1);
        }
        if verdict == Verdict::Underserved {
            return Ok(control.most_urgent(view.now).min(request.urgency));
        }
        if verdict.is_admitted() {
            return Ok(request.urgency);
        }
        admission.note_refused(service, view.now);
        let retry = control.retry_after(request, &chosen.outlook, view.now);
        event!(
            EventCode::RequestTooLate,
            "request={id} service={service} cause={} urgency={} predicted_ms={:.0} time_left_ms={} retry_ms={}",
            verdict.label(),
            request.urgency,
            chosen.outlook.total_ms,
            request.time_left.as_millis(),
            retry.as_millis()
        );
        Err(NoServer::TooLate(retry))
    }

    /// How full the servers of `service` are expected to be.
    fn occupancy(
        &self,
        service: &ServiceName,
        chosen: &ChosenServer,
        view: &PlacementView<'_>,
    ) -> Occupancy {
        let rates = chosen.server.rates(view);
        let mut occupancy = Occupancy {
            taken: 0.0,
            places: 0.0,
            waiting: 0.0,
        };
        for server in self.by_service.get(service).into_iter().flatten() {
            if !server.is_serving() {
                continue;
            }
            let (expected, waiting) = server.expected_load(&rates, view);
            occupancy.taken += expected;
            occupancy.places += f64::from(server.entry.slots);
            occupancy.waiting += waiting;
        }
        occupancy
    }
}
