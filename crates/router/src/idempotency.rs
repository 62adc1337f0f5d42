//! Idempotency records, stored in the platform's object service.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use guava_core::codes::Code;
use guava_core::config::Kind;
use guava_core::events::Event;
use guava_core::idempotency::{
    Claimant, Decision, MAX_RECORD_BYTES, Record, RecordState, decide, is_expired, is_key, record_name,
};
use guava_core::ids::{LeaseName, OperationId, OrganisationName, Role};
use guava_core::jobs::is_candidate;
use guava_core::quota::RouterIncarnation;
use guava_core::units::Millis;
use guava_node::Node;
use guava_objects::{Expect, PlatformError, StoredObject};
use parking_lot::Mutex;
use rand::Rng;

use crate::stored::Answer;
use crate::{Claim, ClaimRefusal, IdempotencyRecords, Outcome, StoredAnswer};

/// Lease held by the router that deletes expired records.
const GC_LEASE: &str = "idempotency/gc";

/// Interval at which expired records are deleted.
const GC_INTERVAL: Duration = Duration::from_mins(10);

/// Shortest and longest delay between two reads of a record that another attempt has claimed.
const POLL_MS: (u64, u64) = (20, 1_000);

/// Shortest and longest delay between two attempts to write an outcome.
const RETRY_MS: (u64, u64) = (100, 5_000);

/// Interval at which a graceful shutdown checks for unwritten outcomes.
const SHUTDOWN_POLL_MS: u64 = 50;

/// Time for which a claim is retried after transient errors of the object service.
const CLAIM_RETRY_MS: u64 = 2_000;

/// Attempts to release an abandoned claim, over about a minute, because its write may take effect late.
const RELEASE_ATTEMPTS: usize = 20;

type StoredRecord = Record<Answer>;

#[derive(Debug, PartialEq, Eq)]
enum FinishResult {
    /// The outcome is written, or the record no longer belongs to the attempt.
    Finished,
    /// The record does not exist.
    Missing,
    /// A read or write failed and should be retried.
    Failed,
}

/// Idempotency record service of one router, for all organisations.
#[derive(Debug, Clone)]
pub struct RecordService {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    node: Node,
    me: RouterIncarnation,
    secret: Vec<u8>,
    /// Versions and records of claims made here, by attempt, to avoid a read when the outcome is written.
    claims: Mutex<HashMap<String, (u64, StoredRecord)>>,
    /// Number of outcomes that are not written yet.
    unwritten_outcomes: AtomicUsize,
}

impl RecordService {
    /// Starts the service, with a task that deletes expired records. `secret` is the key for hashing callers' idempotency
    /// keys and must be the same at all routers.
    ///
    /// Must be called within a tokio runtime.
    pub fn start(node: Node, secret: &[u8]) -> Self {
        let info = node.members.me();
        let me = RouterIncarnation {
            member: info.id.clone(),
            incarnation: info.incarnation,
        };
        let inner = Arc::new(Inner {
            node,
            me,
            secret: secret.to_vec(),
            claims: Mutex::default(),
            unwritten_outcomes: AtomicUsize::new(0),
        });
        tokio::spawn(delete_expired(Arc::downgrade(&inner)));
        Self { inner }
    }

    /// Waits until all outcomes are written. If the process ends before, the outcomes that are not written are unknown.
    pub async fn shutdown(&self) {
        while self.inner.unwritten_outcomes.load(Ordering::SeqCst) > 0 {
            sleep_ms(SHUTDOWN_POLL_MS).await;
        }
    }
}

impl Inner {
    fn new_attempt_id(&self) -> String {
        let number: u64 = rand::rng().random();
        format!("{}-{}-{number:016x}", self.me.member, self.me.incarnation.0)
    }

    fn claimant(&self, record: &StoredRecord) -> Claimant {
        let router = &record.claimant;
        if self.node.members.has_ended(&router.member, router.incarnation) {
            Claimant::Ended
        } else {
            Claimant::Alive
        }
    }

    async fn read(&self, name: &str) -> Result<Option<(u64, StoredRecord)>, PlatformError> {
        let object = self.node.store.get(Kind::Idempotency, name).await?;
        object.map(|it| parse(&it)).transpose()
    }

