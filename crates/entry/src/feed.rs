//! Feed of configuration, backend servers and placement from one entry process to others.
//!
//! Only the coordinator watches the store all the time, because each call is counted and paid and all VMs would ask for
//! the same data. The others follow it by long polling, in a large fleet through a tree of followers. Each answer
//! includes the age of the sender's view of the store. A process whose view is stale watches the store itself until the
//! feed is fresh again.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use guava_core::derive_value;
use guava_core::events::Event;
use guava_core::rendezvous;
use guava_core::units::Millis;
use guava_fleet::cold::ColdServer;
use guava_fleet::config_extension::ConfigExtension;
use guava_fleet::departures::Departure;
use guava_fleet::model::{BackendServer, Configuration, StoreRevision};
use guava_fleet::placement::EngineModels;
use guava_fleet::zones::EvacuatedZones;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::changes::Changes;
use crate::coordinator::Coordinator;
use crate::log_event;
use crate::peers;
use crate::state::{CoordinatorHint, EntryState, KnownMember, now};

/// Longest wait of a poll without changes.
const POLL_WAIT: Duration = Duration::from_millis(500);
/// Longest wait for a process that follows another follower. Views age by this wait at each level of the tree; with 500
/// ms at both levels, up to 150 of 300 VMs at a time considered theirs stale although nothing had failed.
const FOLLOWER_POLL_WAIT: Duration = Duration::from_millis(250);
/// Time allowed for the answer beyond the wait.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Age of the feed, in milliseconds, above which a process watches the store itself; a change must be in force within
/// two seconds.
pub(crate) const STALE_MS: u64 = 1_300;
/// Added to [`STALE_MS`] for processes that follow another follower. Those that follow the coordinator go to the store
/// first and pass its answers on.
const INDIRECT_FOLLOWER_STALE_MS: u64 = 350;
/// Time for which an alternative source is followed before the regular one is tried again, in milliseconds.
const ALTERNATIVE_MS: u64 = 3_000;
/// Time allowed for the first answer of an alternative source, in milliseconds.
const PROBE_MS: u64 = 500;
/// Time for which the feed must have been fresh before a process stops watching the store.
const FRESH_BEFORE_SWITCH_MS: u64 = 1_500;
/// Followers of one process. VMs with the most processor time rank first, so those in the middle of the tree have
/// enough bandwidth: after a start each follower receives all servers and the models they hold, about 200 bytes a
/// server.
const FAN_OUT: usize = 20;
/// Time allowed at startup for the list of members; the store answers it in a few milliseconds.
const MEMBERS_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a process of a large fleet waits for the feed at startup. After a restart of all processes, 300
/// simultaneous lists of 3,000 servers saturated the store's link for 8 s; one list and the feed take less than a
/// second.
const START_WAIT_MS: u64 = 300;
/// Added to [`START_WAIT_MS`] for each VM.
const START_WAIT_PER_VM_MS: u64 = 10;
/// Pause after a failed poll, or while there is no process to follow.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

derive_value! {
    /// Long poll of a follower, with what it already has.
    pub struct FeedQuery {
        /// Incarnation of the process that sent the change numbers below; each process numbers its changes itself.
        pub source: u64,
        /// Number of the last change of servers received; `None` requests all servers.
        pub change: Option<u64>,
        /// Version of the configuration in force; zero for none.
        pub config_version: u64,
        /// Number of the last change of the placement received; `None` requests the whole placement.
        pub placed_change: Option<u64>,
        /// Store revision of the last change of servers received; a source whose view is older sends no servers.
        pub servers_revision: StoreRevision,
        /// Term of the last known coordinator; zero for none.
        pub term: u64,
        /// Milliseconds since the store last answered the follower.
        pub store_age_ms: u64,
        /// Largest age, in milliseconds, of a view that is of use; a source with an older one sends only its age, at
        /// once.
        pub max_age_ms: Option<u64>,
        /// Longest wait for changes, in milliseconds.
        pub wait_ms: u64,
    }

    /// What a follower lacks.
    pub struct FeedAnswer {
        /// Incarnation of the process that answers.
        pub source: u64,
        /// Age of its view of the store in milliseconds.
        pub age_ms: u64,
        /// Latest era of the store that it knows; zero for none.
        pub era: u64,
        /// Milliseconds since a process was known to be the coordinator.
        pub coordination_age_ms: u64,
        /// Last known coordinator; `None` if the follower knows a later one, or the same.
        pub coordinator: Option<CoordinatorHint>,
        /// Configuration; `None` if the follower's is current.
        pub config: Option<Configuration>,
        /// Changes of servers; `None` if there are none.
        pub servers: Option<Changes<BackendServer>>,
        /// Servers that leave or have left, if `servers` holds all.
        pub departures: Vec<Departure>,
        /// Store revision of the last change of servers.
        pub revision: StoreRevision,
        /// Store revision up to which the follower has all changes of servers after this answer; zero when unknown.
        pub complete_to: StoreRevision,
        /// Term and version of the placement; term zero for none.
        pub placed_version: (u64, u64),
        /// Changes of the placement; `None` if there are none.
        pub placed: Option<Changes<EngineModels>>,
    }
}

