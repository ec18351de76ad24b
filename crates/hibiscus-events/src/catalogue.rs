//! The catalogue of events. A test checks that `docs/events.md` holds the same
//! list.

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
            /// All events in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the event number, such as `HS1001`.
            pub const fn number(self) -> &'static str {
                match self { $(Self::$variant => $number,)* }
            }

            /// Returns the log level.
            pub const fn level(self) -> Level {
                match self { $(Self::$variant => Level::$level,)* }
            }

            /// Returns the event text.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

catalogue! {
    InstanceStarted = "HS1001", Info, "instance started";
    InstanceStopping = "HS1002", Info, "instance is stopping";
    InstanceStopped = "HS1003", Info, "instance stopped and its incarnation ended";
    InstanceSilent = "HS1004", Warn, "instance is silent";
    InstanceHeard = "HS1005", Info, "instance responds again";
    ReadinessChanged = "HS1101", Info, "readiness of this instance changed";
    ConnectionNotAccepted = "HS1102", Warn, "connection could not be accepted";
    InstanceWatched = "HS1103", Info, "readiness of a monitored instance was determined";
    UpdateTooLate = "HS1104", Debug, "update was discarded, the traffic thread has ended";
    AnnouncementUnreadable = "HS1105", Warn, "announcement of an instance cannot be decoded";
    AnnouncementNotEncoded = "HS1106", Error, "announcement of this instance could not be encoded";
    AnnouncementRepeated = "HS1107", Warn, "announcement could not be appended and will be retried";
    SettingsChanged = "HS1108", Info, "settings file changed, the settings read at the start stay in force";
    MetricsRunning = "HS1109", Warn, "metrics recorder was already installed";
    BootUnnamed = "HS1110", Warn, "boot ID of the machine cannot be read";
    QuestionUnreadable = "HS1111", Warn, "request of another instance cannot be decoded";
    AnswerNotEncoded = "HS1112", Error, "response to another instance could not be encoded";
    LinesDropped = "HS1113", Warn, "log lines were dropped to limit the volume";
    SlowHeadsEnded = "HS1114", Warn, "connections of callers were closed, their request heads took too long";
    ConnectionsFull = "HS1115", Warn, "connection of a caller was closed, too many are open and none is idle";
    MemoryRelief = "HS1116", Warn, "memory pressure level changed";
    LimitsKnown = "HS1120", Info, "resource limits of the machine were determined";
    LevelsShown = "HS1121", Info, "gauges of the process were sampled";
    MemoryNearLimit = "HS1122", Warn, "memory use is close to the machine's limit";
    ThreadLate = "HS1123", Warn, "traffic thread runs behind schedule";
    RelayChanged = "HS1124", Info, "relay role of this instance or size class of the fleet changed";
    AllowedRegionUnknown = "HS1130", Warn, "configuration allows a region that no data centre is known to be in";
    HeadroomChanged = "HS1131", Info, "headroom of this instance changed";
    SheddingChanged = "HS1132", Warn, "stage of load shedding of this instance changed";
    ConfigInForce = "HS2001", Info, "configuration version is in force";
    ConfigUnreadable = "HS2002", Warn, "configuration cannot be decoded or its stream cannot be read";
    TopicLost = "HS2003", Warn, "topic cannot be read";
    TopicRegained = "HS2004", Info, "topic can be read again";
    RecordWithoutKey = "HS2005", Warn, "record has no key";
    HistoryDropped = "HS2006", Info, "older records have expired";
    ReplyCut = "HS2007", Warn, "response of the store ended before it was complete";
    RouteLeftOut = "HS2008", Error, "route of an unknown kind was left out of the configuration";
    ChangePublished = "HS2009", Info, "configuration delta was published to the other instances";
    ChangeNotPublished = "HS2010", Warn, "configuration delta could not be published";
    ChangeNotApplied = "HS2011", Info, "configuration delta does not apply to the version held";
    ChangeUnreadable = "HS2012", Warn, "configuration delta cannot be decoded";
    ConfigBehind = "HS2013", Info, "newer configuration is read in full, no delta arrived in time";
    StoreEraChanged = "HS2014", Warn, "store came back from a copy, the topic is read again";
    StoreEraInvalid = "HS2015", Warn, "reply of the store names no valid era or an earlier one";
    EndRefused = "HS2016", Info, "store refuses to read from the end of a topic, it is asked at intervals";
    EvacuationBegun = "HS2020", Warn, "evacuation of a data centre is in force, its servers get no requests";
    EvacuationEnded = "HS2021", Warn, "evacuation of a data centre has ended";
    EvacuationUnknown = "HS2022", Warn, "evacuation names a data centre in which no server and no instance is known";
    EvacuationUnreadable = "HS2023", Warn, "record of an evacuation cannot be decoded, the one before stays in force";
    EvacuationRetained = "HS2024", Warn, "evacuation is missing in the copy that the store came back from, or was written again";
    GrantObtained = "HS3001", Info, "allowance was granted";
    GrantRefused = "HS3002", Warn, "allowance was refused";
    GrantSealed = "HS3003", Warn, "grant was sealed by this witness";
    LedgerUnreadable = "HS3004", Warn, "ledger stream cannot be read";
    AppendFailed = "HS3005", Warn, "append failed and will be repeated";
    GrantReclaimed = "HS3006", Warn, "reclaim of a grant was proposed";
    RecordsHandedOver = "HS3007", Info, "records that the log did not accept were sent to other instances";
    AccountUnreadable = "HS3101", Warn, "account record cannot be decoded";
    TokensDrawn = "HS3102", Info, "tokens drawn from a budget";
    AccountNotEncoded = "HS3103", Error, "account records could not be encoded";
    AccountsExpired = "HS3104", Info, "account records have expired, snapshots are used instead";
    AccountClosed = "HS3105", Info, "account of an ended process was closed";
    AccountTooLate = "HS3106", Debug, "account records were appended after the traffic thread had ended";
    TokensShort = "HS3107", Info, "available tokens do not cover the request";
    TokensGiven = "HS3108", Info, "tokens were transferred to another instance";
    TokensNotAnswered = "HS3109", Info, "instance did not respond to a request for tokens";
    TokensNotReturned = "HS3110", Warn, "unused tokens were not returned, the store did not respond in time";
    TimeAgreed = "HS3111", Info, "other machines reported their clock readings";
    SnapshotStale = "HS3112", Error, "snapshot is older than the oldest record, the budget is not used until there is a newer one";
    SnapshotNotWritten = "HS3113", Warn, "snapshots of accounts could not be written";
    SnapshotUnreadable = "HS3114", Error, "snapshot of an account cannot be read";
    TokensPassedOn = "HS3121", Info, "tokens were transferred to an instance that does not hold the budget";
    TokensNotBrought = "HS3122", Warn, "unused tokens may not have been returned to a holder";
    BudgetLevels = "HS3123", Info, "gauges of a budget were sampled";
    AccountsRestored = "HS3124", Warn, "account records that the store had lost were appended again";
    AccountsComplete = "HS3125", Info, "account stream is recorded as complete in this era of the store";
    ClosesDropped = "HS3126", Info, "accounts were not closed, because the store came back from a copy";
    TokensLost = "HS3127", Warn, "free tokens of a budget count as spent, because nobody knows what was drawn before the store came back from a copy";
    HistoryLost = "HS3128", Error, "nobody knows the whole history of a budget, its total counts as spent";
    TokensRefused = "HS3130", Debug, "request of another instance for tokens was refused";
    HoldersNotAsked = "HS3131", Debug, "no holder was asked for tokens, because none can have enough of them yet";
    RequestAdmitted = "HS4001", Debug, "request was admitted";
    RequestOpened = "HS4002", Debug, "open record of the request was acknowledged";
    RequestDispatched = "HS4003", Debug, "request was sent to a server";
    RequestSettled = "HS4004", Debug, "settlement of the request was acknowledged";
    RequestRefused = "HS4005", Info, "request was refused and not run";
    RequestFailed = "HS4006", Warn, "request failed after it was sent";
    AnswerBegun = "HS4007", Debug, "response head is being sent to the caller";
    OpenWitnessed = "HS4101", Debug, "this instance acknowledged an open record as witness";
    SettlementWitnessed = "HS4102", Debug, "this instance acknowledged a settlement as witness";
    AnswerBroken = "HS4201", Warn, "answer broken off before it was complete";
    OwnAnswer = "HS4202", Info, "request answered locally without forwarding";
    RequestForwarded = "HS4203", Debug, "request was forwarded to a server";
    ServerNotReached = "HS4204", Info, "connection to the server failed";
    ServerRefused = "HS4205", Info, "server refused the request";
    ServerFailed = "HS4206", Warn, "server failed while it processed the request";
    RequestEnded = "HS4207", Info, "response was forwarded to the caller";
    CallerLeft = "HS4208", Info, "caller disconnected before the response was complete";
    RequestDropped = "HS4209", Info, "request ended without a response";
    RequestCut = "HS4210", Warn, "connection was closed with a request in progress";
    RequestAtEnd = "HS4211", Warn, "server crashed while it processed the request";
    RequestSuspect = "HS4212", Info, "suspected request is sent to one server only";
    RequestCondemned = "HS4213", Warn, "quarantined request was refused, servers crashed one after the other while they processed it";
    SuspectCleared = "HS4214", Info, "suspected request was answered";
    SuspectLearned = "HS4215", Debug, "crash of a server during a request was reported to this instance";
    SuspectsExpired = "HS4216", Info, "crash reports of suspected requests have expired";
    SuspectsNotStored = "HS4217", Warn, "crash reports could not be appended and will be retried";
    SuspectUnreadable = "HS4218", Warn, "record of a suspected request cannot be decoded";
    SuspectsNotTold = "HS4219", Info, "instance did not respond to reports of crashed and draining servers";
    RequestHeldBack = "HS4220", Info, "request was refused, the servers are at the limits that they name";
    PartCondemned = "HS4221", Warn, "part of prompts is condemned, servers crashed one after the other with it";
    PartRefused = "HS4222", Warn, "request was refused, its prompt has a condemned part";
    PartCleared = "HS4223", Info, "response showed that a part of its prompt does not crash servers";
    PartReleased = "HS4224", Info, "part of prompts is not suspected any more, its record was removed from the topic";
    PartsExpired = "HS4225", Info, "crashes with parts of prompts have expired";
    PartsNotTold = "HS4226", Info, "instance did not respond to reports of prompts at servers that crashed";
    StreamTakenUp = "HS4227", Info, "stream is taken up again at a server";
    TakeUpRefused = "HS4228", Info, "request that takes a stream up was refused, the version that began the stream is not known";
    StreamNotesLost = "HS4229", Warn, "records of software versions and streams could not be queued or appended";
    StreamRecordUnreadable = "HS4230", Warn, "record of software versions or streams cannot be decoded";
    RequestWithdrawn = "HS4231", Info, "request was not sent, its server is in a data centre that is now evacuated";
    PartSuspended = "HS4232", Warn, "part of prompts is suspended, servers crashed one after the other with it while little was answered";
    PartSuspensionRefused = "HS4233", Info, "request was refused for a time, its prompt has a suspended part";
    PartContrastFound = "HS4234", Info, "requests without a suspected part of prompts are answered";
    RequestTooLate = "HS4240", Debug, "request was refused, no server is predicted to complete it in time";
    ContentionBegan = "HS4241", Info, "service cannot serve all requests in time, some are refused";
    ContentionEnded = "HS4242", Info, "service serves all requests again";
    EnginesFull = "HS4243", Info, "request was refused, its tokens fit in no engine's memory";
    ServerStopped = "HS5001", Warn, "server crashed while it processed a request";
    ServerKnown = "HS5101", Info, "server known";
    ServerGone = "HS5102", Info, "server was removed from the registry";
    EntryUnreadable = "HS5103", Info, "entry cannot be decoded as a server";
    ServerEnded = "HS5104", Warn, "server crashed, its port is closed";
    ServerNotEnded = "HS5105", Info, "server broke off connections but has not crashed";
    ServerEndLearned = "HS5106", Info, "another instance reported the crash of a server";
    ServerLeaving = "HS5107", Info, "server is draining and receives no new requests";
    ServerPaused = "HS5108", Info, "server asked for a pause and receives no requests for some time";
    ServerBack = "HS5109", Info, "server accepts requests again after a pause";
    ServerNewsMissing = "HS5111", Info, "server changes are missing, the entries are read in full";
    ServerNewsUnreadable = "HS5112", Warn, "server changes cannot be decoded";
    ServerNewsNotPublished = "HS5113", Warn, "server changes could not be published to the other instances";
    ServerLimited = "HS5114", Info, "server names a request limit";
    ServerUnlimited = "HS5115", Info, "server names no request limit any more";
    LimitLevels = "HS5116", Info, "requests to a server with a limit were counted";
    PermitsNotAnswered = "HS5117", Info, "instance did not respond to a permit request";
    ServiceMixed = "HS5118", Info, "servers of several software versions may have begun streams";
    ServiceUniform = "HS5119", Info, "servers of one software version may have begun streams";
    ServerOtherProcess = "HS5120", Info, "another process of a server responds than the one that wrote its entry";
    ServerCold = "HS5121", Info, "server is cold";
    ServerWarm = "HS5122", Info, "server is no longer cold";
    ColdLevels = "HS5123", Info, "requests to a cold server were counted";
    ColdPermitsNotAnswered = "HS5124", Info, "instance did not respond to a permit request for a cold server";
    ColdTimeInvalid = "HS5125", Warn, "server names an invalid cold time, the previous one remains in force";
    ColdStartInvalid = "HS5126", Warn, "configuration has an invalid cold start, the previous one remains in force";
    ServerSlow = "HS5130", Info, "server takes longer than the others of its service";
    ServerNotSlow = "HS5131", Info, "server takes about as long as the others of its service again";
}
