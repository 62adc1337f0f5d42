//! What the process believes of its deployment: configuration, backend servers, what engines hold, other processes.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use guava_core::units::Millis;
use guava_fleet::model::{BackendServer, HeldModel, ServerState};
use guava_fleet::placement::{Placed, Wait};
use guava_fleet::routes::InForce;

use crate::changes::{Changes, Numbered};
use crate::state::{CoordinatorHint, KnownMember, MEMBER_SILENT_MS, SIGN_AGE_MS, Sign};

/// Time after which what the coordinator told no longer goes before the servers' own entries.
const PLACED_VALID_MS: u64 = 3_000;
/// Time for which a server that lacked a model is not asked for it again; its entry or the coordinator's view is late.
const MISSING_MS: u64 = 300;
/// Time after the store's return in which the entries of live servers come back.
pub const LAPSE_GRACE_MS: u64 = 2_200;
/// Silence of the store after which missing entries may have lapsed with it.
const LAPSE_GAP_MS: u64 = 2_600;

/// Entry of a server.
#[derive(Debug, Clone)]
struct KnownServer {
    server: Arc<BackendServer>,
    /// When the entry went missing right after the store had been away.
    lapsed: Option<Millis>,
}

/// Age that another process has told, and when.
#[derive(Debug, Clone, Copy)]
struct ToldAge {
    age_ms: u64,
    at: Millis,
}

impl ToldAge {
    fn age(told: Option<Self>, now: Millis) -> u64 {
        told.map_or(u64::MAX, |it| it.age_ms.saturating_add(now.since(it.at)))
    }
}

/// Beliefs; [`crate::state::Entry`] holds them behind its lock.
#[derive(Debug, Default)]
pub struct ClusterView {
    /// Configuration in force.
    pub config: Option<Arc<InForce>>,
    /// Other entry processes by VM.
    pub members: HashMap<String, KnownMember>,
    /// Who coordinates.
    pub coordinator: Option<CoordinatorHint>,
    /// When the store last answered this process.
    pub store_contact: Option<Millis>,
    /// Requests from all VMs by server, as last told.
    pub loads: HashMap<String, u32>,
    /// Own requests by server when the loads were told.
    pub own_then: HashMap<String, u32>,
    /// Whether the servers have been listed at least once.
    pub has_servers: bool,
    /// Revision of the store at which the servers last changed.
    pub servers_revision: u64,
    /// Revision of the store up to which all changes of servers were taken or told; zero when that is not known.
    complete_to: u64,
    servers: Numbered<KnownServer>,
    /// Counts every entry that was taken, also those that followers need not learn.
    entries_taken: u64,
    store_returned: Option<Millis>,
    placed: Numbered<Placed>,
    placed_version: (u64, u64),
    placed_at: Option<Millis>,
    missing: HashMap<(String, String), Millis>,
    waits: Vec<Wait>,
    waits_at: Option<Millis>,
    source: Option<ToldAge>,
    has_fresh_source: bool,
    coordination: Option<ToldAge>,
}

impl ClusterView {
    /// Puts a configuration in force unless the one in force is as new.
    pub fn put_config(&mut self, in_force: InForce) -> bool {
        let current = self.config.as_ref().map_or(0, |it| it.config.version);
        let is_newer = in_force.config.version > current;
        if is_newer {
            self.config = Some(Arc::new(in_force));
        }
        is_newer
    }

    /// Notes an answer of the store; true when it had been away for so long that entries may have lapsed.
    pub fn note_store_contact(&mut self, now: Millis) -> bool {
        let has_known = self.store_contact.is_some() || self.source.is_some();
        let was_away = has_known && self.source_age(now) > LAPSE_GAP_MS;
        self.store_contact = Some(now);
        if was_away {
            self.store_returned = Some(now);
        }
        was_away
    }

    /// Whether the view of the store has just become fresh (true) or too old (false).
    pub fn check_source(&mut self, now: Millis) -> Option<bool> {
        let is_fresh = self.source_age(now) <= LAPSE_GAP_MS;
        let was_fresh = std::mem::replace(&mut self.has_fresh_source, is_fresh);
        (is_fresh != was_fresh).then_some(is_fresh)
    }

    /// Time since the store last answered this process.
    pub fn store_age(&self, now: Millis) -> u64 {
        self.store_contact.map_or(u64::MAX, |it| now.since(it))
    }

    /// Notes how old the beliefs of the process are that this one follows.
    pub fn note_source(&mut self, age_ms: u64, now: Millis) {
        self.source = Some(ToldAge { age_ms, at: now });
    }

    /// Age of the view of the store that the followed process has told.
    pub fn feed_age(&self, now: Millis) -> u64 {
        ToldAge::age(self.source, now)
    }

