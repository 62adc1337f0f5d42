//! Library part of the router, so that other programs can embed it.
//!
//! The request path talks to quota, idempotency records and jobs through the traits here.

pub mod answer;
pub mod api;
pub mod args;
pub mod config;
mod demand;
pub mod dispatch;
mod executor;
pub mod explain;
pub mod forward;
mod guards;
pub mod idempotency;
pub mod input;
pub mod jobs;
mod listener;
mod metrics;
mod path;
pub mod program;
pub mod quota;
pub mod refusal;
pub mod serve;
mod server;
mod stored;
mod usage;

pub use args::RouterArgs;
pub use serve::{JobsFactory, RouterError, RouterHandle, RouterParts, serve};

use async_trait::async_trait;
use guava_core::codes::Code;
use guava_core::derive_value;
use guava_core::ids::{JobId, OrganisationName, RequestId};
use guava_core::units::Millis;

/// Refusal of a quota reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// `RateExceeded`, `RequestExceedsBurst` or `QuotaUnavailable`.
    pub code: Code,
    /// Time after which a repeat may succeed, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// The organisation's rate in tokens a second.
    pub limit: u64,
    /// Tokens left that this router knows of.
    pub remaining: u64,
}

/// Fleet-wide rate and burst of organisations.
#[async_trait]
pub trait Quota: std::fmt::Debug + Send + Sync {
    /// Reserves tokens for a request.
    async fn reserve(
        &self,
        organisation: &OrganisationName,
        request: &RequestId,
        tokens: u64,
        deadline: Millis,
    ) -> Result<(), QuotaRefusal>;

    /// Settles a reservation by what was used; unknown requests change nothing.
    fn settle(&self, request: &RequestId, used: u64);
}

derive_value! {
    /// A stored answer.
    pub struct StoredAnswer {
        /// HTTP status.
        pub status: u16,
        /// Content type.
        pub content_type: String,
        /// Body.
        pub body: Vec<u8>,
    }

    /// How a claimed request ended.
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// The whole answer arrived.
        Answered(StoredAnswer),
        /// Nothing can have run; the claim is given up and a repeat may run.
        NotRun,
        /// The request may have run.
        Unknown,
    }

    /// A deferred request.
    pub struct JobRequest {
        /// Path and query that the caller used.
        pub path: String,
        /// HTTP method.
        pub method: String,
        /// Profile named by the caller.
        pub profile: Option<String>,
        /// Whether it may run more than once.
        pub idempotent: bool,
        /// Content type.
        pub content_type: String,
        /// Body.
        pub body: Vec<u8>,
    }

    /// State of a job.
    #[serde(rename_all = "snake_case")]
    pub enum JobState {
        /// Stored, not started.
        Accepted,
        /// Being run.
        Running,
        /// Has its answer.
        Done(StoredAnswer),
        /// May have run; never run again.
        OutcomeUnknown,
        /// Refused for good, not run.
        Failed(String),
    }
}

/// Result of claiming an idempotency key.
#[derive(Debug, Clone, PartialEq)]
pub enum Claim {
    /// This attempt may run the request; pass the attempt id to `finish`.
    Run {
        /// Identifier of the attempt.
        attempt: String,
    },
    /// An earlier request with this key has this answer.
    Replay(StoredAnswer),
    /// An earlier request with this key has an unknown outcome.
    Unknown,
}

/// Refusal of a claim; the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRefusal {
    /// `IdempotencyConflict`, `InProgress`, `RecordUnavailable` or `InvalidIdempotencyKey`.
    pub code: Code,
}

/// Records that let a non-idempotent request run at most once.
#[async_trait]
pub trait IdempotencyRecords: std::fmt::Debug + Send + Sync {
    /// Claims a key for a request with the given digest; waits for a running one until `deadline`.
    async fn claim(
        &self,
        organisation: &OrganisationName,
        key: &str,
        digest: &str,
        deadline: Millis,
    ) -> Result<Claim, ClaimRefusal>;

    /// Records how the attempt ended; retries in the background when the platform is down.
    async fn finish(&self, organisation: &OrganisationName, key: &str, attempt: &str, outcome: Outcome);
}

/// Deferred requests.
#[async_trait]
pub trait Jobs: std::fmt::Debug + Send + Sync {
    /// Stores a job and returns its id once the write is confirmed.
    async fn accept(&self, organisation: &OrganisationName, request: JobRequest) -> Result<JobId, Code>;

    /// State of an organisation's job.
    async fn state(&self, organisation: &OrganisationName, job: &JobId) -> Result<JobState, Code>;
}

/// Runs the request of a job on the router's normal path.
#[async_trait]
pub trait JobExecutor: std::fmt::Debug + Send + Sync {
    /// Runs the request to its end. `NotRun` means that it may be tried again later.
    async fn execute(&self, organisation: &OrganisationName, job: &JobId, request: &JobRequest) -> Outcome;

    /// Whether there is idle committed capacity for background work.
    fn has_idle_capacity(&self) -> bool;
}
