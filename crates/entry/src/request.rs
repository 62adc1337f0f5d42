//! Handling of a request: body, route and key, admission, and dispatch to backend servers.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use guava_core::codes::{Code, Run};
use guava_core::events::Event;
use guava_core::intake::GRACE_MS;
use guava_core::units::Millis;
use guava_fleet::binding::StreamBinding;
use guava_fleet::crashes::{self, Decision};
use guava_fleet::model::{Organisation, Route};
use guava_fleet::routes::{ActiveConfig, draw_service};
use guava_platform::headers::{self, CallerHeaders};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::admission::admit;
use crate::dispatch::{Dispatch, version_gone};
use crate::handover::HandedOver;
use crate::intake::{Client, Unread, read_whole};
use crate::log_event;
use crate::reply::{Body, Failure};
use crate::state::{EntryState, now};
use crate::streams::{Origin, find_origin};

/// Retry time sent to a caller when no better estimate is available.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry time sent to a caller whose prompt crashes backend servers. An engine is not mended within seconds.
const HARMFUL_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Longest time, in milliseconds, for which a request waits for the first configuration; half of its deadline if that is
/// shorter.
const MAX_START_WAIT_MS: u64 = 2_000;

/// Time after the start of this process, in milliseconds, in which it may still learn which version began a stream.
const ORIGIN_SETTLE_MS: u64 = 5_000;

/// Request received from a caller.
#[derive(Debug)]
pub struct Inbound {
    /// HTTP method, as sent.
    pub method: Method,
    /// Path and query, as sent.
    pub uri: Uri,
    /// Headers, as sent.
    pub headers: HeaderMap,
    /// Values parsed from the headers.
    pub caller: CallerHeaders,
    /// Whole body, charged to the client until the last copy is dropped.
    pub body: Bytes,
    /// Connection on which the request came.
    pub client: Arc<Client>,
    /// Id by which the request is recognised when it comes again, followed by the shared parts of its prompt.
    pub clues: Vec<String>,
    /// When the head of the request had arrived.
    pub arrived: Millis,
    /// Whether a server may have run the request.
    pub may_have_run: AtomicBool,
}

/// Route and organisation of a request.
#[derive(Debug, Clone)]
pub struct Resolved {
    /// Configuration in force when the request was resolved.
    pub in_force: Arc<ActiveConfig>,
    /// Route that matches the host and path.
    pub route: Route,
    /// Organisation of the caller's key; `None` when no key is required.
    pub organisation: Option<Organisation>,
}

impl Resolved {
    /// Whether only servers and VMs of some regions may get the request.
    pub fn is_bound_to_regions(&self) -> bool {
        self.region_lists().any(|it| !it.is_empty())
    }

    /// Whether servers and VMs of a region may get the request; `None` stands for one that is not known.
    pub fn allows_region(&self, region: Option<&String>) -> bool {
        let mut lists = self.region_lists().filter(|it| !it.is_empty());
        lists.all(|it| region.is_some_and(|region| it.contains(region)))
    }

    fn region_lists(&self) -> impl Iterator<Item = &Vec<String>> {
        let organisation = self.organisation.iter().map(|it| &it.regions);
        organisation.chain([&self.route.regions])
    }
}

/// Who sends a request to this VM.
#[derive(Debug, Clone)]
enum Sender {
    Caller,
    /// Another VM that has admitted it.
    Vm(HandedOver),
}

/// Serves one request and logs its refusal or failure.
pub async fn serve(state: Arc<EntryState>, client: &Arc<Client>, req: Request<Incoming>) -> Response<Body> {
    let answer = serve_from(&state, client, Sender::Caller, req).await;
    answer.unwrap_or_else(|failure| failure.response())
}

