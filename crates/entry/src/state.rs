//! What this process believes, and the requests that it has in hand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use guava_core::derive_value;
use guava_core::events::Event;
use guava_core::rendezvous;
use guava_core::units::Millis;
use guava_fleet::budget::{BudgetLimits, RetryBudget};
use guava_fleet::health::{Health, SharedFailure};
use guava_fleet::model::{BackendServer, Configuration, ServerState};
use guava_fleet::pacing::Pacer;
use guava_fleet::placement::{Demand, Placed, Running, Wait};
use guava_fleet::quota::Buckets;
use guava_fleet::routes::InForce;
use guava_platform::Http;
use guava_platform::settings::Settings;
use guava_platform::store::Store;
use parking_lot::Mutex;
use rustix::time::{ClockId, clock_gettime};
use tokio::sync::{Notify, Semaphore, watch};

use crate::changes::Changes;
use crate::client::StoreClient;
use crate::cluster_view::{ClusterView, LAPSE_GRACE_MS};
use crate::feed::{FeedAnswer, FeedQuery};
use crate::log_event;
use crate::metrics;
use crate::peers::{PaceAnswer, PaceTake};

/// Silence of a member from which on it does not count as live. In a fleet of 300, signs of life reach all others within
/// about six seconds.
pub(crate) const MEMBER_SILENT_MS: u64 = 8_000;

/// VMs from which on a fleet counts as large.
pub const LARGE_FLEET: usize = 24;

/// Unit of the age in signs of life.
pub(crate) const SIGN_AGE_MS: u64 = 100;

/// Calls of this VM to the central part of the rates at the same time. Each needs a connection of its own, and a slow
/// coordinator before 300 VMs ran out of descriptors, which made it slower.
const QUOTA_CALLS_AT_ONCE: usize = 8;

derive_value! {
    /// Another entry process.
    pub struct Member {
        /// VM that it runs on.
        pub vm: String,
        /// Address for other entry processes.
        pub address: SocketAddr,
        /// Start time of the process in milliseconds since the epoch.
        pub incarnation: u64,
        /// Processor time that the VM has, in hundredths of a core.
        pub processor: u32,
    }

    /// Sign of life of a process, in few bytes: each exchange tells hundreds.
    pub struct Sign {
        /// [`Member::key`] of the process.
        pub key: u32,
        /// Time since then in tenths of a second.
        pub age: u8,
    }

    /// Who coordinates, as far as is known.
    pub struct CoordinatorHint {
        /// VM.
        pub vm: String,
        /// Address for other entry processes.
        pub address: SocketAddr,
        /// Term of its lease.
        pub term: u64,
    }
}

impl Member {
    /// Stands for this life of the process in signs of life. Two of 1,500 members share one once in 4,000 fleets; a
    /// dead one of them then counts as live until a call to it fails.
    pub fn key(&self) -> u32 {
        rendezvous::weight(&self.vm, &self.incarnation.to_string()) as u32
    }
}

/// Member and when it was last heard.
#[derive(Debug, Clone)]
pub struct KnownMember {
    /// Member.
    pub member: Member,
    /// When it last answered or sent something.
    pub heard: Option<Millis>,
    /// When a call to it last failed.
    pub failed: Option<Millis>,
}

impl KnownMember {
    /// Takes a sign of life from the given time.
    pub(crate) fn hear(&mut self, heard: Option<Millis>, now: Millis) {
        let was_live = self.is_live(now);
        self.heard = self.heard.max(heard);
        if self.failed.is_some_and(|it| heard.is_some_and(|heard| heard > it)) {
            self.failed = None;
        }
        if !was_live && self.is_live(now) {
            let (vm, incarnation) = (&self.member.vm, self.member.incarnation);
            let heard_ms = self.heard.map_or(0, |it| now.since(it));
            log_event!(
                Event::MemberUp,
                "-",
                "member={vm} incarnation={incarnation} heard_ms_ago={heard_ms}"
            );
        }
    }

    /// Whether the member has been heard of lately and answers.
    pub fn is_live(&self, now: Millis) -> bool {
        let is_heard = self.heard.is_some_and(|it| now.since(it) < MEMBER_SILENT_MS);
        is_heard && self.failed.is_none()
    }
}

