//! Wrapper around the platform clients that records whether the platform answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use guava_core::config::Kind;
use guava_core::events::Event;
use guava_core::ids::OperationId;
use guava_core::units::Millis;
use guava_objects::{Change, Expect, ObjectList, ObjectStore, PlatformError, StoredObject, VmInfo, VmList};
use serde_json::Value;

use crate::members::MemberTable;
use crate::{Clock, Timeline};

/// Forwards calls to the platform.
///
/// Each answer counts as a confirmation of contact, unless it is a rate limit or malformed. Events are recorded when
/// the platform becomes unavailable and when it is available again.
#[derive(Debug)]
pub(crate) struct TrackedPlatform {
    store: Arc<dyn ObjectStore>,
    vms: Arc<dyn VmList>,
    members: Arc<MemberTable>,
    clock: Arc<dyn Clock>,
    timeline: Arc<dyn Timeline>,
    /// Whether the platform is recorded as unavailable.
    unavailable: AtomicBool,
}

impl TrackedPlatform {
    pub(crate) fn new(
        store: Arc<dyn ObjectStore>,
        vms: Arc<dyn VmList>,
        members: Arc<MemberTable>,
        clock: Arc<dyn Clock>,
        timeline: Arc<dyn Timeline>,
    ) -> Self {
        Self {
            store,
            vms,
            members,
            clock,
            timeline,
            unavailable: AtomicBool::new(false),
        }
    }

    /// Records the outcome of a call that was sent at `sent` and returns it unchanged.
    fn track<T>(&self, sent: Millis, answer: Result<T, PlatformError>) -> Result<T, PlatformError> {
        match &answer {
            Ok(_) | Err(PlatformError::Conflict(_) | PlatformError::TooLarge | PlatformError::Expired) => {
                self.members.platform_answered(sent);
                if self.unavailable.swap(false, Ordering::AcqRel) {
                    self.timeline.record(Event::PlatformAvailable, None, None, "");
                }
            }
            Err(error @ (PlatformError::Unavailable(_) | PlatformError::OutcomeUnknown(_))) => {
                if !self.unavailable.swap(true, Ordering::AcqRel) {
                    let detail = error.to_string();
                    self.timeline.record(Event::PlatformUnavailable, None, None, &detail);
                }
            }
            Err(PlatformError::RateLimited | PlatformError::Malformed(_)) => {}
        }
        answer
    }
}

#[async_trait]
impl ObjectStore for TrackedPlatform {
    async fn get(&self, kind: Kind, name: &str) -> Result<Option<StoredObject>, PlatformError> {
        let sent = self.clock.now();
        self.track(sent, self.store.get(kind, name).await)
    }

    async fn list(&self, kind: Kind) -> Result<ObjectList, PlatformError> {
        let sent = self.clock.now();
        self.track(sent, self.store.list(kind).await)
    }

    async fn put(
        &self,
        kind: Kind,
        name: &str,
        spec: &Value,
        expect: Expect,
        operation: &OperationId,
    ) -> Result<u64, PlatformError> {
        let sent = self.clock.now();
        self.track(sent, self.store.put(kind, name, spec, expect, operation).await)
    }

    async fn delete(&self, kind: Kind, name: &str, version: u64) -> Result<u64, PlatformError> {
        let sent = self.clock.now();
        self.track(sent, self.store.delete(kind, name, version).await)
    }

    async fn watch(&self, kind: Kind, since: u64, timeout: Duration) -> Result<Vec<Change>, PlatformError> {
        let sent = self.clock.now();
        self.track(sent, self.store.watch(kind, since, timeout).await)
    }
}

#[async_trait]
impl VmList for TrackedPlatform {
    async fn vms(&self) -> Result<Vec<VmInfo>, PlatformError> {
        let sent = self.clock.now();
        self.track(sent, self.vms.vms().await)
    }
}
