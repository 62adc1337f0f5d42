//! State shared by the tasks of the process: its view of the deployment and the requests in flight.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use guava_core::events::Event;
use guava_core::rendezvous;
use guava_core::units::Millis;
use guava_fleet::budget::RetryBudget;
use guava_fleet::cold::{ColdServers, ColdTurns};
use guava_fleet::crashes::{CrashFindings, Decision};
use guava_fleet::departures::Departure;
use guava_fleet::health::{Health, SharedFailure};
use guava_fleet::load::Loads;
use guava_fleet::model::{BackendServer, Configuration, ServerState, StoreRevision};
use guava_fleet::pacing::Pacer;
use guava_fleet::placement::{EngineModels, LackedModel, MAX_PUBLISHED_LOADS, Running, Wait};
use guava_fleet::quota::Buckets;
use guava_fleet::routes::ActiveConfig;
use guava_fleet::server_limits::{NamedLimit, NamedLimits, PlaceKeeper, PlaceOutcome};
use guava_fleet::statements::{Obstacle, Rest, Statements};
use guava_fleet::zones::Zones;
use guava_platform::headers::Unreadable;
use guava_platform::settings::Settings;
use guava_platform::store::{MAX_ERA, Store};
use parking_lot::Mutex;
use rand::seq::IteratorRandom;
use rustix::time::{ClockId, clock_gettime};
use tokio::sync::{Notify, Semaphore, watch};

use crate::changes::Changes;
use crate::client::{Clients, StoreClient};
use crate::cluster_view::{ClusterView, EXPIRY_GRACE_MS, Places, STORE_OUTAGE_MS, ServerLife};
use crate::dispatch::MAX_LARGE_ANSWER_BLOCKS;
use crate::exclusion::Exclusion;
use crate::feed::{Applied, FeedAnswer, FeedQuery};
use crate::findings::Findings;
use crate::handover::NextVm;
use crate::intake::{ClientIntake, large_answer_blocks};
use crate::log_event;
use crate::peers::{PaceAnswer, PaceRequest, PlaceRequest};
use crate::streams::Streams;

mod cold;
mod in_flight;
mod members;
mod retries;
mod zones;

pub use cold::ColdLimit;
pub(crate) use cold::{ColdKeeper, NOT_THE_KEEPER_MS};
use in_flight::InFlight;
pub use in_flight::{RequestNeed, RunningGuard, WaitingGuard};
pub use members::{CoordinatorHint, Heartbeat, KnownMember, Member};
pub(crate) use members::{HEARTBEAT_AGE_UNIT_MS, MEMBER_TIMEOUT_MS};
pub use retries::TakenRetry;

/// A fleet with more VMs than this counts as large.
pub const LARGE_FLEET_VMS: usize = 24;

/// Time after its start, in milliseconds, for which a process waits for a fresh view before it uses a stale one.
const FRESH_VIEW_WAIT_MS: u64 = 2_000;

/// Limit on this VM's concurrent calls for tokens from the coordinator. Each needs its own connection; a slow
/// coordinator of 300 VMs ran out of file descriptors, which slowed it further.
const MAX_CONCURRENT_QUOTA_CALLS: usize = 8;
/// State shared by the tasks of the process.
#[derive(Debug)]
pub struct EntryState {
    /// Settings read at the start.
    pub settings: Settings,
    /// Start time of the process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Start time of the process on the clock of [`now`].
    started: Millis,
    /// Clients for calls with small answers.
    pub clients: Clients,
    /// The platform's store.
    pub store: Store,
    /// Permits for concurrent calls for tokens from the coordinator.
    pub quota_calls: Semaphore,
    /// Permits for blocks of large answers of backend servers.
    pub large_answers: Semaphore,
    /// What is held for callers.
    pub callers: Arc<ClientIntake>,
    /// What is held for other entry processes.
    pub peer_clients: Arc<ClientIntake>,
    /// This VM's shares of the organisations' rate limits.
    pub quota: Mutex<Buckets>,
    /// Paces prompts at the engines that are assigned to this VM.
    pacer: Mutex<Pacer>,
    /// Limits that servers name.
    named: Mutex<NamedLimits>,
    /// Places of the servers for which this VM hands them out.
    places: Mutex<PlaceKeeper>,
    /// Servers that are cold.
    cold: Mutex<ColdServers>,
    /// Turns of this VM at cold servers whose keeper it does not reach.
    cold_turns: Mutex<ColdTurns>,
    /// Whether the list of members has been read from the store.
    knows_members: AtomicBool,
    /// Health of backend servers as this VM observes it, with failures reported by others.
    pub health: Mutex<Health>,
    /// Load of backend servers, from the coordinator's counts and this VM's requests.
    pub loads: Mutex<Loads>,
    /// Prompts that crash backend servers, as far as any VM has found out.
    pub findings: Findings,
    /// Streams that began, for callers that take them up.
    pub streams: Streams,
    /// Notified when the coordinator should receive a report at once.
    pub demand_changed: Notify,
    /// Notified when a departure of a server has become known that was not in the store.
    pub departures_learnt: Notify,
    /// Notified when limits that servers name are to be sent to other VMs.
    pub limits_learnt: Notify,
    /// Notified when evacuated zones are to be sent to other VMs.
    pub evacuations_learnt: Notify,
    /// Notified when the list of members has been read from the store.
    pub members_listed: Notify,
    budgets: Mutex<HashMap<String, RetryBudget>>,
    view: Mutex<ClusterView>,
    in_flight: Mutex<InFlight>,
    changes: watch::Sender<u64>,
    /// Era of the store, for tasks that write again what a restored store has lost.
    eras: watch::Sender<u64>,
    stopping: AtomicBool,
    /// Requests of other VMs that are being served.
    handed_over: AtomicUsize,
    draining: watch::Sender<bool>,
    /// Time at which requests must have ended.
    requests_end: watch::Sender<Option<Millis>>,
}

