//! Numbered log events.
//!
//! Log lines and timeline entries carry these numbers. `docs/events.md` lists the same table, and a test compares the
//! two. Ranges: 1xxx router, 2xxx controller, 3xxx administration, 4xxx process runtime, 5xxx platform, 6xxx engine.

use std::fmt;

use log::Level;

macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)+) => {
        /// A numbered log event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Event {
            $(#[doc = $text] $name,)+
        }

        impl Event {
            /// All events in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Number of the event, without the letter `E`.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// Level at which the event is logged.
            pub const fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)+ }
            }

            /// Text of the event's log line; the same as in `docs/events.md`.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)+ }
            }
        }
    };
}

events! {
    // 1xxx: router.
    RequestAdmitted = 1001, Debug, "A request was admitted.";
    RequestRefused = 1002, Debug, "A request was refused.";
    RequestQueued = 1003, Debug, "A request waits for a replica.";
    RequestSent = 1004, Debug, "A request was sent to a backend server.";
    RequestRetried = 1005, Debug, "An idempotent request is retried on another backend server.";
    RequestFinished = 1006, Debug, "The whole answer was passed on.";
    RequestFailed = 1007, Warn, "A request failed after it was sent.";
    CallerLeft = 1008, Debug, "The caller closed its connection before the answer was complete.";
    QuotaShareTaken = 1010, Info, "This router now holds a quota share.";
    QuotaShareReleased = 1011, Info, "This router handed over a quota share.";
    QuotaGranted = 1012, Debug, "Tokens were granted to another router.";
    QuotaRefused = 1013, Debug, "An organisation's rate and burst are used up.";
    PromptRefused = 1014, Debug, "A request was refused because it, or a part of its prompt, crashes backend servers.";
    StreamNotContinued = 1015, Debug, "A stream cannot go on at the software version that began it.";
    ServerSilent = 1016, Debug, "A backend server that has a request has been silent for longer than usual.";
    ConnectionCut = 1017, Debug, "A caller's connection ended with an error or an incomplete answer.";
    NoServerTakes = 1018, Debug, "No backend server takes a request, because all leave, cannot be reached or have asked this VM for a rest.";
    StartUnconfirmed = 1019, Debug, "The answer of a server was dropped, because the server may have started anew since its entry was received.";
    IdempotencyClaimed = 1020, Debug, "An idempotency record was claimed.";
    IdempotencyReplayed = 1021, Info, "A stored answer was given to a repeated request.";
    RequestNotPlaced = 1022, Debug, "No backend server could take a request in time.";
    NoPlace = 1023, Debug, "A backend server that names a limit has no place for requests of this VM now.";
    HandedOver = 1024, Debug, "A request was handed to another VM, because this one reaches no backend server.";
    JobAccepted = 1030, Info, "A job was stored and accepted.";
    JobStarted = 1031, Info, "A job was started.";
    JobFinished = 1032, Info, "A job has its result.";
    JobOutcomeUnknown = 1033, Warn, "A non-idempotent job ended with an unknown outcome.";

    // 2xxx: controller.
    ReplicaDecided = 2001, Info, "A replica was added to the plan and its memory reserved.";
    LoadOrdered = 2002, Info, "A load order was sent to an engine.";
    ReplicaReady = 2003, Info, "A replica is ready.";
    LoadFailed = 2004, Warn, "A load order failed.";
    UnloadDecided = 2005, Info, "A replica will be unloaded.";
    ReplicaReleased = 2006, Info, "A replica's memory was released.";
    PlanTakenOver = 2007, Info, "This controller now manages a pool.";
    PlanConflict = 2008, Warn, "A plan write conflicted with another writer.";
    ServerLeaving = 2009, Info, "A backend server is leaving.";
    ServerEnded = 2010, Info, "A backend server has ended.";
    DemandReceived = 2011, Debug, "A router reported demand for a model.";

    ServerListed = 2012, Info, "A backend server was registered and takes requests.";
    ServerAvoided = 2013, Warn, "A backend server was marked unhealthy because its requests fail.";
    OrderSent = 2014, Info, "An order was sent to a model engine.";
    OrderFailed = 2015, Warn, "An order to a model engine was refused or not answered.";
    EngineState = 2016, Info, "A model engine reported the models that it holds.";
    CoordinatorChanged = 2017, Info, "The coordinator has changed.";
    AttemptBroken = 2018, Info, "A backend server broke off an attempt.";
    PromptCondemned = 2019, Warn, "A request, or a part of prompts, crashes backend servers and is refused.";
    PromptReleased = 2020, Info, "A request, or a part of prompts, is no longer refused.";
    VersionsChanged = 2021, Info, "The software versions that may begin streams have changed.";
    OriginUnknown = 2022, Info, "The version that began a stream that a caller takes up is unknown.";
    LeavingStated = 2023, Info, "A backend server states in an answer that it leaves.";
    RestStated = 2024, Info, "A backend server has asked this VM for a rest.";
    StatementUnreadable = 2025, Warn, "A header in which a backend server states something could not be read and is ignored.";
    EntryOutdated = 2026, Info, "An entry of a backend server is or may be older than what is known of the server.";
    LimitNamed = 2027, Info, "A backend server names a limit on the requests of all VMs, or names it no more.";
    ServerUnreachable = 2028, Info, "This VM cannot open a connection to a backend server.";
    ServersReached = 2029, Info, "This VM reaches backend servers again.";

    // 3xxx: administration.
    ObjectWritten = 3001, Info, "An operator's change was accepted.";
    ObjectRefused = 3002, Info, "An operator's change was refused.";

    // 4xxx: process runtime.
    ProcessStarted = 4001, Info, "The process has started.";
    ProcessReady = 4002, Info, "The process is ready.";
    ShutdownStarted = 4003, Info, "A graceful shutdown has started.";
    ProcessStopped = 4004, Info, "The process has stopped.";
    MemberUp = 4005, Info, "A member is up.";
    MemberSuspected = 4006, Info, "A member does not answer.";
    MemberDown = 4007, Warn, "A member is down.";
    LeaseAcquired = 4008, Info, "This process acquired a lease.";
    LeaseLost = 4009, Warn, "This process no longer holds a lease.";
    Isolated = 4010, Warn, "This VM has lost contact with the platform and the other VMs.";
    Reconnected = 4011, Info, "This VM is no longer isolated.";
    ConfigApplied = 4012, Debug, "A configuration change was applied.";
    LogLevelChanged = 4013, Info, "The log level was changed.";
    PauseDetected = 4014, Warn, "The process was paused.";
    LeaseReleased = 4015, Info, "This process gave a lease back.";
    SettingsReloaded = 4016, Info, "The settings file was read again.";
    SettingsRefused = 4017, Error, "The settings file is invalid; the current settings are kept.";
    PeerMessageRefused = 4018, Warn, "A message from another process could not be decoded.";
    SourceChanged = 4019, Info, "This process started or stopped watching the platform directly.";
    LinesLeftOut = 4020, Info, "Log lines of one kind were suppressed in the last second.";
    LeaseReissued = 4021, Info, "This process goes on with a lease under a new term.";
    ClientRejected = 4022, Info, "A client was rejected, because a limit on what is held for clients was reached.";

    // 5xxx: platform.
    PlatformUnavailable = 5001, Warn, "The platform's object service does not answer.";
    PlatformAvailable = 5002, Info, "The platform's object service answers again.";
    WriteRecovered = 5003, Info, "A write whose answer was lost was confirmed by reading it back.";
    ConfigUnreadable = 5004, Warn, "A stored configuration could not be parsed; the current one is kept.";
    StoreRestored = 5005, Warn, "The platform's object service was restored from an older copy.";
    EntriesUnreadable = 5006, Warn, "Entries of the platform's object service could not be read and are ignored.";
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{:04}", self.number())
    }
}

derive_value! {
    /// An event in the timeline of a process.
    pub struct EventRecord {
        /// Wall time in milliseconds since the epoch.
        pub wall_ms: u64,
        /// Identifier of the process that recorded the event.
        pub member: String,
        /// Sequence number within the process, since its start.
        pub sequence: u64,
        /// Number of the event, as in [`Event::number`].
        pub event: u16,
        /// Request that the event belongs to, if any.
        pub request: Option<String>,
        /// Model or adapter that the event belongs to, if any.
        pub model: Option<String>,
        /// Further details; must not contain secrets.
        pub detail: String,
    }
}