    /// Notes how long ago a process was known to coordinate.
    pub fn note_coordination(&mut self, age_ms: u64, now: Millis) {
        self.coordination = Some(ToldAge { age_ms, at: now });
    }

    /// Time since a process was known to coordinate.
    pub fn coordination_age(&self, now: Millis) -> u64 {
        ToldAge::age(self.coordination, now)
    }

    /// Time for which the beliefs may be out of date.
    pub fn source_age(&self, now: Millis) -> u64 {
        self.store_age(now).min(self.feed_age(now))
    }

    /// Notes up to which revision of the store all changes of servers are known; zero for unknown.
    pub fn note_complete(&mut self, revision: u64) {
        self.complete_to = revision;
    }

    /// Revision of the store up to which all changes of servers are known and in force here; zero when there is none. A
    /// server whose removal waits for the store's return is a change that is not in force.
    pub fn complete_to(&self) -> u64 {
        let has_lapsed = self.servers.iter().any(|(_, it)| it.lapsed.is_some());
        if has_lapsed || !self.has_servers {
            return 0;
        }
        self.complete_to
    }

    /// Replaces all servers; true when followers should learn it.
    pub fn put_list(&mut self, list: Vec<BackendServer>, revision: u64, now: Millis) -> bool {
        let before = self.servers.last();
        let listed: HashMap<String, BackendServer> = list.into_iter().map(|it| (it.id.clone(), it)).collect();
        let gone = self.servers.iter().filter(|(id, _)| !listed.contains_key(*id));
        let gone: Vec<String> = gone.map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.drop_server(&id, now);
        }
        for (_, server) in listed {
            self.put_server(server);
        }
        let is_first = !std::mem::replace(&mut self.has_servers, true);
        self.servers_revision = self.servers_revision.max(revision);
        is_first || self.servers.last() != before
    }

    /// Takes changes of servers up to a revision of the store; true when followers should learn them.
    pub fn put_changes(&mut self, changes: Changes<BackendServer>, revision: u64, now: Millis) -> bool {
        if changes.is_whole {
            return self.put_list(changes.present, revision, now);
        }
        let mut is_change = false;
        for server in changes.present {
            is_change |= self.put_server(server);
        }
        for id in &changes.gone {
            is_change |= self.drop_server(id, now);
        }
        self.servers_revision = self.servers_revision.max(revision);
        is_change
    }

    /// Takes a server's entry; true when followers should learn it.
    pub fn put_server(&mut self, server: BackendServer) -> bool {
        self.entries_taken += 1;
        let known = self.servers.get(&server.id);
        let is_same = known.is_some_and(|it| it.lapsed.is_none() && has_same_standing(&it.server, &server));
        let id = server.id.clone();
        let known = KnownServer {
            server: Arc::new(server),
            lapsed: None,
        };
        self.servers.put(&id, known, !is_same);
        !is_same
    }

    /// Takes the removal of a server's entry; true when followers should learn it.
    pub fn drop_server(&mut self, id: &str, now: Millis) -> bool {
        let has_just_returned = self.store_returned.is_some_and(|it| now.since(it) < LAPSE_GRACE_MS);
        match self.servers.get_mut(id) {
            Some(known) if has_just_returned && known.server.state == ServerState::Ready => {
                known.lapsed.get_or_insert(now);
                false
            }
            Some(_) => {
                self.remove(id);
                true
            }
            None => false,
        }
    }

    /// Drops servers whose entries did not come back after the store's return, and counts them.
    pub fn drop_lapsed(&mut self, now: Millis) -> usize {
        let is_over = |it: &KnownServer| it.lapsed.is_some_and(|since| now.since(since) >= LAPSE_GRACE_MS);
        let over = self.servers.iter().filter(|(_, it)| is_over(it));
        let over: Vec<String> = over.map(|(id, _)| id.clone()).collect();
        for id in &over {
            self.remove(id);
        }
        over.len()
    }

    fn remove(&mut self, id: &str) {
        self.entries_taken += 1;
        self.servers.remove(id);
    }

    /// Known servers.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<BackendServer>> {
        self.servers.iter().map(|(_, it)| &it.server)
    }

    /// Grows with every entry of a server that was taken or removed.
    pub fn entries_taken(&self) -> u64 {
        self.entries_taken
    }

    /// Number of the last change of servers.
    pub fn change(&self) -> u64 {
        self.servers.last()
    }

    /// Changes of servers since the numbered one, or all servers when `since` is `None` or too long ago.
    pub fn changes_since(&self, since: Option<u64>) -> Changes<BackendServer> {
        self.servers.since(since, |it| it.server.without_copies())
    }

    /// Takes changes of what engines hold.
    pub fn put_placement(&mut self, version: (u64, u64), changes: Changes<Placed>, now: Millis) {
        let gone: Vec<String> = if changes.is_whole {
            let told: HashSet<&str> = changes.present.iter().map(|it| it.server.as_str()).collect();
            let missing = self.placed.iter().filter(|(id, _)| !told.contains(id.as_str()));
            missing.map(|(id, _)| id.clone()).collect()
        } else {
            changes.gone
        };
        for placed in changes.present {
            let id = placed.server.clone();
            let is_change = self.placed.get(&id) != Some(&placed);
            self.placed.put(&id, placed, is_change);
        }
        for id in &gone {
            self.placed.remove(id);
        }
        self.placed_version = version;
        self.placed_at = Some(now);
        self.missing.clear();
    }

    /// Notes that what engines hold is still current.
    pub fn confirm_placement(&mut self, version: (u64, u64), now: Millis) {
        self.placed_version = version;
        self.placed_at = Some(now);
    }

    /// Term and version of the placement; term zero for none.
    pub fn placed_version(&self) -> (u64, u64) {
        self.placed_version
    }

    /// Number of the last change of what engines hold.
    pub fn placed_change(&self) -> u64 {
        self.placed.last()
    }

    /// Changes of what engines hold since the numbered one, or everything.
    pub fn placed_since(&self, since: Option<u64>) -> Changes<Placed> {
        self.placed.since(since, Placed::clone)
    }

    /// Takes signs of life of members; those of unknown members are passed over.
    pub fn note_signs(&mut self, signs: &[Sign], now: Millis) {
        let ages: HashMap<u32, u8> = signs.iter().map(|it| (it.key, it.age)).collect();
        for known in self.members.values_mut() {
            if let Some(age) = ages.get(&known.member.key()) {
                known.hear(Some(now - u64::from(*age) * SIGN_AGE_MS), now);
            }
        }
    }

    /// Signs of life of the members that were heard of late.
    pub fn signs(&self, now: Millis) -> Vec<Sign> {
        let signs = self.members.values().filter_map(|it| {
            let age = now.since(it.heard?);
            let age = (age < MEMBER_SILENT_MS).then_some(age / SIGN_AGE_MS)?;
            Some(Sign {
                key: it.member.key(),
                age: u8::try_from(age).unwrap_or(u8::MAX),
            })
        });
        signs.collect()
    }

    /// Takes the times until models can take requests.
    pub fn put_waits(&mut self, waits: Vec<Wait>, now: Millis) {
        self.waits = waits;
        self.waits_at = Some(now);
    }

    /// Least time until a model can take requests; `None` when nobody has told it of late.
    pub fn wait_ms(&self, service: &str, model: &str, now: Millis) -> Option<u64> {
        let told = self.waits_at.filter(|it| now.since(*it) < PLACED_VALID_MS)?;
        let wait = self
            .waits
            .iter()
            .find(|it| it.service == service && it.model == model)?;
        Some(wait.ms.saturating_sub(now.since(told)))
    }

    /// Notes that a server turned out not to hold a model.
    pub fn note_missing(&mut self, server: &str, model: &str, now: Millis) {
        let key = (server.to_owned(), model.to_owned());
        self.missing.insert(key, now);
    }

    fn is_missing(&self, server: &str, model: &str, now: Millis) -> bool {
        // Few models are missing, and each request asks for all servers; a key is a copy of two names.
        if self.missing.is_empty() {
            return false;
        }
        let key = (server.to_owned(), model.to_owned());
        self.missing.get(&key).is_some_and(|it| now.since(*it) < MISSING_MS)
    }

    /// Whether a server takes requests for the model and adapter.
    pub fn holds(&self, server: &BackendServer, model: &str, adapter: Option<&str>, now: Millis) -> bool {
        if self.is_missing(&server.id, model, now) {
            return false;
        }
        let is_fresh = self.placed_at.is_some_and(|it| now.since(it) < PLACED_VALID_MS);
        let placed = self.placed.get(&server.id).filter(|it| it.born_ms == server.born_ms);
        match placed {
            Some(placed) if is_fresh => lists(&placed.held, model, adapter),
            // Neither may be right, and a request that meets the wrong server is refused there without having run.
            Some(placed) => lists(&placed.held, model, adapter) || server.holds(model, adapter),
            None => server.holds(model, adapter),
        }
    }
}

fn lists(held: &[HeldModel], model: &str, adapter: Option<&str>) -> bool {
    let has_adapter = |it: &HeldModel| adapter.is_none_or(|name| it.adapters.iter().any(|held| held == name));
    held.iter().any(|it| it.name == model && has_adapter(it))
}

/// Whether two entries of a server differ only in what its engine holds, which the coordinator tells.
fn has_same_standing(a: &BackendServer, b: &BackendServer) -> bool {
    a.state == b.state
        && a.address == b.address
        && a.born_ms == b.born_ms
        && a.service == b.service
        && a.zone == b.zone
        && a.slots == b.slots
}
