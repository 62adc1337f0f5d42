//! Deferred requests (jobs), stored in the platform's object service.
//!
//! Jobs are divided into shards, each with a lease. The router that holds the lease of a shard watches and runs its
//! jobs. The lease only distributes the work; the compare-and-swap on a job's object ensures that one router claims it.

use std::collections::{BTreeMap, HashSet};
use std::sync::{Arc, Weak};
use std::time::Duration;

use async_trait::async_trait;
use guava_core::codes::Code;
use guava_core::config::Kind;
use guava_core::events::Event;
use guava_core::idempotency::MAX_RECORD_BYTES;
use guava_core::ids::{JobId, OperationId, OrganisationName, Role};
use guava_core::jobs::{
    JOB_SHARDS, JobAction, JobRecord, Runner, Stage, is_candidate, next_action, shard_lease, shard_of,
};
use guava_core::quota::RouterIncarnation;
use guava_core::units::Millis;
use guava_node::Node;
use guava_objects::{Change, Expect, PlatformError, StoredObject};
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::stored::{Answer, Request};
use crate::{JobExecutor, JobRequest, JobState, Jobs, Outcome, StoredAnswer};

/// Largest number of jobs that one router runs at the same time.
const MAX_RUNNING: usize = 8;

/// Interval at which unfinished jobs are processed. Also the delay before this router competes for leases again while it
/// holds none, and before it watches jobs again after an error.
const PROCESS_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a watch call of the object service returns even without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which expired jobs are deleted.
const GC_INTERVAL: Duration = Duration::from_mins(10);

/// Largest number of jobs read in one round. It limits the load on the object service while many jobs wait for
/// capacity.
const MAX_READS_PER_ROUND: usize = 16;

/// Largest number of attempts for an idempotent job whose attempts end with an unknown outcome. Without a limit, a
/// request that crashes its backend server would be retried forever.
const MAX_ATTEMPTS: u32 = 5;

/// Delay before an unfinished job is processed again.
const JOB_RETRY_MS: u64 = 5_000;

/// Shortest and longest delay between two attempts to write a stage.
const RETRY_MS: (u64, u64) = (100, 5_000);

/// Attempts to read a new job whose write has an unknown outcome.
const READ_BACK_ATTEMPTS: usize = 10;

type StoredJob = JobRecord<Request, Answer>;

/// Job service of one router.
#[derive(Debug, Clone)]
pub struct JobService {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    node: Node,
    me: RouterIncarnation,
    executor: Arc<dyn JobExecutor>,
    /// Jobs that have not ended, each with the earliest time at which it is processed.
    unfinished: Mutex<BTreeMap<JobId, Millis>>,
    /// Attempts started here whose outcome is not written yet.
    running_attempts: Mutex<HashSet<String>>,
    tasks: Mutex<JoinSet<()>>,
    /// Wakes the task that processes jobs.
    process_signal: Notify,
}

impl JobService {
    /// Starts the tasks that compete for the leases of shards and run the jobs of the shards held.
    ///
    /// Must be called within a tokio runtime. The tasks end when the last clone of the service is dropped.
    pub fn start(node: Node, executor: Arc<dyn JobExecutor>) -> Self {
        let info = node.members.me();
        let me = RouterIncarnation {
            member: info.id.clone(),
            incarnation: info.incarnation,
        };
        let inner = Arc::new(Inner {
            node,
            me,
            executor,
            unfinished: Mutex::default(),
            running_attempts: Mutex::default(),
            tasks: Mutex::default(),
            process_signal: Notify::new(),
        });
        inner.spawn(watch_jobs(Arc::downgrade(&inner)));
        inner.spawn(process_jobs(Arc::downgrade(&inner)));
        inner.spawn(delete_expired(Arc::downgrade(&inner)));
        Self { inner }
    }

    /// Waits until the jobs that run here have ended and their outcomes are written. Must be called after the node's
    /// shutdown has begun, because no job is started from then on.
    pub async fn shutdown(&self) {
        while !self.inner.running_attempts.lock().is_empty() {
            sleep_ms(RETRY_MS.0).await;
        }
    }

    /// Stops all tasks immediately, as a crash would.
    pub fn abort(&self) {
        self.inner.tasks.lock().abort_all();
    }
}