derive_value! {
    /// What a follower states beside a [`FeedQuery`].
    #[derive(Default)]
    pub struct FeedQueryExtension {
        /// Whether the follower takes evacuations; false for one of an older version.
        pub takes_evacuations: bool,
        /// Evacuated availability zones; `None` if the follower does not know them.
        pub evacuations: Option<EvacuatedZones>,
    }

    /// Extension of [`FeedAnswer`] and of [`crate::peers::Exchange`].
    #[derive(Default)]
    pub struct ViewExtension {
        /// Evacuated availability zones; `None` if the sender does not know them.
        pub evacuations: Option<EvacuatedZones>,
        /// Servers that are cold.
        pub cold: Vec<ColdServer>,
        /// What belongs to the configuration of the message; `None` if it has none, or a partial one.
        pub config: Option<ConfigExtension>,
        /// Region of the sender; `None` if it does not know it.
        pub region: Option<String>,
    }
}

impl ViewExtension {
    /// What this process knows now, for a message with this configuration.
    pub fn of(state: &EntryState, config: Option<&Configuration>) -> Self {
        Self {
            evacuations: state.evacuations_snapshot(now()),
            cold: state.cold_snapshot(now()),
            config: config.and_then(ConfigExtension::of),
            region: state.region().cloned(),
        }
    }
}

/// What was applied of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Applied {
    /// Whether its servers were; false if its view of them is older than this process's own.
    pub servers: bool,
    /// Whether its placement was.
    pub placement: bool,
}

/// Answers a follower's long poll as soon as there is a change that it lacks, at the latest after its wait. The change
/// may be one that the extension of the answer contains.
pub async fn answer(state: &EntryState, query: &FeedQuery, extension: &FeedQueryExtension) -> FeedAnswer {
    state.record_follower(query.store_age_ms, now());
    if let Some(reported) = &extension.evacuations {
        state.apply_evacuations(reported.clone(), "follower", now());
    }
    if query.max_age_ms.is_some_and(|it| state.source_age_ms(now()) > it) {
        return state.feed_age_answer();
    }
    let mut changes = state.subscribe();
    let wait = POLL_WAIT.min(Duration::from_millis(query.wait_ms));
    let answered = timeout(wait, async {
        loop {
            if let Some(answer) = state.feed_if_changed(query) {
                return answer;
            }
            if extension.takes_evacuations && state.has_evacuation_changes_for(extension.evacuations.as_ref()) {
                return state.feed_answer(query);
            }
            if changes.changed().await.is_err() {
                return state.feed_answer(query);
            }
        }
    });
    answered.await.unwrap_or_else(|_| state.feed_answer(query))
}

/// Source that replaces the regular one while that one's view is stale.
///
/// A VM that the store turns away must not wait for a new coordinator: any VM that the store still serves has a fresh
/// view.
#[derive(Debug, Clone, Copy)]
struct AlternativeSource {
    address: SocketAddr,
    /// Whether it has answered with a fresh view.
    is_fresh: bool,
    /// When the regular source is tried again.
    until: Millis,
}

