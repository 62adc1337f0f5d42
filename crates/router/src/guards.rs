//! Guards that settle a request's quota reservation and record the outcome of its idempotency claim, however the
//! request ends, including when its caller disconnects.

use std::sync::Arc;
use std::time::Duration;

use guava_core::codes::Code;
use guava_core::ids::{OrganisationName, RequestId};
use guava_core::units::Millis;
use tokio::task::JoinHandle;

use crate::path::{InFlight, Router};
use crate::refusal::Refusal;
use crate::{Claim, ClaimRefusal, IdempotencyRecords, Outcome, Quota, StoredAnswer};

/// Longest time for which an answer is delayed until its idempotency record is written.
const RECORD_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time in milliseconds for which a request waits while no router holds a share of its quota. After the start
/// of a fleet or the creation of an organisation, routers acquire the shares within about 1.2 s.
const QUOTA_WAIT_MS: u64 = 3_000;
const QUOTA_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A quota reservation, settled when dropped.
#[derive(Debug)]
pub struct Reservation {
    quota: Arc<dyn Quota>,
    request: RequestId,
    used_tokens: u64,
    armed: bool,
}

impl Reservation {
    /// Reserves tokens. The guard is created before the call, so that the reservation is settled even if the future is
    /// dropped during the call.
    ///
    /// # Errors
    ///
    /// Fails with the refusal of the quota service.
    pub async fn reserve(
        router: &Router,
        organisation: &OrganisationName,
        request: &RequestId,
        tokens: u64,
        deadline: Millis,
    ) -> Result<Self, Refusal> {
        let clock = &router.node.clock;
        let retry_until = deadline.min(clock.now() + QUOTA_WAIT_MS);
        let mut guard = Self {
            quota: Arc::clone(&router.quota),
            request: request.clone(),
            used_tokens: 0,
            armed: true,
        };
        loop {
            let reserved = router.quota.reserve(organisation, request, tokens, deadline).await;
            let Err(refusal) = reserved else { return Ok(guard) };
            if refusal.code != Code::QuotaUnavailable || clock.now() >= retry_until {
                guard.armed = false;
                return Err(refusal.into());
            }
            tokio::time::sleep(QUOTA_RETRY_INTERVAL).await;
        }
    }

    /// Sets the number of used tokens to report when the reservation is settled; 0 initially.
    pub fn set_used_tokens(&mut self, used_tokens: u64) {
        self.used_tokens = used_tokens;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.armed {
            self.quota.settle(&self.request, self.used_tokens);
        }
    }
}

/// An idempotency key with the digest of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotencyKey {
    pub organisation: OrganisationName,
    pub key: String,
    /// SHA-256 in hexadecimal of the request, to detect another request with the same key.
    pub digest: String,
}

/// Result of claiming an idempotency key.
#[derive(Debug)]
pub enum ClaimResult {
    /// The request may be run.
    Run(ClaimGuard),
    /// The request has already run and got this answer.
    Replay(StoredAnswer),
    /// An earlier attempt may have run and its outcome is unknown.
    Unknown,
}

/// A claim on an idempotency key. Its outcome is recorded once: by [`ClaimGuard::finish`], else when the guard is
/// dropped.
#[derive(Debug)]
pub struct ClaimGuard {
    records: Arc<dyn IdempotencyRecords>,
    idempotency_key: IdempotencyKey,
    attempt: String,
    outcome: Option<Outcome>,
    runtime: tokio::runtime::Handle,
    in_flight: InFlight,
}

impl ClaimGuard {
    /// Claims a key. The claim runs in a separate task, so that it is released again if the caller disconnects before
    /// it completes.
    ///
    /// # Errors
    ///
    /// Fails with the refusal of the record service.
    pub async fn claim(
        router: &Router,
        idempotency_key: IdempotencyKey,
        deadline: Millis,
    ) -> Result<ClaimResult, Refusal> {
        let records = Arc::clone(&router.records);
        let runtime = router.runtime.clone();
        let in_flight = InFlight::new(router);
        let task = router.runtime.spawn(async move {
            let claim = records
                .claim(
                    &idempotency_key.organisation,
                    &idempotency_key.key,
                    &idempotency_key.digest,
                    deadline,
                )
                .await;
            claim.map(|claim| match claim {
                Claim::Replay(answer) => ClaimResult::Replay(answer),
                Claim::Unknown => ClaimResult::Unknown,
                Claim::Run { attempt } => ClaimResult::Run(Self {
                    records,
                    idempotency_key,
                    attempt,
                    outcome: Some(Outcome::NotRun),
                    runtime,
                    in_flight,
                }),
            })
        });
        let refused = |ClaimRefusal { code }| Refusal::not_run(code).retry_after_ms(1000);
        task.await
            .unwrap_or(Err(ClaimRefusal { code: Code::Internal }))
            .map_err(refused)
    }

    /// Sets the outcome to record if the guard is dropped; `NotRun` initially.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }

    /// Records the outcome. Returns once the record is written or after `RECORD_WRITE_TIMEOUT`; in the latter case,
    /// writing goes on in the background.
    pub async fn finish(mut self, outcome: Outcome) {
        self.outcome = None;
        let task = self.spawn_record(outcome);
        if tokio::time::timeout(RECORD_WRITE_TIMEOUT, task).await.is_err() {
            log::debug!("idempotency record not written within {RECORD_WRITE_TIMEOUT:?}; writing it in the background");
        }
    }

    fn spawn_record(&self, outcome: Outcome) -> JoinHandle<()> {
        let records = Arc::clone(&self.records);
        let idempotency_key = self.idempotency_key.clone();
        let attempt = self.attempt.clone();
        let in_flight = self.in_flight.clone();
        self.runtime.spawn(async move {
            records
                .finish(&idempotency_key.organisation, &idempotency_key.key, &attempt, outcome)
                .await;
            drop(in_flight);
        })
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome.take() {
            drop(self.spawn_record(outcome));
        }
    }
}