#[async_trait]
impl Jobs for JobService {
    async fn accept(&self, organisation: &OrganisationName, request: JobRequest) -> Result<JobId, Code> {
        let inner = &self.inner;
        let number: u128 = rand::rng().random();
        let job = JobId::new(format!("job-{number:032x}"));
        let record = StoredJob {
            organisation: organisation.clone(),
            request: Request::from(&request),
            idempotent: request.idempotent,
            stage: Stage::Accepted,
            accepted_ms: inner.node.clock.wall_ms(),
            ended_ms: None,
            fetched: false,
            attempts: 0,
        };
        if encoded_size(&record) > MAX_RECORD_BYTES {
            return Err(Code::BodyTooLarge);
        }
        match inner.write(&job, &record, Expect::Absent, job.as_str()).await {
            Ok(_) => {}
            Err(PlatformError::OutcomeUnknown(_) | PlatformError::Malformed(_)) => inner.read_back(&job).await?,
            Err(_) => return Err(Code::JobNotAccepted),
        }
        inner
            .node
            .timeline
            .record(Event::JobAccepted, Some(job.as_str()), None, "");
        if inner.holds_shard(&job) {
            inner.track(&job);
        }
        Ok(job)
    }

    async fn state(&self, organisation: &OrganisationName, job: &JobId) -> Result<JobState, Code> {
        let read = self.inner.read(job).await.map_err(|_error| Code::PlatformUnavailable)?;
        let Some((version, record)) = read.filter(|(_, it)| it.organisation == *organisation) else {
            return Err(Code::UnknownJob);
        };
        if record.has_ended() && !record.fetched {
            let fetched = StoredJob {
                fetched: true,
                ..record.clone()
            };
            // If the write fails, the result is only kept longer.
            let _ = self
                .inner
                .write(job, &fetched, Expect::Version(version), "fetched")
                .await;
        }
        Ok(match record.stage {
            Stage::Accepted => JobState::Accepted,
            Stage::Running { .. } => JobState::Running,
            Stage::Done(answer) => JobState::Done(answer.into()),
            Stage::OutcomeUnknown => JobState::OutcomeUnknown,
            Stage::Failed(reason) => JobState::Failed(reason),
        })
    }
}

impl Inner {
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = self.tasks.lock();
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    async fn read(&self, job: &JobId) -> Result<Option<(u64, StoredJob)>, PlatformError> {
        let object = self.node.store.get(Kind::Job, job.as_str()).await?;
        object.map(|it| parse(&it)).transpose()
    }

    async fn write(
        &self,
        job: &JobId,
        record: &StoredJob,
        expect: Expect,
        operation: &str,
    ) -> Result<u64, PlatformError> {
        let spec = serde_json::to_value(record).map_err(|error| PlatformError::Malformed(error.to_string()))?;
        let operation = OperationId::new(operation);
        self.node
            .store
            .put(Kind::Job, job.as_str(), &spec, expect, &operation)
            .await
    }

    /// Checks whether a write with an unknown outcome has created the job. Until the job is found, the write may still
    /// take effect, so the error is `OutcomeUnknown` and not a refusal.
    async fn read_back(&self, job: &JobId) -> Result<(), Code> {
        for _ in 0..READ_BACK_ATTEMPTS {
            if let Ok(Some(_)) = self.read(job).await {
                return Ok(());
            }
            sleep_ms(RETRY_MS.0).await;
        }
        Err(Code::OutcomeUnknown)
    }

    fn track(&self, job: &JobId) {
        self.unfinished.lock().entry(job.clone()).or_default();
        self.process_signal.notify_one();
    }

    fn track_object(&self, object: &StoredObject) {
        let job = JobId::new(&object.name);
        match parse(object) {
            Ok((_, record)) if !record.has_ended() => self.track(&job),
            _ => {
                self.unfinished.lock().remove(&job);
            }
        }
    }

    fn holds_shard(&self, job: &JobId) -> bool {
        self.node.leases.held(&shard_lease(shard_of(job))).is_some()
    }

    fn holds_any_shard(&self) -> bool {
        (0..JOB_SHARDS).any(|it| self.node.leases.held(&shard_lease(it)).is_some())
    }

    fn compete_for_shards(&self) {
        let live = self.node.members.live();
        let routers: Vec<_> = live
            .into_iter()
            .map(|it| it.id)
            .filter(|it| it.role == Role::Router)
            .collect();
        let leases = (0..JOB_SHARDS).map(shard_lease);
        let own_leases = leases.filter(|it| is_candidate(it, &self.me.member, &routers));
        own_leases.for_each(|it| self.node.leases.compete(&it));
    }

    fn due_jobs(&self) -> Vec<JobId> {
        let now = self.node.clock.now();
        let unfinished = self.unfinished.lock();
        let due = unfinished.iter().filter(|(_, not_before)| **not_before <= now);
        due.map(|(job, _)| job.clone()).collect()
    }

    fn postpone(&self, job: &JobId, delay_ms: u64) {
        let retry_at = self.node.clock.now() + delay_ms;
        if let Some(not_before) = self.unfinished.lock().get_mut(job) {
            *not_before = retry_at;
        }
    }

