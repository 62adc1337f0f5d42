//! Path of an admitted request: reservation, claim, queue, dispatch, answer.

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
use http::{HeaderMap, Method, StatusCode};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::answer::{Answer, StreamAnswer, WholeAnswer};
use crate::args::RouterArgs;
use crate::config::Config;
use crate::dispatch::{Grant, SlotRequest, Target, TargetKey, Targets};
use crate::forward::{self, Arriving, Call, FailureKind, Progress};
use crate::guards::{ClaimGuard, Claimed, KeyedRequest, Reservation};
use crate::metrics::{Ending, Metrics};
use crate::refusal::Refusal;
use crate::usage::{self, StreamReader};
use crate::{IdempotencyRecords, Jobs, Outcome, Quota};

mod relay;

use relay::StreamRelay;

/// Sendings of one idempotent request.
const MAX_ATTEMPTS: usize = 3;
/// Parts of a stream held between backend server and caller.
const STREAM_PARTS: usize = 16;
/// Longest incomplete event of a stream.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;
/// First pause after a connection could not be opened; it doubles up to the largest.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);
const MAX_CONNECT_PAUSE: Duration = Duration::from_secs(1);

/// Who sent a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Organisation; `None` on open routes.
    pub organisation: Option<OrganisationName>,
    /// Weight of the organisation.
    pub weight: u32,
    /// Key that is checked again at dispatch; `None` on open routes and for jobs.
    pub key: Option<KeyId>,
}

/// Times of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Times {
    /// Arrival.
    pub received: Millis,
    /// Time by which it must be sent.
    pub send_by: Millis,
    /// Time by which its answer must be whole.
    pub finish_by: Millis,
}

/// A checked request.
#[derive(Debug, Clone)]
pub struct Work {
    /// Identifier.
    pub id: RequestId,
    /// Caller.
    pub caller: Caller,
    /// Target.
    pub target: TargetKey,
    /// Whether it may run more than once.
    pub class: Class,
    /// Method.
    pub method: Method,
    /// Path and query for the backend server, without keys.
    pub path: String,
    /// Allowed headers for the backend server.
    pub headers: HeaderMap,
    /// Body for the backend server.
    pub body: Bytes,
    /// Tokens to reserve.
    pub tokens: u64,
    /// Tokens of the prompt by estimate.
    pub prompt_tokens: u64,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Whether the caller asked for a stream.
    pub stream: bool,
    /// Profile; `None` for plain services.
    pub profile: Option<ProfileName>,
    /// Priority within the organisation.
    pub priority: u8,
    /// Longest sub-queue of the organisation.
    pub queue_limit: u32,
    /// Times.
    pub times: Times,
    /// Idempotency key, for requests that must not run twice.
    pub keyed: Option<KeyedRequest>,
}

impl Work {
    fn is_model(&self) -> bool {
        self.profile.is_some()
    }

    /// Tokens that a request used which may have run without a whole answer.
    fn used_without_answer(&self) -> u64 {
        self.tokens
    }
}

/// Makes identifiers that no other router and no other incarnation uses.
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

    /// Next identifier.
    pub fn next(&self) -> RequestId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        RequestId::new(format!("{}-{number:x}", self.prefix))
    }
}

/// State of the router.
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
    pub(crate) ids: RequestIds,
    pub(crate) ready: Box<dyn Fn() -> bool + Send + Sync>,
    pub(crate) metrics_text: Box<dyn Fn() -> String + Send + Sync>,
    pub(crate) was_ready: AtomicBool,
    /// Set at the start of a graceful shutdown: readiness fails.
    pub(crate) stopping: AtomicBool,
    /// Set at the end of the balancer's notice time: connections close after their answer.
    pub(crate) closing: AtomicBool,
    /// Wakes idle connections when `closing` is set.
    pub(crate) closing_signal: tokio::sync::watch::Sender<bool>,
    pub(crate) in_flight: Arc<AtomicU64>,
    /// Runtime that outlives the server's threads; calls that must not end with them run here.
    pub(crate) runtime: tokio::runtime::Handle,
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Router")
            .field("args", &self.args)
            .finish_non_exhaustive()
    }
}

