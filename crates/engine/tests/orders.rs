//! Tests of orders, loads and reports through the `Engine` trait, in process and over HTTP.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use guava_core::ids::{AdapterName, ModelName, ReplicaId, Term};
use guava_engine::{
    Action, CachedCheckpoint, Engine, EngineError, EngineFaults, EngineReplicaState, EngineSettings, HttpEngine, Order,
    OrderOutcome, ReplicaEventKind, ServerHandle, StandInEngine, StandInEngines, Tier, serve_engine,
};
use guava_objects::{CheckpointKind, MemoryWeightStore, WeightStoreSpeed};
use rstest::rstest;

#[derive(Debug, Clone, Copy)]
enum Transport {
    InProcess,
    Http,
}

/// A stand-in engine and the client that reaches it.
struct Setup {
    engine: Arc<dyn Engine>,
    stand_in: Arc<StandInEngine>,
    addr: SocketAddr,
    _server: Option<ServerHandle>,
}

impl Setup {
    async fn order(&self, replica: &str, term: u64, action: Action) -> Result<(), EngineError> {
        let order = Order {
            replica: ReplicaId::new(replica),
            term: Term(term),
            instance: None,
            action,
        };
        self.engine.order(self.addr, &order).await
    }

    async fn replica_state(&self, replica: &str) -> Option<EngineReplicaState> {
        let report = self.engine.report(self.addr).await.unwrap();
        report
            .replicas
            .iter()
            .find(|it| it.replica.as_str() == replica)
            .map(|it| it.state)
    }

    async fn wait_for_state(&self, replica: &str, state: EngineReplicaState) {
        eventually(async || self.replica_state(replica).await == Some(state)).await;
    }
}