    async fn process_due_jobs(self: &Arc<Self>) {
        let due = self
            .due_jobs()
            .into_iter()
            .filter(|it| self.holds_shard(it))
            .take(MAX_READS_PER_ROUND);
        for job in due {
            self.process(&job).await;
        }
    }

    async fn process(self: &Arc<Self>, job: &JobId) {
        let (version, record) = match self.read(job).await {
            Ok(Some(it)) => it,
            Ok(None) => {
                self.unfinished.lock().remove(job);
                return;
            }
            Err(_) => return self.postpone(job, JOB_RETRY_MS),
        };
        let runner = self.runner_state(&record);
        match next_action(&record.stage, record.idempotent, runner) {
            JobAction::Start => self.start_attempt(job, version, record).await,
            JobAction::Wait => self.postpone(job, JOB_RETRY_MS),
            JobAction::EndUnknown => self.end_with_unknown_outcome(job, version, record).await,
            JobAction::Nothing => {
                self.unfinished.lock().remove(job);
            }
        }
    }

    fn runner_state(&self, record: &StoredJob) -> Runner {
        let Stage::Running { runner, attempt } = &record.stage else {
            return Runner::Alive;
        };
        if self.node.members.has_ended(&runner.member, runner.incarnation) {
            Runner::Ended
        } else if *runner == self.me && !self.running_attempts.lock().contains(attempt) {
            Runner::NeverStarted
        } else {
            Runner::Alive
        }
    }

    async fn start_attempt(self: &Arc<Self>, job: &JobId, version: u64, record: StoredJob) {
        let is_urgent = record.is_urgent(self.node.clock.wall_ms());
        let has_free_slot = self.running_attempts.lock().len() < MAX_RUNNING;
        let is_stopping = *self.node.shutdown.borrow();
        if is_stopping || !has_free_slot || !(is_urgent || self.executor.has_idle_capacity()) {
            return self.postpone(job, JOB_RETRY_MS);
        }
        let number: u64 = rand::rng().random();
        let attempt = format!("{job}-{number:016x}");
        let claimed = StoredJob {
            stage: Stage::Running {
                runner: self.me.clone(),
                attempt: attempt.clone(),
            },
            attempts: record.attempts + 1,
            ..record
        };
        // Added before the write. Otherwise, if the job is read after the write, its attempt would look as if it had
        // never been started.
        self.running_attempts.lock().insert(attempt.clone());
        if self.claim(job, &claimed, version, &attempt).await {
            let inner = Arc::clone(self);
            let job = job.clone();
            self.spawn(async move { inner.execute(job, claimed, attempt).await });
        } else {
            self.running_attempts.lock().remove(&attempt);
            self.postpone(job, RETRY_MS.0);
        }
    }

    /// Writes the claim. If the outcome of the write is unknown, reads the job to find out whether this attempt has
    /// claimed it.
    async fn claim(&self, job: &JobId, claimed: &StoredJob, version: u64, attempt: &str) -> bool {
        match self.write(job, claimed, Expect::Version(version), attempt).await {
            Ok(_) => true,
            Err(PlatformError::OutcomeUnknown(_) | PlatformError::Malformed(_)) => {
                matches!(self.read(job).await, Ok(Some((_, it))) if it.stage == claimed.stage)
            }
            Err(_) => false,
        }
    }

    async fn execute(self: Arc<Self>, job: JobId, record: StoredJob, attempt: String) {
        self.node
            .timeline
            .record(Event::JobStarted, Some(job.as_str()), None, &attempt);
        let request = JobRequest::from(record.request.clone());
        let outcome = self.executor.execute(&record.organisation, &job, &request).await;
        let stage = match outcome {
            Outcome::Answered(answer) => Stage::Done(Answer::from(&answer)),
            Outcome::NotRun => Stage::Accepted,
            Outcome::Unknown if record.idempotent && record.attempts < MAX_ATTEMPTS => Stage::Accepted,
            Outcome::Unknown => Stage::OutcomeUnknown,
        };
        self.postpone(&job, JOB_RETRY_MS);
        self.finish(&job, record, &attempt, stage).await;
        self.running_attempts.lock().remove(&attempt);
        self.process_signal.notify_one();
    }

    /// Writes the stage after an attempt. Retries until the write is confirmed or the attempt no longer owns the job.
    async fn finish(&self, job: &JobId, record: StoredJob, attempt: &str, stage: Stage<Answer>) {
        let event = match &stage {
            Stage::Done(_) => Some(Event::JobFinished),
            Stage::OutcomeUnknown => Some(Event::JobOutcomeUnknown),
            _ => None,
        };
        let claimed_stage = record.stage.clone();
        let next = self.with_stage(record, stage);
        let mut delay_ms = RETRY_MS.0;
        loop {
            match self.read(job).await {
                Ok(Some((version, it))) if it.stage == claimed_stage => {
                    if self.write(job, &next, Expect::Version(version), attempt).await.is_ok() {
                        break;
                    }
                }
                Ok(_) => break,
                Err(_) => {}
            }
            sleep_ms(delay_ms).await;
            delay_ms = (delay_ms * 2).min(RETRY_MS.1);
        }
        if next.has_ended() {
            self.unfinished.lock().remove(job);
        }
        if let Some(event) = event {
            self.node.timeline.record(event, Some(job.as_str()), None, attempt);
        }
    }