/// What the router is put together from.
pub(crate) struct Assembly {
    pub args: RouterArgs,
    pub node: Node,
    pub quota: Arc<dyn Quota>,
    pub records: Arc<dyn IdempotencyRecords>,
    pub metrics: Metrics,
    pub ready: Box<dyn Fn() -> bool + Send + Sync>,
    pub metrics_text: Box<dyn Fn() -> String + Send + Sync>,
}

/// Counts a request until it has ended, streams and detached calls included.
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

/// A request that was sent or is about to be, with everything that must end with it.
struct Running {
    work: Arc<Work>,
    target: Arc<Target>,
    grant: Option<Grant>,
    reservation: Option<Reservation>,
    claim: Option<ClaimGuard>,
    lifecycle: Lifecycle,
    /// Time for which the request waited for a load.
    cold_start_ms: Option<u64>,
    ending: EndingGuard,
    _in_flight: InFlight,
}

/// Counts how a request ended, once; without a word from the path the caller has left.
struct EndingGuard {
    router: Arc<Router>,
    request: RequestId,
    ending: Ending,
}

impl Drop for EndingGuard {
    fn drop(&mut self) {
        self.router.metrics.ended(self.ending);
        if self.ending == Ending::CallerLeft {
            let timeline = &self.router.node.timeline;
            timeline.record(Event::CallerLeft, Some(self.request.as_str()), None, "");
        }
    }
}

impl Running {
    fn step(&mut self, event: RequestEvent) {
        if let Err(error) = self.lifecycle.step(event) {
            log::error!("request {}: {error}", self.work.id);
        }
    }

    fn set_used(&mut self, used: u64) {
        if let Some(reservation) = &mut self.reservation {
            reservation.set_used(used);
        }
    }

    /// Marks the request as possibly run, for the case that the path ends without a word.
    fn mark_sent(&mut self) {
        self.step(RequestEvent::Send);
        self.set_used(self.work.used_without_answer());
        if let Some(claim) = &mut self.claim {
            claim.set_outcome(Outcome::Unknown);
        }
    }

    fn mark_not_sent(&mut self) {
        self.set_used(0);
        if let Some(claim) = &mut self.claim {
            claim.set_outcome(Outcome::NotRun);
        }
    }
}

enum Attempted {
    Whole(WholeAnswer),
    Stream(Box<Arriving>, StreamReader, Vec<u8>),
}

impl Router {
    /// Start of this process in Unix seconds.
    pub(crate) fn started(&self) -> u64 {
        self.node.members.me().incarnation.0 / 1_000
    }

    pub(crate) fn new(parts: Assembly) -> Self {
        let zone = parts.node.members.me().zone.clone();
        Self {
            hasher: KeyHasher::new(parts.args.pepper.as_bytes()),
            targets: Targets::new(zone, Arc::clone(&parts.node.clock)),
            ids: RequestIds::new(&parts.node),
            config: Config::default(),
            jobs: std::sync::OnceLock::new(),
            was_ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            closing_signal: tokio::sync::watch::Sender::new(false),
            in_flight: Arc::default(),
            runtime: tokio::runtime::Handle::current(),
            args: parts.args,
            node: parts.node,
            quota: parts.quota,
            records: parts.records,
            metrics: parts.metrics,
            ready: parts.ready,
            metrics_text: parts.metrics_text,
        }
    }

    /// Target of a key.
    pub(crate) fn target(&self, key: &TargetKey) -> Arc<Target> {
        self.targets.get(key, || self.config.current())
    }

    /// Runs a checked request to its answer.
    ///
    /// Dropping the future before the request is sent takes it back. Afterwards it cancels an idempotent request; a
    /// non-idempotent one runs to its end, so that its record gets the answer.
    pub(crate) async fn run(self: &Arc<Self>, work: Work) -> Answer {
        let organisation = work.caller.organisation.clone();
        let id = work.id.clone();
        let answer = self.run_admitted(work).await;
        if let Answer::Refused(refusal) = &answer {
            self.metrics.refused(refusal.code, organisation.as_ref());
            let event = match refusal.run {
                Run::NotRun => Event::RequestRefused,
                Run::OutcomeUnknown => Event::RequestFailed,
            };
            let code = refusal.code.to_string();
            self.node.timeline.record(event, Some(id.as_str()), None, &code);
        }
        answer
    }

