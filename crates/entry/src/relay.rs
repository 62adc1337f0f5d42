//! Relays event streams from backend servers to callers.
//!
//! Complete events are forwarded as they arrive. If a stream is interrupted, it continues from another server within the
//! same answer, where its route allows that. Otherwise the answer is aborted, so that it does not look complete. A
//! silent server is given up only once another one is ready to take the stream.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use bytes::Bytes;
use futures::FutureExt;
use guava_core::events::Event;
use guava_core::units::Millis;
use guava_fleet::crashes::PROOF_AFTER_MS;
use guava_fleet::events::{Splitter, has_data};
use guava_fleet::model::BackendServer;
use http::Response;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::sync::mpsc::{self, Sender};

use crate::attempt::IncomingAnswer;
use crate::dispatch::{Dispatch, NextServer, REPLACEMENT_INTERVAL_MS, SelectedServer};
use crate::log_event;
use crate::metrics;
use crate::reply::{Body, BodyError, forwarded_response};
use crate::state::{now, until};

/// Number of frames buffered for a slow caller.
const BUFFERED_EVENTS: usize = 8;
/// Time without events after which a stream continues from another server if one is ready, as a multiple of its route's
/// longest allowed gap.
const SILENCE_TIMEOUT_GAPS: u64 = 4;
/// Lower bound of the time given by [`SILENCE_TIMEOUT_GAPS`], in milliseconds. A sound server may be silent for about a
/// second; callers abandon a stream after two.
const SILENCE_TIMEOUT_MIN_MS: u64 = 1_400;

/// Time after the deadline, in milliseconds, for which events that are ready are still passed on. A route's time limit
/// must not be exceeded by more than half a second.
const LATE_DELIVERY_MS: u64 = 250;

type FrameSender = Sender<Result<Frame<Bytes>, BodyError>>;

/// Events sent to the caller so far.
#[derive(Debug, Default)]
struct Progress {
    first: Option<Millis>,
    last: Option<Millis>,
    longest_gap_ms: u64,
    parts: u32,
    /// Whether the stream holds an event from a server; comments are none.
    has_begun: bool,
}

impl Progress {
    fn record_sent(&mut self, at: Millis) {
        self.first.get_or_insert(at);
        if let Some(last) = self.last.replace(at) {
            self.longest_gap_ms = self.longest_gap_ms.max(at.since(last));
        }
    }
}

/// How one server's part of a stream ended.
enum PartEnd {
    Complete,
    CallerLeft,
    DeadlinePassed,
    Interrupted(String),
    Replaced(Box<NextServer>),
}

/// Returns the answer; a task of its own relays the body.
pub fn stream(dispatch: Dispatch, selected: SelectedServer, incoming: IncomingAnswer) -> Response<Body> {
    let (tx, mut rx) = mpsc::channel(BUFFERED_EVENTS);
    let frames = futures::stream::poll_fn(move |cx| rx.poll_recv(cx));
    let body = BodyExt::boxed(StreamBody::new(frames));
    let answer = forwarded_response(incoming.status, &incoming.headers, body);
    tokio::spawn(async move {
        let id = dispatch.id().to_owned();
        let relaying = relay_parts(dispatch, selected, incoming, tx.clone());
        if AssertUnwindSafe(relaying).catch_unwind().await.is_err() {
            // Without an error the body would end as if it were complete.
            log::error!("the relay of request {id} panicked");
            abort(&tx).await;
        }
    });
    answer
}

