//! API for callers: resolves the path, authenticates the caller and validates headers and body.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use guava_core::codes::Code;
use guava_core::config::{Key, Model, Organisation, Profile, Route};
use guava_core::ids::{AdapterName, JobId, ModelName, OrganisationName, RequestId};
use guava_core::keys::PresentedKey;
use guava_core::request::Class;
use guava_core::snapshot::Snapshot;
use guava_node::intake::{Holder, replace_body};
use http::{HeaderMap, Method, StatusCode, header};
use serde_json::json;
use sha2::{Digest, Sha256};

use crate::answer::{Answer, WholeAnswer};
use crate::dispatch::{Service, TargetKey};
use crate::guards::{ClaimGuard, ClaimResult, IdempotencyKey};
use crate::input::{self, Api};
use crate::path::{Caller, CheckedRequest, Router, Times};
use crate::refusal::Refusal;
use crate::{JobRequest, JobState, Outcome};

const CHAT_PATH: &str = "/v1/chat/completions";
const COMPLETIONS_PATH: &str = "/v1/completions";
const MODELS_PATH: &str = "/v1/models";
const JOBS_PATH: &str = "/v1/jobs/";
const ROUTE_PATH: &str = "/svc/";
/// Request headers that are forwarded to backend servers. None of them contains a caller's key.
///
/// The idempotency key is among them, so that a backend server that detects repeated requests can refuse them itself.
static BACKEND_HEADERS: [header::HeaderName; 7] = [
    header::HeaderName::from_static("idempotency-key"),
    header::CONTENT_TYPE,
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    header::CONTENT_LANGUAGE,
    header::IF_NONE_MATCH,
    header::IF_MODIFIED_SINCE,
];

/// Operation that a method and path select.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Endpoint {
    /// List of models and adapters.
    Models,
    /// Inference through one of the OpenAI-compatible APIs.
    Inference(Api),
    /// State and, once there is one, answer of the job with this id.
    Job(JobId),
    /// Call of a plain service: name of the route, and the rest of the path with a leading slash.
    Route(String, String),
    /// Liveness check.
    Healthz,
    /// Readiness check.
    Readyz,
    /// Metrics in the Prometheus text format.
    Metrics,
}

impl Endpoint {
    /// Finds the endpoint of a method and path.
    ///
    /// # Errors
    ///
    /// Fails with `UnknownPath`, or with `MethodNotAllowed` if the path exists but does not accept the method.
    pub fn find(method: &Method, path: &str) -> Result<Self, Refusal> {
        let (endpoint, accepted) = match path {
            "/healthz" => (Self::Healthz, Method::GET),
            "/readyz" => (Self::Readyz, Method::GET),
            "/metrics" => (Self::Metrics, Method::GET),
            MODELS_PATH => (Self::Models, Method::GET),
            CHAT_PATH => (Self::Inference(Api::Chat), Method::POST),
            COMPLETIONS_PATH => (Self::Inference(Api::Completions), Method::POST),
            _ => return Self::find_by_prefix(method, path),
        };
        if *method == accepted {
            return Ok(endpoint);
        }
        Err(Refusal::not_run(Code::MethodNotAllowed).detail(format!("It accepts {accepted}.")))
    }

    fn find_by_prefix(method: &Method, path: &str) -> Result<Self, Refusal> {
        if let Some(id) = path.strip_prefix(JOBS_PATH).filter(|it| !it.is_empty()) {
            let accepted = *method == Method::GET;
            return accepted
                .then(|| Self::Job(JobId::new(id)))
                .ok_or_else(|| Refusal::not_run(Code::MethodNotAllowed).detail("It accepts GET."));
        }
        let rest = path.strip_prefix(ROUTE_PATH).ok_or(Code::UnknownPath)?;
        let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
        if *method == Method::CONNECT || *method == Method::TRACE {
            return Err(Refusal::not_run(Code::MethodNotAllowed));
        }
        Ok(Self::Route(name.to_owned(), format!("/{rest}")))
    }
}

/// Head of a caller's request, before any checks.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Identifier that this router assigned.
    pub id: RequestId,
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query as received, without the question mark; it may contain the caller's key.
    pub query: Option<String>,
    /// Headers as received; they may contain the caller's key.
    pub headers: HeaderMap,
}

