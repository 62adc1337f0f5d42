//! This process's view of the deployment: configuration, backend servers, models held by engines, and other entry
//! processes.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use guava_core::units::Millis;
use guava_fleet::departures::{Departure, Departures, EntryAge};
use guava_fleet::model::{BackendServer, HeldModel, ServerState, StoreRevision};
use guava_fleet::placement::{EngineModels, LackedModel, Wait};
use guava_fleet::reach::Unreachable;
use guava_fleet::routes::ActiveConfig;
use guava_fleet::statements::{Obstacle, Rest, Rests};
use guava_fleet::zones::Zones;

use crate::changes::{Changes, VersionedMap};
use crate::exclusion::Exclusion;
use crate::refusals::Refusals;
use crate::state::{CoordinatorHint, HEARTBEAT_AGE_UNIT_MS, Heartbeat, KnownMember, MEMBER_TIMEOUT_MS, Member};

/// Time for which the coordinator's placement takes precedence over the servers' own entries in the store.
const PLACED_VALID_MS: u64 = 3_000;
/// Time for which a server that has turned a request away as full is not selected for the request's model.
const FULL_SERVER_MS: u64 = 300;
/// Limit on the models that servers lack, as the coordinator receives them.
const MAX_REPORTED_LACKING: usize = 256;
/// Time after the store returns from an outage, in milliseconds, within which live servers renew their entries.
pub const EXPIRY_GRACE_MS: u64 = 2_200;
/// Time without contact to the store after which missing entries may have expired during the outage.
pub(crate) const STORE_OUTAGE_MS: u64 = 2_600;

/// Heartbeats that a server may miss before its entry lapses.
const MISSED_HEARTBEATS: u64 = 3;
/// What the entries tell of a server's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerLife {
    /// It accepts requests.
    Serves,
    /// It leaves, has left or is not to be used.
    Leaves,
    /// Another process runs under its id, although it did not leave.
    StartedAnew,
}

/// Time, in milliseconds, until the removal of a lapsed entry is known.
const REMOVAL_DELAY_MS: u64 = 1_000;
/// Heartbeat interval, in milliseconds, of servers if the settings name none.
const DEFAULT_HEARTBEAT_MS: u64 = 1_200;
/// Limit on entries that are noted for the log between two readings.
const MAX_NOTED: usize = 64;

/// Known backend server.
#[derive(Debug, Clone)]
struct KnownServer {
    server: Arc<BackendServer>,
    /// When its entry was found missing right after an outage of the store; `None` while the entry exists.
    missing_since: Option<Millis>,
    /// Since when a ready entry counts as leaving because it may be older than the server's departure; `None` for any
    /// other entry.
    withheld_since: Option<Millis>,
}

/// Ready entry that does not make its server available, because it is or may be older than what is known of the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OldEntry {
    /// Id of the server.
    pub server: String,
    /// Start that the entry states.
    pub born_ms: u64,
    /// Count of writes that the entry states.
    pub writes: u64,
    /// Count of writes of the entry that is kept in its place; `None` if the entry is taken over as leaving.
    pub kept_writes: Option<u64>,
    /// Revision of the view that holds the entry.
    pub revision: StoreRevision,
    /// Whether the entry becomes available once it has outlived a late write.
    pub is_unclear: bool,
}

/// Numbers of servers that a request may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Places {
    /// Servers that accept requests.
    pub ready: usize,
    /// Those of them that hold the request's model and adapter.
    pub holding: usize,
    /// Those of them that have asked this VM for a rest, or cannot be reached.
    pub resting: usize,
}

/// Age reported by another process, and when it was received.
#[derive(Debug, Clone, Copy)]
struct ReportedAge {
    age_ms: u64,
    at: Millis,
}

impl ReportedAge {
    fn age(reported: Option<Self>, now: Millis) -> u64 {
        reported.map_or(u64::MAX, |it| it.age_ms.saturating_add(now.since(it.at)))
    }
}