/// Requests in hand.
#[derive(Debug, Default)]
struct InHand {
    running: HashMap<(String, String), u32>,
    waiting: HashMap<ModelKey, Vec<Millis>>,
    arrived: HashMap<ModelKey, Arrived>,
}

/// Service, model and adapter.
type ModelKey = (String, String, Option<String>);

/// Requests for a model since the last report.
#[derive(Debug, Default, Clone, Copy)]
struct Arrived {
    count: u32,
    prompt_tokens: u64,
}

/// Shared state of the process.
#[derive(Debug)]
pub struct Entry {
    /// Settings.
    pub settings: Settings,
    /// Start of the process in milliseconds since the epoch.
    pub incarnation: u64,
    /// Client for calls with small answers.
    pub http: Arc<dyn Http>,
    /// Platform's store.
    pub store: Store,
    /// Places for calls to the central part of the organisations' rates.
    pub quota_calls: Semaphore,
    /// Local part of the organisations' rates.
    pub quota: Mutex<Buckets>,
    /// Pace of prompts at the engines that this VM paces.
    pacer: Mutex<Pacer>,
    /// Health of backend servers.
    pub health: Mutex<Health>,
    /// Wakes the task that reports demand.
    pub demand_changed: Notify,
    /// Signalled when the store has told the members.
    pub members_listed: Notify,
    budgets: Mutex<HashMap<String, RetryBudget>>,
    believed: Mutex<ClusterView>,
    in_hand: Mutex<InHand>,
    changes: watch::Sender<u64>,
    stopping: AtomicBool,
    closing: AtomicBool,
}

impl Entry {
    /// State at the start of the process.
    pub fn new(settings: Settings, http: Arc<dyn Http>) -> Self {
        let store = Store::new(Arc::new(StoreClient(Arc::clone(&http))), settings.store);
        Self {
            incarnation: wall_ms(),
            store,
            http,
            quota_calls: Semaphore::new(QUOTA_CALLS_AT_ONCE),
            quota: Mutex::default(),
            pacer: Mutex::default(),
            health: Mutex::default(),
            demand_changed: Notify::new(),
            members_listed: Notify::new(),
            budgets: Mutex::default(),
            believed: Mutex::default(),
            in_hand: Mutex::default(),
            changes: watch::Sender::new(0),
            stopping: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            settings,
        }
    }

    /// This process as a member.
    pub fn me(&self) -> Member {
        Member {
            vm: self.settings.vm.clone(),
            address: self.settings.advertised,
            incarnation: self.incarnation,
            processor: self.settings.processor,
        }
    }

