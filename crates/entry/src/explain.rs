//! Explains to operators where a described request would be sent now, and why, without sending it.
//!
//! The description is a JSON object in a `POST` to `/explain` on the listener for metrics. It names the organisation
//! rather than its key, so that operators need no customer's key. Rate limits and verdicts on prompts are not checked:
//! both depend on what the request costs and contains.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::Bytes;
use guava_core::codes::Code;
use guava_fleet::model::RouteKind;
use guava_platform::headers::CallerHeaders;
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri, header};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::dispatch::{Dispatch, ServiceExplanation};
use crate::intake::{Client, read_whole};
use crate::reply::{Body, Failure, full_body};
use crate::request::{Inbound, Resolved};
use crate::state::{EntryState, now};

/// Path of the explanation on the listener for metrics.
pub const PATH: &str = "/explain";
/// Largest description; names have at most a few hundred bytes.
const MAX_DESCRIPTION_BYTES: usize = 16 << 10;
/// Longest time for a description to arrive.
const DESCRIPTION_TIMEOUT: Duration = Duration::from_secs(5);

/// Description of a request.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Description {
    /// Host that the caller names.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Organisation that sends the request; not needed for open routes.
    pub organisation: Option<String>,
    /// Model that the request needs.
    pub model: Option<String>,
    /// Adapter of the model.
    pub adapter: Option<String>,
    /// Id of the first part of the prompt.
    pub prompt_part: Option<String>,
    /// Time for which the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// Where a request would be sent by one VM.
#[derive(Debug, Clone, Serialize)]
pub struct Explanation {
    /// VM that explains.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Name of the route.
    pub route: String,
    /// How often the request may be run.
    pub kind: &'static str,
    /// Other VMs that this one knows of.
    pub other_vms: usize,
    /// What would happen at each service of the route.
    pub services: Vec<ServiceExplanation>,
}

/// Answers a description with an [`Explanation`], or with the numbered error of a request that names no route.
pub async fn serve(state: &Arc<EntryState>, client: &Arc<Client>, req: Request<Incoming>) -> Response<Body> {
    if req.method() != Method::POST {
        return Failure::not_run(Code::MethodNotAllowed).response();
    }
    let reading = read_whole(client, req.into_body(), MAX_DESCRIPTION_BYTES);
    let Ok(Ok(body)) = timeout(DESCRIPTION_TIMEOUT, reading).await else {
        return Failure::not_run(Code::TruncatedBody).response();
    };
    let Ok(description) = serde_json::from_slice::<Description>(&body) else {
        return Failure::not_run(Code::MalformedJson).response();
    };
    match explain(state, client, &description) {
        Ok(explanation) => {
            let body = serde_json::to_vec(&explanation).unwrap_or_default();
            let mut answer = Response::new(full_body(Bytes::from(body)));
            let json = HeaderValue::from_static("application/json");
            answer.headers_mut().insert(header::CONTENT_TYPE, json);
            answer
        }
        Err(failure) => failure.response(),
    }
}

/// Explains where a described request would be sent now.
///
/// # Errors
///
/// Fails as the request would: without a configuration, a route, or an organisation that the route needs.
pub fn explain(
    state: &Arc<EntryState>,
    client: &Arc<Client>,
    description: &Description,
) -> Result<Explanation, Failure> {
    let resolved = resolve(state, description)?;
    let inbound = Arc::new(inbound(client, description)?);
    let explain_service = |(service, weight): &(String, u32)| {
        let dispatch = Dispatch::new(
            Arc::clone(state),
            Arc::clone(&inbound),
            resolved.clone(),
            service.clone(),
            None,
            false,
        );
        dispatch.explain(*weight)
    };
    let services = resolved.route.targets.iter().map(explain_service).collect();
    Ok(Explanation {
        vm: state.settings.vm.clone(),
        zone: state.settings.zone.clone(),
        config_version: resolved.in_force.config.version,
        route: resolved.route.name.clone(),
        kind: match resolved.route.kind {
            RouteKind::Idempotent => "idempotent",
            RouteKind::NonIdempotent => "non_idempotent",
            RouteKind::Streaming => "streaming",
        },
        other_vms: state.vms() - 1,
        services,
    })
}

fn resolve(state: &EntryState, description: &Description) -> Result<Resolved, Failure> {
    let in_force = state.config().ok_or(Failure::not_run(Code::Starting))?;
    let route = in_force.route(&description.host, &description.path).cloned();
    let route = route.ok_or(Failure::not_run(Code::UnknownRoute))?;
    let organisation = if route.open || !in_force.needs_keys() {
        None
    } else {
        let name = description.organisation.as_ref();
        let name = name.ok_or(Failure::not_run(Code::MissingKey))?;
        let mut known = in_force.config.organisations.iter();
        let found = known.find(|it| it.name == *name).cloned();
        Some(found.ok_or(Failure::not_run(Code::UnknownKey))?)
    };
    Ok(Resolved {
        in_force,
        route,
        organisation,
    })
}

fn inbound(client: &Arc<Client>, description: &Description) -> Result<Inbound, Failure> {
    let uri: Result<Uri, _> = description.path.parse();
    Ok(Inbound {
        method: Method::GET,
        uri: uri.map_err(|_invalid| Failure::not_run(Code::InvalidField))?,
        headers: HeaderMap::new(),
        caller: CallerHeaders {
            attempt_id: "-".to_owned(),
            deadline_ms: description.deadline_ms,
            model: description.model.clone(),
            adapter: description.adapter.clone(),
            first_prompt_part: description.prompt_part.clone(),
            ..CallerHeaders::default()
        },
        body: Bytes::new(),
        client: Arc::clone(client),
        clues: Vec::new(),
        arrived: now(),
        may_have_run: AtomicBool::new(false),
    })
}
