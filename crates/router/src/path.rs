//! Runs a checked request: reserves quota, claims the idempotency key, waits for a slot, sends the request to a backend
//! server and forwards its answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use guava_core::codes::{Code, Run};
use guava_core::events::Event;
use guava_core::ids::{KeyId, OrganisationName, ProfileName, ReplicaId, RequestId};
use guava_core::keys::KeyHasher;
use guava_core::queue::Waiting;
use guava_core::request::{Attempt, Class, Lifecycle, RequestEvent, RequestState, Verdict};
use guava_core::units::Millis;
use guava_node::Node;
use guava_node::intake::{ClientBudget, Holder};
use http::{HeaderMap, Method, StatusCode};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::answer::{Answer, StreamAnswer, WholeAnswer};
use crate::args::RouterArgs;
use crate::config::Config;
use crate::dispatch::{SlotGuard, SlotRequest, Target, TargetKey, Targets};
use crate::forward::{self, Call, FailureKind, IncomingAnswer, Progress};
use crate::guards::{ClaimGuard, ClaimResult, IdempotencyKey, Reservation};
use crate::metrics::{Ending, Metrics};
use crate::refusal::Refusal;
use crate::usage::{self, StreamReader};
use crate::{IdempotencyRecords, Jobs, Outcome, Quota};

mod relay;

use relay::StreamRelay;

/// Largest number of attempts for one idempotent request. Failures to connect to a replica of a model do not count.
const MAX_ATTEMPTS: usize = 3;
/// Capacity, in parts of a stream, of the channel between backend server and caller.
const STREAM_CHANNEL_CAPACITY: usize = 16;
/// Largest incomplete event of a stream that is buffered.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;
/// Delay before the first retry after a failure to connect; it doubles up to `MAX_CONNECT_BACKOFF`.
const INITIAL_CONNECT_BACKOFF: Duration = Duration::from_millis(50);
const MAX_CONNECT_BACKOFF: Duration = Duration::from_secs(1);

/// Authenticated sender of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// `None` on open routes.
    pub organisation: Option<OrganisationName>,
    /// Share of the organisation in the fair queue, relative to other organisations; 1 on open routes.
    pub weight: u32,
    /// Key to check again once the request has a slot; `None` on open routes and for jobs.
    pub key: Option<KeyId>,
}

/// Arrival time and deadlines of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Times {
    pub received: Millis,
    /// Deadline for sending the request to a backend server.
    pub send_by: Millis,
    /// Deadline for the complete answer.
    pub finish_by: Millis,
}

/// A validated and authenticated request, ready to run.
#[derive(Debug, Clone)]
pub struct CheckedRequest {
    pub id: RequestId,
    pub caller: Caller,
    /// Connection of the caller, for which its answer is held; `None` for jobs.
    pub holder: Option<Holder>,
    pub target: TargetKey,
    /// Whether the request may run more than once.
    pub class: Class,
    pub method: Method,
    /// Path and query to send to the backend server, without the caller's key.
    pub path: String,
    /// Headers to send to the backend server: those of the caller that are on the allow list.
    pub headers: HeaderMap,
    /// Body to send to the backend server.
    pub body: Bytes,
    /// Tokens to reserve from the quota: prompt and largest output, or the fixed charge of a route.
    pub tokens: u64,
    /// Estimated number of tokens in the prompt; 0 for plain services.
    pub prompt_tokens: u64,
    /// Hash of the prompt's prefix, for cache affinity; `None` for plain services.
    pub prefix: Option<u64>,
    /// Whether the caller asked for a stream.
    pub stream: bool,
    /// `None` for plain services.
    pub profile: Option<ProfileName>,
    /// Priority among the requests of the same organisation.
    pub priority: u8,
    /// Largest number of requests of the organisation that may wait for the target.
    pub queue_limit: u32,
    pub times: Times,
    /// Idempotency key, if the request must not run twice and the caller gave one.
    pub idempotency_key: Option<IdempotencyKey>,
}

impl CheckedRequest {
    fn targets_model(&self) -> bool {
        self.profile.is_some()
    }

    /// Tokens to charge when the request may have run but no complete answer arrived.
    fn tokens_without_answer(&self) -> u64 {
        self.tokens
    }
}

/// Generates request identifiers that are unique across routers and across restarts of this one.
#[derive(Debug)]
pub struct RequestIds {
    prefix: String,
    next: AtomicU64,
}

