//! Callers' API: from a path, headers and body to checked work.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use guava_core::codes::Code;
use guava_core::config::{Key, Model, Organisation, Profile, Route};
use guava_core::ids::{AdapterName, JobId, ModelName, OrganisationName, RequestId};
use guava_core::keys::PresentedKey;
use guava_core::request::Class;
use guava_core::snapshot::Snapshot;
use http::{HeaderMap, Method, StatusCode, header};
use serde_json::json;
use sha2::{Digest, Sha256};

use crate::answer::{Answer, WholeAnswer};
use crate::dispatch::{Service, TargetKey};
use crate::guards::{ClaimGuard, Claimed, KeyedRequest};
use crate::input::{self, Api};
use crate::path::{Caller, Router, Times, Work};
use crate::refusal::Refusal;
use crate::{JobRequest, JobState, Outcome};

const CHAT_PATH: &str = "/v1/chat/completions";
const COMPLETIONS_PATH: &str = "/v1/completions";
const MODELS_PATH: &str = "/v1/models";
const JOBS_PATH: &str = "/v1/jobs/";
const ROUTE_PATH: &str = "/svc/";
/// Headers of requests that backend servers receive. Keys are in none of them.
///
/// The idempotency key goes along, so that a backend server that recognises repeats can refuse one itself.
static BACKEND_HEADERS: [header::HeaderName; 7] = [
    header::HeaderName::from_static("idempotency-key"),
    header::CONTENT_TYPE,
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    header::CONTENT_LANGUAGE,
    header::IF_NONE_MATCH,
    header::IF_MODIFIED_SINCE,
];

/// What a path stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Endpoint {
    /// List of models.
    Models,
    /// Inference.
    Inference(Api),
    /// State of a job.
    Job(JobId),
    /// Plain service: name of the route and rest of the path.
    Route(String, String),
    /// Liveness.
    Healthz,
    /// Readiness.
    Readyz,
    /// Metrics.
    Metrics,
}

impl Endpoint {
    /// Finds the endpoint of a method and path.
    ///
    /// # Errors
    ///
    /// Fails when nothing is at the path or it does not accept the method.
    pub fn find(method: &Method, path: &str) -> Result<Self, Refusal> {
        let (endpoint, accepted) = match path {
            "/healthz" => (Self::Healthz, Method::GET),
            "/readyz" => (Self::Readyz, Method::GET),
            "/metrics" => (Self::Metrics, Method::GET),
            MODELS_PATH => (Self::Models, Method::GET),
            CHAT_PATH => (Self::Inference(Api::Chat), Method::POST),
            COMPLETIONS_PATH => (Self::Inference(Api::Completions), Method::POST),
            _ => return Self::find_nested(method, path),
        };
        if *method == accepted {
            return Ok(endpoint);
        }
        Err(Refusal::not_run(Code::MethodNotAllowed).detail(format!("It accepts {accepted}.")))
    }

