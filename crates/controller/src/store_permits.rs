//! Permits for loads from the weight store. The holder of the store's lease grants them; the other controllers request
//! them from it.

use std::time::Duration;

use guava_core::ids::{LeaseName, Term};
use guava_core::permits::{PERMIT_LEARN_MS, PermitReply, PermitRequest, Permits, StoreLimits};
use guava_core::snapshot::Snapshot;
use guava_node::Node;
use parking_lot::Mutex;

/// Name of the weight store's lease.
pub const STORE_LEASE: &str = "store/weights";
/// Time limit of a permit request to another controller.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a request may be repeated when the holder is unknown or did not answer, in milliseconds.
const UNANSWERED_RETRY_MS: u64 = 200;

/// Permits granted by this process while it holds the store's lease.
#[derive(Debug)]
pub struct StorePermits {
    lease: LeaseName,
    /// Term of the lease and the permits granted in it; `None` before this process first holds the lease.
    granted: Mutex<Option<(Term, Permits)>>,
}

impl Default for StorePermits {
    fn default() -> Self {
        Self {
            lease: LeaseName::new(STORE_LEASE),
            granted: Mutex::new(None),
        }
    }
}

impl StorePermits {
    /// Lease of the weight store, for which every controller competes.
    pub fn lease(&self) -> &LeaseName {
        &self.lease
    }

    /// Answers a permit request, or returns `None` when this process does not hold the store's lease.
    pub fn answer_as_holder(&self, node: &Node, config: &Snapshot, req: &PermitRequest) -> Option<PermitReply> {
        let term = node.leases.held(&self.lease)?;
        let now = node.clock.now();
        let limits = store_limits(config);
        let mut granted = self.granted.lock();
        if granted.as_ref().is_none_or(|(granted_term, _)| *granted_term != term) {
            // In term 1 there is no previous holder, so no permits of one can be in use.
            let learning_ms = if term > Term(1) { PERMIT_LEARN_MS } else { 0 };
            *granted = Some((term, Permits::new(limits, now + learning_ms)));
        }
        let (_, permits) = granted.as_mut()?;
        permits.set_limits(limits);
        Some(permits.request(req, now))
    }

    /// Requests a permit from the holder of the store's lease, which may be this process. When the holder is unknown or
    /// does not answer, the permit is not granted.
    pub async fn request(&self, node: &Node, config: &Snapshot, req: &PermitRequest) -> PermitReply {
        if let Some(reply) = self.answer_as_holder(node, config, req) {
            return reply;
        }
        let unanswered = PermitReply {
            granted: false,
            ms: UNANSWERED_RETRY_MS,
        };
        let Some(holder) = node.leases.holder(&self.lease) else {
            return unanswered;
        };
        let Some(member) = node.members.live().into_iter().find(|it| it.id == holder) else {
            return unanswered;
        };
        let params = serde_json::to_value(req).unwrap_or_default();
        let reply = node.peers.call(&member, "store.permit", params, REQUEST_TIMEOUT).await;
        let reply = reply.ok().and_then(|it| serde_json::from_value(it).ok());
        reply.unwrap_or(unanswered)
    }
}

/// Limits of the store. All pools load from the same store, so the largest setting of any pool applies.
fn store_limits(config: &Snapshot) -> StoreLimits {
    let pools = || config.pools.values();
    let per_second = pools().map(|it| it.loads_per_second).fold(0.0, f64::max);
    StoreLimits {
        loads_at_once: pools().map(|it| it.loads_at_once).max().unwrap_or(1),
        loads_per_1000_seconds: (per_second * 1_000.0) as u64,
        adapter_loads_at_once: pools().map(|it| it.adapter_loads_at_once).max().unwrap_or(1),
    }
}