impl EntryState {
    /// Creates the state of a process that starts now, with an empty view.
    pub fn new(settings: Settings, clients: Clients) -> Self {
        let store = Store::new(Arc::new(StoreClient(Arc::clone(&clients.internal))), settings.store);
        let mut view = ClusterView::new(settings.heartbeat_ms);
        if settings.has_evacuations {
            view.zones = Zones::starting(now());
        }
        Self {
            incarnation: wall_ms(),
            started: now(),
            store,
            clients,
            quota_calls: Semaphore::new(MAX_CONCURRENT_QUOTA_CALLS),
            large_answers: Semaphore::new(large_answer_blocks(&settings, MAX_LARGE_ANSWER_BLOCKS)),
            callers: ClientIntake::for_callers(&settings),
            peer_clients: ClientIntake::for_peers(&settings),
            quota: Mutex::default(),
            pacer: Mutex::default(),
            named: Mutex::default(),
            places: Mutex::default(),
            cold: Mutex::default(),
            cold_turns: Mutex::default(),
            knows_members: AtomicBool::new(false),
            health: Mutex::default(),
            loads: Mutex::default(),
            findings: Findings::default(),
            streams: Streams::default(),
            demand_changed: Notify::new(),
            departures_learnt: Notify::new(),
            limits_learnt: Notify::new(),
            evacuations_learnt: Notify::new(),
            members_listed: Notify::new(),
            budgets: Mutex::default(),
            view: Mutex::new(view),
            in_flight: Mutex::default(),
            changes: watch::Sender::new(0),
            eras: watch::Sender::new(0),
            stopping: AtomicBool::new(false),
            handed_over: AtomicUsize::new(0),
            draining: watch::Sender::new(false),
            requests_end: watch::Sender::new(None),
            settings,
        }
    }

    /// This process as it registers and gossips itself.
    pub fn as_member(&self) -> Member {
        Member {
            vm: self.settings.vm.clone(),
            address: self.settings.advertised,
            incarnation: self.incarnation,
            processor: self.settings.processor,
        }
    }

    /// Whether a graceful shutdown has begun. Readiness checks then fail.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins a graceful shutdown.
    pub fn begin_shutdown(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.signal_change();
    }

    /// Whether the balancer has had time to remove this VM, so that waiting requests should be refused.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Starts refusing waiting requests, so that their callers retry at other VMs.
    pub fn begin_draining(&self) {
        self.draining.send_replace(true);
        self.signal_change();
    }

    /// Waits until draining begins.
    pub async fn draining_begun(&self) {
        // Fails only when the process ends.
        let _ = self.draining.subscribe().wait_for(|it| *it).await;
    }

    /// Sets the time at which requests must have ended, because the process exits soon after.
    pub fn end_requests_at(&self, at: Millis) {
        self.requests_end.send_replace(Some(at));
    }

    /// Time at which requests must have ended; never unless a graceful shutdown has begun.
    pub fn requests_end(&self) -> Millis {
        self.requests_end.borrow().unwrap_or(Millis(u64::MAX))
    }

    /// Waits until the time at which requests must have ended.
    pub async fn requests_ended(&self) {
        // Fails only when the process ends.
        let _ = self.requests_end.subscribe().wait_for(Option::is_some).await;
        tokio::time::sleep(until(self.requests_end())).await;
    }

    /// Whether the process can serve requests: configuration and servers are known and no shutdown has begun.
    pub fn is_ready(&self) -> bool {
        let view = self.view.lock();
        view.config.is_some() && view.has_servers && !self.is_stopping()
    }

    /// Whether a list of all servers has been received.
    pub fn knows_servers(&self) -> bool {
        self.view.lock().has_servers
    }

    /// Returns a receiver that is notified of each change that may let a waiting request proceed, such as
    /// configuration, servers or placement.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Notifies the receivers of [`Self::subscribe`].
    pub fn signal_change(&self) {
        self.changes.send_modify(|it| *it += 1);
    }