impl RequestIds {
    fn new(node: &Node) -> Self {
        let me = node.members.me();
        let process = format!("{}@{}", me.id, me.incarnation.0);
        Self {
            prefix: format!("{:016x}", xxhash_rust::xxh3::xxh3_64(process.as_bytes())),
            next: AtomicU64::new(1),
        }
    }

    pub fn next(&self) -> RequestId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        RequestId::new(format!("{}-{number:x}", self.prefix))
    }
}

/// State of the router that all its threads and tasks share.
pub struct Router {
    pub(crate) args: RouterArgs,
    pub(crate) node: Node,
    pub(crate) config: Config,
    pub(crate) targets: Targets,
    pub(crate) quota: Arc<dyn Quota>,
    pub(crate) records: Arc<dyn IdempotencyRecords>,
    pub(crate) jobs: std::sync::OnceLock<Arc<dyn Jobs>>,
    pub(crate) hasher: KeyHasher,
    pub(crate) metrics: Metrics,
    /// Budget for what the process holds for its clients.
    pub(crate) budget: Arc<ClientBudget>,
    pub(crate) ids: RequestIds,
    /// See [`crate::RouterParts::ready`].
    pub(crate) ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Returns the metrics in the Prometheus text format.
    pub(crate) metrics_text: Box<dyn Fn() -> String + Send + Sync>,
    /// Set when `ready` first returns true. From then on, requests are served without calling it again.
    pub(crate) was_ready: AtomicBool,
    /// Set when a graceful shutdown starts; the readiness check fails from then on.
    pub(crate) stopping: AtomicBool,
    /// Set when the load balancer has had time to notice the shutdown; new requests are refused, and each connection
    /// closes after the answer in progress.
    pub(crate) closing: AtomicBool,
    /// Wakes idle connections when `closing` is set, so that they close.
    pub(crate) closing_signal: tokio::sync::watch::Sender<bool>,
    pub(crate) in_flight: Arc<AtomicU64>,
    /// Runtime that outlives the server's threads, for calls that must not be cancelled when these stop.
    pub(crate) runtime: tokio::runtime::Handle,
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Router")
            .field("args", &self.args)
            .finish_non_exhaustive()
    }
}

/// Settings and services that [`Router::new`] needs.
pub(crate) struct RouterDependencies {
    pub args: RouterArgs,
    pub node: Node,
    pub quota: Arc<dyn Quota>,
    pub records: Arc<dyn IdempotencyRecords>,
    pub metrics: Metrics,
    pub budget: Arc<ClientBudget>,
    pub ready: Box<dyn Fn() -> bool + Send + Sync>,
    pub metrics_text: Box<dyn Fn() -> String + Send + Sync>,
}

/// Counts a request as in flight until dropped. Streams and detached tasks each hold one.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<AtomicU64>);

impl InFlight {
    pub(crate) fn new(router: &Router) -> Self {
        Self::count(&router.in_flight)
    }

    fn count(counter: &Arc<AtomicU64>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(counter))
    }
}

impl Clone for InFlight {
    fn clone(&self) -> Self {
        Self::count(&self.0)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Release);
    }
}

/// A request in progress, together with the resources that are released when it ends.
struct ActiveRequest {
    request: Arc<CheckedRequest>,
    target: Arc<Target>,
    slot: Option<SlotGuard>,
    reservation: Option<Reservation>,
    claim: Option<ClaimGuard>,
    lifecycle: Lifecycle,
    /// Time in milliseconds for which the request waited for its model to be loaded; `None` if a replica was ready.
    cold_start_ms: Option<u64>,
    ending_guard: EndingGuard,
    _in_flight: InFlight,
}

/// Counts how a request ended when dropped. The initial ending is `CallerLeft`: if nothing else is set before the
/// request is dropped, its caller has disconnected.
struct EndingGuard {
    router: Arc<Router>,
    request_id: RequestId,
    ending: Ending,
}

impl Drop for EndingGuard {
    fn drop(&mut self) {
        self.router.metrics.count_ending(self.ending);
        if self.ending == Ending::CallerLeft {
            let timeline = &self.router.node.timeline;
            timeline.record(Event::CallerLeft, Some(self.request_id.as_str()), None, "");
        }
    }
}

impl ActiveRequest {
    fn step(&mut self, event: RequestEvent) {
        if let Err(error) = self.lifecycle.step(event) {
            log::error!("request {}: invalid state transition: {error}", self.request.id);
        }
    }

