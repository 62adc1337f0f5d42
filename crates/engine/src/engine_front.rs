//! HTTP API of the stand-in engine.
//!
//! `POST /v1/chat/completions`, `POST /v1/completions`, `GET /v1/models`, `POST /control/orders`,
//! `GET /control/report` and `GET /control/cache-events?since=`; for tests also `GET` and `PUT` of `/faults` and
//! `/record`.

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
use crate::completion::{Completion, CompletionRequest, Endpoint, count_tokens};
use crate::front::{
    AbortReason, AnswerBody, Handler, HttpAnswer, OnDown, ServerHandle, answer, json_answer, query_parameter,
    read_body, refusal, serve,
};
use crate::record::{RequestIndex, RequestState, wall_ms};
use crate::replica::ReplicaGuard;
use crate::settings::EngineFaults;
use crate::standin::StandInEngine;
use crate::{EngineError, Order};

/// Number of tokens generated before the batch size, which determines the time per token, is read again.
const TOKENS_PER_STEP: u32 = 8;
/// Resolution of the timer; shorter waits are accumulated before the task sleeps.
const MIN_SLEEP: Duration = Duration::from_millis(1);

derive_value! {
    /// Body of `PUT /record`.
    struct Recording {
        enabled: bool,
    }

    /// Body of the answer to a refused order.
    pub(crate) struct OrderRefusal {
        pub(crate) reason: String,
        /// Newest term that the engine has seen, if the order's term was older.
        pub(crate) newest_term: Option<guava_core::ids::Term>,
    }
}

/// Serves an engine on `addr` in the current Tokio runtime. The `down` fault closes the listener and all connections.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve_engine(engine: &Arc<StandInEngine>, addr: SocketAddr) -> io::Result<ServerHandle> {
    serve(Arc::clone(engine), addr, OnDown::Close).await
}

/// Serves an engine on another address that stays open while the `down` fault is in force, so that the fault can be
/// ended.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve_engine_control(engine: &Arc<StandInEngine>, addr: SocketAddr) -> io::Result<ServerHandle> {
    serve(Arc::clone(engine), addr, OnDown::StayOpen).await
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
            (&Method::GET, "/v1/models") => Ok(self.list_models()),
            (&Method::POST, "/control/orders") => self.handle_order(&body),
            (&Method::GET, "/control/report") => Ok(json_answer(StatusCode::OK, &self.current_report())),
            (&Method::GET, "/control/cache-events") => {
                let since = query_parameter(parts.uri.query(), "since").and_then(|it| it.parse().ok());
                Ok(json_answer(StatusCode::OK, &self.cache_events(since.unwrap_or(0))))
            }
            (&Method::GET, "/record") => Ok(json_answer(StatusCode::OK, &self.record())),
            (&Method::PUT, "/record") => Ok(self.handle_recording(&body)),
            (&Method::GET, "/faults") => Ok(json_answer(StatusCode::OK, &self.faults())),
            (&Method::PUT, "/faults") => Ok(self.handle_faults(&body)),
            _ => Ok(refusal(StatusCode::NOT_FOUND, "unknown_path", "nothing at this path")),
        }
    }

    fn watch_down(&self) -> watch::Receiver<bool> {
        Self::watch_down(self)
    }
}

impl StandInEngine {
    fn list_models(&self) -> Response<AnswerBody> {
        let names = self.model_names();
        let data = names
            .iter()
            .map(|id| serde_json::json!({ "id": id, "object": "model" }));
        let data = data.collect::<Vec<_>>();
        json_answer(StatusCode::OK, &serde_json::json!({ "object": "list", "data": data }))
    }

    fn handle_order(self: &Arc<Self>, body: &[u8]) -> HttpAnswer {
        let order = match serde_json::from_slice::<Order>(body) {
            Ok(order) => order,
            Err(error) => return Ok(refusal(StatusCode::BAD_REQUEST, "invalid_order", &error.to_string())),
        };
        let (status, reason, newest_term) = match self.take_order(&order) {
            Ok(()) => return Ok(json_answer(StatusCode::OK, &serde_json::json!({}))),
            Err(EngineError::OutcomeUnknown(_)) => return Err(AbortReason::InjectedFault),
            Err(EngineError::Fenced(newest)) => (StatusCode::CONFLICT, "old term".to_owned(), Some(newest)),
            Err(EngineError::Refused(reason)) => (StatusCode::UNPROCESSABLE_ENTITY, reason, None),
            Err(EngineError::Unreachable(reason)) => (StatusCode::SERVICE_UNAVAILABLE, reason, None),
        };
        Ok(json_answer(status, &OrderRefusal { reason, newest_term }))
    }

