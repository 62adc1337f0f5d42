//! Backend server and router of the data path benchmark, each in a process of its own.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use guava_core::config::Kind;
use guava_core::gossip_entry::{Entry, EntryKey, Version};
use guava_core::ids::{ModelName, OperationId, PoolName, ReplicaId, RequestId, Role, Term, VmName, Zone};
use guava_core::keys::{KeyHasher, NewKey, new_key};
use guava_core::placement::{Placement, ReplicaAddress, ReplicaState};
use guava_core::units::Millis;
use guava_engine::{Action, EngineSettings, Order, ServerHandle, StandInEngine, serve_engine};
use guava_node::runtime::Runtime;
use guava_node::settings::CommonArgs;
use guava_objects::{Expect, MemoryObjectStore, MemoryVmList, ObjectStore, VmInfo, VmState};
use guava_router::idempotency::RecordService;
use guava_router::jobs::JobService;
use guava_router::quota::QuotaService;
use guava_router::{Quota, RouterArgs, RouterHandle, RouterParts, serve};
use jsonrpsee::RpcModule;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde_json::json;

use crate::error::BenchError;
use crate::process;

/// Model that is called.
pub const MODEL: &str = "bench";
const REPLICA: &str = "bench-1";
const ORGANISATION: &str = "callers";
const POOL: &str = "bench-pool";
const ZONE: &str = "z1";
const PEPPER: &str = "pepper of the benchmark";
const KEY_SEED: u64 = 1;
/// Slots of the replica; more than the benchmark ever holds.
const SLOTS: u32 = 100_000;
/// Longest request; streams are held for less.
const TIMEOUT_MS: u64 = 600_000;
const QUOTA_ATTEMPTS: u32 = 200;
const QUOTA_POLL: Duration = Duration::from_millis(100);

/// Loopback address with a port chosen by the operating system.
pub fn any_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts the stand-in engine with the model loaded; tokens take `decode_us` each.
///
/// # Errors
///
/// Fails when the socket cannot be opened or the model is not taken.
pub async fn engine(decode_us: u64) -> Result<(Arc<StandInEngine>, ServerHandle), BenchError> {
    let settings = EngineSettings {
        slots: SLOTS,
        memory_load_ms: 0,
        disk_load_ms: 0,
        remote_load_ms: 0,
        decode_us,
        record: false,
        ..EngineSettings::default()
    };
    let engine = StandInEngine::new(settings, None);
    let order = Order {
        replica: ReplicaId::new(REPLICA),
        term: Term(1),
        instance: None,
        action: Action::Load {
            model: ModelName::new(MODEL),
            version: 1,
            adapter: None,
            bytes: 1,
        },
    };
    let taken = engine.take_order(&order);
    taken.map_err(|error| BenchError::Part(error.to_string()))?;
    let front = serve_engine(&engine, any_addr()).await?;
    Ok((engine, front))
}

/// A router with its runtime.
#[derive(Debug)]
pub struct RunningRouter {
    /// Router.
    pub handle: RouterHandle,
    _runtime: Runtime,
}

/// Starts a router on a real process runtime with an in-process platform, so that all of its parts are real.
///
/// # Errors
///
/// Fails when the runtime or the router does not start.
pub async fn router(backend: SocketAddr, threads: usize) -> Result<RunningRouter, BenchError> {
    let store = Arc::new(MemoryObjectStore::new());
    configure(store.as_ref(), backend).await?;
    let vms = Arc::new(MemoryVmList::new());
    vms.set(VmInfo {
        name: VmName::new("vm-1"),
        instance: "vm-1-1".to_owned(),
        zone: Zone::new(ZONE),
        addr: any_addr(),
        state: VmState::Live,
    });
    let runtime = Runtime::start(&settings("vm-1", ZONE, Vec::new()), Role::Router, store, vms).await?;
    runtime.serve_rpc(RpcModule::new(())).await?;
    runtime.node.gossip.put(placement(backend));
    let mut args = RouterArgs::new(any_addr(), PEPPER);
    args.worker_threads = threads;
    let node = runtime.node.clone();
    let quota = QuotaService::start(node.clone());
    let parts = RouterParts {
        quota: Arc::<QuotaService>::clone(&quota),
        records: Arc::new(RecordService::start(node.clone(), PEPPER.as_bytes())),
        jobs: Box::new(move |executor| Arc::new(JobService::start(node, executor))),
        meter: runtime.meter(),
        metrics_text: Box::new(String::new),
        ready: Box::new(|| true),
    };
    let handle = serve(args, runtime.node.clone(), parts).await?;
    wait_for_quota(&quota).await?;
    Ok(RunningRouter {
        handle,
        _runtime: runtime,
    })
}

