//! Messages between entry processes, encoded with postcard.
//!
//! `exchange` gossips members, configuration, servers and the coordinator, so that a VM that cannot reach the store
//! receives them as well. `feed` passes on changes as they occur (see [`crate::feed`]). `report` sends waiting and
//! running requests to the coordinator. `quota` takes tokens from the coordinator's share of an organisation's rate
//! limit, `pace` reserves time on an engine for a prompt, `findings` pushes updates on prompts that crash backend servers
//! (see [`crate::findings`]), `limits` those of limits that servers name, `evacuations`
//! those of evacuated zones, `place` takes a place at such a server and
//! `outcome` tells what became of it, `begun` pushes records of streams, `origin` asks for one and `versions` for those
//! that may begin streams (see [`crate::streams`]), and `resign` announces the end of a coordinator's term. All messages
//! may be repeated safely: most replace earlier values, a lost answer to `quota`, `pace` or `place` only wastes what was
//! taken, and a repeated `outcome` only makes the server look fuller.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use guava_core::derive_value;
use guava_core::events::Event;
use guava_fleet::config_extension::ConfigExtension;
use guava_fleet::crashes::{CrashFindings, FindingsExtension};
use guava_fleet::departures::Departure;
use guava_fleet::health::{Outcomes, SharedFailure};
use guava_fleet::model::{BackendServer, Configuration, StoreRevision};
use guava_fleet::placement::{Demand, LackedModel, Need, OrderAges, Running, Wait};
use guava_fleet::server_limits::{NamedLimit, PlaceOutcome};
use guava_fleet::statements::Rest;
use guava_fleet::streams::RecordGroup;
use guava_platform::CallError;
use http::Request;
use rand::seq::IteratorRandom;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{sleep, timeout};

use crate::coordinator::Coordinator;
use crate::extension::{Appended, decode_extended, encode_extended};
use crate::feed::{self, ViewExtension};
use crate::log_event;
use crate::metrics;
use crate::state::{ColdKeeper, ColdLimit, CoordinatorHint, EntryState, Heartbeat, Member, NOT_THE_KEEPER_MS, now};

/// Interval between exchanges while the view of the store is fresh.
const EXCHANGE_INTERVAL_MS: u64 = 1_000;
/// Interval between exchanges while it is stale; bounds the delay until a VM receives what others know.
const EXCHANGE_WITHOUT_STORE_INTERVAL_MS: u64 = 300;
/// Age of the view of the store above which a process requests servers from others.
const STORE_STALE_MS: u64 = 2_500;
/// Upper bound of the members sent in one exchange to a process that does not know them.
const MAX_MEMBERS_SENT: usize = 32;
/// Upper bound of the heartbeats sent in one exchange, 6 bytes each. In fleets up to this size all are sent, so that
/// each heartbeat reaches all members within a few exchanges.
const MAX_HEARTBEATS_SENT: usize = 512;
/// Timeout of a message between entry processes.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for the answer of the VM that hands out a server's places.
const PLACE_TIMEOUT: Duration = Duration::from_millis(120);
/// VMs that are asked for a place before the request is asked to try again.
const MAX_KEEPERS: usize = 2;
/// Wait when none of them answers, in milliseconds.
const NO_KEEPER_WAIT_MS: u64 = 250;
/// Timeout for the answer of the VM that paces an engine; without an answer the prompt is sent at once.
const PACE_TIMEOUT: Duration = Duration::from_millis(60);
/// For each multiple of this number of VMs, the interval between reports grows by one step.
const VMS_PER_REPORT_STEP: u32 = 24;
/// Minimum time between two reports for each such step, also when the demand changes. A small fleet reports changes at
/// once.
const MIN_REPORT_GAP_STEP: Duration = Duration::from_millis(30);
/// Interval between reports to the coordinator in a small fleet; also the growth per step.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Processes to which updates are pushed. With four, 98 in 100 processes of a large fleet receive them by pushes.
const FAN_OUT: usize = 4;
/// In fleets with no more other processes than this, updates are pushed to all.
const SMALL_FLEET: usize = 8;
/// Timeout of a pushed message, which is not repeated.
const PUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which departures are batched before they are pushed.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Shortest rest that is reported, in milliseconds; no model is loaded elsewhere before a shorter one ends.
const MIN_REPORTED_REST_MS: u64 = 1_000;

