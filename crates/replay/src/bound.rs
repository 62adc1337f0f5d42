//! Lower bounds on cold starts and refusals that no loading policy can beat, computed from a trace.

use std::collections::{BTreeMap, BTreeSet};

use guava_core::ids::{AdapterName, ModelName, ServerName};
use guava_core::plan::CacheTier;
use guava_core::snapshot::Snapshot;

use crate::engine::Engine;
use crate::replay::{ReplayResult, fastest_tier};
use crate::scenario::RecordedTrace;
use crate::store::WeightStore;

/// Shortest time to load a model, and an adapter if one is given, in milliseconds: from the fastest tier of any running
/// backend server and with no concurrent loads. Unknown models and adapters count as empty.
///
/// With `is_base_ready` only the adapter is loaded.
pub fn min_load_ms(
    model: &ModelName,
    adapter: Option<&AdapterName>,
    is_base_ready: bool,
    config: &Snapshot,
    engines: &BTreeMap<ServerName, Engine>,
    store: &WeightStore,
) -> f64 {
    let bytes = config.models.get(model).map_or(0, |it| it.bytes);
    let base = if is_base_ready {
        0.0
    } else {
        store.model_load_ms(fastest_tier(model, engines), bytes)
    };
    let adapter = adapter.and_then(|it| config.adapters.get(it));
    base + adapter.map_or(0.0, |it| store.adapter_load_ms(it.bytes))
}

/// Lower bound on the refused requests, for policies that load no model before its first request.
///
/// It counts the admitted requests whose deadline passes before the first load of their model can have finished. Limits
/// on memory, slots and concurrent loads are ignored, so that the bound holds for every such policy. `models_on_disk`
/// are the models cached on the disk of any backend server at the start.
pub fn min_refusals(recorded: &RecordedTrace, result: &ReplayResult, models_on_disk: &BTreeSet<ModelName>) -> u64 {
    let store = WeightStore::new(&recorded.config);
    let mut first_ready_at_ms: BTreeMap<&ModelName, u64> = BTreeMap::new();
    let mut count = 0;
    for (req, outcome) in recorded.requests.iter().zip(&result.requests) {
        if !outcome.is_admitted() || outcome.is_deferred {
            continue;
        }
        let adapter = recorded.config.adapters.get(req.model.as_str());
        let model_name = adapter.map_or(req.model.as_str(), |it| it.model.as_str());
        let Some(model) = recorded.config.models.get(model_name) else {
            continue;
        };
        let ready_at_ms = *first_ready_at_ms.entry(&model.name).or_insert_with(|| {
            let is_remote = !models_on_disk.contains(&model.name);
            let tier = if is_remote { CacheTier::Remote } else { CacheTier::Disk };
            let mut remaining_ms = store.model_load_ms(tier, model.bytes);
            let mut at_ms = req.at_ms;
            while remaining_ms > 0.0 {
                remaining_ms -= 1.0
                    / if is_remote {
                        recorded.scenario.slowdown(at_ms)
                    } else {
                        1.0
                    };
                at_ms += 1;
            }
            at_ms
        });
        count += u64::from(req.at_ms + outcome.cold_start_limit_ms < ready_at_ms);
    }
    count
}