    fn set_used_tokens(&mut self, used_tokens: u64) {
        if let Some(reservation) = &mut self.reservation {
            reservation.set_used_tokens(used_tokens);
        }
    }

    /// Marks the request as possibly run before it is sent, so that the guards report this if they are dropped early.
    fn mark_sent(&mut self) {
        self.step(RequestEvent::Send);
        self.set_used_tokens(self.request.tokens_without_answer());
        if let Some(claim) = &mut self.claim {
            claim.set_outcome(Outcome::Unknown);
        }
    }

    fn mark_not_sent(&mut self) {
        self.set_used_tokens(0);
        if let Some(claim) = &mut self.claim {
            claim.set_outcome(Outcome::NotRun);
        }
    }
}

enum AttemptAnswer {
    Whole(WholeAnswer),
    /// A stream with its reader and the complete events read so far, which are not forwarded yet.
    Stream(Box<IncomingAnswer>, StreamReader, Vec<u8>),
}

impl Router {
    /// Start time of this process in Unix seconds.
    pub(crate) fn start_unix_s(&self) -> u64 {
        self.node.members.me().incarnation.0 / 1_000
    }

    pub(crate) fn new(deps: RouterDependencies) -> Self {
        let zone = deps.node.members.me().zone.clone();
        Self {
            hasher: KeyHasher::new(deps.args.pepper.as_bytes()),
            targets: Targets::new(zone, Arc::clone(&deps.node.clock)),
            ids: RequestIds::new(&deps.node),
            config: Config::default(),
            jobs: std::sync::OnceLock::new(),
            was_ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            closing_signal: tokio::sync::watch::Sender::new(false),
            in_flight: Arc::default(),
            runtime: tokio::runtime::Handle::current(),
            args: deps.args,
            node: deps.node,
            quota: deps.quota,
            records: deps.records,
            metrics: deps.metrics,
            budget: deps.budget,
            ready: deps.ready,
            metrics_text: deps.metrics_text,
        }
    }

    /// Returns the target of a key, which is created on first use.
    pub(crate) fn target(&self, key: &TargetKey) -> Arc<Target> {
        self.targets.get(key, || self.config.current())
    }

    /// Runs a checked request and returns its answer.
    ///
    /// Dropping the future before the request is sent withdraws the request. Afterwards, it cancels an idempotent
    /// request, whereas a non-idempotent one runs to its end so that the answer is stored in its idempotency record.
    pub(crate) async fn run(self: &Arc<Self>, request: CheckedRequest) -> Answer {
        let organisation = request.caller.organisation.clone();
        let id = request.id.clone();
        let answer = self.run_admitted(request).await;
        if let Answer::Refused(refusal) = &answer {
            self.metrics.count_error(refusal.code, organisation.as_ref());
            let event = match refusal.run {
                Run::NotRun => Event::RequestRefused,
                Run::OutcomeUnknown => Event::RequestFailed,
            };
            let code = refusal.code.to_string();
            self.node.timeline.record(event, Some(id.as_str()), None, &code);
        }
        answer
    }

    async fn run_admitted(self: &Arc<Self>, request: CheckedRequest) -> Answer {
        let mut active = ActiveRequest {
            target: self.target(&request.target),
            request: Arc::new(request),
            slot: None,
            reservation: None,
            claim: None,
            lifecycle: Lifecycle::default(),
            cold_start_ms: None,
            ending_guard: EndingGuard {
                router: Arc::clone(self),
                request_id: RequestId::new(""),
                ending: Ending::CallerLeft,
            },
            _in_flight: InFlight::new(self),
        };
        active.ending_guard.request_id = active.request.id.clone();
        match self.admit(&mut active).await {
            Ok(None) => {}
            Ok(Some(replay)) => {
                active.ending_guard.ending = Ending::Finished;
                return Answer::Whole(replay);
            }
            Err(refusal) => return refuse(active, refusal),
        }
        if let Err(refusal) = self.acquire_slot(&mut active, &[]).await {
            return refuse(active, refusal);
        }
        let cold_start_ms = active.cold_start_ms;
        let answer = match active.request.class {
            Class::Idempotent => Arc::clone(self).execute(active).await,
            Class::NonIdempotent => {
                let router = Arc::clone(self);
                // A separate task is not cancelled when the caller disconnects.
                let task = self.runtime.spawn(router.execute(active));
                let on_panic = |_| Answer::Refused(Refusal::outcome_unknown(Code::OutcomeUnknown));
                task.await.unwrap_or_else(on_panic)
            }
        };
        answer.with_cold_start(cold_start_ms)
    }

