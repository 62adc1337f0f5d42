//! Origin of streams that callers take up: the service and the software version that brought the first event.
//!
//! The table of versions in the store shows it while one version of a service is in play; each look-up reads the table.
//! Otherwise the records of single streams do. While the table does not show the origin, processes push their new
//! records to others and copy them to the store, from which they are found after a loss of power of all VMs. Nothing
//! waits for a record to be sent. The decisions are in [`guava_fleet::streams`].

use std::collections::{HashMap, HashSet};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future;
use guava_core::derive_value;
use guava_core::events::Event;
use guava_core::units::Millis;
use guava_fleet::model::{RouteKind, StoreRevision};
use guava_fleet::streams::{
    MAX_SENT, RecordGroup, RecordedOrigin, Records, Serving, TAKE_UP_MS, TableChange, VersionKey, VersionTable,
    Versions, keepers, shard, stream_key,
};
use guava_platform::CallError;
use guava_platform::store::Written;
use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::coordinator::Coordinator;
use crate::log_event;
use crate::metrics;
use crate::peers;
use crate::state::{EntryState, now, wall_ms};

/// Kind of the table of versions.
const TABLE_KIND: &str = "guava-versions";
const TABLE_NAME: &str = "services";
/// Kind of the copies of records, each named by its VM.
pub(crate) const COPY_KIND: &str = "guava-streams";
/// Largest era of a store that was not restored yet.
const FIRST_ERA: u64 = 1;
/// Processes that are asked for the versions that they have found in the table, while the store does not answer.
const ASKED_PEERS: usize = 2;
/// Longest time for which a look-up runs.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(290);
/// Time that a look-up waits for the table; a healthy store answers in 4 ms.
const TABLE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time that a look-up waits for other processes.
const PEER_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of a pushed message, which is not repeated.
const PUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// In fleets with no more other processes than this, each process receives all records.
const SMALL_FLEET: usize = 8;
/// Interval at which the view is observed, also without a change.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);
/// Least time between two observations, for each VM beyond it the same in tenths.
const OBSERVE_GAP: Duration = Duration::from_millis(20);
/// Time within which a process other than the coordinator adds a version, for each VM of the fleet; spreads the writes.
const WRITE_SPREAD_PER_VM_MS: u64 = 10;
/// Pause between two reads of a process that waits for another one to add a version, in milliseconds.
const TABLE_POLL_MS: u64 = 60;
/// Longest pause after failed or fruitless calls for the table, in milliseconds.
const MAX_TABLE_PAUSE_MS: u64 = 3_000;
/// Interval, in milliseconds, at which the table is read while it does not tell the origin of streams.
const UNSETTLED_READ_MS: u64 = 5_000;
/// The same for each VM of a large fleet.
const UNSETTLED_READ_PER_VM_MS: u64 = 100;
/// Time in which records are batched before they are pushed.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Added to it for each VM.
const BATCH_DELAY_PER_VM: Duration = Duration::from_millis(1);
/// Least time between two writes of a copy, in milliseconds.
const COPY_INTERVAL_MS: u64 = 500;
/// The same for each VM: all together write at most 250 copies a second.
const COPY_INTERVAL_PER_VM_MS: u64 = 4;
/// Least time between two lists of the copies by one process, in milliseconds.
const LIST_INTERVAL_MS: u64 = 500;
/// The same for each VM.
const LIST_INTERVAL_PER_VM_MS: u64 = 20;
/// Characters of a record in a copy: its key and its age in seconds.
const KEY_CHARS: usize = 16;
const RECORD_CHARS: usize = KEY_CHARS + 2;

derive_value! {
    /// Question for the record of a stream.
    pub struct OriginQuery {
        /// Key of the attempt.
        pub key: u64,
    }

    /// What a process knows of a stream.
    pub struct OriginAnswer {
        /// Its record, if there is one.
        pub groups: Vec<RecordGroup>,
        /// Whether its records differ.
        pub is_ambiguous: bool,
    }

    /// Copy of a VM's records.
    struct StoredCopy {
        /// Wall time of the write in milliseconds since the Unix epoch.
        written_ms: u64,
        /// Records by version.
        groups: Vec<StoredGroup>,
    }

    /// Records of one version in the store.
    struct StoredGroup {
        service: String,
        version: Option<String>,
        /// For each record, the key of the attempt and the seconds since its first event, in hexadecimal.
        records: String,
    }
}