/// A request that passed the checks that need no body.
#[derive(Debug)]
pub struct AcceptedRequest {
    /// Head of the request.
    pub head: RequestHead,
    /// Operation that the request selects.
    pub endpoint: Endpoint,
    /// Authenticated caller, or the anonymous one of an open route.
    pub caller: Caller,
    /// Configuration in force when the request was received; the checks before its admission use it.
    pub snapshot: Arc<Snapshot>,
    /// Connection of the caller; `None` for jobs.
    pub holder: Option<Holder>,
    /// Whether the request belongs to a job that was accepted earlier; it is then neither deferred again nor required
    /// to have an idempotency key.
    pub is_job: bool,
}

/// A request that passed all checks: run at once or stored as a job.
#[derive(Debug)]
pub enum Prepared {
    /// Request to run at once.
    Run(Box<CheckedRequest>),
    /// Request to store as a job.
    Job(Box<DeferredRequest>),
}

/// A checked request that is stored as a job.
#[derive(Debug)]
pub struct DeferredRequest {
    /// Form in which the request is stored.
    pub request: JobRequest,
    /// Idempotency key; `None` if the request is idempotent or the caller gave none.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Deadlines as for a request that runs at once; claiming the idempotency key must end by `finish_by`.
    pub times: Times,
}

impl Router {
    /// Performs the checks that need no body: whether this router serves requests, and the caller's key.
    pub(crate) fn accept(
        &self,
        head: RequestHead,
        endpoint: Endpoint,
        holder: Option<Holder>,
    ) -> Result<AcceptedRequest, Refusal> {
        let snapshot = self.config.current();
        let is_open = match &endpoint {
            Endpoint::Route(name, _) => snapshot.routes.get(name.as_str()).is_some_and(|it| it.open),
            _ => false,
        };
        self.check_serving(is_open)?;
        let caller = if is_open {
            Caller {
                organisation: None,
                weight: 1,
                key: None,
            }
        } else {
            self.authenticate(&head, &snapshot)?
        };
        Ok(AcceptedRequest {
            head,
            endpoint,
            caller,
            snapshot,
            holder,
            is_job: false,
        })
    }

    fn check_serving(&self, is_open: bool) -> Result<(), Refusal> {
        if !is_open && self.node.members.isolated() {
            return Err(Refusal::not_run(Code::Isolated).retry_after_ms(1000));
        }
        if self.closing.load(Ordering::Relaxed) {
            return Err(Refusal::not_run(Code::Stopping).retry_after_ms(1000));
        }
        if !self.was_ready.load(Ordering::Relaxed) {
            if !(self.ready)() {
                return Err(Refusal::not_run(Code::Starting).retry_after_ms(1000));
            }
            self.was_ready.store(true, Ordering::Relaxed);
        }
        Ok(())
    }

    fn authenticate(&self, head: &RequestHead, snapshot: &Snapshot) -> Result<Caller, Refusal> {
        let text = input::presented_key(&head.headers, head.query.as_deref())?.ok_or(Code::MissingKey)?;
        let presented = PresentedKey::parse(&text).map_err(|_malformed| Refusal::not_run(Code::UnknownKey))?;
        let key = snapshot.keys.get(presented.id);
        let key: &Key = key
            .filter(|it| self.hasher.matches(&presented, it))
            .ok_or(Code::UnknownKey)?;
        if key.withdrawn {
            return Err(Code::WithdrawnKey.into());
        }
        let organisation = snapshot.organisations.get(&key.organisation).ok_or(Code::UnknownKey)?;
        Ok(Caller {
            key: Some(key.id.clone()),
            ..caller_without_key(organisation)
        })
    }

    /// Performs the remaining checks: body, names of models, profiles and routes, and idempotency key.
    pub(crate) fn prepare(&self, accepted: AcceptedRequest, body: Bytes) -> Result<Prepared, Refusal> {
        match accepted.endpoint.clone() {
            Endpoint::Inference(api) => self.prepare_inference(accepted, api, &body),
            Endpoint::Route(name, rest) => self.prepare_route(accepted, &name, &rest, body),
            _ => Err(Code::UnknownPath.into()),
        }
    }

