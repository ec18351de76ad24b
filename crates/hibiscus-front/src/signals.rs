//! The thread that waits for signals.

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_traffic::updates::TrafficUpdate;
use hibiscus_traffic::updates::UpdateSender;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Tells the traffic thread of signals until the process ends.
pub(crate) fn run(signals: &mut Signals, updates: &UpdateSender) {
    for signal in signals.forever() {
        if signal == SIGHUP {
            // Nothing of the settings changes while a process runs but what
            // the store tells sooner.
            event!(EventCode::SettingsChanged, "");
            continue;
        }
        event!(EventCode::InstanceStopping, "signal={signal}");
        if updates.blocking_send(TrafficUpdate::Shutdown).is_err() {
            return;
        }
    }
}

/// Registers the signals that the daemon handles.
///
/// # Errors
///
/// Fails when the system refuses a handler.
pub(crate) fn register() -> std::io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGHUP])
}