derive_value! {
    /// State that one process sends another.
    pub struct Exchange {
        /// Sender.
        pub from: Member,
        /// Heartbeats of the live members known to the sender.
        #[serde(rename = "signs")]
        pub heartbeats: Vec<Heartbeat>,
        /// Members whose heartbeat the receiver has not sent; a random selection.
        pub members: Vec<Member>,
        /// Version of the sender's configuration; zero for none.
        pub config_version: u64,
        /// Latest era of the store that the sender knows; zero for none.
        pub era: u64,
        /// Store revision of the last change of the sender's servers; zero for none.
        pub servers_revision: StoreRevision,
        /// Servers that leave or have left.
        pub departures: Vec<Departure>,
        /// Last coordinator known to the sender.
        pub coordinator: Option<CoordinatorHint>,
        /// Configuration, if the receiver's is older.
        pub config: Option<Configuration>,
        /// Servers, if the receiver requested them and its own are older.
        pub servers: Option<Vec<BackendServer>>,
        /// Whether the sender's view of the store is stale and it requests servers.
        pub wants_servers: bool,
        /// Age of the sender's view of the store in milliseconds.
        pub age_ms: u64,
        /// Prompts that crash backend servers, with the open evidence.
        pub findings: CrashFindings,
        /// Limits that servers name.
        pub limits: Vec<NamedLimit>,
    }

    /// Regular report of a VM to the coordinator.
    pub struct Report {
        /// VM that reports.
        pub vm: String,
        /// Requests that wait for a model now, or that arrived since the last report.
        pub demand: Vec<Demand>,
        /// Running requests by server and model.
        pub running: Vec<Running>,
        /// Milliseconds since the store last answered this VM.
        pub store_age_ms: u64,
        /// Whether the VM has lost its links to all servers.
        pub is_cut_off: bool,
        /// Longest time, in milliseconds, until the next report.
        pub next_ms: u64,
        /// Outcomes of requests since the last report, for servers that failed.
        pub outcomes: Vec<Outcomes>,
        /// Rests that servers have asked the VM for, if they last longer than a short load, and servers that it cannot reach.
        pub rests: Vec<Rest>,
    }

    /// What a [`Report`] carries in addition; processes from before it do not send it.
    #[derive(Default)]
    pub struct ReportExtension {
        /// What the requests of each entry of the report's demand need, in the same order.
        pub needs: Vec<Need>,
        /// Models that servers turned out to lack.
        pub lacking: Vec<LackedModel>,
    }

    /// Announcement by a coordinator that its term has ended.
    pub struct Resign {
        /// Term that has ended.
        pub term: u64,
        /// Milliseconds since the last possible order to each engine.
        pub order_ages: OrderAges,
        /// VM that reached the store recently and competes for the lease first; `None` if the sender knows none.
        pub successor: Option<String>,
    }

    /// Answer to a report. Only valid if `coordinates` is set.
    pub struct ReportAnswer {
        /// Whether the receiver of the report is the coordinator.
        pub coordinates: bool,
        /// Running requests of all VMs by server.
        pub loads: Vec<(String, u32)>,
        /// Estimated times until models can take requests, for the models that requests of any VM wait for.
        pub waits: Vec<Wait>,
        /// Servers that fail for several VMs.
        pub failures: Vec<SharedFailure>,
    }

    /// Request to send a prompt to an engine.
    pub struct PaceRequest {
        /// Backend server that runs the engine.
        pub engine: String,
        /// Prompt tokens.
        pub tokens: u64,
        /// Longest gap between events, in milliseconds, that the route allows.
        pub gap_ms: u64,
        /// Longest time, in milliseconds, that the request can wait.
        pub max_wait_ms: u64,
    }

    /// When a prompt may be sent.
    pub struct PaceAnswer {
        /// Whether time on the engine was reserved for the prompt.
        pub granted: bool,
        /// Milliseconds until the prompt may be sent; if not granted, the wait that was too long.
        pub wait_ms: u64,
    }

    /// Request for a place at a server that names a limit.
    pub struct PlaceRequest {
        /// Limit as the sender knows it.
        pub named: NamedLimit,
        /// Longest time, in milliseconds, that the request can wait.
        pub max_wait_ms: u64,
    }

    /// Request for tokens from the coordinator's share of a rate limit.
    pub struct QuotaRequest {
        /// Organisation whose rate limit applies.
        pub organisation: String,
        /// Number of tokens, or of requests if the limit counts those.
        pub tokens: f64,
        /// Longest time, in milliseconds, that the request can wait for them.
        pub max_wait_ms: u64,
    }

    /// Answer to a request for tokens.
    pub struct QuotaAnswer {
        /// Whether the receiver of the request is the coordinator; otherwise nothing was taken.
        pub coordinates: bool,
        /// Whether the tokens were taken.
        pub granted: bool,
        /// Milliseconds until the tokens may be used; if not granted, until there would be enough.
        pub wait_ms: u64,
    }
}