/// Follows the coordinator or another follower for as long as the process runs.
pub async fn follow(state: Arc<EntryState>, coordinator: Arc<Coordinator>) {
    let mut query = FeedQuery {
        source: 0,
        change: None,
        config_version: 0,
        placed_change: None,
        servers_revision: StoreRevision::default(),
        term: 0,
        store_age_ms: u64::MAX,
        max_age_ms: None,
        wait_ms: 0,
    };
    let mut alternative: Option<AlternativeSource> = None;
    loop {
        if coordinator.coordinates() {
            // A process that was the coordinator has its own placement; changes relative to another one do not apply to
            // it.
            query.placed_change = None;
            alternative = None;
            sleep(RETRY_PAUSE).await;
            continue;
        }
        alternative = alternative.filter(|it| now() < it.until);
        let Some(address) = alternative.map(|it| it.address).or_else(|| feed_source(&state)) else {
            query.placed_change = None;
            alternative = find_alternative(&state, None);
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let wait = poll_wait(&state, address, alternative);
        query.wait_ms = wait.as_millis() as u64;
        query.max_age_ms = alternative.map(|_| STALE_MS);
        query.config_version = state.config().map_or(0, |it| it.config.version);
        query.servers_revision = state.servers_revision();
        query.term = state.coordinator().map_or(0, |it| it.term);
        query.store_age_ms = state.store_age_ms(now());
        let extension = FeedQueryExtension {
            takes_evacuations: true,
            evacuations: state.evacuations_snapshot(now()),
        };
        let limit = wait + ANSWER_MARGIN;
        let polling =
            peers::call_extended::<_, _, FeedAnswer, ViewExtension>(&state, address, "feed", &query, &extension, limit);
        let result = tokio::select! {
            result = polling => result,
            // The regular source depends on the coordinator.
            () = later_coordinator(&state, query.term) => {
                alternative = None;
                continue;
            }
        };
        let answer = match result {
            Ok((mut answer, extension)) => {
                if let Some(config) = &mut answer.config {
                    ConfigExtension::complete(extension.config.as_ref(), config);
                }
                state.apply_feed_extension(extension, now());
                answer
            }
            Err(e) => {
                log::debug!("feed poll of {address} failed: {e}");
                state.record_member_failure(address, now());
                alternative = find_alternative(&state, Some(address));
                sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        if answer.age_ms > STALE_MS {
            if alternative.is_none() {
                record_answer(&state, &mut query, answer);
            }
            alternative = find_alternative(&state, Some(address));
            sleep(RETRY_PAUSE).await;
            continue;
        }
        if let Some(source) = alternative.as_mut().filter(|it| !it.is_fresh) {
            source.is_fresh = true;
            source.until = now() + ALTERNATIVE_MS;
        }
        record_answer(&state, &mut query, answer);
    }
}

/// Longest wait of a poll of `address`.
fn poll_wait(state: &EntryState, address: SocketAddr, alternative: Option<AlternativeSource>) -> Duration {
    let is_coordinator = state.coordinator().is_some_and(|it| it.address == address);
    match alternative {
        Some(source) if !source.is_fresh => Duration::ZERO,
        None if is_coordinator => POLL_WAIT,
        _ => FOLLOWER_POLL_WAIT,
    }
}

/// Applies an answer, and notes in the query what it contained.
fn record_answer(state: &EntryState, query: &mut FeedQuery, answer: FeedAnswer) {
    if answer.source != query.source {
        query.change = None;
        query.placed_change = None;
    }
    query.source = answer.source;
    let change = answer.servers.as_ref().map(|it| it.change);
    let placed_change = answer.placed.as_ref().map(|it| it.change);
    let applied = state.apply_feed(answer, now());
    if let Some(change) = change {
        query.change = applied.servers.then_some(change);
    }
    if let Some(change) = placed_change {
        query.placed_change = applied.placement.then_some(change);
    }
}

/// Selects another live process at random if this one's view is stale; `None` if it is not, or if there is no other.
fn find_alternative(state: &EntryState, excluded: Option<SocketAddr>) -> Option<AlternativeSource> {
    let at = now();
    if state.source_age_ms(at) <= STALE_MS {
        return None;
    }
    Some(AlternativeSource {
        address: state.random_peer(excluded, at)?,
        is_fresh: false,
        until: at + PROBE_MS,
    })
}

/// Returns when a coordinator with a later term than `term` is known.
async fn later_coordinator(state: &EntryState, term: u64) {
    let mut changes = state.subscribe();
    while state.coordinator().is_none_or(|it| it.term <= term) {
        // Fails only when the process ends.
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Address of the process to follow: the coordinator, or in a large fleet a follower with a lower rank. `None` if this
/// process coordinates or knows no coordinator.
fn feed_source(state: &EntryState) -> Option<SocketAddr> {
    let coordinator = state.coordinator()?;
    if coordinator.vm == state.settings.vm {
        return None;
    }
    let members = state.members();
    let ranked = ranked_followers(state, &members);
    let rank = ranked.iter().position(|it| *it == state.settings.vm)?;
    if rank < FAN_OUT {
        return Some(coordinator.address);
    }
    let parent = ranked[(rank - FAN_OUT) / FAN_OUT];
    let parent = members.iter().find(|it| it.member.vm == parent)?;
    Some(parent.member.address)
}

/// Whether this process ranks among those that follow the coordinator directly, also while no coordinator is known.
fn is_direct_follower(state: &EntryState) -> bool {
    let members = state.members();
    let ranked = ranked_followers(state, &members);
    ranked.iter().take(FAN_OUT).any(|it| *it == state.settings.vm)
}

/// Addresses of the other processes that follow this one when it coordinates.
pub fn direct_followers(state: &EntryState) -> Vec<SocketAddr> {
    let members = state.members();
    let ranked = ranked_followers(state, &members);
    let direct: HashSet<&str> = ranked.into_iter().take(FAN_OUT).collect();
    let followers = members.iter().filter(|it| direct.contains(it.member.vm.as_str()));
    followers.map(|it| it.member.address).collect()
}

/// VMs of the live processes other than the coordinator, in the order of their rank in the tree: most processor time
/// first.
fn ranked_followers<'a>(state: &'a EntryState, members: &'a [KnownMember]) -> Vec<&'a str> {
    let at = now();
    let coordinator = state.coordinator();
    let is_coordinator = |vm: &str| coordinator.as_ref().is_some_and(|it| it.vm == vm);
    let live = members.iter().filter(|it| it.is_live(at));
    let live = live.map(|it| (it.member.vm.as_str(), it.member.processor));
    let own = (state.settings.vm.as_str(), state.settings.processor);
    let followers = live.chain([own]).filter(|(vm, _)| !is_coordinator(vm));
    let mut ranked = rendezvous::rank("feed", followers, |(vm, _)| *vm);
    ranked.sort_by_key(|(_, processor)| std::cmp::Reverse(*processor));
    ranked.into_iter().map(|(vm, _)| vm).collect()
}

/// Decides whether this process watches the store itself, for as long as it runs. `watches_store` passes the decision
/// to the watches.
pub async fn watch_store_when_stale(
    state: Arc<EntryState>,
    coordinator: Arc<Coordinator>,
    watches_store: Arc<watch::Sender<bool>>,
) {
    let mut fresh_since = None;
    // The list shows whether the fleet is large. If the store does not answer in time, the process starts as in a small
    // fleet.
    let _ = timeout(MEMBERS_TIMEOUT, state.members_listed.notified()).await;
    let started = now();
    loop {
        let at = now();
        let age = state.feed_age_ms(at);
        let start_wait = START_WAIT_MS + START_WAIT_PER_VM_MS * state.vms() as u64;
        let is_starting = state.is_large_fleet() && at.since(started) < start_wait;
        let is_stale = age > STALE_MS + INDIRECT_FOLLOWER_STALE_MS || age > STALE_MS && is_direct_follower(&state);
        let is_needed = coordinator.coordinates() || is_stale && !is_starting;
        if is_needed {
            fresh_since = None;
        } else {
            fresh_since.get_or_insert(at);
        }
        let is_steadily_fresh = fresh_since.is_some_and(|it| at.since(it) > FRESH_BEFORE_SWITCH_MS);
        let is_watching = *watches_store.borrow();
        if is_needed != is_watching && (is_needed || is_steadily_fresh) {
            watches_store.send_replace(is_needed);
            log_event!(Event::SourceChanged, "-", "watches_store={is_needed} feed_age_ms={age}");
        }
        sleep(RETRY_PAUSE / 3).await;
    }
}
