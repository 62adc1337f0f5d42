//! Follows the store: configuration, backend servers and other entry processes.

use std::sync::Arc;
use std::time::Duration;

use guava_core::events::Event;
use guava_platform::store::{Changes, Listing, Object, Written};
use guava_platform::{CallError, config, servers};
use serde_json::json;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::coordinator::Coordinator;
use crate::log_event;
use crate::state::{Entry, Member, now};

/// Kind of the objects under which entry processes register.
const MEMBER_KIND: &str = "guava-members";
/// Longest wait of a watch; a connection that went silent is noticed this late.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Time in which changes of servers gather at a process that others follow. Each answer of a watch is a paid call, and a
/// server that leaves is served for two seconds more.
const GATHER_FOLLOWED: Duration = Duration::from_millis(120);
/// Time in which changes of servers gather at a process that watches for itself, as all do for a moment at their start.
const GATHER: Duration = Duration::from_millis(400);
/// Pause after a failed call.
const RETRY_MS: u64 = 200;
/// Longest pause after failed calls in a row; a configuration must be in force within two seconds of the store's return.
const RETRY_MAX_MS: u64 = 600;
/// Silence of a member from which on its registration is removed.
const MEMBER_GONE_MS: u64 = 30_000;
/// Time between checks of members.
const MEMBER_CHECK: Duration = Duration::from_secs(5);

/// Pause that doubles with each failure in a row; refused calls are paid as well.
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
        log::debug!("{what}: {error}");
        let jitter = rand::random_range(0..self.pause_ms / 2);
        sleep(Duration::from_millis(self.pause_ms - jitter)).await;
        self.pause_ms = (self.pause_ms * 2).min(RETRY_MAX_MS);
    }
}

/// Waits until this process watches the store itself; see [`crate::feed`].
async fn wait_for_turn(direct: &mut watch::Receiver<bool>) {
    // Fails only when the process ends.
    let _ = direct.wait_for(|it| *it).await;
}

/// Drops servers that did not come back after the store's return, for as long as the process runs.
pub async fn drop_lapsed(entry: Arc<Entry>) {
    loop {
        sleep(Duration::from_millis(RETRY_MS)).await;
        entry.drop_lapsed(now());
        entry.check_source(now());
    }
}

/// What the store tells of a kind.
enum News {
    All(Listing),
    /// Changed objects, `None` for a removed one, and the revision up to which they go.
    Since(Vec<(String, Option<Object>)>, u64),
}

/// Whether a watch may begin at the revision up to which the feed has told all changes.
enum Resume {
    Never,
    UnlessCoordinating(Arc<Coordinator>),
}

impl Resume {
    fn is_allowed(&self) -> bool {
        match self {
            Self::Never => false,
            Self::UnlessCoordinating(coordinator) => !coordinator.coordinates(),
        }
    }

    fn revision(&self, entry: &Entry) -> Option<u64> {
        let may_resume = self.is_allowed() && entry.is_large_fleet();
        entry.complete_to().filter(|_| may_resume)
    }
}

/// Lists a kind, unless all changes up to a revision are known already, and then watches it, for as long as the process
/// runs. `take` returns for how long changes should gather before they are asked for again.
async fn follow(
    entry: &Entry,
    kind: &str,
    mut direct: watch::Receiver<bool>,
    resume: Resume,
    take: impl Fn(&Entry, News) -> Duration,
) {
    let mut backoff = Backoff::new();
    let mut must_list = false;
    loop {
        wait_for_turn(&mut direct).await;
        let known = resume.revision(entry).filter(|_| !must_list);
        must_list = false;
        let mut revision = match known {
            Some(revision) => revision,
            None => match entry.store.list(kind).await {
                Ok(listing) => {
                    backoff.reset();
                    entry.note_store_contact(now());
                    let revision = listing.revision;
                    take(entry, News::All(listing));
                    revision
                }
                Err(e) => {
                    backoff.pause_after(&format!("list of {kind}"), &e).await;
                    continue;
                }
            },
        };
        while *direct.borrow() && (known.is_none() || resume.is_allowed()) {
            match entry.store.watch(kind, revision, WATCH_WAIT).await {
                Ok(Changes::Since { events, revision: next }) => {
                    backoff.reset();
                    entry.note_store_contact(now());
                    revision = next;
                    let gathering = take(entry, News::Since(events, next));
                    if !gathering.is_zero() {
                        sleep(gathering).await;
                    }
                }
                Ok(Changes::HistoryGone) => {
                    must_list = true;
                    break;
                }
                Err(e) => backoff.pause_after(&format!("watch of {kind}"), &e).await,
            }
        }
    }
}