/// Sends a message to another entry process.
///
/// # Errors
///
/// Fails when no answer arrives within `timeout` or the answer cannot be decoded.
pub async fn call<M: Serialize + Sync, A: DeserializeOwned>(
    state: &EntryState,
    address: SocketAddr,
    name: &str,
    message: &M,
    timeout: Duration,
) -> Result<A, CallError> {
    let (answer, ()) = call_extended(state, address, name, message, &(), timeout).await?;
    Ok(answer)
}

/// Sends a message with an extension to another entry process. The answer's extension is the default if that process is
/// of an older version.
///
/// # Errors
///
/// Fails when no answer arrives within `timeout` or the answer cannot be decoded.
pub async fn call_extended<M, E, A, X>(
    state: &EntryState,
    address: SocketAddr,
    name: &str,
    message: &M,
    extension: &E,
    timeout: Duration,
) -> Result<(A, X), CallError>
where
    M: Serialize + Sync,
    E: Serialize + Sync,
    A: DeserializeOwned,
    X: DeserializeOwned + Default,
{
    let body = encode_extended(message, extension);
    let sent = body.len();
    let req = Request::post(format!("/{name}"))
        .body(Bytes::from(body))
        .map_err(|e| CallError::NotRun(e.to_string()))?;
    let answer = state.clients.internal.call(address, req, timeout).await?;
    metrics::peer_bytes(name, sent, answer.body().len());
    if !answer.status().is_success() {
        return Err(CallError::NotRun(format!("status {}", answer.status())));
    }
    let decoded = decode_extended(answer.body());
    decoded.ok_or_else(|| CallError::Malformed(format!("answer of {} bytes to {name}", answer.body().len())))
}

/// Sends a message to a few live processes, in a small fleet to all, without waiting for their answers. They pass on what
/// is new to them.
pub fn push<M: Serialize + Send + Sync + 'static>(state: &Arc<EntryState>, name: &'static str, message: M) {
    let message = Arc::new(message);
    for address in state.random_peers(FAN_OUT, SMALL_FLEET, now()) {
        let (state, message) = (Arc::clone(state), Arc::clone(&message));
        tokio::spawn(async move {
            let pushed = call::<_, bool>(&state, address, name, &*message, PUSH_TIMEOUT).await;
            if let Err(e) = pushed {
                log::debug!("push of {name} to {address} failed: {e}");
            }
        });
    }
}

/// Pushes what servers have stated of their departure for as long as the process runs.
pub async fn push_departures(state: Arc<EntryState>) {
    loop {
        state.departures_learnt.notified().await;
        sleep(BATCH_DELAY).await;
        let mut departures = state.departures(now());
        departures.retain(|it| it.is_stated);
        if !departures.is_empty() {
            push(&state, "departures", departures);
        }
    }
}