/// Settings of a process on loopback.
pub fn settings(vm: &str, zone: &str, seeds: Vec<SocketAddr>) -> CommonArgs {
    CommonArgs {
        vm: vm.to_owned(),
        zone: zone.to_owned(),
        gossip_addr: any_addr(),
        rpc_addr: any_addr(),
        health_addr: None,
        platform_addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        seeds,
        log_level: log::LevelFilter::Error,
        log_format: "text".to_owned(),
        balancer_notice_ms: 0,
        check: false,
    }
}

fn make_key() -> NewKey {
    let hasher = KeyHasher::new(PEPPER.as_bytes());
    let mut rng = ChaCha8Rng::seed_from_u64(KEY_SEED);
    new_key(&hasher, "k1", &ORGANISATION.into(), &mut rng)
}

/// Key of the caller.
pub fn key_text() -> String {
    make_key().text
}

async fn configure(store: &MemoryObjectStore, backend: SocketAddr) -> Result<(), BenchError> {
    let objects = [
        (
            Kind::Profile,
            "fast",
            json!({"name": "fast", "first_token_ms": 20_000, "cold_start_ms": 20_000, "timeout_ms": TIMEOUT_MS,
                "idempotent": true}),
        ),
        (
            Kind::Organisation,
            ORGANISATION,
            json!({"name": ORGANISATION, "rate": 1_000_000_000_u64, "burst": 10_000_000_000_u64}),
        ),
        (Kind::Key, "k1", serde_json::to_value(make_key().key)?),
        (Kind::Pool, POOL, json!({"name": POOL})),
        (
            Kind::Model,
            MODEL,
            json!({"name": MODEL, "pool": POOL, "bytes": 1, "profile": "fast"}),
        ),
        (
            Kind::Server,
            "runner-1",
            json!({"name": "runner-1", "addr": backend, "zone": ZONE, "pool": POOL}),
        ),
    ];
    for (kind, name, spec) in objects {
        let operation = OperationId::new(name);
        store.put(kind, name, &spec, Expect::Absent, &operation).await?;
    }
    Ok(())
}

fn placement(backend: SocketAddr) -> Entry {
    let placement = Placement {
        pool: PoolName::new(POOL),
        model: ModelName::new(MODEL),
        adapter: None,
        replicas: vec![ReplicaAddress {
            replica: ReplicaId::new(REPLICA),
            server: "runner-1".into(),
            addr: backend,
            zone: Zone::new(ZONE),
            slots: SLOTS,
            state: ReplicaState::Ready,
        }],
    };
    Entry {
        key: EntryKey::Placement(POOL.into(), MODEL.to_owned()),
        version: Version {
            term: Term(1),
            sequence: 1,
        },
        value: serde_json::to_vec(&placement).unwrap_or_default(),
    }
}

/// Waits until the router holds the organisation's shares and quota is reserved at once.
async fn wait_for_quota(quota: &QuotaService) -> Result<(), BenchError> {
    for attempt in 0..QUOTA_ATTEMPTS {
        let request = RequestId::new(format!("start-{attempt}"));
        let reserved = quota.reserve(&ORGANISATION.into(), &request, 1, Millis(u64::MAX)).await;
        if reserved.is_ok() {
            quota.settle(&request, 1);
            return Ok(());
        }
        tokio::time::sleep(QUOTA_POLL).await;
    }
    Err(BenchError::Part("the router gets no quota".to_owned()))
}

/// A part in a process of its own, which ends with this value.
#[derive(Debug)]
pub struct Part {
    child: Child,
    /// Address it serves.
    pub addr: SocketAddr,
}

impl Part {
    /// Starts this program with `args` and reads the served address from its first line.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start or prints no address.
    pub fn start(args: &[&str]) -> Result<Self, BenchError> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let addr = line.trim().parse::<SocketAddr>();
        let addr = addr.map_err(|error| BenchError::Part(format!("{} printed no address: {error}", args.join(" "))))?;
        Ok(Self { child, addr })
    }

    /// Processor time used so far.
    pub fn cpu(&self) -> Duration {
        process::cpu_of(self.child.id())
    }

    /// Time for which its threads were ready and waited for a processor.
    pub fn run_queue_wait(&self) -> Duration {
        process::run_queue_wait_of(self.child.id())
    }

    /// Resident memory in bytes.
    pub fn resident(&self) -> u64 {
        process::resident_of(self.child.id())
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        // Both fail only when the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Prints the served address and waits until the starting process closes the standard input.
///
/// # Errors
///
/// Fails when the standard input cannot be read.
pub async fn serve_until_closed(addr: SocketAddr) -> Result<(), BenchError> {
    println!("{addr}");
    let wait = tokio::task::spawn_blocking(|| std::io::stdin().read_to_end(&mut Vec::new()));
    wait.await.map_err(|error| BenchError::Part(error.to_string()))??;
    Ok(())
}
