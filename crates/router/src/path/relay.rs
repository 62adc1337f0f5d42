//! Forwarding of a stream from a backend server to its caller.
//!
//! Only whole events are forwarded. A stream that is cut ends with an error event and an aborted connection, so that a
//! caller cannot take it for a complete one.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use guava_core::codes::Code;
use guava_core::events::Event;
use guava_core::request::{Class, RequestEvent};
use guava_core::units::Millis;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{MAX_EVENT_BYTES, Router, Running};
use crate::Outcome;
use crate::answer::{Part, WholeAnswer};
use crate::forward::{Arriving, FailureKind};
use crate::metrics::Ending;
use crate::refusal::Refusal;
use crate::usage::StreamReader;

/// Longest wait for room for the error event of a cut stream.
const ERROR_EVENT_WAIT: Duration = Duration::from_secs(1);

/// Forwards a stream from a backend server to its caller.
pub(super) struct StreamRelay {
    pub(super) router: Arc<Router>,
    pub(super) running: Running,
    pub(super) reader: StreamReader,
    pub(super) tx: mpsc::Sender<Part>,
    /// Copy of the answer for the idempotency record.
    pub(super) kept: Vec<u8>,
    pub(super) finish_at: Instant,
    pub(super) sent_at: Millis,
}

/// How forwarding ended.
enum RelayEnd {
    Complete,
    Cut(FailureKind),
    CallerLeft,
}

impl StreamRelay {
    /// Forwards until the stream is complete, cut or no longer wanted, and records how it ended.
    pub(super) async fn run(mut self, mut arriving: Arriving, first: Vec<u8>) {
        let content_type = arriving.caller_headers();
        let status = arriving.status();
        let end = self.forward(&mut arriving, first).await;
        let work = Arc::clone(&self.running.work);
        self.running.set_used(self.reader.total_tokens(work.prompt_tokens));
        match end {
            RelayEnd::Complete => {
                arriving.finish();
                let held_ms = self.router.node.clock.now().since(self.sent_at);
                self.running.target.observe(work.tokens, held_ms);
                if let Some(claim) = self.running.claim.take() {
                    let answer = WholeAnswer {
                        status,
                        headers: content_type,
                        body: Bytes::from(std::mem::take(&mut self.kept)),
                    };
                    claim.finish(Outcome::Answered(answer.to_stored())).await;
                }
                // The caller may have left; the answer is complete all the same.
                drop(tokio::time::timeout_at(self.finish_at, self.tx.send(Part::End)).await);
                self.router.finished(&mut self.running);
            }
            RelayEnd::Cut(kind) => self.cut(kind).await,
            // The guards say the rest: dropping `arriving` closes the connection and cancels the call.
            RelayEnd::CallerLeft => {}
        }
    }

    async fn forward(&mut self, arriving: &mut Arriving, first: Vec<u8>) -> RelayEnd {
        let cancel_with_caller = self.running.work.class == Class::Idempotent;
        let limit = self.router.args.answer_limit_bytes;
        let mut events = Some(first);
        loop {
            if let Some(events) = events.take() {
                if self.running.claim.is_some() {
                    if self.kept.len() + events.len() > limit {
                        return RelayEnd::Cut(FailureKind::TooLarge);
                    }
                    self.kept.extend_from_slice(&events);
                }
                // The timeout also ends a stream whose caller reads too slowly and would keep its slot.
                let sent = self.tx.send(Part::Data(Bytes::from(events)));
                match tokio::time::timeout_at(self.finish_at, sent).await {
                    Err(_) => return RelayEnd::Cut(FailureKind::Timeout),
                    Ok(Err(_)) if cancel_with_caller => return RelayEnd::CallerLeft,
                    Ok(_) => {}
                }
            }
            let next = tokio::time::timeout_at(self.finish_at, arriving.next_part());
            let part = tokio::select! {
                part = next => part,
                () = self.tx.closed(), if cancel_with_caller => return RelayEnd::CallerLeft,
            };
            match part {
                Err(_) => return RelayEnd::Cut(FailureKind::Timeout),
                Ok(Err(kind)) => return RelayEnd::Cut(kind),
                Ok(Ok(None)) if self.reader.is_done() => return RelayEnd::Complete,
                Ok(Ok(None)) => return RelayEnd::Cut(FailureKind::Broken),
                Ok(Ok(Some(part))) => events = self.reader.take(&part),
            }
            if self.reader.held_bytes() > MAX_EVENT_BYTES {
                return RelayEnd::Cut(FailureKind::TooLarge);
            }
        }
    }

    async fn cut(&mut self, kind: FailureKind) {
        let code = match kind {
            FailureKind::Timeout => Code::TimedOut,
            _ => Code::AnswerCut,
        };
        self.running.step(RequestEvent::Fail);
        self.running.ending.ending = Ending::Failed;
        let organisation = self.running.work.caller.organisation.as_ref();
        self.router.metrics.refused(code, organisation);
        let work = &self.running.work;
        let timeline = &self.router.node.timeline;
        timeline.record(
            Event::RequestFailed,
            Some(work.id.as_str()),
            Some(work.target.name()),
            &code.to_string(),
        );
        let mut event = b"event: error\ndata: ".to_vec();
        event.extend(Refusal::outcome_unknown(code).body());
        event.extend(b"\n\n");
        // The caller may have left or may not read; then nobody needs the error.
        let sent = self.tx.send(Part::Data(Bytes::from(event)));
        drop(tokio::time::timeout(ERROR_EVENT_WAIT, sent).await);
    }
}
