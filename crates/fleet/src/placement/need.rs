//! What waiting requests need, and the order in which their models are loaded.
//!
//! A load is worth what its requests are worth to their callers for the time that it takes: many and urgent requests come
//! first, those that a load still serves within their objective before others, and the worth grows with the time for
//! which nothing served the model. Every few loads the model that has gone unserved longest gets its turn whatever it is
//! worth, so that its turn comes after a number of loads that depends only on the models that were there before it.

use std::collections::HashMap;

use guava_core::derive_value;
use guava_core::units::Millis;

use super::Demand;

/// Urgency of requests of which none is known; also the middle of the scale.
pub const DEFAULT_URGENCY: u8 = 5;
/// Least urgent priority.
const MAX_URGENCY: u8 = 9;
/// Factor on the worth of a load that ends within the objective of a waiting request.
const IN_OBJECTIVE_FACTOR: f64 = 2.0;
/// Of this many loads from the weight store for waiting requests, one is for the model that has gone unserved longest.
const LOADS_PER_TURN: u64 = 4;
/// Time without demand, in milliseconds, after which a model counts as not wanted. Callers that were refused come back
/// within it: their demand counts for 6 s at most.
const FORGET_MS: u64 = 8_000;

derive_value! {
    /// What the waiting requests of one [`Demand`] need. It is sent beside the demand.
    pub struct Need {
        /// Most urgent priority, 0 first, 9 last.
        pub urgency: u8,
        /// Milliseconds until which the first event is still of use to the most patient request; `None` if unknown.
        pub useful_ms: Option<u64>,
        /// Milliseconds until the objective of the request that has least left; zero if it has passed.
        pub objective_ms: u64,
    }
}

impl Default for Need {
    /// Need of requests about which the VM reports nothing.
    fn default() -> Self {
        Self {
            urgency: DEFAULT_URGENCY,
            useful_ms: None,
            objective_ms: 0,
        }
    }
}

/// Requests that wait for a model, of all VMs.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Waiting {
    pub(super) count: u32,
    pub(super) oldest_ms: u64,
    /// Sum of the requests' weights.
    weight: f64,
    /// Longest time for which a first event is of use; `None` for no limit.
    useful_ms: Option<u64>,
    /// Least time left until an objective.
    objective_ms: u64,
}

impl Waiting {
    /// Adds the requests of one VM's report that was received `age_ms` ago.
    pub(super) fn add(&mut self, demand: &Demand, need: &Need, age_ms: u64) {
        let useful_ms = need.useful_ms.map(|it| it.saturating_sub(age_ms));
        let objective_ms = need.objective_ms.saturating_sub(age_ms);
        if self.count == 0 {
            (self.useful_ms, self.objective_ms) = (useful_ms, objective_ms);
        } else {
            self.useful_ms = self.useful_ms.zip(useful_ms).map(|(a, b)| a.max(b));
            self.objective_ms = self.objective_ms.min(objective_ms);
        }
        self.count = self.count.saturating_add(demand.waiting);
        self.oldest_ms = self.oldest_ms.max(demand.oldest_ms);
        self.weight += f64::from(demand.waiting) * f64::from(1 + MAX_URGENCY - need.urgency.min(MAX_URGENCY));
    }

    /// Whether a load of this duration ends too late for all of the requests.
    ///
    /// Demand that has lasted as long as the load takes shows that requests will still come when it ends, so that it is
    /// not too late for them.
    pub(super) fn is_too_late(&self, load_ms: u64, unserved_ms: u64) -> bool {
        self.useful_ms.is_some_and(|it| it < load_ms) && unserved_ms < load_ms
    }

    /// Worth of a load of this duration to the requests, per millisecond that it takes.
    pub(super) fn worth(&self, load_ms: u64, unserved_ms: u64) -> f64 {
        let load_ms_f = load_ms.max(1) as f64;
        let factor = if load_ms <= self.objective_ms {
            IN_OBJECTIVE_FACTOR
        } else {
            1.0
        };
        self.weight * factor / load_ms_f * (1.0 + unserved_ms as f64 / load_ms_f)
    }
}

/// Service, model and the software version that its requests are bound to.
pub(super) type WantedModel = (String, String, Option<String>);

/// Times since which requests wait for models that no engine serves.
#[derive(Debug, Default)]
pub(super) struct Unserved {
    models: HashMap<WantedModel, Since>,
    /// Loads from the weight store for waiting requests so far.
    loads: u64,
}

#[derive(Debug, Clone, Copy)]
struct Since {
    first: Millis,
    last: Millis,
}

impl Unserved {
    /// Models of a service that requests wait for, or waited for a short time ago.
    pub(super) fn models_of(&self, service: &str) -> impl Iterator<Item = &WantedModel> {
        self.models.keys().filter(move |(it, ..)| it == service)
    }

    /// Records models that requests wait for and no engine serves, with the time in milliseconds for which the oldest
    /// request waits, and models that are served again. Models without requests are forgotten after a while.
    pub(super) fn observe(&mut self, wanted: &[(WantedModel, u64)], served: &[WantedModel], now: Millis) {
        for model in served {
            self.models.remove(model);
        }
        for (model, oldest_ms) in wanted {
            let first = Millis(now.0.saturating_sub(*oldest_ms));
            let since = self.models.entry(model.clone()).or_insert(Since { first, last: now });
            since.last = now;
        }
        self.models.retain(|_, it| now.since(it.last) < FORGET_MS);
    }

    /// Milliseconds for which nothing has served the requests for a model.
    pub(super) fn unserved_ms(&self, model: &WantedModel, now: Millis) -> u64 {
        self.models.get(model).map_or(0, |it| now.since(it.first))
    }

    /// Whether the next load from the weight store is for the model that has gone unserved longest.
    pub(super) fn is_turn_of_longest(&self) -> bool {
        self.loads % LOADS_PER_TURN == LOADS_PER_TURN - 1
    }

    /// Counts a load from the weight store for waiting requests.
    pub(super) fn record_load(&mut self) {
        self.loads += 1;
    }
}
