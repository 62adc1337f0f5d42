//! Writes whose outcome is determined even when an answer is lost.

use guava_core::config::Kind;
use guava_core::ids::OperationId;

use crate::{Expect, ObjectStore, PlatformError};

/// Attempts, the first included, before the outcome of a write is reported as unknown.
const MAX_ATTEMPTS: u32 = 4;

/// Writes an object; when the answer is lost, reads the object back and compares the operation id.
///
/// The write is repeated when the object still has the expected version. Repeats keep the precondition and the
/// operation id, so that at most one attempt takes effect. If another writer replaces this write before it is read
/// back, `Conflict` is returned although the write took effect; the caller reads the object, as after any conflict.
///
/// # Errors
///
/// `OutcomeUnknown` when the answer was lost and reading back or repeating the write failed too. Errors of a first
/// attempt that had no effect are returned as they are.
pub async fn put_with_readback(
    store: &dyn ObjectStore,
    kind: Kind,
    name: &str,
    spec: &serde_json::Value,
    expect: Expect,
    operation: &OperationId,
) -> Result<u64, PlatformError> {
    let mut outcome = store.put(kind, name, spec, expect, operation).await;
    let mut may_have_run = false;
    for _ in 1..MAX_ATTEMPTS {
        match &outcome {
            Err(PlatformError::OutcomeUnknown(_)) => may_have_run = true,
            Err(PlatformError::Conflict(_)) if may_have_run => (),
            Err(_) if may_have_run => return Err(PlatformError::OutcomeUnknown("write not confirmed".to_owned())),
            _ => return outcome,
        }
        let current = match store.get(kind, name).await {
            Ok(current) => current,
            Err(error) => return Err(PlatformError::OutcomeUnknown(error.to_string())),
        };
        let version = current.as_ref().map(|it| it.version);
        if let Some(object) = current.filter(|it| it.operation == *operation) {
            return Ok(object.version);
        }
        if version != expected_version(expect) {
            return Err(PlatformError::Conflict(version));
        }
        outcome = store.put(kind, name, spec, expect, operation).await;
    }
    match outcome {
        Err(PlatformError::Conflict(_) | PlatformError::Unavailable(_) | PlatformError::RateLimited)
            if may_have_run =>
        {
            Err(PlatformError::OutcomeUnknown("write not confirmed".to_owned()))
        }
        outcome => outcome,
    }
}

fn expected_version(expect: Expect) -> Option<u64> {
    match expect {
        Expect::Absent => None,
        Expect::Version(version) => Some(version),
    }
}
