//! Messages between entry processes.
//!
//! `exchange` spreads members, configuration, servers and the coordinator by gossip, so that a VM that the store refuses
//! still learns them. `feed` passes changes on as they come (see [`crate::feed`]). `report` tells the coordinator what
//! waits and runs. `quota` takes tokens from the coordinator's part of an organisation's rate, `pace` the reading of a
//! prompt from an engine's pace, and `resign` ends a tenure. All are repeated safely: they replace what was known, and a
//! lost answer of `quota` or `pace` only loses tokens. Bodies are postcard.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use guava_core::derive_value;
use guava_core::events::Event;
use guava_fleet::health::{Outcomes, SharedFailure};
use guava_fleet::model::{BackendServer, Configuration};
use guava_fleet::placement::{Demand, OrderAges, Running, Wait};
use guava_platform::CallError;
use http::Request;
use rand::seq::IteratorRandom;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{sleep, timeout};

use crate::coordinator::Coordinator;
use crate::feed;
use crate::log_event;
use crate::metrics;
use crate::state::{CoordinatorHint, Entry, Member, Sign, now};

/// Time between two exchanges while the store answers.
const EXCHANGE_MS: u64 = 1_000;
/// Time between two exchanges while it does not, which bounds how late a VM learns what others know.
const EXCHANGE_ALONE_MS: u64 = 300;
/// Age of the last answer of the store from which on the servers of others are asked for.
const STORE_AWAY_MS: u64 = 2_500;
/// Members told in one exchange to a process that does not know them.
const TOLD_MEMBERS: usize = 32;
/// Signs of life told in one exchange, 6 bytes each. All of a fleet of this size are told, so each reaches all others
/// within a few exchanges.
const TOLD_SIGNS: usize = 512;
/// Time for a message between entry processes.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Time for tokens from the coordinator; a request that waits longer would miss its objective.
const QUOTA_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for the answer of the VM that paces an engine; without one the prompt is sent at once.
const PACE_TIMEOUT: Duration = Duration::from_millis(60);
/// VMs for which the time between reports grows by one step.
const VMS_PER_REPORT_STEP: u32 = 24;
/// Least time between two reports for each such step, also when demand changes; a small fleet reports it at once.
const LEAST_REPORT_GAP: Duration = Duration::from_millis(30);
/// Time between two reports to the coordinator.
const REPORT: Duration = Duration::from_millis(250);

derive_value! {
    /// What one process tells another.
    pub struct Exchange {
        /// Sender.
        pub from: Member,
        /// Signs of life of members.
        pub signs: Vec<Sign>,
        /// Some members of which the other has told no sign of life.
        pub members: Vec<Member>,
        /// Version of its configuration; zero for none.
        pub config_version: u64,
        /// Revision at which its servers last changed; zero for none.
        pub servers_revision: u64,
        /// Who coordinates.
        pub coordinator: Option<CoordinatorHint>,
        /// Configuration, when the other's is older.
        pub config: Option<Configuration>,
        /// Servers, when the other has asked for them and its own are older.
        pub servers: Option<Vec<BackendServer>>,
        /// Whether the sender lacks the store and asks for servers.
        pub wants_servers: bool,
    }

    /// Report to the coordinator.
    pub struct Report {
        /// VM that reports.
        pub vm: String,
        /// Requests that wait or arrived.
        pub demand: Vec<Demand>,
        /// Requests that run.
        pub running: Vec<Running>,
        /// Time since the store last answered this VM.
        pub store_age_ms: u64,
        /// Longest time until the next report.
        pub next_ms: u64,
        /// Outcomes since the last report at servers that failed.
        pub outcomes: Vec<Outcomes>,
    }

    /// Announcement of a coordinator that it has stopped.
    pub struct Resign {
        /// Term that has ended.
        pub term: u64,
        /// Milliseconds since engines may last have had an order.
        pub order_ages: OrderAges,
    }

    /// Answer to a report.
    pub struct ReportAnswer {
        /// Whether the process coordinates.
        pub coordinates: bool,
        /// Requests from all VMs by server.
        pub loads: Vec<(String, u32)>,
        /// Times until the models that requests of any VM wait for can take them.
        pub waits: Vec<Wait>,
        /// Servers that fail for several VMs.
        pub failures: Vec<SharedFailure>,
    }

    /// Prompt to be sent to an engine.
    pub struct PaceTake {
        /// Engine.
        pub engine: String,
        /// Prompt tokens.
        pub tokens: u64,
        /// Longest pause between events that the route allows.
        pub gap_ms: u64,
        /// Longest time that the request can wait.
        pub max_wait_ms: u64,
    }

    /// When a prompt may be sent.
    pub struct PaceAnswer {
        /// Whether the prompt was taken into account.
        pub granted: bool,
        /// Milliseconds until it may be sent, or until it could have been.
        pub wait_ms: u64,
    }

    /// Tokens asked from the coordinator.
    pub struct QuotaTake {
        /// Organisation.
        pub organisation: String,
        /// Tokens.
        pub tokens: f64,
        /// Longest time that the request can wait for them.
        pub max_wait_ms: u64,
    }

    /// Answer to a request for tokens.
    pub struct QuotaAnswer {
        /// Whether the process coordinates.
        pub coordinates: bool,
        /// Whether the tokens were taken.
        pub granted: bool,
        /// Milliseconds until they may be used, or until there would be enough.
        pub wait_ms: u64,
    }
}