/// Serves a request that another VM hands on. A refusal says so in the terms of backend servers.
pub async fn serve_handed_over(
    state: Arc<EntryState>,
    client: &Arc<Client>,
    req: Request<Incoming>,
    known: HandedOver,
) -> Response<Body> {
    let guard = state.track_handed_over();
    let answer = serve_from(&state, client, Sender::Vm(known), req).await;
    let answer = answer.unwrap_or_else(|failure| {
        let mut answer = failure.response();
        if failure.run == Run::NotRun {
            headers::mark_not_run(answer.headers_mut());
        }
        answer
    });
    // It is being served until the body has been sent or dropped.
    answer.map(|body| {
        body.map_frame(move |frame| {
            let _ = &guard;
            frame
        })
        .boxed()
    })
}

async fn serve_from(
    state: &Arc<EntryState>,
    client: &Arc<Client>,
    sender: Sender,
    req: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let arrived = now();
    let (head, body) = req.into_parts();
    let caller = headers::read_caller(&head.headers);
    let id = caller.attempt_id.clone();
    let mut disconnect_guard = DisconnectGuard {
        id: &id,
        arrived,
        is_answered: false,
    };
    let reading = async {
        tokio::select! {
            body = read_body(state, client, body) => body,
            () = state.requests_ended() => Err(stopping()),
        }
    };
    let answer = match reading.await {
        Ok(body) => {
            let inbound = build_inbound(head, caller, body, Arc::clone(client), arrived);
            let inbound = Arc::new(inbound);
            let handling = AssertUnwindSafe(handle(state, sender, Arc::clone(&inbound))).catch_unwind();
            tokio::select! {
                biased;
                // The panic's message and place are reported by the panic hook.
                answer = handling => answer.unwrap_or_else(|_| {
                    log::error!("the handling of request {id} panicked");
                    Err(Failure::unknown(Code::Internal))
                }),
                failure = shutdown_failure(state, &inbound) => Err(failure),
            }
        }
        Err(failure) => Err(failure),
    };
    disconnect_guard.is_answered = true;
    if let Err(failure) = &answer {
        let elapsed_ms = now().since(arrived);
        let retry_after_ms = failure.retry_after.map_or(0, |it| it.as_millis());
        log_event!(
            Event::RequestRefused,
            &id,
            "code={} status={} run={:?} after_ms={elapsed_ms} retry_after_ms={retry_after_ms}",
            failure.code,
            failure.status().as_u16(),
            failure.run
        );
    }
    answer
}

/// Logs that the caller disconnected before the head of an answer was sent; the request is then dropped.
struct DisconnectGuard<'a> {
    id: &'a str,
    arrived: Millis,
    is_answered: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            let elapsed_ms = now().since(self.arrived);
            log_event!(
                Event::CallerLeft,
                self.id,
                "stage=before the answer after_ms={elapsed_ms}"
            );
        }
    }
}

fn build_inbound(head: Parts, caller: CallerHeaders, body: Bytes, client: Arc<Client>, arrived: Millis) -> Inbound {
    let path = head.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let identity = crashes::identity(path, caller.key.as_deref().unwrap_or_default(), &body);
    let clues = std::iter::once(identity).chain(caller.shared_prompt_parts.iter().cloned());
    Inbound {
        clues: clues.collect(),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        caller,
        body,
        client,
        arrived,
        may_have_run: AtomicBool::new(false),
    }
}

async fn read_body(state: &EntryState, client: &Arc<Client>, body: Incoming) -> Result<Bytes, Failure> {
    let config = state.config();
    let limits = config.as_ref().map(|it| it.config.limits.clone());
    let max = limits.as_ref().map_or(1 << 20, |it| it.body_bytes);
    let timeout = limits.map_or(3_000, |it| it.idle_timeout_ms);
    let reading = read_whole(client, body, max);
    match tokio::time::timeout(Duration::from_millis(timeout), reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(Unread::TooLarge)) => Err(Failure::not_run(Code::BodyTooLarge)),
        Ok(Err(Unread::Truncated)) => Err(Failure::not_run(Code::TruncatedBody)),
        // By then the clients that have stalled since are behind and are rejected first.
        Ok(Err(Unread::Rejected)) => {
            Err(Failure::not_run(Code::IntakeFull).retry_after(Duration::from_millis(GRACE_MS)))
        }
        Err(_) => Err(Failure::not_run(Code::BodyTimeout)),
    }
}