    /// Whether a service is of model engines, by the configuration in force.
    pub fn is_engine(&self, service: &str) -> bool {
        let in_force = self.config();
        let service = in_force.as_ref().and_then(|it| it.config.services.get(service));
        service.is_some_and(|it| it.engine.is_some())
    }

    /// Configuration in force; `None` until the first one is received.
    pub fn config(&self) -> Option<Arc<ActiveConfig>> {
        self.view.lock().config.clone()
    }

    /// Puts a configuration in force if its version is higher than the current one. Returns whether it was. `source` is
    /// used in the log line.
    pub fn apply_config(&self, config: Configuration, source: &str) -> bool {
        // A request might leave the regions that it is bound to.
        if config.is_partial && self.settings.has_several_regions() {
            return false;
        }
        let version = config.version;
        let in_force = ActiveConfig::new(Arc::new(config));
        let (before, after) = {
            let mut view = self.view.lock();
            let before = view.config.clone();
            if !view.put_config(in_force) {
                return false;
            }
            (before, view.config.clone())
        };
        let withdrawn = match (&before, &after) {
            (Some(before), Some(after)) => before.keys_missing_in(after),
            _ => 0,
        };
        let before = before.map_or(0, |it| it.config.version);
        log_event!(
            Event::ConfigApplied,
            "-",
            "version={version} before={before} source={source} keys_withdrawn={withdrawn}"
        );
        self.signal_change();
        true
    }

    /// Records an answer of the store, which was given in `era`.
    pub fn record_store_contact(&self, era: u64, now: Millis) {
        self.record_era(era, "store", now);
        self.view.lock().record_store_contact(now);
    }

    /// Records the era of the store as far as `source` knows it. An earlier era never replaces a later one.
    pub fn record_era(&self, era: u64, source: &str, now: Millis) {
        if era > MAX_ERA {
            log_event!(
                Event::PeerMessageRefused,
                "-",
                "source={source} why=era {era} is too large"
            );
            return;
        }
        let (before, revision) = {
            let mut view = self.view.lock();
            (view.record_era(era, now), view.servers_revision())
        };
        if let Some(before) = before {
            log_event!(
                Event::StoreRestored,
                "-",
                "era={era} before={before} source={source} servers_revision={}.{}",
                revision.era,
                revision.number
            );
        }
        self.eras.send_if_modified(|it| {
            let is_later = era > *it;
            *it = era.max(*it);
            is_later
        });
    }

    /// Latest era of the store that is known; zero before its first answer.
    pub fn store_era(&self) -> u64 {
        *self.eras.borrow()
    }

    /// Returns a receiver that is notified of each new era of the store.
    pub fn subscribe_eras(&self) -> watch::Receiver<u64> {
        self.eras.subscribe()
    }

    /// Whether the whole deployment starts for the first time, so that the store has never had more than it has now.
    pub fn is_first_start(&self) -> bool {
        self.settings.is_first_start && !self.view.lock().has_seen_restore()
    }

    /// Logs when this process's view of the store has become stale, and when it is fresh again.
    pub fn check_freshness(&self, now: Millis) {
        let (change, source_age, store_age) = {
            let mut view = self.view.lock();
            (view.check_freshness(now), view.source_age(now), view.store_age(now))
        };
        match change {
            Some(false) => log_event!(
                Event::PlatformUnavailable,
                "-",
                "source_age_ms={source_age} store_age_ms={store_age}"
            ),
            Some(true) => log_event!(
                Event::PlatformAvailable,
                "-",
                "source_age_ms={source_age} store_age_ms={store_age} lapsed_entries_kept_ms={EXPIRY_GRACE_MS}"
            ),
            None => {}
        }
    }

    /// Milliseconds since the store last answered this process; `u64::MAX` if it never has.
    pub fn store_age_ms(&self, now: Millis) -> u64 {
        self.view.lock().store_age(now)
    }

    /// Records when the store last answered a follower.
    pub fn record_follower(&self, store_age_ms: u64, now: Millis) {
        self.view.lock().record_follower(store_age_ms, now);
    }

    /// Milliseconds since the store last answered one of this process's followers; `u64::MAX` if it never has.
    pub fn follower_store_age_ms(&self, now: Millis) -> u64 {
        self.view.lock().follower_store_age(now)
    }

    /// Milliseconds since the start of this process or the last change of the coordinator, whichever is later.
    pub fn rates_unsettled_ms(&self, now: Millis) -> u64 {
        now.since(self.started.max(self.view.lock().coordinator_since))
    }

    /// Milliseconds since the start of this process.
    pub fn uptime_ms(&self, now: Millis) -> u64 {
        now.since(self.started)
    }

    /// Time, in milliseconds, by which configuration and servers may be out of date.
    pub fn source_age_ms(&self, now: Millis) -> u64 {
        self.view.lock().source_age(now)
    }

    /// Age, in milliseconds, of the followed process's view of the store; `u64::MAX` before its first answer.
    pub fn feed_age_ms(&self, now: Millis) -> u64 {
        self.view.lock().feed_age(now)
    }