/// Pushes what servers name as their limits for as long as the process runs.
pub async fn push_limits(state: Arc<EntryState>) {
    loop {
        state.limits_learnt.notified().await;
        sleep(BATCH_DELAY).await;
        let updates = state.take_limit_news(now());
        if !updates.is_empty() {
            push(&state, "limits", updates);
        }
    }
}

/// Pushes evacuations of zones, and their ends, for as long as the process runs.
pub async fn push_evacuations(state: Arc<EntryState>) {
    loop {
        state.evacuations_learnt.notified().await;
        if let Some(reported) = state.evacuations_snapshot(now()) {
            push(&state, "evacuations", reported);
        }
    }
}

/// Answers a message; `None` if its name is unknown or its body cannot be decoded.
pub async fn answer(
    state: &Arc<EntryState>,
    coordinator: &Arc<Coordinator>,
    name: &str,
    body: &[u8],
) -> Option<Vec<u8>> {
    let answer = match name {
        "exchange" => {
            let (mut received, extension) = decode_with::<Exchange, ExchangeExtension>(body)?;
            let extension = received.complete(extension);
            let (from, region) = (received.from.clone(), extension.region.clone());
            state.apply_view_extension(extension, "peer", now());
            let own = apply_exchange(state, received);
            state.record_region(&from, region);
            Some(encode_extended(&own, &own.extension(state)))
        }
        "report" => {
            let (report, extension) = decode_with(body)?;
            encode(&coordinator.handle_report(report, extension))
        }
        "feed" => {
            let (query, extension) = decode_with(body)?;
            let answer = feed::answer(state, &query, &extension).await;
            Some(encode_extended(
                &answer,
                &ViewExtension::of(state, answer.config.as_ref()),
            ))
        }
        "evacuations" => {
            state.apply_evacuations(decode(body)?, "push", now());
            encode(&true)
        }
        "resign" => encode(&coordinator.handle_resignation(decode(body)?)),
        "coordinator" => encode(&state.record_coordinator(decode(body)?)),
        "findings" => {
            let (mut findings, extension) = decode_with::<CrashFindings, FindingsExtension>(body)?;
            findings.complete(extension);
            state.apply_findings(findings);
            encode(&true)
        }
        "departures" => {
            state.apply_departures(decode(body)?, now());
            encode(&true)
        }
        "limits" => {
            state.apply_named_limits(decode(body)?, now());
            encode(&true)
        }
        "place" => encode(&state.take_place(decode(body)?)),
        "outcome" => {
            state.record_place_outcome(&decode(body)?);
            encode(&true)
        }
        "begun" => encode(&state.streams.merge(&decode::<Vec<RecordGroup>>(body)?)),
        "versions" => encode(&state.streams.confirmed()),
        "origin" => encode(&state.streams.answer_origin(&decode(body)?)),
        "pace" => encode(&state.reserve_pace(&decode(body)?)),
        "quota" => encode(&coordinator.handle_quota_request(&decode(body)?)),
        _ => return None,
    };
    metrics::peer_bytes(name, answer.as_ref().map_or(0, Vec::len), body.len());
    answer
}

fn encode<M: Serialize>(message: &M) -> Option<Vec<u8>> {
    postcard::to_stdvec(message).ok()
}

fn decode<M: DeserializeOwned>(body: &[u8]) -> Option<M> {
    let decoded = postcard::from_bytes(body);
    if let Err(e) = &decoded {
        log_event!(Event::PeerMessageRefused, "-", "bytes={} why={e}", body.len());
    }
    decoded.ok()
}

fn decode_with<M: DeserializeOwned, E: DeserializeOwned + Default>(body: &[u8]) -> Option<(M, E)> {
    let decoded = decode_extended(body);
    if decoded.is_none() {
        log_event!(
            Event::PeerMessageRefused,
            "-",
            "bytes={} why=cannot be decoded",
            body.len()
        );
    }
    decoded
}

