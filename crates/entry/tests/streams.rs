//! Tests of the origin of streams at processes that share a store.

mod support;

use std::sync::Arc;
use std::time::Duration;

use guava_entry::client::Clients;
use guava_entry::coordinator::Coordinator;
use guava_entry::state::{EntryState, now};
use guava_entry::store_watch;
use guava_entry::streams::{self, Origin};
use guava_platform::settings::Settings;
use guava_platform_standin::settings::{self, ENGINE_SERVICE, Vm};
use guava_platform_standin::store::{Store, StoreFaults};
use serde_json::{Value, json};
use support::{MODEL, NOWHERE};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Time within which processes follow a change of the servers.
const FOLLOWED: Duration = Duration::from_secs(4);
/// Time within which an origin is found or given up, with a margin for a busy machine.
const FOUND: Duration = Duration::from_secs(1);
const ATTEMPT: &str = "86887a3ed1c02e4a";

fn server_entry(version: &str) -> Value {
    json!({
        "service": ENGINE_SERVICE, "address": "127.0.0.1:8000", "zone": "caerdydd", "slots": 64, "state": "ready", "seq": 1,
        "born": 1_000, "version": version, "models": [{"name": MODEL, "adapters": []}],
    })
}

async fn store_with(versions: &[&str]) -> Store {
    let store = Store::start().await.expect("a free port");
    let config = settings::configuration(1, 2, &[("bangor".to_owned(), vec!["key-1".to_owned()])], 1e7);
    store.put("config", "main", config);
    for version in versions {
        store.put("servers", &format!("server-{version}"), server_entry(version));
    }
    store
}

/// Process that watches the store; its loops end with it.
struct Process {
    state: Arc<EntryState>,
    loops: Vec<tokio::task::JoinHandle<()>>,
    _watches_store: watch::Sender<bool>,
}

impl Process {
    fn start(store: &Store, is_first_start: bool) -> Self {
        let vm = Vm {
            name: "vm-0".to_owned(),
            zone: "caerdydd".to_owned(),
            callers: NOWHERE.into(),
            readiness: NOWHERE.into(),
            peers: NOWHERE.into(),
            seeds: Vec::new(),
            store: store.address,
            is_first_start,
        };
        let settings = Settings::parse(&settings::file(&vm)).expect("valid settings");
        let state = Arc::new(EntryState::new(settings, Clients::default()));
        let coordinator = Arc::new(Coordinator::new(Arc::clone(&state)));
        let watches_store = watch::Sender::new(true);
        let loops = vec![
            tokio::spawn(store_watch::follow_config(
                Arc::clone(&state),
                watches_store.subscribe(),
            )),
            tokio::spawn(store_watch::follow_servers(
                Arc::clone(&state),
                Arc::clone(&coordinator),
                watches_store.subscribe(),
            )),
            tokio::spawn(streams::keep_table(Arc::clone(&state), coordinator)),
            tokio::spawn(streams::keep_copy(Arc::clone(&state))),
        ];
        Self {
            state,
            loops,
            _watches_store: watches_store,
        }
    }

    async fn may_begin(&self, version: &str) -> bool {
        let started = Instant::now();
        while !self.state.streams.may_begin(ENGINE_SERVICE, Some(version)) {
            if started.elapsed() > FOLLOWED {
                return false;
            }
            sleep(Duration::from_millis(10)).await;
        }
        true
    }

    fn begin(&self, attempt: &str, version: &str) {
        self.state
            .streams
            .record_begun(now(), attempt, ENGINE_SERVICE, Some(version));
    }

    async fn origin(&self, attempt: &str) -> Origin {
        let started = Instant::now();
        let origin = streams::find_origin(&self.state, &[ENGINE_SERVICE], attempt).await;
        assert!(started.elapsed() < FOUND, "{:?}", started.elapsed());
        origin
    }

    /// Ends the process and all that it remembers.
    fn lose_power(self) {
        for it in self.loops {
            it.abort();
        }
    }
}

fn known(version: &str) -> Origin {
    Origin::Known {
        service: ENGINE_SERVICE.to_owned(),
        version: version.to_owned(),
    }
}

/// Guards against streams of the only version in service that cannot go on after a loss of power.
#[tokio::test]
async fn origin_is_the_only_version_in_service() {
    let store = store_with(&["v1"]).await;
    let process = Process::start(&store, true);
    assert!(process.may_begin("v1").await);
    process.begin(ATTEMPT, "v1");
    process.lose_power();

    let process = Process::start(&store, false);
    assert!(process.may_begin("v1").await);

    assert_eq!(process.origin(ATTEMPT).await, known("v1"));
}

/// Guards against streams that go on at another version after a loss of power.
#[tokio::test]
async fn origin_of_each_of_two_versions_outlasts_a_loss_of_power() {
    let store = store_with(&["v1", "v2"]).await;
    let process = Process::start(&store, true);
    assert!(process.may_begin("v1").await && process.may_begin("v2").await);
    process.begin("attempt-1", "v1");
    process.begin("attempt-2", "v2");
    sleep(Duration::from_secs(2)).await;
    process.lose_power();
    store.remove("servers", "server-v1");

    let process = Process::start(&store, false);
    assert!(process.may_begin("v2").await);

    assert_eq!(process.origin("attempt-1").await, known("v1"));
    assert_eq!(process.origin("attempt-2").await, known("v2"));
    assert!(matches!(process.origin("attempt-3").await, Origin::Unknown(_)));
}

/// Guards against versions that are guessed while the store is silent or was restored.
#[tokio::test]
async fn origin_is_unknown_without_a_complete_table() {
    let store = store_with(&["v1"]).await;
    let process = Process::start(&store, true);
    assert!(process.may_begin("v1").await);
    assert_eq!(process.origin(ATTEMPT).await, known("v1"));

    store.set_faults(StoreFaults {
        is_down: true,
        ..StoreFaults::default()
    });
    let silent = process.origin(ATTEMPT).await;
    store.set_faults(StoreFaults::default());
    store.restore(Duration::from_millis(1));
    let restored = process.origin(ATTEMPT).await;

    assert!(matches!(silent, Origin::Unknown(_)), "{silent:?}");
    assert!(matches!(restored, Origin::Unknown(_)), "{restored:?}");
}
