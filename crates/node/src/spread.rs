//! The map of entries as programs use it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use guava_core::config::Kind;
use guava_core::events::Event;
use guava_core::gossip::{Digests, GossipMap, Push};
use guava_core::ids::Incarnation;
use guava_core::membership::MemberEvent;
use guava_core::spread::{Entry, EntryKey, Version};
use guava_core::units::Millis;
use parking_lot::Mutex;
use tokio::sync::{Notify, broadcast};

use crate::members::MemberTable;
use crate::{Clock, Spread, Timeline};

/// Changes that a slow subscriber may lag behind before it must read all entries again.
const CHANGE_BUFFER: usize = 4_096;

/// Entries of this process with their subscribers.
#[derive(Debug)]
pub(crate) struct SpreadMap {
    map: Mutex<GossipMap>,
    changes: broadcast::Sender<Arc<Entry>>,
    /// Wakes the task that pushes changes.
    pub(crate) queued: Notify,
    changed: AtomicU64,
    matched: AtomicU64,
    /// Set once the process is configured; the first fill would otherwise push everything else out of the event ring.
    pub(crate) log_changes: AtomicBool,
    members: Arc<MemberTable>,
    clock: Arc<dyn Clock>,
    timeline: Arc<dyn Timeline>,
}

impl SpreadMap {
    pub(crate) fn new(members: Arc<MemberTable>, clock: Arc<dyn Clock>, timeline: Arc<dyn Timeline>) -> Self {
        Self {
            map: Mutex::default(),
            changes: broadcast::channel(CHANGE_BUFFER).0,
            queued: Notify::new(),
            changed: AtomicU64::new(0),
            matched: AtomicU64::new(clock.now().0),
            log_changes: AtomicBool::new(false),
            members,
            clock,
            timeline,
        }
    }

    /// Time of the last change.
    pub(crate) fn changed(&self) -> Millis {
        Millis(self.changed.load(Ordering::Acquire))
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

    pub(crate) fn is_news(&self, key: &EntryKey, version: Version) -> bool {
        self.map.lock().is_newer(key, version)
    }

    /// Latest changes in the buckets in which `theirs` differs.
    pub(crate) fn recent(&self, theirs: &Digests) -> Vec<Arc<Entry>> {
        let map = self.map.lock();
        map.recent_of(&map.differing(theirs))
    }

    /// Notes that another member has the same entries.
    pub(crate) fn note_match(&self) {
        self.matched.store(self.clock.now().0, Ordering::Release);
    }

    /// Time at which another member last had the same entries.
    pub(crate) fn matched(&self) -> Millis {
        Millis(self.matched.load(Ordering::Acquire))
    }

    /// Entries of the buckets in which `theirs` differs, and whether more must be asked for.
    pub(crate) fn differing(&self, theirs: &Digests, limit: usize) -> (Vec<Arc<Entry>>, bool) {
        let map = self.map.lock();
        map.entries_of(&map.differing(theirs), limit)
    }

    pub(crate) fn take_pushes(&self, limit: usize) -> Vec<Push> {
        self.map.lock().take_pushes(limit)
    }

    pub(crate) fn has_queued(&self) -> bool {
        self.map.lock().has_queued()
    }

    /// Merges an entry that others have already, without pushing it.
    pub(crate) fn fill(&self, entry: Entry) -> bool {
        self.accept(|map| map.merge_without_push(entry))
    }

    fn accept(&self, merge: impl FnOnce(&mut GossipMap) -> Option<Arc<Entry>>) -> bool {
        let mut map = self.map.lock();
        let Some(entry) = merge(&mut map) else {
            return false;
        };
        // Sent under the lock, so that subscribers see the versions of a key in order. Without subscribers it fails.
        let _ = self.changes.send(Arc::clone(&entry));
        drop(map);
        self.changed.store(self.clock.now().0, Ordering::Release);
        self.note(&entry);
        true
    }

    /// Known entries of a kind with a value, by name.
    pub(crate) fn present(&self, select: impl Fn(&EntryKey) -> bool) -> Vec<Arc<Entry>> {
        let map = self.map.lock();
        map.iter()
            .filter(|it| !it.value.is_empty() && select(&it.key))
            .cloned()
            .collect()
    }

    fn note(&self, entry: &Entry) {
        match &entry.key {
            EntryKey::Ended(id) => {
                let out = self.members.end(id, Incarnation(entry.version.sequence));
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

impl Spread for SpreadMap {
    fn get(&self, key: &EntryKey) -> Option<Arc<Entry>> {
        self.map.lock().get(key).cloned()
    }

    fn entries(&self) -> Vec<Arc<Entry>> {
        self.present(|_| true)
    }

    fn put(&self, entry: Entry) -> bool {
        let accepted = self.accept(|map| map.merge(entry));
        if accepted {
            self.queued.notify_one();
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
