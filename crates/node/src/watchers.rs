//! Reads configuration from the platform and gossips it.
//!
//! For each kind, two members of every availability zone are its watchers: they list and watch its objects.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use guava_core::config::Kind;
use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::Term;
use guava_core::rendezvous;
use guava_objects::{Change, PlatformError, StoredObject};
use rand::Rng;

use crate::GossipState;
use crate::shared::Shared;

/// Watchers of one kind in each availability zone.
pub(crate) const WATCHERS_PER_ZONE: usize = 2;

/// Kinds of objects that are read from the platform and gossiped.
pub(crate) const WATCHED_KINDS: [Kind; 9] = [
    Kind::Profile,
    Kind::Model,
    Kind::Adapter,
    Kind::Organisation,
    Kind::Key,
    Kind::Server,
    Kind::Pool,
    Kind::Route,
    Kind::Shares,
];

/// Time for which the platform may hold a watch call open without a change.
const WATCH_HOLD: Duration = Duration::from_secs(10);
/// Time limit of a watch call; longer than [`WATCH_HOLD`].
const WATCH_CALL_TIMEOUT: Duration = Duration::from_secs(15);
const LIST_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which watched objects are listed again.
const RELIST_INTERVAL_MS: u64 = 60_000;
/// Time between checks whether this process has become a watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a watch call that returned without changes in less than this time; prevents a busy loop when the
/// platform does not hold calls open.
const EMPTY_WATCH_PAUSE: Duration = Duration::from_millis(200);
/// Range of the random pause after a failed call. The jitter keeps watchers from listing all at once after an outage.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 200..5_000;

/// Whether this process is a watcher for `key`; recomputed when the members of its zone change.
#[derive(Debug)]
pub(crate) struct WatchRole {
    key: String,
    generation: u64,
    is_watcher: bool,
}

impl WatchRole {
    pub(crate) fn new(key: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            generation: 0,
            is_watcher: false,
        }
    }

    /// Whether this process is one of the watchers of its availability zone.
    pub(crate) fn is_watcher(&mut self, shared: &Shared) -> bool {
        let candidates = shared.members.candidates();
        if candidates.generation != self.generation {
            self.generation = candidates.generation;
            self.is_watcher = ranks_among_watchers(&shared.me().id.to_string(), &candidates.same_zone, &self.key);
        }
        self.is_watcher
    }
}

fn ranks_among_watchers(me: &str, others: &[String], key: &str) -> bool {
    let own_weight = rendezvous::weight(key, me);
    let ranked_higher = others
        .iter()
        .filter(|it| rendezvous::weight(key, it) > own_weight)
        .count();
    ranked_higher < WATCHERS_PER_ZONE
}

/// Lists and watches the objects of `kind` whenever this process is one of its watchers.
pub(crate) async fn watch_loop(shared: Arc<Shared>, kind: Kind) {
    let mut role = WatchRole::new(format!("watch/{}", kind.plural()));
    loop {
        if !role.is_watcher(&shared) {
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let listed = tokio::time::timeout(LIST_TIMEOUT, list_kind(&shared, kind)).await;
        let Some(version) = listed.ok().flatten() else {
            pause_before_retry().await;
            continue;
        };
        watch_from(&shared, kind, version, &mut role).await;
    }
}

async fn watch_from(shared: &Shared, kind: Kind, version: u64, role: &mut WatchRole) {
    let relist_at = shared.clock.now() + RELIST_INTERVAL_MS;
    let mut since = version;
    while shared.clock.now() < relist_at && role.is_watcher(shared) {
        let started = shared.clock.now();
        let watch = shared.store.watch(kind, since, WATCH_HOLD);
        match tokio::time::timeout(WATCH_CALL_TIMEOUT, watch).await {
            Ok(Ok(changes)) => {
                let returned_early = shared.clock.now().since(started) < EMPTY_WATCH_PAUSE.as_millis() as u64;
                if changes.is_empty() && returned_early {
                    tokio::time::sleep(EMPTY_WATCH_PAUSE).await;
                }
                for change in changes {
                    since = since.max(version_of(&change));
                    apply_change(shared, change);
                }
            }
            Ok(Err(PlatformError::Expired)) => return,
            Ok(Err(_)) | Err(_) => {
                pause_before_retry().await;
                return;
            }
        }
    }
}

async fn pause_before_retry() {
    let pause = rand::rng().random_range(RETRY_PAUSE_MS);
    tokio::time::sleep(Duration::from_millis(pause)).await;
}

/// Merges all objects of `kind` into the replicated entries and returns the version of the list; `None` when the call
/// failed.
pub(crate) async fn list_kind(shared: &Shared, kind: Kind) -> Option<u64> {
    let list = shared.store.list(kind).await.ok()?;
    let names: HashSet<&str> = list.items.iter().map(|it| it.name.as_str()).collect();
    let version = Version {
        term: Term(0),
        sequence: list.version,
    };
    // An object that is missing from the list was deleted, unless its entry is newer than the list.
    let missing = shared.gossip.entries_where(|key| {
        let name = name_of(kind, key);
        name.is_some_and(|it| !names.contains(it))
    });
    let deleted = missing.into_iter().filter(|it| it.version < version);
    for entry in deleted {
        shared.gossip.put(Entry {
            key: entry.key.clone(),
            version,
            value: Vec::new(),
        });
    }
    for object in list.items {
        let entry = entry_of(object);
        // While this process is still synchronising, the objects are new to it but known to other members.
        if shared.is_configured() {
            shared.gossip.put(entry);
        } else {
            shared.gossip.put_without_push(entry);
        }
    }
    Some(list.version)
}

fn apply_change(shared: &Shared, change: Change) {
    match change {
        Change::Put(object) => {
            shared.gossip.put(entry_of(object));
        }
        Change::Deleted { kind, name, version } => {
            shared.gossip.put(Entry {
                key: key_of(kind, name),
                version: Version {
                    term: Term(0),
                    sequence: version,
                },
                value: Vec::new(),
            });
        }
    }
}

fn entry_of(object: StoredObject) -> Entry {
    Entry {
        version: Version {
            term: Term(0),
            sequence: object.version,
        },
        value: object.spec.to_string().into_bytes(),
        key: key_of(object.kind, object.name),
    }
}

fn version_of(change: &Change) -> u64 {
    match change {
        Change::Put(object) => object.version,
        Change::Deleted { version, .. } => *version,
    }
}

fn key_of(kind: Kind, name: String) -> EntryKey {
    match kind {
        Kind::Shares => EntryKey::Shares(name),
        _ => EntryKey::Config(kind, name),
    }
}

fn name_of(kind: Kind, key: &EntryKey) -> Option<&str> {
    match key {
        EntryKey::Shares(name) if kind == Kind::Shares => Some(name),
        EntryKey::Config(entry_kind, name) if *entry_kind == kind => Some(name),
        _ => None,
    }
}
