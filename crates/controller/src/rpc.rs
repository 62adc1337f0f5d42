//! JSON-RPC methods of the controller.

use std::sync::Arc;
use std::time::Duration;

use guava_core::demand::Source;
use guava_core::events::Event;
use guava_core::ids::{LeaseName, PoolName};
use guava_core::permits::{PermitReply, PermitRequest};
use guava_core::placement::{Demand, DemandReply, Placement, ReplicaState};
use guava_core::plan::Plan;
use guava_core::scheduler::Input;
use guava_core::{derive_value, placement};
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::types::{ErrorObjectOwned, Params};

use crate::publish;
use crate::release::UnsentLoads;
use crate::shared::{PoolState, Shared};

/// JSON-RPC error code of a call to a process that does not hold the lease that the call requires. The message names
/// the holder when it is known, and the error data is the holder's member id.
pub const NOT_HOLDER: i32 = -32010;
/// JSON-RPC error code of a call with missing, malformed or unknown parameters.
const INVALID_PARAMS: i32 = -32602;
/// Router name under which all demand reports without one are counted.
const UNNAMED_ROUTER: &str = "unnamed";

derive_value! {
    /// Argument of `placement.demand`: a demand report and the router that sends it.
    struct DemandParams {
        /// Member id of the router. A report replaces the router's earlier report for the same model or adapter.
        #[serde(default)]
        router: Option<String>,
        /// Demand report, whose fields stand next to `router`.
        #[serde(flatten)]
        demand: Demand,
    }

    /// Argument of `plan.show`.
    struct ShowParams {
        /// Pool whose plan is shown.
        pool: PoolName,
    }
}

/// Registers the controller's JSON-RPC methods.
///
/// # Errors
///
/// Fails when a method is registered twice.
pub fn module(shared: &Arc<Shared>) -> Result<RpcModule<()>, RegisterMethodError> {
    let mut module = RpcModule::new(());
    let state = Arc::clone(shared);
    module.register_async_method("placement.demand", move |params, _, _| {
        let state = Arc::clone(&state);
        async move { handle_demand(&state, parse_params(&params)?).await }
    })?;
    let state = Arc::clone(shared);
    module.register_async_method("store.permit", move |params, _, _| {
        let state = Arc::clone(&state);
        async move { handle_permit(&state, &parse_params(&params)?) }
    })?;
    let state = Arc::clone(shared);
    module.register_async_method("plan.released", move |params, _, _| {
        let state = Arc::clone(&state);
        async move { handle_released(&state, parse_params(&params)?) }
    })?;
    let state = Arc::clone(shared);
    module.register_async_method("plan.show", move |params, _, _| {
        let state = Arc::clone(&state);
        async move { handle_show(&state, &parse_params(&params)?) }
    })?;
    Ok(module)
}

fn parse_params<T: serde::de::DeserializeOwned>(params: &Params<'static>) -> Result<T, ErrorObjectOwned> {
    params
        .parse()
        .map_err(|error| ErrorObjectOwned::owned(INVALID_PARAMS, error.message().to_owned(), None::<()>))
}

fn invalid_params(message: String) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INVALID_PARAMS, message, None::<()>)
}

fn not_holder_error(shared: &Shared, lease: &LeaseName) -> ErrorObjectOwned {
    let holder = shared.node.leases.holder(lease);
    let holder = holder.filter(|it| it != shared.own_id()).map(|it| it.to_string());
    let message = match &holder {
        Some(holder) => format!("lease {lease} is held by {holder}"),
        None => format!("the holder of lease {lease} is not known"),
    };
    ErrorObjectOwned::owned(NOT_HOLDER, message, holder)
}

/// Records a demand report. While requests wait and a replica can be loaded, the answer is delayed until a replica is
/// ready or `demand_wait_ms` has passed.
async fn handle_demand(shared: &Arc<Shared>, params: DemandParams) -> Result<DemandReply, ErrorObjectOwned> {
    let demand = params.demand;
    let config = shared.config();
    let Some(model) = config.models.get(&demand.model) else {
        return Err(invalid_params(format!("model {} is not known", demand.model)));
    };
    let lease = LeaseName::new(format!("pool/{}", model.pool));
    let Some(pool) = shared.find_pool(&model.pool) else {
        return Err(not_holder_error(shared, &lease));
    };
    if shared.held_term(&pool.lease).is_none() {
        return Err(not_holder_error(shared, &lease));
    }
    record_demand(shared, &pool, params.router.as_deref(), &demand);
    let mut publications = pool.publications.subscribe();
    let deadline = tokio::time::Instant::now() + Duration::from_millis(shared.args.demand_wait_ms);
    loop {
        let Some(reply) = demand_reply(shared, &pool, &demand) else {
            return Err(not_holder_error(shared, &lease));
        };
        let must_wait = demand.waiting > 0 && reply.ready_in_ms != Some(0) && reply.ready_in_ms.is_some();
        if !must_wait || tokio::time::timeout_at(deadline, publications.changed()).await.is_err() {
            return Ok(reply);
        }
    }
}

