//! Numbered events of a process, kept in a bounded ring and written to the
//! log.
//!
//! [`catalogue`] lists every event with its number, level and text. An
//! [`recorder::EventRecorder`] gives each event the time of a hybrid logical
//! clock, so that the events of all processes merge into one time line in which
//! no effect precedes its cause.

pub mod catalogue;
pub mod logging;
pub mod output;
pub mod recorder;

pub use catalogue::EventCode;
pub use recorder::EVENTS_METRIC;
pub use recorder::EventFields;
pub use recorder::EventRecord;
pub use recorder::EventRecorder;

/// Writes one log line: the number and text of the event, then its fields as
/// `name=value`.
#[macro_export]
macro_rules! event {
    ($code:expr, $($fields:tt)*) => {
        $crate::logging::write($code, format_args!($($fields)*))
    };
}