async fn relay_parts(
    mut dispatch: Dispatch,
    mut selected: SelectedServer,
    mut incoming: IncomingAnswer,
    tx: FrameSender,
) {
    let mut splitter = Splitter::default();
    let mut progress = Progress::default();
    let state = Arc::clone(dispatch.state());
    loop {
        progress.parts += 1;
        let server = Arc::clone(&selected.server);
        let begun = incoming.begun;
        let end = relay_part(&mut dispatch, &server, incoming, &mut splitter, &mut progress, &tx).await;
        drop(selected);
        let replacement = match end {
            PartEnd::Complete => {
                dispatch.state().health.lock().record_success(now(), &server.id);
                // The last part of a stream that has moved is shorter than a whole one.
                if progress.parts == 1 {
                    dispatch.record_run(&server);
                }
                log_event!(
                    Event::RequestFinished,
                    dispatch.id(),
                    "stream complete server={} route={} model={} first_ms={} longest_gap_ms={} parts={} after_ms={}",
                    server.id,
                    dispatch.route().name,
                    dispatch.model(),
                    progress.first.map_or(0, |it| it.since(dispatch.arrived())),
                    progress.longest_gap_ms,
                    progress.parts,
                    now().since(dispatch.arrived())
                );
                return;
            }
            PartEnd::CallerLeft => {
                let after_ms = now().since(dispatch.arrived());
                log_event!(
                    Event::CallerLeft,
                    dispatch.id(),
                    "server={} after_ms={after_ms}",
                    server.id
                );
                return;
            }
            PartEnd::DeadlinePassed => {
                let why = if now() >= state.requests_end() {
                    "the process stops"
                } else {
                    "deadline passed in the stream"
                };
                log_event!(Event::RequestFailed, dispatch.id(), "server={} why={why}", server.id);
                return abort(&tx).await;
            }
            PartEnd::Interrupted(why) => {
                if dispatch.handle_lost_answer(&server, Some(begun), &why).is_err() {
                    return abort(&tx).await;
                }
                None
            }
            PartEnd::Replaced(next) => Some(*next),
        };
        splitter.discard_rest();
        let last_event_id = splitter.last_id().map(str::to_owned);
        let outcome = tokio::select! {
            outcome = dispatch.continue_stream(last_event_id.as_deref(), replacement) => outcome,
            () = tx.closed() => return,
            () = state.requests_ended() => {
                log_event!(
                    Event::RequestFailed,
                    dispatch.id(),
                    "server=- why=the process stops"
                );
                return abort(&tx).await;
            }
        };
        match outcome {
            Ok(next) => (selected, incoming) = next,
            Err(_) => return abort(&tx).await,
        }
    }
}