/// Extension of [`Exchange`].
type ExchangeExtension = Appended<ViewExtension, FindingsExtension>;

impl Exchange {
    /// Adds to its configuration and its findings what came beside them; returns the rest.
    fn complete(&mut self, extension: ExchangeExtension) -> ViewExtension {
        let Appended { first, second } = extension;
        if let Some(config) = &mut self.config {
            ConfigExtension::complete(first.config.as_ref(), config);
        }
        self.findings.complete(second);
        first
    }

    /// What is sent beside it.
    fn extension(&self, state: &EntryState) -> ExchangeExtension {
        Appended {
            first: ViewExtension::of(state, self.config.as_ref()),
            second: self.findings.extension(),
        }
    }
}

fn build_exchange(state: &EntryState) -> Exchange {
    let at = now();
    Exchange {
        from: state.as_member(),
        heartbeats: state
            .heartbeats(at)
            .into_iter()
            .choose_multiple(&mut rand::rng(), MAX_HEARTBEATS_SENT),
        members: Vec::new(),
        config_version: state.config().map_or(0, |it| it.config.version),
        era: state.store_era(),
        servers_revision: state.servers_revision(),
        departures: state.departures(at),
        coordinator: state.coordinator(),
        config: None,
        servers: None,
        wants_servers: state.source_age_ms(at) > STORE_STALE_MS,
        age_ms: state.source_age_ms(at),
        findings: state.findings.summary(at),
        limits: state.named_limits(at),
    }
}

/// Applies an exchange and returns the reply, with what the sender lacks.
fn apply_exchange(state: &EntryState, received: Exchange) -> Exchange {
    let at = now();
    let mut own = build_exchange(state);
    let known: HashSet<u32> = received.heartbeats.iter().map(|it| it.key).collect();
    let members = state.members().into_iter().filter(|it| it.is_live(at));
    let unknown = members
        .map(|it| it.member)
        .filter(|it| !known.contains(&it.heartbeat_key()));
    own.members = unknown.choose_multiple(&mut rand::rng(), MAX_MEMBERS_SENT);
    if received.config_version < own.config_version {
        own.config = state.config().map(|it| (*it.config).clone());
    }
    if received.wants_servers && received.servers_revision < own.servers_revision {
        own.servers = Some(state.servers().iter().map(|it| it.without_copies()).collect());
    }
    state.record_member(received.from.clone(), Some(at));
    for member in received.members {
        state.record_member(member, None);
    }
    state.record_heartbeats(&received.heartbeats, at);
    if let Some(hint) = received.coordinator {
        state.record_coordinator(hint);
    }
    state.apply_findings(received.findings);
    state.apply_named_limits(received.limits, at);
    state.record_era(received.era, "peer", at);
    state.apply_departures(received.departures, at);
    let may_use = state.may_use_view(received.age_ms, at);
    if let Some(config) = received.config.filter(|_| may_use) {
        state.apply_config(config, "peer");
    }
    let is_newer = received.servers_revision > own.servers_revision;
    if let Some(servers) = received.servers.filter(|_| may_use && is_newer && own.wants_servers) {
        state.apply_server_list(servers, received.servers_revision, at);
    }
    own
}

/// Exchanges state with one process, and a second time if that process lacks a configuration or servers known here.
async fn exchange_with(state: &EntryState, address: SocketAddr) -> Result<(), CallError> {
    let own = build_exchange(state);
    let extension = own.extension(state);
    let (mut theirs, extension): (Exchange, ExchangeExtension) =
        call_extended(state, address, "exchange", &own, &extension, MESSAGE_TIMEOUT).await?;
    let extension = theirs.complete(extension);
    let (from, region) = (theirs.from.clone(), extension.region.clone());
    state.apply_view_extension(extension, "peer", now());
    let lacks_config = theirs.config_version < own.config_version;
    let lacks_servers = theirs.wants_servers && theirs.servers_revision < own.servers_revision;
    let missing = apply_exchange(state, theirs);
    state.record_region(&from, region);
    if lacks_config || lacks_servers {
        let extension = missing.extension(state);
        let _: (Exchange, ()) =
            call_extended(state, address, "exchange", &missing, &extension, MESSAGE_TIMEOUT).await?;
    }
    Ok(())
}