/// Follows the operators' configuration.
pub async fn follow_config(entry: Arc<Entry>, direct: watch::Receiver<bool>) {
    follow(&entry, config::KIND, direct, Resume::Never, |entry, news| {
        let objects = match news {
            News::All(listing) => listing.objects,
            News::Since(events, _) => events.into_iter().filter_map(|(_, object)| object).collect(),
        };
        for object in &objects {
            take_config(entry, object);
        }
        Duration::ZERO
    })
    .await;
}

fn take_config(entry: &Entry, object: &Object) {
    if object.name != config::NAME {
        return;
    }
    match config::decode(&object.spec) {
        Ok(config) => {
            entry.apply_config(config, "store");
        }
        Err(e) => log_event!(Event::ConfigUnreadable, "-", "revision={} why={e}", object.revision),
    }
}

/// Time in which changes of servers gather before they are asked for.
fn gather_time(entry: &Entry) -> Duration {
    let is_followed = entry.coordinator().is_some_and(|it| it.vm == entry.settings.vm);
    if is_followed { GATHER_FOLLOWED } else { GATHER }
}

/// Follows the entries of backend servers.
///
/// In a large fleet only a coordinator lists them: when its feed ends, hundreds of lists of all servers at once would take
/// the store's link for seconds. In a small one a list costs no more than a watch.
pub async fn follow_servers(entry: Arc<Entry>, coordinator: Arc<Coordinator>, direct: watch::Receiver<bool>) {
    let resume = Resume::UnlessCoordinating(coordinator);
    follow(&entry, servers::KIND, direct, resume, take_servers).await;
}

fn take_servers(entry: &Entry, news: News) -> Duration {
    let (has_changed, revision) = match news {
        News::All(listing) => {
            let list = listing.objects.iter().filter_map(servers::decode).collect();
            entry.apply_server_list(list, listing.revision, now());
            (false, listing.revision)
        }
        News::Since(events, revision) => {
            let has_changed = !events.is_empty();
            for (id, object) in events {
                let server = object.as_ref().and_then(servers::decode);
                entry.apply_server(&id, server, revision, now());
            }
            (has_changed, revision)
        }
    };
    entry.note_complete(revision);
    if has_changed {
        gather_time(entry)
    } else {
        Duration::ZERO
    }
}

/// Registers this process, learns the others once, and removes registrations of VMs that are gone.
pub async fn register(entry: Arc<Entry>) {
    let mut backoff = Backoff::new();
    let me = entry.me();
    loop {
        let value = json!(me);
        let written = match entry.store.create(MEMBER_KIND, &me.vm, &value).await {
            Ok(Written::Conflict(_)) => entry.store.replace(MEMBER_KIND, &me.vm, &value, None).await,
            other => other,
        };
        match written {
            Ok(_) => break,
            Err(e) => backoff.pause_after("registration", &e).await,
        }
    }
    loop {
        match entry.store.list(MEMBER_KIND).await {
            Ok(listing) => {
                let members = listing.objects.into_iter();
                let members = members.filter_map(|it| serde_json::from_value::<Member>(it.spec).ok());
                for member in members {
                    entry.note_member(member, None);
                }
                entry.members_listed.notify_one();
                break;
            }
            Err(e) => backoff.pause_after("list of members", &e).await,
        }
    }
    let started = now();
    loop {
        sleep(MEMBER_CHECK).await;
        let at = now();
        let gone = entry.retain_members(|it| {
            let silent_since = it.heard.unwrap_or(started);
            it.failed.is_none() || at.since(silent_since) < MEMBER_GONE_MS
        });
        for vm in gone {
            log_event!(Event::MemberDown, "-", "member={vm} silent_ms={MEMBER_GONE_MS}");
            if let Err(e) = entry.store.remove(MEMBER_KIND, &vm).await {
                log::debug!("removal of {vm}: {e}");
            }
        }
    }
}
