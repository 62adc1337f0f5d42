//! Evacuated availability zones, as this process learns them from the store and from other processes.

use std::collections::BTreeSet;

use guava_core::events::Event;
use guava_core::units::Millis;
use guava_fleet::model::{ServerState, StoreRevision};
use guava_fleet::zones::{EvacuatedZones, ZoneChanges};

use super::EntryState;
use crate::feed::ViewExtension;
use crate::log_event;

impl EntryState {
    /// Whether it is known which zones are evacuated. Also true once nobody has reported them for as long as a process may
    /// wait after its start or a suspension.
    pub fn knows_evacuations(&self, now: Millis) -> bool {
        self.view.lock().zones.is_known(now)
    }

    /// Whether the operators have evacuated a zone.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.view.lock().zones.is_evacuated(zone)
    }

    /// Zones that the operators have evacuated.
    pub fn evacuated_zones(&self) -> BTreeSet<String> {
        self.view.lock().zones.evacuated().clone()
    }

    /// Number of evacuated zones.
    pub fn evacuated_count(&self) -> u64 {
        self.view.lock().zones.evacuated().len() as u64
    }

    /// Evacuated zones, for another process; `None` before they are known.
    pub fn evacuations_snapshot(&self, now: Millis) -> Option<EvacuatedZones> {
        self.view.lock().zones.snapshot(now)
    }

    /// Milliseconds since the evacuated zones were known to be current; `u64::MAX` if they never were.
    pub fn evacuations_age_ms(&self, now: Millis) -> u64 {
        self.view.lock().zones.age_ms(now)
    }

    /// Whether a process that knows `known` lacks an evacuation, or the end of one, that is known here.
    pub fn has_evacuation_changes_for(&self, known: Option<&EvacuatedZones>) -> bool {
        self.view.lock().zones.has_changes_for(known)
    }

    /// Applies the evacuated zones as `source` knows them.
    pub fn apply_evacuations(&self, received: EvacuatedZones, source: &str, now: Millis) {
        if !self.settings.has_evacuations || !self.may_use_view(received.age_ms, now) {
            return;
        }
        let revision = received.revision;
        let changes = self.view.lock().zones.apply(received, now);
        self.note_zone_changes(&changes, revision, source);
    }

    /// Applies the extension of an answer of the followed process.
    pub fn apply_feed_extension(&self, extension: ViewExtension, now: Millis) {
        self.view
            .lock()
            .record_zones_reported(extension.evacuations.is_some(), now);
        self.apply_view_extension(extension, "feed", now);
    }

    /// Applies what another process knows beside the view in its message.
    pub fn apply_view_extension(&self, extension: ViewExtension, source: &str, now: Millis) {
        if let Some(received) = extension.evacuations {
            self.apply_evacuations(received, source, now);
        }
        self.merge_cold(extension.cold, now);
    }

    /// Milliseconds for which the followed process has not reported which zones are evacuated; zero if it does.
    pub fn evacuations_missing_ms(&self, now: Millis) -> u64 {
        let missing_since_at = self.view.lock().zones_missing_since;
        missing_since_at.map_or(0, |it| now.since(it))
    }

    /// Applies changes that a watch of the store reports: names of zones, and whether each is evacuated.
    pub fn apply_evacuation_changes(&self, events: Vec<(String, bool)>, revision: StoreRevision, now: Millis) {
        let changes = self.view.lock().zones.apply_changes(events, revision, now);
        self.note_zone_changes(&changes, revision, "store");
    }

    /// Records that the process runs, and logs when it goes on without knowing which zones are evacuated.
    pub fn tick_zones(&self, now: Millis) {
        if !self.settings.has_evacuations {
            return;
        }
        let (goes_on, age_ms) = {
            let zones = &mut self.view.lock().zones;
            (zones.tick(now), zones.age_ms(now))
        };
        if goes_on {
            log_event!(Event::EvacuationsUnknown, "-", "age_ms={age_ms}");
            self.signal_change();
        }
    }

    fn note_zone_changes(&self, changes: &ZoneChanges, revision: StoreRevision, source: &str) {
        if changes.is_empty() {
            return;
        }
        let revision = format!("{}.{}", revision.era, revision.number);
        for (event, zones) in [
            (Event::ZoneEvacuated, &changes.begun),
            (Event::ZoneReturned, &changes.ended),
        ] {
            for zone in zones {
                let servers = self.servers();
                let ready = servers
                    .iter()
                    .filter(|it| it.zone == *zone && it.state == ServerState::Ready);
                let ready = ready.count();
                log_event!(
                    event,
                    "-",
                    "zone={zone} revision={revision} source={source} ready_servers={ready}"
                );
            }
        }
        // They may have become cold while nobody could send them anything.
        for server in self.servers().iter().filter(|it| changes.ended.contains(&it.zone)) {
            self.presume_cold(server);
        }
        if !changes.begun.is_empty() || !changes.ended.is_empty() {
            self.evacuations_learnt.notify_one();
        }
        self.signal_change();
    }
}
