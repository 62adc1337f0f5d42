//! HTTP front of the stand-in engine.
//!
//! `POST /v1/chat/completions`, `POST /v1/completions`, `GET /v1/models`, `POST /control/orders`,
//! `GET /control/report`, `GET /control/cache-events?since=`, and for tests `GET`/`PUT /faults`, `GET`/`PUT /record`.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream;
use guava_core::derive_value;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::batch::BatchSlot;
use crate::completion::{Answer, CompletionRequest, Endpoint, count_tokens};
use crate::front::{
    AnswerBody, Cut, Front, Handler, HttpAnswer, Outage, answer, json, parameter, read_body, refusal, serve,
};
use crate::record::{RequestSlot, RequestState, wall_ms};
use crate::replica::ReplicaGuard;
use crate::settings::EngineFaults;
use crate::standin::StandInEngine;
use crate::{EngineError, Order};

/// Tokens computed between two looks at the batch.
const STEP_TOKENS: u32 = 8;
/// Waits shorter than the timer's resolution are put together.
const MIN_SLEEP: Duration = Duration::from_millis(1);

derive_value! {
    /// Body of `PUT /record`.
    struct Recording {
        enabled: bool,
    }

    /// Body of a refused order.
    pub(crate) struct OrderRefusal {
        pub(crate) reason: String,
        pub(crate) newest_term: Option<guava_core::ids::Term>,
    }
}

/// Serves an engine on `addr` in the current runtime.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve_engine(engine: &Arc<StandInEngine>, addr: SocketAddr) -> io::Result<Front> {
    serve(Arc::clone(engine), addr, Outage::Obey).await
}

/// Serves an engine on a second address that stays open while the `down` fault is in force.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve_engine_control(engine: &Arc<StandInEngine>, addr: SocketAddr) -> io::Result<Front> {
    serve(Arc::clone(engine), addr, Outage::Ignore).await
}

impl Handler for StandInEngine {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HttpAnswer {
        let (parts, body) = request.into_parts();
        let Some(body) = read_body(body).await? else {
            return Ok(refusal(StatusCode::PAYLOAD_TOO_LARGE, "too_large", "body too large"));
        };
        match (&parts.method, parts.uri.path()) {
            (&Method::POST, "/v1/chat/completions") => self.complete(Endpoint::Chat, &parts.headers, &body).await,
            (&Method::POST, "/v1/completions") => self.complete(Endpoint::Text, &parts.headers, &body).await,
            (&Method::GET, "/v1/models") => Ok(self.models()),
            (&Method::POST, "/control/orders") => self.answer_order(&body),
            (&Method::GET, "/control/report") => Ok(json(StatusCode::OK, &self.current_report())),
            (&Method::GET, "/control/cache-events") => {
                let since = parameter(parts.uri.query(), "since").and_then(|it| it.parse().ok());
                Ok(json(StatusCode::OK, &self.cache_events(since.unwrap_or(0))))
            }
            (&Method::GET, "/record") => Ok(json(StatusCode::OK, &self.record())),
            (&Method::PUT, "/record") => Ok(self.answer_recording(&body)),
            (&Method::GET, "/faults") => Ok(json(StatusCode::OK, &self.faults())),
            (&Method::PUT, "/faults") => Ok(self.answer_faults(&body)),
            _ => Ok(refusal(StatusCode::NOT_FOUND, "unknown_path", "nothing at this path")),
        }
    }

    fn watch_down(&self) -> watch::Receiver<bool> {
        Self::watch_down(self)
    }
}

impl StandInEngine {
    fn models(&self) -> Response<AnswerBody> {
        let names = self.model_names();
        let data = names
            .iter()
            .map(|id| serde_json::json!({ "id": id, "object": "model" }));
        let data = data.collect::<Vec<_>>();
        json(StatusCode::OK, &serde_json::json!({ "object": "list", "data": data }))
    }

    fn answer_order(self: &Arc<Self>, body: &[u8]) -> HttpAnswer {
        let order = match serde_json::from_slice::<Order>(body) {
            Ok(order) => order,
            Err(error) => return Ok(refusal(StatusCode::BAD_REQUEST, "invalid_order", &error.to_string())),
        };
        let (status, reason, newest_term) = match self.take_order(&order) {
            Ok(()) => return Ok(json(StatusCode::OK, &serde_json::json!({}))),
            Err(EngineError::OutcomeUnknown(_)) => return Err(Cut::Fault),
            Err(EngineError::Fenced(newest)) => (StatusCode::CONFLICT, "old term".to_owned(), Some(newest)),
            Err(EngineError::Refused(reason)) => (StatusCode::UNPROCESSABLE_ENTITY, reason, None),
            Err(EngineError::Unreachable(reason)) => (StatusCode::SERVICE_UNAVAILABLE, reason, None),
        };
        Ok(json(status, &OrderRefusal { reason, newest_term }))
    }