/// View of the deployment; [`crate::state::EntryState`] holds it behind a lock.
#[derive(Debug, Default)]
pub struct ClusterView {
    /// Configuration in force; `None` until the first one is received.
    pub config: Option<Arc<ActiveConfig>>,
    /// Other entry processes by VM.
    pub members: HashMap<String, KnownMember>,
    /// Incarnations and regions of other entry processes, by VM.
    pub regions: HashMap<String, (u64, String)>,
    /// Last known coordinator.
    pub coordinator: Option<CoordinatorHint>,
    /// When it became known.
    pub coordinator_since: Millis,
    /// When the store last answered this process; `None` before the first answer.
    pub store_contact: Option<Millis>,
    /// Whether a list of all servers has been received.
    pub has_servers: bool,
    /// Evacuated availability zones.
    pub zones: Zones,
    /// Since when the followed process does not report which zones are evacuated; `None` if it does.
    pub zones_missing_since: Option<Millis>,
    /// Latest era of the store that is known; zero before the first answer.
    era: u64,
    /// Whether the store was restored since this process has started.
    has_seen_restore: bool,
    /// Store revision of the last change of servers.
    servers_revision: StoreRevision,
    /// Store revision up to which all changes of servers have been received; zero when unknown.
    complete_to: StoreRevision,
    servers: VersionedMap<KnownServer>,
    departures: Departures,
    /// Heartbeat interval of servers in milliseconds; zero for the default.
    heartbeat_ms: u64,
    /// Old entries to be logged.
    old_entries: Vec<OldEntry>,
    /// Rests that servers have asked this VM for.
    rests: Rests,
    /// Waits for the next place at cold servers that have none for this VM.
    cold_waits: Rests,
    /// Servers to which this VM cannot open a connection.
    unreachable: Unreachable,
    /// Number of entries received, including those whose change is not published to followers.
    server_updates: u64,
    /// When the store last answered again after an outage.
    store_returned: Option<Millis>,
    /// Placement by server, as last received from the coordinator.
    placed: VersionedMap<EngineModels>,
    placed_version: (u64, u64),
    placed_at: Option<Millis>,
    /// Refusals of this VM's requests by servers that lack a model or are full.
    refusals: Refusals,
    waits: Vec<Wait>,
    waits_at: Option<Millis>,
    reported_feed_age: Option<ReportedAge>,
    /// When the store last answered one of the followers.
    follower_store_contact: Option<Millis>,
    /// Result of the last check of freshness.
    has_fresh_source: bool,
    /// Time since a process was known to be the coordinator; `None` if none ever was.
    coordination: Option<ReportedAge>,
}