    fn prepare_inference(&self, accepted: AcceptedRequest, api: Api, body: &Bytes) -> Result<Prepared, Refusal> {
        let AcceptedRequest {
            head,
            caller,
            snapshot,
            holder,
            is_job,
            ..
        } = accepted;
        check_content_encoding(&head.headers)?;
        let inference = input::parse_inference(api, body)?;
        let header_profile = input::single_header(&head.headers, input::PROFILE_HEADER)?;
        if let (Some(header), Some(field)) = (header_profile, inference.profile.as_deref())
            && header != field
        {
            let detail = format!("Header {} and field profile differ.", input::PROFILE_HEADER);
            return Err(Refusal::not_run(Code::ConflictingFields).detail(detail));
        }
        let (model, adapter) = find_model(&snapshot, &inference.model)?;
        let requested_profile = header_profile.or(inference.profile.as_deref());
        let profile = find_profile(&snapshot, model, requested_profile)?;
        let is_deferred = !is_job && (profile.deferred || input::prefers_async(&head.headers)?);
        if is_deferred && inference.stream {
            let detail = "A deferred request cannot be streamed.";
            return Err(Refusal::not_run(Code::ConflictingFields).detail(detail));
        }
        let class = class_of(profile.idempotent);
        let path = backend_path(&head.path, head.query.as_deref());
        let idempotency_key = idempotency_key_of(
            &head,
            &caller,
            class,
            profile.require_idempotency_key && !is_job,
            &path,
            body,
        )?;
        let target = TargetKey {
            pool: model.pool.clone(),
            service: Service::Model(model.name.clone(), adapter),
        };
        let times = self.model_times(&target, profile);
        if is_deferred {
            let request = JobRequest {
                path,
                method: head.method.to_string(),
                profile: requested_profile.map(str::to_owned),
                idempotent: profile.idempotent,
                content_type: content_type(&head.headers),
                body: body.to_vec(),
            };
            return Ok(Prepared::Job(Box::new(DeferredRequest {
                request,
                idempotency_key,
                times,
            })));
        }
        let output = inference
            .max_output
            .unwrap_or(profile.max_output_tokens * inference.choices);
        Ok(Prepared::Run(Box::new(CheckedRequest {
            id: head.id.clone(),
            target,
            class,
            path,
            headers: backend_headers(&head.headers),
            method: head.method,
            // The body may have been encoded again; what is held for the original then covers the new one.
            body: replace_body(inference.body, body),
            holder,
            tokens: inference.prompt_tokens + output,
            prompt_tokens: inference.prompt_tokens,
            prefix: Some(inference.prefix),
            stream: inference.stream,
            profile: Some(profile.name.clone()),
            priority: profile.priority,
            queue_limit: profile.queue_limit,
            times,
            idempotency_key,
            caller,
        })))
    }

    fn model_times(&self, target: &TargetKey, profile: &Profile) -> Times {
        let received = self.node.clock.now();
        let max_wait_ms = if self.target(target).is_ready() {
            profile.first_token_ms
        } else {
            profile.cold_start_ms
        };
        Times {
            received,
            send_by: received + max_wait_ms,
            finish_by: received + profile.timeout_ms,
        }
    }

    fn prepare_route(
        &self,
        accepted: AcceptedRequest,
        name: &str,
        rest: &str,
        body: Bytes,
    ) -> Result<Prepared, Refusal> {
        let AcceptedRequest {
            head,
            caller,
            snapshot,
            holder,
            is_job,
            ..
        } = accepted;
        let route: &Route = snapshot.routes.get(name).ok_or(Code::UnknownRoute)?;
        let mut methods = route.idempotent_methods.iter();
        let class = class_of(methods.any(|it| it.eq_ignore_ascii_case(head.method.as_str())));
        let path = backend_path(rest, head.query.as_deref());
        let idempotency_key = idempotency_key_of(
            &head,
            &caller,
            class,
            route.require_idempotency_key && !is_job,
            &path,
            &body,
        )?;
        let received = self.node.clock.now();
        let times = Times {
            received,
            send_by: received + route.timeout_ms,
            finish_by: received + route.timeout_ms,
        };
        if !is_job && !route.open && input::prefers_async(&head.headers)? {
            let request = JobRequest {
                path: backend_path(&head.path, head.query.as_deref()),
                method: head.method.to_string(),
                profile: None,
                idempotent: class == Class::Idempotent,
                content_type: content_type(&head.headers),
                body: body.to_vec(),
            };
            return Ok(Prepared::Job(Box::new(DeferredRequest {
                request,
                idempotency_key,
                times,
            })));
        }
        Ok(Prepared::Run(Box::new(CheckedRequest {
            id: head.id.clone(),
            target: TargetKey {
                pool: route.pool.clone(),
                service: Service::Plain,
            },
            class,
            path,
            headers: backend_headers(&head.headers),
            method: head.method,
            body,
            holder,
            tokens: route.call_tokens,
            prompt_tokens: 0,
            prefix: None,
            stream: false,
            profile: None,
            priority: 0,
            queue_limit: 0,
            times,
            idempotency_key,
            caller,
        })))
    }