    /// Milliseconds since a process was known to be the coordinator; `u64::MAX` if none ever was.
    pub fn coordination_age_ms(&self, now: Millis) -> u64 {
        self.view.lock().coordination_age(now)
    }

    /// Records that this process is the coordinator now.
    pub fn record_own_coordination(&self, now: Millis) {
        self.view.lock().record_coordination(0, now);
    }

    /// Replaces all servers by a list read from the store at `revision`.
    pub fn apply_server_list(&self, list: Vec<BackendServer>, revision: StoreRevision, now: Millis) {
        self.observe_cold(&list, now);
        let is_change = self.view.lock().put_server_list(list, revision, now);
        self.log_old_entries();
        if is_change {
            self.signal_change();
        }
    }

    fn log_old_entries(&self) {
        let old_entries = self.view.lock().take_old_entries();
        for it in old_entries {
            log_event!(
                Event::EntryOutdated,
                "-",
                "server={} born_ms={} writes={} kept_writes={} unclear={} revision={}.{}",
                it.server,
                it.born_ms,
                it.writes,
                it.kept_writes.map_or_else(|| "-".to_owned(), |it| it.to_string()),
                it.is_unclear,
                it.revision.era,
                it.revision.number
            );
        }
    }

    /// Records that all changes of servers up to a store revision have been applied; zero for unknown.
    pub fn record_complete(&self, revision: StoreRevision) {
        self.view.lock().record_complete(revision);
    }

    /// Store revision up to which all changes of servers are in force here; `None` when unknown.
    pub fn complete_to(&self) -> Option<StoreRevision> {
        let view = self.view.lock();
        Some(view.complete_to()).filter(|it| it.number > 0 && it.era == view.era())
    }

    /// Whether the fleet is so large that simultaneous full lists for all VMs would saturate the store's or a VM's link
    /// for seconds.
    pub fn is_large_fleet(&self) -> bool {
        self.vms() > LARGE_FLEET_VMS
    }

    /// Applies a changed entry; `None` if it was removed or does not describe a usable server.
    pub fn apply_server(&self, id: &str, server: Option<BackendServer>, revision: StoreRevision, now: Millis) {
        self.observe_cold(server.as_slice(), now);
        let (is_change, known) = {
            let mut view = self.view.lock();
            let is_change = match server {
                Some(server) => view.put_server(server, revision, now),
                None => view.remove_server(id, revision, now),
            };
            (is_change, view.server(id).map(Arc::clone))
        };
        self.log_old_entries();
        if !is_change {
            return;
        }
        let revision = format!("{}.{}", revision.era, revision.number);
        match known.as_ref().map(|it| it.state) {
            Some(ServerState::Ready) => log_event!(
                Event::ServerListed,
                "-",
                "server={id} version={} revision={revision}",
                known.as_ref().and_then(|it| it.version.as_deref()).unwrap_or("-")
            ),
            Some(ServerState::Draining) => log_event!(Event::ServerLeaving, "-", "server={id} revision={revision}"),
            None => log_event!(Event::ServerEnded, "-", "server={id} revision={revision}"),
        }
        self.signal_change();
    }

    /// Removes servers whose entries were not renewed after an outage of the store, and makes those available whose
    /// withheld entries were. Drops limits of servers that nobody has confirmed for long.
    pub fn remove_expired(&self, now: Millis) {
        self.named.lock().remove_expired(now);
        self.remove_expired_cold(now);
        let (dropped, released) = {
            let mut view = self.view.lock();
            (view.remove_expired(now), view.release_withheld(now))
        };
        if dropped > 0 {
            log_event!(
                Event::ServerEnded,
                "-",
                "servers={dropped} reason=entry was not renewed"
            );
        }
        for id in &released {
            log_event!(
                Event::ServerListed,
                "-",
                "server={id} reason=withheld entry was renewed"
            );
        }
        if dropped > 0 || !released.is_empty() {
            self.signal_change();
        }
    }

    /// Known servers, in no particular order.
    pub fn servers(&self) -> Vec<Arc<BackendServer>> {
        self.view.lock().servers().map(Arc::clone).collect()
    }

    /// Number of known servers.
    pub fn server_count(&self) -> usize {
        self.view.lock().server_count()
    }

    /// Whether a server's process serves, leaves or has started anew, by the entries.
    pub fn life_of(&self, server: &BackendServer) -> ServerLife {
        self.view.lock().life_of(server)
    }

    /// Current entry of a server.
    pub fn server(&self, id: &str) -> Option<Arc<BackendServer>> {
        self.view.lock().server(id).map(Arc::clone)
    }

    /// Whether a known server accepts requests and satisfies `f`; true while no servers are known yet.
    pub fn has_ready_server(&self, f: impl Fn(&BackendServer) -> bool) -> bool {
        let view = self.view.lock();
        let mut ready = view.servers().filter(|it| it.state == ServerState::Ready);
        !view.has_servers || ready.any(|it| f(it))
    }

