//! Feed of configuration, backend servers and placement from one entry process to others.
//!
//! Only the coordinator watches the store all the time: each call is counted and paid, and every VM would ask for the
//! same. The others follow it by long polls, in a large fleet through a tree of followers. Each answer tells how old its
//! source's view of the store may be; a process whose view is too old watches the store itself until the feed is back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use guava_core::derive_value;
use guava_core::events::Event;
use guava_core::rendezvous;
use guava_fleet::model::{BackendServer, Configuration};
use guava_fleet::placement::EngineModels;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::changes::Changes;
use crate::coordinator::Coordinator;
use crate::log_event;
use crate::peers;
use crate::state::{Entry, KnownMember, now};

/// Longest wait of a question without news.
const WAIT: Duration = Duration::from_millis(500);
/// The same for a process that follows another follower. Views age by the wait at each level; with 500 ms at both, up to
/// 150 of 300 VMs at a time took theirs for too old although nothing had failed.
const FOLLOWER_WAIT: Duration = Duration::from_millis(250);
/// Time for the answer beyond the wait.
const SLACK: Duration = Duration::from_millis(300);
/// Age of the view of the store from which on a process watches the store itself; a change must be in force within two
/// seconds.
const STALE_MS: u64 = 1_300;
/// Further age for processes that follow another follower: those that follow the coordinator ask the store first, and
/// tell what it answers.
const STALE_FOLLOWER_MS: u64 = 350;
/// Time for which the feed must have been fresh before a process stops watching the store.
const STEADY_MS: u64 = 1_500;
/// Followers of one process. With the VMs of most processor time first, those in the middle of the tree have the links
/// for it: each follower gets all servers and what they hold, about 200 bytes a server, after a start.
const FAN_OUT: usize = 20;
/// Time at the start of a process for the list of members, which takes the store some milliseconds.
const MEMBERS_WAIT: Duration = Duration::from_millis(200);
/// Time at the start of a process of a large fleet in which it waits for the feed. After all processes were killed, 300
/// lists of 3,000 servers at once took the store's link for 8 s; one list and the feed take less than one.
const START_WAIT_MS: u64 = 300;
/// Such time for each VM.
const START_WAIT_PER_VM_MS: u64 = 10;
/// Pause after a question that failed or could not be asked.
const RETRY: Duration = Duration::from_millis(150);

derive_value! {
    /// What a follower knows.
    pub struct FeedQuery {
        /// Process that told it; changes are numbered by each process for itself.
        pub source: u64,
        /// Last change of servers.
        pub change: Option<u64>,
        /// Version of the configuration.
        pub config_version: u64,
        /// Last change of what engines hold.
        pub placed_change: Option<u64>,
        /// Longest wait for news, in milliseconds.
        pub wait_ms: u64,
    }

    /// What a follower lacks.
    pub struct FeedAnswer {
        /// Process that answers.
        pub source: u64,
        /// Age of its view of the store in milliseconds.
        pub age_ms: u64,
        /// Time since its coordinator was known to coordinate, in milliseconds.
        pub coordination_age_ms: u64,
        /// Newer configuration.
        pub config: Option<Configuration>,
        /// Changes of servers.
        pub servers: Option<Changes<BackendServer>>,
        /// Revision of the store at which the servers last changed.
        pub revision: u64,
        /// Revision of the store up to which the answer makes the servers complete; zero when that is not known.
        pub complete_to: u64,
        /// Term and version of the placement; term zero for none.
        pub placed_version: (u64, u64),
        /// Changes of what engines hold.
        pub placed: Option<Changes<EngineModels>>,
    }
}

/// Answers a follower as soon as there is something that it lacks.
pub async fn answer(entry: &Entry, query: &FeedQuery) -> FeedAnswer {
    let mut changes = entry.subscribe();
    let wait = WAIT.min(Duration::from_millis(query.wait_ms));
    let news = timeout(wait, async {
        loop {
            if let Some(answer) = entry.news_for(query) {
                return answer;
            }
            if changes.changed().await.is_err() {
                return entry.feed_for(query);
            }
        }
    });
    news.await.unwrap_or_else(|_| entry.feed_for(query))
}

