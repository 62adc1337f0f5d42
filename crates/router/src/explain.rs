//! JSON-RPC method `explain`: why a request would be refused, or where it would go.

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

/// JSON-RPC code for a router that has stopped.
const STOPPED: i32 = -32_001;

derive_value! {
    /// Question about a request.
    #[serde(deny_unknown_fields)]
    pub struct ExplainRequest {
        /// Organisation; not needed with a key.
        #[serde(default)]
        pub organisation: Option<String>,
        /// Public part of a key.
        #[serde(default)]
        pub key: Option<String>,
        /// Model or adapter.
        pub model: String,
        /// Profile; the model's when absent.
        #[serde(default)]
        pub profile: Option<String>,
    }

    /// Answer to an [`ExplainRequest`].
    pub struct Explanation {
        /// Whether a request would be admitted now, apart from its body and quota.
        pub admitted: bool,
        /// Code of the refusal.
        pub code: Option<String>,
        /// Why, in a sentence.
        pub reason: String,
        /// Organisation the request would run for.
        pub organisation: Option<String>,
        /// Profile it would run under.
        pub profile: Option<String>,
        /// Pool.
        pub pool: Option<String>,
        /// Replicas that take requests.
        pub replicas: Vec<ExplainedReplica>,
        /// Requests waiting at this router.
        pub waiting: u64,
        /// Requests running from this router.
        pub running: u64,
        /// Expected wait, in milliseconds, when there is an estimate.
        pub expected_wait_ms: Option<u64>,
    }

    /// A replica that a request may go to.
    pub struct ExplainedReplica {
        /// Replica.
        pub replica: String,
        /// Backend server.
        pub server: String,
        /// Availability zone.
        pub zone: String,
        /// Rank for the empty prompt prefix; the largest is preferred for prefix caching.
        pub affinity: u64,
    }
}

/// JSON-RPC methods of the router.
///
/// # Errors
///
/// Fails only when a method is registered twice.
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
    let result = fill(router, request, &mut explanation);
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

fn fill(router: &Arc<Router>, request: &ExplainRequest, explanation: &mut Explanation) -> Result<String, Refusal> {
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
    describe(&target, &snapshot, explanation);
    explanation.expected_wait_ms = target.expected_wait_ms(&organisation.name, organisation.weight, profile.priority);
    if router.node.members.isolated() {
        return Err(Code::Isolated.into());
    }
    let cold = explanation.replicas.is_empty();
    let longest_ms = if cold {
        profile.cold_start_ms
    } else {
        profile.first_token_ms
    };
    if explanation.expected_wait_ms.is_some_and(|wait| wait > longest_ms) {
        let detail = format!("The profile allows {longest_ms} ms.");
        return Err(Refusal::not_run(Code::DeadlineUnreachable).detail(detail));
    }
    Ok(if cold {
        format!("It would wait up to {longest_ms} ms for a replica to be loaded.")
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
        Some(named) if *named != key.organisation.as_str() => {
            let detail = format!("The key belongs to {}.", key.organisation);
            Err(Refusal::not_run(Code::ConflictingFields).detail(detail))
        }
        _ => Ok(key.organisation.to_string()),
    }
}

fn describe(target: &Target, snapshot: &Snapshot, explanation: &mut Explanation) {
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
            affinity: routing::rendezvous_score(routing::prefix_hash(b""), it.replica.as_str()),
        })
        .collect();
}