/// Where a stream began, as far as it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// The first event came from a server of this service and software version.
    Known {
        /// Service of the server.
        service: String,
        /// Software version of the server.
        version: String,
    },
    /// Not known for certain; the text says why.
    Unknown(&'static str),
}

/// Table of versions as the store answered it.
#[derive(Debug, Clone)]
struct ReadTable {
    era: u64,
    /// Revision of the object; `None` if it does not exist.
    revision: Option<StoreRevision>,
    /// The table; `None` if there is none or it cannot be used.
    table: Option<VersionTable>,
}

/// Calls that answer all that waited when they began.
#[derive(Debug)]
struct SharedCall<T> {
    requested: AtomicU64,
    /// Number of requests that the last call answers, when it began, and its result.
    last: tokio::sync::Mutex<Option<(u64, Millis, Option<T>)>>,
}

impl<T> Default for SharedCall<T> {
    fn default() -> Self {
        Self {
            requested: AtomicU64::new(0),
            last: tokio::sync::Mutex::new(None),
        }
    }
}

impl<T: Clone> SharedCall<T> {
    /// Result of a call that begins after this request; `None` if it fails or if the last one began less than
    /// `min_interval_ms` ago.
    async fn get(&self, min_interval_ms: u64, call: impl Future<Output = Option<T>>) -> Option<T> {
        let request = self.requested.fetch_add(1, Ordering::SeqCst) + 1;
        let mut last = self.last.lock().await;
        let at = now();
        if let Some((answered, began, result)) = &*last {
            if *answered >= request {
                return result.clone();
            }
            if at.since(*began) < min_interval_ms {
                return None;
            }
        }
        let answered = self.requested.load(Ordering::SeqCst);
        // A caller that gives up while the call runs leaves no result behind.
        *last = Some((0, at, None));
        let result = call.await;
        *last = Some((answered, at, result.clone()));
        result
    }
}

#[derive(Debug, Default)]
struct Known {
    versions: Versions,
    /// Records of streams that began at this VM.
    own: Records,
    /// Records that others told.
    reported: Records,
    /// Own records that are to be pushed.
    outbox: HashSet<u64>,
    /// Services whose records are not shared, because the table shows their origin.
    settled: HashSet<String>,
    /// Whether there are own records that the copy in the store lacks.
    has_uncopied: bool,
}

/// Streams that began, and the software versions that may begin streams.
#[derive(Debug, Default)]
pub struct Streams {
    known: Mutex<Known>,
    has_news: Notify,
    table_reads: SharedCall<ReadTable>,
    copy_lists: SharedCall<()>,
}

impl Streams {
    /// Whether a stream that callers may take up may begin at a server of this version.
    pub fn may_begin(&self, service: &str, version: Option<&str>) -> bool {
        self.known.lock().versions.may_begin(now(), service, version)
    }

    /// Records that the first event of the stream of `attempt` came from a server of this version.
    pub fn record_begun(&self, now: Millis, attempt: &str, service: &str, version: Option<&str>) {
        let key = stream_key(attempt);
        let is_shared = {
            let mut known = self.known.lock();
            known.own.record(now, key, service, version, now);
            let is_shared = !known.settled.contains(service);
            if is_shared && known.outbox.len() < MAX_SENT {
                known.outbox.insert(key);
            }
            known.has_uncopied |= known.versions.needs_copies(service);
            is_shared
        };
        if is_shared {
            self.has_news.notify_one();
        }
    }

    /// Number of records of this VM and of others.
    pub fn record_count(&self) -> u64 {
        let known = self.known.lock();
        (known.own.len() + known.reported.len()) as u64
    }

    /// Records a table of versions that the store holds; `began` is when the call began that found or wrote it.
    pub fn record_table(&self, began: Millis, table: &VersionTable) -> bool {
        let changes = self.known.lock().versions.record_table(now(), began, table);
        let has_changed = !changes.is_empty();
        for change in changes {
            log_table_change(&change, table);
        }
        has_changed
    }

