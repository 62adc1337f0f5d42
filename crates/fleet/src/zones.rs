//! Availability zones that the operators have evacuated.
//!
//! Each VM keeps the whole set with the revision of the store that it reflects. A later revision, or a later era,
//! replaces an earlier one, whoever reports it. A process that has just started, or was suspended, does not know which
//! zones are evacuated until a fresh enough set has arrived.

use std::collections::BTreeSet;

use guava_core::derive_value;
use guava_core::units::Millis;

use crate::model::StoreRevision;

/// Longest time, in milliseconds, for which a process that has started or was suspended waits for the set. Requests wait
/// as long for the first configuration.
pub const MAX_UNKNOWN_MS: u64 = 2_000;
/// Age in milliseconds up to which a process that was suspended uses a set that it receives.
const MAX_SET_AGE_MS: u64 = 2_600;
/// Time between two ticks, in milliseconds, above which the process was suspended. Ticks are 200 ms apart.
const SUSPENDED_MS: u64 = 2_000;
/// Limit on evacuated zones; the design size has seven zones.
const MAX_ZONES: usize = 256;
/// Longest name of a zone, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Largest number of a revision: the largest whole number that every JSON encoder writes exactly.
const MAX_NUMBER: u64 = 1 << 53;

derive_value! {
    /// Evacuated zones, as VMs report them to each other.
    pub struct EvacuatedZones {
        /// Revision of the store that the set reflects.
        pub revision: StoreRevision,
        /// Names of the zones.
        pub zones: BTreeSet<String>,
        /// Milliseconds since the set was known to be current.
        pub age_ms: u64,
    }
}

/// Evacuations that began or ended with a new set.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneChanges {
    /// Zones that are evacuated now and were not before.
    pub begun: Vec<String>,
    /// Zones that were evacuated before and are not any more.
    pub ended: Vec<String>,
    /// Whether it was unknown before which zones are evacuated, and is known now.
    pub is_new: bool,
}

impl ZoneChanges {
    /// Whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty() && !self.is_new
    }
}

/// Evacuated zones as one VM knows them.
#[derive(Debug, Default)]
pub struct Zones {
    /// Revision of the set; `None` before the first one.
    revision: Option<StoreRevision>,
    evacuated: BTreeSet<String>,
    /// When the set was last known to be current.
    current_at: Option<Millis>,
    /// Since when it is unknown which zones are evacuated; `None` while it is known.
    unknown_since: Option<Millis>,
    /// Whether the process goes on although it is unknown.
    goes_on: bool,
    /// Last tick of the process.
    ticked_at: Option<Millis>,
}

impl Zones {
    /// Zones of a process that starts now, which does not know the set.
    pub fn starting(now: Millis) -> Self {
        Self {
            unknown_since: Some(now),
            ..Self::default()
        }
    }

    /// Records that the process runs. Must be called several times a second. Until the next fresh set it is unknown which
    /// zones are evacuated if the process was suspended since the last call. Returns whether the process has just waited
    /// for as long as it may, and goes on with what it knows.
    pub fn tick(&mut self, now: Millis) -> bool {
        if self.was_suspended(now) {
            self.unknown_since = Some(now);
            self.goes_on = false;
        }
        self.ticked_at = Some(now);
        let goes_on = self.unknown_since.is_some_and(|it| now.since(it) >= MAX_UNKNOWN_MS);
        goes_on && !std::mem::replace(&mut self.goes_on, true)
    }

    fn was_suspended(&self, now: Millis) -> bool {
        self.ticked_at.is_some_and(|it| now.since(it) > SUSPENDED_MS)
    }

    /// Whether it is known which zones are evacuated, or nobody has reported them for as long as the process may wait.
    pub fn is_known(&self, now: Millis) -> bool {
        if self.was_suspended(now) {
            return false;
        }
        self.unknown_since.is_none_or(|it| now.since(it) >= MAX_UNKNOWN_MS)
    }

    /// Whether a set has been received since the start.
    pub fn has_set(&self) -> bool {
        self.revision.is_some()
    }

    /// Whether the operators have evacuated a zone.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// Evacuated zones.
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// Milliseconds since the set was known to be current; `u64::MAX` if it never was.
    pub fn age_ms(&self, now: Millis) -> u64 {
        self.current_at.map_or(u64::MAX, |it| now.since(it))
    }

    /// The set, for another VM; `None` before the first one.
    pub fn snapshot(&self, now: Millis) -> Option<EvacuatedZones> {
        Some(EvacuatedZones {
            revision: self.revision?,
            zones: self.evacuated.clone(),
            age_ms: self.age_ms(now),
        })
    }

    /// Whether a VM that knows `known` lacks a change that is known here.
    pub fn has_changes_for(&self, known: Option<&EvacuatedZones>) -> bool {
        let Some(revision) = self.revision else {
            return false;
        };
        known.is_none_or(|it| it.revision < revision && it.zones != self.evacuated)
    }

    /// Applies a whole set, unless it is of an earlier revision than the known one.
    pub fn apply(&mut self, received: EvacuatedZones, now: Millis) -> ZoneChanges {
        let is_earlier = self.revision.is_some_and(|it| received.revision < it);
        if is_earlier || received.revision.number > MAX_NUMBER {
            return ZoneChanges::default();
        }
        let zones = received.zones.into_iter().filter(|it| it.len() <= MAX_NAME_BYTES);
        let zones = zones.take(MAX_ZONES).collect();
        self.replace(zones, received.revision, now - received.age_ms, now)
    }

    /// Applies the changes of a watch of the store up to `revision`: names of zones, and whether each is evacuated. They
    /// follow a set that was applied before.
    pub fn apply_changes(&mut self, changes: Vec<(String, bool)>, revision: StoreRevision, now: Millis) -> ZoneChanges {
        // Another VM may have reported a later set in the meantime, which contains these changes.
        if self.revision.is_none_or(|it| revision < it) {
            return ZoneChanges::default();
        }
        let mut zones = self.evacuated.clone();
        for (zone, is_evacuated) in changes {
            if !is_evacuated {
                zones.remove(&zone);
            } else if zones.len() < MAX_ZONES && zone.len() <= MAX_NAME_BYTES {
                zones.insert(zone);
            }
        }
        self.replace(zones, revision, now, now)
    }

    fn replace(
        &mut self,
        zones: BTreeSet<String>,
        revision: StoreRevision,
        current_at: Millis,
        now: Millis,
    ) -> ZoneChanges {
        // The pause of a suspension must be seen before its end is recorded.
        if self.was_suspended(now) {
            self.tick(now);
        }
        let is_first = self.revision.is_none();
        let is_fresh = |it: Millis| is_first || current_at + MAX_SET_AGE_MS >= it;
        let is_new = self.unknown_since.is_some_and(is_fresh);
        if is_new {
            self.unknown_since = None;
            self.goes_on = false;
        }
        let changes = ZoneChanges {
            begun: zones.difference(&self.evacuated).cloned().collect(),
            ended: self.evacuated.difference(&zones).cloned().collect(),
            is_new,
        };
        self.evacuated = zones;
        self.revision = Some(revision);
        self.current_at = self.current_at.max(Some(current_at));
        changes
    }
}