impl ClusterView {
    /// Creates the view of a process that has just started. `heartbeat_ms` is the interval, in milliseconds, at which
    /// servers renew their entries.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self {
            heartbeat_ms,
            ..Self::default()
        }
    }

    /// Puts a configuration in force if its version is higher than the current one, or the same and the current one is
    /// partial. Returns whether it was put in force.
    pub fn put_config(&mut self, in_force: ActiveConfig) -> bool {
        let current = self.config.as_ref().map(|it| &it.config);
        let is_partial = current.is_some_and(|it| it.is_partial);
        let current = current.map_or(0, |it| it.version);
        let next = &in_force.config;
        let is_completed = next.version == current && is_partial && !next.is_partial;
        let is_newer = next.version > current || is_completed;
        if is_newer {
            self.config = Some(Arc::new(in_force));
        }
        is_newer
    }

    /// Records that the store is in `era` now. Returns the era before if this shows that it was restored.
    pub fn record_era(&mut self, era: u64, now: Millis) -> Option<u64> {
        if era <= self.era {
            return None;
        }
        let before = std::mem::replace(&mut self.era, era);
        if before == 0 {
            return None;
        }
        self.has_seen_restore = true;
        // Servers that registered after the copy was made write their entries again.
        self.store_returned = Some(now);
        Some(before)
    }

    /// Latest era of the store that is known; zero before the first answer.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Whether the store was restored since this process has started.
    pub fn has_seen_restore(&self) -> bool {
        self.has_seen_restore
    }

    /// Records an answer of the store. Returns true after an outage in which entries may have expired.
    pub fn record_store_contact(&mut self, now: Millis) -> bool {
        let has_been_synced = self.store_contact.is_some() || self.reported_feed_age.is_some();
        let was_away = has_been_synced && self.source_age(now) > STORE_OUTAGE_MS;
        self.store_contact = Some(now);
        if was_away {
            self.store_returned = Some(now);
        }
        was_away
    }

    /// Returns `Some(true)` when the view has just become fresh, `Some(false)` when it has just become stale.
    pub fn check_freshness(&mut self, now: Millis) -> Option<bool> {
        let is_fresh = self.source_age(now) <= STORE_OUTAGE_MS;
        let was_fresh = std::mem::replace(&mut self.has_fresh_source, is_fresh);
        (is_fresh != was_fresh).then_some(is_fresh)
    }

    /// Milliseconds since the store last answered this process; `u64::MAX` if it never has.
    pub fn store_age(&self, now: Millis) -> u64 {
        self.store_contact.map_or(u64::MAX, |it| now.since(it))
    }

    /// Records the age of the followed process's view, as its feed reported it.
    pub fn record_feed_age(&mut self, age_ms: u64, now: Millis) {
        self.reported_feed_age = Some(ReportedAge { age_ms, at: now });
    }

    /// Current age, in milliseconds, of the followed process's view; `u64::MAX` before the first feed answer.
    pub fn feed_age(&self, now: Millis) -> u64 {
        ReportedAge::age(self.reported_feed_age, now)
    }

    /// Records that the store answered a follower `store_age_ms` ago.
    pub fn record_follower(&mut self, store_age_ms: u64, now: Millis) {
        let contact = (store_age_ms < now.0).then(|| now - store_age_ms);
        self.follower_store_contact = self.follower_store_contact.max(contact);
    }

    /// Milliseconds since the store last answered a follower; `u64::MAX` if it never has.
    pub fn follower_store_age(&self, now: Millis) -> u64 {
        self.follower_store_contact.map_or(u64::MAX, |it| now.since(it))
    }

    /// Records how many milliseconds ago a process was known to be the coordinator.
    pub fn record_coordination(&mut self, age_ms: u64, now: Millis) {
        self.coordination = Some(ReportedAge { age_ms, at: now });
    }

    /// Milliseconds since a process was known to be the coordinator; `u64::MAX` if none ever was.
    pub fn coordination_age(&self, now: Millis) -> u64 {
        ReportedAge::age(self.coordination, now)
    }

    /// Age of the view in milliseconds: the lower of the store's and the feed's.
    pub fn source_age(&self, now: Millis) -> u64 {
        self.store_age(now).min(self.feed_age(now))
    }

    /// Records the store revision up to which all changes of servers have been received; zero for unknown.
    pub fn record_complete(&mut self, revision: StoreRevision) {
        self.complete_to = revision;
    }

    /// Store revision up to which all changes of servers are in force here; zero when unknown. While the removal of a
    /// server is held back after an outage of the store, that change is not in force.
    pub fn complete_to(&self) -> StoreRevision {
        let has_missing = self.servers.iter().any(|(_, it)| it.missing_since.is_some());
        if has_missing || !self.has_servers {
            return StoreRevision::default();
        }
        self.complete_to
    }

    /// Store revision of the last change of servers.
    pub fn servers_revision(&self) -> StoreRevision {
        self.servers_revision
    }

    /// Store revision whose servers this view reflects: that of the last change, or a later one up to which there was
    /// none.
    pub fn known_revision(&self) -> StoreRevision {
        self.servers_revision.max(self.complete_to())
    }

    fn advance_to(&mut self, revision: StoreRevision) {
        if revision > self.servers_revision {
            self.servers_revision = revision;
        }
    }

    /// Replaces all servers by a list of another process or of the store. Returns whether followers need the change.
    pub fn put_server_list(&mut self, list: Vec<BackendServer>, revision: StoreRevision, now: Millis) -> bool {
        if revision.era < self.servers_revision.era {
            return false;
        }
        let before = self.servers.last_change();
        let listed: HashMap<String, BackendServer> = list.into_iter().map(|it| (it.id.clone(), it)).collect();
        let removed = self.servers.iter().filter(|(id, _)| !listed.contains_key(*id));
        let removed: Vec<String> = removed.map(|(id, _)| id.clone()).collect();
        for id in removed {
            self.remove_server(&id, revision, now);
        }
        for (_, server) in listed {
            self.put_entry(server, revision, now);
        }
        let is_first = !std::mem::replace(&mut self.has_servers, true);
        self.advance_to(revision);
        is_first || self.servers.last_change() != before
    }

    /// Applies changes of servers up to a store revision, as another process told them. Returns whether followers need
    /// them.
    pub fn put_server_changes(
        &mut self,
        changes: Changes<BackendServer>,
        revision: StoreRevision,
        now: Millis,
    ) -> bool {
        if changes.is_whole {
            return self.put_server_list(changes.present, revision, now);
        }
        let mut is_change = false;
        for server in changes.present {
            is_change |= self.put_entry(server, revision, now);
        }
        for id in &changes.gone {
            is_change |= self.remove_server(id, revision, now);
        }
        self.advance_to(revision);
        is_change
    }

    /// Applies a change that the store reports of a server's entry. Returns whether followers need the change.
    pub fn put_server(&mut self, server: BackendServer, revision: StoreRevision, now: Millis) -> bool {
        self.advance_to(revision);
        self.put_entry(server, revision, now)
    }

    /// Applies an entry, which may be older than what is known: one that another process sends, one in a list of a
    /// restored store, or one that the store has written late.
    fn put_entry(&mut self, mut server: BackendServer, revision: StoreRevision, now: Millis) -> bool {
        let known = self.servers.get(&server.id);
        if let Some(known) = known.filter(|it| is_earlier_in_life(&server, &it.server)) {
            let kept_writes = Some(known.server.writes);
            self.note_old_entry(&server, revision, kept_writes, false);
            return false;
        }
        let withheld_since = known.and_then(|it| it.withheld_since);
        let age = self.departures.entry_age(&server, revision, now);
        if server.state == ServerState::Draining {
            // Another process may withhold the entry; the server itself may be ready.
            if age == EntryAge::Later {
                self.departures.record(&server, revision, now);
            }
            return self.insert_server(server, None, now);
        }
        let withheld_since = match age {
            EntryAge::Later => None,
            EntryAge::Earlier => {
                self.note_old_entry(&server, revision, None, false);
                server.state = ServerState::Draining;
                None
            }
            EntryAge::Unclear => {
                if withheld_since.is_none() {
                    self.note_old_entry(&server, revision, None, true);
                }
                server.state = ServerState::Draining;
                Some(withheld_since.unwrap_or(now))
            }
        };
        self.insert_server(server, withheld_since, now)
    }

    fn insert_server(&mut self, server: BackendServer, withheld_since: Option<Millis>, now: Millis) -> bool {
        self.server_updates += 1;
        let known = self.servers.get(&server.id);
        let has_limits = self.config.as_ref().is_some_and(|it| it.config.has_cold_limits());
        let is_same = known.is_some_and(|it| {
            let is_as_cold = !has_limits || is_cold(&it.server) == is_cold(&server);
            it.missing_since.is_none() && is_as_cold && is_same_except_models(&it.server, &server)
        });
        let is_news = !is_same || known.is_some_and(|it| it.server.held != server.held);
        let id = server.id.clone();
        let known = KnownServer {
            server: Arc::new(server),
            missing_since: None,
            withheld_since,
        };
        if is_news {
            self.refusals.record_change(&id, now);
        }
        self.servers.put(&id, known, !is_same);
        !is_same
    }

    fn note_old_entry(
        &mut self,
        server: &BackendServer,
        revision: StoreRevision,
        kept_writes: Option<u64>,
        is_unclear: bool,
    ) {
        if server.state == ServerState::Ready && self.old_entries.len() < MAX_NOTED {
            self.old_entries.push(OldEntry {
                server: server.id.clone(),
                born_ms: server.born_ms,
                writes: server.writes,
                kept_writes,
                revision,
                is_unclear,
            });
        }
    }

    /// Old entries received since the last call.
    pub fn take_old_entries(&mut self) -> Vec<OldEntry> {
        std::mem::take(&mut self.old_entries)
    }

    /// Time, in milliseconds, after which an entry that nobody renews is known to have lapsed.
    fn lapse_ms(&self) -> u64 {
        let heartbeat_ms = match self.heartbeat_ms {
            0 => DEFAULT_HEARTBEAT_MS,
            stated => stated,
        };
        heartbeat_ms
            .saturating_mul(MISSED_HEARTBEATS)
            .saturating_add(REMOVAL_DELAY_MS)
    }

    /// Makes servers available whose withheld entries have outlived a late write. Returns their ids.
    pub fn release_withheld(&mut self, now: Millis) -> Vec<String> {
        let lapse_ms = self.lapse_ms();
        let is_due = |it: &KnownServer| it.withheld_since.is_some_and(|since| now.since(since) >= lapse_ms);
        let due = self.servers.iter().filter(|(_, it)| is_due(it));
        let due: Vec<Arc<BackendServer>> = due.map(|(_, it)| Arc::clone(&it.server)).collect();
        let mut released = Vec::new();
        for server in due {
            let mut entry = (*server).clone();
            // A departure that has become known meanwhile may be later than the entry.
            if self.departures.entry_age(&entry, self.servers_revision, now) != EntryAge::Earlier {
                self.departures.outlive(&entry);
                entry.state = ServerState::Ready;
                released.push(entry.id.clone());
            }
            self.insert_server(entry, None, now);
        }
        released
    }

    /// Applies the removal of a server's entry. Returns whether followers need the change. Right after an outage of the
    /// store the removal of a ready server is held back, because the entry may only have expired.
    pub fn remove_server(&mut self, id: &str, revision: StoreRevision, now: Millis) -> bool {
        self.advance_to(revision);
        let store_just_returned = self.store_returned.is_some_and(|it| now.since(it) < EXPIRY_GRACE_MS);
        match self.servers.get_mut(id) {
            Some(known) if store_just_returned && known.server.state == ServerState::Ready => {
                known.missing_since.get_or_insert(now);
                false
            }
            Some(_) => {
                self.delete_server(id, revision, now);
                true
            }
            None => false,
        }
    }

    /// Applies departures that another process sends. Returns whether followers need the change.
    pub fn put_departures(&mut self, reported: Vec<Departure>, now: Millis) -> bool {
        let learnt = self.departures.merge(reported, now);
        let mut is_change = false;
        for id in &learnt {
            is_change |= self.apply_departure(id, now);
        }
        is_change
    }

    /// Marks a server as leaving if its entry is older than its departure. Returns whether followers need the change.
    fn apply_departure(&mut self, id: &str, now: Millis) -> bool {
        let Some(known) = self.servers.get(id).map(|it| Arc::clone(&it.server)) else {
            return false;
        };
        if known.state != ServerState::Ready {
            return false;
        }
        self.put_entry((*known).clone(), self.servers_revision, now)
    }

    /// Records that a server states in an answer that it leaves. Returns whether that was unknown.
    pub fn record_leaving(&mut self, server: &BackendServer, now: Millis) -> bool {
        let is_news = self.departures.record_stated(server, self.servers_revision, now);
        if is_news {
            self.apply_departure(&server.id, now);
        }
        is_news
    }

    /// Whether a server has stated in an answer that it leaves.
    pub fn has_stated_leaving(&self, server: &BackendServer, now: Millis) -> bool {
        self.departures.is_stated(server, now)
    }

    /// Records that a server wants nothing from this VM for `rest_ms` milliseconds. Returns whether the rest ends later
    /// than was known.
    pub fn record_rest(&mut self, server: &BackendServer, rest_ms: u64, now: Millis) -> bool {
        self.rests.record(server, rest_ms, now)
    }

    /// Milliseconds until a server takes requests of this VM again; `None` if it has not asked for a rest.
    pub fn rest_ms(&self, server: &BackendServer, now: Millis) -> Option<u64> {
        self.rests.left_ms(server, now)
    }

    /// Rests that have not ended.
    pub fn rests(&self, now: Millis) -> Vec<Rest> {
        self.rests.current(now)
    }

    /// Records whether a connection to a server could be opened. Returns the milliseconds for which the server is left
    /// out.
    pub fn record_connection(&mut self, server: &BackendServer, is_open: bool, now: Millis) -> Option<u64> {
        if is_open {
            self.unreachable.record_success(server, now);
            return None;
        }
        Some(self.unreachable.record_failure(server, now))
    }

    /// Whether this VM has probably lost its links to all servers.
    pub fn is_cut_off(&self, now: Millis) -> bool {
        let is_used = |it: &&Arc<BackendServer>| it.state == ServerState::Ready && !self.zones.is_evacuated(&it.zone);
        let ready = || self.servers().filter(is_used);
        self.unreachable.is_cut_off(|| ready().count(), now)
    }

    /// Servers to which this VM cannot open a connection, as rests.
    pub fn unreachable(&self, now: Millis) -> Vec<Rest> {
        self.unreachable.current(now).collect()
    }

    /// Records that a cold server has no place for this VM for a time, in milliseconds. Returns whether that is longer than
    /// was known. Requests that have their place are sent all the same.
    pub fn record_cold_wait(&mut self, server: &BackendServer, wait_ms: u64, now: Millis) -> bool {
        self.cold_waits.record(server, wait_ms, now)
    }

    /// Milliseconds until this VM may select a server; `None` if it may now.
    fn closed_ms(&self, server: &BackendServer, now: Millis) -> Option<u64> {
        self.rest_or_cut_ms(server, now)
            .max(self.cold_waits.left_ms(server, now))
    }

    /// Milliseconds until this VM may send requests to a server; `None` if it may now.
    fn rest_or_cut_ms(&self, server: &BackendServer, now: Millis) -> Option<u64> {
        let rest_ms = self.rests.left_ms(server, now);
        rest_ms.max(self.unreachable.left_ms(server, now))
    }

    /// Servers that leave or have left, for another process.
    pub fn departures(&mut self, now: Millis) -> Vec<Departure> {
        self.departures.recent(now)
    }

    /// Removes servers whose entries were not renewed in time after an outage of the store. Returns their number.
    pub fn remove_expired(&mut self, now: Millis) -> usize {
        self.rests.remove_ended(now);
        self.cold_waits.remove_ended(now);
        self.unreachable.remove_expired(now);
        for (_, known) in self.servers.iter() {
            self.departures.renew(&known.server, now);
        }
        let is_overdue = |it: &KnownServer| {
            it.missing_since
                .is_some_and(|since| now.since(since) >= EXPIRY_GRACE_MS)
        };
        let overdue = self.servers.iter().filter(|(_, it)| is_overdue(it));
        let overdue: Vec<String> = overdue.map(|(id, _)| id.clone()).collect();
        for id in &overdue {
            self.delete_server(id, self.servers_revision, now);
        }
        overdue.len()
    }

    fn delete_server(&mut self, id: &str, revision: StoreRevision, now: Millis) {
        if let Some(known) = self.servers.get(id) {
            self.departures.record(&known.server, revision, now);
        }
        self.server_updates += 1;
        self.servers.remove(id);
        self.refusals.remove_server(id);
    }

    /// Known servers, including those whose removal is held back.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<BackendServer>> {
        self.servers.iter().map(|(_, it)| &it.server)
    }

    /// Number of known servers.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Whether a server's process serves, leaves or has started anew, by the entries.
    pub fn life_of(&self, server: &BackendServer) -> ServerLife {
        if self.accepts_requests(server) {
            return ServerLife::Serves;
        }
        let known = self.servers.get(&server.id).map(|it| &it.server);
        let is_later = known.is_some_and(|it| it.born_ms > server.born_ms);
        if is_later && !self.departures.has_left(server) && !self.zones.is_evacuated(&server.zone) {
            ServerLife::StartedAnew
        } else {
            ServerLife::Leaves
        }
    }

    /// Current entry of a server.
    pub fn server(&self, id: &str) -> Option<&Arc<BackendServer>> {
        self.servers.get(id).map(|it| &it.server)
    }

    /// Whether the current entry of a server describes the same process, which accepts new requests and whose zone is not
    /// evacuated.
    pub fn accepts_requests(&self, server: &BackendServer) -> bool {
        let known = self.servers.get(&server.id).map(|it| &it.server);
        known.is_some_and(|it| {
            it.state == ServerState::Ready
                && it.address == server.address
                && it.born_ms == server.born_ms
                && it.version == server.version
                && !self.zones.is_evacuated(&it.zone)
        })
    }

    /// Whether a server accepts requests, and wants some of this VM and can be reached now.
    pub fn takes_requests(&self, server: &BackendServer, now: Millis) -> bool {
        self.rest_or_cut_ms(server, now).is_none() && self.accepts_requests(server)
    }

    /// Servers of a service that take requests now. `model` is the model and its adapter; `None` for a plain service.
    pub fn available(
        &self,
        service: &str,
        model: Option<(&str, Option<&str>)>,
        now: Millis,
    ) -> impl Iterator<Item = &Arc<BackendServer>> {
        let of_service = self.servers().filter(move |it| it.service == service);
        of_service.filter(move |it| self.exclusion(it, model, now).is_none())
    }

    /// Why a server takes no new request for a model now; `None` if it does. `model` is as for [`Self::available`].
    pub fn exclusion(
        &self,
        server: &BackendServer,
        model: Option<(&str, Option<&str>)>,
        now: Millis,
    ) -> Option<Exclusion> {
        if server.state != ServerState::Ready {
            return Some(Exclusion::Leaving);
        }
        if self.zones.is_evacuated(&server.zone) {
            return Some(Exclusion::Evacuated);
        }
        if !self.serves(server, model, now) {
            return Some(Exclusion::LacksModel);
        }
        let resting = self.rests.left_ms(server, now).map(Exclusion::Resting);
        let unreachable = || self.unreachable.left_ms(server, now).map(Exclusion::Unreachable);
        let no_place = || self.cold_waits.left_ms(server, now).map(Exclusion::NoPlace);
        resting.or_else(unreachable).or_else(no_place)
    }

    /// Why no server of a service that satisfies `may_use` takes a request now; `None` if one does, or if it is not known
    /// that none will.
    pub fn obstacle(
        &self,
        service: &str,
        model: Option<(&str, Option<&str>)>,
        may_use: impl Fn(&BackendServer) -> bool,
        now: Millis,
    ) -> Option<Obstacle> {
        if !self.ready(service).any(|it| may_use(it)) {
            let mut listed = self.servers().filter(|it| it.service == service);
            return listed.any(|it| may_use(it)).then_some(Obstacle::Leaving);
        }
        // The model of an engine that is not there is loaded at another one, for which requests may wait.
        let is_there = |it: &BackendServer| model.is_none() || self.unreachable.left_ms(it, now).is_none();
        let holders = self
            .ready(service)
            .filter(|it| may_use(it) && self.serves(it, model, now) && is_there(it));
        let rests: Option<Vec<u64>> = holders.map(|it| self.closed_ms(it, now)).collect();
        rests?.into_iter().min().map(Obstacle::Resting)
    }

    /// Numbers of servers that accept requests and satisfy `may_use`.
    pub fn places(
        &self,
        service: &str,
        model: Option<(&str, Option<&str>)>,
        may_use: impl Fn(&BackendServer) -> bool,
        now: Millis,
    ) -> Places {
        let ready: Vec<_> = self.ready(service).filter(|it| may_use(it)).collect();
        let holding: Vec<_> = ready.iter().filter(|it| self.serves(it, model, now)).collect();
        let resting = holding.iter().filter(|it| self.closed_ms(it, now).is_some());
        Places {
            ready: ready.len(),
            resting: resting.count(),
            holding: holding.len(),
        }
    }

    fn ready(&self, service: &str) -> impl Iterator<Item = &Arc<BackendServer>> {
        self.servers().filter(move |it| {
            it.service == service && it.state == ServerState::Ready && !self.zones.is_evacuated(&it.zone)
        })
    }

    fn serves(&self, server: &BackendServer, model: Option<(&str, Option<&str>)>, now: Millis) -> bool {
        model.is_none_or(|(name, adapter)| self.holds(server, name, adapter, now))
    }

    /// Counter that grows with each server entry that is received or removed.
    pub fn server_updates(&self) -> u64 {
        self.server_updates
    }

    /// Number of the last change of servers, as followers know it.
    pub fn last_server_change(&self) -> u64 {
        self.servers.last_change()
    }

    /// Changes of servers after change number `since`, or all servers when `since` is `None` or too old.
    pub fn server_changes_since(&self, since: Option<u64>) -> Changes<BackendServer> {
        self.servers.changes_since(since, |it| it.server.without_copies())
    }

    /// Applies changes of the models that engines hold. `version` is the coordinator's term and the version within it.
    pub fn put_placement(&mut self, version: (u64, u64), changes: Changes<EngineModels>, now: Millis) {
        let removed: Vec<String> = if changes.is_whole {
            let listed: HashSet<&str> = changes.present.iter().map(|it| it.server.as_str()).collect();
            let missing = self.placed.iter().filter(|(id, _)| !listed.contains(id.as_str()));
            missing.map(|(id, _)| id.clone()).collect()
        } else {
            changes.gone
        };
        for placed in changes.present {
            let id = placed.server.clone();
            // An entry among changes that contains nothing new confirms what was in doubt.
            let is_change = !changes.is_whole || self.placed.get(&id) != Some(&placed);
            if is_change && self.servers.get(&id).is_some() {
                self.refusals.record_change(&id, now);
            }
            self.placed.put(&id, placed, is_change);
        }
        for id in &removed {
            self.placed.remove(id);
        }
        self.placed_version = version;
        self.placed_at = Some(now);
    }

    /// Records that the placement known here is still current as of `version`.
    pub fn confirm_placement(&mut self, version: (u64, u64), now: Millis) {
        self.placed_version = version;
        self.placed_at = Some(now);
    }

    /// Term and version of the placement; term zero when there is none.
    pub fn placed_version(&self) -> (u64, u64) {
        self.placed_version
    }

    /// Number of the last change of the placement, as followers know it.
    pub fn last_placement_change(&self) -> u64 {
        self.placed.last_change()
    }

    /// Changes of the placement after change number `since`, or the whole placement when `since` is `None` or too old.
    pub fn placement_changes_since(&self, since: Option<u64>) -> Changes<EngineModels> {
        self.placed.changes_since(since, EngineModels::clone)
    }

    /// Records whether the followed process reports which zones are evacuated.
    pub fn record_zones_reported(&mut self, is_reported: bool, now: Millis) {
        let since = self.zones_missing_since.unwrap_or(now);
        self.zones_missing_since = (!is_reported).then_some(since);
    }

    /// Region of another entry process; `None` if it has not sent it.
    pub fn region_of(&self, member: &Member) -> Option<&String> {
        let known = self.regions.get(&member.vm);
        let known = known.filter(|(incarnation, _)| *incarnation == member.incarnation);
        known.map(|(_, region)| region)
    }

    /// Applies heartbeats; those of unknown members are ignored.
    pub fn record_heartbeats(&mut self, heartbeats: &[Heartbeat], now: Millis) {
        let ages: HashMap<u32, u8> = heartbeats.iter().map(|it| (it.key, it.age)).collect();
        for known in self.members.values_mut() {
            if let Some(age) = ages.get(&known.member.heartbeat_key()) {
                known.record_alive(Some(now - u64::from(*age) * HEARTBEAT_AGE_UNIT_MS), now);
            }
        }
    }

    /// Heartbeats of the members that were in contact within the member timeout.
    pub fn heartbeats(&self, now: Millis) -> Vec<Heartbeat> {
        let heartbeats = self.members.values().filter_map(|it| {
            let age = now.since(it.last_contact?);
            let age = (age < MEMBER_TIMEOUT_MS).then_some(age / HEARTBEAT_AGE_UNIT_MS)?;
            Some(Heartbeat {
                key: it.member.heartbeat_key(),
                age: u8::try_from(age).unwrap_or(u8::MAX),
            })
        });
        heartbeats.collect()
    }

    /// Replaces the coordinator's estimates of the time until models can take requests.
    pub fn put_waits(&mut self, waits: Vec<Wait>, now: Millis) {
        self.waits = waits;
        self.waits_at = Some(now);
    }

    /// Least time, in milliseconds, until a model can take requests that are bound to `version`, or any if that is `None`;
    /// `None` without a recent estimate.
    pub fn wait_ms(&self, service: &str, model: &str, version: Option<&str>, now: Millis) -> Option<u64> {
        let reported_at = self.waits_at.filter(|it| now.since(*it) < PLACED_VALID_MS)?;
        let wait = self
            .waits
            .iter()
            .find(|it| it.service == service && it.model == model && it.version.as_deref() == version)?;
        Some(wait.ms.saturating_sub(now.since(reported_at)))
    }

    /// Records that a server turned out not to hold a model, or its adapter if one is named.
    pub fn record_missing_model(&mut self, server: &str, model: &str, adapter: Option<&str>, now: Millis) {
        self.refusals.record_lacking(server, model, adapter, now);
    }

    /// Records that a server has turned a request for a model away as full.
    pub fn record_full_server(&mut self, server: &str, model: &str, now: Millis) {
        self.refusals.record_full(server, model, FULL_SERVER_MS, now);
    }

    /// Whether the entry of a server or its models in the placement have changed or were confirmed after `since`.
    pub fn has_changed_since(&self, server: &str, since: Millis) -> bool {
        self.refusals.has_changed_since(server, since)
    }

    /// Models that servers turned out not to hold although their entry or the placement says so.
    pub fn lacked_models(&self, now: Millis) -> Vec<LackedModel> {
        let lacking = self.refusals.lacking(now).filter_map(|(server, model, adapter)| {
            Some(LackedModel {
                server: server.to_owned(),
                born_ms: self.server(server)?.born_ms,
                model: model.to_owned(),
                adapter: adapter.map(str::to_owned),
            })
        });
        lacking.take(MAX_REPORTED_LACKING).collect()
    }

    /// Whether a server takes requests for the model and adapter.
    pub fn holds(&self, server: &BackendServer, model: &str, adapter: Option<&str>, now: Millis) -> bool {
        if self.refusals.is_refused(&server.id, model, adapter, now) {
            return false;
        }
        let is_fresh = self.placed_at.is_some_and(|it| now.since(it) < PLACED_VALID_MS);
        let placed = self.placed.get(&server.id).filter(|it| it.born_ms == server.born_ms);
        match placed {
            Some(placed) if is_fresh => contains_model(&placed.held, model, adapter),
            // The placement and the server's own entry may both be out of date. A request sent to the wrong server is
            // refused there without having run.
            Some(placed) => contains_model(&placed.held, model, adapter) || server.holds(model, adapter),
            None => server.holds(model, adapter),
        }
    }
}

/// Whether an entry was written before another one of the same life of a server.
fn is_earlier_in_life(entry: &BackendServer, other: &BackendServer) -> bool {
    entry.born_ms > 0 && entry.born_ms == other.born_ms && entry.writes > 0 && entry.writes < other.writes
}

fn contains_model(held: &[HeldModel], model: &str, adapter: Option<&str>) -> bool {
    let has_adapter = |it: &HeldModel| adapter.is_none_or(|name| it.adapters.iter().any(|held| held == name));
    held.iter().any(|it| it.name == model && has_adapter(it))
}

/// Whether two entries of a server differ at most in its models, which the coordinator publishes, and in the time until
/// it leaves.
fn is_same_except_models(a: &BackendServer, b: &BackendServer) -> bool {
    a.state == b.state
        && a.address == b.address
        && a.born_ms == b.born_ms
        && a.service == b.service
        && a.zone == b.zone
        && a.version == b.version
        && a.slots == b.slots
}

fn is_cold(server: &BackendServer) -> bool {
    server.cold_left_ms.is_some_and(|it| it > 0)
}
