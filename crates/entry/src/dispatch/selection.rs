//! Selection of the backend server for an attempt: the wait for one that can take the request, its turn at an engine, and
//! the choice among those that are free.

use std::sync::Arc;
use std::time::Duration;

use guava_core::codes::Code;
use guava_core::events::Event;
use guava_core::units::Millis;
use guava_fleet::choice::{self, Candidate, ChoiceContext};
use guava_fleet::health::Health;
use guava_fleet::model::{BackendServer, RouteKind, Service};

use super::{Dispatch, RETURN_MARGIN_MS, SelectedServer, first_event_timeout_ms};
use crate::log_event;
use crate::metrics;
use crate::peers::{self, PaceRequest};
use crate::reply::Failure;
use crate::request::{DEFAULT_RETRY_AFTER, stopping};
use crate::state::{RequestNeed, now, until};

/// Wait for an engine below which no other engine is tried.
pub(super) const SHORT_PACE_WAIT_MS: u64 = 40;
/// Upper bound of the wait for an engine.
const MAX_PACE_WAIT_MS: u64 = 600;
/// The same for a stream that goes on at the version that it is bound to. Longer than that of new streams, so that these
/// leave it a place; callers leave after two seconds at the earliest.
const MAX_BOUND_PACE_WAIT_MS: u64 = 1_200;
/// Engines that are asked for a turn before a request pauses.
const ASKED_ENGINES: usize = 2;
/// Time from sending a prompt to its first event, at an engine with free capacity.
const FIRST_EVENT_MS: u64 = 150;
/// Time for which a request waits for any engine, in objectives; callers abandon a stream without a first event after
/// four.
const PACE_TIMEOUT_OBJECTIVES: u64 = 3;
/// Lower bound of the time given by [`PACE_TIMEOUT_OBJECTIVES`]; callers wait for at least two seconds.
const PACE_TIMEOUT_MIN_MS: u64 = 1_500;
/// Upper bound of the pause before an engine is asked again.
const PACE_RETRY_MS: u64 = 120;
/// A cold server counts as one with this part of its slots, so that it gets fewer requests than a warm one.
const COLD_SLOTS_DIVISOR: u32 = 4;
/// Least time, in milliseconds, after which a server that was full gets a request again.
pub(super) const REFUSED_AGAIN_MS: u64 = 300;

/// Refusal of the request by a server.
#[derive(Debug)]
pub(super) struct Refusal {
    server: String,
    at: Millis,
    /// Milliseconds after which a server that was full gets the request again. `None` for one that cannot serve the
    /// request until something changes there.
    again_ms: Option<u64>,
}

