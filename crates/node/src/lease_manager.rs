//! Lease manager: makes the calls that the lease logic decides.

use std::collections::BTreeMap;
use std::sync::{Arc, Weak};
use std::time::Duration;

use guava_core::config::Kind;
use guava_core::events::Event;
use guava_core::ids::{LeaseName, MemberId, Term};
use guava_core::lease::{Candidacy, Lease, LeaseCall, LeaseEvent, LeaseSpec, StoredLease, WriteOutcome};
use guava_core::rendezvous;
use guava_core::spread::{Entry, EntryKey, Version};
use guava_objects::{Expect, PlatformError, StoredObject};
use parking_lot::Mutex;
use rand::Rng;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

use crate::shared::Shared;
use crate::{Leases, Members, Spread};

/// Time between steps of one lease.
const STEP: Duration = Duration::from_millis(200);
/// Time limit of a read.
const READ_LIMIT: Duration = Duration::from_secs(3);
/// Time limit of a write, after which its outcome counts as unknown.
const WRITE_LIMIT: Duration = Duration::from_secs(5);
/// Time limit for giving back all leases at a shutdown.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);

/// Bounds of the pause after a failed call, in milliseconds, in addition to the pause of the lease logic: leases whose
/// calls fail at the same moment would otherwise all repeat them at the same moment.
const RETRY_JITTER_MS: std::ops::Range<u64> = 0..500;

/// Sequence of the entry of a lease that has been given back.
const RELEASED: u64 = 1;

#[derive(Debug)]
struct Kept {
    lease: Arc<Mutex<Lease>>,
    task: JoinHandle<()>,
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Leases this process competes for.
#[derive(Debug)]
pub(crate) struct LeaseManager {
    shared: Weak<Shared>,
    handle: Handle,
    kept: Mutex<BTreeMap<LeaseName, Kept>>,
    spread: Arc<dyn Spread>,
    clock: Arc<dyn crate::Clock>,
}

impl LeaseManager {
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::downgrade(shared),
            handle: Handle::current(),
            kept: Mutex::default(),
            spread: Arc::<crate::spread::SpreadMap>::clone(&shared.spread),
            clock: Arc::clone(&shared.clock),
        }
    }

    /// Leases held now.
    pub(crate) fn all_held(&self) -> Vec<(LeaseName, Term)> {
        let now = self.clock.now();
        let kept = self.kept.lock();
        kept.iter()
            .filter_map(|(name, it)| it.lease.lock().held(now).map(|term| (name.clone(), term)))
            .collect()
    }

    /// Gives back all leases and ends the competition for them.
    pub(crate) async fn release_all(&self) {
        for kept in self.kept.lock().values() {
            kept.lease.lock().release();
        }
        let released = async {
            while self.holds_any() {
                tokio::time::sleep(STEP / 4).await;
            }
        };
        // Leases that could not be given back run out.
        let _ = tokio::time::timeout(RELEASE_LIMIT, released).await;
        self.abandon_all();
    }

    /// Ends the competition without giving anything back; leases held run out.
    pub(crate) fn abandon_all(&self) {
        self.kept.lock().clear();
    }

    fn holds_any(&self) -> bool {
        self.kept.lock().values().any(|it| it.lease.lock().is_holder())
    }
}

impl Leases for LeaseManager {
    fn compete(&self, name: &LeaseName) {
        let Some(shared) = self.shared.upgrade() else {
            return;
        };
        let mut kept = self.kept.lock();
        if shared.is_shutting_down() || kept.contains_key(name) {
            return;
        }
        let me = shared.me();
        let lease = Arc::new(Mutex::new(Lease::new(me.id.clone(), me.incarnation)));
        let keep = Keep {
            shared: Weak::clone(&self.shared),
            name: name.clone(),
            lease: Arc::clone(&lease),
            rank: (0, None),
        };
        let task = self.handle.spawn(keep.run());
        kept.insert(name.clone(), Kept { lease, task });
    }

    fn held(&self, name: &LeaseName) -> Option<Term> {
        let now = self.clock.now();
        let kept = self.kept.lock();
        kept.get(name).and_then(|it| it.lease.lock().held(now))
    }

    fn holder(&self, name: &LeaseName) -> Option<MemberId> {
        let entry = self.spread.get(&EntryKey::Lease(name.clone()));
        let spread = entry.map(|it| (it.version.term, spec_of(&it.value)));
        let own = self
            .kept
            .lock()
            .get(name)
            .and_then(|it| it.lease.lock().seen().cloned());
        // The platform's object may be read before the entry arrives, and the entry without any read.
        match (spread, own) {
            (Some((term, spec)), Some(own)) if own.term <= term => spec.map(|it| it.holder),
            (_, Some(own)) => (!own.released).then_some(own.holder),
            (Some((_, spec)), None) => spec.map(|it| it.holder),
            (None, None) => None,
        }
    }
}

fn spec_of(value: &[u8]) -> Option<LeaseSpec> {
    serde_json::from_slice(value).ok()
}

