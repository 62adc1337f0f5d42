//! Deferred requests: states, division into shards and recovery.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{JobId, LeaseName, MemberId, OrganisationName};
use crate::quota::RouterIncarnation;

/// Shards into which jobs are divided; each has a lease.
pub const JOB_SHARDS: u64 = 64;

/// Time for which the result of a job is kept after its end, in milliseconds.
pub const RESULT_KEPT_MS: u64 = 24 * 3_600_000;

/// Time after which a result that nobody fetched is deleted, in milliseconds. It bounds the platform's storage when a
/// caller never returns.
pub const UNFETCHED_KEPT_MS: u64 = 7 * RESULT_KEPT_MS;

/// Time for which a job waits for idle capacity, in milliseconds; then it runs beside other work.
pub const PATIENCE_MS: u64 = 3_600_000;

/// Routers that compete for a lease. Two suffice while one ends, and more would load the platform.
pub const LEASE_CANDIDATES: usize = 2;

derive_value! {
    /// Stage of a job.
    #[serde(rename_all = "snake_case")]
    pub enum Stage<A> {
        /// Stored, not started.
        Accepted,
        /// Claimed by a router, which then runs it.
        Running {
            /// Router that runs it.
            runner: RouterIncarnation,
            /// Attempt id.
            attempt: String,
        },
        /// Has its answer.
        Done(A),
        /// May have run; never run again.
        OutcomeUnknown,
        /// Refused for good, not run.
        Failed(String),
    }

    /// A stored job.
    pub struct JobRecord<R, A> {
        /// Organisation it belongs to.
        pub organisation: OrganisationName,
        /// The request.
        pub request: R,
        /// Whether it may run more than once.
        pub idempotent: bool,
        /// Stage.
        pub stage: Stage<A>,
        /// Wall time of acceptance in milliseconds since the epoch.
        pub accepted_ms: u64,
        /// Wall time of the end, once it has ended.
        pub ended_ms: Option<u64>,
        /// Whether the result has been fetched.
        pub fetched: bool,
        /// Attempts started, those that were not run included.
        pub attempts: u32,
    }
}

/// What is known of the router that runs a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Runner {
    /// Not proved to have ended.
    Alive,
    /// Proved to have ended.
    Ended,
    /// This life of this router, which knows that it has not started the attempt.
    NeverStarted,
}

/// What the holder of a shard does about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobAction {
    /// Claim it by compare-and-swap and run it.
    Start,
    /// Leave it to its runner.
    Wait,
    /// Record that its outcome is unknown.
    EndUnknown,
    /// It has ended.
    Nothing,
}

/// Decides on a job.
pub fn next_action<A>(stage: &Stage<A>, idempotent: bool, runner: Runner) -> JobAction {
    match (stage, runner) {
        (Stage::Accepted, _) | (Stage::Running { .. }, Runner::NeverStarted) => JobAction::Start,
        (Stage::Running { .. }, Runner::Alive) => JobAction::Wait,
        (Stage::Running { .. }, Runner::Ended) if idempotent => JobAction::Start,
        (Stage::Running { .. }, Runner::Ended) => JobAction::EndUnknown,
        (Stage::Done(_) | Stage::OutcomeUnknown | Stage::Failed(_), _) => JobAction::Nothing,
    }
}

impl<R, A> JobRecord<R, A> {
    /// Whether the job has ended.
    pub fn has_ended(&self) -> bool {
        matches!(self.stage, Stage::Done(_) | Stage::OutcomeUnknown | Stage::Failed(_))
    }

    /// Whether the job may be deleted at the given wall time.
    pub fn is_expired(&self, wall_ms: u64) -> bool {
        let kept = if self.fetched {
            RESULT_KEPT_MS
        } else {
            UNFETCHED_KEPT_MS
        };
        self.ended_ms.is_some_and(|it| wall_ms.saturating_sub(it) > kept)
    }

    /// Whether the job has waited long enough to run without idle capacity.
    pub fn is_urgent(&self, wall_ms: u64) -> bool {
        wall_ms.saturating_sub(self.accepted_ms) > PATIENCE_MS
    }
}

/// Shard of a job.
pub fn shard_of(job: &JobId) -> u64 {
    xxh3_64(job.as_str().as_bytes()) % JOB_SHARDS
}

/// Lease of a shard.
pub fn shard_lease(shard: u64) -> LeaseName {
    LeaseName::new(format!("jobs/{shard}"))
}

/// Whether a router is among those that compete for a lease.
pub fn is_candidate(lease: &LeaseName, router: &MemberId, live: &[MemberId]) -> bool {
    let weight = |it: &MemberId| xxh3_64(format!("{lease}\n{it}").as_bytes());
    let own = weight(router);
    let ahead = live.iter().filter(|it| *it != router && weight(it) > own).count();
    ahead < LEASE_CANDIDATES
}
