//! Dispatch of one request: selection of a backend server, pacing, sending and retries.

use std::fmt::{Display, Formatter};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use guava_core::codes::{Code, Run};
use guava_core::events::Event;
use guava_core::units::Millis;
use guava_fleet::binding::StreamBinding;
use guava_fleet::model::{BackendServer, Route, RouteKind};
use guava_fleet::routes::draw_service;
use guava_fleet::server_limits::PlaceOutcome;
use guava_fleet::statements::{Obstacle, Statements};
use guava_fleet::streams::FRESH_VIEW_MS;
use guava_platform::headers::{self, ServerHeaders, Unreadable};
use guava_platform::{CallError, engine};
use http::Response;

use crate::attempt::{AttemptError, IncomingAnswer, OpenConnection, OutgoingRequest};
use crate::breakage::{self, BrokenAttempt};
use crate::exclusion::Exclusion;
use crate::handover::{self, NextVm};
use crate::intake::Client;
use crate::log_event;
use crate::metrics;
use crate::peers::{self, PlaceRequest};
use crate::relay;
use crate::reply::{Body, Failure, forwarded_response, full_body};
use crate::request::{DEFAULT_RETRY_AFTER, Inbound, Resolved, check_prompt, max_start_wait_ms, resolve, stopping};
use crate::state::{EntryState, RunningGuard, TakenRetry, now, until};

mod buffered;
mod explain;
mod other_vm;
mod replacement;
mod selection;

pub use buffered::MAX_LARGE_ANSWER_BLOCKS;
use buffered::read_buffered;
pub use explain::{Outcome, ServerExplanation, ServiceExplanation};
use selection::{REFUSED_AGAIN_MS, Refusal};

/// Largest number of refusals by servers after which the request is still sent again; one more, and it is refused here.
/// A server that refuses a request has not run it.
const MAX_REFUSALS: u32 = 6;
/// Pause before a refused request is sent again.
const REFUSED_RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Part of the caller's deadline reserved for returning the answer.
const RETURN_MARGIN_MS: u64 = 20;
/// Lower bound of the time after which callers abandon a stream without a first event. Otherwise it is four objectives
/// or eight gaps, whichever is longer.
const FIRST_EVENT_TIMEOUT_MIN_MS: u64 = 2_000;
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
/// Longest time, in milliseconds, for which a request waits for its place at a cold server; there may be a warm one.
const MAX_COLD_WAIT_MS: u64 = 150;
/// Longest time, in milliseconds, for which a cold server without a place is left alone. No model is loaded elsewhere for
/// a rest that is shorter than a second.
const MAX_COLD_REST_MS: u64 = 900;
/// Deadline of a request that states none.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

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

/// Why no server takes a request soon enough.
#[derive(Debug, Clone, Copy)]
enum Hindrance {
    /// None is in a region that the request is bound to.
    Regions,
    Obstacle(Obstacle),
}

impl Hindrance {
    fn failure(self) -> Failure {
        let retry_after = match self {
            Self::Regions | Self::Obstacle(Obstacle::Leaving) => DEFAULT_RETRY_AFTER,
            Self::Obstacle(Obstacle::Resting(left_ms)) => Duration::from_millis(left_ms),
        };
        Failure::not_run(Code::NoCapacity).retry_after(retry_after)
    }
}

impl Display for Hindrance {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Regions => f.write_str("Regions"),
            Self::Obstacle(obstacle) => write!(f, "{obstacle:?}"),
        }
    }
}

/// Server selected for an attempt.
#[derive(Debug)]
pub struct SelectedServer {
    /// Where the attempt is sent.
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
    /// Last refusal of each server that has refused the request.
    refused_by: Vec<Refusal>,
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
    /// When the last attempt was sent.
    sent_at: Millis,
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
            sent_at: inbound.arrived,
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

