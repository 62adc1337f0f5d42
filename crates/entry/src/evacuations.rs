//! Decides whether this process watches the store for evacuations of availability zones and for the configuration.
//!
//! A process that watches the store for servers does so for these as well. Any other one learns of them from the process
//! that it follows. If that one is of a version that does not know evacuations or parts of the configuration, or does not
//! learn of them itself, this process watches these two alone.

use std::sync::Arc;
use std::time::Duration;

use guava_core::units::Millis;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::feed::STALE_MS;
use crate::state::{EntryState, now};

/// Age of the evacuated zones, in milliseconds, above which a process watches them itself. Watches wait for 2 s, so those
/// of a process that follows another follower are up to 3 s old without any fault; they must be in force within 5 s.
const MAX_AGE_MS: u64 = 4_200;
/// Shortest time, in milliseconds, for which a process watches these alone, so that it does not list them anew
/// each time that they have become old.
const MIN_WATCH_MS: u64 = 10_000;
/// Interval at which it is decided.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Decides whether this process watches the evacuations and the configuration, for as long as it runs. `watches_store`
/// states whether it watches the servers; `watches` passes the decision to the watches.
pub async fn watch_when_not_reported(
    state: Arc<EntryState>,
    mut watches_store: watch::Receiver<bool>,
    watches: Arc<watch::Sender<bool>>,
) {
    let mut alone_until = Millis(0);
    loop {
        let at = now();
        if is_not_reported(&state, at) {
            alone_until = at + MIN_WATCH_MS;
        }
        let is_needed = *watches_store.borrow_and_update() || at < alone_until;
        if *watches.borrow() != is_needed {
            watches.send_replace(is_needed);
        }
        // Ends early when the process starts or stops watching the servers.
        if let Ok(Err(_)) = timeout(CHECK_INTERVAL, watches_store.changed()).await {
            return;
        }
    }
}

/// Whether the process that this one follows reports the servers but not the evacuated zones, or parts of the configuration.
fn is_not_reported(state: &EntryState, at: Millis) -> bool {
    if state.feed_age_ms(at) > STALE_MS {
        return false;
    }
    let age_ms = state.evacuations_age_ms(at);
    let missing_ms = state.evacuations_missing_ms(at);
    // Where regions are in use, a partial configuration is not put in force.
    let lacks_config = || missing_ms > 0 && state.settings.has_several_regions();
    let is_partial = state.config().map_or_else(lacks_config, |it| it.config.is_partial);
    let lacks_zones = missing_ms > STALE_MS || age_ms > MAX_AGE_MS && age_ms < u64::MAX;
    is_partial || state.settings.has_evacuations && lacks_zones
}
