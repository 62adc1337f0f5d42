//! Orders, loads and reports, through the trait, in process and over HTTP.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use guava_core::ids::{AdapterName, ModelName, ReplicaId, Term};
use guava_engine::{
    Action, CachedCheckpoint, Engine, EngineError, EngineFaults, EngineReplicaState, EngineSettings, Front, HttpEngine,
    Order, OrderOutcome, ReplicaEventKind, StandInEngine, StandInEngines, Tier, serve_engine,
};
use guava_objects::{CheckpointKind, MemoryWeightStore, WeightStoreSpeed};
use rstest::rstest;

#[derive(Debug, Clone, Copy)]
enum Via {
    Process,
    Http,
}

struct Fixture {
    engine: Arc<dyn Engine>,
    standin: Arc<StandInEngine>,
    addr: SocketAddr,
    _front: Option<Front>,
}

impl Fixture {
    async fn order(&self, replica: &str, term: u64, action: Action) -> Result<(), EngineError> {
        let order = Order {
            replica: ReplicaId::new(replica),
            term: Term(term),
            instance: None,
            action,
        };
        self.engine.order(self.addr, &order).await
    }

    async fn state(&self, replica: &str) -> Option<EngineReplicaState> {
        let report = self.engine.report(self.addr).await.unwrap();
        report
            .replicas
            .iter()
            .find(|it| it.replica.as_str() == replica)
            .map(|it| it.state)
    }

    async fn reach(&self, replica: &str, state: EngineReplicaState) {
        eventually(async || self.state(replica).await == Some(state)).await;
    }
}