    /// Stores a job. A repeated request with the same idempotency key gets the id of the first job.
    pub(crate) async fn accept_job(
        &self,
        organisation: &OrganisationName,
        deferred: DeferredRequest,
    ) -> Result<WholeAnswer, Refusal> {
        let DeferredRequest {
            request,
            idempotency_key,
            times,
        } = deferred;
        let claim = match idempotency_key {
            None => None,
            Some(idempotency_key) => match ClaimGuard::claim(self, idempotency_key, times.finish_by).await? {
                ClaimResult::Run(claim) => Some(claim),
                ClaimResult::Replay(answer) => return Ok(WholeAnswer::from_stored(answer)),
                ClaimResult::Unknown => return Err(Refusal::outcome_unknown(Code::OutcomeUnknown)),
            },
        };
        let jobs = self.jobs.get().ok_or(Code::JobNotAccepted)?;
        let id = jobs.accept(organisation, request).await?;
        let body = json!({"id": id, "object": "job", "state": "accepted"});
        let mut answer = WholeAnswer::json(StatusCode::ACCEPTED, &body);
        if let Ok(location) = http::HeaderValue::from_str(&format!("{JOBS_PATH}{id}")) {
            answer.headers.push((header::LOCATION, location));
        }
        if let Some(claim) = claim {
            claim.finish(Outcome::Answered(answer.to_stored())).await;
        }
        Ok(answer)
    }

    /// Returns a job's state, and its answer if there is one, as JSON.
    pub(crate) async fn job_state(&self, organisation: &OrganisationName, id: &JobId) -> Result<WholeAnswer, Refusal> {
        let jobs = self.jobs.get().ok_or(Code::UnknownJob)?;
        let state = jobs.state(organisation, id).await?;
        let body = match state {
            JobState::Accepted => json!({"id": id, "object": "job", "state": "accepted"}),
            JobState::Running => json!({"id": id, "object": "job", "state": "running"}),
            JobState::OutcomeUnknown => json!({"id": id, "object": "job", "state": "outcome_unknown"}),
            JobState::Failed(reason) => json!({"id": id, "object": "job", "state": "failed", "reason": reason}),
            JobState::Done(answer) => {
                let text = String::from_utf8_lossy(&answer.body);
                let parsed = serde_json::from_str(&text);
                json!({
                    "id": id,
                    "object": "job",
                    "state": "done",
                    "status": answer.status,
                    "content_type": answer.content_type,
                    "answer": parsed.unwrap_or_else(|_not_json| serde_json::Value::from(text.as_ref())),
                })
            }
        };
        Ok(WholeAnswer::json(StatusCode::OK, &body))
    }

    /// Performs the remaining checks, then runs the request or stores it as a job.
    pub(crate) async fn answer(self: &Arc<Self>, accepted: AcceptedRequest, body: Bytes) -> Answer {
        let organisation = accepted.caller.organisation.clone();
        // What is held for the body covers the copy that is stored as a job.
        let held_body = body.clone();
        match self.prepare(accepted, body) {
            Err(refusal) => {
                self.metrics.count_error(refusal.code, organisation.as_ref());
                Answer::Refused(refusal)
            }
            Ok(Prepared::Run(checked)) => self.run(*checked).await,
            Ok(Prepared::Job(deferred)) => {
                let Some(organisation) = organisation else {
                    return Answer::Refused(Code::MissingKey.into());
                };
                let result = self.accept_job(&organisation, *deferred).await;
                drop(held_body);
                result.map_or_else(Answer::Refused, Answer::Whole)
            }
        }
    }
}

