//! Attempts of one request: choice of a backend server, pace, sending, repeats.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use guava_core::codes::Code;
use guava_core::events::Event;
use guava_core::units::Millis;
use guava_fleet::choice::{self, Candidate};
use guava_fleet::model::{BackendServer, Route, RouteKind};
use guava_fleet::routes::draw_service;
use guava_platform::headers::{self, ServerHeaders};
use http::Response;
use http_body_util::{BodyExt, Limited};

use crate::attempt::{self, Arriving, AttemptError, Outgoing};
use crate::log_event;
use crate::metrics;
use crate::peers::{self, PaceTake};
use crate::relay;
use crate::reply::{Body, Failure, full, passed_on};
use crate::request::{COME_BACK, Inbound, Resolved, resolve};
use crate::state::{Entry, RunningGuard, now, until};

/// Sends that servers may refuse without running the request before it is refused here.
const MAX_REFUSALS: u32 = 6;
/// Answers up to this size are read whole before they are passed on, so that one that is cut can be repeated.
const WHOLE_ANSWER_BYTES: usize = 1 << 20;
/// Pause before a refused request is offered again.
const REFUSED_PAUSE: Duration = Duration::from_millis(40);
/// Time that is kept from the caller's deadline for the way back of an answer.
const WAY_BACK_MS: u64 = 20;
/// Wait for an engine below which no other engine is tried.
const SHORT_PACE_MS: u64 = 40;
/// Longest wait for an engine's turn.
const MAX_PACE_MS: u64 = 600;
/// Time from the sending of a prompt to its first event at an engine that is not full.
const FIRST_EVENT_MS: u64 = 150;
/// Least time after which callers give up a stream without a first event; they wait for four objectives or eight pauses
/// if that is longer.
const FIRST_EVENT_PATIENCE_MS: u64 = 2_000;
/// Time for which a request waits for any engine's turn, in objectives; callers give up a stream without a first event
/// after four.
const PACE_PATIENCE: u64 = 3;
/// Least such time; callers wait at least two seconds.
const PACE_PATIENCE_MIN_MS: u64 = 1_500;
/// Longest pause until an engine's turn is asked for again.
const PACE_PAUSE_MS: u64 = 120;
/// Wait for the head of the answer of a request that may be repeated, relative to its objective.
const HEAD_WAIT_OBJECTIVES: u64 = 2;
/// Least wait for the head of such an answer.
const HEAD_WAIT_MIN_MS: u64 = 250;
/// Longest wait of a request without a deadline of its own.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Server chosen for an attempt.
#[derive(Debug)]
pub struct Chosen {
    /// Server.
    pub server: Arc<BackendServer>,
    /// Counts the request as running there.
    pub guard: RunningGuard,
}

/// Attempts of one request.
#[derive(Debug)]
pub struct Path {
    entry: Arc<Entry>,
    inbound: Arc<Inbound>,
    resolved: Resolved,
    service: String,
    /// Servers that may have run the request.
    ran: Vec<String>,
    refusals: u32,
    /// End of the time that the caller or the route allows.
    deadline: Millis,
}

impl Path {
    /// Path of a request that was admitted.
    pub fn new(entry: Arc<Entry>, inbound: Arc<Inbound>, resolved: Resolved, service: String) -> Self {
        let allowed = inbound.caller.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        let allowed = allowed.min(resolved.route.timeout_ms);
        Self {
            service,
            deadline: inbound.arrived + allowed,
            entry,
            inbound,
            resolved,
            ran: Vec::new(),
            refusals: 0,
        }
    }

    /// Identifier of the caller's attempt.
    pub fn id(&self) -> &str {
        &self.inbound.caller.attempt_id
    }

    /// Route.
    pub fn route(&self) -> &Route {
        &self.resolved.route
    }

    /// End of the time that the caller or the route allows.
    pub fn deadline(&self) -> Millis {
        self.deadline
    }

    /// Model and adapter that the caller asks for.
    pub fn model(&self) -> String {
        let caller = &self.inbound.caller;
        let model = caller.model.as_deref().unwrap_or("-");
        caller
            .adapter
            .as_ref()
            .map_or_else(|| model.to_owned(), |adapter| format!("{model}/{adapter}"))
    }

    /// Arrival of the request.
    pub fn arrived(&self) -> Millis {
        self.inbound.arrived
    }

    /// Shared state.
    pub fn entry(&self) -> &Arc<Entry> {
        &self.entry
    }

    /// Whether another server may get the request after one that may have run it.
    pub fn may_repeat(&self) -> bool {
        self.resolved.route.may_repeat() && (self.ran.len() as u32) < self.resolved.route.max_attempts
    }