    async fn claim(
        &self,
        name: &str,
        digest: &str,
        attempt: &str,
        deadline: Millis,
        may_exist: &AtomicBool,
    ) -> Result<Claim, ClaimRefusal> {
        let started = self.node.clock.now();
        let mut delay_ms = POLL_MS.0;
        loop {
            let now = self.node.clock.now();
            let read = match self.read(name).await {
                Ok(read) => read,
                Err(error) if is_transient(&error) && now < deadline.min(started + CLAIM_RETRY_MS) => {
                    sleep_ms(POLL_MS.0).await;
                    continue;
                }
                Err(_) => return Err(unavailable()),
            };
            let record = read.as_ref().map(|(_, record)| record);
            let claimant = record.map_or(Claimant::Alive, |it| self.claimant(it));
            match decide(record, digest, attempt, claimant) {
                Decision::Create => match self.create(name, digest, attempt, may_exist).await {
                    Ok(()) => return Ok(self.run_claim(attempt)),
                    Err(error) if is_transient(&error) && now < deadline.min(started + CLAIM_RETRY_MS) => {
                        sleep_ms(POLL_MS.0).await;
                    }
                    Err(_) => return Err(unavailable()),
                },
                Decision::Run => {
                    self.claims.lock().extend(read.map(|it| (attempt.to_owned(), it)));
                    return Ok(self.run_claim(attempt));
                }
                Decision::Replay => return Ok(self.replay_claim(read)),
                Decision::Unknown => return Ok(Claim::Unknown),
                Decision::Conflict => return Err(refusal(Code::IdempotencyConflict)),
                // The attempt that holds the claim may still run, so the caller must not be told that the request has
                // not run.
                Decision::Wait if now >= deadline => return Ok(Claim::Unknown),
                Decision::Wait => {
                    sleep_ms(delay_ms.min(deadline.since(now)).max(1)).await;
                    delay_ms = (delay_ms * 2).min(POLL_MS.1);
                }
            }
        }
    }

    /// Creates the record. Sets `may_exist` unless the object service has certainly not created the record.
    async fn create(
        &self,
        name: &str,
        digest: &str,
        attempt: &str,
        may_exist: &AtomicBool,
    ) -> Result<(), PlatformError> {
        let record = StoredRecord {
            claimant: self.me.clone(),
            attempt: attempt.to_owned(),
            digest: digest.to_owned(),
            state: RecordState::Claimed,
            claimed_ms: self.node.clock.wall_ms(),
        };
        let may_exist_already = may_exist.swap(true, Ordering::SeqCst);
        let written = self.write(name, &record, Expect::Absent).await;
        let outcome_unknown = matches!(
            written,
            Err(PlatformError::OutcomeUnknown(_) | PlatformError::Malformed(_))
        );
        may_exist.store(
            may_exist_already || written.is_ok() || outcome_unknown,
            Ordering::SeqCst,
        );
        self.claims.lock().insert(attempt.to_owned(), (written?, record));
        Ok(())
    }

    async fn write(&self, name: &str, record: &StoredRecord, expect: Expect) -> Result<u64, PlatformError> {
        let spec = serde_json::to_value(record).map_err(|error| PlatformError::Malformed(error.to_string()))?;
        let operation = OperationId::new(&record.attempt);
        self.node
            .store
            .put(Kind::Idempotency, name, &spec, expect, &operation)
            .await
    }

    fn run_claim(&self, attempt: &str) -> Claim {
        self.node
            .timeline
            .record(Event::IdempotencyClaimed, None, None, attempt);
        Claim::Run {
            attempt: attempt.to_owned(),
        }
    }

    fn replay_claim(&self, read: Option<(u64, StoredRecord)>) -> Claim {
        let Some((
            _,
            Record {
                state: RecordState::Answered(answer),
                attempt,
                ..
            },
        )) = read
        else {
            return Claim::Unknown;
        };
        self.node
            .timeline
            .record(Event::IdempotencyReplayed, None, None, &attempt);
        Claim::Replay(answer.into())
    }

    /// Tries once to write the outcome.
    async fn try_finish(&self, name: &str, attempt: &str, outcome: &Outcome) -> FinishResult {
        let cached = self.claims.lock().remove(attempt);
        let read = match cached {
            Some(cached) => Ok(Some(cached)),
            None => self.read(name).await,
        };
        let (version, record) = match read {
            Ok(Some(it)) => it,
            Ok(None) => return FinishResult::Missing,
            Err(_) => return FinishResult::Failed,
        };
        if record.attempt != attempt || !matches!(record.state, RecordState::Claimed) {
            return FinishResult::Finished;
        }
        let written = match outcome {
            Outcome::NotRun => self.node.store.delete(Kind::Idempotency, name, version).await,
            Outcome::Answered(answer) => {
                let record = answered_record(record, answer);
                self.write(name, &record, Expect::Version(version)).await
            }
            Outcome::Unknown => {
                let state = RecordState::Unknown;
                self.write(name, &Record { state, ..record }, Expect::Version(version))
                    .await
            }
        };
        if written.is_ok() {
            FinishResult::Finished
        } else {
            FinishResult::Failed
        }
    }

    async fn finish_until_written(self: Arc<Self>, name: String, attempt: String, outcome: Outcome) {
        let mut delay_ms = RETRY_MS.0;
        while self.try_finish(&name, &attempt, &outcome).await == FinishResult::Failed {
            sleep_ms(delay_ms).await;
            delay_ms = (delay_ms * 2).min(RETRY_MS.1);
        }
        self.unwritten_outcomes.fetch_sub(1, Ordering::SeqCst);
    }