/// Lists models and adapters in the format of the OpenAI API. The start of the router serves as their creation time, as
/// the configuration has none.
pub(crate) fn model_list(snapshot: &Snapshot, started: u64) -> WholeAnswer {
    let models = snapshot.models.values().map(|it| (it.name.as_str(), it.pool.as_str()));
    let adapters = snapshot.adapters.values().filter_map(|it| {
        let model = snapshot.models.get(&it.model)?;
        Some((it.name.as_str(), model.pool.as_str()))
    });
    let mut names: Vec<(&str, &str)> = models.chain(adapters).collect();
    names.sort_unstable();
    let data: Vec<serde_json::Value> = names
        .into_iter()
        .map(|(id, pool)| json!({"id": id, "object": "model", "created": started, "owned_by": pool}))
        .collect();
    WholeAnswer::json(StatusCode::OK, &json!({"object": "list", "data": data}))
}

/// Caller for requests on behalf of an organisation without a key, such as those of jobs.
pub(crate) fn caller_without_key(organisation: &Organisation) -> Caller {
    Caller {
        organisation: Some(organisation.name.clone()),
        weight: organisation.weight,
        key: None,
    }
}

/// Finds the model with the given name, or the adapter with that name and its model.
pub(crate) fn find_model<'a>(snapshot: &'a Snapshot, name: &str) -> Result<(&'a Model, Option<AdapterName>), Refusal> {
    if let Some(model) = snapshot.models.get(&ModelName::new(name)) {
        return Ok((model, None));
    }
    let adapter = snapshot
        .adapters
        .get(&AdapterName::new(name))
        .ok_or(Code::UnknownModel)?;
    let model = snapshot.models.get(&adapter.model).ok_or(Code::UnknownModel)?;
    Ok((model, Some(adapter.name.clone())))
}

/// Finds the profile that a request names, else the default profile of the model.
pub(crate) fn find_profile<'a>(
    snapshot: &'a Snapshot,
    model: &'a Model,
    named: Option<&str>,
) -> Result<&'a Profile, Refusal> {
    let name = named.unwrap_or(model.profile.as_str());
    snapshot
        .profiles
        .get(name)
        .ok_or_else(|| Refusal::not_run(Code::UnknownProfile).detail(format!("Profile {name:?}.")))
}

fn class_of(idempotent: bool) -> Class {
    if idempotent {
        Class::Idempotent
    } else {
        Class::NonIdempotent
    }
}

fn backend_path(path: &str, query: Option<&str>) -> String {
    match input::query_without_key(query) {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

fn content_type(headers: &HeaderMap) -> String {
    let value = headers.get(header::CONTENT_TYPE).and_then(|it| it.to_str().ok());
    value.unwrap_or("application/octet-stream").to_owned()
}

fn backend_headers(headers: &HeaderMap) -> HeaderMap {
    let allowed = BACKEND_HEADERS.iter();
    allowed
        .filter_map(|name| headers.get(name).map(|value| (name.clone(), value.clone())))
        .collect()
}

/// Refuses compressed bodies, because the router has to parse them.
fn check_content_encoding(headers: &HeaderMap) -> Result<(), Refusal> {
    let encoding = input::single_header(headers, header::CONTENT_ENCODING.as_str())?;
    match encoding {
        None | Some("identity") => Ok(()),
        Some(_) => Err(Refusal::not_run(Code::InvalidHeader).detail("Header content-encoding accepts identity.")),
    }
}

/// Returns the idempotency key of a non-idempotent request. The keys of idempotent requests and of open routes are not
/// used.
fn idempotency_key_of(
    head: &RequestHead,
    caller: &Caller,
    class: Class,
    required: bool,
    path: &str,
    body: &Bytes,
) -> Result<Option<IdempotencyKey>, Refusal> {
    let key = input::idempotency_key(&head.headers)?;
    if class == Class::Idempotent {
        return Ok(None);
    }
    let Some(key) = key else {
        return if required {
            Err(Code::MissingIdempotencyKey.into())
        } else {
            Ok(None)
        };
    };
    // Records are kept per organisation, and open routes have none.
    let Some(organisation) = caller.organisation.clone() else {
        return Ok(None);
    };
    let mut digest = Sha256::new();
    for part in [
        head.method.as_str().as_bytes(),
        head.path.as_bytes(),
        path.as_bytes(),
        content_type(&head.headers).as_bytes(),
        body,
    ] {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    Ok(Some(IdempotencyKey {
        organisation,
        key: key.to_owned(),
        digest: hex::encode(digest.finalize()),
    }))
}