/// Exchanges state with randomly selected processes for as long as the process runs.
pub async fn run_gossip(state: Arc<EntryState>) {
    loop {
        let lacks_store = state.source_age_ms(now()) > STORE_STALE_MS;
        let address = {
            let mut addresses: Vec<SocketAddr> = state.members().iter().map(|it| it.member.address).collect();
            addresses.extend(
                state
                    .settings
                    .seeds
                    .iter()
                    .filter(|it| **it != state.settings.advertised),
            );
            addresses.into_iter().choose(&mut rand::rng())
        };
        if let Some(address) = address
            && let Err(e) = exchange_with(&state, address).await
        {
            log::debug!("exchange with {address} failed: {e}");
            state.record_member_failure(address, now());
        }
        let pause = if lacks_store {
            EXCHANGE_WITHOUT_STORE_INTERVAL_MS
        } else {
            EXCHANGE_INTERVAL_MS
        };
        let jitter = rand::random_range(0..pause / 4);
        sleep(Duration::from_millis(pause - jitter)).await;
    }
}

/// Reports to the coordinator for as long as the process runs, at once when a request starts to wait.
pub async fn run_reports(state: Arc<EntryState>, coordinator: Arc<Coordinator>) {
    loop {
        state.check_loads(now());
        // In a large fleet each VM reports less often, which bounds the coordinator's work. The random part spreads the
        // reports of VMs that learnt of the coordinator at the same time.
        let steps = state.vms() as u32 / VMS_PER_REPORT_STEP;
        let pause = REPORT_INTERVAL + (REPORT_INTERVAL * steps).mul_f64(rand::random_range(0.5..1.5));
        let (demand, running) = state.collect_needs();
        let (demand, needs): (Vec<Demand>, Vec<Need>) = demand.into_iter().unzip();
        let extension = ReportExtension {
            needs,
            lacking: state.lacked_models(now()),
        };
        let is_cut_off = state.is_cut_off(now());
        let mut outcomes = state.health.lock().take_outcomes();
        if is_cut_off {
            // Its own links are at fault.
            outcomes.clear();
        }
        let (reported, reported_at) = (running.clone(), now());
        let report = Report {
            vm: state.settings.vm.clone(),
            demand,
            running,
            store_age_ms: state.store_age_ms(now()),
            next_ms: pause.as_millis() as u64,
            outcomes,
            is_cut_off,
            rests: state.rests(MIN_REPORTED_REST_MS, now()),
        };
        let answer = if coordinator.coordinates() {
            Some(coordinator.handle_report(report, extension))
        } else if let Some(hint) = state.coordinator().filter(|it| it.vm != state.settings.vm) {
            let sending = call_extended(&state, hint.address, "report", &report, &extension, MESSAGE_TIMEOUT);
            let answer: Result<(ReportAnswer, ()), CallError> = sending.await;
            if let Err(e) = &answer {
                log::debug!("report to {} failed: {e}", hint.address);
            }
            answer.ok().map(|(answer, ())| answer)
        } else {
            None
        };
        if let Some(answer) = answer.filter(|it| it.coordinates) {
            // The reports of the other VMs, which send as often as this one, are half an interval old on average.
            let at = now();
            let age_ms = at.since(reported_at) + pause.as_millis() as u64 / 2;
            state.apply_loads(answer.loads, &reported, age_ms, at);
            state.apply_waits(answer.waits, now());
            state.apply_failures(answer.failures, now());
        }
        let started = tokio::time::Instant::now();
        sleep(MIN_REPORT_GAP_STEP * steps).await;
        // A timeout means that the demand has not changed.
        let _ = tokio::time::timeout_at(started + pause, state.demand_changed.notified()).await;
    }
}

