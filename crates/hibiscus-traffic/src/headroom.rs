//! Measures the headroom of this instance, tells the other instances, and sheds load
//! while there is none.
//!
//! The decisions are in [`hibiscus_membership::headroom`]; this module feeds them and
//! carries them out. Reports go to one contact after the other, so their bytes do not
//! depend on the size of the fleet.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_membership::headroom::admission::AdmissionControl;
use hibiscus_membership::headroom::gauge::HeadroomGauge;
use hibiscus_membership::headroom::gauge::HeadroomLevel;
use hibiscus_membership::headroom::gauge::HeadroomLimits;
use hibiscus_membership::headroom::gauge::HeadroomSample;
use hibiscus_membership::headroom::reports::HeadroomMessage;
use hibiscus_membership::headroom::shedding::LoadShedder;
use hibiscus_membership::headroom::shedding::SheddingInput;
use http::HeaderValue;
use http::Response;
use http::header;
use metrics::counter;
use metrics::gauge;

use crate::memory_pressure::FULL_REQUEST_LIMIT;
use crate::peers;
use crate::response::LocalReason;
use crate::response::LocalRefusal;
use crate::response_body::ResponseBody;
use crate::state::TrafficState;
use crate::wire_format::WireFormat;

/// Age of the process from which its headroom is measured. Before, it reads the
/// configuration and all servers, which delays its timer without any request.
const FIRST_MEASUREMENT: Duration = Duration::from_secs(3);
/// Least factor of the retry time of a refused request, and its random addition.
const RETRY_SPREAD: (f64, f64) = (0.6, 0.8);

/// The headroom of this instance.
#[derive(Debug)]
pub struct HeadroomKeeper {
    gauge: RefCell<HeadroomGauge>,
    shedder: RefCell<LoadShedder>,
    admission: RefCell<AdmissionControl>,
    /// Share of the memory that is in use.
    memory: Cell<f64>,
    /// Bytes on callers' connections up to the last sample.
    carried: Cell<u64>,
    /// Number of messages sent, which selects the next contact.
    messages: Cell<usize>,
}

impl HeadroomKeeper {
    /// Creates the keeper of an instance that can take `limits`.
    pub fn new(limits: HeadroomLimits) -> Self {
        Self {
            gauge: RefCell::new(HeadroomGauge::new(limits)),
            shedder: RefCell::default(),
            admission: RefCell::default(),
            memory: Cell::default(),
            carried: Cell::default(),
            messages: Cell::default(),
        }
    }

    /// Records that `used` of `memory` bytes are in use.
    pub(crate) fn note_memory(&self, used: usize, memory: usize) {
        self.memory.set(used as f64 / memory.max(1) as f64);
    }

    /// Refuses a share of the requests while ready responses wait, and lets these go out
    /// before an accepted request is served.
    ///
    /// # Errors
    ///
    /// Fails with the time after which the caller may retry.
    pub(crate) async fn admit(&self, in_progress: usize) -> Result<(), LocalRefusal> {
        if !self.admission.borrow().is_refusing() {
            return Ok(());
        }
        if let Some(refusal) = self.refusal(in_progress) {
            return Err(refusal);
        }
        // Tasks of connections that can be written run first.
        tokio::task::yield_now().await;
        Ok(())
    }

    /// Decides whether a new request is refused.
    fn refusal(&self, in_progress: usize) -> Option<LocalRefusal> {
        let mut admission = self.admission.borrow_mut();
        if in_progress <= FULL_REQUEST_LIMIT || admission.admits() {
            return None;
        }
        // Callers that were refused at the same moment must not return at one.
        let spread = RETRY_SPREAD.0 + RETRY_SPREAD.1 * fastrand::f64();
        Some(LocalRefusal {
            reason: LocalReason::InstanceFull,
            recovery: Some(admission.retry().mul_f64(spread)),
        })
    }