    /// Whether the process is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins a graceful shutdown.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.wake();
    }

    /// Whether the balancer's notice has passed and requests that wait should go elsewhere.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Sends waiting requests elsewhere.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Relaxed);
        self.wake();
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        let believed = self.believed.lock();
        believed.config.is_some() && believed.has_servers && !self.is_stopping()
    }

    /// Signals each change of configuration, servers or placement.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn wake(&self) {
        self.changes.send_modify(|it| *it += 1);
    }

    /// Configuration in force.
    pub fn config(&self) -> Option<Arc<InForce>> {
        self.believed.lock().config.clone()
    }

    /// Puts a configuration in force unless the one in force is as new; true when it was newer.
    pub fn apply_config(&self, config: Configuration, source: &str) -> bool {
        let version = config.version;
        let in_force = InForce::new(Arc::new(config));
        let (before, after) = {
            let mut believed = self.believed.lock();
            let before = believed.config.clone();
            if !believed.put_config(in_force) {
                return false;
            }
            (before, believed.config.clone())
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
        self.wake();
        true
    }

    /// Notes an answer of the store.
    pub fn note_store_contact(&self, now: Millis) {
        self.believed.lock().note_store_contact(now);
    }

    /// Logs when what this process knows of the store has become old, and when it is fresh again.
    pub fn check_source(&self, now: Millis) {
        let (change, source_age, store_age) = {
            let mut believed = self.believed.lock();
            (
                believed.check_source(now),
                believed.source_age(now),
                believed.store_age(now),
            )
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
                "source_age_ms={source_age} store_age_ms={store_age} lapsed_entries_kept_ms={LAPSE_GRACE_MS}"
            ),
            None => {}
        }
    }

    /// Time since the store last answered this process.
    pub fn store_age_ms(&self, now: Millis) -> u64 {
        self.believed.lock().store_age(now)
    }

    /// Time for which configuration and servers may be out of date.
    pub fn source_age_ms(&self, now: Millis) -> u64 {
        self.believed.lock().source_age(now)
    }

    /// Age of the view of the store that the process that this one follows has told.
    pub fn feed_age_ms(&self, now: Millis) -> u64 {
        self.believed.lock().feed_age(now)
    }

    /// Time since a process was known to coordinate.
    pub fn coordination_age_ms(&self, now: Millis) -> u64 {
        self.believed.lock().coordination_age(now)
    }

    /// Notes that this process coordinates.
    pub fn note_coordinates(&self, now: Millis) {
        self.believed.lock().note_coordination(0, now);
    }

    /// Replaces all servers by a list of the store at `revision`.
    pub fn apply_server_list(&self, list: Vec<BackendServer>, revision: u64, now: Millis) {
        if self.believed.lock().put_list(list, revision, now) {
            self.wake();
        }
    }

    /// Notes that all changes of servers up to a revision of the store were applied.
    pub fn note_complete(&self, revision: u64) {
        self.believed.lock().note_complete(revision);
    }

    /// Revision from which on this process need only learn changes of servers.
    pub fn complete_to(&self) -> Option<u64> {
        Some(self.believed.lock().complete_to()).filter(|it| *it > 0)
    }

    /// Whether whole lists for every VM at once would take the store's link or a VM's link for seconds.
    pub fn is_large_fleet(&self) -> bool {
        self.vms() > LARGE_FLEET
    }

    /// Applies one changed entry; `None` when it was removed or names no usable server.
    pub fn apply_server(&self, id: &str, server: Option<BackendServer>, revision: u64, now: Millis) {
        let state = server.as_ref().map(|it| it.state);
        let is_change = {
            let mut believed = self.believed.lock();
            believed.servers_revision = believed.servers_revision.max(revision);
            match server {
                Some(server) => believed.put_server(server),
                None => believed.drop_server(id, now),
            }
        };
        if !is_change {
            return;
        }
        match state {
            Some(ServerState::Ready) => log_event!(Event::ServerListed, "-", "server={id} revision={revision}"),
            Some(ServerState::Draining) => log_event!(Event::ServerLeaving, "-", "server={id} revision={revision}"),
            None => log_event!(Event::ServerEnded, "-", "server={id} revision={revision}"),
        }
        self.wake();
    }

    /// Drops servers whose entries did not come back after the store's return.
    pub fn drop_lapsed(&self, now: Millis) {
        let dropped = self.believed.lock().drop_lapsed(now);
        if dropped > 0 {
            log_event!(
                Event::ServerEnded,
                "-",
                "servers={dropped} reason=entry did not come back"
            );
            self.wake();
        }
    }

    /// Known servers.
    pub fn servers(&self) -> Vec<Arc<BackendServer>> {
        self.believed.lock().servers().map(Arc::clone).collect()
    }

    /// Grows with every entry of a server that was taken or removed.
    pub fn entries_taken(&self) -> u64 {
        self.believed.lock().entries_taken()
    }

    /// Revision at which the servers last changed.
    pub fn servers_revision(&self) -> u64 {
        let believed = self.believed.lock();
        if believed.has_servers {
            believed.servers_revision
        } else {
            0
        }
    }

    /// Takes the loads of all servers from the coordinator.
    pub fn apply_loads(&self, loads: Vec<(String, u32)>) {
        let own = self.running_by_server();
        let mut believed = self.believed.lock();
        believed.loads = loads.into_iter().collect();
        believed.own_then = own;
    }

    /// Takes the times until models can take requests.
    pub fn apply_waits(&self, waits: Vec<Wait>, now: Millis) {
        self.believed.lock().put_waits(waits, now);
        self.wake();
    }

    /// Takes what other VMs saw of servers that fail.
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

    /// Least time until a model can take requests; `None` when nobody has told it of late.
    pub fn wait_ms(&self, service: &str, model: &str, now: Millis) -> Option<u64> {
        self.believed.lock().wait_ms(service, model, now)
    }

    /// Takes changes of what engines hold, or that there are none.
    pub fn apply_placement(&self, version: (u64, u64), placed: Option<Changes<Placed>>, now: Millis) {
        match placed {
            Some(changes) => {
                self.believed.lock().put_placement(version, changes, now);
                self.wake();
            }
            None => self.believed.lock().confirm_placement(version, now),
        }
    }

    /// What a follower lacks; `None` when it lacks nothing.
    pub fn news_for(&self, query: &FeedQuery) -> Option<FeedAnswer> {
        let answer = self.feed_for(query);
        let has_news = answer.config.is_some() || answer.servers.is_some() || answer.placed.is_some();
        has_news.then_some(answer)
    }

    /// State of the feed for a follower, with what it lacks.
    pub fn feed_for(&self, query: &FeedQuery) -> FeedAnswer {
        let believed = self.believed.lock();
        let config = believed.config.as_ref();
        let config = config.filter(|it| it.config.version > query.config_version);
        let known = query.change.filter(|_| query.source == self.incarnation);
        let has_changed = known != Some(believed.change()) && believed.has_servers;
        let known_placed = query.placed_change.filter(|_| query.source == self.incarnation);
        let placed_version = believed.placed_version();
        let has_placed = placed_version.0 > 0 && known_placed != Some(believed.placed_change());
        FeedAnswer {
            source: self.incarnation,
            age_ms: believed.source_age(now()),
            coordination_age_ms: believed.coordination_age(now()),
            config: config.map(|it| (*it.config).clone()),
            servers: has_changed.then(|| believed.changes_since(known)),
            revision: believed.servers_revision,
            complete_to: believed.complete_to(),
            placed_version,
            placed: has_placed.then(|| believed.placed_since(known_placed)),
        }
    }

    /// Takes an answer of the process that this one follows.
    pub fn apply_feed(&self, answer: FeedAnswer, now: Millis) {
        if let Some(config) = answer.config {
            self.apply_config(config, "feed");
        }
        let is_change = {
            let mut believed = self.believed.lock();
            believed.note_source(answer.age_ms, now);
            believed.note_coordination(answer.coordination_age_ms, now);
            let servers = answer.servers;
            let is_change = servers.is_some_and(|it| believed.put_changes(it, answer.revision, now));
            believed.note_complete(answer.complete_to);
            is_change
        };
        if is_change {
            self.wake();
        }
        if answer.placed_version.0 > 0 {
            self.apply_placement(answer.placed_version, answer.placed, now);
        }
    }

    /// Notes that a server turned out not to hold a model.
    pub fn note_missing(&self, server: &str, model: &str, now: Millis) {
        self.believed.lock().note_missing(server, model, now);
    }

    /// Servers of a service that can take a request for the model, with their load.
    pub fn candidates(
        &self,
        service: &str,
        model: Option<(&str, Option<&str>)>,
        now: Millis,
    ) -> Vec<(Arc<BackendServer>, u32)> {
        let own = self.running_by_server();
        let believed = self.believed.lock();
        let ready = believed
            .servers()
            .filter(|it| it.service == service && it.state == ServerState::Ready);
        let able = ready.filter(|it| model.is_none_or(|(name, adapter)| believed.holds(it, name, adapter, now)));
        let loaded = able.map(|it| {
            let id = &it.id;
            let own_now = own.get(id).copied().unwrap_or(0);
            let own_then = believed.own_then.get(id).copied().unwrap_or(0);
            let others = believed.loads.get(id).copied().unwrap_or(0).saturating_sub(own_then);
            (Arc::clone(it), own_now + others)
        });
        loaded.collect()
    }

    /// Tells when a prompt may be sent to an engine that this VM paces.
    pub fn pace(&self, take: &PaceTake) -> PaceAnswer {
        let reserved = self
            .pacer
            .lock()
            .reserve(now(), &take.engine, take.tokens, take.gap_ms, take.max_wait_ms);
        PaceAnswer {
            granted: reserved.is_ok(),
            wait_ms: reserved.unwrap_or_else(|wait| wait),
        }
    }

    /// Address of the VM that paces an engine; `None` when it is this one.
    pub fn pacing_vm(&self, engine: &str) -> Option<SocketAddr> {
        let at = now();
        let believed = self.believed.lock();
        let live = believed.members.values().filter(|it| it.is_live(at));
        let best = live.max_by_key(|it| rendezvous::weight(engine, &it.member.vm))?;
        let own = rendezvous::weight(engine, &self.settings.vm);
        (rendezvous::weight(engine, &best.member.vm) > own).then_some(best.member.address)
    }

    /// Takes one repeated send to a service from the budget.
    pub fn try_repeat(&self, service: &str, now: Millis) -> bool {
        let limits = BudgetLimits {
            ratio: self.settings.retry_ratio,
            slack: self.settings.retry_slack,
            window_ms: self.settings.retry_window_ms,
            vms: self.vms(),
        };
        let mut budgets = self.budgets.lock();
        budgets.entry(service.to_owned()).or_default().try_repeat(now, limits)
    }

    /// Counts a request of a caller towards the retry budget of a service.
    pub fn note_request(&self, service: &str, now: Millis) {
        let mut budgets = self.budgets.lock();
        budgets.entry(service.to_owned()).or_default().note_request(now);
    }

    /// VMs that may take callers' requests, this one included.
    pub fn vms(&self) -> usize {
        self.believed.lock().members.len() + 1
    }

    /// Notes a member and when it gave a sign of life; a later incarnation replaces an earlier one.
    pub fn note_member(&self, member: Member, heard: Option<Millis>) {
        if member.vm == self.settings.vm {
            return;
        }
        let at = now();
        let mut believed = self.believed.lock();
        let known = believed
            .members
            .entry(member.vm.clone())
            .or_insert_with(|| KnownMember {
                member: member.clone(),
                heard: None,
                failed: None,
            });
        if member.incarnation > known.member.incarnation {
            known.member = member;
            known.failed = None;
        }
        known.hear(heard, at);
    }

    /// Takes signs of life of members; those of unknown members are passed over.
    pub fn note_signs(&self, signs: &[Sign], now: Millis) {
        self.believed.lock().note_signs(signs, now);
    }

    /// Signs of life of the members that were heard of late and of this process.
    pub fn signs(&self, now: Millis) -> Vec<Sign> {
        let mut signs = self.believed.lock().signs(now);
        signs.push(Sign {
            key: self.me().key(),
            age: 0,
        });
        signs
    }

    /// Notes that a call to a member failed.
    pub fn note_member_failed(&self, address: SocketAddr, now: Millis) {
        let mut believed = self.believed.lock();
        for known in believed.members.values_mut().filter(|it| it.member.address == address) {
            known.failed = Some(now);
        }
    }

    /// Removes members that `keep` refuses.
    pub fn retain_members(&self, keep: impl Fn(&KnownMember) -> bool) -> Vec<String> {
        let mut believed = self.believed.lock();
        let gone: Vec<String> = believed
            .members
            .values()
            .filter(|it| !keep(it))
            .map(|it| it.member.vm.clone())
            .collect();
        for vm in &gone {
            believed.members.remove(vm);
        }
        gone
    }

    /// Other members.
    pub fn members(&self) -> Vec<KnownMember> {
        self.believed.lock().members.values().cloned().collect()
    }

    /// Who coordinates.
    pub fn coordinator(&self) -> Option<CoordinatorHint> {
        self.believed.lock().coordinator.clone()
    }

    /// Notes who coordinates; an earlier term never replaces a later one.
    pub fn note_coordinator(&self, hint: CoordinatorHint) {
        let mut believed = self.believed.lock();
        let known = believed.coordinator.as_ref().map_or(0, |it| it.term);
        if hint.term < known || believed.coordinator.as_ref() == Some(&hint) {
            return;
        }
        log_event!(
            Event::CoordinatorChanged,
            "-",
            "coordinator={} term={}",
            hint.vm,
            hint.term
        );
        believed.coordinator = Some(hint);
        drop(believed);
        self.demand_changed.notify_one();
    }

    /// Demand and running requests for the coordinator; resets the count of arrivals.
    pub fn take_report(&self) -> (Vec<Demand>, Vec<Running>) {
        let mut in_hand = self.in_hand.lock();
        let mut arrived = std::mem::take(&mut in_hand.arrived);
        let mut demand: Vec<Demand> = Vec::new();
        for (key, since) in &in_hand.waiting {
            let arrived = arrived.remove(key).unwrap_or_default();
            demand.push(demand_of(key.clone(), since, arrived));
        }
        demand.extend(arrived.into_iter().map(|(key, arrived)| demand_of(key, &[], arrived)));
        let running = in_hand.running.iter().map(|((server, model), count)| Running {
            server: server.clone(),
            model: model.clone(),
            count: *count,
        });
        (demand, running.collect())
    }

    fn running_by_server(&self) -> HashMap<String, u32> {
        let in_hand = self.in_hand.lock();
        let mut counts = HashMap::new();
        for ((server, _), count) in &in_hand.running {
            *counts.entry(server.clone()).or_default() += count;
        }
        counts
    }

    /// Requests that wait for a model.
    pub fn waiting(&self) -> u64 {
        self.in_hand.lock().waiting.values().map(|it| it.len() as u64).sum()
    }

    /// Requests that run at backend servers.
    pub fn running(&self) -> u64 {
        self.in_hand.lock().running.values().map(|it| u64::from(*it)).sum()
    }

    /// Counts an arrival for a model.
    pub fn note_arrival(&self, service: &str, model: &str, adapter: Option<&str>, prompt_tokens: u64) {
        let key = (service.to_owned(), model.to_owned(), adapter.map(str::to_owned));
        let mut in_hand = self.in_hand.lock();
        let arrived = in_hand.arrived.entry(key).or_default();
        arrived.count += 1;
        arrived.prompt_tokens += prompt_tokens;
    }

    /// Counts a request as waiting for a model until the guard is dropped.
    pub fn wait_for_model(self: &Arc<Self>, service: &str, model: &str, adapter: Option<&str>) -> WaitingGuard {
        let key = (service.to_owned(), model.to_owned(), adapter.map(str::to_owned));
        let since = now();
        self.in_hand.lock().waiting.entry(key.clone()).or_default().push(since);
        self.demand_changed.notify_one();
        WaitingGuard {
            entry: Arc::clone(self),
            key,
            since,
        }
    }

    /// Counts a request as running at a server until the guard is dropped.
    pub fn run_at(self: &Arc<Self>, server: &str, model: Option<&str>) -> RunningGuard {
        let key = (server.to_owned(), model.unwrap_or_default().to_owned());
        *self.in_hand.lock().running.entry(key.clone()).or_default() += 1;
        RunningGuard {
            entry: Arc::clone(self),
            key,
        }
    }
}