    /// Reserves quota, then claims the idempotency key. Returns the stored answer if the request has already run.
    async fn admit(&self, active: &mut ActiveRequest) -> Result<Option<WholeAnswer>, Refusal> {
        let request = Arc::clone(&active.request);
        if let Some(organisation) = &request.caller.organisation {
            let reservation =
                Reservation::reserve(self, organisation, &request.id, request.tokens, request.times.send_by).await?;
            active.reservation = Some(reservation);
        }
        if let Some(idempotency_key) = &request.idempotency_key {
            match ClaimGuard::claim(self, idempotency_key.clone(), request.times.finish_by).await? {
                ClaimResult::Run(claim) => active.claim = Some(claim),
                ClaimResult::Replay(answer) => return Ok(Some(WholeAnswer::from_stored(answer))),
                ClaimResult::Unknown => return Err(Refusal::outcome_unknown(Code::OutcomeUnknown)),
            }
        }
        active.step(RequestEvent::Admit);
        Ok(None)
    }

    /// Waits for a slot, then checks the deadline and the caller's key again, as both may have expired while waiting.
    async fn acquire_slot(&self, active: &mut ActiveRequest, avoid: &[ReplicaId]) -> Result<(), Refusal> {
        let request = &active.request;
        let queued_at = self.node.clock.now();
        let cold = !active.target.is_ready();
        if cold {
            let timeline = &self.node.timeline;
            timeline.record(
                Event::RequestQueued,
                Some(request.id.as_str()),
                Some(request.target.name()),
                "",
            );
        }
        let no_organisation = || OrganisationName::new("");
        let slot_request = SlotRequest {
            item: Waiting {
                request: request.id.clone(),
                organisation: request.caller.organisation.clone().unwrap_or_else(no_organisation),
                weight: request.caller.weight,
                tokens: request.tokens,
                priority: request.priority,
                deadline: request.times.send_by,
                since: queued_at,
            },
            queue_limit: request.queue_limit,
            profile: request.profile.clone(),
            prefix: request.prefix,
            avoid: avoid.to_vec(),
        };
        let slot = active.target.acquire(slot_request).await?;
        let now = self.node.clock.now();
        if now > queued_at {
            self.metrics.record_wait(cold, now.since(queued_at));
        }
        // If the process was suspended, the slot may have been assigned long after the deadline.
        if now > request.times.send_by {
            return Err(Refusal::not_run(Code::DeadlineExceeded));
        }
        self.recheck_key(request)?;
        active.cold_start_ms = cold.then(|| now.since(queued_at));
        active.slot = Some(slot);
        Ok(())
    }

    fn recheck_key(&self, request: &CheckedRequest) -> Result<(), Refusal> {
        let Some(id) = &request.caller.key else { return Ok(()) };
        let snapshot = self.config.current();
        let valid = snapshot.keys.get(id).is_some_and(|it| !it.withdrawn);
        valid.then_some(()).ok_or_else(|| Refusal::not_run(Code::WithdrawnKey))
    }