    /// Observes the versions of the servers in the view of this process, and which services are settled.
    pub fn observe(&self, state: &EntryState, at: Millis) {
        let tracked = tracked_services(state);
        let servers = state.servers();
        let serving = servers.iter().filter(|it| tracked.contains(it.service.as_str()));
        let serving: HashSet<Serving<'_>> = serving
            .map(|it| Serving {
                service: &it.service,
                version: it.version.as_deref(),
            })
            .collect();
        let mut known = self.known.lock();
        let (view_age_ms, era) = (state.source_age_ms(at), state.store_era());
        known.versions.observe(at, serving, view_age_ms, era);
        let is_settled = |it: &&String| known.versions.is_settled(at, it);
        let settled: HashSet<String> = tracked.iter().filter(is_settled).cloned().collect();
        let has_unsettled = known.settled.iter().any(|it| !settled.contains(it));
        let before = std::mem::replace(&mut known.settled, settled);
        if has_unsettled {
            known.share_all(&before);
            drop(known);
            self.has_news.notify_one();
        }
    }

    /// Whether all servers of a service run one software version, as far as a fresh view and the table show.
    pub fn is_settled(&self, at: Millis, service: &str) -> bool {
        self.known.lock().versions.is_settled(at, service)
    }

    /// Record of a stream, for another process.
    pub fn answer_origin(&self, query: &OriginQuery) -> OriginAnswer {
        let at = now();
        let known = self.known.lock();
        let is_ambiguous = matches!(known.origin(at, query.key), Some((RecordedOrigin::Ambiguous, _)));
        let mut groups = known.own.groups(at, [query.key]);
        groups.extend(known.reported.groups(at, [query.key]));
        OriginAnswer { groups, is_ambiguous }
    }

    /// Versions that may begin streams here, for a process that cannot read the table.
    pub fn confirmed(&self) -> Vec<VersionKey> {
        self.known.lock().versions.confirmed(now())
    }

    /// Merges records that another process pushes.
    pub fn merge(&self, groups: &[RecordGroup]) -> bool {
        self.known.lock().reported.merge(now(), groups) > 0
    }
}

fn log_table_change(change: &TableChange, table: &VersionTable) {
    let (change, entry) = match change {
        TableChange::Joined(entry) => ("joined", Some(entry)),
        TableChange::Left(entry) => ("left", Some(entry)),
        TableChange::Incomplete => ("incomplete", None),
        TableChange::Complete => ("complete", None),
    };
    log_event!(
        Event::VersionsChanged,
        "-",
        "change={change} service={} version={} era={} complete={} versions={}",
        entry.map_or("-", |it| it.service.as_str()),
        entry.and_then(|it| it.version.as_deref()).unwrap_or("-"),
        table.era,
        table.is_complete,
        table.entries.len()
    );
}

impl Known {
    /// Origin of a stream by the records, and its age.
    fn origin(&self, at: Millis, key: u64) -> Option<(RecordedOrigin, u64)> {
        match (self.own.get(at, key), self.reported.get(at, key)) {
            (Some((own, age)), Some((reported, _))) if own == reported => Some((own, age)),
            (Some((_, age)), Some(_)) => Some((RecordedOrigin::Ambiguous, age)),
            (own, reported) => own.or(reported),
        }
    }

    /// Puts all own records of services that are not settled any more into the outbox.
    fn share_all(&mut self, settled_before: &HashSet<String>) {
        let is_shared = |it: &u64| {
            let service = self.own.service(*it);
            service.is_some_and(|it| settled_before.contains(it) && !self.settled.contains(it))
        };
        let keys: Vec<u64> = self.own.latest().filter(is_shared).take(MAX_SENT).collect();
        self.has_uncopied |= !keys.is_empty();
        self.outbox.extend(keys);
    }
}

/// Services whose servers may answer with streams.
fn tracked_services(state: &EntryState) -> HashSet<String> {
    let Some(config) = state.config() else {
        return HashSet::new();
    };
    let services = config.config.services.iter();
    let with_engine = services.filter(|(_, it)| it.engine.is_some()).map(|(name, _)| name);
    let routes = config.config.routes.iter().filter(|it| it.kind == RouteKind::Streaming);
    let targets = routes.flat_map(|it| it.targets.iter().map(|(name, _)| name));
    with_engine.chain(targets).cloned().collect()
}