    /// Returns the record with a new stage and, if the job has ended, the time of its end. An answer that is too large
    /// to be stored is replaced by an error answer.
    fn with_stage(&self, record: StoredJob, stage: Stage<Answer>) -> StoredJob {
        let next = StoredJob { stage, ..record };
        let ended_ms = next.has_ended().then(|| self.node.clock.wall_ms());
        let next = StoredJob { ended_ms, ..next };
        if encoded_size(&next) <= MAX_RECORD_BYTES {
            return next;
        }
        StoredJob {
            stage: Stage::Done(Answer::from(&too_large_answer())),
            ..next
        }
    }

    async fn end_with_unknown_outcome(&self, job: &JobId, version: u64, record: StoredJob) {
        let next = self.with_stage(record, Stage::OutcomeUnknown);
        if self
            .write(job, &next, Expect::Version(version), "recovery")
            .await
            .is_ok()
        {
            self.unfinished.lock().remove(job);
            self.node
                .timeline
                .record(Event::JobOutcomeUnknown, Some(job.as_str()), None, "runner has ended");
        }
    }

    /// Lists all jobs and then watches their changes until an error occurs or this router holds no shard.
    async fn watch_jobs_once(&self) -> Result<(), PlatformError> {
        let list = self.node.store.list(Kind::Job).await?;
        list.items.iter().for_each(|it| self.track_object(it));
        let mut last_version = list.version;
        while self.holds_any_shard() {
            self.compete_for_shards();
            for change in self.node.store.watch(Kind::Job, last_version, WATCH_TIMEOUT).await? {
                last_version = last_version.max(self.apply_change(&change));
            }
        }
        Ok(())
    }

    /// Applies a change and returns its version.
    fn apply_change(&self, change: &Change) -> u64 {
        match change {
            Change::Put(object) => {
                self.track_object(object);
                object.version
            }
            Change::Deleted { name, version, .. } => {
                self.unfinished.lock().remove(name.as_str());
                *version
            }
        }
    }

    async fn delete_expired_once(&self) {
        if self.node.leases.held(&shard_lease(0)).is_none() {
            return;
        }
        let Ok(list) = self.node.store.list(Kind::Job).await else {
            return;
        };
        for object in &list.items {
            let expired = parse(object).is_ok_and(|(_, it)| it.is_expired(self.node.clock.wall_ms()));
            if expired && self.node.leases.held(&shard_lease(0)).is_some() {
                // A job that has changed meanwhile is not deleted; the next run checks it again.
                let _ = self.node.store.delete(Kind::Job, &object.name, object.version).await;
            }
        }
    }
}

async fn watch_jobs(inner: Weak<Inner>) {
    while let Some(inner) = inner.upgrade() {
        inner.compete_for_shards();
        if inner.holds_any_shard()
            && let Err(error) = inner.watch_jobs_once().await
        {
            log::debug!("cannot watch jobs: {error}");
        }
        drop(inner);
        tokio::time::sleep(PROCESS_INTERVAL).await;
    }
}

async fn process_jobs(inner: Weak<Inner>) {
    while let Some(inner) = inner.upgrade() {
        inner.process_due_jobs().await;
        // With a time limit, so that the task ends soon after the service is dropped.
        let _ = tokio::time::timeout(PROCESS_INTERVAL, inner.process_signal.notified()).await;
    }
}

async fn delete_expired(inner: Weak<Inner>) {
    loop {
        tokio::time::sleep(GC_INTERVAL).await;
        let Some(inner) = inner.upgrade() else {
            return;
        };
        inner.delete_expired_once().await;
    }
}

fn too_large_answer() -> StoredAnswer {
    let code = Code::AnswerTooLarge;
    let body = serde_json::json!({"error": {"code": code.to_string(), "message": code.text()}});
    StoredAnswer {
        status: code.status(),
        content_type: "application/json".to_owned(),
        body: body.to_string().into_bytes(),
    }
}

fn encoded_size(record: &StoredJob) -> usize {
    serde_json::to_vec(record).map_or(usize::MAX, |it| it.len())
}

fn parse(object: &StoredObject) -> Result<(u64, StoredJob), PlatformError> {
    serde_json::from_value(object.spec.clone())
        .map(|record| (object.version, record))
        .map_err(|error| PlatformError::Malformed(error.to_string()))
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