    fn handle_recording(&self, body: &[u8]) -> Response<AnswerBody> {
        match serde_json::from_slice::<Recording>(body) {
            Ok(recording) => {
                self.set_recording(recording.enabled);
                json_answer(StatusCode::OK, &recording)
            }
            Err(error) => refusal(StatusCode::BAD_REQUEST, "invalid_body", &error.to_string()),
        }
    }

    fn handle_faults(&self, body: &[u8]) -> Response<AnswerBody> {
        match serde_json::from_slice::<EngineFaults>(body) {
            Ok(faults) => {
                self.set_faults(faults);
                json_answer(StatusCode::OK, &self.faults())
            }
            Err(error) => refusal(StatusCode::BAD_REQUEST, "invalid_faults", &error.to_string()),
        }
    }

    async fn complete(self: &Arc<Self>, endpoint: Endpoint, headers: &HeaderMap, body: &[u8]) -> HttpAnswer {
        let parsed = match serde_json::from_slice::<CompletionRequest<'_>>(body) {
            Ok(parsed) => parsed,
            Err(error) => return Ok(refusal(StatusCode::BAD_REQUEST, "invalid_request", &error.to_string())),
        };
        let header_text = |name| headers.get(name).and_then(|it| it.to_str().ok());
        let replica_id = header_text("x-guava-replica");
        let Some(guard) = self.acquire_replica(&parsed.model, replica_id) else {
            return Ok(self.not_served(&parsed.model));
        };
        let request_id = header_text("x-request-id").unwrap_or("none");
        let request_index = self
            .recorder
            .start_request(request_id, &parsed.model, &guard.replica.id, headers);
        let prompt = parsed.prompt_text();
        let (tokens, has_token_limit) = parsed.token_count(self.settings.default_tokens);
        let completion = Completion {
            endpoint,
            request_id: request_id.to_owned(),
            created: wall_ms() / 1_000,
            prompt_tokens: count_tokens(&prompt),
            cached_tokens: self.prefix_cache.lookup_and_store(&parsed.model, prompt.as_bytes()),
            model: parsed.model.clone().into_owned(),
            tokens,
            has_token_limit,
            includes_usage: parsed.includes_usage(),
        };
        let mut running = RunningRequest {
            state: RequestState::Cancelled,
            request_index,
            batch_slot: None,
            cut_after_tokens: self.consume_truncation(),
            work_due: None,
            guard,
            completion,
        };
        running.start(parsed.priority).await;
        if parsed.stream {
            return running.streamed_answer();
        }
        running.whole_answer().await
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

/// A request that is waiting or running. Dropping it before it has finished records it as cancelled.
struct RunningRequest {
    /// State recorded when the request is dropped.
    state: RequestState,
    request_index: RequestIndex,
    batch_slot: Option<BatchSlot>,
    /// Number of tokens after which an injected fault cuts the answer off.
    cut_after_tokens: Option<u32>,
    /// Time at which the work simulated so far is done; `None` until some work takes time.
    work_due: Option<Instant>,
    guard: ReplicaGuard,
    completion: Completion,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.guard.engine.recorder.end_request(self.request_index, self.state);
    }
}

/// Counts a request as waiting for a slot until it is dropped.
struct WaitingGuard<'a>(&'a std::sync::atomic::AtomicU32);