/// Finds out where the stream of `attempt` began; `services` are those to which its route leads now.
pub async fn find_origin(state: &Arc<EntryState>, services: &[&str], attempt: &str) -> Origin {
    let key = stream_key(attempt);
    let mut evidence = Evidence::default();
    let found = timeout(LOOKUP_TIMEOUT, search(state, services, key, &mut evidence)).await;
    let (origin, result) = found.unwrap_or((Origin::Unknown("it was not found in time"), "late"));
    metrics::origin_lookup(result);
    if let Origin::Unknown(why) = &origin {
        log_event!(
            Event::OriginUnknown,
            "-",
            "attempt={attempt} why={why} table_era={} era={} revision={} versions={} age_ms={}",
            evidence.table_era,
            evidence.era,
            evidence.revision,
            evidence.versions,
            evidence.age_ms
        );
    }
    origin
}

/// What a look-up decided on.
#[derive(Debug, Default)]
struct Evidence {
    table_era: u64,
    era: u64,
    revision: u64,
    versions: usize,
    /// Age of the record, if there is one.
    age_ms: u64,
}

async fn search(
    state: &Arc<EntryState>,
    services: &[&str],
    key: u64,
    evidence: &mut Evidence,
) -> (Origin, &'static str) {
    if let Some(found) = recorded(state, key, "memory", evidence) {
        return found;
    }
    let is_settled = {
        let known = state.streams.known.lock();
        services.iter().all(|it| known.settled.contains(*it))
    };
    let read = timeout(TABLE_TIMEOUT, read_table_after_now(state));
    let asked = async {
        if !is_settled {
            ask_others(state, key).await;
        }
    };
    let (read, ()) = future::join(read, asked).await;
    if let Some(found) = recorded(state, key, "peer", evidence) {
        return found;
    }
    let why = match read.ok().flatten() {
        None => "the store does not answer",
        Some(read) => {
            evidence.era = read.era;
            evidence.revision = read.revision.map_or(0, |it| it.number);
            let table = read.table.unwrap_or_default();
            evidence.table_era = table.era;
            evidence.versions = services.iter().map(|it| table.version_count(it)).sum();
            match services {
                [service] => match table.only_version(service, read.era) {
                    Ok(version) => {
                        let (service, version) = ((*service).to_owned(), version.to_owned());
                        return (Origin::Known { service, version }, "table");
                    }
                    Err(why) => why,
                },
                _ => "the route leads to several services",
            }
        }
    };
    if is_settled {
        ask_others(state, key).await;
        if let Some(found) = recorded(state, key, "peer", evidence) {
            return found;
        }
    }
    list_copies(state).await;
    recorded(state, key, "store", evidence).unwrap_or((Origin::Unknown(why), "unknown"))
}

/// Origin by the records of this process, and the result for the metric.
fn recorded(
    state: &EntryState,
    key: u64,
    source: &'static str,
    evidence: &mut Evidence,
) -> Option<(Origin, &'static str)> {
    let (origin, age_ms) = state.streams.known.lock().origin(now(), key)?;
    evidence.age_ms = age_ms;
    let RecordedOrigin::At(name) = origin else {
        return Some((Origin::Unknown("its records differ"), "ambiguous"));
    };
    let (service, version) = (name.0.clone(), name.1.clone());
    Some(match version {
        Some(version) => (Origin::Known { service, version }, source),
        None => (Origin::Unknown("its server stated no version"), "unversioned"),
    })
}

/// Processes that keep the records of a shard.
fn keepers_of(state: &EntryState, shard: u64) -> Vec<SocketAddr> {
    let at = now();
    let members = state.members();
    let live: HashMap<&str, SocketAddr> = members
        .iter()
        .filter(|it| it.is_live(at))
        .map(|it| (it.member.vm.as_str(), it.member.address))
        .collect();
    if live.len() <= SMALL_FLEET {
        return live.into_values().collect();
    }
    let vms = live.keys().copied().chain([state.settings.vm.as_str()]);
    let kept = keepers(shard, vms);
    kept.into_iter().filter_map(|it| live.get(it).copied()).collect()
}

