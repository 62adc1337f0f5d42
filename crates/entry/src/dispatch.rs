//! Dispatch of one request: selection of a backend server, pacing, sending and retries.

use std::fmt::Display;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use guava_core::codes::{Code, Run};
use guava_core::events::Event;
use guava_core::units::Millis;
use guava_fleet::binding::StreamBinding;
use guava_fleet::choice::{self, Candidate};
use guava_fleet::model::{BackendServer, Route, RouteKind};
use guava_fleet::routes::draw_service;
use guava_fleet::server_limits::PlaceOutcome;
use guava_fleet::statements::{Obstacle, Statements};
use guava_fleet::streams::FRESH_VIEW_MS;
use guava_platform::engine;
use guava_platform::headers::{self, ServerHeaders, Unreadable};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::SemaphorePermit;

use crate::attempt::{AttemptError, IncomingAnswer, OpenConnection, OutgoingRequest};
use crate::breakage::{self, BrokenAttempt};
use crate::handover::{self, HandedOver, MAX_HANDOVERS, NextVm};
use crate::log_event;
use crate::metrics;
use crate::peers::{self, PaceRequest, PlaceRequest};
use crate::relay;
use crate::reply::{Body, Failure, forwarded_response, full_body};
use crate::request::{DEFAULT_RETRY_AFTER, Inbound, Resolved, check_prompt, resolve, stopping};
use crate::state::{EntryState, RunningGuard, TakenRetry, now, until};

/// Largest number of refusals by servers after which the request is still sent again; one more, and it is refused here.
/// A server that refuses a request has not run it.
const MAX_REFUSALS: u32 = 6;
/// Answers are buffered before they are forwarded, so that the request can be retried if its answer is
/// interrupted. A longer answer counts as interrupted.
const MAX_BUFFERED_ANSWER_BYTES: usize = 1 << 20;
/// Size of the blocks for which large answers take permits. Any number of answers of up to one block is read at a time.
const ANSWER_BLOCK_BYTES: usize = 64 << 10;
/// Blocks of large answers that are buffered at a time, 16 MiB: about a sixteenth of the memory of a small VM.
pub const MAX_LARGE_ANSWER_BLOCKS: usize = 256;
/// Time in which a large answer completes a block while others wait; a link of 1 Mbit/s takes half a second.
const BLOCK_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for permits of a large answer; by then answers that are stalled have been dropped.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(3);
/// Time, in milliseconds, in which a server that has refused a request does not get it again.
const REFUSED_AGAIN_MS: u64 = 300;
/// Pause before a refused request is sent again.
const REFUSED_RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Part of the caller's deadline reserved for returning the answer.
const RETURN_MARGIN_MS: u64 = 20;
/// Wait for an engine below which no other engine is tried.
const SHORT_PACE_WAIT_MS: u64 = 40;
/// Upper bound of the wait for an engine.
const MAX_PACE_WAIT_MS: u64 = 600;
/// The same for a stream that goes on at the version that it is bound to. Longer than that of new streams, so that these
/// leave it a place; callers leave after two seconds at the earliest.
const MAX_BOUND_PACE_WAIT_MS: u64 = 1_200;
/// Engines that are asked for a turn before a request pauses.
const ASKED_ENGINES: usize = 2;
/// Time from sending a prompt to its first event, at an engine with free capacity.
const FIRST_EVENT_MS: u64 = 150;
/// Lower bound of the time after which callers abandon a stream without a first event. Otherwise it is four objectives
/// or eight gaps, whichever is longer.
const FIRST_EVENT_TIMEOUT_MIN_MS: u64 = 2_000;
/// Time for which a request waits for any engine, in objectives; callers abandon a stream without a first event after
/// four.
const PACE_TIMEOUT_OBJECTIVES: u64 = 3;
/// Lower bound of the time given by [`PACE_TIMEOUT_OBJECTIVES`]; callers wait for at least two seconds.
const PACE_TIMEOUT_MIN_MS: u64 = 1_500;
/// Upper bound of the pause before an engine is asked again.
const PACE_RETRY_MS: u64 = 120;
/// Timeout for the head of the answer to a request that may be retried, in objectives.
const HEAD_TIMEOUT_OBJECTIVES: u64 = 2;
/// Lower bound of the timeout given by [`HEAD_TIMEOUT_OBJECTIVES`].
const HEAD_TIMEOUT_MIN_MS: u64 = 250;
/// Interval at which a replacement for a silent server is looked for.
pub const REPLACEMENT_INTERVAL_MS: u64 = 500;
/// Time for which a request that is refused because servers rest counts as demand for its model, in milliseconds.
const REST_DEMAND_MS: u64 = 1_000;
/// Shortest time, in milliseconds, after which a place at a server is asked for again.
const MIN_NO_PLACE_MS: u64 = 20;
/// Deadline of a request that states none.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Reads a whole answer. Each block beyond the first takes a permit of a pool that all requests share, so that servers
/// that send bytes without end do not take all memory. While the pool is used up, an answer fails whose block is not
/// complete in time, because it keeps the permits that other answers wait for.
async fn read_buffered(state: &EntryState, mut body: Incoming) -> Result<Bytes, String> {
    let mut buf = BytesMut::new();
    let mut permits: Option<SemaphorePermit<'_>> = None;
    let mut block_began = now();
    loop {
        let held = permits.as_ref().map_or(0, SemaphorePermit::num_permits);
        let frame = match tokio::time::timeout(BLOCK_TIMEOUT, body.frame()).await {
            Ok(None) => return Ok(buf.freeze()),
            Ok(Some(frame)) => Some(frame.map_err(|e| e.to_string())?),
            Err(_) => None,
        };
        let block_ms = now().since(block_began);
        if held > 0 && block_ms >= BLOCK_TIMEOUT.as_millis() as u64 && state.large_answers.available_permits() == 0 {
            return Err(format!("{block_ms} ms for a block of a large answer while others wait"));
        }
        let Some(bytes) = frame.and_then(|it| it.into_data().ok()) else {
            continue;
        };
        let size = buf.len() + bytes.len();
        if size > MAX_BUFFERED_ANSWER_BYTES {
            return Err(format!("answer larger than {MAX_BUFFERED_ANSWER_BYTES} bytes"));
        }
        let missing = (size.saturating_sub(1) / ANSWER_BLOCK_BYTES).saturating_sub(held);
        if missing > 0 {
            let acquiring = state.large_answers.acquire_many(missing as u32);
            let Ok(Ok(acquired)) = tokio::time::timeout(MAX_PERMIT_WAIT, acquiring).await else {
                return Err("too many large answers are being read".to_owned());
            };
            match &mut permits {
                Some(permits) => permits.merge(acquired),
                None => permits = Some(acquired),
            }
            block_began = now();
        }
        buf.extend_from_slice(&bytes);
    }
}