    /// Whether new requests may be sent to a server, by its current entry. False if the server was replaced.
    pub fn accepts_requests(&self, server: &BackendServer) -> bool {
        self.view.lock().accepts_requests(server)
    }

    /// Counter that grows with each server entry that is received or removed.
    pub fn server_updates(&self) -> u64 {
        self.view.lock().server_updates()
    }

    /// Store revision of the last change of servers; zero before the first list.
    pub fn servers_revision(&self) -> StoreRevision {
        let view = self.view.lock();
        if view.has_servers {
            view.servers_revision()
        } else {
            StoreRevision::default()
        }
    }

    /// Servers that leave or have left, for another process.
    pub fn departures(&self, now: Millis) -> Vec<Departure> {
        self.view.lock().departures(now)
    }

    /// Applies departures of servers that another process sends.
    pub fn apply_departures(&self, reported: Vec<Departure>, now: Millis) {
        let is_change = self.view.lock().put_departures(reported, now);
        self.log_old_entries();
        if is_change {
            self.departures_learnt.notify_one();
            self.signal_change();
        }
    }

    /// Records what a server states in an answer. `call` is the request's id, or the kind of call.
    pub fn record_statements(
        &self,
        call: &str,
        server: &BackendServer,
        stated: &Statements,
        unreadable: &[Unreadable],
    ) {
        let at = now();
        for it in unreadable {
            log_event!(
                Event::StatementUnreadable,
                call,
                "server={} header={} value={}",
                server.id,
                it.header,
                it.value
            );
        }
        if stated.is_leaving && self.view.lock().record_leaving(server, at) {
            log_event!(
                Event::LeavingStated,
                call,
                "server={} born_ms={}",
                server.id,
                server.born_ms
            );
            self.departures_learnt.notify_one();
            self.signal_change();
        }
        if self.named.lock().record(server, stated, at) {
            log_event!(
                Event::LimitNamed,
                call,
                "server={} per_s={} refusals={}",
                server.id,
                stated.per_s.map_or_else(|| "-".to_owned(), |it| it.to_string()),
                stated.refusals.map_or_else(|| "-".to_owned(), |it| it.to_string())
            );
            self.limits_learnt.notify_one();
        }
        if let Some(cold_ms) = stated.cold_ms {
            self.record_cold_stated(call, server, cold_ms, at);
        }
        if let Some(rest_ms) = stated.rest_ms
            && self.view.lock().record_rest(server, rest_ms, at)
        {
            log_event!(Event::RestStated, call, "server={} rest_ms={rest_ms}", server.id);
            self.signal_change();
        }
    }

    /// Limits that a server names; `None` if it names none.
    pub fn named_limit(&self, server: &BackendServer, now: Millis) -> Option<NamedLimit> {
        self.named.lock().of(server, now)
    }

    /// Limits that servers name, for the gossip of VMs.
    pub fn named_limits(&self, now: Millis) -> Vec<NamedLimit> {
        self.named.lock().summary(now)
    }

    /// Number of servers that name limits.
    pub fn limited_servers(&self) -> u64 {
        self.named.lock().count()
    }

    /// Takes the limits that are to be sent to other VMs at once.
    pub fn take_limit_news(&self, now: Millis) -> Vec<NamedLimit> {
        self.named.lock().drain_updates(now)
    }

    /// Merges limits that another VM sends.
    pub fn apply_named_limits(&self, reported: Vec<NamedLimit>, now: Millis) {
        if !reported.is_empty() && self.named.lock().merge(reported, now) {
            self.limits_learnt.notify_one();
        }
    }

    /// Takes a place at a server for which this VM hands them out.
    pub fn take_place(&self, request: PlaceRequest) -> PaceAnswer {
        let at = now();
        if cold::is_cold_key(&request.named.server) {
            return self.reserve_cold_place(&request, at);
        }
        let (live, vms) = {
            let view = self.view.lock();
            let live = view.members.values().filter(|it| it.is_live(at)).count() + 1;
            (live, view.members.len() + 1)
        };
        // The other VMs may live on where this one does not see them, and hand out places themselves.
        let share = live as f64 / vms as f64;
        let PlaceRequest { named, max_wait_ms } = request;
        let taken = self.places.lock().take(&named, share, max_wait_ms, at);
        self.apply_named_limits(vec![named], at);
        PaceAnswer {
            granted: taken.is_ok(),
            wait_ms: taken.unwrap_or_else(|wait| wait),
        }
    }

    /// Records what became of a request that was let through to a server.
    pub fn record_place_outcome(&self, outcome: &PlaceOutcome) {
        self.places.lock().record_outcome(outcome, now());
    }

    /// Records that a server that names a limit has no place for this VM's requests for a time, in milliseconds.
    pub fn record_no_place(&self, call: &str, server: &BackendServer, wait_ms: u64) {
        let at = now();
        if self.view.lock().record_rest(server, wait_ms, at) {
            log_event!(Event::NoPlace, call, "server={} wait_ms={wait_ms}", server.id);
        }
    }

