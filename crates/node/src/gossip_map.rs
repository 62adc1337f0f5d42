//! Entries replicated by gossip, with subscriptions and change events.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use guava_core::config::Kind;
use guava_core::events::Event;
use guava_core::gossip::{Digests, GossipMap, Push};
use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::Incarnation;
use guava_core::membership::MemberEvent;
use guava_core::units::Millis;
use parking_lot::Mutex;
use tokio::sync::{Notify, broadcast};

use crate::members::MemberTable;
use crate::{Clock, GossipState, Timeline};

/// Changes buffered for a slow subscriber; one that lags further must read all entries again.
const CHANGE_BUFFER: usize = 4_096;

/// [`GossipState`] backed by a [`GossipMap`], with subscriptions.
#[derive(Debug)]
pub(crate) struct SharedGossipMap {
    map: Mutex<GossipMap>,
    changes: broadcast::Sender<Arc<Entry>>,
    /// Wakes the task that pushes changed entries.
    pub(crate) push_needed: Notify,
    last_change: AtomicU64,
    last_match: AtomicU64,
    /// Whether changes of configuration are recorded as events. Set after the initial synchronisation, whose changes
    /// would otherwise evict all other events from the ring.
    pub(crate) log_changes: AtomicBool,
    members: Arc<MemberTable>,
    clock: Arc<dyn Clock>,
    timeline: Arc<dyn Timeline>,
}

impl SharedGossipMap {
    pub(crate) fn new(members: Arc<MemberTable>, clock: Arc<dyn Clock>, timeline: Arc<dyn Timeline>) -> Self {
        Self {
            map: Mutex::default(),
            changes: broadcast::channel(CHANGE_BUFFER).0,
            push_needed: Notify::new(),
            last_change: AtomicU64::new(0),
            last_match: AtomicU64::new(clock.now().0),
            log_changes: AtomicBool::new(false),
            members,
            clock,
            timeline,
        }
    }

    /// Time at which an entry was last accepted.
    pub(crate) fn last_change(&self) -> Millis {
        Millis(self.last_change.load(Ordering::Acquire))
    }

    pub(crate) fn digest(&self) -> u64 {
        self.map.lock().digest()
    }

    pub(crate) fn digests(&self) -> Digests {
        *self.map.lock().digests()
    }

    pub(crate) fn len(&self) -> usize {
        self.map.lock().len()
    }

    /// Whether `version` is newer than the known version of `key`.
    pub(crate) fn is_newer(&self, key: &EntryKey, version: Version) -> bool {
        self.map.lock().is_newer(key, version)
    }

    /// Recently changed entries of the buckets whose digests differ from `theirs`.
    pub(crate) fn recent(&self, theirs: &Digests) -> Vec<Arc<Entry>> {
        let map = self.map.lock();
        map.recent_of(&map.differing(theirs))
    }

    /// Records that another member has the same entries.
    pub(crate) fn record_match(&self) {
        self.last_match.store(self.clock.now().0, Ordering::Release);
    }

    /// Time at which another member last reported the same entries.
    pub(crate) fn last_match(&self) -> Millis {
        Millis(self.last_match.load(Ordering::Acquire))
    }

    /// Entries of the buckets whose digests differ from `theirs`, up to about `limit` bytes, and whether buckets were
    /// left out.
    pub(crate) fn differing(&self, theirs: &Digests, limit: usize) -> (Vec<Arc<Entry>>, bool) {
        let map = self.map.lock();
        map.entries_of(&map.differing(theirs), limit)
    }

    pub(crate) fn take_pushes(&self, limit: usize) -> Vec<Push> {
        self.map.lock().take_pushes(limit)
    }

    pub(crate) fn has_queued_pushes(&self) -> bool {
        self.map.lock().has_queued()
    }

    /// Merges an entry that other members already have, without pushing it. Returns whether it was newer.
    pub(crate) fn put_without_push(&self, entry: Entry) -> bool {
        self.merge_with(|map| map.merge_without_push(entry))
    }

    /// Merges an entry by `merge` and notifies subscribers when it was accepted.
    fn merge_with(&self, merge: impl FnOnce(&mut GossipMap) -> Option<Arc<Entry>>) -> bool {
        let mut map = self.map.lock();
        let Some(entry) = merge(&mut map) else {
            return false;
        };
        // Sent under the lock, so that subscribers receive the versions of a key in order. Fails without subscribers.
        let _ = self.changes.send(Arc::clone(&entry));
        drop(map);
        self.last_change.store(self.clock.now().0, Ordering::Release);
        self.on_accepted(&entry);
        true
    }

    /// Entries whose key matches `select`, tombstones left out.
    pub(crate) fn entries_where(&self, select: impl Fn(&EntryKey) -> bool) -> Vec<Arc<Entry>> {
        let map = self.map.lock();
        map.iter()
            .filter(|it| !it.value.is_empty() && select(&it.key))
            .cloned()
            .collect()
    }

    /// Applies a proof that a member has ended, and records the events of an accepted entry.
    fn on_accepted(&self, entry: &Entry) {
        match &entry.key {
            EntryKey::Ended(id) => {
                let out = self.members.mark_ended(id, Incarnation(entry.version.sequence));
                let is_down = |it: &MemberEvent| matches!(it, MemberEvent::Down(_));
                if out.events.iter().any(is_down) {
                    let detail = format!("{id} has ended");
                    self.timeline.record(Event::MemberDown, None, None, &detail);
                }
            }
            EntryKey::Config(kind, name) if self.log_changes.load(Ordering::Acquire) => {
                let is_model = matches!(kind, Kind::Model | Kind::Adapter);
                let model = is_model.then_some(name.as_str());
                let detail = format!("{} {name} version {}", kind.plural(), entry.version.sequence);
                self.timeline.record(Event::ConfigApplied, None, model, &detail);
            }
            _ => {}
        }
    }
}

impl GossipState for SharedGossipMap {
    fn get(&self, key: &EntryKey) -> Option<Arc<Entry>> {
        self.map.lock().get(key).cloned()
    }

    fn entries(&self) -> Vec<Arc<Entry>> {
        self.entries_where(|_| true)
    }

    fn put(&self, entry: Entry) -> bool {
        let accepted = self.merge_with(|map| map.merge(entry));
        if accepted {
            self.push_needed.notify_one();
        }
        accepted
    }

    fn subscribe(&self) -> broadcast::Receiver<Arc<Entry>> {
        self.changes.subscribe()
    }

    fn newest(&self, kind: Kind) -> Version {
        self.map.lock().newest(kind)
    }
}