async fn relay_part(
    dispatch: &mut Dispatch,
    server: &Arc<BackendServer>,
    incoming: IncomingAnswer,
    splitter: &mut Splitter,
    progress: &mut Progress,
    tx: &FrameSender,
) -> PartEnd {
    let IncomingAnswer {
        mut body,
        connection,
        begun,
        ..
    } = incoming;
    let mut last_data_at = now();
    let mut silence = Silence::default();
    let mut has_events = false;
    let mut has_progressed = false;
    loop {
        let stalled_at = last_data_at + silence_timeout_ms(dispatch);
        let check_at = stalled_at.max(silence.checked + REPLACEMENT_INTERVAL_MS);
        let next = if silence.replacement.is_some() {
            // Events that arrived while the replacement was prepared.
            body.frame().now_or_never()
        } else {
            tokio::select! {
                next = tokio::time::timeout(until(check_at.min(dispatch.deadline())), body.frame()) => next.ok(),
                () = tx.closed() => return PartEnd::CallerLeft,
                () = dispatch.state().requests_ended() => return PartEnd::DeadlinePassed,
            }
        };
        let at = now();
        let silent_ms = at.since(last_data_at);
        let next = match next {
            None if at >= dispatch.deadline() => return PartEnd::DeadlinePassed,
            // The limit may have changed with the configuration since the replacement was prepared.
            None if silence.replacement.is_some() => {
                if let Some(end) = silence.check(dispatch, server, begun, silent_ms, tx).await {
                    return end;
                }
                None
            }
            // Events that arrive during the search are passed on without delay.
            None if at >= check_at => tokio::select! {
                biased;
                frame = body.frame() => Some(frame),
                end = silence.check(dispatch, server, begun, silent_ms, tx) => match end {
                    Some(end) => return end,
                    None => None,
                },
            },
            next => next,
        };
        let at = now();
        let frame = match next {
            None => continue,
            Some(Some(Err(e))) => return PartEnd::Interrupted(e.to_string()),
            Some(None) if splitter.rest().is_empty() => {
                drop(connection);
                if has_events {
                    dispatch.record_proof(begun);
                }
                return PartEnd::Complete;
            }
            Some(None) => return PartEnd::Interrupted("stream ended within an event".to_owned()),
            Some(Some(Ok(frame))) => frame,
        };
        let bytes = frame.into_data().unwrap_or_default();
        let events = match splitter.push(&bytes) {
            Ok(events) => events,
            Err(size) => return PartEnd::Interrupted(format!("event larger than {size} bytes")),
        };
        // Bytes alone are no progress: a stalled server may send single bytes, or comments. Data that is ready is passed
        // on even if this process was held up beyond the time limit.
        if has_data(&events) {
            last_data_at = at;
            silence.replacement = None;
            has_events = true;
            if !has_progressed && at.since(begun) >= PROOF_AFTER_MS {
                has_progressed = true;
                dispatch.record_progress(begun);
            }
        } else if at >= check_at
            && let Some(end) = silence.check(dispatch, server, begun, at.since(last_data_at), tx).await
        {
            return end;
        }
        let give_up_at = dispatch.deadline() + LATE_DELIVERY_MS;
        if at >= give_up_at {
            return PartEnd::DeadlinePassed;
        }
        if events.is_empty() {
            continue;
        }
        if progress.first.is_none() {
            metrics::first_byte(dispatch.route().kind, at.since(dispatch.arrived()));
        }
        if !progress.has_begun && (has_data(&events) || splitter.last_id().is_some()) {
            progress.has_begun = true;
            dispatch.record_begun(server);
        }
        progress.record_sent(at);
        let sending = tx.send(Ok(Frame::data(dispatch.client().hold(Bytes::from(events)))));
        match tokio::time::timeout(until(give_up_at), sending).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return PartEnd::CallerLeft,
            // The caller reads too slowly.
            Err(_) => return PartEnd::DeadlinePassed,
        }
        // Time in which the caller did not read is not the server's.
        last_data_at = last_data_at + now().since(at);
    }
}

/// Search for a replacement of a silent server.
#[derive(Debug, Default)]
struct Silence {
    /// Last time at which there was no replacement.
    checked: Millis,
    /// Server that is ready to take the stream.
    replacement: Option<NextServer>,
}

impl Silence {
    /// Prepares a replacement, or gives up the silent server if one is ready. Returns how the silent server's part ends;
    /// `None` if it goes on.
    async fn check(
        &mut self,
        dispatch: &mut Dispatch,
        server: &Arc<BackendServer>,
        begun: Millis,
        silent_ms: u64,
        tx: &FrameSender,
    ) -> Option<PartEnd> {
        if let Some(next) = self.replacement.take() {
            if dispatch.give_up_silent(server, Some(begun), silent_ms) {
                return Some(PartEnd::Replaced(Box::new(next)));
            }
        } else {
            self.replacement = tokio::select! {
                replacement = dispatch.secure_replacement(server, silent_ms, true) => replacement,
                () = tx.closed() => return Some(PartEnd::CallerLeft),
            };
        }
        if self.replacement.is_none() {
            self.checked = now();
        }
        None
    }
}

/// Time without events, in milliseconds, after which the server is replaced if another one is ready. A stream that
/// cannot continue is given until its deadline.
fn silence_timeout_ms(dispatch: &Dispatch) -> u64 {
    if !dispatch.may_retry() {
        return u64::MAX;
    }
    (dispatch.route().gap_ms * SILENCE_TIMEOUT_GAPS).max(SILENCE_TIMEOUT_MIN_MS)
}

/// Aborts the answer, so that the caller sees it as incomplete.
async fn abort(tx: &FrameSender) {
    let error: BodyError = "the stream was cut".into();
    // Fails if the caller has disconnected, which ends the answer as well.
    let _ = tx.send(Err(error)).await;
}
