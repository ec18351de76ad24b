//! The catalogue of events; `docs/events.md` holds the same list.

use log::Level;
use serde::Deserialize;
use serde::Serialize;

/// Declares the events: variant, number, level and text.
macro_rules! catalogue {
    ($($variant:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// A kind of event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum EventCode {
            $(#[doc = $text] $variant,)*
        }

        impl EventCode {
            /// All events in order of number.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The number, such as `HS1001`.
            pub const fn number(self) -> &'static str {
                match self { $(Self::$variant => $number,)* }
            }

            /// The log level.
            pub const fn level(self) -> Level {
                match self { $(Self::$variant => Level::$level,)* }
            }

            /// The text.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

catalogue! {
    InstanceStarted = "HS1001", Info, "instance started";
    InstanceStopping = "HS1002", Info, "instance is stopping";
    InstanceStopped = "HS1003", Info, "instance stopped, its incarnation has ended";
    InstanceSilent = "HS1004", Warn, "instance is silent";
    InstanceHeard = "HS1005", Info, "instance is heard again";
    ConfigInForce = "HS2001", Info, "configuration version is in force";
    ConfigUnreadable = "HS2002", Warn, "configuration stream cannot be read";
    GrantObtained = "HS3001", Info, "allowance granted";
    GrantRefused = "HS3002", Warn, "allowance refused";
    GrantSealed = "HS3003", Warn, "grant sealed by this witness";
    LedgerUnreadable = "HS3004", Warn, "ledger stream cannot be read";
    AppendFailed = "HS3005", Warn, "append failed and will be repeated";
    GrantReclaimed = "HS3006", Warn, "reclaim of a grant proposed";
    RecordsHandedOver = "HS3007", Info, "records that the log did not take were handed to other instances";
    RequestAdmitted = "HS4001", Debug, "request admitted";
    RequestOpened = "HS4002", Debug, "open acknowledged";
    RequestDispatched = "HS4003", Debug, "request sent to a server";
    RequestSettled = "HS4004", Debug, "settlement acknowledged";
    RequestRefused = "HS4005", Info, "request refused, not run";
    RequestFailed = "HS4006", Warn, "request failed after it was sent";
    AnswerBegun = "HS4007", Debug, "head of the answer is on its way to the caller";
    OpenWitnessed = "HS4101", Debug, "open acknowledged as witness";
    SettlementWitnessed = "HS4102", Debug, "settlement acknowledged as witness";
    ServerStopped = "HS5001", Warn, "server stopped while it ran a request";
}
