//! Tests of processes whose store is restored from an older copy and gives out its revisions again.

mod support;

use std::sync::Arc;
use std::time::Duration;

use guava_entry::client::Clients;
use guava_entry::coordinator::Coordinator;
use guava_entry::state::{EntryState, now};
use guava_entry::store_watch;
use guava_platform::settings::Settings;
use guava_platform_standin::settings::{self, Vm};
use guava_platform_standin::store::{Store, StoreFaults};
use serde_json::{Value, json};
use support::{MODEL, NOWHERE};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Time within which a change must be in force, counted from the store's return.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Age of the copy: older than all that a test has written.
const COPY_AGE: Duration = Duration::from_mins(1);

fn config(version: u64) -> Value {
    settings::configuration(version, 2, &[("bangor".to_owned(), vec!["key-1".to_owned()])], 1e7)
}

fn server_entry(state: &str, writes: u64) -> Value {
    json!({
        "service": "advice", "address": "127.0.0.1:8000", "zone": "caerdydd", "slots": 64, "state": state, "seq": writes,
        "born": 1_000, "models": [{"name": MODEL, "adapters": []}],
    })
}

/// Process that watches the store.
struct Watching {
    state: Arc<EntryState>,
    _watches_store: watch::Sender<bool>,
}

fn watching(store: &Store) -> Watching {
    let vm = Vm {
        name: "vm-0".to_owned(),
        zone: "caerdydd".to_owned(),
        callers: NOWHERE.into(),
        readiness: NOWHERE.into(),
        peers: NOWHERE.into(),
        seeds: Vec::new(),
        store: store.address,
        is_first_start: true,
    };
    let settings = Settings::parse(&settings::file(&vm)).expect("valid settings");
    let state = Arc::new(EntryState::new(settings, Clients::default()));
    let watches_store = watch::Sender::new(true);
    let coordinator = Arc::new(Coordinator::new(Arc::clone(&state)));
    tokio::spawn(store_watch::follow_config(
        Arc::clone(&state),
        watches_store.subscribe(),
    ));
    tokio::spawn(store_watch::follow_servers(
        Arc::clone(&state),
        coordinator,
        watches_store.subscribe(),
    ));
    tokio::spawn(store_watch::register(Arc::clone(&state)));
    Watching {
        state,
        _watches_store: watches_store,
    }
}

async fn until(limit: Duration, is_met: impl Fn() -> bool) -> bool {
    let started = Instant::now();
    while !is_met() {
        if started.elapsed() > limit {
            return false;
        }
        sleep(Duration::from_millis(10)).await;
    }
    true
}

fn version(state: &EntryState) -> u64 {
    state.config().map_or(0, |it| it.config.version)
}

fn set_down(store: &Store, is_down: bool) {
    store.set_faults(StoreFaults {
        is_down,
        ..StoreFaults::default()
    });
}

/// Writes objects of no interest until the store has given out `count` revisions.
fn write_others(store: &Store, count: u64) {
    for index in 0..count {
        store.put("others", &format!("o{index}"), json!(index));
    }
}

/// Guards against changes that are missed because the revision from which a watch resumes was given out again.
#[tokio::test]
async fn change_after_a_restore_is_in_force_although_its_revision_was_known_before() {
    let store = Store::start().await.expect("a free port");
    store.put("config", "main", config(1));
    write_others(&store, 20);
    let watching = watching(&store);
    assert!(until(IN_FORCE, || version(&watching.state) == 1).await);

    set_down(&store, true);
    sleep(Duration::from_millis(2_300)).await;
    store.restore_without_rewriting(COPY_AGE);
    store.put("config", "main", config(2));
    write_others(&store, 40);
    set_down(&store, false);

    let is_in_force = until(IN_FORCE, || version(&watching.state) == 2).await;
    assert!(is_in_force, "version {} is in force", version(&watching.state));
}

/// Guards against a server that has left and is used again because the copy shows it as ready.
#[tokio::test]
async fn server_that_has_left_is_not_used_because_an_older_copy_lists_it() {
    let store = Store::start().await.expect("a free port");
    store.put("config", "main", config(1));
    store.put("servers", "a", server_entry("ready", 1));
    store.put("servers", "b", server_entry("ready", 1));
    let watching = watching(&store);
    let is_used = |id: &str| {
        let candidates = watching.state.candidates("advice", Some((MODEL, None)), now());
        candidates.iter().any(|(it, _)| it.id == id)
    };
    assert!(until(IN_FORCE, || is_used("a") && is_used("b")).await);
    let made = std::time::Instant::now();
    sleep(Duration::from_millis(100)).await;
    store.put("servers", "a", server_entry("draining", 2));
    sleep(Duration::from_millis(600)).await;
    store.remove("servers", "a");
    assert!(until(IN_FORCE, || !is_used("a")).await);

    store.restore_without_rewriting(made.elapsed());
    let reappears = until(IN_FORCE, || is_used("a")).await;

    assert!(store.get("servers", "a").is_some(), "the copy lists the server");
    assert!(!reappears);
    assert!(is_used("b"));
}

/// Guards against a process that the others do not find any more because the copy is older than its registration.
#[tokio::test]
async fn process_registers_again_with_a_restored_store() {
    let store = Store::start().await.expect("a free port");
    write_others(&store, 1);
    sleep(Duration::from_millis(50)).await;
    let _watching = watching(&store);
    let is_registered = || store.get("guava-members", "vm-0").is_some();
    assert!(until(IN_FORCE, is_registered).await);

    store.restore(COPY_AGE);

    assert!(!is_registered());
    assert!(until(IN_FORCE, is_registered).await);
}
