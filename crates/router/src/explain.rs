//! JSON-RPC method `explain`: reports whether a request would be admitted now, to which replicas it could be sent, or
//! why it would be refused.

use std::sync::Arc;
use std::sync::Weak;

use guava_core::codes::Code;
use guava_core::ids::KeyId;
use guava_core::snapshot::Snapshot;
use guava_core::{derive_value, routing};
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;

use crate::api::{find_model, find_profile};
use crate::dispatch::{Service, Target, TargetKey};
use crate::path::Router;
use crate::refusal::Refusal;

/// JSON-RPC error code for a call to a router that has stopped.
const STOPPED: i32 = -32_001;

derive_value! {
    /// Parameters of `explain`: the request to evaluate.
    #[serde(deny_unknown_fields)]
    pub struct ExplainRequest {
        /// Organisation of the caller; required if `key` is absent, otherwise it must agree with the key.
        #[serde(default)]
        pub organisation: Option<String>,
        /// Identifier of an API key, without its secret; `None` to skip the check of the key.
        #[serde(default)]
        pub key: Option<String>,
        /// Name of a model or an adapter.
        pub model: String,
        /// Name of a profile; `None` selects the model's default.
        #[serde(default)]
        pub profile: Option<String>,
    }

    /// Result of `explain`. Fields that were not reached before a refusal are absent, empty or 0.
    pub struct Explanation {
        /// Whether the request would be admitted now; its body and the quota are not checked.
        pub admitted: bool,
        /// Code of the refusal; `None` if the request would be admitted.
        pub code: Option<String>,
        /// Text of the refusal, or where the request would be sent.
        pub reason: String,
        /// Organisation of the key, else the given organisation.
        pub organisation: Option<String>,
        /// Profile that applies to the request.
        pub profile: Option<String>,
        /// Pool of the model.
        pub pool: Option<String>,
        /// Replicas that accept requests for the model or adapter; empty if it must be loaded first.
        pub replicas: Vec<ExplainedReplica>,
        /// Requests for the model or adapter that wait at this router for a slot.
        pub waiting: u64,
        /// Requests for the model or adapter that this router has sent to replicas and that are not complete.
        pub running: u64,
        /// Expected wait for a slot in milliseconds; `None` if there is no estimate.
        pub expected_wait_ms: Option<u64>,
    }

    /// A replica to which the request may be sent.
    pub struct ExplainedReplica {
        /// Identifier of the replica.
        pub replica: String,
        /// Backend server that runs the replica.
        pub server: String,
        /// Availability zone of the backend server.
        pub zone: String,
        /// Rendezvous score of the replica for the empty prompt prefix. Among the replicas, the one with the largest score
        /// is preferred, so that prompts with the same prefix reach the same cache.
        pub affinity: u64,
    }
}

/// Returns the JSON-RPC methods of the router.
///
/// # Errors
///
/// Fails only if a method is registered twice.
pub(crate) fn rpc_module(router: &Weak<Router>) -> Result<RpcModule<()>, jsonrpsee::core::RegisterMethodError> {
    let mut module = RpcModule::new(());
    let router = Weak::clone(router);
    module.register_method("explain", move |params, _context, _extensions| {
        let request: ExplainRequest = params.parse()?;
        let stopped = || ErrorObjectOwned::owned(STOPPED, "the router has stopped", None::<()>);
        let router = router.upgrade().ok_or_else(stopped)?;
        Ok::<_, ErrorObjectOwned>(explain(&router, &request))
    })?;
    Ok(module)
}

fn explain(router: &Arc<Router>, request: &ExplainRequest) -> Explanation {
    let mut explanation = Explanation {
        admitted: false,
        code: None,
        reason: String::new(),
        organisation: None,
        profile: None,
        pool: None,
        replicas: Vec::new(),
        waiting: 0,
        running: 0,
        expected_wait_ms: None,
    };
    let result = evaluate(router, request, &mut explanation);
    match result {
        Ok(reason) => {
            explanation.admitted = true;
            explanation.reason = reason;
        }
        Err(refusal) => {
            explanation.code = Some(refusal.code.to_string());
            explanation.reason = match refusal.detail {
                Some(detail) => format!("{} {detail}", refusal.code.text()),
                None => refusal.code.text().to_owned(),
            };
        }
    }
    explanation
}

fn evaluate(router: &Arc<Router>, request: &ExplainRequest, explanation: &mut Explanation) -> Result<String, Refusal> {
    let snapshot = router.config.current();
    let name = organisation_of(&snapshot, request)?;
    let organisation = snapshot
        .organisations
        .get(name.as_str())
        .ok_or_else(|| Refusal::not_run(Code::UnknownKey).detail(format!("There is no organisation {name:?}.")))?;
    explanation.organisation = Some(name);
    let (model, adapter) = find_model(&snapshot, &request.model)?;
    explanation.pool = Some(model.pool.to_string());
    let profile = find_profile(&snapshot, model, request.profile.as_deref())?;
    explanation.profile = Some(profile.name.to_string());
    let key = TargetKey {
        pool: model.pool.clone(),
        service: Service::Model(model.name.clone(), adapter),
    };
    let target = router.target(&key);
    add_target(&target, &snapshot, explanation);
    explanation.expected_wait_ms = target.expected_wait_ms(&organisation.name, organisation.weight, profile.priority);
    if router.node.members.isolated() {
        return Err(Code::Isolated.into());
    }
    let is_cold = explanation.replicas.is_empty();
    let max_wait_ms = if is_cold {
        profile.cold_start_ms
    } else {
        profile.first_token_ms
    };
    if explanation.expected_wait_ms.is_some_and(|wait| wait > max_wait_ms) {
        let detail = format!("The profile allows {max_wait_ms} ms.");
        return Err(Refusal::not_run(Code::DeadlineUnreachable).detail(detail));
    }
    Ok(if is_cold {
        format!("It would wait up to {max_wait_ms} ms for a replica to be loaded.")
    } else {
        format!("It would go to one of {} replicas.", explanation.replicas.len())
    })
}

fn organisation_of(snapshot: &Snapshot, request: &ExplainRequest) -> Result<String, Refusal> {
    let Some(id) = &request.key else {
        let organisation = request.organisation.clone();
        return organisation.ok_or_else(|| Refusal::not_run(Code::MissingKey).detail("Give a key or an organisation."));
    };
    let key = snapshot.keys.get(&KeyId::new(id)).ok_or(Code::UnknownKey)?;
    if key.withdrawn {
        return Err(Code::WithdrawnKey.into());
    }
    match &request.organisation {
        Some(given) if *given != key.organisation.as_str() => {
            let detail = format!("The key belongs to {}.", key.organisation);
            Err(Refusal::not_run(Code::ConflictingFields).detail(detail))
        }
        _ => Ok(key.organisation.to_string()),
    }
}

fn add_target(target: &Target, snapshot: &Snapshot, explanation: &mut Explanation) {
    let load = target.load();
    explanation.waiting = load.waiting;
    explanation.running = load.running;
    let replicas = crate::dispatch::usable_replicas(snapshot, &target.key);
    explanation.replicas = replicas
        .iter()
        .map(|it| ExplainedReplica {
            replica: it.replica.to_string(),
            server: it.server.to_string(),
            zone: it.zone.to_string(),
            affinity: routing::affinity_score(routing::prefix_hash(b""), it.replica.as_str()),
        })
        .collect();
}