fn record_demand(shared: &Shared, pool: &PoolState, router: Option<&str>, demand: &Demand) {
    let live = shared.node.members.live();
    let member = live.iter().find(|it| Some(it.id.to_string().as_str()) == router);
    let source = Source {
        router: router.unwrap_or(UNNAMED_ROUTER),
        zone: member.map(|it| &it.zone),
    };
    pool.scheduler.lock().demand(shared.now(), source, demand);
    let name = requested_name(demand);
    let plan = pool.plan.read().clone();
    let is_ready = plan.is_some_and(|it| {
        let mut replicas = it.replicas.values();
        replicas.any(|it| it.name() == name && it.state == ReplicaState::Ready)
    });
    // Only requests that wait for a load justify a round before the worker's interval has ended.
    if is_ready || demand.waiting == 0 {
        return;
    }
    pool.wake.notify_one();
    let detail = format!("{} waiting at {}", demand.waiting, source.router);
    shared
        .node
        .timeline
        .record(Event::DemandReceived, None, Some(name), &detail);
}

fn requested_name(demand: &Demand) -> &str {
    let adapter = demand.adapter.as_ref();
    adapter.map_or_else(|| demand.model.as_str(), guava_core::ids::AdapterName::as_str)
}

/// Builds the answer from the current plan; `None` when this process no longer holds the lease.
fn demand_reply(shared: &Shared, pool: &PoolState, demand: &Demand) -> Option<DemandReply> {
    let plan = pool.plan.read().clone();
    let config = shared.config();
    let now = shared.now();
    let Some(plan) = plan else {
        shared.held_term(&pool.lease)?;
        // This process holds the lease but has not finished the take-over of the plan; the router reports again.
        return Some(DemandReply {
            ready_in_ms: Some(shared.args.demand_wait_ms.max(1)),
            placement: None,
        });
    };
    let placement = publish::placements(&plan, &config).remove(requested_name(demand));
    let is_ready = placement.as_ref().is_some_and(has_ready_replica);
    let engines = pool.recent_views(now);
    let input = Input {
        plan: &plan,
        config: &config,
        engines: &engines,
    };
    let estimate = || {
        let scheduler = pool.scheduler.lock();
        scheduler.ready_in(now, &input, &demand.model, demand.adapter.as_ref())
    };
    // Without any engine report, as right after a take-over, no estimate is possible. `None` would mean that no replica
    // can be loaded, so the router is given the time after which to report again.
    let fallback = engines.is_empty().then_some(shared.args.demand_wait_ms.max(1));
    Some(DemandReply {
        ready_in_ms: if is_ready { Some(0) } else { estimate().or(fallback) },
        placement,
    })
}

fn has_ready_replica(placement: &Placement) -> bool {
    let mut replicas = placement.replicas.iter();
    replicas.any(|it: &placement::ReplicaAddress| it.state == ReplicaState::Ready)
}

fn handle_permit(shared: &Shared, req: &PermitRequest) -> Result<PermitReply, ErrorObjectOwned> {
    let config = shared.config();
    let reply = shared.permits.answer_as_holder(&shared.node, &config, req);
    reply.ok_or_else(|| not_holder_error(shared, shared.permits.lease()))
}

fn handle_released(shared: &Shared, unsent: UnsentLoads) -> Result<bool, ErrorObjectOwned> {
    let Some(pool) = shared.find_pool(&unsent.pool) else {
        return Err(invalid_params(format!("pool {} is not known", unsent.pool)));
    };
    pool.add_unsent(unsent.term, unsent.replicas);
    pool.wake.notify_one();
    Ok(true)
}

fn handle_show(shared: &Shared, params: &ShowParams) -> Result<Plan, ErrorObjectOwned> {
    let lease = LeaseName::new(format!("pool/{}", params.pool));
    let plan = shared.find_pool(&params.pool).and_then(|it| it.plan.read().clone());
    let is_held = shared.held_term(&lease).is_some();
    plan.filter(|_| is_held)
        .map(|it| (*it).clone())
        .ok_or_else(|| not_holder_error(shared, &lease))
}