/// Waits for `condition`; the limit is far beyond any time that a test needs.
async fn eventually(condition: impl AsyncFn() -> bool) {
    let limit = Duration::from_secs(30);
    let reached = tokio::time::timeout(limit, async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    assert!(reached.await.is_ok(), "condition not reached within {limit:?}");
}

fn settings() -> EngineSettings {
    EngineSettings {
        memory_bytes: 100,
        memory_load_ms: 1,
        disk_load_ms: 1,
        remote_load_ms: 1,
        ..EngineSettings::default()
    }
}

async fn fixture(via: Via, settings: EngineSettings) -> Fixture {
    let loopback: SocketAddr = (Ipv4Addr::LOCALHOST, 0).into();
    let standin = StandInEngine::new(settings, None);
    match via {
        Via::Process => {
            let engines = StandInEngines::default();
            engines.set(loopback, Arc::clone(&standin));
            Fixture {
                engine: Arc::new(engines),
                standin,
                addr: loopback,
                _front: None,
            }
        }
        Via::Http => {
            let front = serve_engine(&standin, loopback).await.unwrap();
            Fixture {
                engine: Arc::new(HttpEngine::new()),
                standin,
                addr: front.addr(),
                _front: Some(front),
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

/// Guards against orders of a previous holder that still take effect, and against fencing where there is none.
#[rstest]
#[case(true, Err(EngineError::Fenced(Term(5))))]
#[case(false, Ok(()))]
#[tokio::test]
async fn old_terms_are_refused_only_with_fencing(
    #[values(Via::Process, Via::Http)] via: Via,
    #[case] checks_fence: bool,
    #[case] expected: Result<(), EngineError>,
) {
    let it = fixture(
        via,
        EngineSettings {
            checks_fence,
            ..settings()
        },
    )
    .await;

    it.order("", 5, Action::Fence).await.unwrap();
    let old = it.order("r1", 4, load("m", 10)).await;
    let same = it.order("r2", 5, load("m", 10)).await;

    assert_eq!(old, expected);
    assert_eq!(same, Ok(()));
    assert_eq!(it.engine.report(it.addr).await.unwrap().term, Term(5));
    assert_eq!(it.standin.record().orders.len(), 3);
}

/// Guards against a late load order for a replica that was already cancelled.
#[rstest]
#[case(false)]
#[case(true)]
#[tokio::test]
async fn cancelled_ids_are_refused_unless_forgotten(
    #[values(Via::Process, Via::Http)] via: Via,
    #[case] forgets_orders: bool,
) {
    let it = fixture(
        via,
        EngineSettings {
            forgets_orders,
            ..settings()
        },
    )
    .await;

    it.order("r1", 1, Action::Unload).await.unwrap();
    let late = it.order("r1", 1, load("m", 10)).await;

    if forgets_orders {
        assert_eq!(late, Ok(()));
        it.reach("r1", EngineReplicaState::Ready).await;
    } else {
        assert!(matches!(late, Err(EngineError::Refused(_))), "{late:?}");
        assert_eq!(it.state("r1").await, Some(EngineReplicaState::Ended));
        assert!(matches!(
            it.standin.record().orders[1].outcome,
            OrderOutcome::Refused(_)
        ));
    }
}

/// Guards against loading twice, loading beyond memory and keeping memory after an unload.
#[rstest]
#[tokio::test]
async fn loads_are_idempotent_and_bounded_by_memory(#[values(Via::Process, Via::Http)] via: Via) {
    let it = fixture(via, settings()).await;

    it.order("r1", 1, load("m", 60)).await.unwrap();
    it.order("r1", 1, load("m", 60)).await.unwrap();
    it.reach("r1", EngineReplicaState::Ready).await;
    it.order("r1", 1, load("m", 60)).await.unwrap();
    it.order("r2", 1, load("n", 60)).await.unwrap();
    let too_much = it.state("r2").await;
    it.order("r1", 1, Action::Unload).await.unwrap();
    it.order("r3", 1, load("n", 60)).await.unwrap();
    it.reach("r3", EngineReplicaState::Ready).await;
    let record = it.standin.record();

    let started = record
        .replicas
        .iter()
        .filter(|it| it.event == ReplicaEventKind::LoadStarted);
    assert_eq!(started.map(|it| it.replica.as_str()).collect::<Vec<_>>(), ["r1", "r3"]);
    assert_eq!(too_much, Some(EngineReplicaState::Failed));
    assert_eq!((record.loads, record.loaded, record.unloads), (2, 2, 1));
    assert_eq!((record.memory_bytes, record.peak_memory_bytes), (60, 60));
    assert_eq!((record.overcommits.len(), record.overcommits[0].free), (1, 40));
    assert_eq!(it.state("r1").await, Some(EngineReplicaState::Ended));
}

/// Guards against a load that goes on after it was cancelled, and against memory that it keeps.
#[tokio::test]
async fn unload_cancels_a_running_load() {
    let it = fixture(
        Via::Http,
        EngineSettings {
            remote_load_ms: 600_000,
            ..settings()
        },
    )
    .await;

    it.order("r1", 1, load("m", 60)).await.unwrap();
    let loading = it.state("r1").await;
    it.order("r1", 1, Action::Unload).await.unwrap();

    assert_eq!(loading, Some(EngineReplicaState::Loading));
    assert_eq!(it.state("r1").await, Some(EngineReplicaState::Ended));
    assert_eq!(it.standin.record().memory_bytes, 0);
}

/// Guards against an adapter without its model and against one that outlives it.
#[tokio::test]
async fn adapters_need_their_model() {
    let it = fixture(Via::Http, settings()).await;
    let adapter = || Action::Load {
        model: ModelName::new("m"),
        version: 1,
        adapter: Some(AdapterName::new("a")),
        bytes: 5,
    };

    let too_early = it.order("a1", 1, adapter()).await;
    it.order("r1", 1, load("m", 10)).await.unwrap();
    it.reach("r1", EngineReplicaState::Ready).await;
    it.order("a2", 1, adapter()).await.unwrap();
    it.reach("a2", EngineReplicaState::Ready).await;
    it.order("r1", 1, Action::Unload).await.unwrap();

    assert!(matches!(too_early, Err(EngineError::Refused(_))), "{too_early:?}");
    assert_eq!(it.state("a2").await, Some(EngineReplicaState::Ended));
    assert_eq!(it.standin.record().memory_bytes, 0);
}

/// Guards against remote loads that bypass the weight store and cached ones that use it.
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
        ..settings()
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

/// Guards against an order with a lost answer that had no effect, and against reports that do not lag.
#[rstest]
#[tokio::test]
async fn lost_answers_take_effect_and_reports_lag(#[values(Via::Process, Via::Http)] via: Via) {
    let it = fixture(
        via,
        EngineSettings {
            report_lag_ms: 600_000,
            ..settings()
        },
    )
    .await;
    it.standin.set_faults(EngineFaults {
        lose_next_orders: 1,
        ..EngineFaults::default()
    });

    let lost = it.order("r1", 1, load("m", 10)).await;
    let shown = it.state("r1").await;

    assert!(matches!(lost, Err(EngineError::OutcomeUnknown(_))), "{lost:?}");
    assert_eq!(shown, None);
    assert_eq!(it.standin.record().loads, 1);
}

/// Guards against a stand-in that answers while it is down or stays down.
#[rstest]
#[tokio::test]
async fn engine_that_is_down_is_unreachable(#[values(Via::Process, Via::Http)] via: Via) {
    let it = fixture(via, settings()).await;
    it.engine.report(it.addr).await.unwrap();

    it.standin.set_faults(EngineFaults {
        down: true,
        ..EngineFaults::default()
    });
    // A connection that is still pooled may give an unknown outcome first.
    eventually(async || matches!(it.engine.report(it.addr).await, Err(EngineError::Unreachable(_)))).await;
    let down = it.order("r1", 1, load("m", 10)).await;
    it.standin.set_faults(EngineFaults::default());
    eventually(async || it.engine.report(it.addr).await.is_ok()).await;

    assert!(matches!(down, Err(EngineError::Unreachable(_))), "{down:?}");
    assert_eq!(it.standin.record().loads, 0);
}
