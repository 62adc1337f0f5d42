//! Tests of a process that follows a store in which another writer has left entries that cannot be read.

mod support;

use std::sync::Arc;
use std::time::Duration;

use guava_entry::client::Clients;
use guava_entry::coordinator::Coordinator;
use guava_entry::state::EntryState;
use guava_entry::store_watch;
use guava_platform::{config as platform_config, settings::Settings};
use guava_platform_standin::settings::{self, BOOKING_PATH, LOOKUP_PATH, STREAM_PATH, Vm};
use guava_platform_standin::store::Store;
use rstest::rstest;
use serde_json::{Value, json};
use support::{KEY, NOWHERE, call, list_servers, start_entry, start_server, whole_answer, write};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Time within which a change must be in force.
const IN_FORCE: Duration = Duration::from_secs(2);

fn config(version: u64) -> Value {
    settings::configuration(version, 2, &[("bangor".to_owned(), vec!["key-1".to_owned()])], 1e7)
}

fn server_entry() -> Value {
    json!({"service": "desk", "address": "127.0.0.1:8000", "zone": "caerdydd", "slots": 64, "state": "ready", "seq": 1})
}

fn deep() -> Vec<u8> {
    [b"[".repeat(200_000), b"]".repeat(200_000)].concat()
}

/// Process that watches the store and registers there.
struct Following {
    state: Arc<EntryState>,
    _watches_store: watch::Sender<bool>,
}

fn follow(store: &Store) -> Following {
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
    Following {
        state,
        _watches_store: watches_store,
    }
}

async fn holds_in_time(condition: impl Fn() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < IN_FORCE {
        if condition() {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}

fn ids(state: &EntryState) -> Vec<String> {
    let mut ids: Vec<String> = state.servers().iter().map(|it| it.id.clone()).collect();
    ids.sort();
    ids
}

/// Guards against a process that follows no server, no configuration and no member any more because one entry is odd.
#[rstest]
#[case::deep(deep())]
#[case::number(br#"{"slots":1e999}"#.to_vec())]
#[case::port(br#"{"service":"desk","address":"127.0.0.1:70000","zone":"z","slots":1,"state":"ready"}"#.to_vec())]
#[case::bytes(b"{\"service\":\"\xff\xfe\"}".to_vec())]
#[tokio::test]
async fn odd_entries_stop_no_process(#[case] odd: Vec<u8>) {
    let store = Store::start().await.expect("a free port");
    store.put("config", "main", config(1));
    store.put("servers", "a", server_entry());
    store.put("servers", "c", server_entry());
    for kind in ["config", "servers", "guava-members"] {
        store.put_raw(kind, "b", odd.clone());
    }

    let process = follow(&store);

    assert!(holds_in_time(|| ids(&process.state) == ["a", "c"]).await, "list");
    let version = |state: &EntryState| state.config().map(|it| it.config.version);
    assert!(holds_in_time(|| version(&process.state) == Some(1)).await);
    assert!(holds_in_time(|| store.get("guava-members", "vm-0").is_some()).await);

    // An odd entry takes the place of a sound one, and another sound one arrives with it.
    store.put_raw("servers", "c", odd.clone());
    store.put("servers", "d", server_entry());
    store.put_raw("config", "main", odd);
    assert!(holds_in_time(|| ids(&process.state) == ["a", "d"]).await, "watch");
    assert_eq!(
        version(&process.state),
        Some(1),
        "the last readable configuration stays"
    );

    store.put("servers", "c", server_entry());
    store.put("config", "main", config(2));
    assert!(
        holds_in_time(|| ids(&process.state) == ["a", "c", "d"]).await,
        "repaired"
    );
    assert!(holds_in_time(|| version(&process.state) == Some(2)).await);
}

/// Guards against requests that end without an answer because numbers of the configuration overflow.
#[rstest]
#[case::booking(BOOKING_PATH, 1e300)]
#[case::lookup(LOOKUP_PATH, 1e300)]
#[case::stream(STREAM_PATH, 1e300)]
#[case::lookup_with_weights(LOOKUP_PATH, 4e9)]
#[tokio::test]
async fn huge_numbers_of_a_configuration_end_no_request(#[case] path: &str, #[case] number: f64) {
    let entry = start_entry(Arc::default()).await;
    let server = start_server("a", path == STREAM_PATH, |mut stream, attempt| async move {
        write(&mut stream, &whole_answer(&attempt, "data: 1\n\n")).await;
    })
    .await;
    list_servers(&entry.state, &[&server]);
    let organisations = [("bangor".to_owned(), vec![KEY.to_owned()])];
    let mut value = settings::configuration(2, 4, &organisations, 1e7);
    for route in value["routes"].as_array_mut().expect("a list") {
        for field in ["timeoutMs", "goalMs", "gapTargetMs"] {
            route[field] = json!(number);
        }
        let target = json!({"service": route["service"], "weight": number});
        route["split"] = json!([target, target]);
    }
    for field in ["maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"] {
        value["limits"][field] = json!(u64::MAX);
    }
    let decoded = platform_config::decode(&value).expect("a configuration");
    entry.state.apply_config(decoded, "test");

    let (answer, _) = call(entry.address, "r1", path).await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
