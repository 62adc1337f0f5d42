//! Idempotency records in the platform's object service.

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

/// Lease of the router that deletes expired records.
const GC_LEASE: &str = "idempotency/gc";

/// Period of the deletion of expired records.
const GC_PERIOD: Duration = Duration::from_mins(10);

/// First and longest pause between two reads of a record that another attempt has claimed.
const POLL_MS: (u64, u64) = (20, 1_000);

/// First and longest pause between two attempts to write an outcome.
const RETRY_MS: (u64, u64) = (100, 5_000);

/// Pause between two looks at what is left to do at a graceful shutdown.
const SHUTDOWN_POLL_MS: u64 = 50;

/// Time for which a claim is tried while the platform does not answer or limits its rate.
const CLAIM_PATIENCE_MS: u64 = 2_000;

/// Reads after an abandoned claim, over about a minute, because its write may still take effect.
const RELEASE_ATTEMPTS: usize = 20;

type StoredRecord = Record<Answer>;

#[derive(Debug, PartialEq, Eq)]
enum Finished {
    Yes,
    /// The record does not exist.
    Missing,
    No,
}

/// Idempotency records of all organisations.
#[derive(Debug, Clone)]
pub struct RecordService {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    node: Node,
    me: RouterIncarnation,
    secret: Vec<u8>,
    /// Versions and records of claims made here, which saves a read when the outcome is written.
    claims: Mutex<HashMap<String, (u64, StoredRecord)>>,
    /// Outcomes that are not written yet.
    unwritten: AtomicUsize,
}

impl RecordService {
    /// Starts the service. `secret` keys the hash of callers' keys and must be the same at all routers.
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
            unwritten: AtomicUsize::new(0),
        });
        tokio::spawn(delete_expired(Arc::downgrade(&inner)));
        Self { inner }
    }

    /// Waits until all outcomes are written. A claim whose outcome is lost with the process stays unknown.
    pub async fn shutdown(&self) {
        while self.inner.unwritten.load(Ordering::SeqCst) > 0 {
            sleep_ms(SHUTDOWN_POLL_MS).await;
        }
    }
}

impl Inner {
    fn attempt_id(&self) -> String {
        let number: u64 = rand::rng().random();
        format!("{}-{}-{number:016x}", self.me.member, self.me.incarnation.0)
    }