    async fn execute(self: Arc<Self>, mut active: ActiveRequest) -> Answer {
        let request = Arc::clone(&active.request);
        let mut avoid = Vec::new();
        let mut may_have_run = false;
        let mut backoff = INITIAL_CONNECT_BACKOFF;
        let mut attempts = 0;
        loop {
            let Some(slot) = active.slot.take() else {
                return refuse(active, Refusal::not_run(Code::Internal));
            };
            active.mark_sent();
            let sent_at = self.node.clock.now();
            self.record_sent(&request, &slot);
            let progress = Progress::default();
            let result = self.attempt(&request, &slot, &progress, avoid.is_empty()).await;
            let kind = match result {
                Ok(AttemptAnswer::Whole(answer)) if !self.is_retryable_503(&request, &answer, attempts) => {
                    drop(slot);
                    return self.finish_whole(active, answer, sent_at).await;
                }
                Ok(AttemptAnswer::Whole(_)) => FailureKind::Broken,
                Ok(AttemptAnswer::Stream(incoming, reader, first_events)) => {
                    active.slot = Some(slot);
                    return self.start_stream(active, *incoming, reader, first_events, sent_at);
                }
                Err(kind) => kind,
            };
            let verdict = verdict_of(request.class, &progress);
            let failed_on = slot.replica.replica.clone();
            drop(slot);
            if kind == FailureKind::Connect {
                active.target.mark_unreachable(&failed_on);
            }
            avoid.push(failed_on);
            match verdict {
                Verdict::OutcomeUnknown => return self.fail(active, outcome_unknown(kind)).await,
                Verdict::Retry { run } => may_have_run |= run == Run::OutcomeUnknown,
            }
            let run = if may_have_run { Run::OutcomeUnknown } else { Run::NotRun };
            // A failure to connect to a model's replica does not count as an attempt: the pool's controller replaces
            // the replica, and the request can still be served before its deadline.
            let is_unreachable = kind == FailureKind::Connect && request.targets_model();
            let must_back_off = is_unreachable && !active.target.has_untried_replica(&avoid);
            attempts += usize::from(!is_unreachable);
            let is_last = attempts >= MAX_ATTEMPTS || kind == FailureKind::Timeout || kind == FailureKind::TooLarge;
            let too_late = self.node.clock.now() + backoff.as_millis() as u64 > request.times.send_by;
            if is_last || (must_back_off && too_late) {
                return self.fail(active, attempts_exhausted(kind, run)).await;
            }
            active.step(RequestEvent::Retry);
            if run == Run::NotRun {
                active.mark_not_sent();
            }
            let timeline = &self.node.timeline;
            timeline.record(
                Event::RequestRetried,
                Some(request.id.as_str()),
                Some(request.target.name()),
                "",
            );
            if must_back_off {
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_CONNECT_BACKOFF);
            }
            if let Err(refusal) = self.acquire_slot(&mut active, &avoid).await {
                let refusal = Refusal { run, ..refusal };
                return self.fail(active, refusal).await;
            }
        }
    }

    fn record_sent(&self, request: &CheckedRequest, slot: &SlotGuard) {
        let server = slot.replica.server.as_str();
        let timeline = &self.node.timeline;
        timeline.record(
            Event::RequestSent,
            Some(request.id.as_str()),
            Some(request.target.name()),
            server,
        );
    }

    /// Whether the answer is a 503 to an idempotent request that may be retried on another replica.
    fn is_retryable_503(&self, request: &CheckedRequest, answer: &WholeAnswer, failed_attempts: usize) -> bool {
        request.class == Class::Idempotent
            && answer.status == StatusCode::SERVICE_UNAVAILABLE
            && failed_attempts + 1 < MAX_ATTEMPTS
            && self.target(&request.target).load().replicas > 1
    }

    async fn attempt(
        &self,
        request: &CheckedRequest,
        slot: &SlotGuard,
        progress: &Progress,
        first_attempt: bool,
    ) -> Result<AttemptAnswer, FailureKind> {
        let call = Call {
            addr: slot.replica.addr,
            method: &request.method,
            path: &request.path,
            request_id: request.id.as_str(),
            headers: &request.headers,
            body: &request.body,
            reuse: request.class == Class::Idempotent && first_attempt,
            connect_timeout: Duration::from_millis(self.args.connect_timeout_ms),
        };
        let receive = async {
            let incoming = forward::send(call, progress).await?;
            if request.stream && incoming.is_event_stream() {
                first_event(incoming).await
            } else {
                incoming
                    .read_whole(self.args.answer_limit_bytes, request.holder.as_ref())
                    .await
                    .map(AttemptAnswer::Whole)
            }
        };
        let timeout = tokio::time::timeout_at(self.finish_deadline(request), receive);
        timeout.await.unwrap_or(Err(FailureKind::Timeout))
    }

    fn finish_deadline(&self, request: &CheckedRequest) -> Instant {
        Instant::now() + Duration::from_millis(request.times.finish_by.since(self.node.clock.now()))
    }

    async fn finish_whole(&self, mut active: ActiveRequest, answer: WholeAnswer, sent_at: Millis) -> Answer {
        active.step(RequestEvent::Answer);
        let request = Arc::clone(&active.request);
        let used_tokens = if !answer.status.is_success() && request.targets_model() {
            0
        } else if request.targets_model() {
            usage::of_answer(&answer.body).unwrap_or(request.tokens)
        } else {
            request.tokens
        };
        active.set_used_tokens(used_tokens);
        if let Some(claim) = active.claim.take() {
            claim.finish(Outcome::Answered(answer.to_stored())).await;
        }
        active
            .target
            .record_service_time(request.tokens, self.node.clock.now().since(sent_at));
        self.record_finished(&mut active);
        Answer::Whole(answer)
    }

    fn record_finished(&self, active: &mut ActiveRequest) {
        active.step(RequestEvent::Finish);
        active.ending_guard.ending = Ending::Finished;
        let timeline = &self.node.timeline;
        let request = &active.request;
        timeline.record(
            Event::RequestFinished,
            Some(request.id.as_str()),
            Some(request.target.name()),
            "",
        );
    }

    async fn fail(&self, mut active: ActiveRequest, refusal: Refusal) -> Answer {
        let outcome = match refusal.run {
            Run::NotRun => Outcome::NotRun,
            Run::OutcomeUnknown => Outcome::Unknown,
        };
        let is_waiting = active.lifecycle.state() == RequestState::Waiting;
        active.step(if is_waiting {
            RequestEvent::Refuse
        } else {
            RequestEvent::Fail
        });
        active.ending_guard.ending = match refusal.run {
            Run::NotRun => Ending::Refused,
            Run::OutcomeUnknown => Ending::Failed,
        };
        if refusal.run == Run::NotRun {
            active.set_used_tokens(0);
        }
        if let Some(claim) = active.claim.take() {
            claim.finish(outcome).await;
        }
        Answer::Refused(refusal)
    }

    fn start_stream(
        self: &Arc<Self>,
        mut active: ActiveRequest,
        incoming: IncomingAnswer,
        reader: StreamReader,
        first_events: Vec<u8>,
        sent_at: Millis,
    ) -> Answer {
        active.step(RequestEvent::Answer);
        let (tx, rx) = mpsc::channel(STREAM_CHANNEL_CAPACITY);
        let answer = StreamAnswer {
            status: incoming.status(),
            headers: incoming.caller_headers(),
            parts: rx,
        };
        let relay = StreamRelay {
            router: Arc::clone(self),
            finish_at: self.finish_deadline(&active.request),
            active,
            reader,
            tx,
            answer_copy: Vec::new(),
            sent_at,
        };
        tokio::spawn(relay.run(incoming, first_events));
        Answer::Stream(answer)
    }
}

