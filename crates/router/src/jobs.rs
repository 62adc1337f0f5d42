//! Deferred requests in the platform's object service.
//!
//! Routers that hold the lease of a shard follow the jobs and run those of their shards. A lease only divides the
//! work; that a job is claimed once rests on the compare-and-swap of its object.

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

/// Jobs that one router runs at a time.
const MAX_RUNNING: usize = 8;

/// Period in which unfinished jobs are looked at.
const TICK: Duration = Duration::from_secs(1);

/// Longest wait of one watch call.
const WATCH: Duration = Duration::from_secs(10);

/// Period in which expired jobs are deleted.
const GC_PERIOD: Duration = Duration::from_mins(10);

/// Jobs read in one tick, which bounds the load on the platform when many wait for capacity.
const READS_PER_TICK: usize = 16;

/// Attempts of an idempotent job that end with an unknown outcome before it is given up. A request that brings down
/// every backend server would otherwise run for ever.
const MAX_ATTEMPTS: u32 = 5;

/// Pause before a job that was not run is tried again, in milliseconds.
const RETRY_JOB_MS: u64 = 5_000;

/// First and longest pause between two attempts to write a stage.
const RETRY_MS: (u64, u64) = (100, 5_000);

/// Attempts to read back an acceptance or claim whose answer was lost.
const READ_BACK_ATTEMPTS: usize = 10;

type StoredJob = JobRecord<Request, Answer>;

/// Deferred requests at one router.
#[derive(Debug, Clone)]
pub struct JobService {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    node: Node,
    me: RouterIncarnation,
    executor: Arc<dyn JobExecutor>,
    /// Jobs that have not ended, with the time before which they are left alone.
    open: Mutex<BTreeMap<JobId, Millis>>,
    /// Attempts started here whose result is not written yet.
    running: Mutex<HashSet<String>>,
    tasks: Mutex<JoinSet<()>>,
    wake: Notify,
}

