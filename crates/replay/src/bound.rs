//! What no policy can do better, computed from a trace.

use std::collections::{BTreeMap, BTreeSet};

use guava_core::ids::{AdapterName, ModelName, ServerName};
use guava_core::plan::CacheTier;
use guava_core::snapshot::Snapshot;

use crate::engine::Engine;
use crate::replay::{Outcomes, fastest_tier};
use crate::scenario::Recorded;
use crate::store::Store;

/// Load time of a model or adapter at the fastest tier available, with nothing else in the store.
pub fn load_ms(
    model: &ModelName,
    adapter: Option<&AdapterName>,
    is_base_ready: bool,
    config: &Snapshot,
    engines: &BTreeMap<ServerName, Engine>,
    store: &Store,
) -> f64 {
    let bytes = config.models.get(model).map_or(0, |it| it.bytes);
    let base = if is_base_ready {
        0.0
    } else {
        store.model_ms(fastest_tier(model, engines), bytes)
    };
    let adapter = adapter.and_then(|it| config.adapters.get(it));
    base + adapter.map_or(0.0, |it| store.adapter_ms(it.bytes))
}

/// Lower bound on refusals within the rate, for policies that load nothing before its first request.
///
/// It counts requests that arrive before the fastest possible end of their model's first load and whose deadline comes
/// before it too. Memory, slots and the other models' loads are left out, so that no policy can refuse fewer.
pub fn least_refusals(recorded: &Recorded, outcomes: &Outcomes, disks: &BTreeSet<ModelName>) -> u64 {
    let store = Store::new(&recorded.config);
    let mut ready_at: BTreeMap<&ModelName, u64> = BTreeMap::new();
    let mut count = 0;
    for (req, outcome) in recorded.requests.iter().zip(&outcomes.requests) {
        if !outcome.is_admitted() || outcome.deferred {
            continue;
        }
        let adapter = recorded.config.adapters.get(req.model.as_str());
        let name = adapter.map_or(req.model.as_str(), |it| it.model.as_str());
        let Some(model) = recorded.config.models.get(name) else {
            continue;
        };
        let ready = *ready_at.entry(&model.name).or_insert_with(|| {
            let is_remote = !disks.contains(&model.name);
            let tier = if is_remote { CacheTier::Remote } else { CacheTier::Disk };
            let mut left = store.model_ms(tier, model.bytes);
            let mut at = req.at_ms;
            while left > 0.0 {
                left -= 1.0 / if is_remote { recorded.scenario.slowdown(at) } else { 1.0 };
                at += 1;
            }
            at
        });
        count += u64::from(req.at_ms + outcome.limit_ms < ready);
    }
    count
}
