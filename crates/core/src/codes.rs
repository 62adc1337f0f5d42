//! Numbered result codes.
//!
//! Every error that a caller or operator receives carries one of these codes. `docs/codes.md` lists the same table, and a
//! test compares the two. Numbers are never reused with another meaning.

use std::fmt;

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $text:literal;)+) => {
        /// A numbered result code.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Code {
            $(#[doc = $text] $name,)+
        }

        impl Code {
            /// All codes in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Number of the code, without the letter `G`.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// HTTP status of responses with the code.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// Message for the caller or operator; the same as in `docs/codes.md`.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)+ }
            }
        }
    };
}

codes! {
    // 10xx: malformed requests.
    MalformedJson = 1001, 400, "The body is not valid JSON.";
    InvalidField = 1002, 400, "A field has the wrong type or an unaccepted value.";
    ConflictingFields = 1003, 400, "Two fields of the request contradict each other.";
    InvalidUtf8 = 1004, 400, "The body or a header is not valid UTF-8.";
    BodyTooLarge = 1005, 413, "The body is larger than the limit.";
    HeadersTooLarge = 1006, 431, "The headers are larger than the limit.";
    BodyTimeout = 1007, 408, "The body did not arrive in time.";
    MissingField = 1008, 400, "A required field is missing.";
    UnknownPath = 1009, 404, "There is nothing at this path.";
    MethodNotAllowed = 1010, 405, "The path does not accept this method.";
    InvalidIdempotencyKey = 1011, 400, "The idempotency key is empty, too long or not printable ASCII.";
    MissingIdempotencyKey = 1012, 400, "The profile or route requires an idempotency key.";
    TruncatedBody = 1013, 400, "The body ended before its announced length.";
    InvalidHeader = 1014, 400, "A header has an unaccepted value.";

    // 11xx: keys and names.
    MissingKey = 1101, 401, "The request carries no key.";
    UnknownKey = 1102, 401, "The key is not known.";
    WithdrawnKey = 1103, 401, "The key has been withdrawn.";
    UnknownModel = 1104, 404, "The model or adapter is not known.";
    UnknownProfile = 1105, 404, "The profile is not known.";
    UnknownRoute = 1106, 404, "The route is not known.";
    UnknownJob = 1107, 404, "The job is not known, has expired or belongs to another organisation.";

    // 12xx: limits and capacity.
    RateExceeded = 1201, 429, "The organisation's rate and burst are used up.";
    RequestExceedsBurst = 1202, 400, "The request alone needs more tokens than the organisation's burst.";
    QueueFull = 1203, 503, "The organisation's queue for this model is full.";
    DeadlineUnreachable = 1204, 503, "The request could not be served before its deadline.";
    DeadlineExceeded = 1205, 504, "The request was not started before its deadline.";
    QuotaUnavailable = 1206, 503, "No holder of the organisation's quota could be reached.";
    NoCapacity = 1207, 503, "No backend server can take the request.";
    HarmfulPrompt = 1208, 503, "The request, or a part of its prompt, crashes backend servers.";
    StreamVersionGone = 1209, 503, "No server of the software version that began the stream is left.";
    StreamOriginUnknown = 1210, 503, "It is not known which software version began the stream.";

    // 13xx: execution.
    BackendFailed = 1301, 502, "The backend server failed before it gave an answer.";
    AnswerCut = 1302, 502, "The backend server stopped in the middle of its answer.";
    OutcomeUnknown = 1303, 502, "The request was sent and its outcome is unknown.";
    TimedOut = 1304, 504, "The request did not finish in time.";
    IdempotencyConflict = 1305, 409, "The idempotency key was used with a different request.";
    InProgress = 1306, 409, "A request with this idempotency key is still running.";
    RecordUnavailable = 1307, 503, "The idempotency record could not be written.";
    JobNotAccepted = 1308, 503, "The job could not be stored and was not accepted.";
    AnswerTooLarge = 1309, 502, "The answer is larger than the limit for stored answers.";
    AnswerMismatch = 1310, 502, "The backend server's answer belongs to another request.";
    RefusedAfterRun = 1311, 502, "The backend server answered with a refusal but does not say that the request has not run.";

    // 14xx: state of the VM.
    Isolated = 1401, 503, "This VM has lost contact with the platform and the other VMs.";
    Stopping = 1402, 503, "This VM is shutting down.";
    Starting = 1403, 503, "This VM has not received its configuration yet.";
    IntakeFull = 1404, 503, "This VM holds too much for its clients, and this one was behind the others.";

    // 30xx: administration.
    InvalidObject = 3001, 422, "The object has faults.";
    UnknownKind = 3002, 404, "The kind is not known.";
    UnknownObject = 3003, 404, "The object does not exist.";
    VersionConflict = 3004, 409, "The object has changed since the given version.";
    AlreadyExists = 3005, 409, "An object of this name exists already.";
    UnknownReference = 3006, 422, "The object names another object that does not exist.";
    StillReferenced = 3007, 409, "Another object names this one.";
    PlatformUnavailable = 3008, 503, "The platform's object service cannot be reached; nothing was written.";
    PlatformOutcomeUnknown = 3009, 504, "The platform did not answer; the write may have taken effect.";
    Unauthorised = 3010, 401, "The operator's token is missing or wrong.";
    MissingVersion = 3011, 428, "The edit must name the version that it replaces.";
    UnknownMember = 3012, 404, "The member is not known or cannot be reached.";

    // 90xx: internal errors.
    Internal = 9001, 500, "An internal error occurred.";
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "G{:04}", self.number())
    }
}

/// Whether a request that ended with an error has run. Reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// No part of the request has run.
    NotRun,
    /// The request may have run.
    OutcomeUnknown,
}