/// Task that keeps one lease.
#[derive(Debug)]
struct Keep {
    shared: Weak<Shared>,
    name: LeaseName,
    lease: Arc<Mutex<Lease>>,
    rank: (u64, Option<usize>),
}

impl Keep {
    async fn run(mut self) {
        let mut last_entry = Version::default();
        while let Some(shared) = self.shared.upgrade() {
            self.look_when_given_back(&shared, &mut last_entry);
            let call = self.step(&shared);
            let made_call = call.is_some();
            let answered = match call {
                Some(call) => self.make(&shared, call).await,
                None => true,
            };
            self.report(&shared);
            drop(shared);
            if !made_call {
                tokio::time::sleep(STEP).await;
            } else if !answered {
                let pause = rand::rng().random_range(RETRY_JITTER_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    }

    /// Reads the object at once when its holder tells that it has given the lease back.
    fn look_when_given_back(&self, shared: &Shared, last: &mut Version) {
        let Some(entry) = shared.spread.get(&EntryKey::Lease(self.name.clone())) else {
            return;
        };
        if entry.version > *last {
            *last = entry.version;
            if entry.value.is_empty() {
                self.lease.lock().refresh();
            }
        }
    }

    fn step(&mut self, shared: &Shared) -> Option<LeaseCall> {
        let rank = self.rank(shared);
        let holder = self.lease.lock().seen().cloned();
        let holder_ended = holder.is_some_and(|it| shared.members.has_ended(&it.holder, it.incarnation));
        let standing = Candidacy { rank, holder_ended };
        let now = shared.clock.now();
        self.lease.lock().step(standing, now, &mut rand::rng())
    }

    /// Rank among live members of the same role; computed again when the members change.
    fn rank(&mut self, shared: &Shared) -> Option<usize> {
        if shared.is_shutting_down() {
            return None;
        }
        let candidates = shared.members.candidates();
        if self.rank.0 != candidates.generation {
            let names = candidates.role.iter().map(String::as_str);
            let position = rendezvous::position(self.name.as_str(), names, &shared.me().id.to_string());
            self.rank = (candidates.generation, position);
        }
        self.rank.1
    }

    /// Makes a call; false when the platform did not answer it.
    async fn make(&self, shared: &Shared, call: LeaseCall) -> bool {
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
                let answer = tokio::time::timeout(WRITE_LIMIT, put).await;
                let outcome = match answer {
                    Ok(answer) => outcome_of(&answer),
                    Err(_) => WriteOutcome::Unknown,
                };
                let answered = matches!(outcome, WriteOutcome::Done { .. } | WriteOutcome::Conflict);
                let now = shared.clock.now();
                self.lease.lock().on_write(&call, outcome, now);
                answered
            }
        }
    }

    /// Reads the object; false when the platform did not answer.
    async fn read(&self, shared: &Shared) -> bool {
        let get = shared.store.get(Kind::Lease, self.name.as_str());
        let answer = tokio::time::timeout(READ_LIMIT, get).await;
        let now = shared.clock.now();
        let answered = matches!(answer, Ok(Ok(_)));
        let mut lease = self.lease.lock();
        match answer {
            Ok(Ok(found)) => match found.map(stored_lease).transpose() {
                Ok(found) => lease.on_read(found, now),
                Err(error) => {
                    log::warn!("lease {} cannot be read: {error}", self.name);
                    lease.on_read_failed(now);
                }
            },
            Ok(Err(_)) | Err(_) => lease.on_read_failed(now),
        }
        answered
    }

    fn report(&self, shared: &Shared) {
        let events = self.lease.lock().take_events();
        for event in events {
            match event {
                LeaseEvent::Acquired(term) => {
                    self.spread_holder(shared, term);
                    let detail = format!("{} term {}", self.name, term.0);
                    shared.timeline.record(Event::LeaseAcquired, None, None, &detail);
                }
                LeaseEvent::Released(term) => {
                    self.spread_release(shared, term);
                    let detail = format!("{} term {} given back", self.name, term.0);
                    shared.timeline.record(Event::LeaseReleased, None, None, &detail);
                }
                LeaseEvent::Lost(term) => {
                    let detail = format!("{} term {}", self.name, term.0);
                    shared.timeline.record(Event::LeaseLost, None, None, &detail);
                }
            }
        }
    }

    fn spread_holder(&self, shared: &Shared, term: Term) {
        let spec = self.lease.lock().seen().cloned();
        let value = spec.and_then(|it| serde_json::to_vec(&it).ok());
        self.put(shared, Version { term, sequence: 0 }, value.unwrap_or_default());
    }

    fn spread_release(&self, shared: &Shared, term: Term) {
        let version = Version {
            term,
            sequence: RELEASED,
        };
        self.put(shared, version, Vec::new());
    }

    fn put(&self, shared: &Shared, version: Version, value: Vec<u8>) {
        shared.spread.put(Entry {
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

fn outcome_of(answer: &Result<u64, PlatformError>) -> WriteOutcome {
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
