//! Permits to load from the weight store, as slots by id with a time to live.
//!
//! The holder of the store's lease keeps them in memory. A permit that is asked for again is prolonged, so repeats are
//! harmless; one that is not prolonged expires, so a lost holder blocks its slot for a bounded time only.

use std::collections::BTreeMap;

use crate::ids::ReplicaId;
use crate::units::Millis;

/// Time to live of a permit that is not prolonged.
pub const PERMIT_TTL_MS: u64 = 6_000;
/// Time between prolongations of a permit by its holder.
pub const PERMIT_RENEW_MS: u64 = 1_500;
/// Time after a change of the store's holder in which only prolongations are granted, so that permits of the previous
/// holder become known before new ones are given.
pub const PERMIT_LEARN_MS: u64 = 2 * PERMIT_RENEW_MS;

derive_scalar! {
    /// What a permit is for.
    #[serde(rename_all = "snake_case")]
    pub enum PermitKind {
        /// Loading a model from the weight store.
        Model,
        /// Loading an adapter.
        Adapter,
    }

    /// Limits of the weight store.
    pub struct StoreLimits {
        /// Model loads at once.
        pub loads_at_once: u32,
        /// Model loads a second, in thousandths.
        pub loads_per_1000_seconds: u64,
        /// Adapter loads at once.
        pub adapter_loads_at_once: u32,
    }
}

derive_value! {
    /// Request for a permit: the argument of `store.permit`.
    pub struct PermitRequest {
        /// Replica to load.
        pub replica: ReplicaId,
        /// Kind.
        pub kind: PermitKind,
        /// Whether the load has begun and the permit is only prolonged.
        pub renew: bool,
        /// Whether the permit is given back.
        pub release: bool,
    }

    /// Answer to a request for a permit.
    pub struct PermitReply {
        /// Whether it was granted.
        pub granted: bool,
        /// Time to live, or time after which a repeat may succeed, in milliseconds.
        pub ms: u64,
    }
}

/// Permits given out.
#[derive(Debug, Clone)]
pub struct Permits {
    limits: StoreLimits,
    slots: BTreeMap<ReplicaId, (PermitKind, Millis)>,
    next_load: Millis,
    learning_until: Millis,
}

impl Permits {
    /// No permits given out. Until `learning_until` only prolongations are granted.
    pub fn new(limits: StoreLimits, learning_until: Millis) -> Self {
        Self {
            limits,
            slots: BTreeMap::new(),
            next_load: Millis(0),
            learning_until,
        }
    }

    /// Changes the limits; permits given out stay.
    pub fn set_limits(&mut self, limits: StoreLimits) {
        self.limits = limits;
    }

    /// Answers a request.
    pub fn request(&mut self, req: &PermitRequest, now: Millis) -> PermitReply {
        self.slots.retain(|_, (_, until)| *until > now);
        if req.release {
            self.slots.remove(&req.replica);
            return PermitReply { granted: true, ms: 0 };
        }
        let known = self.slots.contains_key(&req.replica);
        if !known && !req.renew {
            let wait = self.wait_for_slot(req.kind, now);
            if wait > 0 {
                return PermitReply {
                    granted: false,
                    ms: wait,
                };
            }
            if req.kind == PermitKind::Model {
                self.next_load = now + self.interval_ms();
            }
        }
        self.slots.insert(req.replica.clone(), (req.kind, now + PERMIT_TTL_MS));
        PermitReply {
            granted: true,
            ms: PERMIT_TTL_MS,
        }
    }

    /// Permits of a kind in use.
    pub fn in_use(&self, kind: PermitKind, now: Millis) -> usize {
        self.slots
            .values()
            .filter(|(it, until)| *it == kind && *until > now)
            .count()
    }

    fn interval_ms(&self) -> u64 {
        1_000_000 / self.limits.loads_per_1000_seconds.max(1)
    }

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
