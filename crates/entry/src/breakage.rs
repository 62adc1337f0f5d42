//! Attempts that backend servers break off.
//!
//! A crashed process, a reset connection and a faulty answer look the same on the connection of the attempt. They differ
//! in whether the server goes on, so each broken attempt is followed by a look at the server: whether it still accepts
//! connections, and if so, whether an engine states the start that it had. A server may start again at once, its address
//! may accept connections for a server that has ended, and a connection may be accepted while the process ends, so one
//! look does not decide unless the answer is certain.

use std::fmt;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use guava_core::events::Event;
use guava_core::rendezvous;
use guava_core::units::Millis;
use guava_fleet::crashes::{BrokenRun, Evidence, Suspect};
use guava_fleet::model::BackendServer;
use guava_fleet::statements::Statements;
use guava_platform::headers::Unreadable;
use guava_platform::{CallError, engine};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::cluster_view::ServerLife;
use crate::log_event;
use crate::request::Inbound;
use crate::state::{EntryState, now};

/// Time within which a listening server accepts a connection; a round trip takes about 3 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Pauses before the server is looked at again, while it is not certain what has become of it.
const PROBE_PAUSES: [Duration; 4] = [
    Duration::from_millis(50),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(600),
];
/// Largest number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 16;

/// What has become of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Found {
    /// It goes on.
    Alive,
    /// It leaves, or is not to be used any more.
    Leaving,
    /// Nothing listens at its address.
    Refused,
    /// Another process has its address or its id.
    StartedAnew,
    /// It does not answer, although its address may accept connections.
    Unanswered,
}

impl Found {
    fn has_crashed(self) -> bool {
        matches!(self, Self::Refused | Self::StartedAnew | Self::Unanswered)
    }
}

impl fmt::Display for Found {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alive => "alive",
            Self::Leaving => "leaving",
            Self::Refused => "refused",
            Self::StartedAnew => "started_anew",
            Self::Unanswered => "unanswered",
        })
    }
}

/// Attempt that ended without a usable answer although its request was sent.
#[derive(Debug)]
pub struct BrokenAttempt {
    /// Server to which the request was sent.
    pub server: Arc<BackendServer>,
    /// When the head of its answer arrived; `None` if it did not.
    pub begun: Option<Millis>,
    /// When the request was sent.
    pub sent: Millis,
    /// When the attempt ended.
    pub at: Millis,
    /// Why it ended.
    pub why: String,
}

/// Finds out whether the server of a broken attempt has crashed, and records the attempt. Does not wait for the result.
pub fn examine(state: &Arc<EntryState>, inbound: &Arc<Inbound>, broken: BrokenAttempt) {
    let life = state.life_of(&broken.server);
    let (state, inbound) = (Arc::clone(state), Arc::clone(inbound));
    tokio::spawn(async move {
        let found = match life {
            ServerLife::Serves => find_out(&state, &broken).await,
            ServerLife::Leaves => Found::Leaving,
            ServerLife::StartedAnew => Found::StartedAnew,
        };
        if found.has_crashed() {
            record_suspect(&state, &inbound, &broken, found);
        }
        let evidence = state.findings.evidence(now(), &inbound.clues[0]);
        log_broken(&inbound, &broken, found, evidence);
    });
}

/// Looks at the server until it is certain what has become of it, or it has not answered for some time.
async fn find_out(state: &EntryState, broken: &BrokenAttempt) -> Found {
    let server = &broken.server;
    for pause in PROBE_PAUSES {
        if let Some(found) = look(state, broken).await {
            return found;
        }
        sleep(pause).await;
        if state.life_of(server) == ServerLife::StartedAnew {
            return Found::StartedAnew;
        }
    }
    let is_engine = state.is_engine(&server.service);
    if is_engine && !state.is_cut_off(now()) && !has_answered(state, broken) {
        Found::Unanswered
    } else {
        Found::Alive
    }
}

/// Looks at the server once; `None` if it is not certain what has become of it.
async fn look(state: &EntryState, broken: &BrokenAttempt) -> Option<Found> {
    let server = &broken.server;
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(server.address)).await {
        Ok(Ok(_)) if has_answered(state, broken) => return Some(Found::Alive),
        Ok(Ok(_)) => {}
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return Some(Found::Refused),
        Ok(Err(_)) | Err(_) => return None,
    }
    if !state.is_engine(&server.service) {
        return None;
    }
    let sink = |stated: &Statements, unreadable: &[Unreadable]| {
        state.record_statements("-", server, stated, unreadable);
    };
    match engine::fetch_start(&*state.clients.reports, server, &sink).await {
        Ok(born_ms) if born_ms == server.born_ms => Some(Found::Alive),
        Ok(_) | Err(CallError::OtherServer) => Some(Found::StartedAnew),
        // It answers, so it goes on.
        Err(CallError::Malformed(_)) => Some(Found::Alive),
        Err(CallError::NotRun(_) | CallError::Unanswered(_)) => None,
    }
}

fn has_answered(state: &EntryState, broken: &BrokenAttempt) -> bool {
    state.health.lock().has_answered_since(&broken.server.id, broken.at)
}

/// Records the attempt as one that may have caused the crash.
fn record_suspect(state: &EntryState, inbound: &Inbound, broken: &BrokenAttempt, found: Found) {
    let at = now();
    let last_part = inbound.caller.last_prompt_part.as_deref();
    let suspect = Suspect::new(&BrokenRun {
        server: &broken.server.id,
        born_ms: broken.server.born_ms,
        request: rendezvous::weight(&inbound.clues.join(","), last_part.unwrap_or("")),
        clues: &inbound.clues,
        begun_ms: broken.begun.map(|it| broken.at.since(it)),
        waited_ms: broken.at.since(broken.sent),
        age_ms: at.since(broken.at),
        is_certain: found != Found::Unanswered,
    });
    if state.findings.record_suspect(at, suspect) {
        state.signal_change();
    }
}

fn log_broken(inbound: &Inbound, broken: &BrokenAttempt, found: Found, evidence: Evidence) {
    let begun_ms = broken
        .begun
        .map_or_else(|| "-".to_owned(), |it| broken.at.since(it).to_string());
    let parts = &inbound.caller.shared_prompt_parts;
    let logged = &parts[..parts.len().min(MAX_LOGGED_PARTS)];
    log_event!(
        Event::AttemptBroken,
        &inbound.caller.attempt_id,
        "server={} begun_ms={begun_ms} ran_ms={} found={found} took_ms={} identity={} crashes={} others={} \
         proven_ms_ago={} parts={} why={}",
        broken.server.id,
        broken.at.since(broken.sent),
        now().since(broken.at),
        inbound.clues[0],
        evidence.crashes,
        evidence.others,
        evidence.proven_ms.map_or_else(|| "-".to_owned(), |it| it.to_string()),
        if logged.is_empty() {
            "-".to_owned()
        } else {
            logged.join(",")
        },
        broken.why
    );
}