/// Refusal by a process that ends soon; another VM can serve the request.
pub fn stopping() -> Failure {
    Failure::not_run(Code::Stopping).retry_after(Duration::ZERO)
}

/// Returns when a graceful shutdown ends the request: one that no server may have run when draining begins, any other
/// shortly before the process exits.
async fn shutdown_failure(state: &EntryState, inbound: &Inbound) -> Failure {
    state.draining_begun().await;
    if !inbound.may_have_run.load(Ordering::Relaxed) {
        return stopping();
    }
    state.requests_ended().await;
    if !inbound.may_have_run.load(Ordering::Relaxed) {
        return stopping();
    }
    log_event!(
        Event::RequestFailed,
        &inbound.caller.attempt_id,
        "server=- why=the process stops"
    );
    Failure::unknown(Code::TimedOut)
}

async fn handle(state: &Arc<EntryState>, sender: Sender, inbound: Arc<Inbound>) -> Result<Response<Body>, Failure> {
    if let Sender::Vm(known) = sender {
        return handle_handed_over(state, known, inbound).await;
    }
    // Late in a graceful shutdown there may be too little time to answer the request.
    if state.is_draining() {
        return Err(stopping());
    }
    wait_for(state, &inbound, |it| it.config().is_some()).await;
    let resolved = resolve(state, &inbound)?;
    let is_trial = check_prompt(state, &inbound)?;
    let bound = find_binding(state, &inbound, &resolved.route).await?;
    let service = match &bound {
        Some(bound) => bound.service.clone(),
        None => draw_service(&resolved.route, &mut rand::rng()).to_owned(),
    };
    let taken = admit(state, &inbound, &resolved).await?;
    state.record_request(&service, now());
    let dispatch = Dispatch::new(
        Arc::clone(state),
        Arc::clone(&inbound),
        resolved,
        service,
        bound,
        is_trial,
    );
    let answer = dispatch.run().await;
    if let Err(failure) = &answer
        && failure.run == Run::NotRun
    {
        taken.refund(state);
    }
    answer
}

/// Handles a request that another VM has admitted and counted.
async fn handle_handed_over(
    state: &Arc<EntryState>,
    known: HandedOver,
    inbound: Arc<Inbound>,
) -> Result<Response<Body>, Failure> {
    // Another VM should be asked.
    if state.is_stopping() || state.is_cut_off(now()) {
        return Err(Failure {
            status: Some(StatusCode::MISDIRECTED_REQUEST.as_u16()),
            ..Failure::not_run(Code::NoCapacity)
        });
    }
    let resolved = resolve(state, &inbound)?;
    let is_trial = check_prompt(state, &inbound)?;
    let HandedOver { bound, tried } = known;
    let service = match &bound {
        Some(bound) => bound.service.clone(),
        None => draw_service(&resolved.route, &mut rand::rng()).to_owned(),
    };
    let dispatch = Dispatch::new(Arc::clone(state), inbound, resolved, service, bound, is_trial);
    dispatch.handed_over(tried).run().await
}