    fn answer_recording(&self, body: &[u8]) -> Response<AnswerBody> {
        match serde_json::from_slice::<Recording>(body) {
            Ok(recording) => {
                self.set_recording(recording.enabled);
                json(StatusCode::OK, &recording)
            }
            Err(error) => refusal(StatusCode::BAD_REQUEST, "invalid_body", &error.to_string()),
        }
    }

    fn answer_faults(&self, body: &[u8]) -> Response<AnswerBody> {
        match serde_json::from_slice::<EngineFaults>(body) {
            Ok(faults) => {
                self.set_faults(faults);
                json(StatusCode::OK, &self.faults())
            }
            Err(error) => refusal(StatusCode::BAD_REQUEST, "invalid_faults", &error.to_string()),
        }
    }

    async fn complete(self: &Arc<Self>, endpoint: Endpoint, headers: &HeaderMap, body: &[u8]) -> HttpAnswer {
        let parsed = match serde_json::from_slice::<CompletionRequest<'_>>(body) {
            Ok(parsed) => parsed,
            Err(error) => return Ok(refusal(StatusCode::BAD_REQUEST, "invalid_request", &error.to_string())),
        };
        let text = |name| headers.get(name).and_then(|it| it.to_str().ok());
        let wanted = text("x-guava-replica");
        let Some(guard) = self.join(&parsed.model, wanted) else {
            return Ok(self.not_served(&parsed.model));
        };
        let request = text("x-request-id").unwrap_or("none");
        let slot = self
            .recorder
            .request(request, &parsed.model, &guard.replica.id, headers);
        let prompt = parsed.prompt();
        let (tokens, limited) = parsed.tokens(self.settings.default_tokens);
        let answer = Answer {
            endpoint,
            request: request.to_owned(),
            created: wall_ms() / 1_000,
            prompt_tokens: count_tokens(&prompt),
            cached_tokens: self.prefixes.visit(&parsed.model, prompt.as_bytes()),
            model: parsed.model.clone().into_owned(),
            tokens,
            limited,
            includes_usage: parsed.includes_usage(),
        };
        let mut run = Run {
            state: RequestState::Cancelled,
            slot,
            batch_slot: None,
            death: self.take_death(),
            due: None,
            guard,
            answer,
        };
        run.enter(parsed.priority).await;
        if parsed.stream {
            return run.stream();
        }
        run.whole().await
    }

    fn not_served(&self, model: &str) -> Response<AnswerBody> {
        if self.serves(model) {
            return refusal(StatusCode::CONFLICT, "wrong_replica", "the replica is not ready here");
        }
        refusal(
            StatusCode::NOT_FOUND,
            "model_not_loaded",
            "the model is not loaded here",
        )
    }
}

/// A request being run; dropping it early counts as cancelled.
struct Run {
    state: RequestState,
    slot: RequestSlot,
    batch_slot: Option<BatchSlot>,
    /// Tokens after which a fault cuts the answer.
    death: Option<u32>,
    /// When the work so far is due, once any of it takes time.
    due: Option<Instant>,
    guard: ReplicaGuard,
    answer: Answer,
}

impl Drop for Run {
    fn drop(&mut self) {
        self.guard.engine.recorder.end_request(self.slot, self.state);
    }
}

/// Counts a request as waiting.
struct Waiting<'a>(&'a std::sync::atomic::AtomicU32);

