//! Guards that end a request's reservation and idempotency claim on every path, caller disconnects included.

use std::sync::Arc;
use std::time::Duration;

use guava_core::codes::Code;
use guava_core::ids::{OrganisationName, RequestId};
use guava_core::units::Millis;
use tokio::task::JoinHandle;

use crate::path::{InFlight, Router};
use crate::refusal::Refusal;
use crate::{Claim, ClaimRefusal, IdempotencyRecords, Outcome, Quota, StoredAnswer};

/// Longest time for which an answer is held back until its record is written.
const RECORD_WAIT: Duration = Duration::from_secs(1);
/// Time for which a request waits while no share of its quota has a holder, in milliseconds. After the start of a
/// fleet or the creation of an organisation, routers take the shares within about 1.2 s.
const QUOTA_PATIENCE_MS: u64 = 3_000;
const QUOTA_PAUSE: Duration = Duration::from_millis(100);

/// A quota reservation; settled once, when dropped.
#[derive(Debug)]
pub struct Reservation {
    quota: Arc<dyn Quota>,
    request: RequestId,
    used: u64,
    armed: bool,
}

impl Reservation {
    /// Reserves tokens. The guard exists before the call, so that a reservation made by a call that is given up is
    /// settled as well.
    ///
    /// # Errors
    ///
    /// Passes on the refusal.
    pub async fn make(
        router: &Router,
        organisation: &OrganisationName,
        request: &RequestId,
        tokens: u64,
        deadline: Millis,
    ) -> Result<Self, Refusal> {
        let clock = &router.node.clock;
        let patience = deadline.min(clock.now() + QUOTA_PATIENCE_MS);
        let mut guard = Self {
            quota: Arc::clone(&router.quota),
            request: request.clone(),
            used: 0,
            armed: true,
        };
        loop {
            let reserved = router.quota.reserve(organisation, request, tokens, deadline).await;
            let Err(refusal) = reserved else { return Ok(guard) };
            if refusal.code != Code::QuotaUnavailable || clock.now() >= patience {
                guard.armed = false;
                return Err(refusal.into());
            }
            tokio::time::sleep(QUOTA_PAUSE).await;
        }
    }

    /// Sets what the settlement will report.
    pub fn set_used(&mut self, used: u64) {
        self.used = used;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.armed {
            self.quota.settle(&self.request, self.used);
        }
    }
}

/// An idempotency key and the digest of the request that came with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRequest {
    /// Organisation.
    pub organisation: OrganisationName,
    /// Key.
    pub key: String,
    /// Digest.
    pub digest: String,
}

/// Result of a claim.
#[derive(Debug)]
pub enum Claimed {
    /// The request may run.
    Run(ClaimGuard),
    /// The request has run and has this answer.
    Replay(StoredAnswer),
    /// The request may have run.
    Unknown,
}

/// A claim of an idempotency key; its outcome is recorded once.
#[derive(Debug)]
pub struct ClaimGuard {
    records: Arc<dyn IdempotencyRecords>,
    keyed: KeyedRequest,
    attempt: String,
    outcome: Option<Outcome>,
    runtime: tokio::runtime::Handle,
    in_flight: InFlight,
}

impl ClaimGuard {
    /// Claims a key in a task of its own, so that a claim written for a caller that has left is given up again.
    ///
    /// # Errors
    ///
    /// Passes on the refusal.
    pub async fn claim(router: &Router, keyed: KeyedRequest, deadline: Millis) -> Result<Claimed, Refusal> {
        let records = Arc::clone(&router.records);
        let runtime = router.runtime.clone();
        let in_flight = InFlight::new(router);
        let task = router.runtime.spawn(async move {
            let claim = records
                .claim(&keyed.organisation, &keyed.key, &keyed.digest, deadline)
                .await;
            claim.map(|claim| match claim {
                Claim::Replay(answer) => Claimed::Replay(answer),
                Claim::Unknown => Claimed::Unknown,
                Claim::Run { attempt } => Claimed::Run(Self {
                    records,
                    keyed,
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

    /// Sets what is recorded if the guard is dropped.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }

    /// Records the outcome and waits for the record for a limited time.
    pub async fn finish(mut self, outcome: Outcome) {
        self.outcome = None;
        let task = self.record(outcome);
        if tokio::time::timeout(RECORD_WAIT, task).await.is_err() {
            log::debug!("the idempotency record is still being written");
        }
    }

    fn record(&self, outcome: Outcome) -> JoinHandle<()> {
        let records = Arc::clone(&self.records);
        let keyed = self.keyed.clone();
        let attempt = self.attempt.clone();
        let in_flight = self.in_flight.clone();
        self.runtime.spawn(async move {
            records.finish(&keyed.organisation, &keyed.key, &attempt, outcome).await;
            drop(in_flight);
        })
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if let Some(outcome) = self.outcome.take() {
            drop(self.record(outcome));
        }
    }
}