    /// Removes the record of an abandoned claim. Retries on errors and also if the record is missing, because its write
    /// may take effect late.
    async fn release(self: Arc<Self>, name: String, attempt: String) {
        let mut delay_ms = RETRY_MS.0;
        for _ in 0..RELEASE_ATTEMPTS {
            if self.try_finish(&name, &attempt, &Outcome::NotRun).await == FinishResult::Finished {
                return;
            }
            sleep_ms(delay_ms).await;
            delay_ms = (delay_ms * 2).min(RETRY_MS.1);
        }
    }

    async fn delete_expired_once(&self) {
        let lease = LeaseName::new(GC_LEASE);
        let live = self.node.members.live();
        let routers: Vec<_> = live
            .into_iter()
            .map(|it| it.id)
            .filter(|it| it.role == Role::Router)
            .collect();
        if is_candidate(&lease, &self.me.member, &routers) {
            self.node.leases.compete(&lease);
        }
        if self.node.leases.held(&lease).is_none() {
            return;
        }
        let Ok(list) = self.node.store.list(Kind::Idempotency).await else {
            return;
        };
        for object in &list.items {
            let Ok((version, record)) = parse(object) else {
                continue;
            };
            let expired = is_expired(&record, self.node.clock.wall_ms(), self.claimant(&record));
            if expired && self.node.leases.held(&lease).is_some() {
                // A record that has changed meanwhile is not deleted; the next run checks it again.
                let _ = self.node.store.delete(Kind::Idempotency, &object.name, version).await;
            }
        }
    }
}

/// Releases a claim whose record may exist, if the caller stopped waiting for it or it failed.
struct CancelGuard {
    inner: Arc<Inner>,
    name: String,
    attempt: String,
    may_exist: AtomicBool,
    armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.armed && self.may_exist.load(Ordering::SeqCst) {
            let release = Arc::clone(&self.inner).release(self.name.clone(), self.attempt.clone());
            tokio::spawn(release);
        }
    }
}

#[async_trait]
impl IdempotencyRecords for RecordService {
    async fn claim(
        &self,
        organisation: &OrganisationName,
        key: &str,
        digest: &str,
        deadline: Millis,
    ) -> Result<Claim, ClaimRefusal> {
        if !is_key(key) {
            return Err(refusal(Code::InvalidIdempotencyKey));
        }
        let mut guard = CancelGuard {
            inner: Arc::clone(&self.inner),
            name: record_name(&self.inner.secret, organisation, key),
            attempt: self.inner.new_attempt_id(),
            may_exist: AtomicBool::new(false),
            armed: true,
        };
        let CancelGuard {
            name,
            attempt,
            may_exist,
            ..
        } = &guard;
        let result = self.inner.claim(name, digest, attempt, deadline, may_exist).await;
        guard.armed = match &result {
            Ok(_) => false,
            Err(refusal) => refusal.code == Code::RecordUnavailable,
        };
        result
    }

    async fn finish(&self, organisation: &OrganisationName, key: &str, attempt: &str, outcome: Outcome) {
        let name = record_name(&self.inner.secret, organisation, key);
        self.inner.unwritten_outcomes.fetch_add(1, Ordering::SeqCst);
        // A separate task, so that the outcome is written even if this future is dropped.
        let write_outcome = Arc::clone(&self.inner).finish_until_written(name, attempt.to_owned(), outcome);
        let task = tokio::spawn(write_outcome);
        // Waits briefly, so that an immediate retry usually finds the outcome; a slow write does not delay the answer.
        let _ = tokio::time::timeout(Duration::from_millis(RETRY_MS.0), task).await;
    }
}

/// Returns the record with the answer, or with an unknown outcome if the answer is too large to be stored.
fn answered_record(record: StoredRecord, answer: &StoredAnswer) -> StoredRecord {
    let with_answer = Record {
        state: RecordState::Answered(Answer::from(answer)),
        ..record
    };
    let size = serde_json::to_vec(&with_answer).map_or(usize::MAX, |it| it.len());
    if size <= MAX_RECORD_BYTES {
        return with_answer;
    }
    log::warn!("{}: {}", Code::AnswerTooLarge, Code::AnswerTooLarge.text());
    Record {
        state: RecordState::Unknown,
        ..with_answer
    }
}

async fn delete_expired(inner: std::sync::Weak<Inner>) {
    loop {
        tokio::time::sleep(GC_INTERVAL).await;
        let Some(inner) = inner.upgrade() else {
            return;
        };
        inner.delete_expired_once().await;
    }
}

fn parse(object: &StoredObject) -> Result<(u64, StoredRecord), PlatformError> {
    serde_json::from_value(object.spec.clone())
        .map(|record| (object.version, record))
        .map_err(|error| PlatformError::Malformed(error.to_string()))
}

/// Whether the call is worth retrying, or its outcome can be found by reading the record again.
fn is_transient(error: &PlatformError) -> bool {
    matches!(
        error,
        PlatformError::OutcomeUnknown(_) | PlatformError::RateLimited | PlatformError::Conflict(_)
    )
}

fn refusal(code: Code) -> ClaimRefusal {
    ClaimRefusal { code }
}

fn unavailable() -> ClaimRefusal {
    refusal(Code::RecordUnavailable)
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