    /// Makes `response` close its connection if its caller is to use another instance.
    pub(crate) fn close_some(&self, response: &mut Response<ResponseBody>) {
        if !self.shedder.borrow_mut().take_close() {
            return;
        }
        counter!("hibiscus_caller_connections_shed_total").increment(1);
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }

    /// Publishes the headroom as metrics.
    pub(crate) fn show_levels(&self, short: usize) {
        let held = self.gauge.borrow();
        gauge!("hibiscus_headroom_percent").set(f64::from(held.headroom().percent()));
        gauge!("hibiscus_headroom_load").set(held.load());
        gauge!("hibiscus_admitted_share").set(self.admission.borrow().share());
        gauge!("hibiscus_headroom_short_instances").set(short as f64);
    }
}

/// Measures the headroom, tells the next contact of it, and decides how to shed load.
/// `lateness` is how late the timer was.
pub fn tick<D: WireFormat>(state: &Rc<TrafficState<D>>, lateness: Duration) {
    if state.now() < FIRST_MEASUREMENT {
        return;
    }
    measure(state, lateness);
    update_shedding(state);
    let message = state.directory.borrow_mut().next_headroom();
    let Some(message) = message else {
        return;
    };
    let contacts = state.directory.borrow().contact_addresses();
    let number = state.headroom.messages.get();
    state.headroom.messages.set(number.wrapping_add(1));
    if let Some(contact) = contacts.get(number % contacts.len().max(1)) {
        tokio::task::spawn_local(send(Rc::clone(state), *contact, message));
    }
}

fn measure<D: WireFormat>(state: &TrafficState<D>, lateness: Duration) {
    let keeper = &state.headroom;
    let traffic = state.callers.traffic();
    let sample = HeadroomSample {
        sent: traffic.carried() - keeper.carried.replace(traffic.carried()),
        queued: traffic.queued(),
        lateness,
        connections: state.callers.len(),
        requests: state.in_progress(),
        memory: keeper.memory.get(),
    };
    let mut gauge = keeper.gauge.borrow_mut();
    if gauge.observe(&sample, state.now()) {
        event!(
            EventCode::HeadroomChanged,
            "level={} percent={} load={:.2} delay_ms={} connections={} requests={} memory={:.2}",
            gauge.level().label(),
            gauge.headroom().percent(),
            gauge.load(),
            gauge.delay().as_millis(),
            sample.connections,
            sample.requests,
            sample.memory
        );
    }
    let mut directory = state.directory.borrow_mut();
    directory.note_headroom(gauge.headroom());
}

fn update_shedding<D: WireFormat>(state: &TrafficState<D>) {
    let input = {
        let gauge = state.headroom.gauge.borrow();
        let mut admission = state.headroom.admission.borrow_mut();
        admission.update(gauge.delay());
        SheddingInput {
            level: gauge.level(),
            is_refusing: admission.is_refusing(),
            connections: state.callers.len(),
            has_room_elsewhere: gauge.level() == HeadroomLevel::Full
                && !state.directory.borrow().is_fleet_full(),
        }
    };
    let mut shedder = state.headroom.shedder.borrow_mut();
    if shedder.update(&input, state.now()) {
        event!(
            EventCode::SheddingChanged,
            "stage={} delay_ms={} connections={} room_elsewhere={}",
            shedder.stage().label(),
            state.headroom.gauge.borrow().delay().as_millis(),
            input.connections,
            input.has_room_elsewhere
        );
    }
}

/// Sends a message to one contact. A lost one is made up for by the next report.
async fn send<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    contact: SocketAddr,
    message: HeadroomMessage,
) {
    let link = state.link.borrow().clone();
    let Some(link) = link else {
        return;
    };
    let outcome = if peers::send_headroom(&link, contact, message).await {
        "answered"
    } else {
        "unanswered"
    };
    counter!("hibiscus_headroom_messages_total", "outcome" => outcome).increment(1);
}