/// Asks the VM that paces an engine when a prompt may be sent; `None` if it does not answer in time.
pub async fn request_pace(state: &EntryState, request: &PaceRequest) -> Option<PaceAnswer> {
    match state.assigned_vm(&request.engine) {
        None => Some(state.reserve_pace(request)),
        Some(address) => {
            let answer = call(state, address, "pace", request, PACE_TIMEOUT).await;
            if let Err(e) = &answer {
                log::debug!("pace request for {} failed: {e}", request.engine);
                state.record_member_failure(address, now());
            }
            answer.ok()
        }
    }
}

/// Takes a place at a server that names a limit from the VM that hands them out. If that VM does not answer, the next
/// one is asked.
pub async fn request_place(state: &EntryState, request: &PlaceRequest) -> PaceAnswer {
    for _ in 0..MAX_KEEPERS {
        let Some(address) = state.assigned_vm(&request.named.server) else {
            return state.take_place(request.clone());
        };
        match call(state, address, "place", request, PLACE_TIMEOUT).await {
            Ok(answer) => return answer,
            Err(e) => {
                log::debug!("request for a place at {} failed: {e}", request.named.server);
                state.record_member_failure(address, now());
            }
        }
    }
    PaceAnswer {
        granted: false,
        wait_ms: NO_KEEPER_WAIT_MS,
    }
}

/// Takes a place at a cold server from its keeper, within `max_wait_ms`. If the keeper does not answer, this VM takes its
/// turn. Returns the milliseconds until the request may be sent.
///
/// # Errors
///
/// Returns the milliseconds after which to ask again.
pub async fn request_cold_place(state: &EntryState, limit: &ColdLimit, max_wait_ms: u64) -> Result<u64, u64> {
    let request = PlaceRequest {
        named: limit.as_named(),
        max_wait_ms,
    };
    let answer = match state.cold_keeper(limit) {
        ColdKeeper::Own => Some(state.take_place(request)),
        ColdKeeper::Lost => None,
        ColdKeeper::Other(address) => {
            let answer: Result<PaceAnswer, CallError> = call(state, address, "place", &request, PLACE_TIMEOUT).await;
            if let Err(e) = &answer {
                log::debug!("request for a place at a cold server failed: {e}");
                state.record_member_failure(address, now());
            }
            answer.ok()
        }
    };
    match answer {
        Some(answer) if answer.granted => Ok(answer.wait_ms.min(max_wait_ms)),
        Some(answer) if answer.wait_ms < NOT_THE_KEEPER_MS => Err(answer.wait_ms),
        _ => state.reserve_cold_turn(limit, max_wait_ms),
    }
}

/// Tells the VM that hands out a server's places what became of a request, without waiting for its answer.
pub fn report_outcome(state: &Arc<EntryState>, outcome: PlaceOutcome) {
    let Some(address) = state.assigned_vm(&outcome.server) else {
        return state.record_place_outcome(&outcome);
    };
    let state = Arc::clone(state);
    tokio::spawn(async move {
        if let Err(e) = call::<_, bool>(&state, address, "outcome", &outcome, PLACE_TIMEOUT).await {
            log::debug!("outcome at {} was not reported: {e}", outcome.server);
        }
    });
}

/// Takes tokens from the coordinator's share if they become available within `max_wait_ms`. Returns the milliseconds
/// until they may be used; the inner error is the wait that was too long.
///
/// # Errors
///
/// Fails when no coordinator answers.
pub async fn request_quota(
    state: &EntryState,
    organisation: &str,
    tokens: f64,
    max_wait_ms: u64,
    call_timeout: Duration,
) -> Result<Result<u64, u64>, CallError> {
    let Some(hint) = state.coordinator() else {
        return Err(CallError::NotRun("no coordinator is known".to_owned()));
    };
    let request = QuotaRequest {
        organisation: organisation.to_owned(),
        tokens,
        max_wait_ms,
    };
    let exchange = async {
        let _permit = state.quota_calls.acquire().await;
        call(state, hint.address, "quota", &request, call_timeout).await
    };
    let answer: QuotaAnswer = timeout(call_timeout, exchange)
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