/// Asks the processes that keep the record of a stream.
async fn ask_others(state: &Arc<EntryState>, key: u64) {
    let query = OriginQuery { key };
    let calls = keepers_of(state, shard(key)).into_iter().map(|address| {
        let query = &query;
        async move {
            match peers::call::<_, OriginAnswer>(state, address, "origin", query, PEER_TIMEOUT).await {
                Ok(answer) => {
                    let mut known = state.streams.known.lock();
                    let is_for_key = |it: &(u64, u64)| it.0 == key;
                    let groups = answer.groups.into_iter();
                    let groups: Vec<RecordGroup> = groups.filter(|it| it.records.iter().all(is_for_key)).collect();
                    known.reported.merge(now(), &groups);
                    if answer.is_ambiguous {
                        known.reported.record_ambiguous(now(), key);
                    }
                }
                Err(e) => log::debug!("look-up of a stream at {address} failed: {e}"),
            }
        }
    });
    future::join_all(calls).await;
}

/// Reads the table by a call that begins after this one.
async fn read_table_after_now(state: &Arc<EntryState>) -> Option<ReadTable> {
    let call = async {
        let read = read_table(state).await;
        if let Err(e) = &read {
            log::debug!("read of the table of versions failed: {e}");
        }
        read.ok()
    };
    state.streams.table_reads.get(0, call).await
}

async fn read_table(state: &EntryState) -> Result<ReadTable, CallError> {
    let began = now();
    let found = state.store.get(TABLE_KIND, TABLE_NAME).await?;
    state.record_store_contact(found.era, now());
    let revision = found.object.as_ref().map(|it| it.revision);
    let table = found.object.and_then(|it| {
        let table = serde_json::from_value::<VersionTable>(it.spec);
        if let Err(e) = &table {
            log::warn!("the table of versions cannot be read and is replaced: {e}");
        }
        table.ok().and_then(VersionTable::checked)
    });
    state.streams.known.lock().versions.observe_era(found.era);
    if let Some(table) = &table
        && state.streams.record_table(began, table)
    {
        state.signal_change();
    }
    Ok(ReadTable {
        era: found.era,
        revision,
        table,
    })
}

/// Observes the versions in the view, and reads and writes the table, for as long as the process runs.
pub async fn keep_table(state: Arc<EntryState>, coordinator: Arc<Coordinator>) {
    let mut changes = state.subscribe();
    let mut pause_ms = TABLE_POLL_MS;
    let mut next_call = now();
    let mut last_read = now();
    loop {
        // A timeout means that nothing has changed.
        let _ = timeout(OBSERVE_INTERVAL, changes.changed()).await;
        let at = now();
        state.streams.observe(&state, at);
        let vms = state.vms() as u64;
        let is_due = {
            let known = state.streams.known.lock();
            let read_ms = UNSETTLED_READ_MS.max(vms * UNSETTLED_READ_PER_VM_MS);
            let is_outdated = !known.versions.is_all_settled(at) && at.since(last_read) >= read_ms;
            let needs_upkeep = coordinator.coordinates() && known.versions.needs_upkeep(at);
            known.versions.needs_read(at) || is_outdated || needs_upkeep
        };
        if is_due && at >= next_call {
            let updated = update_table(&state, &coordinator).await;
            if let Err(e) = &updated {
                log::debug!("update of the table of versions failed: {e}");
                ask_confirmed(&state).await;
            }
            last_read = now();
            // Requests may wait for a version whose server has come back.
            state.signal_change();
            let is_done = updated.is_ok() && !state.streams.known.lock().versions.needs_read(now());
            pause_ms = if is_done {
                TABLE_POLL_MS
            } else {
                (pause_ms * 2).min(MAX_TABLE_PAUSE_MS)
            };
            next_call = now() + rand::random_range(pause_ms / 2..pause_ms);
        }
        sleep(OBSERVE_GAP + OBSERVE_GAP.mul_f64(vms as f64 / 10.0)).await;
    }
}

