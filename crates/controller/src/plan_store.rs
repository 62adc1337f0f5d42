//! Reads and writes of a pool's plan in the platform.
//!
//! A write counts only when the platform has confirmed it or the plan read back carries its operation id. A write with
//! an unknown outcome is repeated under the same condition until one of the two is certain, because it could still
//! take effect later.

use std::sync::Arc;
use std::time::Duration;

use guava_core::config::Kind;
use guava_core::ids::{OperationId, PoolName};
use guava_core::plan::Plan;
use guava_objects::{Expect, ObjectStore, PlatformError};
use quick_error::quick_error;

/// Wait before an unresolved write is read back again.
const RESOLVE_WAIT: Duration = Duration::from_millis(50);

quick_error! {
    /// Failure to read or write a plan.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlanStoreError {
        /// Another writer has changed the plan; the write took no effect or was replaced.
        Conflict {
            display("another writer has changed the plan")
        }
        /// The platform refused or could not be reached; the write took no effect.
        NotWritten(reason: String) {
            display("plan not written: {reason}")
        }
        /// The lease was lost before the outcome was known.
        Abandoned {
            display("lease lost before the outcome of the write was known")
        }
        /// The stored plan cannot be read.
        Malformed(reason: String) {
            display("stored plan cannot be read: {reason}")
        }
    }
}

/// How a write was confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirmed {
    /// By the platform's answer.
    Answered,
    /// By reading the plan back.
    ReadBack,
}

/// The stored plan of one pool.
#[derive(Debug)]
pub struct PlanStore {
    store: Arc<dyn ObjectStore>,
    pool: PoolName,
    version: Option<u64>,
}

impl PlanStore {
    /// The plan of `pool`, not read yet.
    pub fn new(store: Arc<dyn ObjectStore>, pool: PoolName) -> Self {
        Self {
            store,
            pool,
            version: None,
        }
    }

    /// Reads the plan; the next write replaces exactly this version.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or the plan cannot be read.
    pub async fn load(&mut self) -> Result<Option<Plan>, PlanStoreError> {
        let read = self.read().await?;
        self.version = read.as_ref().map(|(_, version)| *version);
        Ok(read.map(|(plan, _)| plan))
    }

    /// Writes a plan in place of the version that was read or written last.
    ///
    /// `may_act` is asked before every repeat; a write whose outcome is unknown is abandoned when it turns false.
    ///
    /// # Errors
    ///
    /// Fails when another writer was first, when nothing was written, or when the outcome stays unknown.
    pub async fn write(
        &mut self,
        plan: &Plan,
        operation: &OperationId,
        may_act: &(dyn Fn() -> bool + Send + Sync),
    ) -> Result<Confirmed, PlanStoreError> {
        let spec = serde_json::to_value(plan).map_err(|error| PlanStoreError::NotWritten(error.to_string()))?;
        let expect = self.version.map_or(Expect::Absent, Expect::Version);
        let mut uncertain = false;
        loop {
            let put = self
                .store
                .put(Kind::Plan, self.pool.as_str(), &spec, expect, operation)
                .await;
            match put {
                Ok(version) => {
                    self.version = Some(version);
                    return Ok(Confirmed::Answered);
                }
                Err(PlatformError::OutcomeUnknown(_) | PlatformError::Malformed(_)) => uncertain = true,
                Err(PlatformError::Conflict(_)) => {
                    if let Some(resolved) = self.resolve(operation, true).await {
                        return resolved;
                    }
                    uncertain = true;
                }
                Err(error) if !uncertain => return Err(PlanStoreError::NotWritten(error.to_string())),
                Err(_) => {}
            }
            if let Some(resolved) = self.resolve(operation, false).await {
                return resolved;
            }
            if !may_act() {
                return Err(PlanStoreError::Abandoned);
            }
            tokio::time::sleep(RESOLVE_WAIT).await;
        }
    }

    /// Reads back after an uncertain write. `None` when the outcome is still unknown.
    async fn resolve(&mut self, operation: &OperationId, conflict: bool) -> Option<Result<Confirmed, PlanStoreError>> {
        let read = self.read().await.ok()?;
        match read {
            Some((plan, version)) if plan.writers.last() == Some(operation) => {
                self.version = Some(version);
                Some(Ok(Confirmed::ReadBack))
            }
            Some((_, version)) if conflict || Some(version) != self.version => Some(Err(PlanStoreError::Conflict)),
            None if conflict || self.version.is_some() => Some(Err(PlanStoreError::Conflict)),
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
