//! Tests of the list of VMs and the weight store, in process and over HTTP.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use guava_core::ids::{VmName, Zone};
use guava_objects::{
    CheckpointKind, HttpVmList, HttpWeightStore, MemoryWeightStore, PlatformError, StandInPlatform, VmInfo, VmList,
    VmState, WeightStore, WeightStoreSpeed, serve_platform,
};
use rstest::rstest;

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn vm(name: &str) -> VmInfo {
    VmInfo {
        name: VmName::new(name),
        instance: "1".to_owned(),
        zone: Zone::new("a"),
        addr: loopback(),
        state: VmState::Live,
    }
}

/// Guards against a list of VMs that shows changes before its lag has passed, or never shows them.
#[tokio::test]
async fn list_shows_changes_after_its_lag() {
    let standin = StandInPlatform::new();
    let server = serve_platform(&standin, loopback(), 1).unwrap();
    let list: Arc<dyn VmList> = Arc::new(HttpVmList::new(server.addr()));
    standin.vms.set(vm("vm-1"));
    let without_lag = list.vms().await.unwrap();

    standin.vms.set_lag(Duration::from_mins(10));
    let with_lag = list.vms().await.unwrap();
    standin.vms.set_lag(Duration::ZERO);
    standin.vms.set_state(&VmName::new("vm-1"), VmState::Leaving);
    let after_lag = list.vms().await.unwrap();

    assert_eq!(without_lag, vec![vm("vm-1")]);
    assert_eq!(with_lag, vec![]);
    assert_eq!(after_lag[0].state, VmState::Leaving);
}

fn weights() -> MemoryWeightStore {
    let speed = WeightStoreSpeed {
        per_second: 40.0,
        at_once: 4,
        adapter_ms: 1,
        adapters_at_once: 32,
    };
    let store = MemoryWeightStore::new(speed);
    store.add("m@1", CheckpointKind::Model, 7);
    store.add("a@1", CheckpointKind::Adapter, 3);
    store
}

/// Guards against loads that do not share the store's bandwidth. The upper bound checks only the order of magnitude,
/// since other work on the machine can slow the loads down.
#[rstest]
#[case(4, 100)]
#[case(16, 400)]
#[tokio::test]
async fn loads_beyond_the_limit_slow_down_in_proportion(#[case] loads: usize, #[case] expected_ms: u64) {
    let store = weights();
    let start = Instant::now();

    let fetched = join_all((0..loads).map(|_| store.fetch("m@1"))).await;
    let elapsed = start.elapsed();

    let expected = Duration::from_millis(expected_ms);
    assert!(fetched.iter().all(|it| *it == Ok(7)));
    assert!(elapsed >= expected * 9 / 10, "{loads} loads took {elapsed:?}");
    assert!(elapsed < expected * 10, "{loads} loads took {elapsed:?}");
    assert_eq!(store.counts().peak_models, loads as u32);
}

/// Guards against a cancelled load that still counts as in flight and so slows down later loads.
#[tokio::test]
async fn cancelled_load_frees_its_bandwidth() {
    let store = Arc::new(weights());
    let loading_store = Arc::clone(&store);
    let load = tokio::spawn(async move { loading_store.fetch("m@1").await });
    while store.counts().peak_models == 0 {
        tokio::task::yield_now().await;
    }

    load.abort();
    assert!(load.await.unwrap_err().is_cancelled());
    join_all((0..4).map(|_| store.fetch("m@1"))).await;

    assert_eq!(store.counts().peak_models, 4);
    assert_eq!(store.counts().models, 4);
}

/// Guards against results of the HTTP adapter that differ from those of the weight store.
#[tokio::test]
async fn weights_are_read_over_http() {
    let standin = StandInPlatform {
        weights: Arc::new(weights()),
        ..StandInPlatform::new()
    };
    let server = serve_platform(&standin, loopback(), 1).unwrap();
    let store: Arc<dyn WeightStore> = Arc::new(HttpWeightStore::new(server.addr()));

    let checkpoint = store.checkpoint("a@1").await.unwrap().unwrap();
    let unknown = store.checkpoint("b@1").await.unwrap();
    let fetched = store.fetch("a@1").await;
    let missing = store.fetch("b@1").await;

    assert_eq!((checkpoint.name.as_str(), checkpoint.bytes), ("a@1", 3));
    assert_eq!(unknown, None);
    assert_eq!(fetched, Ok(3));
    assert_eq!(missing, Err(PlatformError::Conflict(None)));
    assert_eq!(standin.weights.counts().adapters, 1);
}