impl Dispatch {
    /// Waits until a server can take the request, and selects it; `None` if the request goes to another VM.
    pub(super) async fn wait_for_server(&mut self) -> Result<Option<SelectedServer>, Failure> {
        let mut changes = self.state.subscribe();
        let mut waiting = None;
        loop {
            self.resolve_again()?;
            if self.is_to_hand_over() {
                return Ok(None);
            }
            let awaits_evacuations = self.awaits_evacuations(now());
            if !awaits_evacuations {
                if let Some(selected) = self.select_server(None) {
                    return Ok(Some(selected));
                }
                self.check_binding()?;
                self.check_obstacle()?;
            }
            let at = now();
            let latest_start = self.latest_start();
            if at >= latest_start {
                self.log_not_placed("queue", None);
                return Err(self.deadline_failure());
            }
            // A request that cannot be served in time is refused now, with the time after which to retry.
            if let Some(wait) = self.model_wait(at).filter(|it| at + *it > latest_start) {
                self.log_not_placed("load", Some(wait));
                // The caller comes back. Without this demand the model might not be loaded until then.
                self.record_refused(wait);
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
                waiting =
                    Some(
                        self.state
                            .track_waiting(&self.service, model, adapter, version, self.need(latest_start)),
                    );
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
    pub(super) async fn pace_prompt(
        &mut self,
        initial: SelectedServer,
    ) -> Result<Option<(SelectedServer, u64)>, Failure> {
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
    pub(super) fn has_few_engines(&self) -> bool {
        let may_use = |it: &BackendServer| self.may_use(it) && !self.was_tried(it);
        self.bound.is_some() && self.state.places(&self.service, self.wanted(), may_use, now()).holding <= ASKED_ENGINES
    }

    /// Reserves time for the prompt at the engine. Returns the milliseconds until the prompt may be sent, zero if the VM
    /// that paces the engine does not answer; the error is a wait that exceeds `max_wait_ms`.
    pub(super) async fn request_pace(
        &self,
        selected: &SelectedServer,
        tokens: u64,
        max_wait_ms: u64,
    ) -> Result<u64, u64> {
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
    pub(super) fn latest_start(&self) -> Millis {
        let deadline = self.deadline() - RETURN_MARGIN_MS;
        let route = &self.resolved.route;
        if route.kind != RouteKind::Streaming {
            return deadline;
        }
        deadline.min(self.waits_since + (first_event_timeout_ms(route) - FIRST_EVENT_MS))
    }

    /// Counts the request, which is refused, as demand for its model for `back_ms` milliseconds.
    pub(super) fn record_refused(&self, back_ms: u64) {
        let caller = &self.inbound.caller;
        if let Some(model) = &caller.model {
            let adapter = caller.adapter.as_deref();
            // A caller who comes back waits until its deadline.
            let need = self.need(self.deadline() - RETURN_MARGIN_MS);
            self.state
                .record_refused(&self.service, model, adapter, self.bound_version(), need, back_ms);
        }
    }

    /// What the request needs, if its first event is of use until `useful_until`.
    fn need(&self, useful_until: Millis) -> RequestNeed {
        let organisation = self.resolved.organisation.as_ref();
        RequestNeed {
            urgency: organisation
                .and_then(|it| it.priority)
                .unwrap_or(self.resolved.route.priority),
            useful_until,
            objective_at: self.waits_since + self.resolved.route.objective_ms,
        }
    }

    /// Logs that the request is refused because no server takes it in time. `stage` is what it waited for, and `wait_ms` the
    /// wait that it was given.
    pub(super) fn log_not_placed(&self, stage: &str, wait_ms: Option<u64>) {
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
    pub(super) fn model_wait(&self, at: Millis) -> Option<u64> {
        let model = self.inbound.caller.model.as_deref()?;
        self.state.wait_ms(&self.service, model, self.bound_version(), at)
    }

    /// Records how long a server took for the request, which it has answered in full by itself.
    pub fn record_run(&self, server: &BackendServer) {
        // A request at another VM takes longer for a reason that is not the server's.
        if !self.is_at_vm {
            let at = now();
            let mut loads = self.state.loads.lock();
            loads.record_run(&server.service, &server.id, at.since(self.sent_at), at);
        }
    }

    pub(super) fn bound_version(&self) -> Option<&str> {
        self.bound.as_ref().and_then(|it| it.version.as_deref())
    }

    pub(super) fn deadline_failure(&self) -> Failure {
        if self.may_have_run.is_empty() {
            return Failure::not_run(Code::DeadlineUnreachable).retry_after(DEFAULT_RETRY_AFTER);
        }
        Failure::unknown(Code::TimedOut)
    }

    /// Records that a server has refused the request because it is full, or because it cannot serve it.
    pub(super) fn record_refusal(&mut self, server: &str, is_full: bool, at: Millis) {
        self.refused_by.retain(|it| it.server != server);
        // The request is still on time if a place is found within half of its objective. One with little time left is
        // sent again earlier.
        let left = self.deadline().since(at) / 4;
        let again_ms = (self.resolved.route.objective_ms / 2).min(left).max(REFUSED_AGAIN_MS);
        self.refused_by.push(Refusal {
            server: server.to_owned(),
            at,
            again_ms: is_full.then_some(again_ms),
        });
    }

    /// Servers that do not get the request again yet because they have refused it.
    fn refusing_servers(&self, at: Millis) -> Vec<&str> {
        let is_refusing = |it: &&Refusal| match it.again_ms {
            Some(again_ms) => at.since(it.at) < again_ms,
            None => !self.state.has_changed_since(&it.server, it.at),
        };
        let refusing = self.refused_by.iter().filter(is_refusing);
        refusing.map(|it| it.server.as_str()).collect()
    }

    /// Selects the best server that can take the request, other than `excluded`.
    pub(super) fn select_server(&self, excluded: Option<&str>) -> Option<SelectedServer> {
        let at = now();
        let service = self.resolved.in_force.config.services.get(&self.service)?;
        let wanted = self.wanted();
        let model = wanted.map(|(model, _)| model);
        let available = self.state.candidates(&self.service, wanted, at);
        let refusing = self.refusing_servers(at);
        let vms = self.state.vms();
        let health = self.state.health.lock();
        let untried = available.iter().filter(|(it, _)| {
            let is_refusing = refusing.contains(&it.id.as_str());
            self.may_use(it) && !self.was_tried(it) && !is_refusing && excluded != Some(it.id.as_str())
        });
        let candidates = untried.map(|(it, in_flight)| self.candidate(it, *in_flight, service, &health, at));
        let context = self.choice_context(vms, at);
        let best = {
            let mut loads = self.state.loads.lock();
            choice::choose_even(candidates, &context, &mut loads, &mut rand::rng())?
        };
        metrics::choice(self.state.loads_age_ms(at), best.in_flight >= best.slots.max(1));
        let server = available
            .iter()
            .find(|(it, _)| it.id == best.id)
            .map(|(it, _)| Arc::clone(it))?;
        let guard = Some(self.state.track_running(&server.id, model));
        Some(SelectedServer { server, guard })
    }

    /// Server as the choice sees it. `in_flight` are its requests from all VMs.
    pub(super) fn candidate<'a>(
        &self,
        server: &'a BackendServer,
        in_flight: u32,
        service: &Service,
        health: &Health,
        at: Millis,
    ) -> Candidate<'a> {
        Candidate {
            id: &server.id,
            same_zone: server.zone == self.state.settings.zone,
            in_flight,
            slots: if self.state.is_cold(server, service, at) {
                (server.slots / COLD_SLOTS_DIVISOR).max(1)
            } else {
                server.slots
            },
            avoided: health.is_avoided(at, &server.id),
            failing: health.failing(at, &server.id),
        }
    }

    pub(super) fn choice_context(&self, vms: usize, at: Millis) -> ChoiceContext<'_> {
        ChoiceContext {
            service: &self.service,
            affinity: self.inbound.caller.first_prompt_part.as_deref(),
            vms,
            now: at,
        }
    }
}
