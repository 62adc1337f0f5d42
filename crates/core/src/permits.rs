//! Permits to load from the weight store. They limit concurrent loads and the rate of new loads.
//!
//! The holder of the store's lease keeps the permits in memory, by replica id and with a time to live. Requesting a
//! permit again renews it, so retries are harmless. A permit that is not renewed expires, so a crashed requester
//! occupies its slot for a bounded time.

use std::collections::BTreeMap;

use crate::ids::ReplicaId;
use crate::units::Millis;

/// Time to live of a permit in milliseconds, counted from its grant or last renewal.
pub const PERMIT_TTL_MS: u64 = 6_000;
/// Interval in milliseconds at which the requester renews a permit.
pub const PERMIT_RENEW_MS: u64 = 1_500;
/// Time in milliseconds after a change of the store's lease holder in which only renewals are granted. In this time the
/// new holder learns of the permits that the previous one granted.
pub const PERMIT_LEARN_MS: u64 = 2 * PERMIT_RENEW_MS;

derive_scalar! {
    /// What a permit allows to load.
    #[serde(rename_all = "snake_case")]
    pub enum PermitKind {
        /// The checkpoint of a model.
        Model,
        /// The checkpoint of an adapter; limited in concurrency but not in rate.
        Adapter,
    }

    /// Limits of the weight store.
    pub struct StoreLimits {
        /// Maximum number of concurrent model loads.
        pub loads_at_once: u32,
        /// Maximum number of model loads started per 1,000 seconds; 0 counts as 1.
        pub loads_per_1000_seconds: u64,
        /// Maximum number of concurrent adapter loads.
        pub adapter_loads_at_once: u32,
    }
}

derive_value! {
    /// Request to grant, renew or release a permit: the argument of `store.permit`.
    pub struct PermitRequest {
        /// Replica to load; identifies the permit.
        pub replica: ReplicaId,
        /// What to load.
        pub kind: PermitKind,
        /// Whether the load has started, so that the permit must be renewed even if it is unknown here.
        pub renew: bool,
        /// Whether the permit is released.
        pub release: bool,
    }

    /// Answer to a [`PermitRequest`].
    pub struct PermitReply {
        /// Whether the permit is granted, renewed or released.
        pub granted: bool,
        /// In milliseconds: the time to live of a granted permit, or the time after which a retry may succeed.
        pub ms: u64,
    }
}

/// Permits granted by the holder of the store's lease.
#[derive(Debug, Clone)]
pub struct Permits {
    limits: StoreLimits,
    slots: BTreeMap<ReplicaId, (PermitKind, Millis)>,
    next_load: Millis,
    learning_until: Millis,
}

impl Permits {
    /// Starts without permits. Before `learning_until` only renewals are granted.
    pub fn new(limits: StoreLimits, learning_until: Millis) -> Self {
        Self {
            limits,
            slots: BTreeMap::new(),
            next_load: Millis(0),
            learning_until,
        }
    }

    /// Changes the limits; granted permits stay valid.
    pub fn set_limits(&mut self, limits: StoreLimits) {
        self.limits = limits;
    }

    /// Grants, renews, refuses or releases a permit.
    pub fn request(&mut self, req: &PermitRequest, now: Millis) -> PermitReply {
        self.slots.retain(|_, (_, expires)| *expires > now);
        if req.release {
            self.slots.remove(&req.replica);
            return PermitReply { granted: true, ms: 0 };
        }
        let is_granted = self.slots.contains_key(&req.replica);
        if !is_granted && !req.renew {
            let wait = self.wait_for_slot(req.kind, now);
            if wait > 0 {
                return PermitReply {
                    granted: false,
                    ms: wait,
                };
            }
            if req.kind == PermitKind::Model {
                self.next_load = now + self.model_load_interval_ms();
            }
        }
        self.slots.insert(req.replica.clone(), (req.kind, now + PERMIT_TTL_MS));
        PermitReply {
            granted: true,
            ms: PERMIT_TTL_MS,
        }
    }

    /// Number of valid permits of a kind.
    pub fn in_use(&self, kind: PermitKind, now: Millis) -> usize {
        self.slots
            .values()
            .filter(|(it, expires)| *it == kind && *expires > now)
            .count()
    }

    fn model_load_interval_ms(&self) -> u64 {
        1_000_000 / self.limits.loads_per_1000_seconds.max(1)
    }

    /// Time in milliseconds after which a refused request may be retried; 0 when a permit can be granted now.
    fn wait_for_slot(&self, kind: PermitKind, now: Millis) -> u64 {
        if now < self.learning_until {
            return self.learning_until.since(now);
        }
        let limit = match kind {
            PermitKind::Model => self.limits.loads_at_once,
            PermitKind::Adapter => self.limits.adapter_loads_at_once,
        };
        if self.in_use(kind, now) >= limit as usize {
            return 50;
        }
        if kind == PermitKind::Model {
            return self.next_load.since(now);
        }
        0
    }
}
