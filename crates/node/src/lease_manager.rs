//! Lease manager: executes the platform calls that [`Lease`] requests.

use std::collections::BTreeMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use guava_core::config::Kind;
use guava_core::events::Event;
use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::{LeaseName, MemberId, Term};
use guava_core::lease::{Candidacy, Lease, LeaseCall, LeaseEvent, LeaseSpec, StoredLease, WriteOutcome};
use guava_core::rendezvous;
use guava_objects::{Expect, PlatformError, StoredObject};
use parking_lot::Mutex;
use rand::Rng;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

use crate::shared::Shared;
use crate::{GossipState, Leases, Members};

/// Time between steps of one lease while it needs no call.
const STEP_INTERVAL: Duration = Duration::from_millis(200);
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which the outcome of a write counts as unknown.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for releasing all leases at shutdown.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Range of the random pause after a failed call, in addition to the retry delay of [`Lease`]. Without it, leases whose
/// calls fail together would all retry together.
const RETRY_JITTER_MS: std::ops::Range<u64> = 0..500;

/// Sequence of the entry that publishes the release of a lease; the entry of its holder has sequence 0.
const RELEASED_SEQUENCE: u64 = 1;

#[derive(Debug)]
struct ManagedLease {
    lease: Arc<Mutex<Lease>>,
    task: JoinHandle<()>,
}

impl Drop for ManagedLease {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Leases that this process competes for, each driven by a task of its own.
#[derive(Debug)]
pub(crate) struct LeaseManager {
    shared: Weak<Shared>,
    handle: Handle,
    leases: Mutex<BTreeMap<LeaseName, ManagedLease>>,
    gossip: Arc<dyn GossipState>,
    clock: Arc<dyn crate::Clock>,
}

impl LeaseManager {
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::downgrade(shared),
            handle: Handle::current(),
            leases: Mutex::default(),
            gossip: Arc::<crate::gossip_map::SharedGossipMap>::clone(&shared.gossip),
            clock: Arc::clone(&shared.clock),
        }
    }

    /// Leases under which this process may act now.
    pub(crate) fn all_held(&self) -> Vec<(LeaseName, Term)> {
        let now = self.clock.now();
        let leases = self.leases.lock();
        leases
            .iter()
            .filter_map(|(name, it)| it.lease.lock().held(now).map(|term| (name.clone(), term)))
            .collect()
    }

    /// Releases all leases and stops competing for them.
    pub(crate) async fn release_all(&self) {
        for managed in self.leases.lock().values() {
            managed.lease.lock().release();
        }
        let released = async {
            while self.holds_any() {
                tokio::time::sleep(STEP_INTERVAL / 4).await;
            }
        };
        // Leases that could not be released in time expire.
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, released).await;
        self.abandon_all();
    }

    /// Stops competing for all leases without releasing them; leases held expire.
    pub(crate) fn abandon_all(&self) {
        self.leases.lock().clear();
    }

    fn holds_any(&self) -> bool {
        self.leases.lock().values().any(|it| it.lease.lock().is_holder())
    }
}

impl Leases for LeaseManager {
    fn compete(&self, name: &LeaseName) {
        let Some(shared) = self.shared.upgrade() else {
            return;
        };
        let mut leases = self.leases.lock();
        if shared.is_shutting_down() || leases.contains_key(name) {
            return;
        }
        let me = shared.me();
        let lease = Arc::new(Mutex::new(Lease::new(me.id.clone(), me.incarnation)));
        let lease_task = LeaseTask {
            shared: Weak::clone(&self.shared),
            name: name.clone(),
            lease: Arc::clone(&lease),
            rank: (0, None),
        };
        let task = self.handle.spawn(lease_task.run());
        leases.insert(name.clone(), ManagedLease { lease, task });
    }

    fn held(&self, name: &LeaseName) -> Option<Term> {
        let now = self.clock.now();
        let leases = self.leases.lock();
        leases.get(name).and_then(|it| it.lease.lock().held(now))
    }

    fn holder(&self, name: &LeaseName) -> Option<MemberId> {
        let entry = self.gossip.get(&EntryKey::Lease(name.clone()));
        let published = entry.map(|it| (it.version.term, decode_spec(&it.value)));
        let read = self
            .leases
            .lock()
            .get(name)
            .and_then(|it| it.lease.lock().seen().cloned());
        // The lease object may have been read before the entry arrived, and the entry may arrive without any read. The
        // entry applies unless the object read has a later term.
        match (published, read) {
            (Some((term, spec)), Some(read)) if read.term <= term => spec.map(|it| it.holder),
            (_, Some(read)) => (!read.released).then_some(read.holder),
            (Some((_, spec)), None) => spec.map(|it| it.holder),
            (None, None) => None,
        }
    }
}

/// Decodes the value of a lease entry; `None` for the empty value of a released lease.
fn decode_spec(value: &[u8]) -> Option<LeaseSpec> {
    serde_json::from_slice(value).ok()
}

/// Task that acquires and renews one lease.
#[derive(Debug)]
struct LeaseTask {
    shared: Weak<Shared>,
    name: LeaseName,
    lease: Arc<Mutex<Lease>>,
    /// Rank of this process, with the generation of the candidates for which it was computed.
    rank: (u64, Option<usize>),
}