/// Reads a stream up to the end of its first event. Until an event has been forwarded, an idempotent request can still
/// be retried.
async fn first_event(mut incoming: IncomingAnswer) -> Result<AttemptAnswer, FailureKind> {
    let mut reader = StreamReader::default();
    loop {
        let part = incoming.next_part().await?.ok_or(FailureKind::Broken)?;
        if let Some(events) = reader.push(&part) {
            return Ok(AttemptAnswer::Stream(Box::new(incoming), reader, events));
        }
        if reader.incomplete_bytes() > MAX_EVENT_BYTES {
            return Err(FailureKind::TooLarge);
        }
    }
}

fn refuse(mut active: ActiveRequest, refusal: Refusal) -> Answer {
    active.ending_guard.ending = Ending::Refused;
    if active.lifecycle.step(RequestEvent::Refuse).is_err() {
        log::error!("request {}: refused after it was sent", active.request.id);
    }
    Answer::Refused(refusal)
}

fn verdict_of(class: Class, progress: &Progress) -> Verdict {
    let attempt = Attempt {
        class,
        bytes_sent: progress.bytes_sent(),
        bytes_received: progress.bytes_received(),
        bytes_passed_on: 0,
    };
    attempt.verdict()
}

fn outcome_unknown(kind: FailureKind) -> Refusal {
    match kind {
        FailureKind::Timeout => Refusal::outcome_unknown(Code::TimedOut),
        FailureKind::TooLarge => Refusal::outcome_unknown(Code::AnswerTooLarge),
        FailureKind::Connect | FailureKind::Broken | FailureKind::Mismatch => {
            Refusal::outcome_unknown(Code::OutcomeUnknown).detail(format!("Cause: {kind}."))
        }
    }
}

fn attempts_exhausted(kind: FailureKind, run: Run) -> Refusal {
    let code = match (run, kind) {
        (Run::NotRun, FailureKind::Broken | FailureKind::Connect) => Code::NoCapacity,
        (Run::OutcomeUnknown, FailureKind::Connect) => Code::BackendFailed,
        (_, kind) => kind.code(),
    };
    Refusal {
        run,
        ..Refusal::not_run(code).retry_after_ms(1000)
    }
}