/// Time, in milliseconds, after which callers abandon a stream without a first event.
pub fn first_event_timeout_ms(route: &Route) -> u64 {
    FIRST_EVENT_TIMEOUT_MIN_MS
        .max(route.objective_ms * 4)
        .max(route.gap_ms * 8)
}

/// Version of a server's software, for log lines; `-` if it states none.
fn version_name(server: &BackendServer) -> &str {
    server.version.as_deref().unwrap_or("-")
}

/// Failure of a stream that cannot go on at the servers that it is bound to.
pub fn version_gone(id: &str, bound: &StreamBinding, why: &str) -> Failure {
    let version = bound.version.as_deref().unwrap_or("-");
    log_event!(
        Event::StreamNotContinued,
        id,
        "service={} version={version} why={why}",
        bound.service
    );
    Failure::not_run(Code::StreamVersionGone)
}

/// Server selected for an attempt.
#[derive(Debug)]
pub struct SelectedServer {
    /// Backend server.
    pub server: Arc<BackendServer>,
    /// Counts the request as running at the server until dropped; `None` if another VM does.
    pub guard: Option<RunningGuard>,
}

/// Server with an open connection on which nothing has been sent yet.
#[derive(Debug)]
pub struct NextServer {
    selected: SelectedServer,
    connection: OpenConnection,
    /// VM to which the connection leads, if the request is handed over.
    vm: Option<NextVm>,
}

/// What ends the wait for the head of an answer.
enum Head {
    Received(Result<IncomingAnswer, AttemptError>),
    Replaced(NextServer),
}

/// State of one request across its attempts.
#[derive(Debug)]
pub struct Dispatch {
    state: Arc<EntryState>,
    inbound: Arc<Inbound>,
    resolved: Resolved,
    service: String,
    /// Servers at which the stream may go on; `None` until it has begun.
    bound: Option<StreamBinding>,
    /// Servers that may have run the request.
    may_have_run: Vec<String>,
    refusals: u32,
    /// Servers that have refused the request, and when.
    refused_by: Vec<(String, Millis)>,
    /// Retry that has been taken for the next attempt.
    retry: Option<TakenRetry>,
    /// Whether another VM has handed the request to this one.
    is_handed_over: bool,
    /// Whether the last attempt is at another VM.
    is_at_vm: bool,
    /// VMs that were asked to serve the request.
    asked_vms: Vec<String>,
    /// Servers that the VM which handed the request over has tried.
    tried_before: Vec<String>,
    /// Since when the caller waits for an event: the arrival of the request, or the break of its stream.
    waits_since: Millis,
    /// Last server whose silence was recorded.
    silent_server: Option<String>,
    /// Whether the request finds out if its prompt still crashes servers. It is sent once.
    is_trial: bool,
    /// Earlier of the caller's deadline and the route's timeout.
    deadline: Millis,
}

impl Dispatch {
    /// Prepares the dispatch of an admitted request. `bound` is known from the start for a stream that is taken up.
    pub fn new(
        state: Arc<EntryState>,
        inbound: Arc<Inbound>,
        resolved: Resolved,
        service: String,
        bound: Option<StreamBinding>,
        is_trial: bool,
    ) -> Self {
        let allowed = inbound.caller.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        let allowed = allowed.min(resolved.route.timeout_ms);
        Self {
            service,
            deadline: inbound.arrived + allowed,
            waits_since: inbound.arrived,
            state,
            inbound,
            resolved,
            bound,
            may_have_run: Vec::new(),
            refusals: 0,
            refused_by: Vec::new(),
            retry: None,
            is_handed_over: false,
            is_at_vm: false,
            asked_vms: Vec::new(),
            tried_before: Vec::new(),
            silent_server: None,
            is_trial,
        }
    }

    /// Makes this the dispatch of a request that another VM has handed over after it has tried these servers. That VM
    /// retries what may have run.
    #[must_use]
    pub fn handed_over(self, tried: Vec<String>) -> Self {
        Self {
            is_handed_over: true,
            tried_before: tried,
            ..self
        }
    }

    fn was_tried(&self, server: &BackendServer) -> bool {
        self.may_have_run.contains(&server.id) || self.tried_before.contains(&server.id)
    }

    /// Id of the caller's attempt.
    pub fn id(&self) -> &str {
        &self.inbound.caller.attempt_id
    }

    /// Route of the request, by the configuration in force at the last selection of a server.
    pub fn route(&self) -> &Route {
        &self.resolved.route
    }

    /// Earliest of the caller's deadline, the route's timeout and the end of requests in a graceful shutdown.
    pub fn deadline(&self) -> Millis {
        self.deadline.min(self.state.requests_end())
    }

    /// Requested model, with its adapter if any; `-` for none. Used in log lines.
    pub fn model(&self) -> String {
        let caller = &self.inbound.caller;
        let model = caller.model.as_deref().unwrap_or("-");
        caller
            .adapter
            .as_ref()
            .map_or_else(|| model.to_owned(), |adapter| format!("{model}/{adapter}"))
    }

    /// When the head of the request arrived.
    pub fn arrived(&self) -> Millis {
        self.inbound.arrived
    }

    /// State shared by all requests of the process.
    pub fn state(&self) -> &Arc<EntryState> {
        &self.state
    }

    /// Whether the request may be sent to another server after one that may have run it.
    pub fn may_retry(&self) -> bool {
        let route = &self.resolved.route;
        !self.is_handed_over && route.may_retry() && (self.may_have_run.len() as u32) < route.max_attempts
    }

    /// Binds the stream to the software version of the server that has brought its first event. Must be called before
    /// the event is passed on, so that a caller who has received it finds the stream recorded.
    pub fn record_begun(&mut self, server: &BackendServer) {
        let binding = self.bound.get_or_insert_with(|| StreamBinding::to(server));
        if self.resolved.route.is_resumable_stream() {
            let id = &self.inbound.caller.attempt_id;
            let version = binding.version.as_deref();
            self.state.streams.record_begun(now(), id, &binding.service, version);
        }
    }

    /// Whether the request may be sent to a server of this service and version. A stream that callers may take up begins
    /// only at a version that will be known to have begun it.
    fn may_use(&self, server: &BackendServer) -> bool {
        match &self.bound {
            Some(bound) => bound.allows(server),
            None if self.resolved.route.is_resumable_stream() => {
                let streams = &self.state.streams;
                streams.may_begin(&server.service, server.version.as_deref())
            }
            None => true,
        }
    }

    /// Whether the request may be sent to a server now.
    fn may_send_to(&self, server: &BackendServer) -> bool {
        self.may_use(server) && self.state.takes_requests(server, now())
    }

