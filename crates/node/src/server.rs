//! JSON-RPC server and the methods that every process serves.

use std::sync::Arc;

use guava_core::config::Kind;
use guava_core::events::Event;
use guava_core::membership::MemberState;
use jsonrpsee::RpcModule;
use jsonrpsee::server::{ServerConfig, ServerHandle};
use jsonrpsee::types::error::INVALID_PARAMS_CODE;
use jsonrpsee::types::{ErrorObjectOwned, Params};
use log::LevelFilter;
use serde::Deserialize;

use crate::antientropy::{self, PULL_METHOD, PullParams};
use crate::intake::ClientBudget;
use crate::lease_manager::LeaseManager;
use crate::peers::MAX_MESSAGE_BYTES;
use crate::shared::Shared;
use crate::status::{LeaseStatus, MemberStatus, Status};
use crate::{GossipState, Members, logging, rpc_listener};

/// Most concurrent connections. Even in the largest fleet, only some members call a given one at the same time.
const MAX_CONNECTIONS: u32 = 4_096;

/// Context of the runtime's methods.
#[derive(Debug)]
pub(crate) struct MethodContext {
    pub(crate) shared: Arc<Shared>,
    pub(crate) manager: Arc<LeaseManager>,
}

#[derive(Debug, Deserialize)]
struct EventFilter {
    #[serde(default)]
    request: Option<String>,
    #[serde(default)]
    model: Option<String>,
}

#[derive(Debug, Deserialize)]
struct LevelParams {
    level: String,
}

/// Largest request body in bytes. Requests carry digests, demand or quota shares; only responses carry entries.
const MAX_REQUEST_BYTES: u32 = 4 * 1024 * 1024;

/// Starts the JSON-RPC server on `listener`. Must be called within a tokio runtime.
pub(crate) fn start(
    listener: std::net::TcpListener,
    module: RpcModule<()>,
    budget: &Arc<ClientBudget>,
) -> std::io::Result<ServerHandle> {
    let cfg = ServerConfig::builder()
        .http_only()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_REQUEST_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .build();
    rpc_listener::start(listener, module, cfg, budget)
}

/// Module with the runtime's methods.
pub(crate) fn module(context: MethodContext) -> Result<RpcModule<MethodContext>, jsonrpsee::core::RegisterMethodError> {
    let mut module = RpcModule::new(context);
    module.register_method(PULL_METHOD, |params, cx, _| pull(&params, cx))?;
    module.register_method("timeline.events", |params, cx, _| events(&params, cx))?;
    module.register_method("status", |_, cx, _| status(cx))?;
    module.register_method("log.level", |params, cx, _| set_log_level(&params, cx))?;
    Ok(module)
}

fn pull(params: &Params<'_>, cx: &MethodContext) -> Result<antientropy::PullReply, ErrorObjectOwned> {
    let params: PullParams = params.parse()?;
    Ok(antientropy::answer(&cx.shared, &params))
}

fn events(params: &Params<'_>, cx: &MethodContext) -> Result<serde_json::Value, ErrorObjectOwned> {
    let filter: Option<EventFilter> = params.parse()?;
    let (request, model) = filter.map_or((None, None), |it| (it.request, it.model));
    let records = cx.shared.timeline.events(request.as_deref(), model.as_deref());
    serde_json::to_value(records).map_err(|error| invalid_params(&error))
}

fn set_log_level(params: &Params<'_>, cx: &MethodContext) -> Result<serde_json::Value, ErrorObjectOwned> {
    let params: LevelParams = params.parse()?;
    let level: LevelFilter = params.level.parse().map_err(|error| {
        invalid_params(&format!(
            "level: accepted is off, error, warn, info, debug or trace ({error})"
        ))
    })?;
    let previous = logging::set_level(level);
    let detail = format!("level {level}");
    cx.shared.timeline.record(Event::LogLevelChanged, None, None, &detail);
    Ok(serde_json::json!({
        "level": level.to_string().to_lowercase(),
        "previous": previous.map(|it| it.to_string().to_lowercase()),
    }))
}

fn invalid_params(error: &dyn std::fmt::Display) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INVALID_PARAMS_CODE, error.to_string(), None::<()>)
}

/// Result of the method `status`: the [`Status`] of this process as JSON.
pub(crate) fn status(cx: &MethodContext) -> serde_json::Value {
    let shared = &cx.shared;
    let me = shared.me();
    let newest = Kind::CONFIG
        .into_iter()
        .map(|kind| (kind.plural().to_owned(), shared.gossip.newest(kind)))
        .collect();
    let leases = cx.manager.all_held();
    let status = Status {
        member: me.id.clone(),
        incarnation: me.incarnation,
        zone: me.zone.clone(),
        ready: shared.is_ready(),
        isolated: shared.members.isolated(),
        confirmation_age_ms: shared.members.confirmation_age(),
        newest,
        entries: shared.gossip.len(),
        digest: shared.gossip.digest(),
        members: shared.members.states().into_iter().map(member_status).collect(),
        leases: leases
            .into_iter()
            .map(|(name, term)| LeaseStatus { name, term })
            .collect(),
    };
    serde_json::to_value(status).unwrap_or_default()
}

fn member_status(state: MemberState) -> MemberStatus {
    MemberStatus {
        id: state.member.id,
        incarnation: state.member.incarnation,
        zone: state.member.zone,
        standing: state.standing,
    }
}
