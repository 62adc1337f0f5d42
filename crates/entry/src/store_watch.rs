//! Watches the store for configuration, backend servers and evacuations of availability zones, and registers this process
//! as a member.

use std::sync::Arc;
use std::time::Duration;

use guava_core::events::Event;
use guava_fleet::model::StoreRevision;
use guava_fleet::zones::EvacuatedZones;
use guava_platform::store::{Changes, Listing, Object, Unreadable, Written};
use guava_platform::{CallError, config, evacuations, servers};
use serde_json::json;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::coordinator::Coordinator;
use crate::log_event;
use crate::state::{EntryState, Member, now};
use crate::streams;

/// Kind of the objects under which entry processes register.
const MEMBER_KIND: &str = "guava-members";
/// Longest wait of a watch; an unresponsive connection is detected after this time.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Delay in which changes of servers are batched by a process that others follow. Each answer of a watch is a paid
/// call, and a leaving server still serves for two seconds.
const BATCH_DELAY_FOLLOWED: Duration = Duration::from_millis(120);
/// The same for a process that nobody follows; each process watches for a short time at its start.
const BATCH_DELAY: Duration = Duration::from_millis(400);
/// Pause after the first failed call.
const RETRY_MS: u64 = 200;
/// Longest pause after repeated failures; a configuration must be in force within two seconds of the store's return.
const MAX_RETRY_MS: u64 = 600;
/// Time without contact after which a member's registration is removed if a call to it has failed since.
const MEMBER_REMOVAL_MS: u64 = 30_000;
/// Interval at which members are checked.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Longest random delay before all processes register again with a restored store, in milliseconds.
const MAX_REGISTRATION_DELAY_MS: u64 = 1_000;

/// Pause that doubles with each consecutive failure, because refused calls are paid as well.
#[derive(Debug)]
struct Backoff {
    pause_ms: u64,
}

impl Backoff {
    fn new() -> Self {
        Self { pause_ms: RETRY_MS }
    }

    fn reset(&mut self) {
        self.pause_ms = RETRY_MS;
    }

    async fn pause_after(&mut self, what: &str, error: &CallError) {
        log::debug!("{what} failed: {error}");
        let jitter = rand::random_range(0..self.pause_ms / 2);
        sleep(Duration::from_millis(self.pause_ms - jitter)).await;
        self.pause_ms = (self.pause_ms * 2).min(MAX_RETRY_MS);
    }
}

/// Waits until this process has to watch the store itself; see [`crate::feed`].
async fn wait_until_watching(watches_store: &mut watch::Receiver<bool>) {
    // Fails only when the process ends.
    let _ = watches_store.wait_for(|it| *it).await;
}

/// Removes servers whose entries were not renewed after an outage of the store, and logs changes of the view's
/// freshness, for as long as the process runs.
pub async fn remove_expired(state: Arc<EntryState>) {
    loop {
        sleep(Duration::from_millis(RETRY_MS)).await;
        state.remove_expired(now());
        state.check_freshness(now());
        state.tick_zones(now());
    }
}

/// Objects of a kind, as received from the store.
enum StoreUpdate {
    Full(Listing),
    /// Changed objects, `None` for a removed one, and the revision up to which they are complete.
    Delta(Vec<(String, Option<Object>)>, StoreRevision),
}

fn log_unreadable(kind: &str, unreadable: &Unreadable) {
    if unreadable.count > 0 {
        log_event!(
            Event::EntriesUnreadable,
            "-",
            "kind={kind} count={} names={}",
            unreadable.count,
            unreadable.names.join(",")
        );
    }
}

/// Whether a watch may start at the revision up to which the feed was complete, without a list.
enum ResumePolicy {
    Never,
    UnlessCoordinating(Arc<Coordinator>),
}

impl ResumePolicy {
    fn is_allowed(&self) -> bool {
        match self {
            Self::Never => false,
            Self::UnlessCoordinating(coordinator) => !coordinator.coordinates(),
        }
    }

    fn revision(&self, state: &EntryState) -> Option<StoreRevision> {
        let may_resume = self.is_allowed() && state.is_large_fleet();
        state.complete_to().filter(|_| may_resume)
    }
}