    async fn run_admitted(self: &Arc<Self>, work: Work) -> Answer {
        let mut running = Running {
            target: self.target(&work.target),
            work: Arc::new(work),
            grant: None,
            reservation: None,
            claim: None,
            lifecycle: Lifecycle::default(),
            cold_start_ms: None,
            ending: EndingGuard {
                router: Arc::clone(self),
                request: RequestId::new(""),
                ending: Ending::CallerLeft,
            },
            _in_flight: InFlight::new(self),
        };
        running.ending.request = running.work.id.clone();
        match self.admit(&mut running).await {
            Ok(None) => {}
            Ok(Some(replay)) => {
                running.ending.ending = Ending::Finished;
                return Answer::Whole(replay);
            }
            Err(refusal) => return refuse(running, refusal),
        }
        if let Err(refusal) = self.take_slot(&mut running, &[]).await {
            return refuse(running, refusal);
        }
        let cold_start_ms = running.cold_start_ms;
        let answer = match running.work.class {
            Class::Idempotent => Arc::clone(self).execute(running).await,
            Class::NonIdempotent => {
                let router = Arc::clone(self);
                // A task of its own: it goes on when the caller leaves.
                let task = self.runtime.spawn(router.execute(running));
                let panicked = |_| Answer::Refused(Refusal::outcome_unknown(Code::OutcomeUnknown));
                task.await.unwrap_or_else(panicked)
            }
        };
        answer.cold_start(cold_start_ms)
    }

    /// Reserves quota, then claims the idempotency key. A stored answer ends the request here.
    async fn admit(&self, running: &mut Running) -> Result<Option<WholeAnswer>, Refusal> {
        let work = Arc::clone(&running.work);
        if let Some(organisation) = &work.caller.organisation {
            let reservation = Reservation::make(self, organisation, &work.id, work.tokens, work.times.send_by).await?;
            running.reservation = Some(reservation);
        }
        if let Some(keyed) = &work.keyed {
            match ClaimGuard::claim(self, keyed.clone(), work.times.finish_by).await? {
                Claimed::Run(claim) => running.claim = Some(claim),
                Claimed::Replay(answer) => return Ok(Some(WholeAnswer::from_stored(answer))),
                Claimed::Unknown => return Err(Refusal::outcome_unknown(Code::OutcomeUnknown)),
            }
        }
        running.step(RequestEvent::Admit);
        Ok(None)
    }

    /// Waits for a slot, then checks again what may have changed while waiting.
    async fn take_slot(&self, running: &mut Running, avoid: &[ReplicaId]) -> Result<(), Refusal> {
        let work = &running.work;
        let asked = self.node.clock.now();
        let cold = !running.target.is_ready();
        if cold {
            let timeline = &self.node.timeline;
            timeline.record(
                Event::RequestQueued,
                Some(work.id.as_str()),
                Some(work.target.name()),
                "",
            );
        }
        let no_organisation = || OrganisationName::new("");
        let claimant = SlotRequest {
            item: Waiting {
                request: work.id.clone(),
                organisation: work.caller.organisation.clone().unwrap_or_else(no_organisation),
                weight: work.caller.weight,
                tokens: work.tokens,
                priority: work.priority,
                deadline: work.times.send_by,
                since: asked,
            },
            queue_limit: work.queue_limit,
            profile: work.profile.clone(),
            prefix: work.prefix,
            avoid: avoid.to_vec(),
        };
        let grant = running.target.acquire(claimant).await?;
        let now = self.node.clock.now();
        if now > asked {
            self.metrics.waited(cold, now.since(asked));
        }
        // A process that was paused may be granted a slot long after the deadline.
        if now > work.times.send_by {
            return Err(Refusal::not_run(Code::DeadlineExceeded));
        }
        self.check_key_again(work)?;
        running.cold_start_ms = cold.then(|| now.since(asked));
        running.grant = Some(grant);
        Ok(())
    }

