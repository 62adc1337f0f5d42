//! Real process runtimes on loopback, all in this process, with an in-memory platform.

use std::sync::Arc;
use std::time::Duration;

use guava_core::config::Kind;
use guava_core::ids::{OperationId, Role, VmName, Zone};
use guava_node::runtime::Runtime;
use guava_objects::{Expect, MemoryObjectStore, MemoryVmList, ObjectStore, VmInfo, VmState};
use jsonrpsee::RpcModule;
use serde_json::json;

use super::Series;
use crate::error::BenchError;
use crate::{parts, process};

const ROLES: [Role; 3] = [Role::Router, Role::Controller, Role::Admin];
const ZONES: usize = 3;
/// Configuration objects that every member replicates.
const OBJECTS: usize = 1_000;
const WORKER_THREADS: usize = 4;
/// Wait per member before a measurement, until changes caused by the start are no longer sent and heartbeats are empty.
const SETTLE_PER_MEMBER: Duration = Duration::from_millis(1_200);
const MEASUREMENT_TIME: Duration = Duration::from_secs(8);
/// Maximum wait until all members know each other; the measurement goes on after it.
const MAX_JOIN_WAIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

struct Fleet {
    store: Arc<MemoryObjectStore>,
    vms: Arc<MemoryVmList>,
    members: Vec<Runtime>,
}

struct Rates {
    cpu: f64,
    bytes: f64,
    calls: f64,
}

impl Fleet {
    async fn start() -> Result<Self, BenchError> {
        let store = Arc::new(MemoryObjectStore::new());
        for index in 0..OBJECTS {
            let name = format!("runner-{index:05}");
            let spec = json!({"name": name, "addr": "10.1.0.1:8000", "zone": "z1", "pool": "pool",
                "memory_bytes": 640_u64 << 30});
            let operation = OperationId::new(&name);
            store
                .put(Kind::Server, &name, &spec, Expect::Absent, &operation)
                .await?;
        }
        Ok(Self {
            store,
            vms: Arc::new(MemoryVmList::new()),
            members: Vec::new(),
        })
    }

    async fn grow_to(&mut self, size: usize) -> Result<(), BenchError> {
        for index in self.members.len()..size {
            let vm = format!("vm-{:03}", index / ROLES.len());
            let zone = format!("z{}", index / ROLES.len() % ZONES);
            let seeds = self.members.iter().take(3).map(|it| it.node.members.me().gossip_addr);
            let settings = parts::runtime_settings(&vm, &zone, seeds.collect());
            let role = ROLES[index % ROLES.len()];
            let runtime = Runtime::start(
                &settings,
                role,
                Arc::<MemoryObjectStore>::clone(&self.store),
                self.vm_list(),
            )
            .await?;
            runtime.serve_rpc(RpcModule::new(())).await?;
            if index % ROLES.len() == 0 {
                self.vms.set(VmInfo {
                    name: VmName::new(&vm),
                    instance: format!("{vm}-1"),
                    zone: Zone::new(&zone),
                    addr: runtime.node.members.me().gossip_addr,
                    state: VmState::Live,
                });
            }
            self.members.push(runtime);
        }
        let mut waited = Duration::ZERO;
        while waited < MAX_JOIN_WAIT && self.members.iter().any(|it| it.node.members.live().len() < size) {
            tokio::time::sleep(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
        }
        tokio::time::sleep(SETTLE_PER_MEMBER * size as u32).await;
        Ok(())
    }

    fn vm_list(&self) -> Arc<MemoryVmList> {
        Arc::clone(&self.vms)
    }

    fn total_sent_bytes(&self) -> f64 {
        self.members.iter().map(|it| sent_bytes(&it.metrics_text())).sum()
    }

    fn object_calls(&self) -> u64 {
        let counts = self.store.counts();
        counts.get + counts.list + counts.put + counts.delete + counts.watch
    }

    /// Measures for `MEASUREMENT_TIME`. Processor time (µs) and bytes are per member and second, calls of the object
    /// service per second for all members.
    async fn measure_rates(&self) -> Rates {
        let (cpu, bytes, calls) = (
            process::process_cpu_time(),
            self.total_sent_bytes(),
            self.object_calls(),
        );
        let start = tokio::time::Instant::now();
        tokio::time::sleep(MEASUREMENT_TIME).await;
        let used = process::process_cpu_time().saturating_sub(cpu);
        let seconds = start.elapsed().as_secs_f64();
        let member_seconds = seconds * self.members.len() as f64;
        Rates {
            cpu: used.as_secs_f64() * 1e6 / member_seconds,
            bytes: (self.total_sent_bytes() - bytes) / member_seconds,
            calls: (self.object_calls() - calls) as f64 / seconds,
        }
    }
}

fn sent_bytes(metrics: &str) -> f64 {
    let lines = metrics.lines().filter(|it| it.starts_with("guava_gossip_sent_bytes"));
    let values = lines.filter_map(|it| it.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

pub(super) fn measure(sizes: &[usize]) -> Result<Vec<Series>, BenchError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    let mut cpu = Series::new("runtime: processor time per member", "members", "µs/s", None);
    let mut bytes = Series::new("runtime: bytes sent per member", "members", "B/s", None);
    let mut memory = Series::new(
        format!("runtime: memory of all members with {OBJECTS} objects"),
        "members",
        "B",
        None,
    );
    let mut calls = Series::new(
        "runtime: calls of the object service by all members",
        "members",
        "1/s",
        None,
    );
    runtime.block_on(async {
        let mut fleet = Fleet::start().await?;
        let pid = std::process::id();
        let before = process::resident_bytes_of(pid);
        for size in sizes.iter().copied() {
            fleet.grow_to(size).await?;
            let rates = fleet.measure_rates().await;
            cpu.add_point(size, rates.cpu);
            bytes.add_point(size, rates.bytes);
            calls.add_point(size, rates.calls);
            memory.add_point(size, process::resident_bytes_of(pid).saturating_sub(before) as f64);
        }
        Ok(vec![cpu, bytes, memory, calls])
    })
}