    /// Offers the request to servers and reads or passes on the answer.
    ///
    /// # Errors
    ///
    /// Fails when no server can take it in time, or when it may have run and must not be repeated.
    pub async fn run(mut self) -> Result<Response<Body>, Failure> {
        if let Some(model) = &self.inbound.caller.model {
            let adapter = self.inbound.caller.adapter.as_deref();
            let prompt_tokens = self.inbound.caller.tokens.map_or(0, |(prompt, _)| prompt);
            self.entry.note_arrival(&self.service, model, adapter, prompt_tokens);
        }
        loop {
            let (chosen, arriving) = self.offer(None).await?;
            if self.resolved.route.kind == RouteKind::Streaming && arriving.status.is_success() {
                let server = &chosen.server.id;
                log_event!(Event::RequestFinished, self.id(), "stream begins server={server}");
                return Ok(relay::stream(self, chosen, arriving));
            }
            if let Some(answer) = self.read_whole(chosen, arriving).await? {
                return Ok(answer);
            }
        }
    }

    /// Reads a whole answer; `None` when the request should be offered to another server.
    async fn read_whole(&mut self, chosen: Chosen, arriving: Arriving) -> Result<Option<Response<Body>>, Failure> {
        let server = chosen.server.id.clone();
        let status = arriving.status.as_u16();
        let is_failure = arriving.status.is_server_error();
        if is_failure && self.may_repeat() && self.entry.try_repeat(&self.service, now()) {
            self.note_failure(&server, format_args!("status {status}"));
            log_event!(Event::RequestRetried, self.id(), "server={server} status={status}");
            return Ok(None);
        }
        let reading = Limited::new(arriving.body, WHOLE_ANSWER_BYTES).collect();
        let body = match tokio::time::timeout(until(self.deadline), reading).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => return self.lost(&server, &e.to_string()).map(|()| None),
            Err(_) => return Err(Failure::unknown(Code::TimedOut)),
        };
        if is_failure {
            self.note_failure(&server, format_args!("status {status}"));
        } else {
            self.entry.health.lock().note_success(now(), &server);
        }
        let answer = passed_on(arriving.status, &arriving.headers, full(body));
        let took = now().since(self.inbound.arrived);
        metrics::first_byte(self.resolved.route.kind, took);
        log_event!(
            Event::RequestFinished,
            self.id(),
            "server={server} status={status} after_ms={took}"
        );
        Ok(Some(answer))
    }

    fn note_failure(&self, server: &str, why: impl Display) {
        if self.entry.health.lock().note_failure(now(), server) {
            log_event!(Event::ServerAvoided, self.id(), "server={server} why={why}");
        }
    }

    /// Notes that a server may have run the request and gave no usable answer.
    ///
    /// # Errors
    ///
    /// Fails when the request must not be offered again.
    pub fn lost(&mut self, server: &str, why: &str) -> Result<(), Failure> {
        let at = now();
        self.note_failure(server, why);
        let has_time = at + WAY_BACK_MS < self.deadline;
        if has_time && self.may_repeat() && self.entry.try_repeat(&self.service, at) {
            log_event!(Event::RequestRetried, self.id(), "server={server} why={why}");
            return Ok(());
        }
        log_event!(Event::RequestFailed, self.id(), "server={server} why={why}");
        Err(Failure::unknown(Code::OutcomeUnknown))
    }

    /// Offers the request to servers until one answers; `after` is the last event of a stream that goes on.
    ///
    /// # Errors
    ///
    /// Fails when no server can take it in time, or when it may have run and must not be repeated.
    pub async fn offer(&mut self, after: Option<&str>) -> Result<(Chosen, Arriving), Failure> {
        loop {
            let chosen = self.choose().await?;
            let chosen = self.pace(chosen).await?;
            let server = chosen.server.id.clone();
            let out = self.outgoing(&chosen.server, after);
            let at = now();
            log_event!(
                Event::RequestSent,
                self.id(),
                "server={server} route={} left_ms={} waited_ms={}",
                self.resolved.route.name,
                self.deadline.since(at),
                at.since(self.inbound.arrived)
            );
            self.ran.push(server.clone());
            let sending = attempt::send(chosen.server.address, out, &self.inbound.caller.attempt_id);
            let outcome = tokio::time::timeout(self.head_wait(), sending).await;
            let error = match outcome {
                Ok(Ok(arriving)) => return Ok((chosen, arriving)),
                Ok(Err(e)) => e,
                Err(_) if now() >= self.deadline => {
                    log_event!(
                        Event::RequestFailed,
                        self.id(),
                        "server={server} why=no answer before the deadline"
                    );
                    return Err(Failure::unknown(Code::TimedOut));
                }
                Err(_) => AttemptError::Unknown("no answer in time".to_owned()),
            };
            drop(chosen);
            self.react(&server, error).await?;
        }
    }

    async fn react(&mut self, server: &str, error: AttemptError) -> Result<(), Failure> {
        let at = now();
        let why = error.to_string();
        match error {
            AttemptError::Unknown(why) => return self.lost(server, &why),
            AttemptError::NotSent(_) => {
                self.ran.pop();
                self.note_failure(server, &why);
            }
            AttemptError::NotRun | AttemptError::Misdirected => {
                self.ran.pop();
                self.refusals += 1;
                if let Some(model) = &self.inbound.caller.model {
                    self.entry.note_missing(server, model, at);
                }
                let has_budget = self.entry.try_repeat(&self.service, at);
                if self.refusals > MAX_REFUSALS || !has_budget {
                    return Err(Failure::not_run(Code::NoCapacity).retry_after(COME_BACK));
                }
            }
        }
        log_event!(Event::RequestRetried, self.id(), "server={server} why={why}");
        tokio::time::sleep(REFUSED_PAUSE).await;
        Ok(())
    }

    /// Time for the head of an answer; shorter where the request may go to another server.
    fn head_wait(&self) -> Duration {
        let left = until(self.deadline);
        if !self.may_repeat() {
            return left;
        }
        let objective = self.resolved.route.objective_ms * HEAD_WAIT_OBJECTIVES;
        left.min(Duration::from_millis(objective.max(HEAD_WAIT_MIN_MS)))
    }

    /// Waits for a server that can take the request.
    async fn choose(&mut self) -> Result<Chosen, Failure> {
        let mut changes = self.entry.subscribe();
        let mut waiting = None;
        loop {
            // A withdrawn key or a removed route holds for requests that wait.
            self.resolved = resolve(&self.entry, &self.inbound)?;
            if !self.resolved.route.targets.iter().any(|(it, _)| *it == self.service) {
                draw_service(&self.resolved.route, &mut rand::rng()).clone_into(&mut self.service);
            }
            if let Some(chosen) = self.pick(None) {
                return Ok(chosen);
            }
            let at = now();
            let give_up = self.give_up();
            if at >= give_up {
                return Err(self.refuse_late());
            }
            // What cannot be there in time is refused now, with the time to come back.
            if let Some(wait) = self.model_wait(at).filter(|it| at + *it > give_up) {
                let retry_after = Duration::from_millis(wait);
                return Err(self.refuse_late().retry_after(retry_after));
            }
            // Another VM has more time for what waits here.
            if self.entry.is_closing() {
                return Err(Failure::not_run(Code::Stopping).retry_after(Duration::ZERO));
            }
            if let Some(model) = &self.inbound.caller.model
                && waiting.is_none()
            {
                let adapter = self.inbound.caller.adapter.as_deref();
                waiting = Some(self.entry.wait_for_model(&self.service, model, adapter));
                log_event!(
                    Event::RequestQueued,
                    self.id(),
                    "model={model} adapter={} left_ms={}",
                    adapter.unwrap_or("-"),
                    self.deadline.since(at)
                );
            }
            let left = until(give_up);
            // What a server lacked is asked for again after a moment without any change.
            let pause = left.min(Duration::from_millis(250));
            let waited = tokio::time::timeout(pause, changes.changed()).await;
            if let Ok(Err(_)) = waited {
                return Err(Failure::not_run(Code::Stopping));
            }
        }
    }

    /// Waits until the engine can read the prompt without long pauses for its streams, or takes another engine.
    ///
    /// Under overload a request that cannot be on time waits for what later ones leave, so that some are on time rather
    /// than none; it is refused when its caller would soon give up.
    async fn pace(&mut self, first: Chosen) -> Result<Chosen, Failure> {
        let Some((tokens, _)) = self.inbound.caller.tokens else {
            return Ok(first);
        };
        if self.resolved.route.kind != RouteKind::Streaming {
            return Ok(first);
        }
        let started = now();
        let objective = self.resolved.route.objective_ms;
        let patience = (objective * PACE_PATIENCE).max(PACE_PATIENCE_MIN_MS);
        let mut chosen = first;
        loop {
            let elapsed = now().since(self.inbound.arrived);
            let spare = objective.saturating_sub(elapsed + FIRST_EVENT_MS);
            let max_wait = spare.clamp(SHORT_PACE_MS, MAX_PACE_MS);
            let Some(short) = self.ask_pace(&chosen, tokens, SHORT_PACE_MS).await else {
                return Ok(chosen);
            };
            let other = self.pick(Some(&chosen.server.id));
            let asked = match &other {
                Some(other) => self.ask_pace(other, tokens, SHORT_PACE_MS).await,
                None => Some(u64::MAX),
            };
            chosen = match (other, asked) {
                (Some(other), None) => return Ok(other),
                (Some(other), Some(wait)) if wait < short => other,
                _ => chosen,
            };
            if self.ask_pace(&chosen, tokens, max_wait).await.is_none() {
                return Ok(chosen);
            }
            if now().since(started) > patience || now() + WAY_BACK_MS >= self.deadline {
                return Err(Failure::not_run(Code::NoCapacity).retry_after(COME_BACK));
            }
            drop(chosen);
            let pause = rand::random_range(PACE_PAUSE_MS / 2..PACE_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            chosen = self.choose().await?;
        }
    }

    /// Waits for an engine's turn; `None` when the request may be sent now, else the wait that was too long.
    async fn ask_pace(&self, chosen: &Chosen, tokens: u64, max_wait_ms: u64) -> Option<u64> {
        let take = PaceTake {
            engine: chosen.server.id.clone(),
            tokens,
            gap_ms: self.resolved.route.gap_ms,
            max_wait_ms,
        };
        let answer = peers::pace(&self.entry, &take).await?;
        if !answer.granted {
            return Some(answer.wait_ms);
        }
        tokio::time::sleep(Duration::from_millis(answer.wait_ms)).await;
        None
    }

    /// Time from which on an answer could not begin before the caller has given up.
    fn give_up(&self) -> Millis {
        let deadline = self.deadline - WAY_BACK_MS;
        let route = &self.resolved.route;
        if route.kind != RouteKind::Streaming {
            return deadline;
        }
        let patience = FIRST_EVENT_PATIENCE_MS
            .max(route.objective_ms * 4)
            .max(route.gap_ms * 8);
        deadline.min(self.inbound.arrived + (patience - FIRST_EVENT_MS))
    }

    /// Least time until the request's model can take it, as the coordinator has told.
    fn model_wait(&self, at: Millis) -> Option<u64> {
        let model = self.inbound.caller.model.as_deref()?;
        self.entry.wait_ms(&self.service, model, at)
    }

    fn refuse_late(&self) -> Failure {
        if self.ran.is_empty() {
            return Failure::not_run(Code::DeadlineUnreachable).retry_after(COME_BACK);
        }
        Failure::unknown(Code::TimedOut)
    }

    /// Best server that can take the request, other than `except`.
    fn pick(&self, except: Option<&str>) -> Option<Chosen> {
        let at = now();
        let caller = &self.inbound.caller;
        let engine = self
            .resolved
            .in_force
            .config
            .services
            .get(&self.service)?
            .engine
            .as_ref();
        let model = caller.model.as_deref().filter(|_| engine.is_some());
        let wanted = model.map(|it| (it, caller.adapter.as_deref()));
        let able = self.entry.candidates(&self.service, wanted, at);
        let health = self.entry.health.lock();
        let zone = &self.entry.settings.zone;
        let fresh = able
            .iter()
            .filter(|(it, _)| !self.ran.contains(&it.id) && except != Some(it.id.as_str()));
        let candidates = fresh.map(|(it, in_flight)| Candidate {
            id: &it.id,
            same_zone: it.zone == *zone,
            in_flight: *in_flight,
            slots: it.slots,
            avoided: health.is_avoided(at, &it.id),
            failing: health.failing(at, &it.id),
        });
        let best = choice::choose(candidates, caller.first_part.as_deref(), &mut rand::rng())?;
        let server = able
            .iter()
            .find(|(it, _)| it.id == best.id)
            .map(|(it, _)| Arc::clone(it))?;
        let guard = self.entry.run_at(&server.id, model);
        Some(Chosen { server, guard })
    }

    fn outgoing(&self, server: &BackendServer, after: Option<&str>) -> Outgoing {
        let organisation = self.resolved.organisation.as_ref();
        let priority = organisation.and_then(|it| it.priority);
        let is_engine = self
            .resolved
            .in_force
            .config
            .services
            .get(&self.service)
            .is_some_and(|it| it.engine.is_some());
        let set = ServerHeaders {
            server: &server.id,
            left: until(self.deadline),
            organisation: organisation.map(|it| it.name.as_str()),
            urgency: is_engine.then_some(priority.unwrap_or(self.resolved.route.priority)),
            last_event_id: after,
        };
        Outgoing {
            method: self.inbound.method.clone(),
            uri: self.inbound.uri.clone(),
            headers: headers::for_server(&self.inbound.headers, set),
            body: self.inbound.body.clone(),
        }
    }
}