/// Asks other processes which versions may begin streams, because the store does not answer.
async fn ask_confirmed(state: &Arc<EntryState>) {
    let began = now();
    for address in state.random_peers(ASKED_PEERS, ASKED_PEERS, began) {
        match peers::call::<_, Vec<VersionKey>>(state, address, "versions", &(), PUSH_TIMEOUT).await {
            Ok(confirmed) => state.streams.known.lock().versions.confirm(now(), began, &confirmed),
            Err(e) => log::debug!("question for versions to {address} failed: {e}"),
        }
    }
    state.signal_change();
}

/// Reads the table, and writes it if it lacks something and no other process does so first.
async fn update_table(state: &EntryState, coordinator: &Coordinator) -> Result<(), CallError> {
    let spread_ms = WRITE_SPREAD_PER_VM_MS * state.vms() as u64;
    let write_at = now() + rand::random_range(0..spread_ms);
    loop {
        let read = read_table(state).await?;
        let coordinates = coordinator.coordinates();
        let at = now();
        let next = {
            let known = state.streams.known.lock();
            let is_first_start = state.is_first_start() && read.revision.is_none() && read.era <= FIRST_ERA;
            known
                .versions
                .next_table(at, read.table.as_ref(), coordinates, is_first_start)
        };
        let Some(next) = next else {
            return Ok(());
        };
        if !coordinates && at < write_at {
            let left_ms = write_at.since(at);
            sleep(Duration::from_millis(left_ms.min(TABLE_POLL_MS))).await;
            continue;
        }
        let value = json!(next);
        let written = match read.revision {
            None => state.store.create(TABLE_KIND, TABLE_NAME, &value).await?,
            revision => state.store.replace(TABLE_KIND, TABLE_NAME, &value, revision).await?,
        };
        if let Written::Done(object) = written {
            state.record_store_contact(object.revision.era, now());
            if state.streams.record_table(at, &next) {
                state.signal_change();
            }
            return Ok(());
        }
    }
}

/// Pushes new records to other processes for as long as the process runs.
pub async fn push_records(state: Arc<EntryState>) {
    loop {
        state.streams.has_news.notified().await;
        sleep(BATCH_DELAY + BATCH_DELAY_PER_VM * state.vms() as u32).await;
        let (keys, at) = (std::mem::take(&mut state.streams.known.lock().outbox), now());
        let mut by_shard: HashMap<u64, Vec<u64>> = HashMap::new();
        for key in keys {
            by_shard.entry(shard(key)).or_default().push(key);
        }
        let mut by_address: HashMap<SocketAddr, Vec<u64>> = HashMap::new();
        for (shard, keys) in by_shard {
            for address in keepers_of(&state, shard) {
                by_address.entry(address).or_default().extend(&keys);
            }
        }
        for (address, keys) in by_address {
            let groups = state.streams.known.lock().own.groups(at, keys);
            let state = Arc::clone(&state);
            tokio::spawn(async move {
                let pushed = peers::call::<_, bool>(&state, address, "begun", &groups, PUSH_TIMEOUT).await;
                if let Err(e) = pushed {
                    log::debug!("push of streams to {address} failed: {e}");
                }
            });
        }
    }
}

/// Keeps this VM's copy of its records in the store for as long as the process runs.
pub async fn keep_copy(state: Arc<EntryState>) {
    let vm = state.settings.vm.clone();
    // A write before this would lose the records of the process before.
    let mut is_written = loop {
        match read_own_copy(&state, &vm).await {
            Ok(is_there) => break is_there,
            Err(e) => log::debug!("read of the own copy of streams failed: {e}"),
        }
        sleep(Duration::from_millis(COPY_INTERVAL_MS)).await;
    };
    let mut written_in = state.store_era();
    loop {
        let interval_ms = COPY_INTERVAL_MS.max(state.vms() as u64 * COPY_INTERVAL_PER_VM_MS);
        sleep(Duration::from_millis(interval_ms)).await;
        let era = state.store_era();
        let is_restored = std::mem::replace(&mut written_in, era) != era;
        let (copy, has_uncopied) = {
            let mut known = state.streams.known.lock();
            let at = now();
            known.own.expire(at);
            known.reported.expire(at);
            let has_uncopied = std::mem::take(&mut known.has_uncopied) || is_restored;
            let keys: Vec<u64> = known.own.latest().take(MAX_SENT).collect();
            (known.own.groups(at, keys), has_uncopied)
        };
        let result = if copy.is_empty() && is_written {
            is_written = false;
            state.store.remove(COPY_KIND, &vm).await
        } else if !copy.is_empty() && has_uncopied {
            is_written = true;
            write_copy(&state, &vm, &copy).await
        } else {
            continue;
        };
        if let Err(e) = result {
            log::debug!("write of the copy of streams failed: {e}");
            is_written = true;
            state.streams.known.lock().has_uncopied = true;
        }
    }
}