/// Sends a message to another entry process.
///
/// # Errors
///
/// Fails when there is no answer in time or it cannot be read.
pub async fn call<M: Serialize + Sync, A: DeserializeOwned>(
    entry: &Entry,
    address: SocketAddr,
    name: &str,
    message: &M,
    timeout: Duration,
) -> Result<A, CallError> {
    let body = postcard::to_stdvec(message).map_err(|e| CallError::NotRun(e.to_string()))?;
    let sent = body.len();
    let req = Request::post(format!("/{name}"))
        .body(Bytes::from(body))
        .map_err(|e| CallError::NotRun(e.to_string()))?;
    let answer = entry.http.call(address, req, timeout).await?;
    metrics::peer_bytes(name, sent, answer.body().len());
    if !answer.status().is_success() {
        return Err(CallError::NotRun(format!("status {}", answer.status())));
    }
    postcard::from_bytes(answer.body()).map_err(|e| CallError::Malformed(e.to_string()))
}

/// Answers a message; `None` when it cannot be read or its name is not known.
pub async fn answer(entry: &Arc<Entry>, coordinator: &Arc<Coordinator>, name: &str, body: &[u8]) -> Option<Vec<u8>> {
    let answer = match name {
        "exchange" => written(&take_exchange(entry, read(body)?)),
        "report" => written(&coordinator.take_report(read(body)?)),
        "feed" => written(&feed::answer(entry, &read(body)?).await),
        "resign" => written(&coordinator.take_resignation(read(body)?)),
        "pace" => written(&entry.pace(&read(body)?)),
        "quota" => written(&coordinator.take_quota(&read(body)?)),
        _ => return None,
    };
    metrics::peer_bytes(name, answer.as_ref().map_or(0, Vec::len), body.len());
    answer
}

fn written<M: Serialize>(message: &M) -> Option<Vec<u8>> {
    postcard::to_stdvec(message).ok()
}

fn read<M: DeserializeOwned>(body: &[u8]) -> Option<M> {
    let read = postcard::from_bytes(body);
    if let Err(e) = &read {
        log_event!(Event::PeerMessageRefused, "-", "bytes={} why={e}", body.len());
    }
    read.ok()
}

fn own_exchange(entry: &Entry) -> Exchange {
    let at = now();
    Exchange {
        from: entry.me(),
        signs: entry
            .signs(at)
            .into_iter()
            .choose_multiple(&mut rand::rng(), TOLD_SIGNS),
        members: Vec::new(),
        config_version: entry.config().map_or(0, |it| it.config.version),
        servers_revision: entry.servers_revision(),
        coordinator: entry.coordinator(),
        config: None,
        servers: None,
        wants_servers: entry.source_age_ms(now()) > STORE_AWAY_MS,
    }
}

/// Takes what another process told and returns what it lacks.
fn take_exchange(entry: &Entry, heard: Exchange) -> Exchange {
    let at = now();
    let mut own = own_exchange(entry);
    let known: HashSet<u32> = heard.signs.iter().map(|it| it.key).collect();
    let members = entry.members().into_iter().filter(|it| it.is_live(at));
    let unknown = members.map(|it| it.member).filter(|it| !known.contains(&it.key()));
    own.members = unknown.choose_multiple(&mut rand::rng(), TOLD_MEMBERS);
    if heard.config_version < own.config_version {
        own.config = entry.config().map(|it| (*it.config).clone());
    }
    if heard.wants_servers && heard.servers_revision < own.servers_revision {
        own.servers = Some(entry.servers().iter().map(|it| it.without_copies()).collect());
    }
    entry.note_member(heard.from.clone(), Some(at));
    for member in heard.members {
        entry.note_member(member, None);
    }
    entry.note_signs(&heard.signs, at);
    if let Some(hint) = heard.coordinator {
        entry.note_coordinator(hint);
    }
    if let Some(config) = heard.config {
        entry.apply_config(config, "peer");
    }
    let is_newer = heard.servers_revision > own.servers_revision;
    if let Some(servers) = heard.servers.filter(|_| is_newer && own.wants_servers) {
        entry.apply_server_list(servers, heard.servers_revision, at);
    }
    own
}

