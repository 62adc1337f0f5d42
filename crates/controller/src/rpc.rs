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
use crate::release::Released;
use crate::shared::{PoolState, Shared};

/// This process does not hold the lease that the call is about; the message names the holder when it is known.
pub const NOT_HOLDER: i32 = -32010;
/// The call has parameters that are not accepted.
const INVALID_PARAMS: i32 = -32602;
/// Router name under which reports without one are counted.
const UNNAMED_ROUTER: &str = "unnamed";

derive_value! {
    /// Argument of `placement.demand`: the report, and the router it comes from.
    struct DemandParams {
        /// Member id of the router; reports of one router replace each other.
        #[serde(default)]
        router: Option<String>,
        /// Report.
        #[serde(flatten)]
        demand: Demand,
    }

    /// Argument of `plan.show`.
    struct ShowParams {
        /// Pool.
        pool: PoolName,
    }
}

/// The controller's methods.
///
/// # Errors
///
/// Fails when a method is registered twice.
pub fn module(shared: &Arc<Shared>) -> Result<RpcModule<()>, RegisterMethodError> {
    let mut module = RpcModule::new(());
    let cx = Arc::clone(shared);
    module.register_async_method("placement.demand", move |params, _, _| {
        let cx = Arc::clone(&cx);
        async move { demand(&cx, parse(&params)?).await }
    })?;
    let cx = Arc::clone(shared);
    module.register_async_method("store.permit", move |params, _, _| {
        let cx = Arc::clone(&cx);
        async move { permit(&cx, &parse(&params)?) }
    })?;
    let cx = Arc::clone(shared);
    module.register_async_method("plan.released", move |params, _, _| {
        let cx = Arc::clone(&cx);
        async move { released(&cx, parse(&params)?) }
    })?;
    let cx = Arc::clone(shared);
    module.register_async_method("plan.show", move |params, _, _| {
        let cx = Arc::clone(&cx);
        async move { show(&cx, &parse(&params)?) }
    })?;
    Ok(module)
}

fn parse<T: serde::de::DeserializeOwned>(params: &Params<'static>) -> Result<T, ErrorObjectOwned> {
    params
        .parse()
        .map_err(|error| ErrorObjectOwned::owned(INVALID_PARAMS, error.message().to_owned(), None::<()>))
}

fn invalid(message: String) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INVALID_PARAMS, message, None::<()>)
}

fn not_holder(shared: &Shared, lease: &LeaseName) -> ErrorObjectOwned {
    let holder = shared.node.leases.holder(lease);
    let holder = holder.filter(|it| it != shared.me()).map(|it| it.to_string());
    let message = match &holder {
        Some(holder) => format!("lease {lease} is held by {holder}"),
        None => format!("the holder of lease {lease} is not known"),
    };
    ErrorObjectOwned::owned(NOT_HOLDER, message, holder)
}

async fn demand(shared: &Arc<Shared>, params: DemandParams) -> Result<DemandReply, ErrorObjectOwned> {
    let demand = params.demand;
    let config = shared.config();
    let Some(model) = config.models.get(&demand.model) else {
        return Err(invalid(format!("model {} is not known", demand.model)));
    };
    let lease = LeaseName::new(format!("pool/{}", model.pool));
    let Some(pool) = shared.known_pool(&model.pool) else {
        return Err(not_holder(shared, &lease));
    };
    if shared.held(&pool.lease).is_none() {
        return Err(not_holder(shared, &lease));
    }
    take_demand(shared, &pool, params.router.as_deref(), &demand);
    let mut changes = pool.changes.subscribe();
    let deadline = tokio::time::Instant::now() + Duration::from_millis(shared.args.demand_wait_ms);
    loop {
        let Some(reply) = reply(shared, &pool, &demand) else {
            return Err(not_holder(shared, &lease));
        };
        let must_wait = demand.waiting > 0 && reply.ready_in_ms != Some(0) && reply.ready_in_ms.is_some();
        if !must_wait || tokio::time::timeout_at(deadline, changes.changed()).await.is_err() {
            return Ok(reply);
        }
    }
}

fn take_demand(shared: &Shared, pool: &PoolState, router: Option<&str>, demand: &Demand) {
    let live = shared.node.members.live();
    let member = live.iter().find(|it| Some(it.id.to_string().as_str()) == router);
    let source = Source {
        router: router.unwrap_or(UNNAMED_ROUTER),
        zone: member.map(|it| &it.zone),
    };
    pool.scheduler.lock().demand(shared.now(), source, demand);
    let name = name(demand);
    let plan = pool.plan.read().clone();
    let is_ready = plan.is_some_and(|it| {
        let mut replicas = it.replicas.values();
        replicas.any(|it| it.name() == name && it.state == ReplicaState::Ready)
    });
    // Only demand that waits for a load is worth a round of its own.
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

fn name(demand: &Demand) -> &str {
    let adapter = demand.adapter.as_ref();
    adapter.map_or_else(|| demand.model.as_str(), guava_core::ids::AdapterName::as_str)
}

/// Answer by the present plan; `None` when there is no plan because the lease has just changed.
fn reply(shared: &Shared, pool: &PoolState, demand: &Demand) -> Option<DemandReply> {
    let plan = pool.plan.read().clone();
    let config = shared.config();
    let now = shared.now();
    let Some(plan) = plan else {
        shared.held(&pool.lease)?;
        // The plan is being taken over; the router asks again.
        return Some(DemandReply {
            ready_in_ms: Some(shared.args.demand_wait_ms.max(1)),
            placement: None,
        });
    };
    let placement = publish::placements(&plan, &config).remove(name(demand));
    let is_ready = placement.as_ref().is_some_and(has_ready);
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
    // Before the first reports after a take-over nothing can be said, which is no reason to refuse.
    let unknown = engines.is_empty().then_some(shared.args.demand_wait_ms.max(1));
    Some(DemandReply {
        ready_in_ms: if is_ready { Some(0) } else { estimate().or(unknown) },
        placement,
    })
}

fn has_ready(placement: &Placement) -> bool {
    let mut replicas = placement.replicas.iter();
    replicas.any(|it: &placement::ReplicaAddress| it.state == ReplicaState::Ready)
}

fn permit(shared: &Shared, req: &PermitRequest) -> Result<PermitReply, ErrorObjectOwned> {
    let config = shared.config();
    let reply = shared.permits.answer(&shared.node, &config, req);
    reply.ok_or_else(|| not_holder(shared, shared.permits.lease()))
}

fn released(shared: &Shared, released: Released) -> Result<bool, ErrorObjectOwned> {
    let Some(pool) = shared.known_pool(&released.pool) else {
        return Err(invalid(format!("pool {} is not known", released.pool)));
    };
    pool.keep_unsent(released.term, released.replicas);
    pool.wake.notify_one();
    Ok(true)
}

fn show(shared: &Shared, params: &ShowParams) -> Result<Plan, ErrorObjectOwned> {
    let lease = LeaseName::new(format!("pool/{}", params.pool));
    let plan = shared.known_pool(&params.pool).and_then(|it| it.plan.read().clone());
    let held = shared.held(&lease).is_some();
    plan.filter(|_| held)
        .map(|it| (*it).clone())
        .ok_or_else(|| not_holder(shared, &lease))
}
