//! Deferred requests (jobs): their states, assignment to shards and recovery after a router has ended.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{JobId, LeaseName, MemberId, OrganisationName};
use crate::quota::RouterIncarnation;

/// Number of shards. Each has a lease, and the lease's holder runs the shard's jobs.
pub const JOB_SHARDS: u64 = 64;

/// Time in milliseconds from the end of a job until its result, once fetched, may be deleted.
pub const RESULT_RETENTION_MS: u64 = 24 * 3_600_000;

/// Time in milliseconds from the end of a job until its result may be deleted although it was never fetched. It bounds
/// the storage used on the platform.
pub const UNFETCHED_RETENTION_MS: u64 = 7 * RESULT_RETENTION_MS;

/// Time in milliseconds for which a job waits for idle capacity; then it competes with other requests.
pub const IDLE_CAPACITY_WAIT_MS: u64 = 3_600_000;

/// Number of routers that compete for a lease. A second one takes over when the first ends; more would only load the
/// platform.
pub const LEASE_CANDIDATES: usize = 2;

derive_value! {
    /// Stage of a job. `A` is the type of the stored answer.
    #[serde(rename_all = "snake_case")]
    pub enum Stage<A> {
        /// Stored and not started.
        Accepted,
        /// Claimed by a router; the attempt may have started.
        Running {
            /// Process that claimed the job.
            runner: RouterIncarnation,
            /// Identifier of the attempt.
            attempt: String,
        },
        /// Ended with this answer.
        Done(A),
        /// Ended without a known outcome. The job may have run and is never run again.
        OutcomeUnknown,
        /// Refused for this reason without having run.
        Failed(String),
    }

    /// A stored job. `R` is the type of the request, `A` that of the answer.
    pub struct JobRecord<R, A> {
        /// Organisation that submitted the job and may fetch its result.
        pub organisation: OrganisationName,
        /// Request to run.
        pub request: R,
        /// Whether the request may run more than once.
        pub idempotent: bool,
        /// Progress of the job.
        pub stage: Stage<A>,
        /// Wall time of acceptance in milliseconds since the epoch.
        pub accepted_ms: u64,
        /// Wall time of the end in milliseconds since the epoch; absent until the job has ended.
        pub ended_ms: Option<u64>,
        /// Whether the result has been fetched.
        pub fetched: bool,
        /// Number of claims, including those after which nothing ran.
        pub attempts: u32,
    }
}

/// What is known about the router that claimed a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Runner {
    /// The process has not been proved to have ended.
    Alive,
    /// The process has been proved to have ended.
    Ended,
    /// The claimant is the present process, which has not started the attempt.
    NeverStarted,
}

/// Next action of the holder of a shard's lease for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobAction {
    /// Claim the job by compare-and-swap and run it.
    Start,
    /// Leave the job to the router that claimed it.
    Wait,
    /// Store [`Stage::OutcomeUnknown`].
    EndUnknown,
    /// Do nothing, because the job has ended.
    Nothing,
}

/// Chooses the next action for a job. A job that may have run is started again only when it is idempotent.
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
    /// Whether the job is in a final stage.
    pub fn has_ended(&self) -> bool {
        matches!(self.stage, Stage::Done(_) | Stage::OutcomeUnknown | Stage::Failed(_))
    }

    /// Whether the job may be deleted at the given wall time in milliseconds since the epoch.
    pub fn is_expired(&self, wall_ms: u64) -> bool {
        let retention_ms = if self.fetched {
            RESULT_RETENTION_MS
        } else {
            UNFETCHED_RETENTION_MS
        };
        self.ended_ms
            .is_some_and(|it| wall_ms.saturating_sub(it) > retention_ms)
    }

    /// Whether the job has waited longer than [`IDLE_CAPACITY_WAIT_MS`] and runs without idle capacity.
    pub fn is_urgent(&self, wall_ms: u64) -> bool {
        wall_ms.saturating_sub(self.accepted_ms) > IDLE_CAPACITY_WAIT_MS
    }
}

/// Shard of a job, below [`JOB_SHARDS`].
pub fn shard_of(job: &JobId) -> u64 {
    xxh3_64(job.as_str().as_bytes()) % JOB_SHARDS
}

/// Name of the lease of a shard.
pub fn shard_lease(shard: u64) -> LeaseName {
    LeaseName::new(format!("jobs/{shard}"))
}

/// Whether a router is one of the [`LEASE_CANDIDATES`] of a lease, by rendezvous hashing over the live routers.
pub fn is_candidate(lease: &LeaseName, router: &MemberId, live: &[MemberId]) -> bool {
    let score = |it: &MemberId| xxh3_64(format!("{lease}\n{it}").as_bytes());
    let own = score(router);
    let ahead = live.iter().filter(|it| *it != router && score(it) > own).count();
    ahead < LEASE_CANDIDATES
}