/// Exchanges with one process, and once more when it lacks what this one knows.
async fn exchange_with(entry: &Entry, address: SocketAddr) -> Result<(), CallError> {
    let own = own_exchange(entry);
    let theirs: Exchange = call(entry, address, "exchange", &own, TIMEOUT).await?;
    let lacks_config = theirs.config_version < own.config_version;
    let lacks_servers = theirs.wants_servers && theirs.servers_revision < own.servers_revision;
    let missing = take_exchange(entry, theirs);
    if lacks_config || lacks_servers {
        call::<_, Exchange>(entry, address, "exchange", &missing, TIMEOUT).await?;
    }
    Ok(())
}

/// Exchanges with processes chosen at random, for as long as the process runs.
pub async fn gossip(entry: Arc<Entry>) {
    loop {
        let lacks_store = entry.source_age_ms(now()) > STORE_AWAY_MS;
        let address = {
            let mut addresses: Vec<SocketAddr> = entry.members().iter().map(|it| it.member.address).collect();
            addresses.extend(
                entry
                    .settings
                    .seeds
                    .iter()
                    .filter(|it| **it != entry.settings.advertised),
            );
            addresses.into_iter().choose(&mut rand::rng())
        };
        if let Some(address) = address
            && let Err(e) = exchange_with(&entry, address).await
        {
            log::debug!("exchange with {address}: {e}");
            entry.note_member_failed(address, now());
        }
        let pause = if lacks_store { EXCHANGE_ALONE_MS } else { EXCHANGE_MS };
        let jitter = rand::random_range(0..pause / 4);
        sleep(Duration::from_millis(pause - jitter)).await;
    }
}

/// Reports to the coordinator, at once when a request begins to wait.
pub async fn report(entry: Arc<Entry>, coordinator: Arc<Coordinator>) {
    loop {
        // In a large fleet each VM reports less often, so that the coordinator's work stays bounded, and not all at the
        // same time after they learnt of it together.
        let steps = entry.vms() as u32 / VMS_PER_REPORT_STEP;
        let pause = REPORT + (REPORT * steps).mul_f64(rand::random_range(0.5..1.5));
        let (demand, running) = entry.take_report();
        let report = Report {
            vm: entry.settings.vm.clone(),
            demand,
            running,
            store_age_ms: entry.store_age_ms(now()),
            next_ms: pause.as_millis() as u64,
            outcomes: entry.health.lock().take_outcomes(),
        };
        let answer = if coordinator.coordinates() {
            Some(coordinator.take_report(report))
        } else if let Some(hint) = entry.coordinator().filter(|it| it.vm != entry.settings.vm) {
            let answer = call::<_, ReportAnswer>(&entry, hint.address, "report", &report, TIMEOUT).await;
            if let Err(e) = &answer {
                log::debug!("report to {}: {e}", hint.address);
            }
            answer.ok()
        } else {
            None
        };
        if let Some(answer) = answer.filter(|it| it.coordinates) {
            entry.apply_loads(answer.loads);
            entry.apply_waits(answer.waits, now());
            entry.apply_failures(answer.failures, now());
        }
        let started = tokio::time::Instant::now();
        sleep(LEAST_REPORT_GAP * steps).await;
        // The time-out stands for an unchanged demand.
        let _ = tokio::time::timeout_at(started + pause, entry.demand_changed.notified()).await;
    }
}

/// Asks the VM that paces an engine when a prompt may be sent; `None` when it does not answer in time.
pub async fn pace(entry: &Entry, take: &PaceTake) -> Option<PaceAnswer> {
    match entry.pacing_vm(&take.engine) {
        None => Some(entry.pace(take)),
        Some(address) => {
            let answer = call(entry, address, "pace", take, PACE_TIMEOUT).await;
            if let Err(e) = &answer {
                log::debug!("pace of {}: {e}", take.engine);
                entry.note_member_failed(address, now());
            }
            answer.ok()
        }
    }
}

/// Takes tokens from the coordinator's part if they will be there within `max_wait_ms`, and tells after how many
/// milliseconds; the inner error is the wait that was too long.
///
/// # Errors
///
/// Fails when no coordinator answers.
pub async fn take_quota(
    entry: &Entry,
    organisation: &str,
    tokens: f64,
    max_wait_ms: u64,
) -> Result<Result<u64, u64>, CallError> {
    let Some(hint) = entry.coordinator() else {
        return Err(CallError::NotRun("no coordinator is known".to_owned()));
    };
    let take = QuotaTake {
        organisation: organisation.to_owned(),
        tokens,
        max_wait_ms,
    };
    let asking = async {
        let _place = entry.quota_calls.acquire().await;
        call(entry, hint.address, "quota", &take, QUOTA_TIMEOUT).await
    };
    let answer: QuotaAnswer = timeout(QUOTA_TIMEOUT, asking)
        .await
        .map_err(|_elapsed| CallError::NotRun("too many calls wait for the coordinator".to_owned()))??;
    if !answer.coordinates {
        return Err(CallError::NotRun("the process does not coordinate any more".to_owned()));
    }
    Ok(if answer.granted {
        Ok(answer.wait_ms)
    } else {
        Err(answer.wait_ms)
    })
}
