//! Event streams from a backend server to a caller.
//!
//! Whole events are passed on as they arrive. A stream that is cut or silent goes on at another server within the same
//! answer where its route allows that; else the answer ends without its regular end, so that it does not look complete.

use std::time::Duration;

use bytes::Bytes;
use guava_core::events::Event;
use guava_core::units::Millis;
use guava_fleet::events::Splitter;
use http::Response;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::sync::mpsc::{self, Sender};

use crate::attempt::Arriving;
use crate::log_event;
use crate::metrics;
use crate::path::{Chosen, Path};
use crate::reply::{Body, BodyError, passed_on};
use crate::state::{now, until};

/// Events that wait for a caller that reads slowly.
const BUFFERED: usize = 8;
/// Silence between events after which a stream goes on elsewhere, relative to its longest pause on time.
const SILENCE_GAPS: u64 = 4;
/// Least silence; an engine that is busy with prompts may pause for some hundred milliseconds.
const SILENCE_MIN_MS: u64 = 1_000;

type Out = Sender<Result<Frame<Bytes>, BodyError>>;

/// What a caller saw of a stream.
#[derive(Debug, Default)]
struct Progress {
    first: Option<Millis>,
    last: Option<Millis>,
    longest_gap_ms: u64,
    parts: u32,
}

impl Progress {
    fn note_sent(&mut self, at: Millis) {
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
    Cut(String),
}

/// Answer whose body is passed on by a task of its own.
pub fn stream(path: Path, chosen: Chosen, arriving: Arriving) -> Response<Body> {
    let (tx, mut rx) = mpsc::channel(BUFFERED);
    let parts = futures::stream::poll_fn(move |cx| rx.poll_recv(cx));
    let body = BodyExt::boxed(StreamBody::new(parts));
    let answer = passed_on(arriving.status, &arriving.headers, body);
    tokio::spawn(pass_on(path, chosen, arriving, tx));
    answer
}

async fn pass_on(mut path: Path, mut chosen: Chosen, mut arriving: Arriving, tx: Out) {
    let mut splitter = Splitter::default();
    let mut progress = Progress::default();
    loop {
        progress.parts += 1;
        let server = chosen.server.id.clone();
        let end = pass_part(&path, arriving, &mut splitter, &mut progress, &tx).await;
        drop(chosen);
        match end {
            PartEnd::Complete => {
                path.entry().health.lock().note_success(now(), &server);
                log_event!(
                    Event::RequestFinished,
                    path.id(),
                    "stream complete server={server} route={} model={} first_ms={} longest_gap_ms={} parts={} after_ms={}",
                    path.route().name,
                    path.model(),
                    progress.first.map_or(0, |it| it.since(path.arrived())),
                    progress.longest_gap_ms,
                    progress.parts,
                    now().since(path.arrived())
                );
                return;
            }
            PartEnd::CallerLeft => {
                log_event!(Event::CallerLeft, path.id(), "server={server}");
                return;
            }
            PartEnd::DeadlinePassed => {
                log_event!(
                    Event::RequestFailed,
                    path.id(),
                    "server={server} why=deadline passed in the stream"
                );
                return abort(&tx).await;
            }
            PartEnd::Cut(why) => {
                if path.lost(&server, &why).is_err() {
                    return abort(&tx).await;
                }
            }
        }
        splitter.discard_rest();
        let after = splitter.last_id().map(str::to_owned);
        let offered = tokio::select! {
            offered = path.offer(after.as_deref()) => offered,
            () = tx.closed() => return,
        };
        match offered {
            Ok((next, answer)) if answer.status.is_success() => (chosen, arriving) = (next, answer),
            _ => return abort(&tx).await,
        }
    }
}

async fn pass_part(
    path: &Path,
    arriving: Arriving,
    splitter: &mut Splitter,
    progress: &mut Progress,
    tx: &Out,
) -> PartEnd {
    let Arriving {
        mut body, connection, ..
    } = arriving;
    loop {
        let silence = silence(path);
        let left = until(path.deadline());
        let next = tokio::select! {
            next = tokio::time::timeout(silence.min(left), body.frame()) => next,
            () = tx.closed() => return PartEnd::CallerLeft,
        };
        let frame = match next {
            Err(_) if now() >= path.deadline() => return PartEnd::DeadlinePassed,
            Err(_) => return PartEnd::Cut(format!("silent for {} ms", silence.as_millis())),
            Ok(Some(Err(e))) => return PartEnd::Cut(e.to_string()),
            Ok(None) if splitter.rest().is_empty() => {
                drop(connection);
                return PartEnd::Complete;
            }
            Ok(None) => return PartEnd::Cut("ended within an event".to_owned()),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        let whole = match splitter.push(&bytes) {
            Ok(whole) => whole,
            Err(size) => return PartEnd::Cut(format!("an event of over {size} bytes")),
        };
        if whole.is_empty() {
            continue;
        }
        let at = now();
        if progress.first.is_none() {
            metrics::first_byte(path.route().kind, at.since(path.arrived()));
        }
        progress.note_sent(at);
        if tx.send(Ok(Frame::data(Bytes::from(whole)))).await.is_err() {
            return PartEnd::CallerLeft;
        }
    }
}

/// Silence after which the stream goes on elsewhere; a stream that cannot is waited for.
fn silence(path: &Path) -> Duration {
    if !path.may_repeat() {
        return until(path.deadline()) + Duration::from_millis(1);
    }
    Duration::from_millis((path.route().gap_ms * SILENCE_GAPS).max(SILENCE_MIN_MS))
}

/// Ends the answer without its regular end.
async fn abort(tx: &Out) {
    let error: BodyError = "the stream was cut".into();
    // The caller may have left, which ends the answer as well.
    let _ = tx.send(Err(error)).await;
}