/// Lists a kind, unless all changes up to a revision are known already, and then watches it, for as long as the process
/// runs. `apply` handles an update and returns the delay in which further changes are batched.
async fn follow(
    state: &EntryState,
    kind: &str,
    mut watches_store: watch::Receiver<bool>,
    resume: ResumePolicy,
    apply: impl Fn(&EntryState, StoreUpdate) -> Duration,
) {
    let mut backoff = Backoff::new();
    let mut must_list = false;
    loop {
        wait_until_watching(&mut watches_store).await;
        let resumed_at = resume.revision(state).filter(|_| !must_list);
        must_list = false;
        let mut revision = match resumed_at {
            Some(revision) => revision,
            None => match state.store.list(kind).await {
                Ok(listing) if listing.revision.era < state.store_era() => {
                    let outdated = CallError::NotRun("the list is from before the store was restored".to_owned());
                    backoff.pause_after(&format!("list of {kind}"), &outdated).await;
                    continue;
                }
                Ok(listing) => {
                    backoff.reset();
                    let revision = listing.revision;
                    state.record_store_contact(revision.era, now());
                    log_unreadable(kind, &listing.unreadable);
                    apply(state, StoreUpdate::Full(listing));
                    revision
                }
                Err(e) => {
                    backoff.pause_after(&format!("list of {kind}"), &e).await;
                    continue;
                }
            },
        };
        let mut eras = state.subscribe_eras();
        // A restored store may have given out the revision again, and shows that only in its answer.
        let mut wait = resumed_at.map_or(WATCH_WAIT, |_| Duration::ZERO);
        while *watches_store.borrow() && (resumed_at.is_none() || resume.is_allowed()) {
            let watching = state.store.watch(kind, revision, wait);
            let changes = tokio::select! {
                changes = watching => changes,
                // Fails only when the process ends.
                _ = eras.wait_for(|it| *it > revision.era) => Ok(Changes::HistoryGone),
            };
            match changes {
                Ok(Changes::Since {
                    events,
                    unreadable,
                    revision: next,
                }) => {
                    backoff.reset();
                    log_unreadable(kind, &unreadable);
                    wait = WATCH_WAIT;
                    state.record_store_contact(next.era, now());
                    revision = next;
                    let delay = apply(state, StoreUpdate::Delta(events, next));
                    if !delay.is_zero() {
                        sleep(delay).await;
                    }
                }
                Ok(Changes::HistoryGone) => {
                    must_list = true;
                    break;
                }
                Err(e) => {
                    backoff.pause_after(&format!("watch of {kind}"), &e).await;
                    wait = Duration::ZERO;
                }
            }
        }
    }
}

/// Watches the operators' configuration.
pub async fn follow_config(state: Arc<EntryState>, watches_store: watch::Receiver<bool>) {
    follow(
        &state,
        config::KIND,
        watches_store,
        ResumePolicy::Never,
        |state, update| {
            let objects = match update {
                StoreUpdate::Full(listing) => listing.objects,
                StoreUpdate::Delta(events, _) => events.into_iter().filter_map(|(_, object)| object).collect(),
            };
            for object in &objects {
                apply_config_object(state, object);
            }
            Duration::ZERO
        },
    )
    .await;
}

fn apply_config_object(state: &EntryState, object: &Object) {
    if object.name != config::NAME {
        return;
    }
    match config::decode(&object.spec) {
        Ok(config) => {
            state.apply_config(config, "store");
        }
        Err(e) => log_event!(
            Event::ConfigUnreadable,
            "-",
            "revision={} why={e}",
            object.revision.number
        ),
    }
}

/// Delay in which changes of servers are batched.
fn batch_delay(state: &EntryState) -> Duration {
    let is_followed = state.coordinator().is_some_and(|it| it.vm == state.settings.vm);
    if is_followed { BATCH_DELAY_FOLLOWED } else { BATCH_DELAY }
}

/// Watches the entries of backend servers.
///
/// In a large fleet only a coordinator lists them. When its feed ends, hundreds of simultaneous lists of all servers
/// would saturate the store's link for seconds. In a small fleet a list costs no more than a watch.
pub async fn follow_servers(
    state: Arc<EntryState>,
    coordinator: Arc<Coordinator>,
    watches_store: watch::Receiver<bool>,
) {
    let resume = ResumePolicy::UnlessCoordinating(coordinator);
    follow(&state, servers::KIND, watches_store, resume, apply_server_update).await;
}