impl<'a> WaitingGuard<'a> {
    fn new(count: &'a std::sync::atomic::AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl RunningRequest {
    /// Waits for a slot and simulates processing the prompt.
    async fn start(&mut self, priority: i64) {
        let slot = {
            let replica = &self.guard.replica;
            let _waiting_guard = WaitingGuard::new(&replica.waiting);
            replica.batch.acquire(priority).await
        };
        self.batch_slot = Some(slot);
        let uncached_tokens = self
            .completion
            .prompt_tokens
            .saturating_sub(self.completion.cached_tokens);
        let prefill = Duration::from_micros(self.guard.engine.settings.prefill_us) * uncached_tokens as u32;
        self.simulate_work(prefill).await;
    }

    /// Simulates generating `tokens` tokens at the speed of the current batch size.
    async fn generate(&mut self, tokens: u32) {
        let settings = &self.guard.engine.settings;
        if settings.decode_us == 0 && settings.decode_batch_us == 0 {
            return;
        }
        let other_requests = self.guard.replica.batch.running().saturating_sub(1);
        let micros = settings.decode_us + settings.decode_batch_us * u64::from(other_requests);
        self.simulate_work(Duration::from_micros(micros) * tokens).await;
    }

    /// Simulates generating `tokens` tokens, adapting to changes of the batch size.
    async fn generate_in_steps(&mut self, tokens: u32) {
        let mut remaining = tokens;
        while remaining > 0 {
            let step = remaining.min(TOKENS_PER_STEP);
            self.generate(step).await;
            remaining -= step;
        }
    }

    /// Waits until `duration` of work is done. Waits that are too short for the timer are added to later ones.
    async fn simulate_work(&mut self, duration: Duration) {
        if duration.is_zero() {
            return;
        }
        let now = Instant::now();
        let duration = self.guard.engine.faults().apply_slowdown(duration);
        let work_due = self.work_due.unwrap_or(now) + duration;
        self.work_due = Some(work_due);
        if work_due > now + MIN_SLEEP {
            tokio::time::sleep_until(work_due).await;
        }
    }

    async fn delay_answer(&self) {
        let millis = self.guard.engine.faults().answer_late_ms;
        if millis > 0 {
            tokio::time::sleep(Duration::from_millis(millis)).await;
        }
    }

    async fn whole_answer(mut self) -> HttpAnswer {
        let tokens = self.completion.tokens;
        self.generate_in_steps(self.cut_after_tokens.unwrap_or(tokens).min(tokens))
            .await;
        if let Some(tokens) = self.cut_after_tokens {
            self.state = RequestState::Died;
            return self.truncated_answer(tokens);
        }
        self.delay_answer().await;
        self.state = RequestState::Finished;
        let body = AnswerBody::Whole(self.completion.whole_body());
        Ok(answer(StatusCode::OK, "application/json", body))
    }

    /// Sends half of the answer and closes the connection, or only closes it if the fault allows no token.
    fn truncated_answer(&self, tokens: u32) -> HttpAnswer {
        if tokens == 0 {
            return Err(AbortReason::InjectedFault);
        }
        let mut body = self.completion.whole_body();
        let length = body.len();
        body.truncate(length / 2);
        let chunks = stream::iter([Ok(body), Err(AbortReason::InjectedFault)]);
        let mut response = answer(StatusCode::OK, "application/json", AnswerBody::Chunks(Box::pin(chunks)));
        response
            .headers_mut()
            .insert(http::header::CONTENT_LENGTH, length.into());
        Ok(response)
    }

    fn streamed_answer(mut self) -> HttpAnswer {
        if self.cut_after_tokens == Some(0) {
            self.state = RequestState::Died;
            return Err(AbortReason::InjectedFault);
        }
        let chunks = stream::unfold(
            TokenStream {
                request: self,
                next_token: 0,
            },
            TokenStream::next_chunk,
        );
        let body = AnswerBody::Chunks(Box::pin(chunks));
        Ok(answer(StatusCode::OK, "text/event-stream", body))
    }
}

/// State of a streamed answer.
struct TokenStream {
    request: RunningRequest,
    /// Index of the next token; above the number of tokens once the stream has ended.
    next_token: u32,
}

impl TokenStream {
    /// Produces the next chunk of the stream: one token, or several if generating tokens takes no time.
    async fn next_chunk(mut self) -> Option<(Result<Bytes, AbortReason>, Self)> {
        let total = self.request.completion.tokens;
        if self.next_token > total {
            return None;
        }
        let end = self.request.cut_after_tokens.unwrap_or(total).min(total);
        if self.request.cut_after_tokens.is_some() && self.next_token >= end {
            self.next_token = total + 1;
            self.request.state = RequestState::Died;
            return Some((Err(AbortReason::InjectedFault), self));
        }
        if self.next_token == 0 {
            self.request.delay_answer().await;
        }
        let settings = &self.request.guard.engine.settings;
        let takes_time = settings.decode_us > 0 || settings.decode_batch_us > 0;
        let step = if takes_time { 1 } else { TOKENS_PER_STEP };
        let chunk_end = self.next_token.saturating_add(step).min(end);
        self.request.generate(chunk_end - self.next_token).await;
        let mut buf = BytesMut::with_capacity(256 * (chunk_end - self.next_token + 1) as usize);
        (self.next_token..chunk_end).for_each(|index| self.request.completion.put_token_event(&mut buf, index));
        self.next_token = chunk_end;
        if self.next_token == total && self.request.cut_after_tokens.is_none() {
            self.request.completion.put_end_events(&mut buf);
            self.request.state = RequestState::Finished;
            self.next_token = total + 1;
        }
        Some((Ok(buf.freeze()), self))
    }
}