impl JobService {
    /// Starts to run jobs of the shards whose lease this router gets.
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
            open: Mutex::default(),
            running: Mutex::default(),
            tasks: Mutex::default(),
            wake: Notify::new(),
        });
        inner.spawn(follow(Arc::downgrade(&inner)));
        inner.spawn(work(Arc::downgrade(&inner)));
        inner.spawn(delete_expired(Arc::downgrade(&inner)));
        Self { inner }
    }

    /// Waits until the jobs that run here have ended and their results are written; no job starts meanwhile, because
    /// the node's shutdown has begun.
    pub async fn shutdown(&self) {
        while !self.inner.running.lock().is_empty() {
            sleep_ms(RETRY_MS.0).await;
        }
    }

    /// Stops all tasks at once, as the end of the process does.
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
        if size_of_record(&record) > MAX_RECORD_BYTES {
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
            inner.note(&job);
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
            // Without the mark the result is merely kept longer.
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

    /// Looks for a job whose acceptance had no answer. While it is not found it may still appear, so the caller is
    /// not told that it was refused.
    async fn read_back(&self, job: &JobId) -> Result<(), Code> {
        for _ in 0..READ_BACK_ATTEMPTS {
            if let Ok(Some(_)) = self.read(job).await {
                return Ok(());
            }
            sleep_ms(RETRY_MS.0).await;
        }
        Err(Code::OutcomeUnknown)
    }

    fn note(&self, job: &JobId) {
        self.open.lock().entry(job.clone()).or_default();
        self.wake.notify_one();
    }

    fn note_object(&self, object: &StoredObject) {
        let job = JobId::new(&object.name);
        match parse(object) {
            Ok((_, record)) if !record.has_ended() => self.note(&job),
            _ => {
                self.open.lock().remove(&job);
            }
        }
    }

    fn holds_shard(&self, job: &JobId) -> bool {
        self.node.leases.held(&shard_lease(shard_of(job))).is_some()
    }

    fn holds_any_shard(&self) -> bool {
        (0..JOB_SHARDS).any(|it| self.node.leases.held(&shard_lease(it)).is_some())
    }

    fn compete(&self) {
        let live = self.node.members.live();
        let routers: Vec<_> = live
            .into_iter()
            .map(|it| it.id)
            .filter(|it| it.role == Role::Router)
            .collect();
        let leases = (0..JOB_SHARDS).map(shard_lease);
        let own = leases.filter(|it| is_candidate(it, &self.me.member, &routers));
        own.for_each(|it| self.node.leases.compete(&it));
    }

    fn due(&self) -> Vec<JobId> {
        let now = self.node.clock.now();
        let open = self.open.lock();
        let due = open.iter().filter(|(_, not_before)| **not_before <= now);
        due.map(|(job, _)| job.clone()).collect()
    }

    fn postpone(&self, job: &JobId, ms: u64) {
        let until = self.node.clock.now() + ms;
        if let Some(not_before) = self.open.lock().get_mut(job) {
            *not_before = until;
        }
    }

    async fn work_once(self: &Arc<Self>) {
        let due = self
            .due()
            .into_iter()
            .filter(|it| self.holds_shard(it))
            .take(READS_PER_TICK);
        for job in due {
            self.handle(&job).await;
        }
    }

    async fn handle(self: &Arc<Self>, job: &JobId) {
        let (version, record) = match self.read(job).await {
            Ok(Some(it)) => it,
            Ok(None) => {
                self.open.lock().remove(job);
                return;
            }
            Err(_) => return self.postpone(job, RETRY_JOB_MS),
        };
        let runner = self.runner(&record);
        match next_action(&record.stage, record.idempotent, runner) {
            JobAction::Start => self.start(job, version, record).await,
            JobAction::Wait => self.postpone(job, RETRY_JOB_MS),
            JobAction::EndUnknown => self.end_unknown(job, version, record).await,
            JobAction::Nothing => {
                self.open.lock().remove(job);
            }
        }
    }

    fn runner(&self, record: &StoredJob) -> Runner {
        let Stage::Running { runner, attempt } = &record.stage else {
            return Runner::Alive;
        };
        if self.node.members.has_ended(&runner.member, runner.incarnation) {
            Runner::Ended
        } else if *runner == self.me && !self.running.lock().contains(attempt) {
            Runner::NeverStarted
        } else {
            Runner::Alive
        }
    }

    async fn start(self: &Arc<Self>, job: &JobId, version: u64, record: StoredJob) {
        let urgent = record.is_urgent(self.node.clock.wall_ms());
        let has_room = self.running.lock().len() < MAX_RUNNING;
        let stopping = *self.node.shutdown.borrow();
        if stopping || !has_room || !(urgent || self.executor.has_idle_capacity()) {
            return self.postpone(job, RETRY_JOB_MS);
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
        // Entered before the write, so that a claim that is read meanwhile does not look like one never started.
        self.running.lock().insert(attempt.clone());
        if self.claim(job, &claimed, version, &attempt).await {
            let inner = Arc::clone(self);
            let job = job.clone();
            self.spawn(async move { inner.execute(job, claimed, attempt).await });
        } else {
            self.running.lock().remove(&attempt);
            self.postpone(job, RETRY_MS.0);
        }
    }

    /// Writes the claim; a lost answer is resolved by reading the attempt id back.
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
        self.postpone(&job, RETRY_JOB_MS);
        self.finish(&job, record, &attempt, stage).await;
        self.running.lock().remove(&attempt);
        self.wake.notify_one();
    }

    /// Writes the stage after an attempt until it is confirmed or the attempt no longer owns the job.
    async fn finish(&self, job: &JobId, record: StoredJob, attempt: &str, stage: Stage<Answer>) {
        let event = match &stage {
            Stage::Done(_) => Some(Event::JobFinished),
            Stage::OutcomeUnknown => Some(Event::JobOutcomeUnknown),
            _ => None,
        };
        let claim = record.stage.clone();
        let next = self.ended(record, stage);
        let mut pause = RETRY_MS.0;
        loop {
            match self.read(job).await {
                Ok(Some((version, it))) if it.stage == claim => {
                    if self.write(job, &next, Expect::Version(version), attempt).await.is_ok() {
                        break;
                    }
                }
                Ok(_) => break,
                Err(_) => {}
            }
            sleep_ms(pause).await;
            pause = (pause * 2).min(RETRY_MS.1);
        }
        if next.has_ended() {
            self.open.lock().remove(job);
        }
        if let Some(event) = event {
            self.node.timeline.record(event, Some(job.as_str()), None, attempt);
        }
    }

    fn ended(&self, record: StoredJob, stage: Stage<Answer>) -> StoredJob {
        let next = StoredJob { stage, ..record };
        let ended_ms = next.has_ended().then(|| self.node.clock.wall_ms());
        let next = StoredJob { ended_ms, ..next };
        if size_of_record(&next) <= MAX_RECORD_BYTES {
            return next;
        }
        StoredJob {
            stage: Stage::Done(Answer::from(&too_large())),
            ..next
        }
    }

    async fn end_unknown(&self, job: &JobId, version: u64, record: StoredJob) {
        let next = self.ended(record, Stage::OutcomeUnknown);
        if self
            .write(job, &next, Expect::Version(version), "recovery")
            .await
            .is_ok()
        {
            self.open.lock().remove(job);
            self.node
                .timeline
                .record(Event::JobOutcomeUnknown, Some(job.as_str()), None, "runner has ended");
        }
    }

    /// Reads all jobs and then their changes, until an error or until no shard is held here.
    async fn follow_once(&self) -> Result<(), PlatformError> {
        let list = self.node.store.list(Kind::Job).await?;
        list.items.iter().for_each(|it| self.note_object(it));
        let mut since = list.version;
        while self.holds_any_shard() {
            self.compete();
            for change in self.node.store.watch(Kind::Job, since, WATCH).await? {
                since = since.max(self.note_change(&change));
            }
        }
        Ok(())
    }

    fn note_change(&self, change: &Change) -> u64 {
        match change {
            Change::Put(object) => {
                self.note_object(object);
                object.version
            }
            Change::Deleted { name, version, .. } => {
                self.open.lock().remove(name.as_str());
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
                // A job that has changed since is looked at again in the next period.
                let _ = self.node.store.delete(Kind::Job, &object.name, object.version).await;
            }
        }
    }
}

async fn follow(inner: Weak<Inner>) {
    while let Some(inner) = inner.upgrade() {
        inner.compete();
        if inner.holds_any_shard()
            && let Err(error) = inner.follow_once().await
        {
            log::debug!("jobs cannot be followed: {error}");
        }
        drop(inner);
        tokio::time::sleep(TICK).await;
    }
}

async fn work(inner: Weak<Inner>) {
    while let Some(inner) = inner.upgrade() {
        inner.work_once().await;
        // Bounded, so that the task ends soon after the service is dropped.
        let _ = tokio::time::timeout(TICK, inner.wake.notified()).await;
    }
}

async fn delete_expired(inner: Weak<Inner>) {
    loop {
        tokio::time::sleep(GC_PERIOD).await;
        let Some(inner) = inner.upgrade() else {
            return;
        };
        inner.delete_expired_once().await;
    }
}

fn too_large() -> StoredAnswer {
    let code = Code::AnswerTooLarge;
    let body = serde_json::json!({"error": {"code": code.to_string(), "message": code.text()}});
    StoredAnswer {
        status: code.status(),
        content_type: "application/json".to_owned(),
        body: body.to_string().into_bytes(),
    }
}

fn size_of_record(record: &StoredJob) -> usize {
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
