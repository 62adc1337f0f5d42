//! Reads and writes a pool's plan in the platform's object store.
//!
//! A write is confirmed when the platform answers with success, or when the plan that is read back carries the write's
//! operation id. A write whose outcome is unknown could still take effect later. It is therefore repeated with the same
//! expected version until it is confirmed or another writer's version is found.

use std::sync::Arc;
use std::time::Duration;

use guava_core::config::Kind;
use guava_core::ids::{OperationId, PoolName};
use guava_core::plan::Plan;
use guava_objects::{Expect, ObjectStore, PlatformError};
use quick_error::quick_error;

/// Delay before a write with an unknown outcome is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(50);

quick_error! {
    /// Failure to read or write a plan.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlanStoreError {
        /// Another writer has changed the plan; this write had no effect or was overwritten.
        Conflict {
            display("another writer has changed the plan")
        }
        /// The platform rejected a read or write, or could not be reached. No write took effect.
        NotWritten(reason: String) {
            display("read or write failed, nothing was written: {reason}")
        }
        /// The lease was lost before the outcome of the write was known; the write may still take effect.
        Abandoned {
            display("lease lost before the outcome of the write was known")
        }
        /// The stored plan cannot be decoded or is inconsistent.
        Malformed(reason: String) {
            display("stored plan is malformed: {reason}")
        }
    }
}

/// How a write was confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirmation {
    /// The platform answered with success.
    Answered,
    /// The plan that was read back carried the operation id of the write.
    ReadBack,
}

/// Access to the stored plan of one pool.
#[derive(Debug)]
pub struct PlanStore {
    store: Arc<dyn ObjectStore>,
    pool: PoolName,
    /// Version in the platform that the next write replaces; `None` when no plan is stored or none has been read.
    version: Option<u64>,
}

impl PlanStore {
    /// Creates access to the plan of `pool` without reading it; call [`PlanStore::load`] before the first write.
    pub fn new(store: Arc<dyn ObjectStore>, pool: PoolName) -> Self {
        Self {
            store,
            pool,
            version: None,
        }
    }

    /// Reads the plan; `None` when none is stored. The next write replaces exactly the version read.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or the stored plan is malformed.
    pub async fn load(&mut self) -> Result<Option<Plan>, PlanStoreError> {
        let read = self.read().await?;
        self.version = read.as_ref().map(|(_, version)| *version);
        Ok(read.map(|(plan, _)| plan))
    }

    /// Replaces the version that was read or written last with `plan`.
    ///
    /// `operation` must be the newest entry of `plan.writers`. While the outcome is unknown the write is repeated, as
    /// long as `holds_lease` returns true.
    ///
    /// # Errors
    ///
    /// Fails when another writer has changed the plan, when nothing was written, or when the lease is lost while the
    /// outcome is unknown.
    pub async fn write(
        &mut self,
        plan: &Plan,
        operation: &OperationId,
        holds_lease: &(dyn Fn() -> bool + Send + Sync),
    ) -> Result<Confirmation, PlanStoreError> {
        let spec = serde_json::to_value(plan).map_err(|error| PlanStoreError::NotWritten(error.to_string()))?;
        let expect = self.version.map_or(Expect::Absent, Expect::Version);
        let mut outcome_unknown = false;
        loop {
            let result = self
                .store
                .put(Kind::Plan, self.pool.as_str(), &spec, expect, operation)
                .await;
            match result {
                Ok(version) => {
                    self.version = Some(version);
                    return Ok(Confirmation::Answered);
                }
                Err(PlatformError::OutcomeUnknown(_) | PlatformError::Malformed(_)) => outcome_unknown = true,
                Err(PlatformError::Conflict(_)) => {
                    if let Some(resolved) = self.resolve(operation, true).await {
                        return resolved;
                    }
                    outcome_unknown = true;
                }
                Err(error) if !outcome_unknown => return Err(PlanStoreError::NotWritten(error.to_string())),
                Err(_) => {}
            }
            if let Some(resolved) = self.resolve(operation, false).await {
                return resolved;
            }
            if !holds_lease() {
                return Err(PlanStoreError::Abandoned);
            }
            tokio::time::sleep(WRITE_RETRY_DELAY).await;
        }
    }

    /// Reads the plan back after a write with an unknown outcome. `None` when the outcome is still unknown.
    /// `conflicted` says that the platform rejected the last attempt with a version conflict.
    async fn resolve(
        &mut self,
        operation: &OperationId,
        conflicted: bool,
    ) -> Option<Result<Confirmation, PlanStoreError>> {
        let read = self.read().await.ok()?;
        match read {
            Some((plan, version)) if plan.writers.last() == Some(operation) => {
                self.version = Some(version);
                Some(Ok(Confirmation::ReadBack))
            }
            Some((_, version)) if conflicted || Some(version) != self.version => Some(Err(PlanStoreError::Conflict)),
            None if conflicted || self.version.is_some() => Some(Err(PlanStoreError::Conflict)),
            _ => None,
        }
    }

    async fn read(&self) -> Result<Option<(Plan, u64)>, PlanStoreError> {
        let object = self
            .store
            .get(Kind::Plan, self.pool.as_str())
            .await
            .map_err(|error| PlanStoreError::NotWritten(error.to_string()))?;
        let Some(object) = object else {
            return Ok(None);
        };
        let plan: Plan =
            serde_json::from_value(object.spec).map_err(|error| PlanStoreError::Malformed(error.to_string()))?;
        plan.validate()
            .map_err(|error| PlanStoreError::Malformed(error.to_string()))?;
        Ok(Some((plan, object.version)))
    }
}