fn demand_of(key: ModelKey, waiting: &[Millis], arrived: Arrived) -> Demand {
    let (service, model, adapter) = key;
    Demand {
        service,
        model,
        adapter,
        waiting: waiting.len() as u32,
        oldest_ms: waiting.iter().min().map_or(0, |it| now().since(*it)),
        arrived: arrived.count,
        prompt_tokens: arrived.prompt_tokens,
    }
}

/// Counts a waiting request; see [`Entry::wait_for_model`].
#[derive(Debug)]
pub struct WaitingGuard {
    entry: Arc<Entry>,
    key: ModelKey,
    since: Millis,
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        metrics::model_wait(now().since(self.since));
        let mut in_hand = self.entry.in_hand.lock();
        let Some(waiting) = in_hand.waiting.get_mut(&self.key) else {
            return;
        };
        if let Some(at) = waiting.iter().position(|it| *it == self.since) {
            waiting.swap_remove(at);
        }
        if waiting.is_empty() {
            in_hand.waiting.remove(&self.key);
        }
    }
}

/// Counts a running request; see [`Entry::run_at`].
#[derive(Debug)]
pub struct RunningGuard {
    entry: Arc<Entry>,
    key: (String, String),
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        decrement(&mut self.entry.in_hand.lock().running, &self.key);
    }
}

fn decrement<K: std::hash::Hash + Eq>(counts: &mut HashMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

/// Time on the clock that also counts suspensions, so that a lease runs out during one.
pub fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    Millis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}

/// Milliseconds since the epoch.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as u64)
}

/// Time from now until `at`.
pub fn until(at: Millis) -> Duration {
    Duration::from_millis(at.since(now()))
}