    fn claimant(&self, record: &StoredRecord) -> Claimant {
        let life = &record.claimant;
        if self.node.members.has_ended(&life.member, life.incarnation) {
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
        let begun = self.node.clock.now();
        let mut pause = POLL_MS.0;
        loop {
            let now = self.node.clock.now();
            let read = match self.read(name).await {
                Ok(read) => read,
                Err(error) if is_passing(&error) && now < deadline.min(begun + CLAIM_PATIENCE_MS) => {
                    sleep_ms(POLL_MS.0).await;
                    continue;
                }
                Err(_) => return Err(unavailable()),
            };
            let record = read.as_ref().map(|(_, record)| record);
            let claimant = record.map_or(Claimant::Alive, |it| self.claimant(it));
            match decide(record, digest, attempt, claimant) {
                Decision::Create => match self.create(name, digest, attempt, may_exist).await {
                    Ok(()) => return Ok(self.run(attempt)),
                    Err(error) if is_passing(&error) && now < deadline.min(begun + CLAIM_PATIENCE_MS) => {
                        sleep_ms(POLL_MS.0).await;
                    }
                    Err(_) => return Err(unavailable()),
                },
                Decision::Run => {
                    self.claims.lock().extend(read.map(|it| (attempt.to_owned(), it)));
                    return Ok(self.run(attempt));
                }
                Decision::Replay => return Ok(self.replay(read)),
                Decision::Unknown => return Ok(Claim::Unknown),
                Decision::Conflict => return Err(refusal(Code::IdempotencyConflict)),
                // The claimed request may run: the answer must not say that it has not.
                Decision::Wait if now >= deadline => return Ok(Claim::Unknown),
                Decision::Wait => {
                    sleep_ms(pause.min(deadline.since(now)).max(1)).await;
                    pause = (pause * 2).min(POLL_MS.1);
                }
            }
        }
    }

    /// Creates the record; `may_exist` is true afterwards unless the platform has certainly not created it.
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
        let earlier = may_exist.swap(true, Ordering::SeqCst);
        let written = self.write(name, &record, Expect::Absent).await;
        let unknown = matches!(
            written,
            Err(PlatformError::OutcomeUnknown(_) | PlatformError::Malformed(_))
        );
        may_exist.store(earlier || written.is_ok() || unknown, Ordering::SeqCst);
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

    fn run(&self, attempt: &str) -> Claim {
        self.node
            .timeline
            .record(Event::IdempotencyClaimed, None, None, attempt);
        Claim::Run {
            attempt: attempt.to_owned(),
        }
    }

    fn replay(&self, read: Option<(u64, StoredRecord)>) -> Claim {
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

    /// Writes the outcome once.
    async fn finish_once(&self, name: &str, attempt: &str, outcome: &Outcome) -> Finished {
        let known = self.claims.lock().remove(attempt);
        let read = match known {
            Some(known) => Ok(Some(known)),
            None => self.read(name).await,
        };
        let (version, record) = match read {
            Ok(Some(it)) => it,
            Ok(None) => return Finished::Missing,
            Err(_) => return Finished::No,
        };
        if record.attempt != attempt || !matches!(record.state, RecordState::Claimed) {
            return Finished::Yes;
        }
        let written = match outcome {
            Outcome::NotRun => self.node.store.delete(Kind::Idempotency, name, version).await,
            Outcome::Answered(answer) => {
                let record = answered(record, answer);
                self.write(name, &record, Expect::Version(version)).await
            }
            Outcome::Unknown => {
                let state = RecordState::Unknown;
                self.write(name, &Record { state, ..record }, Expect::Version(version))
                    .await
            }
        };
        if written.is_ok() { Finished::Yes } else { Finished::No }
    }

    async fn finish_until_written(self: Arc<Self>, name: String, attempt: String, outcome: Outcome) {
        let mut pause = RETRY_MS.0;
        while self.finish_once(&name, &attempt, &outcome).await == Finished::No {
            sleep_ms(pause).await;
            pause = (pause * 2).min(RETRY_MS.1);
        }
        self.unwritten.fetch_sub(1, Ordering::SeqCst);
    }

    /// Removes the record of a claim that was given up. Its write may take effect later than it is looked for.
    async fn release(self: Arc<Self>, name: String, attempt: String) {
        let mut pause = RETRY_MS.0;
        for _ in 0..RELEASE_ATTEMPTS {
            if self.finish_once(&name, &attempt, &Outcome::NotRun).await == Finished::Yes {
                return;
            }
            sleep_ms(pause).await;
            pause = (pause * 2).min(RETRY_MS.1);
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
                // A record that has changed since fails the condition and is looked at again in the next period.
                let _ = self.node.store.delete(Kind::Idempotency, &object.name, version).await;
            }
        }
    }
}

/// Releases a claim whose caller went away before it had an answer.
struct Unclaimed {
    inner: Arc<Inner>,
    name: String,
    attempt: String,
    may_exist: AtomicBool,
    armed: bool,
}

impl Drop for Unclaimed {
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
        let mut unclaimed = Unclaimed {
            inner: Arc::clone(&self.inner),
            name: record_name(&self.inner.secret, organisation, key),
            attempt: self.inner.attempt_id(),
            may_exist: AtomicBool::new(false),
            armed: true,
        };
        let Unclaimed {
            name,
            attempt,
            may_exist,
            ..
        } = &unclaimed;
        let result = self.inner.claim(name, digest, attempt, deadline, may_exist).await;
        unclaimed.armed = match &result {
            Ok(_) => false,
            Err(refusal) => refusal.code == Code::RecordUnavailable,
        };
        result
    }

    async fn finish(&self, organisation: &OrganisationName, key: &str, attempt: &str, outcome: Outcome) {
        let name = record_name(&self.inner.secret, organisation, key);
        self.inner.unwritten.fetch_add(1, Ordering::SeqCst);
        // A task of its own, so that the outcome is written even if the caller goes away meanwhile.
        let write = Arc::clone(&self.inner).finish_until_written(name, attempt.to_owned(), outcome);
        let task = tokio::spawn(write);
        // Later repeats find the outcome as soon as the platform allows; the caller need not wait for a slow one.
        let _ = tokio::time::timeout(Duration::from_millis(RETRY_MS.0), task).await;
    }
}

fn answered(record: StoredRecord, answer: &StoredAnswer) -> StoredRecord {
    let full = Record {
        state: RecordState::Answered(Answer::from(answer)),
        ..record
    };
    let size = serde_json::to_vec(&full).map_or(usize::MAX, |it| it.len());
    if size <= MAX_RECORD_BYTES {
        return full;
    }
    log::warn!("{}: {}", Code::AnswerTooLarge, Code::AnswerTooLarge.text());
    Record {
        state: RecordState::Unknown,
        ..full
    }
}

async fn delete_expired(inner: std::sync::Weak<Inner>) {
    loop {
        tokio::time::sleep(GC_PERIOD).await;
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

/// Whether the call may succeed or its outcome be read soon.
fn is_passing(error: &PlatformError) -> bool {
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
