//! Reading of configuration from the platform by the watchers of each availability zone.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use guava_core::config::Kind;
use guava_core::ids::Term;
use guava_core::rendezvous;
use guava_core::spread::{Entry, EntryKey, Version};
use guava_objects::{Change, PlatformError, StoredObject};
use rand::Rng;

use crate::Spread;
use crate::shared::Shared;

/// Members of a zone that watch one kind.
pub(crate) const WATCHERS_PER_ZONE: usize = 2;

/// Kinds that are spread.
pub(crate) const KINDS: [Kind; 9] = [
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

/// Longest wait of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of a watch call whose answer does not come.
const WATCH_LIMIT: Duration = Duration::from_secs(15);
/// Time limit of a list.
const LIST_LIMIT: Duration = Duration::from_secs(30);
/// Time after which objects are listed again.
const LIST_MS: u64 = 60_000;
/// Time between looks at whether this process has become a watcher.
const ROLE_CHECK: Duration = Duration::from_secs(1);
/// Pause after a watch that returned early without changes, so that a faulty answer does not cause a busy loop.
const EARLY_PAUSE: Duration = Duration::from_millis(200);
/// Pauses after failed calls, in milliseconds; the jitter keeps watchers from listing all at once after an outage.
const RETRY_MS: std::ops::Range<u64> = 200..5_000;

/// Ranking of the members of a zone for one watched thing, computed again when the members change.
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

    /// Whether this process is one of its zone's watchers.
    pub(crate) fn is_watcher(&mut self, shared: &Shared) -> bool {
        let candidates = shared.members.candidates();
        if candidates.generation != self.generation {
            self.generation = candidates.generation;
            self.is_watcher = ranks_first(&shared.me().id.to_string(), &candidates.zone, &self.key);
        }
        self.is_watcher
    }
}

fn ranks_first(me: &str, others: &[String], key: &str) -> bool {
    let mine = rendezvous::weight(key, me);
    let before = others.iter().filter(|it| rendezvous::weight(key, it) > mine).count();
    before < WATCHERS_PER_ZONE
}

/// Watches one kind whenever this process is a watcher for it.
pub(crate) async fn watch_loop(shared: Arc<Shared>, kind: Kind) {
    let mut role = WatchRole::new(format!("watch/{}", kind.plural()));
    loop {
        if !role.is_watcher(&shared) {
            tokio::time::sleep(ROLE_CHECK).await;
            continue;
        }
        let limited = tokio::time::timeout(LIST_LIMIT, list(&shared, kind)).await;
        let Some(version) = limited.ok().flatten() else {
            pause().await;
            continue;
        };
        watch_from(&shared, kind, version, &mut role).await;
    }
}

async fn watch_from(shared: &Shared, kind: Kind, version: u64, role: &mut WatchRole) {
    let end = shared.clock.now() + LIST_MS;
    let mut since = version;
    while shared.clock.now() < end && role.is_watcher(shared) {
        let started = shared.clock.now();
        let watch = shared.store.watch(kind, since, WATCH_TIMEOUT);
        match tokio::time::timeout(WATCH_LIMIT, watch).await {
            Ok(Ok(changes)) => {
                let is_early = shared.clock.now().since(started) < EARLY_PAUSE.as_millis() as u64;
                if changes.is_empty() && is_early {
                    tokio::time::sleep(EARLY_PAUSE).await;
                }
                for change in changes {
                    since = since.max(version_of(&change));
                    apply(shared, change);
                }
            }
            Ok(Err(PlatformError::Expired)) => return,
            Ok(Err(_)) | Err(_) => {
                pause().await;
                return;
            }
        }
    }
}

async fn pause() {
    let pause = rand::rng().random_range(RETRY_MS);
    tokio::time::sleep(Duration::from_millis(pause)).await;
}

/// Lists a kind into the map and returns the version of the list.
pub(crate) async fn list(shared: &Shared, kind: Kind) -> Option<u64> {
    let list = shared.store.list(kind).await.ok()?;
    let names: HashSet<&str> = list.items.iter().map(|it| it.name.as_str()).collect();
    let version = Version {
        term: Term(0),
        sequence: list.version,
    };
    // An entry that is missing from the list was deleted, unless it is newer than the list.
    let gone = shared.spread.present(|key| {
        let name = name_of(kind, key);
        name.is_some_and(|it| !names.contains(it))
    });
    let tombstones = gone.into_iter().filter(|it| it.version < version);
    for entry in tombstones {
        shared.spread.put(Entry {
            key: entry.key.clone(),
            version,
            value: Vec::new(),
        });
    }
    for object in list.items {
        let entry = entry_of(object);
        // Before this process has its configuration, what it lists is news to itself only.
        if shared.is_configured() {
            shared.spread.put(entry);
        } else {
            shared.spread.fill(entry);
        }
    }
    Some(list.version)
}

fn apply(shared: &Shared, change: Change) {
    match change {
        Change::Put(object) => {
            shared.spread.put(entry_of(object));
        }
        Change::Deleted { kind, name, version } => {
            shared.spread.put(Entry {
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
        EntryKey::Config(it, name) if *it == kind => Some(name),
        _ => None,
    }
}