    fn check_key_again(&self, work: &Work) -> Result<(), Refusal> {
        let Some(id) = &work.caller.key else { return Ok(()) };
        let snapshot = self.config.current();
        let valid = snapshot.keys.get(id).is_some_and(|it| !it.withdrawn);
        valid.then_some(()).ok_or_else(|| Refusal::not_run(Code::WithdrawnKey))
    }

    async fn execute(self: Arc<Self>, mut running: Running) -> Answer {
        let work = Arc::clone(&running.work);
        let mut avoid = Vec::new();
        let mut may_have_run = false;
        let mut pause = CONNECT_PAUSE;
        let mut sendings = 0;
        loop {
            let Some(grant) = running.grant.take() else {
                return refuse(running, Refusal::not_run(Code::Internal));
            };
            running.mark_sent();
            let sent_at = self.node.clock.now();
            self.record_sent(&work, &grant);
            let progress = Progress::default();
            let result = self.attempt(&work, &grant, &progress, avoid.is_empty()).await;
            let kind = match result {
                Ok(Attempted::Whole(answer)) if !self.is_busy(&work, &answer, sendings) => {
                    drop(grant);
                    return self.finish_whole(running, answer, sent_at).await;
                }
                Ok(Attempted::Whole(_)) => FailureKind::Broken,
                Ok(Attempted::Stream(arriving, reader, first)) => {
                    running.grant = Some(grant);
                    return self.start_stream(running, *arriving, reader, first, sent_at);
                }
                Err(kind) => kind,
            };
            let verdict = verdict_of(work.class, &progress);
            let failed_on = grant.replica.replica.clone();
            drop(grant);
            if kind == FailureKind::Connect {
                running.target.suspect(&failed_on);
            }
            avoid.push(failed_on);
            match verdict {
                Verdict::OutcomeUnknown => return self.fail(running, outcome_unknown(kind)).await,
                Verdict::Retry { run } => may_have_run |= run == Run::OutcomeUnknown,
            }
            let run = if may_have_run { Run::OutcomeUnknown } else { Run::NotRun };
            // A replica that cannot be reached costs no sending: the pool's controller will replace it, and until the
            // deadline the request may still be served.
            let waits = kind == FailureKind::Connect && work.is_model();
            let pauses = waits && !running.target.has_other(&avoid);
            sendings += usize::from(!waits);
            let last = sendings >= MAX_ATTEMPTS || kind == FailureKind::Timeout || kind == FailureKind::TooLarge;
            let too_late = self.node.clock.now() + pause.as_millis() as u64 > work.times.send_by;
            if last || (pauses && too_late) {
                return self.fail(running, no_attempt_left(kind, run)).await;
            }
            running.step(RequestEvent::Retry);
            if run == Run::NotRun {
                running.mark_not_sent();
            }
            let timeline = &self.node.timeline;
            timeline.record(
                Event::RequestRetried,
                Some(work.id.as_str()),
                Some(work.target.name()),
                "",
            );
            if pauses {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_CONNECT_PAUSE);
            }
            if let Err(refusal) = self.take_slot(&mut running, &avoid).await {
                let refusal = Refusal { run, ..refusal };
                return self.fail(running, refusal).await;
            }
        }
    }

    fn record_sent(&self, work: &Work, grant: &Grant) {
        let server = grant.replica.server.as_str();
        let timeline = &self.node.timeline;
        timeline.record(
            Event::RequestSent,
            Some(work.id.as_str()),
            Some(work.target.name()),
            server,
        );
    }

    /// Whether the backend server turned an idempotent request away and another replica may be tried.
    fn is_busy(&self, work: &Work, answer: &WholeAnswer, failed_attempts: usize) -> bool {
        work.class == Class::Idempotent
            && answer.status == StatusCode::SERVICE_UNAVAILABLE
            && failed_attempts + 1 < MAX_ATTEMPTS
            && self.target(&work.target).load().replicas > 1
    }

    async fn attempt(
        &self,
        work: &Work,
        grant: &Grant,
        progress: &Progress,
        first_attempt: bool,
    ) -> Result<Attempted, FailureKind> {
        let call = Call {
            addr: grant.replica.addr,
            method: &work.method,
            path: &work.path,
            request_id: work.id.as_str(),
            headers: &work.headers,
            body: &work.body,
            reuse: work.class == Class::Idempotent && first_attempt,
            connect_timeout: Duration::from_millis(self.args.connect_timeout_ms),
        };
        let receive = async {
            let arriving = forward::send(call, progress).await?;
            if work.stream && arriving.is_event_stream() {
                first_event(arriving).await
            } else {
                arriving.whole(self.args.answer_limit_bytes).await.map(Attempted::Whole)
            }
        };
        let timeout = tokio::time::timeout_at(self.finish_instant(work), receive);
        timeout.await.unwrap_or(Err(FailureKind::Timeout))
    }

    fn finish_instant(&self, work: &Work) -> Instant {
        Instant::now() + Duration::from_millis(work.times.finish_by.since(self.node.clock.now()))
    }

    async fn finish_whole(&self, mut running: Running, answer: WholeAnswer, sent_at: Millis) -> Answer {
        running.step(RequestEvent::Answer);
        let work = Arc::clone(&running.work);
        let used = if !answer.status.is_success() && work.is_model() {
            0
        } else if work.is_model() {
            usage::of_whole(&answer.body).unwrap_or(work.tokens)
        } else {
            work.tokens
        };
        running.set_used(used);
        if let Some(claim) = running.claim.take() {
            claim.finish(Outcome::Answered(answer.to_stored())).await;
        }
        running
            .target
            .observe(work.tokens, self.node.clock.now().since(sent_at));
        self.finished(&mut running);
        Answer::Whole(answer)
    }

    fn finished(&self, running: &mut Running) {
        running.step(RequestEvent::Finish);
        running.ending.ending = Ending::Finished;
        let timeline = &self.node.timeline;
        let work = &running.work;
        timeline.record(
            Event::RequestFinished,
            Some(work.id.as_str()),
            Some(work.target.name()),
            "",
        );
    }

    async fn fail(&self, mut running: Running, refusal: Refusal) -> Answer {
        let outcome = match refusal.run {
            Run::NotRun => Outcome::NotRun,
            Run::OutcomeUnknown => Outcome::Unknown,
        };
        let waits = running.lifecycle.state() == RequestState::Waiting;
        running.step(if waits {
            RequestEvent::Refuse
        } else {
            RequestEvent::Fail
        });
        running.ending.ending = match refusal.run {
            Run::NotRun => Ending::Refused,
            Run::OutcomeUnknown => Ending::Failed,
        };
        if refusal.run == Run::NotRun {
            running.set_used(0);
        }
        if let Some(claim) = running.claim.take() {
            claim.finish(outcome).await;
        }
        Answer::Refused(refusal)
    }

    fn start_stream(
        self: &Arc<Self>,
        mut running: Running,
        arriving: Arriving,
        reader: StreamReader,
        first: Vec<u8>,
        sent_at: Millis,
    ) -> Answer {
        running.step(RequestEvent::Answer);
        let (tx, rx) = mpsc::channel(STREAM_PARTS);
        let answer = StreamAnswer {
            status: arriving.status(),
            headers: arriving.caller_headers(),
            parts: rx,
        };
        let relay = StreamRelay {
            router: Arc::clone(self),
            finish_at: self.finish_instant(&running.work),
            running,
            reader,
            tx,
            kept: Vec::new(),
            sent_at,
        };
        tokio::spawn(relay.run(arriving, first));
        Answer::Stream(answer)
    }
}

/// Reads a stream up to its first whole event, because an idempotent request may be retried until then.
async fn first_event(mut arriving: Arriving) -> Result<Attempted, FailureKind> {
    let mut reader = StreamReader::default();
    loop {
        let part = arriving.next_part().await?.ok_or(FailureKind::Broken)?;
        if let Some(events) = reader.take(&part) {
            return Ok(Attempted::Stream(Box::new(arriving), reader, events));
        }
        if reader.held_bytes() > MAX_EVENT_BYTES {
            return Err(FailureKind::TooLarge);
        }
    }
}

fn refuse(mut running: Running, refusal: Refusal) -> Answer {
    running.ending.ending = Ending::Refused;
    if running.lifecycle.step(RequestEvent::Refuse).is_err() {
        log::error!("request {} is refused after it was sent", running.work.id);
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

fn no_attempt_left(kind: FailureKind, run: Run) -> Refusal {
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