    /// Fails if it is known that no server takes the request soon enough, because all leave or rest.
    fn check_obstacle(&self) -> Result<(), Failure> {
        let at = now();
        let is_untried = |it: &BackendServer| self.may_use(it) && !self.was_tried(it);
        let Some(obstacle) = self.state.obstacle(&self.service, self.wanted(), is_untried, at) else {
            return Ok(());
        };
        let objective_at = self.waits_since + self.resolved.route.objective_ms;
        if obstacle.is_worth_waiting(objective_at.since(at), self.model_wait(at)) {
            return Ok(());
        }
        let retry_after = match obstacle {
            Obstacle::Leaving => DEFAULT_RETRY_AFTER,
            Obstacle::Resting(left_ms) => {
                self.record_refused(REST_DEMAND_MS);
                Duration::from_millis(left_ms)
            }
        };
        log_event!(
            Event::NoServerTakes,
            self.id(),
            "service={} model={} obstacle={obstacle:?}",
            self.service,
            self.model()
        );
        Err(Failure::not_run(Code::NoCapacity).retry_after(retry_after))
    }

    /// Model and adapter that an engine must hold for the request; `None` for a plain service.
    fn wanted(&self) -> Option<(&str, Option<&str>)> {
        let service = self.resolved.in_force.config.services.get(&self.service)?;
        service.engine.as_ref()?;
        let caller = &self.inbound.caller;
        Some((caller.model.as_deref()?, caller.adapter.as_deref()))
    }

    /// Fails if no server is left at which the stream may go on. A server that has been tried is none: the caller, who
    /// gets an end of the answer, takes the stream up there at once.
    fn check_binding(&self) -> Result<(), Failure> {
        let Some(bound) = &self.bound else {
            return Ok(());
        };
        let is_left = |it: &BackendServer| self.may_use(it) && !self.was_tried(it);
        if self.state.has_ready_server(is_left) {
            return Ok(());
        }
        Err(self.version_gone(bound, "no server of the version is left"))
    }

    fn version_gone(&self, bound: &StreamBinding, why: &str) -> Failure {
        version_gone(self.id(), bound, why)
    }

    /// Sends the request to servers until one answers, and returns or relays the answer.
    ///
    /// # Errors
    ///
    /// Fails when no server can take the request in time, or when it may have run and must not be retried.
    pub async fn run(mut self) -> Result<Response<Body>, Failure> {
        if let Some(model) = &self.inbound.caller.model {
            let adapter = self.inbound.caller.adapter.as_deref();
            let prompt_tokens = self.inbound.caller.tokens.map_or(0, |(prompt, _)| prompt);
            self.state.record_arrival(&self.service, model, adapter, prompt_tokens);
        }
        loop {
            let (selected, incoming) = self.send_until_answered(None, None).await?;
            if self.resolved.route.kind == RouteKind::Streaming && incoming.status.is_success() {
                let server = &selected.server;
                log_event!(
                    Event::RequestFinished,
                    self.id(),
                    "stream begins server={} version={}",
                    server.id,
                    version_name(server)
                );
                let server = Arc::clone(server);
                let is_handed_over = self.is_handed_over;
                let mut answer = relay::stream(self, selected, incoming);
                if is_handed_over {
                    handover::mark_answer(&mut answer, &server.id);
                }
                return Ok(answer);
            }
            let server = Arc::clone(&selected.server);
            if let Some(mut answer) = self.read_whole(selected, incoming).await? {
                if self.is_handed_over {
                    handover::mark_answer(&mut answer, &server.id);
                }
                return Ok(answer);
            }
        }
    }

