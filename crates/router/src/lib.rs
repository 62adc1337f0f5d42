//! The router as a library, so that other programs can embed it.
//!
//! The request path uses the quota, idempotency and job services through the traits in this module.

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

/// Refusal of a quota reservation; nothing was reserved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// `RateExceeded`, `RequestExceedsBurst` or `QuotaUnavailable`.
    pub code: Code,
    /// Time in milliseconds after which a retry may succeed; `None` if there is no estimate.
    pub retry_after_ms: Option<u64>,
    /// Rate of the organisation in tokens per second.
    pub limit: u64,
    /// Remaining tokens of the shares that this router knows of.
    pub remaining: u64,
}

/// Enforces the rate and burst of each organisation across the fleet.
#[async_trait]
pub trait Quota: std::fmt::Debug + Send + Sync {
    /// Reserves tokens for a request, waiting until `deadline` at most. The reservation must be settled with
    /// [`Quota::settle`].
    async fn reserve(
        &self,
        organisation: &OrganisationName,
        request: &RequestId,
        tokens: u64,
        deadline: Millis,
    ) -> Result<(), QuotaRefusal>;

    /// Settles the reservation of a request with the number of tokens it used. Requests without a reservation are
    /// ignored.
    fn settle(&self, request: &RequestId, used: u64);
}

derive_value! {
    /// An answer as idempotency records and jobs store it.
    pub struct StoredAnswer {
        /// HTTP status.
        pub status: u16,
        /// Value of the `content-type` header; the other headers are not stored.
        pub content_type: String,
        /// Response body.
        pub body: Vec<u8>,
    }

    /// Outcome of a request that holds a claim or belongs to a job.
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// The request has run and its complete answer was received.
        Answered(StoredAnswer),
        /// The request has not run. Its claim is released, so that a retry may run.
        NotRun,
        /// The request may have run, but no complete answer was received.
        Unknown,
    }

    /// A request that is stored as a job and run later.
    pub struct JobRequest {
        /// Path and query as received, without the caller's key.
        pub path: String,
        /// HTTP method.
        pub method: String,
        /// Profile that the caller named; `None` selects the model's default.
        pub profile: Option<String>,
        /// Whether the request may run more than once.
        pub idempotent: bool,
        /// Value of the `content-type` header; the other headers are not stored.
        pub content_type: String,
        /// Request body as received.
        pub body: Vec<u8>,
    }

    /// State of a job as reported to callers.
    #[serde(rename_all = "snake_case")]
    pub enum JobState {
        /// Stored but not started.
        Accepted,
        /// An attempt is in progress.
        Running,
        /// Finished with this answer.
        Done(StoredAnswer),
        /// The request may have run and is not retried.
        OutcomeUnknown,
        /// Permanently refused without having run, for this reason.
        Failed(String),
    }
}

/// Result of claiming an idempotency key.
#[derive(Debug, Clone, PartialEq)]
pub enum Claim {
    /// This attempt may run the request and must then be finished with [`IdempotencyRecords::finish`].
    Run {
        /// Identifier of the attempt, to pass to [`IdempotencyRecords::finish`].
        attempt: String,
    },
    /// An earlier request with this key and digest got this answer.
    Replay(StoredAnswer),
    /// The outcome of an earlier request with this key and digest is unknown.
    Unknown,
}

/// Refusal of a claim; the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRefusal {
    /// `IdempotencyConflict`, `InProgress`, `RecordUnavailable` or `InvalidIdempotencyKey`.
    pub code: Code,
}

/// Store of the records that make a non-idempotent request with an idempotency key run at most once.
#[async_trait]
pub trait IdempotencyRecords: std::fmt::Debug + Send + Sync {
    /// Claims a key for a request with the given digest. Waits until `deadline` at most while another request holds the
    /// claim.
    async fn claim(
        &self,
        organisation: &OrganisationName,
        key: &str,
        digest: &str,
        deadline: Millis,
    ) -> Result<Claim, ClaimRefusal>;

    /// Records the outcome of an attempt. If the platform is unavailable, the write is retried in the background.
    async fn finish(&self, organisation: &OrganisationName, key: &str, attempt: &str, outcome: Outcome);
}

/// Store of deferred requests.
#[async_trait]
pub trait Jobs: std::fmt::Debug + Send + Sync {
    /// Stores a job and returns its id once the platform has confirmed the write.
    async fn accept(&self, organisation: &OrganisationName, request: JobRequest) -> Result<JobId, Code>;

    /// Returns the state of a job. Fails with `UnknownJob` if the organisation has no such job.
    async fn state(&self, organisation: &OrganisationName, job: &JobId) -> Result<JobState, Code>;
}

/// Runs the requests of jobs on the same path as those of callers.
#[async_trait]
pub trait JobExecutor: std::fmt::Debug + Send + Sync {
    /// Runs the request of a job to its end. After [`Outcome::NotRun`], the request may be retried later.
    async fn execute(&self, organisation: &OrganisationName, job: &JobId, request: &JobRequest) -> Outcome;

    /// Whether replicas that are already loaded have idle slots for jobs, without making callers wait.
    fn has_idle_capacity(&self) -> bool;
}