/// Servers at which a stream that the request takes up may go on; `None` for any other request.
///
/// # Errors
///
/// Fails if it is not known which software version began the stream, or no server of that version takes requests.
async fn find_binding(
    state: &Arc<EntryState>,
    inbound: &Inbound,
    route: &Route,
) -> Result<Option<StreamBinding>, Failure> {
    let Some(taken_up) = inbound.caller.taken_up.as_ref().filter(|_| route.is_resumable_stream()) else {
        return Ok(None);
    };
    let id = &inbound.caller.attempt_id;
    let services: Vec<&str> = route.targets.iter().map(|(it, _)| it.as_str()).collect();
    let origin = match &taken_up.attempt {
        Some(attempt) => find_origin(state, &services, attempt).await,
        None => Origin::Unknown("the request does not name the attempt"),
    };
    let bound = match origin {
        Origin::Known { service, version } => StreamBinding {
            service,
            version: Some(version),
        },
        Origin::Unknown(why) => {
            log_event!(Event::StreamNotContinued, id, "service=- version=- why={why}");
            let failure = Failure::not_run(Code::StreamOriginUnknown);
            let may_learn = taken_up.attempt.is_some() && state.uptime_ms(now()) < ORIGIN_SETTLE_MS;
            return Err(Failure {
                retry_after: may_learn.then_some(DEFAULT_RETRY_AFTER),
                ..failure
            });
        }
    };
    if !services.contains(&bound.service.as_str()) {
        return Err(version_gone(id, &bound, "its route leads to other services"));
    }
    wait_for(state, inbound, EntryState::knows_servers).await;
    if !state.has_ready_server(|it| bound.allows(it)) {
        return Err(version_gone(id, &bound, "no server of the version is left"));
    }
    Ok(Some(bound))
}

/// Checks that neither the request nor a part of its prompt is known to crash backend servers. Returns whether the request
/// is let through to find out whether it still does.
///
/// # Errors
///
/// Fails if the request is to be refused.
pub fn check_prompt(state: &EntryState, inbound: &Inbound) -> Result<bool, Failure> {
    match state.check_prompt(&inbound.clues) {
        Decision::Serve => Ok(false),
        Decision::Try => Ok(true),
        Decision::Refuse { parts, age_ms } => {
            log_event!(
                Event::PromptRefused,
                &inbound.caller.attempt_id,
                "parts={} condemned_ms_ago={age_ms}",
                parts.join(",")
            );
            Err(Failure::not_run(Code::HarmfulPrompt).retry_after(HARMFUL_RETRY_AFTER))
        }
    }
}

/// Longest time, in milliseconds, for which a request waits for what a process learns after its start.
pub fn max_start_wait_ms(inbound: &Inbound) -> u64 {
    let deadline_ms = inbound.caller.deadline_ms.unwrap_or(MAX_START_WAIT_MS);
    MAX_START_WAIT_MS.min(deadline_ms / 2)
}

/// Waits for what a process learns after its start, such as the first configuration. When all processes have been
/// restarted, a caller that is refused would be refused by the other VMs too.
async fn wait_for(state: &EntryState, inbound: &Inbound, is_known: impl Fn(&EntryState) -> bool) {
    let mut changes = state.subscribe();
    let wait_ms = max_start_wait_ms(inbound);
    let known = async {
        // Fails only when the process ends.
        while !is_known(state) && changes.changed().await.is_ok() {}
    };
    // Otherwise the request is refused as not run.
    let _ = tokio::time::timeout(Duration::from_millis(wait_ms), known).await;
}

/// Finds the route and the organisation of a request in the configuration in force.
///
/// # Errors
///
/// Fails when no configuration is known, no route matches, or the key is missing or unknown.
pub fn resolve(state: &EntryState, inbound: &Inbound) -> Result<Resolved, Failure> {
    let Some(in_force) = state.config() else {
        return Err(Failure::not_run(Code::Starting).retry_after(DEFAULT_RETRY_AFTER));
    };
    let host = inbound.headers.get(header::HOST).and_then(|it| it.to_str().ok());
    let host = host.or_else(|| inbound.uri.host()).unwrap_or_default();
    let route = in_force.route(host, inbound.uri.path()).cloned();
    let route = route.ok_or(Failure::not_run(Code::UnknownRoute))?;
    let organisation = if route.open || !in_force.needs_keys() {
        None
    } else {
        let key = inbound.caller.key.as_deref();
        let key = key.ok_or(Failure::not_run(Code::MissingKey))?;
        let organisation = in_force.organisation(key).cloned();
        Some(organisation.ok_or(Failure::not_run(Code::UnknownKey))?)
    };
    Ok(Resolved {
        in_force,
        route,
        organisation,
    })
}