fn apply_server_update(state: &EntryState, update: StoreUpdate) -> Duration {
    let (has_changed, revision) = match update {
        StoreUpdate::Full(listing) => {
            let list = listing.objects.iter().filter_map(servers::decode).collect();
            state.apply_server_list(list, listing.revision, now());
            (false, listing.revision)
        }
        StoreUpdate::Delta(events, revision) => {
            let has_changed = !events.is_empty();
            for (id, object) in events {
                let server = object.as_ref().and_then(servers::decode);
                state.apply_server(&id, server, revision, now());
            }
            (has_changed, revision)
        }
    };
    state.record_complete(revision);
    if has_changed {
        batch_delay(state)
    } else {
        Duration::ZERO
    }
}

/// Watches the evacuations of availability zones.
pub async fn follow_evacuations(state: Arc<EntryState>, watches_store: watch::Receiver<bool>) {
    let kind = evacuations::KIND;
    follow(&state, kind, watches_store, ResumePolicy::Never, |state, update| {
        match update {
            StoreUpdate::Full(listing) => {
                let zones = listing.objects.iter().map(|it| evacuations::zone(it).to_owned());
                let reported = EvacuatedZones {
                    revision: listing.revision,
                    zones: zones.collect(),
                    age_ms: 0,
                };
                state.apply_evacuations(reported, "store", now());
            }
            StoreUpdate::Delta(events, revision) => {
                let events = events.into_iter().map(|(zone, object)| (zone, object.is_some()));
                state.apply_evacuation_changes(events.collect(), revision, now());
            }
        }
        Duration::ZERO
    })
    .await;
}

/// Writes this process's registration.
async fn write_registration(state: &EntryState) {
    let mut backoff = Backoff::new();
    let own_member = state.as_member();
    let value = json!(own_member);
    loop {
        let written = match state.store.create(MEMBER_KIND, &own_member.vm, &value).await {
            Ok(Written::Conflict(_)) => state.store.replace(MEMBER_KIND, &own_member.vm, &value, None).await,
            other => other,
        };
        match written {
            Ok(_) => return,
            Err(e) => backoff.pause_after("registration", &e).await,
        }
    }
}

/// Registers this process, lists the other members once, and then removes the registrations of members that are gone.
/// Registers again when the store was restored, because the copy may be older than the registration.
pub async fn register(state: Arc<EntryState>) {
    let mut eras = state.subscribe_eras();
    let mut backoff = Backoff::new();
    write_registration(&state).await;
    let mut registered_in = loop {
        match state.store.list(MEMBER_KIND).await {
            Ok(listing) => {
                log_unreadable(MEMBER_KIND, &listing.unreadable);
                let members = listing.objects.into_iter();
                let members: Vec<Member> = members.filter_map(|it| serde_json::from_value(it.spec).ok()).collect();
                if !members.iter().any(|it| it.vm == state.settings.vm) {
                    write_registration(&state).await;
                }
                for member in members {
                    state.record_member(member, None);
                }
                state.record_members_listed();
                state.members_listed.notify_one();
                break listing.revision.era;
            }
            Err(e) => backoff.pause_after("list of members", &e).await,
        }
    };
    let started = now();
    loop {
        // Ends early only when the store was restored.
        let _ = timeout(MEMBER_CHECK_INTERVAL, eras.wait_for(|it| *it > registered_in)).await;
        if state.store_era() > registered_in {
            registered_in = state.store_era();
            sleep(Duration::from_millis(rand::random_range(0..MAX_REGISTRATION_DELAY_MS))).await;
            write_registration(&state).await;
        }
        let at = now();
        let removed = state.retain_members(|it| {
            let silent_since = it.last_contact.unwrap_or(started);
            it.last_failed.is_none() || at.since(silent_since) < MEMBER_REMOVAL_MS
        });
        for vm in removed {
            log_event!(Event::MemberDown, "-", "member={vm} silent_ms={MEMBER_REMOVAL_MS}");
            for kind in [MEMBER_KIND, streams::COPY_KIND] {
                if let Err(e) = state.store.remove(kind, &vm).await {
                    log::debug!("removal of {kind} of {vm} failed: {e}");
                }
            }
        }
    }
}