    /// Client whose request it is.
    pub fn client(&self) -> &Arc<Client> {
        &self.inbound.client
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

    /// Whether the request may be sent to a server of this service, version and region.
    fn may_use(&self, server: &BackendServer) -> bool {
        self.exclusion(server).is_none()
    }

    /// Why the request must not be sent to a server of this version and region. A stream that callers may take up begins
    /// only at a version that will be known to have begun it.
    fn exclusion(&self, server: &BackendServer) -> Option<Exclusion> {
        let regions = &self.state.settings.regions;
        if !self.resolved.allows_region(regions.get(&server.zone)) {
            return Some(Exclusion::Region);
        }
        match &self.bound {
            Some(bound) => (!bound.allows(server)).then_some(Exclusion::Version),
            None if self.resolved.route.is_resumable_stream() => {
                let streams = &self.state.streams;
                let may_begin = streams.may_begin(&server.service, server.version.as_deref());
                (!may_begin).then_some(Exclusion::UnlistedVersion)
            }
            None => None,
        }
    }

    /// Whether the request may be sent to a server now.
    fn may_send_to(&self, server: &BackendServer) -> bool {
        let at = now();
        self.may_use(server) && !self.awaits_evacuations(at) && self.state.takes_requests(server, at)
    }

    /// Whether the request waits because this process, which has just started or was suspended, does not know which zones
    /// are evacuated. It waits no longer than for the first configuration.
    fn awaits_evacuations(&self, at: Millis) -> bool {
        let waited_ms = at.since(self.waits_since);
        waited_ms < max_start_wait_ms(&self.inbound) && !self.state.knows_evacuations(at)
    }

    /// Fails if it is known that no server takes the request soon enough.
    fn check_obstacle(&self) -> Result<(), Failure> {
        let Some(hindrance) = self.find_hindrance(now()) else {
            return Ok(());
        };
        if let Hindrance::Obstacle(Obstacle::Resting(_)) = hindrance {
            self.record_refused(REST_DEMAND_MS);
        }
        log_event!(
            Event::NoServerTakes,
            self.id(),
            "service={} model={} obstacle={hindrance}",
            self.service,
            self.model()
        );
        Err(hindrance.failure())
    }

    /// Why no server takes the request soon enough, if that is known: none is in its regions, or all leave or rest.
    fn find_hindrance(&self, at: Millis) -> Option<Hindrance> {
        if !self.has_server_in_regions() {
            return Some(Hindrance::Regions);
        }
        let is_untried = |it: &BackendServer| self.may_use(it) && !self.was_tried(it);
        let obstacle = self.state.obstacle(&self.service, self.wanted(), is_untried, at)?;
        let objective_at = self.waits_since + self.resolved.route.objective_ms;
        let is_worth_waiting = obstacle.is_worth_waiting(objective_at.since(at), self.model_wait(at));
        (!is_worth_waiting).then_some(Hindrance::Obstacle(obstacle))
    }

    /// Whether a server of the service is in a region that the request is bound to, as far as servers are known.
    fn has_server_in_regions(&self) -> bool {
        if !self.resolved.is_bound_to_regions() || !self.state.knows_servers() {
            return true;
        }
        let regions = &self.state.settings.regions;
        self.state
            .has_ready_server(|it| it.service == self.service && self.resolved.allows_region(regions.get(&it.zone)))
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
                self.record_run(&selected.server);
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
        self.retry = self.state.try_retry(&self.service, now());
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
            sent: self.sent_at,
            at: now(),
            why: why.to_owned(),
        };
        breakage::examine(&self.state, &self.inbound, broken);
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
            self.sent_at = at;
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
                if matches!(outcome, Err(AttemptError::NotRun)) {
                    metrics::server_refusal();
                }
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
        let found = if self.state.is_evacuated(&server.zone) {
            Err(CallError::NotRun("its zone is evacuated".to_owned()))
        } else {
            engine::fetch_start(&*self.state.clients.reports, server, &sink).await
        };
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

    async fn open_connection(&self, server: &BackendServer) -> Result<OpenConnection, AttemptError> {
        let opened = OpenConnection::open(server.address).await;
        let error = opened.as_ref().err().map(ToString::to_string);
        self.state.record_connection(self.id(), server, error.as_deref());
        opened
    }

    /// Takes a place at a server that names a limit, and waits for up to `max_wait_ms` until it is free. Returns false if
    /// the server must not get the request now.
    async fn take_place(&self, server: &BackendServer, max_wait_ms: u64) -> bool {
        if !self.reserve_cold_place(server, max_wait_ms).await {
            return false;
        }
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

    /// Takes a place at a server that is cold. Returns false if it must not get the request now.
    async fn reserve_cold_place(&self, server: &BackendServer, max_wait_ms: u64) -> bool {
        let Some(limit) = self.state.cold_limit(server, now()) else {
            return true;
        };
        let max_wait_ms = max_wait_ms.min(MAX_COLD_WAIT_MS);
        match peers::request_cold_place(&self.state, &limit, max_wait_ms).await {
            Ok(wait_ms) => {
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                true
            }
            Err(wait_ms) => {
                let wait_ms = wait_ms.clamp(MIN_NO_PLACE_MS, limit.left_ms.clamp(MIN_NO_PLACE_MS, MAX_COLD_REST_MS));
                self.state.record_cold_wait(self.id(), server, wait_ms);
                false
            }
        }
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

    /// Records that an answer to the request, which began at `begun`, runs on.
    pub fn record_progress(&self, begun: Millis) {
        if self.state.findings.record_progress(now(), &self.inbound.clues, begun) {
            self.state.signal_change();
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
        match &error {
            AttemptError::Unknown(why) => return self.handle_lost_answer(&selected, None, why),
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
                let is_full = error == AttemptError::NotRun;
                self.record_refusal(server, is_full, at);
                if !self.state.takes_requests(&selected, at) {
                    self.check_obstacle()?;
                } else if let Some(model) = &self.inbound.caller.model {
                    if is_full {
                        self.state.record_full_server(server, model, at);
                    } else {
                        let adapter = self.inbound.caller.adapter.as_deref();
                        self.state.record_missing_model(server, model, adapter, at);
                    }
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