    fn find_nested(method: &Method, path: &str) -> Result<Self, Refusal> {
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

/// Head of a caller's request.
#[derive(Debug, Clone)]
pub struct Head {
    /// Identifier given to it.
    pub id: RequestId,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Query as it came.
    pub query: Option<String>,
    /// Headers as they came.
    pub headers: HeaderMap,
}

/// Result of the checks that need no body.
#[derive(Debug)]
pub struct Accepted {
    /// Head.
    pub head: Head,
    /// Endpoint.
    pub endpoint: Endpoint,
    /// Caller.
    pub caller: Caller,
    /// Configuration at arrival.
    pub snapshot: Arc<Snapshot>,
    /// Whether the request is run for a job that was accepted earlier.
    pub is_job: bool,
}

/// A checked request: to be run now or stored as a job.
#[derive(Debug)]
pub enum Prepared {
    /// To be run now.
    Now(Box<Work>),
    /// To be stored.
    Job(Box<Deferred>),
}

/// A checked request that is stored as a job.
#[derive(Debug)]
pub struct Deferred {
    /// Stored form.
    pub request: JobRequest,
    /// Idempotency key.
    pub keyed: Option<KeyedRequest>,
    /// Times of the checks.
    pub times: Times,
}

impl Router {
    /// Checks everything that needs no body: state of the VM, path and key.
    pub(crate) fn accept(&self, head: Head, endpoint: Endpoint) -> Result<Accepted, Refusal> {
        let snapshot = self.config.current();
        let is_open = match &endpoint {
            Endpoint::Route(name, _) => snapshot.routes.get(name.as_str()).is_some_and(|it| it.open),
            _ => false,
        };
        self.check_state(is_open)?;
        let caller = if is_open {
            Caller {
                organisation: None,
                weight: 1,
                key: None,
            }
        } else {
            self.authenticate(&head, &snapshot)?
        };
        Ok(Accepted {
            head,
            endpoint,
            caller,
            snapshot,
            is_job: false,
        })
    }

    fn check_state(&self, is_open: bool) -> Result<(), Refusal> {
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

    fn authenticate(&self, head: &Head, snapshot: &Snapshot) -> Result<Caller, Refusal> {
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
            ..caller_of(organisation)
        })
    }

    /// Checks body, names and idempotency key.
    pub(crate) fn prepare(&self, accepted: Accepted, body: Bytes) -> Result<Prepared, Refusal> {
        match accepted.endpoint.clone() {
            Endpoint::Inference(api) => self.prepare_inference(accepted, api, &body),
            Endpoint::Route(name, rest) => self.prepare_route(accepted, &name, &rest, body),
            _ => Err(Code::UnknownPath.into()),
        }
    }

    fn prepare_inference(&self, accepted: Accepted, api: Api, body: &Bytes) -> Result<Prepared, Refusal> {
        let Accepted {
            head,
            caller,
            snapshot,
            is_job,
            ..
        } = accepted;
        check_encoding(&head.headers)?;
        let inference = input::parse_inference(api, body)?;
        let header_profile = input::single_header(&head.headers, input::PROFILE_HEADER)?;
        if let (Some(header), Some(field)) = (header_profile, inference.profile.as_deref())
            && header != field
        {
            let detail = format!("Header {} and field profile differ.", input::PROFILE_HEADER);
            return Err(Refusal::not_run(Code::ConflictingFields).detail(detail));
        }
        let (model, adapter) = find_model(&snapshot, &inference.model)?;
        let named = header_profile.or(inference.profile.as_deref());
        let profile = find_profile(&snapshot, model, named)?;
        let asks_for_job = !is_job && (profile.deferred || input::prefers_async(&head.headers)?);
        if asks_for_job && inference.stream {
            let detail = "A deferred request cannot be streamed.";
            return Err(Refusal::not_run(Code::ConflictingFields).detail(detail));
        }
        let class = class(profile.idempotent);
        let path = target_path(&head.path, head.query.as_deref());
        let keyed = keyed_request(
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
        if asks_for_job {
            let request = JobRequest {
                path,
                method: head.method.to_string(),
                profile: named.map(str::to_owned),
                idempotent: profile.idempotent,
                content_type: content_type(&head.headers),
                body: body.to_vec(),
            };
            return Ok(Prepared::Job(Box::new(Deferred { request, keyed, times })));
        }
        let output = inference
            .max_output
            .unwrap_or(profile.max_output_tokens * inference.choices);
        Ok(Prepared::Now(Box::new(Work {
            id: head.id.clone(),
            target,
            class,
            path,
            headers: backend_headers(&head.headers),
            method: head.method,
            body: inference.body,
            tokens: inference.prompt_tokens + output,
            prompt_tokens: inference.prompt_tokens,
            prefix: Some(inference.prefix),
            stream: inference.stream,
            profile: Some(profile.name.clone()),
            priority: profile.priority,
            queue_limit: profile.queue_limit,
            times,
            keyed,
            caller,
        })))
    }

    fn model_times(&self, target: &TargetKey, profile: &Profile) -> Times {
        let received = self.node.clock.now();
        let longest_wait_ms = if self.target(target).is_ready() {
            profile.first_token_ms
        } else {
            profile.cold_start_ms
        };
        Times {
            received,
            send_by: received + longest_wait_ms,
            finish_by: received + profile.timeout_ms,
        }
    }

    fn prepare_route(&self, accepted: Accepted, name: &str, rest: &str, body: Bytes) -> Result<Prepared, Refusal> {
        let Accepted {
            head,
            caller,
            snapshot,
            is_job,
            ..
        } = accepted;
        let route: &Route = snapshot.routes.get(name).ok_or(Code::UnknownRoute)?;
        let mut methods = route.idempotent_methods.iter();
        let class = class(methods.any(|it| it.eq_ignore_ascii_case(head.method.as_str())));
        let path = target_path(rest, head.query.as_deref());
        let keyed = keyed_request(
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
                path: target_path(&head.path, head.query.as_deref()),
                method: head.method.to_string(),
                profile: None,
                idempotent: class == Class::Idempotent,
                content_type: content_type(&head.headers),
                body: body.to_vec(),
            };
            return Ok(Prepared::Job(Box::new(Deferred { request, keyed, times })));
        }
        Ok(Prepared::Now(Box::new(Work {
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
            tokens: route.call_tokens,
            prompt_tokens: 0,
            prefix: None,
            stream: false,
            profile: None,
            priority: 0,
            queue_limit: 0,
            times,
            keyed,
            caller,
        })))
    }

    /// Stores a job. With an idempotency key a repeat gets the id of the first job.
    pub(crate) async fn accept_job(
        &self,
        organisation: &OrganisationName,
        deferred: Deferred,
    ) -> Result<WholeAnswer, Refusal> {
        let Deferred { request, keyed, times } = deferred;
        let claim = match keyed {
            None => None,
            Some(keyed) => match ClaimGuard::claim(self, keyed, times.finish_by).await? {
                Claimed::Run(claim) => Some(claim),
                Claimed::Replay(answer) => return Ok(WholeAnswer::from_stored(answer)),
                Claimed::Unknown => return Err(Refusal::outcome_unknown(Code::OutcomeUnknown)),
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

    /// State of a job as callers see it.
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

    /// Runs or stores a checked request.
    pub(crate) async fn answer(self: &Arc<Self>, accepted: Accepted, body: Bytes) -> Answer {
        let organisation = accepted.caller.organisation.clone();
        match self.prepare(accepted, body) {
            Err(refusal) => {
                self.metrics.refused(refusal.code, organisation.as_ref());
                Answer::Refused(refusal)
            }
            Ok(Prepared::Now(work)) => self.run(*work).await,
            Ok(Prepared::Job(deferred)) => {
                let Some(organisation) = organisation else {
                    return Answer::Refused(Code::MissingKey.into());
                };
                let stored = self.accept_job(&organisation, *deferred).await;
                stored.map_or_else(Answer::Refused, Answer::Whole)
            }
        }
    }
}

/// Models and adapters in the form of the OpenAI API, as created when the router started: configuration has no times.
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

/// Caller without a key.
pub(crate) fn caller_of(organisation: &Organisation) -> Caller {
    Caller {
        organisation: Some(organisation.name.clone()),
        weight: organisation.weight,
        key: None,
    }
}

/// Model of a name that callers use, and the adapter when the name is one.
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

/// Profile named by a request, else the model's.
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

fn class(idempotent: bool) -> Class {
    if idempotent {
        Class::Idempotent
    } else {
        Class::NonIdempotent
    }
}

fn target_path(path: &str, query: Option<&str>) -> String {
    match input::clean_query(query) {
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

/// The router reads the body, so it cannot take it compressed.
fn check_encoding(headers: &HeaderMap) -> Result<(), Refusal> {
    let encoding = input::single_header(headers, header::CONTENT_ENCODING.as_str())?;
    match encoding {
        None | Some("identity") => Ok(()),
        Some(_) => Err(Refusal::not_run(Code::InvalidHeader).detail("Header content-encoding accepts identity.")),
    }
}

/// Idempotency key of a request that must not run twice; other requests need none.
fn keyed_request(
    head: &Head,
    caller: &Caller,
    class: Class,
    required: bool,
    path: &str,
    body: &Bytes,
) -> Result<Option<KeyedRequest>, Refusal> {
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
    // Open routes have no organisation in whose name a record could be kept.
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
    Ok(Some(KeyedRequest {
        organisation,
        key: key.to_owned(),
        digest: hex::encode(digest.finalize()),
    }))
}