    /// Records whether a connection to a server could be opened.
    pub fn record_connection(&self, call: &str, server: &BackendServer, error: Option<&str>) {
        let at = now();
        let left_out_ms = self.view.lock().record_connection(server, error.is_none(), at);
        if let (Some(why), Some(left_out_ms)) = (error, left_out_ms) {
            log_event!(
                Event::ServerUnreachable,
                call,
                "server={} left_out_ms={left_out_ms} why={why}",
                server.id
            );
        }
    }

    /// What a server has stated that speaks against sending it a request now: `leaving`, `rest` or `-`.
    pub fn stated(&self, server: &BackendServer, now: Millis) -> &'static str {
        let view = self.view.lock();
        if view.has_stated_leaving(server, now) {
            "leaving"
        } else if view.rest_ms(server, now).is_some() {
            "rest"
        } else {
            "-"
        }
    }

    /// Number of servers that have asked this VM for a rest that has not ended.
    pub fn resting_servers(&self) -> u64 {
        self.view.lock().rests(now()).len() as u64
    }

    /// Applies the coordinator's counts of running requests of all VMs by server. `reported` are those of this VM that
    /// they include, and `age_ms` is the mean age of the counts in milliseconds.
    pub fn apply_loads(&self, loads: Vec<(String, u32)>, reported: &[Running], age_ms: u64, now: Millis) {
        let mut own: HashMap<String, u32> = HashMap::new();
        for it in reported {
            *own.entry(it.server.clone()).or_default() += it.count;
        }
        let is_complete = loads.len() < MAX_PUBLISHED_LOADS;
        self.loads.lock().put_counts(loads, &own, is_complete, age_ms, now);
    }

    /// Logs when counts of running requests have been missing for long, and when they are received again.
    pub fn check_loads(&self, now: Millis) {
        let vms = self.vms();
        let change = self.loads.lock().missing_change(vms, self.started, now);
        match change {
            Some(true) => log_event!(Event::LoadsMissing, "-", "age_ms={}", self.loads_age_ms(now)),
            Some(false) => log_event!(Event::LoadsReceived, "-", "vms={vms}"),
            None => {}
        }
    }

    /// Age of the counts of running requests in milliseconds; without any, the time since this process has started.
    pub fn loads_age_ms(&self, now: Millis) -> u64 {
        let age = self.loads.lock().age_ms(now);
        age.unwrap_or_else(|| now.since(self.started))
    }

    /// Applies the coordinator's estimates of the time until models can take requests.
    pub fn apply_waits(&self, waits: Vec<Wait>, now: Millis) {
        self.view.lock().put_waits(waits, now);
        self.signal_change();
    }

    /// Applies failures of servers that other VMs reported, and logs those that were unknown here.
    pub fn apply_failures(&self, failures: Vec<SharedFailure>, now: Millis) {
        let unknown = self.health.lock().put_shared(now, failures);
        for it in unknown {
            log_event!(
                Event::ServerAvoided,
                "-",
                "server={} why=fails for other VMs vms={} failing={:.2} age_ms={}",
                it.server,
                it.vms,
                it.failing,
                it.age_ms
            );
        }
    }

    /// Least time, in milliseconds, until a model can take requests that are bound to `version`, or any if that is `None`;
    /// `None` without a recent estimate.
    pub fn wait_ms(&self, service: &str, model: &str, version: Option<&str>, now: Millis) -> Option<u64> {
        self.view.lock().wait_ms(service, model, version, now)
    }

    /// Applies changes of the placement; `None` confirms that it is current as of `version`.
    pub fn apply_placement(&self, version: (u64, u64), placed: Option<Changes<EngineModels>>, now: Millis) {
        match placed {
            Some(changes) => {
                self.view.lock().put_placement(version, changes, now);
                self.signal_change();
            }
            None => self.view.lock().confirm_placement(version, now),
        }
    }

    /// Returns what a follower lacks; `None` if there is nothing.
    pub fn feed_if_changed(&self, query: &FeedQuery) -> Option<FeedAnswer> {
        let answer = self.feed_answer(query);
        let has_changes = answer.config.is_some()
            || answer.servers.is_some()
            || answer.placed.is_some()
            || answer.coordinator.is_some();
        has_changes.then_some(answer)
    }

    /// Builds the answer to a follower, with what it lacks if anything.
    pub fn feed_answer(&self, query: &FeedQuery) -> FeedAnswer {
        let mut view = self.view.lock();
        let config = view.config.as_ref();
        let config = config.filter(|it| it.config.version > query.config_version);
        let known = query.change.filter(|_| query.source == self.incarnation);
        let has_changed = known != Some(view.last_server_change()) && view.has_servers;
        let is_older = view.known_revision() < query.servers_revision;
        let known_placed = query.placed_change.filter(|_| query.source == self.incarnation);
        let has_placed = view.placed_version().0 > 0 && known_placed != Some(view.last_placement_change());
        let servers = (has_changed && !is_older).then(|| view.server_changes_since(known));
        let is_whole = servers.as_ref().is_some_and(|it| it.is_whole);
        FeedAnswer {
            coordinator: view.coordinator.as_ref().filter(|it| it.term > query.term).cloned(),
            config: config.map(|it| (*it.config).clone()),
            servers,
            departures: if is_whole { view.departures(now()) } else { Vec::new() },
            placed: has_placed.then(|| view.placement_changes_since(known_placed)),
            ..self.empty_answer(&view)
        }
    }

    /// Builds an answer to a follower that holds only the age and version of this process's view.
    pub fn feed_age_answer(&self) -> FeedAnswer {
        self.empty_answer(&self.view.lock())
    }

    fn empty_answer(&self, view: &ClusterView) -> FeedAnswer {
        let at = now();
        FeedAnswer {
            source: self.incarnation,
            age_ms: view.source_age(at),
            era: view.era(),
            coordination_age_ms: view.coordination_age(at),
            coordinator: None,
            config: None,
            servers: None,
            departures: Vec::new(),
            revision: view.servers_revision(),
            complete_to: view.complete_to(),
            placed_version: view.placed_version(),
            placed: None,
        }
    }

    /// Applies an answer of the process that this one follows, as far as it is newer than what is known here.
    pub fn apply_feed(&self, answer: FeedAnswer, now: Millis) -> Applied {
        self.record_era(answer.era, "feed", now);
        if let Some(hint) = answer.coordinator {
            self.record_coordinator(hint);
        }
        if !self.may_use_view(answer.age_ms, now) {
            return Applied::default();
        }
        if let Some(config) = answer.config {
            self.apply_config(config, "feed");
        }
        let (is_newer, is_change) = {
            let mut view = self.view.lock();
            view.record_feed_age(answer.age_ms, now);
            view.record_coordination(answer.coordination_age_ms, now);
            let is_newer = answer.revision.max(answer.complete_to) >= view.servers_revision();
            let servers = answer.servers.filter(|_| is_newer);
            let mut is_change = view.put_departures(answer.departures, now);
            is_change |= servers.is_some_and(|it| view.put_server_changes(it, answer.revision, now));
            if is_newer {
                view.record_complete(answer.complete_to);
            }
            (is_newer, is_change)
        };
        self.log_old_entries();
        if is_change {
            self.signal_change();
        }
        if answer.placed_version.0 > 0 {
            self.apply_placement(answer.placed_version, answer.placed, now);
        }
        Applied {
            servers: is_newer,
            placement: true,
        }
    }

    /// Whether another process's view of the given age may be used here. After the start of this process a stale one,
    /// which may hold servers that have left and withdrawn keys, is used only if no fresh one is received soon.
    pub fn may_use_view(&self, age_ms: u64, now: Millis) -> bool {
        age_ms <= STORE_OUTAGE_MS || now.since(self.started) > FRESH_VIEW_WAIT_MS
    }

    /// Records that a server turned out not to hold a model, or its adapter if one is named. The next report informs the
    /// coordinator.
    pub fn record_missing_model(&self, server: &str, model: &str, adapter: Option<&str>, now: Millis) {
        self.view.lock().record_missing_model(server, model, adapter, now);
        self.demand_changed.notify_one();
    }

    /// Records that a server has turned a request for a model away as full.
    pub fn record_full_server(&self, server: &str, model: &str, now: Millis) {
        self.view.lock().record_full_server(server, model, now);
    }

    /// Whether the entry of a server or its models in the placement have changed or were confirmed after `since`.
    pub fn has_changed_since(&self, server: &str, since: Millis) -> bool {
        self.view.lock().has_changed_since(server, since)
    }

    /// Models that servers turned out not to hold although their entry or the placement says so.
    pub fn lacked_models(&self, now: Millis) -> Vec<LackedModel> {
        self.view.lock().lacked_models(now)
    }

    /// Whether new requests may be sent to a server now: it accepts them, and has not asked this VM for a rest.
    pub fn takes_requests(&self, server: &BackendServer, now: Millis) -> bool {
        self.view.lock().takes_requests(server, now)
    }

    /// Numbers of servers of a service that accept requests and satisfy `may_use`.
    pub fn places(
        &self,
        service: &str,
        model: Option<(&str, Option<&str>)>,
        may_use: impl Fn(&BackendServer) -> bool,
        now: Millis,
    ) -> Places {
        self.view.lock().places(service, model, may_use, now)
    }

    /// Why no server of a service that satisfies `may_use` takes a request now; `None` if it is not known that none does.
    pub fn obstacle(
        &self,
        service: &str,
        model: Option<(&str, Option<&str>)>,
        may_use: impl Fn(&BackendServer) -> bool,
        now: Millis,
    ) -> Option<Obstacle> {
        self.view.lock().obstacle(service, model, may_use, now)
    }

    /// Rests that servers have asked this VM for and that last for `min_ms` milliseconds or longer, and servers that cannot
    /// be reached.
    pub fn rests(&self, min_ms: u64, now: Millis) -> Vec<Rest> {
        let view = self.view.lock();
        let mut rests = view.rests(now);
        rests.retain(|it| it.left_ms >= min_ms);
        // What a VM that has lost its own links cannot reach says nothing of the servers.
        if !view.is_cut_off(now) {
            rests.extend(view.unreachable(now));
        }
        rests
    }

    /// Whether this VM has probably lost its links to all servers.
    pub fn is_cut_off(&self, now: Millis) -> bool {
        self.view.lock().is_cut_off(now)
    }

    /// Live VM selected at random, other than those `asked` before, whose region is allowed; `None` stands for a region that
    /// is not known.
    pub fn random_vm(
        &self,
        asked: &[String],
        is_allowed: impl Fn(Option<&String>) -> bool,
        now: Millis,
    ) -> Option<NextVm> {
        let view = self.view.lock();
        let live = view.members.values().filter(|it| it.is_live(now));
        let others = live.filter(|it| !asked.contains(&it.member.vm) && is_allowed(view.region_of(&it.member)));
        others.choose(&mut rand::rng()).map(|it| NextVm {
            vm: it.member.vm.clone(),
            address: it.member.address,
        })
    }

    /// Requests of other VMs that are being served.
    pub fn handed_over(&self) -> usize {
        self.handed_over.load(Ordering::Relaxed)
    }

    /// Counts a request of another VM as being served until the guard is dropped.
    pub fn track_handed_over(self: &Arc<Self>) -> HandedOverGuard {
        self.handed_over.fetch_add(1, Ordering::Relaxed);
        HandedOverGuard(Arc::clone(self))
    }

    /// Number of servers to which this VM cannot open a connection.
    pub fn unreachable_servers(&self) -> u64 {
        self.view.lock().unreachable(now()).len() as u64
    }

    /// Requests that a server runs or has queued, from all VMs, as far as they are known.
    pub fn load_of(&self, server: &str) -> u32 {
        let own = self.running_by_server().get(server).copied().unwrap_or(0);
        own + self.loads.lock().others(server)
    }

    /// Ready servers of a service that can take a request, with their running requests of all VMs. `model` is the model
    /// and its adapter; `None` for a plain service.
    pub fn candidates(
        &self,
        service: &str,
        model: Option<(&str, Option<&str>)>,
        now: Millis,
    ) -> Vec<(Arc<BackendServer>, u32)> {
        let own = self.running_by_server();
        let view = self.view.lock();
        let loads = self.loads.lock();
        let with_load = view.available(service, model, now).map(|it| {
            let id = &it.id;
            let own_now = own.get(id).copied().unwrap_or(0);
            (Arc::clone(it), own_now.saturating_add(loads.others(id)))
        });
        with_load.collect()
    }

    /// Why a server takes no new request for a model now; `None` if it does.
    pub fn exclusion(
        &self,
        server: &BackendServer,
        model: Option<(&str, Option<&str>)>,
        now: Millis,
    ) -> Option<Exclusion> {
        self.view.lock().exclusion(server, model, now)
    }

    /// Reserves time for a prompt at an engine that this VM paces.
    pub fn reserve_pace(&self, request: &PaceRequest) -> PaceAnswer {
        let reserved = self.pacer.lock().reserve(
            now(),
            &request.engine,
            request.tokens,
            request.gap_ms,
            request.max_wait_ms,
        );
        PaceAnswer {
            granted: reserved.is_ok(),
            wait_ms: reserved.unwrap_or_else(|wait| wait),
        }
    }

    /// Address of the live VM to which a key is assigned, such as an engine that it paces; `None` if it is this VM.
    pub fn assigned_vm(&self, key: &str) -> Option<SocketAddr> {
        let at = now();
        let view = self.view.lock();
        let live = view.members.values().filter(|it| it.is_live(at));
        let best = live.max_by_key(|it| rendezvous::weight(key, &it.member.vm))?;
        let own = rendezvous::weight(key, &self.settings.vm);
        (rendezvous::weight(key, &best.member.vm) > own).then_some(best.member.address)
    }

    /// Decides on a request by its identity and the shared parts of its prompt.
    pub fn check_prompt(&self, parts: &[String]) -> Decision {
        self.findings
            .check(now(), parts, |part| self.assigned_vm(part).is_none())
    }

    /// Applies what another process has found out about prompts.
    pub fn apply_findings(&self, findings: CrashFindings) {
        if self.findings.merge(now(), findings) {
            self.signal_change();
        }
    }
}

/// Keeps a request of another VM counted; see [`EntryState::track_handed_over`].
#[derive(Debug)]
pub struct HandedOverGuard(Arc<EntryState>);

impl Drop for HandedOverGuard {
    fn drop(&mut self) {
        self.0.handed_over.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Current time on a clock that also counts suspended time, so that a lease expires during a suspension.
pub fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    Millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}

/// Wall time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |it| it.as_millis() as u64)
}

/// Time from now until `at`; zero if it has passed.
pub fn until(at: Millis) -> Duration {
    Duration::from_millis(at.since(now()))
}