impl LeaseTask {
    async fn run(mut self) {
        let mut last_version = Version::default();
        while let Some(shared) = self.shared.upgrade() {
            self.reread_if_released(&shared, &mut last_version);
            let call = self.step(&shared);
            let has_call = call.is_some();
            let answered = match call {
                Some(call) => self.execute(&shared, call).await,
                None => true,
            };
            self.publish_events(&shared);
            drop(shared);
            if !has_call {
                tokio::time::sleep(STEP_INTERVAL).await;
            } else if !answered {
                let pause = rand::rng().random_range(RETRY_JITTER_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    }

    /// Makes the next step read the lease object when a new entry says that its holder has released the lease.
    fn reread_if_released(&self, shared: &Shared, last_version: &mut Version) {
        let Some(entry) = shared.gossip.get(&EntryKey::Lease(self.name.clone())) else {
            return;
        };
        if entry.version > *last_version {
            *last_version = entry.version;
            if entry.value.is_empty() {
                self.lease.lock().refresh();
            }
        }
    }

    fn step(&mut self, shared: &Shared) -> Option<LeaseCall> {
        let rank = self.rank(shared);
        let holder = self.lease.lock().seen().cloned();
        let holder_ended = holder.is_some_and(|it| shared.members.has_ended(&it.holder, it.incarnation));
        let candidacy = Candidacy {
            rank,
            holder_ended,
            ..Candidacy::default()
        };
        let now = shared.clock.now();
        self.lease.lock().step(candidacy, now, &mut rand::rng())
    }

    /// Rank among the live members with the same role; `None` while the process is shutting down.
    fn rank(&mut self, shared: &Shared) -> Option<usize> {
        if shared.is_shutting_down() {
            return None;
        }
        let candidates = shared.members.candidates();
        if self.rank.0 != candidates.generation {
            let names = candidates.same_role.iter().map(String::as_str);
            let position = rendezvous::position(self.name.as_str(), names, &shared.me().id.to_string());
            self.rank = (candidates.generation, position);
        }
        self.rank.1
    }

    /// Executes a call. Returns false when it failed, other than by a version conflict; the caller then pauses.
    async fn execute(&self, shared: &Shared, call: LeaseCall) -> bool {
        match &call {
            LeaseCall::Read => self.read(shared).await,
            LeaseCall::Write {
                spec,
                expect,
                operation,
            } => {
                let value = serde_json::to_value(spec).unwrap_or_default();
                let expect = expect.map_or(Expect::Absent, Expect::Version);
                let put = shared
                    .store
                    .put(Kind::Lease, self.name.as_str(), &value, expect, operation);
                let answer = tokio::time::timeout(WRITE_TIMEOUT, put).await;
                let outcome = match answer {
                    Ok(answer) => write_outcome(&answer),
                    Err(_) => WriteOutcome::Unknown,
                };
                let answered = matches!(outcome, WriteOutcome::Done { .. } | WriteOutcome::Conflict);
                let now = shared.clock.now();
                self.lease.lock().on_write(&call, outcome, now);
                answered
            }
        }
    }

    /// Reads the lease object. Returns whether the read succeeded, even when the object cannot be decoded.
    async fn read(&self, shared: &Shared) -> bool {
        let get = shared.store.get(Kind::Lease, self.name.as_str());
        let answer = tokio::time::timeout(READ_TIMEOUT, get).await;
        let now = shared.clock.now();
        let answered = matches!(answer, Ok(Ok(_)));
        let mut lease = self.lease.lock();
        match answer {
            Ok(Ok(found)) => match found.map(stored_lease).transpose() {
                Ok(found) => lease.on_read(found, now),
                Err(error) => {
                    log::warn!("lease {} in the object store cannot be decoded: {error}", self.name);
                    lease.on_read_failed(now);
                }
            },
            Ok(Err(_)) | Err(_) => lease.on_read_failed(now),
        }
        answered
    }

    fn publish_events(&self, shared: &Shared) {
        let events = self.lease.lock().take_events();
        for event in events {
            match event {
                LeaseEvent::Acquired(term) | LeaseEvent::Reissued(term) => {
                    self.publish_holder(shared, term);
                    let detail = format!("{} term {}", self.name, term.0);
                    shared.timeline.record(Event::LeaseAcquired, None, None, &detail);
                }
                LeaseEvent::Released(term) => {
                    self.publish_release(shared, term);
                    let detail = format!("{} term {} released", self.name, term.0);
                    shared.timeline.record(Event::LeaseReleased, None, None, &detail);
                }
                LeaseEvent::Lost(term) => {
                    let detail = format!("{} term {}", self.name, term.0);
                    shared.timeline.record(Event::LeaseLost, None, None, &detail);
                }
            }
        }
    }

    fn publish_holder(&self, shared: &Shared, term: Term) {
        let spec = self.lease.lock().seen().cloned();
        let value = spec.and_then(|it| serde_json::to_vec(&it).ok());
        self.publish(shared, Version { term, sequence: 0 }, value.unwrap_or_default());
    }

    fn publish_release(&self, shared: &Shared, term: Term) {
        let version = Version {
            term,
            sequence: RELEASED_SEQUENCE,
        };
        self.publish(shared, version, Vec::new());
    }

    fn publish(&self, shared: &Shared, version: Version, value: Vec<u8>) {
        shared.gossip.put(Entry {
            key: EntryKey::Lease(self.name.clone()),
            version,
            value,
        });
    }
}

fn stored_lease(object: StoredObject) -> Result<StoredLease, serde_json::Error> {
    let spec = serde_json::from_value(object.spec)?;
    Ok(StoredLease {
        version: object.version,
        operation: object.operation,
        spec,
    })
}

fn write_outcome(answer: &Result<u64, PlatformError>) -> WriteOutcome {
    match answer {
        Ok(version) => WriteOutcome::Done { version: *version },
        Err(PlatformError::Conflict(_)) => WriteOutcome::Conflict,
        Err(
            PlatformError::Unavailable(_)
            | PlatformError::RateLimited
            | PlatformError::TooLarge
            | PlatformError::Expired,
        ) => WriteOutcome::NotRun,
        Err(PlatformError::OutcomeUnknown(_) | PlatformError::Malformed(_)) => WriteOutcome::Unknown,
    }
}