/// Follows another process for as long as this one runs.
pub async fn follow(entry: Arc<Entry>, coordinator: Arc<Coordinator>) {
    let mut query = FeedQuery {
        source: 0,
        change: None,
        config_version: 0,
        placed_change: None,
        wait_ms: 0,
    };
    loop {
        let Some(address) = source(&entry).filter(|_| !coordinator.coordinates()) else {
            // A process that has coordinated knows its own placement, on which changes of another one do not build.
            query.placed_change = None;
            sleep(RETRY).await;
            continue;
        };
        let is_first = entry.coordinator().is_some_and(|it| it.address == address);
        let wait = if is_first { WAIT } else { FOLLOWER_WAIT };
        query.wait_ms = wait.as_millis() as u64;
        query.config_version = entry.config().map_or(0, |it| it.config.version);
        let asked = peers::call::<_, FeedAnswer>(&entry, address, "feed", &query, wait + SLACK).await;
        let answer = match asked {
            Ok(answer) => answer,
            Err(e) => {
                log::debug!("feed of {address}: {e}");
                entry.note_member_failed(address, now());
                sleep(RETRY).await;
                continue;
            }
        };
        if answer.source != query.source {
            query.change = None;
            query.placed_change = None;
        }
        query.source = answer.source;
        if let Some(servers) = &answer.servers {
            query.change = Some(servers.change);
        }
        if let Some(placed) = &answer.placed {
            query.placed_change = Some(placed.change);
        }
        entry.apply_feed(answer, now());
    }
}

/// Process to follow: the coordinator, or in a large fleet a follower that ranks before this one.
fn source(entry: &Entry) -> Option<SocketAddr> {
    let coordinator = entry.coordinator()?;
    if coordinator.vm == entry.settings.vm {
        return None;
    }
    let members = entry.members();
    let ranked = ranked_followers(entry, &members);
    let rank = ranked.iter().position(|it| *it == entry.settings.vm)?;
    if rank < FAN_OUT {
        return Some(coordinator.address);
    }
    let parent = ranked[(rank - FAN_OUT) / FAN_OUT];
    let parent = members.iter().find(|it| it.member.vm == parent)?;
    Some(parent.member.address)
}

/// Whether this process follows the coordinator itself, or none.
fn is_first_follower(entry: &Entry) -> bool {
    let members = entry.members();
    let ranked = ranked_followers(entry, &members);
    ranked.iter().take(FAN_OUT).any(|it| *it == entry.settings.vm)
}

/// Live processes other than the coordinator, in the order in which they follow it: those with most processor time
/// first.
fn ranked_followers<'a>(entry: &'a Entry, members: &'a [KnownMember]) -> Vec<&'a str> {
    let at = now();
    let coordinator = entry.coordinator();
    let is_coordinator = |vm: &str| coordinator.as_ref().is_some_and(|it| it.vm == vm);
    let live = members.iter().filter(|it| it.is_live(at));
    let live = live.map(|it| (it.member.vm.as_str(), it.member.processor));
    let own = (entry.settings.vm.as_str(), entry.settings.processor);
    let followers = live.chain([own]).filter(|(vm, _)| !is_coordinator(vm));
    let mut ranked = rendezvous::rank("feed", followers, |(vm, _)| *vm);
    ranked.sort_by_key(|(_, processor)| std::cmp::Reverse(*processor));
    ranked.into_iter().map(|(vm, _)| vm).collect()
}

/// Decides whether this process watches the store itself, for as long as it runs.
pub async fn choose_source(entry: Arc<Entry>, coordinator: Arc<Coordinator>, direct: watch::Sender<bool>) {
    let mut fresh_since = None;
    // Tells whether the fleet is large; without an answer of the store the process finds that out from it itself.
    let _ = timeout(MEMBERS_WAIT, entry.members_listed.notified()).await;
    let started = now();
    loop {
        let at = now();
        let age = entry.feed_age_ms(at);
        let start_wait = START_WAIT_MS + START_WAIT_PER_VM_MS * entry.vms() as u64;
        let is_starting = entry.is_large_fleet() && at.since(started) < start_wait;
        let is_stale = age > STALE_MS + STALE_FOLLOWER_MS || age > STALE_MS && is_first_follower(&entry);
        let is_needed = coordinator.coordinates() || is_stale && !is_starting;
        if is_needed {
            fresh_since = None;
        } else {
            fresh_since.get_or_insert(at);
        }
        let is_steady = fresh_since.is_some_and(|it| at.since(it) > STEADY_MS);
        let is_direct = *direct.borrow();
        if is_needed != is_direct && (is_needed || is_steady) {
            direct.send_replace(is_needed);
            log_event!(Event::SourceChanged, "-", "watches_store={is_needed} feed_age_ms={age}");
        }
        sleep(RETRY / 3).await;
    }
}
