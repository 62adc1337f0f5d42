//! Forwarding of a stream from a backend server to its caller.
//!
//! Only complete events are forwarded. A truncated stream ends with an error event and an aborted connection, so that
//! callers can tell it from a complete one.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use guava_core::codes::Code;
use guava_core::events::Event;
use guava_core::request::{Class, RequestEvent};
use guava_core::units::Millis;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{ActiveRequest, MAX_EVENT_BYTES, Router};
use crate::Outcome;
use crate::answer::{StreamPart, WholeAnswer};
use crate::forward::{FailureKind, IncomingAnswer};
use crate::metrics::Ending;
use crate::refusal::Refusal;
use crate::usage::StreamReader;

/// Longest time to wait for the caller to accept the error event of a truncated stream.
const ERROR_EVENT_TIMEOUT: Duration = Duration::from_secs(1);

/// State of one stream while it is forwarded.
pub(super) struct StreamRelay {
    pub(super) router: Arc<Router>,
    pub(super) active: ActiveRequest,
    pub(super) reader: StreamReader,
    pub(super) tx: mpsc::Sender<StreamPart>,
    /// Copy of the forwarded events for the idempotency record; empty unless the request holds a claim.
    pub(super) answer_copy: Vec<u8>,
    pub(super) finish_at: Instant,
    pub(super) sent_at: Millis,
}

/// How forwarding ended.
enum RelayEnd {
    Complete,
    Truncated(FailureKind),
    CallerLeft,
}

impl StreamRelay {
    /// Forwards the stream until it is complete, it is truncated or the caller disconnects; then records how it ended.
    pub(super) async fn run(mut self, mut incoming: IncomingAnswer, first_events: Vec<u8>) {
        let headers = incoming.caller_headers();
        let status = incoming.status();
        let end = self.forward(&mut incoming, first_events).await;
        let request = Arc::clone(&self.active.request);
        self.active
            .set_used_tokens(self.reader.total_tokens(request.prompt_tokens));
        match end {
            RelayEnd::Complete => {
                incoming.release_connection();
                let slot_held_ms = self.router.node.clock.now().since(self.sent_at);
                self.active.target.record_service_time(request.tokens, slot_held_ms);
                if let Some(claim) = self.active.claim.take() {
                    let answer = WholeAnswer {
                        status,
                        headers,
                        body: Bytes::from(std::mem::take(&mut self.answer_copy)),
                    };
                    claim.finish(Outcome::Answered(answer.to_stored())).await;
                }
                // The request counts as finished even if the caller has disconnected.
                drop(tokio::time::timeout_at(self.finish_at, self.tx.send(StreamPart::End)).await);
                self.router.record_finished(&mut self.active);
            }
            RelayEnd::Truncated(kind) => self.end_with_error(kind).await,
            // Dropping `incoming` closes the connection and so cancels the call; the guards record the outcome.
            RelayEnd::CallerLeft => {}
        }
    }

    async fn forward(&mut self, incoming: &mut IncomingAnswer, first_events: Vec<u8>) -> RelayEnd {
        let cancel_on_disconnect = self.active.request.class == Class::Idempotent;
        let limit = self.router.args.answer_limit_bytes;
        let mut events = Some(first_events);
        loop {
            if let Some(events) = events.take() {
                if self.active.claim.is_some() {
                    if self.answer_copy.len() + events.len() > limit {
                        return RelayEnd::Truncated(FailureKind::TooLarge);
                    }
                    self.answer_copy.extend_from_slice(&events);
                }
                // The timeout also ends a stream whose caller reads too slowly, so that it does not occupy its slot for
                // longer.
                let sent = self.tx.send(StreamPart::Data(Bytes::from(events)));
                match tokio::time::timeout_at(self.finish_at, sent).await {
                    Err(_) => return RelayEnd::Truncated(FailureKind::Timeout),
                    Ok(Err(_)) if cancel_on_disconnect => return RelayEnd::CallerLeft,
                    Ok(_) => {}
                }
            }
            let next = tokio::time::timeout_at(self.finish_at, incoming.next_part());
            let part = tokio::select! {
                part = next => part,
                () = self.tx.closed(), if cancel_on_disconnect => return RelayEnd::CallerLeft,
            };
            match part {
                Err(_) => return RelayEnd::Truncated(FailureKind::Timeout),
                Ok(Err(kind)) => return RelayEnd::Truncated(kind),
                Ok(Ok(None)) if self.reader.is_done() => return RelayEnd::Complete,
                Ok(Ok(None)) => return RelayEnd::Truncated(FailureKind::Broken),
                Ok(Ok(Some(part))) => events = self.reader.push(&part),
            }
            if self.reader.incomplete_bytes() > MAX_EVENT_BYTES {
                return RelayEnd::Truncated(FailureKind::TooLarge);
            }
        }
    }

    async fn end_with_error(&mut self, kind: FailureKind) {
        let code = match kind {
            FailureKind::Timeout => Code::TimedOut,
            _ => Code::AnswerCut,
        };
        self.active.step(RequestEvent::Fail);
        self.active.ending_guard.ending = Ending::Failed;
        let organisation = self.active.request.caller.organisation.as_ref();
        self.router.metrics.count_error(code, organisation);
        let request = &self.active.request;
        let timeline = &self.router.node.timeline;
        timeline.record(
            Event::RequestFailed,
            Some(request.id.as_str()),
            Some(request.target.name()),
            &code.to_string(),
        );
        let mut event = b"event: error\ndata: ".to_vec();
        event.extend(Refusal::outcome_unknown(code).body());
        event.extend(b"\n\n");
        // Fails if the caller has disconnected or stopped reading; no one is left to receive the error then.
        let sent = self.tx.send(StreamPart::Data(Bytes::from(event)));
        drop(tokio::time::timeout(ERROR_EVENT_TIMEOUT, sent).await);
    }
}