/// Waits until `condition` holds. The limit is far longer than any test needs, even on a busy machine.
async fn eventually(condition: impl AsyncFn() -> bool) {
    let limit = Duration::from_secs(30);
    let reached = tokio::time::timeout(limit, async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    assert!(reached.await.is_ok(), "condition not reached within {limit:?}");
}

fn fast_settings() -> EngineSettings {
    EngineSettings {
        memory_bytes: 100,
        memory_load_ms: 1,
        disk_load_ms: 1,
        remote_load_ms: 1,
        ..EngineSettings::default()
    }
}

async fn start_engine(transport: Transport, settings: EngineSettings) -> Setup {
    let loopback: SocketAddr = (Ipv4Addr::LOCALHOST, 0).into();
    let stand_in = StandInEngine::new(settings, None);
    match transport {
        Transport::InProcess => {
            let engines = StandInEngines::default();
            engines.set(loopback, Arc::clone(&stand_in));
            Setup {
                engine: Arc::new(engines),
                stand_in,
                addr: loopback,
                _server: None,
            }
        }
        Transport::Http => {
            let server = serve_engine(&stand_in, loopback).await.unwrap();
            Setup {
                engine: Arc::new(HttpEngine::new()),
                stand_in,
                addr: server.addr(),
                _server: Some(server),
            }
        }
    }
}

fn load(model: &str, bytes: u64) -> Action {
    Action::Load {
        model: ModelName::new(model),
        version: 1,
        adapter: None,
        bytes,
    }
}

/// Guards against orders of a previous lease holder that still take effect, and against a stand-in that checks terms
/// although its engine has no fencing.
#[rstest]
#[case(true, Err(EngineError::Fenced(Term(5))))]
#[case(false, Ok(()))]
#[tokio::test]
async fn old_terms_are_refused_only_if_fencing_is_enabled(
    #[values(Transport::InProcess, Transport::Http)] transport: Transport,
    #[case] checks_fence: bool,
    #[case] expected: Result<(), EngineError>,
) {
    let setup = start_engine(
        transport,
        EngineSettings {
            checks_fence,
            ..fast_settings()
        },
    )
    .await;

    setup.order("", 5, Action::Fence).await.unwrap();
    let with_old_term = setup.order("r1", 4, load("m", 10)).await;
    let with_same_term = setup.order("r2", 5, load("m", 10)).await;

    assert_eq!(with_old_term, expected);
    assert_eq!(with_same_term, Ok(()));
    assert_eq!(setup.engine.report(setup.addr).await.unwrap().term, Term(5));
    assert_eq!(setup.stand_in.record().orders.len(), 3);
}

/// Guards against loading a replica whose load order arrives after the order that cancelled it. An engine that forgets
/// ended ids must load it.
#[rstest]
#[case(false)]
#[case(true)]
#[tokio::test]
async fn cancelled_replica_ids_are_refused_unless_forgotten(
    #[values(Transport::InProcess, Transport::Http)] transport: Transport,
    #[case] forgets_orders: bool,
) {
    let setup = start_engine(
        transport,
        EngineSettings {
            forgets_orders,
            ..fast_settings()
        },
    )
    .await;

    setup.order("r1", 1, Action::Unload).await.unwrap();
    let late_load = setup.order("r1", 1, load("m", 10)).await;

    if forgets_orders {
        assert_eq!(late_load, Ok(()));
        setup.wait_for_state("r1", EngineReplicaState::Ready).await;
    } else {
        assert!(matches!(late_load, Err(EngineError::Refused(_))), "{late_load:?}");
        assert_eq!(setup.replica_state("r1").await, Some(EngineReplicaState::Ended));
        assert!(matches!(
            setup.stand_in.record().orders[1].outcome,
            OrderOutcome::Refused(_)
        ));
    }
}

/// Guards against loading a replica twice, loading more than fits into memory and keeping memory after an unload.
#[rstest]
#[tokio::test]
async fn loads_are_idempotent_and_bounded_by_memory(
    #[values(Transport::InProcess, Transport::Http)] transport: Transport,
) {
    let setup = start_engine(transport, fast_settings()).await;

    setup.order("r1", 1, load("m", 60)).await.unwrap();
    setup.order("r1", 1, load("m", 60)).await.unwrap();
    setup.wait_for_state("r1", EngineReplicaState::Ready).await;
    setup.order("r1", 1, load("m", 60)).await.unwrap();
    setup.order("r2", 1, load("n", 60)).await.unwrap();
    let oversized = setup.replica_state("r2").await;
    setup.order("r1", 1, Action::Unload).await.unwrap();
    setup.order("r3", 1, load("n", 60)).await.unwrap();
    setup.wait_for_state("r3", EngineReplicaState::Ready).await;
    let record = setup.stand_in.record();

    let started = record
        .replicas
        .iter()
        .filter(|it| it.event == ReplicaEventKind::LoadStarted);
    assert_eq!(started.map(|it| it.replica.as_str()).collect::<Vec<_>>(), ["r1", "r3"]);
    assert_eq!(oversized, Some(EngineReplicaState::Failed));
    assert_eq!((record.loads, record.loaded, record.unloads), (2, 2, 1));
    assert_eq!((record.memory_bytes, record.peak_memory_bytes), (60, 60));
    assert_eq!((record.overcommits.len(), record.overcommits[0].free), (1, 40));
    assert_eq!(setup.replica_state("r1").await, Some(EngineReplicaState::Ended));
}

/// Guards against a cancelled load that continues or keeps its memory.
#[tokio::test]
async fn unload_cancels_a_running_load() {
    let setup = start_engine(
        Transport::Http,
        EngineSettings {
            remote_load_ms: 600_000,
            ..fast_settings()
        },
    )
    .await;

    setup.order("r1", 1, load("m", 60)).await.unwrap();
    let state_while_loading = setup.replica_state("r1").await;
    setup.order("r1", 1, Action::Unload).await.unwrap();

    assert_eq!(state_while_loading, Some(EngineReplicaState::Loading));
    assert_eq!(setup.replica_state("r1").await, Some(EngineReplicaState::Ended));
    assert_eq!(setup.stand_in.record().memory_bytes, 0);
}

/// Guards against an adapter that is loaded without its model, and one that stays loaded after its model is unloaded.
#[tokio::test]
async fn adapters_need_their_model_and_are_unloaded_with_it() {
    let setup = start_engine(Transport::Http, fast_settings()).await;
    let adapter = || Action::Load {
        model: ModelName::new("m"),
        version: 1,
        adapter: Some(AdapterName::new("a")),
        bytes: 5,
    };

    let without_model = setup.order("a1", 1, adapter()).await;
    setup.order("r1", 1, load("m", 10)).await.unwrap();
    setup.wait_for_state("r1", EngineReplicaState::Ready).await;
    setup.order("a2", 1, adapter()).await.unwrap();
    setup.wait_for_state("a2", EngineReplicaState::Ready).await;
    setup.order("r1", 1, Action::Unload).await.unwrap();

    assert!(
        matches!(without_model, Err(EngineError::Refused(_))),
        "{without_model:?}"
    );
    assert_eq!(setup.replica_state("a2").await, Some(EngineReplicaState::Ended));
    assert_eq!(setup.stand_in.record().memory_bytes, 0);
}

/// Guards against remote loads that bypass the weight store, and loads of cached checkpoints that read it.
#[tokio::test]
async fn only_remote_loads_read_the_weight_store() {
    let speed = WeightStoreSpeed {
        per_second: 1_000.0,
        ..WeightStoreSpeed::default()
    };
    let weights = Arc::new(MemoryWeightStore::new(speed));
    weights.add("remote@1", CheckpointKind::Model, 10);
    let on_disk = CachedCheckpoint {
        model: ModelName::new("disk"),
        version: 1,
        tier: Tier::Disk,
    };
    let settings = EngineSettings {
        cached: vec![on_disk],
        ..fast_settings()
    };
    let engine = StandInEngine::new(settings, Some(Arc::<MemoryWeightStore>::clone(&weights)));
    let order = |replica: &str, model: &str| Order {
        replica: ReplicaId::new(replica),
        term: Term(1),
        instance: None,
        action: load(model, 10),
    };

    engine.take_order(&order("r1", "disk")).unwrap();
    engine.take_order(&order("r2", "remote")).unwrap();
    engine.take_order(&order("r3", "unknown")).unwrap();
    eventually(async || {
        let replicas = engine.current_report().replicas;
        replicas.iter().all(|it| it.state != EngineReplicaState::Loading)
    })
    .await;

    let states = engine
        .current_report()
        .replicas
        .iter()
        .map(|it| it.state)
        .collect::<Vec<_>>();
    let expected = [
        EngineReplicaState::Ready,
        EngineReplicaState::Ready,
        EngineReplicaState::Failed,
    ];
    assert_eq!(states, expected);
    assert_eq!(weights.counts().models, 1);
}

/// Guards against a fault that drops the order together with its answer, and against reports that show changes
/// without the configured delay.
#[rstest]
#[tokio::test]
async fn orders_with_lost_answers_take_effect_and_reports_lag(
    #[values(Transport::InProcess, Transport::Http)] transport: Transport,
) {
    let setup = start_engine(
        transport,
        EngineSettings {
            report_lag_ms: 600_000,
            ..fast_settings()
        },
    )
    .await;
    setup.stand_in.set_faults(EngineFaults {
        lose_next_orders: 1,
        ..EngineFaults::default()
    });

    let result = setup.order("r1", 1, load("m", 10)).await;
    let reported_state = setup.replica_state("r1").await;

    assert!(matches!(result, Err(EngineError::OutcomeUnknown(_))), "{result:?}");
    assert_eq!(reported_state, None);
    assert_eq!(setup.stand_in.record().loads, 1);
}

/// Guards against a stand-in that still answers while it is down, or does not recover afterwards.
#[rstest]
#[tokio::test]
async fn engine_is_unreachable_only_while_down(#[values(Transport::InProcess, Transport::Http)] transport: Transport) {
    let setup = start_engine(transport, fast_settings()).await;
    setup.engine.report(setup.addr).await.unwrap();

    setup.stand_in.set_faults(EngineFaults {
        down: true,
        ..EngineFaults::default()
    });
    // The first call may use a pooled connection that is being closed, and then fail with an unknown outcome.
    eventually(async || matches!(setup.engine.report(setup.addr).await, Err(EngineError::Unreachable(_)))).await;
    let result_while_down = setup.order("r1", 1, load("m", 10)).await;
    setup.stand_in.set_faults(EngineFaults::default());
    eventually(async || setup.engine.report(setup.addr).await.is_ok()).await;

    assert!(
        matches!(result_while_down, Err(EngineError::Unreachable(_))),
        "{result_while_down:?}"
    );
    assert_eq!(setup.stand_in.record().loads, 0);
}