impl<'a> Waiting<'a> {
    fn new(count: &'a std::sync::atomic::AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Run {
    /// Waits for a slot and processes the prompt.
    async fn enter(&mut self, priority: i64) {
        let slot = {
            let replica = &self.guard.replica;
            let _waiting = Waiting::new(&replica.waiting);
            replica.batch.enter(priority).await
        };
        self.batch_slot = Some(slot);
        let new_tokens = self.answer.prompt_tokens.saturating_sub(self.answer.cached_tokens);
        let prefill = Duration::from_micros(self.guard.engine.settings.prefill_us) * new_tokens as u32;
        self.work(prefill).await;
    }

    /// Generates tokens.
    async fn generate(&mut self, tokens: u32) {
        let settings = &self.guard.engine.settings;
        if settings.decode_us == 0 && settings.decode_batch_us == 0 {
            return;
        }
        let others = self.guard.replica.batch.running().saturating_sub(1);
        let micros = settings.decode_us + settings.decode_batch_us * u64::from(others);
        self.work(Duration::from_micros(micros) * tokens).await;
    }

    /// Generates all tokens of a whole answer, or those before a cut.
    async fn generate_all(&mut self, tokens: u32) {
        let mut left = tokens;
        while left > 0 {
            let step = left.min(STEP_TOKENS);
            self.generate(step).await;
            left -= step;
        }
    }

    /// Lets `duration` pass on the engine, put together with other short work.
    async fn work(&mut self, duration: Duration) {
        if duration.is_zero() {
            return;
        }
        let now = Instant::now();
        let duration = self.guard.engine.faults().slowed(duration);
        let due = self.due.unwrap_or(now) + duration;
        self.due = Some(due);
        if due > now + MIN_SLEEP {
            tokio::time::sleep_until(due).await;
        }
    }

    async fn delay_answer(&self) {
        let millis = self.guard.engine.faults().answer_late_ms;
        if millis > 0 {
            tokio::time::sleep(Duration::from_millis(millis)).await;
        }
    }

    async fn whole(mut self) -> HttpAnswer {
        let tokens = self.answer.tokens;
        self.generate_all(self.death.unwrap_or(tokens).min(tokens)).await;
        if let Some(tokens) = self.death {
            self.state = RequestState::Died;
            return self.cut_whole(tokens);
        }
        self.delay_answer().await;
        self.state = RequestState::Finished;
        let body = AnswerBody::Whole(self.answer.whole());
        Ok(answer(StatusCode::OK, "application/json", body))
    }

    /// Half of a whole answer, or nothing when the fault allows no token.
    fn cut_whole(&self, tokens: u32) -> HttpAnswer {
        if tokens == 0 {
            return Err(Cut::Fault);
        }
        let mut body = self.answer.whole();
        let length = body.len();
        body.truncate(length / 2);
        let pieces = stream::iter([Ok(body), Err(Cut::Fault)]);
        let mut response = answer(StatusCode::OK, "application/json", AnswerBody::Pieces(Box::pin(pieces)));
        response
            .headers_mut()
            .insert(http::header::CONTENT_LENGTH, length.into());
        Ok(response)
    }

    fn stream(mut self) -> HttpAnswer {
        if self.death == Some(0) {
            self.state = RequestState::Died;
            return Err(Cut::Fault);
        }
        let pieces = stream::unfold(Streaming { run: self, next: 0 }, Streaming::piece);
        let body = AnswerBody::Pieces(Box::pin(pieces));
        Ok(answer(StatusCode::OK, "text/event-stream", body))
    }
}

/// A streamed answer.
struct Streaming {
    run: Run,
    /// Next token; past the last one the stream has ended.
    next: u32,
}

impl Streaming {
    /// Next piece of the stream: one token, or several when tokens take no time.
    async fn piece(mut self) -> Option<(Result<Bytes, Cut>, Self)> {
        let total = self.run.answer.tokens;
        if self.next > total {
            return None;
        }
        let end = self.run.death.unwrap_or(total).min(total);
        if self.run.death.is_some() && self.next >= end {
            self.next = total + 1;
            self.run.state = RequestState::Died;
            return Some((Err(Cut::Fault), self));
        }
        if self.next == 0 {
            self.run.delay_answer().await;
        }
        let settings = &self.run.guard.engine.settings;
        let takes_time = settings.decode_us > 0 || settings.decode_batch_us > 0;
        let step = if takes_time { 1 } else { STEP_TOKENS };
        let until = self.next.saturating_add(step).min(end);
        self.run.generate(until - self.next).await;
        let mut buf = BytesMut::with_capacity(256 * (until - self.next + 1) as usize);
        (self.next..until).for_each(|index| self.run.answer.put_token_event(&mut buf, index));
        self.next = until;
        if self.next == total && self.run.death.is_none() {
            self.run.answer.put_end_events(&mut buf);
            self.run.state = RequestState::Finished;
            self.next = total + 1;
        }
        Some((Ok(buf.freeze()), self))
    }
}