async fn write_copy(state: &EntryState, vm: &str, groups: &[RecordGroup]) -> Result<(), CallError> {
    let value = json!(StoredCopy {
        written_ms: wall_ms(),
        groups: groups.iter().map(encode_group).collect(),
    });
    let written = state.store.replace(COPY_KIND, vm, &value, None).await?;
    if let Written::Conflict(_) = written {
        state.store.create(COPY_KIND, vm, &value).await?;
    }
    Ok(())
}

/// Merges this VM's copy. Returns whether there is one.
async fn read_own_copy(state: &EntryState, vm: &str) -> Result<bool, CallError> {
    let found = state.store.get(COPY_KIND, vm).await?;
    state.record_store_contact(found.era, now());
    let Some(object) = found.object else {
        return Ok(false);
    };
    let groups = decode_copy(object.spec);
    let mut known = state.streams.known.lock();
    let at = now();
    known.own.merge(at, &groups);
    let keys: Vec<u64> = known.own.latest().take(MAX_SENT).collect();
    known.outbox.extend(keys);
    drop(known);
    state.streams.has_news.notify_one();
    Ok(true)
}

/// Merges the copies of all VMs, at most once in an interval that grows with the fleet.
async fn list_copies(state: &Arc<EntryState>) {
    let interval_ms = LIST_INTERVAL_MS.max(state.vms() as u64 * LIST_INTERVAL_PER_VM_MS);
    let call = async {
        match state.store.list(COPY_KIND).await {
            Ok(listing) => {
                state.record_store_contact(listing.revision.era, now());
                for object in listing.objects {
                    let groups = decode_copy(object.spec);
                    state.streams.merge(&groups);
                }
                Some(())
            }
            Err(e) => {
                log::debug!("list of the copies of streams failed: {e}");
                None
            }
        }
    };
    state.streams.copy_lists.get(interval_ms, call).await;
}

fn encode_group(group: &RecordGroup) -> StoredGroup {
    let mut records = String::with_capacity(group.records.len() * RECORD_CHARS);
    for (key, age_ms) in &group.records {
        // Writing to a string does not fail.
        let _ = write!(records, "{key:0KEY_CHARS$x}{:02x}", (age_ms / 1_000).min(0xff));
    }
    StoredGroup {
        service: group.service.clone(),
        version: group.version.clone(),
        records,
    }
}

/// Decodes a copy; ages grow by the time since it was written.
fn decode_copy(spec: serde_json::Value) -> Vec<RecordGroup> {
    let stored = match serde_json::from_value::<StoredCopy>(spec) {
        Ok(stored) => stored,
        Err(e) => {
            log::warn!("a copy of streams cannot be read: {e}");
            return Vec::new();
        }
    };
    let since_write_ms = wall_ms().saturating_sub(stored.written_ms);
    let decode = |record: &[u8]| {
        let text = std::str::from_utf8(record).ok()?;
        let key = u64::from_str_radix(text.get(..KEY_CHARS)?, 16).ok()?;
        let seconds = u64::from_str_radix(text.get(KEY_CHARS..)?, 16).ok()?;
        let age_ms = (seconds * 1_000).saturating_add(since_write_ms);
        (age_ms < TAKE_UP_MS).then_some((key, age_ms))
    };
    let groups = stored.groups.into_iter().map(|group| RecordGroup {
        records: group
            .records
            .as_bytes()
            .chunks(RECORD_CHARS)
            .filter_map(decode)
            .collect(),
        service: group.service,
        version: group.version,
    });
    groups.collect()
}
