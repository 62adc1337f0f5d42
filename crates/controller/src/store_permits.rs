//! Permits of the weight store: given out by the holder of the store's lease, asked for by all others.

use std::time::Duration;

use guava_core::ids::{LeaseName, Term};
use guava_core::permits::{PERMIT_LEARN_MS, PermitReply, PermitRequest, Permits, StoreLimits};
use guava_core::snapshot::Snapshot;
use guava_node::Node;
use parking_lot::Mutex;

/// Lease of the weight store.
pub const STORE_LEASE: &str = "store/weights";
/// Time limit of a request to another controller.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait after a request that nobody could answer.
const UNANSWERED_WAIT_MS: u64 = 200;

/// Permits given out by this process while it holds the store's lease.
#[derive(Debug)]
pub struct StorePermits {
    lease: LeaseName,
    given: Mutex<Option<(Term, Permits)>>,
}

impl Default for StorePermits {
    fn default() -> Self {
        Self {
            lease: LeaseName::new(STORE_LEASE),
            given: Mutex::new(None),
        }
    }
}

impl StorePermits {
    /// Lease of the weight store.
    pub fn lease(&self) -> &LeaseName {
        &self.lease
    }

    /// Answers a request, or `None` when this process does not hold the store's lease.
    pub fn answer(&self, node: &Node, config: &Snapshot, req: &PermitRequest) -> Option<PermitReply> {
        let term = node.leases.held(&self.lease)?;
        let now = node.clock.now();
        let limits = limits(config);
        let mut given = self.given.lock();
        if given.as_ref().is_none_or(|(known, _)| *known != term) {
            // The first holder ever has no predecessor whose permits it could miss.
            let learning = if term > Term(1) { PERMIT_LEARN_MS } else { 0 };
            *given = Some((term, Permits::new(limits, now + learning)));
        }
        let (_, permits) = given.as_mut()?;
        permits.set_limits(limits);
        Some(permits.request(req, now))
    }

    /// Asks the holder of the store's lease.
    pub async fn request(&self, node: &Node, config: &Snapshot, req: &PermitRequest) -> PermitReply {
        if let Some(reply) = self.answer(node, config, req) {
            return reply;
        }
        let unanswered = PermitReply {
            granted: false,
            ms: UNANSWERED_WAIT_MS,
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

/// Limits of the store: the pools' settings describe the same store, and the largest counts.
fn limits(config: &Snapshot) -> StoreLimits {
    let pools = || config.pools.values();
    let per_second = pools().map(|it| it.loads_per_second).fold(0.0, f64::max);
    StoreLimits {
        loads_at_once: pools().map(|it| it.loads_at_once).max().unwrap_or(1),
        loads_per_1000_seconds: (per_second * 1_000.0) as u64,
        adapter_loads_at_once: pools().map(|it| it.adapter_loads_at_once).max().unwrap_or(1),
    }
}