    /// Reads a whole answer. Returns `None` if the request must be sent to another server.
    async fn read_whole(
        &mut self,
        selected: SelectedServer,
        incoming: IncomingAnswer,
    ) -> Result<Option<Response<Body>>, Failure> {
        let server = selected.server.id.clone();
        let status = incoming.status.as_u16();
        let is_failure = incoming.status.is_server_error();
        if is_failure && self.may_retry() && self.take_retry() {
            self.record_failure(&server, format_args!("status {status}"));
            log_event!(Event::RequestRetried, self.id(), "server={server} status={status}");
            self.asked_vms.clear();
            return Ok(None);
        }
        // The caller would send the request again, and it would run twice. One that may run twice keeps the server's answer.
        if headers::promises_not_run(incoming.status) && !self.resolved.route.may_retry() {
            self.record_failure(&server, format_args!("status {status}"));
            log_event!(
                Event::RequestFailed,
                self.id(),
                "server={server} why=status {status} does not say that the request has not run"
            );
            return Err(Failure::unknown(Code::RefusedAfterRun));
        }
        let IncomingAnswer {
            body,
            connection,
            begun,
            ..
        } = incoming;
        let reading = read_buffered(&self.state, body);
        let body = match tokio::time::timeout(until(self.deadline()), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(why)) => {
                drop(connection);
                let result = self.handle_lost_answer(&selected.server, Some(begun), &why);
                return result.map(|()| None);
            }
            Err(_) => return Err(Failure::unknown(Code::TimedOut)),
        };
        if is_failure {
            self.record_failure(&server, format_args!("status {status}"));
        } else {
            self.state.health.lock().record_success(now(), &server);
            if incoming.status.is_success() {
                self.record_proof(begun);
            }
        }
        let answer = forwarded_response(incoming.status, &incoming.headers, full_body(body));
        let elapsed_ms = now().since(self.inbound.arrived);
        metrics::first_byte(self.resolved.route.kind, elapsed_ms);
        log_event!(
            Event::RequestFinished,
            self.id(),
            "server={server} status={status} after_ms={elapsed_ms}"
        );
        Ok(Some(answer))
    }

    /// Takes a retry for the next attempt. Returns false if none is left.
    fn take_retry(&mut self) -> bool {
        self.retry = self.state.try_take_retry(&self.service, now());
        self.retry.is_some()
    }

    fn record_failure(&self, server: &str, why: impl Display) {
        // Another VM knows better what the server has done.
        if !self.is_at_vm && self.state.health.lock().record_failure(now(), server) {
            log_event!(Event::ServerAvoided, self.id(), "server={server} why={why}");
        }
    }

    /// Records that a server may have run the request without giving a usable answer. `begun` is the time at which the
    /// head of the answer arrived.
    ///
    /// # Errors
    ///
    /// Fails when the request must not be retried.
    pub fn handle_lost_answer(
        &mut self,
        server: &Arc<BackendServer>,
        begun: Option<Millis>,
        why: &str,
    ) -> Result<(), Failure> {
        let at = now();
        self.examine_broken(server, begun, why);
        let server = server.id.as_str();
        self.record_failure(server, why);
        let has_time_left = at + RETURN_MARGIN_MS < self.deadline();
        if has_time_left && self.may_retry() && self.take_retry() {
            log_event!(Event::RequestRetried, self.id(), "server={server} why={why}");
            self.asked_vms.clear();
            return Ok(());
        }
        log_event!(Event::RequestFailed, self.id(), "server={server} why={why}");
        Err(Failure::unknown(Code::OutcomeUnknown))
    }

    fn examine_broken(&mut self, server: &Arc<BackendServer>, begun: Option<Millis>, why: &str) {
        self.is_trial = false;
        if self.is_at_vm {
            return;
        }
        let broken = BrokenAttempt {
            server: Arc::clone(server),
            begun,
            at: now(),
            why: why.to_owned(),
        };
        breakage::examine(&self.state, &self.inbound, broken);
    }

    /// Prepares a replacement for a server that has the request and is silent, up to an open connection. Returns `None`
    /// if there is none; the request must then stay where it is.
    pub async fn secure_replacement(
        &mut self,
        silent: &BackendServer,
        silent_ms: u64,
        has_begun: bool,
    ) -> Option<NextServer> {
        let is_new = self.silent_server.as_deref() != Some(silent.id.as_str());
        if is_new {
            self.silent_server = Some(silent.id.clone());
            self.record_failure(&silent.id, format_args!("silent for {silent_ms} ms"));
        }
        let left = until(self.deadline() - RETURN_MARGIN_MS);
        let connecting = tokio::time::timeout(left, self.connect_replacement(silent)).await;
        match connecting.unwrap_or(Err("no time left")) {
            Ok(next) => Some(next),
            Err(why) => {
                if is_new {
                    self.log_silence(&silent.id, silent_ms, has_begun, format_args!("kept why={why}"));
                }
                None
            }
        }
    }

    async fn connect_replacement(&mut self, silent: &BackendServer) -> Result<NextServer, &'static str> {
        self.check_replacement(silent)?;
        let selected = self.select_server(None).ok_or("no other server")?;
        if let Some((tokens, _)) = self.inbound.caller.tokens
            && self.resolved.route.kind == RouteKind::Streaming
        {
            let turn = self.request_pace(&selected, tokens, SHORT_PACE_WAIT_MS).await;
            let turn_ms = turn.or(Err("other servers are busy"))?;
            tokio::time::sleep(Duration::from_millis(turn_ms)).await;
        }
        let connection = match self.open_connection(&selected.server).await {
            Ok(connection) => connection,
            Err(e) => {
                self.record_failure(&selected.server.id, e);
                return Err("no connection to another server");
            }
        };
        if !self.take_place(&selected.server, 0).await {
            return Err("the other server has no place");
        }
        if !self.may_send_to(&selected.server) {
            return Err("the other server leaves or rests");
        }
        // Pacing and connecting take time, in which the route or the key may change.
        self.resolved = self.check_replacement(silent)?;
        Ok(NextServer {
            selected,
            connection,
            vm: None,
        })
    }

    /// Checks by what is in force now that the request may be sent to another server than the silent one. Changes
    /// nothing, because the request may stay where it is.
    fn check_replacement(&self, silent: &BackendServer) -> Result<Resolved, &'static str> {
        if self.is_trial {
            return Err("its prompt may crash servers");
        }
        let resolved = resolve(&self.state, &self.inbound).map_err(|e| e.code.text())?;
        if !matches!(check_prompt(&self.state, &self.inbound), Ok(false)) {
            return Err("its prompt may crash servers");
        }
        let route = &resolved.route;
        if route.kind != self.resolved.route.kind || !route.targets.iter().any(|(it, _)| *it == silent.service) {
            return Err("another service");
        }
        if !self.may_retry() || !route.may_retry() || !self.state.has_retry(&self.service, now()) {
            return Err("no retry left");
        }
        Ok(resolved)
    }

    /// Takes a retry to send the request to a replacement of a silent server. Returns false if none is left. `begun` is
    /// the time at which the head of the silent server's answer arrived.
    pub fn give_up_silent(&mut self, silent: &Arc<BackendServer>, begun: Option<Millis>, silent_ms: u64) -> bool {
        if !self.take_retry() {
            return false;
        }
        let why = format!("silent for {silent_ms} ms");
        self.log_silence(&silent.id, silent_ms, begun.is_some(), "replaced");
        log_event!(Event::RequestRetried, self.id(), "server={} why={why}", silent.id);
        self.examine_broken(silent, begun, &why);
        true
    }

    /// Logs that a server with the request has been silent; `next` tells what is done about it.
    fn log_silence(&self, server: &str, silent_ms: u64, has_begun: bool, next: impl Display) {
        log_event!(
            Event::ServerSilent,
            self.id(),
            "server={server} silent_ms={silent_ms} begun={has_begun} attempts={} left_ms={} next={next}",
            self.may_have_run.len(),
            self.deadline().since(now())
        );
    }

    /// Sends the request to servers until one answers, at first to `replacement`. `last_event_id` is the id of the last
    /// event received, for a stream that continues.
    ///
    /// # Errors
    ///
    /// Fails when no server can take the request in time, or when it may have run and must not be retried.
    pub async fn send_until_answered(
        &mut self,
        last_event_id: Option<&str>,
        replacement: Option<NextServer>,
    ) -> Result<(SelectedServer, IncomingAnswer), Failure> {
        let outcome = self.try_servers(last_event_id, replacement).await;
        outcome.map_err(|failure| match failure.run {
            // An earlier attempt may have run the request, so no failure of a later one proves that it has not run.
            Run::NotRun if !self.may_have_run.is_empty() => Failure::unknown(Code::OutcomeUnknown),
            _ => failure,
        })
    }

    /// Whether the request continues a stream within its answer.
    fn is_continuing(&self) -> bool {
        self.waits_since > self.inbound.arrived
    }

    /// Sends a stream that has begun to servers until one continues it, at first to `replacement`. The caller waits for
    /// its next event as long as for the first one.
    ///
    /// # Errors
    ///
    /// Fails when no server can continue the stream in time.
    pub async fn continue_stream(
        &mut self,
        last_event_id: Option<&str>,
        mut replacement: Option<NextServer>,
    ) -> Result<(SelectedServer, IncomingAnswer), Failure> {
        self.waits_since = now();
        loop {
            let (selected, incoming) = self.send_until_answered(last_event_id, replacement.take()).await?;
            if incoming.status.is_success() {
                return Ok((selected, incoming));
            }
            let why = format!("status {}", incoming.status.as_u16());
            self.handle_lost_answer(&selected.server, Some(incoming.begun), &why)?;
        }
    }

    async fn try_servers(
        &mut self,
        last_event_id: Option<&str>,
        mut replacement: Option<NextServer>,
    ) -> Result<(SelectedServer, IncomingAnswer), Failure> {
        let inbound = Arc::clone(&self.inbound);
        loop {
            // Since the replacement was selected, an event of the silent server may have bound the stream, and the
            // replacement may have stated that it leaves or wants a rest.
            let next = match replacement.take().filter(|it| self.may_send_to(&it.selected.server)) {
                Some(next) => Some(next),
                None => self.connect_next().await?,
            };
            let Some(NextServer {
                mut selected,
                connection,
                vm,
            }) = next
            else {
                continue;
            };
            let outgoing = match &vm {
                Some(_) => self.outgoing_to_vm(last_event_id),
                None => self.outgoing(&selected.server, last_event_id),
            };
            self.is_at_vm = vm.is_some();
            let at = now();
            let stated = self.state.stated(&selected.server, at);
            metrics::sent(stated);
            log_event!(
                Event::RequestSent,
                self.id(),
                "server={} version={} route={} left_ms={} waited_ms={} stated={stated}",
                selected.server.id,
                version_name(&selected.server),
                self.resolved.route.name,
                self.deadline().since(at),
                at.since(self.inbound.arrived)
            );
            if let Some(retry) = self.retry.take() {
                retry.record_sent();
            }
            self.may_have_run.push(selected.server.id.clone());
            self.inbound.may_have_run.store(true, Ordering::Relaxed);
            let head = {
                let (state, server) = (Arc::clone(&self.state), Arc::clone(&selected.server));
                let attempt = inbound.caller.attempt_id.as_str();
                let is_at_vm = self.is_at_vm;
                let sink = move |stated: &Statements, unreadable: &[Unreadable]| {
                    if !is_at_vm {
                        state.record_statements(attempt, &server, stated, unreadable);
                    }
                };
                let sending = pin!(connection.send(outgoing, attempt, &sink));
                self.wait_for_head(&selected.server, sending).await?
            };
            if let Head::Received(outcome) = &head
                && vm.is_none()
            {
                self.report_place(&selected.server, outcome);
            }
            match head {
                Head::Received(Ok(mut incoming)) if vm.is_some() => {
                    self.take_server(&mut selected, &mut incoming);
                    return Ok((selected, incoming));
                }
                Head::Received(Err(AttemptError::NotRun | AttemptError::Misdirected)) if vm.is_some() => {
                    self.handle_declined(&selected.server.id)?;
                }
                Head::Received(Ok(incoming)) => {
                    if !incoming.status.is_success() || self.is_of_known_start(&selected.server).await {
                        return Ok((selected, incoming));
                    }
                    let why = "the server may have started anew";
                    self.handle_lost_answer(&selected.server, Some(incoming.begun), why)?;
                }
                Head::Received(Err(e)) => self.handle_error(selected, e).await?,
                Head::Replaced(next) => replacement = Some(next),
            }
        }
    }

    /// Whether the server that has answered is still the process that its entry describes. Under the same id another one
    /// may have started with another software version, which a process whose view is old does not know; the server is
    /// asked then. Must be called before an event is passed on or recorded.
    async fn is_of_known_start(&self, server: &BackendServer) -> bool {
        if !self.resolved.route.is_resumable_stream() {
            return true;
        }
        let at = now();
        let is_known = match &self.bound {
            Some(_) => self.state.streams.is_settled(at, &server.service),
            None => self.state.source_age_ms(at) <= FRESH_VIEW_MS,
        };
        if is_known {
            return true;
        }
        let sink = |stated: &Statements, unreadable: &[Unreadable]| {
            self.state.record_statements(self.id(), server, stated, unreadable);
        };
        let found = engine::fetch_start(&*self.state.clients.reports, server, &sink).await;
        let is_same = match &found {
            Ok(born_ms) => *born_ms == server.born_ms,
            // A stream that goes on needs certainty; one that begins would more likely be lost to a busy server.
            Err(_) => self.bound.is_none(),
        };
        if !is_same {
            log_event!(
                Event::StartUnconfirmed,
                self.id(),
                "server={} born_ms={} found={found:?} age_ms={}",
                server.id,
                server.born_ms,
                self.state.source_age_ms(at)
            );
        }
        is_same
    }

    /// Waits until a server can take the request, and opens a connection to it. Returns `None` if the server must not get
    /// the request any more or does not accept the connection.
    async fn connect_next(&mut self) -> Result<Option<NextServer>, Failure> {
        if let Some(next) = self.connect_vm().await {
            self.check_start()?;
            return Ok(Some(next));
        }
        let Some(selected) = self.wait_for_server().await? else {
            return Ok(None);
        };
        let Some((selected, turn_ms)) = self.pace_prompt(selected).await? else {
            return Ok(None);
        };
        // A server that is not there is found out before the wait for its turn.
        let turn_at = now() + turn_ms;
        let mut opened = self.open_connection(&selected.server).await;
        if opened.is_ok() {
            tokio::time::sleep(until(turn_at)).await;
        }
        // A server may close a connection on which nothing is sent for a while.
        if opened.as_ref().is_ok_and(OpenConnection::is_closed) {
            opened = self.open_connection(&selected.server).await;
        }
        let connection = match opened {
            Ok(connection) => connection,
            Err(e) => {
                self.handle_error(selected, e).await?;
                return Ok(None);
            }
        };
        let objective_at = self.waits_since + self.resolved.route.objective_ms;
        if !self.take_place(&selected.server, objective_at.since(now())).await {
            return Ok(None);
        }
        self.check_start()?;
        let has_service_changed = selected.server.service != self.service;
        let is_usable = self.may_send_to(&selected.server);
        if has_service_changed || !is_usable {
            log_event!(
                Event::RequestRetried,
                self.id(),
                "server={} why=not selectable any more service_changed={has_service_changed}",
                selected.server.id
            );
            return Ok(None);
        }
        Ok(Some(NextServer {
            selected,
            connection,
            vm: None,
        }))
    }

    /// Checks that an attempt may begin now. Pacing and connecting take time, in which the route or the key may change.
    fn check_start(&mut self) -> Result<(), Failure> {
        self.resolve_again()?;
        if now() >= self.deadline() {
            return Err(self.deadline_failure());
        }
        // A first attempt that begins now might not be answered before this process ends.
        if self.may_have_run.is_empty() && self.state.is_draining() {
            return Err(stopping());
        }
        Ok(())
    }

    /// Whether the request goes to another VM, because this one reaches no server.
    fn is_to_hand_over(&self) -> bool {
        !self.is_handed_over && self.asked_vms.len() < MAX_HANDOVERS && self.state.is_cut_off(now())
    }

    /// Opens a connection to another VM if this one reaches no server.
    async fn connect_vm(&mut self) -> Option<NextServer> {
        while self.is_to_hand_over() {
            let Some(vm) = self.state.random_vm(&self.asked_vms, now()) else {
                self.asked_vms.resize(MAX_HANDOVERS, String::new());
                return None;
            };
            self.asked_vms.push(vm.vm.clone());
            let connection = match OpenConnection::open(vm.address).await {
                Ok(connection) => connection,
                Err(e) => {
                    log::debug!("request {} was not handed to {}: {e}", self.id(), vm.vm);
                    self.state.record_member_failure(vm.address, now());
                    continue;
                }
            };
            log_event!(
                Event::HandedOver,
                self.id(),
                "to={} asked={}",
                vm.vm,
                self.asked_vms.len()
            );
            let selected = SelectedServer {
                server: Arc::new(vm.as_server(&self.service, self.bound_version())),
                guard: None,
            };
            return Some(NextServer {
                selected,
                connection,
                vm: Some(vm),
            });
        }
        None
    }

    fn outgoing_to_vm(&self, last_event_id: Option<&str>) -> OutgoingRequest {
        let mut headers = headers::for_vm(&self.inbound.headers, until(self.deadline()), last_event_id);
        let from = HandedOver {
            bound: self.bound.clone(),
            tried: self.may_have_run.clone(),
        };
        from.mark(&mut headers, &self.state.settings.vm);
        OutgoingRequest {
            method: self.inbound.method.clone(),
            uri: self.inbound.uri.clone(),
            headers,
            body: self.inbound.body.clone(),
        }
    }

    /// Takes the server that has answered at another VM, and what it states, for the server of the attempt.
    fn take_server(&mut self, selected: &mut SelectedServer, incoming: &mut IncomingAnswer) {
        let server = handover::take_server(&mut incoming.headers);
        let Some(server) = server.and_then(|it| self.state.server(&it)) else {
            return;
        };
        headers::pass_statements(incoming.status, &incoming.headers, &|stated, unreadable| {
            self.state.record_statements(self.id(), &server, stated, unreadable);
        });
        if let Some(last) = self.may_have_run.last_mut() {
            last.clone_from(&server.id);
        }
        selected.server = server;
    }

    /// Handles a VM's refusal to serve the request, which has not run there. Another VM is asked if any is left.
    fn handle_declined(&mut self, vm: &str) -> Result<(), Failure> {
        self.may_have_run.pop();
        let may_have_run = !self.may_have_run.is_empty();
        self.inbound.may_have_run.store(may_have_run, Ordering::Relaxed);
        log_event!(
            Event::RequestRetried,
            self.id(),
            "server={vm} why=the VM does not serve it"
        );
        if self.asked_vms.len() < MAX_HANDOVERS {
            return Ok(());
        }
        let wait = self.model_wait(now()).map(Duration::from_millis);
        let retry_after = wait.unwrap_or_default().max(DEFAULT_RETRY_AFTER);
        Err(Failure::not_run(Code::NoCapacity).retry_after(retry_after))
    }

    async fn open_connection(&self, server: &BackendServer) -> Result<OpenConnection, AttemptError> {
        let opened = OpenConnection::open(server.address).await;
        let error = opened.as_ref().err().map(ToString::to_string);
        self.state.record_connection(self.id(), server, error.as_deref());
        opened
    }

    /// Takes a place at a server that names a limit, and waits for up to `max_wait_ms` until it is free. Returns false if
    /// the server must not get the request now.
    async fn take_place(&self, server: &BackendServer, max_wait_ms: u64) -> bool {
        let Some(named) = self.state.named_limit(server, now()) else {
            return true;
        };
        // A server that can turn nothing away gets requests only while it certainly has room.
        if named.limits.refusals == Some(0) && 2 * self.state.load_of(&server.id) > server.slots {
            self.state.record_no_place(self.id(), server, REFUSED_AGAIN_MS);
            return false;
        }
        let answer = peers::request_place(&self.state, &PlaceRequest { named, max_wait_ms }).await;
        if !answer.granted {
            let wait_ms = answer.wait_ms.max(MIN_NO_PLACE_MS);
            self.state.record_no_place(self.id(), server, wait_ms);
            return false;
        }
        tokio::time::sleep(Duration::from_millis(answer.wait_ms.min(max_wait_ms))).await;
        true
    }

    /// Reports whether a server that can turn few requests away took this one.
    fn report_place(&self, server: &BackendServer, outcome: &Result<IncomingAnswer, AttemptError>) {
        let is_refused = matches!(outcome, Err(AttemptError::NotRun));
        let named = self.state.named_limit(server, now());
        if named.is_some_and(|it| it.limits.refusals.is_some()) && (is_refused || outcome.is_ok()) {
            let outcome = PlaceOutcome {
                server: server.id.clone(),
                born_ms: server.born_ms,
                is_refused,
            };
            peers::report_outcome(&self.state, outcome);
        }
    }

    /// Waits for the head of an answer until the deadline. A silent server is replaced if another one is ready to take
    /// the request.
    async fn wait_for_head<F>(&mut self, server: &Arc<BackendServer>, mut sending: Pin<&mut F>) -> Result<Head, Failure>
    where
        F: Future<Output = Result<IncomingAnswer, AttemptError>>,
    {
        let sent = now();
        let mut pause = self.head_timeout();
        loop {
            let outcome = tokio::select! {
                outcome = tokio::time::timeout(pause, sending.as_mut()) => outcome,
                // Closing the connection makes the server drop the request, which may not have begun there.
                failure = self.prompt_failure() => return Err(failure),
            };
            if let Ok(outcome) = outcome {
                return Ok(Head::Received(outcome));
            }
            if now() >= self.deadline() {
                log_event!(
                    Event::RequestFailed,
                    self.id(),
                    "server={} why=no answer before the deadline",
                    server.id
                );
                return Err(Failure::unknown(Code::TimedOut));
            }
            let replacement = tokio::select! {
                biased;
                outcome = sending.as_mut() => return Ok(Head::Received(outcome)),
                replacement = self.secure_replacement(server, now().since(sent), false) => replacement,
            };
            if let Some(next) = replacement
                && self.give_up_silent(server, None, now().since(sent))
            {
                return Ok(Head::Replaced(next));
            }
            pause = until(self.deadline()).min(Duration::from_millis(REPLACEMENT_INTERVAL_MS));
        }
    }

    /// Returns when a part of the request's prompt turns out to crash servers.
    async fn prompt_failure(&self) -> Failure {
        let mut changes = self.state.subscribe();
        loop {
            if !self.is_trial
                && let Err(failure) = check_prompt(&self.state, &self.inbound)
            {
                return failure;
            }
            if changes.changed().await.is_err() {
                return Failure::not_run(Code::Stopping);
            }
        }
    }

    /// Records that the server survived an answer to the request that began at `begun`.
    pub fn record_proof(&self, begun: Millis) {
        if self.state.findings.record_proof(now(), &self.inbound.clues, begun) {
            self.state.signal_change();
        }
    }

    async fn handle_error(&mut self, selected: SelectedServer, error: AttemptError) -> Result<(), Failure> {
        let at = now();
        let why = error.to_string();
        let SelectedServer {
            server: selected,
            guard,
        } = selected;
        drop(guard);
        let server = selected.id.as_str();
        match error {
            AttemptError::Unknown(why) => return self.handle_lost_answer(&selected, None, &why),
            AttemptError::NotSent(_) => {
                self.record_failure(server, &why);
                log_event!(Event::RequestRetried, self.id(), "server={server} why={why}");
                // The server is left out now, so that the next attempt goes to another one.
                return Ok(());
            }
            AttemptError::NotRun | AttemptError::Misdirected => {
                self.may_have_run.pop();
                let may_have_run = !self.may_have_run.is_empty();
                self.inbound.may_have_run.store(may_have_run, Ordering::Relaxed);
                self.refusals += 1;
                self.refused_by.retain(|(it, _)| it != server);
                self.refused_by.push((server.to_owned(), at));
                if !self.state.takes_requests(&selected, at) {
                    self.check_obstacle()?;
                } else if let Some(model) = &self.inbound.caller.model {
                    self.state.record_missing_model(server, model, at);
                }
                if self.refusals > MAX_REFUSALS || !self.take_retry() {
                    return Err(Failure::not_run(Code::NoCapacity).retry_after(DEFAULT_RETRY_AFTER));
                }
            }
        }
        log_event!(Event::RequestRetried, self.id(), "server={server} why={why}");
        tokio::time::sleep(REFUSED_RETRY_PAUSE).await;
        Ok(())
    }

    /// Time without the head of an answer after which the server is replaced, if the request may be sent to another one.
    fn head_timeout(&self) -> Duration {
        let left = until(self.deadline());
        if !self.may_retry() {
            return left;
        }
        let objective = self.resolved.route.objective_ms * HEAD_TIMEOUT_OBJECTIVES;
        left.min(Duration::from_millis(objective.max(HEAD_TIMEOUT_MIN_MS)))
    }

    /// Applies what is in force now to the request: a withdrawn key, a removed route and a verdict on its prompt also
    /// apply to requests that were admitted before.
    fn resolve_again(&mut self) -> Result<(), Failure> {
        self.resolved = resolve(&self.state, &self.inbound)?;
        if !self.is_trial {
            self.is_trial = check_prompt(&self.state, &self.inbound)?;
        }
        if !self.resolved.route.targets.iter().any(|(it, _)| *it == self.service) {
            if let Some(bound) = &self.bound {
                return Err(self.version_gone(bound, "its route leads to other services"));
            }
            draw_service(&self.resolved.route, &mut rand::rng()).clone_into(&mut self.service);
        }
        Ok(())
    }

    /// Waits until a server can take the request, and selects it; `None` if the request goes to another VM.
    async fn wait_for_server(&mut self) -> Result<Option<SelectedServer>, Failure> {
        let mut changes = self.state.subscribe();
        let mut waiting = None;
        loop {
            self.resolve_again()?;
            if self.is_to_hand_over() {
                return Ok(None);
            }
            if let Some(selected) = self.select_server(None) {
                return Ok(Some(selected));
            }
            self.check_binding()?;
            self.check_obstacle()?;
            let at = now();
            let latest_start = self.latest_start();
            if at >= latest_start {
                self.log_not_placed("queue", None);
                return Err(self.deadline_failure());
            }
            // A request that cannot be served in time is refused now, with the time after which to retry.
            if let Some(wait) = self.model_wait(at).filter(|it| at + *it > latest_start) {
                self.log_not_placed("load", Some(wait));
                // Few engines can take a stream that is bound to a version. Without this demand none would load its model.
                if self.bound.is_some() {
                    self.record_refused(wait);
                }
                let retry_after = Duration::from_millis(wait);
                return Err(self.deadline_failure().retry_after(retry_after));
            }
            // This process ends soon, so the caller should retry at another VM.
            if self.state.is_draining() && !self.is_continuing() {
                return Err(stopping());
            }
            if let Some(model) = &self.inbound.caller.model
                && waiting.is_none()
            {
                let adapter = self.inbound.caller.adapter.as_deref();
                let version = self.bound_version();
                waiting = Some(self.state.track_waiting(&self.service, model, adapter, version));
                log_event!(
                    Event::RequestQueued,
                    self.id(),
                    "model={model} adapter={} left_ms={}",
                    adapter.unwrap_or("-"),
                    self.deadline().since(at)
                );
            }
            let left = until(latest_start);
            // Bounded, because a server that lacked the model is selectable again after a while without any change.
            let pause = left.min(Duration::from_millis(250));
            let waited = tokio::time::timeout(pause, changes.changed()).await;
            if let Ok(Err(_)) = waited {
                return Err(Failure::not_run(Code::Stopping));
            }
        }
    }

    /// Reserves a turn at an engine that can process the prompt without delaying its streams. Returns the engine and the
    /// milliseconds until the turn; `None` if the request goes to another VM.
    ///
    /// Under overload a request that can no longer be on time waits for capacity that later requests leave free, so
    /// that some requests are on time rather than none. It is refused shortly before its caller would abandon it.
    async fn pace_prompt(&mut self, initial: SelectedServer) -> Result<Option<(SelectedServer, u64)>, Failure> {
        let Some((tokens, _)) = self.inbound.caller.tokens else {
            return Ok(Some((initial, 0)));
        };
        if self.resolved.route.kind != RouteKind::Streaming {
            return Ok(Some((initial, 0)));
        }
        let started = now();
        let objective = self.resolved.route.objective_ms;
        let timeout = (objective * PACE_TIMEOUT_OBJECTIVES).max(PACE_TIMEOUT_MIN_MS);
        let mut selected = initial;
        loop {
            let elapsed = now().since(self.inbound.arrived);
            let spare = objective.saturating_sub(elapsed + FIRST_EVENT_MS);
            // A stream that goes on has few engines, and most of those that wait there have others.
            let max_wait = if self.bound.is_some() {
                let left = self.latest_start().since(now());
                left.clamp(SHORT_PACE_WAIT_MS, MAX_BOUND_PACE_WAIT_MS)
            } else {
                spare.clamp(SHORT_PACE_WAIT_MS, MAX_PACE_WAIT_MS)
            };
            let wait = match self.request_pace(&selected, tokens, SHORT_PACE_WAIT_MS).await {
                Ok(turn_ms) => return Ok(Some((selected, turn_ms))),
                Err(wait) => wait,
            };
            let other = self.select_server(Some(&selected.server.id));
            let other_wait = match &other {
                Some(other) => self.request_pace(other, tokens, SHORT_PACE_WAIT_MS).await,
                None => Err(u64::MAX),
            };
            selected = match (other, other_wait) {
                (Some(other), Ok(turn_ms)) => return Ok(Some((other, turn_ms))),
                (Some(other), Err(other_wait)) if other_wait < wait => other,
                _ => selected,
            };
            let wait = match self.request_pace(&selected, tokens, max_wait).await {
                Ok(turn_ms) => return Ok(Some((selected, turn_ms))),
                Err(wait) => wait,
            };
            let is_hopeless = now() + wait > self.latest_start() && self.has_few_engines();
            if is_hopeless || now().since(started) > timeout || now() + RETURN_MARGIN_MS >= self.deadline() {
                self.log_not_placed("pace", Some(wait));
                let retry_after = if is_hopeless {
                    Duration::from_millis(wait)
                } else {
                    DEFAULT_RETRY_AFTER
                };
                return Err(Failure::not_run(Code::NoCapacity).retry_after(retry_after));
            }
            drop(selected);
            let pause = rand::random_range(PACE_RETRY_MS / 2..PACE_RETRY_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            selected = match self.wait_for_server().await? {
                Some(selected) => selected,
                None => return Ok(None),
            };
        }
    }

    /// Whether the request is a stream that goes on, and all engines that may take it have been asked for a turn.
    fn has_few_engines(&self) -> bool {
        let may_use = |it: &BackendServer| self.may_use(it) && !self.was_tried(it);
        self.bound.is_some() && self.state.places(&self.service, self.wanted(), may_use, now()).holding <= ASKED_ENGINES
    }

    /// Reserves time for the prompt at the engine. Returns the milliseconds until the prompt may be sent, zero if the VM
    /// that paces the engine does not answer; the error is a wait that exceeds `max_wait_ms`.
    async fn request_pace(&self, selected: &SelectedServer, tokens: u64, max_wait_ms: u64) -> Result<u64, u64> {
        let request = PaceRequest {
            engine: selected.server.id.clone(),
            tokens,
            gap_ms: self.resolved.route.gap_ms,
            max_wait_ms,
        };
        match peers::request_pace(&self.state, &request).await {
            Some(answer) if answer.granted => Ok(answer.wait_ms.min(max_wait_ms.max(MAX_PACE_WAIT_MS))),
            Some(answer) => Err(answer.wait_ms),
            None => Ok(0),
        }
    }

    /// Latest time at which the request can be sent so that its answer starts before the caller abandons it.
    fn latest_start(&self) -> Millis {
        let deadline = self.deadline() - RETURN_MARGIN_MS;
        let route = &self.resolved.route;
        if route.kind != RouteKind::Streaming {
            return deadline;
        }
        deadline.min(self.waits_since + (first_event_timeout_ms(route) - FIRST_EVENT_MS))
    }

    /// Counts the request, which is refused, as demand for its model for `back_ms` milliseconds.
    fn record_refused(&self, back_ms: u64) {
        let caller = &self.inbound.caller;
        if let Some(model) = &caller.model {
            let adapter = caller.adapter.as_deref();
            self.state
                .record_refused(&self.service, model, adapter, self.bound_version(), back_ms);
        }
    }

    /// Logs that the request is refused because no server takes it in time. `stage` is what it waited for, and `wait_ms` the
    /// wait that it was told.
    fn log_not_placed(&self, stage: &str, wait_ms: Option<u64>) {
        let at = now();
        let places = self
            .state
            .places(&self.service, self.wanted(), |it| self.may_use(it), at);
        log_event!(
            Event::RequestNotPlaced,
            self.id(),
            "stage={stage} service={} model={} version={} ready={} holding={} resting={} tried={} wait_ms={} waited_ms={}",
            self.service,
            self.model(),
            self.bound_version().unwrap_or("-"),
            places.ready,
            places.holding,
            places.resting,
            self.may_have_run.len(),
            wait_ms.map_or_else(|| "-".to_owned(), |it| it.to_string()),
            at.since(self.waits_since)
        );
    }

    /// Estimated milliseconds until the request's model can take it; `None` without an estimate of the coordinator.
    fn model_wait(&self, at: Millis) -> Option<u64> {
        let model = self.inbound.caller.model.as_deref()?;
        self.state.wait_ms(&self.service, model, self.bound_version(), at)
    }

    fn bound_version(&self) -> Option<&str> {
        self.bound.as_ref().and_then(|it| it.version.as_deref())
    }

    fn deadline_failure(&self) -> Failure {
        if self.may_have_run.is_empty() {
            return Failure::not_run(Code::DeadlineUnreachable).retry_after(DEFAULT_RETRY_AFTER);
        }
        Failure::unknown(Code::TimedOut)
    }

    /// Selects the best server that can take the request, other than `excluded`.
    fn select_server(&self, excluded: Option<&str>) -> Option<SelectedServer> {
        let at = now();
        let caller = &self.inbound.caller;
        self.resolved.in_force.config.services.get(&self.service)?;
        let wanted = self.wanted();
        let model = wanted.map(|(model, _)| model);
        let available = self.state.candidates(&self.service, wanted, at);
        let health = self.state.health.lock();
        let zone = &self.state.settings.zone;
        let has_refused = |it: &BackendServer| {
            let mut refused = self.refused_by.iter();
            refused.any(|(server, refused_at)| *server == it.id && at.since(*refused_at) < REFUSED_AGAIN_MS)
        };
        let untried = available.iter().filter(|(it, _)| {
            self.may_use(it) && !self.was_tried(it) && !has_refused(it) && excluded != Some(it.id.as_str())
        });
        let candidates = untried.map(|(it, in_flight)| Candidate {
            id: &it.id,
            same_zone: it.zone == *zone,
            in_flight: *in_flight,
            slots: it.slots,
            avoided: health.is_avoided(at, &it.id),
            failing: health.failing(at, &it.id),
        });
        let best = choice::choose(candidates, caller.first_prompt_part.as_deref(), &mut rand::rng())?;
        let server = available
            .iter()
            .find(|(it, _)| it.id == best.id)
            .map(|(it, _)| Arc::clone(it))?;
        let guard = Some(self.state.track_running(&server.id, model));
        Some(SelectedServer { server, guard })
    }

    fn outgoing(&self, server: &BackendServer, last_event_id: Option<&str>) -> OutgoingRequest {
        let organisation = self.resolved.organisation.as_ref();
        let priority = organisation.and_then(|it| it.priority);
        let is_engine = self
            .resolved
            .in_force
            .config
            .services
            .get(&self.service)
            .is_some_and(|it| it.engine.is_some());
        let server_headers = ServerHeaders {
            server: &server.id,
            left: until(self.deadline()),
            organisation: organisation.map(|it| it.name.as_str()),
            urgency: is_engine.then_some(priority.unwrap_or(self.resolved.route.priority)),
            last_event_id,
        };
        OutgoingRequest {
            method: self.inbound.method.clone(),
            uri: self.inbound.uri.clone(),
            headers: headers::for_server(&self.inbound.headers, server_headers),
            body: self.inbound.body.clone(),
        }
    }
}
